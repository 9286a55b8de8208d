//! Who takes part: targets announce themselves, daemons find and watch one another.
//!
//! The crate decides and does nothing else: no sockets, no threads, no clock
//! of its own. A daemon embeds two state machines.
//!
//! - [`TargetRegistry`] holds the targets beside the daemon. Each
//!   [`TargetAnnouncement`] goes to [`TargetRegistry::announce`];
//!   [`TargetRegistry::on_tick`] drops those whose heartbeat stopped.
//! - [`MemberNode`] holds the fleet. Call [`MemberNode::on_tick`] every
//!   [`TICK_INTERVAL`], hand it what peers sent ([`message::decode_message`],
//!   [`MemberNode::on_message`]) and what the log answered, and carry out the
//!   [`MemberOutput`]s. After a change of the registry call
//!   [`MemberNode::set_targets`] with [`TargetRegistry::digests`].
//!
//! Daemons find the first peers through the log's stream `members`, watch one
//! another with direct and indirect probes, and pass news on with the probes
//! and in bounded gossip. Every proxy so learns which targets are present and
//! willing within seconds, at a cost for each daemon that hardly grows with
//! the fleet. The example `members` shows a fleet of three in memory.

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
