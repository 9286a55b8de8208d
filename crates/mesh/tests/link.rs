//! Uploads beyond what a link carries.

mod support;

use std::time::Duration;

use model::ByteCount;
use quetzal_mesh::LinkGate;
use support::ms;

/// 12.6 Mbit/s, as bytes.
const SLOW_LINK: f64 = 12.6e6 / 8.0;

#[test]
fn uploads_beyond_the_link_are_refused_before_they_are_sent() {
    let gate = LinkGate::new(SLOW_LINK);
    let size = ByteCount(280_000);
    let rooms: Vec<_> = (0..20).map(|_| gate.admit(size, ms(8000))).collect();
    let admitted = rooms.iter().filter(|room| room.is_ok()).count();
    // Half a second of the part for bodies is 0.55 MB.
    assert_eq!(admitted, 1, "{admitted} of 20 admitted");
    let refusal = rooms.into_iter().find_map(Result::err);
    assert!(refusal.is_some_and(|time| time < Duration::from_secs(1)));
}

#[test]
fn room_comes_back_as_the_body_arrives_and_when_it_is_given_up() {
    let gate = LinkGate::new(SLOW_LINK);
    let size = ByteCount(280_000);
    let mut first = gate.admit(size, ms(8000)).expect("the link is idle");
    assert!(gate.admit(size, ms(8000)).is_err());
    first.release(200_000);
    let second = gate.admit(size, ms(8000)).expect("most has arrived");
    assert!(gate.admit(size, ms(8000)).is_err());
    drop(second);
    assert!(gate.admit(size, ms(8000)).is_ok());
}

#[test]
fn small_bodies_pass_a_full_link() {
    let gate = LinkGate::new(SLOW_LINK);
    let _large = gate.admit(ByteCount(5_000_000), ms(8000));
    assert!(gate.admit(ByteCount(300), ms(400)).is_ok());
}

#[test]
fn a_fast_link_takes_many_uploads_at_once() {
    let gate = LinkGate::new(1e9 / 8.0);
    let rooms: Vec<_> = (0..100)
        .filter_map(|_| gate.admit(ByteCount(60_000), ms(1200)).ok())
        .collect();
    assert_eq!(rooms.len(), 100);
}
