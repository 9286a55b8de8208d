//! The listener for requests of other daemons.

use std::sync::Arc;
use std::time::Duration;

use model::{ErrorKind, KindError};
use route::CallDeadline;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use wire::{BodyReceiver, BodySender, PeerResponder, PeerStream, WireLimits, serve_peers};

use crate::body::CallBody;
use crate::control::ControlEvent;
use crate::core::DaemonCore;
use crate::crash_reports::apply_poison_message;
use crate::key_close::close_locally;
use crate::keyed_calls::{recall_locally, run_at_home};
use crate::local_targets::TargetAnswer;
use crate::peer_messages::{CallAnswer, CallHead, PeerRequest};

/// Maximum size of an answer's head in bytes.
const MAX_HEAD_BYTES: usize = 256 << 10;
/// Bytes of a body that are buffered before the home of the call's key decides about the call.
const READ_AHEAD_BYTES: usize = 128 << 10;

/// Result of answering a peer.
type Result<T> = model::Result<T>;

/// Serves other daemons until `token` is cancelled, then waits for open exchanges to finish.
pub async fn serve_daemons(
    core: Arc<DaemonCore>,
    listener: TcpListener,
    events: mpsc::Sender<ControlEvent>,
    token: CancellationToken,
) {
    let limits = WireLimits {
        max_connections: core.settings.numbers.peer_connections as usize,
        soft_max_connections: core.settings.numbers.peer_links as usize,
        ..WireLimits::default()
    };
    let counting_core = Arc::clone(&core);
    let handle = move |stream: PeerStream<PeerRequest>| {
        let (core, events) = (Arc::clone(&core), events.clone());
        async move {
            if let Err(error) = answer_peer(&core, &events, stream).await {
                core.counters.count_error(error.kind);
            }
        }
    };
    let on_refused = move |error: KindError| counting_core.counters.count_error(error.kind);
    serve_peers(listener, limits, token, handle, on_refused).await;
}

async fn answer_peer(
    core: &Arc<DaemonCore>,
    events: &mpsc::Sender<ControlEvent>,
    stream: PeerStream<PeerRequest>,
) -> Result<()> {
    let PeerStream {
        head,
        receiver,
        responder,
        ..
    } = stream;
    match head {
        PeerRequest::Control(batch) => {
            // If the queue is full, the batch is dropped; each protocol repairs lost messages.
            if events.try_send(ControlEvent::Peer(batch)).is_err() {
                core.counters.count("control-events-dropped");
            }
            responder.acknowledge()
        }
        PeerRequest::Call(call) => answer_call(core, &call, receiver, responder).await,
        PeerRequest::Keyed(call) => answer_keyed(core, *call, receiver, responder).await,
        PeerRequest::Permits(request) => {
            let grant = core.keys.issuer().grant(&request);
            responder.respond_head(&grant).await
        }
        PeerRequest::Revoke(permit) => {
            let answer = core.keys.issuer().revoke(permit);
            responder.respond_head(&answer).await
        }
        PeerRequest::Timeline(since_ms) => {
            let report = core.trace().report_within(Duration::from_millis(since_ms));
            responder.respond_head(&report).await
        }
        PeerRequest::Events(query) => {
            let report = core.trace().select(&query);
            responder.respond_head(&report).await
        }
        PeerRequest::Recall(call) => {
            let answer = recall_locally(core, &call);
            responder.respond_head(&answer).await
        }
        PeerRequest::Close(closing) => {
            let answer = close_locally(core, &closing);
            responder.respond_head(&answer).await
        }
        PeerRequest::Poison(message) => {
            let cleared = apply_poison_message(core, &message);
            responder.respond_head(&cleared).await
        }
        PeerRequest::Stage { from, page } => {
            let answer = core.keys.home().stage(from, *page);
            responder.respond_head(&answer).await
        }
    }
}

/// Runs a call for a peer; the call is dropped as soon as the peer gives up.
async fn answer_call(
    core: &Arc<DaemonCore>,
    head: &CallHead,
    receiver: BodyReceiver,
    mut responder: PeerResponder,
) -> Result<()> {
    let admitted = tokio::select! {
        admitted = core.local_targets.admit(head) => admitted,
        () = responder.cancelled() => return Ok(()),
    };
    let admitted = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => return responder.respond_head(&CallAnswer::Refused(refusal)).await,
    };
    let running = core
        .local_targets
        .run(core, admitted, head, CallBody::from_peer(receiver));
    if head.streamed {
        let mut sender = responder.respond(&CallAnswer::Admitted).await?;
        let result = tokio::select! {
            result = running => result,
            () = sender.closed() => return Ok(()),
        };
        let (answer, body) = split_answer(result);
        sender.send_message(&answer, MAX_HEAD_BYTES).await?;
        return send_body(core, sender, body).await;
    }
    let result = tokio::select! {
        result = running => result,
        () = responder.cancelled() => return Ok(()),
    };
    let (answer, body) = split_answer(result);
    let sender = responder.respond(&answer).await?;
    send_body(core, sender, body).await
}

/// Decides about a call as its key's home; the call continues even if the peer gives up.
async fn answer_keyed(
    core: &Arc<DaemonCore>,
    head: CallHead,
    receiver: BodyReceiver,
    responder: PeerResponder,
) -> Result<()> {
    let deadline = CallDeadline::new(core.clock.now(), Some(head.remaining), head.remaining);
    let body = CallBody::from_peer(receiver);
    if head.streamed {
        let mut sender = responder.respond(&CallAnswer::Admitted).await?;
        let (answer, body) = split_answer(run_at_home(core, head, deadline, body).await);
        sender.send_message(&answer, MAX_HEAD_BYTES).await?;
        return send_body(core, sender, body).await;
    }
    let mut body = body;
    body.read_ahead(READ_AHEAD_BYTES).await?;
    let (answer, body) = split_answer(run_at_home(core, head, deadline, body).await);
    let sender = responder.respond(&answer).await?;
    send_body(core, sender, body).await
}

fn split_answer(
    result: crate::local_targets::Result<TargetAnswer>,
) -> (CallAnswer, Option<CallBody>) {
    match result {
        Ok(TargetAnswer { head, body }) => (CallAnswer::Response(head), Some(body)),
        Err(refusal) => (CallAnswer::Refused(refusal), None),
    }
}

/// Sends a body with backpressure; fails if the reader stalls for the idle timeout.
async fn send_body(
    core: &DaemonCore,
    mut sender: BodySender,
    body: Option<CallBody>,
) -> Result<()> {
    let Some(mut body) = body else {
        return sender.finish();
    };
    while let Some(chunk) = body.next().await {
        let sending = sender.send(chunk?);
        timeout(core.settings.idle_timeout(), sending)
            .await
            .map_err(|elapsed| KindError::new(ErrorKind::IdleTimeout, elapsed.to_string()))??;
    }
    sender.finish()
}
