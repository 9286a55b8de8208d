//! Calls with idempotency keys through `quetzald` processes: repeated calls, refusals, failed
//! homes and failed targets. The home of a key is the daemon that records its call and outcome. A
//! key that is neither issued nor a UUIDv7 is untimed: it does not contain its creation time.

mod fleet;

use std::time::Duration;

use fleet::target::TestTarget;
use fleet::{ALLOWANCES, Fleet, PLANS, wait_until};
use uuid::Uuid;

/// Longer than the lifetime of a dispatch permit. A home needs a permit of the daemon beside the
/// target for each call with a key that the caller created.
const PERMIT_EXPIRY_WAIT: Duration = Duration::from_secs(6);

fn start_default_fleet() -> (Fleet, TestTarget, TestTarget) {
    start_fleet("")
}

/// Starts four daemons, with `extra` settings, and two targets of `deals`; waits until keyed
/// calls run.
fn start_fleet(extra: &str) -> (Fleet, TestTarget, TestTarget) {
    let fleet = Fleet::start(4, &["cairo-a", "cairo-b"], extra);
    let one = TestTarget::start("deals-1", "deals", &fleet.daemons[0], Duration::ZERO);
    let two = TestTarget::start("deals-2", "deals", &fleet.daemons[1], Duration::ZERO);
    fleet.publish(PLANS, ALLOWANCES);
    fleet.wait_for_all("targets", |status| {
        let targets = status.members.iter().map(|member| member.targets.len());
        targets.sum::<usize>() == 2
    });
    wait_until("keys have homes", || {
        fleet
            .outcome(3, "POST", "/deals/warm", Some(&Uuid::now_v7().to_string()))
            .starts_with("200")
    });
    (fleet, one, two)
}

fn run_count(targets: [&TestTarget; 2], path: &str) -> usize {
    let line = format!("POST {path}");
    let count = |target: &TestTarget| {
        target
            .ran
            .lock()
            .unwrap()
            .iter()
            .filter(|ran| **ran == line)
            .count()
    };
    targets.map(count).iter().sum()
}

#[test]
fn a_key_sent_through_every_proxy_runs_once_and_gets_its_first_answer() {
    let (fleet, one, two) = start_default_fleet();
    for round in 0..20 {
        let key = Uuid::now_v7().to_string();
        let path = format!("/deals/payout-{round}");
        let answers: Vec<String> = (0..4)
            .map(|proxy| fleet.outcome(proxy, "POST", &path, Some(&key)))
            .collect();
        assert!(answers[0].starts_with("200"), "{answers:?}");
        assert!(
            answers.iter().all(|answer| *answer == answers[0]),
            "{answers:?}"
        );
        assert_eq!(run_count([&one, &two], &path), 1);
    }
}

#[test]
fn missing_old_and_reused_keys_are_refused() {
    let (fleet, one, two) = start_default_fleet();
    assert_eq!(fleet.outcome(2, "POST", "/deals/a", None), "key-missing");
    let old = Uuid::new_v7(uuid::Timestamp::from_unix(
        uuid::NoContext,
        1_600_000_000,
        0,
    ));
    let refused = fleet.outcome(2, "POST", "/deals/b", Some(&old.to_string()));
    assert_eq!(refused, "key-unknown");
    let key = Uuid::now_v7().to_string();
    assert!(
        fleet
            .outcome(2, "POST", "/deals/c", Some(&key))
            .starts_with("200")
    );
    assert_eq!(
        fleet.outcome(1, "POST", "/deals/d", Some(&key)),
        "key-reused"
    );
    assert_eq!(run_count([&one, &two], "/deals/a"), 0);
    assert_eq!(run_count([&one, &two], "/deals/b"), 0);
    assert_eq!(run_count([&one, &two], "/deals/d"), 0);
}

