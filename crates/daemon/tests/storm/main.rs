//! Daemon processes, targets and the log fail, one at a time and together, under load. The
//! guarantees to callers are checked on every answer and at the end.
//!
//! The order of the failures is fixed, but not which calls they affect. So only guarantees that
//! hold for every interleaving are checked; the tally of outcomes is printed.

mod caller;
#[path = "../fleet/mod.rs"]
mod fleet;
mod tally;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use caller::{TestCaller, resend_open_calls};
use feed::LogFaults;
use fleet::target::TestTarget;
use fleet::{ALLOWANCES, Fleet, PLANS};
use tally::CallTally;

const DAEMON_COUNT: usize = 6;
const CALLER_COUNT: u64 = 8;
/// Longer than a lease on a key range plus the tolerated skew of callers' clocks, so that other
/// homes take over the key ranges of a paused one. A home is a daemon that records keyed calls.
const PAUSE_DURATION: Duration = Duration::from_secs(12);
/// Longer than a lease, which homes cannot renew during an outage of the log, so that they stop
/// accepting new keys.
const OUTAGE_DURATION: Duration = Duration::from_secs(12);
/// Time between two failures, during which callers continue.
const FAILURE_INTERVAL: Duration = Duration::from_secs(2);

#[test]
fn every_guarantee_holds_while_daemons_targets_and_the_log_fail() {
    let mut fleet = Fleet::start(DAEMON_COUNT, &["cairo-a", "cairo-b", "cairo-c"], "");
    let mut targets = start_targets(&fleet);
    fleet.publish(PLANS, ALLOWANCES);
    let proxies: Vec<_> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.caller_address)
        .collect();
    let stop = AtomicBool::new(false);
    let mut tally = CallTally::default();
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLER_COUNT)
            .map(|seed| {
                let mut caller = TestCaller::new(seed, &proxies);
                let stop = &stop;
                scope.spawn(move || {
                    while !stop.load(Ordering::SeqCst) {
                        caller.call_once();
                    }
                    caller.into_tally()
                })
            })
            .collect();
        let stop_guard = StopOnDrop(&stop);
        inject_failures(&mut fleet, &mut targets);
        drop(stop_guard);
        for caller in callers {
            tally.merge(caller.join().unwrap());
        }
    });
    fleet.wait_for_members(DAEMON_COUNT);
    fleet.publish(&renamed_plans(), ALLOWANCES);
    resend_open_calls(&mut tally, &proxies);
    println!("{tally}");
    tally.check(&targets);
}

/// Stops the callers, also when the test panics.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Starts two targets of `catalog` and three of `deals`, each beside a different daemon.
fn start_targets(fleet: &Fleet) -> Vec<TestTarget> {
    let target = |name: &str, service: &str, daemon: usize| {
        let delay = Duration::from_millis(3);
        TestTarget::start(name, service, &fleet.daemons[daemon], delay)
    };
    let targets = vec![
        target("catalog-1", "catalog", 0),
        target("catalog-2", "catalog", 4),
        target("deals-1", "deals", 1),
        target("deals-2", "deals", 2),
        target("deals-3", "deals", 5),
    ];
    fleet.wait_for_all("targets", |status| {
        let known = status.members.iter().map(|member| member.targets.len());
        known.sum::<usize>() == targets.len()
    });
    targets
}

fn renamed_plans() -> String {
    PLANS.replace("delta", "sinai")
}

fn inject_failures(fleet: &mut Fleet, targets: &mut [TestTarget]) {
    thread::sleep(FAILURE_INTERVAL);

    // One daemon fails while another is paused past its lease.
    fleet.daemons[5].kill();
    fleet.daemons[3].pause();
    thread::sleep(PAUSE_DURATION);
    fleet.append_change(&renamed_plans(), ALLOWANCES);
    fleet.daemons[5].start();
    fleet.daemons[3].resume();
    thread::sleep(FAILURE_INTERVAL);

    // The log is unavailable for longer than a lease; meanwhile a daemon fails.
    let outage = LogFaults {
        outage: true,
        ..LogFaults::default()
    };
    fleet.memory_log.set_faults(outage);
    thread::sleep(OUTAGE_DURATION / 2);
    fleet.daemons[1].kill();
    thread::sleep(OUTAGE_DURATION / 2);
    fleet.daemons[1].start();
    let lost_answers = LogFaults {
        lost_answers: 3,
        ..LogFaults::default()
    };
    fleet.memory_log.set_faults(lost_answers);
    fleet.append_change(PLANS, ALLOWANCES);
    thread::sleep(FAILURE_INTERVAL);

    // Half of the daemons, one in each failure domain, fail at the same time, and with them half
    // of the homes of keys; a target crashes.
    for index in [0, 2, 4] {
        fleet.daemons[index].kill();
    }
    targets[2].crash();
    thread::sleep(FAILURE_INTERVAL);
    for index in [0, 2, 4] {
        fleet.daemons[index].start();
    }
    thread::sleep(FAILURE_INTERVAL);

    // Planned stops, each after the previous daemon has restarted.
    for index in [1, 3] {
        fleet.daemons[index].terminate();
        assert!(fleet.daemons[index].wait().success());
        fleet.daemons[index].start();
        fleet.wait_for_members(DAEMON_COUNT);
    }
    thread::sleep(FAILURE_INTERVAL);
}
