//! Deadlines that travel as the time that remains.
//!
//! Machines' clocks disagree, so a hop sends how long the call may still
//! take, less a margin for the way there and back. Each daemon counts down on
//! its own monotonic clock, and no work starts once nothing remains.

use std::time::{Duration, Instant};

use model::{ErrorKind, KindError};

/// Results of the deadline check; the kind is `DeadlineExceeded`.
pub type Result<T> = model::Result<T>;

/// Time kept back at each hop for the answer's way back.
pub const HOP_MARGIN: Duration = Duration::from_millis(2);

/// Longest time that a call may ask for.
pub const MAX_REMAINING: Duration = Duration::from_secs(600);

/// When a call must have been answered, on this machine's monotonic clock.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallDeadline(Instant);

impl CallDeadline {
    /// The deadline of a call that arrives with `remaining`, capped by the service's `timeout`.
    pub fn new(now: Instant, remaining: Option<Duration>, timeout: Duration) -> Self {
        let allowed = remaining.unwrap_or(timeout).min(timeout);
        Self(now + allowed.min(MAX_REMAINING))
    }

    /// The instant itself.
    pub fn instant(self) -> Instant {
        self.0
    }

    /// Time that remains; zero once passed.
    pub fn remaining(self, now: Instant) -> Duration {
        self.0.saturating_duration_since(now)
    }

    /// What to send along to the next hop.
    pub fn next_hop_timeout(self, now: Instant) -> Result<Duration> {
        let remaining = self.remaining(now);
        let sent = remaining.saturating_sub(HOP_MARGIN);
        if sent.is_zero() {
            return Err(passed());
        }
        Ok(sent)
    }

    /// Fails once the deadline has passed.
    pub fn ensure_not_expired(self, now: Instant) -> Result<()> {
        if self.0 > now {
            return Ok(());
        }
        Err(passed())
    }
}

fn passed() -> KindError {
    KindError::new(
        ErrorKind::DeadlineExceeded,
        "no time remains to run the call",
    )
}
