//! Properties that hold for any sequence of network, log and daemon faults.

mod harness;

use std::collections::BTreeMap;
use std::time::Duration;

use feed::port::LogRecord;
use harness::actor::{Node, node_factory};
use harness::{Fleet, FleetShape};
use model::LogOffset;
use quetzal_spread::{FakeReplica, ReplicaPort, SpreadSettings};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const DAEMONS: usize = 9;

/// Number of random histories per run, which take about 10 s in a debug build.
const HISTORIES: u64 = 100;

/// Step of a random history.
#[derive(Clone, Copy, Debug)]
enum Step {
    Publish(u8),
    PublishRefused,
    Kill(usize),
    Restart(usize),
    RestartAll,
    LogDown(bool),
    LoseAnswers(bool),
    ExpireConfig(u8),
    PartitionRegions(bool),
    Isolate(usize, bool),
    Wait(u16),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let index = usize::arbitrary(g) % DAEMONS;
        let flag = bool::arbitrary(g);
        match u8::arbitrary(g) % 14 {
            0..=3 => Self::Publish(u8::arbitrary(g) % 8),
            4 => Self::PublishRefused,
            5 => Self::Kill(index),
            6 => Self::Restart(index),
            7 => Self::RestartAll,
            8 => Self::LogDown(flag),
            9 => Self::LoseAnswers(flag),
            10 => Self::ExpireConfig(u8::arbitrary(g) % 4),
            11 => Self::PartitionRegions(flag),
            12 => Self::Isolate(index, flag),
            _ => Self::Wait(u16::arbitrary(g) % 4000),
        }
    }
}

/// Random history with its seed.
#[derive(Clone, Debug)]
struct History {
    seed: u64,
    steps: Vec<Step>,
}

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            seed: u64::arbitrary(g),
            steps: Vec::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let seed = self.seed;
        Box::new(self.steps.shrink().map(move |steps| Self { seed, steps }))
    }
}

/// Reference replica, with the state hash that every daemon must have at each offset.
#[derive(Default)]
struct Reference {
    replica: FakeReplica,
    hashes: BTreeMap<LogOffset, u64>,
}

impl Reference {
    fn follow(&mut self, records: &[LogRecord]) {
        self.hashes
            .insert(self.replica.next_offset(), self.replica.hash());
        for record in records {
            if record.offset == self.replica.next_offset() {
                self.replica.fold(std::slice::from_ref(record));
                self.hashes
                    .insert(self.replica.next_offset(), self.replica.hash());
            }
        }
    }

    /// Checks that the state of every daemon is an exact prefix of the log and that no
    /// daemon knows of a version beyond it.
    fn check(&self, fleet: &Fleet<Node>) {
        for slot in &fleet.slots {
            let Some(node) = &slot.actor else { continue };
            let head = node.head();
            assert_eq!(self.hashes.get(&head.next), Some(&head.state_hash));
            if let Some((summary, _)) = node.fleet_summary() {
                let known = summary.sum.versions.iter().map(|count| count.version).max();
                assert!(known.unwrap_or_default() <= self.replica.version());
            }
        }
    }
}

fn shape(seed: u64) -> FleetShape {
    FleetShape {
        domains: 3,
        first_region_domains: 2,
        loss: 0.1,
        duplication: 0.1,
        jitter: Duration::from_millis(300),
        detection_delay: Duration::from_secs(2),
        ..FleetShape::sized(DAEMONS, seed)
    }
}

fn settings() -> SpreadSettings {
    SpreadSettings {
        snapshot_records: 3,
        snapshot_age: Duration::from_secs(20),
        snapshot_stagger: Duration::from_secs(1),
        ..SpreadSettings::default()
    }
}

fn execute(fleet: &mut Fleet<Node>, step: Step) {
    match step {
        Step::Publish(key) if !fleet.log.down => {
            let text = format!("key-{key}={}", fleet.now().as_millis());
            fleet.publish(&text);
        }
        Step::PublishRefused if !fleet.log.down => {
            fleet.publish("no change");
        }
        Step::Publish(_) | Step::PublishRefused => {}
        Step::Kill(index) => fleet.kill(index),
        Step::Restart(index) => restart(fleet, index),
        Step::RestartAll => (0..DAEMONS).for_each(|index| restart(fleet, index)),
        Step::LogDown(down) => fleet.log.down = down,
        Step::LoseAnswers(lost) => fleet.log.lose_answers = lost,
        Step::ExpireConfig(keep) => expire_covered(fleet, keep),
        Step::PartitionRegions(cut) => fleet.regions_partitioned = cut,
        Step::Isolate(index, cut) => fleet.slots[index].isolated = cut,
        Step::Wait(millis) => fleet.run_for(Duration::from_millis(u64::from(millis))),
    }
}

fn restart(fleet: &mut Fleet<Node>, index: usize) {
    fleet.start(index, Duration::from_millis(500));
    fleet.announce_members();
}

