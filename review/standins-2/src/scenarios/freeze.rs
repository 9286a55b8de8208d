//! CONFIG: after a freeze of the daemon beside a server, a route is never served again.

use std::time::{Duration, Instant};

use super::{Traffic, Verdict, count_served, send_during};
use crate::fleet::{Fleet, RoutePlan, SMALL_BOUNDS};
use crate::record::Record;

/// Time for which the daemon is frozen, as on the site's days.
const FROZEN: Duration = Duration::from_secs(4);
/// `bounds.stability_window`, and some more.
const SETTLED: Duration = Duration::from_secs(5);
/// Time for which requests are judged.
const JUDGED: Duration = Duration::from_secs(10);

/// Plays the scenario.
pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let plans = [("zone-a", "checkout"), ("zone-b", "gallery")];
    let fleet = Fleet::new(&plans, SMALL_BOUNDS, record).map_err(|error| error.to_string())?;
    let route = |name, service, times| RoutePlan {
        name,
        service,
        kind: "safe",
        times,
        priority: 1,
    };
    let albums = route("albums", "gallery", ("1200ms", "400ms"));
    let prices = route("prices", "checkout", ("400ms", "120ms"));
    fleet.publish(&[albums]);
    let start = |machine, name| {
        fleet
            .start_target(machine, name)
            .map_err(|error| error.to_string())
    };
    let _checkout = start(0, "i-checkout-1")?;
    let _gallery = start(1, "i-gallery-1")?;
    fleet.start_daemons()?;
    std::thread::sleep(Duration::from_secs(3));
    fleet.publish(&[albums, prices]);
    std::thread::sleep(Duration::from_secs(3));
    let stream = |machine, path, deadline, interval| Traffic {
        machine,
        method: "GET",
        path,
        deadline: Duration::from_millis(deadline),
        interval: Duration::from_millis(interval),
    };
    let streams = [
        stream(0, "/albums/work-120/photo", 2500, 200),
        stream(1, "/albums/work-120/photo", 2500, 200),
        stream(1, "/prices/work-50/print", 400, 12),
    ];
    send_during(&fleet, &streams, Duration::from_secs(3) + FROZEN, || {
        std::thread::sleep(Duration::from_secs(3));
        if trouble {
            fleet.machines[0].signal("STOP")?;
        }
        std::thread::sleep(FROZEN);
        if trouble {
            fleet.machines[0].signal("CONT")?;
        }
        Ok::<_, String>(())
    })?;
    let judged_from = Instant::now() + SETTLED;
    send_during(&fleet, &streams, SETTLED + JUDGED, || {});
    let calls = fleet.calls();
    let is_later = |path: &str| path.starts_with("/prices/");
    let (served, later) = count_served(&calls, |call| {
        call.began >= judged_from && is_later(&call.path)
    });
    let (served_first, first) = count_served(&calls, |call| {
        call.began >= judged_from && !is_later(&call.path)
    });
    let detail = format!(
        "served {served} of {later} on the route that was added later, {served_first} of {first} on the first route"
    );
    if later < 20 || first < 20 || served_first == 0 {
        return Err(format!("no basis: {detail}"));
    }
    let share = served as f64 / later as f64;
    let first_share = served_first as f64 / first as f64;
    Ok(Verdict {
        broken: share < first_share / 4.0,
        detail,
    })
}
