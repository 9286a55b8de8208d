//! Bounded history of recent changes.
//!
//! A change is checked for conflicts with the changes accepted since its base.
//! The state therefore retains the accepted changes and the change ids of the
//! last [`CHANGE_WINDOW`] records, and refuses a change with an older base. The
//! same window serves conflict detection, undo and deduplication: a change is
//! only appended after its base, so if the base of a repeated append lies
//! within the window, so does the first append, and its id is still known.

use std::collections::{BTreeMap, VecDeque};
use std::time::SystemTime;

use model::{AuthorName, ChangeId, ConfigVersion, ErrorKind, KindError};
use serde::{Deserialize, Serialize};

use crate::entry::{EntryEdit, EntryName, EntryValue, diff_entry};
use crate::head::StateHash;
use crate::lists::ConfigLists;
use crate::verdict::{
    ChangeConflict, ChangeRefusal, ChangeVerdict, MAX_DIFF_BYTES, VerdictEntry, truncate_text,
};

/// Result of checking a change against the history; fails with `ChangeConflict`.
pub type Result<T> = model::Result<T>;

/// Maximum difference between the version numbers of a change and its base.
pub const CHANGE_WINDOW: u64 = 512;
/// Maximum number of edits retained over all accepted changes.
pub const MAX_RECENT_EDITS: usize = 2048;
/// Maximum number of verdicts retained together with their reasons.
pub const RECENT_VERDICTS: usize = 32;

/// A change that was accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedChange {
    /// Version created by the change.
    pub version: ConfigVersion,
    /// Unique id of the change.
    pub id: ChangeId,
    /// Author of the change.
    pub author: AuthorName,
    /// Time of the append, by the clock of the log service.
    pub at: SystemTime,
    /// Reason for the change, in one line.
    pub note: Box<str>,
    /// Edits that restore the previous values of the changed entries.
    pub before: Vec<EntryEdit>,
    /// Chain hash of the state after the change.
    pub hash: StateHash,
}

/// Id of a refused change and the record that contained it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct RefusedId {
    id: ChangeId,
    /// Version number of the record.
    folded: ConfigVersion,
}

/// Decision on the first record with a change id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum KnownOutcome {
    /// The change was accepted and created this version.
    Accepted(ConfigVersion),
    /// The change was refused.
    Refused,
}

impl KnownOutcome {
    /// Converts to a verdict, without the original reason of a refusal.
    fn verdict(self) -> ChangeVerdict {
        match self {
            Self::Accepted(version) => ChangeVerdict::Accepted { version },
            Self::Refused => ChangeVerdict::Refused(refused_before()),
        }
    }
}

/// Returns the refusal of a change whose id has already been refused.
pub(crate) fn refused_before() -> ChangeRefusal {
    let reason = "a change of this id was refused before";
    ChangeRefusal::new(ErrorKind::ChangeRefused, reason)
}

/// Recent changes and verdicts of a state.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ChangeHistory {
    /// Lowest base from which all later changes are retained.
    floor: ConfigVersion,
    recent: VecDeque<AcceptedChange>,
    refused: VecDeque<RefusedId>,
    verdicts: VecDeque<VerdictEntry>,
}

impl ChangeHistory {
    /// Creates an empty history that starts at the version `floor`.
    pub fn from_floor(floor: ConfigVersion) -> Self {
        Self {
            floor,
            ..Self::default()
        }
    }

    /// Returns the lowest base from which all later changes are retained.
    pub fn floor(&self) -> ConfigVersion {
        self.floor
    }

    /// Returns the retained changes, oldest first.
    pub fn changes(&self) -> impl DoubleEndedIterator<Item = &AcceptedChange> {
        self.recent.iter()
    }

    /// Returns the accepted change that created `version`.
    pub fn change(&self, version: ConfigVersion) -> Option<&AcceptedChange> {
        let found = self
            .recent
            .binary_search_by_key(&version, |change| change.version);
        found.ok().map(|index| &self.recent[index])
    }

    /// Returns the accepted changes after `base`, oldest first.
    fn changes_after(
        &self,
        base: ConfigVersion,
    ) -> impl DoubleEndedIterator<Item = &AcceptedChange> {
        let start = self.recent.partition_point(|change| change.version <= base);
        self.recent.range(start..)
    }

    /// Returns the decision on the first record with the id, if it is within the window.
    pub fn known_outcome(&self, id: ChangeId) -> Option<KnownOutcome> {
        let accepted = self.recent.iter().find(|change| change.id == id);
        if let Some(change) = accepted {
            return Some(KnownOutcome::Accepted(change.version));
        }
        let refused = self.refused.iter().any(|refused| refused.id == id);
        refused.then_some(KnownOutcome::Refused)
    }

    /// Returns the first verdict on a change id, if it is retained.
    pub fn verdict_of(&self, id: ChangeId) -> Option<ChangeVerdict> {
        let entry = self.verdicts.iter().find(|entry| entry.id == id);
        if let Some(entry) = entry {
            return Some(entry.verdict.clone());
        }
        self.known_outcome(id).map(KnownOutcome::verdict)
    }

    /// Records the first verdict on a change id.
    pub fn record_verdict(&mut self, id: ChangeId, folded: ConfigVersion, verdict: &ChangeVerdict) {
        if matches!(verdict, ChangeVerdict::Refused(_)) {
            self.refused.push_back(RefusedId { id, folded });
        }
        let verdict = verdict.clone();
        self.verdicts.push_back(VerdictEntry { id, verdict });
        if self.verdicts.len() > RECENT_VERDICTS {
            self.verdicts.pop_front();
        }
    }

