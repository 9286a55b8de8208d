//! Pattern: uploads to a daemon whose link is full. A body is sent only after
//! the daemon beside the target has room for it.

mod support;

use mesh::NestedCallOutcome;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::StatusCode;
use model::{CallCount, DaemonId, ErrorKind};
use quetzal_proxy::message::{CallAnswer, PeerRequest};
use quetzal_proxy::relay::{RelayCall, relay_call};
use route::{TargetLoad, TargetState, TargetView};
use support::{TEST_TIMEOUT, call_head, proxy_core, upload_rule};
use tokio::net::TcpListener;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use wire::{PeerStream, WireLimits};

/// An upload of the deployments.
const UPLOAD_BYTES: usize = 280_000;

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
        calls: NestedCallOutcome::Ran,
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
        let handle = move |stream: PeerStream<PeerRequest>| {
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

/// Gives the answers in turn: one before the body, if there are two, `Admitted` once the
/// body is there, and the last one once it is ended.
async fn play(stream: PeerStream<PeerRequest>, counted: &AtomicUsize, answers: &[CallAnswer]) {
    let PeerStream {
        head,
        mut receiver,
        responder,
        ..
    } = stream;
    let PeerRequest::Call(head) = head else {
        panic!("{head:?}");
    };
    let (last, before) = answers.split_last().expect("an answer");
    if before.is_empty() && matches!(last, CallAnswer::Refused { .. }) {
        responder.answer_whole(last).await.expect("sent");
        // What was under way when the refusal left still comes in.
        while count_piece(&mut receiver, counted).await {}
        return;
    }
    let mut begun = None;
    let mut responder = Some(responder);
    if let [first] = before {
        let responder = responder.take().expect("not used yet");
        begun = Some(responder.answer(first).await.expect("sent"));
    }
    while counted.load(Ordering::SeqCst) < head.body_size.0 as usize {
        assert!(count_piece(&mut receiver, counted).await, "ended too early");
    }
    let mut sender = match (begun, responder) {
        (Some(mut sender), _) => {
            let admitted = sender.send_message(&CallAnswer::Admitted, 1 << 20);
            admitted.await.expect("sent");
            sender
        }
        (None, Some(responder)) => {
            let admitted = responder.answer(&CallAnswer::Admitted);
            admitted.await.expect("sent")
        }
        (None, None) => unreachable!("one of them is there"),
    };
    while count_piece(&mut receiver, counted).await {}
    sender.send_message(last, 1 << 20).await.expect("sent");
    sender.finish().expect("sent");
}

/// Counts the next bytes of a body; whether there were any.
async fn count_piece(receiver: &mut wire::BodyReceiver, counted: &AtomicUsize) -> bool {
    let Some(Ok(piece)) = receiver.next().await else {
        return false;
    };
    counted.fetch_add(piece.len(), Ordering::SeqCst);
    true
}

/// Sends an upload to the only target, which is beside `peer`.
async fn upload(peer: &PeerStandIn, size: usize) -> StatusCode {
    let core = Arc::new(proxy_core());
    let daemon = DaemonId(7);
    core.set_peers([(daemon, peer.address)].into_iter().collect());
    let service = upload_rule().destinations[0].service.clone();
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
            mean_run_time: None,
            since: Instant::now(),
        }],
    );
    let rule = Arc::new(upload_rule());
    let since = Instant::now();
    let call = RelayCall {
        head: call_head(&rule, size),
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
