//! Distribution over a fleet: convergence, pauses, outages and invalid messages.

mod harness;

use std::time::Duration;

use harness::actor::{Node, node_factory};
use harness::{Fleet, FleetShape};
use model::{ConfigVersion, DaemonId, ErrorKind, FakeClock, IncarnationNumber};
use quetzal_spread::message::{AgeMillis, FreshnessEvidence};
use quetzal_spread::{
    FakeReplica, FreshnessState, HeadUpdate, LogState, ReplicaHead, SpreadAlarm, SpreadMember,
    SpreadMessage, SpreadNode, SpreadOutput, SpreadSettings, UpdateBody,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const START_SPREAD: Duration = Duration::from_secs(1);

fn fleet(daemons: usize, seed: u64) -> Fleet<Node> {
    let mut fleet = Fleet::new(
        FleetShape::sized(daemons, seed),
        START_SPREAD,
        node_factory(SpreadSettings::default()),
    );
    fleet.publish("first=1");
    fleet.run_for(Duration::from_secs(10));
    fleet
}

fn single_node(clock: &FakeClock, own: SpreadMember) -> SpreadNode<FakeReplica> {
    SpreadNode::new(
        SpreadSettings::default(),
        clock.shared(),
        SmallRng::seed_from_u64(1),
        FakeReplica::new(),
        own,
    )
}

#[test]
fn a_change_reaches_all_daemons_within_five_seconds() {
    for seed in 0..5 {
        let mut fleet = fleet(14, seed);
        let version = fleet.publish("a=2");
        let times = fleet.converge(version, Duration::from_secs(5));
        assert_eq!(times.len(), 14, "seed {seed}");
    }
}

#[test]
fn every_daemon_knows_the_fleet_summary() {
    let mut fleet = fleet(60, 7);
    let version = fleet.publish("a=2");
    fleet.run_for(Duration::from_secs(5));
    for slot in &fleet.slots {
        let node = slot.actor.as_ref().unwrap();
        let (summary, _) = node.fleet_summary().unwrap();
        assert!(summary.is_in_force_everywhere(version), "{summary:?}");
        assert_eq!(summary.members, 60);
        assert_eq!(node.freshness().state, FreshnessState::Current);
    }
}

#[test]
fn a_resumed_daemon_accepts_no_outdated_answer_as_proof() {
    for index in 0..12 {
        let mut fleet = fleet(12, 3);
        fleet.pause(index);
        fleet.run_for(Duration::from_secs(30));
        let version = fleet.publish("a=2");
        fleet.run_for(Duration::from_secs(1));
        fleet.resume(index);
        let node = fleet.slots[index].actor.as_ref().unwrap();
        assert_eq!(node.freshness().state, FreshnessState::CutOff);
        fleet.run_for(Duration::from_secs(5));
        let node = fleet.slots[index].actor.as_ref().unwrap();
        assert_eq!(node.freshness().state, FreshnessState::Current);
        assert_eq!(node.head().version, version);
    }
}

#[test]
fn the_age_of_a_proof_counts_from_the_request() {
    let clock = FakeClock::new();
    let [own, peer] = [1, 2].map(|id| SpreadMember {
        id: DaemonId(id),
        domain: "domain-1".parse().unwrap(),
        region: "region-1".parse().unwrap(),
        run: IncarnationNumber(1),
    });
    let mut node = single_node(&clock, own);
    node.set_members(std::slice::from_ref(&peer));
    let head = node.head();
    node.on_peer_message(peer.id, SpreadMessage::NoUpdate { head: Some(head) });
    let sent_question = |output: &SpreadOutput| match output {
        SpreadOutput::Send {
            message: SpreadMessage::Compare { question, .. },
            ..
        } => Some(*question),
        _ => None,
    };
    let question = node.on_tick().iter().find_map(sent_question).unwrap();
    clock.advance(Duration::from_secs(4));
    let view = FreshnessEvidence {
        proof_age: Some(AgeMillis(1000)),
        outage_age: None,
    };
    let answer = SpreadMessage::Compared {
        question,
        head,
        view,
    };
    node.on_peer_message(peer.id, answer);
    let report = node.freshness();
    assert_eq!(report.state, FreshnessState::Current);
    assert_eq!(report.proof_age, Some(Duration::from_secs(5)));
}

#[test]
fn nothing_is_read_before_the_members_are_known() {
    let clock = FakeClock::new();
    let own = SpreadMember {
        id: DaemonId(1),
        domain: "domain-1".parse().unwrap(),
        region: "region-1".parse().unwrap(),
        run: IncarnationNumber(1),
    };
    let mut node = single_node(&clock, own);
    let reads = |node: &mut SpreadNode<FakeReplica>| {
        clock.advance(Duration::from_secs(2));
        let outputs = node.on_tick();
        let is_read = |output: &SpreadOutput| matches!(output, SpreadOutput::ReadLog(_));
        outputs.iter().any(is_read)
    };
    assert!((0..60).all(|_| !reads(&mut node)));
    node.set_members(&[]);
    assert!(reads(&mut node));
}

#[test]
fn snapshots_are_written_by_one_reader_and_by_another_after_it_dies() {
    let settings = SpreadSettings {
        snapshot_age: Duration::from_secs(20),
        snapshot_stagger: Duration::from_secs(2),
        ..SpreadSettings::default()
    };
    let mut fleet = Fleet::new(
        FleetShape::sized(30, 5),
        START_SPREAD,
        node_factory(settings),
    );
    fleet.publish("first=1");
    for round in 0..4 {
        fleet.run_for(Duration::from_secs(60));
        let appends = fleet.log.appends;
        assert!((2..=4).contains(&appends), "{appends} in round {round}");
        fleet.reset_counts();
        let reading = (0..30).filter(|index| {
            let node = fleet.slots[*index].actor.as_ref();
            node.is_some_and(Node::is_reading)
        });
        for index in reading.collect::<Vec<_>>().into_iter().take(3) {
            fleet.kill(index);
        }
    }
}

#[test]
fn a_full_outage_differs_from_a_region_that_is_cut_off() {
    let mut fleet = fleet(20, 9);
    let count_in_state = |fleet: &Fleet<Node>, state| {
        let nodes = fleet.slots.iter().filter_map(|slot| slot.actor.as_ref());
        nodes.filter(|node| node.freshness().state == state).count()
    };
    fleet.log.down = true;
    for _ in 0..60 {
        fleet.run_for(Duration::from_secs(1));
        assert_eq!(count_in_state(&fleet, FreshnessState::CutOff), 0);
    }
    assert_eq!(count_in_state(&fleet, FreshnessState::SourceDown), 20);
    fleet.regions_partitioned = true;
    fleet.run_for(Duration::from_secs(40));
    assert_eq!(count_in_state(&fleet, FreshnessState::CutOff), 20);
}

#[test]
fn a_record_of_a_newer_release_stops_the_fold_without_a_proof() {
    let mut fleet = fleet(12, 4);
    let version = fleet.publish("a=2");
    fleet.publish("rules 2: a=3");
    fleet.publish("a=4");
    fleet.run_for(Duration::from_secs(5));
    fleet.reset_counts();
    fleet.run_for(Duration::from_secs(20));
    // Six readers, with at most one read per second each.
    assert!(fleet.log.reads <= 6 * 20, "{} reads", fleet.log.reads);
    for slot in &fleet.slots {
        let node = slot.actor.as_ref().unwrap();
        assert_eq!(node.head().version, version);
        assert_eq!(node.freshness().state, FreshnessState::CutOff);
        let stuck = LogState::Stuck(node.head().next);
        assert!(!node.is_reading() || node.log_state() == stuck);
    }
}

#[test]
fn an_invalid_message_is_dropped_with_an_alarm() {
    let mut fleet = fleet(3, 1);
    let node = fleet.slots[0].actor.as_mut().unwrap();
    let head = node.head();
    let outdated = SpreadMessage::Update(HeadUpdate {
        base: head,
        target: ReplicaHead::default(),
        body: UpdateBody(Box::default()),
    });
    let outputs = node.on_peer_message(DaemonId(9), outdated);
    let refused = SpreadAlarm::MessageRefused {
        peer: DaemonId(9),
        kind: ErrorKind::FrameInvalid,
    };
    assert_eq!(outputs, [SpreadOutput::Alarm(refused)]);
    assert_eq!(node.head(), head);
}

#[test]
fn an_update_that_cannot_be_applied_is_pulled_again_only_after_a_delay() {
    let mut fleet = fleet(3, 1);
    let clock = fleet.clock.clone();
    let node = fleet.slots[0].actor.as_mut().unwrap();
    let head = node.head();
    let newer = ReplicaHead {
        next: head.next.next(),
        position: ConfigVersion::at(head.next),
        ..head
    };
    let peer = DaemonId(9);
    let broken = SpreadMessage::Update(HeadUpdate {
        base: head,
        target: newer,
        body: UpdateBody(b"broken".as_slice().into()),
    });
    let outputs = node.on_peer_message(peer, broken);
    let refused = SpreadAlarm::UpdateRefused(ErrorKind::SnapshotInvalid);
    assert_eq!(outputs, [SpreadOutput::Alarm(refused)]);
    let newer_head = SpreadMessage::NoUpdate { head: Some(newer) };
    assert!(node.on_peer_message(peer, newer_head.clone()).is_empty());
    clock.advance(Duration::from_secs(6));
    let pull = SpreadOutput::Send {
        to: peer,
        message: SpreadMessage::Pull { base: head },
    };
    assert!(node.on_peer_message(peer, newer_head).contains(&pull));
}
