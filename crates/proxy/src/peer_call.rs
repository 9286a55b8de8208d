//! Sends one request to the daemon beside a target.
//!
//! A request does not run before its sender has ended the body. An idempotent
//! request is sent completely as soon as the link has room for its body. The
//! body of an at-most-once request is ended only after the other daemon has
//! reserved a slot at the target. If the daemon or the link is lost before
//! that, the request has provably not run and can be sent to another daemon;
//! only a loss during the run leaves its outcome unknown.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use mesh::CallSafety;
use model::{ErrorKind, KindError};
use tokio::time::timeout;
use wire::{BodyReceiver, BodySender, PeerExchange, PeerResponse};

use crate::core::ProxyCore;
use crate::message::{CallAnswer, CallHead, MAX_ANSWER_BYTES, PeerRequest};

/// Result within an exchange; errors are of the kinds that [`wire`] returns.
type Result<T> = model::Result<T>;

/// Time for the first answer to an at-most-once call. A daemon that can't admit the call at once
/// sends [`CallAnswer::Waiting`]; without this timeout the loss of a daemon would be noticed only
/// after a second, when its connection fails.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Outcome of an exchange.
#[derive(Debug)]
pub enum PeerOutcome {
    /// The other daemon answered; a body follows [`CallAnswer::Answered`].
    Answered(CallAnswer, BodyReceiver),
    /// The exchange failed and the request has provably not run.
    NotRun(Box<str>),
    /// The exchange failed and the request may have run.
    Lost(Box<str>),
}

/// Sends a request to the daemon at `address`; dropping the future cancels it.
pub async fn call_peer(
    core: &ProxyCore,
    address: SocketAddr,
    head: &CallHead,
    body: Bytes,
) -> PeerOutcome {
    let message = PeerRequest::Call(Box::new(head.clone()));
    let exchange = match core.pool.open(address, &message).await {
        Ok(exchange) => exchange,
        // A request whose body has not ended does not run.
        Err(error) => return PeerOutcome::NotRun(error.detail),
    };
    match head.safety {
        CallSafety::Idempotent => match send_whole(exchange, head, body).await {
            Ok((answer, receiver)) => PeerOutcome::Answered(answer, receiver),
            Err(error) => PeerOutcome::Lost(error.detail),
        },
        CallSafety::AtMostOnce => send_when_admitted(exchange, head, body).await,
    }
}

/// Sends the whole body as soon as the link has room for it, and waits for the answer.
async fn send_whole(
    exchange: PeerExchange,
    head: &CallHead,
    body: Bytes,
) -> Result<(CallAnswer, BodyReceiver)> {
    let PeerExchange {
        mut sender,
        response: answer,
    } = exchange;
    let sending = async move {
        sender.send(body).await?;
        sender.finish()
    };
    if !head.expects_proceed() {
        return send_while_answering(sending, answer.head()).await;
    }
    match answer.head::<CallAnswer>().await? {
        (CallAnswer::Proceed, mut receiver) => {
            let answer =
                send_while_answering(sending, receiver.read_message(MAX_ANSWER_BYTES)).await?;
            Ok((answer, receiver))
        }
        refused => Ok(refused),
    }
}

/// Sends the body, but ends it only once a slot at the target is reserved.
async fn send_when_admitted(exchange: PeerExchange, head: &CallHead, body: Bytes) -> PeerOutcome {
    let PeerExchange {
        mut sender,
        response: answer,
    } = exchange;
    let mut receiver = match await_admission(&mut sender, answer, head, body).await {
        Ok((CallAnswer::Admitted, receiver)) => receiver,
        Ok((answer, receiver)) => return PeerOutcome::Answered(answer, receiver),
        Err(error) => return PeerOutcome::NotRun(error.detail),
    };
    if let Err(error) = sender.finish() {
        return PeerOutcome::NotRun(error.detail);
    }
    match receiver.read_message(MAX_ANSWER_BYTES).await {
        Ok(answer) => PeerOutcome::Answered(answer, receiver),
        Err(error) => PeerOutcome::Lost(error.detail),
    }
}

/// Sends the body without ending it and waits until a slot is reserved or refused.
async fn await_admission(
    sender: &mut BodySender,
    answer: PeerResponse,
    head: &CallHead,
    body: Bytes,
) -> Result<(CallAnswer, BodyReceiver)> {
    let (mut answer, mut receiver) = if head.expects_proceed() {
        match first_answer(answer).await? {
            (CallAnswer::Proceed, mut receiver) => {
                let next = receiver.read_message(MAX_ANSWER_BYTES);
                (
                    send_while_answering(sender.send(body), next).await?,
                    receiver,
                )
            }
            refused => return Ok(refused),
        }
    } else {
        send_while_answering(sender.send(body), first_answer(answer)).await?
    };
    while matches!(answer, CallAnswer::Waiting) {
        answer = receiver.read_message(MAX_ANSWER_BYTES).await?;
    }
    Ok((answer, receiver))
}

async fn first_answer(answer: PeerResponse) -> Result<(CallAnswer, BodyReceiver)> {
    let first = timeout(FIRST_ANSWER_TIMEOUT, answer.head()).await;
    first.unwrap_or_else(|_elapsed| {
        let detail = "the daemon beside the target sent nothing in time";
        Err(KindError::new(ErrorKind::PeerUnavailable, detail))
    })
}

/// Sends a body and waits for the answer at the same time, since the other daemon may refuse
/// the request before it has read the body.
async fn send_while_answering<T>(
    sending: impl Future<Output = Result<()>>,
    answering: impl Future<Output = Result<T>>,
) -> Result<T> {
    let mut answering = pin!(answering);
    tokio::select! {
        answered = &mut answering => answered,
        sent = sending => {
            if let Err(error) = sent {
                log::debug!(cause:% = error; "body not taken");
            }
            answering.await
        }
    }
}
