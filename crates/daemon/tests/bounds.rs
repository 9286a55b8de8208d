//! Limits of the caller listener on headers, bodies and connections, tested against the
//! `quetzald` binary.

mod fleet;

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::hostile_clients::{open_stalled, send_many_headers, trickle};
use fleet::target::TestTarget;
use fleet::{ALLOWANCES, Fleet, PLANS, WAIT_TIMEOUT, raw_exchange, wait_until};

const EXTRA_SETTINGS: &str = r#", "header_timeout_ms": 300, "idle_timeout_ms": 500, "max_header_bytes": 8192,
    "max_body_bytes": 200000, "caller_connections": 40"#;

fn start() -> (Fleet, TestTarget) {
    let fleet = Fleet::start(2, &["cairo-a"], EXTRA_SETTINGS);
    let studio = TestTarget::start("studio-1", "studio", &fleet.daemons[1], Duration::ZERO);
    fleet.publish(PLANS, ALLOWANCES);
    fleet.wait_for_all("target", |status| {
        status
            .members
            .iter()
            .any(|member| !member.targets.is_empty())
    });
    (fleet, studio)
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn slow_and_huge_headers_are_cut_off() {
    let (fleet, _studio) = start();
    let callers = fleet.daemons[0].caller_address;
    // The headers are never completed, so the listener times out and closes.
    let slow = raw_exchange(callers, b"GET /studio/x HTTP/1.1\r\nhost: a\r\n");
    assert!(
        slow.is_empty() || text(&slow).contains("408"),
        "{}",
        text(&slow)
    );
    let mut huge = b"GET /studio/x HTTP/1.1\r\nhost: a\r\nx: ".to_vec();
    huge.resize(20_000, b'a');
    huge.extend_from_slice(b"\r\n\r\n");
    let answer = text(&raw_exchange(callers, &huge));
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    let garbage = text(&raw_exchange(
        callers,
        b"\x16\x03\x01\x02\x00 hello\r\n\r\n",
    ));
    assert!(garbage.starts_with("HTTP/1.1 400"), "{garbage}");
    assert!(
        fleet
            .outcome(0, "GET", "/studio/x", None)
            .starts_with("200")
    );
}

#[test]
fn endless_and_stalled_bodies_are_cut_off_and_the_target_sees_the_abort() {
    let (fleet, studio) = start();
    let callers = fleet.daemons[0].caller_address;
    let response = fleet.try_call(0, "PUT", "/studio/x", None, vec![1; 300_000]);
    // The connection may fail instead if the caller is still sending when it is refused.
    if let Ok(response) = response {
        assert_eq!(response.status().as_u16(), 413);
    }
    let mut stalled = TcpStream::connect(callers).unwrap();
    stalled.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let head = "PUT /studio/y HTTP/1.1\r\nhost: a\r\nquetzal-customer: nile\r\ncontent-length: 150000\r\n\r\n";
    stalled.write_all(head.as_bytes()).unwrap();
    stalled.write_all(&vec![2; 100_000]).unwrap();
    let mut answer = Vec::new();
    drop(stalled.read_to_end(&mut answer));
    let answer = text(&answer);
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    wait_until("the target sees the aborted upload", || {
        studio.broken_bodies.load(Ordering::SeqCst) >= 1
    });
    let whole = studio.ran.lock().unwrap().clone();
    assert!(!whole.contains(&"PUT /studio/y".to_owned()), "{whole:?}");
    assert!(
        fleet
            .outcome(0, "GET", "/studio/x", None)
            .starts_with("200")
    );
}

#[test]
fn idle_connections_are_closed_so_that_others_connect() {
    let (fleet, _studio) = start();
    let callers = fleet.daemons[0].caller_address;
    let idle: Vec<TcpStream> = (0..40)
        .map(|_| TcpStream::connect(callers).unwrap())
        .collect();
    let refused = text(&raw_exchange(
        callers,
        b"GET /studio/x HTTP/1.1\r\nhost: a\r\n\r\n",
    ));
    assert!(
        refused.is_empty() || refused.contains("connections-exceeded"),
        "{refused}"
    );
    // `not-run` would mean that no call with the same key ever ran. The daemon cannot know that,
    // since it refuses the connection before it reads the call.
    assert!(!refused.contains("not-run: true"), "{refused}");
    // The listener closes the idle connections after the header timeout, although this test
    // still keeps them open.
    wait_until("a call gets a connection", || {
        fleet
            .try_call(0, "GET", "/studio/x", None, Vec::new())
            .is_ok_and(|response| response.status().is_success())
    });
    drop(idle);
}

#[test]
fn slow_headers_and_a_thousand_stalled_callers_do_not_block_others() {
    let (fleet, _studio) = start();
    let callers = fleet.daemons[0].caller_address;
    let slow = trickle(callers, b"GET /studio/x HTTP/1.1\r\nx: ", b"a");
    assert!(!slow.starts_with("HTTP/1.1 200"), "{slow}");
    let many = send_many_headers(callers);
    assert!(many.starts_with("HTTP/1.1 431"), "{many}");
    let half_a_body = b"PUT /studio/x HTTP/1.1\r\nhost: a\r\nquetzal-customer: nile\r\ncontent-length: 20000\r\n\r\nx";
    for bytes in [&b""[..], b"GET /studio/x HTTP/1.1\r\n", half_a_body] {
        let held = open_stalled(callers, 1000, bytes);
        wait_until("a call gets a connection", || {
            fleet
                .try_call(0, "GET", "/studio/x", None, Vec::new())
                .is_ok_and(|response| response.status().is_success())
        });
        drop(held);
    }
}
