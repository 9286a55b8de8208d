//! Non-idempotent calls, which go through the home of their idempotency key to a target.
//!
//! The home decides whether a call runs, acquires a permit from the target's daemon before
//! it sends the call, and stores the answer. A call that has begun runs to its end even if
//! the caller disconnects, so that a repetition with the same key gets the first answer.

use std::sync::Arc;
use std::time::Duration;

use model::{DaemonId, ErrorKind, KindError};
use once::home::AnswerHeader;
use once::permit::{PermitGrant, PermitRequest, RevokeAnswer};
use once::{
    CallKey, DispatchCredentials, DispatchPermit, HomeAnswer, KeyCall, KeyDigest, KeyRefusal,
    KeyVerdict, RequestFingerprint, RunOutcome, RunProof, RunTicket, StoredAnswer,
};
use route::{CallDeadline, TargetLoad};
use tokio::time::{sleep, timeout};

use crate::body::{BodyEnd, CallBody};
use crate::core::DaemonCore;
use crate::crash_reports::apply_suspect_report;
use crate::dispatch::{PreparedCall, dispatch};
use crate::forward::send_to_peer;
use crate::local_targets::{Result, TargetAnswer};
use crate::peer_messages::{
    CallHead, CallRefusal, HeaderPair, PeerRequest, RecallAnswer, ResponseHead,
};

/// Maximum size of the body of a stored answer, in bytes.
const MAX_STORED_BYTES: usize = 60 << 10;
/// Time for a daemon to grant or revoke permits.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after the deadline in which the home's refusal can still arrive.
const HOME_MARGIN: Duration = Duration::from_millis(100);
/// Maximum time for which a call is resent while its key range moves.
const MAX_MOVE_WAIT: Duration = Duration::from_secs(3);
/// Pause before a call is resent while its key range moves.
const MOVE_PAUSE: Duration = Duration::from_millis(100);
/// Time for an earlier home to answer what it knows of a key.
const RECALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Header of an answer that was replayed from storage.
const REPLAYED_HEADER: &str = "quetzal-replayed";

