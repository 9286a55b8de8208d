//! Steady traffic of the requesters on one machine, and the check of rule LOST on it.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::platform::Deployment;
use crate::record::Record;
use crate::requester::{Ending, Order, Requester, Sent};

/// Host of all routes.
pub const HOST: &str = "kiosk.example";
/// Services of the deployment.
pub const SERVICES: [&str; 2] = ["gallery", "printdesk"];
/// Largest number of requests that rule LOST lets pass.
pub const LOST_ALLOWED: usize = 3;
/// Pause of a requester between two requests.
const PAUSE: Duration = Duration::from_millis(20);
/// Pause after a request that was not answered with success.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Returns a configuration with the routes of the deployment.
pub fn config(version: u64) -> String {
    let route = |prefix: &str, service: &str, kind: &str, timeout: &str, target: &str| {
        serde_json::json!({
            "host": HOST, "path_prefix": prefix, "service": service, "kind": kind,
            "timeout": timeout, "target_latency": target, "max_attempts": 2, "priority": 1,
        })
    };
    let service = serde_json::json!({"health_path": "/health", "max_connections": 110,
        "protocol": "h1", "tls": false});
    serde_json::json!({
        "version": format!("r{version}"),
        "routes": {
            "r-album": route("/album/", "gallery", "safe", "1200ms", "400ms"),
            "r-order": route("/order/", "gallery", "unsafe", "1500ms", "500ms"),
            "r-photo": route("/photo/", "printdesk", "upload", "1500ms", "500ms"),
            "r-status": route("/status/", "printdesk", "safe", "1200ms", "400ms"),
        },
        "services": {"gallery": service, "printdesk": service},
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67_108_864,
            "header_timeout": "3000ms", "idle_timeout": "15000ms"},
        "base_version": "r0",
    })
    .to_string()
}

/// Requesters on one machine; each sends one request after the other.
pub struct Traffic {
    stopping: Arc<AtomicBool>,
    tasks: JoinSet<Vec<Sent>>,
}

impl Traffic {
    /// Starts `count` requesters whose requests to `path` take `work` at the server.
    pub fn start(
        address: SocketAddr,
        label: &'static str,
        (prefix, work): (&'static str, Duration),
        count: usize,
        record: &Record,
    ) -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        for number in 0..count {
            let (stopping, record) = (Arc::clone(&stopping), record.clone());
            tasks.spawn(async move {
                let mut requester = Requester::new(address, &record);
                let mut all = Vec::new();
                while !stopping.load(Ordering::Relaxed) {
                    let sent = requester
                        .send(Order {
                            id: format!("{label}{number}x{}", all.len()),
                            method: if prefix == "order" { "POST" } else { "GET" },
                            host: HOST,
                            path: format!("/{prefix}/{}/{number}x{}", work.as_millis(), all.len()),
                            deadline: Duration::from_millis(2500),
                            body: Bytes::new(),
                        })
                        .await;
                    let served = sent.ending == Ending::Answered(200);
                    all.push(sent);
                    sleep(if served { PAUSE } else { RETRY_PAUSE }).await;
                }
                all
            });
        }
        Self { stopping, tasks }
    }

    /// Ends the traffic and returns all requests.
    pub async fn stop(self) -> Vec<Sent> {
        self.stopping.store(true, Ordering::Relaxed);
        self.tasks.join_all().await.into_iter().flatten().collect()
    }
}

/// Checks rule LOST: requests from kept connections that were passed on to a sound server, and
/// whose connection was closed without an answer. `unsound` are servers in trouble.
pub fn is_lost_broken(
    deployment: &Deployment,
    sent: &[Sent],
    unsound: &[String],
    record: &Record,
) -> bool {
    let runs = deployment
        .machines
        .iter()
        .flat_map(|machine| machine.server.runs());
    let passed_on: HashSet<String> = runs
        .filter(|run| !unsound.contains(&run.server))
        .map(|run| run.request)
        .collect();
    let lost: Vec<&Sent> = sent
        .iter()
        .filter(|sent| sent.kept && sent.ending == Ending::Closed && passed_on.contains(&sent.id))
        .collect();
    for sent in &lost {
        record.line(format_args!(
            "LOST {}: sent {:.3}, run by a sound server, connection closed {:.3}",
            sent.id,
            sent.at.as_secs_f64(),
            sent.ended.as_secs_f64()
        ));
    }
    let served = sent
        .iter()
        .filter(|sent| sent.ending == Ending::Answered(200))
        .count();
    record.say(format_args!(
        "{} requests sent, {served} served; {} from kept connections were passed on to a sound \
         server and lost ({LOST_ALLOWED} allowed)",
        sent.len(),
        lost.len()
    ));
    lost.len() > LOST_ALLOWED
}
