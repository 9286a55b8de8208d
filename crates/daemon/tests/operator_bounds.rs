//! Bounds of the listeners for operators and for other daemons, on the real binary.

mod fleet;

use std::time::Duration;

use fleet::assault::{endless, garbage, huge_headers, many_headers, stalled, trickle};
use fleet::target::TestTarget;
use fleet::{ALLOWANCES, Fleet, PLANS, await_true};

const EXTRA: &str =
    r#", "header_timeout_ms": 300, "idle_timeout_ms": 500, "operator_connections": 40"#;
/// Clients that stall at once.
const CLIENT_COUNT: usize = 1000;
const CHUNK: &[u8] = b"400\r\n";

fn start() -> (Fleet, TestTarget) {
    let fleet = Fleet::start(2, &["cairo-a"], EXTRA);
    let catalog = TestTarget::start("catalog-1", "catalog", &fleet.daemons[1], Duration::ZERO);
    fleet.publish(PLANS, ALLOWANCES);
    assert_sound(&fleet);
    (fleet, catalog)
}

/// Operators are answered, and a call passes from one daemon to the other.
fn assert_sound(fleet: &Fleet) {
    await_true("operators are answered", || fleet.status(0).is_some());
    await_true("a call runs", || {
        fleet
            .outcome(0, "GET", "/catalog/x", None)
            .starts_with("200")
    });
}

fn chunk() -> Vec<u8> {
    [CHUNK, &[b'a'; 1024], b"\r\n"].concat()
}

#[test]
fn operators_headers_and_bodies_are_bounded() {
    let (fleet, _catalog) = start();
    let operators = fleet.daemons[0].operators;
    let slow = trickle(operators, b"GET /v1/status HTTP/1.1\r\nx: ", b"a");
    assert!(!slow.starts_with("HTTP/1.1 200"), "{slow}");
    let huge = huge_headers(operators);
    assert!(huge.starts_with("HTTP/1.1 431"), "{huge}");
    let many = many_headers(operators);
    assert!(many.starts_with("HTTP/1.1 431"), "{many}");
    let garbled = garbage(operators);
    assert!(garbled.starts_with("HTTP/1.1 400"), "{garbled}");
    assert_sound(&fleet);

    let head = b"POST /v1/targets HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let answer = endless(operators, head, &chunk());
    // The answer is lost if the client was still sending when it came.
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 413"),
        "{answer}"
    );
    let head = b"POST /v1/targets HTTP/1.1\r\nhost: a\r\ncontent-length: 60000\r\n\r\n";
    let answer = trickle(operators, head, b"a");
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert_sound(&fleet);
}

#[test]
fn a_thousand_stalled_operators_leave_room_for_others() {
    let (fleet, catalog) = start();
    let operators = fleet.daemons[0].operators;
    let half_a_body = b"POST /v1/targets HTTP/1.1\r\nhost: a\r\ncontent-length: 20000\r\n\r\nx";
    for bytes in [&b""[..], b"GET /v1/status HTTP/1.1\r\n", half_a_body] {
        let held = stalled(operators, CLIENT_COUNT, bytes);
        // They are still held here when the others get through.
        assert_sound(&fleet);
        drop(held);
    }
    assert!(catalog.ran_count() >= 3);
}

#[test]
fn other_daemons_are_heard_while_strangers_fill_the_peers_listener() {
    let (fleet, _catalog) = start();
    let peers = fleet.daemons[1].peers;
    assert!(!garbage(peers).starts_with("HTTP/1.1 200"));
    assert!(!huge_headers(peers).starts_with("HTTP/1.1 200"));
    trickle(peers, b"PRI * HTTP/2.0\r\n", b"");
    assert_sound(&fleet);
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
    for bytes in [&b""[..], preface] {
        let held = stalled(peers, CLIENT_COUNT, bytes);
        assert_sound(&fleet);
        drop(held);
    }
    assert_sound(&fleet);
}
