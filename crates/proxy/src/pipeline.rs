//! Starts pipelined requests before their turn.
//!
//! hyper serves the requests of a connection one after the other.
//! [`PipelinedSocket`] stands between it and the socket. It passes bytes on only up to the end of
//! the request that is being served and reads ahead behind it. Each complete request found there
//! that may run beside those before it is started at once; hyper receives its bytes when its
//! turn comes, and the service function, [`Pipeline::answer`], then finds the answer begun.
//!
//! Everything else waits for its turn: requests that have a body, use a method other than GET and
//! HEAD, are on a route that is not idempotent, or want the connection closed. What follows a
//! request whose end is not known from its head (a chunked body, `Expect`, an upgrade, an
//! unreadable head) passes through unread until the connection ends.

use std::collections::VecDeque;
use std::fmt;
use std::future::pending;
use std::io;
use std::panic::resume_unwind;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};

use bytes::{Buf, Bytes, BytesMut};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, Uri, Version, header, request,
};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{Either, Empty};
use hyper::body::Incoming;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinHandle;
use tokio_util::task::AbortOnDropHandle;

/// Body of a caller's request: read by hyper, or empty for a request that was started early.
pub type RequestBody = Either<Incoming, Empty<Bytes>>;

/// Default of the maximum number of requests of one connection that are started before their turn.
/// Each may hold a slot of a target and an answer of up to 512 kB until its turn.
pub const DEFAULT_EARLY_REQUESTS: usize = 8;
/// Maximum number of requests of all connections that are started before their turn: with answers
/// of 512 kB they hold 32 MB, a fifth of the memory of the smallest VM.
pub const MAX_EARLY_IN_TOTAL: usize = 64;
/// Maximum number of bytes read ahead on one connection; holds [`DEFAULT_EARLY_REQUESTS`] heads of
/// 4 KiB.
const MAX_HELD_BYTES: usize = 32 << 10;
/// Maximum number of header lines; hyper refuses a request that has more.
const MAX_HEADERS: usize = 100;

/// Marks a request that was started before its turn, by its extensions.
#[derive(Clone, Copy, Debug)]
pub struct StartedEarly;

/// Decides whether the request for a host and path may run beside others.
type SafetyRule = dyn Fn(&str, &str) -> bool + Send + Sync;

/// Rule for early starts, shared by all connections of a listener.
#[derive(Clone)]
pub struct EarlyStart {
    is_safe: Arc<SafetyRule>,
    /// Maximum number for one connection.
    most: usize,
    permits: Arc<Semaphore>,
}

impl EarlyStart {
    /// Allows early starts of up to `most` requests of a connection, for which `is_safe` returns
    /// true, given host and path.
    pub fn new(most: usize, is_safe: impl Fn(&str, &str) -> bool + Send + Sync + 'static) -> Self {
        Self {
            is_safe: Arc::new(is_safe),
            most,
            permits: Arc::new(Semaphore::new(MAX_EARLY_IN_TOTAL)),
        }
    }
}

impl fmt::Debug for EarlyStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EarlyStart")
            .field("most", &self.most)
            .field("permits", &self.permits)
            .finish_non_exhaustive()
    }
}

/// A request that was started before its turn.
#[derive(Debug)]
struct EarlyRequest<B> {
    /// Number of the request on its connection.
    index: u64,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    /// Aborts the request when dropped.
    answering: AbortOnDropHandle<Response<B>>,
    _permit: OwnedSemaphorePermit,
}

impl<B> EarlyRequest<B> {
    fn is_for(&self, index: u64, request: &Request<Incoming>) -> bool {
        self.index == index
            && self.method == *request.method()
            && self.uri == *request.uri()
            && self.headers == *request.headers()
    }
}

#[derive(Debug)]
struct PipelineState<B> {
    /// Requests started before their turn, in their order on the connection.
    early: VecDeque<EarlyRequest<B>>,
    /// Number of requests that the service function has received.
    begun: u64,
    /// Number of requests whose answers hyper has taken completely.
    answered: u64,
    /// Whether no request behind the current one will be answered.
    closing: bool,
    /// Task to wake when the next request has its turn.
    waker: Option<Waker>,
}

