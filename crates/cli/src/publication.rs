//! Appending a change and learning what became of it.
//!
//! The command folds the config stream itself, as every daemon does, so the
//! verdict does not hang on the daemon that it asks. It catches up before it
//! appends: a log that is down or lost records is found while nothing has
//! happened yet.

use std::thread;
use std::time::{Duration, Instant};

use feed::{ReadReply, RecordBatch, SharedLog};
use model::{ChangeId, ConfigVersion, ErrorKind, KindError, RecordCount, StreamName};
use plans::{ChangeRecord, ChangeRefusal, ChangeVerdict, ConfigRecord, ConfigState};

use crate::client::DaemonClient;
use crate::config::Result;
use crate::folder::FolderBase;

/// Stream of the operators' changes.
pub const CONFIG_STREAM: &str = "config";
/// Tries of an append whose answer does not come; the change counts once.
const APPEND_TRIES: u32 = 5;
/// Time before the second try; doubles with each.
const APPEND_PAUSE: Duration = Duration::from_millis(100);
/// Records asked for at once.
pub const READ_LIMIT: RecordCount = RecordCount(256);
/// Time between two looks for the verdict.
pub const VERDICT_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the verdict on an appended change.
pub const VERDICT_TIMEOUT: Duration = Duration::from_secs(8);

/// A change that was accepted.
#[derive(Debug)]
pub struct Publication {
    /// The change.
    pub id: ChangeId,
    /// When its append began.
    pub since: Instant,
    /// The version that it made.
    pub version: ConfigVersion,
    /// The state with it, and perhaps later changes, in force.
    pub state: ConfigState,
}

/// The config stream with the state that it leads to.
#[derive(Debug)]
pub struct ConfigLog {
    client: DaemonClient,
    log: SharedLog,
    stream: StreamName,
    state: ConfigState,
}

impl ConfigLog {
    /// The stream, read up to its end from the daemon's state on.
    ///
    /// Kinds: those of the log; `LogDiverged` (also if it ends before `base`),
    /// `RulesUnknown`; `ConfigStale` if the log no longer reaches back to the
    /// daemon's state.
    pub fn open(client: &DaemonClient, base: FolderBase) -> Result<Self> {
        let mut opened = Self {
            log: client.log()?,
            client: client.clone(),
            stream: CONFIG_STREAM.parse()?,
            state: client.state()?,
        };
        opened.catch_up()?;
        base.check(&opened.state)?;
        Ok(opened)
    }

    /// The state at the end of the stream.
    pub fn state(&self) -> &ConfigState {
        &self.state
    }

    /// Appends a change and waits for its verdict.
    ///
    /// Kinds: those of a refusal; `ChangeUnknown`, `LogOverRate`.
    pub fn publish(mut self, change: &ChangeRecord) -> Result<Publication> {
        let since = Instant::now();
        let appended = append_record(&self.log, &self.stream, &change.encode()?);
        let version = appended.and_then(|()| self.await_verdict(change.id));
        let version = version.map_err(|error| name_change(error, change.id))?;
        Ok(Publication {
            id: change.id,
            since,
            version,
            state: self.state,
        })
    }

    /// Folds the records up to the end of the stream.
    fn catch_up(&mut self) -> Result<()> {
        loop {
            let from = self.state.resume_offset();
            let answer = self
                .log
                .read(&self.stream, from, READ_LIMIT, Duration::ZERO)?;
            let batch = match answer {
                ReadReply::Batch(batch) => batch,
                // Only the record that was to be seen again has expired.
                ReadReply::Expired { first } if first == self.state.next_offset() => return Ok(()),
                ReadReply::Expired { .. } => return Err(too_old(&self.state)),
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
            match self.look_for_verdict(id) {
                Some(
                    ChangeVerdict::Accepted { version } | ChangeVerdict::Repeated { of: version },
                ) => return self.reach(version),
                Some(ChangeVerdict::Refused(refusal)) => return Err(show_refusal(&refusal)),
                Some(ChangeVerdict::Ignored) | None => thread::sleep(VERDICT_INTERVAL),
            }
        }
        Err(change_unknown())
    }

    /// The verdict by the stream, or by the daemon while the stream cannot be read.
    fn look_for_verdict(&mut self, id: ChangeId) -> Option<ChangeVerdict> {
        let caught_up = self.catch_up();
        let own = self.state.outcome_of(id);
        if own.is_some() || caught_up.is_ok() {
            return own;
        }
        self.client.outcome(id).ok().flatten()
    }

    /// Makes sure that the state holds `version`, which the daemon may have told.
    fn reach(&mut self, version: ConfigVersion) -> Result<ConfigVersion> {
        if self.state.version() < version {
            self.state = self.client.state_from(version)?;
        }
        Ok(version)
    }
}

/// Appends a record; an answer that is lost is asked for again.
pub fn append_record(log: &SharedLog, stream: &StreamName, body: &[u8]) -> Result<()> {
    let mut lost = None;
    let mut refused = None;
    for attempt in 0..APPEND_TRIES {
        match log.append(stream, body) {
            Ok(_) => return Ok(()),
            Err(error) if error.kind == ErrorKind::RequestInvalid => return Err(error),
            Err(error) if error.kind == ErrorKind::LogOverRate => refused = Some(error),
            Err(error) => lost = Some(error),
        }
        thread::sleep(APPEND_PAUSE * 2_u32.pow(attempt));
    }
    match (lost, refused) {
        // Nothing was taken: the rate was met each time.
        (None, Some(error)) => Err(error),
        // The change may have been taken; the stream will tell, or the daemon.
        _ => Ok(()),
    }
}

/// The error for a record that was neither taken nor refused in time.
pub fn change_unknown() -> KindError {
    let detail = "the log service did not tell whether it took the change";
    KindError::new(ErrorKind::ChangeUnknown, detail)
}

/// Tells how to publish a change again whose outcome is unknown.
pub fn name_change(error: KindError, id: ChangeId) -> KindError {
    if error.kind != ErrorKind::ChangeUnknown {
        return error;
    }
    let detail = format!("{}; publish again with --change {id}", error.detail);
    KindError::new(error.kind, detail)
}

fn too_old(state: &ConfigState) -> KindError {
    let base = state.base();
    if base == ConfigVersion::NONE {
        let detail = "the daemon holds no configuration and the log's first records expired; \
                      ask another one, or lead on with quetzal rebase DIR if none holds any";
        return KindError::new(ErrorKind::LogDiverged, detail);
    }
    let detail = format!(
        "the daemon is at {base}, which the log no longer holds; ask another one, \
         or lead on with quetzal rebase if all are there"
    );
    KindError::new(ErrorKind::ConfigStale, detail)
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
