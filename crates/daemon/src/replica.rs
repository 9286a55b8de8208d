//! Adapts [`ConfigReplica`] to the interface of the distributor.
//!
//! A head is the position of a configuration state in the log. The distributor identifies it by
//! the number of the last folded record and a short hash of the state, and exchanges updates as
//! encoded bytes.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use feed::LogRecord;
use model::{ConfigVersion, ErrorKind, KindError, LogOffset};
use plans::head::{ConfigRecord, StateHash, StateHead};
use plans::replica::{ConfigReplica, UpdateOutcome};
use plans::{ChangeVerdict, ConfigState, LogRecovery, StateSnapshot, StateUpdate};
use spread::replica::{FoldReport, ReplicaHead, ReplicaPort, Result, SearchOutcome, UpdateBody};

/// Number of recent heads kept to recognize the head of a peer.
const MAX_HEADS: usize = 256;

/// The configuration replica of one daemon.
#[derive(Debug, Default)]
pub struct PlansReplica {
    // A mutex, because creating an update caches the encoded snapshot through `&self`.
    replica: Mutex<ConfigReplica>,
    heads: VecDeque<StateHead>,
    fold_error: Option<KindError>,
    /// Search of a diverged log for a rebase, which moves the log's version past the one held.
    search: Option<LogRecovery>,
}

impl PlansReplica {
    /// Returns the current state, which stays readable while the replica advances.
    pub fn state(&self) -> Arc<ConfigState> {
        self.lock().shared_state()
    }

    /// Returns the error if the last record could not be applied.
    pub fn fold_error(&self) -> Option<&KindError> {
        self.fold_error.as_ref()
    }

    fn lock(&self) -> MutexGuard<'_, ConfigReplica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn head(&self) -> StateHead {
        self.lock().head()
    }

    fn record_head(&mut self) {
        let head = self.head();
        self.heads.push_back(head);
        if self.heads.len() > MAX_HEADS {
            self.heads.pop_front();
        }
    }

    fn find_head(&self, base: &ReplicaHead) -> Option<StateHead> {
        let matches_base = |head: &&StateHead| {
            head.folded == base.position && short_hash(head.hash) == base.state_hash
        };
        self.heads.iter().rev().find(matches_base).copied()
    }

    fn apply(&mut self, update: &StateUpdate) -> Result<bool> {
        let outcome = self.lock().apply_update(update)?;
        Ok(self.track_outcome(outcome))
    }

    /// Adopts the state after a rebase that was found in a diverged log; returns `false` if it
    /// may not replace the current one.
    fn adopt_rebased(&mut self, state: ConfigState) -> bool {
        let adopted = self.lock().adopt_state(state);
        adopted.is_ok_and(|outcome| self.track_outcome(outcome))
    }

    fn track_outcome(&mut self, outcome: UpdateOutcome) -> bool {
        let advanced = outcome == UpdateOutcome::Advanced;
        if advanced {
            self.fold_error = None;
            self.record_head();
        }
        advanced
    }
}

impl ReplicaPort for PlansReplica {
    fn next_offset(&self) -> LogOffset {
        self.head().next_offset
    }

    fn position(&self) -> ConfigVersion {
        self.head().folded
    }

    fn version(&self) -> ConfigVersion {
        self.head().version
    }

    fn hash(&self) -> u64 {
        short_hash(self.head().hash)
    }

    fn fold(&mut self, records: &[LogRecord]) -> FoldReport {
        let mut report = FoldReport::default();
        for record in records {
            let folded = self.lock().fold(config_record(record));
            match folded {
                Ok(ChangeVerdict::Accepted { .. }) => report.accepted += 1,
                Ok(ChangeVerdict::Refused(_)) => report.refused += 1,
                Ok(ChangeVerdict::Repeated { .. } | ChangeVerdict::Ignored) => {}
                Err(error) => {
                    self.fold_error = Some(error);
                    return report;
                }
            }
            self.fold_error = None;
            self.record_head();
        }
        report
    }

    fn update_since(&self, base: &ReplicaHead) -> Option<UpdateBody> {
        // An unknown base is updated from the empty state.
        let base = self.find_head(base).unwrap_or_default();
        let update = self.lock().update_for(&base).ok()??;
        let body = bincode::serde::encode_to_vec(&update, bincode::config::standard()).ok()?;
        Some(UpdateBody(body.into()))
    }

    fn apply_update(&mut self, body: &UpdateBody) -> Result<bool> {
        self.apply(&decode_update(body)?)
    }

    fn is_rebase(&self, body: &UpdateBody) -> bool {
        let Ok(StateUpdate::Snapshot(bytes)) = decode_update(body) else {
            return false;
        };
        let snapshot = StateSnapshot::decode(&bytes);
        let origin = snapshot.map(|snapshot| snapshot.into_state().origin().version);
        origin.is_ok_and(|version| version > self.head().folded)
    }

    fn begin_rebase_search(&mut self, first: LogOffset) {
        self.search = Some(LogRecovery::new(self.head(), first));
    }

    fn continue_rebase_search(&mut self, records: &[LogRecord]) -> SearchOutcome {
        let Some(mut search) = self.search.take() else {
            return SearchOutcome::Searching(LogOffset::default());
        };
        for record in records {
            match search.fold(&config_record(record)) {
                Ok(Some(state)) => {
                    if self.adopt_rebased(state) {
                        return SearchOutcome::Found;
                    }
                }
                Ok(None) => {}
                // The record requires a newer release.
                Err(_) => break,
            }
        }
        let next = search.next_offset();
        self.search = Some(search);
        SearchOutcome::Searching(next)
    }

    fn end_rebase_search(&mut self) {
        self.search = None;
    }

    fn snapshot(&self) -> Box<[u8]> {
        let bytes = self.lock().snapshot_bytes();
        bytes.map(|bytes| Box::from(&*bytes)).unwrap_or_default()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<bool> {
        self.apply(&StateUpdate::Snapshot(snapshot.into()))
    }
}

fn config_record(record: &LogRecord) -> ConfigRecord {
    ConfigRecord {
        offset: record.offset,
        at: record.at,
        body: record.body.clone(),
    }
}

fn decode_update(body: &UpdateBody) -> Result<StateUpdate> {
    // Limits what an update of a peer may allocate, to 16 MiB.
    let config = bincode::config::standard().with_limit::<{ 16 << 20 }>();
    bincode::serde::decode_from_slice(&body.0, config)
        .map(|(update, _)| update)
        .map_err(|error| KindError::new(ErrorKind::FrameInvalid, error.to_string()))
}

/// Returns the part of a state's hash that identifies its head.
fn short_hash(hash: StateHash) -> u64 {
    let bytes = hash.as_bytes().first_chunk::<8>();
    bytes.map_or(0, |bytes| u64::from_le_bytes(*bytes))
}
