//! Streaming bodies of requests and responses.
//!
//! A [`CallBody`] applies backpressure: nothing is read from its source before the receiver
//! polls for it. Limits on size and idle time are enforced where a body enters the system.
//! Callbacks report how a body ended.

use std::fmt;
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use model::{ErrorKind, KindError};
use tokio::time::{Instant, Sleep, sleep};
use wire::BodyReceiver;

/// Result of reading a body.
///
/// Kinds: `BodyTooLarge`, `IdleTimeout`, `CallerGone`, `TargetFailed`, `OutcomeUnknown`.
pub type Result<T> = model::Result<T>;

/// Source of a body's bytes.
#[derive(Debug)]
enum BodySource {
    Buffered(Bytes),
    Caller(Incoming),
    Peer(BodyReceiver),
    Target(Incoming),
}

/// How a body ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyEnd {
    /// All bytes were received; a body held in memory may have been dropped unread.
    Complete,
    /// The source failed or exceeded a limit.
    Failed,
    /// The body was dropped before its end.
    Dropped,
}

/// Limits on a body that enters the system.
#[derive(Clone, Copy, Debug)]
pub struct BodyBounds {
    /// Maximum size in bytes.
    pub max_bytes: u64,
    /// Time without a byte after which the body fails.
    pub idle_timeout: Duration,
}

struct LimitState {
    bounds: BodyBounds,
    received: u64,
    idle: Pin<Box<Sleep>>,
}

/// Holds the error that ended a body, once there is one.
pub type BodyErrorCell = Arc<OnceLock<KindError>>;

type EndCallback = Box<dyn FnOnce(BodyEnd) + Send>;

/// A streaming body of a request or response.
pub struct CallBody {
    /// Bytes that were read ahead from `source` and are returned before it.
    buffered: Bytes,
    source: BodySource,
    limit: Option<LimitState>,
    end_callback: Option<EndCallback>,
    error_cell: Option<BodyErrorCell>,
    ended: bool,
}

impl fmt::Debug for CallBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallBody")
            .field("source", &self.source)
            .field("ended", &self.ended)
            .finish_non_exhaustive()
    }
}

impl CallBody {
    fn new(source: BodySource) -> Self {
        Self {
            buffered: Bytes::new(),
            source,
            limit: None,
            end_callback: None,
            error_cell: None,
            ended: false,
        }
    }

    /// Returns a body that is held in memory.
    pub fn from_bytes(bytes: impl Into<Bytes>) -> Self {
        Self::new(BodySource::Buffered(bytes.into()))
    }

    /// Returns a body from a caller, limited by `bounds`.
    pub fn from_caller(incoming: Incoming, bounds: BodyBounds) -> Self {
        Self::new(BodySource::Caller(incoming)).with_limits(bounds)
    }

    /// Returns a body from another daemon.
    pub fn from_peer(receiver: BodyReceiver) -> Self {
        Self::new(BodySource::Peer(receiver))
    }

    /// Returns a body from a target, limited by `bounds`.
    pub fn from_target(incoming: Incoming, bounds: BodyBounds) -> Self {
        Self::new(BodySource::Target(incoming)).with_limits(bounds)
    }

    fn with_limits(mut self, bounds: BodyBounds) -> Self {
        self.limit = Some(LimitState {
            bounds,
            received: 0,
            idle: Box::pin(sleep(bounds.idle_timeout)),
        });
        self
    }

    /// Adds a callback that runs once, when the body ends or is dropped.
    #[must_use]
    pub fn on_end(mut self, callback: impl FnOnce(BodyEnd) + Send + 'static) -> Self {
        let earlier = self.end_callback.take();
        self.end_callback = Some(Box::new(move |end| {
            if let Some(earlier) = earlier {
                earlier(end);
            }
            callback(end);
        }));
        self
    }

    /// Returns the cell that receives the error if this body fails.
    pub fn error_cell(&mut self) -> BodyErrorCell {
        Arc::clone(self.error_cell.get_or_insert_default())
    }

    /// Returns the next bytes, or `None` at the end.
    pub async fn next(&mut self) -> Option<Result<Bytes>> {
        std::future::poll_fn(|context| self.poll_chunk(context)).await
    }

    /// Buffers bytes until the body ends or exceeds `max_bytes`; returns whether it ended.
    ///
    /// The buffered bytes remain part of the body.
    pub async fn read_ahead(&mut self, max_bytes: usize) -> Result<bool> {
        let mut buffered = BytesMut::from(&*std::mem::take(&mut self.buffered));
        while buffered.len() <= max_bytes {
            let Some(chunk) = self.next().await else {
                self.source = BodySource::Buffered(buffered.freeze());
                // The buffered bytes are still to be read.
                self.ended = false;
                return Ok(true);
            };
            buffered.extend_from_slice(&chunk?);
        }
        self.buffered = buffered.freeze();
        Ok(false)
    }

