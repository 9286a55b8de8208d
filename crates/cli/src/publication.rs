//! Appends changes to the log and determines their verdict.
//!
//! The command folds the config stream itself, as every daemon does, so the
//! verdict does not depend on the daemon it talks to. It reads the log to its
//! end before it appends, to detect a log that is down or lost records before
//! anything has been written.

use std::thread;
use std::time::{Duration, Instant};

use feed::{ReadReply, RecordBatch, SharedLog};
use model::{ChangeId, ConfigVersion, ErrorKind, KindError, RecordCount, StreamName};
use plans::{ChangeRecord, ChangeRefusal, ChangeVerdict, ConfigRecord, ConfigState};

use crate::client::DaemonClient;
use crate::config::Result;
use crate::folder::FolderBase;

/// Name of the stream that holds the operators' changes.
pub const CONFIG_STREAM: &str = "config";
/// Maximum number of attempts at an append; a change appended twice is applied once.
const MAX_APPEND_ATTEMPTS: u32 = 5;
/// Delay after the first attempt; doubles with each further attempt.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of records per read.
pub const READ_BATCH_SIZE: RecordCount = RecordCount(256);
/// Time between checks for the verdict.
pub const VERDICT_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which waiting for the verdict on an appended change fails.
pub const VERDICT_TIMEOUT: Duration = Duration::from_secs(8);

/// An accepted change.
#[derive(Debug)]
pub struct Publication {
    /// Id of the change.
    pub id: ChangeId,
    /// Time at which its append began.
    pub append_started: Instant,
    /// Version that it created.
    pub version: ConfigVersion,
    /// State that includes the change and possibly later ones.
    pub state: ConfigState,
}

/// The config stream and the state that results from its records.
#[derive(Debug)]
pub struct ConfigLog {
    client: DaemonClient,
    log: SharedLog,
    stream: StreamName,
    state: ConfigState,
}

impl ConfigLog {
    /// Reads the stream from the daemon's state to its end.
    ///
    /// Errors: those of the log; `LogDiverged` (also if the log ends before
    /// `base`), `RulesUnknown`; `ConfigStale` if the records after the daemon's
    /// state have expired.
    pub fn open(client: &DaemonClient, base: FolderBase) -> Result<Self> {
        let mut config_log = Self {
            log: client.log()?,
            client: client.clone(),
            stream: CONFIG_STREAM.parse()?,
            state: client.state()?,
        };
        config_log.catch_up()?;
        base.check(&config_log.state)?;
        Ok(config_log)
    }

    /// Returns the state at the end of the stream.
    pub fn state(&self) -> &ConfigState {
        &self.state
    }

    /// Appends a change and waits for its verdict.
    ///
    /// Errors: the kind of a refusal; `ChangeUnknown`, `LogOverRate`.
    pub fn publish(mut self, change: &ChangeRecord) -> Result<Publication> {
        let append_started = Instant::now();
        let append_result = append_record(&self.log, &self.stream, &change.encode()?);
        let version = append_result.and_then(|()| self.await_verdict(change.id));
        let version = version.map_err(|error| add_change_id(error, change.id))?;
        Ok(Publication {
            id: change.id,
            append_started,
            version,
            state: self.state,
        })
    }

    /// Folds the records up to the end of the stream.
    fn catch_up(&mut self) -> Result<()> {
        loop {
            let from = self.state.resume_offset();
            let reply = self
                .log
                .read(&self.stream, from, READ_BATCH_SIZE, Duration::ZERO)?;
            let batch = match reply {
                ReadReply::Batch(batch) => batch,
                // Only the last folded record, which is reread to check continuity, has expired.
                ReadReply::Expired { first } if first == self.state.next_offset() => return Ok(()),
                ReadReply::Expired { .. } => return Err(daemon_behind_log(&self.state)),
            };
            let before = self.state.next_offset();
            self.fold(batch)?;
            if self.state.next_offset() == before {
                return Ok(());
            }
        }
    }

    fn fold(&mut self, batch: RecordBatch) -> Result<()> {
        self.state.check_bounds(batch.first, batch.next)?;
        for record in batch.records {
            let record = ConfigRecord {
                offset: record.offset,
                at: record.at,
                body: record.body,
            };
            self.state.check_continuity(&record)?;
            self.state.apply(&record)?;
        }
        Ok(())
    }

