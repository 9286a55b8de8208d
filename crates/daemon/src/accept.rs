//! The bounded loop that accepts HTTP/1.1 connections.
//!
//! Callers and operators have addresses of their own and share this loop. A
//! client that stalls or floods costs one connection of that listener and a
//! bounded time: the number of connections, the size and time of headers, and
//! the time without a byte taken of an answer all have bounds.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use model::{ErrorKind, KindError};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_io_timeout::TimeoutStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Results of binding; the kind is `LocalFailed`.
pub type Result<T> = model::Result<T>;

/// Answer to a connection beyond the bound; its call, unread, may name a key sent before.
const FULL_ANSWER: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    quetzal-error: connections-exceeded\r\nquetzal-run: sending-not-run\r\nretry-after: 1\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";
/// Time for a connection beyond the bound to take its refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed accept, which usually means that files are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bounds of one listener.
#[derive(Clone, Copy, Debug)]
pub struct AcceptBounds {
    /// Connections at once.
    pub max_connections: usize,
    /// Time for the headers of a request to arrive, counted while idle too.
    pub header_timeout: Duration,
    /// Largest headers in bytes.
    pub max_header_bytes: usize,
    /// Longest time in which a client takes no byte of its answer.
    pub write_timeout: Duration,
}

/// Why a connection was refused or ended early.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionFault {
    /// The listener's connections are used up.
    LimitReached,
    /// Headers did not arrive in time, or the connection was idle.
    HeaderTimeout,
    /// The bytes are no HTTP/1.1, or the headers are too large.
    Malformed,
    /// The client left or stopped reading.
    Disconnected,
    /// The machine has no socket for a connection.
    AcceptFailed,
}

/// Binds `address` for a listener of this daemon.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| KindError::new(ErrorKind::LocalFailed, format!("{address}: {error}")))
}

/// Answers requests until `token` is cancelled, then lets open ones end.
///
/// `note` hears of every connection that was refused or ended early.
pub async fn serve_http<A, F, B, N>(
    listener: TcpListener,
    bounds: AcceptBounds,
    token: CancellationToken,
    answer: A,
    note: N,
) where
    A: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes, Error = KindError> + Send + 'static,
    N: Fn(ConnectionFault) + Clone + Send + Sync + 'static,
{
    let permits = Arc::new(Semaphore::new(bounds.max_connections));
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = token.cancelled() => break,
        };
        let Ok((socket, _)) = accepted else {
            note(ConnectionFault::AcceptFailed);
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            note(ConnectionFault::LimitReached);
            connections.spawn(turn_away(socket));
            continue;
        };
        let serving = serve_connection(socket, bounds, token.clone(), answer.clone());
        let note = note.clone();
        connections.spawn(async move {
            if let Err(error) = serving.await {
                note(fault_of(&error));
            }
            drop(permit);
        });
    }
    connections.close();
    connections.wait().await;
}

async fn turn_away(mut socket: TcpStream) {
    // A client that does not read its refusal gets none.
    let answered = timeout(REFUSAL_TIMEOUT, async {
        socket.write_all(FULL_ANSWER).await?;
        socket.shutdown().await
    });
    drop(answered.await);
}

async fn serve_connection<A, F, B>(
    socket: TcpStream,
    bounds: AcceptBounds,
    token: CancellationToken,
    answer: A,
) -> hyper::Result<()>
where
    A: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>>,
    B: Body<Data = Bytes, Error = KindError> + 'static,
{
    // Without it answers are only slower.
    drop(socket.set_nodelay(true));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.header_timeout)
        .max_buf_size(bounds.max_header_bytes)
        .half_close(false);
    let mut socket = TimeoutStream::new(socket);
    // A client that stops reading must not hold what its answer holds.
    socket.set_write_timeout(Some(bounds.write_timeout));
    let service = service_fn(|request| {
        let answering = answer(request);
        async move { Ok::<_, Infallible>(answering.await) }
    });
    let io = TokioIo::new(Box::pin(socket));
    let mut connection = std::pin::pin!(builder.serve_connection(io, service));
    tokio::select! {
        served = connection.as_mut() => served,
        () = token.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    }
}

fn fault_of(error: &hyper::Error) -> ConnectionFault {
    if error.is_timeout() {
        ConnectionFault::HeaderTimeout
    } else if error.is_parse() {
        ConnectionFault::Malformed
    } else {
        ConnectionFault::Disconnected
    }
}
