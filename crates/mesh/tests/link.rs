//! Tests the admission of uploads that exceed the bandwidth of a link.

mod support;

use std::time::Duration;

use model::ByteCount;
use quetzal_mesh::LinkGate;
use support::ms;

/// 12.6 Mbit/s in bytes per second.
const SLOW_LINK: f64 = 12.6e6 / 8.0;

#[test]
fn uploads_beyond_the_bandwidth_are_refused() {
    let gate = LinkGate::new(SLOW_LINK);
    let size = ByteCount(280_000);
    let reservations: Vec<_> = (0..20).map(|_| gate.admit(size, ms(8000))).collect();
    let admitted = reservations
        .iter()
        .filter(|reservation| reservation.is_ok())
        .count();
    // The bandwidth for bodies is 0.55 MB in half a second.
    assert_eq!(admitted, 1, "{admitted} of 20 admitted");
    let refusal = reservations.into_iter().find_map(Result::err);
    assert!(refusal.is_some_and(|time| time < Duration::from_secs(1)));
}

#[test]
fn a_reservation_is_released_as_the_body_arrives_and_on_drop() {
    let gate = LinkGate::new(SLOW_LINK);
    let size = ByteCount(280_000);
    let mut first = gate.admit(size, ms(8000)).expect("the link is idle");
    assert!(gate.admit(size, ms(8000)).is_err());
    first.release(200_000);
    let second = gate
        .admit(size, ms(8000))
        .expect("most of the first body has arrived");
    assert!(gate.admit(size, ms(8000)).is_err());
    drop(second);
    assert!(gate.admit(size, ms(8000)).is_ok());
}

#[test]
fn small_bodies_are_admitted_to_a_full_link() {
    let gate = LinkGate::new(SLOW_LINK);
    let _large = gate.admit(ByteCount(5_000_000), ms(8000));
    assert!(gate.admit(ByteCount(300), ms(400)).is_ok());
}

#[test]
fn a_fast_link_admits_many_concurrent_uploads() {
    let gate = LinkGate::new(1e9 / 8.0);
    let reservations: Vec<_> = (0..100)
        .filter_map(|_| gate.admit(ByteCount(60_000), ms(1200)).ok())
        .collect();
    assert_eq!(reservations.len(), 100);
}
