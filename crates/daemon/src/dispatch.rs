//! Sends a call to targets: target selection, attempts and retries.

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

/// Daemons at which an attempt of the call failed.
type TriedList = SmallVec<[DaemonId; 4]>;

/// Time after which the caller is told to retry if no target is available.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call that is ready to be sent to a target.
#[derive(Debug)]
pub struct PreparedCall {
    /// Head of the call.
    pub head: CallHead,
    /// Time by which the call must be answered.
    pub deadline: CallDeadline,
    /// Right to run the call, if it has an idempotency key.
    pub ticket: Option<RunTicket>,
}

/// Sends the call to targets until one answers or no further attempt is allowed.
pub async fn dispatch(
    core: &Arc<DaemonCore>,
    call: PreparedCall,
    body: CallBody,
) -> Result<TargetAnswer> {
    let mut any_lost = false;
    let result = run_attempts(core, call, body, &mut any_lost).await;
    result.map_err(|refusal| weaken_proof(refusal, any_lost))
}

/// Weakens the proof of the last refusal if an earlier attempt was lost and may have run.
fn weaken_proof(mut refusal: CallRefusal, any_lost: bool) -> CallRefusal {
    if any_lost && refusal.proof == RunProof::NotRun {
        refusal.proof = RunProof::MayHaveRun;
    }
    refusal
}

async fn run_attempts(
    core: &Arc<DaemonCore>,
    call: PreparedCall,
    body: CallBody,
    any_lost: &mut bool,
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
    let fingerprint = RequestFingerprint(head.print);
    apply_suspect_report(core, &head.news);
    loop {
        head.remaining = deadline.next_hop_timeout(core.clock.now())?;
        core.keys.poison().check(fingerprint)?;
        head.news = core.keys.poison().report_for(fingerprint);
        let picked = pick(core, &head, &tried)?;
        let daemon = picked.view.daemon;
        head.target = Some(picked.view.target.clone());
        let copy = body.as_ref().and_then(CallBody::try_clone);
        let refusal = match attempt(core, daemon, &mut head, ticket, &mut body).await {
            Ok(answer) => {
                let suspect = (!head.news.is_empty()).then_some(fingerprint);
                return Ok(report_on_end(core, picked, suspect, answer));
            }
            Err(refusal) => refusal,
        };
        body = body.or(copy);
        apply_suspect_report(core, &refusal.news);
        *any_lost |= refusal.proof != RunProof::NotRun;
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
        let decision = core.retries().policy(&head.service).decide(&failure);
        match decision {
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

/// Makes one attempt; a call with a key first acquires a permit from the target's daemon.
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
    let credentials = acquire_credentials(core, daemon, ticket).await?;
    head.pass = Some(credentials);
    let sent_at = core.clock.now();
    let refusal = match forward(core, daemon, head, body).await {
        Ok(answer) => {
            if let Some(permit) = credentials.permit {
                core.keys.permit_pool().on_answered(permit, sent_at);
            }
            return Ok(answer);
        }
        Err(refusal) => refusal,
    };
    // If the permit is still unused after the answer was lost, the call has not run.
    let lost = refusal.proof != RunProof::NotRun;
    if let Some(permit) = credentials.permit.filter(|_| lost)
        && revoke_permit(core, permit).await
    {
        return Err(KindError::new(ErrorKind::PeerUnavailable, refusal.error.detail).into());
    }
    Err(refusal)
}

fn pick(core: &DaemonCore, head: &CallHead, tried: &[DaemonId]) -> Result<PickedTarget> {
    let mut picker = core.picker();
    let mut pick_except = |tried: &[DaemonId]| {
        if head.idempotent {
            picker.pick(&head.service, tried)
        } else {
            picker.pick_healthy_first(&head.service, tried)
        }
    };
    // All targets were tried, but one that was only busy may have a free slot by now.
    let chosen = pick_except(tried).or_else(|| pick_except(&[]));
    chosen.ok_or_else(|| CallRefusal {
        retry_after: Some(NO_TARGET_RETRY_AFTER),
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

fn finish_attempt(core: &DaemonCore, picked: &PickedTarget, refusal: &CallRefusal) {
    let kind = refusal.error.kind;
    core.counters.count_error(kind);
    let result = if refusal.proof == RunProof::NotRun {
        CallResult::NotRun(kind)
    } else {
        CallResult::Lost
    };
    let outcome = CallOutcome {
        latency: core.clock.now() - picked.picked_at,
        waited: Duration::ZERO,
        result,
        load: refusal.load,
    };
    core.picker().finish(picked, &outcome);
}

/// Reports the result of the call to the target selection when its answer ends.
///
/// A complete answer clears `suspect`, the request if it is suspected of crashing targets.
fn report_on_end(
    core: &Arc<DaemonCore>,
    picked: PickedTarget,
    suspect: Option<RequestFingerprint>,
    answer: TargetAnswer,
) -> TargetAnswer {
    let TargetAnswer { head, body } = answer;
    let core = Arc::clone(core);
    let (load, waited, status) = (head.load, head.waited, head.status);
    let body = body.on_end(move |end| {
        if let Some(fingerprint) = suspect.filter(|_| end == BodyEnd::Complete) {
            core.keys.poison().clear(&[fingerprint]);
        }
        let result = match end {
            BodyEnd::Dropped => CallResult::Cancelled,
            BodyEnd::Failed => CallResult::Failed,
            BodyEnd::Complete if status >= 500 => CallResult::Failed,
            BodyEnd::Complete => CallResult::Done,
        };
        let outcome = CallOutcome {
            latency: core.clock.now() - picked.picked_at,
            waited,
            result,
            load: Some(load),
        };
        core.picker().finish(&picked, &outcome);
    });
    TargetAnswer { head, body }
}
