//! Test environment with an in-memory log, a daemon and the real command in a temporary folder.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use daemon::settings::{NumberSettings, OutageQuorum, UntimedKeys};
use daemon::{DaemonSettings, RunningDaemon};
use feed::{LogFaults, LogServer, LogSettings, MemoryLog, serve};
use model::{LogOffset, SystemClock};
use tempfile::TempDir;
use tiny_http::{Method, Request, Response, Server};
use tokio_util::sync::CancellationToken;

/// Time after which waiting for the daemon fails.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// The log, daemon and folder of a test; stopped and removed when dropped.
pub struct TestBed {
    pub scratch: TempDir,
    log: Option<(Arc<MemoryLog>, LogServer)>,
    daemon: Option<RunningDaemon>,
}

impl TestBed {
    /// Creates an environment with a temporary folder only.
    pub fn offline() -> Self {
        Self {
            scratch: tempfile::tempdir().unwrap(),
            log: None,
            daemon: None,
        }
    }

    /// Creates an environment with a log and one daemon that reads it.
    pub fn start() -> Self {
        let settings = LogSettings::default();
        let memory = Arc::new(MemoryLog::new(settings, SystemClock::shared()));
        let server = serve(&memory, any_port()).unwrap();
        let url = format!("http://{}", server.address());
        let daemon = RunningDaemon::start(daemon_settings(&url)).unwrap();
        let bed = Self {
            log: Some((memory, server)),
            daemon: Some(daemon),
            scratch: tempfile::tempdir().unwrap(),
        };
        bed.await_daemon();
        bed
    }

    /// Waits until the daemon counts itself as a member of the fleet.
    fn await_daemon(&self) {
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            let status = self.run(&["status", "--json"]);
            let text = String::from_utf8_lossy(&status.stdout).into_owned();
            let report: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
            if report["fleet"]["members"] == 1 {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        panic!("the daemon did not come up");
    }

    pub fn log_address(&self) -> SocketAddr {
        self.log.as_ref().unwrap().1.address()
    }

    pub fn operator_address(&self) -> SocketAddr {
        self.daemon
            .as_ref()
            .map_or_else(unused_port, RunningDaemon::operator_address)
    }

    pub fn set_faults(&self, faults: LogFaults) {
        let (memory, _) = self.log.as_ref().unwrap();
        memory.set_faults(faults);
    }

    /// Removes all records of the config stream from `end` on.
    pub fn truncate_log(&self, end: u64) {
        self.truncate_stream("config", end);
    }

    /// Removes all records of a stream from `end` on.
    pub fn truncate_stream(&self, stream: &str, end: u64) {
        let (memory, _) = self.log.as_ref().unwrap();
        memory.truncate(&stream.parse().unwrap(), LogOffset(end));
    }

    /// Removes all records of a stream before `first`, as if they had expired.
    pub fn expire_stream(&self, stream: &str, first: u64) {
        let (memory, _) = self.log.as_ref().unwrap();
        memory.expire_before(&stream.parse().unwrap(), LogOffset(first));
    }

    /// Replaces the daemon by one without any state and calls `change` while no daemon runs.
    pub fn restart_daemon(&mut self, change: impl FnOnce(&Self)) {
        let force = CancellationToken::new();
        force.cancel();
        self.daemon.take().unwrap().stop(&force);
        change(self);
        let url = format!("http://{}", self.log_address());
        self.daemon = Some(RunningDaemon::start(daemon_settings(&url)).unwrap());
        self.await_daemon();
    }

    /// Waits until `count` changes have been accepted.
    pub fn await_history(&self, count: usize) {
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            let history = self.json(&["history", "--json"]);
            if history
                .as_array()
                .is_some_and(|changes| changes.len() == count)
            {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        panic!("{count} changes were never accepted");
    }

    /// Waits until the output of `quetzal status` contains `text`.
    pub fn await_status_text(&self, text: &str) {
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            let status = self.run(&["status"]);
            if String::from_utf8_lossy(&status.stdout).contains(text) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        panic!("the status never contained {text}");
    }

    /// Returns the command, set up to run in the temporary folder.
    pub fn command(&self, arguments: &[&str]) -> Command {
        let operator = self.operator_address();
        let mut command = Command::new(env!("CARGO_BIN_EXE_quetzal"));
        command
            .args(arguments)
            .current_dir(self.scratch.path())
            .env_clear()
            .env("USER", "mona")
            .env("QUETZAL_DAEMON", operator.to_string());
        command
    }

    /// Runs the command in the temporary folder.
    pub fn run(&self, arguments: &[&str]) -> Output {
        self.command(arguments).output().unwrap()
    }

    /// Runs the command and returns its command line, output and exit code, with varying text
    /// redacted.
    pub fn transcript(&self, arguments: &[&str]) -> String {
        let output = self.run(arguments);
        let code = output.status.code().unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        let errors = String::from_utf8(output.stderr).unwrap();
        let line = arguments.join(" ");
        redact_varying(&format!(
            "$ quetzal {line}\n{text}{errors}[exit {code}]\n\n"
        ))
    }

    pub fn json(&self, arguments: &[&str]) -> serde_json::Value {
        let output = self.run(arguments);
        serde_json::from_slice(&output.stdout).unwrap()
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.scratch.path().join(name)
    }

    pub fn read(&self, name: &str) -> String {
        fs::read_to_string(self.path(name)).unwrap()
    }

    /// Replaces `from` by `to` in a file, as an operator's edit would.
    pub fn edit(&self, name: &str, from: &str, to: &str) {
        let text = self.read(name);
        assert!(text.contains(from), "{name} lacks {from}");
        fs::write(self.path(name), text.replace(from, to)).unwrap();
    }

    pub fn copy_dir(&self, from: &str, to: &str) {
        fs::create_dir(self.path(to)).unwrap();
        for entry in fs::read_dir(self.path(from)).unwrap() {
            let entry = entry.unwrap();
            fs::copy(entry.path(), self.path(to).join(entry.file_name())).unwrap();
        }
    }
}

impl Drop for TestBed {
    fn drop(&mut self) {
        let force = CancellationToken::new();
        // No other daemon remains, so a drain is not needed.
        force.cancel();
        if let Some(daemon) = self.daemon.take() {
            daemon.stop(&force);
        }
    }
}

/// Handler that answers a request in place of a service.
type RequestHandler = dyn Fn(Request) + Send;

/// A proxy in front of a service that changes its answers.
pub struct TestProxy {
    server: Arc<Server>,
    worker: Option<JoinHandle<()>>,
}

impl TestProxy {
    fn start(handle: Box<RequestHandler>) -> Self {
        let server = Arc::new(Server::http(any_port()).unwrap());
        let listener = Arc::clone(&server);
        let worker = thread::spawn(move || {
            while let Ok(request) = listener.recv() {
                handle(request);
            }
        });
        Self {
            server,
            worker: Some(worker),
        }
    }

    /// Starts a proxy of a log service that forwards reads and rejects appends.
    pub fn rejecting_appends(upstream: SocketAddr) -> Self {
        Self::start(Box::new(move |request| {
            if *request.method() == Method::Get {
                return forward(request, upstream, &str::to_owned);
            }
            let unavailable = Response::from_string("{}").with_status_code(503);
            request.respond(unavailable).unwrap();
        }))
    }

    /// Starts a proxy of a daemon that replaces `from` by `to` in its answers.
    pub fn rewriting(upstream: SocketAddr, from: &'static str, to: &'static str) -> Self {
        let edit = move |text: &str| text.replace(from, to);
        Self::start(Box::new(move |request| forward(request, upstream, &edit)))
    }

    pub fn address(&self) -> String {
        self.server.server_addr().to_string()
    }

    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }
}

impl Drop for TestProxy {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(worker) = self.worker.take() {
            worker.join().unwrap();
        }
    }
}

