//! Streams in memory: the stand-in for the log service.
//!
//! Keeps records for a limited time, refuses requests above its rates, and
//! brings about the faults of the real service on demand: an outage, slow
//! answers, and answers lost after an append took effect.

use std::collections::{HashMap, VecDeque};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use model::{ErrorKind, KindError, LogOffset, RecordCount, SharedClock, StreamName};
use serde::{Deserialize, Serialize};

use crate::port::{LogPort, LogRecord, ReadReply, RecordBatch, Result};
use crate::rate::TokenBucket;

/// Most streams kept; a bound against mistyped names.
const MAX_STREAMS: usize = 64;
/// Largest record in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;
/// Longest wait of one read.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Rates and retention of the stand-in.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Appends a second.
    pub appends_per_s: u32,
    /// Reads a second.
    pub reads_per_s: u32,
    /// How long records are kept, in seconds.
    pub retention_s: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            appends_per_s: 300,
            reads_per_s: 300,
            retention_s: 24 * 3600,
        }
    }
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Every request is answered as unavailable.
    pub outage: bool,
    /// Time added to every answer, in milliseconds.
    pub delay_ms: u64,
    /// Appends to come that take effect but whose answers are lost.
    pub lost_answers: u32,
}

/// What the log has served.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogCounts {
    /// Appends that took effect.
    pub appends: u64,
    /// Reads answered.
    pub reads: u64,
    /// Requests refused for their rate.
    pub over_rate: u64,
}

#[derive(Debug, Default)]
struct RecordStream {
    first: LogOffset,
    records: VecDeque<LogRecord>,
}

impl RecordStream {
    fn end(&self) -> LogOffset {
        LogOffset(self.first.0 + self.records.len() as u64)
    }

    fn push(&mut self, at: std::time::SystemTime, body: &[u8]) -> LogOffset {
        let offset = self.end();
        self.records.push_back(LogRecord {
            offset,
            at,
            body: body.into(),
        });
        offset
    }

    fn expire(&mut self, oldest: std::time::SystemTime) {
        while self
            .records
            .front()
            .is_some_and(|record| record.at < oldest)
        {
            self.records.pop_front();
            self.first = self.first.next();
        }
    }

    fn read(&self, from: LogOffset, limit: RecordCount) -> ReadReply {
        if from < self.first {
            return ReadReply::Expired { first: self.first };
        }
        let skip = from.0.saturating_sub(self.first.0) as usize;
        let records: Vec<LogRecord> = self
            .records
            .iter()
            .skip(skip)
            .take(limit.0 as usize)
            .cloned()
            .collect();
        let next = records
            .last()
            .map_or_else(|| self.end().min(from), |record| record.offset.next());
        ReadReply::Batch(RecordBatch {
            first: self.first,
            next,
            records,
        })
    }
}

#[derive(Debug)]
struct LogState {
    streams: HashMap<StreamName, RecordStream>,
    faults: LogFaults,
    counts: LogCounts,
    append_bucket: TokenBucket,
    read_bucket: TokenBucket,
}

/// A log in memory.
#[derive(Debug)]
pub struct MemoryLog {
    settings: LogSettings,
    clock: SharedClock,
    state: Mutex<LogState>,
    appended: Condvar,
}

impl MemoryLog {
    /// An empty log.
    pub fn new(settings: LogSettings, clock: SharedClock) -> Self {
        let now = clock.now();
        Self {
            settings,
            clock,
            state: Mutex::new(LogState {
                streams: HashMap::new(),
                faults: LogFaults::default(),
                counts: LogCounts::default(),
                append_bucket: TokenBucket::new(settings.appends_per_s, now),
                read_bucket: TokenBucket::new(settings.reads_per_s, now),
            }),
            appended: Condvar::new(),
        }
    }

    /// Puts `faults` in force in place of those before.
    pub fn set_faults(&self, faults: LogFaults) {
        self.lock().faults = faults;
    }

    /// The faults in force.
    pub fn faults(&self) -> LogFaults {
        self.lock().faults
    }

