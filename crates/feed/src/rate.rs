//! A token bucket, for the rates of the stand-in.

use std::time::Instant;

/// Lets through a rate of requests with a burst of one second.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    filled: Instant,
}

impl TokenBucket {
    /// A full bucket at `now`.
    pub fn new(rate_per_s: u32, now: Instant) -> Self {
        Self {
            rate_per_s: f64::from(rate_per_s),
            tokens: f64::from(rate_per_s),
            filled: now,
        }
    }

    /// Takes one token if there is one.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.filled);
        self.filled = now;
        self.tokens = (self.tokens + passed.as_secs_f64() * self.rate_per_s).min(self.rate_per_s);
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}
