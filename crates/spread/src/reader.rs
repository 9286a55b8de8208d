//! Reading the config stream: long polls, checks of the last record, back-off.
//!
//! The reader never trusts that the log is the one it read before. After each
//! failure, from time to time, and before it folds what a long poll brought, it
//! reads its own last record again; a
//! shorter log or another record there means that the log lost its tail or
//! began anew. The daemon then holds what it has, says so, and searches the log
//! for a rebase, see `recovery`.

use std::time::{Duration, Instant};

use derive_more::Display;
use feed::port::{LogRecord, ReadReply, RecordBatch, Result as LogResult};
use model::{ErrorKind, LogOffset};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::message::{LogRead, LogTag};
use crate::replica::{ReplicaHead, record_hash};
use crate::settings::SpreadSettings;

/// Pause between two reads of a log that is of no use for now.
const HELD_INTERVAL: Duration = Duration::from_secs(5);

/// What this daemon knows of the config stream.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum LogState {
    /// Not asked yet.
    #[display("not asked yet")]
    Unknown,
    /// It answers.
    #[display("up")]
    Up,
    /// It does not answer.
    #[display("down: {_0}")]
    Down(ErrorKind),
    /// It is shorter than our head or holds another record there.
    #[display("diverged: it ends or differs at {_0}")]
    Diverged(LogOffset),
    /// Records expired before they were read; the stream starts here.
    #[display("of no use here: records before {_0} expired unread")]
    Gap(LogOffset),
    /// The replica cannot fold this record, as of a newer release.
    #[display("of no use here: a newer release is needed for the record at {_0}")]
    Stuck(LogOffset),
}

/// What an answer means.
#[derive(Debug, Eq, PartialEq)]
pub enum ReadOutcome {
    /// Of no use: late, or to another question.
    Ignored,
    /// The log ends at our head, as of the moment given.
    Confirmed(Instant),
    /// Records that follow our head, and the moment if nothing follows them.
    Fold {
        /// The records.
        records: Vec<LogRecord>,
        /// When these were the last, if the log said so.
        complete_at: Option<Instant>,
    },
    /// See [`LogState`].
    Failed,
}

/// A read under way.
#[derive(Clone, Copy, Debug)]
struct PendingRead {
    tag: LogTag,
    from: LogOffset,
    held_next: LogOffset,
    verify: bool,
    sent_at: Instant,
    deadline: Instant,
}

/// Reads the config stream.
#[derive(Debug)]
pub struct ConfigReader {
    state: LogState,
    pending: Option<PendingRead>,
    next_at: Option<Instant>,
    verified_at: Option<Instant>,
    /// Where the stream began when our last record was found expired.
    expired_first: Option<LogOffset>,
    failed_at: Option<Instant>,
    failures: u32,
}

impl ConfigReader {
    /// A reader that has not asked yet.
    pub fn new() -> Self {
        Self {
            state: LogState::Unknown,
            pending: None,
            next_at: None,
            verified_at: None,
            expired_first: None,
            failed_at: None,
            failures: 0,
        }
    }

    /// What is known of the stream.
    pub fn state(&self) -> LogState {
        self.state
    }

    /// When the log was last found to give nothing newer, down or diverged.
    pub fn down_at(&self) -> Option<Instant> {
        let down = matches!(self.state, LogState::Down(_) | LogState::Diverged(_));
        down.then_some(self.failed_at).flatten()
    }

    /// Whether the answer with this tag is the reader's.
    pub fn awaits(&self, tag: LogTag) -> bool {
        self.pending.is_some_and(|pending| pending.tag == tag)
    }

    /// Stops reading; a later start checks the last record first.
    pub fn stop(&mut self) {
        *self = Self::new();
    }

    /// The replica cannot fold the record at `offset`; it is read again later.
    pub fn mark_stuck(&mut self, offset: LogOffset, now: Instant) {
        self.hold(LogState::Stuck(offset), now);
    }

    /// Reads at once and checks the last record, as after a new snapshot.
    pub fn verify_now(&mut self, now: Instant) {
        self.verified_at = None;
        self.next_at = Some(now);
    }

    /// The next read, if it is time.
    pub fn poll(
        &mut self,
        settings: &SpreadSettings,
        head: &ReplicaHead,
        tag: LogTag,
        now: Instant,
    ) -> Option<LogRead> {
        let early = self.next_at.is_some_and(|at| now < at);
        if self.pending.is_some() || early {
            return None;
        }
        let verify = self.must_verify(settings, now);
        let back = u64::from(verify && head.last_record != 0);
        let from = LogOffset(head.next.0.saturating_sub(back));
        let wait = if verify {
            Duration::ZERO
        } else {
            settings.poll_wait
        };
        self.pending = Some(PendingRead {
            tag,
            from,
            held_next: head.next,
            verify,
            sent_at: now,
            deadline: now + wait + settings.read_timeout,
        });
        Some(LogRead {
            tag,
            stream: settings.config_stream.clone(),
            from,
            limit: settings.read_limit,
            wait,
        })
    }

    /// Whether the next read is to check the last record rather than to wait.
    fn must_verify(&self, settings: &SpreadSettings, now: Instant) -> bool {
        let due = |at: Instant| now.saturating_duration_since(at) >= settings.verify_interval;
        self.state != LogState::Up || self.verified_at.is_none_or(due)
    }

