//! Snapshots in the log: finding the newest, judging when the next is due.
//!
//! A snapshot names the head that it was taken at and carries a checksum, so
//! one that is written twice, late or by a paused process does no harm: a
//! reader takes it only if it is whole and newer than what it holds, and sees
//! by the offset whether records are missing after it.

use std::time::{Duration, Instant};

use feed::port::{ReadReply, Result as LogResult};
use model::{ConfigVersion, ErrorKind, KindError, LogOffset, RecordCount};
use rand::Rng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::message::{AppendResult, LogAppend, LogRead, LogTag, SnapshotInfo};
use crate::replica::{MAX_UPDATE_BYTES, ReplicaHead};
use crate::settings::SpreadSettings;

/// Results of reading a snapshot.
///
/// Kinds: `SnapshotInvalid`.
pub type Result<T> = model::Result<T>;

/// An offset that no stream reaches; a read there tells where the stream ends.
const BEYOND_END: LogOffset = LogOffset(i64::MAX as u64);

/// Snapshots looked at before giving up.
const MAX_LOOKS: u32 = 4;

/// Pause after a search or an append, found or not.
const SEARCH_PAUSE: Duration = Duration::from_secs(2);

/// Longest time for one step of a search.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);

/// Shortest time between two snapshots of one writer.
const APPEND_SPACING: Duration = Duration::from_secs(10);

/// A snapshot as a record of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotRecord {
    /// The head that the state is at.
    pub head: ReplicaHead,
    /// The state, encoded by the replica.
    pub state: Box<[u8]>,
    /// Checksum over head and state.
    pub checksum: u64,
}

impl SnapshotRecord {
    /// A snapshot of `state` at `head`.
    pub fn new(head: ReplicaHead, state: Box<[u8]>) -> Self {
        let checksum = checksum(&head, &state);
        Self {
            head,
            state,
            checksum,
        }
    }

    /// Encodes the snapshot as the body of a record.
    pub fn encode(&self) -> Box<[u8]> {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
            .expect("plain data encodes")
            .into_boxed_slice()
    }

    /// Decodes and checks a record's body.
    pub fn decode(body: &[u8]) -> Result<Self> {
        let config = bincode::config::standard().with_limit::<{ MAX_UPDATE_BYTES * 2 }>();
        let (record, _): (Self, usize) = bincode::serde::decode_from_slice(body, config)
            .map_err(|error| KindError::new(ErrorKind::SnapshotInvalid, error.to_string()))?;
        let whole = record.checksum == checksum(&record.head, &record.state);
        model::ensure(whole, ErrorKind::SnapshotInvalid, "the checksum differs")?;
        Ok(record)
    }
}

fn checksum(head: &ReplicaHead, state: &[u8]) -> u64 {
    let head = bincode::serde::encode_to_vec(head, bincode::config::standard())
        .expect("plain data encodes");
    xxh3_64_with_seed(state, xxh3_64(&head))
}

/// What an answer to the keeper means.
#[derive(Debug)]
pub enum SnapshotOutcome {
    /// Not the keeper's, or a step on the way.
    Waiting,
    /// A whole snapshot.
    Found(Box<SnapshotRecord>),
    /// The search ended without a usable snapshot.
    NotFound,
}

/// One step under way.
#[derive(Clone, Copy, Debug)]
struct KeeperStep {
    tag: LogTag,
    kind: StepKind,
    deadline: Instant,
}

#[derive(Clone, Copy, Debug)]
enum StepKind {
    FindEnd,
    Look { offset: LogOffset, looks: u32 },
    Append { position: ConfigVersion },
}

/// The newest snapshot known to be in the log.
#[derive(Clone, Copy, Debug)]
struct KnownSnapshot {
    position: ConfigVersion,
    written_at: Instant,
}

/// Finds and writes snapshots.
#[derive(Debug, Default)]
pub struct SnapshotManager {
    known: Option<KnownSnapshot>,
    step: Option<KeeperStep>,
    look_next: Option<(LogOffset, u32)>,
    checked_at: Option<Instant>,
    due_since: Option<Instant>,
    jitter: Duration,
    next_at: Option<Instant>,
    appended_at: Option<Instant>,
}

impl SnapshotManager {
    /// The newest snapshot known, for other readers.
    pub fn newest(&self, now: Instant) -> Option<SnapshotInfo> {
        self.known.map(|known| SnapshotInfo {
            position: known.position,
            age: now.saturating_duration_since(known.written_at).into(),
        })
    }

    /// Another reader knows of a snapshot.
    pub fn record_peer_snapshot(&mut self, mark: SnapshotInfo, now: Instant) {
        let written_at = now.checked_sub(Duration::from(mark.age)).unwrap_or(now);
        self.note(mark.position, written_at);
    }

    fn note(&mut self, position: ConfigVersion, written_at: Instant) {
        let older = |known: &KnownSnapshot| {
            known.position > position
                || known.position == position && known.written_at >= written_at
        };
        if !self.known.as_ref().is_some_and(older) {
            self.known = Some(KnownSnapshot {
                position,
                written_at,
            });
        }
    }

    /// Forgets a step that took too long.
    pub fn expire(&mut self, now: Instant) {
        if self.step.is_some_and(|step| now >= step.deadline) {
            self.end_search(now);
        }
    }

