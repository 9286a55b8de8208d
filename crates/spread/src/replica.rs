//! The replicated state as a port, and the head that names one state of it.
//!
//! The replica is a deterministic fold over the config stream: every daemon
//! that has folded the same records holds the same state. A [`ReplicaHead`]
//! names such a state by the offset of the next record, and carries hashes so
//! that two daemons, or a daemon and the log, notice when they differ.

use std::fmt::Debug;

use feed::port::LogRecord;
use model::{ConfigVersion, LogOffset};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Results of the replica.
///
/// Kinds: `SnapshotInvalid` (the body does not fit this state or its hash).
pub type Result<T> = model::Result<T>;

/// Largest update that travels between daemons, in bytes.
pub const MAX_UPDATE_BYTES: usize = 3 << 20;

/// The replicated state, as the distributor sees it.
///
/// Every change of the state is whole or not at all, and never to an older one.
pub trait ReplicaPort: Debug + Send {
    /// Offset of the first record that is not folded in.
    fn next_offset(&self) -> LogOffset;

    /// Version of the last accepted change.
    fn version(&self) -> ConfigVersion;

    /// Hash of the whole state; equal on all daemons at one offset.
    fn hash(&self) -> u64;

    /// Folds in records that follow one another from [`Self::next_offset`] on.
    fn fold(&mut self, records: &[LogRecord]) -> FoldReport;

    /// An update from `base` to this state: a delta, or a snapshot where the
    /// base is unknown or the delta larger. `None` if `base` is not older.
    fn update_since(&self, base: &ReplicaHead) -> Option<UpdateBody>;

    /// Applies an update whole; `false` if it leads to no newer state.
    fn apply_update(&mut self, body: &UpdateBody) -> Result<bool>;

    /// The whole state.
    fn snapshot(&self) -> Box<[u8]>;

    /// Replaces the state by the snapshot if that is newer; `false` if not.
    fn restore(&mut self, snapshot: &[u8]) -> Result<bool>;
}

/// What folding a batch of records did.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FoldReport {
    /// Records that changed the state.
    pub accepted: u32,
    /// Records that were refused.
    pub refused: u32,
}

/// A delta or snapshot, encoded by the replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpdateBody(pub Box<[u8]>);

/// Names one state of the replica.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaHead {
    /// Offset of the first record that is not folded in.
    pub next: LogOffset,
    /// Version of the last accepted change.
    pub version: ConfigVersion,
    /// Hash of the state.
    pub state_hash: u64,
    /// Hash of the last record folded in, see [`record_hash`]; 0 if there is none.
    pub last_record: u64,
}

impl ReplicaHead {
    /// The head of `replica`, whose last record has the hash `last_record`.
    pub fn of(replica: &dyn ReplicaPort, last_record: u64) -> Self {
        Self {
            next: replica.next_offset(),
            version: replica.version(),
            state_hash: replica.hash(),
            last_record,
        }
    }

    /// Whether this state follows `other` in the log.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.next > other.next
    }

    /// Whether both name the same place in the log but differ in state.
    pub fn contradicts(&self, other: &Self) -> bool {
        self.next == other.next && self.state_hash != other.state_hash
    }
}

/// An update together with the heads that it joins.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeadUpdate {
    /// The head that it was made for.
    pub base: ReplicaHead,
    /// The head that it leads to.
    pub target: ReplicaHead,
    /// The encoded change.
    pub body: UpdateBody,
}

/// Hash of a record, by which a daemon recognises it in the log.
pub fn record_hash(record: &LogRecord) -> u64 {
    xxh3_64_with_seed(&record.body, record.offset.0).max(1)
}
