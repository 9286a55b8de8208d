//! `quetzald` processes whose log loses its newest or its oldest records: they keep their
//! configuration and continue after a rebase, a record with complete lists that replace the
//! previous state.

mod fleet;

use std::time::Instant;

use feed::LogPort;
use fleet::{ALLOWANCES, Fleet, PLANS, wait_until};
use model::{ChangeId, ConfigVersion, LogOffset};
use plans::{ChangeMeta, ConfigLists, RebaseRecord, StreamRecord};
use uuid::Uuid;

const DAEMON_COUNT: usize = 6;

fn append_rebase(fleet: &Fleet, base: ConfigVersion, version: ConfigVersion, lists: &ConfigLists) {
    let meta = ChangeMeta {
        id: ChangeId(Uuid::now_v7()),
        author: "test".parse().unwrap(),
        note: "".into(),
    };
    let record = RebaseRecord::new(base, version, lists.clone(), meta);
    let body = StreamRecord::Rebase(record).encode().unwrap();
    let stream = "config".parse().unwrap();
    fleet.memory_log.append(&stream, &body).unwrap();
}

#[test]
fn a_rebase_reaches_every_daemon_and_no_version_reverts() {
    let mut fleet = Fleet::start(DAEMON_COUNT, &["cairo-a", "cairo-b", "cairo-c"], "");
    fleet.publish(PLANS, ALLOWANCES);
    let renamed = PLANS.replace("delta", "sinai");
    let held = fleet.publish(&renamed, ALLOWANCES);
    let stream = "config".parse().unwrap();
    fleet.memory_log.truncate(&stream, LogOffset(1));
    wait_until("divergence", || {
        let readers = (0..DAEMON_COUNT).filter_map(|index| fleet.status(index));
        let mut logs = readers.filter_map(|status| status.log);
        logs.any(|log| log.contains("diverged"))
    });
    fleet.daemons[4].kill();
    assert!(fleet.status(0).is_some_and(|status| status.version == held));

    let lists = ConfigLists::parse(&renamed, ALLOWANCES).unwrap();
    // A rebase is based on the last record of the log, and its version is higher than any that a
    // daemon holds.
    let version = ConfigVersion::at(LogOffset(1000));
    let base = ConfigVersion::at(LogOffset(0));
    let started = Instant::now();
    append_rebase(&fleet, base, version, &lists);
    fleet.wait_for_all("rebase", |status| {
        assert!(status.version >= held);
        status.version == version
    });
    println!("rebase in force everywhere in {:?}", started.elapsed());
    assert!((0..4).all(|index| *fleet.state(index).lists() == lists));

    fleet.daemons[4].start();
    let appended = fleet.append_change(PLANS, ALLOWANCES);
    assert!(appended > version);
    fleet.wait_for_all("the change after it", |status| {
        status.version == appended && &*status.freshness == "current"
    });
}

#[test]
fn daemons_without_state_start_from_a_rebase_if_the_log_lost_its_oldest_records() {
    let mut fleet = Fleet::start(4, &["cairo-a", "cairo-b"], "");
    fleet.publish(PLANS, ALLOWANCES);
    fleet.publish(&PLANS.replace("delta", "sinai"), ALLOWANCES);
    for daemon in &mut fleet.daemons {
        daemon.kill();
    }
    for (stream, first) in [("config", 1), ("snapshots", u64::MAX)] {
        let stream = stream.parse().unwrap();
        fleet.memory_log.expire_before(&stream, LogOffset(first));
    }
    for daemon in &mut fleet.daemons {
        daemon.start();
    }
    wait_until("the gap", || {
        let running = (0..4).filter_map(|index| fleet.status(index));
        let logs: Vec<Box<str>> = running.filter_map(|status| status.log).collect();
        !logs.is_empty() && logs.iter().all(|log| log.contains("expired unread"))
    });
    let lists = ConfigLists::parse(PLANS, ALLOWANCES).unwrap();
    // The base is the only record left, at offset 1; the version is higher than any earlier one.
    let version = ConfigVersion::at(LogOffset(1001));
    let started = Instant::now();
    append_rebase(&fleet, ConfigVersion::at(LogOffset(1)), version, &lists);
    fleet.wait_for_all("rebase", |status| {
        status.version == version && &*status.freshness == "current"
    });
    println!("rebase in force everywhere in {:?}", started.elapsed());
    let appended = fleet.append_change(&PLANS.replace("delta", "sinai"), ALLOWANCES);
    fleet.wait_for_all("the change after it", |status| status.version == appended);
}
