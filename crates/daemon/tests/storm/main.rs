//! Real daemons, targets and a log that fail one after another and together
//! under load, with the promises checked on every answer and at the end.
//!
//! The order of the failures is fixed; what they meet is not. So only
//! promises are judged that hold in every order, and the tally of what
//! callers saw is printed.

mod caller;
#[path = "../fleet/mod.rs"]
mod fleet;
mod tally;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use caller::{StormCaller, settle_open_keys};
use feed::LogFaults;
use fleet::target::TestTarget;
use fleet::{ALLOWANCES, Fleet, PLANS};
use tally::CallTally;

const DAEMON_COUNT: usize = 6;
const CALLER_COUNT: u64 = 8;
/// Longer than a lease and its skew, so that the ranges of a paused home move on.
const PAUSE_TIME: Duration = Duration::from_secs(12);
/// Long enough that homes stop to serve fresh keys.
const OUTAGE_TIME: Duration = Duration::from_secs(12);
/// Time in which callers meet one failure before the next.
const STEP_TIME: Duration = Duration::from_secs(2);

#[test]
fn every_promise_holds_while_daemons_targets_and_the_log_fail() {
    let mut fleet = Fleet::start(DAEMON_COUNT, &["cairo-a", "cairo-b", "cairo-c"], "");
    let mut targets = start_targets(&fleet);
    fleet.publish(PLANS, ALLOWANCES);
    let proxies: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.callers).collect();
    let stop = AtomicBool::new(false);
    let mut tally = CallTally::default();
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLER_COUNT)
            .map(|seed| {
                let mut caller = StormCaller::new(seed, &proxies);
                let stop = &stop;
                scope.spawn(move || {
                    while !stop.load(Ordering::SeqCst) {
                        caller.call_once();
                    }
                    caller.into_tally()
                })
            })
            .collect();
        let stopping = StopGuard(&stop);
        fail_in_turn(&mut fleet, &mut targets);
        drop(stopping);
        for caller in callers {
            tally.merge(caller.join().unwrap());
        }
    });
    fleet.await_members(DAEMON_COUNT);
    fleet.publish(&renamed_plans(), ALLOWANCES);
    settle_open_keys(&mut tally, &proxies);
    println!("{tally}");
    tally.check(&targets);
}

/// Ends the callers, also if a failure of the test unwinds.
struct StopGuard<'a>(&'a AtomicBool);

impl Drop for StopGuard<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Two targets of each service that callers use, on different daemons.
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
    fleet.await_all("targets", |status| {
        let known = status.members.iter().map(|member| member.targets.len());
        known.sum::<usize>() == targets.len()
    });
    targets
}

fn renamed_plans() -> String {
    PLANS.replace("delta", "sinai")
}

fn fail_in_turn(fleet: &mut Fleet, targets: &mut [TestTarget]) {
    thread::sleep(STEP_TIME);

    // One daemon fails while another is paused past its lease.
    fleet.daemons[5].kill();
    fleet.daemons[3].pause();
    thread::sleep(PAUSE_TIME);
    fleet.append_change(&renamed_plans(), ALLOWANCES);
    fleet.daemons[5].start();
    fleet.daemons[3].resume();
    thread::sleep(STEP_TIME);

    // The log is gone for longer than a lease; a daemon fails meanwhile.
    let outage = LogFaults {
        outage: true,
        ..LogFaults::default()
    };
    fleet.memory.set_faults(outage);
    thread::sleep(OUTAGE_TIME / 2);
    fleet.daemons[1].kill();
    thread::sleep(OUTAGE_TIME / 2);
    fleet.daemons[1].start();
    let lost_answers = LogFaults {
        lost_answers: 3,
        ..LogFaults::default()
    };
    fleet.memory.set_faults(lost_answers);
    fleet.append_change(PLANS, ALLOWANCES);
    thread::sleep(STEP_TIME);

    // Half of the daemons fail at once, with them most homes; a target crashes.
    for index in [0, 2, 4] {
        fleet.daemons[index].kill();
    }
    targets[2].crash();
    thread::sleep(STEP_TIME);
    for index in [0, 2, 4] {
        fleet.daemons[index].start();
    }
    thread::sleep(STEP_TIME);

    // Planned stops, each after the one before has returned.
    for index in [1, 3] {
        fleet.daemons[index].terminate();
        assert!(fleet.daemons[index].wait().success());
        fleet.daemons[index].start();
        fleet.await_members(DAEMON_COUNT);
    }
    thread::sleep(STEP_TIME);
}