/// Sends a call to the home of its key, which may be this daemon.
///
/// While a range moves from one home to the next, both refuse its calls. The call is then
/// resent after a short pause, as long as that is safe.
pub async fn run_keyed(
    core: &Arc<DaemonCore>,
    head: CallHead,
    key: CallKey,
    deadline: CallDeadline,
    body: CallBody,
) -> Result<TargetAnswer> {
    let give_up = core.clock.now() + MAX_MOVE_WAIT;
    let mut body = body;
    loop {
        let copy = body.try_clone();
        let sent = send_home(core, head.clone(), key.clone(), deadline, body).await;
        let refusal = match sent {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        let now = core.clock.now();
        let in_time = now < give_up && deadline.remaining(now) > MOVE_PAUSE * 2;
        let Some(resend) = copy.filter(|_| in_time && may_succeed_after_move(&refusal)) else {
            return Err(refusal);
        };
        core.counters.count("keyed-sent-again");
        body = resend;
        sleep(MOVE_PAUSE).await;
    }
}

/// Returns whether the call may succeed once the key range has its next home.
fn may_succeed_after_move(refusal: &CallRefusal) -> bool {
    let moving = matches!(
        refusal.error.kind,
        ErrorKind::Draining | ErrorKind::HomeUnavailable | ErrorKind::PeerUnavailable
    );
    moving && matches!(refusal.proof, RunProof::NotRun | RunProof::SendingNotRun)
}

async fn send_home(
    core: &Arc<DaemonCore>,
    mut head: CallHead,
    key: CallKey,
    deadline: CallDeadline,
    body: CallBody,
) -> Result<TargetAnswer> {
    let digest = KeyDigest::of(&head.customer, &key);
    let home = core.keys.home_of(&key, digest, &core.incarnations.load());
    head.key = Some(key);
    match home {
        HomeAnswer::Local => run_at_home(core, head, deadline, body).await,
        HomeAnswer::Remote(holder) => {
            core.counters.count("keyed-forwarded");
            head.remaining = deadline.next_hop_timeout(core.clock.now())?;
            head.streamed = body.try_clone().is_none();
            head.news = core
                .keys
                .poison()
                .report_for(RequestFingerprint(head.print));
            let wait = head.remaining + HOME_MARGIN;
            let request = PeerRequest::Keyed(Box::new(head));
            let mut body = Some(body);
            let sending = send_to_peer(core, holder.daemon, request, &mut body);
            let answered = timeout(wait, sending).await;
            let answer = answered.unwrap_or_else(|_| {
                Err(outcome_unknown(
                    "the key's home did not answer before the deadline",
                ))
            });
            answer.inspect_err(|refusal| apply_suspect_report(core, &refusal.news))
        }
        HomeAnswer::Refused(refusal) => Err(home_refusal(refusal)),
    }
}

/// Decides as the home of its key whether a call may run, and runs it if so.
pub async fn run_at_home(
    core: &Arc<DaemonCore>,
    head: CallHead,
    deadline: CallDeadline,
    body: CallBody,
) -> Result<TargetAnswer> {
    let Some(key) = head.key.clone() else {
        return Err(KindError::new(
            ErrorKind::KeyMissing,
            "the non-idempotent call carries no idempotency key",
        )
        .into());
    };
    let call = KeyCall {
        digest: KeyDigest::of(&head.customer, &key),
        fingerprint: RequestFingerprint(head.print),
        key,
    };
    let verdict = core.keys.home().begin(&call);
    match verdict {
        KeyVerdict::Run(ticket) => run_in_task(core, head, deadline, body, ticket).await,
        KeyVerdict::Running => Err(key_running()),
        KeyVerdict::Finished(answer) => {
            core.counters.count("keyed-replayed");
            Ok(replayed_answer(&answer))
        }
        KeyVerdict::Refused(refusal) if refusal.error.kind == ErrorKind::KeyUnknown => {
            recall_from_others(core, &call)
                .await
                .unwrap_or_else(|| Err(home_refusal(refusal)))
        }
        KeyVerdict::Refused(refusal) => Err(home_refusal(refusal)),
    }
}

/// Asks the other homes what they know about the key, in case one was its home earlier.
async fn recall_from_others(
    core: &Arc<DaemonCore>,
    call: &KeyCall,
) -> Option<Result<TargetAnswer>> {
    core.counters.count("keyed-recalls");
    let request = PeerRequest::Recall(Box::new(call.clone()));
    for home in core.homes.load().iter() {
        if *home == core.keys.own_id {
            continue;
        }
        let asked = core.ask::<Option<RecallAnswer>>(home.daemon, &request, RECALL_TIMEOUT);
        match asked.await {
            Ok(Some(RecallAnswer::Finished(answer))) => return Some(Ok(replayed_answer(&answer))),
            Ok(Some(RecallAnswer::Running)) => return Some(Err(key_running())),
            Ok(Some(RecallAnswer::Refused(refusal))) => return Some(Err(home_refusal(refusal))),
            Ok(None) => {}
            Err(error) => core.counters.count_error(error.kind),
        }
    }
    None
}

/// Returns what this daemon knows about a key as an earlier home.
pub fn recall_locally(core: &DaemonCore, call: &KeyCall) -> Option<RecallAnswer> {
    let verdict = core.keys.home().recall(call)?;
    match verdict {
        KeyVerdict::Finished(answer) => Some(RecallAnswer::Finished(answer)),
        KeyVerdict::Running => Some(RecallAnswer::Running),
        KeyVerdict::Refused(refusal) => Some(RecallAnswer::Refused(refusal)),
        // An earlier home never starts a call.
        KeyVerdict::Run(_) => None,
    }
}

fn key_running() -> CallRefusal {
    CallRefusal {
        proof: RunProof::MayHaveRun,
        by_home: true,
        ..KindError::new(
            ErrorKind::KeyRunning,
            "a call with this key is already running",
        )
        .into()
    }
}

/// Runs a call in its own task, which continues if the caller disconnects.
async fn run_in_task(
    core: &Arc<DaemonCore>,
    head: CallHead,
    deadline: CallDeadline,
    body: CallBody,
    ticket: RunTicket,
) -> Result<TargetAnswer> {
    let settler = TicketSettler {
        core: Arc::clone(core),
        ticket: Some(ticket),
    };
    let task = core
        .tasks
        .spawn(run_to_end(Arc::clone(core), head, deadline, body, settler));
    task.await
        .unwrap_or_else(|error| Err(outcome_unknown(&error.to_string())))
}

async fn run_to_end(
    core: Arc<DaemonCore>,
    head: CallHead,
    deadline: CallDeadline,
    body: CallBody,
    mut settler: TicketSettler,
) -> Result<TargetAnswer> {
    let ticket = settler.ticket;
    let sent = dispatch(
        &core,
        PreparedCall {
            head,
            deadline,
            ticket,
        },
        body,
    )
    .await;
    let TargetAnswer { head, mut body } = match sent {
        Ok(answer) => answer,
        Err(refusal) => return Err(settler.settle_refusal(refusal)),
    };
    match body.read_ahead(MAX_STORED_BYTES).await {
        Ok(true) => {
            let answer = stored_answer(&head, &body);
            settler.settle(RunOutcome::Done(Arc::new(answer)));
            Ok(TargetAnswer { head, body })
        }
        Ok(false) => {
            let status = head.status;
            let body = body.on_end(move |end| {
                if end == BodyEnd::Complete {
                    settler.settle(RunOutcome::DoneLarge { status });
                }
            });
            Ok(TargetAnswer { head, body })
        }
        Err(error) => Err(settler.settle_lost(&error.into())),
    }
}

/// Records the outcome of a call at its home; if dropped without one, records it as lost.
struct TicketSettler {
    core: Arc<DaemonCore>,
    ticket: Option<RunTicket>,
}

impl TicketSettler {
    fn settle(&mut self, outcome: RunOutcome) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let handed = self.core.keys.home().settle(ticket, outcome);
        if let Some(handed) = handed {
            self.core.forward_settlement(handed);
        }
    }

    /// Settles a refused call by the refusal's proof and returns the refusal for the caller.
    fn settle_refusal(&mut self, mut refusal: CallRefusal) -> CallRefusal {
        if refusal.proof == RunProof::NotRun {
            self.settle(RunOutcome::NotRun);
            refusal.by_home = true;
            return refusal;
        }
        self.settle_lost(&refusal)
    }

    /// Settles a call that may have reached its target and has no complete answer.
    fn settle_lost(&mut self, refusal: &CallRefusal) -> CallRefusal {
        self.settle(RunOutcome::Lost);
        let detail = refusal.error.to_string();
        CallRefusal {
            error: KindError::new(ErrorKind::OutcomeUnknown, detail),
            proof: RunProof::MayHaveRun,
            by_home: true,
            ..refusal.clone()
        }
    }
}

