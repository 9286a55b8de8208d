//! Cost of customers' limits that are shared by a fleet of gates.

use std::time::Duration;

use crate::figure::CountedFigure;
use crate::fleet::Fleet;
use crate::scenario::{Scenario, Spread, TRAFFIC_SCENARIOS};
use crate::ways::LimitStrategy;

/// Duration of the run that starts with all customers new.
const START_TIME: Duration = Duration::from_secs(30);
/// Time from which the bytes of that run are counted.
const START_COUNT_FROM: Duration = Duration::from_secs(20);

/// Measures a fleet in which the calls of each customer arrive at all `daemons`.
pub fn run(daemons: usize) -> Vec<CountedFigure> {
    let [_, all_proxies] = TRAFFIC_SCENARIOS;
    let scenario = Scenario {
        daemons,
        spread: Spread::Proxies(daemons),
        ..all_proxies
    };
    let starting = Scenario {
        time: START_TIME,
        bytes_from: START_COUNT_FROM,
        ..scenario
    };
    let customers = scenario.customers as f64;
    let start = Fleet::new(LimitStrategy::Shares, starting).run();
    let figures = Fleet::new(LimitStrategy::Shares, scenario).run();
    vec![
        CountedFigure::new("share keeper", "control, mean", "B/s", figures.bytes_mean),
        CountedFigure::new(
            "share keeper",
            "control, most of one",
            "B/s",
            figures.bytes_max,
        ),
        CountedFigure::new(
            "share keeper",
            "customers on all proxies",
            "keys",
            customers,
        ),
        CountedFigure::new(
            "share keeper",
            "calls above the plan, settled",
            "%",
            figures.settled_overshoot.max(0.0) * 100.0,
        ),
        CountedFigure::new(
            "share keeper",
            "control 20 to 30 s after a start, most of one",
            "B/s",
            start.bytes_max,
        ),
    ]
}
