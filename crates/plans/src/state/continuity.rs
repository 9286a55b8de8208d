//! Whether a log and a state belong together.
//!
//! A log may lose its end or begin anew. A reader therefore reads the last
//! record that it folded once more, and a state that arrives from elsewhere
//! must hold the past that was accepted here.

use model::{ErrorKind, KindError, LogOffset, ensure};

use super::{ConfigState, Result};
use crate::change::RULES_VERSION;
use crate::head::{ConfigRecord, StateHash, StateHead};

impl ConfigState {
    /// The offset from which to read so that the last record folded is seen again.
    pub fn resume_offset(&self) -> LogOffset {
        self.last.map_or(self.head.next_offset, |last| last.offset)
    }

    /// Checks the record at [`ConfigState::resume_offset`], read again.
    ///
    /// Fails with `LogDiverged` if it is another than the one folded.
    pub fn check_continuity(&self, record: &ConfigRecord) -> Result<()> {
        let Some(last) = self.last.filter(|last| last.offset == record.offset) else {
            return Ok(());
        };
        if last.hash == StateHash::of_record(record) {
            return Ok(());
        }
        let detail = format!("the record at {} is not the one folded before", last.offset);
        Err(diverged(detail))
    }

    /// Checks the bounds that the log tells of its stream.
    ///
    /// Fails with `LogDiverged` if the stream ends before the last record
    /// folded, with `LogExpired` if it begins after the next one.
    pub fn check_bounds(&self, first: LogOffset, next: LogOffset) -> Result<()> {
        let own = self.head.next_offset;
        if next < own {
            let detail = format!("the stream ends at {next}; {own} were folded before");
            return Err(diverged(detail));
        }
        if first > own {
            let detail = format!("the stream begins at {first}; the fold stands at {own}");
            return Err(KindError::new(ErrorKind::LogExpired, detail));
        }
        Ok(())
    }

    /// Checks that `other`, if ahead, holds the past that was accepted here.
    ///
    /// Fails with `LogDiverged` if a change is missing from it and no rebase
    /// came after that change.
    pub fn check_lineage(&self, other: &Self) -> Result<()> {
        let (head, ahead) = (self.head(), other.head());
        if head.conflicts_with(&ahead) {
            return Err(diverged(format!("another record lies at {}", head.folded)));
        }
        if !head.is_behind(&ahead) || head == StateHead::default() {
            return Ok(());
        }
        if self.origin() != other.origin() {
            let rebased = other.origin().version > head.folded;
            let detail = format!("another log reaches {}", ahead.folded);
            return ensure(rebased, ErrorKind::LogDiverged, &detail);
        }
        let Some(last) = self.history.change(head.version) else {
            return Ok(());
        };
        let forgotten = last.version <= other.history.floor();
        let kept = other.history.change(last.version);
        if forgotten || kept.is_some_and(|change| change.hash == last.hash) {
            return Ok(());
        }
        let detail = format!("version {} is missing from another state", last.version);
        Err(diverged(detail))
    }

    /// Checks what every state reached by folding holds; fails with `SnapshotInvalid`.
    pub(crate) fn check_soundness(&self) -> Result<()> {
        let head = &self.head;
        let ordered = head.version <= head.folded && self.origin.version <= head.folded;
        let sound = ordered && self.rules >= 1 && self.history.is_valid();
        let detail = "the state breaks a rule of folding";
        ensure(sound, ErrorKind::SnapshotInvalid, detail)?;
        if self.rules > RULES_VERSION {
            let detail = format!("the state uses rules {}; update this daemon", self.rules);
            return Err(KindError::new(ErrorKind::RulesUnknown, detail));
        }
        let checked = self.lists.validate();
        checked.map_err(|error| KindError::new(ErrorKind::SnapshotInvalid, error.detail))
    }
}

fn diverged(detail: String) -> KindError {
    KindError::new(ErrorKind::LogDiverged, detail)
}
