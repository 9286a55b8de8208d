//! Time that the proxy adds to a call, on loopback.
//!
//! Calls a target directly, through the daemon beside it, and through another
//! daemon, with the same number of callers, and prints the percentiles and
//! the difference. Then does the same with chains of services, against targets
//! that call one another without daemons. Wall time is reported, not judged.

#[path = "../tests/fleet/chain.rs"]
mod chain;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chain::{ServiceChain, StepDaemon, chain_allowances, service_name};
use comfy_table::Table;
use feed::{LogPort, LogServer, LogSettings, MemoryLog, serve};
use hdrhistogram::Histogram;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo};
use members::{TargetAnnouncement, TargetState};
use model::{CallCount, ChangeId, IncarnationNumber, SystemClock};
use plans::{ChangeMeta, ChangeRecord, ConfigLists, ConfigState};
use quetzal_daemon::settings::{NumberSettings, OutageQuorum, UntimedKeys};
use quetzal_daemon::{DaemonSettings, RunningDaemon};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;

/// Callers at once.
const CALLERS: usize = 8;
/// Calls of each caller.
const CALLS: usize = 2000;
/// Calls of each caller that are not counted.
const WARM_CALLS: usize = 200;
/// Time between two calls of one caller.
const PAUSE: Duration = Duration::from_millis(2);

/// Services of the chain.
const CHAIN_LENGTH: usize = 12;
/// Depths measured.
const DEPTHS: [usize; 3] = [1, 6, CHAIN_LENGTH];
/// Daemons of the chain.
const CHAIN_DAEMONS: usize = 4;
/// Callers of the chain at once.
const CHAIN_CALLERS: usize = 4;
/// Calls of each caller of the chain.
const CHAIN_CALLS: usize = 500;

const PLANS: &str = r#"{ "customers": { "nile": { "plan": "agency" } } }"#;
const ALLOWANCES: &str = r#"{
  "services": { "catalog": { "path": "/catalog", "timeout_ms": 5000, "kind": "report",
                             "methods": { "GET": { "idempotent": true } } } },
  "plans": { "agency": { "catalog": { "methods": ["GET"], "rate_per_s": 100000, "calls_at_once": 1000 } } }
}"#;

fn main() {
    let runtime = Runtime::new().expect("a runtime");
    let table = compare_ways(&runtime);
    println!(
        "{CALLERS} callers, {} calls each way; target 1.1 ms added for 99 in 100",
        CALLERS * CALLS
    );
    println!("{table}");
    let table = compare_chains(&runtime);
    println!(
        "{CHAIN_CALLERS} callers, {} calls of each chain, {CHAIN_DAEMONS} daemons",
        CHAIN_CALLERS * CHAIN_CALLS
    );
    println!("{table}");
}

fn compare_ways(runtime: &Runtime) -> Table {
    let target = runtime.block_on(start_target());
    let fleet = BenchFleet::start(2, ALLOWANCES);
    announce(target, fleet.daemons[0].operator_address());
    let beside = fleet.caller_address(0);
    let remote = fleet.caller_address(1);
    let url = |address: SocketAddr| format!("http://{address}/catalog/x");
    for address in [beside, remote] {
        runtime.block_on(wait_ready(&url(address)));
    }
    let mut table = Table::new();
    table.set_header([
        "way",
        "p50 ms",
        "p90 ms",
        "p99 ms",
        "p99.9 ms",
        "added at p99 ms",
    ]);
    let measure = |address| runtime.block_on(measure(&url(address), CALLERS, CALLS));
    let direct = measure(target);
    for (name, address) in [("direct", target), ("beside", beside), ("remote", remote)] {
        let times = measure(address);
        table.add_row([
            name.to_owned(),
            format!("{:.2}", at_ms(&times, 0.5)),
            format!("{:.2}", at_ms(&times, 0.9)),
            format!("{:.2}", at_ms(&times, 0.99)),
            format!("{:.2}", at_ms(&times, 0.999)),
            format!("{:.2}", at_ms(&times, 0.99) - at_ms(&direct, 0.99)),
        ]);
    }
    fleet.stop();
    table
}

/// Chains of several depths, each call going through a daemon that is not beside its target.
fn compare_chains(runtime: &Runtime) -> Table {
    let fleet = BenchFleet::start(CHAIN_DAEMONS, &chain_allowances(CHAIN_LENGTH, 5000));
    let daemons: Vec<StepDaemon> = (0..CHAIN_DAEMONS)
        .map(|index| StepDaemon {
            callers: fleet.caller_address(index),
            operators: fleet.daemons[index].operator_address(),
        })
        .collect();
    let through = ServiceChain::start(runtime.handle(), CHAIN_LENGTH, &daemons, 1);
    let direct = ServiceChain::start_direct(runtime.handle(), CHAIN_LENGTH);
    let url = |address: SocketAddr, number| format!("http://{address}/{}", service_name(number));
    let mut table = Table::new();
    table.set_header([
        "depth",
        "direct p50 ms",
        "direct p99 ms",
        "daemons p50 ms",
        "daemons p99 ms",
        "added per hop p50 ms",
        "added per hop p99 ms",
    ]);
    // The whole chain answers only once every target is known everywhere.
    runtime.block_on(wait_ready(&url(daemons[0].callers, 1)));
    for depth in DEPTHS {
        let number = CHAIN_LENGTH - depth + 1;
        let measure =
            |address| runtime.block_on(measure(&url(address, number), CHAIN_CALLERS, CHAIN_CALLS));
        let plain = measure(direct.steps[number - 1].address);
        // The target of service n stands beside daemon n, modulo their number.
        let routed = measure(daemons[(number - 1) % CHAIN_DAEMONS].callers);
        let added = |quantile| (at_ms(&routed, quantile) - at_ms(&plain, quantile)) / depth as f64;
        table.add_row([
            depth.to_string(),
            format!("{:.2}", at_ms(&plain, 0.5)),
            format!("{:.2}", at_ms(&plain, 0.99)),
            format!("{:.2}", at_ms(&routed, 0.5)),
            format!("{:.2}", at_ms(&routed, 0.99)),
            format!("{:.2}", added(0.5)),
            format!("{:.2}", added(0.99)),
        ]);
    }
    drop(through);
    fleet.stop();
    table
}

