//! Keyed calls through real daemons: repeats, refusals, lost homes and targets.

mod fleet;

use std::time::Duration;

use fleet::target::TestTarget;
use fleet::{ALLOWANCES, Fleet, PLANS, await_true};
use uuid::Uuid;

/// Longer than a dispatch permit lives.
const PERMIT_LIFETIME: Duration = Duration::from_secs(6);

fn fleet_with_deals() -> (Fleet, TestTarget, TestTarget) {
    fleet_with("")
}

/// The same with more settings.
fn fleet_with(extra: &str) -> (Fleet, TestTarget, TestTarget) {
    let fleet = Fleet::start(4, &["cairo-a", "cairo-b"], extra);
    let one = TestTarget::start("deals-1", "deals", &fleet.daemons[0], Duration::ZERO);
    let two = TestTarget::start("deals-2", "deals", &fleet.daemons[1], Duration::ZERO);
    fleet.publish(PLANS, ALLOWANCES);
    fleet.await_all("targets", |status| {
        let targets = status.members.iter().map(|member| member.targets.len());
        targets.sum::<usize>() == 2
    });
    await_true("leases", || {
        fleet
            .outcome(3, "POST", "/deals/warm", Some(&Uuid::now_v7().to_string()))
            .starts_with("200")
    });
    (fleet, one, two)
}

fn runs_of(targets: [&TestTarget; 2], path: &str) -> usize {
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
    let (fleet, one, two) = fleet_with_deals();
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
        assert_eq!(runs_of([&one, &two], &path), 1);
    }
}

#[test]
fn keys_that_cannot_be_judged_are_refused() {
    let (fleet, one, two) = fleet_with_deals();
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
    assert_eq!(runs_of([&one, &two], "/deals/a"), 0);
    assert_eq!(runs_of([&one, &two], "/deals/b"), 0);
    assert_eq!(runs_of([&one, &two], "/deals/d"), 0);
}

#[test]
fn a_key_without_a_time_is_refused_at_every_proxy() {
    let (fleet, one, two) = fleet_with_deals();
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
        assert_eq!(runs_of([&one, &two], &path), 0);
        // Where a key means nothing it is no fault.
        let read = fleet.outcome(proxy % 4, "GET", "/deals/read", Some(key));
        assert!(read.starts_with("200"), "{read}");
    }
}

#[test]
fn a_key_without_a_time_runs_once_in_a_window_where_the_setting_says_so() {
    let extra = r#", "untimed_keys": "once-per-window""#;
    let (fleet, one, two) = fleet_with(extra);
    // The very first terms of the stream admit such keys at once.
    let answers: Vec<String> = (0..8)
        .map(|sending| fleet.outcome(sending % 4, "POST", "/deals/order", Some("order-1")))
        .collect();
    assert!(answers[0].starts_with("200"), "{answers:?}");
    assert!(
        answers.iter().all(|answer| *answer == answers[0]),
        "{answers:?}"
    );
    assert_eq!(runs_of([&one, &two], "/deals/order"), 1);
}

#[test]
fn a_proxy_that_refuses_a_used_key_does_not_say_that_it_never_ran() {
    let (fleet, one, two) = fleet_with_deals();
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
    // A call without a key has no other sending.
    assert_eq!(refused("/nowhere", "route-unknown", None), "not-run");
    assert_eq!(runs_of([&one, &two], "/deals/used"), 1);
}

#[test]
fn a_caller_with_a_slow_clock_is_told_so() {
    let (fleet, one, two) = fleet_with_deals();
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
    assert_eq!(runs_of([&one, &two], "/deals/slow"), 0);
}

#[test]
fn a_key_stays_used_when_any_daemon_fails() {
    let (mut fleet, one, two) = fleet_with_deals();
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
    fleet.await_members(3);
    for (index, key) in keys.iter().enumerate() {
        let path = format!("/deals/before-{index}");
        // The home may be gone: then the answer is a refusal, but never a second run.
        fleet.outcome(index % 3, "POST", &path, Some(key));
        assert_eq!(runs_of([&one, &two], &path), 1, "key {index}");
    }
    await_true("the ranges have homes again", || {
        (0..8).all(|_| {
            fleet
                .outcome(0, "POST", "/deals/after", Some(&Uuid::now_v7().to_string()))
                .starts_with("200")
        })
    });
}

#[test]
fn a_call_runs_elsewhere_if_a_daemon_is_silent_about_permits() {
    // Of six daemons in two failure domains, four are homes of keys.
    let fleet = Fleet::start(6, &["cairo-a", "cairo-b"], "");
    fleet.await_all("homes", |status| status.homes.len() == 4);
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
    await_true("both targets run calls", || {
        send("/deals/warm");
        one.ran_count() > 0 && two.ran_count() > 0
    });
    // Permits that homes hold have run out by then.
    std::thread::sleep(PERMIT_LIFETIME);
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
fn a_planned_stop_hands_the_keys_over() {
    let (mut fleet, one, two) = fleet_with_deals();
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
        await_true("the first answer again", || {
            fleet.outcome(index % 3, "POST", &path, Some(key)) == first[index]
        });
        assert_eq!(runs_of([&one, &two], &path), 1, "key {index}");
    }
}

#[test]
fn a_home_paused_past_its_lease_runs_nothing_late() {
    let (fleet, one, two) = fleet_with_deals();
    let keys: Vec<String> = (0..24).map(|_| Uuid::now_v7().to_string()).collect();
    fleet.daemons[2].pause();
    // The callers' proxies wait for the paused home until their deadline.
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
    await_true("the ranges have other homes", || {
        (0..8).all(|_| {
            let key = Uuid::now_v7().to_string();
            fleet
                .outcome(3, "POST", "/deals/after", Some(&key))
                .starts_with("200")
        })
    });
    fleet.daemons[2].resume();
    fleet.await_members(4);
    for (index, key) in keys.iter().enumerate() {
        let path = format!("/deals/paused-{index}");
        for proxy in 0..4 {
            fleet.outcome(proxy, "POST", &path, Some(key));
        }
        let runs = runs_of([&one, &two], &path);
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
