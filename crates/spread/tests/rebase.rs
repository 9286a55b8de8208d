//! Recovery by a rebase after the log loses records or is started anew.

mod harness;

use std::collections::BTreeMap;
use std::time::Duration;

use harness::actor::{Node, node_factory};
use harness::{Fleet, FleetShape};
use model::{ConfigVersion, LogOffset};
use quetzal_spread::{FreshnessState, LogState, SpreadSettings};
use quickcheck::QuickCheck;

const DAEMONS: usize = 12;

/// Number of random histories per run.
const HISTORIES: u64 = 60;

/// Maximum time from the append of a rebase until it is in force on all daemons,
/// including one search and the updates that follow.
const REBASE_LIMIT: Duration = Duration::from_secs(3);

fn fleet(seed: u64) -> Fleet<Node> {
    let settings = SpreadSettings::default();
    let shape = FleetShape::sized(DAEMONS, seed);
    let mut fleet = Fleet::new(shape, Duration::from_secs(1), node_factory(settings));
    for change in 0..5 {
        fleet.publish(&format!("key-{change}=old"));
    }
    fleet.run_for(Duration::from_secs(8));
    assert_eq!(fleet.lagging(version(5)), 0);
    fleet
}

fn version(number: u64) -> ConfigVersion {
    ConfigVersion::at(LogOffset(number - 1))
}

/// Appends a rebase to the position `number` and returns its version.
fn rebase(fleet: &mut Fleet<Node>, number: u64) -> ConfigVersion {
    fleet.publish(&format!("rebase {number} key-0=rebased"));
    version(number)
}

fn live(fleet: &Fleet<Node>) -> impl Iterator<Item = &Node> {
    fleet.slots.iter().filter_map(|slot| slot.actor.as_ref())
}

/// Checks that all daemons have the same, current state at `position`.
fn assert_converged(fleet: &Fleet<Node>, position: ConfigVersion) {
    let head = live(fleet).next().expect("a live daemon").head();
    assert_eq!(head.position, position);
    for node in live(fleet) {
        assert_eq!(node.head(), head);
        assert_eq!(node.freshness().state, FreshnessState::Current);
    }
}

#[test]
fn a_log_that_lost_its_tail_continues_after_a_rebase() {
    let mut fleet = fleet(21);
    fleet.log.stream("config").truncate(3);
    fleet.publish("key-9=foreign");
    // The rebase is appended between two checks of the last record, which are 5 s apart.
    fleet.run_for(Duration::from_secs(42));
    assert!(live(&fleet).all(|node| node.head().version == version(5)));
    let rebased = rebase(&mut fleet, 100);
    fleet.converge(rebased, REBASE_LIMIT);
    assert_eq!(fleet.lagging(rebased), 0);
    fleet.publish("key-1=new");
    fleet.converge(version(101), Duration::from_secs(1));
    assert_eq!(fleet.lagging(version(101)), 0);
    // Meanwhile proofs of freshness descend the trees.
    fleet.run_for(Duration::from_secs(5));
    assert_converged(&fleet, version(101));
    let node = live(&fleet).next().expect("a live daemon");
    let values = ["key-0", "key-1", "key-9"].map(|key| node.replica().value(key));
    assert_eq!(values, [Some("rebased"), Some("new"), None]);
}

#[test]
fn a_rebase_on_an_empty_log_reaches_daemons_that_were_down() {
    let mut fleet = fleet(22);
    fleet.log.streams.clear();
    fleet.run_for(Duration::from_secs(45));
    assert!(live(&fleet).all(|node| node.head().version == version(5)));
    for index in [0, 4, 5, 9] {
        fleet.kill(index);
    }
    let rebased = rebase(&mut fleet, 100);
    // The remaining readers may first have to detect that some are gone.
    fleet.converge(rebased, Duration::from_secs(10));
    assert_eq!(fleet.lagging(rebased), 0);
    for index in [0, 4, 5, 9] {
        fleet.start(index, Duration::from_millis(500));
    }
    fleet.announce_members();
    fleet.run_for(Duration::from_secs(20));
    assert_converged(&fleet, rebased);
    let snapshots = &fleet.log.stream("snapshots").records;
    assert!(!snapshots.is_empty());
}

#[test]
fn a_rebase_appended_twice_is_applied_once() {
    let mut fleet = fleet(23);
    fleet.log.stream("config").truncate(4);
    fleet.run_for(Duration::from_secs(10));
    let rebased = rebase(&mut fleet, 100);
    rebase(&mut fleet, 100);
    fleet.run_for(Duration::from_secs(10));
    assert!(live(&fleet).all(|node| node.head().version == rebased));
    assert_converged(&fleet, version(101));
}

#[test]
fn a_reader_paused_since_the_old_log_follows_the_rebase() {
    for index in 0..DAEMONS {
        let mut fleet = fleet(24);
        fleet.pause(index);
        fleet.log.streams.clear();
        fleet.run_for(Duration::from_secs(12));
        let rebased = rebase(&mut fleet, 100);
        for change in 0..6 {
            fleet.publish(&format!("key-{change}=new"));
        }
        fleet.run_for(Duration::from_secs(10));
        fleet.resume(index);
        fleet.run_for(Duration::from_secs(10));
        assert!(fleet.lagging(rebased) == 0, "daemon {index}");
        assert_converged(&fleet, version(106));
    }
}

