//! Latency that daemons add to a call on loopback.
//!
//! Calls a target directly, through the daemon beside it and through another daemon, with the
//! same number of callers, and prints the percentiles and the differences. Then compares chains
//! of services through daemons with chains of targets that call one another directly. The
//! times are reported without limits.

#[path = "../tests/fleet/chain.rs"]
mod chain;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chain::{DaemonAddresses, ServiceChain, chain_allowances, service_name};
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

/// Number of concurrent callers.
const CALLER_COUNT: usize = 8;
/// Number of measured calls per caller.
const CALLS_PER_CALLER: usize = 2000;
/// Warm-up calls of each caller, which are not measured.
const WARMUP_CALLS: usize = 200;
/// Pause between two calls of one caller.
const CALL_PAUSE: Duration = Duration::from_millis(2);

/// Number of services in the chain.
const CHAIN_LENGTH: usize = 12;
/// Chain depths to measure.
const DEPTHS: [usize; 3] = [1, 6, CHAIN_LENGTH];
/// Number of daemons in the chain's fleet.
const CHAIN_DAEMON_COUNT: usize = 4;
/// Number of concurrent callers of the chain.
const CHAIN_CALLER_COUNT: usize = 4;
/// Number of measured calls per caller of the chain.
const CHAIN_CALLS_PER_CALLER: usize = 500;

const PLANS: &str = r#"{ "customers": { "nile": { "plan": "agency" } } }"#;
const ALLOWANCES: &str = r#"{
  "services": { "catalog": { "path": "/catalog", "timeout_ms": 5000, "kind": "report",
                             "methods": { "GET": { "idempotent": true } } } },
  "plans": { "agency": { "catalog": { "methods": ["GET"], "rate_per_s": 100000, "calls_at_once": 1000 } } }
}"#;

fn main() {
    let runtime = Runtime::new().expect("a runtime");
    let table = compare_paths(&runtime);
    println!(
        "{CALLER_COUNT} callers, {} calls each way; goal: at most 1.1 ms added at p99",
        CALLER_COUNT * CALLS_PER_CALLER
    );
    println!("{table}");
    let table = compare_chains(&runtime);
    println!(
        "{CHAIN_CALLER_COUNT} callers, {} calls of each chain, {CHAIN_DAEMON_COUNT} daemons",
        CHAIN_CALLER_COUNT * CHAIN_CALLS_PER_CALLER
    );
    println!("{table}");
}

fn compare_paths(runtime: &Runtime) -> Table {
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
    let measure =
        |address| runtime.block_on(measure(&url(address), CALLER_COUNT, CALLS_PER_CALLER));
    // The loop measures the direct way again; the difference in its row is the noise.
    let direct = measure(target);
    for (name, address) in [("direct", target), ("beside", beside), ("remote", remote)] {
        let times = measure(address);
        table.add_row([
            name.to_owned(),
            format!("{:.2}", quantile_ms(&times, 0.5)),
            format!("{:.2}", quantile_ms(&times, 0.9)),
            format!("{:.2}", quantile_ms(&times, 0.99)),
            format!("{:.2}", quantile_ms(&times, 0.999)),
            format!(
                "{:.2}",
                quantile_ms(&times, 0.99) - quantile_ms(&direct, 0.99)
            ),
        ]);
    }
    fleet.stop();
    table
}

/// Measures chains of several depths; each call goes through a daemon that is not beside its
/// target.
fn compare_chains(runtime: &Runtime) -> Table {
    let fleet = BenchFleet::start(CHAIN_DAEMON_COUNT, &chain_allowances(CHAIN_LENGTH, 5000));
    let daemons: Vec<DaemonAddresses> = (0..CHAIN_DAEMON_COUNT)
        .map(|index| DaemonAddresses {
            caller_address: fleet.caller_address(index),
            operator_address: fleet.daemons[index].operator_address(),
        })
        .collect();
    let routed_chain = ServiceChain::start(runtime.handle(), CHAIN_LENGTH, &daemons, 1);
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
    // The whole chain answers only once each daemon knows the targets that it calls.
    runtime.block_on(wait_ready(&url(daemons[0].caller_address, 1)));
    for depth in DEPTHS {
        let number = CHAIN_LENGTH - depth + 1;
        let measure = |address| {
            runtime.block_on(measure(
                &url(address, number),
                CHAIN_CALLER_COUNT,
                CHAIN_CALLS_PER_CALLER,
            ))
        };
        let direct_times = measure(direct.targets[number - 1].address);
        // The target of service n is beside daemon n modulo the number of daemons.
        let routed_times = measure(daemons[(number - 1) % CHAIN_DAEMON_COUNT].caller_address);
        let added = |quantile| {
            (quantile_ms(&routed_times, quantile) - quantile_ms(&direct_times, quantile))
                / depth as f64
        };
        table.add_row([
            depth.to_string(),
            format!("{:.2}", quantile_ms(&direct_times, 0.5)),
            format!("{:.2}", quantile_ms(&direct_times, 0.99)),
            format!("{:.2}", quantile_ms(&routed_times, 0.5)),
            format!("{:.2}", quantile_ms(&routed_times, 0.99)),
            format!("{:.2}", added(0.5)),
            format!("{:.2}", added(0.99)),
        ]);
    }
    drop(routed_chain);
    fleet.stop();
    table
}

fn quantile_ms(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1e3
}

/// Daemons and their log, all running in this process.
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
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = DaemonSettings {
        name: format!("daemon-{index}").parse().unwrap(),
        domain: "cairo-a".parse().expect("a name"),
        region: "cairo".parse().expect("a name"),
        log_url: log_url.into(),
        caller_address: any_port,
        peer_address: any_port,
        operator_address: any_port,
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
            // Runs until the process exits.
            drop(ureq::post(format!("http://{operator}/v1/targets")).send(&body));
            std::thread::sleep(Duration::from_secs(1));
        }
    });
}

/// Starts a target that answers immediately.
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
    panic!("{url} is not ready");
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
    let succeeded = response.status().is_success();
    response.into_body().collect().await.is_ok() && succeeded
}

/// Returns the durations of the calls in microseconds.
async fn measure(url: &str, callers: usize, calls: usize) -> Histogram<u64> {
    let callers: Vec<_> = (0..callers)
        .map(|_| {
            let url = url.to_owned();
            tokio::spawn(async move {
                let client: BenchClient = Client::builder(TokioExecutor::new()).build_http();
                let mut times = Vec::with_capacity(calls);
                for index in 0..WARMUP_CALLS + calls {
                    let started = Instant::now();
                    let succeeded = call(&client, &url).await;
                    assert!(succeeded, "a call failed");
                    if index >= WARMUP_CALLS {
                        times.push(started.elapsed().as_micros() as u64);
                    }
                    tokio::time::sleep(CALL_PAUSE).await;
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
