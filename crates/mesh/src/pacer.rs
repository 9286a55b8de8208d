//! Keeps the requests sent to one target within the rate limit that the target names.
//!
//! Only the daemon beside a target sends it requests, so pacing them there
//! bounds the requests of the whole fleet without messages. A target that does
//! not name a limit is not paced.

use std::time::{Duration, Instant};

use limits::{BurstSize, TokenBucket};
use model::CallRate;

/// Requests that may be sent in quick succession after a pause.
const BURST: BurstSize = BurstSize {
    seconds: 0.25,
    min_tokens: 1.0,
};
/// Lowest rate at which requests are sent: only an answer shows that the limit has changed.
const MIN_RATE: CallRate = CallRate(0.5);
/// Minimum fraction of the rate that is assumed to be left over by more urgent requests.
const MIN_FREE_FRACTION: f64 = 0.05;
/// Longest expected wait, far above any deadline.
const MAX_WAIT: Duration = Duration::from_secs(3600);

/// Rate of the requests sent to one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestPacer {
    limit: Option<CallRate>,
    bucket: Option<TokenBucket>,
}

impl RequestPacer {
    /// Returns the limit that the target names.
    pub fn limit(&self) -> Option<CallRate> {
        self.limit
    }

    /// Sets the limit that the target names; a new one starts without a burst.
    pub fn set_limit(&mut self, limit: Option<CallRate>, now: Instant) {
        self.limit = limit;
        let Some(limit) = limit else {
            self.bucket = None;
            return;
        };
        let rate = CallRate(limit.0.max(MIN_RATE.0));
        match &mut self.bucket {
            Some(bucket) if bucket.rate() == rate => {}
            Some(bucket) => bucket.set_rate(rate, now),
            None => self.bucket = Some(TokenBucket::new(rate, BURST, 0.0, now)),
        }
    }

    /// Returns whether a request may be sent.
    pub fn may_send(&mut self, now: Instant) -> bool {
        self.bucket
            .as_mut()
            .is_none_or(|bucket| bucket.has_token(now))
    }

    /// Records that a request is sent; call only if [`RequestPacer::may_send`] returned true.
    pub fn record_sent(&mut self) {
        if let Some(bucket) = &mut self.bucket {
            bucket.take_token();
        }
    }

    /// Returns when the next request may be sent; `None` if there is no limit.
    pub fn next_send(&self, now: Instant) -> Option<Instant> {
        let bucket = self.bucket.as_ref()?;
        Some(now + bucket.wait_from(now))
    }

    /// Estimates the time until a request may be sent that waits behind `ahead` others, while
    /// more urgent requests arrive at the rate `urgent`.
    pub fn expected_wait(&self, ahead: usize, urgent: CallRate, now: Instant) -> Duration {
        let Some(bucket) = &self.bucket else {
            return Duration::ZERO;
        };
        let rate = bucket.rate().0;
        let free = (rate - urgent.0).max(rate * MIN_FREE_FRACTION);
        let missing = (ahead as f64 + 1.0 - bucket.tokens_at(now)).max(0.0);
        Duration::from_secs_f64((missing / free).min(MAX_WAIT.as_secs_f64()))
    }
}