/// What the two ends of a connection, its socket and its service function, share.
#[derive(Debug)]
pub struct Pipeline<B> {
    state: Mutex<PipelineState<B>>,
}

impl<B> Pipeline<B> {
    /// Creates the shared part of a new connection.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(PipelineState {
                early: VecDeque::new(),
                begun: 0,
                answered: 0,
                closing: false,
                waker: None,
            }),
        })
    }

    fn state(&self) -> MutexGuard<'_, PipelineState<B>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers the next request of the connection with the answer that was begun early, or else
    /// with that of `answer`.
    pub fn answer<A, F>(
        self: &Arc<Self>,
        request: Request<Incoming>,
        answer: A,
    ) -> impl Future<Output = Response<TurnBody<B>>> + use<B, A, F>
    where
        A: FnOnce(Request<RequestBody>) -> F,
        F: Future<Output = Response<B>>,
    {
        let (turn, early) = self.begin(&request);
        let answering = match early {
            Some(early) => Err(early),
            None => Ok(answer(request.map(Either::Left))),
        };
        async move {
            let response = match answering {
                Ok(answering) => answering.await,
                Err(early) => join(early).await,
            };
            if closes_connection(response.headers()) {
                turn.pipeline.stop_early_starts();
            }
            response.map(|body| TurnBody { body, _turn: turn })
        }
    }

    fn begin(self: &Arc<Self>, request: &Request<Incoming>) -> (Turn<B>, Option<EarlyRequest<B>>) {
        let mut state = self.state();
        let index = state.begun;
        state.begun += 1;
        let early = match state.early.front() {
            Some(first) if first.is_for(index, request) => state.early.pop_front(),
            Some(first) if first.index <= index => {
                // Both parse heads with the same library, so this is a fault of this module.
                log::error!(index; "early started requests do not match those received");
                state.closing = true;
                state.early.clear();
                None
            }
            Some(_) | None => None,
        };
        let pipeline = Arc::clone(self);
        (Turn { pipeline, index }, early)
    }

    /// Cancels all requests behind the current one: its answer closes the connection, so they
    /// count as not read and are sent again.
    fn stop_early_starts(&self) {
        let mut state = self.state();
        state.closing = true;
        state.early.clear();
    }
}

/// Waits for an answer that was begun early.
async fn join<B>(early: EarlyRequest<B>) -> Response<B> {
    match early.answering.await {
        Ok(response) => response,
        Err(error) if error.is_panic() => resume_unwind(error.into_panic()),
        // Only the end of the runtime cancels it while it is awaited.
        Err(_cancelled) => pending().await,
    }
}

fn closes_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION);
    values
        .iter()
        .any(|value| has_token(value.as_bytes(), b"close"))
}

fn has_token(value: &[u8], token: &[u8]) -> bool {
    let mut tokens = value.split(|byte| *byte == b',');
    tokens.any(|found| found.trim_ascii().eq_ignore_ascii_case(token))
}

/// The turn of one request; dropped when hyper has taken its answer completely.
#[derive(Debug)]
struct Turn<B> {
    pipeline: Arc<Pipeline<B>>,
    index: u64,
}

