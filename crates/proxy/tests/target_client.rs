//! Connections to a target that sends second answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use quetzal_proxy::target_client::{SendFailure, TargetClient};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Bound on what ends by itself.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// A target that counts its connections; the client that reaches it.
async fn counting_target() -> (TargetClient, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let client = TargetClient::new(listener.local_addr().expect("bound"));
    let count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&count);
    tokio::spawn(async move {
        loop {
            let (mut socket, _) = listener.accept().await.expect("a socket");
            counted.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let mut held = [0; 4096];
                while socket.read(&mut held).await.is_ok_and(|size| size > 0) {
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                    socket.write_all(answer).await.expect("taken");
                }
            });
        }
    });
    (client, count)
}

async fn exchange(client: &TargetClient, once: bool) {
    let request = Request::new(Full::new(Bytes::new()));
    let mut exchange = client.send(request, once).await.expect("an answer");
    let body = exchange.response.body_mut().collect().await;
    body.expect("whole");
    exchange.finish();
}

#[tokio::test]
async fn requests_that_run_once_share_no_connection_after_a_second_answer() {
    let (client, count) = counting_target().await;
    exchange(&client, true).await;
    exchange(&client, true).await;
    assert_eq!(count.load(Ordering::Relaxed), 1, "connections are kept");
    client.note_stray_answer();
    exchange(&client, true).await;
    exchange(&client, true).await;
    assert_eq!(count.load(Ordering::Relaxed), 3);
    exchange(&client, false).await;
    assert_eq!(count.load(Ordering::Relaxed), 3, "others may be repeated");
}

/// Answers one request without a length; `cut` resets the connection in place of its end.
async fn read_unframed(cut: bool) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let client = TargetClient::new(listener.local_addr().expect("bound"));
    let (begun, goes_on) = tokio::sync::oneshot::channel::<()>();
    let answering = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("a socket");
        let mut held = [0; 4096];
        let size = socket.read(&mut held).await.expect("a request");
        assert!(size > 0);
        let answer = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf of it";
        socket.write_all(answer).await.expect("taken");
        goes_on.await.expect("the answer has begun");
        if cut {
            socket.set_zero_linger().expect("an open socket");
        }
    });
    let request = Request::new(Full::new(Bytes::new()));
    let mut exchange = client.send(request, true).await.expect("an answer");
    begun.send(()).expect("the target waits");
    let body = exchange.response.body_mut().collect().await;
    answering.await.expect("no panic");
    body.is_ok()
}

#[tokio::test]
async fn an_answer_without_a_length_is_whole_only_if_its_connection_ends_well() {
    assert!(read_unframed(false).await, "it ended");
    assert!(!read_unframed(true).await, "it was reset on the way");
}

/// Sends `begin` and then `piece` until the client closes; the client's error, and whether
/// the target saw the close.
async fn read_endless_head(begin: &'static [u8], piece: &'static [u8]) -> (SendFailure, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let client = TargetClient::new(listener.local_addr().expect("bound"));
    let answering = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("a socket");
        let mut held = [0; 4096];
        let size = socket.read(&mut held).await.expect("a request");
        assert!(size > 0);
        let mut written = socket.write_all(begin).await;
        while written.is_ok() {
            written = socket.write_all(piece).await;
        }
    });
    let request = Request::new(Full::new(Bytes::new()));
    let failure = client.send(request, true).await.expect_err("no answer");
    let closed = timeout(TEST_TIMEOUT, answering).await.is_ok();
    (failure, closed)
}

#[tokio::test]
async fn a_head_without_an_end_fails_the_request_and_closes_the_connection() {
    let cases: [(&[u8], &[u8]); 3] = [
        (b"", b"no answer at all, and more of it\n"),
        (b"HTTP/1.1 200 OK\r\nx-long: ", &[b'x'; 1024]),
        (b"HTTP/1.1 200 OK\r\n", b"x-many: 1\r\n"),
    ];
    for (begin, piece) in cases {
        let reading = read_endless_head(begin, piece);
        let (failure, closed) = timeout(TEST_TIMEOUT, reading).await.expect("bounded");
        assert!(matches!(failure, SendFailure::Unknown(_)), "{failure:?}");
        assert!(closed, "the target is rid of the connection");
    }
}
