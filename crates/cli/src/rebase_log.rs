//! Appending a rebase to a log that lost records, and learning what became of it.
//!
//! The command searches the log from its first record, as the daemons do, so it
//! takes a rebase for accepted exactly when they go on with it.

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
    CONFIG_STREAM, Publication, READ_LIMIT, VERDICT_INTERVAL, VERDICT_TIMEOUT, append_record,
    change_unknown,
};

/// A log that lost records, read up to its end.
#[derive(Debug)]
pub struct RebaseLog {
    log: SharedLog,
    stream: StreamName,
    search: LogRecovery,
}

/// What reading on found.
enum SearchResult {
    /// The log ends here.
    End,
    /// Our rebase was passed over.
    Refused,
    /// A rebase past the state that the daemons hold.
    Found(Box<ConfigState>),
}

impl RebaseLog {
    /// The log, searched for a rebase past `known`.
    ///
    /// `follows` is a state of the same log, if the daemons hold one: the place to
    /// begin where the first records have expired.
    ///
    /// Kinds: those of the log; `ChangeConflict` if it was rebased already.
    pub fn open(
        client: &DaemonClient,
        known: ConfigVersion,
        follows: Option<&ConfigState>,
    ) -> Result<Self> {
        let held = StateHead {
            folded: known,
            ..StateHead::default()
        };
        let mut opened = Self {
            log: client.log()?,
            stream: CONFIG_STREAM.parse()?,
            search: LogRecovery::new(held, LogOffset::default()),
        };
        if let ReadReply::Expired { first } = opened.read()? {
            opened.search = match follows.filter(|state| state.next_offset() >= first) {
                Some(state) => LogRecovery::from_snapshot(held, state.clone()),
                None => LogRecovery::new(held, first),
            };
        }
        match opened.search_on(None)? {
            SearchResult::Found(state) => Err(rebased_by_other(&state)),
            SearchResult::End | SearchResult::Refused => Ok(opened),
        }
    }

    /// The last record of the log.
    pub fn base(&self) -> ConfigVersion {
        self.search.base()
    }

    /// The highest number that the log's end may have for any daemon.
    pub fn reached(&self) -> ConfigVersion {
        self.search.max_version()
    }

    /// The offset after the last record.
    pub fn next_offset(&self) -> LogOffset {
        self.search.next_offset()
    }

    /// The state at the log's end, unless its first records have expired.
    pub fn state(&self) -> Option<&ConfigState> {
        self.search.candidate()
    }

    /// Appends the rebase to `version` and waits for its verdict.
    ///
    /// Kinds: `ChangeConflict` if another author came first, `ChangeUnknown`,
    /// `LogOverRate`.
    pub fn rebase(
        mut self,
        version: ConfigVersion,
        lists: ConfigLists,
        meta: ChangeMeta,
    ) -> Result<Publication> {
        let (id, since) = (meta.id, Instant::now());
        let record = RebaseRecord::new(self.base(), version, lists, meta);
        let body = StreamRecord::Rebase(record).encode()?;
        let appended = append_record(&self.log, &self.stream, &body);
        let state = appended.and_then(|()| self.await_verdict(id));
        let state = state.map_err(tell_again)?;
        Ok(Publication {
            id,
            since,
            version,
            state,
        })
    }

    fn await_verdict(&mut self, id: ChangeId) -> Result<ConfigState> {
        let started = Instant::now();
        while started.elapsed() < VERDICT_TIMEOUT {
            match self.search_on(Some(id)) {
                Ok(SearchResult::Found(state)) => return own_rebase(*state, id),
                Ok(SearchResult::Refused) => {
                    let detail = "the log went on meanwhile; rebase again";
                    return Err(KindError::new(ErrorKind::ChangeConflict, detail));
                }
                // A read that failed is made again.
                Ok(SearchResult::End) | Err(_) => thread::sleep(VERDICT_INTERVAL),
            }
        }
        Err(change_unknown())
    }

    /// Reads on up to the end of the log, a rebase, or the record of `own`.
    fn search_on(&mut self, own: Option<ChangeId>) -> Result<SearchResult> {
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
        let from = self.search.next_offset();
        self.log
            .read(&self.stream, from, READ_LIMIT, Duration::ZERO)
    }

    fn fold(&mut self, batch: RecordBatch, own: Option<ChangeId>) -> Result<Option<SearchResult>> {
        let whole = batch.next >= self.search.next_offset();
        let detail = "the log lost records once more";
        ensure(whole, ErrorKind::LogDiverged, detail)?;
        if batch.records.is_empty() {
            return Ok(Some(SearchResult::End));
        }
        for record in batch.records {
            let record = ConfigRecord {
                offset: record.offset,
                at: record.at,
                body: record.body,
            };
            if let Some(state) = self.search.fold(&record)? {
                return Ok(Some(SearchResult::Found(Box::new(state))));
            }
            let id = StreamRecord::decode(&record.body).map(|record| record.id());
            if own.is_some() && id.ok() == own {
                return Ok(Some(SearchResult::Refused));
            }
        }
        Ok(None)
    }
}

/// The state, if the rebase that it began with is ours.
fn own_rebase(state: ConfigState, id: ChangeId) -> Result<ConfigState> {
    match state.outcome_of(id) {
        Some(ChangeVerdict::Accepted { .. }) => Ok(state),
        _ => Err(rebased_by_other(&state)),
    }
}

/// Tells how to go on with a rebase whose outcome is unknown.
fn tell_again(error: KindError) -> KindError {
    if error.kind != ErrorKind::ChangeUnknown {
        return error;
    }
    let detail = format!(
        "{}; run quetzal rebase again, it finds one that was taken",
        error.detail
    );
    KindError::new(error.kind, detail)
}

fn rebased_by_other(state: &ConfigState) -> KindError {
    let version = state.origin().version;
    let detail = format!("the log was rebased to version {version} already");
    KindError::new(ErrorKind::ChangeConflict, detail)
}
