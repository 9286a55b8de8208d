//! Demand of one key at one daemon: calls a second and calls at once.
//!
//! Two averages run side by side. The short one follows a change at once but
//! is mostly noise when calls are few; the long one is steady. The long one
//! counts until the short one is away from it by more than chance.

use std::time::{Duration, Instant};

/// Time constant of the short average, in seconds.
const SHORT_S: f64 = 0.5;

/// Time constant of the long average, in seconds.
const LONG_S: f64 = 10.0;

/// Standard deviations of the short average that count as a change.
const CHANGE_DEVIATIONS: f64 = 4.0;

/// Standard deviations of the long average that count as a change between two of them.
const REPORT_DEVIATIONS: f64 = 6.0;

/// Rate below which the short average's deviation is not trusted.
const MIN_RATE: f64 = 4.0;

/// Time that the long average has been running for at least, in seconds.
const MIN_SEEN_S: f64 = 2.0;

/// Calls that would have come, at the average rate, before a silence means less.
const SILENT_CALLS: f64 = 4.0;

/// Silence that callers who send in bursts leave between them.
const BURST_GAP: Duration = Duration::from_millis(200);

/// Factor on the noise of the rate for that of the duration.
const DURATION_NOISE: f64 = 2.0;

/// Weight of the latest call in the average duration.
const DURATION_WEIGHT: f64 = 0.1;

/// Averages over the calls that come, refused ones included.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemandMeter {
    short: f64,
    long: f64,
    calls: f64,
    refused_rate: f64,
    duration_s: Option<f64>,
    born: Instant,
    at: Instant,
    last_call: Instant,
}

impl DemandMeter {
    /// A meter made for a first call, which says nothing about the rate and is not counted.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            short: 0.0,
            long: -1.0 / LONG_S,
            calls: 0.0,
            refused_rate: 0.0,
            duration_s: None,
            born: now,
            at: now,
            last_call: now,
        }
    }

    /// Moves the averages on to `now`, with `in_flight` calls since the last change.
    pub(crate) fn advance(&mut self, in_flight: u32, now: Instant) {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let kept = (-age / SHORT_S).exp();
        self.short *= kept;
        self.refused_rate *= kept;
        self.calls = f64::from(in_flight) + (self.calls - f64::from(in_flight)) * kept;
        self.long *= (-age / LONG_S).exp();
        self.at = now;
        self.follow_change();
    }

    /// Sets the long average to the short one once they differ by more than chance.
    fn follow_change(&mut self) {
        let seen = self.seen();
        let long = self.long / seen;
        let deviation = (long.max(MIN_RATE) / 2.0 / SHORT_S).sqrt();
        if (self.short - long).abs() > deviation * CHANGE_DEVIATIONS {
            self.long = self.short * seen;
        }
    }

    /// Part of the long average's time that has been seen.
    fn seen(&self) -> f64 {
        let age = self.at.saturating_duration_since(self.born).as_secs_f64();
        1.0 - (-age.max(MIN_SEEN_S) / LONG_S).exp()
    }

    /// Counts a call that came.
    pub(crate) fn on_call(&mut self) {
        self.short += 1.0 / SHORT_S;
        self.long += 1.0 / LONG_S;
        self.last_call = self.at;
    }

    /// Counts a call that was refused for the calls at once.
    pub(crate) fn on_refused(&mut self) {
        self.refused_rate += 1.0 / SHORT_S;
    }

    /// Counts a call that ended.
    pub(crate) fn on_ended(&mut self, duration_s: f64) {
        let mean = self.duration_s.unwrap_or(duration_s);
        self.duration_s = Some(mean + (duration_s - mean) * DURATION_WEIGHT);
    }

    /// Calls a second.
    pub(crate) fn rate(&self) -> f64 {
        let silence = self.at.saturating_duration_since(self.last_call);
        let silence = silence.saturating_sub(BURST_GAP);
        let most = SILENT_CALLS / silence.as_secs_f64().max(f64::MIN_POSITIVE);
        (self.long / self.seen()).clamp(0.0, most)
    }

    /// Calls at once: what the rate and the usual duration make, or more if more are seen.
    pub(crate) fn calls(&self) -> f64 {
        let duration = self.duration_s.unwrap_or(0.0);
        let usual = self.rate() * duration;
        let seen = self.calls + self.refused_rate * duration;
        if (seen - usual).abs() > 1.0 + usual {
            seen
        } else {
            usual
        }
    }

    /// Least change of the calls at once, from a report of `rate`, that is not chance.
    pub(crate) fn calls_noise(&self, rate: f64) -> f64 {
        Self::rate_noise(rate) * self.duration_s.unwrap_or(1.0) * DURATION_NOISE
    }

    /// Least change of the rate from `before` that is not chance.
    pub(crate) fn rate_noise(before: f64) -> f64 {
        (before.max(1.0 / LONG_S) / 2.0 / LONG_S).sqrt() * REPORT_DEVIATIONS
    }
}
