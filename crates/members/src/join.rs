//! Discovery of the first members through the log.
//!
//! Appends and reads are spread over time, so that a fleet that restarts
//! together stays below the rate limit of the log. A starting daemon that knows
//! enough members when its read is due does not read at all, and one that knows
//! only a few postpones the read twice. Only the last records of the stream are
//! read: they name enough daemons from which to learn of the rest.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use feed::port::{LogRecord, ReadReply};
use model::{DaemonId, IncarnationNumber, LogOffset, RecordCount};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::record::{JoinRecord, StreamRecord};

/// Time over which daemons that start together spread their appends.
pub const APPEND_SPREAD: Duration = Duration::from_secs(3);
/// Minimum delay from the first append to the first read.
pub const READ_DELAY: Duration = Duration::from_millis(500);
/// Time over which daemons that start together spread their reads.
pub const READ_SPREAD: Duration = Duration::from_secs(4);
/// Mean time between reads of a daemon that knows enough members.
pub const READ_INTERVAL: Duration = Duration::from_secs(900);
/// Number of records read from the end of the stream.
pub const TAIL_RECORDS: RecordCount = RecordCount(192);
/// Number of known members from which a starting daemon needs no read.
pub const ENOUGH_MEMBERS: usize = 3;
/// Maximum backoff after failed reads or appends, for a fleet that shares a slow log.
pub const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// Maximum number of contact candidates.
const MAX_CANDIDATES: usize = 1024;
/// Maximum doublings of the delay between reads while a daemon knows too few members; the
/// backoff after failures allows two more.
const MAX_DOUBLINGS: u32 = 4;
/// Number of due reads that a daemon skips after a first contact.
const MAX_SKIPPED_READS: u32 = 2;
/// Time without an answer after which a read is repeated.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

/// Stage of a read of the stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReadStage {
    Idle,
    /// The end of the stream has been requested.
    FindEnd,
    /// The last records have been requested.
    ReadTail,
}

/// A read that is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedRead {
    /// First offset to read; `u64::MAX` returns no records, only the end of the stream.
    pub from: LogOffset,
    /// Maximum number of records to return.
    pub limit: RecordCount,
}

/// Timing of log accesses when daemons start together.
///
/// The default keeps a large fleet below the rate limit of a slow log. A log
/// that handles one request of each daemon within a second allows a faster
/// start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JoinTiming {
    /// Time over which appends are spread.
    pub append_spread: Duration,
    /// Whether to read the log right at the start, for the records of earlier incarnations.
    pub read_at_start: bool,
    /// Minimum delay from the first append to the first read.
    pub read_delay: Duration,
    /// Time over which reads are spread.
    pub read_spread: Duration,
    /// Maximum backoff after failed reads or appends.
    pub max_backoff: Duration,
}

impl Default for JoinTiming {
    fn default() -> Self {
        Self {
            append_spread: APPEND_SPREAD,
            read_at_start: false,
            read_delay: READ_DELAY,
            read_spread: READ_SPREAD,
            max_backoff: MAX_BACKOFF,
        }
    }
}

/// Schedule of appends to and reads of the stream, and the daemons found in it.
#[derive(Debug)]
pub struct JoinPlan {
    own: DaemonId,
    timing: JoinTiming,
    record_interval: Duration,
    append_at: Instant,
    read_at: Instant,
    stage: ReadStage,
    starting: bool,
    skipped_reads: u32,
    completed_reads: u32,
    consecutive_failures: u32,
    candidates: BTreeMap<DaemonId, JoinRecord>,
}

impl JoinPlan {
    /// Creates a plan for a daemon that starts at `now` and repeats its join record every
    /// `record_interval`.
    pub fn new(
        own: DaemonId,
        record_interval: Duration,
        timing: JoinTiming,
        now: Instant,
        rng: &mut SmallRng,
    ) -> Self {
        let append_at = now + random_delay(timing.append_spread, rng);
        let first_read_at = append_at + timing.read_delay + random_delay(timing.read_spread, rng);
        Self {
            own,
            timing,
            record_interval,
            append_at,
            read_at: if timing.read_at_start {
                now
            } else {
                first_read_at
            },
            stage: ReadStage::Idle,
            starting: true,
            skipped_reads: 0,
            completed_reads: 0,
            consecutive_failures: 0,
            candidates: BTreeMap::new(),
        }
    }

    /// Returns whether a join record is due and, if so, schedules the next one.
    pub fn take_append(&mut self, now: Instant, rng: &mut SmallRng) -> bool {
        if now < self.append_at {
            return false;
        }
        self.append_at = now + self.record_interval.mul_f64(rng.random_range(0.8..1.0));
        true
    }

    /// Schedules another append after a backoff, since the last one failed.
    pub fn on_append_failed(&mut self, now: Instant, rng: &mut SmallRng) {
        self.append_at = now + self.backoff(rng);
    }

    /// Schedules an append after a random delay, as at startup, since the whole fleet may do this at
    /// once.
    pub fn schedule_append(&mut self, now: Instant, rng: &mut SmallRng) {
        self.append_at = now + random_delay(self.timing.append_spread, rng);
    }

