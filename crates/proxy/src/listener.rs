//! Serves HTTP/1.1 connections, with a graceful shutdown on a planned stop.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body::Body;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use model::{ErrorKind, KindError};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::connection_gate::{ConnectionGate, ConnectionPlace};
use crate::pipeline::{EarlyStart, Pipeline, PipelinedSocket, RequestBody};

/// Result of binding; errors are of kind `LocalFailed`.
pub type Result<T> = model::Result<T>;

/// Pause after a failed accept, which usually means that no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Minimum buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Limits of one connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionBounds {
    /// Time for a request head to arrive; it includes the time for which the connection is idle.
    pub head_timeout: Duration,
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: usize,
}

/// Binds a listener to `address`.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| KindError::new(ErrorKind::LocalFailed, format!("{address}: {error}")))
}

/// Answers requests until `token` is cancelled, then closes the listener and finishes the open
/// requests.
///
/// `bounds` is called for each new connection; pipelined requests are started as `early` allows.
pub async fn serve_http<A, F, B, L>(
    listener: TcpListener,
    bounds: L,
    early: Option<EarlyStart>,
    gate: ConnectionGate,
    token: CancellationToken,
    answer: A,
) where
    A: Fn(SocketAddr, Request<RequestBody>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes, Error = KindError> + Send + Unpin + 'static,
    L: Fn() -> ConnectionBounds,
{
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = token.cancelled() => break,
        };
        match accepted {
            Ok((socket, peer)) => {
                // Without a place the socket is dropped, which its client notices at once.
                let Some(place) = gate.admit() else { continue };
                let starting = (early.clone(), connections.clone());
                let serving = serve_connection(
                    (socket, peer),
                    place,
                    bounds(),
                    starting,
                    token.clone(),
                    answer.clone(),
                );
                connections.spawn(serving);
            }
            Err(error) => {
                log::warn!(cause:% = error; "connection not accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // Callers that connect from now on are refused at once and go elsewhere.
    drop(listener);
    connections.close();
    connections.wait().await;
}

async fn serve_connection<A, F, B>(
    (socket, peer): (TcpStream, SocketAddr),
    place: ConnectionPlace,
    bounds: ConnectionBounds,
    (early, tasks): (Option<EarlyStart>, TaskTracker),
    token: CancellationToken,
    answer: A,
) where
    A: Fn(SocketAddr, Request<RequestBody>) -> F,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes, Error = KindError> + Send + Unpin + 'static,
{
    // A failure only makes answers slower.
    drop(socket.set_nodelay(true));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.head_timeout)
        .max_buf_size(bounds.max_head_bytes.max(MIN_BUFFER_BYTES))
        .half_close(false);
    let pipeline = Pipeline::new();
    let start = |request| tasks.spawn(answer(peer, request));
    let socket = PipelinedSocket::new(socket, Arc::clone(&pipeline), early, start);
    let service = service_fn(|request| {
        let open_request = place.begin_request();
        let answering = pipeline.answer(request, |request| answer(peer, request));
        async move {
            let reply = answering.await;
            drop(open_request);
            Ok::<_, Infallible>(reply)
        }
    });
    let mut connection =
        std::pin::pin!(builder.serve_connection(TokioIo::new(place.watch(socket)), service));
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = place.closed() => Ok(()),
        () = token.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        log::debug!(peer:% = peer, cause:% = error; "connection ended early");
    }
}