impl<B> Drop for Turn<B> {
    fn drop(&mut self) {
        let waker = {
            let mut state = self.pipeline.state();
            state.answered = self.index + 1;
            state.waker.take()
        };
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

/// Body of an answer, which holds the turn of its request until its end.
#[derive(Debug)]
pub struct TurnBody<B> {
    body: B,
    _turn: Turn<B>,
}

impl<B: Body + Unpin> Body for TurnBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// What stands behind the bytes that hyper has received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamPosition {
    /// A request head or the rest of one.
    Head,
    /// This many bytes of a body.
    Body(u64),
    /// Anything: the ends of requests are not known any more.
    Unknown,
}

/// The last request whose head hyper has received.
#[derive(Debug, Default)]
struct CurrentRequest {
    /// Whether its head allows others to run beside it.
    may_overlap: bool,
    host: String,
    path: String,
    /// Whether its route also allows it, once that was looked up.
    is_safe: Option<bool>,
}

/// A caller's socket from which hyper receives one request at a time.
#[derive(Debug)]
pub struct PipelinedSocket<S, B> {
    socket: TcpStream,
    pipeline: Arc<Pipeline<B>>,
    rule: Option<EarlyStart>,
    /// Starts a request in a task of its own.
    start: S,
    position: StreamPosition,
    /// Number of heads that hyper has received.
    passed: u64,
    /// Copy of the incomplete head that hyper has received.
    partial_head: BytesMut,
    current: CurrentRequest,
    /// Bytes that hyper has not received yet.
    held: BytesMut,
    /// Length of the requests at the beginning of `held` that were started early.
    started_bytes: usize,
    /// Length of the incomplete head behind them that was examined.
    examined_bytes: usize,
    /// Number of the next request that may be started early.
    next_early: u64,
    /// Whether the request behind those started early must wait for its turn.
    blocked: bool,
}

impl<S, B> PipelinedSocket<S, B>
where
    S: Fn(Request<RequestBody>) -> JoinHandle<Response<B>>,
{
    /// Wraps `socket`; without a `rule`, all bytes pass through unread.
    pub fn new(
        socket: TcpStream,
        pipeline: Arc<Pipeline<B>>,
        rule: Option<EarlyStart>,
        start: S,
    ) -> Self {
        let position = match rule {
            Some(_) => StreamPosition::Head,
            None => StreamPosition::Unknown,
        };
        Self {
            socket,
            pipeline,
            rule,
            start,
            position,
            passed: 0,
            partial_head: BytesMut::new(),
            current: CurrentRequest::default(),
            held: BytesMut::new(),
            started_bytes: 0,
            examined_bytes: 0,
            next_early: 0,
            blocked: false,
        }
    }

    /// Returns whether hyper may receive what comes next.
    fn may_pass(&self) -> bool {
        match self.position {
            StreamPosition::Head => self.pipeline.state().answered >= self.passed,
            StreamPosition::Body(_) | StreamPosition::Unknown => true,
        }
    }

    /// Passes on bytes up to the end of the next request.
    fn poll_pass(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if !self.held.is_empty() {
            let length = self.held.len().min(buf.remaining());
            let bytes = self.held.split_to(length);
            let passed = self.pass(&bytes);
            buf.put_slice(&bytes[..passed]);
            let mut rest = bytes;
            rest.advance(passed);
            // Both are parts of one buffer, so this joins them without a copy.
            rest.unsplit(std::mem::take(&mut self.held));
            // An empty one gives its memory back.
            self.held = if rest.is_empty() {
                BytesMut::new()
            } else {
                rest
            };
            if self.started_bytes == 0 {
                self.blocked = false;
            }
            self.started_bytes = self.started_bytes.saturating_sub(passed);
            self.examined_bytes = 0;
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        let arrived = &buf.filled()[before..];
        let passed = self.pass(arrived);
        self.held.extend_from_slice(&arrived[passed..]);
        buf.set_filled(before + passed);
        Poll::Ready(Ok(()))
    }

    /// Notes that hyper receives the beginning of `bytes`, up to the end of the next request, and
    /// returns its length.
    fn pass(&mut self, bytes: &[u8]) -> usize {
        match self.position {
            StreamPosition::Unknown => bytes.len(),
            StreamPosition::Body(left) => {
                let passed = left.min(bytes.len() as u64);
                self.position = match left - passed {
                    0 => StreamPosition::Head,
                    left => StreamPosition::Body(left),
                };
                passed as usize
            }
            StreamPosition::Head => self.pass_head(bytes),
        }
    }

    fn pass_head(&mut self, bytes: &[u8]) -> usize {
        let already_passed = self.partial_head.len();
        let parsed = if already_passed == 0 {
            self.examine_head(bytes)
        } else {
            self.partial_head.extend_from_slice(bytes);
            let head = std::mem::take(&mut self.partial_head);
            let parsed = if may_end_head(&head, already_passed) {
                self.examine_head(&head)
            } else {
                HeadEnd::Missing
            };
            self.partial_head = head;
            parsed
        };
        match parsed {
            HeadEnd::Missing => {
                if already_passed == 0 {
                    self.partial_head.extend_from_slice(bytes);
                }
                bytes.len()
            }
            HeadEnd::Unknown => {
                self.partial_head = BytesMut::new();
                self.position = StreamPosition::Unknown;
                bytes.len()
            }
            HeadEnd::At { length, body } => {
                self.partial_head = BytesMut::new();
                self.passed += 1;
                let head = length - already_passed;
                if body == 0 {
                    return head;
                }
                self.position = StreamPosition::Body(body);
                head + self.pass(&bytes[head..])
            }
        }
    }

    /// Finds the end of the head at the beginning of `bytes`, and makes it the current one.
    fn examine_head(&mut self, bytes: &[u8]) -> HeadEnd {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let length = match head.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return HeadEnd::Missing,
            Err(_invalid) => return HeadEnd::Unknown,
        };
        let Some(body) = body_length(&head) else {
            return HeadEnd::Unknown;
        };
        self.current.may_overlap = body == 0 && may_overlap(&head);
        self.current.is_safe = None;
        if self.current.may_overlap {
            let host = head
                .headers
                .iter()
                .find(|line| line.name.eq_ignore_ascii_case("host"));
            let host = host.and_then(|line| std::str::from_utf8(line.value).ok());
            self.current.host.clear();
            self.current.host.push_str(host.unwrap_or_default());
            self.current.path.clear();
            self.current.path.push_str(head.path.unwrap_or_default());
        }
        HeadEnd::At { length, body }
    }

    /// Reads behind the current request and starts the requests found there.
    fn poll_read_ahead(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            self.start_early();
            if self.is_full() {
                return self.wait_for_turn(cx);
            }
            let mut scratch = buf.take(MAX_HELD_BYTES - self.held.len());
            match Pin::new(&mut self.socket).poll_read(cx, &mut scratch) {
                Poll::Pending => return self.wait_for_turn(cx),
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                // The caller left: hyper ends the connection, which cancels everything.
                Poll::Ready(Ok(())) if scratch.filled().is_empty() => return Poll::Ready(Ok(())),
                Poll::Ready(Ok(())) => self.held.extend_from_slice(scratch.filled()),
            }
        }
    }

