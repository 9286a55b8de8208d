//! A hybrid logical clock, which orders events of different machines causally.
//!
//! Timestamps follow the wall clock, with a counter for events that the wall
//! clock does not separate. Every timestamp is greater than all those issued or
//! accepted before it. Senders attach a timestamp to each message and receivers
//! observe it, so an effect has a later timestamp than its cause even if the
//! wall clocks of the two machines differ. Timestamps too far in the future are
//! rejected; otherwise one wrong clock would advance all others.

use std::time::{Duration, SystemTime};

use derive_more::Display;
use model::SharedClock;
use serde::{Deserialize, Serialize};

/// Maximum time by which a remote timestamp may be ahead of the local wall clock.
pub const MAX_DRIFT: Duration = Duration::from_secs(10);

/// A timestamp ordered by wall time, then by a counter.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[display("{wall_ms}.{count}")]
pub struct HybridTimestamp {
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Counter that orders timestamps within one millisecond.
    pub count: u32,
}

impl HybridTimestamp {
    /// Returns the smallest timestamp greater than this one.
    #[must_use]
    pub fn next(self) -> Self {
        match self.count.checked_add(1) {
            Some(count) => Self { count, ..self },
            None => Self {
                wall_ms: self.wall_ms + 1,
                count: 0,
            },
        }
    }

    /// Returns the wall-clock part.
    pub fn wall(self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_millis(self.wall_ms)
    }
}

/// Result of observing a remote timestamp.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TimestampCheck {
    /// Accepted; later timestamps of this clock are greater.
    Accepted,
    /// Rejected as too far ahead; either the remote or the local wall clock is wrong.
    TooFarAhead,
}

/// A hybrid logical clock.
#[derive(Debug)]
pub struct HybridClock {
    clock: SharedClock,
    last: HybridTimestamp,
    rejected: u64,
}

impl HybridClock {
    /// Creates a clock that follows the wall time of `clock`.
    pub fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            last: HybridTimestamp::default(),
            rejected: 0,
        }
    }

    /// Issues a timestamp greater than all issued or accepted before.
    pub fn stamp(&mut self) -> HybridTimestamp {
        let wall_ms = self.wall_ms();
        self.last = if wall_ms > self.last.wall_ms {
            HybridTimestamp { wall_ms, count: 0 }
        } else {
            self.last.next()
        };
        self.last
    }

    /// Observes the timestamp of a received message.
    pub fn observe(&mut self, remote: HybridTimestamp) -> TimestampCheck {
        let limit = self.wall_ms().saturating_add(MAX_DRIFT.as_millis() as u64);
        if remote.wall_ms > limit {
            self.rejected += 1;
            return TimestampCheck::TooFarAhead;
        }
        self.last = self.last.max(remote);
        TimestampCheck::Accepted
    }

    /// Returns the number of remote timestamps rejected as too far ahead.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    fn wall_ms(&self) -> u64 {
        self.clock
            .wall()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_millis() as u64)
    }
}
