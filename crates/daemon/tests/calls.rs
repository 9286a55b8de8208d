//! Calls through `quetzald` processes: large bodies, deadlines, draining and restarts.

mod fleet;

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use fleet::target::TestTarget;
use fleet::{ALLOWANCES, Fleet, PLANS, wait_until};
use members::TargetState;

/// Duration of a call that outlasts the 3 s (`DRAIN_NOTICE`) for which a draining daemon waits so
/// that others learn of its drain.
const LONGER_THAN_DRAIN_NOTICE: Duration = Duration::from_millis(4200);

fn wait_for_targets(fleet: &Fleet, count: usize) {
    fleet.wait_for_all("targets", |status| {
        let targets = status.members.iter().map(|member| member.targets.len());
        targets.sum::<usize>() == count
    });
}

#[test]
fn large_bodies_arrive_whole_and_deadlines_hold() {
    let fleet = Fleet::start(3, &["cairo-a", "cairo-b"], "");
    let studio = TestTarget::start("studio-1", "studio", &fleet.daemons[0], Duration::ZERO);
    let slow = TestTarget::start(
        "catalog-1",
        "catalog",
        &fleet.daemons[1],
        Duration::from_millis(900),
    );
    fleet.publish(PLANS, ALLOWANCES);
    wait_for_targets(&fleet, 2);

    for proxy in 0..3 {
        let mut response = fleet.call(proxy, "PUT", "/studio/draft", None, vec![7; 3_000_000]);
        let text = response.body_mut().read_to_string().unwrap();
        assert_eq!(text, "PUT /studio/draft by studio-1 3000000 bytes");
    }
    assert_eq!(studio.broken_bodies.load(Ordering::SeqCst), 0);

    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let response = agent
        .get(format!(
            "http://{}/catalog/x",
            fleet.daemons[2].caller_address
        ))
        .header("quetzal-customer", "nile")
        .header("quetzal-timeout-ms", "200")
        .call()
        .unwrap();
    // The target answers only after the caller's deadline of 200 ms, so the caller gets an error.
    assert!(response.status().is_server_error());
    drop(slow);
}

