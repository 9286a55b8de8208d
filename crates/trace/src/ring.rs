//! The last events of one process, in bounded memory.
//!
//! The ring drops its oldest events when it is full and says how many it
//! dropped, so that a reader of the time line sees a gap as a gap.

use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use model::{
    ByteCount, ConfigVersion, DaemonId, DaemonName, DomainName, IncarnationNumber, ServiceName,
    SharedClock,
};
use serde::{Deserialize, Serialize};

use crate::clock::{HybridClock, HybridTimestamp, TimestampCheck};
use crate::event::{EventKind, TraceEvent, bounded_detail};

/// Memory that a ring takes if nothing else is asked for.
pub const DEFAULT_MEMORY: ByteCount = ByteCount(512 * 1024);
/// Most events in one report.
pub const MAX_REPORT_EVENTS: usize = 2048;

/// Which process a ring belongs to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProcessIdentity {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its run.
    pub incarnation: IncarnationNumber,
    /// Name for people.
    pub name: DaemonName,
    /// Its failure domain.
    pub domain: DomainName,
}

/// What one process answers when asked for its events.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProcessReport {
    /// The process.
    pub process: ProcessIdentity,
    /// When it answered.
    pub stamp: HybridTimestamp,
    /// Events that it no longer has, of the time asked for.
    pub dropped: u64,
    /// Its events, oldest first.
    pub events: Vec<TraceEvent>,
}

/// Which events are asked for; what is not named is not judged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EventQuery {
    /// How far to look back, in milliseconds.
    pub span_ms: u64,
    /// Most events of one process, the newest.
    pub most: u32,
    /// Only events whose detail names this service.
    pub service: Option<ServiceName>,
    /// Only processes of this failure domain.
    pub domain: Option<DomainName>,
    /// Only the process of this name.
    pub process: Option<DaemonName>,
}

impl EventQuery {
    /// All events of the last `span`.
    pub fn within(span: Duration) -> Self {
        Self {
            span_ms: span.as_millis() as u64,
            most: MAX_REPORT_EVENTS as u32,
            service: None,
            domain: None,
            process: None,
        }
    }

    /// Whether it asks for events of this process.
    pub fn matches_process(&self, process: &ProcessIdentity) -> bool {
        let domain = self.domain.as_ref();
        let name = self.process.as_ref();
        domain.is_none_or(|domain| *domain == process.domain)
            && name.is_none_or(|name| *name == process.name)
    }

    fn is_about(&self, event: &TraceEvent) -> bool {
        let in_word = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
        let named = |service: &ServiceName| {
            let mut words = event.detail.split(|letter| !in_word(letter));
            words.any(|word| word == service.as_str())
        };
        self.service.as_ref().is_none_or(named)
    }
}

/// The last events of one process.
#[derive(Debug)]
pub struct EventRing {
    process: ProcessIdentity,
    clock: SharedClock,
    hybrid: HybridClock,
    version: ConfigVersion,
    memory: ByteCount,
    used: usize,
    events: VecDeque<TraceEvent>,
    dropped: u64,
    newest_dropped: HybridTimestamp,
}

impl EventRing {
    /// An empty ring of at most `memory` bytes.
    pub fn new(process: ProcessIdentity, memory: ByteCount, clock: SharedClock) -> Self {
        Self {
            process,
            hybrid: HybridClock::new(SharedClock::clone(&clock)),
            clock,
            version: ConfigVersion::NONE,
            memory,
            used: 0,
            events: VecDeque::new(),
            dropped: 0,
            newest_dropped: HybridTimestamp::default(),
        }
    }

    /// Notes which version is in force, for the events that follow.
    pub fn set_version(&mut self, version: ConfigVersion) {
        self.version = version;
    }

    /// Notes an event; a detail that is too long is cut.
    pub fn record(&mut self, kind: EventKind, detail: &str) -> HybridTimestamp {
        let event = TraceEvent {
            stamp: self.hybrid.stamp(),
            daemon: self.process.daemon,
            incarnation: self.process.incarnation,
            version: self.version,
            kind,
            detail: bounded_detail(detail).into(),
        };
        let stamp = event.stamp;
        self.used += event.memory_size();
        self.events.push_back(event);
        while self.used > self.memory.0 as usize {
            self.drop_oldest();
        }
        stamp
    }

    /// A stamp to send with a message.
    pub fn stamp(&mut self) -> HybridTimestamp {
        self.hybrid.stamp()
    }

    /// Takes the stamp of a message received.
    pub fn observe(&mut self, remote: HybridTimestamp) -> TimestampCheck {
        self.hybrid.observe(remote)
    }

    /// The events of the last `span`, the newest [`MAX_REPORT_EVENTS`] at most.
    pub fn report_within(&mut self, span: Duration) -> ProcessReport {
        self.select(&EventQuery::within(span))
    }

    /// The events asked for, the newest of them if there are too many.
    pub fn select(&mut self, query: &EventQuery) -> ProcessReport {
        let wall = self.clock.wall();
        let begin = wall
            .checked_sub(Duration::from_millis(query.span_ms))
            .and_then(|begin| begin.duration_since(SystemTime::UNIX_EPOCH).ok())
            .map_or(0, |passed| passed.as_millis() as u64);
        let asks_here = query.matches_process(&self.process);
        let asked = self
            .events
            .iter()
            .filter(|event| asks_here && event.stamp.wall_ms >= begin && query.is_about(event));
        let most = MAX_REPORT_EVENTS.min(query.most as usize);
        let surplus = asked.clone().count().saturating_sub(most);
        let lost = if asks_here && self.newest_dropped.wall_ms >= begin {
            self.dropped
        } else {
            0
        };
        ProcessReport {
            process: self.process.clone(),
            events: asked.skip(surplus).cloned().collect(),
            dropped: lost + surplus as u64,
            stamp: self.hybrid.stamp(),
        }
    }

    /// How many events are held.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Whether no event is held.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Memory that the events take.
    pub fn memory_used(&self) -> ByteCount {
        ByteCount(self.used as u64)
    }

    /// How many remote stamps were too far ahead to follow.
    pub fn rejected_timestamps(&self) -> u64 {
        self.hybrid.rejected()
    }

    fn drop_oldest(&mut self) {
        let Some(event) = self.events.pop_front() else {
            self.used = 0;
            return;
        };
        self.used -= event.memory_size();
        self.dropped += 1;
        self.newest_dropped = event.stamp;
    }
}
