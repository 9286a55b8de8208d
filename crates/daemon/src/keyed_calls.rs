//! Non-idempotent calls: sent to the home of their key, and run from there.
//!
//! The home decides whether a call runs, holds a permit of the daemon beside
//! the target before it sends it, and remembers the answer. A call that began
//! runs to its end even if its caller leaves, so that the same key sent again
//! gets the first answer.

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

/// Largest answer that is remembered, in bytes.
const MAX_REMEMBERED_BYTES: usize = 60 << 10;
/// Time for a daemon to grant or revoke permits.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time beyond the deadline for the home's refusal to arrive.
const HOME_MARGIN: Duration = Duration::from_millis(100);
/// Longest time for which a call is sent again while its range moves.
const MOVE_PATIENCE: Duration = Duration::from_secs(3);
/// Pause before a call is sent again while its range moves.
const MOVE_PAUSE: Duration = Duration::from_millis(100);
/// Time for an earlier home to tell what it remembers.
const RECALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Marks an answer that was given before.
const REPLAYED_HEADER: &str = "quetzal-replayed";

/// Sends a call to the home of its key, which may be here.
///
/// While a range moves from one home to the next, both refuse; the call is
/// then sent again after a short pause, as long as that is safe.
pub async fn run_keyed(
    core: &Arc<DaemonCore>,
    head: CallHead,
    key: CallKey,
    deadline: CallDeadline,
    body: CallBody,
) -> Result<TargetAnswer> {
    let give_up = core.clock.now() + MOVE_PATIENCE;
    let mut body = body;
    loop {
        let spare = body.try_clone();
        let sent = send_home(core, head.clone(), key.clone(), deadline, body).await;
        let refusal = match sent {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        let now = core.clock.now();
        let in_time = now < give_up && deadline.remaining(now) > MOVE_PAUSE * 2;
        let Some(again) = spare.filter(|_| in_time && is_moving(&refusal)) else {
            return Err(refusal);
        };
        core.counters.count("keyed-sent-again");
        body = again;
        sleep(MOVE_PAUSE).await;
    }
}

/// Whether the refusal may end as soon as the range has its next home.
fn is_moving(refusal: &CallRefusal) -> bool {
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
    let home = core.keys.home_of(&key, digest, &core.runs.load());
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
            let patience = head.remaining + HOME_MARGIN;
            let request = PeerRequest::Keyed(Box::new(head));
            let mut body = Some(body);
            let sending = send_to_peer(core, holder.daemon, request, &mut body);
            let answered = timeout(patience, sending).await;
            let answer = answered
                .unwrap_or_else(|_| Err(lost("no answer of the key's home before the deadline")));
            answer.inspect_err(|refusal| apply_suspect_report(core, &refusal.news))
        }
        HomeAnswer::Refused(refusal) => Err(home_refusal(refusal)),
    }
}

/// Decides about a call as the home of its key, and runs it if it may run.
pub async fn run_at_home(
    core: &Arc<DaemonCore>,
    head: CallHead,
    deadline: CallDeadline,
    body: CallBody,
) -> Result<TargetAnswer> {
    let Some(key) = head.key.clone() else {
        return Err(KindError::new(ErrorKind::KeyMissing, "a keyed call without a key").into());
    };
    let call = KeyCall {
        digest: KeyDigest::of(&head.customer, &key),
        fingerprint: RequestFingerprint(head.print),
        key,
    };
    let verdict = core.keys.home().begin(&call);
    match verdict {
        KeyVerdict::Run(ticket) => run_begun(core, head, deadline, body, ticket).await,
        KeyVerdict::Running => Err(running()),
        KeyVerdict::Finished(answer) => {
            core.counters.count("keyed-replayed");
            Ok(replay(&answer))
        }
        KeyVerdict::Refused(refusal) if refusal.error.kind == ErrorKind::KeyUnknown => {
            recall_elsewhere(core, &call)
                .await
                .unwrap_or_else(|| Err(home_refusal(refusal)))
        }
        KeyVerdict::Refused(refusal) => Err(home_refusal(refusal)),
    }
}

