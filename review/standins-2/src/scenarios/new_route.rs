//! CONFIG: a route that is added later, with a short timeout, to a service whose other requests
//! take long is never served.

use std::time::{Duration, Instant};

use super::{Traffic, Verdict, count_served, send_during};
use crate::fleet::{Fleet, RoutePlan, SMALL_BOUNDS};
use crate::record::Record;

/// Time for which the first routes are used before the change.
const BEFORE: Duration = Duration::from_secs(6);
/// `bounds.config_apply` and `bounds.stability_window`, and some more.
const SETTLED: Duration = Duration::from_secs(6);
/// Time for which requests are judged.
const JUDGED: Duration = Duration::from_secs(10);

/// Plays the scenario.
pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let plans = [("zone-a", "deals"), ("zone-b", "catalog")];
    let fleet = Fleet::new(&plans, SMALL_BOUNDS, record).map_err(|error| error.to_string())?;
    let route = |name, service, kind, times, priority| RoutePlan {
        name,
        service,
        kind,
        times,
        priority,
    };
    let bookings = route("bookings", "deals", "unsafe", ("8s", "2s"), 2);
    let profiles = route("profiles", "catalog", "safe", ("6s", "1500ms"), 2);
    let ledger = route("ledger", "deals", "safe", ("200ms", "60ms"), 1);
    let all_routes = [bookings, profiles, ledger];
    // Without the change, the route is there from the first configuration on.
    fleet.publish(if trouble {
        &all_routes[..2]
    } else {
        &all_routes
    });
    let start = |machine, name| {
        fleet
            .start_target(machine, name)
            .map_err(|error| error.to_string())
    };
    let _deals = start(0, "i-deals-1")?;
    let _catalog = start(1, "i-catalog-1")?;
    fleet.start_daemons()?;
    std::thread::sleep(Duration::from_secs(3));
    let stream = |machine, method, path, deadline, interval| Traffic {
        machine,
        method,
        path,
        deadline: Duration::from_millis(deadline),
        interval: Duration::from_millis(interval),
    };
    let mut streams = vec![
        stream(0, "POST", "/bookings/work-520/order", 8000, 250),
        stream(1, "POST", "/bookings/work-520/order", 8000, 250),
        stream(0, "GET", "/profiles/work-400/creator", 6000, 250),
        stream(1, "GET", "/profiles/work-400/creator", 6000, 250),
    ];
    let ledger_streams = [
        stream(0, "GET", "/ledger/work-15/balance", 200, 100),
        stream(1, "GET", "/ledger/work-15/balance", 200, 100),
    ];
    if !trouble {
        streams.extend(ledger_streams.iter().cloned());
    }
    send_during(&fleet, &streams, BEFORE, || {});
    if trouble {
        fleet.publish(&all_routes);
        streams.extend(ledger_streams);
    }
    let judged_from = Instant::now() + SETTLED;
    send_during(&fleet, &streams, SETTLED + JUDGED, || {});
    let calls = fleet.calls();
    let is_later = |path: &str| path.starts_with("/ledger/");
    let (served, later) = count_served(&calls, |call| {
        call.began >= judged_from && is_later(&call.path)
    });
    let (served_first, first) = count_served(&calls, |call| {
        call.began >= judged_from && !is_later(&call.path)
    });
    let detail = format!(
        "served {served} of {later} on the route in question, {served_first} of {first} on the first routes"
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