/// Forwards a request to `upstream` and answers with the edited response.
fn forward(request: Request, upstream: SocketAddr, edit: &dyn Fn(&str) -> String) {
    let url = format!("http://{upstream}{}", request.url());
    let agent = ureq::Agent::config_builder().http_status_as_error(false);
    let agent: ureq::Agent = agent.build().into();
    let mut upstream_response = agent.get(url).call().unwrap();
    let text = upstream_response.body_mut().read_to_string().unwrap();
    let response = Response::from_string(edit(&text));
    let response = response.with_status_code(upstream_response.status().as_u16());
    request.respond(response).unwrap();
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns an address at which nothing listens.
fn unused_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn daemon_settings(log_url: &str) -> DaemonSettings {
    DaemonSettings {
        name: "daemon-1".parse().unwrap(),
        domain: "cairo-a".parse().unwrap(),
        region: "cairo".parse().unwrap(),
        log_url: log_url.into(),
        caller_address: any_port(),
        peer_address: any_port(),
        operator_address: any_port(),
        peers: Vec::new(),
        metrics_address: None,
        outage_quorum: OutageQuorum::default(),
        untimed_keys: UntimedKeys::default(),
        numbers: NumberSettings::default(),
    }
}

/// Replaces change ids and times, and removes progress lines, which fast machines do not print.
fn redact_varying(text: &str) -> String {
    let lines = text.split_inclusive('\n');
    let kept: String = lines
        .filter(|line| !line.contains("in force on 0 of 1"))
        .collect();
    let words = kept.split_inclusive([' ', '\n', ';']).map(|word| {
        let (bare, end) = word.split_at(word.trim_end_matches([' ', '\n', ';']).len());
        let hidden = match bare {
            bare if bare.len() == 36 && bare.matches('-').count() == 4 => "CHANGE",
            bare if bare.len() == 20 && bare.ends_with('Z') && bare.contains('T') => "TIME",
            bare if bare.parse::<f32>().is_ok() && bare.contains('.') => "SECONDS",
            bare => bare,
        };
        format!("{hidden}{end}")
    });
    words.collect()
}
