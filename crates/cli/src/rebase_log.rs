//! Appends a rebase to a log that lost records and determines its outcome.
//!
//! The command searches the log from its first record, as the daemons do, so it
//! considers a rebase accepted exactly when the daemons continue from it.

use std::thread;
use std::time::{Duration, Instant};

use feed::{ReadReply, RecordBatch, SharedLog};
use model::{ChangeId, ConfigVersion, ErrorKind, KindError, LogOffset, StreamName, ensure};
use plans::{
    ChangeMeta, ChangeVerdict, ConfigLists, ConfigRecord, ConfigState, LogRecovery, RebaseRecord,
    StateHead, StreamRecord,
};

use crate::client::DaemonClient;
use crate::config::Result;
use crate::publication::{
    CONFIG_STREAM, Publication, READ_BATCH_SIZE, VERDICT_INTERVAL, VERDICT_TIMEOUT, append_record,
    change_unknown,
};

/// A log that lost records, read up to its end.
#[derive(Debug)]
pub struct RebaseLog {
    log: SharedLog,
    stream: StreamName,
    recovery: LogRecovery,
}

/// Result of reading further in the log.
enum SearchResult {
    /// The end of the log was reached.
    End,
    /// The record of our own rebase was read but not accepted.
    Skipped,
    /// A rebase to a version newer than the known one was found.
    Found(Box<ConfigState>),
}

impl RebaseLog {
    /// Opens the log and searches it for a rebase to a version newer than `known`.
    ///
    /// `known` is the highest version that the daemons and the folder hold.
    /// `same_log_state` is a state of the same log, if the daemons hold one; the
    /// search starts there if the first records have expired.
    ///
    /// Errors: those of the log; `ChangeConflict` if it was rebased already.
    pub fn open(
        client: &DaemonClient,
        known: ConfigVersion,
        same_log_state: Option<&ConfigState>,
    ) -> Result<Self> {
        let held = StateHead {
            folded: known,
            ..StateHead::default()
        };
        let mut log = Self {
            log: client.log()?,
            stream: CONFIG_STREAM.parse()?,
            recovery: LogRecovery::new(held, LogOffset::default()),
        };
        if let ReadReply::Expired { first } = log.read()? {
            log.recovery = match same_log_state.filter(|state| state.next_offset() >= first) {
                Some(state) => LogRecovery::from_snapshot(held, state.clone()),
                None => LogRecovery::new(held, first),
            };
        }
        match log.continue_search(None)? {
            SearchResult::Found(state) => Err(already_rebased(&state)),
            SearchResult::End | SearchResult::Skipped => Ok(log),
        }
    }

    /// Returns the version of the last record, on which the rebase is based.
    ///
    /// It follows from the record's offset alone if the log could not be folded.
    pub fn base(&self) -> ConfigVersion {
        self.recovery.base()
    }

    /// Returns the version of the last record, estimated if the log could not be folded.
    ///
    /// The estimate also takes the versions that the records name into account.
    pub fn estimated_end_version(&self) -> ConfigVersion {
        self.recovery.max_version()
    }

    /// Returns the offset after the last record.
    pub fn next_offset(&self) -> LogOffset {
        self.recovery.next_offset()
    }

    /// Returns the state at the end of the log, if the log could be folded.
    pub fn state(&self) -> Option<&ConfigState> {
        self.recovery.candidate()
    }

    /// Appends the rebase to `version` and waits for its verdict.
    ///
    /// Errors: `ChangeConflict` if another author came first, `ChangeUnknown`,
    /// `LogOverRate`.
    pub fn rebase(
        mut self,
        version: ConfigVersion,
        lists: ConfigLists,
        meta: ChangeMeta,
    ) -> Result<Publication> {
        let (id, append_started) = (meta.id, Instant::now());
        let record = RebaseRecord::new(self.base(), version, lists, meta);
        let body = StreamRecord::Rebase(record).encode()?;
        let append_result = append_record(&self.log, &self.stream, &body);
        let state = append_result.and_then(|()| self.await_verdict(id));
        let state = state.map_err(add_rebase_advice)?;
        Ok(Publication {
            id,
            append_started,
            version,
            state,
        })
    }

    fn await_verdict(&mut self, id: ChangeId) -> Result<ConfigState> {
        let started = Instant::now();
        while started.elapsed() < VERDICT_TIMEOUT {
            match self.continue_search(Some(id)) {
                Ok(SearchResult::Found(state)) => return check_own_rebase(*state, id),
                Ok(SearchResult::Skipped) => {
                    let detail = "another record was appended first; rebase again";
                    return Err(KindError::new(ErrorKind::ChangeConflict, detail));
                }
                // Failed reads are retried.
                Ok(SearchResult::End) | Err(_) => thread::sleep(VERDICT_INTERVAL),
            }
        }
        Err(change_unknown())
    }

    /// Reads further until the end of the log, a rebase, or the record of `own`.
    fn continue_search(&mut self, own: Option<ChangeId>) -> Result<SearchResult> {
        loop {
            let ReadReply::Batch(batch) = self.read()? else {
                let detail = "records expired while they were read";
                return Err(KindError::new(ErrorKind::LogExpired, detail));
            };
            if let Some(result) = self.fold(batch, own)? {
                return Ok(result);
            }
        }
    }

    fn read(&self) -> Result<ReadReply> {
        let from = self.recovery.next_offset();
        self.log
            .read(&self.stream, from, READ_BATCH_SIZE, Duration::ZERO)
    }

    fn fold(&mut self, batch: RecordBatch, own: Option<ChangeId>) -> Result<Option<SearchResult>> {
        let is_complete = batch.next >= self.recovery.next_offset();
        let detail = "the log lost records again";
        ensure(is_complete, ErrorKind::LogDiverged, detail)?;
        if batch.records.is_empty() {
            return Ok(Some(SearchResult::End));
        }
        for record in batch.records {
            let record = ConfigRecord {
                offset: record.offset,
                at: record.at,
                body: record.body,
            };
            if let Some(state) = self.recovery.fold(&record)? {
                return Ok(Some(SearchResult::Found(Box::new(state))));
            }
            let id = StreamRecord::decode(&record.body).map(|record| record.id());
            if own.is_some() && id.ok() == own {
                return Ok(Some(SearchResult::Skipped));
            }
        }
        Ok(None)
    }
}

/// Returns `state` if the rebase with this id was accepted, or else the error for
/// another author's rebase.
fn check_own_rebase(state: ConfigState, id: ChangeId) -> Result<ConfigState> {
    match state.outcome_of(id) {
        Some(ChangeVerdict::Accepted { .. }) => Ok(state),
        _ => Err(already_rebased(&state)),
    }
}

/// Adds to a `ChangeUnknown` error how to continue after it.
fn add_rebase_advice(error: KindError) -> KindError {
    if error.kind != ErrorKind::ChangeUnknown {
        return error;
    }
    let detail = format!(
        "{}; run quetzal rebase again, which detects a rebase that was accepted",
        error.detail
    );
    KindError::new(error.kind, detail)
}

/// Returns the error for a log that has already been rebased by someone else.
fn already_rebased(state: &ConfigState) -> KindError {
    let version = state.origin().version;
    let detail = format!("the log was already rebased to version {version}");
    KindError::new(ErrorKind::ChangeConflict, detail)
}
