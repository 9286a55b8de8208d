//! Golden files: the membership changes that one observer sees during a drain and a crash.

mod fleet;

use std::fmt::Write;
use std::time::Duration;

use fleet::{Fleet, target_of};
use quetzal_members::{MemberChange, TargetState};

const SECOND: Duration = Duration::from_secs(1);
const OBSERVER: usize = 4;
const SUBJECT: usize = 1;

/// Formats the changes that the observer reported since the last reset, and the number of targets
/// of the subject's service.
fn transcript(fleet: &mut Fleet, begin: Duration) -> String {
    let mut text = String::new();
    let changes: Vec<(Duration, MemberChange)> = fleet
        .changes
        .iter()
        .filter(|(_, index, _)| *index == OBSERVER)
        .map(|(at, _, change)| (*at, *change))
        .collect();
    for (at, change) in changes {
        let index = (0..fleet.daemons.len()).find(|index| fleet.daemons[*index].id == change.id);
        let before = change
            .before
            .map_or("unknown".into(), |state| state.to_string());
        writeln!(
            text,
            "{:>5} ms  vm-{:03}  {before} -> {}",
            at.saturating_sub(begin).as_millis(),
            index.unwrap(),
            change.state
        )
        .unwrap();
    }
    let service = target_of(SUBJECT, TargetState::Ready).service;
    let targets = fleet.node(OBSERVER).targets(&service).len();
    writeln!(text, "targets of {service}: {targets}").unwrap();
    text
}

#[test]
fn session_of_a_drain() {
    let mut fleet = Fleet::warm(6, 3, 1, 21, 25 * SECOND);
    let begin = fleet.clock.elapsed();
    let mut text = transcript(&mut fleet, begin);
    fleet
        .node(SUBJECT)
        .set_targets(vec![target_of(SUBJECT, TargetState::Draining)]);
    fleet.run_for(3 * SECOND);
    text += "-- the target drains\n";
    text += &transcript(&mut fleet, begin);
    fleet.reset_counts();
    fleet.node(SUBJECT).drain();
    fleet.run_for(SECOND);
    let outputs = fleet.node(SUBJECT).leave();
    fleet.carry_out(SUBJECT, outputs);
    fleet.run_for(SECOND);
    fleet.crash(SUBJECT);
    fleet.run_for(10 * SECOND);
    text += "-- the daemon stops as planned\n";
    text += &transcript(&mut fleet, begin);
    insta::assert_snapshot!(text);
}

#[test]
fn session_of_a_crash() {
    let mut fleet = Fleet::warm(6, 3, 1, 22, 25 * SECOND);
    let begin = fleet.clock.elapsed();
    let mut text = transcript(&mut fleet, begin);
    fleet.crash(SUBJECT);
    fleet.run_for(10 * SECOND);
    text += "-- the VM is lost\n";
    text += &transcript(&mut fleet, begin);
    fleet.reset_counts();
    fleet.start(SUBJECT);
    fleet.run_for(10 * SECOND);
    text += "-- the VM is replaced under the same id\n";
    text += &transcript(&mut fleet, begin);
    insta::assert_snapshot!(text);
}
