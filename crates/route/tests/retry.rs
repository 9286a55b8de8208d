//! Tests which failures are retried and how often.

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

    fn non_idempotent_calls_are_retried_only_if_they_did_not_run(kind: usize, lost: bool, attempts: u8) -> bool {
        let kind = ErrorKind::ALL[kind % ErrorKind::ALL.len()];
        let cause = if lost {
            FailureCause::Lost
        } else {
            FailureCause::Refused(kind)
        };
        let failure = AttemptFailure { cause, idempotent: false, attempts, ..LOST };
        match RetryPolicy::new().decide(&failure) {
            RetryDecision::Retry(_) => !lost && kind.properties().not_run,
            RetryDecision::Fail(failure_kind) => !lost || !failure_kind.properties().not_run,
            RetryDecision::PassThrough => false,
        }
    }

    fn remaining_time_shrinks_at_every_hop(start_ms: u16, hops: u8) -> bool {
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
fn lost_non_idempotent_call_has_an_unknown_outcome() {
    let failure = AttemptFailure {
        idempotent: false,
        ..LOST
    };
    let decision = RetryPolicy::new().decide(&failure);
    assert_eq!(decision, RetryDecision::Fail(ErrorKind::OutcomeUnknown));
}

#[test]
fn call_chain_is_repeated_at_most_once() {
    let mut policy = RetryPolicy::new();
    let decision = policy.decide(&LOST);
    assert_eq!(decision, RetryDecision::Retry(RetryMark::Repeated));
    let nested = AttemptFailure {
        mark: RetryMark::Repeated,
        ..LOST
    };
    let decision = policy.decide(&nested);
    assert_eq!(decision, RetryDecision::Fail(ErrorKind::TargetFailed));
}

#[test]
fn error_answer_of_the_target_is_passed_through() {
    let failure = AttemptFailure {
        cause: FailureCause::Answered,
        ..LOST
    };
    let decision = RetryPolicy::new().decide(&failure);
    assert_eq!(decision, RetryDecision::PassThrough);
}

#[test]
fn no_retry_without_remaining_time_or_replayable_body() {
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
        let decision = policy.decide(&failure);
        assert_eq!(decision, RetryDecision::Fail(ErrorKind::TargetFailed));
    }
}

#[test]
fn failing_service_does_not_spend_the_budget_of_another() {
    let mut policies = RetryPolicies::new();
    let (failing, healthy) = ("studio".parse().unwrap(), "deals".parse().unwrap());
    let is_retried = |decision| matches!(decision, RetryDecision::Retry(_));
    let retried = (0..100).filter(|_| is_retried(policies.policy(&failing).decide(&LOST)));
    // The reserve of the budget for losses, which only first attempts refill.
    assert_eq!(retried.count(), 10);
    assert!(is_retried(policies.policy(&healthy).decide(&LOST)));
}

#[test]
fn services_beyond_the_maximum_share_a_budget() {
    let mut policies = RetryPolicies::new();
    let is_retried = |decision| matches!(decision, RetryDecision::Retry(_));
    let retried = (0..1000).filter(|number| {
        let service = format!("service-{number}").parse().unwrap();
        is_retried(policies.policy(&service).decide(&LOST))
    });
    // One retry for each service with its own budget, and the reserve of the shared budget.
    assert_eq!(retried.count(), quetzal_route::retry::MAX_SERVICES + 10);
}
