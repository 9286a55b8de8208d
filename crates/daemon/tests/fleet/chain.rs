//! A chain of services: each target calls the next one and passes on the
//! headers that carry remaining time, depth and retry mark.

#![allow(dead_code, reason = "each test file uses its own part")]

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

/// Time between two announcements of every target.
const ANNOUNCE_TIME: Duration = Duration::from_millis(500);
/// Time between two looks at a switch.
const LOOK_TIME: Duration = Duration::from_millis(5);

/// The daemon beside a target, and the one that the target calls through.
#[derive(Clone, Copy, Debug)]
pub struct StepDaemon {
    pub callers: SocketAddr,
    pub operators: SocketAddr,
}

/// What a call said when it arrived at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StepArrival {
    pub remaining_ms: u64,
    pub depth: u64,
    pub repeated: bool,
}

/// How targets behave; may change while they run.
#[derive(Debug, Default)]
pub struct StepSwitches {
    /// The last target's calls do not end.
    pub held: AtomicBool,
    /// The last target breaks its connections.
    pub lost: AtomicBool,
    /// A target whose own call failed breaks its connection in place of an answer.
    pub breaking: AtomicBool,
    /// Time in ms that a target works before its own call.
    pub work_ms: AtomicUsize,
}

/// A target of one service of the chain.
#[derive(Debug)]
pub struct ChainStep {
    pub number: usize,
    pub address: SocketAddr,
    pub arrivals: Mutex<Vec<StepArrival>>,
    /// Calls whose caller left before the answer.
    pub aborted: AtomicUsize,
    next: Option<SocketAddr>,
    switches: Arc<StepSwitches>,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Targets of all services of a chain, announced until dropped.
#[derive(Debug)]
pub struct ServiceChain {
    pub steps: Vec<Arc<ChainStep>>,
    pub switches: Arc<StepSwitches>,
    stop: Arc<AtomicBool>,
    announcer: Option<JoinHandle<()>>,
}

/// The target breaks its connection.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the target broke off")]
pub struct StepBroken;

type StepResult = Result<Response<Full<Bytes>>, StepBroken>;

/// Name of the service at `number`, counted from 1.
pub fn service_name(number: usize) -> String {
    format!("step-{number:02}")
}

/// The second list of a chain of `length` services.
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
    /// Targets of `length` services, each beside the next of `daemons`; the last
    /// service has `last_copies`.
    pub fn start(
        runtime: &Handle,
        length: usize,
        daemons: &[StepDaemon],
        last_copies: usize,
    ) -> Self {
        let switches = Arc::new(StepSwitches::default());
        let mut steps = Vec::new();
        let mut places = Vec::new();
        for number in 1..=length {
            let copies = if number == length { last_copies } else { 1 };
            for copy in 0..copies {
                let daemon = daemons[(number + copy) % daemons.len()];
                let next = (number < length).then_some(daemon.callers);
                let step = start_step(runtime, number, next, &switches);
                places.push((daemon.operators, announcement_of(&step, copy)));
                steps.push(step);
            }
        }
        let stop = Arc::new(AtomicBool::new(false));
        let stopping = Arc::clone(&stop);
        let announcer = std::thread::spawn(move || {
            while !stopping.load(Ordering::SeqCst) {
                for (operator, announcement) in &places {
                    announce(*operator, announcement);
                }
                std::thread::sleep(ANNOUNCE_TIME);
            }
        });
        Self {
            steps,
            switches,
            stop,
            announcer: Some(announcer),
        }
    }

    /// Targets that call one another without any daemon.
    pub fn start_direct(runtime: &Handle, length: usize) -> Self {
        let switches = Arc::new(StepSwitches::default());
        let mut steps = Vec::new();
        let mut next = None;
        for number in (1..=length).rev() {
            let step = start_step(runtime, number, next, &switches);
            next = Some(step.address);
            steps.push(step);
        }
        steps.reverse();
        Self {
            steps,
            switches,
            stop: Arc::default(),
            announcer: None,
        }
    }

    /// What arrived at the targets of the service at `number`.
    pub fn arrivals(&self, number: usize) -> Vec<StepArrival> {
        let targets = self.steps.iter().filter(|step| step.number == number);
        targets
            .flat_map(|step| step.arrivals.lock().unwrap().clone())
            .collect()
    }

    /// Calls aborted at the targets of the service at `number`.
    pub fn aborted(&self, number: usize) -> usize {
        let targets = self.steps.iter().filter(|step| step.number == number);
        targets
            .map(|step| step.aborted.load(Ordering::SeqCst))
            .sum()
    }

    /// Forgets all arrivals.
    pub fn clear(&self) {
        for step in &self.steps {
            step.arrivals.lock().unwrap().clear();
        }
    }
}

