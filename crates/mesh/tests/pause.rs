//! Tests the detection of pauses of the process.

mod support;

use model::{ClockPort, FakeClock};
use quetzal_mesh::pause::{OBSERVE_INTERVAL, PauseDetector};
use support::ms;

#[test]
fn a_process_that_is_observed_in_time_has_not_paused() {
    let clock = FakeClock::new();
    let detector = PauseDetector::new(clock.shared());
    let start = clock.now();
    for _ in 0..100 {
        clock.advance(OBSERVE_INTERVAL * 2);
        assert_eq!(detector.observe(), None);
    }
    assert!(!detector.has_paused_since(start));
}

#[test]
fn a_pause_spans_what_began_before_its_end_and_nothing_else() {
    let clock = FakeClock::new();
    let detector = PauseDetector::new(clock.shared());
    let before = clock.now();
    clock.advance(ms(400));
    assert!(detector.has_paused_since(before));
    let after = clock.now();
    clock.advance(ms(100));
    assert!(!detector.has_paused_since(after));
    assert!(
        detector.has_paused_since(before),
        "the pause is not forgotten"
    );
    let pause = detector.observe().expect("a pause");
    assert_eq!((pause.length, pause.until), (ms(400), after));
}
