//! Waits for an accepted change to be in force on every proxy and reports its progress.
//!
//! Every daemon runs one proxy, so the number of proxies is that of the fleet's members.

use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use model::{ChangeId, ConfigVersion, ErrorKind, KindError};
use serde::Serialize;

use crate::client::DaemonClient;
use crate::config::Result;
use crate::output::{outln, print_json};
use crate::publication::Publication;

/// Time between requests for the daemon's status.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Progress of a change's rollout.
#[derive(Clone, Debug, Serialize)]
pub struct RolloutReport {
    /// Id of the change.
    pub change: ChangeId,
    /// Version that the change created.
    pub version: ConfigVersion,
    /// Number of proxies that have the version or a later one in force.
    pub in_force: u32,
    /// Number of proxies in the fleet.
    pub proxies: u32,
    /// Time since the append began, in milliseconds.
    pub elapsed_ms: u64,
    /// Some of the proxies that lag, with the reason.
    pub lagging: Vec<Box<str>>,
}

impl RolloutReport {
    /// Returns whether every proxy has the version or a later one in force.
    pub fn is_complete(&self) -> bool {
        self.proxies > 0 && self.in_force >= self.proxies
    }

    /// Returns the exit code for the state of the rollout.
    pub fn exit_code(&self) -> ExitCode {
        if self.is_complete() {
            return ExitCode::SUCCESS;
        }
        ExitCode::from(ErrorKind::NotEverywhere.properties().exit_code)
    }

    /// Returns the report as one line of text.
    pub fn summary(&self) -> String {
        let seconds = Duration::from_millis(self.elapsed_ms).as_secs_f32();
        format!(
            "version {} in force on {} of {} proxies in {seconds:.1} s",
            self.version, self.in_force, self.proxies
        )
    }

    /// Prints the report.
    pub fn print(&self, json: bool) -> Result<()> {
        if json {
            return print_json(self);
        }
        outln!("{}", self.summary());
        for line in &self.lagging {
            outln!("  {line}");
        }
        Ok(())
    }
}

/// Waits for the rollout of a publication, prints the result and returns its exit code.
pub fn follow_rollout(
    client: &DaemonClient,
    publication: &Publication,
    wait: Duration,
    json: bool,
) -> Result<ExitCode> {
    let report = await_rollout(client, publication, wait, |report| {
        if !json {
            outln!("{}", report.summary());
        }
    })?;
    report.print(json)?;
    Ok(report.exit_code())
}

/// Waits until a publication is in force on every proxy or `wait` has elapsed.
///
/// Calls `progress` about every [`PROGRESS_INTERVAL`].
pub fn await_rollout(
    client: &DaemonClient,
    publication: &Publication,
    wait: Duration,
    progress: impl Fn(&RolloutReport),
) -> Result<RolloutReport> {
    let mut last_progress = Instant::now();
    loop {
        let result = query_rollout(client, publication);
        let timed_out = publication.append_started.elapsed() > wait;
        match result {
            Ok(report) if report.is_complete() || timed_out => return Ok(report),
            Ok(report) if last_progress.elapsed() > PROGRESS_INTERVAL => {
                last_progress = Instant::now();
                progress(&report);
            }
            // The change is accepted even if the daemon cannot be reached, so requests are
            // repeated until the timeout.
            Err(error) if timed_out => {
                let detail = format!("version {} is accepted; {error}", publication.version);
                return Err(KindError::new(ErrorKind::NotEverywhere, detail));
            }
            Ok(_) | Err(_) => {}
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn query_rollout(client: &DaemonClient, publication: &Publication) -> Result<RolloutReport> {
    let fleet = client.status()?.fleet;
    let version = publication.version;
    Ok(RolloutReport {
        change: publication.id,
        version,
        in_force: fleet.in_force(version),
        proxies: fleet.members,
        elapsed_ms: publication.append_started.elapsed().as_millis() as u64,
        lagging: fleet.lagging_lines(version),
    })
}