#[test]
fn a_key_without_a_time_is_refused_at_every_proxy() {
    let (fleet, one, two) = start_default_fleet();
    for (proxy, key) in ["order-1", "6fa459ea-ee8a-4ca4-894e-db77e160355e"]
        .into_iter()
        .cycle()
        .take(8)
        .enumerate()
    {
        let path = format!("/deals/untimed-{proxy}");
        let mut refused = fleet.call(proxy % 4, "POST", &path, Some(key), Vec::new());
        assert_eq!(refused.status().as_u16(), 400);
        assert_eq!(refused.headers()["quetzal-error"], "key-untimed");
        assert_eq!(refused.headers()["quetzal-run"], "sending-not-run");
        let text = refused.body_mut().read_to_string().unwrap();
        assert!(text.contains("UUIDv7"), "{text}");
        assert!(text.contains("/.quetzal/keys"), "{text}");
        assert_eq!(run_count([&one, &two], &path), 0);
        // A GET needs no key, so an untimed one is accepted.
        let read = fleet.outcome(proxy % 4, "GET", "/deals/read", Some(key));
        assert!(read.starts_with("200"), "{read}");
    }
}

#[test]
fn a_key_without_a_time_runs_once_per_window_if_the_setting_allows_it() {
    let extra = r#", "untimed_keys": "once-per-window""#;
    let (fleet, one, two) = start_fleet(extra);
    // In a new fleet no earlier home can have run an untimed key, so the homes admit them at once.
    let answers: Vec<String> = (0..8)
        .map(|sending| fleet.outcome(sending % 4, "POST", "/deals/order", Some("order-1")))
        .collect();
    assert!(answers[0].starts_with("200"), "{answers:?}");
    assert!(
        answers.iter().all(|answer| *answer == answers[0]),
        "{answers:?}"
    );
    assert_eq!(run_count([&one, &two], "/deals/order"), 1);
}

#[test]
fn a_proxy_that_refuses_a_used_key_does_not_say_that_it_never_ran() {
    let (fleet, one, two) = start_default_fleet();
    let key = Uuid::now_v7().to_string();
    let first = fleet.outcome(0, "POST", "/deals/used", Some(&key));
    assert!(first.starts_with("200"), "{first}");
    let refused = |path: &str, kind: &str, key: Option<&str>| {
        let response = fleet.call(1, "POST", path, key, Vec::new());
        assert_eq!(response.headers()["quetzal-error"], kind);
        let proof = response.headers()["quetzal-run"].to_str().unwrap();
        assert_eq!(
            proof == "not-run",
            response.headers().contains_key("quetzal-not-run")
        );
        proof.to_owned()
    };
    assert_eq!(
        refused("/nowhere", "route-unknown", Some(&key)),
        "sending-not-run"
    );
    assert_eq!(
        refused("/.quetzal/else", "route-unknown", Some(&key)),
        "sending-not-run"
    );
    // A call without a key cannot have been sent before.
    assert_eq!(refused("/nowhere", "route-unknown", None), "not-run");
    assert_eq!(run_count([&one, &two], "/deals/used"), 1);
}

#[test]
fn a_caller_with_a_slow_clock_is_told_so() {
    let (fleet, one, two) = start_default_fleet();
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let slow_s = now.unwrap().as_secs() - 600;
    let time = uuid::Timestamp::from_unix(uuid::NoContext, slow_s, 0);
    let key = Uuid::new_v7(time).to_string();
    let mut refused = fleet.call(1, "POST", "/deals/slow", Some(&key), Vec::new());
    assert_eq!(refused.status().as_u16(), 409);
    assert_eq!(refused.headers()["quetzal-error"], "key-unknown");
    assert_eq!(refused.headers()["quetzal-run"], "may-have-run");
    let text = refused.body_mut().read_to_string().unwrap();
    assert!(
        text.contains("the clock that created the key is slow"),
        "{text}"
    );
    assert_eq!(run_count([&one, &two], "/deals/slow"), 0);
}

#[test]
fn a_key_stays_used_when_any_daemon_fails() {
    let (mut fleet, one, two) = start_default_fleet();
    let keys: Vec<String> = (0..16).map(|_| Uuid::now_v7().to_string()).collect();
    for (index, key) in keys.iter().enumerate() {
        let path = format!("/deals/before-{index}");
        assert!(
            fleet
                .outcome(index % 4, "POST", &path, Some(key))
                .starts_with("200")
        );
    }
    fleet.daemons[3].kill();
    fleet.wait_for_members(3);
    for (index, key) in keys.iter().enumerate() {
        let path = format!("/deals/before-{index}");
        // If the key's home has failed, the call may be refused but must not run again.
        fleet.outcome(index % 3, "POST", &path, Some(key));
        assert_eq!(run_count([&one, &two], &path), 1, "key {index}");
    }
    wait_until("every key range has a home again", || {
        (0..8).all(|_| {
            fleet
                .outcome(0, "POST", "/deals/after", Some(&Uuid::now_v7().to_string()))
                .starts_with("200")
        })
    });
}

