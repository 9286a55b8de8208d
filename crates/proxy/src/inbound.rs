//! Serves the requests and messages of other daemons.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use mesh::CallSafety;
use mesh::body_budget::BODY_RETRY_AFTER;
use mesh::link::LinkReservation;
use model::{ByteCount, ErrorKind, KindError};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout, timeout_at};
use tokio_util::sync::CancellationToken;
use wire::{BodyReceiver, BodySender, PeerResponder, PeerStream, WireLimits};

use crate::answer_body::AnswerBody;
use crate::body_buffer::BodyBuffer;
use crate::core::ProxyCore;
use crate::membership::MembershipSender;
use crate::message::{
    CallAnswer, CallHead, ConfigAnswer, MAX_ANSWER_BYTES, PeerRequest, SuspectAnswer,
};
use crate::quota_exchange::{answer_child, record_report};
use crate::rollout_watch::apply_shares;
use crate::runner::{
    AdmittedCall, RunRefusal, TargetCall, TargetRunOutcome, admit_call, run_admitted, run_call,
};

/// Result of an exchange; errors are of the kinds that [`wire`] returns.
type Result<T> = model::Result<T>;

/// Time after which the sender of an at-most-once call is told that it is queued. The sender
/// gives up on a daemon that is silent for four times as long.
const WAITING_NOTICE_DELAY: Duration = Duration::from_millis(100);
/// Time for the sender of an admitted at-most-once call to end the body; the reserved slot stays
/// unused meanwhile.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(500);

/// Serves other daemons until `token` is cancelled.
pub async fn serve_inbound(
    core: Arc<ProxyCore>,
    members: MembershipSender,
    listener: TcpListener,
    limits: WireLimits,
    token: CancellationToken,
) {
    let limited = core.metrics.limited_connections();
    let handle = move |stream: PeerStream<PeerRequest>| {
        let (core, members) = (Arc::clone(&core), members.clone());
        async move {
            if let Err(error) = handle_stream(&core, &members, stream).await {
                log::debug!(cause:% = error; "exchange with a peer broke");
            }
        }
    };
    let refusals = Arc::new(AtomicU64::new(0));
    let refused = move |error: KindError| {
        let labels = ["peers", error.kind.properties().name];
        limited.with_label_values(&labels).inc();
        let count = refusals.fetch_add(1, Ordering::Relaxed) + 1;
        // Logged ever more rarely, since a faulty peer may repeat it without end.
        if count.is_power_of_two() {
            log::warn!(cause:% = error, count; "peer refused");
        }
    };
    wire::serve_peers(listener, limits, token, handle, refused).await;
}

async fn handle_stream(
    core: &Arc<ProxyCore>,
    members: &MembershipSender,
    stream: PeerStream<PeerRequest>,
) -> Result<()> {
    let PeerStream {
        head,
        receiver,
        responder,
        ..
    } = stream;
    match head {
        PeerRequest::Call(head) => serve_call(core, *head, receiver, responder).await,
        PeerRequest::Members { from, bytes } => {
            members.deliver(from, bytes);
            responder.acknowledge()
        }
        PeerRequest::Poison(message) => {
            let outputs = core.poison().on_message(&message);
            core.send_poison(outputs);
            responder.acknowledge()
        }
        PeerRequest::Suspects => {
            let reports = core.poison().all_reports();
            responder.respond_head(&SuspectAnswer { reports }).await
        }
        PeerRequest::Config {
            have,
            quota,
            rollout,
        } => {
            let rollout = rollout.and_then(|counts| {
                let mut book = core.rollouts();
                book.merge(counts.reports, core.id);
                book.statements_for(counts.known, core.clock.since_boot())
            });
            let answer = ConfigAnswer {
                update: core.config().update_for(have),
                age: core.config_source.confirmed_age(core.clock.since_boot()),
                era: core.store_eras().latest(),
                quota: quota.and_then(|report| answer_child(core, &report)),
                rollout,
            };
            responder.respond_head(&answer).await
        }
        PeerRequest::Quota(report) => {
            record_report(core, &report);
            responder.acknowledge()
        }
        PeerRequest::Rollout(shares) => {
            apply_shares(core, shares, core.clock.since_boot());
            responder.acknowledge()
        }
        PeerRequest::News { from, version } => {
            if core.config().version() < Some(version) {
                core.config_source.record_newer_config(from, version);
            }
            responder.acknowledge()
        }
    }
}

