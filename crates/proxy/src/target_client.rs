//! HTTP/1.1 client for the target beside the daemon.
//!
//! A connection carries one request at a time and is reused only after a
//! complete answer. The most recently used idle connection is taken first, so
//! that the others can time out. Dropping an unfinished exchange closes its
//! connection, which tells the target to stop the work.

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

use crate::head_limit::{HeadAllowance, HeadLimitedSocket};

/// Body of a request to the target.
pub type TargetBody = Full<Bytes>;

/// Time for connecting to the target, which runs on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which an idle connection is kept if the target announces no keep-alive time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Fraction of the keep-alive time announced by the target for which a connection is kept.
const KEEP_ALIVE_FRACTION: f32 = 0.6;
/// Maximum number of idle connections.
const MAX_IDLE: usize = 32;
/// Idle time up to which a connection may carry an at-most-once request: targets close idle
/// connections without notice, and a request sent at that moment has an unknown outcome.
const MAX_FRESH_IDLE: Duration = Duration::from_millis(700);

/// Time after a duplicate answer during which at-most-once requests get new connections: a
/// target that sends duplicates keeps doing so for seconds.
const DUPLICATE_PERIOD: Duration = Duration::from_secs(5);

/// Why a request got no answer.
#[derive(Debug)]
pub enum SendFailure {
    /// Nothing was sent, since the target does not accept connections.
    Unsent(Box<str>),
    /// The request was sent, completely or in part, and may have run.
    Unknown(Box<str>),
}

/// Connection pool for one target.
#[derive(Debug)]
pub struct TargetClient {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<IdleConnection>>>,
    /// Time of the last duplicate answer.
    duplicate_at: Mutex<Option<Instant>>,
}

#[derive(Debug)]
struct TargetConnection {
    sender: SendRequest<TargetBody>,
    allowance: HeadAllowance,
    task: AbortHandle,
}

#[derive(Debug)]
struct IdleConnection {
    conn: TargetConnection,
    since: Instant,
    until: Instant,
}

/// An answer whose connection is reused only after [`TargetExchange::finish`].
#[derive(Debug)]
pub struct TargetExchange {
    /// Answer of the target.
    pub response: Response<Incoming>,
    conn: TargetConnection,
    keep_alive: Option<Duration>,
    idle: Arc<Mutex<Vec<IdleConnection>>>,
}

impl TargetClient {
    /// Creates a client without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Arc::default(),
            duplicate_at: Mutex::default(),
        }
    }

    /// Records that a duplicate of an earlier answer came in place of the expected one.
    pub fn record_duplicate_answer(&self) {
        *lock(&self.duplicate_at) = Some(Instant::now());
    }

    /// Sends `request` and waits for the head of the answer.
    ///
    /// `at_most_once` selects a connection that the target is unlikely to have closed.
    pub async fn send(
        &self,
        request: Request<TargetBody>,
        at_most_once: bool,
    ) -> Result<TargetExchange, SendFailure> {
        let mut request = request;
        while let Some(mut conn) = self.take_idle(at_most_once) {
            conn.allowance.expect_head();
            match conn.sender.try_send_request(request).await {
                Ok(response) => return Ok(self.exchange(response, conn)),
                Err(mut error) => match error.take_message() {
                    // The connection was closed before anything was written.
                    Some(unsent) => request = unsent,
                    None => return Err(unknown_outcome(error.error())),
                },
            }
        }
        let mut conn = self.connect().await?;
        conn.allowance.expect_head();
        match conn.sender.try_send_request(request).await {
            Ok(response) => Ok(self.exchange(response, conn)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendFailure::Unsent(
                    "the target closed a new connection before the request was sent".into(),
                )),
                None => Err(unknown_outcome(error.error())),
            },
        }
    }

    /// Returns whether the target accepts connections.
    pub async fn is_listening(&self) -> bool {
        let connecting = TcpStream::connect(self.address);
        matches!(timeout(CONNECT_TIMEOUT, connecting).await, Ok(Ok(_)))
    }

    fn take_idle(&self, at_most_once: bool) -> Option<TargetConnection> {
        let now = Instant::now();
        let duplicate_at = *lock(&self.duplicate_at);
        let duplicated =
            duplicate_at.is_some_and(|at| now.saturating_duration_since(at) < DUPLICATE_PERIOD);
        if at_most_once && duplicated {
            return None;
        }
        let mut idle = lock(&self.idle);
        while let Some(kept) = idle.pop() {
            let idle_time = now.saturating_duration_since(kept.since);
            let usable = kept.conn.sender.is_ready() && now < kept.until;
            if usable && (!at_most_once || idle_time < MAX_FRESH_IDLE) {
                return Some(kept.conn);
            }
        }
        None
    }

    async fn connect(&self) -> Result<TargetConnection, SendFailure> {
        let unsent = |detail: String| SendFailure::Unsent(detail.into());
        let connecting = TcpStream::connect(self.address);
        let socket = timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|elapsed| unsent(elapsed.to_string()))?
            .map_err(|error| unsent(error.to_string()))?;
        socket
            .set_nodelay(true)
            .map_err(|error| unsent(error.to_string()))?;
        let (socket, allowance) = HeadLimitedSocket::new(socket);
        let (sender, driver) = http1::handshake(TokioIo::new(socket))
            .await
            .map_err(|error| unsent(error.to_string()))?;
        let task = tokio::spawn(async move {
            // An error of the connection is reported by the request on it.
            drop(driver.await);
        });
        Ok(TargetConnection {
            sender,
            allowance,
            task: task.abort_handle(),
        })
    }

    fn exchange(&self, response: Response<Incoming>, conn: TargetConnection) -> TargetExchange {
        conn.allowance.head_received();
        TargetExchange {
            keep_alive: keep_alive_time(response.headers()),
            response,
            conn,
            idle: Arc::clone(&self.idle),
        }
    }
}

impl TargetExchange {
    /// Makes the connection available for another request, after the body was read to its end.
    pub fn finish(self) {
        let Self {
            conn,
            keep_alive,
            idle,
            ..
        } = self;
        let Some(keep_alive) = keep_alive else { return };
        let now = Instant::now();
        let mut idle = lock(&idle);
        idle.retain(|kept| now < kept.until && !kept.conn.sender.is_closed());
        if idle.len() < MAX_IDLE {
            idle.push(IdleConnection {
                conn,
                since: now,
                until: now + keep_alive,
            });
        }
    }
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns how long the connection may be kept; none if the target closes it.
fn keep_alive_time(headers: &HeaderMap) -> Option<Duration> {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = text(header::CONNECTION).is_some_and(|value| {
        let mut parts = value.split(',');
        parts.any(|part| part.trim().eq_ignore_ascii_case("close"))
    });
    if closes {
        return None;
    }
    let announced = text(header::HeaderName::from_static("keep-alive"))
        .and_then(|value| {
            value
                .split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.parse().ok())
        .map(Duration::from_secs);
    Some(announced.map_or(DEFAULT_KEEP_ALIVE, |time| time.mul_f32(KEEP_ALIVE_FRACTION)))
}

fn unknown_outcome(error: &hyper::Error) -> SendFailure {
    SendFailure::Unknown(error.to_string().into())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
