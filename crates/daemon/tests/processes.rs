//! Fourteen `quetzald` processes of which half fail, miss a published change and restart.

mod fleet;

use std::time::Duration;

use fleet::target::TestTarget;
use fleet::{ALLOWANCES, Fleet, PLANS};

const DAEMON_COUNT: usize = 14;

#[test]
fn half_of_fourteen_daemons_fail_and_restart() {
    let mut fleet = Fleet::start(DAEMON_COUNT, &["cairo-a", "cairo-b", "cairo-c"], "");
    let catalog = TestTarget::start("catalog-1", "catalog", &fleet.daemons[0], Duration::ZERO);
    let first = fleet.publish(PLANS, ALLOWANCES);
    fleet.wait_for_all("target", |status| {
        status
            .members
            .iter()
            .any(|member| !member.targets.is_empty())
    });
    assert_eq!(
        fleet.outcome(13, "GET", "/catalog/a", None),
        "200 GET /catalog/a by catalog-1 0 bytes"
    );

    for index in (1..DAEMON_COUNT).step_by(2) {
        fleet.daemons[index].kill();
    }
    let changed = PLANS.replace(
        "\"delta\": { \"plan\": \"agency\" }",
        "\"sinai\": { \"plan\": \"agency\" }",
    );
    let second = fleet.publish(&changed, ALLOWANCES);
    assert!(second > first);
    fleet.wait_for_members(DAEMON_COUNT / 2);
    assert_eq!(
        fleet.outcome(12, "GET", "/catalog/b", None),
        "200 GET /catalog/b by catalog-1 0 bytes"
    );

    for index in (1..DAEMON_COUNT).step_by(2) {
        fleet.daemons[index].start();
    }
    fleet.wait_for_all("restarted daemons are current", |status| {
        status.version == second && status.fleet.in_force(second) as usize == DAEMON_COUNT
    });
    assert_eq!(
        fleet.outcome(13, "GET", "/catalog/c", None),
        "200 GET /catalog/c by catalog-1 0 bytes"
    );
    let counts = fleet.memory_log.counts();
    println!("log: {counts:?}");
    assert_eq!(counts.over_rate, 0);
    drop(catalog);
}