    /// Returns the read that is due, if any; `members` is the number of known members.
    pub fn take_read(
        &mut self,
        members: usize,
        now: Instant,
        rng: &mut SmallRng,
    ) -> Option<PlannedRead> {
        if now < self.read_at {
            return None;
        }
        if self.starting && members >= ENOUGH_MEMBERS {
            // The known members provide the rest.
            self.starting = false;
            self.finish_read(now, rng);
            return None;
        }
        if self.starting && members > 0 && self.skipped_reads < MAX_SKIPPED_READS {
            // A member has just made contact, so more members will follow without a read.
            self.skipped_reads += 1;
            self.read_at = now + self.timing.read_spread.mul_f64(rng.random_range(0.5..1.0));
            return None;
        }
        self.stage = ReadStage::FindEnd;
        self.read_at = now + READ_TIMEOUT;
        Some(PlannedRead {
            from: LogOffset(u64::MAX),
            limit: RecordCount(1),
        })
    }

    /// Handles the answer to a read; returns the follow-up read, if any.
    pub fn on_answer(
        &mut self,
        answer: &ReadReply,
        now: Instant,
        rng: &mut SmallRng,
    ) -> Option<PlannedRead> {
        match (self.stage, answer) {
            (ReadStage::Idle, _) => None,
            (ReadStage::FindEnd, ReadReply::Batch(batch)) => {
                self.stage = ReadStage::ReadTail;
                let tail = batch.next.0.saturating_sub(TAIL_RECORDS.0.into());
                Some(PlannedRead {
                    from: LogOffset(tail.max(batch.first.0)),
                    limit: TAIL_RECORDS,
                })
            }
            (ReadStage::ReadTail, ReadReply::Batch(batch)) => {
                self.take_records(&batch.records);
                self.finish_read(now, rng);
                None
            }
            (_, ReadReply::Expired { first }) => {
                self.stage = ReadStage::ReadTail;
                Some(PlannedRead {
                    from: *first,
                    limit: TAIL_RECORDS,
                })
            }
        }
    }

    /// Schedules another read after a backoff, since this one failed.
    pub fn on_read_failed(&mut self, now: Instant, rng: &mut SmallRng) {
        self.stage = ReadStage::Idle;
        self.read_at = now + self.backoff(rng);
    }

    /// Adds the daemons that the last [`TAIL_RECORDS`] of `records` name to the contact candidates,
    /// and removes those that have left.
    pub fn take_records(&mut self, records: &[LogRecord]) {
        for record in records.iter().rev().take(TAIL_RECORDS.0 as usize).rev() {
            match StreamRecord::decode(&record.body) {
                Ok(StreamRecord::Join(join)) if join.id != self.own => {
                    if self.candidates.len() < MAX_CANDIDATES {
                        self.candidates.insert(join.id, join);
                    }
                }
                Ok(StreamRecord::Leave(leave)) => self.remove_left(leave.id, leave.incarnation),
                Ok(StreamRecord::Join(_)) | Err(_) => {}
            }
        }
    }

    /// Picks up to `count` random candidates that satisfy `wanted`.
    pub fn pick(
        &self,
        count: usize,
        wanted: impl Fn(DaemonId) -> bool,
        rng: &mut SmallRng,
    ) -> Vec<&JoinRecord> {
        let mut matching: Vec<&JoinRecord> = self
            .candidates
            .values()
            .filter(|join| wanted(join.id))
            .collect();
        let mut picked = Vec::new();
        while picked.len() < count && !matching.is_empty() {
            picked.push(matching.swap_remove(rng.random_range(0..matching.len())));
        }
        picked
    }

    /// Drops the candidates once enough members are known.
    pub fn clear_candidates(&mut self) {
        self.candidates.clear();
    }

    fn remove_left(&mut self, id: DaemonId, incarnation: IncarnationNumber) {
        let has_left = self
            .candidates
            .get(&id)
            .is_some_and(|join| join.incarnation <= incarnation);
        if has_left {
            self.candidates.remove(&id);
        }
    }

    fn finish_read(&mut self, now: Instant, rng: &mut SmallRng) {
        self.stage = ReadStage::Idle;
        self.consecutive_failures = 0;
        let delay = if self.starting {
            self.completed_reads = (self.completed_reads + 1).min(MAX_DOUBLINGS);
            self.timing.read_spread * (1 << self.completed_reads)
        } else {
            READ_INTERVAL
        };
        self.read_at = now + delay.mul_f64(rng.random_range(0.5..1.5));
    }

    fn backoff(&mut self, rng: &mut SmallRng) -> Duration {
        self.consecutive_failures += 1;
        let base = Duration::from_secs(1 << self.consecutive_failures.min(2 + MAX_DOUBLINGS))
            .min(self.timing.max_backoff);
        base.mul_f64(rng.random_range(0.5..1.5))
    }
}

fn random_delay(max: Duration, rng: &mut SmallRng) -> Duration {
    max.mul_f64(rng.random::<f64>())
}
