//! Distribution of the accepted configuration from log readers to every daemon.
//!
//! A [`SpreadNode`] is the distributor of one daemon: a state machine without
//! sockets, threads or a clock of its own. A few daemons of each failure domain
//! read the log. All others receive deltas through trees over the members of
//! their domain, and periodic comparisons with random peers repair lost updates.
//! Acknowledgements are aggregated on the way back to the readers, and responses
//! between peers carry proofs of freshness.
//!
//! To embed it, implement [`ReplicaPort`] over your replicated state, then:
//!
//! 1. create a [`SpreadNode`] and call [`SpreadNode::set_members`] when the live
//!    members are known, and whenever they change;
//! 2. call [`SpreadNode::on_tick`] about every 100 ms;
//! 3. execute each [`SpreadOutput`] in order: send, read, append; on `Applied`,
//!    build and swap your table, then call [`SpreadNode::on_in_force`];
//! 4. pass in the messages of peers and the responses of the log;
//! 5. before a call that must not run on an old configuration, check
//!    [`SpreadNode::freshness`], or [`FreshnessDeadlines::state_at`] where the
//!    distributor is not accessible; a stored [`FreshnessReport`] becomes outdated
//!    while the process is paused.
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
