//! A fleet of `quetzald` processes on loopback.

#![allow(dead_code, reason = "each test file uses some of it")]

pub mod chain;
pub mod hostile_clients;
pub mod target;

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use feed::{LogPort, LogServer, LogSettings, MemoryLog, serve};
use model::{ChangeId, ConfigVersion, LogOffset, SystemClock};
use plans::{ChangeMeta, ChangeRecord, ConfigLists, ConfigState, StateSnapshot};
use quetzal_daemon::status::StatusReport;
use tempfile::TempDir;
use ureq::http::Response;
use uuid::Uuid;

/// Maximum duration of any wait; long enough that only a hang reaches it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Number of lines of each daemon's log that a failed test prints.
const PRINTED_LOG_LINES: usize = 30;

/// Maximum number of attempts to append a change while the log service loses its answers.
const MAX_APPENDS: usize = 8;

pub const PLANS: &str =
    r#"{ "customers": { "nile": { "plan": "agency" }, "delta": { "plan": "agency" } } }"#;
pub const ALLOWANCES: &str = r#"{
  "services": {
    "catalog": { "path": "/catalog", "timeout_ms": 5000, "kind": "report",
                 "methods": { "GET": { "idempotent": true } } },
    "deals":   { "path": "/deals", "timeout_ms": 5000, "kind": "booking",
                 "methods": { "GET": { "idempotent": true }, "POST": { "idempotent": false } } },
    "studio":  { "path": "/studio", "timeout_ms": 20000, "kind": "upload",
                 "methods": { "PUT": { "idempotent": true }, "GET": { "idempotent": true } } }
  },
  "plans": {
    "agency": { "catalog": { "methods": ["GET"], "rate_per_s": 5000, "calls_at_once": 500 },
                "deals":   { "methods": ["GET", "POST"], "rate_per_s": 5000, "calls_at_once": 500 },
                "studio":  { "methods": ["PUT", "GET"], "rate_per_s": 5000, "calls_at_once": 500 } }
  }
}"#;

