//! A change on its way: from accepted to in force everywhere.

use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use model::{ChangeId, ConfigVersion, ErrorKind, KindError};
use serde::Serialize;

use crate::client::DaemonClient;
use crate::config::Result;
use crate::output::{outln, print_json};
use crate::publication::Publication;

/// Time between two questions to the daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

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
        ExitCode::from(ErrorKind::NotEverywhere.properties().exit_code)
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

/// Follows a publication, prints how far it got, and gives the exit code that tells it.
pub fn follow(
    client: &DaemonClient,
    publication: &Publication,
    wait: Duration,
    json: bool,
) -> Result<ExitCode> {
    let report = await_force(client, publication, wait, |report| {
        if !json {
            outln!("{}", report.line());
        }
    })?;
    report.show(json)?;
    Ok(report.exit_code())
}

/// Follows a version until it is in force on every proxy or `wait` is over.
pub fn await_force(
    client: &DaemonClient,
    publication: &Publication,
    wait: Duration,
    progress: impl Fn(&FollowReport),
) -> Result<FollowReport> {
    let mut shown = Instant::now();
    loop {
        let asked = report_force(client, publication);
        let over = publication.since.elapsed() > wait;
        match asked {
            Ok(report) if report.is_everywhere() || over => return Ok(report),
            Ok(report) if shown.elapsed() > PROGRESS_INTERVAL => {
                shown = Instant::now();
                progress(&report);
            }
            // The change is accepted; a daemon that is away for a moment takes nothing back.
            Err(error) if over => {
                let detail = format!("version {} is accepted; {error}", publication.version);
                return Err(KindError::new(ErrorKind::NotEverywhere, detail));
            }
            Ok(_) | Err(_) => {}
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn report_force(client: &DaemonClient, publication: &Publication) -> Result<FollowReport> {
    let fleet = client.status()?.fleet;
    let version = publication.version;
    Ok(FollowReport {
        change: publication.id,
        version,
        in_force: fleet.in_force(version),
        proxies: fleet.members,
        elapsed_ms: publication.since.elapsed().as_millis() as u64,
        lagging: fleet.lagging_lines(version),
    })
}
