//! HTTP/1.1 to the target beside the daemon.
//!
//! A connection carries one request at a time and is kept for the next one
//! only after a whole answer. The newest idle connection is used first, so
//! that the others can close by themselves. Dropping an exchange that has not
//! ended closes its connection, which tells the target to stop the work.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

/// Body of a request to the target.
pub type TargetBody = Full<Bytes>;

/// Time for connecting on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which an idle connection is kept when the target names none.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);
/// Part of the time named by the target for which a connection is kept.
const KEEP_PART: f32 = 0.6;
/// Idle connections kept.
const MAX_IDLE: usize = 32;
/// Time for which an idle connection may carry a request that must not run twice:
/// targets close idle connections without notice, and the request would be lost.
const FRESH_IDLE: Duration = Duration::from_millis(700);

/// Time after a second answer in which requests that must not run twice get connections of
/// their own: a target that sends some goes on for seconds.
const STRAY_TIME: Duration = Duration::from_secs(5);

/// Why a request got no answer.
#[derive(Debug)]
pub enum SendFailure {
    /// Nothing was sent; nothing listens at the address or it takes no connection.
    Unsent(Box<str>),
    /// It was sent, wholly or partly, and may have run.
    Unknown(Box<str>),
}

/// Connections to one target.
#[derive(Debug)]
pub struct TargetClient {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<IdleLink>>>,
    /// When the last second answer came.
    stray_at: Mutex<Option<Instant>>,
}

#[derive(Debug)]
struct TargetLink {
    sender: SendRequest<TargetBody>,
    task: AbortHandle,
}

#[derive(Debug)]
struct IdleLink {
    link: TargetLink,
    since: Instant,
    until: Instant,
}

/// An answer whose connection is kept only after [`TargetExchange::finish`].
#[derive(Debug)]
pub struct TargetExchange {
    /// The answer.
    pub response: Response<Incoming>,
    link: TargetLink,
    keep: Option<Duration>,
    idle: Arc<Mutex<Vec<IdleLink>>>,
}

impl TargetClient {
    /// A client without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Arc::default(),
            stray_at: Mutex::default(),
        }
    }

    /// Notes that an answer came in place of another one.
    pub fn note_stray_answer(&self) {
        *lock(&self.stray_at) = Some(Instant::now());
    }

    /// Sends `request` and waits for the head of the answer.
    ///
    /// `once` asks for a connection that the target is unlikely to have closed.
    pub async fn send(
        &self,
        request: Request<TargetBody>,
        once: bool,
    ) -> Result<TargetExchange, SendFailure> {
        let mut request = request;
        while let Some(mut link) = self.take_idle(once) {
            match link.sender.try_send_request(request).await {
                Ok(response) => return Ok(self.exchange(response, link)),
                Err(mut error) => match error.take_message() {
                    // The connection closed before anything was written.
                    Some(unsent) => request = unsent,
                    None => return Err(unknown(error.error())),
                },
            }
        }
        let mut link = self.connect().await?;
        match link.sender.try_send_request(request).await {
            Ok(response) => Ok(self.exchange(response, link)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendFailure::Unsent("the target closed at once".into())),
                None => Err(unknown(error.error())),
            },
        }
    }

    /// Whether something listens at the target's address.
    pub async fn is_listening(&self) -> bool {
        let connecting = TcpStream::connect(self.address);
        matches!(timeout(CONNECT_TIMEOUT, connecting).await, Ok(Ok(_)))
    }

    fn take_idle(&self, once: bool) -> Option<TargetLink> {
        let now = Instant::now();
        let stray_at = *lock(&self.stray_at);
        let stray = stray_at.is_some_and(|at| now.saturating_duration_since(at) < STRAY_TIME);
        if once && stray {
            return None;
        }
        let mut idle = lock(&self.idle);
        while let Some(kept) = idle.pop() {
            let rested = now.saturating_duration_since(kept.since);
            let usable = kept.link.sender.is_ready() && now < kept.until;
            if usable && (!once || rested < FRESH_IDLE) {
                return Some(kept.link);
            }
        }
        None
    }

    async fn connect(&self) -> Result<TargetLink, SendFailure> {
        let unsent = |detail: String| SendFailure::Unsent(detail.into());
        let connecting = TcpStream::connect(self.address);
        let socket = timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|elapsed| unsent(elapsed.to_string()))?
            .map_err(|error| unsent(error.to_string()))?;
        socket
            .set_nodelay(true)
            .map_err(|error| unsent(error.to_string()))?;
        let (sender, connection) = http1::handshake(TokioIo::new(socket))
            .await
            .map_err(|error| unsent(error.to_string()))?;
        let task = tokio::spawn(async move {
            // What breaks a connection is reported by the request on it.
            drop(connection.await);
        });
        Ok(TargetLink {
            sender,
            task: task.abort_handle(),
        })
    }

    fn exchange(&self, response: Response<Incoming>, link: TargetLink) -> TargetExchange {
        TargetExchange {
            keep: keep_time(response.headers()),
            response,
            link,
            idle: Arc::clone(&self.idle),
        }
    }
}

impl TargetExchange {
    /// Keeps the connection for another request; the body was read to its end.
    pub fn finish(self) {
        let Self {
            link, keep, idle, ..
        } = self;
        let Some(keep) = keep else { return };
        let now = Instant::now();
        let mut idle = lock(&idle);
        idle.retain(|kept| now < kept.until && !kept.link.sender.is_closed());
        if idle.len() < MAX_IDLE {
            idle.push(IdleLink {
                link,
                since: now,
                until: now + keep,
            });
        }
    }
}

impl Drop for TargetLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// How long the connection may be kept; none if the target closes it.
fn keep_time(headers: &HeaderMap) -> Option<Duration> {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = text(header::CONNECTION).is_some_and(|value| {
        let mut parts = value.split(',');
        parts.any(|part| part.trim().eq_ignore_ascii_case("close"))
    });
    if closes {
        return None;
    }
    let named = text(header::HeaderName::from_static("keep-alive"))
        .and_then(|value| {
            value
                .split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.parse().ok())
        .map(Duration::from_secs);
    Some(named.map_or(DEFAULT_KEEP, |time| time.mul_f32(KEEP_PART)))
}

fn unknown(error: &hyper::Error) -> SendFailure {
    SendFailure::Unknown(error.to_string().into())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
