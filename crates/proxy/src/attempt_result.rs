//! Results of single attempts: what they mean for the next step, for the choice of targets and for the
//! caller.

use std::time::Duration;

use mesh::lineage::CalledServices;
use mesh::{AttemptOutcome, NestedCallOutcome};
use model::ErrorKind;
use route::{CallResult, TargetLoad};

use crate::reply::CallerReply;

/// Result of one attempt, with the reply if there is one.
pub(crate) struct AttemptResult {
    /// Outcome on which the next step depends.
    pub(crate) outcome: AttemptOutcome,
    /// Services that the run called.
    pub(crate) called: CalledServices,
    /// Worst outcome of these calls.
    pub(crate) calls: NestedCallOutcome,
    pub(crate) reply: Option<CallerReply>,
    /// Result that the target selection learns from.
    pub(crate) result: CallResult,
    /// Time for which the request was queued for a slot.
    pub(crate) waited: Duration,
    pub(crate) load: Option<TargetLoad>,
    /// Cause of a failure, for the log.
    pub(crate) detail: Box<str>,
}

/// Returns the result of an attempt that a target answered.
pub(crate) fn answered(
    status: u16,
    reply: CallerReply,
    (called, calls): (CalledServices, NestedCallOutcome),
    waited: Duration,
    load: TargetLoad,
) -> AttemptResult {
    let failed = status >= 500;
    AttemptResult {
        called,
        calls,
        outcome: match (failed, calls) {
            (true, NestedCallOutcome::Ran) => AttemptOutcome::ServerFailed,
            (true, NestedCallOutcome::Shed | NestedCallOutcome::NoRoom) => {
                AttemptOutcome::NestedCallRefused
            }
            (false, _) => AttemptOutcome::Answered,
        },
        reply: Some(reply),
        result: if failed {
            CallResult::Failed
        } else {
            CallResult::Done
        },
        waited,
        load: Some(load),
        detail: Box::default(),
    }
}

/// Returns the result of an attempt that a daemon or a target refused.
pub(crate) fn refused(
    kind: ErrorKind,
    reached_target: bool,
    retry_after: Option<Duration>,
    load: TargetLoad,
) -> AttemptResult {
    AttemptResult {
        called: CalledServices::new(),
        calls: NestedCallOutcome::Ran,
        outcome: match kind {
            ErrorKind::TargetBusy => AttemptOutcome::Busy,
            kind => AttemptOutcome::Refused {
                kind,
                reached_target,
                retry_after,
            },
        },
        reply: None,
        result: refusal_result(kind),
        waited: Duration::ZERO,
        load: Some(load),
        detail: Box::default(),
    }
}

/// Returns what a refusal means for the selection of targets.
///
/// A gate that is full for one request may admit a more urgent one, so such a
/// refusal only updates the load that came with it.
fn refusal_result(kind: ErrorKind) -> CallResult {
    match kind {
        ErrorKind::QueueFull | ErrorKind::TargetBusy => CallResult::NotRun(ErrorKind::TargetBusy),
        ErrorKind::DeadlineExceeded | ErrorKind::PoisonRequest => CallResult::Cancelled,
        kind => CallResult::NotRun(kind),
    }
}

/// Returns the result of an attempt that failed before the request could run.
pub(crate) fn unsent(detail: Box<str>) -> AttemptResult {
    AttemptResult {
        called: CalledServices::new(),
        calls: NestedCallOutcome::Ran,
        outcome: AttemptOutcome::Refused {
            kind: ErrorKind::PeerUnavailable,
            reached_target: false,
            retry_after: None,
        },
        reply: None,
        result: CallResult::Lost,
        waited: Duration::ZERO,
        load: None,
        detail,
    }
}

/// Returns the result of an attempt without an answer before the deadline.
pub(crate) fn deadline_passed() -> AttemptResult {
    broken(
        "no answer before the deadline".into(),
        CallResult::Failed,
        None,
    )
}

/// Returns the result of an attempt without a complete answer, whose request may have run.
pub(crate) fn broken(
    detail: Box<str>,
    result: CallResult,
    load: Option<TargetLoad>,
) -> AttemptResult {
    AttemptResult {
        called: CalledServices::new(),
        calls: NestedCallOutcome::Ran,
        outcome: AttemptOutcome::Broken,
        reply: None,
        result,
        waited: Duration::ZERO,
        load,
        detail,
    }
}
