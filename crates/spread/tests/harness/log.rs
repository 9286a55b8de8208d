//! In-memory log service of the harness, with fault injection.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use feed::port::{LogRecord, ReadReply, RecordBatch, Result as LogResult};
use model::{ErrorKind, IncarnationNumber, KindError, LogOffset};
use quetzal_spread::{LogRead, LogTag};

/// In-memory stream; `records[0]` has the offset `first`.
#[derive(Clone, Debug, Default)]
pub struct FakeStream {
    pub first: u64,
    pub records: Vec<LogRecord>,
}

impl FakeStream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    /// Drops all but the last `keep` records.
    pub fn expire(&mut self, keep: usize) {
        let expired = self.records.len().saturating_sub(keep);
        self.records.drain(..expired);
        self.first += expired as u64;
    }

    /// Removes the last `count` records, as a log that loses its tail.
    pub fn truncate(&mut self, count: usize) {
        let remaining = self.records.len().saturating_sub(count);
        self.records.truncate(remaining);
    }
}

/// Long poll that waits for a record.
struct PendingPoll {
    number: u64,
    index: usize,
    run: IncarnationNumber,
    tag: LogTag,
    stream: String,
    from: u64,
    limit: usize,
}

/// Long poll that has ended, with its answer.
pub struct CompletedPoll {
    pub index: usize,
    pub run: IncarnationNumber,
    pub tag: LogTag,
    pub answer: LogResult<ReadReply>,
}

/// Outcome of a read: an answer, or the number of a pending poll.
pub enum ReadOutcome {
    Answer(LogResult<ReadReply>),
    Wait(u64),
}

/// In-memory log service.
#[derive(Default)]
pub struct FakeLog {
    pub streams: BTreeMap<String, FakeStream>,
    /// Whether all requests fail.
    pub down: bool,
    /// Maximum number of requests per second that are answered.
    pub rate: Option<u64>,
    /// Whether appends take effect while their answers are lost.
    pub lose_answers: bool,
    /// Number of requests in each second.
    pub per_second: BTreeMap<u64, u64>,
    pub reads: u64,
    pub appends: u64,
    polls: Vec<PendingPoll>,
    last_poll: u64,
}

impl FakeLog {
    pub fn new() -> Self {
        Self::default()
    }

    pub fn stream(&mut self, name: &str) -> &mut FakeStream {
        self.streams.entry(name.to_owned()).or_default()
    }

    pub fn append(&mut self, stream: &str, body: &[u8], at: SystemTime) -> LogOffset {
        let stream = self.stream(stream);
        let offset = LogOffset(stream.next());
        stream.records.push(LogRecord {
            offset,
            at,
            body: body.into(),
        });
        offset
    }

    pub fn try_append(
        &mut self,
        stream: &str,
        body: &[u8],
        at: SystemTime,
        now: Duration,
    ) -> LogResult<LogOffset> {
        self.appends += 1;
        self.admit(now)?;
        let offset = self.append(stream, body, at);
        if self.lose_answers {
            return Err(unavailable());
        }
        Ok(offset)
    }

    pub fn read(
        &mut self,
        index: usize,
        run: IncarnationNumber,
        read: &LogRead,
        now: Duration,
    ) -> ReadOutcome {
        self.reads += 1;
        if let Err(error) = self.admit(now) {
            return ReadOutcome::Answer(Err(error));
        }
        let limit = read.limit.0 as usize;
        let answer = self.find(read.stream.as_str(), read.from.0, limit);
        let empty = matches!(&answer, ReadReply::Batch(batch) if batch.records.is_empty()
            && batch.next == read.from);
        if !empty || read.wait.is_zero() {
            return ReadOutcome::Answer(Ok(answer));
        }
        self.last_poll += 1;
        self.polls.push(PendingPoll {
            number: self.last_poll,
            index,
            run,
            tag: read.tag,
            stream: read.stream.to_string(),
            from: read.from.0,
            limit,
        });
        ReadOutcome::Wait(self.last_poll)
    }

    /// Counts a request and fails it during an outage or above the rate.
    fn admit(&mut self, now: Duration) -> LogResult<()> {
        let count = self.per_second.entry(now.as_secs()).or_default();
        *count += 1;
        if self.down {
            return Err(unavailable());
        }
        let is_within_rate = self.rate.is_none_or(|rate| *count <= rate);
        model::ensure(is_within_rate, ErrorKind::LogOverRate, "above the rate")
    }

    fn find(&mut self, stream: &str, from: u64, limit: usize) -> ReadReply {
        let stream = self.stream(stream);
        if from < stream.first {
            return ReadReply::Expired {
                first: LogOffset(stream.first),
            };
        }
        let skipped = (from - stream.first) as usize;
        let records = stream.records.iter().skip(skipped).take(limit);
        let records = records.cloned().collect::<Vec<_>>();
        let next = records
            .last()
            .map_or(stream.next().min(from), |last| last.offset.0 + 1);
        ReadReply::Batch(RecordBatch {
            first: LogOffset(stream.first),
            next: LogOffset(next),
            records,
        })
    }

    /// Ends the polls whose stream has new records, or all of them during an outage.
    pub fn wake_polls(&mut self) -> Vec<CompletedPoll> {
        let polls = std::mem::take(&mut self.polls);
        let (completed, pending) = polls.into_iter().partition::<Vec<_>, _>(|poll| {
            let stream = self.streams.get(&poll.stream);
            self.down || stream.is_some_and(|stream| stream.next() > poll.from)
        });
        self.polls = pending;
        completed.iter().map(|poll| self.end(poll)).collect()
    }

    /// Ends a poll whose wait time has passed.
    pub fn end_poll(&mut self, number: u64) -> Vec<CompletedPoll> {
        let index = self.polls.iter().position(|poll| poll.number == number);
        let poll = index.map(|index| self.polls.swap_remove(index));
        poll.iter().map(|poll| self.end(poll)).collect()
    }

    fn end(&mut self, poll: &PendingPoll) -> CompletedPoll {
        let answer = if self.down {
            Err(unavailable())
        } else {
            Ok(self.find(&poll.stream, poll.from, poll.limit))
        };
        CompletedPoll {
            index: poll.index,
            run: poll.run,
            tag: poll.tag,
            answer,
        }
    }

    pub fn reset_counts(&mut self) {
        self.per_second.clear();
        (self.reads, self.appends) = (0, 0);
    }

    /// Returns the maximum number of requests within one second.
    pub fn peak(&self) -> u64 {
        self.per_second.values().copied().max().unwrap_or(0)
    }
}

fn unavailable() -> KindError {
    KindError::new(ErrorKind::LogUnavailable, "outage")
}
