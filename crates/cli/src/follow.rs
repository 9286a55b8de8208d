//! A change on its way: appended, judged, in force everywhere.

use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use feed::SharedLog;
use model::{ChangeId, ConfigVersion, ErrorKind, KindError};
use plans::{ChangeRefusal, ChangeVerdict};
use serde::Serialize;

use crate::client::DaemonClient;
use crate::config::Result;

/// Stream of the operators' changes.
const CONFIG_STREAM: &str = "config";
/// Tries of an append whose answer does not come; the change counts once.
const APPEND_TRIES: u32 = 4;
/// Time between two questions to the daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Time for the daemon to judge an appended change.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(15);

/// Where a change got to.
#[derive(Clone, Debug, Serialize)]
pub struct FollowReport {
    /// The change.
    pub change: ChangeId,
    /// The version that it made.
    pub version: ConfigVersion,
    /// Proxies that have it in force.
    pub in_force: u32,
    /// Proxies of the fleet.
    pub proxies: u32,
    /// Time since the append, in milliseconds.
    pub elapsed_ms: u64,
    /// Proxies that lag and why; at most a few are named.
    pub lagging: Vec<Box<str>>,
}

impl FollowReport {
    /// Whether every proxy has the version in force.
    pub fn is_everywhere(&self) -> bool {
        self.proxies > 0 && self.in_force >= self.proxies
    }

    /// The exit code that tells how far the change got.
    pub fn exit_code(&self) -> ExitCode {
        if self.is_everywhere() {
            return ExitCode::SUCCESS;
        }
        ExitCode::from(ErrorKind::NotEverywhere.answer().exit_code)
    }

    /// The report in one line.
    pub fn line(&self) -> String {
        let seconds = Duration::from_millis(self.elapsed_ms).as_secs_f32();
        format!(
            "version {} in force on {} of {} proxies in {seconds:.1} s",
            self.version, self.in_force, self.proxies
        )
    }
}

/// Appends a change; an answer that is lost is asked for again.
///
/// Kinds: `ChangeUnknown`, `LogOverRate`.
pub fn append_change(log: &SharedLog, body: &[u8]) -> Result<()> {
    let stream = CONFIG_STREAM.parse()?;
    let mut last = None;
    for attempt in 0..APPEND_TRIES {
        match log.append(&stream, body) {
            Ok(_) => return Ok(()),
            Err(error) if error.kind == ErrorKind::RequestInvalid => return Err(error),
            Err(error) => last = Some(error),
        }
        thread::sleep(POLL_INTERVAL * 2_u32.pow(attempt + 1));
    }
    let detail = last.map_or_else(String::new, |error| error.to_string());
    Err(KindError::new(ErrorKind::ChangeUnknown, detail))
}

/// Waits for the verdict on an appended change.
///
/// Kinds: `ChangeConflict`, `ChangeRefused`, `ListInvalid`, `ChangeUnknown`.
pub fn await_verdict(client: &DaemonClient, change: ChangeId) -> Result<ConfigVersion> {
    let started = Instant::now();
    loop {
        match client.outcome(change) {
            Ok(Some(
                ChangeVerdict::Accepted { version } | ChangeVerdict::Repeated { of: version },
            )) => {
                return Ok(version);
            }
            Ok(Some(ChangeVerdict::Refused(refusal))) => return Err(show_refusal(&refusal)),
            Ok(Some(ChangeVerdict::Ignored) | None) | Err(_) => {}
        }
        if started.elapsed() > VERDICT_TIMEOUT {
            let detail = format!("change {change} was appended but not judged yet");
            return Err(KindError::new(ErrorKind::ChangeUnknown, detail));
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Follows a version until it is in force on every proxy or `wait` is over.
pub fn await_force(
    client: &DaemonClient,
    change: ChangeId,
    version: ConfigVersion,
    wait: Duration,
    progress: impl Fn(&FollowReport),
) -> Result<FollowReport> {
    let started = Instant::now();
    let mut shown = started;
    loop {
        let status = client.status()?;
        let report = FollowReport {
            change,
            version,
            in_force: status.fleet.in_force(version),
            proxies: status.fleet.members,
            elapsed_ms: started.elapsed().as_millis() as u64,
            lagging: status.fleet.lagging_lines(version),
        };
        if report.is_everywhere() || started.elapsed() > wait {
            return Ok(report);
        }
        if shown.elapsed() > PROGRESS_INTERVAL {
            shown = Instant::now();
            progress(&report);
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn show_refusal(refusal: &ChangeRefusal) -> KindError {
    if let Some(conflict) = &refusal.conflict {
        eprintln!(
            "{} changed the same entry in version {}:",
            conflict.author, conflict.version
        );
        eprintln!("{}", conflict.diff);
    }
    KindError::new(refusal.kind, refusal.reason.clone())
}
