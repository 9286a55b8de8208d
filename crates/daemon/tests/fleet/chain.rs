//! A chain of services: each target calls the next service and passes on the headers with the
//! remaining time, the depth and the retry mark.

#![allow(dead_code, reason = "each test file uses some of it")]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use members::{TargetAnnouncement, TargetState};
use model::{CallCount, IncarnationNumber};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;

/// Interval at which every target is announced.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a held call checks whether it may end.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Addresses of a daemon: targets call through `caller_address` and are announced at
/// `operator_address`.
#[derive(Clone, Copy, Debug)]
pub struct DaemonAddresses {
    pub caller_address: SocketAddr,
    pub operator_address: SocketAddr,
}

/// Headers of a call that a target received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReceivedCall {
    pub remaining_ms: u64,
    pub depth: u64,
    pub repeated: bool,
}

/// Behavior of all targets of a chain; may change while they run.
#[derive(Debug, Default)]
pub struct ChainBehavior {
    /// While set, calls at the last service do not end.
    pub hold_last: AtomicBool,
    /// The targets of the last service close the connection instead of answering.
    pub break_last: AtomicBool,
    /// A target whose call to the next service failed closes the connection instead of answering.
    pub break_on_failure: AtomicBool,
    /// Time in ms that a target waits before it calls the next service.
    pub work_ms: AtomicUsize,
}

/// A target of one service of the chain.
#[derive(Debug)]
pub struct ChainTarget {
    /// Position of its service in the chain, counted from 1.
    pub number: usize,
    pub address: SocketAddr,
    pub arrivals: Mutex<Vec<ReceivedCall>>,
    /// Number of calls aborted before the answer.
    pub aborted: AtomicUsize,
    next: Option<SocketAddr>,
    behavior: Arc<ChainBehavior>,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// The targets of all services of a chain; they are announced until this is dropped.
#[derive(Debug)]
pub struct ServiceChain {
    pub targets: Vec<Arc<ChainTarget>>,
    pub behavior: Arc<ChainBehavior>,
    stop: Arc<AtomicBool>,
    announcer: Option<JoinHandle<()>>,
}

/// Makes the HTTP server close the connection without an answer.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the target closed the connection")]
pub struct ConnectionBroken;

type ChainResult = Result<Response<Full<Bytes>>, ConnectionBroken>;

/// Returns the name of the service at position `number`, counted from 1.
pub fn service_name(number: usize) -> String {
    format!("step-{number:02}")
}

/// Returns the allowances list for a chain of `length` services.
pub fn chain_allowances(length: usize, timeout_ms: u64) -> String {
    let each = |line: &dyn Fn(&str) -> String| {
        let lines: Vec<String> = (1..=length)
            .map(|number| line(&service_name(number)))
            .collect();
        lines.join(",\n")
    };
    let services = each(&|name| {
        format!(
            r#""{name}": {{ "path": "/{name}", "timeout_ms": {timeout_ms}, "kind": "report",
                            "methods": {{ "GET": {{ "idempotent": true }} }} }}"#
        )
    });
    let grants = each(&|name| {
        format!(
            r#""{name}": {{ "methods": ["GET"], "rate_per_s": 100000, "calls_at_once": 1000 }}"#
        )
    });
    format!(r#"{{ "services": {{ {services} }}, "plans": {{ "agency": {{ {grants} }} }} }}"#)
}

