//! Retry decisions for failed attempts.
//!
//! Three rules prevent retries from multiplying with the depth of a call
//! chain:
//!
//! 1. A proxy retries only failures of its own hop: a refused call that did not
//!    run, or a target that was lost. An error answer of a target is passed
//!    through, so an error from deeper in the chain causes no further attempts
//!    at each layer.
//! 2. An attempt that repeats a lost one carries [`RetryMark::Repeated`], as do
//!    the calls that it causes. None of them is retried after another loss, so
//!    each call chain is repeated at most once.
//! 3. Each proxy has two budgets per service: one for refusals, which cost the
//!    target no work, and a smaller one for losses, whose nested calls are
//!    repeated. The latter earns the former's ratio divided by the maximum depth.
//!
//! A lost call that is not idempotent fails with `OutcomeUnknown`, since it
//! may have run.

use std::collections::HashMap;
use std::time::Duration;

use model::{ErrorKind, ServiceName};
use serde::{Deserialize, Serialize};

use crate::budget::{BudgetConfig, RetryBudget};

/// Maximum number of services with their own budgets.
pub const MAX_SERVICES: usize = 256;

/// Maximum number of attempts per call at one proxy, including the first.
pub const MAX_ATTEMPTS: u8 = 3;

/// Depth of a call chain for which the loss budget is dimensioned.
const MAX_DEPTH: f64 = 12.0;

/// Budget for retries after refusals.
const REFUSED_BUDGET: BudgetConfig = BudgetConfig {
    ratio: 0.08,
    reserve: 10.0,
};

/// Budget for retries after losses.
const LOST_BUDGET: BudgetConfig = BudgetConfig {
    ratio: 0.08 / MAX_DEPTH,
    reserve: 10.0,
};

/// Minimum remaining time for another attempt.
const MIN_REMAINING: Duration = Duration::from_millis(5);

/// Whether a call is part of an attempt that was repeated after a loss; sent with the call.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum RetryMark {
    /// Neither this attempt nor one further up the call chain repeats a lost one.
    #[default]
    First,
    /// This attempt or one further up the call chain repeats a lost one.
    Repeated,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureCause {
    /// The call was refused; it is retried only if the error kind implies that it did not run.
    Refused(ErrorKind),
    /// The target or the daemon beside it failed; the call may have run.
    Lost,
    /// The target answered with an error.
    Answered,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptFailure {
    /// Why the attempt failed.
    pub cause: FailureCause,
    /// Whether the call is idempotent.
    pub idempotent: bool,
    /// Whether the request body can be sent again from the start.
    pub replayable: bool,
    /// Number of attempts so far, including this one.
    pub attempts: u8,
    /// Mark that the call carries.
    pub mark: RetryMark,
    /// Time until the deadline of the call.
    pub remaining: Duration,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Retry on another target, with this mark.
    Retry(RetryMark),
    /// Fail the call with this error kind.
    Fail(ErrorKind),
    /// Return the target's own answer.
    PassThrough,
}

/// Retry policy of one proxy for one service.
#[derive(Clone, Debug)]
pub struct RetryPolicy {
    refused_budget: RetryBudget,
    lost_budget: RetryBudget,
}

impl RetryPolicy {
    /// Creates a policy with full budgets.
    pub fn new() -> Self {
        Self {
            refused_budget: RetryBudget::new(REFUSED_BUDGET),
            lost_budget: RetryBudget::new(LOST_BUDGET),
        }
    }

    /// Records a first attempt, which earns retry budget.
    pub fn on_first_attempt(&mut self, mark: RetryMark) {
        self.refused_budget.earn();
        if mark == RetryMark::First {
            self.lost_budget.earn();
        }
    }

    /// Decides whether a failed attempt is retried.
    pub fn decide(&mut self, failure: &AttemptFailure) -> RetryDecision {
        match failure.cause {
            FailureCause::Answered => RetryDecision::PassThrough,
            FailureCause::Refused(kind) => self.decide_refused(failure, kind),
            FailureCause::Lost => self.decide_lost(failure),
        }
    }

    fn decide_refused(&mut self, failure: &AttemptFailure, kind: ErrorKind) -> RetryDecision {
        let properties = kind.properties();
        let safe = properties.not_run && properties.retryable;
        if safe && failure.can_retry() && self.refused_budget.spend() {
            return RetryDecision::Retry(failure.mark);
        }
        RetryDecision::Fail(kind)
    }

    fn decide_lost(&mut self, failure: &AttemptFailure) -> RetryDecision {
        if !failure.idempotent {
            return RetryDecision::Fail(ErrorKind::OutcomeUnknown);
        }
        let first = failure.mark == RetryMark::First;
        if first && failure.can_retry() && self.lost_budget.spend() {
            return RetryDecision::Retry(RetryMark::Repeated);
        }
        RetryDecision::Fail(ErrorKind::TargetFailed)
    }
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self::new()
    }
}

/// Retry policies by service, so that a failing service does not spend another's budget.
#[derive(Clone, Debug, Default)]
pub struct RetryPolicies {
    policies: HashMap<ServiceName, RetryPolicy>,
    shared: RetryPolicy,
}

impl RetryPolicies {
    /// Creates policies with full budgets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the policy of `service`; services beyond [`MAX_SERVICES`] share one.
    pub fn policy(&mut self, service: &ServiceName) -> &mut RetryPolicy {
        if self.policies.contains_key(service) || self.policies.len() < MAX_SERVICES {
            return self.policies.entry(service.clone()).or_default();
        }
        &mut self.shared
    }
}

impl AttemptFailure {
    fn can_retry(&self) -> bool {
        self.replayable && self.attempts < MAX_ATTEMPTS && self.remaining >= MIN_REMAINING
    }
}
