//! `quetzal demo`: runs a small fleet on this machine.
//!
//! Starts an in-memory log service, four daemons in two failure domains and
//! three targets of two services in this process, on the loopback interface.
//! It then publishes a pair of lists, makes calls, changes a customer's plan
//! and shows when the change is in force. The demo writes no files.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use daemon::settings::{NumberSettings, OutageQuorum, UntimedKeys};
use daemon::{DaemonSettings, RunningDaemon};
use feed::{LogServer, LogSettings, MemoryLog, serve};
use model::{ChangeId, ConfigVersion, ErrorKind, KindError, SystemClock};
use plans::{ChangeMeta, ChangeRecord, ConfigLists};
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::client::DaemonClient;
use crate::config::{DaemonArgs, Result};
use crate::demo_target::DemoTarget;
use crate::folder::FolderBase;
use crate::follow::await_rollout;
use crate::publication::ConfigLog;

const DAEMON_COUNT: usize = 4;
const DOMAINS: [&str; 2] = ["cairo-a", "cairo-b"];
const TARGETS: [(&str, &str); 3] = [
    ("catalog-1", "catalog"),
    ("catalog-2", "catalog"),
    ("deals-1", "deals"),
];
const START_TIMEOUT: Duration = Duration::from_secs(20);
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(20);

const PLANS: &str = r#"{
  // Which plan each customer holds.
  "customers": {
    "nile-brands": { "plan": "browse" }
  }
}"#;
const ALLOWANCES: &str = r#"{
  "services": {
    "catalog": { "path": "/catalog", "timeout_ms": 2000, "kind": "report",
                 "methods": { "GET": { "idempotent": true } } },
    "deals":   { "path": "/deals", "timeout_ms": 2000, "kind": "booking",
                 "methods": { "GET": { "idempotent": true }, "POST": { "idempotent": false } } }
  },
  "plans": {
    "browse": { "catalog": { "methods": ["GET"], "rate_per_s": 100, "calls_at_once": 20 } },
    "agency": { "catalog": { "methods": ["GET"], "rate_per_s": 100, "calls_at_once": 20 },
                "deals":   { "methods": ["GET", "POST"], "rate_per_s": 50, "calls_at_once": 10 } }
  }
}"#;

/// Options of `demo`.
#[derive(Bpaf, Clone, Debug)]
pub struct DemoArgs {
    /// Keep the system running until Enter is pressed, to try other commands
    keep: bool,
}

/// Starts the fleet, runs the session and stops the fleet.
pub fn run(args: &DemoArgs) -> Result<ExitCode> {
    let fleet = DemoFleet::start()?;
    let result = run_session(&fleet);
    if args.keep && result.is_ok() {
        fleet.wait_for_enter();
    }
    fleet.stop();
    result?;
    println!("stopped");
    Ok(ExitCode::SUCCESS)
}

fn run_session(fleet: &DemoFleet) -> Result<()> {
    fleet.await_members()?;
    println!("log      http://{}", fleet.log_address());
    println!("daemons  {DAEMON_COUNT} in {}", DOMAINS.join(" and "));
    println!("targets  {}", TARGETS.map(|(name, _)| name).join(", "));

    let lists = parse_lists(PLANS)?;
    let version = fleet.publish("demo", ConfigVersion::NONE, &lists, "first lists")?;
    fleet.call("GET", "/catalog/creators")?;
    fleet.call("POST", "/deals/bookings")?;

    let changed = parse_lists(&PLANS.replace("browse", "agency"))?;
    fleet.publish("demo", version, &changed, "nile-brands books deals")?;
    fleet.call("POST", "/deals/bookings")
}

fn parse_lists(plans: &str) -> Result<ConfigLists> {
    ConfigLists::parse(plans, ALLOWANCES).map_err(|problems| {
        let first = problems.first().map(ToString::to_string);
        KindError::new(ErrorKind::ListInvalid, first.unwrap_or_default())
    })
}

/// The log service, daemons and targets of the demo.
struct DemoFleet {
    targets: Vec<DemoTarget>,
    daemons: Vec<RunningDaemon>,
    log: LogServer,
    client: DaemonClient,
}

