//! Which failures are sent again, and how often at most.

use std::time::Duration;

use model::{ClockPort, ErrorKind, FakeClock};
use quetzal_route::deadline::HOP_MARGIN;
use quetzal_route::{
    AttemptFailure, BudgetConfig, CallDeadline, FailureCause, RetryBudget, RetryDecision,
    RetryMark, RetryPolicies, RetryPolicy,
};
use quickcheck::quickcheck;

const LOST: AttemptFailure = AttemptFailure {
    cause: FailureCause::Lost,
    idempotent: true,
    replayable: true,
    attempts: 1,
    mark: RetryMark::First,
    remaining: Duration::from_secs(1),
};

quickcheck! {
    fn retries_stay_within_the_budget(calls: Vec<bool>) -> bool {
        let config = BudgetConfig { ratio: 0.1, reserve: 3.0 };
        let mut budget = RetryBudget::new(config);
        let (mut firsts, mut spent) = (0_u32, 0_u32);
        for earns in calls {
            if earns {
                budget.earn();
                firsts += 1;
            } else {
                spent += u32::from(budget.spend());
            }
        }
        f64::from(spent) <= config.reserve + config.ratio * f64::from(firsts) + 1e-9
    }

    fn only_what_cannot_run_twice_is_sent_again(kind: usize, lost: bool, attempts: u8) -> bool {
        let kind = ErrorKind::ALL[kind % ErrorKind::ALL.len()];
        let cause = if lost {
            FailureCause::Lost
        } else {
            FailureCause::Refused(kind)
        };
        let failure = AttemptFailure { cause, idempotent: false, attempts, ..LOST };
        match RetryPolicy::new().decide(&failure) {
            RetryDecision::Retry(_) => !lost && kind.answer().not_run,
            RetryDecision::Fail(stop) => !lost || !stop.answer().not_run,
            RetryDecision::PassThrough => false,
        }
    }

    fn time_only_shrinks_over_hops(start_ms: u16, hops: u8) -> bool {
        let clock = FakeClock::new();
        let timeout = Duration::from_secs(30);
        let mut remaining = Duration::from_millis(start_ms.into());
        for _ in 0..hops % 16 {
            let deadline = CallDeadline::new(clock.now(), Some(remaining), timeout);
            clock.advance(Duration::from_millis(3));
            match deadline.next_hop_timeout(clock.now()) {
                Ok(next) if next + HOP_MARGIN < remaining => remaining = next,
                Ok(_) => return false,
                Err(error) => return error.kind == ErrorKind::DeadlineExceeded,
            }
        }
        true
    }
}

#[test]
fn a_lost_call_that_is_not_idempotent_has_an_unknown_outcome() {
    let failure = AttemptFailure {
        idempotent: false,
        ..LOST
    };
    let verdict = RetryPolicy::new().decide(&failure);
    assert_eq!(verdict, RetryDecision::Fail(ErrorKind::OutcomeUnknown));
}

#[test]
fn a_lineage_holds_one_repetition() {
    let mut policy = RetryPolicy::new();
    let verdict = policy.decide(&LOST);
    assert_eq!(verdict, RetryDecision::Retry(RetryMark::Repeated));
    let below = AttemptFailure {
        mark: RetryMark::Repeated,
        ..LOST
    };
    let verdict = policy.decide(&below);
    assert_eq!(verdict, RetryDecision::Fail(ErrorKind::TargetFailed));
}

#[test]
fn an_answer_of_the_target_passes_through() {
    let failure = AttemptFailure {
        cause: FailureCause::Answered,
        ..LOST
    };
    let verdict = RetryPolicy::new().decide(&failure);
    assert_eq!(verdict, RetryDecision::PassThrough);
}

#[test]
fn nothing_is_sent_again_without_time_or_body() {
    let mut policy = RetryPolicy::new();
    let late = AttemptFailure {
        remaining: Duration::from_millis(1),
        ..LOST
    };
    let streamed = AttemptFailure {
        replayable: false,
        ..LOST
    };
    for failure in [late, streamed] {
        let verdict = policy.decide(&failure);
        assert_eq!(verdict, RetryDecision::Fail(ErrorKind::TargetFailed));
    }
}

#[test]
fn a_failing_service_spends_no_other_budget() {
    let mut book = RetryPolicies::new();
    let (failing, sound) = ("studio".parse().unwrap(), "deals".parse().unwrap());
    let again = |verdict| matches!(verdict, RetryDecision::Retry(_));
    let sent = (0..100).filter(|_| again(book.policy(&failing).decide(&LOST)));
    assert_eq!(sent.count(), 10);
    assert!(again(book.policy(&sound).decide(&LOST)));
}

#[test]
fn services_beyond_the_bound_share_a_budget() {
    let mut book = RetryPolicies::new();
    let again = |verdict| matches!(verdict, RetryDecision::Retry(_));
    let sent = (0..1000).filter(|number| {
        let service = format!("service-{number}").parse().unwrap();
        again(book.policy(&service).decide(&LOST))
    });
    assert_eq!(sent.count(), quetzal_route::retry::MAX_SERVICES + 10);
}
