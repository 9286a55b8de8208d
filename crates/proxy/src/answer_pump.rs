//! Forwards a long answer at the pace of its caller, until the caller's deadline.
//!
//! The HTTP server asks for the next piece of a body only when the caller has
//! taken enough of it. A caller that reads nothing would therefore hold the slot
//! at the target, and its share of the connection between two daemons, for as
//! long as it likes. A task of its own reads the pieces, so that the answer ends
//! with the deadline whatever the caller does.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use bytes::Bytes;
use model::{ErrorKind, KindError};
use tokio::sync::mpsc;
use tokio::time::timeout_at;
use tokio_util::task::TaskTracker;
use wire::BodyReceiver;

use crate::answer_body::BodyStream;

/// Result of reading a piece; errors are of kind `TargetFailed`, or those of [`wire`].
type Result<T> = model::Result<T>;

/// Pieces that wait for the caller.
const WAITING_PIECES: usize = 2;

/// Where the pieces of an answer come from.
#[derive(Debug)]
pub enum AnswerSource {
    /// The target beside this daemon.
    Own(Box<BodyStream>),
    /// Another daemon, after the beginning that was already read.
    Peer(Option<Bytes>, BodyReceiver),
}

/// What the pump hands over.
#[derive(Debug)]
enum PumpItem {
    Piece(Result<Bytes>),
    /// The answer is complete.
    End,
}

/// Pieces of a long answer, in order.
#[derive(Debug)]
pub struct AnswerPieces {
    items: mpsc::Receiver<PumpItem>,
    has_ended: bool,
}

impl AnswerPieces {
    /// Reads `source` in a task of `tasks` until its end, its caller leaves, or `deadline` passes.
    pub fn pump(source: AnswerSource, deadline: Instant, tasks: &TaskTracker) -> Self {
        let (sender, items) = mpsc::channel(WAITING_PIECES);
        tasks.spawn(forward(source, deadline, sender));
        Self {
            items,
            has_ended: false,
        }
    }

    /// Polls for the next piece; `None` after the end of a complete answer.
    pub fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let item = ready!(self.items.poll_recv(context));
        self.has_ended = !matches!(item, Some(PumpItem::Piece(Ok(_))));
        Poll::Ready(match item {
            Some(PumpItem::Piece(piece)) => Some(piece),
            Some(PumpItem::End) => None,
            // An answer that ends early must not look complete.
            None => Some(Err(KindError::new(
                ErrorKind::TargetFailed,
                "the answer was not taken in time",
            ))),
        })
    }
}

async fn forward(mut source: AnswerSource, deadline: Instant, sender: mpsc::Sender<PumpItem>) {
    loop {
        let next = tokio::select! {
            next = source.next() => next,
            () = sender.closed() => return,
        };
        let is_last = !matches!(next, Some(Ok(_)));
        let item = next.map_or(PumpItem::End, PumpItem::Piece);
        // A failure to send means that the caller has left.
        let taken = timeout_at(deadline.into(), sender.send(item)).await;
        if taken.is_err() {
            source.give_up();
            return;
        }
        if is_last || taken.is_ok_and(|sent| sent.is_err()) {
            return;
        }
    }
}

impl AnswerSource {
    async fn next(&mut self) -> Option<Result<Bytes>> {
        match self {
            Self::Own(stream) => {
                let piece = stream.next().await?;
                Some(piece.map_err(|detail| KindError::new(ErrorKind::TargetFailed, detail)))
            }
            Self::Peer(first, receiver) => match first.take() {
                Some(first) => Some(Ok(first)),
                None => receiver.next().await,
            },
        }
    }

    /// Ends an answer that its caller does not take.
    fn give_up(&mut self) {
        match self {
            Self::Own(stream) => stream.give_up(),
            Self::Peer(..) => log::warn!("answer not taken in time"),
        }
    }
}