/// What an earlier home of the key remembers about it, if one can tell.
async fn recall_elsewhere(core: &Arc<DaemonCore>, call: &KeyCall) -> Option<Result<TargetAnswer>> {
    core.counters.count("keyed-recalls");
    let request = PeerRequest::Recall(Box::new(call.clone()));
    for home in core.homes.load().iter() {
        if *home == core.keys.me {
            continue;
        }
        let asked = core.ask::<Option<RecallAnswer>>(home.daemon, &request, RECALL_TIMEOUT);
        match asked.await {
            Ok(Some(RecallAnswer::Finished(answer))) => return Some(Ok(replay(&answer))),
            Ok(Some(RecallAnswer::Running)) => return Some(Err(running())),
            Ok(Some(RecallAnswer::Refused(refusal))) => return Some(Err(home_refusal(refusal))),
            Ok(None) => {}
            Err(error) => core.counters.count_error(error.kind),
        }
    }
    None
}

/// What this daemon, as an earlier home, remembers about a key.
pub fn recall_locally(core: &DaemonCore, call: &KeyCall) -> Option<RecallAnswer> {
    let verdict = core.keys.home().recall(call)?;
    match verdict {
        KeyVerdict::Finished(answer) => Some(RecallAnswer::Finished(answer)),
        KeyVerdict::Running => Some(RecallAnswer::Running),
        KeyVerdict::Refused(refusal) => Some(RecallAnswer::Refused(refusal)),
        // An earlier home never begins a call.
        KeyVerdict::Run(_) => None,
    }
}

fn running() -> CallRefusal {
    CallRefusal {
        proof: RunProof::MayHaveRun,
        by_home: true,
        ..KindError::new(ErrorKind::KeyRunning, "the call with this key is running").into()
    }
}

/// Runs a begun call in a task of its own, which goes on if the caller leaves.
async fn run_begun(
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
        .unwrap_or_else(|error| Err(lost(&error.to_string())))
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
    match body.read_ahead(MAX_REMEMBERED_BYTES).await {
        Ok(true) => {
            let answer = remember(&head, &body);
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

/// Settles a ticket; dropped without, it records the call as lost.
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

    /// Settles by what a refusal proves, which the answer then says.
    fn settle_refusal(&mut self, mut refusal: CallRefusal) -> CallRefusal {
        if refusal.proof == RunProof::NotRun {
            self.settle(RunOutcome::NotRun);
            refusal.by_home = true;
            return refusal;
        }
        self.settle_lost(&refusal)
    }

    /// Settles a call that reached its target and has no whole answer.
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

/// A pass for one dispatch of a begun call to the daemon beside a target.
///
/// Kinds: `PermitInvalid`, `PeerUnavailable`; the dispatch has not run.
pub async fn acquire_credentials(
    core: &Arc<DaemonCore>,
    daemon: DaemonId,
    ticket: RunTicket,
) -> model::Result<DispatchCredentials> {
    let term = ticket.term();
    let permit = match term {
        // No other home ever judges an issued key, so it needs no permit.
        None => None,
        Some(_) => Some(take_permit(core, daemon).await.map_err(not_dispatched)?),
    };
    Ok(DispatchCredentials {
        permit,
        home: core.keys.me,
        term,
    })
}

/// A lost answer to a question for permits leaves the call itself unsent.
fn not_dispatched(error: KindError) -> KindError {
    if error.kind.properties().not_run {
        return error;
    }
    KindError::new(ErrorKind::PeerUnavailable, error.to_string())
}

async fn take_permit(core: &Arc<DaemonCore>, daemon: DaemonId) -> model::Result<DispatchPermit> {
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
        home: core.keys.me,
        issuer: daemon,
        count: 1,
    };
    fetch_grant(core, request).await?;
    let permit = core.keys.permit_pool().take(daemon);
    permit.ok_or_else(|| KindError::new(ErrorKind::PermitInvalid, "no permit was granted"))
}

async fn fetch_grant(core: &Arc<DaemonCore>, request: PermitRequest) -> model::Result<()> {
    let asked = core.clock.now();
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
    core.keys.permit_pool().on_grant(&grant, asked);
    Ok(())
}

/// Whether a dispatch whose answer was lost is proven not to have run.
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

fn remember(head: &ResponseHead, body: &CallBody) -> StoredAnswer {
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

fn replay(answer: &StoredAnswer) -> TargetAnswer {
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

/// A refusal of a key's home, as the caller gets it.
pub fn home_refusal(refusal: KeyRefusal) -> CallRefusal {
    CallRefusal {
        proof: refusal.proof,
        by_home: true,
        ..refusal.error.into()
    }
}

fn lost(detail: &str) -> CallRefusal {
    KindError::new(ErrorKind::OutcomeUnknown, detail).into()
}
