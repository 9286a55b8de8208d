//! Decides whether a record is accepted.
//!
//! The decision depends only on the state and the record, not on a clock, a
//! setting or the version of the release, so two releases that implement the
//! rules of a stream make the same decisions.

use model::{ChangeId, ConfigVersion, ErrorKind, KindError, LogOffset};

use super::{ConfigState, Result};
use crate::change::{ChangeRecord, RULES_VERSION, RebaseRecord, RulesRecord, StreamRecord};
use crate::entry::EntryEdit;
use crate::head::ConfigRecord;
use crate::history::{KnownOutcome, refused_before};
use crate::lists::ConfigLists;
use crate::verdict::{ChangeRefusal, ChangeVerdict};

/// Offset of the highest version that a rebase can set; leaves enough versions for all future
/// records.
const MAX_REBASE_OFFSET: LogOffset = LogOffset(1 << 53);

/// Returns the highest version that a rebase can set.
pub(super) fn highest_rebase_version() -> ConfigVersion {
    ConfigVersion::at(MAX_REBASE_OFFSET)
}

/// Decision on a record.
pub(super) enum RecordDecision {
    /// Accepts a change; holds the lists with its edits applied.
    Change(ChangeRecord, ConfigLists),
    /// Accepts a rebase.
    Rebase(RebaseRecord),
    /// Accepts newer rules.
    Rules(RulesRecord),
    /// Refuses the record.
    Refuse(ChangeRefusal),
    /// Ignores a repeated change that has already created this version.
    Repeat(ConfigVersion),
}

impl ConfigState {
    /// Decides on the next record.
    ///
    /// Also returns the change id for which the verdict is recorded. It is `None` if the record
    /// can't be decoded, or if its id is already known: only the first verdict is recorded.
    pub(super) fn decide(
        &self,
        record: &ConfigRecord,
    ) -> Result<(Option<ChangeId>, RecordDecision)> {
        let decoded = match self.decode(&record.body) {
            Ok(decoded) => decoded,
            Err(error) => return Ok((None, RecordDecision::refuse(&error))),
        };
        let id = decoded.id();
        if let Some(outcome) = self.history.known_outcome(id) {
            return Ok((None, RecordDecision::repeat(outcome)));
        }
        let decision = match decoded {
            StreamRecord::Change(change) => self.decide_change(change),
            StreamRecord::Rebase(rebase) => self.decide_rebase(rebase),
            StreamRecord::Rules(rules) => self.decide_rules(rules)?,
        };
        Ok((Some(id), decision))
    }

    /// Returns the refusal of `change`, if it would be refused as the next record.
    ///
    /// Returns `None` for a change whose id is already known, even if it was refused.
    pub fn preview(&self, change: &ChangeRecord) -> Option<ChangeRefusal> {
        if self.history.known_outcome(change.id).is_some() {
            return None;
        }
        match self.decide_change(change.clone()) {
            RecordDecision::Refuse(refusal) => Some(refusal),
            _ => None,
        }
    }

    /// Decodes a record by the rules enabled so far, even if this release implements newer ones.
    fn decode(&self, body: &[u8]) -> Result<StreamRecord> {
        let rules = StreamRecord::rules_of(body)?;
        if rules == 0 || rules > self.rules {
            let detail = format!("rules {rules} are not permitted on this stream");
            return Err(KindError::new(ErrorKind::ChangeRefused, detail));
        }
        StreamRecord::decode(body)
    }

    fn decide_change(&self, change: ChangeRecord) -> RecordDecision {
        if let Err(error) = self.history.check_base(change.base, self.head.folded) {
            return RecordDecision::refuse(&error);
        }
        let edits = self.effective_edits(&change);
        let conflict = self.history.find_conflict(change.base, &edits, &self.lists);
        if let Some((entry, conflict)) = conflict {
            let reason = format!(
                "{entry} was changed by {} in version {}, after base {}",
                conflict.author, conflict.version, change.base
            );
            let mut refusal = ChangeRefusal::new(ErrorKind::ChangeConflict, &reason);
            refusal.conflict = Some(conflict);
            return RecordDecision::Refuse(refusal);
        }
        let mut lists = self.lists.clone();
        for edit in edits {
            lists.set_entry(edit);
        }
        match lists.validate() {
            Ok(()) => RecordDecision::Change(change, lists),
            Err(error) => RecordDecision::refuse(&error),
        }
    }

    /// Returns the edits that change the current value of their entry.
    pub(super) fn effective_edits<'a>(&self, change: &'a ChangeRecord) -> Vec<&'a EntryEdit> {
        let edits = change.edits.iter();
        edits
            .filter(|edit| self.lists.entry(&edit.entry) != edit.after)
            .collect()
    }

    fn decide_rebase(&self, rebase: RebaseRecord) -> RecordDecision {
        let highest = highest_rebase_version();
        if rebase.version < self.next_version() || rebase.version > highest {
            let (version, folded) = (rebase.version, self.head.folded);
            let reason = format!("version {version} must lie after {folded}, up to {highest}");
            let refusal = ChangeRefusal::new(ErrorKind::ChangeRefused, &reason);
            return RecordDecision::Refuse(refusal);
        }
        if let Err(error) = self.history.check_base(rebase.base, self.head.folded) {
            return RecordDecision::refuse(&error);
        }
        if self.head.version > rebase.base {
            let (version, base) = (self.head.version, rebase.base);
            let reason = format!("version {version} was accepted after base {base}");
            let refusal = ChangeRefusal::new(ErrorKind::ChangeConflict, &reason);
            return RecordDecision::Refuse(refusal);
        }
        match rebase.lists.validate() {
            Ok(()) => RecordDecision::Rebase(rebase),
            Err(error) => RecordDecision::refuse(&error),
        }
    }

    fn decide_rules(&self, rules: RulesRecord) -> Result<RecordDecision> {
        if rules.permit != self.rules + 1 {
            let (permit, current) = (rules.permit, self.rules);
            let reason = format!("rules {permit} do not follow rules {current}");
            let refusal = ChangeRefusal::new(ErrorKind::ChangeRefused, &reason);
            return Ok(RecordDecision::Refuse(refusal));
        }
        if rules.permit > RULES_VERSION {
            let detail = format!(
                "the stream permits rules {}; update this daemon",
                rules.permit
            );
            return Err(KindError::new(ErrorKind::RulesUnknown, detail));
        }
        Ok(RecordDecision::Rules(rules))
    }
}

impl RecordDecision {
    fn refuse(error: &KindError) -> Self {
        Self::Refuse(ChangeRefusal::new(error.kind, &error.detail))
    }

    fn repeat(outcome: KnownOutcome) -> Self {
        match outcome {
            KnownOutcome::Accepted(version) => Self::Repeat(version),
            KnownOutcome::Refused => Self::Refuse(refused_before()),
        }
    }

    /// Returns the verdict on the record at `folded`.
    pub(super) fn verdict(&self, folded: ConfigVersion) -> ChangeVerdict {
        match self {
            Self::Change(..) | Self::Rebase(_) | Self::Rules(_) => {
                ChangeVerdict::Accepted { version: folded }
            }
            Self::Refuse(refusal) => ChangeVerdict::Refused(refusal.clone()),
            Self::Repeat(of) => ChangeVerdict::Repeated { of: *of },
        }
    }
}
