//! RECOVER: after all daemons were killed, a late status report of an earlier server at the same
//! address makes a daemon ignore the live one for good.

use std::time::{Duration, Instant};

use super::{Traffic, Verdict, count_served, send_during};
use crate::fleet::{Fleet, RoutePlan, SMALL_BOUNDS};
use crate::record::Record;

/// `bounds.recover`.
const RECOVER: Duration = Duration::from_secs(15);
/// Time from the kill to the restart, as the closing fault of the site's days.
const DOWN: Duration = Duration::from_millis(1400);
/// Time for which requests are judged after `RECOVER`.
const JUDGED: Duration = Duration::from_secs(5);

/// Plays the scenario.
pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let plans = [("zone-a", "checkout"), ("zone-b", "gallery")];
    let fleet = Fleet::new(&plans, SMALL_BOUNDS, record).map_err(|error| error.to_string())?;
    fleet.publish(&[RoutePlan {
        name: "checkout",
        service: "checkout",
        kind: "safe",
        times: ("1500ms", "500ms"),
        priority: 1,
    }]);
    let start = |machine, name| {
        fleet
            .start_target(machine, name)
            .map_err(|error| error.to_string())
    };
    let first = start(0, "i-checkout-1")?;
    let _gallery = start(1, "i-gallery-1")?;
    fleet.start_daemons()?;
    std::thread::sleep(Duration::from_secs(3));
    let streams = [0, 1].map(|machine| Traffic {
        machine,
        method: "GET",
        path: "/checkout/work-30/price",
        deadline: Duration::from_secs(3),
        interval: Duration::from_millis(100),
    });
    // The first server sends a report that is held up, and crashes. Another one starts at its
    // address. Both happen in either case.
    let held_up = first.next_report();
    first.crash();
    std::thread::sleep(Duration::from_millis(1000));
    let second = start(0, "i-checkout-2")?;
    let time = Duration::from_secs(4) + DOWN + Duration::from_secs(1) + RECOVER + JUDGED;
    let (killed_at, back_at) = send_during(&fleet, &streams, time, || {
        std::thread::sleep(Duration::from_millis(3500));
        let killed_at = Instant::now();
        if trouble {
            for machine in &fleet.machines {
                machine.kill();
            }
        }
        std::thread::sleep(DOWN);
        if trouble {
            for machine in &fleet.machines {
                machine.start().map_err(|error| error.to_string())?;
            }
        }
        std::thread::sleep(Duration::from_millis(500));
        if trouble {
            let status = held_up.deliver(fleet.machines[0].control());
            record.line(&format!(
                "the held-up report of server {} arrives: answered {status}",
                first.name()
            ));
        }
        for machine in &fleet.machines {
            machine.wait_until_ready()?;
        }
        Ok::<_, String>((killed_at, Instant::now()))
    })?;
    let calls = fleet.calls();
    let (served_before, before) = count_served(&calls, |call| {
        call.began > killed_at - Duration::from_secs(2) && call.began < killed_at
    });
    let (served, after) = count_served(&calls, |call| call.began > back_at + RECOVER);
    let detail = format!(
        "served {served_before} of {before} in the two seconds before, and {served} of {after} sent later than 15 s after the daemons were back; the server was {}",
        second.name()
    );
    if before == 0 || 4 * served_before < before || after < 20 {
        return Err(format!("no basis: {detail}"));
    }
    Ok(Verdict {
        broken: 4 * served < after,
        detail,
    })
}