#[test]
fn a_diverged_reader_gets_a_rebase_from_peers_if_the_log_is_lost_again() {
    let mut fleet = fleet(28);
    fleet.log.streams.clear();
    fleet.run_for(Duration::from_secs(10));
    let readers = (0..DAEMONS).filter(|index| {
        let node = fleet.slots[*index].actor.as_ref();
        node.is_some_and(Node::is_reading)
    });
    let paused = readers.collect::<Vec<_>>().into_iter().step_by(2);
    let paused = paused.collect::<Vec<_>>();
    for index in &paused {
        fleet.pause(*index);
    }
    let rebased = rebase(&mut fleet, 100);
    fleet.run_for(Duration::from_secs(4));
    assert_eq!(fleet.lagging(rebased), paused.len());
    fleet.log.streams.clear();
    for index in &paused {
        fleet.resume(*index);
    }
    fleet.converge(rebased, REBASE_LIMIT);
    assert_eq!(fleet.lagging(rebased), 0);
}

#[test]
fn a_rebase_to_a_version_already_reached_is_ignored() {
    let mut fleet = fleet(25);
    fleet.log.streams.clear();
    rebase(&mut fleet, 4);
    fleet.publish("key-0=foreign");
    fleet.run_for(Duration::from_secs(45));
    for node in live(&fleet) {
        assert_eq!(node.head().version, version(5));
        assert!(!node.is_reading() || matches!(node.log_state(), LogState::Diverged(_)));
    }
}

#[test]
fn a_rebase_search_reads_batches_at_a_limited_rate() {
    let mut fleet = fleet(26);
    fleet.log.streams.clear();
    for change in 0..1000 {
        fleet.publish(&format!("other-{change}=foreign"));
    }
    fleet.run_for(Duration::from_secs(40));
    let readers = live(&fleet).filter(|node| node.is_reading()).count() as u64;
    fleet.reset_counts();
    fleet.run_for(Duration::from_secs(20));
    // Per second and reader: at most two reads of the search, and half a read for the
    // checks of the last record.
    let max_reads = readers * 20 * 5 / 2;
    assert!(fleet.log.reads <= max_reads, "{} reads", fleet.log.reads);
    let rebased = rebase(&mut fleet, 3000);
    fleet.converge(rebased, REBASE_LIMIT);
    assert_eq!(fleet.lagging(rebased), 0);
}

/// Appends records during an outage and expires all records but the last `kept`, along
/// with all snapshots.
fn expire_unread(fleet: &mut Fleet<Node>, published: u64, kept: usize) {
    fleet.log.down = true;
    fleet.run_for(Duration::from_secs(5));
    for change in 0..published {
        fleet.publish(&format!("key-{change}=unread"));
    }
    fleet.log.stream("config").expire(kept);
    fleet.log.stream("snapshots").expire(0);
    fleet.log.down = false;
}

#[test]
fn a_rebase_replaces_records_that_expired_unread() {
    let mut fleet = fleet(29);
    expire_unread(&mut fleet, 8, 3);
    fleet.run_for(Duration::from_secs(20));
    for node in live(&fleet) {
        assert_eq!(node.head().version, version(5));
        assert!(!node.is_reading() || node.log_state() == LogState::Gap(LogOffset(10)));
    }
    let rebased = rebase(&mut fleet, 100);
    fleet.converge(rebased, REBASE_LIMIT);
    assert_eq!(fleet.lagging(rebased), 0);
    fleet.publish("key-1=new");
    fleet.converge(version(101), Duration::from_secs(1));
    fleet.run_for(Duration::from_secs(5));
    assert_converged(&fleet, version(101));
}

#[test]
fn a_fleet_without_state_starts_at_a_rebase_if_records_expired() {
    let mut fleet = fleet(30);
    for index in 0..DAEMONS {
        fleet.kill(index);
    }
    fleet.log.stream("config").expire(2);
    fleet.log.stream("snapshots").expire(0);
    for index in 0..DAEMONS {
        fleet.start(index, Duration::from_millis(500));
    }
    fleet.announce_members();
    fleet.run_for(Duration::from_secs(20));
    assert!(live(&fleet).all(|node| !node.is_serving()));
    let rebased = rebase(&mut fleet, 100);
    fleet.converge(rebased, Duration::from_secs(10));
    fleet.run_for(Duration::from_secs(5));
    assert_converged(&fleet, rebased);
}

