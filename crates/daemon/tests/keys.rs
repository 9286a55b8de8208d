//! Keyed calls through real daemons: repeats, refusals, lost homes and targets.

mod fleet;

use std::time::Duration;

use fleet::target::TestTarget;
use fleet::{ALLOWANCES, Fleet, PLANS, await_true};
use uuid::Uuid;

fn fleet_with_deals() -> (Fleet, TestTarget, TestTarget) {
    let fleet = Fleet::start(4, &["cairo-a", "cairo-b"], "");
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
fn a_refusal_without_the_home_does_not_say_that_a_used_key_never_ran() {
    let (fleet, one, two) = fleet_with_deals();
    let key = Uuid::now_v7().to_string();
    let answer = fleet.outcome(0, "POST", "/deals/once", Some(&key));
    assert!(answer.starts_with("200"), "{answer}");
    let forbidding = ALLOWANCES.replace(r#"["GET", "POST"]"#, r#"["GET"]"#);
    fleet.publish(PLANS, &forbidding);
    let refused = fleet.call(1, "POST", "/deals/once", Some(&key), Vec::new());
    assert_eq!(refused.headers()["quetzal-error"], "plan-forbids");
    assert_eq!(refused.headers()["quetzal-run"], "sending-not-run");
    assert!(!refused.headers().contains_key("quetzal-not-run"));
    assert_eq!(runs_of([&one, &two], "/deals/once"), 1);
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
