//! A ring buffer of the latest events of one process, bounded by memory.
//!
//! When the buffer is full, the oldest events are dropped and counted, so that
//! reports and the timeline show where events are missing.

use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use model::{
    ByteCount, ConfigVersion, DaemonId, DaemonName, DomainName, IncarnationNumber, ServiceName,
    SharedClock,
};
use serde::{Deserialize, Serialize};

use crate::clock::{HybridClock, HybridTimestamp, TimestampCheck};
use crate::event::{EventKind, TraceEvent, truncate_detail};

/// Default memory limit of a ring.
pub const DEFAULT_MEMORY: ByteCount = ByteCount(512 * 1024);
/// Maximum number of events in a report.
pub const MAX_REPORT_EVENTS: usize = 2048;

/// Identity of the process that owns a ring.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProcessIdentity {
    /// Id of the daemon.
    pub daemon: DaemonId,
    /// Incarnation of the daemon.
    pub incarnation: IncarnationNumber,
    /// Human-readable name.
    pub name: DaemonName,
    /// Failure domain of the daemon.
    pub domain: DomainName,
}

/// A process's answer to an [`EventQuery`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProcessReport {
    /// Process that made the report.
    pub process: ProcessIdentity,
    /// Time of the report.
    pub stamp: HybridTimestamp,
    /// Maximum number of events missing from the queried time span.
    ///
    /// Counts matching events beyond the limit of the report and, if the ring dropped any event
    /// of the span, all events that it ever dropped.
    pub dropped: u64,
    /// Matching events, oldest first.
    pub events: Vec<TraceEvent>,
}

/// A filter for events; criteria that are `None` match everything.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EventQuery {
    /// How far to look back, in milliseconds.
    pub span_ms: u64,
    /// Maximum number of events per process; the newest are kept.
    pub most: u32,
    /// Selects only events whose detail names this service.
    pub service: Option<ServiceName>,
    /// Selects only processes in this failure domain.
    pub domain: Option<DomainName>,
    /// Selects only the process with this name.
    pub process: Option<DaemonName>,
}

impl EventQuery {
    /// Creates a query for all events of the last `span`.
    pub fn within(span: Duration) -> Self {
        Self {
            span_ms: span.as_millis() as u64,
            most: MAX_REPORT_EVENTS as u32,
            service: None,
            domain: None,
            process: None,
        }
    }

    /// Returns whether the query selects events of `process`.
    pub fn matches_process(&self, process: &ProcessIdentity) -> bool {
        let domain = self.domain.as_ref();
        let name = self.process.as_ref();
        domain.is_none_or(|domain| *domain == process.domain)
            && name.is_none_or(|name| *name == process.name)
    }

    fn matches_service(&self, event: &TraceEvent) -> bool {
        let is_name_char = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        let mentioned = |service: &ServiceName| {
            let mut words = event.detail.split(|c| !is_name_char(c));
            words.any(|word| word == service.as_str())
        };
        self.service.as_ref().is_none_or(mentioned)
    }
}

/// Ring buffer of the latest events of one process.
#[derive(Debug)]
pub struct EventRing {
    process: ProcessIdentity,
    clock: SharedClock,
    hybrid: HybridClock,
    version: ConfigVersion,
    memory_limit: ByteCount,
    memory_used: usize,
    events: VecDeque<TraceEvent>,
    dropped: u64,
    newest_dropped: HybridTimestamp,
}

impl EventRing {
    /// Creates an empty ring that uses at most `memory_limit` bytes for events.
    pub fn new(process: ProcessIdentity, memory_limit: ByteCount, clock: SharedClock) -> Self {
        Self {
            process,
            hybrid: HybridClock::new(SharedClock::clone(&clock)),
            clock,
            version: ConfigVersion::NONE,
            memory_limit,
            memory_used: 0,
            events: VecDeque::new(),
            dropped: 0,
            newest_dropped: HybridTimestamp::default(),
        }
    }

    /// Sets the configuration version that later events carry.
    pub fn set_version(&mut self, version: ConfigVersion) {
        self.version = version;
    }

    /// Records an event and returns its timestamp; a detail that is too long is truncated.
    pub fn record(&mut self, kind: EventKind, detail: &str) -> HybridTimestamp {
        let event = TraceEvent {
            stamp: self.hybrid.stamp(),
            daemon: self.process.daemon,
            incarnation: self.process.incarnation,
            version: self.version,
            kind,
            detail: truncate_detail(detail).into(),
        };
        let stamp = event.stamp;
        self.memory_used += event.memory_size();
        self.events.push_back(event);
        while self.memory_used > self.memory_limit.0 as usize {
            self.drop_oldest();
        }
        stamp
    }

    /// Issues a timestamp to send with a message.
    pub fn stamp(&mut self) -> HybridTimestamp {
        self.hybrid.stamp()
    }

    /// Observes the timestamp of a received message.
    pub fn observe(&mut self, remote: HybridTimestamp) -> TimestampCheck {
        self.hybrid.observe(remote)
    }

    /// Reports the events of the last `span`, at most the newest [`MAX_REPORT_EVENTS`].
    pub fn report_within(&mut self, span: Duration) -> ProcessReport {
        self.select(&EventQuery::within(span))
    }

    /// Reports the events selected by `query`, only the newest if there are too many.
    pub fn select(&mut self, query: &EventQuery) -> ProcessReport {
        let wall = self.clock.wall();
        let begin = wall
            .checked_sub(Duration::from_millis(query.span_ms))
            .and_then(|begin| begin.duration_since(SystemTime::UNIX_EPOCH).ok())
            .map_or(0, |elapsed| elapsed.as_millis() as u64);
        let process_matches = query.matches_process(&self.process);
        let selected = self.events.iter().filter(|event| {
            process_matches && event.stamp.wall_ms >= begin && query.matches_service(event)
        });
        let limit = MAX_REPORT_EVENTS.min(query.most as usize);
        let surplus = selected.clone().count().saturating_sub(limit);
        let dropped = if process_matches && self.newest_dropped.wall_ms >= begin {
            self.dropped
        } else {
            0
        };
        ProcessReport {
            process: self.process.clone(),
            events: selected.skip(surplus).cloned().collect(),
            dropped: dropped + surplus as u64,
            stamp: self.hybrid.stamp(),
        }
    }

    /// Returns the number of events in the ring.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Returns whether the ring is empty.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Returns the memory used by the events.
    pub fn memory_used(&self) -> ByteCount {
        ByteCount(self.memory_used as u64)
    }

    /// Returns the number of remote timestamps rejected as too far ahead.
    pub fn rejected_timestamps(&self) -> u64 {
        self.hybrid.rejected()
    }

    fn drop_oldest(&mut self) {
        let Some(event) = self.events.pop_front() else {
            self.memory_used = 0;
            return;
        };
        self.memory_used -= event.memory_size();
        self.dropped += 1;
        self.newest_dropped = event.stamp;
    }
}