    /// Records an accepted change.
    pub fn record_change(&mut self, change: AcceptedChange) {
        self.recent.push_back(change);
    }

    /// Drops everything before the window that ends at the last folded record.
    pub fn prune(&mut self, folded: ConfigVersion) {
        let start = version_number(folded).saturating_sub(CHANGE_WINDOW);
        let is_expired = |version| version_number(version) < start;
        let oldest_refused = |history: &Self| history.refused.front().map(|refused| refused.folded);
        while oldest_refused(self).is_some_and(is_expired) {
            self.refused.pop_front();
        }
        let mut edits: usize = self.recent.iter().map(|change| change.before.len()).sum();
        while let Some(oldest) = self.recent.front() {
            if !is_expired(oldest.version) && edits <= MAX_RECENT_EDITS {
                break;
            }
            edits -= oldest.before.len();
            self.floor = oldest.version;
            self.recent.pop_front();
        }
    }

    /// Fails with `ChangeConflict` if `base` is after the last folded record or no longer retained.
    pub fn check_base(&self, base: ConfigVersion, folded: ConfigVersion) -> Result<()> {
        if base > folded {
            let detail =
                format!("base {base} lies after {folded}, the end of this log; pull again");
            return Err(KindError::new(ErrorKind::ChangeConflict, detail));
        }
        let distance = version_number(folded) - version_number(base);
        if base < self.floor || distance >= CHANGE_WINDOW {
            let detail = format!("base {base} is too old to compare; pull and publish again");
            return Err(KindError::new(ErrorKind::ChangeConflict, detail));
        }
        Ok(())
    }

    /// Reconstructs the lists at `base` from the current `lists`.
    pub fn lists_at(&self, base: ConfigVersion, lists: &ConfigLists) -> ConfigLists {
        let mut lists = lists.clone();
        for change in self.changes_after(base).rev() {
            for edit in &change.before {
                lists.set_entry(edit);
            }
        }
        lists
    }

    /// Returns the last change of each entry that was edited after `base`.
    pub fn changed_since(&self, base: ConfigVersion) -> BTreeMap<&EntryName, &AcceptedChange> {
        let changes = self.changes_after(base);
        let entries = changes.flat_map(|change| {
            let edits = change.before.iter();
            edits.map(move |edit| (&edit.entry, change))
        });
        entries.collect()
    }

    /// Returns the value of `entry` at `base`, given its current value.
    fn value_at(
        &self,
        base: ConfigVersion,
        entry: &EntryName,
        current: Option<EntryValue>,
    ) -> Option<EntryValue> {
        let mut edits = self.changes_after(base).flat_map(|change| &change.before);
        match edits.find(|edit| edit.entry == *entry) {
            // The edit restores the value from before the change.
            Some(edit) => edit.after.clone(),
            None => current,
        }
    }

    /// Returns the conflict of `edits` based on `base` with later changes of the same entries.
    pub fn find_conflict(
        &self,
        base: ConfigVersion,
        edits: &[&EntryEdit],
        lists: &ConfigLists,
    ) -> Option<(EntryName, ChangeConflict)> {
        let changed = self.changed_since(base);
        let conflicts = edits.iter().filter_map(|edit| {
            let change = changed.get(&edit.entry)?;
            Some((&edit.entry, *change))
        });
        let conflicts: Vec<(&EntryName, &AcceptedChange)> = conflicts.collect();
        let (entry, latest) = *conflicts.iter().max_by_key(|(_, change)| change.version)?;
        let mut diff = String::new();
        for (entry, _) in &conflicts {
            let current = lists.entry(entry);
            let before = self.value_at(base, entry, current.clone());
            diff.push_str(&diff_entry(entry, before.as_ref(), current.as_ref()));
            if diff.len() > MAX_DIFF_BYTES {
                break;
            }
        }
        let conflict = ChangeConflict {
            author: latest.author.clone(),
            version: latest.version,
            diff: truncate_text(&diff, MAX_DIFF_BYTES),
        };
        Some((entry.clone(), conflict))
    }

    /// Returns a line diff of the change that created `version`.
    pub fn diff_of(&self, version: ConfigVersion, lists: &ConfigLists) -> Option<String> {
        let change = self.change(version)?;
        let mut text = String::new();
        for edit in &change.before {
            let after = self.value_at(version, &edit.entry, lists.entry(&edit.entry));
            // The edit restores the value from before the change.
            text.push_str(&diff_entry(
                &edit.entry,
                edit.after.as_ref(),
                after.as_ref(),
            ));
        }
        Some(text)
    }

    /// Returns whether sizes and order respect the invariants that folding maintains.
    pub fn is_valid(&self) -> bool {
        let edits: usize = self.recent.iter().map(|change| change.before.len()).sum();
        let versions = || self.recent.iter().map(|change| change.version);
        let window = CHANGE_WINDOW as usize + 1;
        self.recent.len() <= window
            && self.refused.len() <= window
            && self.verdicts.len() <= RECENT_VERDICTS
            && edits <= MAX_RECENT_EDITS
            && versions().is_sorted()
            && versions().all(|version| version >= self.floor)
    }
}

/// Returns the version as a number, 0 for `ConfigVersion::NONE`.
pub(crate) fn version_number(version: ConfigVersion) -> u64 {
    version.offset().map_or(0, |offset| offset.0 + 1)
}
