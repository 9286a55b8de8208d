//! Token bucket whose rate follows the current share.

use std::time::Instant;

use model::CallRate;

/// Capacity of a bucket, in seconds of its rate.
const BURST_S: f64 = 1.0;

/// Minimum capacity of a bucket in tokens.
///
/// A bucket with a capacity of one token refuses calls that happen to arrive
/// close together: a third of all calls when demand is half of the share.
const MIN_CAPACITY: f64 = 4.0;

/// Token bucket; each call takes one token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a bucket that refills at `rate` and starts with `tokens`.
    pub(crate) fn new(rate: CallRate, tokens: f64, now: Instant) -> Self {
        Self {
            rate: rate.0,
            tokens,
            refilled_at: now,
        }
    }

    /// Changes the rate; tokens above the new capacity are discarded.
    pub(crate) fn set_rate(&mut self, rate: CallRate, now: Instant) {
        self.refill(now);
        self.rate = rate.0;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Returns whether a token is available.
    pub(crate) fn has_token(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.tokens >= 1.0
    }

    /// Takes a token; call only if [`TokenBucket::has_token`] returned true.
    pub(crate) fn take_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns the seconds until the next token is available.
    pub(crate) fn wait_s(&self) -> f64 {
        let missing = (1.0 - self.tokens).max(0.0);
        missing / self.rate.max(f64::MIN_POSITIVE)
    }

    fn capacity(&self) -> f64 {
        (self.rate * BURST_S).max(MIN_CAPACITY)
    }

    fn refill(&mut self, now: Instant) {
        let age = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        let capacity = self.capacity().max(self.tokens);
        self.tokens = (self.tokens + self.rate * age).min(capacity);
        self.refilled_at = now;
    }
}
