//! A log, a daemon and the real command in a scratch folder.

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

/// Longest wait for the daemon to be in order.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Everything that a test runs; stops when dropped.
pub struct TestBed {
    pub scratch: TempDir,
    log: Option<(Arc<MemoryLog>, LogServer)>,
    daemon: Option<RunningDaemon>,
}

impl TestBed {
    /// A scratch folder only.
    pub fn offline() -> Self {
        Self {
            scratch: tempfile::tempdir().unwrap(),
            log: None,
            daemon: None,
        }
    }

    /// A log and one daemon that reads it.
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
        bed.await_status();
        bed
    }

    /// Waits until the daemon counts itself.
    fn await_status(&self) {
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

    /// Loses all records of the config stream from `end` on.
    pub fn truncate_log(&self, end: u64) {
        self.truncate_stream("config", end);
    }

    /// Loses all records of a stream from `end` on.
    pub fn truncate_stream(&self, stream: &str, end: u64) {
        let (memory, _) = self.log.as_ref().unwrap();
        memory.truncate(&stream.parse().unwrap(), LogOffset(end));
    }

    /// Drops all records of a stream before `first`, as if they had expired.
    pub fn expire_log(&self, stream: &str, first: u64) {
        let (memory, _) = self.log.as_ref().unwrap();
        memory.expire_before(&stream.parse().unwrap(), LogOffset(first));
    }

    /// Replaces the daemon by one that holds nothing, while the log does `change`.
    pub fn restart_daemon(&mut self, change: impl FnOnce(&Self)) {
        let force = CancellationToken::new();
        force.cancel();
        self.daemon.take().unwrap().stop(&force);
        change(self);
        let url = format!("http://{}", self.log_address());
        self.daemon = Some(RunningDaemon::start(daemon_settings(&url)).unwrap());
        self.await_status();
    }

    /// Waits until `count` changes were accepted.
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

    /// Waits until the status of the daemon says `text`.
    pub fn await_text(&self, text: &str) {
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            let status = self.run(&["status"]);
            if String::from_utf8_lossy(&status.stdout).contains(text) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        panic!("the status never said {text}");
    }

    /// The command, to be run in the scratch folder.
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

    /// Runs the command in the scratch folder.
    pub fn run(&self, arguments: &[&str]) -> Output {
        self.command(arguments).output().unwrap()
    }

    /// Runs the command; gives its line, exit code and output, without what differs each time.
    pub fn session(&self, arguments: &[&str]) -> String {
        let output = self.run(arguments);
        let code = output.status.code().unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        let errors = String::from_utf8(output.stderr).unwrap();
        let line = arguments.join(" ");
        hide_varying(&format!(
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

    /// Changes a file as an operator would.
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
        // Nobody is left to learn of a drain.
        force.cancel();
        if let Some(daemon) = self.daemon.take() {
            daemon.stop(&force);
        }
    }
}

/// Answers a request in place of a service.
type Answer = dyn Fn(Request) + Send;

/// A server that stands before a service and answers as a test wants.
pub struct TestProxy {
    server: Arc<Server>,
    worker: Option<JoinHandle<()>>,
}

impl TestProxy {
    fn start(answer: Box<Answer>) -> Self {
        let server = Arc::new(Server::http(any_port()).unwrap());
        let serving = Arc::clone(&server);
        let worker = thread::spawn(move || {
            while let Ok(request) = serving.recv() {
                answer(request);
            }
        });
        Self {
            server,
            worker: Some(worker),
        }
    }

    /// A log service that passes reads on and takes no appends.
    pub fn read_only(behind: SocketAddr) -> Self {
        Self::start(Box::new(move |request| {
            if *request.method() == Method::Get {
                return pass_on(request, behind, &str::to_owned);
            }
            let refused = Response::from_string("{}").with_status_code(503);
            request.respond(refused).unwrap();
        }))
    }

    /// A daemon whose text answers hold `to` in place of `from`.
    pub fn edited(behind: SocketAddr, from: &'static str, to: &'static str) -> Self {
        let edit = move |text: &str| text.replace(from, to);
        Self::start(Box::new(move |request| pass_on(request, behind, &edit)))
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

fn pass_on(request: Request, behind: SocketAddr, edit: &dyn Fn(&str) -> String) {
    let url = format!("http://{behind}{}", request.url());
    let agent = ureq::Agent::config_builder().http_status_as_error(false);
    let agent: ureq::Agent = agent.build().into();
    let mut answer = agent.get(url).call().unwrap();
    let text = answer.body_mut().read_to_string().unwrap();
    let response = Response::from_string(edit(&text));
    let response = response.with_status_code(answer.status().as_u16());
    request.respond(response).unwrap();
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// An address at which nobody answers.
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

/// Replaces change ids and times; leaves out progress, which a fast machine does not show.
fn hide_varying(text: &str) -> String {
    let lines = text.split_inclusive('\n');
    let settled: String = lines
        .filter(|line| !line.contains("in force on 0 of 1"))
        .collect();
    let words = settled.split_inclusive([' ', '\n', ';']).map(|word| {
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
