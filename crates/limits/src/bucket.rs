//! A token bucket whose rate changes as shares change.

use std::time::Instant;

use model::CallRate;

/// Seconds of its rate that a bucket holds.
const BURST_S: f64 = 1.0;

/// Least number of tokens that a bucket holds when full.
///
/// A bucket of one token refuses calls that come by chance close together,
/// a third of them where demand is half of the share.
const MIN_BURST: f64 = 4.0;

/// Tokens for calls; one token for each call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl TokenBucket {
    /// A bucket of `rate` that starts with `tokens`.
    pub(crate) fn new(rate: CallRate, tokens: f64, now: Instant) -> Self {
        Self {
            rate: rate.0,
            tokens,
            at: now,
        }
    }

    /// Changes the rate from now on; tokens are kept up to the new size.
    pub(crate) fn set_rate(&mut self, rate: CallRate, now: Instant) {
        self.refill(now);
        self.rate = rate.0;
        self.tokens = self.tokens.min(self.size());
    }

    /// Whether a token is there.
    pub(crate) fn has_token(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.tokens >= 1.0
    }

    /// Takes the token that [`TokenBucket::has_token`] found.
    pub(crate) fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Seconds until the next token.
    pub(crate) fn wait_s(&self) -> f64 {
        let missing = (1.0 - self.tokens).max(0.0);
        missing / self.rate.max(f64::MIN_POSITIVE)
    }

    fn size(&self) -> f64 {
        (self.rate * BURST_S).max(MIN_BURST)
    }

    fn refill(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let size = self.size().max(self.tokens);
        self.tokens = (self.tokens + self.rate * age).min(size);
        self.at = now;
    }
}
