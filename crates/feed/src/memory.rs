//! An in-memory log that emulates the log service.
//!
//! It retains records for a limited time, rejects requests above its rate
//! limits, and can inject faults of the real service: an outage, slow
//! responses, and responses lost after an append has taken effect.

use std::collections::{HashMap, VecDeque};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use model::{ErrorKind, KindError, LogOffset, RecordCount, SharedClock, StreamName};
use serde::{Deserialize, Serialize};

use crate::port::{LogPort, LogRecord, ReadReply, RecordBatch, Result};
use crate::rate::TokenBucket;

/// Maximum number of streams; guards against mistyped names.
const MAX_STREAMS: usize = 64;
/// Maximum size of a record in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;
/// Maximum time that a read waits for records.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Rate limits and retention of the log.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Maximum number of appends per second.
    pub appends_per_s: u32,
    /// Maximum number of reads per second.
    pub reads_per_s: u32,
    /// Retention time of records in seconds.
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

/// Injected faults.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Whether every request fails as unavailable.
    pub outage: bool,
    /// Delay of every response in milliseconds.
    pub delay_ms: u64,
    /// Number of future appends that take effect but whose responses are lost.
    pub lost_answers: u32,
}

/// Counters of requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogCounts {
    /// Number of appends that took effect.
    pub appends: u64,
    /// Number of reads within the rate limit, including those that fail because of an outage.
    pub reads: u64,
    /// Number of requests rejected by a rate limit.
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

    fn expire(&mut self, expiry_time: std::time::SystemTime) {
        while self
            .records
            .front()
            .is_some_and(|record| record.at < expiry_time)
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

/// An in-memory log.
#[derive(Debug)]
pub struct MemoryLog {
    settings: LogSettings,
    clock: SharedClock,
    state: Mutex<LogState>,
    appended: Condvar,
}

impl MemoryLog {
    /// Creates an empty log.
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

    /// Replaces the injected faults with `faults`.
    pub fn set_faults(&self, faults: LogFaults) {
        self.lock().faults = faults;
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> LogFaults {
        self.lock().faults
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> LogCounts {
        self.lock().counts
    }

    /// Removes all records from `end` on, to simulate a service that lost recent records.
    pub fn truncate(&self, stream: &StreamName, end: LogOffset) {
        if let Some(records) = self.lock().streams.get_mut(stream) {
            let keep = end.0.saturating_sub(records.first.0) as usize;
            records.records.truncate(keep);
        }
    }

    /// Removes all records before `first`, as if they had expired.
    pub fn expire_before(&self, stream: &StreamName, first: LogOffset) {
        if let Some(records) = self.lock().streams.get_mut(stream) {
            let count = first.0.saturating_sub(records.first.0) as usize;
            let removed = records.records.drain(..count.min(records.records.len()));
            records.first.0 += removed.len() as u64;
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

    fn expiry_time(&self) -> std::time::SystemTime {
        let retention = Duration::from_secs(self.settings.retention_s);
        let expiry_time = self.clock.wall().checked_sub(retention);
        expiry_time.unwrap_or(std::time::SystemTime::UNIX_EPOCH)
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
            return Err(unavailable("the response was lost"));
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
            records.expire(self.expiry_time());
            let reply = records.read(from, limit);
            let is_empty_at_end = matches!(&reply, ReadReply::Batch(batch) if batch.records.is_empty() && batch.next == from);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !is_empty_at_end || remaining.is_zero() {
                return Ok(reply);
            }
            let wait_result = self.appended.wait_timeout(state, remaining);
            state = wait_result.unwrap_or_else(PoisonError::into_inner).0;
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
            format!("the maximum of {MAX_STREAMS} streams is reached"),
        ));
    }
    Ok(state.streams.entry(stream.clone()).or_default())
}

fn check_size(body: &[u8]) -> Result<()> {
    let detail = format!(
        "record of {} bytes exceeds the maximum of {MAX_RECORD_BYTES}",
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
    KindError::new(
        ErrorKind::LogOverRate,
        "the rate limit of the log is exceeded",
    )
}

fn unavailable(detail: &str) -> KindError {
    KindError::new(ErrorKind::LogUnavailable, detail)
}
