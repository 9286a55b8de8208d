//! Calls through a chain of twelve services, each proxied by `quetzald` processes: deadlines,
//! depth, aborts and retries across the whole chain.

mod fleet;

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use fleet::chain::{DaemonAddresses, ServiceChain, chain_allowances, service_name};
use fleet::{Fleet, PLANS, wait_until};
use tokio::runtime::Runtime;

/// Number of services in the chain.
const CHAIN_LENGTH: usize = 12;
/// Number of daemons; each has several targets beside it.
const DAEMON_COUNT: usize = 4;
/// Time in ms by which each proxy shortens the deadline that it passes on; `HOP_MARGIN` of the
/// `route` crate.
const HOP_MARGIN_MS: u64 = 2;
/// Maximum number of attempts of one call at the last service: the first one and one retry.
const MAX_ATTEMPTS: usize = 2;
/// Time within which a target records a request that was already sent.
const ARRIVAL_DELAY: Duration = Duration::from_millis(200);
/// Time to wait before concluding that no further request arrives.
const QUIET_TIME: Duration = Duration::from_millis(500);

struct ChainFleet {
    chain: ServiceChain,
    fleet: Fleet,
    agent: ureq::Agent,
    _runtime: Runtime,
}

struct ChainAnswer {
    status: u16,
    error: Option<String>,
    text: String,
}

impl ChainFleet {
    fn start() -> Self {
        let fleet = Fleet::start(DAEMON_COUNT, &["cairo-a", "cairo-b"], "");
        let runtime = Runtime::new().unwrap();
        let daemons: Vec<DaemonAddresses> = fleet
            .daemons
            .iter()
            .map(|daemon| DaemonAddresses {
                caller_address: daemon.caller_address,
                operator_address: daemon.operator_address,
            })
            .collect();
        let chain = ServiceChain::start(runtime.handle(), CHAIN_LENGTH, &daemons, DAEMON_COUNT);
        fleet.publish(PLANS, &chain_allowances(CHAIN_LENGTH, 20_000));
        fleet.wait_for_all("targets", |status| {
            let targets = status.members.iter().map(|member| member.targets.len());
            targets.sum::<usize>() == chain.targets.len()
        });
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build();
        Self {
            chain,
            fleet,
            agent: agent.into(),
            _runtime: runtime,
        }
    }

    /// Calls the first service through a daemon that is not beside its target.
    fn call(&self, timeout_ms: u64) -> ChainAnswer {
        let url = format!(
            "http://{}/{}",
            self.fleet.daemons[0].caller_address,
            service_name(1)
        );
        let mut response = self
            .agent
            .get(url)
            .header("quetzal-customer", "nile")
            .header("quetzal-timeout-ms", timeout_ms.to_string())
            .call()
            .unwrap();
        let error = response.headers().get("quetzal-error");
        ChainAnswer {
            status: response.status().as_u16(),
            error: error.map(|kind| kind.to_str().unwrap().to_owned()),
            text: response.body_mut().read_to_string().unwrap(),
        }
    }

    fn arrival_counts(&self) -> BTreeMap<usize, usize> {
        let count = |number| (number, self.chain.arrivals(number).len());
        (1..=CHAIN_LENGTH).map(count).collect()
    }
}

#[test]
fn the_answer_is_complete_and_deadline_and_depth_are_passed_on() {
    let fleet = ChainFleet::start();
    let whole: Vec<String> = (1..=CHAIN_LENGTH).map(service_name).collect();
    for _ in 0..20 {
        let answer = fleet.call(10_000);
        assert_eq!((answer.status, &answer.error), (200, &None));
        assert_eq!(answer.text, whole.join(" "));
    }
    for index in 0..20 {
        let mut remaining = 10_000;
        for number in 1..=CHAIN_LENGTH {
            let arrival = fleet.chain.arrivals(number);
            if number < CHAIN_LENGTH {
                let arrival = arrival[index];
                assert_eq!(arrival.depth, number as u64);
                assert!(!arrival.repeated);
                assert!(arrival.remaining_ms + HOP_MARGIN_MS <= remaining);
                remaining = arrival.remaining_ms;
            } else {
                // The calls of the last service are spread over several targets.
                assert_eq!(arrival.len(), 20);
                assert!(
                    arrival
                        .iter()
                        .all(|arrival| arrival.depth == CHAIN_LENGTH as u64)
                );
                assert!(arrival.iter().all(|arrival| arrival.remaining_ms > 0));
            }
        }
    }
}

