//! One attempt of a call on a target, either a local one or through its daemon.

use std::sync::Arc;
use std::time::Duration;

use model::{DaemonId, ErrorKind, KindError};
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;
use wire::BodySender;

use crate::body::CallBody;
use crate::core::DaemonCore;
use crate::local_targets::{Result, TargetAnswer};
use crate::peer_messages::{CallAnswer, CallHead, CallRefusal, PeerRequest};

/// Maximum size of an answer's head in bytes.
const MAX_ANSWER_HEAD_BYTES: usize = 256 << 10;
/// Time after the deadline in which a refusal of the target's daemon can still arrive.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);

/// Sends a call to its target's daemon and waits for the head of the answer.
///
/// A streamed `body` is taken only once the call has its slot; if a refusal leaves it in place,
/// the call can be sent elsewhere. A buffered body is sent at once, of which the calling
/// function keeps a copy to send elsewhere.
pub async fn forward(
    core: &Arc<DaemonCore>,
    daemon: DaemonId,
    head: &CallHead,
    body: &mut Option<CallBody>,
) -> Result<TargetAnswer> {
    if daemon == core.id {
        return run_locally(core, head, body).await;
    }
    let sending = send_to_peer(
        core,
        daemon,
        PeerRequest::Call(Box::new(head.clone())),
        body,
    );
    let answered = timeout(head.remaining + ANSWER_MARGIN, sending).await;
    answered.unwrap_or_else(|_| {
        Err(outcome_unknown(
            "the target's daemon did not answer before the deadline",
        ))
    })
}

async fn run_locally(
    core: &Arc<DaemonCore>,
    head: &CallHead,
    body: &mut Option<CallBody>,
) -> Result<TargetAnswer> {
    let admitted = core.local_targets.admit(head).await?;
    let body = body
        .take()
        .unwrap_or_else(|| CallBody::from_bytes(Vec::new()));
    core.local_targets.run(core, admitted, head, body).await
}

/// Sends `request` to another daemon; a streamed body follows once the call is admitted.
pub async fn send_to_peer(
    core: &Arc<DaemonCore>,
    daemon: DaemonId,
    request: PeerRequest,
    body: &mut Option<CallBody>,
) -> Result<TargetAnswer> {
    let address = core.address_of(daemon)?;
    let exchange = core.pool.open(address, &request).await?;
    let mut sender = Some(exchange.sender);
    let mut upload = None;
    if body.as_ref().is_none_or(|body| body.try_clone().is_some()) {
        upload = start_upload(core, &mut sender, body.take());
    }
    let read = exchange.response.head::<CallAnswer>().await;
    let (mut answer, mut receiver) = read.map_err(error_after_sending)?;
    if matches!(answer, CallAnswer::Admitted) {
        upload = upload.or_else(|| start_upload(core, &mut sender, body.take()));
        let read = receiver.read_message(MAX_ANSWER_HEAD_BYTES).await;
        answer = read.map_err(error_after_sending)?;
    }
    match answer {
        CallAnswer::Response(head) => Ok(TargetAnswer {
            head,
            // The upload may continue while the answer is read and is aborted when the answer ends.
            body: CallBody::from_peer(receiver).on_end(move |_| drop(upload)),
        }),
        CallAnswer::Refused(refusal) => Err(refusal),
        CallAnswer::Admitted => Err(outcome_unknown(
            "the peer sent a second admission of the call",
        )),
    }
}

fn start_upload(
    core: &Arc<DaemonCore>,
    sender: &mut Option<BodySender>,
    body: Option<CallBody>,
) -> Option<AbortOnDropHandle<()>> {
    let sender = sender.take()?;
    let body = body.unwrap_or_else(|| CallBody::from_bytes(Vec::new()));
    let task = core.tasks.spawn(upload(sender, body));
    Some(AbortOnDropHandle::new(task))
}

/// Copies a body to a peer; the stream is reset if the body fails.
async fn upload(mut sender: BodySender, mut body: CallBody) {
    while let Some(chunk) = body.next().await {
        let Ok(chunk) = chunk else { return };
        if sender.send(chunk).await.is_err() {
            return;
        }
    }
    // An error here also fails the answer.
    drop(sender.finish());
}

/// Converts an error that occurred after the request was sent.
///
/// Only the peer's refusal of the stream proves that the request was not processed; an
/// answer that cannot be read proves nothing.
fn error_after_sending(error: KindError) -> KindError {
    if error.kind == ErrorKind::PeerUnavailable {
        return error;
    }
    KindError::new(ErrorKind::OutcomeUnknown, error.to_string())
}

fn outcome_unknown(detail: &str) -> CallRefusal {
    KindError::new(ErrorKind::OutcomeUnknown, detail).into()
}
