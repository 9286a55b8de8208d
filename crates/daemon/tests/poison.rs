//! A poison request, which crashes every target that runs it, is stopped by `quetzald` processes
//! after two crashes.

mod fleet;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use feed::stub_server::{StubRequest, StubResponse, StubServer};
use fleet::{ALLOWANCES, DaemonProcess, Fleet, PLANS, wait_until};
use members::{TargetAnnouncement, TargetState};
use model::{CallCount, IncarnationNumber};
use uuid::Uuid;

/// A target that crashes when it runs a poison request.
struct CrashingTarget {
    process: Arc<CrashingProcess>,
}

struct CrashingProcess {
    name: String,
    service: &'static str,
    operator_address: SocketAddr,
    /// Whether the target restarts immediately after a crash.
    supervised: bool,
    server: Mutex<Option<StubServer>>,
    /// Number of the current run, which increases with each restart.
    incarnation: AtomicU64,
    crashes: AtomicUsize,
    stopped: AtomicBool,
}

impl CrashingTarget {
    fn start(name: &str, service: &'static str, daemon: &DaemonProcess, supervised: bool) -> Self {
        let process = Arc::new(CrashingProcess {
            name: name.to_owned(),
            service,
            operator_address: daemon.operator_address,
            supervised,
            server: Mutex::default(),
            incarnation: AtomicU64::new(1),
            crashes: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
        });
        process.open(SocketAddr::from(([127, 0, 0, 1], 0)));
        let announcing = Arc::clone(&process);
        thread::spawn(move || {
            while !announcing.stopped.load(Ordering::SeqCst) {
                announcing.announce();
                thread::sleep(Duration::from_millis(500));
            }
        });
        Self { process }
    }

    fn crashes(&self) -> usize {
        self.process.crashes.load(Ordering::SeqCst)
    }
}

impl CrashingProcess {
    fn open(self: &Arc<Self>, address: SocketAddr) {
        let process = Arc::clone(self);
        let answer = move |request: StubRequest| process.answer(&request);
        let started = StubServer::start(address, 1 << 20, Arc::new(answer)).unwrap();
        *self.server.lock().unwrap() = Some(started);
    }

    fn answer(self: &Arc<Self>, request: &StubRequest) -> StubResponse {
        if request.path.contains("poison") {
            if let Some(server) = self.server.lock().unwrap().take() {
                self.crashes.fetch_add(1, Ordering::SeqCst);
                let process = Arc::clone(self);
                thread::spawn(move || process.crash(server));
            }
            // The crash closes the connection before an answer is sent.
            thread::sleep(Duration::from_secs(1));
        }
        StubResponse {
            status: 200,
            body: b"well".to_vec(),
        }
    }

    fn crash(self: &Arc<Self>, server: StubServer) {
        let address = server.address();
        if !self.supervised {
            self.stopped.store(true, Ordering::SeqCst);
        }
        drop(server);
        if self.supervised {
            self.incarnation.fetch_add(1, Ordering::SeqCst);
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
            incarnation: IncarnationNumber(self.incarnation.load(Ordering::SeqCst)),
        };
        let body = serde_json::to_vec(&announcement).unwrap();
        drop(ureq::post(format!("http://{}/v1/targets", self.operator_address)).send(&body));
    }
}

impl Drop for CrashingTarget {
    fn drop(&mut self) {
        self.process.stopped.store(true, Ordering::SeqCst);
        drop(self.process.server.lock().unwrap().take());
    }
}

/// Starts a target of `service` beside each of the first `count` daemons and waits until every
/// daemon knows them.
fn start_targets(
    fleet: &Fleet,
    service: &'static str,
    count: usize,
    supervised: bool,
) -> Vec<CrashingTarget> {
    let start = |index: usize| {
        let name = format!("{service}-{index}");
        CrashingTarget::start(&name, service, &fleet.daemons[index], supervised)
    };
    let targets = (0..count).map(start).collect();
    fleet.publish(PLANS, ALLOWANCES);
    fleet.wait_for_all("targets", |status| {
        let targets = status.members.iter().map(|member| member.targets.len());
        targets.sum::<usize>() == count
    });
    targets
}

fn crashes(targets: &[CrashingTarget]) -> usize {
    targets.iter().map(CrashingTarget::crashes).sum()
}

#[test]
fn a_poison_request_crashes_two_targets_at_most() {
    let fleet = Fleet::start(4, &["cairo-a", "cairo-b"], "");
    let targets = start_targets(&fleet, "catalog", 4, false);
    wait_until("the request is stopped", || {
        (0..4).all(|proxy| fleet.outcome(proxy, "GET", "/catalog/poison", None) == "poison-request")
    });
    assert_eq!(crashes(&targets), 2);
    wait_until("other requests are answered", || {
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
    wait_until("keys have homes", || {
        (0..4).all(|proxy| send(proxy, "/deals/sound") == "200 well")
    });
    wait_until("the request is stopped", || {
        (0..4).all(|proxy| send(proxy, "/deals/poison") == "poison-request")
    });
    assert_eq!(crashes(&targets), 2);
}

#[test]
fn supervised_targets_crash_twice_at_most_in_total() {
    let fleet = Fleet::start(4, &["cairo-a", "cairo-b"], "");
    let targets = start_targets(&fleet, "catalog", 4, true);
    wait_until("the request is stopped", || {
        (0..4).all(|proxy| fleet.outcome(proxy, "GET", "/catalog/poison", None) == "poison-request")
    });
    assert_eq!(crashes(&targets), 2);
}

#[test]
fn crashes_are_reported_only_to_daemons_beside_the_service() {
    let fleet = Fleet::start(6, &["cairo-a", "cairo-b"], "");
    let targets = start_targets(&fleet, "catalog", 3, false);
    wait_until("the request is stopped", || {
        fleet.outcome(5, "GET", "/catalog/poison", None) == "poison-request"
    });
    assert_eq!(crashes(&targets), 2);
    let reports = (0..6).map(|index| {
        let counters = fleet.status(index).unwrap().counters;
        counters.get("poison-reports").copied().unwrap_or_default()
    });
    // Two crashes, each reported to the daemons beside the two other targets.
    assert_eq!(reports.sum::<u64>(), 4);
}
