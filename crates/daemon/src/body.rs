//! Bodies of calls and answers on their way through a daemon.
//!
//! A [`CallBody`] flows at the speed of its slowest part: nothing is read
//! from its source before the other side asks for it. Bounds on size and on
//! time without a byte are kept where a body enters the system, and whoever
//! needs to know how a body ended watches it.

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

/// Results of reading a body.
///
/// Kinds: `BodyTooLarge`, `IdleTimeout`, `CallerGone`, `TargetFailed`, `OutcomeUnknown`.
pub type Result<T> = model::Result<T>;

/// Where a body comes from.
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
    /// To its last byte.
    Complete,
    /// Its source failed or broke a bound.
    Failed,
    /// Its reader left first.
    Dropped,
}

/// Bounds on a body that enters the system.
#[derive(Clone, Copy, Debug)]
pub struct BodyBounds {
    /// Largest size in bytes.
    pub max_bytes: u64,
    /// Longest time without a byte.
    pub idle_timeout: Duration,
}

struct BoundState {
    bounds: BodyBounds,
    received: u64,
    idle: Pin<Box<Sleep>>,
}

/// The error that broke a body, once one has.
pub type BodyErrorCell = Arc<OnceLock<KindError>>;

type EndWatch = Box<dyn FnOnce(BodyEnd) + Send>;

/// A body on its way.
pub struct CallBody {
    early: Bytes,
    source: BodySource,
    bound: Option<BoundState>,
    watch: Option<EndWatch>,
    fault: Option<BodyErrorCell>,
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
            early: Bytes::new(),
            source,
            bound: None,
            watch: None,
            fault: None,
            ended: false,
        }
    }

    /// A body in memory.
    pub fn from_bytes(bytes: impl Into<Bytes>) -> Self {
        Self::new(BodySource::Buffered(bytes.into()))
    }

    /// A body from a caller, within `bounds`.
    pub fn from_caller(incoming: Incoming, bounds: BodyBounds) -> Self {
        Self::new(BodySource::Caller(incoming)).bounded(bounds)
    }

    /// A body from another daemon.
    pub fn from_peer(receiver: BodyReceiver) -> Self {
        Self::new(BodySource::Peer(receiver))
    }

    /// A body from a target, within `bounds`.
    pub fn from_target(incoming: Incoming, bounds: BodyBounds) -> Self {
        Self::new(BodySource::Target(incoming)).bounded(bounds)
    }

    fn bounded(mut self, bounds: BodyBounds) -> Self {
        self.bound = Some(BoundState {
            bounds,
            received: 0,
            idle: Box::pin(sleep(bounds.idle_timeout)),
        });
        self
    }

    /// Calls `watch` once, when the body has ended or is dropped.
    #[must_use]
    pub fn on_end(mut self, watch: impl FnOnce(BodyEnd) + Send + 'static) -> Self {
        let before = self.watch.take();
        self.watch = Some(Box::new(move |end| {
            if let Some(before) = before {
                before(end);
            }
            watch(end);
        }));
        self
    }

    /// Where the error that breaks this body will be found.
    pub fn error_cell(&mut self) -> BodyErrorCell {
        Arc::clone(self.fault.get_or_insert_default())
    }

    /// The next bytes, or nothing at the end.
    pub async fn next(&mut self) -> Option<Result<Bytes>> {
        std::future::poll_fn(|context| self.poll_chunk(context)).await
    }

    /// Reads up to `max_bytes` ahead; true if that is the whole body.
    ///
    /// What was read stays in the body.
    pub async fn read_ahead(&mut self, max_bytes: usize) -> Result<bool> {
        let mut early = BytesMut::from(&*std::mem::take(&mut self.early));
        while early.len() <= max_bytes {
            let Some(chunk) = self.next().await else {
                self.source = BodySource::Buffered(early.freeze());
                self.ended = false;
                return Ok(true);
            };
            early.extend_from_slice(&chunk?);
        }
        self.early = early.freeze();
        Ok(false)
    }

    /// The bytes of a body that is whole in memory, or those read ahead.
    pub fn bytes(&self) -> &Bytes {
        match &self.source {
            BodySource::Buffered(bytes) => bytes,
            _ => &self.early,
        }
    }

    /// A copy of a body that is whole in memory.
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
        if !self.early.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.early))));
        }
        let chunk = ready!(self.poll_bounded(context));
        match &chunk {
            None => self.end(BodyEnd::Complete),
            Some(Err(error)) => {
                if let Some(fault) = &self.fault {
                    // Only the first error is the cause.
                    drop(fault.set(error.clone()));
                }
                self.end(BodyEnd::Failed);
            }
            Some(Ok(_)) => {}
        }
        Poll::Ready(chunk)
    }

    fn poll_bounded(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes>>> {
        match self.source.poll_chunk(context) {
            Poll::Ready(Some(Ok(chunk))) => {
                Poll::Ready(Some(count_chunk(self.bound.as_mut(), chunk)))
            }
            Poll::Ready(other) => Poll::Ready(other),
            Poll::Pending => poll_idle(self.bound.as_mut(), context),
        }
    }

    fn end(&mut self, end: BodyEnd) {
        self.ended = true;
        if let Some(watch) = self.watch.take() {
            watch(end);
        }
    }
}

fn count_chunk(bound: Option<&mut BoundState>, chunk: Bytes) -> Result<Bytes> {
    let Some(bound) = bound else { return Ok(chunk) };
    bound.received += chunk.len() as u64;
    let wake = Instant::now() + bound.bounds.idle_timeout;
    bound.idle.as_mut().reset(wake);
    let detail = format!("more than {} bytes", bound.bounds.max_bytes);
    model::ensure(
        bound.received <= bound.bounds.max_bytes,
        ErrorKind::BodyTooLarge,
        &detail,
    )?;
    Ok(chunk)
}

fn poll_idle(
    bound: Option<&mut BoundState>,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Bytes>>> {
    let Some(bound) = bound else {
        return Poll::Pending;
    };
    ready!(bound.idle.as_mut().poll(context));
    let detail = format!("no byte for {:?}", bound.bounds.idle_timeout);
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
        // Trailers are not passed on; a frame of them is skipped.
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
                if self.early.is_empty() =>
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
            let whole = matches!(&self.source, BodySource::Buffered(_));
            self.end(if whole {
                BodyEnd::Complete
            } else {
                BodyEnd::Dropped
            });
        }
    }
}