    /// Arranges that the task is woken when the current request has been answered.
    fn wait_for_turn(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.held.is_empty() {
            let mut state = self.pipeline.state();
            if state.answered >= self.passed {
                cx.waker().wake_by_ref();
            } else {
                state.waker = Some(cx.waker().clone());
            }
        }
        Poll::Pending
    }

    /// Returns whether nothing more is read before the current request has been answered.
    fn is_full(&mut self) -> bool {
        !self.held.is_empty()
            && (self.blocked
                || self.held.len() >= MAX_HELD_BYTES
                || !self.may_start_more()
                || !self.current_is_safe())
    }

    fn may_start_more(&self) -> bool {
        let most = self.rule.as_ref().map_or(0, |rule| rule.most);
        let state = self.pipeline.state();
        !state.closing && state.early.len() < most
    }

    fn current_is_safe(&mut self) -> bool {
        let (Some(rule), true) = (&self.rule, self.current.may_overlap) else {
            return false;
        };
        let current = &mut self.current;
        *current
            .is_safe
            .get_or_insert_with(|| (rule.is_safe)(&current.host, &current.path))
    }

    /// Starts the held requests that may run beside the current one, as far as the limits allow.
    fn start_early(&mut self) {
        while !self.blocked
            && self.started_bytes < self.held.len()
            && self.may_start_more()
            && self.current_is_safe()
        {
            let bytes = &self.held[self.started_bytes..];
            let examined = std::mem::replace(&mut self.examined_bytes, bytes.len());
            if examined > 0 && !may_end_head(bytes, examined) {
                return;
            }
            match read_early_head(bytes) {
                EarlyHead::Incomplete => return,
                EarlyHead::Unfit => self.blocked = true,
                EarlyHead::Fit { length, parts } => self.start_request(length, *parts),
            }
        }
    }

