//! Load patterns over several services, and who is refused at the entry.

mod support;

use std::sync::Arc;

use model::FakeClock;
use quetzal_mesh::{EntryOutcome, EntryThrottle, NestedCallOutcome, RouteRule};
use support::{ms, rule, service};

/// Asks `count` times, a millisecond apart; `end` says how an admitted request ends.
fn ask(
    throttle: &mut EntryThrottle,
    clock: &FakeClock,
    rule: &RouteRule,
    count: u32,
    called: &str,
    end: impl Fn(u32) -> EntryOutcome,
) -> u32 {
    let called: Vec<_> = called.split_whitespace().map(service).collect();
    let mut admitted = 0;
    for number in 0..count {
        // Spread evenly over 0 to 1, so that the test has one outcome.
        let draw = (number * 37 % 100) as f32 / 100.0;
        if throttle.admit(rule, draw) {
            admitted += 1;
            let service = &rule.destinations[0].service;
            throttle.finish(rule, service, end(number), &called);
        }
        clock.advance(ms(1));
    }
    admitted
}

/// One in `n` requests ends as `few`, the others as `most`.
fn one_in(n: u32, few: EntryOutcome, most: EntryOutcome) -> impl Fn(u32) -> EntryOutcome + Copy {
    move |number| {
        if number.is_multiple_of(n) { few } else { most }
    }
}

fn fresh() -> (EntryThrottle, FakeClock) {
    let clock = FakeClock::new();
    (EntryThrottle::new(Arc::new(clock.clone())), clock)
}

#[test]
fn runs_in_vain_are_cut_back_until_most_end_well() {
    // A called service has room for a fifth of the runs.
    let (mut throttle, clock) = fresh();
    let browse = rule("browse", "catalog", 2);
    let end = one_in(5, EntryOutcome::Ran, EntryOutcome::Starved);
    ask(&mut throttle, &clock, &browse, 2000, "deals", end);
    let admitted = ask(&mut throttle, &clock, &browse, 1000, "deals", end);
    assert!(admitted < 200, "{admitted} of 1000 admitted");
}

#[test]
fn refusals_of_gates_do_not_add_refusals_at_the_entry() {
    // They cost no target anything, so there is nothing to save.
    let (mut throttle, clock) = fresh();
    let browse = rule("browse", "catalog", 2);
    let end = one_in(2, EntryOutcome::Refused, EntryOutcome::Ran);
    let admitted = ask(&mut throttle, &clock, &browse, 2000, "", end);
    assert_eq!(admitted, 2000);
}

#[test]
fn a_few_failures_are_no_overload() {
    let (mut throttle, clock) = fresh();
    let browse = rule("browse", "catalog", 2);
    let end = one_in(10, EntryOutcome::Starved, EntryOutcome::Ran);
    let admitted = ask(&mut throttle, &clock, &browse, 2000, "", end);
    assert_eq!(admitted, 2000);
}

#[test]
fn browsing_gives_way_to_bookings_whose_service_its_calls_fill() {
    let (mut throttle, clock) = fresh();
    let browse = rule("browse", "catalog", 2);
    let booking = rule("booking", "deals", 1);
    let half = one_in(2, EntryOutcome::Refused, EntryOutcome::Ran);
    for _ in 0..100 {
        ask(&mut throttle, &clock, &browse, 20, "deals", |_| {
            EntryOutcome::Ran
        });
        ask(&mut throttle, &clock, &booking, 20, "", half);
    }
    let admitted = ask(&mut throttle, &clock, &browse, 100, "deals", |_| {
        EntryOutcome::Ran
    });
    assert!((45..=60).contains(&admitted), "{admitted} of 100 admitted");
}

#[test]
fn an_overload_elsewhere_refuses_nothing_here() {
    let (mut throttle, clock) = fresh();
    let browse = rule("browse", "catalog", 2);
    let status = rule("status", "studio", 1);
    for _ in 0..50 {
        ask(&mut throttle, &clock, &browse, 20, "deals", |_| {
            EntryOutcome::Ran
        });
        ask(&mut throttle, &clock, &status, 20, "", |_| {
            EntryOutcome::Refused
        });
    }
    let admitted = ask(&mut throttle, &clock, &browse, 100, "deals", |_| {
        EntryOutcome::Ran
    });
    assert_eq!(admitted, 100);
}

