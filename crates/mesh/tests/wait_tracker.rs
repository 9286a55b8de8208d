//! Tests the detection of refused callers that retry with the time they have left.

mod support;

use std::sync::Arc;
use std::time::Duration;

use model::{ClockPort, FakeClock};
use quetzal_mesh::wait_tracker::CallerRequest;
use quetzal_mesh::{RouteKey, WaitTracker};
use support::ms;

fn new_tracker() -> (FakeClock, WaitTracker) {
    let clock = FakeClock::new();
    let tracker = WaitTracker::new(Arc::new(clock.clone()));
    (clock, tracker)
}

fn request(clock: &FakeClock, fingerprint: u64, remaining: u64) -> CallerRequest {
    CallerRequest {
        route: RouteKey::of("browse"),
        fingerprint,
        deadline: clock.now() + ms(remaining),
    }
}

#[test]
fn a_request_refused_here_is_recognized_on_retry() {
    let (clock, mut tracker) = new_tracker();
    assert_eq!(tracker.waited(&request(&clock, 1, 1400)), Duration::ZERO);
    clock.advance(ms(20));
    tracker.record_refusal(&request(&clock, 1, 1380), ms(20));
    clock.advance(ms(100));
    assert_eq!(tracker.waited(&request(&clock, 1, 1285)), ms(120));
    // A second refusal does not change the time of the first attempt.
    tracker.record_refusal(&request(&clock, 1, 1280), ms(120));
    clock.advance(ms(80));
    assert_eq!(tracker.waited(&request(&clock, 1, 1200)), ms(200));
}

#[test]
fn the_same_request_of_another_caller_is_a_first_attempt() {
    let (clock, mut tracker) = new_tracker();
    tracker.waited(&request(&clock, 1, 1400));
    tracker.record_refusal(&request(&clock, 1, 1400), Duration::ZERO);
    clock.advance(ms(100));
    assert_eq!(tracker.waited(&request(&clock, 1, 1450)), Duration::ZERO);
    assert_eq!(tracker.waited(&request(&clock, 2, 1300)), Duration::ZERO);
}

#[test]
fn after_a_restart_a_caller_with_little_time_left_counts_as_a_retry() {
    let (clock, mut tracker) = new_tracker();
    // The timeouts of callers differ by 15 %.
    for remaining in [1500, 1280, 1400] {
        assert_eq!(
            tracker.waited(&request(&clock, remaining, remaining)),
            Duration::ZERO
        );
    }
    clock.advance(ms(100));
    assert_eq!(tracker.waited(&request(&clock, 7, 700)), ms(500));
}

#[test]
fn callers_with_a_shorter_timeout_soon_stop_counting_as_retries() {
    let (clock, mut tracker) = new_tracker();
    tracker.waited(&request(&clock, 0, 6000));
    let mut waited = Duration::MAX;
    for number in 0..250 {
        clock.advance(ms(100));
        waited = tracker.waited(&request(&clock, number, 2000));
    }
    assert_eq!(waited, Duration::ZERO);
}

#[test]
fn requests_with_one_fingerprint_and_different_deadlines_are_distinct() {
    let (clock, mut tracker) = new_tracker();
    for remaining in [1400, 1450, 1500] {
        tracker.record_refusal(&request(&clock, 1, remaining), Duration::ZERO);
    }
    clock.advance(ms(100));
    for remaining in [1300, 1350, 1400] {
        assert_eq!(tracker.waited(&request(&clock, 1, remaining)), ms(100));
    }
}

#[test]
fn the_number_of_remembered_refusals_is_bounded() {
    let (clock, mut tracker) = new_tracker();
    // All requests with the same fingerprint, then each with its own.
    for fingerprint in [|_| 1, |number| number] {
        for number in 0..10_000 {
            let request = request(&clock, fingerprint(number), 1000 + 30 * number);
            tracker.record_refusal(&request, Duration::ZERO);
        }
        clock.advance(ms(50));
        let (first, last) = (0, 9_999);
        let mut waited = |number| {
            let request = request(&clock, fingerprint(number), 950 + 30 * number);
            tracker.waited(&request)
        };
        assert_eq!(waited(last), Duration::ZERO, "the tracker was full");
        assert_eq!(waited(first), ms(50));
        // Expired refusals make room for new ones.
        clock.advance(ms(400_000));
        let late = request(&clock, 20_000, 1000);
        tracker.record_refusal(&late, Duration::ZERO);
        clock.advance(ms(50));
        assert_eq!(tracker.waited(&late), ms(50));
        clock.advance(ms(400_000));
    }
}
