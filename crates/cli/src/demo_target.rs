//! A small target for the demo: answers calls and announces itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use members::{TargetAnnouncement, TargetState};
use model::{CallCount, ErrorKind, IncarnationNumber, KindError, ServiceName, TargetName};
use tiny_http::{Response, Server};

use crate::config::Result;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Step in which the heartbeat looks for the end.
const STOP_POLL: Duration = Duration::from_millis(20);

/// A target while it runs; stops and joins its threads when dropped.
pub struct DemoTarget {
    server: Arc<Server>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl DemoTarget {
    /// Starts a target of `service` beside the daemon at `operator`.
    pub fn start(target: &TargetName, service: &ServiceName, operator: SocketAddr) -> Result<Self> {
        let failed = |detail: String| KindError::new(ErrorKind::LocalFailed, detail);
        let server = Server::http("127.0.0.1:0").map_err(|error| failed(error.to_string()))?;
        let address = server.server_addr().to_ip();
        let announcement = TargetAnnouncement {
            target: target.clone(),
            service: service.clone(),
            address: address.ok_or_else(|| failed("no IP address".to_owned()))?,
            slots: CallCount(10),
            connections: CallCount(130),
            state: TargetState::Ready,
            load: 0.0,
            incarnation: IncarnationNumber(1),
        };
        announce(operator, &announcement)?;
        let server = Arc::new(server);
        let stop = Arc::new(AtomicBool::new(false));
        let name = target.clone();
        let answering = Arc::clone(&server);
        let stopping = Arc::clone(&stop);
        let threads = vec![
            thread::spawn(move || answer_calls(&answering, &name)),
            thread::spawn(move || repeat_announcement(operator, &announcement, &stopping)),
        ];
        Ok(Self {
            server,
            stop,
            threads,
        })
    }
}

impl Drop for DemoTarget {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.server.unblock();
        for thread in self.threads.drain(..) {
            drop(thread.join());
        }
    }
}

fn answer_calls(server: &Server, name: &TargetName) {
    while let Ok(request) = server.recv() {
        let text = format!("{} {} by {name}\n", request.method(), request.url());
        // A caller that left misses its answer.
        drop(request.respond(Response::from_string(text)));
    }
}

fn repeat_announcement(operator: SocketAddr, announcement: &TargetAnnouncement, stop: &AtomicBool) {
    let mut waited = Duration::ZERO;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(STOP_POLL);
        waited += STOP_POLL;
        if waited >= HEARTBEAT_INTERVAL {
            waited = Duration::ZERO;
            // The next heartbeat makes up for a lost one.
            drop(announce(operator, announcement));
        }
    }
}

fn announce(operator: SocketAddr, announcement: &TargetAnnouncement) -> Result<()> {
    let failed = |detail: String| KindError::new(ErrorKind::PeerUnavailable, detail);
    let body = serde_json::to_vec(announcement).map_err(|error| failed(error.to_string()))?;
    ureq::post(format!("http://{operator}/v1/targets"))
        .send(&body)
        .map_err(|error| failed(error.to_string()))?;
    Ok(())
}
