//! Reports of the target beside a daemon, in every order in which they may come.

mod support;

use std::sync::Arc;

use model::{CallCount, FakeClock, IncarnationNumber};
use quetzal_mesh::{LocalTarget, ReportEffect, ReportedState, TargetLeave, TargetReport};
use support::{ms, service};

fn fresh() -> (LocalTarget, FakeClock) {
    let clock = FakeClock::new();
    (LocalTarget::new(ms(6000), Arc::new(clock.clone())), clock)
}

fn report(name: &str, run: u64, sequence: u64, state: ReportedState) -> TargetReport {
    TargetReport {
        target: name.parse().expect("a short name"),
        run: IncarnationNumber(run),
        sequence,
        service: service("deals"),
        slots: CallCount(9),
        state,
    }
}

fn leave(name: &str, run: u64) -> TargetLeave {
    TargetLeave {
        target: name.parse().expect("a short name"),
        run: IncarnationNumber(run),
    }
}

#[test]
fn a_late_report_of_an_earlier_run_changes_nothing() {
    let (mut own, _) = fresh();
    own.on_report(report("i-1", 100, 7, ReportedState::Ready));
    own.on_report(report("i-2", 200, 1, ReportedState::Ready));
    let late = report("i-1", 100, 8, ReportedState::Draining);
    assert_eq!(own.on_report(late), ReportEffect::Stale);
    let willing = own.available().expect("the new run takes requests");
    assert_eq!(willing.target.as_str(), "i-2");
}

#[test]
fn a_target_that_drains_stays_draining_for_the_run() {
    let (mut own, _) = fresh();
    own.on_report(report("i-1", 100, 1, ReportedState::Ready));
    own.on_report(report("i-1", 100, 3, ReportedState::Draining));
    own.on_report(report("i-1", 100, 2, ReportedState::Ready));
    own.on_report(report("i-1", 100, 4, ReportedState::Ready));
    assert!(own.available().is_none());
    assert!(own.is_leaving());
}

#[test]
fn a_late_report_after_the_daemons_restart_opens_nothing() {
    // The run of the daemon that ended had acknowledged that the target leaves.
    let (mut own, clock) = fresh();
    own.on_report(report("i-1", 100, 7, ReportedState::Ready));
    assert!(own.available().is_none(), "one report may be a late one");
    assert!(own.is_unconfirmed());
    clock.advance(ms(200));
    own.on_report(report("i-1", 100, 8, ReportedState::Draining));
    own.on_report(report("i-1", 100, 9, ReportedState::Ready));
    assert!(own.available().is_none(), "the target leaves");
}

#[test]
fn a_target_that_was_there_before_the_daemon_is_confirmed_by_its_answer() {
    let (mut own, _) = fresh();
    own.on_report(report("i-1", 100, 7, ReportedState::Ready));
    own.on_answer();
    assert!(own.available().is_some());
}

#[test]
fn a_target_whose_health_lies_is_confirmed_by_reports_in_order() {
    let (mut own, _) = fresh();
    own.on_report(report("i-1", 100, 7, ReportedState::Ready));
    own.on_report(report("i-1", 100, 6, ReportedState::Ready));
    assert!(own.available().is_none(), "an older report adds nothing");
    own.on_report(report("i-1", 100, 8, ReportedState::Ready));
    assert!(own.available().is_none(), "two may be late ones");
    let effect = own.on_report(report("i-1", 100, 9, ReportedState::Ready));
    assert_eq!(effect, ReportEffect::Changed);
    assert!(own.available().is_some());
}

#[test]
fn a_target_that_starts_beside_its_daemon_is_taken_at_its_first_report() {
    let (mut own, _) = fresh();
    own.on_report(report("i-1", 100, 1, ReportedState::Ready));
    assert!(own.available().is_some());
}

#[test]
fn a_leave_without_a_run_ends_the_known_run_and_a_new_one_begins() {
    let (mut own, _) = fresh();
    own.on_report(report("i-1", 100, 1, ReportedState::Ready));
    assert!(own.on_leave(leave("i-1", 0)));
    assert!(!own.on_leave(leave("i-1", 0)), "told twice");
    assert!(own.available().is_none());
    own.on_report(report("i-1", 300, 1, ReportedState::Ready));
    assert!(own.available().is_some(), "the same name started anew");
}

#[test]
fn a_leave_of_another_target_ends_nothing() {
    let (mut own, _) = fresh();
    own.on_report(report("i-2", 200, 1, ReportedState::Ready));
    assert!(!own.on_leave(leave("i-1", 100)));
    assert!(own.available().is_some());
    let late = report("i-1", 100, 9, ReportedState::Ready);
    assert_eq!(own.on_report(late), ReportEffect::Stale);
}

#[test]
fn a_target_found_by_asking_is_the_one_that_reports_next() {
    let (mut own, _) = fresh();
    own.on_report(report("i-1", 0, 0, ReportedState::Ready));
    assert!(own.available().is_some());
    let first = report("i-1", 100, 40, ReportedState::Ready);
    assert_eq!(own.on_report(first), ReportEffect::Changed);
    assert_eq!(
        own.available().map(|found| found.run),
        Some(IncarnationNumber(100))
    );
}

#[test]
fn a_silent_target_is_not_offered_until_it_is_heard_again() {
    let (mut own, clock) = fresh();
    own.on_report(report("i-1", 100, 1, ReportedState::Ready));
    clock.advance(ms(5000));
    own.on_answer();
    clock.advance(ms(5000));
    assert!(own.available().is_some(), "answers count as signs of life");
    clock.advance(ms(2000));
    assert!(own.available().is_none());
    own.on_report(report("i-1", 100, 2, ReportedState::Ready));
    assert!(own.available().is_some());
}

#[test]
fn a_target_that_is_down_comes_back_with_its_next_report() {
    let (mut own, _) = fresh();
    own.on_report(report("i-1", 100, 1, ReportedState::Ready));
    assert!(own.on_connection_refused());
    assert!(!own.on_connection_refused(), "told once");
    assert!(own.available().is_none());
    let next = report("i-1", 100, 2, ReportedState::Ready);
    assert_eq!(own.on_report(next), ReportEffect::Changed);
    assert!(own.available().is_some());
}

#[test]
fn renewals_change_nothing() {
    let (mut own, _) = fresh();
    own.on_report(report("i-1", 100, 1, ReportedState::Ready));
    let next = report("i-1", 100, 2, ReportedState::Ready);
    assert_eq!(own.on_report(next), ReportEffect::Renewed);
}
