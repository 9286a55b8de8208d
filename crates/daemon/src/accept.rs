//! Accept loop for HTTP/1.1 connections with limits on connections, headers and time.
//!
//! Callers and operators have separate addresses and share this code. A client that stalls
//! or floods can occupy only connections of its own listener, each for a limited time: the
//! number of connections, the size and arrival time of headers, and the time without write
//! progress are all limited.

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

/// Result of binding a listener; errors have the kind `LocalFailed`.
pub type Result<T> = model::Result<T>;

/// Response to a connection beyond the limit.
///
/// The request is not read. It may carry an idempotency key that was sent before, so the
/// response proves only that this attempt did not run, and nothing about earlier ones.
const LIMIT_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    quetzal-error: connections-exceeded\r\nquetzal-run: sending-not-run\r\nretry-after: 1\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";
/// Time after which writing [`LIMIT_RESPONSE`] is given up.
const REJECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed accept, which usually means that no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Limits of one listener.
#[derive(Clone, Copy, Debug)]
pub struct AcceptBounds {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Time for the headers of a request to arrive; also the idle timeout between requests.
    pub header_timeout: Duration,
    /// Maximum size of a request's headers in bytes.
    pub max_header_bytes: usize,
    /// Time without write progress after which a connection is closed.
    pub write_timeout: Duration,
}

/// Reason why a connection was refused or ended early.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionFault {
    /// The listener has [`AcceptBounds::max_connections`] open connections.
    LimitReached,
    /// Headers did not arrive in time, or the connection was idle for too long.
    HeaderTimeout,
    /// The request is not valid HTTP/1.1, or its headers are too large.
    Malformed,
    /// The client disconnected or stopped reading, or the body of the response failed.
    Disconnected,
    /// `accept` failed.
    AcceptFailed,
}

/// Binds a listener to `address`.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| KindError::new(ErrorKind::LocalFailed, format!("{address}: {error}")))
}

/// Serves connections with `handler` until `token` is cancelled, then waits for open
/// requests to finish.
///
/// `on_fault` is called for every connection that was refused or ended early.
pub async fn serve_http<A, F, B, N>(
    listener: TcpListener,
    bounds: AcceptBounds,
    token: CancellationToken,
    handler: A,
    on_fault: N,
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
            on_fault(ConnectionFault::AcceptFailed);
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            on_fault(ConnectionFault::LimitReached);
            connections.spawn(reject_connection(socket));
            continue;
        };
        let serving = serve_connection(socket, bounds, token.clone(), handler.clone());
        let on_fault = on_fault.clone();
        connections.spawn(async move {
            if let Err(error) = serving.await {
                on_fault(classify_error(&error));
            }
            drop(permit);
        });
    }
    // Clients that connect from now on are refused at once and go elsewhere.
    drop(listener);
    connections.close();
    connections.wait().await;
}

async fn reject_connection(mut socket: TcpStream) {
    // A client that does not read the response in time is disconnected without one.
    let writing = timeout(REJECT_TIMEOUT, async {
        socket.write_all(LIMIT_RESPONSE).await?;
        socket.shutdown().await
    });
    drop(writing.await);
}

async fn serve_connection<A, F, B>(
    socket: TcpStream,
    bounds: AcceptBounds,
    token: CancellationToken,
    handler: A,
) -> hyper::Result<()>
where
    A: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>>,
    B: Body<Data = Bytes, Error = KindError> + 'static,
{
    // A failure only makes responses slower.
    drop(socket.set_nodelay(true));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.header_timeout)
        .max_buf_size(bounds.max_header_bytes)
        .half_close(false);
    let mut socket = TimeoutStream::new(socket);
    // A client that stops reading must not keep the slot and limits that its response holds.
    socket.set_write_timeout(Some(bounds.write_timeout));
    let service = service_fn(|request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
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

fn classify_error(error: &hyper::Error) -> ConnectionFault {
    if error.is_timeout() {
        ConnectionFault::HeaderTimeout
    } else if error.is_parse() {
        ConnectionFault::Malformed
    } else {
        ConnectionFault::Disconnected
    }
}
