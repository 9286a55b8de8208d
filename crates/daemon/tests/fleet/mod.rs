//! A fleet of real `quetzald` processes on loopback, for the tests.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod assault;
pub mod chain;
pub mod target;

use std::io::Write as _;
use std::net::{SocketAddr, TcpListener, UdpSocket};
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

/// Longest wait for anything; only a hang reaches it.
pub const PATIENCE: Duration = Duration::from_secs(90);

/// Times that a change is appended whose answers are lost.
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

/// One daemon's process and addresses.
pub struct DaemonProcess {
    pub name: String,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub operators: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// A log in this process and daemons in processes of their own.
pub struct Fleet {
    pub memory: Arc<MemoryLog>,
    pub daemons: Vec<DaemonProcess>,
    log: LogServer,
    agent: ureq::Agent,
    _dir: TempDir,
}

impl Fleet {
    /// Starts `count` daemons spread over `domains`; `extra` is added to their settings.
    pub fn start(count: usize, domains: &[&str], extra: &str) -> Self {
        let memory = Arc::new(MemoryLog::new(
            LogSettings::default(),
            SystemClock::shared(),
        ));
        let log = serve(&memory, SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
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
                    log.address(), ports[0], ports[1], ports[2]
                );
                std::fs::write(&settings, text).unwrap();
                let mut daemon = DaemonProcess {
                    name: format!("daemon-{index}"),
                    callers: ports[0],
                    peers: ports[1],
                    operators: ports[2],
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
            memory,
            daemons,
            log,
            agent: agent.into(),
            _dir: dir,
        };
        fleet.await_members(count);
        fleet
    }

    pub fn log_url(&self) -> String {
        format!("http://{}", self.log.address())
    }

    /// The status of one daemon, once it answers.
    pub fn status(&self, index: usize) -> Option<StatusReport> {
        let url = format!("http://{}/v1/status", self.daemons[index].operators);
        let mut response = self.agent.get(url).call().ok()?;
        response.body_mut().read_json().ok()
    }

    pub fn state(&self, index: usize) -> ConfigState {
        let url = format!("http://{}/v1/snapshot", self.daemons[index].operators);
        let mut response = self.agent.get(url).call().unwrap();
        if !response.status().is_success() {
            return ConfigState::new();
        }
        let bytes = response.body_mut().read_to_vec().unwrap();
        StateSnapshot::decode(&bytes).unwrap().into_state()
    }

    /// Waits until every running daemon counts `count` members.
    pub fn await_members(&self, count: usize) {
        self.await_all("members", |status| status.fleet.members as usize == count);
    }

    /// Waits until `holds` of the status of every running daemon.
    pub fn await_all(&self, what: &str, holds: impl Fn(&StatusReport) -> bool) {
        let running =
            || (0..self.daemons.len()).filter(|index| self.daemons[*index].child.is_some());
        await_true(what, || {
            running().all(|index| self.status(index).is_some_and(|status| holds(&status)))
        });
    }

    /// Publishes lists upon the state of the first running daemon and waits for the version everywhere.
    pub fn publish(&self, plans: &str, allowances: &str) -> ConfigVersion {
        let version = self.append_change(plans, allowances);
        let started = Instant::now();
        self.await_all("version in force", |status| {
            status.version >= version && &*status.freshness == "current"
        });
        println!(
            "version {version} in force everywhere in {:?}",
            started.elapsed()
        );
        version
    }

    /// Appends the change to these lists; tells the version that it is to make.
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
        // A lost answer is followed by the same record, which counts once.
        let appended = (0..MAX_APPENDS).any(|_| self.memory.append(&stream, &body).is_ok());
        assert!(appended, "the log takes no record");
        ConfigVersion::at(LogOffset(state.base().number()))
    }

    /// One call through a daemon's proxy.
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
            .uri(format!("http://{}{path}", self.daemons[index].callers))
            .header("quetzal-customer", "nile");
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        self.agent.run(request.body(body).unwrap())
    }

    /// The kind of a refusal, or the status and text of an answer.
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

    /// What the process logs, unless `QUETZAL_TEST_LOG` shows it.
    pub fn log_file(&self) -> PathBuf {
        self.settings.with_extension("log")
    }

    /// The process, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Ends the process at once, as a VM that fails.
    pub fn kill(&mut self) {
        let mut child = self.child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Sends SIGTERM, which begins a planned stop.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Stops the process without its knowledge, as a VM that is paused.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, name: &str) {
        let id = self.child.as_ref().unwrap().id();
        let sent = Command::new("kill").args([name, &id.to_string()]).status();
        assert!(sent.unwrap().success());
    }

    /// Waits for the process to end.
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

/// Waits until `holds`; a test that waits in vain fails.
pub fn await_true(what: &str, holds: impl Fn() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(
            started.elapsed().as_secs() < PATIENCE.as_secs(),
            "waited in vain for {what}"
        );
        thread::sleep(Duration::from_millis(50));
    }
}

/// Ports below the range that the kernel gives to outgoing connections, which
/// would otherwise take one before its daemon has started.
fn free_ports() -> [SocketAddr; 3] {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
    // Held while this process lives, so that test processes beside it take other ports
    // even before the daemons have bound theirs.
    static CLAIMED_PORTS: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());
    const LOWEST_PORT: u16 = 12_000;
    const PORT_COUNT: u16 = 20_000;
    let start = (std::process::id() % u32::from(PORT_COUNT)) as u16;
    let next = || loop {
        let step = NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        let port = LOWEST_PORT + (start.wrapping_add(step)) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if let Ok(claim) = UdpSocket::bind(address)
            && TcpListener::bind(address).is_ok()
        {
            CLAIMED_PORTS.lock().unwrap().push(claim);
            return address;
        }
    };
    [next(), next(), next()]
}

/// Sends raw bytes and reads what comes until the other side closes.
pub fn raw_exchange(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    use std::io::Read as _;
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut answer = Vec::new();
    // A reset after the answer is as good as a close.
    drop(stream.read_to_end(&mut answer));
    answer
}
