//! A fleet converges, and its parts fail.

mod harness;

use std::time::Duration;

use harness::actor::{Node, nodes};
use harness::{Fleet, FleetShape};
use quetzal_spread::{FreshnessCase, SpreadSettings};

const START: Duration = Duration::from_secs(1);

fn fleet(daemons: usize, seed: u64) -> Fleet<Node> {
    let mut fleet = Fleet::new(
        FleetShape::sized(daemons, seed),
        START,
        nodes(SpreadSettings::default()),
    );
    fleet.publish("first=1");
    fleet.run_for(Duration::from_secs(10));
    fleet
}

#[test]
fn a_change_is_in_force_everywhere_within_the_target() {
    for seed in 0..5 {
        let mut fleet = fleet(14, seed);
        let version = fleet.publish("a=2");
        let times = fleet.converge(version, Duration::from_secs(5));
        assert_eq!(times.len(), 14, "seed {seed}");
    }
}

#[test]
fn every_daemon_can_tell_the_fleet() {
    let mut fleet = fleet(60, 7);
    let version = fleet.publish("a=2");
    fleet.run_for(Duration::from_secs(5));
    for slot in &fleet.slots {
        let node = slot.actor.as_ref().unwrap();
        let (summary, _) = node.fleet_summary().unwrap();
        assert!(summary.is_everywhere(version), "{summary:?}");
        assert_eq!(summary.members, 60);
        assert_eq!(node.freshness().case, FreshnessCase::Current);
    }
}