/// One daemon reads all records and is paused. All but the last record then expire, and
/// the other daemons restart without a state, so that only they find a gap.
#[test]
fn a_daemon_that_read_past_the_gap_follows_the_rebase_too() {
    for index in 0..DAEMONS {
        let mut fleet = fleet(31);
        fleet.publish("key-7=read");
        fleet.converge(version(6), Duration::from_secs(5));
        fleet.pause(index);
        for other in (0..DAEMONS).filter(|other| *other != index) {
            fleet.kill(other);
        }
        fleet.log.stream("config").expire(1);
        fleet.log.stream("snapshots").expire(0);
        for other in (0..DAEMONS).filter(|other| *other != index) {
            fleet.start(other, Duration::from_millis(500));
        }
        fleet.announce_members();
        fleet.run_for(Duration::from_secs(10));
        let rebased = rebase(&mut fleet, 100);
        fleet.run_for(Duration::from_secs(10));
        fleet.resume(index);
        fleet.run_for(Duration::from_secs(20));
        assert!(fleet.lagging(rebased) == 0, "daemon {index}");
        assert_converged(&fleet, rebased);
    }
}

#[test]
fn a_snapshot_past_the_end_of_the_log_reveals_its_loss_to_daemons_without_state() {
    let mut fleet = fleet(32);
    for change in 5..75 {
        fleet.publish(&format!("key-{change}=old"));
    }
    fleet.run_for(Duration::from_secs(20));
    let written = &fleet.log.stream("snapshots").records;
    assert!(written.len() > 1);
    for index in 0..DAEMONS {
        fleet.kill(index);
    }
    fleet.log.stream("config").truncate(74);
    fleet.publish("key-0=foreign");
    for index in 0..DAEMONS {
        fleet.start(index, Duration::from_millis(500));
    }
    fleet.announce_members();
    fleet.run_for(Duration::from_secs(30));
    for node in live(&fleet) {
        assert!(node.is_serving() && node.head().version > version(60));
        assert_eq!(node.replica().value("key-0"), Some("old"));
        assert!(!node.is_reading() || matches!(node.log_state(), LogState::Diverged(_)));
    }
    let rebased = rebase(&mut fleet, 1000);
    fleet.converge(rebased, REBASE_LIMIT);
    assert_eq!(fleet.lagging(rebased), 0);
}

/// State hash seen at each position.
#[derive(Default)]
struct SeenStates(BTreeMap<ConfigVersion, u64>);

impl SeenStates {
    /// Runs the fleet and returns `false` if two daemons had different states at the same position.
    fn watch(&mut self, fleet: &mut Fleet<Node>, millis: u16) -> bool {
        (0..millis / 50).all(|_| {
            fleet.run_for(Duration::from_millis(50));
            live(fleet).all(|node| {
                let head = node.head();
                *self.0.entry(head.position).or_insert(head.state_hash) == head.state_hash
            })
        })
    }
}

/// Returns whether, after any sequence of losses, no daemon reverted and all converged
/// to the rebase.
fn converges_after_losses(seed: u64, losses: Vec<(u8, u8, u16)>) -> bool {
    let mut fleet = fleet(seed);
    let mut number = 100;
    let mut states = SeenStates::default();
    let mut one_state = true;
    for (lost, index, wait) in losses.into_iter().take(4) {
        let index = usize::from(index) % DAEMONS;
        fleet.log.stream("config").truncate(usize::from(lost % 8));
        fleet.pause(index);
        one_state &= states.watch(&mut fleet, wait % 8000);
        number += 100;
        rebase(&mut fleet, number);
        fleet.publish(&format!("key-{lost}={wait}"));
        fleet.resume(index);
        one_state &= states.watch(&mut fleet, wait % 3000);
    }
    let rebased = rebase(&mut fleet, number + 100);
    one_state &= states.watch(&mut fleet, 60_000);
    let head = fleet.slots[0].actor.as_ref().map(Node::head);
    let same = live(&fleet).all(|node| Some(node.head()) == head);
    fleet.lagging(rebased) == 0 && same && one_state
}

#[test]
fn no_daemon_reverts_after_any_sequence_of_losses() {
    QuickCheck::new()
        .tests(HISTORIES)
        .quickcheck(converges_after_losses as fn(u64, Vec<(u8, u8, u16)>) -> bool);
}

/// Returns the times from the append of a rebase until it is in force. With
/// `large_update_bytes` at 0, a daemon never pushes an update, so each one is pulled and
/// needs a transfer token.
fn rebase_times(daemons: usize) -> Vec<Duration> {
    let settings = SpreadSettings {
        large_update_bytes: 0,
        ..SpreadSettings::default()
    };
    let shape = FleetShape::sized(daemons, 27);
    let mut fleet = Fleet::new(shape, Duration::from_secs(1), node_factory(settings));
    fleet.publish("key-0=old");
    fleet.run_for(Duration::from_secs(8));
    fleet.log.streams.clear();
    fleet.run_for(Duration::from_secs(20));
    let rebased = rebase(&mut fleet, 100);
    let times = fleet.converge(rebased, Duration::from_secs(20));
    assert_eq!(times.len(), daemons);
    times
}

#[test]
fn a_large_rebased_state_reaches_all_daemons_in_time() {
    for daemons in [14, 100] {
        let last = rebase_times(daemons)[daemons - 1];
        println!("{daemons} daemons: {last:?}");
        assert!(last <= REBASE_LIMIT);
    }
}
