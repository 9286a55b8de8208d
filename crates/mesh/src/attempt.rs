//! What follows after an attempt: another target, or an answer to the caller.
//!
//! A refusal by the daemon beside a target proves that nothing ran, so the
//! request goes on to another target without spending anything. Whatever has
//! reached a target counts: it is repeated only where the route allows a
//! second run, the route's attempts are not used up and the fleet's budget
//! has a token left.

use std::time::{Duration, Instant};

use model::ErrorKind;

use crate::config::{CallSafety, RouteRule};

/// Daemons that one request asks at most; more would cost longer than a refusal.
const MAX_ASKED: u32 = 3;
/// Least time that must remain for another attempt.
const MIN_REMAINING: Duration = Duration::from_millis(10);
/// Time told to callers when no daemon named one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The target answered with anything but a failure of its own.
    Answered,
    /// The target answered with a failure of its own, which counts as a run.
    ServerFailed,
    /// The target answered with a failure, since a call of the run was refused.
    CallRefused,
    /// Proven not to have run.
    Refused {
        /// Why.
        kind: ErrorKind,
        /// Whether the target itself refused it, which the fleet's budget counts.
        reached_target: bool,
        /// When to come back, if the daemon beside the target told it.
        retry_after: Option<Duration>,
    },
    /// It may have run.
    Broken,
}

/// What to do now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Send it to another target.
    Another,
    /// Give the caller the target's answer, the last one if there are several.
    Deliver,
    /// Tell the caller that it has not run, and when to come back.
    Refuse {
        /// Why.
        kind: ErrorKind,
        /// When to come back.
        retry_after: Duration,
    },
    /// Tell the caller that nothing can be promised.
    Fail(ErrorKind),
}

impl NextStep {
    /// The same, with callers of a refusal told to come back after `time` at the earliest.
    #[must_use]
    pub fn not_before(self, time: Duration) -> Self {
        match self {
            Self::Refuse { kind, retry_after } => Self::Refuse {
                kind,
                retry_after: retry_after.max(time),
            },
            other => other,
        }
    }
}

/// The attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptPlan {
    safety: CallSafety,
    max_attempts: u32,
    deadline: Instant,
    asked: u32,
    reached_targets: u32,
    may_have_run: bool,
    /// Whether a target answered with a failure of its own.
    failed: bool,
    retry_after: Option<Duration>,
}

impl AttemptPlan {
    /// A plan for a request on `rule` whose caller waits until `deadline`.
    pub fn new(rule: &RouteRule, deadline: Instant) -> Self {
        Self {
            safety: rule.safety,
            max_attempts: rule.max_attempts.max(1),
            deadline,
            asked: 0,
            reached_targets: 0,
            may_have_run: false,
            failed: false,
            retry_after: None,
        }
    }

    /// Whether an earlier attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Whether a target has had the request, so that another one would repeat it.
    pub fn is_repeat(&self) -> bool {
        self.reached_targets > 0
    }

    /// Decides what follows; `spend` takes a token of the fleet's budget.
    pub fn next(
        &mut self,
        end: AttemptOutcome,
        now: Instant,
        spend: impl FnOnce() -> bool,
    ) -> NextStep {
        self.asked += 1;
        match end {
            AttemptOutcome::Answered => NextStep::Deliver,
            AttemptOutcome::ServerFailed => {
                self.reached_targets += 1;
                self.may_have_run = true;
                self.failed = true;
                if self.may_repeat(now) && spend() {
                    return NextStep::Another;
                }
                NextStep::Deliver
            }
            // Another run would call the same service; a repeat of one call costs less than
            // one of all, and the caller may still send the request again itself.
            AttemptOutcome::CallRefused => {
                self.reached_targets += 1;
                self.may_have_run = true;
                self.failed = true;
                NextStep::Deliver
            }
            AttemptOutcome::Broken => {
                self.reached_targets += 1;
                self.may_have_run = true;
                if self.may_repeat(now) && spend() {
                    return NextStep::Another;
                }
                NextStep::Fail(ErrorKind::OutcomeUnknown)
            }
            AttemptOutcome::Refused {
                kind,
                reached_target,
                retry_after,
            } => self.on_refused(kind, reached_target, retry_after, now, spend),
        }
    }

    /// What to tell a caller for whom no further target is there.
    ///
    /// `Deliver` stands for the last answer of a target.
    pub fn exhausted(&self, kind: ErrorKind) -> NextStep {
        if self.failed {
            return NextStep::Deliver;
        }
        if self.may_have_run {
            return NextStep::Fail(ErrorKind::OutcomeUnknown);
        }
        NextStep::Refuse {
            kind,
            retry_after: self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
        }
    }

    fn on_refused(
        &mut self,
        kind: ErrorKind,
        reached_target: bool,
        retry_after: Option<Duration>,
        now: Instant,
        spend: impl FnOnce() -> bool,
    ) -> NextStep {
        if let Some(time) = retry_after {
            let least = self.retry_after.map_or(time, |known| known.min(time));
            self.retry_after = Some(least);
        }
        self.reached_targets += u32::from(reached_target);
        let stopped = kind == ErrorKind::PoisonRequest;
        let open = self.is_open(now) && !stopped;
        if open && (!reached_target || (self.reached_targets < self.max_attempts && spend())) {
            return NextStep::Another;
        }
        self.exhausted(kind)
    }

    fn may_repeat(&self, now: Instant) -> bool {
        self.safety == CallSafety::Idempotent
            && self.reached_targets < self.max_attempts
            && self.is_open(now)
    }

    fn is_open(&self, now: Instant) -> bool {
        self.asked < MAX_ASKED && now + MIN_REMAINING < self.deadline
    }
}
