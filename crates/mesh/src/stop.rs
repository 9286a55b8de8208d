//! What a stopping daemon still takes, and until when.
//!
//! Its target goes on running, so the gate stays open until shortly before
//! connections close: where daemons restart one after the other, each idle
//! target is missed by the callers of all.
//!
//! Callers are moved away only after some time, and not at all where most
//! daemons of a failure domain stop at once. A request that would still run
//! when the process ends is refused before it is read: its caller can send it
//! again, which it could not after the connection broke.

use std::time::{Duration, Instant};

/// Time after which the others are told that the target beside takes no more.
const TELL_AFTER: Duration = Duration::from_millis(1900);
/// Time after which the gate closes: news are everywhere, and what was admitted last mostly
/// ends before connections close.
const CLOSE_GATE_AFTER: Duration = Duration::from_millis(2200);
/// Least time until connections close: the platform needs two looks, a second apart, to
/// send no more callers.
const CLOSE_AFTER: Duration = Duration::from_millis(2600);
/// Time without a new request after which callers have moved away. Where most daemons of a
/// failure domain stop at once, the platform goes on sending callers to them.
const QUIET_TIME: Duration = Duration::from_millis(1200);
/// Part of the grace kept back for closing connections.
const CLOSING_TIME: Duration = Duration::from_millis(900);
/// Part of the grace in which all requests are taken; they mostly end within the other.
const TAKE_ALL_PART: f32 = 0.5;
/// Time from an end until the next run of the daemon serves.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// A planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopPlan {
    begun: Instant,
    /// Time from the beginning until the platform kills the process.
    grace: Duration,
}

/// What decides whether a stopping daemon may end before it must.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopConditions {
    /// Whether nothing runs or waits at its gate.
    pub gate_idle: bool,
    /// Time since the last request of a caller.
    pub since_last_request: Duration,
    /// Whether its target runs on, for which the daemon's next run is awaited.
    pub target_available: bool,
}

impl StopPlan {
    /// A stop that begins at `begun`, of a process that is killed after `grace`.
    pub fn new(begun: Instant, grace: Duration) -> Self {
        Self { begun, grace }
    }

    /// When the others are told that the target beside takes no more.
    pub fn announced_at(&self) -> Instant {
        self.begun + TELL_AFTER
    }

    /// When the gate closes.
    pub fn gate_closes_at(&self) -> Instant {
        self.begun + CLOSE_GATE_AFTER
    }

    /// When connections may close at the earliest.
    pub fn earliest_close(&self) -> Instant {
        self.begun + CLOSE_AFTER
    }

    /// When connections are cut, whatever they carry.
    pub fn cutoff(&self) -> Instant {
        self.begun + self.grace.saturating_sub(CLOSING_TIME / 2)
    }

    /// Whether connections close at `now`.
    ///
    /// A daemon whose target has ended has no next run to make room for, and may be sent
    /// callers again when other daemons of its failure domain stop: it stays as long as it may.
    pub fn should_close(&self, now: Instant, look: &StopConditions) -> bool {
        if now >= self.begun + self.grace.saturating_sub(CLOSING_TIME) {
            return true;
        }
        now >= self.earliest_close()
            && look.gate_idle
            && look.target_available
            && look.since_last_request >= QUIET_TIME
    }

    /// Takes in a request whose caller waits until `deadline`.
    ///
    /// The error is the time after which the next run may serve it.
    pub fn admit(&self, now: Instant, deadline: Instant) -> Result<(), Duration> {
        let end = self.cutoff();
        let span = end.saturating_duration_since(self.begun);
        let early = now < self.begun + span.mul_f32(TAKE_ALL_PART);
        if early || deadline <= end {
            return Ok(());
        }
        Err(end.saturating_duration_since(now) + RESTART_TIME)
    }
}
