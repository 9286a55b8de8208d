//! Time that the proxy adds to a call, on loopback.
//!
//! Calls a target directly, through the daemon beside it, and through another
//! daemon, with the same number of callers, and prints the percentiles and
//! the difference. Wall time is reported, not judged.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use comfy_table::Table;
use feed::{LogPort, LogSettings, MemoryLog, serve};
use hdrhistogram::Histogram;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo};
use members::{TargetAnnouncement, TargetState};
use model::{CallCount, ChangeId, IncarnationNumber, SystemClock};
use plans::{ChangeMeta, ChangeRecord, ConfigState, ListPair};
use quetzal_daemon::settings::{NumberSettings, OutageQuorum, UntimedKeys};
use quetzal_daemon::{DaemonSettings, RunningDaemon};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Callers at once.
const CALLERS: usize = 8;
/// Calls of each caller.
const CALLS: usize = 2000;
/// Calls of each caller that are not counted.
const WARM_CALLS: usize = 200;
/// Time between two calls of one caller.
const PAUSE: Duration = Duration::from_millis(2);

const PLANS: &str = r#"{ "customers": { "nile": { "plan": "agency" } } }"#;
const ALLOWANCES: &str = r#"{
  "services": { "catalog": { "path": "/catalog", "timeout_ms": 5000, "kind": "report",
                             "methods": { "GET": { "idempotent": true } } } },
  "plans": { "agency": { "catalog": { "methods": ["GET"], "rate_per_s": 100000, "calls_at_once": 1000 } } }
}"#;

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let target = runtime.block_on(start_target());
    let memory = Arc::new(MemoryLog::new(
        LogSettings::default(),
        SystemClock::shared(),
    ));
    let log = serve(&memory, SocketAddr::from(([127, 0, 0, 1], 0))).expect("a log");
    let url = format!("http://{}", log.address());
    let daemons: Vec<RunningDaemon> = (0..2).map(|index| start_daemon(index, &url)).collect();
    publish(&memory);
    announce(target, daemons[0].operator_address());
    let beside = daemons[0].core().settings.caller_address;
    let remote = daemons[1].core().settings.caller_address;
    for address in [beside, remote] {
        runtime.block_on(wait_ready(address));
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
    let direct = runtime.block_on(measure(target));
    for (name, address) in [("direct", target), ("beside", beside), ("remote", remote)] {
        let times = runtime.block_on(measure(address));
        let at = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1e3;
        let added = at(0.99) - direct.value_at_quantile(0.99) as f64 / 1e3;
        table.add_row([
            name.to_owned(),
            format!("{:.2}", at(0.5)),
            format!("{:.2}", at(0.9)),
            format!("{:.2}", at(0.99)),
            format!("{:.2}", at(0.999)),
            format!("{added:.2}"),
        ]);
    }
    println!(
        "{CALLERS} callers, {} calls each way; target 1.1 ms added for 99 in 100",
        CALLERS * CALLS
    );
    println!("{table}");
    let force = CancellationToken::new();
    force.cancel();
    for daemon in daemons {
        daemon.stop(&force);
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

fn publish(memory: &MemoryLog) {
    let lists = ListPair::parse(PLANS, ALLOWANCES).expect("sound lists");
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

async fn wait_ready(address: SocketAddr) {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    for _ in 0..600 {
        if call(&client, address).await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("{address} does not let calls through");
}

type BenchClient = Client<hyper_util::client::legacy::connect::HttpConnector, Full<Bytes>>;

async fn call(client: &BenchClient, address: SocketAddr) -> bool {
    let request = Request::get(format!("http://{address}/catalog/x"))
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
async fn measure(address: SocketAddr) -> Histogram<u64> {
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            tokio::spawn(async move {
                let client: BenchClient = Client::builder(TokioExecutor::new()).build_http();
                let mut times = Vec::with_capacity(CALLS);
                for index in 0..WARM_CALLS + CALLS {
                    let started = Instant::now();
                    let sound = call(&client, address).await;
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
            histogram.saturating_record(time);
        }
    }
    histogram
}
