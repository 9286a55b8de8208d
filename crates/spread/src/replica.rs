//! The port to the replicated state, and the head that identifies one of its states.
//!
//! The replica is a deterministic fold over the config stream: every daemon that
//! has folded the same records has the same state. A [`ReplicaHead`] identifies a
//! state by its position, which increases even across a rebase, and by the offset
//! at which the log continues. Its hashes reveal when two daemons, or a daemon and
//! the log, differ.
//!
//! A rebase is a record that replaces the whole state and moves it to a higher
//! position, so that daemons can follow a log that lost records or was started anew.

use std::fmt::Debug;

use feed::port::LogRecord;
use model::{ConfigVersion, LogOffset};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Result of an operation on the replica.
///
/// Kinds: those of the replica, among them `SnapshotInvalid` (the body does not match
/// this state or its hash) and `LogDiverged` (the state belongs to another log).
pub type Result<T> = model::Result<T>;

/// Maximum size of an update between daemons, in bytes.
pub const MAX_UPDATE_BYTES: usize = 3 << 20;

/// Replicated state as used by the distributor.
///
/// Every change of the state is atomic and never leads to an older state.
pub trait ReplicaPort: Debug + Send {
    /// Returns the offset of the first record that is not folded in.
    fn next_offset(&self) -> LogOffset;

    /// Returns the number of the last record folded in, which unlike the offset
    /// also increases across a rebase.
    fn position(&self) -> ConfigVersion;

    /// Returns the version of the last accepted change.
    fn version(&self) -> ConfigVersion;

    /// Returns the hash of the whole state, which is equal on all daemons at the same
    /// position that follow the same log.
    fn hash(&self) -> u64;

    /// Folds in consecutive records starting at [`Self::next_offset`].
    fn fold(&mut self, records: &[LogRecord]) -> FoldReport;

    /// Returns an update from `base` to this state: a delta, or a snapshot if the
    /// base is unknown or the delta is larger. `None` if `base` is not older.
    fn update_since(&self, base: &ReplicaHead) -> Option<UpdateBody>;

    /// Applies an update atomically; returns `false` if it leads to no newer state.
    fn apply_update(&mut self, body: &UpdateBody) -> Result<bool>;

    /// Returns whether the update leads to a state that a rebase has moved past this one.
    fn is_rebase(&self, body: &UpdateBody) -> bool;

    /// Starts to search a log that differs from the folded one, with its first
    /// record at `first`, for a rebase.
    fn begin_rebase_search(&mut self, first: LogOffset);

    /// Folds the next records of the searched log separately from this state, and
    /// adopts a state that a rebase in it has moved past this one.
    fn continue_rebase_search(&mut self, records: &[LogRecord]) -> SearchOutcome;

    /// Ends the search and drops its state.
    fn end_rebase_search(&mut self);

    /// Returns the whole state, encoded.
    fn snapshot(&self) -> Box<[u8]>;

    /// Replaces the state by the snapshot if it is newer; returns `false` if not.
    fn restore(&mut self, snapshot: &[u8]) -> Result<bool>;
}

/// Result of folding a batch of records.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FoldReport {
    /// Number of records that changed the state.
    pub accepted: u32,
    /// Number of records that were refused.
    pub refused: u32,
}

/// Result of a search for a rebase.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SearchOutcome {
    /// No rebase found yet; the search continues at this offset.
    Searching(LogOffset),
    /// The replica has adopted the rebased state.
    Found,
}

/// Delta or snapshot, encoded by the replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpdateBody(pub Box<[u8]>);

/// Identifies one state of the replica.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaHead {
    /// Offset of the first record that is not folded in.
    pub next: LogOffset,
    /// Number of the last record folded in, by which heads are ordered.
    pub position: ConfigVersion,
    /// Version of the last accepted change.
    pub version: ConfigVersion,
    /// Hash of the state.
    pub state_hash: u64,
    /// Hash of the last record folded in, see [`record_hash`]; 0 if there is none.
    pub last_record: u64,
}

impl ReplicaHead {
    /// Returns the head of `replica`, whose last record has the hash `last_record`.
    pub fn of(replica: &dyn ReplicaPort, last_record: u64) -> Self {
        Self {
            next: replica.next_offset(),
            position: replica.position(),
            version: replica.version(),
            state_hash: replica.hash(),
            last_record,
        }
    }

    /// Returns whether this state has folded more records than `other`, or was rebased past it.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.position > other.position
    }

    /// Returns the difference between position and offset, which only a rebase changes.
    pub(crate) fn rebase_shift(&self) -> u64 {
        self.position.number().wrapping_sub(self.next.0)
    }

    /// Returns whether both have the same position but different states.
    pub fn contradicts(&self, other: &Self) -> bool {
        self.position == other.position && self.state_hash != other.state_hash
    }
}

/// Update together with the heads it starts from and leads to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeadUpdate {
    /// Head that the update applies to.
    pub base: ReplicaHead,
    /// Head that the update leads to.
    pub target: ReplicaHead,
    /// Encoded change.
    pub body: UpdateBody,
}

/// Returns the hash by which a daemon recognizes a record in the log; never 0.
pub fn record_hash(record: &LogRecord) -> u64 {
    xxh3_64_with_seed(&record.body, record.offset.0).max(1)
}
