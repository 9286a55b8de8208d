//! Cluster membership: target registration, peer discovery, failure detection and gossip.
//!
//! The crate performs no I/O and has no threads or clock of its own. A daemon
//! embeds two state machines:
//!
//! - [`TargetRegistry`] tracks the targets on the daemon's VM. Pass each
//!   [`TargetAnnouncement`] to [`TargetRegistry::announce`];
//!   [`TargetRegistry::on_tick`] drops targets whose heartbeat has stopped.
//! - [`MemberNode`] tracks the daemons of the fleet. Call
//!   [`MemberNode::on_tick`] every [`TICK_INTERVAL`], pass it the messages of
//!   peers ([`message::decode_message`], [`MemberNode::on_message`]) and the
//!   answers of the log, and carry out the [`MemberOutput`]s that it returns.
//!   When the registry changes, call [`MemberNode::set_targets`] with
//!   [`TargetRegistry::digests`].
//!
//! Daemons find their first peers through the stream `members` of the log,
//! detect failures with direct and indirect probes, and spread updates in
//! gossip of bounded size, partly piggybacked on the probes. Every daemon
//! thus learns within seconds which targets are ready, and the cost for each
//! daemon hardly grows with the fleet. The example `members` runs a fleet of
//! three in memory.

pub mod active;
pub mod announce;
mod contact;
pub mod delay;
pub mod digest;
mod gossip;
pub mod health;
pub mod join;
pub mod message;
pub mod node;
pub mod output;
mod own;
mod packing;
pub mod probe;
pub mod prober;
pub mod queue;
mod receive;
pub mod record;
pub mod suspicion;
pub mod sync;
pub mod table;
pub mod view;
pub mod watch;

pub use announce::{TargetAnnouncement, TargetChange, TargetRegistry, TargetState};
pub use digest::{
    ExecutionTimeLevel, LoadLevel, MemberProfile, MemberRecord, MemberStamp, SequenceNumber,
    TargetDigest,
};
pub use health::LocalHealth;
pub use join::JoinTiming;
pub use message::{MemberMessage, MemberUpdate, MessageBody, decode_message, encode_message};
pub use node::{MemberNode, MemberSettings, TICK_INTERVAL};
pub use output::{MemberChange, MemberCounts, MemberOutput};
pub use record::{JoinRecord, LeaveRecord, StreamRecord, members_stream};
pub use table::MemberState;
pub use view::{MemberView, TargetView};
