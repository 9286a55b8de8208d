//! Token bucket whose rate can change.

use std::time::{Duration, Instant};

use model::CallRate;

/// Longest wait that a bucket reports, for rates near zero.
const MAX_WAIT: Duration = Duration::from_secs(3600);

/// Capacity of a bucket: some seconds of its rate, but not less than some tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BurstSize {
    /// Seconds of the rate that the bucket holds.
    pub seconds: f64,
    /// Minimum capacity in tokens.
    pub min_tokens: f64,
}

/// Token bucket; each call takes one token.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: CallRate,
    burst: BurstSize,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a bucket that refills at `rate` up to `burst` and starts with `tokens`.
    pub fn new(rate: CallRate, burst: BurstSize, tokens: f64, now: Instant) -> Self {
        Self {
            rate,
            burst,
            tokens,
            refilled_at: now,
        }
    }

    /// Returns the rate at which the bucket refills.
    pub fn rate(&self) -> CallRate {
        self.rate
    }

    /// Changes the rate; tokens above the new capacity are discarded.
    pub fn set_rate(&mut self, rate: CallRate, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Returns whether a token is available.
    pub fn has_token(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.tokens >= 1.0
    }

    /// Takes a token; call only if [`TokenBucket::has_token`] returned true.
    pub fn take_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns the tokens available at `now`, including a fraction of the next one.
    pub fn tokens_at(&self, now: Instant) -> f64 {
        let age = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        let capacity = self.capacity().max(self.tokens);
        (self.tokens + self.rate.0 * age).min(capacity)
    }

    /// Returns the time from `now` until the next token is available, at most an hour.
    pub fn wait_from(&self, now: Instant) -> Duration {
        let missing = (1.0 - self.tokens_at(now)).max(0.0);
        let wait_s = missing / self.rate.0.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(wait_s.min(MAX_WAIT.as_secs_f64()))
    }

    fn capacity(&self) -> f64 {
        (self.rate.0 * self.burst.seconds).max(self.burst.min_tokens)
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
    }
}
