//! The configuration's replica as the distributor sees it.
//!
//! Adapts [`ConfigReplica`] to the distributor's port: heads are named by the
//! next offset and a short hash, updates travel as bytes.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use feed::LogRecord;
use model::{ConfigVersion, ErrorKind, KindError, LogOffset};
use plans::head::{ConfigRecord, StateHash, StateHead};
use plans::replica::{ConfigReplica, UpdateOutcome};
use plans::{ChangeVerdict, ConfigState, StateUpdate};
use spread::replica::{FoldReport, ReplicaHead, ReplicaPort, Result, UpdateBody};

/// Heads remembered, so that a peer's head can be told from an unknown one.
const MAX_HEADS: usize = 256;

/// The replica of one daemon.
#[derive(Debug, Default)]
pub struct PlansReplica {
    // Making an update caches the encoded snapshot, though it changes no state.
    replica: Mutex<ConfigReplica>,
    heads: VecDeque<StateHead>,
    stuck: Option<KindError>,
}

impl PlansReplica {
    /// The state, to be read while the replica moves on.
    pub fn state(&self) -> Arc<ConfigState> {
        self.lock().shared_state()
    }

    /// Why the last record could not be folded, if it could not.
    pub fn stuck(&self) -> Option<&KindError> {
        self.stuck.as_ref()
    }

    fn lock(&self) -> MutexGuard<'_, ConfigReplica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn head(&self) -> StateHead {
        self.lock().head()
    }

    fn remember(&mut self) {
        let head = self.head();
        self.heads.push_back(head);
        if self.heads.len() > MAX_HEADS {
            self.heads.pop_front();
        }
    }

    fn find_head(&self, base: &ReplicaHead) -> Option<StateHead> {
        let fits = |head: &&StateHead| {
            head.next_offset == base.next && short_hash(head.hash) == base.state_hash
        };
        self.heads.iter().rev().find(fits).copied()
    }

    fn take(&mut self, update: &StateUpdate) -> Result<bool> {
        let outcome = self.lock().take_update(update)?;
        if outcome == UpdateOutcome::Advanced {
            self.stuck = None;
            self.remember();
        }
        Ok(outcome == UpdateOutcome::Advanced)
    }
}

impl ReplicaPort for PlansReplica {
    fn next_offset(&self) -> LogOffset {
        self.head().next_offset
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
            let record = ConfigRecord {
                offset: record.offset,
                at: record.at,
                body: record.body.clone(),
            };
            let folded = self.lock().fold(record);
            match folded {
                Ok(ChangeVerdict::Accepted { .. }) => report.accepted += 1,
                Ok(ChangeVerdict::Refused(_)) => report.refused += 1,
                Ok(ChangeVerdict::Repeated { .. } | ChangeVerdict::Ignored) => {}
                Err(error) => {
                    self.stuck = Some(error);
                    return report;
                }
            }
            self.stuck = None;
            self.remember();
        }
        report
    }

    fn update_since(&self, base: &ReplicaHead) -> Option<UpdateBody> {
        let base = self.find_head(base).unwrap_or_default();
        let update = self.lock().update_for(&base).ok()??;
        let body = bincode::serde::encode_to_vec(&update, bincode::config::standard()).ok()?;
        Some(UpdateBody(body.into()))
    }

    fn apply_update(&mut self, body: &UpdateBody) -> Result<bool> {
        let config = bincode::config::standard().with_limit::<{ 16 << 20 }>();
        let (update, _) = bincode::serde::decode_from_slice(&body.0, config)
            .map_err(|error| KindError::new(ErrorKind::FrameInvalid, error.to_string()))?;
        self.take(&update)
    }

    fn snapshot(&self) -> Box<[u8]> {
        let bytes = self.lock().snapshot_bytes();
        bytes.map(|bytes| Box::from(&*bytes)).unwrap_or_default()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<bool> {
        self.take(&StateUpdate::Snapshot(snapshot.into()))
    }
}

/// The part of a state's hash that travels with heads.
fn short_hash(hash: StateHash) -> u64 {
    let bytes = hash.as_bytes().first_chunk::<8>();
    bytes.map_or(0, |bytes| u64::from_le_bytes(*bytes))
}
