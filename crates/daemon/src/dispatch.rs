//! A call on its way to an answer: choice of targets, attempts, retries.

use std::sync::Arc;
use std::time::Duration;

use model::{DaemonId, ErrorKind, KindError};
use once::{RequestFingerprint, RunProof, RunTicket};
use route::{
    AttemptFailure, CallDeadline, CallOutcome, CallResult, FailureCause, PickedTarget,
    RetryDecision,
};
use smallvec::SmallVec;

use crate::body::{BodyEnd, CallBody};
use crate::core::DaemonCore;
use crate::crash_reports::apply_suspect_report;
use crate::forward::forward;
use crate::keyed_calls::{acquire_credentials, revoke_permit};
use crate::local_targets::{Result, TargetAnswer};
use crate::peer_messages::{CallHead, CallRefusal};

/// Daemons that an attempt of the call has failed at.
type TriedList = SmallVec<[DaemonId; 4]>;

/// When to come again if no target is willing.
const ABSENCE_WAIT: Duration = Duration::from_secs(1);

/// A call that is ready to be sent.
#[derive(Debug)]
pub struct PreparedCall {
    /// The call.
    pub head: CallHead,
    /// When it must have been answered.
    pub deadline: CallDeadline,
    /// The right to run it, for a call with a key.
    pub ticket: Option<RunTicket>,
}

/// Sends the call until a target answers or no further attempt is allowed.
pub async fn dispatch(
    core: &Arc<DaemonCore>,
    call: PreparedCall,
    body: CallBody,
) -> Result<TargetAnswer> {
    let mut lost = false;
    let result = run_attempts(core, call, body, &mut lost).await;
    result.map_err(|refusal| weaken(refusal, lost))
}

/// A refusal of the last attempt says nothing of an earlier one that was lost.
fn weaken(mut refusal: CallRefusal, lost: bool) -> CallRefusal {
    if lost && refusal.proof == RunProof::NotRun {
        refusal.proof = RunProof::MayHaveRun;
    }
    refusal
}

async fn run_attempts(
    core: &Arc<DaemonCore>,
    call: PreparedCall,
    body: CallBody,
    lost: &mut bool,
) -> Result<TargetAnswer> {
    let PreparedCall {
        mut head,
        deadline,
        ticket,
    } = call;
    core.retries()
        .policy(&head.service)
        .on_first_attempt(head.mark);
    head.streamed = body.try_clone().is_none();
    let mut body = Some(body);
    let mut tried = TriedList::new();
    let print = RequestFingerprint(head.print);
    apply_suspect_report(core, &head.news);
    loop {
        head.remaining = deadline.next_hop_timeout(core.clock.now())?;
        core.keys.poison().check(print)?;
        head.news = core.keys.poison().report_for(print);
        let picked = pick(core, &head, &tried)?;
        let daemon = picked.view.daemon;
        head.target = Some(picked.view.target.clone());
        let spare = body.as_ref().and_then(CallBody::try_clone);
        let refusal = match attempt(core, daemon, &mut head, ticket, &mut body).await {
            Ok(answer) => {
                let suspect = (!head.news.is_empty()).then_some(print);
                return Ok(watch_answer(core, picked, suspect, answer));
            }
            Err(refusal) => refusal,
        };
        body = body.or(spare);
        apply_suspect_report(core, &refusal.news);
        *lost |= refusal.proof != RunProof::NotRun;
        finish_attempt(core, &picked, &refusal);
        tried.push(daemon);
        let failure = AttemptFailure {
            cause: cause_of(&refusal),
            idempotent: head.idempotent,
            replayable: body.is_some(),
            attempts: tried.len() as u8,
            mark: head.mark,
            remaining: deadline.remaining(core.clock.now()),
        };
        let verdict = core.retries().policy(&head.service).decide(&failure);
        match verdict {
            RetryDecision::Retry(mark) => head.mark = mark,
            RetryDecision::Fail(kind) if kind == refusal.error.kind => return Err(refusal),
            RetryDecision::Fail(kind) => {
                return Err(KindError::new(kind, refusal.error.detail).into());
            }
            RetryDecision::PassThrough => return Err(refusal),
        }
        core.counters.count("retries");
    }
}

