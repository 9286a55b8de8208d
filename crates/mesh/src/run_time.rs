//! Run times of the requests at one target, learned from the runs that ended.
//!
//! The gate refuses requests by these times, and a request that is refused teaches
//! nothing. A run time that leaves a route's requests no time is therefore put to
//! the test: now and then one request runs in spite of it, and its run counts
//! for more than others. A run time that no run has confirmed for long is dropped.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::config::RouteKey;

/// Weight of the latest run in a route's mean run time.
const RUN_WEIGHT: f32 = 0.1;
/// Weight of the first run after a trial has begun, so that few of them correct a mean.
const TRIAL_WEIGHT: f32 = 0.5;
/// Minimum pause between two trials of a route; a trial takes a slot from requests that are likely
/// to be served.
const TRIAL_PAUSE: Duration = Duration::from_millis(500);
/// Time after which a run time that no run has confirmed is no longer relied on.
const RUN_TIME_LIFETIME: Duration = Duration::from_secs(10);
/// Weight of the latest run in the mean run time that is published to the fleet. The time is
/// published rounded to a level, and each change of the level is sent to all daemons. The weight
/// is low because single runs differ by more than one level.
const PUBLISHED_WEIGHT: f32 = 0.03;
/// Factor between the short-term and the published mean from which the short-term mean is
/// published instead.
const PUBLISHED_FACTOR: f32 = 2.0;
/// Run time assumed before any request has ended, in seconds.
const INITIAL_RUN_S: f32 = 0.05;
/// Minimum number of runs before their mean run time is published; with fewer, the assumed run
/// time weighs too much.
const MIN_ENDED: u32 = 20;

/// Run times of the requests at one target.
#[derive(Clone, Debug)]
pub struct RunTimes {
    routes: HashMap<RouteKey, RouteTime>,
    /// Mean run time of all routes, in seconds.
    mean_s: f32,
    /// The same averaged over more runs, for publication to the fleet.
    published_s: f32,
    /// Number of runs that the published mean was learned from.
    ended: u32,
    /// End of the latest run.
    learned_at: Option<Instant>,
}

/// Run time of one route.
#[derive(Clone, Copy, Debug)]
struct RouteTime {
    /// Mean in seconds.
    mean_s: f32,
    /// End of the latest run.
    learned_at: Instant,
    /// Whether a trial has begun and no run has ended since.
    in_trial: bool,
    /// Time before which no trial may begin.
    next_trial: Instant,
}

impl Default for RunTimes {
    fn default() -> Self {
        Self {
            routes: HashMap::new(),
            mean_s: INITIAL_RUN_S,
            published_s: INITIAL_RUN_S,
            ended: 0,
            learned_at: None,
        }
    }
}

impl RunTimes {
    /// Returns the mean run time of a route in seconds; that of all routes if it has none.
    pub fn mean_s(&self, route: RouteKey) -> f32 {
        let known = self.routes.get(&route);
        known.map_or(self.mean_s, |time| time.mean_s)
    }

    /// Returns whether the mean run time of `route` can be relied on.
    pub fn is_known(&self, route: RouteKey, now: Instant) -> bool {
        let time = self.routes.get(&route);
        time.is_some_and(|time| is_recent(time.learned_at, now))
    }

    /// Returns the mean run time of all routes to publish, in seconds; `None` until enough runs
    /// have ended, and again when none has ended for long.
    ///
    /// Other daemons send few requests to a target that is thought slow, perhaps none.
    pub fn published_s(&self, now: Instant) -> Option<f32> {
        if !self.learned_at.is_some_and(|at| is_recent(at, now)) {
            return None;
        }
        // A change larger than single runs cause is published at once.
        let ratio = self.mean_s / self.published_s;
        let steady = (1.0 / PUBLISHED_FACTOR..PUBLISHED_FACTOR).contains(&ratio);
        let mean = if steady {
            self.published_s
        } else {
            self.mean_s
        };
        (self.ended >= MIN_ENDED).then_some(mean)
    }

    /// Returns whether a request of `route` may run though its run time leaves it no time.
    pub fn may_try(&self, route: RouteKey, now: Instant) -> bool {
        self.routes
            .get(&route)
            .is_some_and(|time| now >= time.next_trial)
    }

    /// Records that such a request was admitted, which ends by `until`.
    pub fn begin_trial(&mut self, route: RouteKey, until: Instant) {
        if let Some(time) = self.routes.get_mut(&route) {
            time.in_trial = true;
            time.next_trial = until + TRIAL_PAUSE;
        }
    }

    /// Records a run of `route` that took `took_s` seconds and ended at `now`.
    pub fn learn(&mut self, route: RouteKey, took_s: f32, now: Instant) {
        if !self.learned_at.is_some_and(|at| is_recent(at, now)) {
            self.ended = 0;
        }
        self.learned_at = Some(now);
        self.ended = self.ended.saturating_add(1);
        self.mean_s += (took_s - self.mean_s) * RUN_WEIGHT;
        let weight = PUBLISHED_WEIGHT.max(1.0 / self.ended as f32);
        self.published_s += (took_s - self.published_s) * weight;
        self.routes
            .retain(|_, time| is_recent(time.learned_at, now));
        let time = self.routes.entry(route).or_insert(RouteTime {
            mean_s: took_s,
            learned_at: now,
            in_trial: false,
            next_trial: now,
        });
        let weight = if time.in_trial {
            TRIAL_WEIGHT
        } else {
            RUN_WEIGHT
        };
        time.mean_s += (took_s - time.mean_s) * weight;
        time.learned_at = now;
        time.in_trial = false;
        time.next_trial = time.next_trial.min(now + TRIAL_PAUSE);
    }
}

/// Returns whether what was learned at `learned_at` can still be relied on.
fn is_recent(learned_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(learned_at) < RUN_TIME_LIFETIME
}
