//! The keys of one home and their states.
//!
//! A [`KeyHome`] decides for each call whether it runs. It stores keys in
//! shards: one for the keys that the daemon itself issued, one for each range
//! whose lease it holds, and those that leaving homes handed over. A shard that
//! may still begin calls never drops a key early: when the home is full, it
//! refuses new calls as not run. Shards of ended terms begin no calls and are
//! bounded in number.

pub mod answer;
pub mod entry;
pub mod handover;
pub mod keys;
mod recall;
mod settle;
pub mod shard;
mod terms;
pub mod untimed;
pub mod verdict;

pub use answer::{AnswerHeader, AnswerStore, StoredAnswer};
pub use entry::KeyState;
pub use handover::{HandoverPage, StageAnswer};
pub use keys::{HomeCounts, HomeSettings, KeyHome};
pub use shard::ShardId;
pub use untimed::UntimedKeys;
pub use verdict::{
    CloseVerdict, HandedOutcome, KeyCall, KeyRefusal, KeySettlement, KeyVerdict, RunOutcome,
    RunTicket,
};