impl Drop for ServiceChain {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.switches.held.store(false, Ordering::SeqCst);
        if let Some(announcer) = self.announcer.take() {
            announcer.join().unwrap();
        }
    }
}

/// Counts a call whose future is dropped before it has its answer.
struct AbortWatch<'step> {
    step: &'step ChainStep,
    ended: bool,
}

impl Drop for AbortWatch<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.step.aborted.fetch_add(1, Ordering::SeqCst);
        }
    }
}

impl ChainStep {
    async fn serve(&self, request: Request<Incoming>) -> StepResult {
        let mut watch = AbortWatch {
            step: self,
            ended: false,
        };
        let result = self.run(request).await;
        watch.ended = true;
        result
    }

    async fn run(&self, request: Request<Incoming>) -> StepResult {
        let arrived = Instant::now();
        let headers = request.headers();
        let arrival = StepArrival {
            remaining_ms: number(headers, "quetzal-timeout-ms"),
            depth: number(headers, "quetzal-depth"),
            repeated: number(headers, "quetzal-repeated") == 1,
        };
        self.arrivals.lock().unwrap().push(arrival);
        let work_ms = self.switches.work_ms.load(Ordering::SeqCst);
        if work_ms > 0 {
            tokio::time::sleep(Duration::from_millis(work_ms as u64)).await;
        }
        match self.next {
            Some(next) => self.call_next(next, headers, arrived).await,
            None => self.end_chain().await,
        }
    }

    async fn end_chain(&self) -> StepResult {
        while self.switches.held.load(Ordering::SeqCst) {
            tokio::time::sleep(LOOK_TIME).await;
        }
        if self.switches.lost.load(Ordering::SeqCst) {
            return Err(StepBroken);
        }
        Ok(Response::new(Full::from(service_name(self.number))))
    }

    async fn call_next(
        &self,
        next: SocketAddr,
        headers: &HeaderMap,
        arrived: Instant,
    ) -> StepResult {
        let request = self.next_request(next, headers, arrived);
        let answered = self.client.request(request).await;
        let is_lost = answered
            .as_ref()
            .map_or(true, |answer| answer.status().is_server_error());
        if is_lost && self.switches.breaking.load(Ordering::SeqCst) {
            return Err(StepBroken);
        }
        let Ok(answer) = answered else {
            return Ok(failed_answer("the next service gave no answer"));
        };
        let status = answer.status();
        let Ok(body) = answer.into_body().collect().await else {
            return Ok(failed_answer("the next service broke off"));
        };
        let mut text = service_name(self.number).into_bytes();
        text.push(b' ');
        text.extend_from_slice(&body.to_bytes());
        let mut response = Response::new(Full::from(text));
        *response.status_mut() = status;
        Ok(response)
    }

    /// The call to the next service; time spent here is taken off what remains.
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

fn start_step(
    runtime: &Handle,
    number: usize,
    next: Option<SocketAddr>,
    switches: &Arc<StepSwitches>,
) -> Arc<ChainStep> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = std::net::TcpListener::bind(any_port).unwrap();
    listener.set_nonblocking(true).unwrap();
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let step = Arc::new(ChainStep {
        number,
        address: listener.local_addr().unwrap(),
        arrivals: Mutex::default(),
        aborted: AtomicUsize::new(0),
        next,
        switches: Arc::clone(switches),
        client: Client::builder(TokioExecutor::new()).build(connector),
    });
    let serving = Arc::clone(&step);
    runtime.spawn(async move {
        let listener = TcpListener::from_std(listener).unwrap();
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(serve_connection(Arc::clone(&serving), socket));
        }
    });
    step
}

async fn serve_connection(step: Arc<ChainStep>, socket: TcpStream) {
    // Without it answers are only slower.
    drop(socket.set_nodelay(true));
    let service = service_fn(move |request| {
        let step = Arc::clone(&step);
        async move { step.serve(request).await }
    });
    let serving = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
    // A connection that breaks is what the tests ask for.
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

fn announcement_of(step: &ChainStep, copy: usize) -> TargetAnnouncement {
    let service = service_name(step.number);
    TargetAnnouncement {
        target: format!("{service}-{copy}").parse().unwrap(),
        service: service.parse().unwrap(),
        address: step.address,
        slots: CallCount(64),
        connections: CallCount(256),
        state: TargetState::Ready,
        load: 0.0,
        incarnation: IncarnationNumber(1),
    }
}

/// A daemon that is just not there misses one heartbeat.
fn announce(operator: SocketAddr, announcement: &TargetAnnouncement) {
    let body = serde_json::to_vec(announcement).unwrap();
    drop(ureq::post(format!("http://{operator}/v1/targets")).send(&body));
}
