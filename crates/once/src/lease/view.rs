//! The holders of all ranges, in the form that daemons send to each other.

use std::sync::Arc;

use model::LogOffset;
use serde::{Deserialize, Serialize};

use super::types::{HolderId, KeyRange, TermEpoch};

/// Holders of all ranges as of an offset of the lease stream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseView {
    /// Records below this offset are included; of two views the one with the higher offset wins.
    pub next: LogOffset,
    /// One row for each range that has a term, in ascending order.
    pub rows: Arc<[HolderRow]>,
}

/// Holder of the latest term of one range.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HolderRow {
    /// Range that is held.
    pub range: KeyRange,
    /// Holder of the range.
    pub holder: HolderId,
    /// Epoch of the holder's term.
    pub epoch: TermEpoch,
}

impl LeaseView {
    /// Returns whether every range is valid and the rows ascend without duplicates.
    pub fn is_valid(&self) -> bool {
        self.rows.len() <= KeyRange::COUNT
            && self.rows.iter().all(|row| row.range.index().is_some())
            && self
                .rows
                .is_sorted_by(|left, right| left.range < right.range)
    }

    /// Returns the row of `range`.
    pub fn row(&self, range: KeyRange) -> Option<&HolderRow> {
        let found = self.rows.binary_search_by_key(&range, |row| row.range);
        found.ok().map(|index| &self.rows[index])
    }
}
