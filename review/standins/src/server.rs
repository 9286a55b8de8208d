//! Stand-in for an application server.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::record::Record;
use crate::requester::send_once;

/// Interval of status reports.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Time for a status report to be acknowledged.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of requests that a server runs at the same time.
const SLOTS: usize = 12;
/// Number of requests that a server queues.
const QUEUE: usize = 48;
/// Bytes per piece of an endless body.
const PIECE_BYTES: usize = 64 << 10;

type Reply = Response<Either<Full<Bytes>, EndlessBody>>;

/// A request that a server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub server: String,
    pub at: Duration,
}

struct ServerState {
    address: SocketAddr,
    service: String,
    record: Record,
    id: Mutex<String>,
    born: AtomicU64,
    sequence: AtomicU64,
    slots: Semaphore,
    queued: AtomicU64,
    endless: AtomicBool,
    leaving: AtomicBool,
    runs: Mutex<Vec<Run>>,
    connections: Mutex<Vec<JoinHandle<()>>>,
    crashing: Notify,
}

/// A server, and the reports that it sends to the daemon beside it.
#[derive(Clone)]
pub struct Server {
    state: Arc<ServerState>,
    tasks: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl Server {
    /// Creates a server that does not listen yet.
    pub fn new(address: SocketAddr, service: &str, id: &str, record: &Record) -> Self {
        Self {
            state: Arc::new(ServerState {
                address,
                service: service.to_owned(),
                record: record.clone(),
                id: Mutex::new(id.to_owned()),
                born: AtomicU64::new(unix_millis()),
                sequence: AtomicU64::new(0),
                slots: Semaphore::new(SLOTS),
                queued: AtomicU64::new(0),
                endless: AtomicBool::new(false),
                leaving: AtomicBool::new(false),
                runs: Mutex::default(),
                connections: Mutex::default(),
                crashing: Notify::new(),
            }),
            tasks: Arc::default(),
        }
    }

    /// Listens, and reports to the daemon at `control` from `first_report` on.
    pub async fn start(&self, control: SocketAddr, first_report: Duration) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.state.address).await?;
        self.state.record.line(format_args!(
            "server {} ({}) starts, born {}",
            self.id(),
            self.state.service,
            self.state.born.load(Ordering::Relaxed)
        ));
        let state = Arc::clone(&self.state);
        let accepting = tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let _ = socket.set_nodelay(true);
                let serving = Arc::clone(&state);
                let service = service_fn(move |request| {
                    let state = Arc::clone(&serving);
                    async move { Ok::<_, Infallible>(answer(&state, request).await) }
                });
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(socket), service);
                let task = tokio::spawn(async move { drop(connection.await) });
                let mut connections = state.connections.lock().expect("not poisoned");
                connections.retain(|task| !task.is_finished());
                connections.push(task);
            }
        });
        let server = self.clone();
        let reporting = tokio::spawn(async move {
            sleep(first_report).await;
            loop {
                server.report(control, "ready").await;
                sleep(HEARTBEAT).await;
            }
        });
        let mut tasks = self.tasks.lock().expect("not poisoned");
        tasks.extend([accepting, reporting]);
        Ok(())
    }

    /// Ends the process of the server: nothing listens, and all connections are closed.
    pub async fn crash(&self) {
        self.state
            .record
            .line(format_args!("server {} ends", self.id()));
        let tasks: Vec<_> = self.tasks.lock().expect("not poisoned").drain(..).collect();
        for task in tasks {
            task.abort();
            let _ = task.await;
        }
        let connections =
            std::mem::take(&mut *self.state.connections.lock().expect("not poisoned"));
        for connection in connections {
            connection.abort();
            let _ = connection.await;
        }
    }

    /// Crashes with each request that crashes it, and is back `down_time` later, until cancelled.
    pub async fn run_crashes(self, control: SocketAddr, down_time: Duration) {
        for number in 2.. {
            self.state.crashing.notified().await;
            self.crash().await;
            sleep(down_time).await;
            let id = self.id();
            let name = id.rsplit_once('-').map_or(&*id, |(name, _)| name);
            self.renew(&format!("{name}-{number}"));
            if let Err(error) = self.start(control, Duration::from_millis(400)).await {
                self.state
                    .record
                    .say(format_args!("server {id} not back: {error}"));
            }
        }
    }

    /// Begins a new incarnation, under a new id or the one that it had.
    pub fn renew(&self, id: &str) {
        *self.state.id.lock().expect("not poisoned") = id.to_owned();
        self.state.born.store(unix_millis(), Ordering::Relaxed);
        self.state.sequence.store(0, Ordering::Relaxed);
        self.state.leaving.store(false, Ordering::Relaxed);
    }

    /// Ends status reports.
    pub fn end_reports(&self) {
        if let Some(reporting) = self.tasks.lock().expect("not poisoned").pop() {
            reporting.abort();
        }
    }

    /// Sets whether all answers are bytes without end.
    pub fn set_endless(&self, endless: bool) {
        self.state.endless.store(endless, Ordering::Relaxed);
    }

    pub fn id(&self) -> String {
        self.state.id.lock().expect("not poisoned").clone()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.runs.lock().expect("not poisoned").clone()
    }

    /// Reports that the server drains. From now on its liveness check fails and its answers say that
    /// it leaves. Returns whether that was acknowledged.
    pub async fn drain(&self, control: SocketAddr) -> bool {
        self.state.leaving.store(true, Ordering::Relaxed);
        self.report(control, "draining").await
    }

    /// Sends a report of another writer, which names this server and lacks some fields.
    pub async fn report_as_other_writer(&self, control: SocketAddr) -> bool {
        let body = serde_json::json!({
            "service": self.state.service,
            "address": self.state.address,
            "slots": SLOTS,
            "state": "ready",
            "sequence": 1,
            "born": unix_millis(),
        });
        let path = format!("/v1/Instances.Heartbeat/{}", self.id());
        self.state
            .record
            .line("a report of another writer, without zone, version and cold_remaining:");
        self.post(control, &path, &body).await
    }

    async fn report(&self, control: SocketAddr, state: &str) -> bool {
        let body = serde_json::json!({
            "service": self.state.service,
            "address": self.state.address,
            "zone": "dk-east-a",
            "version": "v1",
            "slots": SLOTS,
            "state": state,
            "cold_remaining": "0ms",
            "sequence": self.state.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            "born": self.state.born.load(Ordering::Relaxed),
        });
        let path = format!("/v1/Instances.Heartbeat/{}", self.id());
        self.post(control, &path, &body).await
    }

    /// Says that the server leaves, without a report as draining before. From now on its liveness
    /// check fails and its answers say that it leaves. Returns whether that was acknowledged.
    pub async fn leave(&self, control: SocketAddr) -> bool {
        self.state.leaving.store(true, Ordering::Relaxed);
        let body = serde_json::json!({
            "sequence": self.state.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            "born": self.state.born.load(Ordering::Relaxed),
        });
        let path = format!("/v1/Instances.Leave/{}", self.id());
        self.post(control, &path, &body).await
    }

    async fn post(&self, control: SocketAddr, path: &str, body: &serde_json::Value) -> bool {
        let body = body.to_string();
        let posting = send_once(control, "POST", path, &body);
        let status = timeout(REPORT_TIMEOUT, posting).await.unwrap_or(None);
        self.state
            .record
            .line(format_args!("server POST {path} {body} -> {status:?}"));
        status == Some(200)
    }
}