#[test]
fn a_call_runs_elsewhere_if_a_daemon_does_not_grant_permits() {
    // Four of six daemons in two failure domains are homes of keys.
    let fleet = Fleet::start(6, &["cairo-a", "cairo-b"], "");
    fleet.wait_for_all("homes", |status| status.homes.len() == 4);
    let homes = fleet.status(0).unwrap().homes;
    let others: Vec<usize> = (0..6)
        .filter(|index| {
            homes
                .iter()
                .all(|home| **home != fleet.daemons[*index].name)
        })
        .collect();
    let [silent, proxy] = others[..] else {
        panic!("homes are {homes:?}");
    };
    let beside = |name: &str, daemon: usize| {
        TestTarget::start(name, "deals", &fleet.daemons[daemon], Duration::ZERO)
    };
    let (one, two) = (beside("deals-1", silent), beside("deals-2", proxy));
    fleet.publish(PLANS, ALLOWANCES);
    let send = |path: &str| {
        let key = Uuid::now_v7().to_string();
        fleet.outcome(proxy, "POST", path, Some(&key))
    };
    wait_until("both targets run calls", || {
        send("/deals/warm");
        one.ran_count() > 0 && two.ran_count() > 0
    });
    // Afterwards the homes hold no valid permits.
    std::thread::sleep(PERMIT_EXPIRY_WAIT);
    fleet.daemons[silent].pause();
    let answers: Vec<String> = (0..6)
        .map(|index| send(&format!("/deals/silent-{index}")))
        .collect();
    fleet.daemons[silent].resume();
    assert!(
        answers.iter().all(|answer| answer.starts_with("200")),
        "{answers:?}"
    );
}

#[test]
fn a_planned_stop_hands_the_keys_to_the_next_home() {
    let (mut fleet, one, two) = start_default_fleet();
    let keys: Vec<String> = (0..16).map(|_| Uuid::now_v7().to_string()).collect();
    let first: Vec<String> = keys
        .iter()
        .enumerate()
        .map(|(index, key)| fleet.outcome(0, "POST", &format!("/deals/kept-{index}"), Some(key)))
        .collect();
    assert!(
        first.iter().all(|answer| answer.starts_with("200")),
        "{first:?}"
    );
    fleet.daemons[3].terminate();
    assert!(fleet.daemons[3].wait().success());
    for (index, key) in keys.iter().enumerate() {
        let path = format!("/deals/kept-{index}");
        wait_until("the first answer is replayed", || {
            fleet.outcome(index % 3, "POST", &path, Some(key)) == first[index]
        });
        assert_eq!(run_count([&one, &two], &path), 1, "key {index}");
    }
}

#[test]
fn a_home_paused_past_its_lease_runs_no_key_twice() {
    let (fleet, one, two) = start_default_fleet();
    let keys: Vec<String> = (0..24).map(|_| Uuid::now_v7().to_string()).collect();
    fleet.daemons[2].pause();
    // The proxy waits for the paused home until the deadline of each call.
    let first: Vec<String> = std::thread::scope(|scope| {
        let calls: Vec<_> = keys
            .iter()
            .enumerate()
            .map(|(index, key)| {
                let fleet = &fleet;
                scope.spawn(move || {
                    fleet.outcome(3, "POST", &format!("/deals/paused-{index}"), Some(key))
                })
            })
            .collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    wait_until("every key range has another home", || {
        (0..8).all(|_| {
            let key = Uuid::now_v7().to_string();
            fleet
                .outcome(3, "POST", "/deals/after", Some(&key))
                .starts_with("200")
        })
    });
    fleet.daemons[2].resume();
    fleet.wait_for_members(4);
    for (index, key) in keys.iter().enumerate() {
        let path = format!("/deals/paused-{index}");
        for proxy in 0..4 {
            fleet.outcome(proxy, "POST", &path, Some(key));
        }
        let runs = run_count([&one, &two], &path);
        assert!(runs <= 1, "key {index} ran {runs} times");
        assert!(runs == 1 || !first[index].starts_with("200"), "key {index}");
    }
    let refused = first.iter().filter(|outcome| !outcome.starts_with("200"));
    println!(
        "{} of {} calls met the paused home",
        refused.count(),
        keys.len()
    );
}
