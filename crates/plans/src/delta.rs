//! What one daemon sends another to bring it up to date.
//!
//! A delta is the records between two heads. Applying it means folding them,
//! so it cannot be applied in part, out of order or upon another base. Where
//! the base is not remembered or the delta would be larger, the whole state
//! is sent in its place.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::head::{ConfigRecord, StateHead};

/// Most records kept for deltas.
pub const MAX_RING_RECORDS: usize = 256;
/// Most bytes of records kept for deltas.
pub const MAX_RING_BYTES: usize = 1 << 20;
/// Bytes of a record beside its body, for the choice between delta and snapshot.
const RECORD_OVERHEAD_BYTES: usize = 20;

/// The records between two heads.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StateDelta {
    /// The head upon which the records follow.
    pub from: StateHead,
    /// The head after the last record.
    pub to: StateHead,
    /// The records, in order.
    pub records: Vec<ConfigRecord>,
}

impl StateDelta {
    /// Bytes that the delta takes, nearly.
    pub fn size(&self) -> usize {
        self.records.iter().map(record_size).sum()
    }
}

/// What brings another daemon up to date.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StateUpdate {
    /// The records since its head.
    Delta(StateDelta),
    /// An encoded [`crate::snapshot::StateSnapshot`].
    Snapshot(Box<[u8]>),
}

/// The last records folded, bounded by count and bytes.
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
    /// Remembers a record and the head before it.
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

    /// Forgets all records.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    /// Whether the fold once stood at `head`, as far back as records are kept.
    pub fn remembers(&self, head: &StateHead) -> bool {
        self.position(head).is_some()
    }

    /// The records from `base` to `to`, or none if `base` is not remembered.
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
