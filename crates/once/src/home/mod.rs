//! The key states of one home.
//!
//! A [`KeyHome`] decides for each call whether it runs. Its books hold the
//! keys that the daemon itself issued, those of the ranges whose lease it
//! holds, and those that leaving homes handed over. It forgets no key early:
//! when it can remember no more it refuses new calls as not run.

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
