//! Simulated log service with outages, delays and lost answers.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};

use crate::once::HolderId;
use feed::port::{LogRecord, ReadReply, RecordBatch};

use model::{LogOffset, RecordCount};

use rand::Rng;
use rand::rngs::SmallRng;

/// Request of a node to the log.
#[derive(Clone, Debug)]
pub enum LogRequest {
    Read(LogOffset, RecordCount),
    Append { serial: u64, body: Box<[u8]> },
}

/// Answer of the log.
#[derive(Clone, Debug)]
pub enum LogAnswer {
    Read(Option<ReadReply>),
    Appended { serial: u64, answered: bool },
}

struct PendingAppend {
    appended_at: u64,
    body: Box<[u8]>,
}

struct PendingAnswer {
    delivered_at: u64,
    to: HolderId,
    answer: LogAnswer,
}

#[derive(Default)]
pub struct WorldLog {
    pub outage: bool,
    /// Nodes that cannot reach the log.
    pub unreachable: BTreeSet<usize>,
    /// Percentage of appends whose answer is lost.
    pub lost_percent: u32,
    pub appends: usize,
    pub records: Vec<LogRecord>,
    first: u64,
    pending: Vec<PendingAppend>,
    answers: Vec<PendingAnswer>,
}

impl WorldLog {
    pub fn is_reachable(&self, node: usize) -> bool {
        !self.outage && !self.unreachable.contains(&node)
    }

    /// Drops every record older than `age_ms`.
    pub fn expire(&mut self, now: u64, age_ms: u64) {
        let limit = stamp(now - age_ms);
        let old = self.records.iter().filter(|entry| entry.at < limit).count();
        self.records.drain(..old);
        self.first += old as u64;
    }

    pub fn step(&mut self, now: u64) {
        let (due, pending): (Vec<_>, Vec<_>) = self
            .pending
            .drain(..)
            .partition(|append| append.appended_at <= now);
        self.pending = pending;
        for append in due {
            let offset = LogOffset(self.first + self.records.len() as u64);
            self.appends += 1;
            self.records.push(LogRecord {
                offset,
                at: stamp(now),
                body: append.body,
            });
        }
    }

    pub fn submit(
        &mut self,
        _node: usize,
        from: HolderId,
        request: LogRequest,
        connected: bool,
        now: u64,
        rng: &mut SmallRng,
    ) {
        let delivered_at = now + rng.random_range(1..60);
        let answer = match request {
            LogRequest::Read(..) if !connected => LogAnswer::Read(None),
            LogRequest::Read(offset, limit) => LogAnswer::Read(Some(self.read(offset, limit))),
            LogRequest::Append { serial, .. } if !connected => LogAnswer::Appended {
                serial,
                answered: false,
            },
            LogRequest::Append { serial, body } => {
                let lost = rng.random_range(0..100) < self.lost_percent;
                // An append whose answer is lost may also take effect much later.
                let delay = if lost { rng.random_range(0..2500) } else { 0 };
                let appended_at = now + delay;
                self.pending.push(PendingAppend { appended_at, body });
                let answered = !lost;
                LogAnswer::Appended { serial, answered }
            }
        };
        self.answers.push(PendingAnswer {
            delivered_at,
            to: from,
            answer,
        });
    }

    pub fn answers_for(&mut self, to: HolderId, now: u64) -> Vec<LogAnswer> {
        let due = |answer: &mut PendingAnswer| answer.to == to && answer.delivered_at <= now;
        let answers = self.answers.extract_if(.., due);
        answers.map(|pending| pending.answer).collect()
    }

    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn read(&self, from: LogOffset, limit: RecordCount) -> ReadReply {
        if from.0 < self.first {
            let first = LogOffset(self.first);
            return ReadReply::Expired { first };
        }
        let skipped = (from.0 - self.first) as usize;
        let wanted = self.records.iter().skip(skipped).take(limit.0 as usize);
        let records: Vec<LogRecord> = wanted.cloned().collect();
        ReadReply::Batch(RecordBatch {
            first: LogOffset(self.first),
            next: LogOffset(from.0.min(self.end()) + records.len() as u64),
            records,
        })
    }
}

fn stamp(now: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(now)
}