async fn serve_call(
    core: &Arc<ProxyCore>,
    head: CallHead,
    mut receiver: BodyReceiver,
    responder: PeerResponder,
) -> Result<()> {
    let since = core.clock.now();
    let reservation = match core.link.admit(head.body_size, head.remaining) {
        Ok(reservation) => reservation,
        Err(retry_after) => return refuse_body(core, retry_after, responder).await,
    };
    let Ok(buffer) = BodyBuffer::new(&core.bodies, head.body_size) else {
        return refuse_body(core, BODY_RETRY_AFTER, responder).await;
    };
    let mut responder = if head.expects_proceed() {
        CallResponder::Started(responder.respond(&CallAnswer::Proceed).await?)
    } else {
        CallResponder::Fresh(responder)
    };
    let reading = read_body(&mut receiver, reservation, buffer, head.body_size);
    let body = timeout(head.remaining, reading)
        .await
        .map_err(|_elapsed| {
            KindError::new(ErrorKind::IdleTimeout, "the body did not arrive in time")
        })??;
    let call = TargetCall { head, body, since };
    let end = match call.head.safety {
        CallSafety::Idempotent => {
            await_end(&mut receiver).await?;
            tokio::select! {
                end = run_call(core, call) => end,
                // Dropping the run closes its connection to the target, which stops the work.
                () = responder.cancelled() => return Ok(()),
            }
        }
        CallSafety::AtMostOnce => {
            let admission = admit_at_most_once(core, &call, responder, &mut receiver).await?;
            let Some((started_responder, admitted)) = admission else {
                return Ok(());
            };
            responder = started_responder;
            match admitted {
                Err(refusal) => TargetRunOutcome::Refused(refusal),
                Ok(admitted) => tokio::select! {
                    end = run_admitted(core, &call, admitted) => end,
                    () = responder.cancelled() => return Ok(()),
                },
            }
        }
    };
    let load = core.target_load();
    match end {
        TargetRunOutcome::Refused(refusal) => {
            let answer = CallAnswer::Refused {
                kind: refusal.kind,
                arrived: refusal.reached_target,
                retry_after: refusal.retry_after,
                load,
            };
            responder.respond_head(&answer).await
        }
        TargetRunOutcome::Broken(detail) => {
            let answer = CallAnswer::Broken { detail, load };
            responder.respond_head(&answer).await
        }
        TargetRunOutcome::Answered(answer) => {
            let head = CallAnswer::Answered {
                status: answer.status.as_u16(),
                headers: answer.headers,
                called: answer.called,
                calls: answer.calls,
                waited: answer.waited,
                load,
            };
            let mut sender = responder.answer(&head).await?;
            match answer.body {
                AnswerBody::Whole(bytes) => sender.send(bytes).await?,
                AnswerBody::Stream(mut stream) => {
                    while let Some(piece) = stream.next().await {
                        // Dropping the sender resets the stream: the peer sees an incomplete body.
                        let piece = piece
                            .map_err(|detail| KindError::new(ErrorKind::TargetFailed, detail))?;
                        let sending = sender.send(piece);
                        let Ok(sent) = timeout_at(stream.deadline().into(), sending).await else {
                            stream.give_up();
                            let detail = "the answer was not taken in time";
                            return Err(KindError::new(ErrorKind::IdleTimeout, detail));
                        };
                        sent?;
                    }
                }
            }
            sender.finish()
        }
    }
}

