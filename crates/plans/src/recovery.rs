//! Finding the way on after the log lost records or began anew.
//!
//! A daemon that noticed the loss keeps its state and reads the log again from
//! its first record. A [`LogRecovery`] folds what it reads into a state of its
//! own until a rebase has moved the version past the one held; only that
//! state may then take the place of the old one. Without a rebase it never
//! hands out a state, however long the new log grows.

use model::{ConfigVersion, LogOffset};

use crate::head::{ConfigRecord, StateHead};
use crate::state::{ConfigState, Result};

/// Reads a log that diverged, in search of a rebase.
#[derive(Clone, Debug)]
pub struct LogRecovery {
    held: StateHead,
    next: LogOffset,
    candidate: Option<ConfigState>,
}

impl LogRecovery {
    /// A search in the stream that now begins at `first`, for the daemon that holds `held`.
    pub fn new(held: StateHead, first: LogOffset) -> Self {
        let whole = first == LogOffset(0);
        Self {
            held,
            next: first,
            candidate: whole.then(ConfigState::new),
        }
    }

    /// A search that goes on from a snapshot which belongs to the log.
    pub fn from_snapshot(held: StateHead, state: ConfigState) -> Self {
        Self {
            held,
            next: state.next_offset(),
            candidate: Some(state),
        }
    }

    /// The offset to read next.
    pub fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// The last record folded: the base of a rebase that is appended next.
    pub fn base(&self) -> ConfigVersion {
        let last = self.next.0.checked_sub(1).map(LogOffset);
        let by_offset = last.map_or(ConfigVersion::NONE, ConfigVersion::at);
        self.candidate.as_ref().map_or(by_offset, ConfigState::base)
    }

    /// Takes the next record; tells the state to go on with once a rebase allows it.
    ///
    /// A record at another offset is passed over.
    pub fn fold(&mut self, record: &ConfigRecord) -> Result<Option<ConfigState>> {
        if record.offset != self.next {
            return Ok(None);
        }
        if let Some(state) = &mut self.candidate {
            state.apply(record)?;
        } else {
            // The start of the log has expired: only a rebase is a place to begin.
            let started = ConfigState::from_rebase(record).ok();
            self.candidate = started.filter(|state| is_past_loss(state, &self.held));
        }
        self.next = record.offset.next();
        let candidate = self.candidate.as_ref();
        let found = candidate.filter(|state| is_past_loss(state, &self.held));
        Ok(found.cloned())
    }
}

/// Whether a rebase moved the version past the state held.
fn is_past_loss(state: &ConfigState, held: &StateHead) -> bool {
    state.origin().version > held.folded
}
