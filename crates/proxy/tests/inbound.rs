//! Calls that a daemon beside a target receives from another daemon.

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
async fn a_body_of_the_wrong_size_is_rejected() {
    for sent in [0, 299, 301] {
        let answer = send_call(300, sent).await;
        let error = answer.expect_err("the stream is reset");
        assert_eq!(error.kind, ErrorKind::OutcomeUnknown, "{sent} bytes of 300");
    }
}

#[tokio::test]
async fn a_body_of_the_announced_size_reaches_admission() {
    let answer = send_call(300, 300).await.expect("an answer");
    let CallAnswer::Refused { kind, arrived, .. } = answer else {
        panic!("{answer:?}");
    };
    // The daemon knows no target.
    assert_eq!((kind, arrived), (ErrorKind::TargetAbsent, false));
}

/// Announces a body of `announced` bytes, sends `sent` bytes, and returns the answer.
async fn send_call(announced: usize, sent: usize) -> model::Result<CallAnswer> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let token = CancellationToken::new();
    let (members, _inbox) = MembershipSender::new();
    let limits = WireLimits::default();
    let core = Arc::new(proxy_core());
    let serving = tokio::spawn(serve_inbound(
        core,
        members,
        listener,
        limits,
        token.clone(),
    ));
    let pool = PeerPool::new(limits);
    let head = PeerRequest::Call(Box::new(call_head(&upload_rule(), announced)));
    let PeerExchange {
        mut sender,
        response: answer,
    } = pool.open(address, &head).await.expect("sent");
    sender.send(Bytes::from(vec![7; sent])).await.expect("sent");
    sender.finish().expect("sent");
    let answered = timeout(TEST_TIMEOUT, answer.head()).await;
    let answered = answered
        .expect("answered in time")
        .map(|(answer, _)| answer);
    pool.close().await;
    token.cancel();
    serving.await.expect("no panic");
    answered
}