    /// What was served since the start.
    pub fn counts(&self) -> LogCounts {
        self.lock().counts
    }

    /// Forgets every record from `end` on, as a service that lost its tail.
    pub fn truncate(&self, stream: &StreamName, end: LogOffset) {
        if let Some(records) = self.lock().streams.get_mut(stream) {
            let keep = end.0.saturating_sub(records.first.0) as usize;
            records.records.truncate(keep);
        }
    }

    /// Forgets every record before `first`, as if it had expired.
    pub fn expire_before(&self, stream: &StreamName, first: LogOffset) {
        if let Some(records) = self.lock().streams.get_mut(stream) {
            let count = first.0.saturating_sub(records.first.0) as usize;
            let gone = records.records.drain(..count.min(records.records.len()));
            records.first.0 += gone.len() as u64;
        }
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn delay(&self) {
        let delay = Duration::from_millis(self.lock().faults.delay_ms);
        if !delay.is_zero() {
            thread::sleep(delay);
        }
    }

    fn oldest(&self) -> std::time::SystemTime {
        let retention = Duration::from_secs(self.settings.retention_s);
        let oldest = self.clock.wall().checked_sub(retention);
        oldest.unwrap_or(std::time::SystemTime::UNIX_EPOCH)
    }
}

impl LogPort for MemoryLog {
    fn append(&self, stream: &StreamName, body: &[u8]) -> Result<LogOffset> {
        self.delay();
        check_size(body)?;
        let mut state = self.lock();
        check_outage(state.faults)?;
        if !state.append_bucket.try_take(self.clock.now()) {
            return Err(over_rate(&mut state));
        }
        let at = self.clock.wall();
        let offset = open_stream(&mut state, stream)?.push(at, body);
        state.counts.appends += 1;
        self.appended.notify_all();
        if state.faults.lost_answers > 0 {
            state.faults.lost_answers -= 1;
            return Err(unavailable("the answer was lost"));
        }
        Ok(offset)
    }

    fn read(
        &self,
        stream: &StreamName,
        from: LogOffset,
        limit: RecordCount,
        wait: Duration,
    ) -> Result<ReadReply> {
        self.delay();
        let deadline = Instant::now() + wait.min(MAX_WAIT);
        let mut state = self.lock();
        if !state.read_bucket.try_take(self.clock.now()) {
            return Err(over_rate(&mut state));
        }
        state.counts.reads += 1;
        loop {
            check_outage(state.faults)?;
            let records = open_stream(&mut state, stream)?;
            records.expire(self.oldest());
            let answer = records.read(from, limit);
            let waiting = matches!(&answer, ReadReply::Batch(batch) if batch.records.is_empty() && batch.next == from);
            let left = deadline.saturating_duration_since(Instant::now());
            if !waiting || left.is_zero() {
                return Ok(answer);
            }
            let woken = self.appended.wait_timeout(state, left);
            state = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn open_stream<'state>(
    state: &'state mut LogState,
    stream: &StreamName,
) -> Result<&'state mut RecordStream> {
    if !state.streams.contains_key(stream) && state.streams.len() >= MAX_STREAMS {
        return Err(KindError::new(
            ErrorKind::RequestInvalid,
            format!("more than {MAX_STREAMS} streams"),
        ));
    }
    Ok(state.streams.entry(stream.clone()).or_default())
}

fn check_size(body: &[u8]) -> Result<()> {
    let detail = format!(
        "a record of {} bytes, more than {MAX_RECORD_BYTES}",
        body.len()
    );
    model::ensure(
        body.len() <= MAX_RECORD_BYTES,
        ErrorKind::BodyTooLarge,
        &detail,
    )
}

fn check_outage(faults: LogFaults) -> Result<()> {
    model::ensure(!faults.outage, ErrorKind::LogUnavailable, "outage")
}

fn over_rate(state: &mut LogState) -> KindError {
    state.counts.over_rate += 1;
    KindError::new(ErrorKind::LogOverRate, "the log's rate is used up")
}

fn unavailable(detail: &str) -> KindError {
    KindError::new(ErrorKind::LogUnavailable, detail)
}
