//! Configuration of customers, services and plans, from the operator's files
//! to the lookup table of a proxy.
//!
//! Operators write `plans.jsonc` and `allowances.jsonc`. This crate parses and
//! validates them ([`ConfigLists`]), encodes an edit of them as a log record
//! ([`ChangeRecord`]), folds the log's records into a state that is identical
//! on every reader ([`ConfigState`]), replicates that state between daemons
//! with deltas and snapshots ([`ConfigReplica`]), and builds the table in
//! which a proxy looks up calls ([`RouteTable`]). It does no I/O, starts no
//! threads and reads no clock.
//!
//! To embed it, read records from any append-only log with offsets, pass each
//! one to [`ConfigReplica::fold`], and rebuild the table whenever
//! [`ConfigState::version`] changes. See `examples/fold.rs` for a complete
//! example.

pub mod change;
pub mod check;
pub mod delta;
pub mod depth;
pub mod entry;
pub mod fingerprint;
pub mod head;
pub mod history;
pub mod lists;
pub mod merge;
mod parse;
pub mod reader;
pub mod recovery;
mod render;
pub mod replica;
mod rewrite;
pub mod snapshot;
pub mod state;
pub mod table;
pub mod verdict;

pub use change::{ChangeMeta, ChangeRecord, RebaseRecord, RulesRecord, StreamRecord};
pub use delta::{StateDelta, StateUpdate};
pub use entry::{EntryEdit, EntryName, EntryValue};
pub use fingerprint::ChangeFingerprint;
pub use head::{ConfigRecord, StateHash, StateHead};
pub use history::AcceptedChange;
pub use lists::{ConfigLists, ListProblem};
pub use recovery::LogRecovery;
pub use replica::{ConfigReplica, UpdateOutcome};
pub use snapshot::StateSnapshot;
pub use state::ConfigState;
pub use table::{CallGrant, RouteTable};
pub use verdict::{ChangeConflict, ChangeRefusal, ChangeVerdict};
