//! Tests that endless responses are cut off.

mod support;

use std::time::Duration;

use model::{ByteCount, ClockPort, FakeClock};
use quetzal_mesh::response::{ExceededLimit, MAX_RESPONSE_SIZE, ResponseLimit};
use support::ms;

/// Sends a chunk of `size` bytes every `pause` to a caller that waits for one second, until
/// the response is cut off.
fn send(size: u64, pause: Duration) -> (ExceededLimit, Duration, ByteCount) {
    let clock = FakeClock::new();
    let started_at = clock.now();
    let mut limit = ResponseLimit::new(started_at + ms(1000));
    loop {
        let now = clock.now();
        if let Err(exceeded) = limit.record(ByteCount(size), now) {
            return (exceeded, now - started_at, limit.forwarded());
        }
        clock.advance(pause);
    }
}

#[test]
fn a_fast_endless_response_is_cut_off_at_the_maximum_size() {
    let chunk = 16 << 10;
    let (exceeded, _, forwarded) = send(chunk, Duration::from_micros(1));
    assert_eq!(exceeded, ExceededLimit::Size);
    assert_eq!(forwarded, ByteCount(MAX_RESPONSE_SIZE.0 + chunk));
}

#[test]
fn a_slow_endless_response_is_cut_off_at_the_deadline() {
    let (exceeded, after, _) = send(16, ms(20));
    assert_eq!((exceeded, after), (ExceededLimit::Time, ms(1000)));
}

#[test]
fn a_large_response_within_the_limits_is_complete() {
    let clock = FakeClock::new();
    let mut limit = ResponseLimit::new(clock.now() + ms(1000));
    assert_eq!(limit.record(MAX_RESPONSE_SIZE, clock.now()), Ok(()));
    clock.advance(ms(999));
    assert_eq!(limit.record(ByteCount(0), clock.now()), Ok(()));
}
