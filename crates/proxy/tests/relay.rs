//! Pattern: uploads to a daemon whose link is full. A body is sent only after
//! the daemon beside the target has room for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, StatusCode};
use mesh::{BudgetTerms, CallPriority, CallSafety, Destination, RouteKey, RouteRule};
use model::{ByteCount, CallCount, DaemonId, ErrorKind, LogOffset, SystemClock};
use quetzal_proxy::ProxySettings;
use quetzal_proxy::core::ProxyCore;
use quetzal_proxy::edge::{EdgeHeaders, EdgeProtocol};
use quetzal_proxy::message::{CallAnswer, CallHead, PeerHead};
use quetzal_proxy::relay::{RelayCall, relay_call};
use quetzal_proxy::store::{ConfigPage, StoreFuture, StorePort};
use route::{TargetLoad, TargetState, TargetView};
use tokio::net::TcpListener;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use wire::{PeerStream, WireLimits};

/// An upload of the deployments.
const UPLOAD_BYTES: usize = 280_000;
/// Bound on a wait that ends by itself.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::test]
async fn a_body_that_finds_no_room_is_not_sent() {
    let refuse = CallAnswer::Refused {
        kind: ErrorKind::QueueFull,
        arrived: false,
        retry_after: Some(Duration::from_millis(300)),
        load: TargetLoad::default(),
    };
    let peer = PeerStandIn::start(vec![refuse]).await;
    let status = upload(&peer, UPLOAD_BYTES).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(peer.received(), 0, "bytes on a full link");
}

#[tokio::test]
async fn a_body_that_finds_room_is_sent_whole() {
    let peer = PeerStandIn::start(vec![CallAnswer::Proceed, answered()]).await;
    assert_eq!(upload(&peer, UPLOAD_BYTES).await, StatusCode::OK);
    assert_eq!(peer.received(), UPLOAD_BYTES);
}

#[tokio::test]
async fn a_small_body_is_sent_at_once() {
    let peer = PeerStandIn::start(vec![answered()]).await;
    assert_eq!(upload(&peer, 300).await, StatusCode::OK);
    assert_eq!(peer.received(), 300);
}

fn answered() -> CallAnswer {
    CallAnswer::Answered {
        status: 200,
        headers: Vec::new(),
        called: smallvec::SmallVec::new(),
        starved: false,
        waited: Duration::ZERO,
        load: TargetLoad::default(),
    }
}

/// A daemon beside a target that gives fixed answers and counts what it is sent.
struct PeerStandIn {
    address: SocketAddr,
    received: Arc<AtomicUsize>,
    token: CancellationToken,
}

impl PeerStandIn {
    /// The last answer is given once the body is there or, if it is the only one and a
    /// refusal, at once.
    async fn start(answers: Vec<CallAnswer>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let received = Arc::new(AtomicUsize::new(0));
        let token = CancellationToken::new();
        let (counted, answers) = (Arc::clone(&received), Arc::new(answers));
        let handle = move |stream: PeerStream<PeerHead>| {
            let (counted, answers) = (Arc::clone(&counted), Arc::clone(&answers));
            async move { play(stream, &counted, &answers).await }
        };
        let serving = wire::serve_peers(
            listener,
            WireLimits::default(),
            token.clone(),
            handle,
            |error| panic!("{error}"),
        );
        tokio::spawn(serving);
        Self {
            address,
            received,
            token,
        }
    }

    fn received(&self) -> usize {
        self.received.load(Ordering::SeqCst)
    }
}

impl Drop for PeerStandIn {
    fn drop(&mut self) {
        self.token.cancel();
    }
}

async fn play(stream: PeerStream<PeerHead>, counted: &AtomicUsize, answers: &[CallAnswer]) {
    let PeerStream {
        mut receiver,
        responder,
        ..
    } = stream;
    let (last, before) = answers.split_last().expect("an answer");
    if let [first] = before {
        let mut sender = responder.answer(first).await.expect("sent");
        count_body(&mut receiver, counted).await;
        sender.send_message(last, 1 << 20).await.expect("sent");
        sender.finish().expect("sent");
    } else if matches!(last, CallAnswer::Refused { .. }) {
        responder.answer_whole(last).await.expect("sent");
        // What was under way when the refusal left still comes in.
        count_body(&mut receiver, counted).await;
    } else {
        count_body(&mut receiver, counted).await;
        responder.answer_whole(last).await.expect("sent");
    }
}

async fn count_body(receiver: &mut wire::BodyReceiver, counted: &AtomicUsize) {
    while let Some(Ok(piece)) = receiver.next().await {
        counted.fetch_add(piece.len(), Ordering::SeqCst);
    }
}

