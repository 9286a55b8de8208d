//! Call deadlines, sent between daemons as the remaining time.
//!
//! The clocks of machines differ, so each hop sends how long the call may
//! still take, minus a margin for the return of the answer. Each daemon
//! measures that time on its own monotonic clock, and no work starts once it is
//! used up.

use std::time::{Duration, Instant};

use model::{ErrorKind, KindError};

/// Result of a deadline check; the error kind is `DeadlineExceeded`.
pub type Result<T> = model::Result<T>;

/// Time reserved at each hop for the return of the answer.
pub const HOP_MARGIN: Duration = Duration::from_millis(2);

/// Maximum remaining time of a call.
pub const MAX_REMAINING: Duration = Duration::from_secs(600);

/// Deadline of a call on this machine's monotonic clock.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallDeadline(Instant);

impl CallDeadline {
    /// Creates the deadline of a call that arrives with `remaining`, limited to `timeout`.
    pub fn new(now: Instant, remaining: Option<Duration>, timeout: Duration) -> Self {
        let allowed = remaining.unwrap_or(timeout).min(timeout);
        Self(now + allowed.min(MAX_REMAINING))
    }

    /// Returns the deadline as an instant.
    pub fn instant(self) -> Instant {
        self.0
    }

    /// Returns the remaining time; zero once the deadline has passed.
    pub fn remaining(self, now: Instant) -> Duration {
        self.0.saturating_duration_since(now)
    }

    /// Returns the remaining time to send to the next hop.
    pub fn next_hop_timeout(self, now: Instant) -> Result<Duration> {
        let remaining = self.remaining(now);
        let timeout = remaining.saturating_sub(HOP_MARGIN);
        if timeout.is_zero() {
            return Err(deadline_exceeded());
        }
        Ok(timeout)
    }

    /// Returns an error if the deadline has passed.
    pub fn ensure_not_expired(self, now: Instant) -> Result<()> {
        if self.0 > now {
            return Ok(());
        }
        Err(deadline_exceeded())
    }
}

fn deadline_exceeded() -> KindError {
    KindError::new(
        ErrorKind::DeadlineExceeded,
        "no time remains to run the call",
    )
}
