//! Compares ways of holding limits over the fleet.
//!
//! An exact counter runs beside each way on the same calls. Exits 1 when the
//! shares break a bound.

mod fleet;
mod scenario;
mod ways;

use std::process::ExitCode;

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use fleet::{Figures, Fleet};
use scenario::{BYTES, SCENARIOS, Scenario};
use ways::Way;

/// Most bytes a second that a daemon may spend on limits, on average.
const MAX_BYTES_PER_S: f64 = 2048.0;

fn main() -> ExitCode {
    let mut broken = Vec::new();
    let mut table = new_table();
    for scenario in SCENARIOS {
        for way in Way::ALL {
            let figures = Fleet::new(way, scenario).run();
            if way == Way::Shares {
                check(&scenario, &figures, &mut broken);
            }
            table.add_row(row(&scenario, way, &figures));
        }
    }
    println!("{table}");
    let mut table = new_table();
    for scenario in BYTES {
        let figures = Fleet::new(Way::Shares, scenario).run();
        if figures.bytes_mean > MAX_BYTES_PER_S {
            broken.push(format!("{}: too many bytes", scenario.name));
        }
        table.add_row(row(&scenario, Way::Shares, &figures));
    }
    println!("{table}");
    for bound in &broken {
        println!("broken: {bound}");
    }
    if broken.is_empty() {
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}

fn new_table() -> Table {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    table.set_header([
        "scenario",
        "way",
        "offered",
        "admitted",
        "overshoot %",
        "settled %",
        "wrongly refused %",
        "calls at once %",
        "settled %",
        "B/s mean",
        "B/s most",
    ]);
    table
}

fn row(scenario: &Scenario, way: Way, figures: &Figures) -> [String; 11] {
    let percent = |part: f64| format!("{:.1}", part * 100.0);
    [
        scenario.name.to_owned(),
        way.name().to_owned(),
        figures.offered.to_string(),
        figures.admitted.to_string(),
        percent(figures.overshoot),
        percent(figures.settled),
        percent(figures.wrongly_refused),
        percent(figures.calls_at_once),
        percent(figures.settled_calls),
        format!("{:.0}", figures.bytes_mean),
        format!("{:.0}", figures.bytes_most),
    ]
}

fn check(scenario: &Scenario, figures: &Figures, broken: &mut Vec<String>) {
    let bound = scenario.bound;
    let mut ensure = |held: bool, text: &str| {
        if !held {
            broken.push(format!("{}: {text}", scenario.name));
        }
    };
    ensure(figures.overshoot <= bound.overshoot, "overshoot");
    ensure(
        figures.wrongly_refused <= bound.wrongly_refused,
        "wrongly refused",
    );
    ensure(
        figures.calls_at_once <= bound.calls_at_once,
        "calls at once",
    );
}
