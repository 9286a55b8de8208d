//! Decides after each attempt whether to retry on another target or reply.
//!
//! A refusal by the daemon beside a target proves that the request did not run,
//! so another target may be tried without using the retry budget. A request
//! that reached a target is sent again only if the route's maximum number of
//! attempts is not reached and the fleet's retry budget has a token left. If it
//! may have run there, its route must also allow a second run.

use std::time::{Duration, Instant};

use model::ErrorKind;

use crate::config::{CallSafety, RouteRule};

/// Maximum number of daemons tried for one request. A fourth try would take longer than
/// refusing the request and letting its caller retry.
const MAX_DAEMONS: u32 = 3;
/// Maximum number of targets that may reject a request as busy; the next one queues it. Each
/// rejection costs a round trip, and a third one rarely finds a free slot that two have not.
const MAX_REJECTIONS: u8 = 2;
/// Minimum time before the deadline for another attempt to start.
const MIN_REMAINING: Duration = Duration::from_millis(10);
/// Retry delay given to callers if no daemon suggested one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The target sent a response other than a server error.
    Answered,
    /// The target sent a server error, which counts as a run.
    ServerFailed,
    /// The target sent a server error because a nested call was refused.
    NestedCallRefused,
    /// The request was refused and did not run.
    Refused {
        /// Reason of the refusal.
        kind: ErrorKind,
        /// Whether the target itself refused, so that a retry uses the fleet's retry budget.
        reached_target: bool,
        /// Retry delay suggested by the daemon beside the target.
        retry_after: Option<Duration>,
    },
    /// The request would have had to wait at the target and was rejected at once; it did not run.
    Busy,
    /// No complete response arrived; the request may have run.
    Broken,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Try another target.
    TryAnother,
    /// Return the target's response to the caller; the last one if there are several.
    Deliver,
    /// Tell the caller that the request did not run and when to retry.
    Refuse {
        /// Reason of the refusal.
        kind: ErrorKind,
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// Tell the caller that the outcome is unknown.
    Fail(ErrorKind),
}

impl NextStep {
    /// Raises the retry delay of a refusal to at least `time`.
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

/// State of the attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptPlan {
    safety: CallSafety,
    max_attempts: u32,
    deadline: Instant,
    /// Number of attempts, including those that reached no target.
    attempts: u32,
    /// Number of attempts that reached a target.
    reached_targets: u32,
    /// Number of rejections by busy targets; they are no attempts.
    rejections: u8,
    may_have_run: bool,
    /// Whether a target sent a server error.
    failed: bool,
    retry_after: Option<Duration>,
}

impl AttemptPlan {
    /// Creates a plan for a request on route `rule` whose caller waits until `deadline`.
    pub fn new(rule: &RouteRule, deadline: Instant) -> Self {
        Self {
            safety: rule.safety,
            max_attempts: rule.max_attempts.max(1),
            deadline,
            attempts: 0,
            reached_targets: 0,
            rejections: 0,
            may_have_run: false,
            failed: false,
            retry_after: None,
        }
    }

    /// Returns whether an earlier attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns whether an earlier attempt reached a target, so that the next one is a repeat.
    pub fn is_repeat(&self) -> bool {
        self.reached_targets > 0
    }

    /// Returns the number of busy targets that may still reject the request.
    pub fn rejections_left(&self) -> u8 {
        MAX_REJECTIONS.saturating_sub(self.rejections)
    }

    /// Decides the next step after an attempt.
    ///
    /// `spend` takes a token of the fleet's retry budget and returns false if none is left.
    pub fn next(
        &mut self,
        outcome: AttemptOutcome,
        now: Instant,
        spend: impl FnOnce() -> bool,
    ) -> NextStep {
        if outcome == AttemptOutcome::Busy {
            self.rejections += 1;
            // Without a rejection the request would have waited past its deadline.
            let expired = now + MIN_REMAINING >= self.deadline;
            return if expired {
                self.exhausted(ErrorKind::QueueFull)
            } else {
                NextStep::TryAnother
            };
        }
        self.attempts += 1;
        match outcome {
            AttemptOutcome::Answered => NextStep::Deliver,
            AttemptOutcome::ServerFailed => {
                self.reached_targets += 1;
                self.may_have_run = true;
                self.failed = true;
                if self.may_repeat(now) && spend() {
                    return NextStep::TryAnother;
                }
                NextStep::Deliver
            }
            // Another run would call the same overloaded service. Repeating the one nested
            // call costs less than repeating the whole run, and the caller may still retry.
            AttemptOutcome::NestedCallRefused => {
                self.reached_targets += 1;
                self.may_have_run = true;
                self.failed = true;
                NextStep::Deliver
            }
            AttemptOutcome::Broken => {
                self.reached_targets += 1;
                self.may_have_run = true;
                if self.may_repeat(now) && spend() {
                    return NextStep::TryAnother;
                }
                NextStep::Fail(ErrorKind::OutcomeUnknown)
            }
            AttemptOutcome::Refused {
                kind,
                reached_target,
                retry_after,
            } => self.on_refused(kind, reached_target, retry_after, now, spend),
            AttemptOutcome::Busy => NextStep::TryAnother,
        }
    }

    /// Returns what to tell the caller if no further target is available.
    ///
    /// `Deliver` refers to the last response of a target; `kind` is the reason of a refusal.
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
            let shortest = self.retry_after.map_or(time, |known| known.min(time));
            self.retry_after = Some(shortest);
        }
        self.reached_targets += u32::from(reached_target);
        let is_poison = kind == ErrorKind::PoisonRequest;
        let may_continue = self.has_attempts_left(now) && !is_poison;
        if may_continue
            && (!reached_target || (self.reached_targets < self.max_attempts && spend()))
        {
            return NextStep::TryAnother;
        }
        self.exhausted(kind)
    }

    fn may_repeat(&self, now: Instant) -> bool {
        self.safety == CallSafety::Idempotent
            && self.reached_targets < self.max_attempts
            && self.has_attempts_left(now)
    }

    fn has_attempts_left(&self, now: Instant) -> bool {
        self.attempts < MAX_DAEMONS && now + MIN_REMAINING < self.deadline
    }
}