impl ServiceChain {
    /// Starts the targets of `length` services, beside the daemons in turn; the last service
    /// has `last_copies` targets.
    pub fn start(
        runtime: &Handle,
        length: usize,
        daemons: &[DaemonAddresses],
        last_copies: usize,
    ) -> Self {
        let behavior = Arc::new(ChainBehavior::default());
        let mut targets = Vec::new();
        let mut announcements = Vec::new();
        for number in 1..=length {
            let copies = if number == length { last_copies } else { 1 };
            for copy in 0..copies {
                let daemon = daemons[(number + copy) % daemons.len()];
                let next = (number < length).then_some(daemon.caller_address);
                let target = start_chain_target(runtime, number, next, &behavior);
                announcements.push((daemon.operator_address, announcement_of(&target, copy)));
                targets.push(target);
            }
        }
        let stop = Arc::new(AtomicBool::new(false));
        let stopping = Arc::clone(&stop);
        let announcer = std::thread::spawn(move || {
            while !stopping.load(Ordering::SeqCst) {
                for (operator, announcement) in &announcements {
                    announce(*operator, announcement);
                }
                std::thread::sleep(ANNOUNCE_INTERVAL);
            }
        });
        Self {
            targets,
            behavior,
            stop,
            announcer: Some(announcer),
        }
    }

    /// Starts targets that call one another without daemons.
    pub fn start_direct(runtime: &Handle, length: usize) -> Self {
        let behavior = Arc::new(ChainBehavior::default());
        let mut targets = Vec::new();
        let mut next = None;
        for number in (1..=length).rev() {
            let target = start_chain_target(runtime, number, next, &behavior);
            next = Some(target.address);
            targets.push(target);
        }
        targets.reverse();
        Self {
            targets,
            behavior,
            stop: Arc::default(),
            announcer: None,
        }
    }

    /// Returns the calls that the targets of the service at `number` received.
    pub fn arrivals(&self, number: usize) -> Vec<ReceivedCall> {
        let targets = self.targets.iter().filter(|target| target.number == number);
        targets
            .flat_map(|target| target.arrivals.lock().unwrap().clone())
            .collect()
    }

    /// Returns the number of calls aborted at the targets of the service at `number`.
    pub fn aborted(&self, number: usize) -> usize {
        let targets = self.targets.iter().filter(|target| target.number == number);
        targets
            .map(|target| target.aborted.load(Ordering::SeqCst))
            .sum()
    }

    /// Clears the received calls of all targets.
    pub fn clear(&self) {
        for target in &self.targets {
            target.arrivals.lock().unwrap().clear();
        }
    }
}

impl Drop for ServiceChain {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.behavior.hold_last.store(false, Ordering::SeqCst);
        if let Some(announcer) = self.announcer.take() {
            announcer.join().unwrap();
        }
    }
}

/// Counts a call as aborted if its future is dropped before it completes.
struct AbortCounter<'target> {
    target: &'target ChainTarget,
    ended: bool,
}

impl Drop for AbortCounter<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.target.aborted.fetch_add(1, Ordering::SeqCst);
        }
    }
}

impl ChainTarget {
    async fn serve(&self, request: Request<Incoming>) -> ChainResult {
        let mut abort_counter = AbortCounter {
            target: self,
            ended: false,
        };
        let result = self.run(request).await;
        abort_counter.ended = true;
        result
    }

    async fn run(&self, request: Request<Incoming>) -> ChainResult {
        let arrived = Instant::now();
        let headers = request.headers();
        let arrival = ReceivedCall {
            remaining_ms: number(headers, "quetzal-timeout-ms"),
            depth: number(headers, "quetzal-depth"),
            repeated: number(headers, "quetzal-repeated") == 1,
        };
        self.arrivals.lock().unwrap().push(arrival);
        let work_ms = self.behavior.work_ms.load(Ordering::SeqCst);
        if work_ms > 0 {
            tokio::time::sleep(Duration::from_millis(work_ms as u64)).await;
        }
        match self.next {
            Some(next) => self.call_next(next, headers, arrived).await,
            None => self.end_chain().await,
        }
    }

    async fn end_chain(&self) -> ChainResult {
        while self.behavior.hold_last.load(Ordering::SeqCst) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        if self.behavior.break_last.load(Ordering::SeqCst) {
            return Err(ConnectionBroken);
        }
        Ok(Response::new(Full::from(service_name(self.number))))
    }

