//! Prints the tables of `docs/design/even-load.md`.

#[path = "../tests/even_load/model.rs"]
mod model;

use std::time::Duration;

use model::{Policy, Scenario, run};

fn main() {
    print_tables();
    print_slow_periods();
}

fn print_slow_periods() {
    for load in [0.5, 0.7, 0.85] {
        for (policy, names_pace) in [
            (Policy::Picker, false),
            (Policy::Picker, true),
            (Policy::Reject(2), false),
            (Policy::Reject(2), true),
        ] {
            let mut scenario = Scenario::new(policy, 60, 27, load);
            scenario.noisy = true;
            scenario.names_pace = names_pace;
            print!("pace named: {names_pace} ");
            print_row(scenario);
        }
    }
}

fn print_row(scenario: Scenario) {
    let figures = run(scenario);
    let requests = figures.requests.max(1) as f64;
    println!(
        "| {:?} | {} | {} | {} | {} | {:.3} | {:.4} | {:.0} | {:.0} | {:.2} | {:.2} |",
        scenario.policy,
        scenario.daemons,
        scenario.targets,
        scenario.load,
        scenario.age.as_millis(),
        figures.uneven_time,
        figures.wasted,
        figures.p99_wait_ms,
        figures.mean_ms,
        figures.refused as f64 * 100.0 / requests,
        figures.attempts as f64 / requests,
    );
}

fn print_tables() {
    let policies = [
        Policy::Random,
        Policy::Picker,
        Policy::Subset,
        Policy::RandomReject(2),
        Policy::Reject(1),
        Policy::Reject(2),
    ];
    std::thread::scope(|scope| {
        for (daemons, targets) in [(30, 3), (30, 8), (84, 36), (84, 48), (300, 48)] {
            scope.spawn(move || {
                for load in [0.6, 0.8, 0.9, 1.1, 2.0] {
                    for age in [0, 1500] {
                        for policy in policies {
                            let mut scenario = Scenario::new(policy, daemons, targets, load);
                            scenario.age = Duration::from_millis(age);
                            print_row(scenario);
                        }
                    }
                }
            });
        }
    });
}