    /// Fails a read that took too long; tells whether one did.
    pub fn expire(&mut self, settings: &SpreadSettings, rng: &mut SmallRng, now: Instant) -> bool {
        let late = self.pending.is_some_and(|pending| now >= pending.deadline);
        if late {
            self.pending = None;
            self.fail(ErrorKind::LogUnavailable, settings, rng, now);
        }
        late
    }

    /// Takes an answer.
    pub fn answer(
        &mut self,
        settings: &SpreadSettings,
        rng: &mut SmallRng,
        head: &ReplicaHead,
        tag: LogTag,
        answer: LogResult<ReadReply>,
        now: Instant,
    ) -> ReadOutcome {
        let Some(pending) = self.pending.take_if(|pending| pending.tag == tag) else {
            return ReadOutcome::Ignored;
        };
        self.next_at = Some(now.max(pending.sent_at + settings.min_read_interval));
        match answer {
            Ok(ReadReply::Batch(batch)) => {
                self.judge_batch(settings, rng, head, pending, batch, now)
            }
            Ok(ReadReply::Expired { first }) => self.judge_expired(head, pending, first, now),
            Err(error) => {
                self.fail(error.kind, settings, rng, now);
                ReadOutcome::Failed
            }
        }
    }

    fn judge_batch(
        &mut self,
        settings: &SpreadSettings,
        rng: &mut SmallRng,
        head: &ReplicaHead,
        pending: PendingRead,
        batch: RecordBatch,
        now: Instant,
    ) -> ReadOutcome {
        if !is_sound(&batch, pending.from) {
            self.fail(ErrorKind::LogAnswerInvalid, settings, rng, now);
            return ReadOutcome::Failed;
        }
        if batch.next < pending.held_next {
            return self.hold(LogState::Diverged(batch.next), now);
        }
        if batch.first > head.next {
            return self.hold(LogState::Gap(batch.first), now);
        }
        if let Some(other) = find_other_record(&batch.records, head) {
            return self.hold(LogState::Diverged(other), now);
        }
        if !pending.verify && self.is_unchecked(head, &batch) {
            // The log may have lost its end and grown past it while the read
            // waited: these records come again together with the one before.
            self.verify_now(now);
            return ReadOutcome::Ignored;
        }
        self.succeed(pending, now);
        judge_records(settings, head, pending.sent_at, batch)
    }

    /// Whether the batch brings records behind a last record that can be checked.
    fn is_unchecked(&self, head: &ReplicaHead, batch: &RecordBatch) -> bool {
        let expired = self.expired_first.is_some_and(|first| first >= head.next);
        !batch.records.is_empty() && head.last_record != 0 && !expired
    }

    /// The record asked for has expired: harmless if it was only to be checked.
    fn judge_expired(
        &mut self,
        head: &ReplicaHead,
        pending: PendingRead,
        first: LogOffset,
        now: Instant,
    ) -> ReadOutcome {
        if first <= head.next && pending.from < head.next {
            self.expired_first = Some(first);
            self.succeed(pending, now);
            return ReadOutcome::Ignored;
        }
        self.hold(LogState::Gap(first), now)
    }

    fn succeed(&mut self, pending: PendingRead, now: Instant) {
        self.state = LogState::Up;
        self.failures = 0;
        if pending.verify {
            self.verified_at = Some(now);
        }
    }

    fn hold(&mut self, state: LogState, now: Instant) -> ReadOutcome {
        self.state = state;
        self.failed_at = Some(now);
        self.next_at = Some(now + HELD_INTERVAL);
        ReadOutcome::Failed
    }

    fn fail(
        &mut self,
        kind: ErrorKind,
        settings: &SpreadSettings,
        rng: &mut SmallRng,
        now: Instant,
    ) {
        let doubled = settings.min_backoff * 2_u32.pow(self.failures.min(8));
        let pause = doubled.min(settings.max_backoff);
        self.next_at = Some(now + pause.mul_f64(rng.random_range(0.75..1.25)));
        self.failures += 1;
        self.failed_at = Some(now);
        self.state = LogState::Down(kind);
    }
}

impl Default for ConfigReader {
    fn default() -> Self {
        Self::new()
    }
}

/// Whether the records follow one another from the offset asked for.
pub(crate) fn is_sound(batch: &RecordBatch, from: LogOffset) -> bool {
    let start = from.0;
    batch
        .records
        .iter()
        .zip(start..)
        .all(|(record, offset)| record.offset.0 == offset)
}

/// The offset of our last record, if the log holds another one there.
fn find_other_record(records: &[LogRecord], head: &ReplicaHead) -> Option<LogOffset> {
    let last = records
        .iter()
        .find(|record| record.offset.next() == head.next)?;
    let other = head.last_record != 0 && record_hash(last) != head.last_record;
    other.then_some(last.offset)
}

/// Keeps the records that follow `head`, which peers may have moved on meanwhile.
fn judge_records(
    settings: &SpreadSettings,
    head: &ReplicaHead,
    sent_at: Instant,
    batch: RecordBatch,
) -> ReadOutcome {
    let full = batch.records.len() >= settings.read_limit.0 as usize;
    let next = batch.next;
    let mut records = batch.records;
    records.retain(|record| record.offset >= head.next);
    if !records.is_empty() {
        return ReadOutcome::Fold {
            records,
            complete_at: (!full).then_some(sent_at),
        };
    }
    if next == head.next {
        return ReadOutcome::Confirmed(sent_at);
    }
    ReadOutcome::Ignored
}
