//! Tests graceful stops, also of most daemons of a failure domain at once, in which case
//! callers keep sending requests.

mod support;

use std::time::{Duration, Instant};

use quetzal_mesh::{StopConditions, StopPlan};
use support::ms;

/// Time from SIGTERM until the process is killed; connections are closed 450 ms before.
const GRACE: Duration = Duration::from_millis(5950);

/// Time after which `should_close` is always true: 900 ms before the process is killed.
const LATEST: Duration = Duration::from_millis(5050);

/// No more callers, and a target that keeps running.
const QUIET: StopConditions = StopConditions {
    gate_idle: true,
    since_last_request: Duration::from_secs(2),
    target_available: true,
};

#[test]
fn a_request_that_would_outlive_the_process_is_refused_with_a_retry_delay() {
    let started = Instant::now();
    let plan = StopPlan::new(started, GRACE);
    // Half a second before connections close, from a caller that waits for 2.5 s.
    let now = started + ms(4940);
    assert_eq!(plan.admit(now, now + ms(2500)), Err(ms(1560)));
}

#[test]
fn a_request_that_ends_before_the_process_is_accepted() {
    let started = Instant::now();
    let plan = StopPlan::new(started, GRACE);
    let now = started + ms(4940);
    assert_eq!(plan.admit(now, now + ms(400)), Ok(()));
}

// Guards against a request that is accepted though its answer, sent at its deadline, meets a closed
// connection.
#[test]
fn a_request_is_accepted_only_if_its_answer_can_still_be_sent() {
    let started = Instant::now();
    let plan = StopPlan::new(started, GRACE);
    let now = started + ms(4940);
    assert!(plan.cutoff() - plan.answers_due() >= ms(100));
    assert!(plan.admit(now, plan.cutoff()).is_err());
    assert!(plan.admit(now, plan.answers_due() + ms(1)).is_err());
    assert_eq!(plan.admit(now, plan.answers_due()), Ok(()));
}

#[test]
fn a_short_grace_period_still_leaves_a_plan_in_order() {
    let started = Instant::now();
    for grace in [0, 100, 500, 700] {
        let plan = StopPlan::new(started, ms(grace));
        assert!(plan.answers_due() >= started);
        assert!(plan.answers_due() <= plan.cutoff());
    }
}

// Guards against a request that a daemon with a long grace period accepts though callers have had
// time to move away, and breaks off at the end while its target is at work.
#[test]
fn a_long_grace_period_does_not_extend_the_time_in_which_all_requests_are_accepted() {
    let started = Instant::now();
    for grace in [3, 6, 10, 30, 120].map(Duration::from_secs) {
        let plan = StopPlan::new(started, grace);
        let outliving = plan.answers_due() + ms(1);
        let mut after = Duration::from_secs(3);
        while after < grace {
            let decision = plan.admit(started + after, outliving);
            assert!(decision.is_err(), "after {after:?} of {grace:?}");
            after += ms(50);
        }
    }
}

#[test]
fn all_requests_are_accepted_while_callers_move_away() {
    let started = Instant::now();
    let plan = StopPlan::new(started, GRACE);
    for after in [0, 1000, 2600] {
        let now = started + ms(after);
        assert_eq!(plan.admit(now, now + ms(8000)), Ok(()), "after {after} ms");
    }
}

#[test]
fn the_gate_stays_open_until_shortly_before_connections_close() {
    // In a rolling restart of daemons, other targets may be leaving at the same time.
    let started = Instant::now();
    let plan = StopPlan::new(started, GRACE);
    assert!(plan.announced_at() - started >= ms(1800));
    assert!(plan.gate_closes_at() > plan.announced_at());
    assert!(plan.earliest_close() > plan.gate_closes_at());
    assert!(!plan.should_close(plan.announced_at(), &QUIET));
    assert!(plan.should_close(plan.earliest_close(), &QUIET));
}

#[test]
fn a_daemon_with_callers_closes_shortly_before_it_is_killed() {
    let started = Instant::now();
    let plan = StopPlan::new(started, GRACE);
    let busy = StopConditions {
        gate_idle: false,
        ..QUIET
    };
    let recently_called = StopConditions {
        since_last_request: ms(1199),
        ..QUIET
    };
    for conditions in [busy, recently_called] {
        assert!(
            !plan.should_close(started + LATEST.saturating_sub(ms(1)), &conditions),
            "{conditions:?}"
        );
        assert!(
            plan.should_close(started + LATEST, &conditions),
            "{conditions:?}"
        );
    }
    assert!(plan.cutoff() + ms(450) <= started + GRACE);
}

#[test]
fn a_daemon_whose_target_has_ended_stays_as_long_as_it_may() {
    // VMs of a failure domain are removed one after the other. Once fewer than half of its
    // daemons are ready, the platform sends callers to all of them again.
    let started = Instant::now();
    let plan = StopPlan::new(started, GRACE);
    let without_target = StopConditions {
        target_available: false,
        ..QUIET
    };
    assert!(!plan.should_close(started + LATEST.saturating_sub(ms(1)), &without_target));
    assert!(plan.should_close(started + LATEST, &without_target));
}