impl Drop for TicketSettler {
    fn drop(&mut self) {
        self.settle(RunOutcome::Lost);
    }
}

/// Returns the credentials for one dispatch of a call to a target's daemon.
///
/// Kinds: `PermitInvalid`, `PeerUnavailable`, `FrameInvalid`, `FrameTooLarge`; the call was not
/// sent to the target.
pub async fn acquire_credentials(
    core: &Arc<DaemonCore>,
    daemon: DaemonId,
    ticket: RunTicket,
) -> model::Result<DispatchCredentials> {
    let term = ticket.term();
    let permit = match term {
        // At most one home ever decides about an issued key, so it needs no permit.
        None => None,
        Some(_) => Some(acquire_permit(core, daemon).await.map_err(not_dispatched)?),
    };
    Ok(DispatchCredentials {
        permit,
        home: core.keys.own_id,
        term,
    })
}

/// Converts an error of a permit request: even if its answer was lost, the call was not sent.
fn not_dispatched(error: KindError) -> KindError {
    if error.kind.properties().not_run {
        return error;
    }
    KindError::new(ErrorKind::PeerUnavailable, error.to_string())
}

async fn acquire_permit(core: &Arc<DaemonCore>, daemon: DaemonId) -> model::Result<DispatchPermit> {
    let held = core.keys.permit_pool().take(daemon);
    let permit = match held {
        Some(permit) => permit,
        None => fetch_permit(core, daemon).await?,
    };
    let wanted = core.keys.permit_pool().refill_request(daemon);
    if let Some(request) = wanted {
        let core = Arc::clone(core);
        let tasks = core.tasks.clone();
        tasks.spawn(async move {
            if let Err(error) = fetch_grant(&core, request).await {
                core.counters.count_error(error.kind);
            }
        });
    }
    Ok(permit)
}

