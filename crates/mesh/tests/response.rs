//! Pattern: targets that send bytes without end, until somebody closes.

mod support;

use std::time::Duration;

use model::{ByteCount, ClockPort, FakeClock};
use quetzal_mesh::response::{ExceededLimit, MAX_RESPONSE_SIZE, ResponseLimit};
use support::ms;

/// Sends pieces of `size` every `pause` to a caller that waits for a second.
fn send(size: u64, pause: Duration) -> (ExceededLimit, Duration, ByteCount) {
    let clock = FakeClock::new();
    let begun = clock.now();
    let mut bound = ResponseLimit::new(begun + ms(1000));
    loop {
        let now = clock.now();
        if let Err(excess) = bound.record(ByteCount(size), now) {
            return (excess, now - begun, bound.forwarded());
        }
        clock.advance(pause);
    }
}

#[test]
fn a_fast_answer_without_an_end_is_cut_off_at_its_size() {
    let piece = 16 << 10;
    let (excess, _, passed) = send(piece, Duration::from_micros(1));
    assert_eq!(excess, ExceededLimit::Size);
    assert_eq!(passed, ByteCount(MAX_RESPONSE_SIZE.0 + piece));
}

#[test]
fn a_slow_answer_without_an_end_is_cut_off_with_its_callers_patience() {
    let (excess, after, _) = send(16, ms(20));
    assert_eq!((excess, after), (ExceededLimit::Time, ms(1000)));
}

#[test]
fn a_long_answer_that_ends_is_passed_on_whole() {
    let clock = FakeClock::new();
    let mut bound = ResponseLimit::new(clock.now() + ms(1000));
    assert_eq!(bound.record(MAX_RESPONSE_SIZE, clock.now()), Ok(()));
    clock.advance(ms(999));
    assert_eq!(bound.record(ByteCount(0), clock.now()), Ok(()));
}
