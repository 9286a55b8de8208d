//! Replies to callers.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use model::{ErrorKind, KindError};

use crate::answer_pump::AnswerPieces;
use crate::edge::EdgeProtocol;
use crate::message::{HeaderList, unpack_headers};

/// Reply to a caller.
pub type CallerReply = Response<ReplyBody>;

/// Body of a reply to a caller.
#[derive(Debug)]
pub enum ReplyBody {
    /// The complete body, if it has one.
    Whole(Option<Bytes>),
    /// A long body, read piece by piece.
    Pieces(AnswerPieces),
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
            Self::Pieces(pieces) => {
                let polled = Pin::new(pieces).poll_next(cx);
                polled.map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
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
            Self::Pieces(_) => SizeHint::default(),
        }
    }
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
