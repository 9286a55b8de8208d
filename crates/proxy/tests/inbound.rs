//! What a daemon beside a target takes from another daemon.

mod support;

use std::sync::Arc;

use bytes::Bytes;
use model::ErrorKind;
use quetzal_proxy::inbound::serve_inbound;
use quetzal_proxy::membership::MembershipSender;
use quetzal_proxy::message::{CallAnswer, PeerRequest};
use support::{TEST_TIMEOUT, call_head, proxy_core, upload_rule};
use tokio::net::TcpListener;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use wire::{PeerExchange, PeerPool, WireLimits};

#[tokio::test]
async fn a_body_of_another_size_than_announced_is_no_request() {
    for sent in [0, 299, 301] {
        let answer = offer(300, sent).await;
        let error = answer.expect_err("the stream breaks");
        assert_eq!(error.kind, ErrorKind::OutcomeUnknown, "{sent} bytes of 300");
    }
}

#[tokio::test]
async fn a_body_as_announced_gets_the_answer_of_the_gate() {
    let answer = offer(300, 300).await.expect("an answer");
    let CallAnswer::Refused { kind, arrived, .. } = answer else {
        panic!("{answer:?}");
    };
    // No target is known beside the daemon.
    assert_eq!((kind, arrived), (ErrorKind::TargetAbsent, false));
}

/// Announces a body of `announced` bytes, sends `sent`, and waits for the answer.
async fn offer(announced: usize, sent: usize) -> model::Result<CallAnswer> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let token = CancellationToken::new();
    let (desk, _inbox) = MembershipSender::new();
    let limits = WireLimits::default();
    let core = Arc::new(proxy_core());
    let serving = tokio::spawn(serve_inbound(core, desk, listener, limits, token.clone()));
    let pool = PeerPool::new(limits);
    let head = PeerRequest::Call(Box::new(call_head(&upload_rule(), announced)));
    let PeerExchange { mut sender, answer } = pool.open(address, &head).await.expect("sent");
    sender
        .send(Bytes::from(vec![7; sent]))
        .await
        .expect("taken");
    sender.finish().expect("taken");
    let answered = timeout(TEST_TIMEOUT, answer.head()).await;
    let answered = answered.expect("ends by itself").map(|(answer, _)| answer);
    pool.close().await;
    token.cancel();
    serving.await.expect("no panic");
    answered
}
