//! Recovery after the log lost records or was started over.
//!
//! A daemon that detects the loss keeps its state and reads the log again from
//! its first record. A [`LogRecovery`] folds these records into a separate
//! state until a rebase moves its version past the one held by the daemon;
//! only then may that state replace the old one. Without a rebase it never
//! returns a state, however long the new log grows.
//!
//! If the first records have expired, folding is not possible. In that case the
//! last version in the log is estimated from the offsets and from the versions
//! named in the records, so that a rebase can be placed above it. An expired
//! rebase that no later record names is missing from the estimate.

use model::{ConfigVersion, LogOffset};

use crate::change::StreamRecord;
use crate::head::{ConfigRecord, StateHead};
use crate::state::{ConfigState, Result};

/// Maximum version number taken from a record that was not folded; higher ones are ignored.
///
/// It is half of the highest version that a rebase can set, so a forged record can't prevent a
/// rebase above the estimate.
const MAX_NAMED_VERSION: u64 = 1 << 52;

/// Reads a diverged log until it finds a rebase.
#[derive(Clone, Debug)]
pub struct LogRecovery {
    held: StateHead,
    next: LogOffset,
    candidate: Option<ConfigState>,
    /// Estimated version number of the last record read without folding, the highest so far.
    max_number: u64,
}

impl LogRecovery {
    /// Starts a recovery for a daemon at `held`, from a stream that now begins at `first`.
    pub fn new(held: StateHead, first: LogOffset) -> Self {
        let complete = first == LogOffset(0);
        Self {
            held,
            next: first,
            candidate: complete.then(ConfigState::new),
            max_number: first.0,
        }
    }

    /// Starts a recovery from a snapshot that belongs to the log.
    pub fn from_snapshot(held: StateHead, state: ConfigState) -> Self {
        Self {
            held,
            next: state.next_offset(),
            max_number: state.base().number(),
            candidate: Some(state),
        }
    }

    /// Returns the offset of the next record to read.
    pub fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// Returns the version number of the last record read, the base of a rebase appended next.
    ///
    /// If the log could not be folded, it is derived from the offset of the record.
    pub fn base(&self) -> ConfigVersion {
        let last = self.next.0.checked_sub(1).map(LogOffset);
        let by_offset = last.map_or(ConfigVersion::NONE, ConfigVersion::at);
        self.candidate.as_ref().map_or(by_offset, ConfigState::base)
    }

    /// Returns the state at the last record, if the log could be folded.
    ///
    /// It must not replace the daemon's state; only a state returned by [`Self::fold`] may.
    pub fn candidate(&self) -> Option<&ConfigState> {
        self.candidate.as_ref()
    }

    /// Returns the highest version number in the log, which is that of the last record read.
    ///
    /// It is estimated if the log could not be folded.
    pub fn max_version(&self) -> ConfigVersion {
        let folded = self.candidate.as_ref().map(ConfigState::base);
        let estimate = self.max_number.checked_sub(1).map(LogOffset);
        folded.unwrap_or_else(|| estimate.map_or(ConfigVersion::NONE, ConfigVersion::at))
    }

    /// Reads the next record; returns the state to continue from once a rebase permits it.
    ///
    /// A record at any other offset is ignored.
    pub fn fold(&mut self, record: &ConfigRecord) -> Result<Option<ConfigState>> {
        if record.offset != self.next {
            return Ok(None);
        }
        if let Some(state) = &mut self.candidate {
            state.apply(record)?;
        } else {
            self.max_number = (self.max_number + 1).max(min_version_number(record));
            // The start of the log has expired, so folding can only start at a rebase.
            let rebased = ConfigState::from_rebase(record).ok();
            self.candidate = rebased.filter(|state| is_rebased_past(state, &self.held));
        }
        self.next = record.offset.next();
        let candidate = self.candidate.as_ref();
        let recovered = candidate.filter(|state| is_rebased_past(state, &self.held));
        Ok(recovered.cloned())
    }
}

/// Returns whether a rebase moved the version past the held state.
fn is_rebased_past(state: &ConfigState, held: &StateHead) -> bool {
    state.origin().version > held.folded
}

/// Returns a lower bound of a record's version number, from the versions that it names.
///
/// Holds if the record's author read those versions in the same log.
fn min_version_number(record: &ConfigRecord) -> u64 {
    let number = match StreamRecord::decode(&record.body) {
        Ok(StreamRecord::Change(change)) => change.base.number().saturating_add(1),
        Ok(StreamRecord::Rebase(rebase)) => rebase.version.max(rebase.base).number(),
        Ok(StreamRecord::Rules(_)) | Err(_) => 0,
    };
    if number > MAX_NAMED_VERSION {
        0
    } else {
        number
    }
}