/// A daemon process and its addresses.
pub struct DaemonProcess {
    pub name: String,
    pub caller_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub operator_address: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// Daemon processes and the log service that holds their configuration; the log service runs in
/// the test process.
pub struct Fleet {
    pub memory_log: Arc<MemoryLog>,
    pub daemons: Vec<DaemonProcess>,
    log_server: LogServer,
    agent: ureq::Agent,
    _dir: TempDir,
}

impl Fleet {
    /// Starts `count` daemons spread over `domains`, with `extra` appended to their settings, and
    /// waits until they know one another.
    pub fn start(count: usize, domains: &[&str], extra: &str) -> Self {
        let memory_log = Arc::new(MemoryLog::new(
            LogSettings::default(),
            SystemClock::shared(),
        ));
        let log_server = serve(&memory_log, SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let dir = tempfile::tempdir().unwrap();
        let daemons = (0..count)
            .map(|index| {
                let domain = domains[index % domains.len()];
                let ports = free_ports();
                let settings = dir.path().join(format!("daemon-{index}.jsonc"));
                let text = format!(
                    r#"{{ // written by the test
                    "name": "daemon-{index}", "domain": "{domain}", "log_url": "http://{}",
                    "caller_address": "{}", "peer_address": "{}", "operator_address": "{}"{extra} }}"#,
                    log_server.address(), ports[0], ports[1], ports[2]
                );
                std::fs::write(&settings, text).unwrap();
                let mut daemon = DaemonProcess {
                    name: format!("daemon-{index}"),
                    caller_address: ports[0],
                    peer_address: ports[1],
                    operator_address: ports[2],
                    settings,
                    child: None,
                };
                daemon.start();
                daemon
            })
            .collect();
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(30)))
            .build();
        let fleet = Self {
            memory_log,
            daemons,
            log_server,
            agent: agent.into(),
            _dir: dir,
        };
        fleet.wait_for_members(count);
        fleet
    }

    pub fn log_url(&self) -> String {
        format!("http://{}", self.log_server.address())
    }

    /// Returns the status of one daemon, or `None` if it does not answer.
    pub fn status(&self, index: usize) -> Option<StatusReport> {
        let url = format!("http://{}/v1/status", self.daemons[index].operator_address);
        let mut response = self.agent.get(url).call().ok()?;
        response.body_mut().read_json().ok()
    }

    pub fn state(&self, index: usize) -> ConfigState {
        let url = format!(
            "http://{}/v1/snapshot",
            self.daemons[index].operator_address
        );
        let mut response = self.agent.get(url).call().unwrap();
        if !response.status().is_success() {
            // The daemon holds no configuration yet.
            return ConfigState::new();
        }
        let bytes = response.body_mut().read_to_vec().unwrap();
        StateSnapshot::decode(&bytes).unwrap().into_state()
    }

    /// Waits until every running daemon knows `count` members.
    pub fn wait_for_members(&self, count: usize) {
        self.wait_for_all("members", |status| status.fleet.members as usize == count);
    }

    /// Waits until the status of every running daemon meets `condition`.
    pub fn wait_for_all(&self, what: &str, condition: impl Fn(&StatusReport) -> bool) {
        let running =
            || (0..self.daemons.len()).filter(|index| self.daemons[*index].child.is_some());
        wait_until(what, || {
            running().all(|index| self.status(index).is_some_and(|status| condition(&status)))
        });
    }

    /// Publishes the lists as a change to the state of the first running daemon; waits until every
    /// running daemon applies the new version.
    pub fn publish(&self, plans: &str, allowances: &str) -> ConfigVersion {
        let version = self.append_change(plans, allowances);
        let started = Instant::now();
        self.wait_for_all("version in force", |status| {
            status.version >= version && &*status.freshness == "current"
        });
        println!(
            "version {version} in force everywhere in {:?}",
            started.elapsed()
        );
        version
    }

    /// Appends a change that replaces the current lists with these; returns the version that it
    /// creates.
    pub fn append_change(&self, plans: &str, allowances: &str) -> ConfigVersion {
        let lists = ConfigLists::parse(plans, allowances).unwrap();
        let first = (0..self.daemons.len())
            .find(|index| self.daemons[*index].child.is_some())
            .unwrap();
        let state = self.state(first);
        let meta = ChangeMeta {
            id: ChangeId(Uuid::now_v7()),
            author: "test".parse().unwrap(),
            note: "".into(),
        };
        let record = ChangeRecord::between(&state, state.base(), &lists, meta).unwrap();
        let body = record.encode().unwrap();
        let stream = "config".parse().unwrap();
        // The append is retried if its answer was lost; a duplicate record has no effect.
        let appended = (0..MAX_APPENDS).any(|_| self.memory_log.append(&stream, &body).is_ok());
        assert!(appended, "the log rejects every append");
        // The change creates the version with the number after the base's; `ConfigVersion::at(n)`
        // has the number n + 1.
        ConfigVersion::at(LogOffset(state.base().number()))
    }

    /// Sends one call through the daemon at `index`.
    pub fn call(
        &self,
        index: usize,
        method: &str,
        path: &str,
        key: Option<&str>,
        body: Vec<u8>,
    ) -> Response<ureq::Body> {
        self.try_call(index, method, path, key, body).unwrap()
    }

    pub fn try_call(
        &self,
        index: usize,
        method: &str,
        path: &str,
        key: Option<&str>,
        body: Vec<u8>,
    ) -> Result<Response<ureq::Body>, ureq::Error> {
        let mut request = ureq::http::Request::builder()
            .method(method)
            .uri(format!(
                "http://{}{path}",
                self.daemons[index].caller_address
            ))
            .header("quetzal-customer", "nile");
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        self.agent.run(request.body(body).unwrap())
    }

    /// Sends one call; returns the error kind, or the status and the text of the answer.
    pub fn outcome(&self, index: usize, method: &str, path: &str, key: Option<&str>) -> String {
        let mut response = self.call(index, method, path, key, Vec::new());
        let text = response.body_mut().read_to_string().unwrap();
        match response.headers().get("quetzal-error") {
            Some(kind) => {
                println!("{method} {path}: {text}");
                kind.to_str().unwrap().to_owned()
            }
            None => format!("{} {text}", response.status().as_u16()),
        }
    }
}

