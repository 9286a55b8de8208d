//! One proxy and two targets: picks a target, admits the call and records its outcome.

use std::time::Duration;

use model::{CallClass, CallCount, DaemonId, FakeClock};
use quetzal_route::{
    AdmissionDecision, AdmissionGate, AdmissionRequest, CallId, CallOutcome, CallResult,
    FinishedCall, GateConfig, PickerConfig, TargetPicker, TargetState, TargetView,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smallvec::SmallVec;

fn main() -> model::Result<()> {
    let clock = FakeClock::new();
    let config = PickerConfig {
        domain: "cairo-1".parse()?,
        region: SmallVec::new(),
        slow_start: quetzal_route::SlowStart::default(),
        locality: quetzal_route::LocalityPreference::default(),
    };
    let mut picker = TargetPicker::new(config, clock.shared(), SmallRng::seed_from_u64(1));
    let service = "catalog".parse()?;
    let mut views = Vec::new();
    for number in 1..=2 {
        views.push(TargetView {
            target: format!("catalog-{number}").parse()?,
            daemon: DaemonId(number),
            domain: format!("cairo-{number}").parse()?,
            slots: CallCount(10),
            connections: CallCount(130),
            version: None,
            state: TargetState::Ready,
            load: None,
            mean_run_time: None,
            since: model::ClockPort::now(&clock),
        });
    }
    picker.set_targets(&service, &views);

    let gate_config = GateConfig {
        slots: CallCount(10),
        connections: CallCount(130),
        queue: CallCount(10),
    };
    // For brevity, both targets share one gate; a real target has its own.
    let mut gate = AdmissionGate::new(gate_config, clock.shared());
    for number in 0..3 {
        let Some(chosen) = picker.pick(&service, &[]) else {
            println!("no target accepts calls");
            continue;
        };
        let request = AdmissionRequest {
            call: CallId(number),
            customer: "nile-brands".parse()?,
            class: CallClass::Read,
            deadline: chosen.picked_at + Duration::from_secs(1),
        };
        let answer = gate.enter(&request);
        println!(
            "call {number} to {}: {:?}",
            chosen.view.target, answer.decision
        );
        if answer.decision == AdmissionDecision::Start {
            clock.advance(Duration::from_millis(12));
            gate.leave(FinishedCall {
                call: request.call,
                failed: false,
            });
        }
        let outcome = CallOutcome {
            latency: Duration::from_millis(12),
            waited: Duration::ZERO,
            result: CallResult::Done,
            load: Some(gate.load()),
        };
        picker.finish(&chosen, &outcome);
    }
    Ok(())
}
