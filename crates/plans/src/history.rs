//! The recent past of a fold, bounded.
//!
//! A change is judged against what happened since its base, so the fold
//! remembers the accepted changes and the change ids of the last
//! [`CHANGE_WINDOW`] records and refuses a base that is older. One window
//! serves conflicts, undo and repeated appends alike: a repeat that is
//! accepted by its base lies within the window in which its id is known.

use std::collections::{BTreeMap, VecDeque};
use std::time::SystemTime;

use model::{AuthorName, ChangeId, ConfigVersion, ErrorKind, KindError};
use serde::{Deserialize, Serialize};

use crate::entry::{EntryEdit, EntryName, EntryValue, diff_entry};
use crate::head::StateHash;
use crate::lists::ConfigLists;
use crate::verdict::{
    ChangeConflict, ChangeRefusal, ChangeVerdict, MAX_DIFF_BYTES, VerdictEntry, cut_text,
};

/// Results of looking back; kind `ChangeConflict`.
pub type Result<T> = model::Result<T>;

/// Records after its base within which a change must be appended.
pub const CHANGE_WINDOW: u64 = 512;
/// Most edits remembered over all accepted changes.
pub const MAX_RECENT_EDITS: usize = 2048;
/// Verdicts remembered with their reasons.
pub const RECENT_VERDICTS: usize = 32;

/// A change that was accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedChange {
    /// The version that it made.
    pub version: ConfigVersion,
    /// Identity of the change.
    pub id: ChangeId,
    /// Who published it.
    pub author: AuthorName,
    /// When the log service took it, by its clock.
    pub at: SystemTime,
    /// Why, in one line.
    pub note: Box<str>,
    /// What the entries held before.
    pub before: Vec<EntryEdit>,
    /// Chain hash of the fold after the change.
    pub hash: StateHash,
}

/// A change id that was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct RefusedId {
    id: ChangeId,
    folded: ConfigVersion,
}

/// What was decided when a change id first came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum KnownOutcome {
    /// It made this version.
    Accepted(ConfigVersion),
    /// It changed nothing.
    Refused,
}

impl KnownOutcome {
    /// The verdict, without the reason of a refusal.
    fn verdict(self) -> ChangeVerdict {
        match self {
            Self::Accepted(version) => ChangeVerdict::Accepted { version },
            Self::Refused => ChangeVerdict::Refused(refused_before()),
        }
    }
}

/// The refusal of a change whose id was refused before.
pub(crate) fn refused_before() -> ChangeRefusal {
    let reason = "a change of this id was refused before";
    ChangeRefusal::new(ErrorKind::ChangeRefused, reason)
}

/// The recent past of a fold.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ChangeHistory {
    /// Lowest base against which a change can be judged.
    floor: ConfigVersion,
    recent: VecDeque<AcceptedChange>,
    refused: VecDeque<RefusedId>,
    verdicts: VecDeque<VerdictEntry>,
}

impl ChangeHistory {
    /// A past that begins with the version `floor`.
    pub fn from_floor(floor: ConfigVersion) -> Self {
        Self {
            floor,
            ..Self::default()
        }
    }

    /// Lowest base against which a change can be judged.
    pub fn floor(&self) -> ConfigVersion {
        self.floor
    }

    /// Accepted changes, oldest first.
    pub fn changes(&self) -> impl DoubleEndedIterator<Item = &AcceptedChange> {
        self.recent.iter()
    }

    /// The accepted change that made `version`.
    pub fn change(&self, version: ConfigVersion) -> Option<&AcceptedChange> {
        let found = self
            .recent
            .binary_search_by_key(&version, |change| change.version);
        found.ok().map(|index| &self.recent[index])
    }

    /// Accepted changes after `base`, oldest first.
    fn changes_after(
        &self,
        base: ConfigVersion,
    ) -> impl DoubleEndedIterator<Item = &AcceptedChange> {
        let start = self.recent.partition_point(|change| change.version <= base);
        self.recent.range(start..)
    }

    /// What was decided when the change id first came, within the window.
    pub fn known_outcome(&self, id: ChangeId) -> Option<KnownOutcome> {
        let accepted = self.recent.iter().find(|change| change.id == id);
        if let Some(change) = accepted {
            return Some(KnownOutcome::Accepted(change.version));
        }
        let refused = self.refused.iter().any(|refused| refused.id == id);
        refused.then_some(KnownOutcome::Refused)
    }

    /// The first verdict on a change id, while remembered.
    pub fn verdict_of(&self, id: ChangeId) -> Option<ChangeVerdict> {
        let entry = self.verdicts.iter().find(|entry| entry.id == id);
        if let Some(entry) = entry {
            return Some(entry.verdict.clone());
        }
        self.known_outcome(id).map(KnownOutcome::verdict)
    }

