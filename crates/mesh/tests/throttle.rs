//! Tests which requests are refused at the entry under load patterns over several services.

mod support;

use std::sync::Arc;

use model::FakeClock;
use quetzal_mesh::{EntryOutcome, EntryThrottle, NestedCallOutcome, RouteRule};
use support::{ms, rule, service};

/// Sends `count` requests, a millisecond apart, and returns how many were admitted.
///
/// `outcome` gives the outcome of each admitted request.
fn send(
    throttle: &mut EntryThrottle,
    clock: &FakeClock,
    rule: &RouteRule,
    count: u32,
    called: &str,
    outcome: impl Fn(u32) -> EntryOutcome,
) -> u32 {
    let called: Vec<_> = called.split_whitespace().map(service).collect();
    let mut admitted = 0;
    for number in 0..count {
        // Evenly spread over 0 to 1, so that the test is deterministic.
        let draw = (number * 37 % 100) as f32 / 100.0;
        if throttle.admit(rule, draw) {
            admitted += 1;
            let service = &rule.destinations[0].service;
            throttle.finish(rule, service, outcome(number), &called);
        }
        clock.advance(ms(1));
    }
    admitted
}

/// Returns outcomes of which one in `n` is `few` and the others are `most`.
fn one_in(n: u32, few: EntryOutcome, most: EntryOutcome) -> impl Fn(u32) -> EntryOutcome + Copy {
    move |number| {
        if number.is_multiple_of(n) { few } else { most }
    }
}

fn new_throttle() -> (EntryThrottle, FakeClock) {
    let clock = FakeClock::new();
    (EntryThrottle::new(Arc::new(clock.clone())), clock)
}

#[test]
fn starved_runs_reduce_the_admitted_requests() {
    // A called service has capacity for a fifth of the runs.
    let (mut throttle, clock) = new_throttle();
    let browse = rule("browse", "catalog", 2);
    let outcome = one_in(5, EntryOutcome::Ran, EntryOutcome::Starved);
    send(&mut throttle, &clock, &browse, 2000, "deals", outcome);
    let admitted = send(&mut throttle, &clock, &browse, 1000, "deals", outcome);
    assert!(admitted < 200, "{admitted} of 1000 admitted");
}

#[test]
fn refusals_by_gates_cause_no_refusals_at_the_entry() {
    // Refused requests cost no target anything, so there is no work to save.
    let (mut throttle, clock) = new_throttle();
    let browse = rule("browse", "catalog", 2);
    let outcome = one_in(2, EntryOutcome::Refused, EntryOutcome::Ran);
    let admitted = send(&mut throttle, &clock, &browse, 2000, "", outcome);
    assert_eq!(admitted, 2000);
}

#[test]
fn a_small_share_of_starved_runs_is_accepted() {
    let (mut throttle, clock) = new_throttle();
    let browse = rule("browse", "catalog", 2);
    let outcome = one_in(10, EntryOutcome::Starved, EntryOutcome::Ran);
    let admitted = send(&mut throttle, &clock, &browse, 2000, "", outcome);
    assert_eq!(admitted, 2000);
}

#[test]
fn browsing_is_refused_if_its_nested_calls_crowd_out_bookings() {
    let (mut throttle, clock) = new_throttle();
    let browse = rule("browse", "catalog", 2);
    let booking = rule("booking", "deals", 1);
    let half = one_in(2, EntryOutcome::Refused, EntryOutcome::Ran);
    for _ in 0..100 {
        send(&mut throttle, &clock, &browse, 20, "deals", |_| {
            EntryOutcome::Ran
        });
        send(&mut throttle, &clock, &booking, 20, "", half);
    }
    let admitted = send(&mut throttle, &clock, &browse, 100, "deals", |_| {
        EntryOutcome::Ran
    });
    assert!((45..=60).contains(&admitted), "{admitted} of 100 admitted");
}

