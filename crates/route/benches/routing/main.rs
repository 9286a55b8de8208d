//! Compares strategies for picking a target under load and faults.
//!
//! All strategies use the same membership, admission control and retries.
//! Exits with status 1 if the picker violates a bound.

mod bounds;
mod chooser;
mod faults;
mod run;
mod scenario;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use chooser::PickStrategy;
use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use model::{CallClass, CallCount, ClockPort, FakeClock};
use quetzal_route::{AdmissionGate, AdmissionRequest, CallId, FinishedCall, GateConfig};
use run::{Figures, Run};
use scenario::{SCENARIOS, SIZES, Scenario, Size};

fn main() -> ExitCode {
    let mut violations = Vec::new();
    for size in SIZES {
        compare(size, &mut violations);
    }
    print_cost();
    for bound in &violations {
        println!("bound violated: {bound}");
    }
    if violations.is_empty() {
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}

fn compare(size: Size, violations: &mut Vec<String>) {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    table.set_header([
        "scenario",
        "strategy",
        "p50 ms",
        "p99 ms",
        "refused %",
        "failed %",
        "goodput",
        "attempts",
    ]);
    for scenario in SCENARIOS {
        let run = |strategy| Run::new(size, scenario, strategy).run();
        let all = PickStrategy::ALL.map(run);
        for (strategy, figures) in PickStrategy::ALL.iter().zip(&all) {
            table.add_row(row(scenario, *strategy, figures));
        }
        let line = format!("{}, {}", size.name, scenario.name);
        for bound in bounds::check(&size, scenario, &all) {
            violations.push(format!("{line}: {bound}"));
        }
    }
    println!("{}\n{table}", size.name);
}

fn row(scenario: Scenario, strategy: PickStrategy, figures: &Figures) -> [String; 8] {
    let ms = |quantile| figures.latency_us.value_at_quantile(quantile) as f64 / 1e3;
    let percent = |count| format!("{:.2}", figures.share(count) * 100.0);
    [
        scenario.name.to_owned(),
        strategy.name().to_owned(),
        format!("{:.1}", ms(0.5)),
        format!("{:.1}", ms(0.99)),
        percent(figures.refused),
        percent(figures.failed),
        format!("{:.0}", figures.goodput()),
        format!("{:.3}", figures.share(figures.attempts)),
    ]
}

/// Returns the mean wall time of a call through a half-full gate over `rounds`.
fn gate_cost(rounds: u64) -> Duration {
    let clock = FakeClock::new();
    let config = GateConfig {
        slots: CallCount(10),
        connections: CallCount(130),
        queue: CallCount(10),
    };
    let mut gate = AdmissionGate::new(config, clock.shared());
    let mut request = AdmissionRequest {
        call: CallId(0),
        customer: "agency-1".parse().expect("a valid name"),
        class: CallClass::Read,
        deadline: clock.now() + Duration::from_secs(1),
    };
    let start = Instant::now();
    for number in 0..rounds {
        request.call = CallId(number);
        gate.enter(&request);
        if let Some(call) = number.checked_sub(5) {
            let call = CallId(call);
            gate.leave(FinishedCall {
                call,
                failed: false,
            });
        }
    }
    start.elapsed() / rounds as u32
}

fn print_cost() {
    println!(
        "a call through a gate: {} ns",
        gate_cost(1_000_000).as_nanos()
    );
    for count in [20, 50] {
        let cost = chooser::pick_cost(count, 200_000);
        println!(
            "a pick and its outcome at {count} targets: {} ns",
            cost.as_nanos()
        );
    }
}
