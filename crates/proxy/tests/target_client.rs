//! Connections to a target that sends second answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use quetzal_proxy::target_client::TargetClient;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

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