async fn answer(state: &Arc<ServerState>, request: Request<Incoming>) -> Reply {
    let id = state.id.lock().expect("not poisoned").clone();
    let path = request.uri().path().to_owned();
    let header = |name: &str| {
        let value = request.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let request_id = header("x-request-id").unwrap_or_default();
    if state.endless.load(Ordering::Relaxed) {
        state.record.line(format_args!(
            "server {id} answers {path} {request_id} without end"
        ));
        let mut response = Response::new(Either::Right(EndlessBody));
        set(&mut response, "x-instance-id", &id);
        return response;
    }
    if path == "/health" {
        let leaving = state.leaving.load(Ordering::Relaxed);
        return finish(
            state,
            reply(if leaving { 503 } else { 200 }, Bytes::new()),
            &id,
        );
    }
    if request_id.is_empty() {
        let mut response = reply(400, Bytes::new());
        set(&mut response, "x-not-executed", "1");
        return finish(state, response, &id);
    }
    let refuse = |status| {
        let mut response = reply(status, Bytes::new());
        set(&mut response, "x-request-id", &request_id);
        set(&mut response, "x-not-executed", "1");
        finish(state, response, &id)
    };
    if header("x-expected-instance").is_some_and(|expected| expected != id) {
        return refuse(421);
    }
    // Dropped with the connection, so a request that nobody waits for gives its place back.
    let place = QueuePlace::new(state);
    if state.queued.load(Ordering::Relaxed) > QUEUE as u64 {
        return refuse(503);
    }
    let Ok(body) = request.into_body().collect().await else {
        return refuse(400);
    };
    let slot = state.slots.acquire().await.expect("never closed");
    drop(place);
    let size = body.to_bytes().len();
    state.record.line(format_args!(
        "server {id} runs {request_id} {path}, {size} bytes"
    ));
    state.runs.lock().expect("not poisoned").push(Run {
        request: request_id.clone(),
        server: id.clone(),
        at: state.record.now(),
    });
    if path.contains("/crash/") {
        state.crashing.notify_one();
        std::future::pending::<()>().await;
    }
    sleep(work_time(&path)).await;
    drop(slot);
    state
        .record
        .line(format_args!("server {id} answers {request_id} 200"));
    let mut response = reply(200, Bytes::from(format!("{request_id} by {id}")));
    set(&mut response, "x-request-id", &request_id);
    set(&mut response, "x-response-signature", &format!("sign.{id}"));
    finish(state, response, &id)
}

/// Adds what a server says in all its answers.
fn finish(state: &ServerState, mut response: Reply, id: &str) -> Reply {
    set(&mut response, "x-instance-id", id);
    let running = SLOTS - state.slots.available_permits();
    let load = format!("{running},{},{SLOTS}", state.queued.load(Ordering::Relaxed));
    set(&mut response, "x-server-load", &load);
    set(&mut response, "keep-alive", "timeout=10");
    if state.leaving.load(Ordering::Relaxed) {
        set(&mut response, "server-leaving", "1");
    }
    response
}

/// Reads the work of a request from its path: `/album/300/7` takes 300 ms.
fn work_time(path: &str) -> Duration {
    let text = path.split('/').nth(2).unwrap_or_default();
    Duration::from_millis(text.parse().unwrap_or(100))
}

struct QueuePlace(Arc<ServerState>);

impl QueuePlace {
    fn new(state: &Arc<ServerState>) -> Self {
        state.queued.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(state))
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        self.0.queued.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A body of bytes without end, until the caller closes.
pub struct EndlessBody;

impl Body for EndlessBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        static PIECE: [u8; PIECE_BYTES] = [b'x'; PIECE_BYTES];
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(&PIECE)))))
    }
}

fn reply(status: u16, body: Bytes) -> Reply {
    let mut response = Response::new(Either::Left(Full::new(body)));
    *response.status_mut() = status.try_into().expect("a status");
    response
}

fn set(response: &mut Reply, name: &'static str, value: &str) {
    let value = value.parse().expect("a valid header");
    response.headers_mut().insert(name, value);
}

fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.expect("after 1970").as_millis() as u64
}
