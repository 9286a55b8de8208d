//! Bringing what others changed into a folder that holds edits of its own.
//!
//! A folder was made from the lists of some version. Edits in the folder and
//! changes accepted since are both edits of those lists; where they touch
//! different entries, both stand. An entry that both gave another value is a
//! clash, for its author to decide.

use std::collections::BTreeMap;

use crate::entry::{EntryEdit, EntryName, EntryValue, diff_entry};
use crate::lists::ConfigLists;

/// A folder's lists with the changes of others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListMerge {
    /// The folder's lists with every change that does not clash.
    pub lists: ConfigLists,
    /// The changes of others that were brought in.
    pub incoming_edits: Vec<EntryEdit>,
    /// The folder's own edits that stand.
    pub local_edits: Vec<EntryEdit>,
    /// The entries that both changed; the lists hold the folder's values.
    pub conflicts: Vec<MergeConflict>,
}

/// An entry that the folder and another author changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MergeConflict {
    /// The entry.
    pub entry: EntryName,
    /// What the accepted lists hold.
    pub accepted: Option<EntryValue>,
    /// What the folder holds.
    pub own: Option<EntryValue>,
}

impl MergeConflict {
    /// What the folder would change of the accepted value, line by line.
    pub fn diff(&self) -> String {
        diff_entry(&self.entry, self.accepted.as_ref(), self.own.as_ref())
    }
}

/// Merges `own`, made from `base`, with the `accepted` lists that followed on `base`.
pub fn merge_lists(base: &ConfigLists, own: &ConfigLists, accepted: &ConfigLists) -> ListMerge {
    let own_edits = base.edits_to(own);
    let mut others = edits_by_entry(base.edits_to(accepted));
    let mut merge = ListMerge {
        lists: own.clone(),
        incoming_edits: Vec::new(),
        local_edits: Vec::new(),
        conflicts: Vec::new(),
    };
    for edit in own_edits {
        match others.remove(&edit.entry) {
            None => merge.local_edits.push(edit),
            Some(after) if after == edit.after => {}
            Some(after) => merge.conflicts.push(MergeConflict {
                entry: edit.entry,
                accepted: after,
                own: edit.after,
            }),
        }
    }
    for (entry, after) in others {
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
