//! Pattern: most daemons of a failure domain stop at once, and callers keep sending to them.

mod support;

use std::time::{Duration, Instant};

use quetzal_mesh::{StopConditions, StopPlan};
use support::ms;

/// Time from SIGTERM until the process is killed; connections are cut 450 ms before.
const GRACE: Duration = Duration::from_millis(5950);

/// When connections close at the latest: 900 ms before.
const LATEST: Duration = Duration::from_millis(5050);

/// No caller any more, and a target that runs on.
const QUIET: StopConditions = StopConditions {
    gate_idle: true,
    since_last_request: Duration::from_secs(2),
    target_available: true,
};

#[test]
fn what_would_outlive_the_process_is_refused_with_the_time_to_come_back() {
    let begun = Instant::now();
    let plan = StopPlan::new(begun, GRACE);
    // Half a second before the end, from a caller that waits for 2.5 s.
    let late = begun + ms(4940);
    assert_eq!(plan.admit(late, late + ms(2500)), Err(ms(1560)));
}

#[test]
fn what_ends_before_the_process_is_taken() {
    let begun = Instant::now();
    let plan = StopPlan::new(begun, GRACE);
    let late = begun + ms(4940);
    assert_eq!(plan.admit(late, late + ms(400)), Ok(()));
}

#[test]
fn all_requests_are_taken_while_callers_move_away() {
    let begun = Instant::now();
    let plan = StopPlan::new(begun, GRACE);
    for after in [0, 1000, 2600] {
        let now = begun + ms(after);
        assert_eq!(plan.admit(now, now + ms(8000)), Ok(()), "after {after} ms");
    }
}

#[test]
fn a_target_is_used_until_shortly_before_its_daemon_ends() {
    // Pattern: daemons restart one after the other while other targets leave.
    let begun = Instant::now();
    let plan = StopPlan::new(begun, GRACE);
    assert!(plan.announced_at() - begun >= ms(1800));
    assert!(plan.gate_closes_at() > plan.announced_at());
    assert!(plan.earliest_close() > plan.gate_closes_at());
    assert!(!plan.should_close(plan.announced_at(), &QUIET));
    assert!(plan.should_close(plan.earliest_close(), &QUIET));
}

#[test]
fn a_daemon_with_callers_stays_until_shortly_before_it_is_killed() {
    let begun = Instant::now();
    let plan = StopPlan::new(begun, GRACE);
    let busy = StopConditions {
        gate_idle: false,
        ..QUIET
    };
    let asked = StopConditions {
        since_last_request: ms(1199),
        ..QUIET
    };
    for look in [busy, asked] {
        assert!(
            !plan.should_close(begun + LATEST.saturating_sub(ms(1)), &look),
            "{look:?}"
        );
        assert!(plan.should_close(begun + LATEST, &look), "{look:?}");
    }
    assert!(plan.cutoff() + ms(450) <= begun + GRACE);
}

#[test]
fn a_daemon_whose_target_has_ended_stays_for_callers_that_are_sent_back() {
    // Pattern: VMs of a failure domain are taken away one after the other; once fewer than
    // half of its daemons are ready, callers go to all of them again.
    let begun = Instant::now();
    let plan = StopPlan::new(begun, GRACE);
    let alone = StopConditions {
        target_available: false,
        ..QUIET
    };
    assert!(!plan.should_close(begun + LATEST.saturating_sub(ms(1)), &alone));
    assert!(plan.should_close(begun + LATEST, &alone));
}
