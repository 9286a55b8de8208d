//! One exchange with the daemon beside a target.
//!
//! Nothing runs before the sender has ended its body. A request that may run
//! again is sent whole at once. One that must run at most once is ended only
//! when the other daemon has told that a place at the target is there: until
//! then a lost daemon or link proves that it has not run, and it can go to
//! another one. What is left in doubt is the time of the run itself.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use mesh::CallSafety;
use model::{ErrorKind, KindError};
use tokio::time::timeout;
use wire::{BodyReceiver, BodySender, PeerAnswer, PeerExchange};

use crate::core::ProxyCore;
use crate::message::{CallAnswer, CallHead, MAX_ANSWER_BYTES, PeerRequest};

/// Results within an exchange; the kinds are those of [`wire`].
type Result<T> = model::Result<T>;

/// Time for the first word of a daemon that holds no answer back; a lost one is noticed by
/// its link only after a second.
const FIRST_WORD_TIME: Duration = Duration::from_millis(400);

/// How an exchange ended.
#[derive(Debug)]
pub enum PeerOutcome {
    /// The other daemon answered; a body follows `Answered`.
    Answered(CallAnswer, BodyReceiver),
    /// Proven not to have run.
    NotRun(Box<str>),
    /// It may have run.
    Lost(Box<str>),
}

/// Sends a request to the daemon at `address`; dropping the future gives it up.
pub async fn call_peer(
    core: &ProxyCore,
    address: SocketAddr,
    head: &CallHead,
    body: Bytes,
) -> PeerOutcome {
    let message = PeerRequest::Call(Box::new(head.clone()));
    let exchange = match core.pool.open(address, &message).await {
        Ok(exchange) => exchange,
        // A head without the end of its body runs nothing.
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

/// Sends the body as soon as there is room for it, and waits for the answer.
async fn send_whole(
    exchange: PeerExchange,
    head: &CallHead,
    body: Bytes,
) -> Result<(CallAnswer, BodyReceiver)> {
    let PeerExchange { mut sender, answer } = exchange;
    let sending = async move {
        sender.send(body).await?;
        sender.finish()
    };
    if !head.expects_proceed() {
        return send_beside(sending, answer.head()).await;
    }
    match answer.head::<CallAnswer>().await? {
        (CallAnswer::Proceed, mut receiver) => {
            let answer = send_beside(sending, receiver.read_message(MAX_ANSWER_BYTES)).await?;
            Ok((answer, receiver))
        }
        refused => Ok(refused),
    }
}

/// Ends the body only once there is a place at the target.
async fn send_when_admitted(exchange: PeerExchange, head: &CallHead, body: Bytes) -> PeerOutcome {
    let PeerExchange { mut sender, answer } = exchange;
    let mut receiver = match place_call(&mut sender, answer, head, body).await {
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

/// Sends the body without its end and waits until there is a place, or none.
async fn place_call(
    sender: &mut BodySender,
    answer: PeerAnswer,
    head: &CallHead,
    body: Bytes,
) -> Result<(CallAnswer, BodyReceiver)> {
    let (mut answer, mut receiver) = if head.expects_proceed() {
        match first_word(answer).await? {
            (CallAnswer::Proceed, mut receiver) => {
                let next = receiver.read_message(MAX_ANSWER_BYTES);
                (send_beside(sender.send(body), next).await?, receiver)
            }
            refused => return Ok(refused),
        }
    } else {
        send_beside(sender.send(body), first_word(answer)).await?
    };
    while matches!(answer, CallAnswer::Waiting) {
        answer = receiver.read_message(MAX_ANSWER_BYTES).await?;
    }
    Ok((answer, receiver))
}

async fn first_word(answer: PeerAnswer) -> Result<(CallAnswer, BodyReceiver)> {
    let told = timeout(FIRST_WORD_TIME, answer.head()).await;
    told.unwrap_or_else(|_elapsed| {
        let detail = "the daemon beside the target said nothing";
        Err(KindError::new(ErrorKind::PeerUnavailable, detail))
    })
}

/// Sends a body while the answer may already come: the other daemon may refuse before it
/// has taken the body.
async fn send_beside<T>(
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
