//! Exchanges over loopback: whole bodies, broken bodies, bad frames, bounds.

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
    refused: Arc<Mutex<Vec<ErrorKind>>>,
    broken: Arc<AtomicU32>,
}

impl EchoServer {
    async fn start(limits: WireLimits) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (token, tasks) = (CancellationToken::new(), TaskTracker::new());
        let refused = Arc::new(Mutex::new(Vec::new()));
        let broken = Arc::new(AtomicU32::new(0));
        let kinds = Arc::clone(&refused);
        let counter = Arc::clone(&broken);
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
            refused,
            broken,
        }
    }

    async fn stop(self) {
        self.token.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

async fn echo(stream: PeerStream<String>, broken: Arc<AtomicU32>) {
    let mut receiver = stream.receiver;
    let Ok(mut sender) = stream.responder.respond(&stream.head).await else {
        return;
    };
    while let Some(chunk) = receiver.next().await {
        let Ok(chunk) = chunk else {
            broken.fetch_add(1, Ordering::SeqCst);
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
async fn a_body_larger_than_the_windows_comes_back_whole() {
    let server = EchoServer::start(WireLimits::default()).await;
    let pool = Arc::new(PeerPool::new(WireLimits::default()));
    let sent: Vec<u8> = (0..3_000_000_u32).map(|index| index as u8).collect();
    let exchange = pool.open(server.address, &"head").await.unwrap();
    let (mut sender, answer) = (exchange.sender, exchange.response);
    let body = Bytes::from(sent.clone());
    let writer = tokio::spawn(async move {
        sender.send(body).await.unwrap();
        sender.finish().unwrap();
    });
    let (head, receiver): (String, _) = answer.head().await.unwrap();
    assert_eq!(head, "head");
    assert!(read_all(receiver).await.unwrap() == sent);
    writer.await.unwrap();
    pool.close().await;
    server.stop().await;
}

#[tokio::test]
async fn a_dropped_sender_breaks_the_body_on_the_other_side() {
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
        if let Err(error) = receiver.next().await.expect("never a whole body") {
            break error;
        }
    };
    assert_eq!(error.kind, ErrorKind::OutcomeUnknown);
    let broken = Arc::clone(&server.broken);
    pool.close().await;
    server.stop().await;
    assert_eq!(broken.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_bad_head_closes_its_stream_and_no_other() {
    let limits = WireLimits {
        max_head_bytes: 64,
        ..WireLimits::default()
    };
    let server = EchoServer::start(limits).await;
    let pool = PeerPool::new(WireLimits::default());
    let neighbour = pool.open(server.address, &"kept").await.unwrap();
    let too_large = pool
        .request::<String>(server.address, &"x".repeat(100))
        .await;
    let not_a_string = pool.request::<String>(server.address, &[7_u8, 255]).await;
    assert_eq!(too_large.unwrap_err().kind, ErrorKind::OutcomeUnknown);
    assert_eq!(not_a_string.unwrap_err().kind, ErrorKind::OutcomeUnknown);
    let kinds = server.refused.lock().unwrap().clone();
    assert_eq!(kinds, [ErrorKind::FrameTooLarge, ErrorKind::FrameInvalid]);
    neighbour.sender.finish().unwrap();
    let (head, _): (String, _) = neighbour.response.head().await.unwrap();
    assert_eq!(head, "kept");
    assert_eq!(pool.peer_count(), 1);
    pool.close().await;
    server.stop().await;
}

#[tokio::test]
async fn an_absent_peer_is_proven_not_to_have_been_reached() {
    let pool = PeerPool::new(WireLimits::default());
    let unused = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = unused.local_addr().unwrap();
    drop(unused);
    let error = pool.request::<String>(address, &"head").await.unwrap_err();
    assert_eq!(error.kind, ErrorKind::PeerUnavailable);
    assert!(error.kind.properties().not_run);
}

#[tokio::test]
async fn a_restarted_peer_is_reached_again_through_the_same_pool() {
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
async fn an_idle_connection_closes_but_not_under_a_slow_stream() {
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
async fn a_stranger_without_streams_makes_room_and_does_not_hold_up_the_end() {
    let limits = WireLimits {
        max_connections: 1,
        idle_timeout: Duration::from_millis(40),
        connect_timeout: Duration::from_millis(200),
        ..WireLimits::default()
    };
    let server = EchoServer::start(limits).await;
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
    let mut stranger = TcpStream::connect(server.address).await.unwrap();
    stranger.write_all(preface).await.unwrap();
    // The server closes while the stranger still holds its side.
    let mut read = Vec::new();
    drop(stranger.read_to_end(&mut read).await);
    let pool = PeerPool::new(limits);
    let answer = loop {
        // The place is free a moment after the close.
        if let Ok(open) = pool.open(server.address, &"first").await {
            open.sender.finish().unwrap();
            break open.response.head().await;
        }
    };
    let (head, _): (String, _) = answer.unwrap();
    assert_eq!(head, "first");
    assert!(
        server
            .refused
            .lock()
            .unwrap()
            .contains(&ErrorKind::IdleTimeout)
    );
    pool.close().await;
    let mut late = TcpStream::connect(server.address).await.unwrap();
    drop(late.write_all(preface).await);
    server.stop().await;
}

quickcheck! {
    fn frames_survive_any_split(text: String, cut: usize) -> bool {
        let frame = encode_frame(&text, 1 << 20).unwrap();
        let cut = cut % (frame.len() + 1);
        let mut buffer = BytesMut::from(&frame[..cut]);
        let early: Option<String> = take_frame(&mut buffer, 1 << 20).unwrap();
        buffer.extend_from_slice(&frame[cut..]);
        let late: Option<String> = take_frame(&mut buffer, 1 << 20).unwrap();
        early.or(late) == Some(text) && buffer.is_empty()
    }

    fn random_bytes_never_panic(bytes: Vec<u8>) -> bool {
        let mut buffer = BytesMut::from(&*bytes);
        let taken: Result<Option<Vec<String>>, KindError> = take_frame(&mut buffer, 1 << 10);
        taken.is_ok() || taken.is_err_and(|error| !error.detail.is_empty())
    }
}
