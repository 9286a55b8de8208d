//! Snapshots in the log: finding the newest one and deciding when the next is due.
//!
//! A snapshot contains the head it was taken at and a checksum. One that is written
//! twice, late or by a paused process is therefore harmless: a reader accepts it
//! only if it is intact and newer than its own state, and detects missing records
//! by the offset of the head.

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

/// Result of decoding a snapshot.
///
/// Kinds: `SnapshotInvalid`.
pub type Result<T> = model::Result<T>;

/// Offset beyond the end of any stream; a read there returns where the stream ends.
const BEYOND_END: LogOffset = LogOffset(i64::MAX as u64);

/// Maximum number of snapshots read in one search.
const MAX_ATTEMPTS: u32 = 4;

/// Delay from the end of a search or an append, successful or not, to the next search.
const SEARCH_DELAY: Duration = Duration::from_secs(2);

/// Time after which one step of a search, or an append, fails.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);

/// Minimum time between two snapshots of one writer.
const MIN_APPEND_INTERVAL: Duration = Duration::from_secs(10);

/// Snapshot as a record of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotRecord {
    /// Head of the state.
    pub head: ReplicaHead,
    /// State, encoded by the replica.
    pub state: Box<[u8]>,
    /// Checksum of head and state.
    pub checksum: u64,
}

impl SnapshotRecord {
    /// Creates a snapshot of `state` at `head`.
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

    /// Decodes the body of a record and verifies its checksum.
    pub fn decode(body: &[u8]) -> Result<Self> {
        let config = bincode::config::standard().with_limit::<{ MAX_UPDATE_BYTES * 2 }>();
        let (record, _): (Self, usize) = bincode::serde::decode_from_slice(body, config)
            .map_err(|error| KindError::new(ErrorKind::SnapshotInvalid, error.to_string()))?;
        let is_intact = record.checksum == checksum(&record.head, &record.state);
        model::ensure(
            is_intact,
            ErrorKind::SnapshotInvalid,
            "the checksum differs",
        )?;
        Ok(record)
    }
}

fn checksum(head: &ReplicaHead, state: &[u8]) -> u64 {
    let head = bincode::serde::encode_to_vec(head, bincode::config::standard())
        .expect("plain data encodes");
    xxh3_64_with_seed(state, xxh3_64(&head))
}

/// Result of one step of a search for a snapshot.
#[derive(Debug)]
pub enum SnapshotOutcome {
    /// The answer belongs to no step, or the search continues.
    Waiting,
    /// An intact snapshot was found.
    Found(Box<SnapshotRecord>),
    /// The search ended without a usable snapshot.
    NotFound,
}

/// Step of a search, or append, that is in progress.
#[derive(Clone, Copy, Debug)]
struct SnapshotStep {
    tag: LogTag,
    kind: StepKind,
    deadline: Instant,
}

#[derive(Clone, Copy, Debug)]
enum StepKind {
    FindEnd,
    Read {
        offset: LogOffset,
        attempts_left: u32,
    },
    Append {
        position: ConfigVersion,
    },
}

/// Newest snapshot known to be in the log.
#[derive(Clone, Copy, Debug)]
struct KnownSnapshot {
    position: ConfigVersion,
    written_at: Instant,
}

/// Finds snapshots in the log and schedules new ones.
#[derive(Debug, Default)]
pub struct SnapshotManager {
    known: Option<KnownSnapshot>,
    step: Option<SnapshotStep>,
    /// Next read of the search in progress: offset and number of attempts left.
    next_read: Option<(LogOffset, u32)>,
    /// End of the last search, successful or not, or time at which an append timed out.
    checked_at: Option<Instant>,
    /// Time since which the known snapshot is outdated.
    due_since: Option<Instant>,
    /// Random delay added to `due_since`, so that writers do not act at the same time.
    jitter: Duration,
    /// Earliest time of the next search.
    next_at: Option<Instant>,
    appended_at: Option<Instant>,
}

impl SnapshotManager {
    /// Returns the newest known snapshot, to be reported to other readers.
    pub fn newest(&self, now: Instant) -> Option<SnapshotInfo> {
        self.known.map(|known| SnapshotInfo {
            position: known.position,
            age: now.saturating_duration_since(known.written_at).into(),
        })
    }

    /// Records a snapshot reported by another reader.
    pub fn record_peer_snapshot(&mut self, info: SnapshotInfo, now: Instant) {
        let written_at = now.checked_sub(Duration::from(info.age)).unwrap_or(now);
        self.record(info.position, written_at);
    }

    fn record(&mut self, position: ConfigVersion, written_at: Instant) {
        let supersedes = |known: &KnownSnapshot| {
            known.position > position
                || known.position == position && known.written_at >= written_at
        };
        if !self.known.as_ref().is_some_and(supersedes) {
            self.known = Some(KnownSnapshot {
                position,
                written_at,
            });
        }
    }

    /// Ends a step that is past its deadline.
    pub fn expire(&mut self, now: Instant) {
        if self.step.is_some_and(|step| now >= step.deadline) {
            self.end_search(now);
        }
    }

