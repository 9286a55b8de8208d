//! Ejection of targets that fail far more often than their peers.
//!
//! A target that fails calls immediately looks idle and would attract all
//! traffic, so failures are tracked separately from load. The failure rate is
//! a moving average over recent calls, or the rate that the daemon beside the
//! target measured for all proxies if that is higher. An ejected target
//! returns on probation, during which a single failure ejects it again for
//! twice as long.

use std::time::{Duration, Instant};

use crate::candidate::age_weight;

/// Weight of the latest call in the moving average of the failure rate.
const FAILURE_WEIGHT: f32 = 0.25;

/// Weight of a call that got no answer; one such call is enough to eject the target.
const LOST_WEIGHT: f32 = 0.6;

/// Failure rate above which a target may be ejected.
const EJECTION_RATE: f32 = 0.5;

/// Margin above the mean failure rate of its peers from which a target is ejected.
const EJECTION_MARGIN: f32 = 0.3;

/// Failure rate assumed when an ejected target returns.
const PROBATION_RATE: f32 = 0.4;

/// Failure rate below which a target counts as healthy.
const HEALTHY_RATE: f32 = 0.3;

/// Duration of the first ejection; doubles with each further one.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(3);

/// Maximum number of times that the ejection duration doubles.
const MAX_EJECTION_DOUBLINGS: u8 = 4;

/// Age at which a failure rate has half its weight.
///
/// A target that gets no calls because it failed has no other way to recover.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(10);

/// Failure rate and ejection state of one target, as seen by one proxy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetHealth {
    failure_rate: f32,
    updated_at: Instant,
    ejections: u8,
    ejected_until: Option<Instant>,
}

impl TargetHealth {
    /// Creates the state of a target without failures.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            failure_rate: 0.0,
            updated_at: now,
            ejections: 0,
            ejected_until: None,
        }
    }

    /// Returns the share of recent calls that failed.
    pub(crate) fn failure_rate(&self, now: Instant) -> f32 {
        self.failure_rate * age_weight(self.updated_at, FAILURE_RATE_HALF_LIFE, now)
    }

    fn set_failure_rate(&mut self, rate: f32, now: Instant) {
        self.failure_rate = rate;
        self.updated_at = now;
    }

    /// Records a successful call; earlier ejections are forgotten once hardly any call fails.
    pub(crate) fn on_success(&mut self, now: Instant) {
        let rate = self.failure_rate(now);
        self.set_failure_rate(rate - rate * FAILURE_WEIGHT, now);
        if self.failure_rate < FAILURE_WEIGHT / 4.0 {
            self.ejections = 0;
        }
    }

    /// Records a failed call; `reported` is the failure rate measured beside the target.
    pub(crate) fn on_failure(&mut self, reported: f32, now: Instant) {
        let rate = self.failure_rate(now);
        self.set_failure_rate((rate + (1.0 - rate) * FAILURE_WEIGHT).max(reported), now);
    }

    /// Records a call that got no answer.
    pub(crate) fn on_lost(&mut self, now: Instant) {
        let rate = self.failure_rate(now);
        self.set_failure_rate(rate + (1.0 - rate) * LOST_WEIGHT, now);
    }

    /// Returns whether the target is ejected or most of its recent calls failed.
    pub(crate) fn is_failing(&self, now: Instant) -> bool {
        self.is_ejected(now) || self.failure_rate(now) > EJECTION_RATE
    }

    /// Ends an ejection early.
    pub(crate) fn readmit(&mut self) {
        self.ejected_until = None;
    }

    /// Returns whether the target fails far more often than its peers, whose mean rate is `peers`.
    pub(crate) fn is_outlier(&self, peers: f32, now: Instant) -> bool {
        self.is_failing(now) && self.failure_rate(now) > peers + EJECTION_MARGIN
    }

    /// Ejects the target for a duration that grows with each ejection.
    pub(crate) fn eject(&mut self, now: Instant) {
        let duration = BASE_EJECTION_TIME * (1 << self.ejections.min(MAX_EJECTION_DOUBLINGS));
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(now + duration);
    }

    /// Returns whether the target is ejected at `now`.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether few recent calls failed and no ejection is in force or awaits probation.
    pub(crate) fn is_healthy(&self, now: Instant) -> bool {
        self.ejected_until.is_none() && self.failure_rate(now) < HEALTHY_RATE
    }

    /// Starts probation if an ejection has expired; returns whether it did.
    pub(crate) fn begin_probation(&mut self, now: Instant) -> bool {
        let expired = self.ejected_until.is_some_and(|until| now >= until);
        if expired {
            self.ejected_until = None;
            self.set_failure_rate(PROBATION_RATE, now);
        }
        expired
    }
}
