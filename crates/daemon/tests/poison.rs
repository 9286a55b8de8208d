//! A request that crashes each target that runs it, on real daemons.

mod fleet;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use feed::stand_in::{StandInAnswer, StandInRequest, StandInServer};
use fleet::{ALLOWANCES, DaemonProcess, Fleet, PLANS, await_true};
use members::{TargetAnnouncement, TargetState};
use model::{CallCount, IncarnationNumber};

/// A target that ends when it runs a poison request.
struct FragileTarget {
    server: Arc<Mutex<Option<StandInServer>>>,
    crashed: Arc<AtomicBool>,
}

impl FragileTarget {
    fn start(name: &str, daemon: &DaemonProcess) -> Self {
        let server: Arc<Mutex<Option<StandInServer>>> = Arc::default();
        let crashed = Arc::new(AtomicBool::new(false));
        let (slot, flag) = (Arc::clone(&server), Arc::clone(&crashed));
        let answer = move |request: StandInRequest| {
            if request.path.contains("poison") {
                flag.store(true, Ordering::SeqCst);
                let dying = slot.lock().unwrap().take();
                thread::spawn(move || drop(dying));
                thread::sleep(Duration::from_secs(1));
            }
            StandInAnswer {
                status: 200,
                body: b"well".to_vec(),
            }
        };
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let started = StandInServer::start(any_port, 1 << 20, Arc::new(answer)).unwrap();
        let announcement = TargetAnnouncement {
            target: name.parse().unwrap(),
            service: "catalog".parse().unwrap(),
            address: started.address(),
            slots: CallCount(10),
            connections: CallCount(100),
            state: TargetState::Ready,
            load: 0.0,
            incarnation: IncarnationNumber(1),
        };
        *server.lock().unwrap() = Some(started);
        let body = serde_json::to_vec(&announcement).unwrap();
        let url = format!("http://{}/v1/targets", daemon.operators);
        let (stopped, beats) = (Arc::clone(&crashed), body);
        thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                drop(ureq::post(&url).send(&beats));
                thread::sleep(Duration::from_millis(500));
            }
        });
        Self { server, crashed }
    }
}

impl Drop for FragileTarget {
    fn drop(&mut self) {
        self.crashed.store(true, Ordering::SeqCst);
        drop(self.server.lock().unwrap().take());
    }
}

#[test]
fn a_poison_request_crashes_two_targets_at_most() {
    let fleet = Fleet::start(4, &["cairo-a", "cairo-b"], "");
    let targets: Vec<FragileTarget> = (0..4)
        .map(|index| FragileTarget::start(&format!("catalog-{index}"), &fleet.daemons[index]))
        .collect();
    fleet.publish(PLANS, ALLOWANCES);
    fleet.await_all("targets", |status| {
        let targets = status.members.iter().map(|member| member.targets.len());
        targets.sum::<usize>() == 4
    });
    await_true("the request is stopped", || {
        (0..4).all(|proxy| fleet.outcome(proxy, "GET", "/catalog/poison", None) == "poison-request")
    });
    let crashed = targets
        .iter()
        .filter(|target| target.crashed.load(Ordering::SeqCst));
    assert_eq!(crashed.count(), 2);
    await_true("others go on", || {
        (0..4).all(|proxy| fleet.outcome(proxy, "GET", "/catalog/sound", None) == "200 well")
    });
}
