//! Updates that one daemon sends another to bring it up to date.
//!
//! A delta consists of the records between two heads. It is applied by folding
//! them, so it can't be applied partially, out of order or to another base. If
//! the base is no longer retained, or the delta would be larger than a
//! snapshot, the snapshot is sent instead.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::head::{ConfigRecord, StateHead};

/// Maximum number of records retained for deltas.
pub const MAX_RING_RECORDS: usize = 256;
/// Maximum size of the records retained for deltas, in bytes.
pub const MAX_RING_BYTES: usize = 1 << 20;
/// Estimated size of a record without its body, to compare a delta with a snapshot.
const RECORD_OVERHEAD_BYTES: usize = 20;

/// Records between two heads.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StateDelta {
    /// Head before the first record.
    pub from: StateHead,
    /// Head after the last record.
    pub to: StateHead,
    /// Records in stream order.
    pub records: Vec<ConfigRecord>,
}

impl StateDelta {
    /// Returns the approximate size of the delta, in bytes.
    pub fn size(&self) -> usize {
        self.records.iter().map(record_size).sum()
    }
}

/// An update of another daemon's replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StateUpdate {
    /// Records since the head of the other replica.
    Delta(StateDelta),
    /// An encoded [`crate::snapshot::StateSnapshot`].
    Snapshot(Box<[u8]>),
}

/// The last folded records, limited in number and size.
#[derive(Clone, Debug, Default)]
pub struct RecordRing {
    entries: VecDeque<RingEntry>,
    bytes: usize,
}

#[derive(Clone, Debug)]
struct RingEntry {
    before: StateHead,
    record: ConfigRecord,
}

impl RecordRing {
    /// Appends a record and the head before it; drops the oldest records beyond the limits.
    pub fn push(&mut self, before: StateHead, record: ConfigRecord) {
        self.bytes += record_size(&record);
        self.entries.push_back(RingEntry { before, record });
        while self.entries.len() > MAX_RING_RECORDS || self.bytes > MAX_RING_BYTES {
            let Some(oldest) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= record_size(&oldest.record);
        }
    }

    /// Drops all records.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    /// Returns whether `head` precedes one of the retained records.
    pub fn contains(&self, head: &StateHead) -> bool {
        self.position(head).is_some()
    }

    /// Returns the records from `base` to `to`, or `None` if `base` is no longer retained.
    pub fn delta_since(&self, base: &StateHead, to: StateHead) -> Option<StateDelta> {
        let start = self.position(base)?;
        let entries = self.entries.range(start..);
        Some(StateDelta {
            from: *base,
            to,
            records: entries.map(|entry| entry.record.clone()).collect(),
        })
    }

    fn position(&self, head: &StateHead) -> Option<usize> {
        let found = self
            .entries
            .binary_search_by_key(&head.folded, |entry| entry.before.folded);
        found
            .ok()
            .filter(|index| self.entries[*index].before == *head)
    }
}

fn record_size(record: &ConfigRecord) -> usize {
    record.body.len() + RECORD_OVERHEAD_BYTES
}
