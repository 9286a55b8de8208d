//! Reads the config stream with long polls, verification of the last record and
//! exponential backoff.
//!
//! The reader does not assume that the log is still the one it read before. After
//! each failure, periodically, and before it folds the records of a long poll, it
//! reads its own last record again. A shorter log or a different record there means
//! that the log lost its tail or was started anew. The daemon then keeps its state,
//! reports the divergence and searches the log for a rebase, see `recovery`.

use std::time::{Duration, Instant};

use derive_more::Display;
use feed::port::{LogRecord, ReadReply, RecordBatch, Result as LogResult};
use model::{ErrorKind, LogOffset};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::message::{LogRead, LogTag};
use crate::replica::{ReplicaHead, record_hash};
use crate::settings::SpreadSettings;

/// Time between two reads of a log that cannot be followed at the moment.
const UNUSABLE_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// State of the config stream as known to this daemon.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum LogState {
    /// Not read yet.
    #[display("not read yet")]
    Unknown,
    /// The last read succeeded.
    #[display("up")]
    Up,
    /// The last read failed.
    #[display("down: {_0}")]
    Down(ErrorKind),
    /// It ends before this daemon's head or has a different record there.
    #[display("diverged: it ends or differs at {_0}")]
    Diverged(LogOffset),
    /// Records expired before they were read; the stream now starts at this offset.
    #[display("unusable: records before {_0} expired unread")]
    Gap(LogOffset),
    /// The replica cannot fold the record at this offset, which needs a newer release.
    #[display("unusable: a newer release is needed for the record at {_0}")]
    Stuck(LogOffset),
}

/// Outcome of a read.
#[derive(Debug, Eq, PartialEq)]
pub enum ReadOutcome {
    /// Nothing to fold or confirm, for example because the answer is outdated or the
    /// next read must verify it first.
    Ignored,
    /// The log ended at this daemon's head at this time.
    Confirmed(Instant),
    /// Records that follow this daemon's head.
    Fold {
        /// Records in the order of their offsets.
        records: Vec<LogRecord>,
        /// Time at which these were the last records, if the batch reached the end.
        complete_at: Option<Instant>,
    },
    /// The log cannot be followed; [`ConfigReader::state`] tells why.
    Failed,
}

/// Read that is in progress.
#[derive(Clone, Copy, Debug)]
struct PendingRead {
    tag: LogTag,
    from: LogOffset,
    held_next: LogOffset,
    verify: bool,
    sent_at: Instant,
    deadline: Instant,
}

/// Reader of the config stream.
#[derive(Debug)]
pub struct ConfigReader {
    state: LogState,
    pending: Option<PendingRead>,
    next_at: Option<Instant>,
    verified_at: Option<Instant>,
    /// Start of the stream when this daemon's last record was found to be expired.
    expired_first: Option<LogOffset>,
    failed_at: Option<Instant>,
    failures: u32,
}

impl ConfigReader {
    /// Creates a reader that has not read yet.
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

    /// Returns the known state of the stream.
    pub fn state(&self) -> LogState {
        self.state
    }

    /// Returns when the log was last found down or diverged, if it still is.
    pub fn down_at(&self) -> Option<Instant> {
        let down = matches!(self.state, LogState::Down(_) | LogState::Diverged(_));
        down.then_some(self.failed_at).flatten()
    }

    /// Returns whether the reader waits for the answer with this tag.
    pub fn awaits(&self, tag: LogTag) -> bool {
        self.pending.is_some_and(|pending| pending.tag == tag)
    }

    /// Resets the reader: the answer to its pending read is ignored, and the next read
    /// verifies the last record.
    pub fn reset(&mut self) {
        *self = Self::new();
    }

    /// Records that the replica cannot fold the record at `offset`, and reads it again later.
    pub fn mark_stuck(&mut self, offset: LogOffset, now: Instant) {
        self.suspend(LogState::Stuck(offset), now);
    }

    /// Schedules an immediate read that verifies the last record, as after a new snapshot.
    pub fn verify_now(&mut self, now: Instant) {
        self.verified_at = None;
        self.next_at = Some(now);
    }

