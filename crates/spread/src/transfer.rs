//! Pulls of updates from peers, and rate limiting of large transfers.
//!
//! When many daemons restart at once, all of them pull the whole state. A daemon
//! therefore limits large transfers with a token bucket and tells the other peers
//! when to retry. Every daemon that has received the state can serve it, so the
//! number of sources grows with each round.

use std::time::{Duration, Instant};

use model::DaemonId;

/// Time after which an unanswered pull is abandoned; doubles with each consecutive one.
const MIN_PULL_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of times the timeout is doubled.
const MAX_DOUBLINGS: u32 = 3;

/// State of pulls from peers, of which at most one is pending.
#[derive(Debug, Default)]
pub struct PullState {
    pending: Option<PendingPull>,
    not_before: Option<Instant>,
    unanswered: u32,
}

#[derive(Clone, Copy, Debug)]
struct PendingPull {
    peer: DaemonId,
    deadline: Instant,
}

impl PullState {
    /// Starts a pull from `peer` and returns `true`, unless another one is pending
    /// or pulls are deferred.
    pub fn start(&mut self, peer: DaemonId, now: Instant) -> bool {
        let is_pending = self.pending.is_some_and(|pull| now < pull.deadline);
        let is_deferred = self.not_before.is_some_and(|at| now < at);
        if is_pending || is_deferred {
            return false;
        }
        if self.pending.is_some() {
            self.unanswered = (self.unanswered + 1).min(MAX_DOUBLINGS);
        }
        self.pending = Some(PendingPull {
            peer,
            deadline: now + MIN_PULL_TIMEOUT * 2_u32.pow(self.unanswered),
        });
        true
    }

    /// Ends the pending pull if it was sent to `peer`.
    pub fn finish(&mut self, peer: DaemonId) {
        if self.pending.take_if(|pull| pull.peer == peer).is_some() {
            self.unanswered = 0;
        }
    }

    /// Allows no pull before `at`.
    pub fn defer(&mut self, at: Instant) {
        self.not_before = Some(at);
    }
}

/// Token bucket for large transfers.
#[derive(Debug)]
pub struct TransferTokens {
    tokens: f64,
    rate: f64,
    filled_at: Instant,
}

impl TransferTokens {
    /// Creates a full bucket that gains `rate` tokens per second and holds at most as many.
    pub fn new(rate: u32, now: Instant) -> Self {
        Self {
            tokens: f64::from(rate),
            rate: f64::from(rate),
            filled_at: now,
        }
    }

    /// Takes a token if one is needed, or returns the time until one is available.
    pub fn try_take(&mut self, needed: bool, now: Instant) -> Result<(), Duration> {
        if !needed {
            return Ok(());
        }
        let gained = now.saturating_duration_since(self.filled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.rate);
        self.filled_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate))
    }
}