#[test]
fn an_overload_of_an_unused_service_has_no_effect() {
    let (mut throttle, clock) = new_throttle();
    let browse = rule("browse", "catalog", 2);
    let status = rule("status", "studio", 1);
    for _ in 0..50 {
        send(&mut throttle, &clock, &browse, 20, "deals", |_| {
            EntryOutcome::Ran
        });
        send(&mut throttle, &clock, &status, 20, "", |_| {
            EntryOutcome::Refused
        });
    }
    let admitted = send(&mut throttle, &clock, &browse, 100, "deals", |_| {
        EntryOutcome::Ran
    });
    assert_eq!(admitted, 100);
}

#[test]
fn a_more_urgent_route_is_not_refused_because_of_a_less_urgent_one() {
    let (mut throttle, clock) = new_throttle();
    let browse = rule("browse", "catalog", 2);
    let booking = rule("booking", "catalog", 1);
    for _ in 0..50 {
        send(&mut throttle, &clock, &browse, 20, "", |_| {
            EntryOutcome::Refused
        });
        send(&mut throttle, &clock, &booking, 20, "", |_| {
            EntryOutcome::Ran
        });
    }
    let admitted = send(&mut throttle, &clock, &booking, 100, "", |_| {
        EntryOutcome::Ran
    });
    assert_eq!(admitted, 100);
}

#[test]
fn all_requests_are_admitted_within_seconds_after_an_overload() {
    let (mut throttle, clock) = new_throttle();
    let browse = rule("browse", "catalog", 2);
    send(&mut throttle, &clock, &browse, 3000, "", |_| {
        EntryOutcome::Starved
    });
    send(&mut throttle, &clock, &browse, 5000, "", |_| {
        EntryOutcome::Ran
    });
    let admitted = send(&mut throttle, &clock, &browse, 100, "", |_| {
        EntryOutcome::Ran
    });
    assert_eq!(admitted, 100);
}

#[test]
fn shed_nested_calls_do_not_reduce_the_admitted_requests() {
    // All targets of a called service refuse half of the calls despite free capacity.
    let (mut throttle, clock) = new_throttle();
    let browse = rule("browse", "catalog", 2);
    let shed = EntryOutcome::from_run(true, NestedCallOutcome::Shed);
    let outcome = one_in(5, EntryOutcome::Ran, shed);
    let admitted = send(&mut throttle, &clock, &browse, 3000, "deals", outcome);
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
fn a_route_is_not_refused_for_an_overload_of_a_service_it_does_not_use() {
    // Bookings lack capacity at their own service. They also call the service of reports,
    // which has free capacity.
    let (mut throttle, clock) = new_throttle();
    let report = rule("report", "studio", 2);
    let booking = rule("booking", "deals", 1);
    let half = one_in(2, EntryOutcome::Refused, EntryOutcome::Ran);
    for _ in 0..100 {
        send(&mut throttle, &clock, &report, 20, "", |_| {
            EntryOutcome::Ran
        });
        send(&mut throttle, &clock, &booking, 20, "studio", half);
    }
    let admitted = send(&mut throttle, &clock, &report, 100, "", |_| {
        EntryOutcome::Ran
    });
    assert_eq!(admitted, 100);
}

#[test]
fn requests_shed_by_targets_do_not_cause_refusals_of_other_routes() {
    // All targets of a service shed half of the requests despite free capacity. Bookings go
    // to that service, and browsing calls it.
    let (mut throttle, clock) = new_throttle();
    let browse = rule("browse", "catalog", 2);
    let booking = rule("booking", "deals", 1);
    let half = one_in(2, EntryOutcome::Shed, EntryOutcome::Ran);
    for _ in 0..100 {
        send(&mut throttle, &clock, &browse, 20, "deals", |_| {
            EntryOutcome::Ran
        });
        send(&mut throttle, &clock, &booking, 20, "", half);
    }
    let admitted = send(&mut throttle, &clock, &browse, 100, "deals", |_| {
        EntryOutcome::Ran
    });
    assert_eq!(admitted, 100);
}
