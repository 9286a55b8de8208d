//! HTTP client for the targets of this daemon.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderValue, Method, Request, Response, Uri};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use model::{ErrorKind, KindError};

use crate::body::CallBody;
use crate::peer_messages::{CallHead, unpack_headers};

/// Result of a call to a target.
///
/// Kinds: `RequestInvalid`, `FrameInvalid` and `TargetAbsent`, which are proven not to have run,
/// and `OutcomeUnknown`.
pub type Result<T> = model::Result<T>;

/// Time to connect to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection is closed; shorter than the idle timeout of usual
/// targets, which would otherwise close a connection that is about to be used.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// An HTTP client with a connection pool for this daemon's targets.
#[derive(Debug)]
pub struct TargetClient {
    client: Client<HttpConnector, CallBody>,
}

impl TargetClient {
    /// Returns a client without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .build(connector);
        Self { client }
    }

    /// Sends a call and waits for the head of the response.
    pub async fn send(
        &self,
        address: SocketAddr,
        head: &CallHead,
        body: CallBody,
    ) -> Result<Response<Incoming>> {
        let request = build_request(address, head, body)?;
        self.client.request(request).await.map_err(|error| {
            let kind = if error.is_connect() {
                ErrorKind::TargetAbsent
            } else {
                ErrorKind::OutcomeUnknown
            };
            KindError::new(kind, error_chain(&error))
        })
    }
}

impl Default for TargetClient {
    fn default() -> Self {
        Self::new()
    }
}

fn build_request(
    address: SocketAddr,
    head: &CallHead,
    body: CallBody,
) -> Result<Request<CallBody>> {
    let invalid = |detail: String| KindError::new(ErrorKind::RequestInvalid, detail);
    let method = Method::from_bytes(head.method.as_str().as_bytes())
        .map_err(|error| invalid(error.to_string()))?;
    let uri: Uri = format!("http://{address}{}", head.path)
        .parse()
        .map_err(|error: http::uri::InvalidUri| invalid(error.to_string()))?;
    let mut request = Request::new(body);
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    *request.headers_mut() = unpack_headers(&head.headers)?;
    let headers = request.headers_mut();
    // Targets should copy these headers to their own calls, so that deadline, depth and the
    // retry mark apply to the whole chain.
    headers.insert(
        "quetzal-timeout-ms",
        number_value(head.remaining.as_millis()),
    );
    headers.insert("quetzal-depth", number_value(head.depth.into()));
    let mark = if head.mark == route::RetryMark::Repeated {
        "1"
    } else {
        "0"
    };
    headers.insert("quetzal-repeated", HeaderValue::from_static(mark));
    Ok(request)
}

fn number_value(number: u128) -> HeaderValue {
    HeaderValue::from_str(&number.to_string()).expect("digits are a valid header value")
}

/// Returns the error and its sources in one line.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
