//! What follows after each end of an attempt.

mod support;

use std::time::Instant;

use model::ErrorKind;
use quetzal_mesh::{AttemptOutcome, AttemptPlan, CallSafety, NextStep};
use support::{ms, rule};

fn plan(safety: CallSafety, now: Instant) -> AttemptPlan {
    let mut route = rule("payout", "deals", 1);
    route.safety = safety;
    AttemptPlan::new(&route, now + ms(400))
}

fn refused(arrived: bool) -> AttemptOutcome {
    AttemptOutcome::Refused {
        kind: ErrorKind::QueueFull,
        reached_target: arrived,
        retry_after: Some(ms(80)),
    }
}

#[test]
fn a_payout_whose_answer_was_lost_is_never_sent_again() {
    let now = Instant::now();
    let mut plan = plan(CallSafety::AtMostOnce, now);
    let step = plan.next(AttemptOutcome::Broken, now, || true);
    assert_eq!(step, NextStep::Fail(ErrorKind::OutcomeUnknown));
}

#[test]
fn a_payout_that_a_target_failed_is_answered_with_that_failure() {
    let now = Instant::now();
    let mut plan = plan(CallSafety::AtMostOnce, now);
    let step = plan.next(AttemptOutcome::ServerFailed, now, || true);
    assert_eq!(step, NextStep::Deliver);
}

#[test]
fn a_run_whose_calls_found_no_room_is_not_repeated() {
    // Pattern: a called service turns half of its calls away. What the fleet may repeat
    // there is needed for the calls themselves.
    let now = Instant::now();
    let mut plan = plan(CallSafety::Idempotent, now);
    let step = plan.next(AttemptOutcome::CallRefused, now, || {
        panic!("nothing is spent")
    });
    assert_eq!(step, NextStep::Deliver);
}

#[test]
fn a_proven_refusal_goes_to_another_target_without_a_token() {
    let now = Instant::now();
    let mut plan = plan(CallSafety::AtMostOnce, now);
    let step = plan.next(refused(false), now, || panic!("nothing is spent"));
    assert_eq!(step, NextStep::Another);
}

#[test]
fn a_refusal_by_the_target_itself_costs_a_token() {
    let now = Instant::now();
    let step = plan(CallSafety::Idempotent, now).next(refused(true), now, || false);
    let expected = NextStep::Refuse {
        kind: ErrorKind::QueueFull,
        retry_after: ms(80),
    };
    assert_eq!(step, expected);
    let step = plan(CallSafety::Idempotent, now).next(refused(true), now, || true);
    assert_eq!(step, NextStep::Another);
}

#[test]
fn not_run_is_never_said_after_an_attempt_that_may_have_run() {
    let now = Instant::now();
    let mut plan = plan(CallSafety::Idempotent, now);
    assert_eq!(
        plan.next(AttemptOutcome::Broken, now, || true),
        NextStep::Another
    );
    for _ in 0..4 {
        let step = plan.next(refused(false), now, || true);
        assert!(!matches!(step, NextStep::Refuse { .. }), "{step:?}");
    }
    let step = plan.exhausted(ErrorKind::TargetAbsent);
    assert_eq!(step, NextStep::Fail(ErrorKind::OutcomeUnknown));
}

#[test]
fn a_failed_answer_is_delivered_when_nobody_else_has_room() {
    let now = Instant::now();
    let mut plan = plan(CallSafety::Idempotent, now);
    assert_eq!(
        plan.next(AttemptOutcome::ServerFailed, now, || true),
        NextStep::Another
    );
    assert_eq!(plan.exhausted(ErrorKind::QueueFull), NextStep::Deliver);
}

#[test]
fn attempts_at_targets_are_bounded_by_the_route() {
    let now = Instant::now();
    let mut plan = plan(CallSafety::Idempotent, now);
    assert_eq!(
        plan.next(AttemptOutcome::Broken, now, || true),
        NextStep::Another
    );
    let step = plan.next(AttemptOutcome::Broken, now, || true);
    assert_eq!(step, NextStep::Fail(ErrorKind::OutcomeUnknown));
}

#[test]
fn refusals_everywhere_end_with_the_soonest_time_to_come_back() {
    let now = Instant::now();
    let mut plan = plan(CallSafety::Idempotent, now);
    let end = |time| AttemptOutcome::Refused {
        kind: ErrorKind::QueueFull,
        reached_target: false,
        retry_after: Some(time),
    };
    let mut step = NextStep::Another;
    for time in [ms(300), ms(60), ms(200)] {
        assert_eq!(step, NextStep::Another);
        step = plan.next(end(time), now, || true);
    }
    let expected = NextStep::Refuse {
        kind: ErrorKind::QueueFull,
        retry_after: ms(60),
    };
    assert_eq!(step, expected);
}

#[test]
fn a_request_that_crashes_targets_is_sent_to_no_other() {
    let now = Instant::now();
    let end = AttemptOutcome::Refused {
        kind: ErrorKind::PoisonRequest,
        reached_target: false,
        retry_after: None,
    };
    let step = plan(CallSafety::Idempotent, now).next(end, now, || true);
    assert!(matches!(step, NextStep::Refuse { .. }), "{step:?}");
}

#[test]
fn nothing_is_begun_when_no_time_remains() {
    let now = Instant::now();
    let mut plan = plan(CallSafety::Idempotent, now);
    let late = now + ms(395);
    let step = plan.next(AttemptOutcome::Broken, late, || true);
    assert_eq!(step, NextStep::Fail(ErrorKind::OutcomeUnknown));
}

/// Pattern: all daemons start again at once, and callers come back before targets are known.
#[test]
fn callers_of_a_daemon_that_just_started_come_back_when_it_knows_others() {
    let now = Instant::now();
    let plan = AttemptPlan::new(&rule("browse", "catalog", 1), now + ms(2500));
    let step = plan.exhausted(ErrorKind::TargetAbsent).not_before(ms(600));
    let NextStep::Refuse { kind, retry_after } = step else {
        panic!("{step:?}");
    };
    assert_eq!((kind, retry_after), (ErrorKind::TargetAbsent, ms(600)));
    assert_eq!(NextStep::Deliver.not_before(ms(600)), NextStep::Deliver);
}
