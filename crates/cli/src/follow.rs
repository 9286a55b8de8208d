//! A change on its way: appended, judged, in force everywhere.

use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use feed::SharedLog;
use model::{ChangeId, ConfigVersion, ErrorKind, KindError};
use plans::{ChangeRecord, ChangeRefusal, ChangeVerdict};
use serde::Serialize;

use crate::client::DaemonClient;
use crate::config::Result;
use crate::output::{outln, print_json};

/// Stream of the operators' changes.
const CONFIG_STREAM: &str = "config";
/// Tries of an append whose answer does not come; the change counts once.
const APPEND_TRIES: u32 = 5;
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

    /// Prints how far the change got.
    pub fn show(&self, json: bool) -> Result<()> {
        if json {
            return print_json(self);
        }
        outln!("{}", self.line());
        for line in &self.lagging {
            outln!("  {line}");
        }
        Ok(())
    }
}

/// A change that was appended.
#[derive(Clone, Copy, Debug)]
pub struct AppendedChange {
    /// The change.
    pub id: ChangeId,
    /// When its append began.
    pub since: Instant,
}

/// Appends a change and waits for its verdict.
///
/// Kinds: those of a refusal; `ChangeUnknown`, `LogOverRate`, `RequestInvalid`.
pub fn publish_change(
    client: &DaemonClient,
    change: &ChangeRecord,
) -> Result<(AppendedChange, ConfigVersion)> {
    let appended = AppendedChange {
        id: change.id,
        since: Instant::now(),
    };
    append_change(&client.log()?, &change.encode()?)
        .and_then(|()| await_verdict(client, change.id))
        .map(|version| (appended, version))
        .map_err(|error| name_change(error, change.id))
}

/// Tells how to publish a change again whose outcome is unknown.
fn name_change(error: KindError, id: ChangeId) -> KindError {
    if error.kind != ErrorKind::ChangeUnknown {
        return error;
    }
    let detail = format!("{}; publish again with --change {id}", error.detail);
    KindError::new(error.kind, detail)
}

/// Appends a change; an answer that is lost is asked for again.
///
/// Kinds: `ChangeUnknown`, `LogOverRate` (nothing was appended), `RequestInvalid`.
pub fn append_change(log: &SharedLog, body: &[u8]) -> Result<()> {
    let stream = CONFIG_STREAM.parse()?;
    let mut lost = None;
    let mut refused = None;
    for attempt in 0..APPEND_TRIES {
        match log.append(&stream, body) {
            Ok(_) => return Ok(()),
            Err(error) if error.kind == ErrorKind::RequestInvalid => return Err(error),
            Err(error) if error.kind == ErrorKind::LogOverRate => refused = Some(error),
            Err(error) => lost = Some(error),
        }
        thread::sleep(POLL_INTERVAL * 2_u32.pow(attempt + 1));
    }
    match (lost, refused) {
        (Some(error), _) => Err(KindError::new(ErrorKind::ChangeUnknown, error.to_string())),
        (None, Some(error)) => Err(error),
        (None, None) => Ok(()),
    }
}

/// Waits for the verdict on an appended change.
///
/// Kinds: `ChangeConflict`, `ChangeRefused`, `ListInvalid`, `ChangeUnknown`.
pub fn await_verdict(client: &DaemonClient, change: ChangeId) -> Result<ConfigVersion> {
    let started = Instant::now();
    while started.elapsed() < VERDICT_TIMEOUT {
        match client.outcome(change) {
            Ok(Some(
                ChangeVerdict::Accepted { version } | ChangeVerdict::Repeated { of: version },
            )) => return Ok(version),
            Ok(Some(ChangeVerdict::Refused(refusal))) => return Err(show_refusal(&refusal)),
            // The daemon may be away for a moment, or not have read the change yet.
            Ok(Some(ChangeVerdict::Ignored) | None) | Err(_) => thread::sleep(POLL_INTERVAL),
        }
    }
    let detail = "the change was appended, but the daemon has not judged it yet";
    Err(KindError::new(ErrorKind::ChangeUnknown, detail))
}

/// Follows a version until it is in force on every proxy or `wait` is over.
pub fn await_force(
    client: &DaemonClient,
    change: AppendedChange,
    version: ConfigVersion,
    wait: Duration,
    progress: impl Fn(&FollowReport),
) -> Result<FollowReport> {
    let mut shown = change.since;
    loop {
        let asked = report_force(client, change, version);
        let over = change.since.elapsed() > wait;
        match asked {
            Ok(report) if report.is_everywhere() || over => return Ok(report),
            Ok(report) if shown.elapsed() > PROGRESS_INTERVAL => {
                shown = Instant::now();
                progress(&report);
            }
            // The change is accepted; a daemon that is away for a moment takes nothing back.
            Err(error) if over => {
                let detail = format!("version {version} is accepted; {error}");
                return Err(KindError::new(ErrorKind::NotEverywhere, detail));
            }
            Ok(_) | Err(_) => {}
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn report_force(
    client: &DaemonClient,
    change: AppendedChange,
    version: ConfigVersion,
) -> Result<FollowReport> {
    let fleet = client.status()?.fleet;
    Ok(FollowReport {
        change: change.id,
        version,
        in_force: fleet.in_force(version),
        proxies: fleet.members,
        elapsed_ms: change.since.elapsed().as_millis() as u64,
        lagging: fleet.lagging_lines(version),
    })
}

/// Prints the other author's change; gives the error that tells the reason.
pub fn show_refusal(refusal: &ChangeRefusal) -> KindError {
    if let Some(conflict) = &refusal.conflict {
        let (author, version) = (&conflict.author, conflict.version);
        eprintln!("changed by {author} in version {version}:");
        eprintln!("{}", conflict.diff.trim_end());
    }
    KindError::new(refusal.kind, refusal.reason.clone())
}