    fn await_verdict(&mut self, id: ChangeId) -> Result<ConfigVersion> {
        let started = Instant::now();
        while started.elapsed() < VERDICT_TIMEOUT {
            match self.find_verdict(id) {
                Some(
                    ChangeVerdict::Accepted { version } | ChangeVerdict::Repeated { of: version },
                ) => return self.ensure_version(version),
                Some(ChangeVerdict::Refused(refusal)) => return Err(print_refusal(&refusal)),
                Some(ChangeVerdict::Ignored) | None => thread::sleep(VERDICT_INTERVAL),
            }
        }
        Err(change_unknown())
    }

    /// Returns the verdict from the stream, or from the daemon if the stream cannot be read.
    fn find_verdict(&mut self, id: ChangeId) -> Option<ChangeVerdict> {
        let caught_up = self.catch_up();
        let verdict = self.state.outcome_of(id);
        if verdict.is_some() || caught_up.is_ok() {
            return verdict;
        }
        self.client.outcome(id).ok().flatten()
    }

    /// Makes sure that the state includes `version`, which may be known only from the daemon.
    fn ensure_version(&mut self, version: ConfigVersion) -> Result<ConfigVersion> {
        if self.state.version() < version {
            self.state = self.client.state_at_least(version)?;
        }
        Ok(version)
    }
}

/// Appends a record, retrying on errors.
///
/// Also returns `Ok` if the record may have been appended although no answer confirmed it.
pub fn append_record(log: &SharedLog, stream: &StreamName, body: &[u8]) -> Result<()> {
    let mut unconfirmed = None;
    let mut over_rate = None;
    for attempt in 0..MAX_APPEND_ATTEMPTS {
        match log.append(stream, body) {
            Ok(_) => return Ok(()),
            Err(error) if error.kind == ErrorKind::RequestInvalid => return Err(error),
            Err(error) if error.kind == ErrorKind::LogOverRate => over_rate = Some(error),
            Err(error) => unconfirmed = Some(error),
        }
        thread::sleep(FIRST_RETRY_DELAY * 2_u32.pow(attempt));
    }
    match (unconfirmed, over_rate) {
        // Nothing was appended: every attempt exceeded the rate.
        (None, Some(error)) => Err(error),
        // The record may have been appended; the stream or the daemon will show whether it was.
        _ => Ok(()),
    }
}

/// Returns the error for a record that was neither accepted nor refused in time.
pub fn change_unknown() -> KindError {
    let detail = "the log service did not confirm whether it accepted the change";
    KindError::new(ErrorKind::ChangeUnknown, detail)
}

/// Adds to a `ChangeUnknown` error how to publish the same change again.
pub fn add_change_id(error: KindError, id: ChangeId) -> KindError {
    if error.kind != ErrorKind::ChangeUnknown {
        return error;
    }
    let detail = format!("{}; publish again with --change {id}", error.detail);
    KindError::new(error.kind, detail)
}

/// Returns the error for a daemon whose state is older than the log's first record.
fn daemon_behind_log(state: &ConfigState) -> KindError {
    let base = state.base();
    if base == ConfigVersion::NONE {
        let detail = "the daemon holds no configuration and the log's first records expired; \
                      ask another daemon, or run quetzal rebase DIR if none holds any";
        return KindError::new(ErrorKind::LogDiverged, detail);
    }
    let detail = format!(
        "the daemon is at {base}, which the log no longer holds; ask another daemon, \
         or run quetzal rebase if all are at that version"
    );
    KindError::new(ErrorKind::ConfigStale, detail)
}

/// Prints the conflicting change, if any, and returns the error with the reason.
pub fn print_refusal(refusal: &ChangeRefusal) -> KindError {
    if let Some(conflict) = &refusal.conflict {
        let (author, version) = (&conflict.author, conflict.version);
        eprintln!("changed by {author} in version {version}:");
        eprintln!("{}", conflict.diff.trim_end());
    }
    KindError::new(refusal.kind, refusal.reason.clone())
}
