//! A request that crashes each target that runs it, on real daemons.

mod fleet;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use feed::stub_server::{StubRequest, StubResponse, StubServer};
use fleet::{ALLOWANCES, DaemonProcess, Fleet, PLANS, await_true};
use members::{TargetAnnouncement, TargetState};
use model::{CallCount, IncarnationNumber};
use uuid::Uuid;

/// A target that ends when it runs a poison request.
struct FragileTarget {
    process: Arc<FragileProcess>,
}

struct FragileProcess {
    name: String,
    service: &'static str,
    operators: SocketAddr,
    /// Whether a supervisor starts it again at once.
    supervised: bool,
    server: Mutex<Option<StubServer>>,
    run: AtomicU64,
    crashes: AtomicUsize,
    stopped: AtomicBool,
}

impl FragileTarget {
    fn start(name: &str, service: &'static str, daemon: &DaemonProcess, supervised: bool) -> Self {
        let process = Arc::new(FragileProcess {
            name: name.to_owned(),
            service,
            operators: daemon.operators,
            supervised,
            server: Mutex::default(),
            run: AtomicU64::new(1),
            crashes: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
        });
        process.open(SocketAddr::from(([127, 0, 0, 1], 0)));
        let beating = Arc::clone(&process);
        thread::spawn(move || {
            while !beating.stopped.load(Ordering::SeqCst) {
                beating.announce();
                thread::sleep(Duration::from_millis(500));
            }
        });
        Self { process }
    }

    fn crashes(&self) -> usize {
        self.process.crashes.load(Ordering::SeqCst)
    }
}

impl FragileProcess {
    fn open(self: &Arc<Self>, address: SocketAddr) {
        let process = Arc::clone(self);
        let answer = move |request: StubRequest| process.answer(&request);
        let started = StubServer::start(address, 1 << 20, Arc::new(answer)).unwrap();
        *self.server.lock().unwrap() = Some(started);
    }

    fn answer(self: &Arc<Self>, request: &StubRequest) -> StubResponse {
        if request.path.contains("poison") {
            if let Some(dying) = self.server.lock().unwrap().take() {
                self.crashes.fetch_add(1, Ordering::SeqCst);
                let process = Arc::clone(self);
                thread::spawn(move || process.crash(dying));
            }
            thread::sleep(Duration::from_secs(1));
        }
        StubResponse {
            status: 200,
            body: b"well".to_vec(),
        }
    }

    fn crash(self: &Arc<Self>, dying: StubServer) {
        let address = dying.address();
        if !self.supervised {
            self.stopped.store(true, Ordering::SeqCst);
        }
        drop(dying);
        if self.supervised {
            self.run.fetch_add(1, Ordering::SeqCst);
            self.open(address);
            self.announce();
        }
    }

    fn announce(&self) {
        let Some(address) = self
            .server
            .lock()
            .unwrap()
            .as_ref()
            .map(StubServer::address)
        else {
            return;
        };
        let announcement = TargetAnnouncement {
            target: self.name.parse().unwrap(),
            service: self.service.parse().unwrap(),
            address,
            slots: CallCount(10),
            connections: CallCount(100),
            state: TargetState::Ready,
            load: 0.0,
            incarnation: IncarnationNumber(self.run.load(Ordering::SeqCst)),
        };
        let body = serde_json::to_vec(&announcement).unwrap();
        drop(ureq::post(format!("http://{}/v1/targets", self.operators)).send(&body));
    }
}

impl Drop for FragileTarget {
    fn drop(&mut self) {
        self.process.stopped.store(true, Ordering::SeqCst);
        drop(self.process.server.lock().unwrap().take());
    }
}

/// A target of `service` beside each of the first `count` daemons, known everywhere.
fn start_targets(
    fleet: &Fleet,
    service: &'static str,
    count: usize,
    supervised: bool,
) -> Vec<FragileTarget> {
    let start = |index: usize| {
        let name = format!("{service}-{index}");
        FragileTarget::start(&name, service, &fleet.daemons[index], supervised)
    };
    let targets = (0..count).map(start).collect();
    fleet.publish(PLANS, ALLOWANCES);
    fleet.await_all("targets", |status| {
        let targets = status.members.iter().map(|member| member.targets.len());
        targets.sum::<usize>() == count
    });
    targets
}

fn crashes(targets: &[FragileTarget]) -> usize {
    targets.iter().map(FragileTarget::crashes).sum()
}

#[test]
fn a_poison_request_crashes_two_targets_at_most() {
    let fleet = Fleet::start(4, &["cairo-a", "cairo-b"], "");
    let targets = start_targets(&fleet, "catalog", 4, false);
    await_true("the request is stopped", || {
        (0..4).all(|proxy| fleet.outcome(proxy, "GET", "/catalog/poison", None) == "poison-request")
    });
    assert_eq!(crashes(&targets), 2);
    await_true("others go on", || {
        (0..4).all(|proxy| fleet.outcome(proxy, "GET", "/catalog/sound", None) == "200 well")
    });
    assert_eq!(crashes(&targets), 2);
}

#[test]
fn a_poison_request_with_fresh_keys_crashes_two_targets_at_most() {
    let fleet = Fleet::start(4, &["cairo-a", "cairo-b"], "");
    let targets = start_targets(&fleet, "deals", 4, false);
    let send = |proxy: usize, path: &str| {
        let key = Uuid::now_v7().to_string();
        fleet.outcome(proxy, "POST", path, Some(&key))
    };
    await_true("keys have homes", || {
        (0..4).all(|proxy| send(proxy, "/deals/sound") == "200 well")
    });
    await_true("the request is stopped", || {
        (0..4).all(|proxy| send(proxy, "/deals/poison") == "poison-request")
    });
    assert_eq!(crashes(&targets), 2);
}

#[test]
fn supervised_targets_crash_twice_at_most_in_all() {
    let fleet = Fleet::start(4, &["cairo-a", "cairo-b"], "");
    let targets = start_targets(&fleet, "catalog", 4, true);
    await_true("the request is stopped", || {
        (0..4).all(|proxy| fleet.outcome(proxy, "GET", "/catalog/poison", None) == "poison-request")
    });
    assert_eq!(crashes(&targets), 2);
}

#[test]
fn only_daemons_beside_the_service_are_told_of_a_crash() {
    let fleet = Fleet::start(6, &["cairo-a", "cairo-b"], "");
    let targets = start_targets(&fleet, "catalog", 3, false);
    await_true("the request is stopped", || {
        fleet.outcome(5, "GET", "/catalog/poison", None) == "poison-request"
    });
    assert_eq!(crashes(&targets), 2);
    let reports = (0..6).map(|index| {
        let counters = fleet.status(index).unwrap().counters;
        counters.get("poison-reports").copied().unwrap_or_default()
    });
    // Two crashes, each told to the daemons beside the two other targets.
    assert_eq!(reports.sum::<u64>(), 4);
}
