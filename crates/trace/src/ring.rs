//! The last events of one process, in bounded memory.
//!
//! The ring drops its oldest events when it is full and says how many it
//! dropped, so that a reader of the time line sees a gap as a gap.

use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use model::{
    ByteCount, ConfigVersion, DaemonId, DaemonName, DomainName, IncarnationNumber, SharedClock,
};
use serde::{Deserialize, Serialize};

use crate::clock::{HybridClock, HybridStamp, StampVerdict};
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
    pub stamp: HybridStamp,
    /// Events that it no longer has, of the time asked for.
    pub dropped: u64,
    /// Its events, oldest first.
    pub events: Vec<TraceEvent>,
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
    newest_dropped: HybridStamp,
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
            newest_dropped: HybridStamp::default(),
        }
    }

    /// Notes which version is in force, for the events that follow.
    pub fn set_version(&mut self, version: ConfigVersion) {
        self.version = version;
    }

    /// Notes an event; a detail that is too long is cut.
    pub fn record(&mut self, kind: EventKind, detail: &str) -> HybridStamp {
        let event = TraceEvent {
            stamp: self.hybrid.stamp(),
            daemon: self.process.daemon,
            incarnation: self.process.incarnation,
            version: self.version,
            kind,
            detail: bounded_detail(detail).into(),
        };
        let stamp = event.stamp;
        self.used += event.footprint();
        self.events.push_back(event);
        while self.used > self.memory.0 as usize {
            self.drop_oldest();
        }
        stamp
    }

    /// A stamp to send with a message.
    pub fn stamp(&mut self) -> HybridStamp {
        self.hybrid.stamp()
    }

    /// Takes the stamp of a message received.
    pub fn observe(&mut self, remote: HybridStamp) -> StampVerdict {
        self.hybrid.observe(remote)
    }

    /// The events of the last `span`, the newest [`MAX_REPORT_EVENTS`] at most.
    pub fn since(&mut self, span: Duration) -> ProcessReport {
        let wall = self.clock.wall();
        let begin = wall
            .checked_sub(span)
            .and_then(|begin| begin.duration_since(SystemTime::UNIX_EPOCH).ok())
            .map_or(0, |passed| passed.as_millis() as u64);
        let asked = self
            .events
            .iter()
            .filter(|event| event.stamp.wall_ms >= begin);
        let surplus = asked.clone().count().saturating_sub(MAX_REPORT_EVENTS);
        let lost = if self.newest_dropped.wall_ms >= begin {
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
    pub fn refused_stamps(&self) -> u64 {
        self.hybrid.refused()
    }

    fn drop_oldest(&mut self) {
        let Some(event) = self.events.pop_front() else {
            self.used = 0;
            return;
        };
        self.used -= event.footprint();
        self.dropped += 1;
        self.newest_dropped = event.stamp;
    }
}