/// One attempt; a keyed call takes a permit of the daemon first.
async fn attempt(
    core: &Arc<DaemonCore>,
    daemon: DaemonId,
    head: &mut CallHead,
    ticket: Option<RunTicket>,
    body: &mut Option<CallBody>,
) -> Result<TargetAnswer> {
    let Some(ticket) = ticket else {
        return forward(core, daemon, head, body).await;
    };
    let pass = acquire_credentials(core, daemon, ticket).await?;
    head.pass = Some(pass);
    let sent = core.clock.now();
    let refusal = match forward(core, daemon, head, body).await {
        Ok(answer) => {
            if let Some(permit) = pass.permit {
                core.keys.permit_pool().on_answered(permit, sent);
            }
            return Ok(answer);
        }
        Err(refusal) => refusal,
    };
    // A lost answer with an unused permit proves that nothing ran.
    let lost = refusal.proof != RunProof::NotRun;
    if let Some(permit) = pass.permit.filter(|_| lost)
        && revoke_permit(core, permit).await
    {
        return Err(KindError::new(ErrorKind::PeerUnavailable, refusal.error.detail).into());
    }
    Err(refusal)
}

fn pick(core: &DaemonCore, head: &CallHead, tried: &[DaemonId]) -> Result<PickedTarget> {
    let mut picker = core.picker();
    let mut pick = |tried: &[DaemonId]| {
        if head.idempotent {
            picker.pick(&head.service, tried)
        } else {
            picker.pick_healthy_first(&head.service, tried)
        }
    };
    // With every target tried, one that was merely busy may have room by now.
    let ticket = pick(tried).or_else(|| pick(&[]));
    ticket.ok_or_else(|| CallRefusal {
        retry_after: Some(ABSENCE_WAIT),
        ..picker.no_target_error(&head.service).into()
    })
}

fn cause_of(refusal: &CallRefusal) -> FailureCause {
    let kind = refusal.error.kind;
    if refusal.proof == RunProof::NotRun {
        return FailureCause::Refused(kind);
    }
    FailureCause::Lost
}

fn finish_attempt(core: &DaemonCore, ticket: &PickedTarget, refusal: &CallRefusal) {
    let kind = refusal.error.kind;
    core.counters.count_error(kind);
    let result = if refusal.proof == RunProof::NotRun {
        CallResult::NotRun(kind)
    } else {
        CallResult::Lost
    };
    let outcome = CallOutcome {
        latency: core.clock.now() - ticket.picked_at,
        waited: Duration::ZERO,
        result,
        load: refusal.load,
    };
    core.picker().finish(ticket, &outcome);
}

/// Tells the picker how the call ended once its answer is through.
fn watch_answer(
    core: &Arc<DaemonCore>,
    ticket: PickedTarget,
    suspect: Option<RequestFingerprint>,
    answer: TargetAnswer,
) -> TargetAnswer {
    let TargetAnswer { head, body } = answer;
    let core = Arc::clone(core);
    let (load, waited, status) = (head.load, head.waited, head.status);
    let body = body.on_end(move |end| {
        if let Some(print) = suspect.filter(|_| end == BodyEnd::Complete) {
            core.keys.poison().clear(&[print]);
        }
        let result = match end {
            BodyEnd::Dropped => CallResult::Cancelled,
            BodyEnd::Failed => CallResult::Failed,
            BodyEnd::Complete if status >= 500 => CallResult::Failed,
            BodyEnd::Complete => CallResult::Done,
        };
        let outcome = CallOutcome {
            latency: core.clock.now() - ticket.picked_at,
            waited,
            result,
            load: Some(load),
        };
        core.picker().finish(&ticket, &outcome);
    });
    TargetAnswer { head, body }
}