#[test]
fn a_draining_target_gets_no_new_calls_and_completes_those_in_progress() {
    let fleet = Fleet::start(3, &["cairo-a", "cairo-b"], "");
    let leaving = TestTarget::start(
        "catalog-1",
        "catalog",
        &fleet.daemons[0],
        Duration::from_millis(300),
    );
    let staying = TestTarget::start("catalog-2", "catalog", &fleet.daemons[1], Duration::ZERO);
    fleet.publish(PLANS, ALLOWANCES);
    wait_for_targets(&fleet, 2);
    thread::scope(|scope| {
        let calls: Vec<_> = (0..12)
            .map(|index| {
                scope.spawn({
                    let fleet = &fleet;
                    move || fleet.outcome(index % 3, "GET", "/catalog/a", None)
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(100));
        leaving.announce_state(TargetState::Draining);
        for call in calls {
            let outcome = call.join().unwrap();
            assert!(outcome.starts_with("200"), "{outcome}");
        }
    });
    let before = leaving.ran_count();
    for index in 0..30 {
        let outcome = fleet.outcome(index % 3, "GET", "/catalog/b", None);
        assert!(outcome.ends_with("by catalog-2 0 bytes"), "{outcome}");
    }
    assert_eq!(leaving.ran_count(), before);
    drop(staying);
}

#[test]
fn a_rolling_restart_under_load_fails_no_call() {
    let mut fleet = Fleet::start(4, &["cairo-a", "cairo-b"], "");
    // The first daemon stays up as the callers' proxy. The other three are restarted in turn.
    let targets: Vec<TestTarget> = (1..4)
        .map(|index| {
            let name = format!("catalog-{index}");
            TestTarget::start(
                &name,
                "catalog",
                &fleet.daemons[index],
                Duration::from_millis(20),
            )
        })
        .collect();
    fleet.publish(PLANS, ALLOWANCES);
    wait_for_targets(&fleet, 3);
    let stop = AtomicBool::new(false);
    let answered = AtomicUsize::new(0);
    let proxy = fleet.daemons[0].caller_address;
    thread::scope(|scope| {
        let callers: Vec<_> = (0..4)
            .map(|_| scope.spawn(|| call_until(&stop, &answered, proxy)))
            .collect();
        for index in 1..4 {
            fleet.daemons[index].terminate();
            assert!(fleet.daemons[index].wait().success());
            fleet.daemons[index].start();
            wait_for_targets(&fleet, 3);
        }
        stop.store(true, Ordering::SeqCst);
        let failures: Vec<String> = callers
            .into_iter()
            .flat_map(|caller| caller.join().unwrap())
            .collect();
        assert!(
            failures.is_empty(),
            "{} of {answered:?}: {failures:?}",
            failures.len()
        );
    });
    println!(
        "{} calls answered during three restarts",
        answered.load(Ordering::SeqCst)
    );
    wait_until("every target runs calls", || {
        targets.iter().all(|target| target.ran_count() > 0)
    });
}

#[test]
fn a_planned_stop_completes_the_calls_in_progress() {
    let mut fleet = Fleet::start(3, &["cairo-a", "cairo-b"], "");
    let target = TestTarget::start("catalog-1", "catalog", &fleet.daemons[0], Duration::ZERO);
    fleet.publish(PLANS, ALLOWANCES);
    wait_for_targets(&fleet, 1);
    target.held.store(true, Ordering::SeqCst);
    let (proxy, held) = (fleet.daemons[1].caller_address, Arc::clone(&target.held));
    let outcome = thread::scope(|scope| {
        let calling = scope.spawn(move || call_and_release(&held, proxy));
        wait_until("the call runs", || target.begun.load(Ordering::SeqCst) == 1);
        // The daemon that proxies the call and the daemon beside its target stop at the same time.
        fleet.daemons[0].terminate();
        fleet.daemons[1].terminate();
        thread::sleep(LONGER_THAN_DRAIN_NOTICE);
        target.held.store(false, Ordering::SeqCst);
        calling.join().unwrap()
    });
    assert_eq!(outcome, "GET /catalog/kept by catalog-1 0 bytes");
    assert!(fleet.daemons[0].wait().success());
    assert!(fleet.daemons[1].wait().success());
}

/// Sends one call and returns its text or error; unblocks the target when the call ends.
fn call_and_release(held: &AtomicBool, proxy: SocketAddr) -> String {
    let called = ureq::get(format!("http://{proxy}/catalog/kept"))
        .header("quetzal-customer", "nile")
        .call();
    let text = called.and_then(|mut response| response.body_mut().read_to_string());
    held.store(false, Ordering::SeqCst);
    text.unwrap_or_else(|error| error.to_string())
}

#[test]
fn a_planned_stop_does_not_wait_for_callers_that_left() {
    let mut fleet = Fleet::start(2, &["cairo-a", "cairo-b"], "");
    let target = TestTarget::start("catalog-1", "catalog", &fleet.daemons[0], Duration::ZERO);
    fleet.publish(PLANS, ALLOWANCES);
    wait_for_targets(&fleet, 1);
    target.held.store(true, Ordering::SeqCst);
    let request = b"GET /catalog/left HTTP/1.1\r\nhost: a\r\nquetzal-customer: nile\r\n\r\n";
    let mut caller = TcpStream::connect(fleet.daemons[1].caller_address).unwrap();
    caller.write_all(request).unwrap();
    wait_until("the call runs", || target.begun.load(Ordering::SeqCst) == 1);
    drop(caller);
    target.held.store(false, Ordering::SeqCst);
    fleet.daemons[1].terminate();
    // A stop that has to abort calls exits with a nonzero code.
    assert!(fleet.daemons[1].wait().success());
}

fn call_until(stop: &AtomicBool, answered: &AtomicUsize, proxy: SocketAddr) -> Vec<String> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let mut failures = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let called = agent
            .get(format!("http://{proxy}/catalog/x"))
            .header("quetzal-customer", "nile")
            .call();
        match called {
            Ok(response) if response.status().as_u16() == 200 => {
                answered.fetch_add(1, Ordering::SeqCst);
            }
            Ok(mut response) => {
                failures.push(response.body_mut().read_to_string().unwrap_or_default());
            }
            Err(error) => failures.push(error.to_string()),
        }
        thread::sleep(Duration::from_millis(5));
    }
    failures
}
