//! A minimal target for the demo that announces itself to a daemon and answers calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use feed::stub_server::{StubRequest, StubResponse, StubServer};
use members::{TargetAnnouncement, TargetState};
use model::{CallCount, ErrorKind, IncarnationNumber, KindError, ServiceName, TargetName};

use crate::config::Result;

/// Time between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Interval at which the heartbeat thread checks the stop flag.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running target; dropping it stops and joins its threads.
pub struct DemoTarget {
    _server: StubServer,
    stop: Arc<AtomicBool>,
    heartbeat: Option<JoinHandle<()>>,
}

impl DemoTarget {
    /// Starts a target of `service` that announces itself to the daemon at `operator`.
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
        let stop_flag = Arc::clone(&stop);
        let heartbeat = thread::spawn(move || send_heartbeats(operator, &announcement, &stop_flag));
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

fn send_heartbeats(operator: SocketAddr, announcement: &TargetAnnouncement, stop: &AtomicBool) {
    let mut since_last = Duration::ZERO;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(STOP_POLL_INTERVAL);
        since_last += STOP_POLL_INTERVAL;
        if since_last >= HEARTBEAT_INTERVAL {
            since_last = Duration::ZERO;
            // The next heartbeat makes up for a failed one.
            drop(announce(operator, announcement));
        }
    }
}

fn announce(operator: SocketAddr, announcement: &TargetAnnouncement) -> Result<()> {
    let unavailable = |detail: String| KindError::new(ErrorKind::PeerUnavailable, detail);
    let body = serde_json::to_vec(announcement).map_err(|error| unavailable(error.to_string()))?;
    ureq::post(format!("http://{operator}/v1/targets"))
        .send(&body)
        .map_err(|error| unavailable(error.to_string()))?;
    Ok(())
}
