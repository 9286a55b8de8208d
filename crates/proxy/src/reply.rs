//! Replies to callers.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use model::{ErrorKind, KindError};
use wire::BodyReceiver;

use crate::answer_body::BodyStream;
use crate::edge::EdgeProtocol;
use crate::message::{HeaderList, unpack_headers};

/// Reply to a caller.
pub type CallerReply = Response<ReplyBody>;

/// Body of a reply to a caller.
#[derive(Debug)]
pub enum ReplyBody {
    /// The complete body, if it has one.
    Whole(Option<Bytes>),
    /// The beginning of a long body and the peer connection that carries the rest.
    Peer(Option<Bytes>, BodyReceiver),
    /// A long body from the target beside this daemon.
    Own(Pin<Box<OwnStream>>),
}

type NextPiece =
    Pin<Box<dyn Future<Output = (Box<BodyStream>, Option<Result<Bytes, Box<str>>>)> + Send>>;

/// Body stream from the target beside this daemon.
pub struct OwnStream {
    next: Option<NextPiece>,
}

impl OwnStream {
    fn new(stream: Box<BodyStream>) -> Self {
        Self {
            next: Some(next_piece(stream)),
        }
    }
}

impl std::fmt::Debug for OwnStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OwnStream").finish_non_exhaustive()
    }
}

fn next_piece(mut stream: Box<BodyStream>) -> NextPiece {
    Box::pin(async move {
        let piece = stream.next().await;
        (stream, piece)
    })
}

impl ReplyBody {
    /// Creates a body that streams from the target beside this daemon.
    pub fn own(stream: Box<BodyStream>) -> Self {
        Self::Own(Box::pin(OwnStream::new(stream)))
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = KindError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, KindError>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Peer(first, receiver) => {
                if let Some(first) = first.take() {
                    return Poll::Ready(Some(Ok(Frame::data(first))));
                }
                let polled = receiver.poll_next(cx);
                polled.map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
            Self::Own(stream) => poll_own_stream(stream.as_mut(), cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Peer(..) | Self::Own(_) => SizeHint::default(),
        }
    }
}

fn poll_own_stream(
    mut stream: Pin<&mut OwnStream>,
    cx: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, KindError>>> {
    let Some(next) = &mut stream.next else {
        return Poll::Ready(None);
    };
    let (rest, piece) = std::task::ready!(next.as_mut().poll(cx));
    stream.next = None;
    Poll::Ready(match piece {
        None => None,
        Some(Ok(bytes)) => {
            stream.next = Some(next_piece(rest));
            Some(Ok(Frame::data(bytes)))
        }
        Some(Err(detail)) => Some(Err(KindError::new(ErrorKind::TargetFailed, detail))),
    })
}

/// Builds the reply that forwards a target's answer.
pub fn target_reply(status: u16, headers: &HeaderList, body: ReplyBody) -> CallerReply {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    match unpack_headers(headers) {
        Ok(unpacked) => *response.headers_mut() = unpacked,
        // They were valid headers at the other daemon, so the frame from it was corrupted.
        Err(error) => log::error!(cause:% = error; "headers of an answer were lost"),
    }
    response
}

/// Builds a reply that reports an error of the daemon itself.
pub fn error_reply(
    edge: &EdgeProtocol,
    kind: ErrorKind,
    retry_after: Option<Duration>,
) -> CallerReply {
    let mut response = Response::new(ReplyBody::Whole(None));
    *response.status_mut() = error_status(kind);
    let headers = response.headers_mut();
    headers.insert(
        "x-quetzal-error",
        HeaderValue::from_static(kind.properties().name),
    );
    if let Some(time) = retry_after {
        headers.insert(header::RETRY_AFTER, (edge.format_retry_after)(time));
    }
    response
}

/// Returns the HTTP status for `kind`.
///
/// A request that is stopped because it crashes targets gets the status of an
/// overload: it has not run, and 422 would ask the caller to correct it.
fn error_status(kind: ErrorKind) -> StatusCode {
    let status = match kind {
        ErrorKind::PoisonRequest => ErrorKind::Overloaded.properties().status,
        kind => kind.properties().status,
    };
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}
