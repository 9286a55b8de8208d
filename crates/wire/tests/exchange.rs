//! Exchanges over loopback: complete and truncated bodies, invalid frames, limits.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use model::{ErrorKind, KindError};
use quetzal_wire::codec::{encode_frame, take_frame};
use quetzal_wire::{PeerPool, PeerStream, WireLimits, serve_peers};
use quickcheck::quickcheck;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

struct EchoServer {
    address: SocketAddr,
    token: CancellationToken,
    tasks: TaskTracker,
    error_kinds: Arc<Mutex<Vec<ErrorKind>>>,
    truncated_bodies: Arc<AtomicU32>,
}

impl EchoServer {
    async fn start(limits: WireLimits) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (token, tasks) = (CancellationToken::new(), TaskTracker::new());
        let error_kinds = Arc::new(Mutex::new(Vec::new()));
        let truncated_bodies = Arc::new(AtomicU32::new(0));
        let kinds = Arc::clone(&error_kinds);
        let counter = Arc::clone(&truncated_bodies);
        tasks.spawn(serve_peers(
            listener,
            limits,
            token.clone(),
            move |stream| echo(stream, Arc::clone(&counter)),
            move |error: KindError| kinds.lock().unwrap().push(error.kind),
        ));
        Self {
            address,
            token,
            tasks,
            error_kinds,
            truncated_bodies,
        }
    }

    async fn stop(self) {
        self.token.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

async fn echo(stream: PeerStream<String>, truncated_bodies: Arc<AtomicU32>) {
    let mut receiver = stream.receiver;
    let Ok(mut sender) = stream.responder.respond(&stream.head).await else {
        return;
    };
    while let Some(chunk) = receiver.next().await {
        let Ok(chunk) = chunk else {
            truncated_bodies.fetch_add(1, Ordering::SeqCst);
            return;
        };
        if sender.send(chunk).await.is_err() {
            return;
        }
    }
    drop(sender.finish());
}

async fn read_all(mut receiver: quetzal_wire::BodyReceiver) -> Result<Vec<u8>, KindError> {
    let mut body = Vec::new();
    while let Some(chunk) = receiver.next().await {
        body.extend_from_slice(&chunk?);
    }
    Ok(body)
}

#[tokio::test]
async fn body_larger_than_windows_is_echoed() {
    let server = EchoServer::start(WireLimits::default()).await;
    let pool = Arc::new(PeerPool::new(WireLimits::default()));
    let sent: Vec<u8> = (0..3_000_000_u32).map(|index| index as u8).collect();
    let exchange = pool.open(server.address, &"head").await.unwrap();
    let (mut sender, response) = (exchange.sender, exchange.response);
    let body = Bytes::from(sent.clone());
    let writer = tokio::spawn(async move {
        sender.send(body).await.unwrap();
        sender.finish().unwrap();
    });
    let (head, receiver): (String, _) = response.head().await.unwrap();
    assert_eq!(head, "head");
    assert!(read_all(receiver).await.unwrap() == sent);
    writer.await.unwrap();
    pool.close().await;
    server.stop().await;
}

#[tokio::test]
async fn dropping_the_sender_breaks_the_body_at_the_peer() {
    let server = EchoServer::start(WireLimits::default()).await;
    let pool = PeerPool::new(WireLimits::default());
    let mut exchange = pool.open(server.address, &"head").await.unwrap();
    exchange
        .sender
        .send(Bytes::from_static(b"half"))
        .await
        .unwrap();
    let (_, mut receiver): (String, _) = exchange.response.head().await.unwrap();
    assert_eq!(receiver.next().await.unwrap().unwrap(), "half");
    drop(exchange.sender);
    let error = loop {
        if let Err(error) = receiver.next().await.expect("an incomplete body") {
            break error;
        }
    };
    assert_eq!(error.kind, ErrorKind::OutcomeUnknown);
    let truncated_bodies = Arc::clone(&server.truncated_bodies);
    pool.close().await;
    server.stop().await;
    assert_eq!(truncated_bodies.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn invalid_head_closes_only_its_stream() {
    let limits = WireLimits {
        max_head_bytes: 64,
        ..WireLimits::default()
    };
    let server = EchoServer::start(limits).await;
    let pool = PeerPool::new(WireLimits::default());
    let other_stream = pool.open(server.address, &"kept").await.unwrap();
    let too_large = pool
        .request::<String>(server.address, &"x".repeat(100))
        .await;
    let not_a_string = pool.request::<String>(server.address, &[7_u8, 255]).await;
    assert_eq!(too_large.unwrap_err().kind, ErrorKind::OutcomeUnknown);
    assert_eq!(not_a_string.unwrap_err().kind, ErrorKind::OutcomeUnknown);
    let kinds = server.error_kinds.lock().unwrap().clone();
    assert_eq!(kinds, [ErrorKind::FrameTooLarge, ErrorKind::FrameInvalid]);
    other_stream.sender.finish().unwrap();
    let (head, _): (String, _) = other_stream.response.head().await.unwrap();
    assert_eq!(head, "kept");
    assert_eq!(pool.peer_count(), 1);
    pool.close().await;
    server.stop().await;
}

#[tokio::test]
async fn unreachable_peer_is_reported_as_not_run() {
    let pool = PeerPool::new(WireLimits::default());
    let unused = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = unused.local_addr().unwrap();
    drop(unused);
    let error = pool.request::<String>(address, &"head").await.unwrap_err();
    assert_eq!(error.kind, ErrorKind::PeerUnavailable);
    assert!(error.kind.properties().not_run);
}

#[tokio::test]
async fn request_to_a_stopped_peer_fails() {
    let server = EchoServer::start(WireLimits::default()).await;
    let address = server.address;
    let pool = PeerPool::new(WireLimits::default());
    assert_eq!(
        pool.request::<String>(address, &"one").await.unwrap(),
        "one"
    );
    server.stop().await;
    assert!(pool.request::<String>(address, &"two").await.is_err());
    pool.close().await;
}

#[tokio::test]
async fn idle_timeout_spares_a_connection_with_a_slow_stream() {
    let limits = WireLimits {
        idle_timeout: Duration::from_millis(40),
        ping_interval: Duration::from_millis(10),
        ..WireLimits::default()
    };
    let server = EchoServer::start(limits).await;
    let pool = PeerPool::new(limits);
    let slow = pool.open(server.address, &"slow").await.unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    slow.sender.finish().unwrap();
    let (head, _): (String, _) = slow.response.head().await.unwrap();
    assert_eq!(head, "slow");
    pool.close().await;
    server.stop().await;
}

#[tokio::test]
async fn connection_without_streams_is_closed_and_does_not_delay_shutdown() {
    let limits = WireLimits {
        max_connections: 1,
        idle_timeout: Duration::from_millis(40),
        connect_timeout: Duration::from_millis(200),
        ..WireLimits::default()
    };
    let server = EchoServer::start(limits).await;
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
    let mut idle_client = TcpStream::connect(server.address).await.unwrap();
    idle_client.write_all(preface).await.unwrap();
    // The server closes the connection although the client keeps its side open.
    let mut read = Vec::new();
    drop(idle_client.read_to_end(&mut read).await);
    let pool = PeerPool::new(limits);
    let response = loop {
        // The permit is released shortly after the close.
        if let Ok(open) = pool.open(server.address, &"first").await {
            open.sender.finish().unwrap();
            break open.response.head().await;
        }
    };
    let (head, _): (String, _) = response.unwrap();
    assert_eq!(head, "first");
    assert!(
        server
            .error_kinds
            .lock()
            .unwrap()
            .contains(&ErrorKind::IdleTimeout)
    );
    pool.close().await;
    let mut late_client = TcpStream::connect(server.address).await.unwrap();
    drop(late_client.write_all(preface).await);
    server.stop().await;
}

// Guards against a damaged message, or one of another build, that claims a length far beyond its bytes: the
// memory asked for ended the process.
#[test]
fn a_message_that_claims_more_memory_than_allowed_is_refused() {
    let mut claiming = vec![253];
    claiming.extend_from_slice(&(1_u64 << 60).to_le_bytes());
    let error = quetzal_wire::decode_message::<String>(&claiming).expect_err("refused");
    assert_eq!(error.kind, ErrorKind::FrameInvalid);
    let error = quetzal_wire::decode_message::<Vec<String>>(&claiming).expect_err("refused");
    assert_eq!(error.kind, ErrorKind::FrameInvalid);
}

quickcheck! {
    fn frames_decode_after_any_split(text: String, cut: usize) -> bool {
        let frame = encode_frame(&text, 1 << 20).unwrap();
        let cut = cut % (frame.len() + 1);
        let mut buffer = BytesMut::from(&frame[..cut]);
        let first_part: Option<String> = take_frame(&mut buffer, 1 << 20).unwrap();
        buffer.extend_from_slice(&frame[cut..]);
        let second_part: Option<String> = take_frame(&mut buffer, 1 << 20).unwrap();
        first_part.or(second_part) == Some(text) && buffer.is_empty()
    }

    fn decoding_random_bytes_never_panics(bytes: Vec<u8>) -> bool {
        let mut buffer = BytesMut::from(&*bytes);
        let taken: Result<Option<Vec<String>>, KindError> = take_frame(&mut buffer, 1 << 10);
        taken.is_ok() || taken.is_err_and(|error| !error.detail.is_empty())
    }
}
