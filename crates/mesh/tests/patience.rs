//! Pattern: callers that were refused come back with the time that they have left.

mod support;

use std::sync::Arc;
use std::time::Duration;

use model::FakeClock;
use quetzal_mesh::{CallerPatience, RouteKey};
use support::ms;

fn patience() -> (FakeClock, CallerPatience) {
    let clock = FakeClock::new();
    let book = CallerPatience::new(Arc::new(clock.clone()));
    (clock, book)
}

#[test]
fn what_a_caller_lacks_of_the_usual_time_was_spent_on_earlier_tries() {
    let (clock, mut book) = patience();
    let route = RouteKey::of("browse");
    assert_eq!(book.spent(route, ms(1500)), Duration::ZERO);
    clock.advance(ms(200));
    assert_eq!(book.spent(route, ms(1290)), ms(210));
    assert_eq!(book.spent(route, ms(1499)), Duration::ZERO, "callers differ");
    // Another route's callers have less time from the start.
    assert_eq!(book.spent(RouteKey::of("status"), ms(400)), Duration::ZERO);
}

#[test]
fn callers_that_begin_with_less_time_are_not_taken_for_returning_ones_for_long() {
    let (clock, mut book) = patience();
    let route = RouteKey::of("browse");
    book.spent(route, ms(6000));
    let mut spent = Duration::MAX;
    for _ in 0..250 {
        clock.advance(ms(100));
        spent = book.spent(route, ms(2000));
    }
    assert_eq!(spent, Duration::ZERO);
}