async fn fetch_permit(core: &Arc<DaemonCore>, daemon: DaemonId) -> model::Result<DispatchPermit> {
    let request = PermitRequest {
        home: core.keys.own_id,
        issuer: daemon,
        count: 1,
    };
    fetch_grant(core, request).await?;
    let permit = core.keys.permit_pool().take(daemon);
    permit.ok_or_else(|| {
        KindError::new(
            ErrorKind::PermitInvalid,
            "the target's daemon granted no permit",
        )
    })
}

async fn fetch_grant(core: &Arc<DaemonCore>, request: PermitRequest) -> model::Result<()> {
    let asked_at = core.clock.now();
    core.counters.count("permit-requests");
    let grant: PermitGrant = if request.issuer == core.id {
        core.keys.issuer().grant(&request)
    } else {
        let message = PeerRequest::Permits(request);
        let granted = core.ask(request.issuer, &message, PERMIT_TIMEOUT);
        match granted.await {
            Ok(grant) => grant,
            Err(error) => {
                core.keys.permit_pool().on_failed(request.issuer);
                return Err(error);
            }
        }
    };
    core.keys.permit_pool().on_grant(&grant, asked_at);
    Ok(())
}

/// Revokes a permit whose call's answer was lost; returns whether the call is proven not to
/// have run.
pub async fn revoke_permit(core: &Arc<DaemonCore>, permit: DispatchPermit) -> bool {
    let daemon = permit.issuer.daemon;
    let answer = if daemon == core.id {
        Ok(core.keys.issuer().revoke(permit))
    } else {
        core.ask(daemon, &PeerRequest::Revoke(permit), PERMIT_TIMEOUT)
            .await
    };
    matches!(answer, Ok(RevokeAnswer::NeverUsed))
}

fn stored_answer(head: &ResponseHead, body: &CallBody) -> StoredAnswer {
    let headers = head.headers.iter().map(|pair| AnswerHeader {
        name: pair.name.clone(),
        value: pair.value.clone(),
    });
    StoredAnswer {
        status: head.status,
        headers: headers.collect(),
        body: Box::from(&**body.bytes()),
    }
}

fn replayed_answer(answer: &StoredAnswer) -> TargetAnswer {
    let kept = answer.headers.iter().map(|header| HeaderPair {
        name: header.name.clone(),
        value: header.value.clone(),
    });
    let replayed = HeaderPair {
        name: REPLAYED_HEADER.into(),
        value: Box::from(&b"true"[..]),
    };
    TargetAnswer {
        head: ResponseHead {
            status: answer.status,
            headers: kept.chain([replayed]).collect(),
            load: TargetLoad::default(),
            waited: Duration::ZERO,
        },
        body: CallBody::from_bytes(answer.body.to_vec()),
    }
}

/// Converts a refusal of a key's home for the caller.
pub fn home_refusal(refusal: KeyRefusal) -> CallRefusal {
    CallRefusal {
        proof: refusal.proof,
        by_home: true,
        ..refusal.error.into()
    }
}

fn outcome_unknown(detail: &str) -> CallRefusal {
    KindError::new(ErrorKind::OutcomeUnknown, detail).into()
}
