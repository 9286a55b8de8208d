//! What other daemons send.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use mesh::link::LinkRoom;
use model::{ByteCount, ErrorKind, KindError};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use wire::{BodyReceiver, BodySender, PeerResponder, PeerStream, WireLimits};

use crate::core::ProxyCore;
use crate::membership::MembershipDesk;
use crate::message::{CallAnswer, CallHead, ConfigAnswer, MAX_ANSWER_BYTES, PeerHead};
use crate::runner::{RunBody, RunEnd, TargetCall, run_call};

/// Results of an exchange; the kinds are those of [`wire`].
type Result<T> = model::Result<T>;

/// Serves other daemons until `token` is cancelled.
pub async fn serve_inbound(
    core: Arc<ProxyCore>,
    members: MembershipDesk,
    listener: TcpListener,
    limits: WireLimits,
    token: CancellationToken,
) {
    let handle = move |stream: PeerStream<PeerHead>| {
        let (core, members) = (Arc::clone(&core), members.clone());
        async move {
            if let Err(error) = handle_stream(&core, &members, stream).await {
                log::debug!(cause:% = error; "exchange with a peer broke");
            }
        }
    };
    let refused = |error| log::warn!(cause:% = error; "peer refused");
    wire::serve_peers(listener, limits, token, handle, refused).await;
}

async fn handle_stream(
    core: &Arc<ProxyCore>,
    members: &MembershipDesk,
    stream: PeerStream<PeerHead>,
) -> Result<()> {
    let PeerStream {
        head,
        receiver,
        responder,
        ..
    } = stream;
    match head {
        PeerHead::Call(head) => serve_call(core, *head, receiver, responder).await,
        PeerHead::Members { from, bytes } => {
            members.receive(from, bytes);
            responder.acknowledge()
        }
        PeerHead::Poison(message) => {
            let outputs = core.poison().on_message(&message);
            core.send_poison(outputs);
            responder.acknowledge()
        }
        PeerHead::Config { have } => {
            let answer = ConfigAnswer {
                update: core.keeper().update_for(have),
                age: core.follow.age(core.clock.now()),
            };
            responder.answer_whole(&answer).await
        }
        PeerHead::News { from, version } => {
            if core.keeper().version() < Some(version) {
                core.follow.note_news(from, version);
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
    let room = match core.link.admit(head.body_size, head.remaining) {
        Ok(room) => room,
        Err(retry_after) => return refuse_body(core, retry_after, responder).await,
    };
    let mut responder = if head.waits_for_room() {
        CallResponder::Begun(responder.answer(&CallAnswer::Proceed).await?)
    } else {
        CallResponder::Fresh(responder)
    };
    let body = read_body(&mut receiver, room, head.body_size).await?;
    let call = TargetCall { head, body, since };
    let end = tokio::select! {
        end = run_call(core, call) => end,
        // Dropping the run closes its connection to the target.
        () = responder.abandoned() => return Ok(()),
    };
    let load = core.desk.load();
    match end {
        RunEnd::Refused(refusal) => {
            let answer = CallAnswer::Refused {
                kind: refusal.kind,
                arrived: refusal.arrived,
                retry_after: refusal.retry_after,
                load,
            };
            responder.answer_whole(&answer).await
        }
        RunEnd::Broken(detail) => {
            let answer = CallAnswer::Broken { detail, load };
            responder.answer_whole(&answer).await
        }
        RunEnd::Answered(answer) => {
            let head = CallAnswer::Answered {
                status: answer.status.as_u16(),
                headers: answer.headers,
                called: answer.called,
                starved: answer.starved,
                waited: answer.waited,
                load,
            };
            let mut sender = responder.answer(&head).await?;
            match answer.body {
                RunBody::Whole(bytes) => sender.send(bytes).await?,
                RunBody::Stream(mut stream) => {
                    while let Some(piece) = stream.next().await {
                        // A sender that is dropped resets the stream: the peer sees a broken body.
                        let piece = piece
                            .map_err(|detail| KindError::new(ErrorKind::TargetFailed, detail))?;
                        sender.send(piece).await?;
                    }
                }
            }
            sender.finish()
        }
    }
}

/// The way to answer a call, whether or not it was told to send its body.
#[derive(Debug)]
enum CallResponder {
    Fresh(PeerResponder),
    Begun(BodySender),
}

impl CallResponder {
    async fn answer(self, answer: &CallAnswer) -> Result<BodySender> {
        match self {
            Self::Fresh(responder) => responder.answer(answer).await,
            Self::Begun(mut sender) => {
                sender.send_message(answer, MAX_ANSWER_BYTES).await?;
                Ok(sender)
            }
        }
    }

    async fn answer_whole(self, answer: &CallAnswer) -> Result<()> {
        self.answer(answer).await?.finish()
    }

    /// Waits until the peer has given up the call.
    async fn abandoned(&mut self) {
        match self {
            Self::Fresh(responder) => responder.abandoned().await,
            Self::Begun(sender) => sender.closed().await,
        }
    }
}

/// Refuses a body that the link has no room for, before it is sent.
async fn refuse_body(
    core: &ProxyCore,
    retry_after: Duration,
    responder: PeerResponder,
) -> Result<()> {
    let answer = CallAnswer::Refused {
        kind: ErrorKind::QueueFull,
        arrived: false,
        retry_after: Some(retry_after),
        load: core.desk.load(),
    };
    responder.answer_whole(&answer).await
}

/// Reads a body of the announced `size`.
async fn read_body(
    receiver: &mut BodyReceiver,
    mut room: LinkRoom,
    size: ByteCount,
) -> Result<Bytes> {
    let mut body = BytesMut::new();
    while let Some(piece) = receiver.next().await {
        let piece = piece?;
        room.arrived(piece.len());
        body.extend_from_slice(&piece);
        if body.len() as u64 > size.0 {
            break;
        }
    }
    if body.len() as u64 != size.0 {
        let detail = format!("a body of {size} bytes was announced, {} came", body.len());
        return Err(KindError::new(ErrorKind::FrameInvalid, detail));
    }
    Ok(body.freeze())
}
