//! Schedules the stages of a graceful stop and decides which requests to accept.
//!
//! The target keeps running while its daemon stops, so the gate stays open until
//! shortly before connections close. In a rolling restart of daemons, each idle
//! target would otherwise be missing for the callers of all daemons.
//!
//! The platform moves callers away only after some time, and not at all if most
//! daemons of a failure domain stop at once. A request that would still be
//! running when the process ends is refused before it is read: its caller can
//! retry it, which would not be safe after the connection broke. One that was
//! accepted before that and still runs gets a final answer shortly before
//! connections are closed.

use std::time::{Duration, Instant};

/// Time after which other daemons are told that the local target accepts no more requests.
const ANNOUNCE_AFTER: Duration = Duration::from_millis(1900);
/// Time after which the gate closes: by then the announcement has reached all daemons, and
/// the last admitted requests mostly end before connections close.
const CLOSE_GATE_AFTER: Duration = Duration::from_millis(2200);
/// Minimum time until connections close: the platform needs two readiness checks, a second
/// apart, to stop sending callers.
const CLOSE_AFTER: Duration = Duration::from_millis(2600);
/// Time without a new request after which callers have moved away. If most daemons of a
/// failure domain stop at once, the platform keeps sending callers to them.
const QUIET_TIME: Duration = Duration::from_millis(1200);
/// Time before the end of the grace period at which connections start to close at the latest.
/// Half of it is left for requests in progress to end, the rest for the process to end.
const CLOSING_TIME: Duration = Duration::from_millis(900);
/// Time before all connections are closed at which requests still in progress get a final answer,
/// so that the answer reaches the caller.
const ANSWER_TIME: Duration = Duration::from_millis(150);
/// Fraction of the time until connections are closed in which all requests are accepted; they
/// mostly end within the rest.
const ACCEPT_ALL_FRACTION: f32 = 0.5;
/// Maximum time in which all requests are accepted, however long the grace period is. Callers move
/// away within 3 s of the signal, which may reach the daemon late.
const ACCEPT_ALL_TIME: Duration = Duration::from_millis(2750);
/// Time from the end of the process until the restarted daemon accepts requests.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// Schedule of a graceful stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopPlan {
    started: Instant,
    /// Time from the start of the stop until the platform kills the process.
    grace: Duration,
}

/// Conditions under which a stopping daemon may end before it must.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopConditions {
    /// Whether no request is running or waiting at the gate.
    pub gate_idle: bool,
    /// Time since the last request of a caller.
    pub since_last_request: Duration,
    /// Whether the target keeps running, so that a restarted daemon is needed soon.
    pub target_available: bool,
}

impl StopPlan {
    /// Creates a plan for a stop that starts at `started`, with the process killed after `grace`.
    pub fn new(started: Instant, grace: Duration) -> Self {
        Self { started, grace }
    }

    /// Returns when other daemons are told that the local target accepts no more requests.
    pub fn announced_at(&self) -> Instant {
        self.started + ANNOUNCE_AFTER
    }

    /// Returns when the gate closes.
    pub fn gate_closes_at(&self) -> Instant {
        self.started + CLOSE_GATE_AFTER
    }

    /// Returns the earliest time at which connections may close.
    pub fn earliest_close(&self) -> Instant {
        self.started + CLOSE_AFTER
    }

    /// Returns when requests still in progress get a final answer.
    pub fn answers_due(&self) -> Instant {
        let cutoff = self.grace.saturating_sub(CLOSING_TIME / 2);
        self.started + cutoff.saturating_sub(ANSWER_TIME)
    }

    /// Returns when all connections are closed, even with requests in progress.
    pub fn cutoff(&self) -> Instant {
        self.started + self.grace.saturating_sub(CLOSING_TIME / 2)
    }

    /// Returns whether connections should close at `now`.
    ///
    /// If the target has ended, there is nothing for a restarted daemon to take over, and
    /// callers may be sent here again when other daemons of the failure domain stop. The
    /// daemon then stays as long as it may.
    pub fn should_close(&self, now: Instant, conditions: &StopConditions) -> bool {
        if now >= self.started + self.grace.saturating_sub(CLOSING_TIME) {
            return true;
        }
        now >= self.earliest_close()
            && conditions.gate_idle
            && conditions.target_available
            && conditions.since_last_request >= QUIET_TIME
    }

    /// Decides whether to accept a request whose caller waits until `deadline`.
    ///
    /// If the request is refused, the error is the time after which the restarted daemon may
    /// serve it.
    pub fn admit(&self, now: Instant, deadline: Instant) -> Result<(), Duration> {
        let cutoff = self.cutoff();
        let span = cutoff.saturating_duration_since(self.started);
        let accept_all = span.mul_f32(ACCEPT_ALL_FRACTION).min(ACCEPT_ALL_TIME);
        if now < self.started + accept_all || deadline <= self.answers_due() {
            return Ok(());
        }
        Err(cutoff.saturating_duration_since(now) + RESTART_TIME)
    }
}