/// Expires the config records that the newest snapshot in the log covers, except the
/// last `keep` of them.
fn expire_covered(fleet: &mut Fleet<Node>, keep: u8) {
    let covered = newest_snapshot(fleet).0;
    let stream = fleet.log.stream("config");
    let covered = (covered.saturating_sub(stream.first)) as usize;
    let keep = stream.records.len().saturating_sub(covered) + usize::from(keep);
    stream.expire(keep);
}

fn newest_snapshot(fleet: &mut Fleet<Node>) -> LogOffset {
    let records = &fleet.log.stream("snapshots").records;
    records.last().map_or(LogOffset(0), |record| {
        let snapshot = quetzal_spread::SnapshotRecord::decode(&record.body);
        snapshot.expect("valid snapshot").head.next
    })
}

fn converges_after(history: History) -> bool {
    let factory = node_factory(settings());
    let mut fleet = Fleet::new(shape(history.seed), Duration::from_secs(1), factory);
    let mut reference = Reference::default();
    for step in history.steps {
        execute(&mut fleet, step);
        reference.follow(&fleet.log.stream("config").records);
        fleet.run_for(Duration::from_millis(250));
        reference.check(&fleet);
    }
    repair(&mut fleet);
    let version = fleet.publish("last=1");
    reference.follow(&fleet.log.stream("config").records);
    fleet.converge(version, Duration::from_secs(60));
    reference.check(&fleet);
    fleet.lagging(version) == 0
}

fn repair(fleet: &mut Fleet<Node>) {
    fleet.log.down = false;
    fleet.log.lose_answers = false;
    fleet.regions_partitioned = false;
    for index in 0..DAEMONS {
        fleet.slots[index].isolated = false;
        if fleet.slots[index].actor.is_none() {
            restart(fleet, index);
        }
    }
    fleet.announce_members();
}

/// Step without a crash: a change, another list of members, a partition or a wait.
#[derive(Clone, Copy, Debug)]
enum ViewStep {
    Publish,
    HideMember(usize, usize),
    Isolate(usize, bool),
    Wait(u16),
}

impl Arbitrary for ViewStep {
    fn arbitrary(g: &mut Gen) -> Self {
        let index = usize::arbitrary(g) % DAEMONS;
        match u8::arbitrary(g) % 5 {
            0 => Self::Publish,
            1 | 2 => Self::HideMember(index, usize::arbitrary(g) % (DAEMONS + 2)),
            3 => Self::Isolate(index, bool::arbitrary(g)),
            _ => Self::Wait(u16::arbitrary(g) % 2000),
        }
    }
}

/// Returns whether no daemon reports a version as in force on more daemons than it is.
fn counts_are_never_too_high(seed: u64, steps: Vec<ViewStep>) -> bool {
    // One domain with a fan-out of 1: each tree is a chain of all daemons.
    let factory = node_factory(SpreadSettings {
        fan_out: 1,
        ..settings()
    });
    let shape = FleetShape {
        domains: 1,
        first_region_domains: 1,
        jitter: Duration::from_millis(5),
        ..shape(seed)
    };
    let mut fleet = Fleet::new(shape, Duration::from_secs(1), factory);
    fleet.publish("first=1");
    for step in steps {
        match step {
            ViewStep::Publish => {
                fleet.publish(&format!("key={}", fleet.now().as_millis()));
            }
            ViewStep::HideMember(index, hidden) => hide_member(&mut fleet, index, hidden),
            ViewStep::Isolate(index, cut) => fleet.slots[index].isolated = cut,
            ViewStep::Wait(millis) => fleet.run_for(Duration::from_millis(u64::from(millis))),
        }
        fleet.run_for(Duration::from_millis(150));
        if !counts_hold(&fleet) {
            return false;
        }
    }
    true
}

/// Hides one of the members from one daemon, or none if `hidden` is out of range.
fn hide_member(fleet: &mut Fleet<Node>, index: usize, hidden: usize) {
    let members = (0..DAEMONS)
        .filter(|other| *other != hidden)
        .map(|other| fleet.slots[other].member.clone())
        .collect::<Vec<_>>();
    if let Some(node) = fleet.slots[index].actor.as_mut() {
        node.set_members(&members);
    }
}

fn counts_hold(fleet: &Fleet<Node>) -> bool {
    let nodes = || fleet.slots.iter().filter_map(|slot| slot.actor.as_ref());
    let actual = |version| {
        let slots = fleet.slots.iter();
        slots.filter(|slot| slot.applied >= version).count()
    };
    nodes()
        .filter_map(|node| node.fleet_summary())
        .all(|(summary, _)| {
            let mut counts = summary.sum.versions.iter();
            counts
                .all(|count| summary.sum.in_force(count.version) as usize <= actual(count.version))
        })
}

#[test]
fn a_fleet_summary_never_counts_too_many_daemons() {
    QuickCheck::new()
        .tests(HISTORIES)
        .quickcheck(counts_are_never_too_high as fn(u64, Vec<ViewStep>) -> bool);
}

#[test]
fn states_are_prefixes_of_the_log_and_converge_after_repair() {
    QuickCheck::new()
        .tests(HISTORIES)
        .quickcheck(converges_after as fn(History) -> bool);
}
