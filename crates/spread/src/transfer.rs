//! Pulling updates from peers, and admission of large ones.
//!
//! When many daemons return at once they all ask for the whole state. A daemon
//! grants large transfers only as fast as it gains tokens and tells the others
//! when to ask again; whoever got the state serves the next, so the number of
//! servers grows from round to round.

use std::time::{Duration, Instant};

use model::DaemonId;

/// Time after which an unanswered pull is given up; doubles with each in a row.
const MIN_PULL_TIMEOUT: Duration = Duration::from_millis(400);

/// Doublings of the timeout at most.
const MAX_DOUBLINGS: u32 = 3;

/// The pull under way, at most one.
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
    /// Starts a pull from `peer` unless another is under way or it is too early.
    pub fn start(&mut self, peer: DaemonId, now: Instant) -> bool {
        let busy = self.pending.is_some_and(|pull| now < pull.deadline);
        let early = self.not_before.is_some_and(|at| now < at);
        if busy || early {
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

    /// `peer` answered.
    pub fn finish(&mut self, peer: DaemonId) {
        if self.pending.take_if(|pull| pull.peer == peer).is_some() {
            self.unanswered = 0;
        }
    }

    /// No pull before `at`.
    pub fn defer(&mut self, at: Instant) {
        self.not_before = Some(at);
    }
}

/// Tokens for large transfers.
#[derive(Debug)]
pub struct TransferTokens {
    tokens: f64,
    rate: f64,
    filled_at: Instant,
}

impl TransferTokens {
    /// A full bucket that gains `rate` tokens a second and keeps as many.
    pub fn new(rate: u32, now: Instant) -> Self {
        Self {
            tokens: f64::from(rate),
            rate: f64::from(rate),
            filled_at: now,
        }
    }

    /// Takes a token if one is needed, or tells how long until there is one.
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
