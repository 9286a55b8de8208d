//! Targets that run in the test process.

#![allow(dead_code, reason = "each test file uses some of it")]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use feed::stub_server::{StubRequest, StubResponse, StubServer};
use members::{TargetAnnouncement, TargetState};
use model::{CallCount, IncarnationNumber};

use super::DaemonProcess;

/// Maximum size of a call's body.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Number of calls that a target runs at the same time.
const MAX_CONCURRENT_CALLS: usize = 10;

/// A target that records the calls that it runs.
pub struct TestTarget {
    pub name: String,
    /// `METHOD path` of each call that ran.
    pub ran: Arc<Mutex<Vec<String>>>,
    /// Number of calls whose body was incomplete.
    pub broken_bodies: Arc<AtomicUsize>,
    /// While set, calls that have started do not end.
    pub held: Arc<AtomicBool>,
    /// Number of calls that have started.
    pub begun: Arc<AtomicUsize>,
    operator: SocketAddr,
    announcement: TargetAnnouncement,
    server: Option<StubServer>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl TestTarget {
    /// Starts a target of `service` beside `daemon` that takes `delay` for each call.
    pub fn start(name: &str, service: &str, daemon: &DaemonProcess, delay: Duration) -> Self {
        let ran = Arc::new(Mutex::new(Vec::new()));
        let broken_bodies = Arc::new(AtomicUsize::new(0));
        let held = Arc::new(AtomicBool::new(false));
        let begun = Arc::new(AtomicUsize::new(0));
        let recorders = (
            name.to_owned(),
            Arc::clone(&ran),
            Arc::clone(&broken_bodies),
        );
        let (holding, counted) = (Arc::clone(&held), Arc::clone(&begun));
        let answer = move |request: StubRequest| {
            let (name, ran, broken_bodies) = &recorders;
            let wait = || {
                counted.fetch_add(1, Ordering::SeqCst);
                thread::sleep(delay);
                while holding.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(10));
                }
            };
            answer_call(name, ran, broken_bodies, wait, &request)
        };
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = StubServer::start(any_port, MAX_BODY_BYTES, Arc::new(answer)).unwrap();
        let announcement = TargetAnnouncement {
            target: name.parse().unwrap(),
            service: service.parse().unwrap(),
            address: server.address(),
            slots: CallCount(MAX_CONCURRENT_CALLS as u32),
            connections: CallCount(100),
            state: TargetState::Ready,
            load: 0.0,
            incarnation: IncarnationNumber(1),
        };
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        let operator = daemon.operator_address;
        announce(operator, &announcement);
        let (periodic, stopping) = (announcement.clone(), Arc::clone(&stop));
        threads.push(thread::spawn(move || {
            let mut ticks = 0;
            while !stopping.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
                ticks += 1;
                if ticks % 40 == 0 {
                    announce(operator, &periodic);
                }
            }
        }));
        Self {
            name: name.to_owned(),
            ran,
            broken_bodies,
            held,
            begun,
            operator,
            announcement,
            server: Some(server),
            stop,
            threads,
        }
    }

    pub fn ran_count(&self) -> usize {
        self.ran.lock().unwrap().len()
    }

    /// Stops the target immediately, like a process that crashes.
    pub fn crash(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        drop(self.server.take());
    }

    /// Returns this target's announcement under the name `catalog-{index}`.
    pub fn announcement_as(&self, index: usize) -> TargetAnnouncement {
        let mut announcement = self.announcement.clone();
        announcement.target = format!("catalog-{index}").parse().unwrap();
        announcement
    }

    /// Announces another state and stops the periodic announcements.
    pub fn announce_state(&self, state: TargetState) {
        self.stop.store(true, Ordering::SeqCst);
        let mut announcement = self.announcement.clone();
        announcement.state = state;
        announce(self.operator, &announcement);
    }
}

impl Drop for TestTarget {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.held.store(false, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            thread.join().unwrap();
        }
    }
}

fn answer_call(
    name: &str,
    ran: &Mutex<Vec<String>>,
    broken_bodies: &AtomicUsize,
    wait: impl Fn(),
    request: &StubRequest,
) -> StubResponse {
    let Ok(body) = &request.body else {
        broken_bodies.fetch_add(1, Ordering::SeqCst);
        return StubResponse {
            status: 400,
            body: Vec::new(),
        };
    };
    wait();
    let line = format!("{} {}", request.method, request.path);
    ran.lock().unwrap().push(line.clone());
    let text = format!("{line} by {name} {} bytes", body.len());
    StubResponse {
        status: 200,
        body: text.into_bytes(),
    }
}

/// Sends one announcement. Errors are ignored: a daemon that is down just misses it.
pub fn announce(operator: SocketAddr, announcement: &TargetAnnouncement) {
    let body = serde_json::to_vec(announcement).unwrap();
    drop(ureq::post(format!("http://{operator}/v1/targets")).send(&body));
}