    async fn call_next(
        &self,
        next: SocketAddr,
        headers: &HeaderMap,
        arrived: Instant,
    ) -> ChainResult {
        let request = self.next_request(next, headers, arrived);
        let answered = self.client.request(request).await;
        let failed = answered
            .as_ref()
            .map_or(true, |answer| answer.status().is_server_error());
        if failed && self.behavior.break_on_failure.load(Ordering::SeqCst) {
            return Err(ConnectionBroken);
        }
        let Ok(answer) = answered else {
            return Ok(failed_answer("the next service gave no answer"));
        };
        let status = answer.status();
        let Ok(body) = answer.into_body().collect().await else {
            return Ok(failed_answer("the next service's answer is incomplete"));
        };
        let mut text = service_name(self.number).into_bytes();
        text.push(b' ');
        text.extend_from_slice(&body.to_bytes());
        let mut response = Response::new(Full::from(text));
        *response.status_mut() = status;
        Ok(response)
    }

    /// Builds the call to the next service; subtracts the time spent here from the remaining time.
    fn next_request(
        &self,
        next: SocketAddr,
        headers: &HeaderMap,
        arrived: Instant,
    ) -> Request<Full<Bytes>> {
        let path = service_name(self.number + 1);
        let mut request = Request::get(format!("http://{next}/{path}"));
        for name in ["quetzal-customer", "quetzal-depth", "quetzal-repeated"] {
            if let Some(value) = headers.get(name) {
                request = request.header(name, value);
            }
        }
        if headers.contains_key("quetzal-timeout-ms") {
            let spent = arrived.elapsed().as_millis() as u64;
            let remaining = number(headers, "quetzal-timeout-ms").saturating_sub(spent);
            request = request.header("quetzal-timeout-ms", remaining);
        }
        request.body(Full::default()).expect("a request")
    }
}

fn start_chain_target(
    runtime: &Handle,
    number: usize,
    next: Option<SocketAddr>,
    behavior: &Arc<ChainBehavior>,
) -> Arc<ChainTarget> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = std::net::TcpListener::bind(any_port).unwrap();
    listener.set_nonblocking(true).unwrap();
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let target = Arc::new(ChainTarget {
        number,
        address: listener.local_addr().unwrap(),
        arrivals: Mutex::default(),
        aborted: AtomicUsize::new(0),
        next,
        behavior: Arc::clone(behavior),
        client: Client::builder(TokioExecutor::new()).build(connector),
    });
    let serving = Arc::clone(&target);
    runtime.spawn(async move {
        let listener = TcpListener::from_std(listener).unwrap();
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(serve_connection(Arc::clone(&serving), socket));
        }
    });
    target
}

async fn serve_connection(target: Arc<ChainTarget>, socket: TcpStream) {
    // If this fails, answers are only slower.
    drop(socket.set_nodelay(true));
    let service = service_fn(move |request| {
        let target = Arc::clone(&target);
        async move { target.serve(request).await }
    });
    let serving = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
    // Tests break connections on purpose.
    drop(serving.await);
}

fn failed_answer(text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = http::StatusCode::BAD_GATEWAY;
    response
}

fn number(headers: &HeaderMap, name: &str) -> u64 {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.and_then(|text| text.parse().ok()).unwrap_or_default()
}

fn announcement_of(target: &ChainTarget, copy: usize) -> TargetAnnouncement {
    let service = service_name(target.number);
    TargetAnnouncement {
        target: format!("{service}-{copy}").parse().unwrap(),
        service: service.parse().unwrap(),
        address: target.address,
        slots: CallCount(64),
        connections: CallCount(256),
        state: TargetState::Ready,
        load: 0.0,
        incarnation: IncarnationNumber(1),
    }
}

/// Sends one announcement. Errors are ignored: a daemon that is down just misses it.
fn announce(operator: SocketAddr, announcement: &TargetAnnouncement) {
    let body = serde_json::to_vec(announcement).unwrap();
    drop(ureq::post(format!("http://{operator}/v1/targets")).send(&body));
}