fn at_ms(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1e3
}

/// Daemons in this process with a log of their own.
struct BenchFleet {
    daemons: Vec<RunningDaemon>,
    _log: LogServer,
}

impl BenchFleet {
    fn start(count: usize, allowances: &str) -> Self {
        let clock = SystemClock::shared();
        let memory = Arc::new(MemoryLog::new(LogSettings::default(), clock));
        let log = serve(&memory, SocketAddr::from(([127, 0, 0, 1], 0))).expect("a log");
        let url = format!("http://{}", log.address());
        let daemons = (0..count).map(|index| start_daemon(index, &url)).collect();
        publish(&memory, allowances);
        Self { daemons, _log: log }
    }

    fn caller_address(&self, index: usize) -> SocketAddr {
        self.daemons[index].core().settings.caller_address
    }

    fn stop(self) {
        let force = CancellationToken::new();
        force.cancel();
        for daemon in self.daemons {
            daemon.stop(&force);
        }
    }
}

fn start_daemon(index: usize, log_url: &str) -> RunningDaemon {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = DaemonSettings {
        name: format!("daemon-{index}").parse().unwrap(),
        domain: "cairo-a".parse().expect("a name"),
        region: "cairo".parse().expect("a name"),
        log_url: log_url.into(),
        caller_address: any,
        peer_address: any,
        operator_address: any,
        peers: Vec::new(),
        metrics_address: None,
        outage_quorum: OutageQuorum::default(),
        untimed_keys: UntimedKeys::default(),
        numbers: NumberSettings::default(),
    };
    RunningDaemon::start(settings).expect("a daemon")
}

fn publish(memory: &MemoryLog, allowances: &str) {
    let lists = ConfigLists::parse(PLANS, allowances).expect("sound lists");
    let state = ConfigState::new();
    let meta = ChangeMeta {
        id: ChangeId(uuid::Uuid::now_v7()),
        author: "bench".parse().expect("a name"),
        note: "".into(),
    };
    let record = ChangeRecord::between(&state, state.base(), &lists, meta).expect("a change");
    let body = record.encode().expect("a record");
    memory
        .append(&"config".parse().expect("a name"), &body)
        .expect("an append");
}

fn announce(address: SocketAddr, operator: SocketAddr) {
    let announcement = TargetAnnouncement {
        target: "catalog-1".parse().expect("a name"),
        service: "catalog".parse().expect("a name"),
        address,
        slots: CallCount(64),
        connections: CallCount(256),
        state: TargetState::Ready,
        load: 0.0,
        incarnation: IncarnationNumber(1),
    };
    let body = serde_json::to_vec(&announcement).expect("plain data");
    std::thread::spawn(move || {
        loop {
            // The bench ends with the process.
            drop(ureq::post(format!("http://{operator}/v1/targets")).send(&body));
            std::thread::sleep(Duration::from_secs(1));
        }
    });
}

/// A target that answers at once.
async fn start_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            drop(socket.set_nodelay(true));
            let service = service_fn(|_: Request<Incoming>| async {
                Ok::<_, std::convert::Infallible>(Response::new(Full::new(Bytes::from_static(
                    &[b'x'; 512],
                ))))
            });
            tokio::spawn(
                hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(socket), service),
            );
        }
    });
    address
}

async fn wait_ready(url: &str) {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    for _ in 0..600 {
        if call(&client, url).await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("{url} does not let calls through");
}

type BenchClient = Client<hyper_util::client::legacy::connect::HttpConnector, Full<Bytes>>;

async fn call(client: &BenchClient, url: &str) -> bool {
    let request = Request::get(url)
        .header("quetzal-customer", "nile")
        .body(Full::new(Bytes::new()))
        .expect("a request");
    let Ok(response) = client.request(request).await else {
        return false;
    };
    let sound = response.status().is_success();
    response.into_body().collect().await.is_ok() && sound
}

/// Times of calls in microseconds.
async fn measure(url: &str, callers: usize, calls: usize) -> Histogram<u64> {
    let callers: Vec<_> = (0..callers)
        .map(|_| {
            let url = url.to_owned();
            tokio::spawn(async move {
                let client: BenchClient = Client::builder(TokioExecutor::new()).build_http();
                let mut times = Vec::with_capacity(calls);
                for index in 0..WARM_CALLS + calls {
                    let started = Instant::now();
                    let sound = call(&client, &url).await;
                    assert!(sound, "a call failed");
                    if index >= WARM_CALLS {
                        times.push(started.elapsed().as_micros() as u64);
                    }
                    tokio::time::sleep(PAUSE).await;
                }
                times
            })
        })
        .collect();
    let mut histogram = Histogram::new(3).expect("three digits");
    for caller in callers {
        for time in caller.await.expect("the caller ends") {
            histogram.record(time).expect("a histogram that grows");
        }
    }
    histogram
}
