//! Counts of the runs of one version of a service's targets.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::config::RouteKey;

/// Number of classes of run times for each doubling of the time.
const CLASSES_PER_DOUBLING: f64 = 4.0;
/// Highest class, above half a minute.
const MAX_CLASS: f64 = 60.0;

/// Class of a run time on a logarithmic scale.
pub type TimeClass = u8;

/// Range in which the work time that a target reports of itself is taken into account, as a multiple of
/// the usual one. Beyond it the version may be the cause.
const PACE_RANGE: (f64, f64) = (0.5, 2.0);

/// Returns the run time that a target of usual speed would have had.
///
/// `pace` is how long work takes at the target now, as a multiple of the usual time; it depends on
/// the speed of the VM and on its neighbours.
pub fn usual_time(time: Duration, pace: Option<f64>) -> Duration {
    let (least, most) = PACE_RANGE;
    time.div_f64(pace.unwrap_or(1.0).clamp(least, most))
}

/// Returns the class of a run time.
pub fn time_class(time: Duration) -> TimeClass {
    let ms = (time.as_secs_f64() * 1000.0).max(1.0);
    (ms.log2() * CLASSES_PER_DOUBLING).floor().min(MAX_CLASS) as TimeClass
}

/// Runs of one route.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteTally {
    /// Requests that were sent to a target.
    pub sent: u64,
    /// Runs that ended with an answer or a failure.
    pub ended: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Number of answers by the class of their run time, without those of targets that have just
    /// started.
    pub times: BTreeMap<TimeClass, u64>,
}

impl RouteTally {
    /// Returns the number of answers whose run time is known.
    pub fn timed(&self) -> u64 {
        saturating_sum(self.times.values().copied())
    }

    /// Returns the number of answers above class `limit`.
    pub fn above(&self, limit: TimeClass) -> u64 {
        let slower = self.times.range(limit.saturating_add(1)..);
        saturating_sum(slower.map(|(_, count)| *count))
    }

    /// Returns the class of the median run time.
    pub fn median(&self) -> Option<TimeClass> {
        let half = self.timed().div_ceil(2);
        let mut seen = 0;
        let mut classes = self.times.iter();
        let found = classes.find(|(_, count)| {
            seen = u64::saturating_add(seen, **count);
            seen >= half
        });
        found.map(|(class, _)| *class)
    }

    fn add(&mut self, other: &Self) {
        // Counts come from other daemons, which may be faulty.
        self.sent = self.sent.saturating_add(other.sent);
        self.ended = self.ended.saturating_add(other.ended);
        self.failed = self.failed.saturating_add(other.failed);
        for (class, count) in &other.times {
            let known = self.times.entry(*class).or_default();
            *known = known.saturating_add(*count);
        }
    }

    fn since(&self, earlier: &Self) -> Self {
        let times = self.times.iter().map(|(class, count)| {
            let before = earlier.times.get(class).copied().unwrap_or(0);
            (*class, count.saturating_sub(before))
        });
        Self {
            sent: self.sent.saturating_sub(earlier.sent),
            ended: self.ended.saturating_sub(earlier.ended),
            failed: self.failed.saturating_sub(earlier.failed),
            times: times.collect(),
        }
    }
}

/// Runs of one version, by route.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionTally {
    /// Runs by route.
    pub routes: BTreeMap<RouteKey, RouteTally>,
}

impl VersionTally {
    /// Counts a request that is sent to a target.
    pub fn record_sent(&mut self, route: RouteKey) {
        self.routes.entry(route).or_default().sent += 1;
    }

    /// Counts the end of a run; `time` is none for a run whose time says nothing of the version.
    pub fn record_end(&mut self, route: RouteKey, failed: bool, time: Option<Duration>) {
        let tally = self.routes.entry(route).or_default();
        tally.ended += 1;
        tally.failed += u64::from(failed);
        if let Some(time) = time {
            *tally.times.entry(time_class(time)).or_default() += 1;
        }
    }

    /// Returns the number of requests on all routes.
    pub fn sent(&self) -> u64 {
        saturating_sum(self.routes.values().map(|tally| tally.sent))
    }

    /// Returns the number of runs that ended on all routes.
    pub fn ended(&self) -> u64 {
        saturating_sum(self.routes.values().map(|tally| tally.ended))
    }

    /// Returns the runs on all routes together.
    pub fn total(&self) -> RouteTally {
        let mut total = RouteTally::default();
        self.routes.values().for_each(|tally| total.add(tally));
        total
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        for (route, tally) in &other.routes {
            self.routes.entry(*route).or_default().add(tally);
        }
    }

    /// Returns the counts that were added since `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let empty = RouteTally::default();
        let routes = self.routes.iter().map(|(route, tally)| {
            let before = earlier.routes.get(route).unwrap_or(&empty);
            (*route, tally.since(before))
        });
        Self {
            routes: routes.collect(),
        }
    }
}

fn saturating_sum(counts: impl Iterator<Item = u64>) -> u64 {
    counts.fold(0, u64::saturating_add)
}
