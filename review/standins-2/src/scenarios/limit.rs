//! LIMIT: a daemon restarts beside a server that names a limit and whose liveness check fails,
//! and lets more requests through than the limit allows.

use std::sync::PoisonError;
use std::thread;
use std::time::{Duration, Instant};

use super::{Traffic, Verdict, send_during};
use crate::fleet::{Fleet, RoutePlan, SMALL_BOUNDS};
use crate::record::Record;

/// Requests a second that the server names.
const LIMIT: u32 = 1;
/// Window of the rule.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests in a window that the rule allows: one and a half times the limit, and five more.
const ALLOWED: usize = 11;
/// `bounds.stability_window`.
const STABILITY: Duration = Duration::from_secs(3);

/// Plays the scenario.
pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let plans = [("zone-a", "printdesk"), ("zone-b", "gallery")];
    let fleet = Fleet::new(&plans, SMALL_BOUNDS, record).map_err(|error| error.to_string())?;
    fleet.publish(&[RoutePlan {
        name: "status",
        service: "printdesk",
        kind: "safe",
        times: ("3s", "1s"),
        priority: 1,
    }]);
    let start = |machine, name| {
        fleet
            .start_target(machine, name)
            .map_err(|error| error.to_string())
    };
    let printdesk = start(0, "i-printdesk-1")?;
    let _gallery = start(1, "i-gallery-1")?;
    fleet.start_daemons()?;
    thread::sleep(Duration::from_secs(3));
    printdesk.set_limit(LIMIT);
    let began = Instant::now();
    // All requests begin on the machine whose daemon is not disturbed.
    let streams = [Traffic {
        machine: 1,
        method: "GET",
        path: "/status/work-300/order",
        deadline: Duration::from_secs(3),
        interval: Duration::from_millis(15),
    }];
    send_during(&fleet, &streams, Duration::from_secs(20), || {
        thread::sleep(Duration::from_secs(6));
        if trouble {
            printdesk.set_unhealthy(true);
            fleet.machines[0].kill();
        }
        thread::sleep(Duration::from_millis(500));
        if trouble {
            fleet.machines[0]
                .start()
                .map_err(|error| error.to_string())?;
        }
        Ok::<_, String>(())
    })?;
    let runs = fleet.runs.lock().unwrap_or_else(PoisonError::into_inner);
    let times: Vec<Instant> = runs.iter().map(|run| run.began).collect();
    drop(runs);
    let counts = times
        .iter()
        .filter(|first| **first >= began + STABILITY)
        .map(|first| {
            let in_window = |at: &&Instant| **at >= *first && **at < *first + WINDOW;
            times.iter().filter(in_window).count()
        });
    let most = counts.max().unwrap_or_default();
    Ok(Verdict {
        broken: most > ALLOWED,
        detail: format!(
            "{most} requests reached the server in some 4 s, {ALLOWED} allowed; {} in all",
            times.len()
        ),
    })
}
