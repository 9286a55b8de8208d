//! The replicated state as a port, and the head that names one state of it.
//!
//! The replica is a deterministic fold over the config stream: every daemon
//! that has folded the same records holds the same state. A [`ReplicaHead`]
//! names such a state by its position, which keeps rising over a rebase, and by
//! the offset at which the log goes on. It carries hashes so that two daemons, or
//! a daemon and the log, notice when they differ.

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

    /// Number of the last record folded; unlike the offset it rises over a rebase too.
    fn position(&self) -> ConfigVersion;

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

    /// Whether the update leads to a state that a rebase has moved past this one.
    fn is_rebase(&self, body: &UpdateBody) -> bool;

    /// Begins to search another log, whose first record is at `first`, for a rebase.
    fn begin_rebase_search(&mut self, first: LogOffset);

    /// Folds the next records of the other log beside this state; takes over the
    /// state that a rebase in it has moved past this one.
    fn continue_rebase_search(&mut self, records: &[LogRecord]) -> SearchOutcome;

    /// Forgets the search.
    fn end_rebase_search(&mut self);

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

/// What a search for a rebase came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SearchOutcome {
    /// No rebase yet; the search goes on at this offset.
    Searching(LogOffset),
    /// The replica now holds the rebased state.
    Found,
}

/// A delta or snapshot, encoded by the replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpdateBody(pub Box<[u8]>);

/// Names one state of the replica.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaHead {
    /// Offset of the first record that is not folded in.
    pub next: LogOffset,
    /// Number of the last record folded; heads are ordered by it.
    pub position: ConfigVersion,
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
            position: replica.position(),
            version: replica.version(),
            state_hash: replica.hash(),
            last_record,
        }
    }

    /// Whether this state has folded more than `other`, or was rebased past it.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.position > other.position
    }

    /// Numbers that rebases skipped; another log goes on at other offsets.
    pub(crate) fn skipped(&self) -> u64 {
        self.position.number().wrapping_sub(self.next.0)
    }

    /// Whether both name the same position but differ in state.
    pub fn contradicts(&self, other: &Self) -> bool {
        self.position == other.position && self.state_hash != other.state_hash
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
