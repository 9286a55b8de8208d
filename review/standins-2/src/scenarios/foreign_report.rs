//! CONFIG: a status report of another writer makes a daemon ignore its server for good, so a route
//! that is added later is not served.

use std::time::{Duration, Instant};

use super::{Traffic, Verdict, count_served, send_during};
use crate::fleet::{Fleet, RoutePlan, SMALL_BOUNDS};
use crate::record::Record;
use crate::target::{LateReport, now_millis};

/// `bounds.config_apply` and `bounds.stability_window`, and some more.
const SETTLED: Duration = Duration::from_secs(4);
/// Time for which requests are judged.
const JUDGED: Duration = Duration::from_secs(10);

/// Plays the scenario.
pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let plans = [("zone-a", "gallery"), ("zone-b", "checkout")];
    let fleet = Fleet::new(&plans, SMALL_BOUNDS, record).map_err(|error| error.to_string())?;
    let route = |name, service| RoutePlan {
        name,
        service,
        kind: "safe",
        times: ("1500ms", "500ms"),
        priority: 1,
    };
    let first_routes = [route("gallery", "gallery"), route("checkout", "checkout")];
    fleet.publish(&first_routes);
    let start = |machine, name| {
        fleet
            .start_target(machine, name)
            .map_err(|error| error.to_string())
    };
    let _gallery = start(0, "i-gallery-1")?;
    let _checkout = start(1, "i-checkout-1")?;
    fleet.start_daemons()?;
    std::thread::sleep(Duration::from_secs(3));
    let stream = |machine, path| Traffic {
        machine,
        method: "GET",
        path,
        deadline: Duration::from_secs(3),
        interval: Duration::from_millis(200),
    };
    let streams = [
        stream(0, "/gallery/work-30/album"),
        stream(1, "/gallery/work-30/album"),
        stream(0, "/checkout/work-30/price"),
        stream(1, "/checkout/work-30/price"),
    ];
    send_during(&fleet, &streams, Duration::from_secs(3), || {
        std::thread::sleep(Duration::from_secs(1));
        if !trouble {
            return;
        }
        // A report of another writer: its service is not named anywhere.
        let report = LateReport {
            path: "/v1/Instances.Heartbeat/i-other-1".to_owned(),
            body: format!(
                r#"{{"service":"elsewhere","address":"127.0.0.9:8301","zone":"zone-b","version":"v1","slots":12,"state":"ready","cold_remaining":"0ms","sequence":1,"born":{}}}"#,
                now_millis()
            ),
        };
        let status = report.deliver(fleet.machines[1].control());
        record.line(&format!(
            "a report of another writer arrives: answered {status}"
        ));
    });
    let routes = [
        first_routes[0],
        first_routes[1],
        route("prints", "checkout"),
    ];
    fleet.publish(&routes);
    std::thread::sleep(SETTLED);
    let judged_from = Instant::now();
    let streams = [
        streams[0].clone(),
        streams[1].clone(),
        streams[2].clone(),
        streams[3].clone(),
        stream(0, "/prints/work-30/order"),
        stream(1, "/prints/work-30/order"),
    ];
    send_during(&fleet, &streams, JUDGED, || {});
    let calls = fleet.calls();
    let is_later = |path: &str| path.starts_with("/prints/");
    let (served, later) = count_served(&calls, |call| {
        call.began >= judged_from && is_later(&call.path)
    });
    let (served_first, first) = count_served(&calls, |call| {
        call.began >= judged_from && !is_later(&call.path)
    });
    let detail = format!(
        "served {served} of {later} on the route that was added later, {served_first} of {first} on the first routes"
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