    /// Returns the next read if it is due.
    pub fn poll(
        &mut self,
        settings: &SpreadSettings,
        head: &ReplicaHead,
        tag: LogTag,
        now: Instant,
    ) -> Option<LogRead> {
        let too_early = self.next_at.is_some_and(|at| now < at);
        if self.pending.is_some() || too_early {
            return None;
        }
        let verify = self.must_verify(settings, now);
        let overlap = u64::from(verify && head.last_record != 0);
        let from = LogOffset(head.next.0.saturating_sub(overlap));
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

    /// Returns whether the next read verifies the last record instead of waiting for new ones.
    fn must_verify(&self, settings: &SpreadSettings, now: Instant) -> bool {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= settings.verify_interval;
        self.state != LogState::Up || self.verified_at.is_none_or(is_due)
    }

    /// Fails the pending read if it is past its deadline, and returns whether it was.
    pub fn expire(&mut self, settings: &SpreadSettings, rng: &mut SmallRng, now: Instant) -> bool {
        let timed_out = self.pending.is_some_and(|pending| now >= pending.deadline);
        if timed_out {
            self.pending = None;
            self.fail(ErrorKind::LogUnavailable, settings, rng, now);
        }
        timed_out
    }

    /// Handles the answer to a read.
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
                self.check_batch(settings, rng, head, pending, batch, now)
            }
            Ok(ReadReply::Expired { first }) => self.check_expired(head, pending, first, now),
            Err(error) => {
                self.fail(error.kind, settings, rng, now);
                ReadOutcome::Failed
            }
        }
    }

    fn check_batch(
        &mut self,
        settings: &SpreadSettings,
        rng: &mut SmallRng,
        head: &ReplicaHead,
        pending: PendingRead,
        batch: RecordBatch,
        now: Instant,
    ) -> ReadOutcome {
        if !is_contiguous(&batch, pending.from) {
            self.fail(ErrorKind::LogAnswerInvalid, settings, rng, now);
            return ReadOutcome::Failed;
        }
        if batch.next < pending.held_next {
            return self.suspend(LogState::Diverged(batch.next), now);
        }
        if batch.first > head.next {
            return self.suspend(LogState::Gap(batch.first), now);
        }
        if let Some(offset) = find_differing_record(&batch.records, head) {
            return self.suspend(LogState::Diverged(offset), now);
        }
        if !pending.verify && self.is_unverified(head, &batch) {
            // While the read waited, the log may have lost its end and grown past it
            // again. These records are read again together with the one before them.
            self.verify_now(now);
            return ReadOutcome::Ignored;
        }
        self.succeed(pending, now);
        select_records(settings, head, pending.sent_at, batch)
    }

    /// Returns whether the batch has records, but this daemon's last record must be
    /// read again before they are folded. Once that record has expired, it cannot be.
    fn is_unverified(&self, head: &ReplicaHead, batch: &RecordBatch) -> bool {
        let expired = self.expired_first.is_some_and(|first| first >= head.next);
        !batch.records.is_empty() && head.last_record != 0 && !expired
    }

    /// Handles an expired record, which is harmless if it was only read to be verified.
    fn check_expired(
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
        self.suspend(LogState::Gap(first), now)
    }

    fn succeed(&mut self, pending: PendingRead, now: Instant) {
        self.state = LogState::Up;
        self.failures = 0;
        if pending.verify {
            self.verified_at = Some(now);
        }
    }

    /// Enters a state in which the log cannot be followed, and retries only after a
    /// longer interval.
    fn suspend(&mut self, state: LogState, now: Instant) -> ReadOutcome {
        self.state = state;
        self.failed_at = Some(now);
        self.next_at = Some(now + UNUSABLE_LOG_INTERVAL);
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
        let backoff = doubled.min(settings.max_backoff);
        self.next_at = Some(now + backoff.mul_f64(rng.random_range(0.75..1.25)));
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

/// Returns whether the records have consecutive offsets starting at `from`.
pub(crate) fn is_contiguous(batch: &RecordBatch, from: LogOffset) -> bool {
    let start = from.0;
    batch
        .records
        .iter()
        .zip(start..)
        .all(|(record, offset)| record.offset.0 == offset)
}

/// Returns the offset of this daemon's last record if the log has a different one there.
fn find_differing_record(records: &[LogRecord], head: &ReplicaHead) -> Option<LogOffset> {
    let last = records
        .iter()
        .find(|record| record.offset.next() == head.next)?;
    let differs = head.last_record != 0 && record_hash(last) != head.last_record;
    differs.then_some(last.offset)
}

/// Selects the records that follow `head`, which updates from peers may have advanced
/// since the read was sent.
fn select_records(
    settings: &SpreadSettings,
    head: &ReplicaHead,
    sent_at: Instant,
    batch: RecordBatch,
) -> ReadOutcome {
    let is_full = batch.records.len() >= settings.read_limit.0 as usize;
    let next = batch.next;
    let mut records = batch.records;
    records.retain(|record| record.offset >= head.next);
    if !records.is_empty() {
        return ReadOutcome::Fold {
            records,
            complete_at: (!is_full).then_some(sent_at),
        };
    }
    if next == head.next {
        return ReadOutcome::Confirmed(sent_at);
    }
    ReadOutcome::Ignored
}
