//! A state together with what is needed to share it.
//!
//! A [`ConfigReplica`] is what a daemon holds: it folds records read from the
//! log, takes updates from peers, and makes updates for them. Whatever
//! arrives, late, twice or crossed, its head only moves forward, and only
//! along one past: a state that contradicts what was accepted here before is
//! refused with `LogDiverged`, unless a rebase moved the version past it.

use std::sync::Arc;

use model::{ErrorKind, KindError};

use crate::delta::{MAX_RING_RECORDS, RecordRing, StateDelta, StateUpdate};
use crate::head::{ConfigRecord, StateHead};
use crate::snapshot::{StateSnapshot, encode_state};
use crate::state::ConfigState;
use crate::verdict::ChangeVerdict;

/// Results of taking and making updates.
///
/// Kinds: those of folding, `SnapshotInvalid`, `FrameInvalid`, `LogDiverged`.
pub type Result<T> = model::Result<T>;

/// What an update did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateOutcome {
    /// The head moved forward.
    Advanced,
    /// The update holds nothing new.
    Stale,
    /// The delta follows upon a head that is not ours; ask for another update.
    BaseUnknown,
}

/// A state that is shared with peers.
#[derive(Clone, Debug, Default)]
pub struct ConfigReplica {
    state: Arc<ConfigState>,
    ring: RecordRing,
    snapshot: Option<(StateHead, Arc<[u8]>)>,
}

impl ConfigReplica {
    /// A replica before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// A replica that goes on from `state`.
    pub fn from_state(state: ConfigState) -> Self {
        Self {
            state: Arc::new(state),
            ..Self::default()
        }
    }

    /// The state.
    pub fn state(&self) -> &ConfigState {
        &self.state
    }

    /// The state, to be read while the replica moves on.
    pub fn shared_state(&self) -> Arc<ConfigState> {
        Arc::clone(&self.state)
    }

    /// Where the state stands.
    pub fn head(&self) -> StateHead {
        self.state.head()
    }

    /// Folds the next record of the log.
    pub fn fold(&mut self, record: ConfigRecord) -> Result<ChangeVerdict> {
        let before = self.head();
        let state = Arc::make_mut(&mut self.state);
        let verdict = state.apply(&record)?;
        if verdict == ChangeVerdict::Ignored {
            return Ok(verdict);
        }
        if state.head().folded == state.origin().version {
            // Earlier records lead to no state that a peer may still hold.
            self.ring.clear();
        }
        self.ring.push(before, record);
        Ok(verdict)
    }

    /// Takes an update from a peer, whole or not at all.
    pub fn apply_update(&mut self, update: &StateUpdate) -> Result<UpdateOutcome> {
        match update {
            StateUpdate::Delta(delta) => self.apply_delta(delta),
            StateUpdate::Snapshot(bytes) => self.apply_snapshot(bytes),
        }
    }

    /// Folds the records of a delta that are new.
    pub fn apply_delta(&mut self, delta: &StateDelta) -> Result<UpdateOutcome> {
        if delta.records.len() > MAX_RING_RECORDS {
            let detail = format!("a delta of {} records", delta.records.len());
            return Err(KindError::new(ErrorKind::FrameInvalid, detail));
        }
        if !self.head().is_behind(&delta.to) {
            return Ok(UpdateOutcome::Stale);
        }
        let follows = delta.from == self.head() || self.ring.remembers(&delta.from);
        if !follows {
            return Ok(UpdateOutcome::BaseUnknown);
        }
        let mut replica = self.clone();
        for record in &delta.records {
            replica.fold(record.clone())?;
        }
        if replica.head() != delta.to {
            let detail = "the records of a delta do not lead to its head";
            return Err(KindError::new(ErrorKind::FrameInvalid, detail));
        }
        *self = replica;
        Ok(UpdateOutcome::Advanced)
    }

    /// Takes an encoded snapshot that is ahead of the state.
    pub fn apply_snapshot(&mut self, bytes: &[u8]) -> Result<UpdateOutcome> {
        let snapshot = StateSnapshot::decode(bytes)?;
        self.adopt_state(snapshot.into_state())
    }

    /// Takes a state that is ahead of this one.
    ///
    /// Fails with `LogDiverged` if it lacks a change that was accepted here
    /// and no rebase came after it.
    pub fn adopt_state(&mut self, state: ConfigState) -> Result<UpdateOutcome> {
        self.state.check_lineage(&state)?;
        if !self.head().is_behind(&state.head()) {
            return Ok(UpdateOutcome::Stale);
        }
        self.state = Arc::new(state);
        self.ring.clear();
        Ok(UpdateOutcome::Advanced)
    }

    /// The records since `base`, or none if they are not kept.
    pub fn delta_since(&self, base: &StateHead) -> Option<StateDelta> {
        self.ring.delta_since(base, self.head())
    }

    /// What brings a daemon at `base` up to date, the smaller of delta and snapshot.
    ///
    /// None if `base` is not behind.
    pub fn update_for(&mut self, base: &StateHead) -> Result<Option<StateUpdate>> {
        if !base.is_behind(&self.head()) {
            return Ok(None);
        }
        let snapshot = self.snapshot_bytes()?;
        let update = match self.delta_since(base) {
            Some(delta) if delta.size() <= snapshot.len() => StateUpdate::Delta(delta),
            _ => StateUpdate::Snapshot((*snapshot).into()),
        };
        Ok(Some(update))
    }

    /// The encoded snapshot of the state; encoded once for each head.
    pub fn snapshot_bytes(&mut self) -> Result<Arc<[u8]>> {
        let head = self.head();
        if let Some((at, bytes)) = &self.snapshot
            && *at == head
        {
            return Ok(Arc::clone(bytes));
        }
        let bytes: Arc<[u8]> = encode_state(&self.state)?.into();
        self.snapshot = Some((head, Arc::clone(&bytes)));
        Ok(bytes)
    }
}
