//! Limits of the operator and peer listeners, tested against the `quetzald` binary.

mod fleet;

use std::time::Duration;

use fleet::hostile_clients::{
    open_stalled, send_endless, send_garbage, send_huge_headers, send_many_headers, trickle,
};
use fleet::target::TestTarget;
use fleet::{ALLOWANCES, Fleet, PLANS, wait_until};

const EXTRA_SETTINGS: &str =
    r#", "header_timeout_ms": 300, "idle_timeout_ms": 500, "operator_connections": 40"#;
/// Number of clients that stall at the same time.
const CLIENT_COUNT: usize = 1000;
/// First line of a chunk: its size of 1,024 bytes in hexadecimal.
const CHUNK_SIZE_LINE: &[u8] = b"400\r\n";

fn start() -> (Fleet, TestTarget) {
    let fleet = Fleet::start(2, &["cairo-a"], EXTRA_SETTINGS);
    let catalog = TestTarget::start("catalog-1", "catalog", &fleet.daemons[1], Duration::ZERO);
    fleet.publish(PLANS, ALLOWANCES);
    assert_serving(&fleet);
    (fleet, catalog)
}

/// Checks that operators are answered and that a call passes from one daemon to the other.
fn assert_serving(fleet: &Fleet) {
    wait_until("operators are answered", || fleet.status(0).is_some());
    wait_until("a call runs", || {
        fleet
            .outcome(0, "GET", "/catalog/x", None)
            .starts_with("200")
    });
}

fn chunk() -> Vec<u8> {
    [CHUNK_SIZE_LINE, &[b'a'; 1024], b"\r\n"].concat()
}

#[test]
fn operators_headers_and_bodies_are_bounded() {
    let (fleet, _catalog) = start();
    let operators = fleet.daemons[0].operator_address;
    let slow = trickle(operators, b"GET /v1/status HTTP/1.1\r\nx: ", b"a");
    assert!(!slow.starts_with("HTTP/1.1 200"), "{slow}");
    let huge = send_huge_headers(operators);
    assert!(huge.starts_with("HTTP/1.1 431"), "{huge}");
    let many = send_many_headers(operators);
    assert!(many.starts_with("HTTP/1.1 431"), "{many}");
    let garbled = send_garbage(operators);
    assert!(garbled.starts_with("HTTP/1.1 400"), "{garbled}");
    assert_serving(&fleet);

    let head = b"POST /v1/targets HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let answer = send_endless(operators, head, &chunk());
    // The client misses the answer if it is still sending when the connection closes.
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 413"),
        "{answer}"
    );
    let head = b"POST /v1/targets HTTP/1.1\r\nhost: a\r\ncontent-length: 60000\r\n\r\n";
    let answer = trickle(operators, head, b"a");
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert_serving(&fleet);
}

#[test]
fn a_thousand_stalled_operator_connections_do_not_block_others() {
    let (fleet, catalog) = start();
    let operators = fleet.daemons[0].operator_address;
    let half_a_body = b"POST /v1/targets HTTP/1.1\r\nhost: a\r\ncontent-length: 20000\r\n\r\nx";
    for bytes in [&b""[..], b"GET /v1/status HTTP/1.1\r\n", half_a_body] {
        let held = open_stalled(operators, CLIENT_COUNT, bytes);
        // The stalled connections are still open at this point.
        assert_serving(&fleet);
        drop(held);
    }
    assert!(catalog.ran_count() >= 3);
}

#[test]
fn daemons_exchange_messages_while_other_clients_fill_the_peer_listener() {
    let (fleet, _catalog) = start();
    let peers = fleet.daemons[1].peer_address;
    assert!(!send_garbage(peers).starts_with("HTTP/1.1 200"));
    assert!(!send_huge_headers(peers).starts_with("HTTP/1.1 200"));
    // Sends the first line of the HTTP/2 preface and then nothing.
    trickle(peers, b"PRI * HTTP/2.0\r\n", b"");
    assert_serving(&fleet);
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
    for bytes in [&b""[..], preface] {
        let held = open_stalled(peers, CLIENT_COUNT, bytes);
        assert_serving(&fleet);
        drop(held);
    }
    assert_serving(&fleet);
}