#[test]
fn a_chain_past_its_deadline_returns_one_error_and_starts_no_more_calls() {
    let fleet = ChainFleet::start();
    assert_eq!(fleet.call(10_000).status, 200);
    fleet.chain.clear();
    fleet.chain.behavior.work_ms.store(60, Ordering::SeqCst);
    let started = Instant::now();
    let answer = fleet.call(300);
    println!(
        "{} {:?} {} after {:?}",
        answer.status,
        answer.error,
        answer.text,
        started.elapsed()
    );
    // At the deadline the caller gets either the called daemon's own error or the first target's
    // answer with the error of the next service. Both name the deadline.
    let carried = answer.status == 502 && answer.text.contains("deadline");
    assert!(answer.error.is_some() || carried, "{}", answer.text);
    assert!((500..600).contains(&answer.status));
    // Requests sent just before the deadline may still be arriving.
    thread::sleep(ARRIVAL_DELAY);
    let at_answer = fleet.arrival_counts();
    println!("{at_answer:?}");
    thread::sleep(QUIET_TIME);
    assert_eq!(
        fleet.arrival_counts(),
        at_answer,
        "a call started after the deadline"
    );
    // With 60 ms of work at each service, 300 ms leave no time for a sixth one.
    for number in 1..=CHAIN_LENGTH {
        let arrivals = fleet.chain.arrivals(number);
        assert!(arrivals.len() <= 1, "{number}: {arrivals:?}");
        assert!(number <= 5 || arrivals.is_empty(), "{number}: {arrivals:?}");
        assert!(arrivals.iter().all(|arrival| arrival.remaining_ms > 0));
    }
}

#[test]
fn an_abort_by_the_caller_reaches_the_last_target() {
    let fleet = ChainFleet::start();
    assert_eq!(fleet.call(10_000).status, 200);
    fleet.chain.clear();
    fleet.chain.behavior.hold_last.store(true, Ordering::SeqCst);
    let request = format!(
        "GET /{} HTTP/1.1\r\nhost: a\r\nquetzal-customer: nile\r\n\r\n",
        service_name(1)
    );
    let mut caller = std::net::TcpStream::connect(fleet.fleet.daemons[0].caller_address).unwrap();
    std::io::Write::write_all(&mut caller, request.as_bytes()).unwrap();
    wait_until("the call at the last target", || {
        fleet.chain.arrivals(CHAIN_LENGTH).len() == 1
    });
    assert_eq!(fleet.chain.aborted(CHAIN_LENGTH), 0);
    drop(caller);
    wait_until("the abort at the last target", || {
        fleet.chain.aborted(CHAIN_LENGTH) == 1
    });
    wait_until("the abort at every target", || {
        (1..=CHAIN_LENGTH).all(|number| fleet.chain.aborted(number) == 1)
    });
    thread::sleep(QUIET_TIME);
    // An aborted call is not retried.
    assert!(fleet.arrival_counts().values().all(|count| *count == 1));
}

#[test]
fn a_failing_last_service_causes_few_attempts() {
    let fleet = ChainFleet::start();
    assert_eq!(fleet.call(10_000).status, 200);
    fleet.chain.clear();
    fleet
        .chain
        .behavior
        .break_last
        .store(true, Ordering::SeqCst);
    let answer = fleet.call(10_000);
    println!("{} {:?} {}", answer.status, answer.error, answer.text);
    println!("{:?}", fleet.arrival_counts());
    assert!((500..600).contains(&answer.status));
    // Every other target answered with an error, so only the last proxy retries.
    let attempts = fleet.chain.arrivals(CHAIN_LENGTH);
    assert!((1..=MAX_ATTEMPTS).contains(&attempts.len()), "{attempts:?}");
    assert!((1..CHAIN_LENGTH).all(|number| fleet.chain.arrivals(number).len() == 1));
    // Only the first attempt of a call lacks the retry mark.
    let unmarked = attempts.iter().filter(|arrival| !arrival.repeated);
    assert_eq!(unmarked.count(), 1);
}

#[test]
fn broken_connections_at_every_service_cause_at_most_one_retry_each() {
    let fleet = ChainFleet::start();
    assert_eq!(fleet.call(10_000).status, 200);
    fleet.chain.clear();
    fleet
        .chain
        .behavior
        .break_last
        .store(true, Ordering::SeqCst);
    fleet
        .chain
        .behavior
        .break_on_failure
        .store(true, Ordering::SeqCst);
    let answer = fleet.call(10_000);
    println!("{} {:?} {}", answer.status, answer.error, answer.text);
    println!("{:?}", fleet.arrival_counts());
    // The retries can last until the deadline. Then the caller gets either the called daemon's own
    // error or the first target's answer with the error of the next service; both name the deadline.
    let carried = answer.status == 502 && answer.text.contains("deadline");
    assert!(answer.error.is_some() || carried, "{}", answer.text);
    assert!((500..600).contains(&answer.status));
    // Calls made by a retried attempt are not retried, so each service causes at most one further
    // call of the last service instead of doubling the number of its calls.
    let attempts = fleet.chain.arrivals(CHAIN_LENGTH).len();
    assert!((1..=CHAIN_LENGTH + 1).contains(&attempts), "{attempts}");
}
