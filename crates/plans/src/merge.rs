//! Three-way merge of accepted changes into an operator's folder with local edits.
//!
//! A folder holds both lists, created from some version, its base. Local edits
//! and changes accepted since then both apply to the base; edits of different
//! entries are combined. An entry that both sides set to different values is
//! a conflict, which the operator has to resolve.

use std::collections::BTreeMap;

use crate::entry::{EntryEdit, EntryName, EntryValue, diff_entry};
use crate::lists::ConfigLists;

/// Result of merging accepted changes into a folder's lists.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListMerge {
    /// The folder's lists with all changes that don't conflict.
    pub lists: ConfigLists,
    /// Accepted changes that were applied to the folder's lists.
    pub incoming_edits: Vec<EntryEdit>,
    /// Edits of the folder that don't conflict.
    pub local_edits: Vec<EntryEdit>,
    /// Entries changed differently by both sides; `lists` holds the folder's values.
    pub conflicts: Vec<MergeConflict>,
}

/// An entry that the folder and an accepted change set to different values.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MergeConflict {
    /// Conflicting entry.
    pub entry: EntryName,
    /// Value in the accepted lists.
    pub accepted: Option<EntryValue>,
    /// Value in the folder's lists.
    pub local: Option<EntryValue>,
}

impl MergeConflict {
    /// Returns a line diff from the accepted value to the folder's value.
    pub fn diff(&self) -> String {
        diff_entry(&self.entry, self.accepted.as_ref(), self.local.as_ref())
    }
}

/// Merges the `accepted` lists into `local`, where both are derived from `base`.
pub fn merge_lists(base: &ConfigLists, local: &ConfigLists, accepted: &ConfigLists) -> ListMerge {
    let local_edits = base.edits_to(local);
    let mut accepted_edits = edits_by_entry(base.edits_to(accepted));
    let mut merge = ListMerge {
        lists: local.clone(),
        incoming_edits: Vec::new(),
        local_edits: Vec::new(),
        conflicts: Vec::new(),
    };
    for edit in local_edits {
        match accepted_edits.remove(&edit.entry) {
            None => merge.local_edits.push(edit),
            Some(after) if after == edit.after => {}
            Some(after) => merge.conflicts.push(MergeConflict {
                entry: edit.entry,
                accepted: after,
                local: edit.after,
            }),
        }
    }
    for (entry, after) in accepted_edits {
        let edit = EntryEdit { entry, after };
        merge.lists.set_entry(&edit);
        merge.incoming_edits.push(edit);
    }
    merge
}

fn edits_by_entry(edits: Vec<EntryEdit>) -> BTreeMap<EntryName, Option<EntryValue>> {
    let pairs = edits.into_iter().map(|edit| (edit.entry, edit.after));
    pairs.collect()
}
