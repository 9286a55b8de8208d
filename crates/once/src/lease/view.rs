//! Who holds which range, in the form that daemons pass on.

use std::sync::Arc;

use model::LogOffset;
use serde::{Deserialize, Serialize};

use super::types::{HolderId, KeyRange, TermEpoch};

/// The holders of all ranges after the records below an offset.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseView {
    /// Records below this offset are folded in; the higher view wins.
    pub next: LogOffset,
    /// One row for each range that has a term.
    pub rows: Arc<[HolderRow]>,
}

/// The latest term of one range.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HolderRow {
    /// The range.
    pub range: KeyRange,
    /// Its holder.
    pub holder: HolderId,
    /// The holder's epoch.
    pub epoch: TermEpoch,
}

impl LeaseView {
    /// Whether every row is in range and no range stands twice.
    pub fn is_valid(&self) -> bool {
        self.rows.len() <= KeyRange::COUNT
            && self.rows.iter().all(|row| row.range.index().is_some())
            && self
                .rows
                .is_sorted_by(|left, right| left.range < right.range)
    }

    /// The row of `range`.
    pub fn row(&self, range: KeyRange) -> Option<&HolderRow> {
        let found = self.rows.binary_search_by_key(&range, |row| row.range);
        found.ok().map(|index| &self.rows[index])
    }
}
