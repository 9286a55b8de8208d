//! A clock that orders events of different machines by cause.
//!
//! A hybrid logical clock follows the wall clock where it can and counts up
//! where it must: every stamp is greater than all stamps made or seen before
//! it. Whoever sends a message adds a stamp, whoever receives it observes that
//! stamp, so an effect is always stamped after its cause even when the wall
//! clocks of two machines differ. A stamp too far in the future is not
//! followed, or one wrong clock would drag all others along.

use std::time::{Duration, SystemTime};

use derive_more::Display;
use model::SharedClock;
use serde::{Deserialize, Serialize};

/// How far ahead of the own wall clock a remote stamp may be.
pub const MAX_DRIFT: Duration = Duration::from_secs(10);

/// A point in the order of events: wall time first, then a count.
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
    /// Order within one millisecond.
    pub count: u32,
}

impl HybridTimestamp {
    /// The least stamp above this one.
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

    /// The stamp's wall time.
    pub fn wall(self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_millis(self.wall_ms)
    }
}

/// What became of a remote stamp.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TimestampCheck {
    /// Later stamps of this clock are greater.
    Accepted,
    /// Too far ahead; the remote machine's wall clock is wrong, or this one's.
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
    /// A clock that follows the wall time of `clock`.
    pub fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            last: HybridTimestamp::default(),
            rejected: 0,
        }
    }

    /// A stamp for an event or a message, greater than all before it.
    pub fn stamp(&mut self) -> HybridTimestamp {
        let wall_ms = self.wall_ms();
        self.last = if wall_ms > self.last.wall_ms {
            HybridTimestamp { wall_ms, count: 0 }
        } else {
            self.last.next()
        };
        self.last
    }

    /// Takes the stamp of a message received.
    pub fn observe(&mut self, remote: HybridTimestamp) -> TimestampCheck {
        let limit = self.wall_ms().saturating_add(MAX_DRIFT.as_millis() as u64);
        if remote.wall_ms > limit {
            self.rejected += 1;
            return TimestampCheck::TooFarAhead;
        }
        self.last = self.last.max(remote);
        TimestampCheck::Accepted
    }

    /// How many remote stamps were too far ahead.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    fn wall_ms(&self) -> u64 {
        self.clock
            .wall()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |passed| passed.as_millis() as u64)
    }
}