/// Waits for a slot for an at-most-once call, tells its sender, and waits until the sender has
/// ended the body. Returns `None` if the sender cancelled the call.
async fn admit_at_most_once(
    core: &Arc<ProxyCore>,
    call: &TargetCall,
    mut responder: CallResponder,
    receiver: &mut BodyReceiver,
) -> Result<Option<(CallResponder, std::result::Result<AdmittedCall, RunRefusal>)>> {
    let mut admitting = pin!(admit_call(core, call));
    let mut admission = tokio::select! {
        admission = &mut admitting => Some(admission),
        () = sleep(WAITING_NOTICE_DELAY) => None,
        () = responder.cancelled() => return Ok(None),
    };
    if admission.is_none() {
        responder = responder.send_intermediate(&CallAnswer::Waiting).await?;
        admission = tokio::select! {
            admission = &mut admitting => Some(admission),
            () = responder.cancelled() => return Ok(None),
        };
    }
    let Some(admission) = admission else {
        return Ok(None);
    };
    if admission.is_ok() {
        responder = responder.send_intermediate(&CallAnswer::Admitted).await?;
        let ended = timeout(BODY_END_TIMEOUT, await_end(receiver)).await;
        ended.map_err(|_elapsed| {
            KindError::new(
                ErrorKind::IdleTimeout,
                "the sender did not end the body in time",
            )
        })??;
    }
    Ok(Some((responder, admission)))
}

/// Sends the answers to a call; `Started` after the first one.
#[derive(Debug)]
enum CallResponder {
    Fresh(PeerResponder),
    Started(BodySender),
}

impl CallResponder {
    async fn answer(self, answer: &CallAnswer) -> Result<BodySender> {
        match self {
            Self::Fresh(responder) => responder.respond(answer).await,
            Self::Started(mut sender) => {
                sender.send_message(answer, MAX_ANSWER_BYTES).await?;
                Ok(sender)
            }
        }
    }

    async fn respond_head(self, answer: &CallAnswer) -> Result<()> {
        self.answer(answer).await?.finish()
    }

    /// Sends an intermediate answer, which another one follows.
    async fn send_intermediate(self, answer: &CallAnswer) -> Result<Self> {
        Ok(Self::Started(self.answer(answer).await?))
    }

    /// Waits until the peer has cancelled the call.
    async fn cancelled(&mut self) {
        match self {
            Self::Fresh(responder) => responder.cancelled().await,
            Self::Started(sender) => sender.closed().await,
        }
    }
}

/// Refuses a call whose body the link has no room for, before the body is sent.
async fn refuse_body(
    core: &ProxyCore,
    retry_after: Duration,
    responder: PeerResponder,
) -> Result<()> {
    let answer = CallAnswer::Refused {
        kind: ErrorKind::QueueFull,
        arrived: false,
        retry_after: Some(retry_after),
        load: core.target_load(),
    };
    responder.respond_head(&answer).await
}

/// Reads a body of the announced `size` into `buffer`, without waiting for the end of the stream.
async fn read_body(
    receiver: &mut BodyReceiver,
    mut reservation: LinkReservation,
    mut buffer: BodyBuffer,
    size: ByteCount,
) -> Result<Bytes> {
    while (buffer.len() as u64) < size.0 {
        let Some(piece) = receiver.next().await else {
            break;
        };
        let piece = piece?;
        reservation.release(piece.len());
        buffer.push(&piece)?;
    }
    if buffer.len() as u64 != size.0 {
        return Err(size_mismatch(size, buffer.len()));
    }
    Ok(buffer.finish())
}

/// Waits for the end of the stream after the whole body was read.
async fn await_end(receiver: &mut BodyReceiver) -> Result<()> {
    while let Some(piece) = receiver.next().await {
        let piece = piece?;
        if !piece.is_empty() {
            return Err(size_mismatch(ByteCount(0), piece.len()));
        }
    }
    Ok(())
}

fn size_mismatch(announced: ByteCount, received: usize) -> KindError {
    let detail = format!("expected a body of {announced} bytes, received {received}");
    KindError::new(ErrorKind::FrameInvalid, detail)
}
