//! Limits of customers, as counted in a fleet of gates that share them.

use crate::figure::CountedFigure;
use crate::fleet::Fleet;
use crate::scenario::{BYTES, Scenario, Spread};
use crate::ways::Way;

/// Figures with `daemons` over which each customer's calls come in.
pub fn run(daemons: usize) -> Vec<CountedFigure> {
    let [_, all_proxies] = BYTES;
    let scenario = Scenario {
        daemons,
        spread: Spread::Proxies(daemons),
        ..all_proxies
    };
    let customers = scenario.customers as f64;
    let figures = Fleet::new(Way::Shares, scenario).run();
    vec![
        CountedFigure::new("share keeper", "control, mean", "B/s", figures.bytes_mean),
        CountedFigure::new(
            "share keeper",
            "control, most of one",
            "B/s",
            figures.bytes_most,
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
            figures.settled.max(0.0) * 100.0,
        ),
    ]
}
