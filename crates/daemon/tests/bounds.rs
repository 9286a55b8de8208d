//! Bounds of the callers' listener, on the real binary.

mod fleet;

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::assault::{many_headers, stalled, trickle};
use fleet::target::TestTarget;
use fleet::{ALLOWANCES, Fleet, PATIENCE, PLANS, await_true, raw_exchange};

const EXTRA: &str = r#", "header_timeout_ms": 300, "idle_timeout_ms": 500, "max_header_bytes": 8192,
    "max_body_bytes": 200000, "caller_connections": 40"#;

fn start() -> (Fleet, TestTarget) {
    let fleet = Fleet::start(2, &["cairo-a"], EXTRA);
    let studio = TestTarget::start("studio-1", "studio", &fleet.daemons[1], Duration::ZERO);
    fleet.publish(PLANS, ALLOWANCES);
    fleet.await_all("target", |status| {
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
    let callers = fleet.daemons[0].callers;
    // Never completed: the listener closes by itself.
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
    let callers = fleet.daemons[0].callers;
    let response = fleet.try_call(0, "PUT", "/studio/x", None, vec![1; 300_000]);
    // The caller may still be sending when it is refused.
    if let Ok(response) = response {
        assert_eq!(response.status().as_u16(), 413);
    }
    let mut stalled = TcpStream::connect(callers).unwrap();
    stalled.set_read_timeout(Some(PATIENCE)).unwrap();
    let head = "PUT /studio/y HTTP/1.1\r\nhost: a\r\nquetzal-customer: nile\r\ncontent-length: 150000\r\n\r\n";
    stalled.write_all(head.as_bytes()).unwrap();
    stalled.write_all(&vec![2; 100_000]).unwrap();
    let mut answer = Vec::new();
    drop(stalled.read_to_end(&mut answer));
    let answer = text(&answer);
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    await_true("the target sees the broken upload", || {
        studio.broken.load(Ordering::SeqCst) >= 1
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
fn idle_connections_make_room_for_others() {
    let (fleet, _studio) = start();
    let callers = fleet.daemons[0].callers;
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
    // Unread, the call may have named a key that was sent before.
    assert!(!refused.contains("not-run: true"), "{refused}");
    // The idle ones are closed after the header timeout, while this test still holds them.
    await_true("room for a caller", || {
        fleet
            .try_call(0, "GET", "/studio/x", None, Vec::new())
            .is_ok_and(|response| response.status().is_success())
    });
    drop(idle);
}

#[test]
fn trickling_headers_and_a_thousand_stalled_callers_leave_room_for_others() {
    let (fleet, _studio) = start();
    let callers = fleet.daemons[0].callers;
    let slow = trickle(callers, b"GET /studio/x HTTP/1.1\r\nx: ", b"a");
    assert!(!slow.starts_with("HTTP/1.1 200"), "{slow}");
    let many = many_headers(callers);
    assert!(many.starts_with("HTTP/1.1 431"), "{many}");
    let half_a_body = b"PUT /studio/x HTTP/1.1\r\nhost: a\r\nquetzal-customer: nile\r\ncontent-length: 20000\r\n\r\nx";
    for bytes in [&b""[..], b"GET /studio/x HTTP/1.1\r\n", half_a_body] {
        let held = stalled(callers, 1000, bytes);
        await_true("room for a caller", || {
            fleet
                .try_call(0, "GET", "/studio/x", None, Vec::new())
                .is_ok_and(|response| response.status().is_success())
        });
        drop(held);
    }
}