/// Sends an upload to the only target, which is beside `peer`.
async fn upload(peer: &PeerStandIn, size: usize) -> StatusCode {
    let core = Arc::new(proxy_core());
    let daemon = DaemonId(7);
    core.set_peers([(daemon, peer.address)].into_iter().collect());
    let service = "studio".parse().expect("a name");
    core.picker().set_targets(
        &service,
        &[TargetView {
            target: "studio-1".parse().expect("a name"),
            daemon,
            domain: "domain-a".parse().expect("a name"),
            slots: CallCount(8),
            connections: CallCount(64),
            state: TargetState::Ready,
            load: None,
            since: Instant::now(),
        }],
    );
    let rule = Arc::new(RouteRule {
        name: "upload".into(),
        key: RouteKey::of("upload"),
        host: "shop.example".into(),
        prefix: "/upload/".into(),
        destinations: [Destination {
            service: service.clone(),
            weight: 1,
        }]
        .into_iter()
        .collect(),
        safety: CallSafety::AtMostOnce,
        timeout: TEST_TIMEOUT,
        objective: Duration::from_secs(1),
        max_attempts: 2,
        priority: CallPriority(1),
    });
    let since = Instant::now();
    let call = RelayCall {
        head: CallHead {
            request_id: "r-1".into(),
            method: "POST".into(),
            path: "/upload/1".into(),
            headers: Vec::new(),
            body_size: ByteCount(size as u64),
            service,
            caller_service: "catalog".parse().expect("a name"),
            route: rule.key,
            priority: rule.priority,
            safety: rule.safety,
            inner: false,
            remaining: TEST_TIMEOUT,
            objective: rule.objective,
        },
        body: Bytes::from(vec![7; size]),
        rule,
        since,
        deadline: since + TEST_TIMEOUT,
    };
    let ended = timeout(TEST_TIMEOUT, relay_call(&core, call)).await;
    let status = ended.expect("ends by itself").reply.status();
    core.pool.close().await;
    status
}

fn proxy_core() -> ProxyCore {
    let address: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let settings = ProxySettings {
        vm: "vm-1".parse().expect("a name"),
        domain: "domain-a".parse().expect("a name"),
        region: "region-1".parse().expect("a name"),
        domains: Vec::new(),
        service: "catalog".parse().expect("a name"),
        caller_address: address,
        peer_address: address,
        advertised_address: address,
        ready_address: address,
        report_address: address,
        metrics_address: address,
        target_address: address,
        store_address: address,
        link_bytes_per_s: 12.6e6 / 8.0,
        report_interval: Duration::from_secs(1),
        budget: BudgetTerms {
            ratio: 0.2,
            slack: 64.0,
        },
        config_bound: Duration::from_secs(2),
        grace: Duration::from_secs(6),
    };
    ProxyCore::new(
        settings,
        edge_protocol(),
        Arc::new(NoStore),
        SystemClock::shared(),
        WireLimits::default(),
    )
    .expect("sound settings")
}

fn edge_protocol() -> EdgeProtocol {
    let name = HeaderName::from_static;
    EdgeProtocol {
        headers: EdgeHeaders {
            request_id: name("request-id"),
            remaining_ms: name("remaining"),
            signature: name("signature"),
            expected_target: name("expected"),
            target_name: name("target"),
            target_load: name("load"),
            not_run: name("not-run"),
            caller_service: name("caller"),
        },
        read_control: |_, _, _| Ok(quetzal_proxy::edge::ControlCall::Ready),
        acknowledgement: "",
        read_slots: |_| None,
        write_retry_after: |time| HeaderValue::from(time.as_secs()),
    }
}

/// A store that nobody asks.
#[derive(Debug)]
struct NoStore;

impl StorePort for NoStore {
    fn newest_config(&self) -> StoreFuture<'_, ConfigPage> {
        unimplemented!("nobody asks")
    }

    fn next_config(&self, _: LogOffset, _: Duration) -> StoreFuture<'_, ConfigPage> {
        unimplemented!("nobody asks")
    }

    fn put_member(&self, _: DaemonId, _: Box<[u8]>) -> StoreFuture<'_, ()> {
        unimplemented!("nobody asks")
    }

    fn drop_member(&self, _: DaemonId) -> StoreFuture<'_, ()> {
        unimplemented!("nobody asks")
    }

    fn members(&self) -> StoreFuture<'_, Vec<Box<[u8]>>> {
        unimplemented!("nobody asks")
    }
}
