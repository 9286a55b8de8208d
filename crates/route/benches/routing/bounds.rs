//! Bounds on the measurements of the picker.

use crate::chooser::PickStrategy;
use crate::run::Figures;
use crate::scenario::{Fault, MEASURED, SERVICE_TIME, Scenario, Size};

/// Minimum goodput under overload, as a fraction of the capacity of the targets.
const MIN_OVERLOAD_GOODPUT: f64 = 0.9;

/// Maximum mean number of attempts per call.
const MAX_ATTEMPTS: f64 = 1.1;

/// Maximum share of calls failed by a target that fails immediately.
const MAX_FAST_FAILURES: f64 = 0.005;

/// Margin by which the share of refused and failed calls may exceed that of the best baseline.
const UNSUCCESSFUL_MARGIN: f64 = 0.01;

/// Factor by which the 99th percentile may exceed that of the best baseline.
const LATENCY_FACTOR: f64 = 1.1;

/// Returns the violated bounds; `all` holds the measurements of [`PickStrategy::ALL`].
pub fn check(
    size: &Size,
    scenario: Scenario,
    all: &[Figures; PickStrategy::ALL.len()],
) -> Vec<String> {
    let mut violations = Vec::new();
    let mut ensure = |ok: bool, text: &str| {
        if !ok {
            violations.push(text.to_owned());
        }
    };
    let figures_of = |wanted: PickStrategy| {
        let mut strategies = PickStrategy::ALL.iter().zip(all);
        let found = strategies.find(|(strategy, _)| **strategy == wanted);
        found.map_or(&all[0], |(_, figures)| figures)
    };
    let picker = figures_of(PickStrategy::Picker);
    let baselines = [
        PickStrategy::Random,
        PickStrategy::RoundRobin,
        PickStrategy::TwoChoices,
    ]
    .map(figures_of);
    ensure(
        all.iter().all(|figures| figures.slot_violations == 0),
        "slots exceeded",
    );
    ensure(
        picker.share(picker.attempts) <= MAX_ATTEMPTS,
        "too many attempts",
    );
    if scenario.load >= 1.0 {
        let capacity = f64::from(size.slots) * size.targets as f64 / SERVICE_TIME.as_secs_f64();
        let capacity_calls = capacity * MEASURED.as_secs_f64();
        ensure(
            picker.goodput() >= capacity_calls * MIN_OVERLOAD_GOODPUT,
            "goodput is too low under overload",
        );
        return violations;
    }
    let best = baselines.map(unsuccessful).into_iter().fold(1.0, f64::min);
    ensure(
        unsuccessful(picker) <= best + UNSUCCESSFUL_MARGIN,
        "more refused and failed calls than a baseline",
    );
    let best = baselines.map(p99).into_iter().fold(f64::MAX, f64::min);
    ensure(
        p99(picker) <= best * LATENCY_FACTOR,
        "99th percentile above that of a baseline",
    );
    if scenario.fault == Fault::FailsFast {
        ensure(
            picker.share(picker.failed) <= MAX_FAST_FAILURES,
            "a failing target attracts calls",
        );
    }
    violations
}

fn unsuccessful(figures: &Figures) -> f64 {
    figures.share(figures.refused + figures.failed)
}

fn p99(figures: &Figures) -> f64 {
    figures.latency_us.value_at_quantile(0.99) as f64
}