impl DemoFleet {
    fn start() -> Result<Self> {
        let memory = Arc::new(MemoryLog::new(
            LogSettings::default(),
            SystemClock::shared(),
        ));
        let log = serve(&memory, SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let url = format!("http://{}", log.address());
        let started: Result<Vec<RunningDaemon>> = (0..DAEMON_COUNT)
            .map(|index| RunningDaemon::start(daemon_settings(index, &url)?))
            .collect();
        let daemons = started?;
        let targets: Result<Vec<DemoTarget>> = TARGETS
            .iter()
            .zip(&daemons)
            .map(|((target, service), daemon)| {
                DemoTarget::start(
                    &target.parse()?,
                    &service.parse()?,
                    daemon.operator_address(),
                )
            })
            .collect();
        let client = DaemonClient::new(&DaemonArgs {
            daemon: daemons[0].operator_address().into(),
            log: Some(url),
        });
        Ok(Self {
            targets: targets?,
            daemons,
            log,
            client,
        })
    }

    fn log_address(&self) -> SocketAddr {
        self.log.address()
    }

    /// Waits until the first daemon knows all daemons and targets.
    fn await_members(&self) -> Result<()> {
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            let status = self.client.status()?;
            let targets: usize = status
                .members
                .iter()
                .map(|member| member.targets.len())
                .sum();
            if status.fleet.members as usize == DAEMON_COUNT && targets == TARGETS.len() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(KindError::new(
            ErrorKind::PeerUnavailable,
            "the daemons did not find each other in time",
        ))
    }

    fn publish(
        &self,
        author: &str,
        base: ConfigVersion,
        lists: &ConfigLists,
        note: &str,
    ) -> Result<ConfigVersion> {
        let log = ConfigLog::open(&self.client, FolderBase::default())?;
        let meta = ChangeMeta {
            id: ChangeId(Uuid::now_v7()),
            author: author.parse()?,
            note: note.into(),
        };
        let record = ChangeRecord::between(log.state(), base, lists, meta)?;
        let publication = log.publish(&record)?;
        println!("publish  {note}, by {author} upon version {base}");
        let report = await_rollout(&self.client, &publication, ROLLOUT_TIMEOUT, |_| {})?;
        println!("         {}", report.summary());
        Ok(publication.version)
    }

    /// Makes a call through the last daemon, to which no target has announced itself.
    fn call(&self, method: &str, path: &str) -> Result<()> {
        let daemon = self.daemons[DAEMON_COUNT - 1].core();
        let request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", daemon.settings.caller_address))
            .header("quetzal-customer", "nile-brands")
            .header("idempotency-key", Uuid::now_v7().to_string())
            .body(())
            .map_err(|error| KindError::new(ErrorKind::RequestInvalid, error.to_string()))?;
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build()
            .into();
        let mut response = agent
            .run(request)
            .map_err(|error| KindError::new(ErrorKind::PeerUnavailable, error.to_string()))?;
        let text = response.body_mut().read_to_string().unwrap_or_default();
        let status = response.status().as_u16();
        println!(
            "call     {method} {path} as nile-brands -> {status} {}",
            text.trim()
        );
        Ok(())
    }

    fn wait_for_enter(&self) {
        println!("\nIn another terminal:");
        println!(
            "  export QUETZAL_DAEMON={}",
            self.daemons[0].operator_address()
        );
        println!("  quetzal status");
        for daemon in &self.daemons {
            println!("callers  http://{}", daemon.core().settings.caller_address);
        }
        println!("Press Enter to stop.");
        // If standard input is closed, this returns and the demo stops at once.
        drop(std::io::stdin().read_line(&mut String::new()));
    }

    fn stop(self) {
        drop(self.targets);
        let force = CancellationToken::new();
        // No calls are in progress and no other daemon remains, so a drain is not needed.
        force.cancel();
        for daemon in self.daemons {
            daemon.stop(&force);
        }
        drop(self.log);
    }
}

fn daemon_settings(index: usize, log_url: &str) -> Result<DaemonSettings> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(DaemonSettings {
        name: format!("daemon-{}", index + 1).parse()?,
        domain: DOMAINS[index % DOMAINS.len()].parse()?,
        region: "cairo".parse()?,
        log_url: log_url.into(),
        caller_address: any_port,
        peer_address: any_port,
        operator_address: any_port,
        peers: Vec::new(),
        metrics_address: None,
        outage_quorum: OutageQuorum::default(),
        untimed_keys: UntimedKeys::default(),
        numbers: NumberSettings::default(),
    })
}