    /// Returns the next read of a search for the newest snapshot, if it is due.
    pub fn poll_search(
        &mut self,
        settings: &SpreadSettings,
        tag: LogTag,
        now: Instant,
    ) -> Option<LogRead> {
        let too_early = self.next_at.is_some_and(|at| now < at);
        if self.step.is_some() || too_early {
            return None;
        }
        let (kind, from, limit) = match self.next_read.take() {
            Some((offset, attempts_left)) => (
                StepKind::Read {
                    offset,
                    attempts_left,
                },
                offset,
                RecordCount(1),
            ),
            None => (StepKind::FindEnd, BEYOND_END, RecordCount(1)),
        };
        self.step = Some(SnapshotStep {
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

    /// Handles the answer to a read; snapshots before `min_offset` are skipped.
    pub fn answer_read(
        &mut self,
        tag: LogTag,
        answer: LogResult<ReadReply>,
        min_offset: LogOffset,
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
            StepKind::FindEnd => self.read_before(batch.next, batch.first, MAX_ATTEMPTS, now),
            StepKind::Read {
                offset,
                attempts_left,
            } => {
                let Some(record) = batch.records.first() else {
                    self.end_search(now);
                    return SnapshotOutcome::NotFound;
                };
                let age = clock.wall().duration_since(record.at).unwrap_or_default();
                let found = SnapshotRecord::decode(&record.body).ok();
                let Some(found) = found.filter(|found| found.head.next >= min_offset) else {
                    return self.read_before(offset, batch.first, attempts_left - 1, now);
                };
                let written_at = now.checked_sub(age).unwrap_or(now);
                self.record(found.head.position, written_at);
                self.end_search(now);
                SnapshotOutcome::Found(Box::new(found))
            }
            StepKind::Append { .. } => SnapshotOutcome::Waiting,
        }
    }

    /// Schedules a read of the record before `end`, if the stream has one.
    fn read_before(
        &mut self,
        end: LogOffset,
        first: LogOffset,
        attempts_left: u32,
        now: Instant,
    ) -> SnapshotOutcome {
        match end.0.checked_sub(1) {
            Some(offset) if offset >= first.0 && attempts_left > 0 => {
                self.next_read = Some((LogOffset(offset), attempts_left));
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
        self.next_read = None;
        self.checked_at = Some(now);
        self.next_at = Some(now + SEARCH_DELAY);
    }

    /// Returns whether a step is in progress or scheduled.
    pub fn is_searching(&self) -> bool {
        self.step.is_some() || self.next_read.is_some()
    }

    /// Returns whether a snapshot of `head` is due for the writer of this rank.
    ///
    /// Writers wait longer the lower they rank, so usually only one of them writes.
    pub fn is_due(
        &mut self,
        settings: &SpreadSettings,
        rng: &mut SmallRng,
        head: &ReplicaHead,
        rank: usize,
        now: Instant,
    ) -> bool {
        let is_outdated = self.known.is_none_or(|known| {
            let records = head
                .position
                .number()
                .saturating_sub(known.position.number());
            let age = now.saturating_duration_since(known.written_at);
            records >= settings.snapshot_records || age >= settings.snapshot_age
        });
        if !is_outdated {
            self.due_since = None;
            return false;
        }
        let since = *self.due_since.get_or_insert_with(|| {
            self.jitter = Duration::from_millis(rng.random_range(0..1000));
            now
        });
        let delay = settings.snapshot_stagger * rank as u32 + self.jitter;
        now.saturating_duration_since(since) >= delay
    }

    /// Returns whether the stream has been searched at least once.
    pub fn has_searched(&self) -> bool {
        self.checked_at.is_some()
    }

    /// Returns whether a search has ended since a snapshot became due and the random
    /// delay passed.
    pub fn has_searched_since_due(&self) -> bool {
        match (self.checked_at, self.due_since) {
            (Some(checked_at), Some(since)) => checked_at >= since + self.jitter,
            _ => false,
        }
    }

    /// Returns the append of a snapshot, if one may be written now.
    pub fn poll_append(
        &mut self,
        settings: &SpreadSettings,
        tag: LogTag,
        snapshot: impl FnOnce() -> SnapshotRecord,
        now: Instant,
    ) -> Option<LogAppend> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MIN_APPEND_INTERVAL;
        if self.is_searching() || self.appended_at.is_some_and(is_recent) {
            return None;
        }
        let snapshot = snapshot();
        self.appended_at = Some(now);
        self.step = Some(SnapshotStep {
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

    /// Handles the answer to an append; after a failure the snapshot becomes due again
    /// after the same delay as before, with new jitter.
    pub fn answer_append(&mut self, tag: LogTag, answer: &AppendResult, now: Instant) {
        let Some(step) = self.step.take_if(|step| step.tag == tag) else {
            return;
        };
        if let StepKind::Append { position } = step.kind
            && answer.is_ok()
        {
            self.record(position, now);
        }
        self.due_since = None;
        self.next_at = Some(now + SEARCH_DELAY);
    }
}