    /// Remembers the first verdict on a change id.
    pub fn remember_verdict(
        &mut self,
        id: ChangeId,
        folded: ConfigVersion,
        verdict: &ChangeVerdict,
    ) {
        if matches!(verdict, ChangeVerdict::Refused(_)) {
            self.refused.push_back(RefusedId { id, folded });
        }
        let verdict = verdict.clone();
        self.verdicts.push_back(VerdictEntry { id, verdict });
        if self.verdicts.len() > RECENT_VERDICTS {
            self.verdicts.pop_front();
        }
    }

    /// Remembers an accepted change.
    pub fn remember_change(&mut self, change: AcceptedChange) {
        self.recent.push_back(change);
    }

    /// Forgets what lies before the window that ends at `folded`.
    pub fn prune(&mut self, folded: ConfigVersion) {
        let start = version_number(folded).saturating_sub(CHANGE_WINDOW);
        let is_past = |version| version_number(version) < start;
        let oldest_refused = |history: &Self| history.refused.front().map(|refused| refused.folded);
        while oldest_refused(self).is_some_and(is_past) {
            self.refused.pop_front();
        }
        let mut edits: usize = self.recent.iter().map(|change| change.before.len()).sum();
        while let Some(oldest) = self.recent.front() {
            if !is_past(oldest.version) && edits <= MAX_RECENT_EDITS {
                break;
            }
            edits -= oldest.before.len();
            self.floor = oldest.version;
            self.recent.pop_front();
        }
    }

    /// Fails with `ChangeConflict` if what happened since `base` is forgotten or yet to come.
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

    /// The lists as they were at `base`, from the lists as they are.
    pub fn lists_at(&self, base: ConfigVersion, lists: &ConfigLists) -> ConfigLists {
        let mut lists = lists.clone();
        for change in self.changes_after(base).rev() {
            for edit in &change.before {
                lists.set_entry(edit);
            }
        }
        lists
    }

    /// The last change after `base` of each entry that changed since.
    pub fn changed_since(&self, base: ConfigVersion) -> BTreeMap<&EntryName, &AcceptedChange> {
        let changes = self.changes_after(base);
        let entries = changes.flat_map(|change| {
            let edits = change.before.iter();
            edits.map(move |edit| (&edit.entry, change))
        });
        entries.collect()
    }

    /// What `entry` held at `base`, given what it holds now.
    fn value_at(
        &self,
        base: ConfigVersion,
        entry: &EntryName,
        now: Option<EntryValue>,
    ) -> Option<EntryValue> {
        let mut edits = self.changes_after(base).flat_map(|change| &change.before);
        match edits.find(|edit| edit.entry == *entry) {
            Some(edit) => edit.after.clone(),
            None => now,
        }
    }

    /// The clash of `edits` made upon `base` with later changes of the same entries.
    pub fn find_conflict(
        &self,
        base: ConfigVersion,
        edits: &[&EntryEdit],
        lists: &ConfigLists,
    ) -> Option<(EntryName, ChangeConflict)> {
        let changed = self.changed_since(base);
        let clashes = edits.iter().filter_map(|edit| {
            let change = changed.get(&edit.entry)?;
            Some((&edit.entry, *change))
        });
        let clashes: Vec<(&EntryName, &AcceptedChange)> = clashes.collect();
        let (entry, latest) = *clashes.iter().max_by_key(|(_, change)| change.version)?;
        let mut diff = String::new();
        for (entry, _) in &clashes {
            let now = lists.entry(entry);
            let before = self.value_at(base, entry, now.clone());
            diff.push_str(&diff_entry(entry, before.as_ref(), now.as_ref()));
            if diff.len() > MAX_DIFF_BYTES {
                break;
            }
        }
        let conflict = ChangeConflict {
            author: latest.author.clone(),
            version: latest.version,
            diff: cut_text(&diff, MAX_DIFF_BYTES),
        };
        Some((entry.clone(), conflict))
    }

    /// What the change of `version` did, line by line.
    pub fn diff_of(&self, version: ConfigVersion, lists: &ConfigLists) -> Option<String> {
        let change = self.change(version)?;
        let mut text = String::new();
        for edit in &change.before {
            let after = self.value_at(version, &edit.entry, lists.entry(&edit.entry));
            text.push_str(&diff_entry(
                &edit.entry,
                edit.after.as_ref(),
                after.as_ref(),
            ));
        }
        Some(text)
    }

    /// Whether sizes and order are those that folding leads to.
    pub fn is_sound(&self) -> bool {
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

/// The version as a number: 0 for none.
pub(crate) fn version_number(version: ConfigVersion) -> u64 {
    version.offset().map_or(0, |offset| offset.0 + 1)
}
