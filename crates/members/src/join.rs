//! How a daemon finds the first members through the log.
//!
//! The plan spreads appends and reads over time, so that a fleet that
//! restarts together stays below the log's rate. A daemon that others
//! contacted before its turn does not read at all. Only the last records of
//! the stream are read: they name enough daemons to ask for the rest.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use feed::port::{LogRecord, ReadAnswer};
use model::{DaemonId, IncarnationNumber, LogOffset, RecordCount};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::record::{JoinRecord, StreamRecord};

/// Time over which daemons that start together append.
pub const APPEND_SPREAD: Duration = Duration::from_secs(3);
/// Least wait from the first append to the first read.
pub const READ_DELAY: Duration = Duration::from_millis(500);
/// Time over which daemons that start together read.
pub const READ_SPREAD: Duration = Duration::from_secs(4);
/// Mean time between reads of a daemon that has members.
pub const READ_INTERVAL: Duration = Duration::from_secs(900);
/// Records read from the end of the stream.
pub const TAIL_RECORDS: RecordCount = RecordCount(192);
/// Members with which a daemon needs no read to start.
pub const ENOUGH_MEMBERS: usize = 3;
/// Longest wait after failed reads or appends of a fleet that shares a slow log.
pub const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// Most daemons kept that may be contacted.
const MAX_CANDIDATES: usize = 1024;
/// Most doublings of the wait of a daemon that finds no members.
const MAX_DOUBLINGS: u32 = 4;
/// Turns to read that a daemon lets pass after a first contact.
const MAX_WAIVED: u32 = 2;
/// Silence after which a read counts as failed.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

/// Where the reading of the stream stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReadStage {
    Idle,
    /// The end of the stream was asked for.
    Head,
    /// The last records were asked for.
    Tail,
}

/// A read that is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedRead {
    /// Where to read; the highest offset asks for the end of the stream only.
    pub from: LogOffset,
    /// Most records to return.
    pub limit: RecordCount,
}

/// How fast daemons that start together use the log.
///
/// The default keeps a large fleet below the rate of a slow log; a log that
/// takes a call of each daemon within a second allows a faster start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JoinTiming {
    /// Time over which the appends are spread.
    pub append_spread: Duration,
    /// Whether the log is read at the start already, for the records of earlier runs.
    pub read_at_start: bool,
    /// Least wait from the first append to the first read.
    pub read_delay: Duration,
    /// Time over which the reads are spread.
    pub read_spread: Duration,
    /// Longest wait after failed reads or appends.
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

/// When to append to and read from the stream, and whom it named.
#[derive(Debug)]
pub struct JoinPlan {
    own: DaemonId,
    timing: JoinTiming,
    record_interval: Duration,
    append_at: Instant,
    read_at: Instant,
    stage: ReadStage,
    starting: bool,
    waived: u32,
    turns: u32,
    failures: u32,
    candidates: BTreeMap<DaemonId, JoinRecord>,
}

impl JoinPlan {
    /// A plan for a daemon that starts at `now` and repeats its record each `record_interval`.
    pub fn new(
        own: DaemonId,
        record_interval: Duration,
        timing: JoinTiming,
        now: Instant,
        rng: &mut SmallRng,
    ) -> Self {
        let append_at = now + spread(timing.append_spread, rng);
        let turn = append_at + timing.read_delay + spread(timing.read_spread, rng);
        Self {
            own,
            timing,
            record_interval,
            append_at,
            read_at: if timing.read_at_start { now } else { turn },
            stage: ReadStage::Idle,
            starting: true,
            waived: 0,
            turns: 0,
            failures: 0,
            candidates: BTreeMap::new(),
        }
    }

    /// Whether a join record is due; the next one is planned.
    pub fn take_append(&mut self, now: Instant, rng: &mut SmallRng) -> bool {
        if now < self.append_at {
            return false;
        }
        self.append_at = now + self.record_interval.mul_f64(rng.random_range(0.8..1.0));
        true
    }

    /// Plans another append soon, since the last one failed.
    pub fn on_append_failed(&mut self, now: Instant, rng: &mut SmallRng) {
        self.append_at = now + self.backoff(rng);
    }

    /// Plans an append as after a start; the whole fleet may do so at once.
    pub fn schedule_append(&mut self, now: Instant, rng: &mut SmallRng) {
        self.append_at = now + spread(self.timing.append_spread, rng);
    }

