//! A small HTTP server for stubs of the log service and of targets.
//!
//! A plain function handles each request on a separate thread, where it may
//! block, as a waiting read of the log does. Connections are served by `hyper`.
//! In a server like `tiny_http`, where each open connection occupies a thread,
//! a new connection could wait forever for a thread that serves an idle one.

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

/// Number of threads that serve connections.
const WORKER_COUNT: usize = 2;
/// Time granted to requests in progress when the server is dropped.
const STOP_TIMEOUT: Duration = Duration::from_millis(100);

/// A request with its complete body.
#[derive(Debug)]
pub struct StubRequest {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: Box<str>,
    /// Query string, empty if absent.
    pub query: Box<str>,
    /// Body; an error if it is incomplete or too large.
    pub body: std::result::Result<Bytes, Box<str>>,
}

/// The response to a request.
#[derive(Debug)]
pub struct StubResponse {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
}

/// A request handler, which may block.
pub type RequestHandler = Arc<dyn Fn(StubRequest) -> StubResponse + Send + Sync>;

/// A running server; stops when dropped.
#[derive(Debug)]
pub struct StubServer {
    address: SocketAddr,
    runtime: Option<Runtime>,
}

impl StubServer {
    /// Listens on `address` for requests with bodies of up to `max_body` bytes; port 0 selects a
    /// free port.
    ///
    /// Kinds: `LocalFailed`.
    pub fn start(address: SocketAddr, max_body: usize, handler: RequestHandler) -> Result<Self> {
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
        runtime.spawn(accept(listener, max_body, handler));
        Ok(Self {
            address,
            runtime: Some(runtime),
        })
    }

    /// Returns the listening address.
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

async fn accept(listener: TcpListener, max_body: usize, handler: RequestHandler) {
    loop {
        // An accept error affects only a single connection.
        if let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(serve_connection(socket, max_body, Arc::clone(&handler)));
        }
    }
}

async fn serve_connection(socket: TcpStream, max_body: usize, handler: RequestHandler) {
    // If this fails, responses are only slower.
    drop(socket.set_nodelay(true));
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(serve_request(request, max_body, handler).await) }
    });
    // Errors of a disconnecting client are not relevant to a stub.
    drop(
        http1::Builder::new()
            .serve_connection(TokioIo::new(socket), service)
            .await,
    );
}

async fn serve_request(
    request: Request<Incoming>,
    max_body: usize,
    handler: RequestHandler,
) -> Response<Full<Bytes>> {
    let (parts, incoming_body) = request.into_parts();
    let collected = Limited::new(incoming_body, max_body).collect().await;
    let request = StubRequest {
        method: parts.method,
        path: parts.uri.path().into(),
        query: parts.uri.query().unwrap_or_default().into(),
        body: collected
            .map(http_body_util::Collected::to_bytes)
            .map_err(|error| error.to_string().into()),
    };
    let response_data = tokio::task::spawn_blocking(move || handler(request)).await;
    let response_data = response_data.unwrap_or_else(|error| StubResponse {
        status: 500,
        body: error.to_string().into_bytes(),
    });
    let mut response = Response::new(Full::new(response_data.body.into()));
    *response.status_mut() =
        StatusCode::from_u16(response_data.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}
