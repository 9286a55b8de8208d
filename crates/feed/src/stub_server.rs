//! A small HTTP server for stand-ins: the log service, targets of trials.
//!
//! Each request is answered by a plain function on a thread of its own, which
//! may block, as a waiting read of the log does. Connections are served by
//! `hyper`: with one thread for each connection, as `tiny_http` has it, a
//! connection may be left waiting behind idle ones for good.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use model::{ErrorKind, KindError};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};

use crate::port::Result;

/// Threads that serve connections.
const WORKER_COUNT: usize = 2;
/// Time for requests in progress when the server is dropped.
const STOP_TIMEOUT: Duration = Duration::from_millis(100);

/// One request, whole in memory.
#[derive(Debug)]
pub struct StubRequest {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: Box<str>,
    /// Query, empty if there is none.
    pub query: Box<str>,
    /// Body; an error if it broke off or was too large.
    pub body: std::result::Result<Bytes, Box<str>>,
}

/// The answer to a request.
#[derive(Debug)]
pub struct StubResponse {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
}

/// Answers requests; runs on threads that may block.
pub type RequestHandler = Arc<dyn Fn(StubRequest) -> StubResponse + Send + Sync>;

/// A running server; stops when dropped.
#[derive(Debug)]
pub struct StubServer {
    address: SocketAddr,
    runtime: Option<Runtime>,
}

impl StubServer {
    /// Serves on `address`, bodies up to `max_body` bytes; port 0 takes a free one.
    ///
    /// Kinds: `LocalFailed`.
    pub fn start(address: SocketAddr, max_body: usize, answer: RequestHandler) -> Result<Self> {
        let failed = |error: std::io::Error| {
            KindError::new(ErrorKind::LocalFailed, format!("{address}: {error}"))
        };
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKER_COUNT)
            .enable_all()
            .build()
            .map_err(failed)?;
        let listener = runtime
            .block_on(TcpListener::bind(address))
            .map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        runtime.spawn(accept(listener, max_body, answer));
        Ok(Self {
            address,
            runtime: Some(runtime),
        })
    }

    /// The address served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for StubServer {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(STOP_TIMEOUT);
        }
    }
}

async fn accept(listener: TcpListener, max_body: usize, answer: RequestHandler) {
    loop {
        // An error of one connection says nothing about the next.
        if let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(serve_connection(socket, max_body, Arc::clone(&answer)));
        }
    }
}

async fn serve_connection(socket: TcpStream, max_body: usize, answer: RequestHandler) {
    // Without it answers are only slower.
    drop(socket.set_nodelay(true));
    let service = service_fn(move |request| {
        let answer = Arc::clone(&answer);
        async move { Ok::<_, Infallible>(serve_request(request, max_body, answer).await) }
    });
    // A caller that breaks off is no concern of a stand-in.
    drop(
        http1::Builder::new()
            .serve_connection(TokioIo::new(socket), service)
            .await,
    );
}

async fn serve_request(
    request: Request<Incoming>,
    max_body: usize,
    answer: RequestHandler,
) -> Response<Full<Bytes>> {
    let (parts, incoming) = request.into_parts();
    let collected = Limited::new(incoming, max_body).collect().await;
    let request = StubRequest {
        method: parts.method,
        path: parts.uri.path().into(),
        query: parts.uri.query().unwrap_or_default().into(),
        body: collected
            .map(http_body_util::Collected::to_bytes)
            .map_err(|error| error.to_string().into()),
    };
    let answered = tokio::task::spawn_blocking(move || answer(request)).await;
    let answered = answered.unwrap_or_else(|error| StubResponse {
        status: 500,
        body: error.to_string().into_bytes(),
    });
    let mut response = Response::new(Full::new(answered.body.into()));
    *response.status_mut() =
        StatusCode::from_u16(answered.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}