    /// The read that is due; `members` are known already.
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
            // The members that it has tell it the rest.
            self.starting = false;
            self.finish_read(now, rng);
            return None;
        }
        if self.starting && members > 0 && self.waived < MAX_WAIVED {
            // Somebody made contact just now: more will follow without a read.
            self.waived += 1;
            self.read_at = now + self.timing.read_spread.mul_f64(rng.random_range(0.5..1.0));
            return None;
        }
        self.stage = ReadStage::Head;
        self.read_at = now + READ_TIMEOUT;
        Some(PlannedRead {
            from: LogOffset(u64::MAX),
            limit: RecordCount(1),
        })
    }

    /// Takes the answer of a read; tells the next read of the same turn.
    pub fn on_answer(
        &mut self,
        answer: &ReadAnswer,
        now: Instant,
        rng: &mut SmallRng,
    ) -> Option<PlannedRead> {
        match (self.stage, answer) {
            (ReadStage::Idle, _) => None,
            (ReadStage::Head, ReadAnswer::Batch(batch)) => {
                self.stage = ReadStage::Tail;
                let tail = batch.next.0.saturating_sub(TAIL_RECORDS.0.into());
                Some(PlannedRead {
                    from: LogOffset(tail.max(batch.first.0)),
                    limit: TAIL_RECORDS,
                })
            }
            (ReadStage::Tail, ReadAnswer::Batch(batch)) => {
                self.take_records(&batch.records);
                self.finish_read(now, rng);
                None
            }
            (_, ReadAnswer::Expired { first }) => {
                self.stage = ReadStage::Tail;
                Some(PlannedRead {
                    from: *first,
                    limit: TAIL_RECORDS,
                })
            }
        }
    }

    /// Plans another read later, since this one failed.
    pub fn on_read_failed(&mut self, now: Instant, rng: &mut SmallRng) {
        self.stage = ReadStage::Idle;
        self.read_at = now + self.backoff(rng);
    }

    /// Keeps the daemons that `records` name as candidates.
    pub fn take_records(&mut self, records: &[LogRecord]) {
        for record in records.iter().rev().take(TAIL_RECORDS.0 as usize).rev() {
            match StreamRecord::decode(&record.body) {
                Ok(StreamRecord::Join(join)) if join.id != self.own => {
                    if self.candidates.len() < MAX_CANDIDATES {
                        self.candidates.insert(join.id, join);
                    }
                }
                Ok(StreamRecord::Leave(leave)) => self.drop_left(leave.id, leave.incarnation),
                Ok(StreamRecord::Join(_)) | Err(_) => {}
            }
        }
    }

    /// Up to `count` random candidates for which `wanted` holds.
    pub fn pick(
        &self,
        count: usize,
        wanted: impl Fn(DaemonId) -> bool,
        rng: &mut SmallRng,
    ) -> Vec<&JoinRecord> {
        let mut wanted: Vec<&JoinRecord> = self
            .candidates
            .values()
            .filter(|join| wanted(join.id))
            .collect();
        let mut picked = Vec::new();
        while picked.len() < count && !wanted.is_empty() {
            picked.push(wanted.swap_remove(rng.random_range(0..wanted.len())));
        }
        picked
    }

    /// Forgets candidates, once enough members are known.
    pub fn clear_candidates(&mut self) {
        self.candidates.clear();
    }

    fn drop_left(&mut self, id: DaemonId, incarnation: IncarnationNumber) {
        let left = self
            .candidates
            .get(&id)
            .is_some_and(|join| join.incarnation <= incarnation);
        if left {
            self.candidates.remove(&id);
        }
    }

    fn finish_read(&mut self, now: Instant, rng: &mut SmallRng) {
        self.stage = ReadStage::Idle;
        self.failures = 0;
        let wait = if self.starting {
            self.turns = (self.turns + 1).min(MAX_DOUBLINGS);
            self.timing.read_spread * (1 << self.turns)
        } else {
            READ_INTERVAL
        };
        self.read_at = now + wait.mul_f64(rng.random_range(0.5..1.5));
    }

    fn backoff(&mut self, rng: &mut SmallRng) -> Duration {
        self.failures += 1;
        let base = Duration::from_secs(1 << self.failures.min(2 + MAX_DOUBLINGS))
            .min(self.timing.max_backoff);
        base.mul_f64(rng.random_range(0.5..1.5))
    }
}

fn spread(range: Duration, rng: &mut SmallRng) -> Duration {
    range.mul_f64(rng.random::<f64>())
}
