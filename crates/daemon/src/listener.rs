//! The listener for callers.
//!
//! Connections, header size, header time and idle time are bounded, so that a
//! caller that stalls or floods costs one connection and a bounded time.

use std::convert::Infallible;
use std::sync::Arc;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use model::{ErrorKind, KindError};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_io_timeout::TimeoutStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::call::serve_call;
use crate::core::DaemonCore;

/// Results of binding; the kind is `LocalFailed`.
pub type Result<T> = model::Result<T>;

/// Answer to a connection beyond the bound.
const FULL_ANSWER: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    quetzal-error: connections-exceeded\r\nquetzal-not-run: true\r\nretry-after: 1\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// Binds `address` for a listener of this daemon.
pub async fn bind(address: std::net::SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| KindError::new(ErrorKind::LocalFailed, format!("{address}: {error}")))
}

/// Serves callers until `token` is cancelled, then lets open calls end.
pub async fn serve_callers(core: Arc<DaemonCore>, listener: TcpListener, token: CancellationToken) {
    let permits = Arc::new(Semaphore::new(
        core.settings.numbers.caller_connections as usize,
    ));
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = token.cancelled() => break,
        };
        let Ok((socket, _)) = accepted else {
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            core.counters.count_error(ErrorKind::ConnectionsExceeded);
            connections.spawn(turn_away(socket));
            continue;
        };
        let serving = serve_connection(Arc::clone(&core), socket, token.clone());
        connections.spawn(async move {
            serving.await;
            drop(permit);
        });
    }
    connections.close();
    connections.wait().await;
}

async fn turn_away(mut socket: TcpStream) {
    // A caller that does not read its refusal gets none.
    let answered = tokio::time::timeout(std::time::Duration::from_secs(1), async {
        socket.write_all(FULL_ANSWER).await?;
        socket.shutdown().await
    });
    drop(answered.await);
}

async fn serve_connection(core: Arc<DaemonCore>, socket: TcpStream, token: CancellationToken) {
    // Without it answers are only slower.
    drop(socket.set_nodelay(true));
    let settings = &core.settings;
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(settings.header_timeout())
        .max_buf_size(settings.numbers.max_header_bytes as usize)
        .half_close(false);
    let mut socket = TimeoutStream::new(socket);
    // A caller that stops reading must not hold its slot beside the target.
    socket.set_write_timeout(Some(settings.idle_timeout()));
    let service = service_fn({
        let core = Arc::clone(&core);
        move |request| {
            let core = Arc::clone(&core);
            async move { Ok::<_, Infallible>(serve_call(core, request).await) }
        }
    });
    let io = TokioIo::new(Box::pin(socket));
    let mut connection = std::pin::pin!(builder.serve_connection(io, service));
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = token.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        count_broken(&core, &error);
    }
}

fn count_broken(core: &DaemonCore, error: &hyper::Error) {
    if error.is_timeout() {
        core.counters.count("caller-header-timeouts");
    } else if error.is_parse() {
        core.counters.count("caller-parse-errors");
    } else {
        core.counters.count("caller-connections-broken");
    }
}
