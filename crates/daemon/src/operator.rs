//! HTTP API for operators and for the targets of this daemon.
//!
//! JSON over HTTP on its own address with its own limits, so that operators and callers
//! cannot use up each other's connections.
//!
//! - `POST /v1/targets`: a target's announcement, repeated as its heartbeat
//! - `GET /v1/status`: status of this daemon, the fleet and the members
//! - `GET /v1/snapshot`: the accepted configuration, encoded
//! - `GET /v1/outcome/ID`: the verdict on a change, or null
//! - `GET /v1/timeline?since_ms=N`: the events of all daemons; filtered by `service`,
//!   `domain` and `process`, and limited in number by `events`
//! - `POST /v1/drain`: starts a planned stop

use std::sync::Arc;

use http::{Method, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use members::TargetAnnouncement;
use model::{ChangeId, ErrorKind, KindError};
use plans::StateSnapshot;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::spawn_blocking;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::accept::{AcceptBounds, ConnectionFault, serve_http};
use crate::body::{BodyBounds, CallBody};
use crate::control::ControlEvent;
use crate::core::DaemonCore;
use crate::timeline::{collect_timeline, read_query};

/// Result of answering an operator.
pub type Result<T> = model::Result<T>;

/// Maximum number of expensive requests processed at once; others wait.
const MAX_EXPENSIVE_REQUESTS: usize = 2;
/// Maximum size of a request's headers in bytes.
const MAX_HEADER_BYTES: usize = 8 << 10;
/// Maximum size of a request's body in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Path prefix before the id of a change.
const OUTCOME_PATH: &str = "/v1/outcome/";

/// Handler of operators' requests.
#[derive(Clone, Debug)]
pub struct OperatorApi {
    core: Arc<DaemonCore>,
    events: mpsc::Sender<ControlEvent>,
    stop: CancellationToken,
    expensive: Arc<Semaphore>,
}

/// Serves operators until `token` is cancelled, then waits for open requests to finish.
pub async fn serve_operators(api: OperatorApi, listener: TcpListener, token: CancellationToken) {
    let settings = &api.core.settings;
    let bounds = AcceptBounds {
        max_connections: settings.numbers.operator_connections as usize,
        header_timeout: settings.header_timeout(),
        max_header_bytes: MAX_HEADER_BYTES,
        write_timeout: settings.idle_timeout(),
    };
    let core = Arc::clone(&api.core);
    let answer = move |request| {
        let api = api.clone();
        async move { api.answer(request).await }
    };
    let on_fault = move |fault| count_fault(&core, fault);
    serve_http(listener, bounds, token, answer, on_fault).await;
}

fn count_fault(core: &DaemonCore, fault: ConnectionFault) {
    core.counters.count(match fault {
        ConnectionFault::LimitReached => "operator-connections-exceeded",
        ConnectionFault::HeaderTimeout => "operator-header-timeouts",
        ConnectionFault::Malformed => "operator-parse-errors",
        ConnectionFault::Disconnected => "operator-connections-broken",
        ConnectionFault::AcceptFailed => "operator-accepts-failed",
    });
}

/// A response body and its content type.
struct OperatorAnswer {
    content_type: &'static str,
    body: Vec<u8>,
}

impl OperatorAnswer {
    fn json(body: &impl Serialize) -> Result<Self> {
        let body = serde_json::to_vec(body)
            .map_err(|error| KindError::new(ErrorKind::LocalFailed, error.to_string()))?;
        Ok(Self {
            content_type: "application/json",
            body,
        })
    }
}

impl OperatorApi {
    /// Returns the API of the daemon `core`, whose control loop receives `events`.
    ///
    /// `stop` is cancelled when an operator asks for a planned stop.
    pub fn new(
        core: Arc<DaemonCore>,
        events: mpsc::Sender<ControlEvent>,
        stop: CancellationToken,
    ) -> Self {
        Self {
            core,
            events,
            stop,
            expensive: Arc::new(Semaphore::new(MAX_EXPENSIVE_REQUESTS)),
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<CallBody> {
        self.core.counters.count("operator-requests");
        let (status, answer) = match self.dispatch(request).await {
            Ok(answer) => (200, answer),
            Err(error) => {
                let status = error.kind.properties().status;
                let answer = OperatorAnswer::json(&error);
                (status, answer.unwrap_or(EMPTY_ANSWER))
            }
        };
        let mut response = Response::new(CallBody::from_bytes(answer.body));
        let fallback = StatusCode::INTERNAL_SERVER_ERROR;
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or(fallback);
        response.headers_mut().insert(
            http::header::CONTENT_TYPE,
            http::HeaderValue::from_static(answer.content_type),
        );
        response
    }

    async fn dispatch(&self, request: Request<Incoming>) -> Result<OperatorAnswer> {
        let (parts, body) = request.into_parts();
        match (&parts.method, parts.uri.path()) {
            (&Method::POST, "/v1/targets") => self.announce(body).await,
            (&Method::GET, "/v1/status") => self.status().await,
            (&Method::GET, "/v1/snapshot") => self.snapshot().await,
            (&Method::GET, "/v1/timeline") => self.timeline(&parts.uri).await,
            (&Method::GET, path) if path.starts_with(OUTCOME_PATH) => self.outcome(path),
            (&Method::POST, "/v1/drain") => self.drain(),
            _ => Err(KindError::new(
                ErrorKind::RouteUnknown,
                "no such method and path",
            )),
        }
    }

    async fn announce(&self, body: Incoming) -> Result<OperatorAnswer> {
        let body = self.read_body(body).await?;
        let announcement: TargetAnnouncement = serde_json::from_slice(body.bytes())
            .map_err(|error| KindError::new(ErrorKind::RequestInvalid, error.to_string()))?;
        let change = self.core.local_targets.announce(&self.core, announcement)?;
        if let Some(change) = &change {
            self.core.record_target_change(change);
            self.send_event(ControlEvent::TargetsChanged).await?;
        }
        OperatorAnswer::json(&change.is_some())
    }

    /// Reads the whole body, limited in size and time.
    async fn read_body(&self, incoming: Incoming) -> Result<CallBody> {
        let time_limit = self.core.settings.idle_timeout();
        let bounds = BodyBounds {
            max_bytes: MAX_BODY_BYTES as u64,
            idle_timeout: time_limit,
        };
        let mut body = CallBody::from_caller(incoming, bounds);
        // Bytes that arrive slowly enough would keep the idle timeout from firing for hours.
        let read = timeout(time_limit, body.read_ahead(MAX_BODY_BYTES)).await;
        read.map_err(|elapsed| KindError::new(ErrorKind::IdleTimeout, elapsed.to_string()))??;
        Ok(body)
    }

    async fn status(&self) -> Result<OperatorAnswer> {
        let (sender, receiver) = oneshot::channel();
        self.send_event(ControlEvent::Status(sender)).await?;
        let report = receiver.await.map_err(|error| stopping(&error))?;
        OperatorAnswer::json(&report)
    }

    async fn snapshot(&self) -> Result<OperatorAnswer> {
        let state = self.core.state.load_full();
        let state = state.ok_or_else(|| {
            KindError::new(
                ErrorKind::ConfigAbsent,
                "this daemon holds no configuration yet",
            )
        })?;
        let permit = self.expensive.acquire().await;
        let _permit = permit.map_err(|error| stopping(&error))?;
        // Encoding a large state takes milliseconds and must not block calls.
        let encoding = spawn_blocking(move || StateSnapshot::of(&state).encode());
        let body = encoding.await.map_err(|error| stopping(&error))??;
        Ok(OperatorAnswer {
            content_type: "application/octet-stream",
            body,
        })
    }

    fn outcome(&self, path: &str) -> Result<OperatorAnswer> {
        let parsed = path[OUTCOME_PATH.len()..].parse::<ChangeId>();
        let id =
            parsed.map_err(|error| KindError::new(ErrorKind::RequestInvalid, error.to_string()))?;
        let state = self.core.state.load_full();
        OperatorAnswer::json(&state.and_then(|state| state.outcome_of(id)))
    }

    async fn timeline(&self, uri: &Uri) -> Result<OperatorAnswer> {
        let query = read_query(uri.query().unwrap_or_default())?;
        let permit = self.expensive.acquire().await;
        let _permit = permit.map_err(|error| stopping(&error))?;
        OperatorAnswer::json(&collect_timeline(&self.core, query).await)
    }

    fn drain(&self) -> Result<OperatorAnswer> {
        self.stop.cancel();
        OperatorAnswer::json(&true)
    }

    async fn send_event(&self, event: ControlEvent) -> Result<()> {
        let sent = self.events.send(event).await;
        sent.map_err(|error| stopping(&error))
    }
}

/// Answer if an error cannot be encoded.
const EMPTY_ANSWER: OperatorAnswer = OperatorAnswer {
    content_type: "text/plain",
    body: Vec::new(),
};

fn stopping(error: &dyn std::error::Error) -> KindError {
    KindError::new(
        ErrorKind::Draining,
        format!("this daemon is stopping: {error}"),
    )
}
