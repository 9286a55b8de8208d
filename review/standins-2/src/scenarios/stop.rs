//! LOST: a planned stop of a machine breaks off a request that it accepted during the stop.

use std::time::{Duration, Instant};

use super::{Traffic, Verdict, send_during};
use crate::fleet::{Call, Fleet, LARGE_BOUNDS, RoutePlan};
use crate::record::Record;

/// `bounds.grace` of the large site.
const GRACE: Duration = Duration::from_secs(10);
/// `bounds.stability_window` of the large site, and some more.
const CALM: Duration = Duration::from_secs(5);
/// Deadline of the requesters and timeout of the route, as on the large site.
const DEADLINE: Duration = Duration::from_secs(8);
/// Time from SIGTERM to the long request.
const LONG_AFTER: Duration = Duration::from_millis(4400);
/// Requests sent no later than this after SIGTERM may be broken off in the last sixth of the grace
/// period.
const EARLY: Duration = Duration::from_secs(3);

/// Plays the scenario.
pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let plans = [("zone-a", "catalog"), ("zone-b", "deals")];
    let fleet = Fleet::new(&plans, LARGE_BOUNDS, record).map_err(|error| error.to_string())?;
    fleet.publish(&[RoutePlan {
        name: "deals",
        service: "deals",
        kind: "unsafe",
        times: ("8s", "2s"),
        priority: 1,
    }]);
    let start = |machine, name| {
        fleet
            .start_target(machine, name)
            .map_err(|error| error.to_string())
    };
    let _catalog = start(0, "i-catalog-1")?;
    let _deals = start(1, "i-deals-1")?;
    fleet.start_daemons()?;
    std::thread::sleep(Duration::from_secs(2));
    let streams = [Traffic {
        machine: 0,
        method: "POST",
        path: "/deals/work-520/usual",
        deadline: DEADLINE,
        interval: Duration::from_millis(250),
    }];
    let (stopped_at, long) = send_during(&fleet, &streams, CALM + GRACE, || {
        std::thread::sleep(CALM);
        let stopped_at = Instant::now();
        if trouble {
            fleet.machines[0].signal("TERM")?;
        }
        std::thread::sleep(LONG_AFTER);
        // A run of 5.2 s: the site lets work take 3,900 ms, on servers of different speed.
        let long = fleet.send(0, "POST", "/deals/work-5200/long", b"order", DEADLINE);
        let left = GRACE.saturating_sub(stopped_at.elapsed());
        std::thread::sleep(left);
        if trouble && !fleet.machines[0].has_ended() {
            fleet.machines[0].kill();
        }
        Ok::<_, String>((stopped_at, long))
    })?;
    let lost: Vec<Call> = fleet
        .calls()
        .into_iter()
        .filter(|call| trouble && is_lost(&fleet, call, stopped_at))
        .collect();
    let detail = format!(
        "{} of {} requests were broken off while their server was at work; the long one got {} after {:.2} s",
        lost.len(),
        fleet.calls().len(),
        long.answer.status(),
        long.answer.ended.duration_since(long.began).as_secs_f64()
    );
    if !trouble && !long.is_served() {
        return Err(format!(
            "the long request was not served without a stop: {detail}"
        ));
    }
    Ok(Verdict {
        broken: !lost.is_empty(),
        detail,
    })
}

/// Returns whether a request that a server ran has no answer of that server, though its deadline
/// and the route's timeout were not reached, and the excuse of the last sixth does not apply.
fn is_lost(fleet: &Fleet, call: &Call, stopped_at: Instant) -> bool {
    let planned_work = call.answer.sent >= stopped_at.checked_sub(DEADLINE).unwrap_or(stopped_at)
        && call.answer.ended <= stopped_at + GRACE + Duration::from_secs(1);
    let runs = fleet.runs_of(&call.id);
    let Some(run) = runs.first() else {
        return false;
    };
    if call.is_served() || !planned_work {
        return false;
    }
    let in_time = call.answer.ended < call.began + DEADLINE - Duration::from_millis(300);
    let at_work = run.answered.is_none_or(|at| at > call.answer.ended);
    let last_sixth = stopped_at + GRACE.mul_f64(5.0 / 6.0);
    let excused = call.answer.sent <= stopped_at + EARLY && call.answer.ended >= last_sixth;
    in_time && at_work && !excused
}
