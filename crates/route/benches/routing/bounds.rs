//! Bounds on the picker's figures.

use crate::chooser::PickStrategy;
use crate::run::Figures;
use crate::scenario::{Fault, MEASURED, SERVICE_TIME, Scenario, Size};

/// Least goodput under overload, as a part of what the targets can run.
const MIN_OVERLOAD_GOODPUT: f64 = 0.9;

/// Most attempts for each call.
const MAX_ATTEMPTS: f64 = 1.1;

/// Most calls failed by a target that fails fast, as a part of all.
const MAX_FAILED_FAST: f64 = 0.005;

/// How much worse than the best baseline the part of unanswered calls may be.
const UNANSWERED_MARGIN: f64 = 0.01;

/// The same for the 99th percentile, as a factor.
const LATENCY_FACTOR: f64 = 1.1;

/// The bounds that are broken; `all` are the figures of [`PickStrategy::ALL`].
pub fn check(
    size: &Size,
    scenario: Scenario,
    all: &[Figures; PickStrategy::ALL.len()],
) -> Vec<String> {
    let mut broken = Vec::new();
    let mut ensure = |held: bool, text: &str| {
        if !held {
            broken.push(text.to_owned());
        }
    };
    let figures_of = |wanted: PickStrategy| {
        let mut ways = PickStrategy::ALL.iter().zip(all);
        let found = ways.find(|(strategy, _)| **strategy == wanted);
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
        all.iter().all(|figures| figures.overfull == 0),
        "slots exceeded",
    );
    ensure(
        picker.share(picker.attempts) <= MAX_ATTEMPTS,
        "too many attempts",
    );
    if scenario.load >= 1.0 {
        let capacity = f64::from(size.slots) * size.targets as f64 / SERVICE_TIME.as_secs_f64();
        let possible = capacity * MEASURED.as_secs_f64();
        ensure(
            picker.goodput() >= possible * MIN_OVERLOAD_GOODPUT,
            "goodput falls under overload",
        );
        return broken;
    }
    let best = baselines.map(unanswered).into_iter().fold(1.0, f64::min);
    ensure(
        unanswered(picker) <= best + UNANSWERED_MARGIN,
        "more calls unanswered than by a baseline",
    );
    let best = baselines.map(p99).into_iter().fold(f64::MAX, f64::min);
    ensure(
        p99(picker) <= best * LATENCY_FACTOR,
        "99th percentile above that of a baseline",
    );
    if scenario.fault == Fault::FailsFast {
        ensure(
            picker.share(picker.failed) <= MAX_FAILED_FAST,
            "a failing target attracts calls",
        );
    }
    broken
}

fn unanswered(figures: &Figures) -> f64 {
    figures.share(figures.refused + figures.failed)
}

fn p99(figures: &Figures) -> f64 {
    figures.latency_us.value_at_quantile(0.99) as f64
}
