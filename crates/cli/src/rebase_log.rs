//! Appending a rebase to a log that lost records, and learning what became of it.
//!
//! The command searches the log from its first record, as the daemons do, so it
//! takes a rebase for accepted exactly when they go on with it.

use std::thread;
use std::time::{Duration, Instant};

use feed::{ReadAnswer, RecordBatch, SharedLog};
use model::{ChangeId, ConfigVersion, ErrorKind, KindError, LogOffset, StreamName, ensure};
use plans::{
    ChangeMeta, ChangeVerdict, ConfigRecord, ConfigState, ListPair, LogRecovery, RebaseRecord,
    StateHead, StreamRecord,
};

use crate::client::DaemonClient;
use crate::config::Result;
use crate::publication::{
    CONFIG_STREAM, Publication, READ_LIMIT, VERDICT_INTERVAL, VERDICT_TIMEOUT, append_record,
    change_unknown, name_change,
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
    /// The log, searched in place of daemons that hold `held`.
    ///
    /// Kinds: those of the log; `ChangeConflict` if it was rebased already.
    pub fn open(client: &DaemonClient, held: StateHead) -> Result<Self> {
        let mut opened = Self {
            log: client.log()?,
            stream: CONFIG_STREAM.parse()?,
            search: LogRecovery::new(held, LogOffset::default()),
        };
        if let ReadAnswer::Expired { first } = opened.read()? {
            opened.search = LogRecovery::new(held, first);
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

    /// Appends the rebase to `version` and waits for its verdict.
    ///
    /// Kinds: `ChangeConflict` if another author came first, `ChangeUnknown`,
    /// `LogOverRate`.
    pub fn rebase(
        mut self,
        version: ConfigVersion,
        lists: ListPair,
        meta: ChangeMeta,
    ) -> Result<Publication> {
        let (id, since) = (meta.id, Instant::now());
        let record = RebaseRecord::new(self.base(), version, lists, meta);
        let body = StreamRecord::Rebase(record).encode()?;
        let appended = append_record(&self.log, &self.stream, &body);
        let state = appended.and_then(|()| self.await_verdict(id));
        let state = state.map_err(|error| name_change(error, id))?;
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
            let ReadAnswer::Batch(batch) = self.read()? else {
                let detail = "records expired while they were read";
                return Err(KindError::new(ErrorKind::LogExpired, detail));
            };
            if let Some(result) = self.fold(batch, own)? {
                return Ok(result);
            }
        }
    }

    fn read(&self) -> Result<ReadAnswer> {
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

fn rebased_by_other(state: &ConfigState) -> KindError {
    let version = state.origin().version;
    let detail = format!("the log was rebased to version {version} already");
    KindError::new(ErrorKind::ChangeConflict, detail)
}