#[test]
fn the_more_urgent_route_is_not_refused_for_the_less_urgent() {
    let (mut throttle, clock) = fresh();
    let browse = rule("browse", "catalog", 2);
    let booking = rule("booking", "catalog", 1);
    for _ in 0..50 {
        ask(&mut throttle, &clock, &browse, 20, "", |_| {
            EntryOutcome::Refused
        });
        ask(&mut throttle, &clock, &booking, 20, "", |_| {
            EntryOutcome::Ran
        });
    }
    let admitted = ask(&mut throttle, &clock, &booking, 100, "", |_| {
        EntryOutcome::Ran
    });
    assert_eq!(admitted, 100);
}

#[test]
fn the_end_of_an_overload_is_noticed_within_seconds() {
    let (mut throttle, clock) = fresh();
    let browse = rule("browse", "catalog", 2);
    ask(&mut throttle, &clock, &browse, 3000, "", |_| {
        EntryOutcome::Starved
    });
    ask(&mut throttle, &clock, &browse, 5000, "", |_| {
        EntryOutcome::Ran
    });
    let admitted = ask(&mut throttle, &clock, &browse, 100, "", |_| {
        EntryOutcome::Ran
    });
    assert_eq!(admitted, 100);
}

#[test]
fn runs_whose_calls_a_target_sheds_are_let_in_as_before() {
    // Pattern: all targets of a called service refuse half of what they get, with room free.
    let (mut throttle, clock) = fresh();
    let browse = rule("browse", "catalog", 2);
    let shed = EntryOutcome::from_run(true, NestedCallOutcome::Shed);
    let end = one_in(5, EntryOutcome::Ran, shed);
    let admitted = ask(&mut throttle, &clock, &browse, 3000, "deals", end);
    assert_eq!(admitted, 3000);
    assert_eq!(
        EntryOutcome::from_run(true, NestedCallOutcome::NoRoom),
        EntryOutcome::Starved
    );
    assert_eq!(
        EntryOutcome::from_run(false, NestedCallOutcome::NoRoom),
        EntryOutcome::Ran
    );
}

#[test]
fn a_less_urgent_route_is_not_refused_for_room_that_it_does_not_take() {
    // Pattern: bookings lack room at their own service and call another one, which has room
    // and runs reports.
    let (mut throttle, clock) = fresh();
    let report = rule("report", "studio", 2);
    let booking = rule("booking", "deals", 1);
    let half = one_in(2, EntryOutcome::Refused, EntryOutcome::Ran);
    for _ in 0..100 {
        ask(&mut throttle, &clock, &report, 20, "", |_| {
            EntryOutcome::Ran
        });
        ask(&mut throttle, &clock, &booking, 20, "studio", half);
    }
    let admitted = ask(&mut throttle, &clock, &report, 100, "", |_| {
        EntryOutcome::Ran
    });
    assert_eq!(admitted, 100);
}

#[test]
fn what_targets_shed_is_no_room_that_another_route_takes() {
    // Pattern: all targets of a service shed half of what they get, with room free; bookings
    // go there, and browsing calls it.
    let (mut throttle, clock) = fresh();
    let browse = rule("browse", "catalog", 2);
    let booking = rule("booking", "deals", 1);
    let half = one_in(2, EntryOutcome::Shed, EntryOutcome::Ran);
    for _ in 0..100 {
        ask(&mut throttle, &clock, &browse, 20, "deals", |_| {
            EntryOutcome::Ran
        });
        ask(&mut throttle, &clock, &booking, 20, "", half);
    }
    let admitted = ask(&mut throttle, &clock, &browse, 100, "deals", |_| {
        EntryOutcome::Ran
    });
    assert_eq!(admitted, 100);
}
