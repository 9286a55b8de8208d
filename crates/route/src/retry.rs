//! Whether a failed attempt is sent again.
//!
//! Three rules keep retries from multiplying over the depth of calls:
//!
//! 1. Only failures of the last hop are retried: a refusal that is proven not
//!    to have run, or a target that was lost. A target that answered has
//!    answered, so an error that comes from deeper down passes through
//!    without another attempt at each layer.
//! 2. A call that descends from a retried attempt carries a [`RetryMark`] and
//!    is not sent again after a loss, so one lineage holds one repetition.
//! 3. Two budgets for each proxy and service: one for refusals, which cost the target no
//!    work, and a smaller one for losses, whose work below is repeated;
//!    the latter is the whole allowance divided by the depth of calls.
//!
//! A lost call that is not idempotent ends as `OutcomeUnknown`, never as not
//! run.

use std::collections::HashMap;
use std::time::Duration;

use model::{ErrorKind, ServiceName};
use serde::{Deserialize, Serialize};

use crate::budget::{BudgetConfig, RetryBudget};

/// Services with budgets of their own.
pub const MAX_SERVICES: usize = 256;

/// Attempts of one call at one proxy, the first included.
pub const MAX_ATTEMPTS: u8 = 3;

/// Deepest chain of calls that the budget for losses allows for.
const MAX_DEPTH: f64 = 12.0;

/// Budget for refusals.
const REFUSED_BUDGET: BudgetConfig = BudgetConfig {
    ratio: 0.08,
    reserve: 10.0,
};

/// Budget for losses.
const LOST_BUDGET: BudgetConfig = BudgetConfig {
    ratio: 0.08 / MAX_DEPTH,
    reserve: 10.0,
};

/// Least time that must remain for another attempt.
const MIN_REMAINING: Duration = Duration::from_millis(5);

/// Whether a call descends from an attempt that was sent again; travels with the call.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum RetryMark {
    /// Every attempt above was a first one.
    #[default]
    First,
    /// Some attempt above repeated a lost one.
    Repeated,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureCause {
    /// Refused; the kind's table says whether it ran.
    Refused(ErrorKind),
    /// The target or the daemon beside it was lost while the call may have run.
    Lost,
    /// The target answered with an error of its own.
    Answered,
}

/// An attempt that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptFailure {
    /// Why.
    pub cause: FailureCause,
    /// Whether the call is idempotent.
    pub idempotent: bool,
    /// Whether its body can be sent again from the start.
    pub replayable: bool,
    /// Attempts so far, this one included.
    pub attempts: u8,
    /// The mark that the call came with.
    pub mark: RetryMark,
    /// Time that remains until its deadline.
    pub remaining: Duration,
}

/// What to do about it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Send it again on another target, with this mark.
    Retry(RetryMark),
    /// Answer with this kind.
    Fail(ErrorKind),
    /// Pass the target's own answer on.
    PassThrough,
}

/// Retries of one proxy.
#[derive(Clone, Debug)]
pub struct RetryPolicy {
    refused: RetryBudget,
    lost: RetryBudget,
}

impl RetryPolicy {
    /// A policy with full budgets.
    pub fn new() -> Self {
        Self {
            refused: RetryBudget::new(REFUSED_BUDGET),
            lost: RetryBudget::new(LOST_BUDGET),
        }
    }

    /// Counts a first attempt.
    pub fn on_first_attempt(&mut self, mark: RetryMark) {
        self.refused.earn();
        if mark == RetryMark::First {
            self.lost.earn();
        }
    }

    /// Decides about a failed attempt.
    pub fn decide(&mut self, failure: &AttemptFailure) -> RetryDecision {
        match failure.cause {
            FailureCause::Answered => RetryDecision::PassThrough,
            FailureCause::Refused(kind) => self.decide_refused(failure, kind),
            FailureCause::Lost => self.decide_lost(failure),
        }
    }

    fn decide_refused(&mut self, failure: &AttemptFailure, kind: ErrorKind) -> RetryDecision {
        let answer = kind.answer();
        let proven = answer.not_run && answer.retryable;
        if proven && failure.can_repeat() && self.refused.spend() {
            return RetryDecision::Retry(failure.mark);
        }
        RetryDecision::Fail(kind)
    }

    fn decide_lost(&mut self, failure: &AttemptFailure) -> RetryDecision {
        if !failure.idempotent {
            return RetryDecision::Fail(ErrorKind::OutcomeUnknown);
        }
        let first = failure.mark == RetryMark::First;
        if first && failure.can_repeat() && self.lost.spend() {
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

/// Retries of one proxy by service, so that a failing service spends no other's budget.
#[derive(Clone, Debug, Default)]
pub struct RetryPolicies {
    policies: HashMap<ServiceName, RetryPolicy>,
    rest: RetryPolicy,
}

impl RetryPolicies {
    /// A book with full budgets.
    pub fn new() -> Self {
        Self::default()
    }

    /// The policy of `service`; services beyond [`MAX_SERVICES`] share one.
    pub fn policy(&mut self, service: &ServiceName) -> &mut RetryPolicy {
        if self.policies.contains_key(service) || self.policies.len() < MAX_SERVICES {
            return self.policies.entry(service.clone()).or_default();
        }
        &mut self.rest
    }
}

impl AttemptFailure {
    fn can_repeat(&self) -> bool {
        self.replayable && self.attempts < MAX_ATTEMPTS && self.remaining >= MIN_REMAINING
    }
}
