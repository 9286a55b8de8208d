//! Demand for one key at one daemon: call rate and concurrency.
//!
//! Two moving averages are maintained. The short one follows changes quickly
//! but is mostly noise when calls are rare; the long one is steady. The long
//! average is used until the short one differs from it by more than random
//! variation explains.

use std::time::{Duration, Instant};

/// Time constant of the short average, in seconds.
const SHORT_AVERAGE_S: f64 = 0.5;

/// Time constant of the long average, in seconds.
const LONG_AVERAGE_S: f64 = 10.0;

/// Deviation of the short average that counts as a change, in standard deviations.
const CHANGE_DEVIATIONS: f64 = 4.0;

/// Change of the long average that is significant, in standard deviations.
const REPORT_DEVIATIONS: f64 = 6.0;

/// Minimum rate assumed when computing the deviation of the short average.
const MIN_NOISE_RATE: f64 = 4.0;

/// Minimum observation time assumed for the long average, in seconds.
const MIN_OBSERVED_S: f64 = 2.0;

/// Number of calls that may be missing during a silence before it lowers the rate.
const MAX_MISSING_CALLS: f64 = 4.0;

/// Silence that is normal between the bursts of a caller.
const BURST_GAP: Duration = Duration::from_millis(200);

/// Factor applied to the noise of the rate to include that of the duration.
const DURATION_NOISE: f64 = 2.0;

/// Weight of the latest call in the moving average of the duration.
const DURATION_WEIGHT: f64 = 0.1;

/// Averages over all arriving calls, including refused ones.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemandMeter {
    short_rate: f64,
    /// Long average before the division by [`DemandMeter::observed_weight`].
    long_rate_sum: f64,
    mean_in_flight: f64,
    refused_rate: f64,
    mean_duration_s: Option<f64>,
    created_at: Instant,
    updated_at: Instant,
    last_call_at: Instant,
}

impl DemandMeter {
    /// Creates a meter at a first call, which says nothing about the rate.
    ///
    /// The long average starts below zero, so that recording this call brings it to zero.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            short_rate: 0.0,
            long_rate_sum: -1.0 / LONG_AVERAGE_S,
            mean_in_flight: 0.0,
            refused_rate: 0.0,
            mean_duration_s: None,
            created_at: now,
            updated_at: now,
            last_call_at: now,
        }
    }

    /// Advances the averages to `now`, with `in_flight` calls running since the last update.
    pub(crate) fn advance(&mut self, in_flight: u32, now: Instant) {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let decay = (-age / SHORT_AVERAGE_S).exp();
        self.short_rate *= decay;
        self.refused_rate *= decay;
        self.mean_in_flight =
            f64::from(in_flight) + (self.mean_in_flight - f64::from(in_flight)) * decay;
        self.long_rate_sum *= (-age / LONG_AVERAGE_S).exp();
        self.updated_at = now;
        self.adopt_short_average();
    }

    /// Resets the long average to the short one if they differ significantly.
    fn adopt_short_average(&mut self) {
        let observed = self.observed_weight();
        let long = self.long_rate_sum / observed;
        let deviation = (long.max(MIN_NOISE_RATE) / 2.0 / SHORT_AVERAGE_S).sqrt();
        if (self.short_rate - long).abs() > deviation * CHANGE_DEVIATIONS {
            self.long_rate_sum = self.short_rate * observed;
        }
    }

    /// Returns the weight of the observed time in the long average.
    fn observed_weight(&self) -> f64 {
        let age = self
            .updated_at
            .saturating_duration_since(self.created_at)
            .as_secs_f64();
        1.0 - (-age.max(MIN_OBSERVED_S) / LONG_AVERAGE_S).exp()
    }

    /// Records an arriving call.
    pub(crate) fn on_call(&mut self) {
        self.short_rate += 1.0 / SHORT_AVERAGE_S;
        self.long_rate_sum += 1.0 / LONG_AVERAGE_S;
        self.last_call_at = self.updated_at;
    }

    /// Records a call that was refused by the concurrency limit.
    pub(crate) fn on_refused(&mut self) {
        self.refused_rate += 1.0 / SHORT_AVERAGE_S;
    }

    /// Records the end of a call.
    pub(crate) fn on_finished(&mut self, duration_s: f64) {
        let mean = self.mean_duration_s.unwrap_or(duration_s);
        self.mean_duration_s = Some(mean + (duration_s - mean) * DURATION_WEIGHT);
    }

    /// Returns the demand in calls per second.
    pub(crate) fn rate(&self) -> f64 {
        let silence = self.updated_at.saturating_duration_since(self.last_call_at);
        let silence = silence.saturating_sub(BURST_GAP);
        let max_rate = MAX_MISSING_CALLS / silence.as_secs_f64().max(f64::MIN_POSITIVE);
        (self.long_rate_sum / self.observed_weight()).clamp(0.0, max_rate)
    }

    /// Returns the demanded concurrency.
    ///
    /// That is the product of rate and mean duration, unless the observed concurrency
    /// differs from it widely.
    pub(crate) fn concurrency(&self) -> f64 {
        let duration = self.mean_duration_s.unwrap_or(0.0);
        let expected = self.rate() * duration;
        let observed = self.mean_in_flight + self.refused_rate * duration;
        if (observed - expected).abs() > 1.0 + expected {
            observed
        } else {
            expected
        }
    }

    /// Returns the smallest significant change of the concurrency after a report of `rate`.
    pub(crate) fn concurrency_noise(&self, rate: f64) -> f64 {
        Self::rate_noise(rate) * self.mean_duration_s.unwrap_or(1.0) * DURATION_NOISE
    }

    /// Returns the smallest significant change of the rate from `before`.
    pub(crate) fn rate_noise(before: f64) -> f64 {
        (before.max(1.0 / LONG_AVERAGE_S) / 2.0 / LONG_AVERAGE_S).sqrt() * REPORT_DEVIATIONS
    }
}
