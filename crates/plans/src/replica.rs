//! A daemon's replica of the state and the data to update its peers.
//!
//! A [`ConfigReplica`] folds records read from the log, applies updates from
//! peers and creates updates for them. Updates may arrive late, repeatedly or
//! out of order: the head only moves forward, along a single history. A state
//! that contradicts the changes accepted locally is refused with
//! `LogDiverged`, unless a rebase moved its version past them.

use std::sync::Arc;

use model::{ErrorKind, KindError};

use crate::delta::{MAX_RING_RECORDS, RecordRing, StateDelta, StateUpdate};
use crate::head::{ConfigRecord, StateHead};
use crate::snapshot::{StateSnapshot, encode_state};
use crate::state::ConfigState;
use crate::verdict::ChangeVerdict;

/// Result of applying and creating updates.
///
/// Fails with the error kinds of folding, or with `SnapshotInvalid`, `FrameInvalid`
/// or `LogDiverged`.
pub type Result<T> = model::Result<T>;

/// Effect of an update on the replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateOutcome {
    /// The head moved forward.
    Advanced,
    /// The update contains nothing new.
    Stale,
    /// The delta is based on a head that the replica doesn't retain; request another update.
    BaseUnknown,
}

/// A state that is replicated between daemons.
#[derive(Clone, Debug, Default)]
pub struct ConfigReplica {
    state: Arc<ConfigState>,
    ring: RecordRing,
    snapshot: Option<(StateHead, Arc<[u8]>)>,
}

impl ConfigReplica {
    /// Creates a replica that has folded no records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a replica that continues from `state`.
    pub fn from_state(state: ConfigState) -> Self {
        Self {
            state: Arc::new(state),
            ..Self::default()
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> &ConfigState {
        &self.state
    }

    /// Returns a shared reference to the current state, which later updates don't change.
    pub fn shared_state(&self) -> Arc<ConfigState> {
        Arc::clone(&self.state)
    }

    /// Returns the position of the state in the log.
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
            // The record is a rebase or the first one of a log. A rebase supersedes all earlier
            // states; records that lead to them are not retained.
            self.ring.clear();
        }
        self.ring.push(before, record);
        Ok(verdict)
    }

    /// Applies an update from a peer, either completely or not at all.
    pub fn apply_update(&mut self, update: &StateUpdate) -> Result<UpdateOutcome> {
        match update {
            StateUpdate::Delta(delta) => self.apply_delta(delta),
            StateUpdate::Snapshot(bytes) => self.apply_snapshot(bytes),
        }
    }

    /// Folds the new records of a delta.
    pub fn apply_delta(&mut self, delta: &StateDelta) -> Result<UpdateOutcome> {
        if delta.records.len() > MAX_RING_RECORDS {
            let detail = format!("a delta of {} records", delta.records.len());
            return Err(KindError::new(ErrorKind::FrameInvalid, detail));
        }
        if !self.head().is_behind(&delta.to) {
            return Ok(UpdateOutcome::Stale);
        }
        let base_known = delta.from == self.head() || self.ring.contains(&delta.from);
        if !base_known {
            return Ok(UpdateOutcome::BaseUnknown);
        }
        let mut replica = self.clone();
        for record in &delta.records {
            replica.fold(record.clone())?;
        }
        if replica.head() != delta.to {
            let detail = "the records of the delta do not produce its head";
            return Err(KindError::new(ErrorKind::FrameInvalid, detail));
        }
        *self = replica;
        Ok(UpdateOutcome::Advanced)
    }

    /// Adopts an encoded snapshot if it is ahead of the current state.
    pub fn apply_snapshot(&mut self, bytes: &[u8]) -> Result<UpdateOutcome> {
        let snapshot = StateSnapshot::decode(bytes)?;
        self.adopt_state(snapshot.into_state())
    }

    /// Replaces the current state with `state` if that is ahead.
    ///
    /// Fails with `LogDiverged` if `state` lacks a change accepted locally and
    /// no rebase followed that change.
    pub fn adopt_state(&mut self, state: ConfigState) -> Result<UpdateOutcome> {
        self.state.check_lineage(&state)?;
        if !self.head().is_behind(&state.head()) {
            return Ok(UpdateOutcome::Stale);
        }
        self.state = Arc::new(state);
        self.ring.clear();
        Ok(UpdateOutcome::Advanced)
    }

    /// Returns the records since `base`, or `None` if they are no longer retained.
    pub fn delta_since(&self, base: &StateHead) -> Option<StateDelta> {
        self.ring.delta_since(base, self.head())
    }

    /// Returns the smaller of delta and snapshot to update a daemon at `base`.
    ///
    /// Returns `None` if `base` is not behind.
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

    /// Returns the encoded snapshot of the state, which is cached for each head.
    pub fn snapshot_bytes(&mut self) -> Result<Arc<[u8]>> {
        let head = self.head();
        if let Some((snapshot_head, bytes)) = &self.snapshot
            && *snapshot_head == head
        {
            return Ok(Arc::clone(bytes));
        }
        let bytes: Arc<[u8]> = encode_state(&self.state)?.into();
        self.snapshot = Some((head, Arc::clone(&bytes)));
        Ok(bytes)
    }
}