    /// The next read of a search for the newest snapshot, if it is time.
    pub fn poll_search(
        &mut self,
        settings: &SpreadSettings,
        tag: LogTag,
        now: Instant,
    ) -> Option<LogRead> {
        let early = self.next_at.is_some_and(|at| now < at);
        if self.step.is_some() || early {
            return None;
        }
        let (kind, from, limit) = match self.look_next.take() {
            Some((offset, looks)) => (StepKind::Look { offset, looks }, offset, RecordCount(1)),
            None => (StepKind::FindEnd, BEYOND_END, RecordCount(1)),
        };
        self.step = Some(KeeperStep {
            tag,
            kind,
            deadline: now + STEP_TIMEOUT,
        });
        Some(LogRead {
            tag,
            stream: settings.snapshot_stream.clone(),
            from,
            limit,
            wait: Duration::ZERO,
        })
    }

    /// Takes the answer to a read; `needed` is the lowest head of use.
    pub fn answer_read(
        &mut self,
        tag: LogTag,
        answer: LogResult<ReadReply>,
        needed: LogOffset,
        clock: &dyn model::ClockPort,
    ) -> SnapshotOutcome {
        let now = clock.now();
        let Some(step) = self.step.take_if(|step| step.tag == tag) else {
            return SnapshotOutcome::Waiting;
        };
        let Ok(ReadReply::Batch(batch)) = answer else {
            self.end_search(now);
            return SnapshotOutcome::NotFound;
        };
        match step.kind {
            StepKind::FindEnd => self.look_before(batch.next, batch.first, MAX_LOOKS, now),
            StepKind::Look { offset, looks } => {
                let Some(record) = batch.records.first() else {
                    self.end_search(now);
                    return SnapshotOutcome::NotFound;
                };
                let age = clock.wall().duration_since(record.at).unwrap_or_default();
                let found = SnapshotRecord::decode(&record.body).ok();
                let Some(found) = found.filter(|found| found.head.next >= needed) else {
                    return self.look_before(offset, batch.first, looks - 1, now);
                };
                let written_at = now.checked_sub(age).unwrap_or(now);
                self.note(found.head.position, written_at);
                self.end_search(now);
                SnapshotOutcome::Found(Box::new(found))
            }
            StepKind::Append { .. } => SnapshotOutcome::Waiting,
        }
    }

    /// Goes on with the record before `end`, if the stream has one.
    fn look_before(
        &mut self,
        end: LogOffset,
        first: LogOffset,
        looks: u32,
        now: Instant,
    ) -> SnapshotOutcome {
        match end.0.checked_sub(1) {
            Some(offset) if offset >= first.0 && looks > 0 => {
                self.look_next = Some((LogOffset(offset), looks));
                SnapshotOutcome::Waiting
            }
            _ => {
                self.end_search(now);
                SnapshotOutcome::NotFound
            }
        }
    }

    fn end_search(&mut self, now: Instant) {
        self.step = None;
        self.look_next = None;
        self.checked_at = Some(now);
        self.next_at = Some(now + SEARCH_PAUSE);
    }

    /// Whether a search is under way.
    pub fn is_searching(&self) -> bool {
        self.step.is_some() || self.look_next.is_some()
    }

    /// Whether a snapshot of `head` should be written by the writer of this `place`.
    pub fn is_due(
        &mut self,
        settings: &SpreadSettings,
        rng: &mut SmallRng,
        head: &ReplicaHead,
        place: usize,
        now: Instant,
    ) -> bool {
        let needed = self.known.is_none_or(|known| {
            let changes = head
                .position
                .number()
                .saturating_sub(known.position.number());
            let age = now.saturating_duration_since(known.written_at);
            changes >= settings.snapshot_changes || age >= settings.snapshot_age
        });
        if !needed {
            self.due_since = None;
            return false;
        }
        let since = *self.due_since.get_or_insert_with(|| {
            self.jitter = Duration::from_millis(rng.random_range(0..1000));
            now
        });
        let delay = settings.snapshot_stagger * place as u32 + self.jitter;
        now.saturating_duration_since(since) >= delay
    }

    /// Whether the stream was searched at all.
    pub fn has_searched(&self) -> bool {
        self.checked_at.is_some()
    }

    /// Whether the stream was searched since a snapshot became due.
    pub fn has_searched_since_due(&self) -> bool {
        match (self.checked_at, self.due_since) {
            (Some(checked_at), Some(since)) => checked_at >= since + self.jitter,
            _ => false,
        }
    }

    /// The append of a snapshot, if it is time.
    pub fn poll_append(
        &mut self,
        settings: &SpreadSettings,
        tag: LogTag,
        snapshot: impl FnOnce() -> SnapshotRecord,
        now: Instant,
    ) -> Option<LogAppend> {
        let recent = |at: Instant| now.saturating_duration_since(at) < APPEND_SPACING;
        if self.is_searching() || self.appended_at.is_some_and(recent) {
            return None;
        }
        let snapshot = snapshot();
        self.appended_at = Some(now);
        self.step = Some(KeeperStep {
            tag,
            kind: StepKind::Append {
                position: snapshot.head.position,
            },
            deadline: now + STEP_TIMEOUT,
        });
        Some(LogAppend {
            tag,
            stream: settings.snapshot_stream.clone(),
            body: snapshot.encode(),
        })
    }

    /// Takes the answer to an append; a failure leaves the snapshot due.
    pub fn answer_append(&mut self, tag: LogTag, answer: &AppendResult, now: Instant) {
        let Some(step) = self.step.take_if(|step| step.tag == tag) else {
            return;
        };
        if let StepKind::Append { position } = step.kind
            && answer.is_ok()
        {
            self.note(position, now);
        }
        self.due_since = None;
        self.next_at = Some(now + SEARCH_PAUSE);
    }
}
