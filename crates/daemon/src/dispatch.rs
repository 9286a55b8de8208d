//! A call on its way to an answer: choice of targets, attempts, retries.

use std::sync::Arc;
use std::time::Duration;

use model::{DaemonId, ErrorKind, KindError};
use route::{
    AttemptFailure, CallDeadline, CallOutcome, CallResult, FailureCause, PickTicket, RetryVerdict,
};
use smallvec::SmallVec;

use crate::beside::{Result, TargetAnswer};
use crate::body::{BodyEnd, CallBody};
use crate::core::DaemonCore;
use crate::forward::forward;
use crate::peer::{CallHead, CallRefusal};

/// Daemons that an attempt of the call has failed at.
type TriedList = SmallVec<[DaemonId; 4]>;

/// Sends the call until a target answers or no further attempt is allowed.
pub async fn dispatch(
    core: &Arc<DaemonCore>,
    mut head: CallHead,
    deadline: CallDeadline,
    body: CallBody,
) -> Result<TargetAnswer> {
    core.retries().on_first(head.mark);
    head.streamed = body.copy().is_none();
    let mut body = Some(body);
    let mut tried = TriedList::new();
    loop {
        head.remaining = deadline.next_hop(core.clock.now())?;
        let ticket = pick(core, &head, &tried)?;
        head.target = Some(ticket.view.target.clone());
        let spare = body.as_ref().and_then(CallBody::copy);
        let refusal = match forward(core, ticket.view.daemon, &head, &mut body).await {
            Ok(answer) => return Ok(watch_answer(core, ticket, answer)),
            Err(refusal) => refusal,
        };
        body = body.or(spare);
        finish_attempt(core, &ticket, &refusal);
        tried.push(ticket.view.daemon);
        let failure = AttemptFailure {
            cause: cause_of(&refusal),
            idempotent: head.idempotent,
            replayable: body.is_some(),
            attempts: tried.len() as u8,
            mark: head.mark,
            remaining: deadline.remaining(core.clock.now()),
        };
        let verdict = core.retries().decide(&failure);
        match verdict {
            RetryVerdict::Again(mark) => head.mark = mark,
            RetryVerdict::Stop(kind) if kind == refusal.error.kind => return Err(refusal),
            RetryVerdict::Stop(kind) => {
                return Err(KindError::new(kind, refusal.error.detail).into());
            }
            RetryVerdict::PassOn => return Err(refusal),
        }
        core.counters.count("retries");
    }
}

fn pick(core: &DaemonCore, head: &CallHead, tried: &[DaemonId]) -> Result<PickTicket> {
    let mut picker = core.picker();
    let fresh = picker.pick(&head.service, tried);
    // With every target tried, one that was merely busy may have room by now.
    let ticket = fresh.or_else(|| picker.pick(&head.service, &[]));
    ticket.ok_or_else(|| {
        let detail = format!("no target of {} is present and willing", head.service);
        CallRefusal {
            error: KindError::new(ErrorKind::TargetAbsent, detail),
            retry_after: Some(Duration::from_secs(1)),
            load: None,
        }
    })
}

fn cause_of(refusal: &CallRefusal) -> FailureCause {
    let kind = refusal.error.kind;
    if kind.answer().not_run {
        return FailureCause::Refused(kind);
    }
    FailureCause::Lost
}

fn finish_attempt(core: &DaemonCore, ticket: &PickTicket, refusal: &CallRefusal) {
    let kind = refusal.error.kind;
    core.counters.count_error(kind);
    let result = if kind.answer().not_run {
        CallResult::NotRun(kind)
    } else {
        CallResult::Failed
    };
    let outcome = CallOutcome {
        latency: core.clock.now() - ticket.picked,
        waited: Duration::ZERO,
        result,
        load: refusal.load,
    };
    core.picker().finish(ticket, &outcome);
}

/// Tells the picker how the call ended once its answer is through.
fn watch_answer(core: &Arc<DaemonCore>, ticket: PickTicket, answer: TargetAnswer) -> TargetAnswer {
    let TargetAnswer { head, body } = answer;
    let core = Arc::clone(core);
    let (load, waited, status) = (head.load, head.waited, head.status);
    let body = body.watched(move |end| {
        let result = match end {
            BodyEnd::Dropped => CallResult::Cancelled,
            BodyEnd::Broken => CallResult::Failed,
            BodyEnd::Whole if status >= 500 => CallResult::Failed,
            BodyEnd::Whole => CallResult::Done,
        };
        let outcome = CallOutcome {
            latency: core.clock.now() - ticket.picked,
            waited,
            result,
            load: Some(load),
        };
        core.picker().finish(&ticket, &outcome);
    });
    TargetAnswer { head, body }
}
