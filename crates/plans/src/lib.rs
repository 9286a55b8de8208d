//! The two lists, from an operator's files to the table of a proxy.
//!
//! Operators write `plans.jsonc` and `allowances.jsonc`. This crate reads and
//! checks them ([`ConfigLists`]), turns an edited pair into a record for the log
//! ([`ChangeRecord`]), folds the log's records into a state that is the same
//! for every reader ([`ConfigState`]), moves states between daemons
//! ([`ConfigReplica`], with deltas and snapshots), and builds what a proxy
//! looks calls up in ([`RouteTable`]). It opens no file and no socket, starts
//! no thread and reads no clock.
//!
//! To embed it: read records from any append-only log with offsets, give each
//! to [`ConfigReplica::fold`], and build a table whenever
//! [`ConfigState::version`] has moved. `examples/fold.rs` shows the whole way.

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
