//! Compares the runs of a new version with those of the old one.
//!
//! Both a minimum difference and its significance are required. Run times count as if
//! all targets had the usual speed (see [`crate::rollout::tally::usual_time`]): the few
//! targets that a version is tried on may be slow, or disturbed by their neighbours, and
//! without that good versions looked bad in simulations.

use std::fmt;

use crate::config::RouteKey;
use crate::rollout::tally::{RouteTally, VersionTally};

/// Classes above the old median from which an answer is slow, 2.8 times its run time. The
/// slowest targets take 1.7 times the usual time.
const SLOW_CLASSES: u8 = 6;
/// Number of slow answers that a disturbance causes at once, which makes the variance of their share
/// so many times as large.
const SLOW_CLUSTER: f64 = 1.5;
/// Minimum difference of the shares of failures.
const MIN_FAILED_EXCESS: f64 = 0.03;
/// Minimum difference of the shares of slow answers over the whole rollout.
const MIN_SLOW_EXCESS: f64 = 0.08;
/// The same for the latest runs, among which a single disturbance weighs more.
const MIN_RECENT_SLOW_EXCESS: f64 = 0.2;

/// Why a version is bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BadVersion {
    /// Route; none if all routes together show it.
    pub route: Option<RouteKey>,
    /// Whether answers are slow rather than failures.
    pub slow: bool,
    /// Number of bad responses and of those counted.
    pub bad: (u64, u64),
    /// The same of the old version.
    pub baseline: (u64, u64),
}

impl fmt::Display for BadVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = if self.slow { "slow" } else { "failed" };
        let ((bad, of), (old_bad, old_of)) = (self.bad, self.baseline);
        write!(f, "{bad} of {of} {what}, {old_bad} of {old_of} before")?;
        match self.route {
            Some(route) => write!(f, ", route {route}"),
            None => f.write_str(", all routes"),
        }
    }
}

/// How certain a difference must be.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Certainty {
    /// Minimum number of standard deviations.
    deviations: f64,
    /// Minimum number of failures.
    failed: u64,
    /// Minimum number of slow answers; a disturbance of a target makes several answers slow at once.
    slow: u64,
}

/// Enough to roll a version back.
const FAULT: Certainty = Certainty {
    deviations: 4.0,
    failed: 4,
    slow: 6,
};
/// Enough not to give a version all requests yet.
const SUSPICION: Certainty = Certainty {
    deviations: 2.5,
    failed: 3,
    slow: 4,
};

/// Period from which the runs to compare are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JudgedPeriod {
    /// From the order on.
    Whole,
    /// The last seconds.
    Recent,
}

/// Returns why the version with the runs `new` is bad; `baseline` are those of the old version.
pub fn find_fault(
    baseline: &VersionTally,
    new: &VersionTally,
    period: JudgedPeriod,
) -> Option<BadVersion> {
    find_difference(baseline, new, period, FAULT)
}

/// Returns whether the version with the runs `new` may be bad.
pub fn is_suspicious(baseline: &VersionTally, new: &VersionTally, period: JudgedPeriod) -> bool {
    find_difference(baseline, new, period, SUSPICION).is_some()
}

fn find_difference(
    baseline: &VersionTally,
    new: &VersionTally,
    period: JudgedPeriod,
    certainty: Certainty,
) -> Option<BadVersion> {
    let empty = RouteTally::default();
    let of_routes = new.routes.iter().find_map(|(route, tally)| {
        let old = baseline.routes.get(route).unwrap_or(&empty);
        compare_failures(Some(*route), old, tally, certainty)
            .or_else(|| compare_times(Some(*route), old, tally, period, certainty))
    });
    // Run times differ between routes, so only failures are compared for all of them.
    of_routes.or_else(|| compare_failures(None, &baseline.total(), &new.total(), certainty))
}

/// Returns the number of bad responses of the new version.
pub fn count_bad(baseline: &VersionTally, new: &VersionTally) -> u64 {
    let counts = new.routes.iter().map(|(route, tally)| {
        let median = baseline.routes.get(route).and_then(RouteTally::median);
        let slow = median.map_or(0, |median| tally.above(median.saturating_add(SLOW_CLASSES)));
        tally.failed + slow
    });
    counts.sum()
}

fn compare_failures(
    route: Option<RouteKey>,
    old: &RouteTally,
    new: &RouteTally,
    certainty: Certainty,
) -> Option<BadVersion> {
    let (bad, baseline) = ((new.failed, new.ended), (old.failed, old.ended));
    let found = new.failed >= certainty.failed
        && is_worse(baseline, bad, MIN_FAILED_EXCESS, certainty.deviations);
    found.then_some(BadVersion {
        route,
        slow: false,
        bad,
        baseline,
    })
}

fn compare_times(
    route: Option<RouteKey>,
    old: &RouteTally,
    new: &RouteTally,
    period: JudgedPeriod,
    certainty: Certainty,
) -> Option<BadVersion> {
    let excess = match period {
        JudgedPeriod::Whole => MIN_SLOW_EXCESS,
        JudgedPeriod::Recent => MIN_RECENT_SLOW_EXCESS,
    };
    let limit = old.median()?.saturating_add(SLOW_CLASSES);
    let (bad, baseline) = (
        (new.above(limit), new.timed()),
        (old.above(limit), old.timed()),
    );
    let found = bad.0 >= certainty.slow
        && is_worse(
            baseline,
            bad,
            excess,
            certainty.deviations * SLOW_CLUSTER.sqrt(),
        );
    found.then_some(BadVersion {
        route,
        slow: true,
        bad,
        baseline,
    })
}

/// Returns whether the share of bad ones is larger than before by `excess` and by `deviations`.
///
/// One bad one in two is added to the old ones, so that few of them count for little.
fn is_worse(old: (u64, u64), new: (u64, u64), excess: f64, deviations: f64) -> bool {
    let (old_bad, old_count) = (old.0 as f64 + 1.0, old.1 as f64 + 2.0);
    let (new_bad, new_count) = (new.0 as f64, new.1 as f64);
    if new_count < 1.0 {
        return false;
    }
    let difference = new_bad / new_count - old_bad / old_count;
    let share = (old_bad + new_bad) / (old_count + new_count);
    let variance = share * (1.0 - share) * (1.0 / old_count + 1.0 / new_count);
    difference >= excess && difference >= deviations * variance.sqrt()
}
