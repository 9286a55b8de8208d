//! A small target for the demo: answers calls and announces itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use feed::stub_server::{StubRequest, StubResponse, StubServer};
use members::{TargetAnnouncement, TargetState};
use model::{CallCount, ErrorKind, IncarnationNumber, KindError, ServiceName, TargetName};

use crate::config::Result;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Largest body of a call.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Step in which the heartbeat looks for the end.
const STOP_POLL: Duration = Duration::from_millis(20);

/// A target while it runs; stops and joins its threads when dropped.
pub struct DemoTarget {
    _server: StubServer,
    stop: Arc<AtomicBool>,
    heartbeat: Option<JoinHandle<()>>,
}

impl DemoTarget {
    /// Starts a target of `service` beside the daemon at `operator`.
    pub fn start(target: &TargetName, service: &ServiceName, operator: SocketAddr) -> Result<Self> {
        let name = target.clone();
        let answer = move |request: StubRequest| answer_call(&name, &request);
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = StubServer::start(any_port, MAX_BODY_BYTES, Arc::new(answer))?;
        let announcement = TargetAnnouncement {
            target: target.clone(),
            service: service.clone(),
            address: server.address(),
            slots: CallCount(10),
            connections: CallCount(130),
            state: TargetState::Ready,
            load: 0.0,
            incarnation: IncarnationNumber(1),
        };
        announce(operator, &announcement)?;
        let stop = Arc::new(AtomicBool::new(false));
        let stopping = Arc::clone(&stop);
        let heartbeat =
            thread::spawn(move || repeat_announcement(operator, &announcement, &stopping));
        Ok(Self {
            _server: server,
            stop,
            heartbeat: Some(heartbeat),
        })
    }
}

impl Drop for DemoTarget {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(heartbeat) = self.heartbeat.take() {
            drop(heartbeat.join());
        }
    }
}

fn answer_call(name: &TargetName, request: &StubRequest) -> StubResponse {
    StubResponse {
        status: 200,
        body: format!("{} {} by {name}\n", request.method, request.path).into_bytes(),
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
