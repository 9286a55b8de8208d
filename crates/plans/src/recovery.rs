//! Finding the way on after the log lost records or began anew.
//!
//! A daemon that noticed the loss keeps its state and reads the log again from
//! its first record. A [`LogRecovery`] folds what it reads into a state of its
//! own until a rebase has moved the version past the one held; only that
//! state may then take the place of the old one. Without a rebase it never
//! hands out a state, however long the new log grows.
//!
//! Where the first records have expired it cannot fold. It then still bounds
//! the number that the log's end may have reached, from the offsets and from
//! the versions that the records name, so that a rebase can be set past it.

use model::{ConfigVersion, LogOffset};

use crate::change::StreamRecord;
use crate::head::{ConfigRecord, StateHead};
use crate::state::{ConfigState, Result};

/// Highest number taken from a record that could not be judged.
const MAX_NAMED: u64 = 1 << 52;

/// Reads a log that diverged, in search of a rebase.
#[derive(Clone, Debug)]
pub struct LogRecovery {
    held: StateHead,
    next: LogOffset,
    candidate: Option<ConfigState>,
    /// Number that the last record passed over may have.
    reached: u64,
}

impl LogRecovery {
    /// A search in the stream that now begins at `first`, for the daemon that holds `held`.
    pub fn new(held: StateHead, first: LogOffset) -> Self {
        let whole = first == LogOffset(0);
        Self {
            held,
            next: first,
            candidate: whole.then(ConfigState::new),
            reached: first.0,
        }
    }

    /// A search that goes on from a snapshot which belongs to the log.
    pub fn from_snapshot(held: StateHead, state: ConfigState) -> Self {
        Self {
            held,
            next: state.next_offset(),
            reached: state.base().number(),
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

    /// The state at the last record, where it can be folded; not to be served.
    pub fn candidate(&self) -> Option<&ConfigState> {
        self.candidate.as_ref()
    }

    /// The highest number that the last record may have for a daemon that folded it.
    pub fn max_version(&self) -> ConfigVersion {
        let folded = self.candidate.as_ref().map(ConfigState::base);
        let passed = self.reached.checked_sub(1).map(LogOffset);
        folded.unwrap_or_else(|| passed.map_or(ConfigVersion::NONE, ConfigVersion::at))
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
            self.reached = (self.reached + 1).max(named_number(record));
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

/// The least number of a record, if what it names was seen in the same log.
fn named_number(record: &ConfigRecord) -> u64 {
    let number = match StreamRecord::decode(&record.body) {
        Ok(StreamRecord::Change(change)) => change.base.number().saturating_add(1),
        Ok(StreamRecord::Rebase(rebase)) => rebase.version.max(rebase.base).number(),
        Ok(StreamRecord::Rules(_)) | Err(_) => 0,
    };
    if number > MAX_NAMED { 0 } else { number }
}
