//! Checks that a state matches a log or another state.
//!
//! A log may lose its tail or be started over. A reader therefore reads the
//! last folded record again, and a state received from elsewhere must contain
//! the changes that were accepted locally.

use model::{ErrorKind, KindError, LogOffset, ensure};

use super::{ConfigState, Result};
use crate::change::RULES_VERSION;
use crate::head::{ConfigRecord, StateHash, StateHead};

impl ConfigState {
    /// Returns the offset from which to resume, so that the last folded record is read again.
    pub fn resume_offset(&self) -> LogOffset {
        self.last.map_or(self.head.next_offset, |last| last.offset)
    }

    /// Checks the record at [`ConfigState::resume_offset`] after reading it again.
    ///
    /// Fails with `LogDiverged` if it differs from the folded record.
    pub fn check_continuity(&self, record: &ConfigRecord) -> Result<()> {
        let Some(last) = self.last.filter(|last| last.offset == record.offset) else {
            return Ok(());
        };
        if last.hash == StateHash::of_record(record) {
            return Ok(());
        }
        let detail = format!(
            "the record at {} differs from the one folded earlier",
            last.offset
        );
        Err(diverged(detail))
    }

    /// Checks the first and next offset that the log reports for its stream.
    ///
    /// Fails with `LogDiverged` if the stream ends before the last folded
    /// record, and with `LogExpired` if it begins after the next record.
    pub fn check_bounds(&self, first: LogOffset, next: LogOffset) -> Result<()> {
        let own_next = self.head.next_offset;
        if next < own_next {
            let detail =
                format!("the stream ends at {next}, but {own_next} records have been folded");
            return Err(diverged(detail));
        }
        if first > own_next {
            let detail = format!("the stream begins at {first}, but the next record is {own_next}");
            return Err(KindError::new(ErrorKind::LogExpired, detail));
        }
        Ok(())
    }

    /// Checks that `other`, if ahead, contains the changes accepted locally.
    ///
    /// Fails with `LogDiverged` if it lacks a change and no rebase followed
    /// that change, or if it has a different record at the same version. A
    /// change that `other` has dropped from its history can't be compared and
    /// passes.
    pub fn check_lineage(&self, other: &Self) -> Result<()> {
        let (head, other_head) = (self.head(), other.head());
        if head.conflicts_with(&other_head) {
            return Err(diverged(format!(
                "the other state has a different record at {}",
                head.folded
            )));
        }
        if !head.is_behind(&other_head) || head == StateHead::default() {
            return Ok(());
        }
        if self.origin() != other.origin() {
            let rebased = other.origin().version > head.folded;
            let detail = format!(
                "the other state is from a different log, at {}",
                other_head.folded
            );
            return ensure(rebased, ErrorKind::LogDiverged, &detail);
        }
        let Some(last) = self.history.change(head.version) else {
            return Ok(());
        };
        let dropped = last.version <= other.history.floor();
        let retained = other.history.change(last.version);
        if dropped || retained.is_some_and(|change| change.hash == last.hash) {
            return Ok(());
        }
        let detail = format!("version {} is missing from the other state", last.version);
        Err(diverged(detail))
    }

    /// Checks the invariants that folding maintains.
    ///
    /// Fails with `SnapshotInvalid`, or with `RulesUnknown` if the state uses
    /// rules that this release does not implement.
    pub(crate) fn check_invariants(&self) -> Result<()> {
        let head = &self.head;
        let ordered = head.version <= head.folded && self.origin.version <= head.folded;
        let valid = ordered && self.rules >= 1 && self.history.is_valid();
        let detail = "the state violates an invariant of folding";
        ensure(valid, ErrorKind::SnapshotInvalid, detail)?;
        if self.rules > RULES_VERSION {
            let detail = format!(
                "the state uses rules version {}; update this daemon",
                self.rules
            );
            return Err(KindError::new(ErrorKind::RulesUnknown, detail));
        }
        let checked = self.lists.validate();
        checked.map_err(|error| KindError::new(ErrorKind::SnapshotInvalid, error.detail))
    }
}

fn diverged(detail: String) -> KindError {
    KindError::new(ErrorKind::LogDiverged, detail)
}