    /// Returns the bytes of a body that is fully in memory, or else those buffered so far.
    pub fn bytes(&self) -> &Bytes {
        match &self.source {
            BodySource::Buffered(bytes) => bytes,
            _ => &self.buffered,
        }
    }

    /// Returns a copy of the body if it is fully in memory.
    pub fn try_clone(&self) -> Option<Self> {
        match &self.source {
            BodySource::Buffered(bytes) => Some(Self::from_bytes(bytes.clone())),
            _ => None,
        }
    }

    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        if !self.buffered.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.buffered))));
        }
        let chunk = ready!(self.poll_limited(context));
        match &chunk {
            None => self.end(BodyEnd::Complete),
            Some(Err(error)) => {
                if let Some(error_cell) = &self.error_cell {
                    // Keeps the first error, which is the cause of later ones.
                    drop(error_cell.set(error.clone()));
                }
                self.end(BodyEnd::Failed);
            }
            Some(Ok(_)) => {}
        }
        Poll::Ready(chunk)
    }

    fn poll_limited(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes>>> {
        match self.source.poll_chunk(context) {
            Poll::Ready(Some(Ok(chunk))) => {
                Poll::Ready(Some(count_received(self.limit.as_mut(), chunk)))
            }
            Poll::Ready(other) => Poll::Ready(other),
            Poll::Pending => poll_idle(self.limit.as_mut(), context),
        }
    }

    fn end(&mut self, end: BodyEnd) {
        self.ended = true;
        if let Some(callback) = self.end_callback.take() {
            callback(end);
        }
    }
}

fn count_received(limit: Option<&mut LimitState>, chunk: Bytes) -> Result<Bytes> {
    let Some(limit) = limit else { return Ok(chunk) };
    limit.received += chunk.len() as u64;
    let idle_deadline = Instant::now() + limit.bounds.idle_timeout;
    limit.idle.as_mut().reset(idle_deadline);
    let detail = format!("the body has more than {} bytes", limit.bounds.max_bytes);
    model::ensure(
        limit.received <= limit.bounds.max_bytes,
        ErrorKind::BodyTooLarge,
        &detail,
    )?;
    Ok(chunk)
}

fn poll_idle(
    limit: Option<&mut LimitState>,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Bytes>>> {
    let Some(limit) = limit else {
        return Poll::Pending;
    };
    ready!(limit.idle.as_mut().poll(context));
    let detail = format!("the body sent no byte for {:?}", limit.bounds.idle_timeout);
    Poll::Ready(Some(Err(KindError::new(ErrorKind::IdleTimeout, detail))))
}

impl BodySource {
    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes>>> {
        match self {
            Self::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Buffered(bytes) => Poll::Ready(Some(Ok(std::mem::take(bytes)))),
            Self::Peer(receiver) => receiver.poll_next(context),
            Self::Caller(incoming) => poll_incoming(incoming, context, ErrorKind::CallerGone),
            Self::Target(incoming) => poll_incoming(incoming, context, ErrorKind::TargetFailed),
        }
    }
}

fn poll_incoming(
    incoming: &mut Incoming,
    context: &mut Context<'_>,
    kind: ErrorKind,
) -> Poll<Option<Result<Bytes>>> {
    loop {
        let frame = match ready!(Pin::new(&mut *incoming).poll_frame(context)) {
            None => return Poll::Ready(None),
            Some(Ok(frame)) => frame,
            Some(Err(error)) => {
                let error = KindError::new(kind, error.to_string());
                return Poll::Ready(Some(Err(error)));
            }
        };
        // Trailers are not forwarded.
        if let Ok(chunk) = frame.into_data() {
            return Poll::Ready(Some(Ok(chunk)));
        }
    }
}

impl Body for CallBody {
    type Data = Bytes;
    type Error = KindError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, KindError>>> {
        let chunk = ready!(self.poll_chunk(cx));
        Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.ended || matches!(&self.source, BodySource::Buffered(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            BodySource::Caller(incoming) | BodySource::Target(incoming)
                if self.buffered.is_empty() =>
            {
                incoming.size_hint()
            }
            _ => SizeHint::default(),
        }
    }
}

impl Drop for CallBody {
    fn drop(&mut self) {
        if !self.ended {
            let complete = matches!(&self.source, BodySource::Buffered(_));
            self.end(if complete {
                BodyEnd::Complete
            } else {
                BodyEnd::Dropped
            });
        }
    }
}