impl Drop for Fleet {
    /// Prints the state and the end of the log of each daemon if the test fails.
    fn drop(&mut self) {
        if !thread::panicking() {
            return;
        }
        for daemon in &mut self.daemons {
            let state = match daemon.child.as_mut().map(Child::try_wait) {
                None => "stopped by the test".to_owned(),
                Some(Ok(None)) => "running".to_owned(),
                Some(ended) => format!("{ended:?}"),
            };
            println!("{}: {state}", daemon.name);
            let log = std::fs::read_to_string(daemon.log_file()).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            for line in &lines[lines.len().saturating_sub(PRINTED_LOG_LINES)..] {
                println!("  {line}");
            }
        }
    }
}

impl DaemonProcess {
    pub fn start(&mut self) {
        let log = std::env::var("QUETZAL_TEST_LOG");
        let output = match &log {
            Ok(_) => Stdio::inherit(),
            Err(_) => Stdio::from(std::fs::File::create(self.log_file()).unwrap()),
        };
        let level = log.unwrap_or_else(|_| "info,quetzal_daemon=trace".to_owned());
        let child = Command::new(env!("CARGO_BIN_EXE_quetzald"))
            .arg("--settings")
            .arg(&self.settings)
            .env("RUST_LOG", level)
            .stdin(Stdio::null())
            .stderr(output)
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// File of the process's log, unless `QUETZAL_TEST_LOG` is set, which prints it instead.
    pub fn log_file(&self) -> PathBuf {
        self.settings.with_extension("log")
    }

    /// Returns the process id, if the process runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process, like a VM that fails.
    pub fn kill(&mut self) {
        let mut child = self.child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Sends SIGTERM, which starts a planned stop.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Suspends the process, like a VM that is paused.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Resumes a paused process.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, name: &str) {
        let id = self.child.as_ref().unwrap().id();
        let sent = Command::new("kill").args([name, &id.to_string()]).status();
        assert!(sent.unwrap().success());
    }

    /// Waits until the process has exited.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.take().unwrap().wait().unwrap()
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        if self.child.is_some() {
            self.kill();
        }
    }
}

/// Waits until `condition` holds; panics after `WAIT_TIMEOUT`.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed().as_secs() < WAIT_TIMEOUT.as_secs(),
            "timed out waiting: {what}"
        );
        thread::sleep(Duration::from_millis(50));
    }
}

/// Returns free ports below the range that the kernel assigns to outgoing connections, so that no
/// outgoing connection takes a port before the daemon binds it.
pub fn free_ports() -> [SocketAddr; 3] {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
    // UDP sockets kept open until this process exits, so that test processes running at the
    // same time take other ports even before the daemons have bound theirs.
    static CLAIMED_PORTS: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());
    const LOWEST_PORT: u16 = 12_000;
    const PORT_COUNT: u16 = 20_000;
    let start = (std::process::id() % u32::from(PORT_COUNT)) as u16;
    let next = || loop {
        let step = NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        let port = LOWEST_PORT + (start.wrapping_add(step)) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if let Ok(claim) = UdpSocket::bind(address)
            && is_unused(address)
        {
            CLAIMED_PORTS.lock().unwrap().push(claim);
            return address;
        }
    };
    [next(), next(), next()]
}

/// Whether nothing listens at a loopback address.
///
/// The port must be below the range that the kernel assigns to outgoing connections: within it, a
/// connection to an unused port can be assigned that same port and connect to itself.
///
/// Does not bind the port: a process that another thread starts at that moment would inherit the
/// socket until its `exec`, and the daemon that the port is meant for could fail to bind it.
pub fn is_unused(address: SocketAddr) -> bool {
    TcpStream::connect(address).is_err()
}

/// Sends raw bytes and reads until the server closes the connection.
pub fn raw_exchange(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    use std::io::Read as _;
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut answer = Vec::new();
    // A reset after the answer counts as a close.
    drop(stream.read_to_end(&mut answer));
    answer
}
