//! Pattern: most daemons of a failure domain stop at once, and callers keep sending to them.

mod support;

use std::time::Instant;

use quetzal_mesh::StopPlan;
use support::ms;

#[test]
fn what_would_outlive_the_process_is_refused_with_the_time_to_come_back() {
    let begun = Instant::now();
    let plan = StopPlan::new(begun, ms(5500));
    // Half a second before the end, from a caller that waits for 2.5 s.
    let late = begun + ms(4940);
    assert_eq!(plan.admit(late, late + ms(2500)), Err(ms(1560)));
}

#[test]
fn what_ends_before_the_process_is_taken() {
    let begun = Instant::now();
    let plan = StopPlan::new(begun, ms(5500));
    let late = begun + ms(4940);
    assert_eq!(plan.admit(late, late + ms(400)), Ok(()));
}

#[test]
fn all_requests_are_taken_while_callers_move_away() {
    let begun = Instant::now();
    let plan = StopPlan::new(begun, ms(5500));
    for after in [0, 1000, 2600] {
        let now = begun + ms(after);
        assert_eq!(plan.admit(now, now + ms(8000)), Ok(()), "after {after} ms");
    }
}
