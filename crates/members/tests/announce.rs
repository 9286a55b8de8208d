//! The target registry: heartbeats, order of states, incarnations and limits.

use std::time::Duration;

use model::{CallCount, FakeClock, IncarnationNumber};
use quetzal_members::announce::{HEARTBEAT_TIMEOUT, MAX_TARGETS};
use quetzal_members::{TargetAnnouncement, TargetRegistry, TargetState};
use quickcheck::{Arbitrary, Gen, quickcheck};

fn announcement(number: usize, incarnation: u64, state: TargetState) -> TargetAnnouncement {
    TargetAnnouncement {
        target: format!("target-{number}").parse().unwrap(),
        service: "catalog".parse().unwrap(),
        address: "127.0.0.1:8080".parse().unwrap(),
        slots: CallCount(10),
        connections: CallCount(130),
        state,
        load: 0.5,
        incarnation: IncarnationNumber(incarnation),
    }
}

fn registry() -> (FakeClock, TargetRegistry) {
    let clock = FakeClock::new();
    let registry = TargetRegistry::new(clock.shared());
    (clock, registry)
}

#[test]
fn heartbeats_change_nothing_and_a_target_without_them_is_dropped() {
    let (clock, mut registry) = registry();
    let first = registry.announce(announcement(1, 1, TargetState::Ready));
    assert_eq!(first.unwrap().unwrap().state, TargetState::Ready);
    for _ in 0..5 {
        clock.advance(Duration::from_secs(1));
        let again = registry.announce(announcement(1, 1, TargetState::Ready));
        assert_eq!(again, Ok(None));
        assert!(registry.on_tick().is_empty());
    }
    clock.advance(HEARTBEAT_TIMEOUT);
    let changes = registry.on_tick();
    assert_eq!(changes[0].state, TargetState::Gone);
    assert_eq!(registry.present().count(), 0);
    assert!(registry.digests().is_empty());
}

#[test]
fn a_starting_target_is_registered_but_not_ready() {
    let (_, mut registry) = registry();
    registry
        .announce(announcement(1, 1, TargetState::Starting))
        .unwrap();
    let digest = registry.digests().remove(0);
    assert_eq!(digest.state, TargetState::Starting);
    assert_eq!(digest.ready_since, None);
    registry
        .announce(announcement(1, 1, TargetState::Ready))
        .unwrap();
    assert!(registry.digests()[0].ready_since.is_some());
}

#[test]
fn an_older_incarnation_is_refused_even_after_the_newer_one_is_gone() {
    let (clock, mut registry) = registry();
    registry
        .announce(announcement(1, 5, TargetState::Ready))
        .unwrap();
    clock.advance(HEARTBEAT_TIMEOUT);
    registry.on_tick();
    assert!(
        registry
            .announce(announcement(1, 4, TargetState::Ready))
            .is_err()
    );
    registry
        .announce(announcement(1, 5, TargetState::Gone))
        .unwrap();
    assert!(
        registry
            .announce(announcement(1, 5, TargetState::Ready))
            .is_err()
    );
    let later = registry.announce(announcement(1, 6, TargetState::Ready));
    assert!(later.unwrap().is_some());
}

#[test]
fn a_paused_target_returns_with_its_next_heartbeat() {
    let (clock, mut registry) = registry();
    registry
        .announce(announcement(1, 1, TargetState::Ready))
        .unwrap();
    clock.advance(2 * HEARTBEAT_TIMEOUT);
    registry.on_tick();
    assert_eq!(registry.present().count(), 0);
    let back = registry.announce(announcement(1, 1, TargetState::Ready));
    assert_eq!(back.unwrap().unwrap().state, TargetState::Ready);
    assert_eq!(registry.present().count(), 1);
}

#[test]
fn heartbeats_keep_a_draining_target_present_and_draining() {
    let (clock, mut registry) = registry();
    registry
        .announce(announcement(1, 1, TargetState::Ready))
        .unwrap();
    assert_eq!(registry.drain_all().len(), 1);
    for _ in 0..10 {
        clock.advance(Duration::from_secs(1));
        let heartbeat = registry.announce(announcement(1, 1, TargetState::Ready));
        assert_eq!(heartbeat, Ok(None));
        assert!(registry.on_tick().is_empty());
    }
    assert_eq!(registry.digests()[0].state, TargetState::Draining);
}

#[test]
fn the_number_of_targets_is_bounded() {
    let (_, mut registry) = registry();
    for number in 0..MAX_TARGETS {
        registry
            .announce(announcement(number, 1, TargetState::Ready))
            .unwrap();
    }
    let surplus = registry.announce(announcement(MAX_TARGETS, 1, TargetState::Ready));
    assert!(surplus.is_err());
}

#[test]
fn invalid_announcements_are_refused() {
    let (_, mut registry) = registry();
    let mut invalid = announcement(1, 1, TargetState::Ready);
    invalid.load = f32::NAN;
    assert!(registry.announce(invalid).is_err());
    let mut invalid = announcement(1, 1, TargetState::Ready);
    invalid.slots = CallCount(0);
    assert!(registry.announce(invalid).is_err());
}

#[test]
fn an_announcement_is_parsed_from_json() {
    let text = r#"{"target":"deals-1","service":"deals","address":"10.0.0.4:8080",
        "slots":10,"connections":130,"state":"ready","load":0.25,"incarnation":7}"#;
    let parsed: TargetAnnouncement = serde_json::from_str(text).unwrap();
    assert_eq!(parsed.state, TargetState::Ready);
    let unknown = text.replace("\"load\"", "\"weight\"");
    assert!(serde_json::from_str::<TargetAnnouncement>(&unknown).is_err());
}

#[derive(Clone, Copy, Debug)]
struct Step {
    incarnation: u64,
    state: TargetState,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let states = [
            TargetState::Starting,
            TargetState::Ready,
            TargetState::Draining,
            TargetState::Gone,
        ];
        Self {
            incarnation: u64::arbitrary(g) % 3,
            state: *g.choose(&states).unwrap(),
        }
    }
}

quickcheck! {
    fn within_an_incarnation_a_target_only_moves_forward(steps: Vec<Step>) -> bool {
        let (_, mut registry) = registry();
        let mut last: Option<(u64, TargetState)> = None;
        for step in steps {
            let _refused = registry.announce(announcement(1, step.incarnation, step.state));
            let Some(held) = registry.target(&"target-1".parse().unwrap()) else {
                continue;
            };
            let now = (held.incarnation.0, held.state);
            if last.is_some_and(|before| now < before) {
                return false;
            }
            last = Some(now);
        }
        true
    }
}
