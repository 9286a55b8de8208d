//! Demand of one key at one daemon: calls a second and calls at once.

use std::time::Instant;

/// Time constant of the averages, in seconds.
const AVERAGE_S: f64 = 1.0;

/// Weight of the latest call in the average duration.
const DURATION_WEIGHT: f64 = 0.1;

/// Averages over the calls that come, refused ones included.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemandMeter {
    rate: f64,
    calls: f64,
    refused_rate: f64,
    duration_s: f64,
    at: Instant,
}

impl DemandMeter {
    /// A meter without calls.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            calls: 0.0,
            refused_rate: 0.0,
            duration_s: 0.0,
            at: now,
        }
    }

    /// Moves the averages on to `now`, with `in_flight` calls since the last change.
    pub(crate) fn advance(&mut self, in_flight: u32, now: Instant) {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let kept = (-age / AVERAGE_S).exp();
        self.rate *= kept;
        self.refused_rate *= kept;
        self.calls = f64::from(in_flight) + (self.calls - f64::from(in_flight)) * kept;
        self.at = now;
    }

    /// Counts a call that came.
    pub(crate) fn on_call(&mut self) {
        self.rate += 1.0 / AVERAGE_S;
    }

    /// Counts a call that was refused for the calls at once.
    pub(crate) fn on_refused(&mut self) {
        self.refused_rate += 1.0 / AVERAGE_S;
    }

    /// Counts a call that ended.
    pub(crate) fn on_ended(&mut self, duration_s: f64) {
        self.duration_s += (duration_s - self.duration_s) * DURATION_WEIGHT;
    }

    /// Calls a second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Calls at once, with those that the refused ones would have made.
    pub(crate) fn calls(&self) -> f64 {
        self.calls + self.refused_rate * self.duration_s
    }
}