    fn start_request(&mut self, length: usize, parts: request::Parts) {
        self.blocked = true;
        let Some(rule) = &self.rule else {
            return;
        };
        let host = parts.headers.get(header::HOST);
        let host = host.and_then(|value| value.to_str().ok());
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        if !(rule.is_safe)(host.unwrap_or_default(), path) {
            return;
        }
        let Ok(permit) = Arc::clone(&rule.permits).try_acquire_owned() else {
            return;
        };
        self.blocked = false;
        let index = self.next_early.max(self.passed);
        self.next_early = index + 1;
        self.started_bytes += length;
        self.examined_bytes = 0;
        let (method, uri) = (parts.method.clone(), parts.uri.clone());
        let headers = parts.headers.clone();
        let mut request = Request::from_parts(parts, Either::Right(Empty::new()));
        request.extensions_mut().insert(StartedEarly);
        let answering = AbortOnDropHandle::new((self.start)(request));
        self.pipeline.state().early.push_back(EarlyRequest {
            index,
            method,
            uri,
            headers,
            answering,
            _permit: permit,
        });
    }
}

/// Where a request head ends.
#[derive(Debug)]
enum HeadEnd {
    /// Not within the bytes received so far.
    Missing,
    /// After `length` bytes; a body of `body` bytes follows.
    At { length: usize, body: u64 },
    /// The head is invalid, or the length of what follows it is not known.
    Unknown,
}

/// Returns whether `bytes` may contain a blank line that was not in the first `examined` bytes.
/// A head that arrives in many pieces is not parsed for each of them.
fn may_end_head(bytes: &[u8], examined: usize) -> bool {
    let recent = &bytes[examined.saturating_sub(3)..];
    recent.windows(2).any(|pair| pair == b"\n\n")
        || recent.windows(3).any(|window| window == b"\n\r\n")
}

/// Returns the length of the body behind a head; `None` if it is not known from the head.
fn body_length(head: &httparse::Request<'_, '_>) -> Option<u64> {
    if head.method == Some("CONNECT") {
        return None;
    }
    let mut length = None;
    for line in head.headers.iter() {
        let is = |name: HeaderName| line.name.eq_ignore_ascii_case(name.as_str());
        if is(header::TRANSFER_ENCODING) || is(header::UPGRADE) || is(header::EXPECT) {
            return None;
        }
        if is(header::CONTENT_LENGTH) {
            let only_digits = line.value.iter().all(u8::is_ascii_digit);
            if length.is_some() || !only_digits {
                return None;
            }
            length = Some(std::str::from_utf8(line.value).ok()?.parse().ok()?);
        }
    }
    Some(length.unwrap_or(0))
}

/// Returns whether the head of a request without a body allows it to run beside others.
fn may_overlap(head: &httparse::Request<'_, '_>) -> bool {
    let is_persistent = head.headers.iter().all(|line| {
        !line.name.eq_ignore_ascii_case(header::CONNECTION.as_str())
            || line.value.eq_ignore_ascii_case(b"keep-alive")
    });
    head.version == Some(1) && matches!(head.method, Some("GET" | "HEAD")) && is_persistent
}

/// Head of a request that stands behind an unanswered one.
#[derive(Debug)]
enum EarlyHead {
    Incomplete,
    /// The request must wait for its turn.
    Unfit,
    Fit {
        length: usize,
        parts: Box<request::Parts>,
    },
}

fn read_early_head(bytes: &[u8]) -> EarlyHead {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return EarlyHead::Incomplete,
        Err(_invalid) => return EarlyHead::Unfit,
    };
    if body_length(&head) != Some(0) || !may_overlap(&head) {
        return EarlyHead::Unfit;
    }
    match request_parts(&head) {
        Some(parts) => EarlyHead::Fit {
            length,
            parts: Box::new(parts),
        },
        None => EarlyHead::Unfit,
    }
}

fn request_parts(head: &httparse::Request<'_, '_>) -> Option<request::Parts> {
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = head.method?.parse().ok()?;
    parts.uri = head.path?.parse().ok()?;
    parts.version = Version::HTTP_11;
    for line in head.headers.iter() {
        let name = HeaderName::from_bytes(line.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(line.value).ok()?;
        parts.headers.try_append(name, value).ok()?;
    }
    Some(parts)
}

impl<S, B> AsyncRead for PipelinedSocket<S, B>
where
    S: Fn(Request<RequestBody>) -> JoinHandle<Response<B>> + Unpin,
{
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = self.get_mut();
        if socket.may_pass() {
            socket.poll_pass(cx, buf)
        } else {
            socket.poll_read_ahead(cx, buf)
        }
    }
}

impl<S: Unpin, B> AsyncWrite for PipelinedSocket<S, B> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
