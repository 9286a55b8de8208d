//! Pattern: callers that were refused come back with the time that they have left.

mod support;

use std::sync::Arc;
use std::time::Duration;

use model::{ClockPort, FakeClock};
use quetzal_mesh::wait_tracker::CallerRequest;
use quetzal_mesh::{RouteKey, WaitTracker};
use support::ms;

fn patience() -> (FakeClock, WaitTracker) {
    let clock = FakeClock::new();
    let book = WaitTracker::new(Arc::new(clock.clone()));
    (clock, book)
}

fn caller(clock: &FakeClock, print: u64, remaining: u64) -> CallerRequest {
    CallerRequest {
        route: RouteKey::of("browse"),
        fingerprint: print,
        deadline: clock.now() + ms(remaining),
    }
}

#[test]
fn a_request_that_was_refused_here_is_known_when_it_returns() {
    let (clock, mut book) = patience();
    assert_eq!(book.waited(&caller(&clock, 1, 1400)), Duration::ZERO);
    clock.advance(ms(20));
    book.record_refusal(&caller(&clock, 1, 1380), ms(20));
    clock.advance(ms(100));
    assert_eq!(book.waited(&caller(&clock, 1, 1285)), ms(120));
    // Refused again, it still began when it began.
    book.record_refusal(&caller(&clock, 1, 1280), ms(120));
    clock.advance(ms(80));
    assert_eq!(book.waited(&caller(&clock, 1, 1200)), ms(200));
}

#[test]
fn the_same_request_of_another_caller_is_a_first_try() {
    let (clock, mut book) = patience();
    book.waited(&caller(&clock, 1, 1400));
    book.record_refusal(&caller(&clock, 1, 1400), Duration::ZERO);
    clock.advance(ms(100));
    assert_eq!(book.waited(&caller(&clock, 1, 1450)), Duration::ZERO);
    assert_eq!(book.waited(&caller(&clock, 2, 1300)), Duration::ZERO);
}

#[test]
fn after_a_restart_a_caller_with_little_time_left_is_taken_for_a_returning_one() {
    let (clock, mut book) = patience();
    // Callers differ by 15 in 100 from the start.
    for remaining in [1500, 1280, 1400] {
        assert_eq!(
            book.waited(&caller(&clock, remaining, remaining)),
            Duration::ZERO
        );
    }
    clock.advance(ms(100));
    assert_eq!(book.waited(&caller(&clock, 7, 700)), ms(500));
}

#[test]
fn callers_that_begin_with_less_time_are_not_taken_for_returning_ones_for_long() {
    let (clock, mut book) = patience();
    book.waited(&caller(&clock, 0, 6000));
    let mut spent = Duration::MAX;
    for number in 0..250 {
        clock.advance(ms(100));
        spent = book.waited(&caller(&clock, number, 2000));
    }
    assert_eq!(spent, Duration::ZERO);
}

#[test]
fn callers_of_one_path_do_not_hide_one_another() {
    let (clock, mut book) = patience();
    for remaining in [1400, 1450, 1500] {
        book.record_refusal(&caller(&clock, 1, remaining), Duration::ZERO);
    }
    clock.advance(ms(100));
    for remaining in [1300, 1350, 1400] {
        assert_eq!(book.waited(&caller(&clock, 1, remaining)), ms(100));
    }
}

#[test]
fn what_is_remembered_is_bounded() {
    let (clock, mut book) = patience();
    // All of one path, and each of its own.
    for print in [|_| 1, |number| number] {
        for number in 0..10_000 {
            let caller = caller(&clock, print(number), 1000 + 30 * number);
            book.record_refusal(&caller, Duration::ZERO);
        }
        clock.advance(ms(50));
        let (first, last) = (0, 9_999);
        let mut spent = |number| {
            let caller = caller(&clock, print(number), 950 + 30 * number);
            book.waited(&caller)
        };
        assert_eq!(spent(last), Duration::ZERO, "there is no room for it");
        assert_eq!(spent(first), ms(50));
        // Once those have stopped waiting there is room for others.
        clock.advance(ms(400_000));
        let late = caller(&clock, 20_000, 1000);
        book.record_refusal(&late, Duration::ZERO);
        clock.advance(ms(50));
        assert_eq!(book.waited(&late), ms(50));
        clock.advance(ms(400_000));
    }
}
