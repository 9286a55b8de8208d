//! Real daemons whose log loses its tail or its start: they hold what they have,
//! and a rebase leads them on.

mod fleet;

use std::time::Instant;

use feed::LogPort;
use fleet::{ALLOWANCES, Fleet, PLANS, await_true};
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
    fleet.memory.append(&stream, &body).unwrap();
}

#[test]
fn a_rebase_is_in_force_on_every_daemon_and_nothing_reverts() {
    let mut fleet = Fleet::start(DAEMON_COUNT, &["cairo-a", "cairo-b", "cairo-c"], "");
    fleet.publish(PLANS, ALLOWANCES);
    let renamed = PLANS.replace("delta", "sinai");
    let held = fleet.publish(&renamed, ALLOWANCES);
    let stream = "config".parse().unwrap();
    fleet.memory.truncate(&stream, LogOffset(1));
    await_true("divergence", || {
        let readers = (0..DAEMON_COUNT).filter_map(|index| fleet.status(index));
        let mut logs = readers.filter_map(|status| status.log);
        logs.any(|log| log.contains("diverged"))
    });
    fleet.daemons[4].kill();
    assert!(fleet.status(0).is_some_and(|status| status.version == held));

    let lists = ConfigLists::parse(&renamed, ALLOWANCES).unwrap();
    let version = ConfigVersion::at(LogOffset(1000));
    let base = ConfigVersion::at(LogOffset(0));
    let started = Instant::now();
    append_rebase(&fleet, base, version, &lists);
    fleet.await_all("rebase", |status| {
        assert!(status.version >= held);
        status.version == version
    });
    println!("rebase in force everywhere in {:?}", started.elapsed());
    assert!((0..4).all(|index| *fleet.state(index).lists() == lists));

    fleet.daemons[4].start();
    let appended = fleet.append_change(PLANS, ALLOWANCES);
    assert!(appended > version);
    fleet.await_all("the change after it", |status| {
        status.version == appended && &*status.freshness == "current"
    });
}

#[test]
fn daemons_that_hold_nothing_begin_with_a_rebase_where_the_log_lost_its_start() {
    let mut fleet = Fleet::start(4, &["cairo-a", "cairo-b"], "");
    fleet.publish(PLANS, ALLOWANCES);
    fleet.publish(&PLANS.replace("delta", "sinai"), ALLOWANCES);
    for daemon in &mut fleet.daemons {
        daemon.kill();
    }
    for (stream, first) in [("config", 1), ("snapshots", u64::MAX)] {
        let stream = stream.parse().unwrap();
        fleet.memory.expire_before(&stream, LogOffset(first));
    }
    for daemon in &mut fleet.daemons {
        daemon.start();
    }
    await_true("the gap", || {
        let running = (0..4).filter_map(|index| fleet.status(index));
        let logs: Vec<Box<str>> = running.filter_map(|status| status.log).collect();
        !logs.is_empty() && logs.iter().all(|log| log.contains("expired unread"))
    });
    let lists = ConfigLists::parse(PLANS, ALLOWANCES).unwrap();
    let version = ConfigVersion::at(LogOffset(1001));
    let started = Instant::now();
    append_rebase(&fleet, ConfigVersion::at(LogOffset(1)), version, &lists);
    fleet.await_all("rebase", |status| {
        status.version == version && &*status.freshness == "current"
    });
    println!("rebase in force everywhere in {:?}", started.elapsed());
    let appended = fleet.append_change(&PLANS.replace("delta", "sinai"), ALLOWANCES);
    fleet.await_all("the change after it", |status| status.version == appended);
}
