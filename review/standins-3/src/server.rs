//! A sound server beside a daemon, which records what it runs.
//!
//! A path with a part `ms-N` takes N milliseconds, one with a part `size-N` is answered with N bytes,
//! and one with a part `pace-N` sends them evenly over N milliseconds.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use quetzal_soak::caller::call;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::time::{Interval, interval, sleep, timeout};

use crate::fleet::HEARTBEAT;

/// Number of requests that a server runs at the same time.
pub const SLOTS: usize = 12;
/// Number of pieces of a body that is sent over some time.
const PIECES: usize = 50;
/// A grey server fails one in this many of its runs.
const GREY_INTERVAL: usize = 4;
/// Number of the next server.
static NEXT: AtomicU64 = AtomicU64::new(1);

/// One request that a server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// When it began.
    pub at: Instant,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Run {
    /// Returns a header as text; a dash if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or("-")
    }
}

/// An answer.
type Reply = Response<Either<Full<Bytes>, PacedBody>>;

/// A body that is sent in equal pieces at equal intervals.
struct PacedBody {
    left: Bytes,
    piece: usize,
    ticks: Interval,
}

impl PacedBody {
    fn new(bytes: Bytes, time_ms: u64) -> Self {
        Self {
            piece: bytes.len() / PIECES + 1,
            left: bytes,
            ticks: interval(Duration::from_millis(time_ms) / PIECES as u32),
        }
    }
}

impl Body for PacedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.left.is_empty() {
            return Poll::Ready(None);
        }
        ready!(self.ticks.poll_tick(cx));
        let length = self.piece.min(self.left.len());
        Poll::Ready(Some(Ok(Frame::data(self.left.split_to(length)))))
    }
}

struct ServerState {
    id: String,
    service: String,
    address: SocketAddr,
    born: u64,
    sequence: AtomicU64,
    slots: Semaphore,
    runs: Mutex<Vec<Run>>,
    grey: AtomicBool,
}

/// A server.
pub struct Server {
    state: Arc<ServerState>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Server {
    /// Starts a server of `service` at `address`.
    pub async fn start(address: SocketAddr, service: &str) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let state = Arc::new(ServerState {
            id: format!("i-{:08x}", NEXT.fetch_add(1, Ordering::Relaxed)),
            service: service.to_owned(),
            address,
            born: born.map_or(0, |time| time.as_millis() as u64),
            sequence: AtomicU64::new(0),
            slots: Semaphore::new(SLOTS),
            runs: Mutex::default(),
            grey: AtomicBool::new(false),
        });
        let listener = TcpListener::bind(address).await.expect("a free address");
        let serving = Arc::clone(&state);
        let accepting = tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                drop(socket.set_nodelay(true));
                let state = Arc::clone(&serving);
                let service = service_fn(move |request| {
                    let state = Arc::clone(&state);
                    async move { Ok::<_, Infallible>(answer(&state, request).await) }
                });
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(socket), service);
                tokio::spawn(async move { drop(connection.await) });
            }
        });
        Self {
            state,
            tasks: Mutex::new(vec![accepting]),
        }
    }

    /// Returns the service.
    pub fn service(&self) -> &str {
        &self.state.service
    }

    /// Sends status reports to the daemon at `address` from now on.
    pub fn report_to(&self, address: SocketAddr) {
        let state = Arc::clone(&self.state);
        let reporting = tokio::spawn(async move {
            loop {
                let body = format!(
                    r#"{{"service":"{}","address":"{}","zone":"east-a","version":"v1","slots":{SLOTS},"state":"ready","cold_remaining":"0ms","sequence":{},"born":{}}}"#,
                    state.service,
                    state.address,
                    state.sequence.fetch_add(1, Ordering::Relaxed) + 1,
                    state.born
                );
                let path = format!("/v1/Instances.Heartbeat/{}", state.id);
                let sending = call(address, "POST", &path, &[], body.as_bytes());
                drop(timeout(Duration::from_secs(1), sending).await);
                sleep(HEARTBEAT).await;
            }
        });
        self.tasks.lock().expect("not poisoned").push(reporting);
    }

    /// Sets whether the server fails a part of the requests that it has run, with a 503 that does not
    /// say that they have not run.
    pub fn set_grey(&self, grey: bool) {
        self.state.grey.store(grey, Ordering::Relaxed);
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.state.runs.lock().expect("not poisoned").clone()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        for task in self.tasks.lock().expect("not poisoned").drain(..) {
            task.abort();
        }
    }
}

/// Returns the number behind `name` in one of the parts of `path`.
fn part(path: &str, name: &str) -> u64 {
    let mut parts = path.split('/');
    let found = parts.find_map(|part| part.strip_prefix(name)?.parse().ok());
    found.unwrap_or(0)
}

async fn answer(state: &Arc<ServerState>, request: Request<Incoming>) -> Reply {
    let load = || {
        let running = SLOTS - state.slots.available_permits();
        format!("{running},0,{SLOTS}")
    };
    let (parts, body) = request.into_parts();
    if parts.uri.path() == "/health" {
        let headers = [
            ("x-instance-id", state.id.as_str()),
            ("x-server-load", &load()),
        ];
        return reply(200, &headers, Bytes::new());
    }
    let text = |name: &str| {
        let value = parts
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let id = text("x-request-id");
    let expected = text("x-expected-instance");
    if !expected.is_empty() && expected != state.id {
        let headers = [("x-request-id", id.as_str()), ("x-instance-id", &state.id)];
        return reply(421, &headers, Bytes::new());
    }
    let Ok(body) = body.collect().await else {
        return reply(
            400,
            &[("x-request-id", &id), ("x-not-executed", "1")],
            Bytes::new(),
        );
    };
    let Ok(_slot) = state.slots.try_acquire() else {
        let headers = [("x-request-id", id.as_str()), ("x-not-executed", "1")];
        return reply(503, &headers, Bytes::new());
    };
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let path = path.to_owned();
    let number = {
        let mut runs = state.runs.lock().expect("not poisoned");
        runs.push(Run {
            at: Instant::now(),
            path: path.clone(),
            headers: parts.headers.clone(),
            body: body.to_bytes(),
        });
        runs.len()
    };
    sleep(Duration::from_millis(part(&path, "ms-"))).await;
    let size = part(&path, "size-") as usize;
    let bytes = if size > 0 {
        Bytes::from(vec![b'a'; size])
    } else {
        Bytes::from(path.clone())
    };
    let signature = format!("{}.{id}", state.id);
    let headers = [
        ("x-request-id", id.as_str()),
        ("x-response-signature", &signature),
        ("x-server-load", &load()),
    ];
    let pace = part(&path, "pace-");
    if pace > 0 {
        let mut paced = reply(200, &headers, Bytes::new());
        *paced.body_mut() = Either::Right(PacedBody::new(bytes, pace));
        return paced;
    }
    if state.grey.load(Ordering::Relaxed) && number.is_multiple_of(GREY_INTERVAL) {
        return reply(
            503,
            &headers,
            Bytes::from_static(b"failed at the last step"),
        );
    }
    reply(200, &headers, bytes)
}

fn reply(status: u16, headers: &[(&str, &str)], body: Bytes) -> Reply {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    response
        .body(Either::Left(Full::new(body)))
        .expect("a valid answer")
}
