//! A token bucket that limits the request rates of the in-memory log.

use std::time::Instant;

/// Limits the request rate; allows bursts of one second's worth of requests.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate_per_s: u32, now: Instant) -> Self {
        Self {
            rate_per_s: f64::from(rate_per_s),
            tokens: f64::from(rate_per_s),
            refilled_at: now,
        }
    }

    /// Takes one token, if available.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate_per_s).min(self.rate_per_s);
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }
}
