//! Idempotency keys that `quetzald` processes issue and close. The home of a key is the daemon that
//! records its call and outcome. A key that is neither issued nor a UUIDv7 is untimed: it does not
//! contain its creation time.

mod fleet;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use fleet::target::TestTarget;
use fleet::{ALLOWANCES, Fleet, PLANS, wait_until};
use serde_json::Value;
use uuid::Uuid;

fn start() -> (Fleet, TestTarget) {
    start_with("")
}

/// Starts four daemons, with `extra` settings, and a target of `deals`; waits until keyed calls
/// run.
fn start_with(extra: &str) -> (Fleet, TestTarget) {
    let fleet = Fleet::start(4, &["cairo-a", "cairo-b"], extra);
    let deals = TestTarget::start("deals-1", "deals", &fleet.daemons[0], Duration::ZERO);
    fleet.publish(PLANS, ALLOWANCES);
    fleet.wait_for_all("targets", |status| {
        status
            .members
            .iter()
            .any(|member| !member.targets.is_empty())
    });
    wait_until("keys have homes", || {
        let key = Uuid::now_v7().to_string();
        fleet
            .outcome(3, "POST", "/deals/warm", Some(&key))
            .starts_with("200")
    });
    (fleet, deals)
}

/// Returns a key issued through one proxy.
fn issue(fleet: &Fleet, proxy: usize) -> String {
    let mut response = fleet.call(proxy, "POST", "/.quetzal/keys", None, Vec::new());
    assert_eq!(response.status().as_u16(), 200);
    let body: Value = response.body_mut().read_json().unwrap();
    body["key"].as_str().unwrap().to_owned()
}

/// Closes a key; returns the outcome with the status of the first answer, or the error kind.
fn close(fleet: &Fleet, proxy: usize, customer: &str, key: &str) -> String {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let url = format!(
        "http://{}/.quetzal/close",
        fleet.daemons[proxy].caller_address
    );
    let request = agent.post(url).header("quetzal-customer", customer);
    let mut response = request.header("idempotency-key", key).send_empty().unwrap();
    if let Some(kind) = response.headers().get("quetzal-error") {
        return kind.to_str().unwrap().to_owned();
    }
    let body: Value = response.body_mut().read_json().unwrap();
    assert_eq!(body["key"], key);
    let outcome = body["outcome"].as_str().unwrap().to_owned();
    match body["status"].as_u64() {
        Some(status) => format!("{outcome} {status}"),
        None => outcome,
    }
}

fn run_count(target: &TestTarget, path: &str) -> usize {
    let line = format!("POST {path}");
    let lines = target.ran.lock().unwrap();
    lines.iter().filter(|run| **run == line).count()
}

#[test]
fn a_closed_key_never_runs_and_closing_a_used_one_reports_its_run() {
    let (fleet, deals) = start();
    for round in 0..4 {
        let keys = [issue(&fleet, round), Uuid::now_v7().to_string()];
        for (index, key) in keys.iter().enumerate() {
            let closed = format!("/deals/closed-{round}-{index}");
            let proxy = |step: usize| (round + index + step) % 4;
            assert_eq!(close(&fleet, proxy(1), "nile", key), "never-ran");
            let refused = fleet.outcome(proxy(2), "POST", &closed, Some(key));
            assert_eq!(refused, "key-withdrawn");
            assert_eq!(close(&fleet, proxy(3), "nile", key), "never-ran");
            assert_eq!(run_count(&deals, &closed), 0);
        }
        let keys = [issue(&fleet, round), Uuid::now_v7().to_string()];
        for (index, key) in keys.iter().enumerate() {
            let used = format!("/deals/used-{round}-{index}");
            // The same key of another customer is a different key.
            assert_eq!(close(&fleet, round, "delta", key), "never-ran");
            let answer = fleet.outcome((round + 1) % 4, "POST", &used, Some(key));
            assert!(answer.starts_with("200"), "{answer}");
            assert_eq!(close(&fleet, (round + 2) % 4, "nile", key), "ran 200");
            assert_eq!(run_count(&deals, &used), 1);
        }
    }
    let key = format!("payout-{}", Uuid::now_v7());
    assert_eq!(close(&fleet, 0, "nile", &key), "key-untimed");
}

#[test]
fn a_key_without_a_time_is_closed_if_the_setting_allows_such_keys() {
    let (fleet, _deals) = start_with(r#", "untimed_keys": "once-per-window""#);
    let key = format!("payout-{}", Uuid::now_v7());
    let outcome = close(&fleet, 0, "nile", &key);
    // A home that took the key over from another home answers `key-unknown` for the length of a
    // window, since the call may have run at the other home.
    assert!(
        matches!(outcome.as_str(), "never-ran" | "key-unknown"),
        "{outcome}"
    );
}

#[test]
fn closing_a_running_call_returns_running_and_its_outcome_is_kept() {
    let (fleet, deals) = start();
    let key = Uuid::now_v7().to_string();
    let before = deals.begun.load(Ordering::SeqCst);
    deals.held.store(true, Ordering::SeqCst);
    thread::scope(|scope| {
        let call = scope.spawn(|| fleet.outcome(1, "POST", "/deals/slow", Some(&key)));
        wait_until("the call runs", || {
            deals.begun.load(Ordering::SeqCst) > before
        });
        assert_eq!(close(&fleet, 2, "nile", &key), "running");
        deals.held.store(false, Ordering::SeqCst);
        assert!(call.join().unwrap().starts_with("200"));
    });
    assert_eq!(close(&fleet, 3, "nile", &key), "ran 200");
    assert_eq!(run_count(&deals, "/deals/slow"), 1);
}

#[test]
fn a_planned_stop_of_the_home_keeps_the_outcomes_of_its_keys() {
    let (mut fleet, deals) = start();
    let (used, closed, fresh) = (issue(&fleet, 3), issue(&fleet, 3), issue(&fleet, 3));
    let answer = fleet.outcome(1, "POST", "/deals/used", Some(&used));
    assert!(answer.starts_with("200"), "{answer}");
    assert_eq!(close(&fleet, 1, "nile", &closed), "never-ran");
    fleet.daemons[3].terminate();
    assert!(fleet.daemons[3].wait().success());
    wait_until("the next home knows the key", || {
        close(&fleet, 1, "nile", &used) == "ran 200"
    });
    assert_eq!(close(&fleet, 2, "nile", &closed), "never-ran");
    assert_eq!(close(&fleet, 0, "nile", &fresh), "never-ran");
    for key in [&closed, &fresh] {
        let refused = fleet.outcome(0, "POST", "/deals/late", Some(key));
        assert_eq!(refused, "key-withdrawn");
    }
    assert_eq!(run_count(&deals, "/deals/late"), 0);
    assert_eq!(run_count(&deals, "/deals/used"), 1);
}

#[test]
fn unknown_customers_keys_and_paths_are_refused() {
    let (fleet, _deals) = start();
    let key = Uuid::now_v7().to_string();
    assert_eq!(close(&fleet, 0, "stranger", &key), "customer-unknown");
    // The prefix marks an issued key; the rest of this one is malformed.
    assert_eq!(close(&fleet, 0, "nile", "qk1-x"), "request-invalid");
    let outcome = |method, path| fleet.outcome(0, method, path, None);
    assert_eq!(outcome("POST", "/.quetzal/close"), "key-missing");
    assert_eq!(outcome("GET", "/.quetzal/keys"), "method-unknown");
    assert_eq!(outcome("POST", "/.quetzal/else"), "route-unknown");
}
