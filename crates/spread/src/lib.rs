//! Distribution of the accepted configuration from log readers to every daemon.
//!
//! A [`SpreadNode`] is the distributor of one daemon: a state machine without
//! sockets, threads or a clock of its own. A few daemons of each failure
//! domain read the log; the rest get deltas through trees over the domain's
//! members, and random comparisons repair what was lost. Acknowledgements are
//! summed up on the way back, proofs of freshness travel with the answers.
//!
//! To embed it, implement [`ReplicaPort`] over your replicated state, then:
//!
//! 1. make a [`SpreadNode`] and call [`SpreadNode::set_members`] when the live
//!    members are known, and whenever they change;
//! 2. call [`SpreadNode::on_tick`] about every 100 ms;
//! 3. carry out each [`SpreadOutput`] in order: send, read, append; on
//!    `Applied` build and swap your table, then call
//!    [`SpreadNode::on_in_force`];
//! 4. hand back what peers send and the log answers;
//! 5. before a call that must not run on an old configuration, ask
//!    [`SpreadNode::freshness`], or [`FreshnessDeadlines::state_at`] where the
//!    distributor is out of reach; a stored [`FreshnessReport`] grows old while
//!    the process is paused.
//!
//! `examples/fleet.rs` runs a small fleet over in-memory queues.

pub mod acks;
mod alarms;
pub mod fake;
pub mod freshness;
mod heartbeats;
mod log_access;
pub mod message;
mod node;
mod peers;
mod questions;
pub mod reader;
mod recovery;
pub mod replica;
mod reports;
pub mod roster;
pub mod settings;
pub mod snapshots;
mod transfer;
mod tree;

pub use acks::{AckSum, FleetLaggard, FleetSummary, LagReason, VersionCount};
pub use fake::FakeReplica;
pub use freshness::{FreshnessDeadlines, FreshnessReport, FreshnessState};
pub use message::{
    LogAppend, LogRead, LogTag, OutputList, SpreadAlarm, SpreadMessage, SpreadOutput,
};
pub use node::SpreadNode;
pub use reader::LogState;
pub use replica::{
    FoldReport, HeadUpdate, ReplicaHead, ReplicaPort, SearchOutcome, UpdateBody, record_hash,
};
pub use roster::{MemberRoster, SpreadMember};
pub use settings::{OutageQuorum, SpreadSettings};
pub use snapshots::SnapshotRecord;
