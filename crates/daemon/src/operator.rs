//! The interface for operators and for the targets beside this daemon.
//!
//! Plain HTTP with JSON, apart from the callers' address. Bodies are bounded,
//! and a few threads answer, so that this interface never weighs on calls.
//!
//! - `POST /v1/targets`: a target's announcement, repeated as heartbeat
//! - `GET /v1/status`: this daemon, the fleet, the members
//! - `GET /v1/snapshot`: the accepted configuration, encoded
//! - `GET /v1/outcome/ID`: the verdict on a change, or null
//! - `GET /v1/timeline?since_ms=N`: the events of all daemons
//! - `POST /v1/drain`: begins a planned stop

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use members::TargetAnnouncement;
use model::{ChangeId, ErrorKind, KindError};
use plans::StateSnapshot;
use serde::Serialize;
use tiny_http::{Header, Method, Request, Response, Server};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::control::ControlEvent;
use crate::core::DaemonCore;
use crate::timeline::{collect_timeline, read_since};

/// Results of answering an operator.
pub type Result<T> = model::Result<T>;

/// Threads that answer.
const WORKER_COUNT: usize = 4;
/// Largest body in bytes.
const MAX_BODY_BYTES: u64 = 64 << 10;
/// Path before the id of a change.
const OUTCOME_PATH: &str = "/v1/outcome/";

/// The interface while it runs; stops and joins its threads when dropped.
pub struct OperatorServer {
    address: SocketAddr,
    server: Arc<Server>,
    workers: Vec<JoinHandle<()>>,
}

impl std::fmt::Debug for OperatorServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "OperatorServer({})", self.address)
    }
}

/// What the threads need.
#[derive(Clone, Debug)]
pub struct OperatorDesk {
    /// The daemon.
    pub core: Arc<DaemonCore>,
    /// Its control loop.
    pub events: mpsc::Sender<ControlEvent>,
    /// The daemon's runtime.
    pub handle: Handle,
    /// Cancelled when an operator asks for a planned stop.
    pub stop: CancellationToken,
}

impl OperatorServer {
    /// Serves on `address`; port 0 takes a free one.
    ///
    /// Kinds: `LocalFailed`.
    pub fn start(address: SocketAddr, desk: &OperatorDesk) -> Result<Self> {
        let failed = |detail: String| KindError::new(ErrorKind::LocalFailed, detail);
        let server =
            Server::http(address).map_err(|error| failed(format!("{address}: {error}")))?;
        let bound = server.server_addr().to_ip();
        let address = bound.ok_or_else(|| failed(format!("{address}: no IP address")))?;
        let server = Arc::new(server);
        let workers = (0..WORKER_COUNT)
            .map(|_| spawn_worker(Arc::clone(&server), desk.clone()))
            .collect();
        Ok(Self {
            address,
            server,
            workers,
        })
    }

    /// The address served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for OperatorServer {
    fn drop(&mut self) {
        for _ in &self.workers {
            self.server.unblock();
        }
        for worker in self.workers.drain(..) {
            drop(worker.join());
        }
    }
}

fn spawn_worker(server: Arc<Server>, desk: OperatorDesk) -> JoinHandle<()> {
    thread::spawn(move || {
        while let Ok(request) = server.recv() {
            desk.answer(request);
        }
    })
}

/// A body and its type.
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

impl OperatorDesk {
    fn answer(&self, mut request: Request) {
        self.core.counters.count("operator-requests");
        let (status, answer) = match self.dispatch(&mut request) {
            Ok(answer) => (200, answer),
            Err(error) => {
                let status = error.kind.answer().status;
                let answer = OperatorAnswer::json(&error);
                (status, answer.unwrap_or(EMPTY_ANSWER))
            }
        };
        let mut response = Response::from_data(answer.body).with_status_code(status);
        if let Ok(header) = Header::from_bytes("content-type", answer.content_type) {
            response.add_header(header);
        }
        // An operator that left misses the answer.
        drop(request.respond(response));
    }

    fn dispatch(&self, request: &mut Request) -> Result<OperatorAnswer> {
        let url: Box<str> = request.url().into();
        let path = url.split('?').next().unwrap_or(&url);
        match (request.method(), path) {
            (Method::Post, "/v1/targets") => self.announce(request),
            (Method::Get, "/v1/status") => self.status(),
            (Method::Get, "/v1/snapshot") => self.snapshot(),
            (Method::Get, "/v1/timeline") => self.timeline(&url),
            (Method::Get, path) if path.starts_with(OUTCOME_PATH) => self.outcome(path),
            (Method::Post, "/v1/drain") => self.drain(),
            _ => Err(KindError::new(ErrorKind::RouteUnknown, "no such path")),
        }
    }

    fn announce(&self, request: &mut Request) -> Result<OperatorAnswer> {
        let body = read_body(request)?;
        let announcement: TargetAnnouncement = serde_json::from_slice(&body)
            .map_err(|error| KindError::new(ErrorKind::RequestInvalid, error.to_string()))?;
        let change = self.core.beside.announce(announcement)?;
        if let Some(change) = &change {
            self.core.note_target(change);
            self.tell(ControlEvent::TargetsChanged)?;
        }
        OperatorAnswer::json(&change.is_some())
    }

    fn status(&self) -> Result<OperatorAnswer> {
        let (sender, receiver) = oneshot::channel();
        self.tell(ControlEvent::Status(sender))?;
        let report = receiver.blocking_recv().map_err(|error| stopping(&error))?;
        OperatorAnswer::json(&report)
    }

    fn snapshot(&self) -> Result<OperatorAnswer> {
        let state = self.core.state.load_full();
        let state = state.ok_or_else(|| {
            KindError::new(
                ErrorKind::ConfigAbsent,
                "this daemon holds no configuration yet",
            )
        })?;
        Ok(OperatorAnswer {
            content_type: "application/octet-stream",
            body: StateSnapshot::of(&state).encode()?,
        })
    }

    fn outcome(&self, path: &str) -> Result<OperatorAnswer> {
        let parsed = path[OUTCOME_PATH.len()..].parse::<ChangeId>();
        let id =
            parsed.map_err(|error| KindError::new(ErrorKind::RequestInvalid, error.to_string()))?;
        let state = self.core.state.load_full();
        OperatorAnswer::json(&state.and_then(|state| state.outcome_of(id)))
    }

    fn timeline(&self, url: &str) -> Result<OperatorAnswer> {
        let collected = collect_timeline(&self.core, read_since(url)?);
        OperatorAnswer::json(&self.handle.block_on(collected))
    }

    fn drain(&self) -> Result<OperatorAnswer> {
        self.stop.cancel();
        OperatorAnswer::json(&true)
    }

    fn tell(&self, event: ControlEvent) -> Result<()> {
        self.events
            .blocking_send(event)
            .map_err(|error| stopping(&error))
    }
}

const EMPTY_ANSWER: OperatorAnswer = OperatorAnswer {
    content_type: "text/plain",
    body: Vec::new(),
};

fn read_body(request: &mut Request) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    let mut bounded = request.as_reader().take(MAX_BODY_BYTES + 1);
    bounded
        .read_to_end(&mut body)
        .map_err(|error| KindError::new(ErrorKind::RequestInvalid, error.to_string()))?;
    model::ensure(
        body.len() as u64 <= MAX_BODY_BYTES,
        ErrorKind::BodyTooLarge,
        "an announcement is small",
    )?;
    Ok(body)
}

fn stopping(error: &dyn std::error::Error) -> KindError {
    KindError::new(
        ErrorKind::Draining,
        format!("this daemon is stopping: {error}"),
    )
}
