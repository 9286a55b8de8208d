//! CONFIG: a server in trouble sends interim responses without end, and the daemon beside it
//! answers nobody in time.

use std::time::{Duration, Instant};

use super::{Traffic, Verdict, send_during};
use crate::fleet::{Call, Fleet, RoutePlan, SMALL_BOUNDS};
use crate::record::Record;

/// Timeout of the routes.
const TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after the timeout within which a request has to be answered.
const SLACK: Duration = Duration::from_millis(500);
/// Time for which requesters wait.
const DEADLINE: Duration = Duration::from_secs(6);
/// Time for which the server is in trouble.
const TROUBLE_TIME: Duration = Duration::from_secs(12);

/// Plays the scenario.
pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let plans = [("zone-a", "printdesk"), ("zone-b", "gallery")];
    let fleet = Fleet::new(&plans, SMALL_BOUNDS, record).map_err(|error| error.to_string())?;
    let route = |name, service| RoutePlan {
        name,
        service,
        kind: "safe",
        times: ("1500ms", "500ms"),
        priority: 1,
    };
    fleet.publish(&[route("status", "printdesk"), route("album", "gallery")]);
    let start = |machine, name| {
        fleet
            .start_target(machine, name)
            .map_err(|error| error.to_string())
    };
    let printdesk = start(0, "i-printdesk-1")?;
    let _gallery = start(1, "i-gallery-1")?;
    fleet.start_daemons()?;
    std::thread::sleep(Duration::from_secs(4));
    let stream = |machine, path| Traffic {
        machine,
        method: "GET",
        path,
        deadline: DEADLINE,
        interval: Duration::from_millis(100),
    };
    let streams = [
        stream(0, "/status/work-30/order"),
        stream(0, "/album/work-30/thumbnail"),
        stream(1, "/album/work-30/thumbnail"),
    ];
    let mut readiness = Vec::new();
    let began = Instant::now();
    send_during(&fleet, &streams, TROUBLE_TIME, || {
        printdesk.set_in_trouble(trouble);
        while began.elapsed() < TROUBLE_TIME {
            let ready = fleet.machines[0].is_ready();
            record.line(&format!(
                "readiness check of {}: {ready}",
                fleet.machines[0].name
            ));
            readiness.push(ready);
            std::thread::sleep(Duration::from_secs(1));
        }
        printdesk.set_in_trouble(false);
    });
    let calls = fleet.calls();
    let (late, due) = count_late(&calls, |_| true);
    let (late_album, due_album) = count_late(&calls, |call| call.path.starts_with("/album"));
    let missed = readiness.iter().filter(|ready| !**ready).count();
    let detail = format!(
        "{late} of {due} requests without an answer at their route's timeout had none half a second later ({late_album} of {due_album} of those for the sound service); {missed} of {} readiness checks missed; {} requests",
        readiness.len(),
        calls.len()
    );
    Ok(Verdict {
        broken: due > 0 && 2 * late > due,
        detail,
    })
}

/// Counts the requests without an answer at their timeout, and those of them without one later.
fn count_late(calls: &[Call], wanted: impl Fn(&Call) -> bool) -> (usize, usize) {
    let took = |call: &Call| call.answer.ended.duration_since(call.answer.sent);
    let due: Vec<&Call> = calls
        .iter()
        .filter(|call| wanted(call) && took(call) >= TIMEOUT)
        .collect();
    let late = due
        .iter()
        .filter(|call| took(call) > TIMEOUT + SLACK)
        .count();
    (late, due.len())
}
