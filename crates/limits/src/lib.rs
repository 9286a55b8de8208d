//! Fleet-wide plan limits and load shedding.
//!
//! - [`LimitGate`] holds each plan's rate and calls at once over all daemons,
//!   by shares that follow observed demand. Admission is local and immediate.
//! - [`LoadShedder`] refuses calls that the gates beside the targets would
//!   refuse: by class, and a customer who floods before the others.
//!
//! Both are plain state machines that read time from a
//! [`model::SharedClock`]. To embed the gate: call [`LimitGate::on_tick`]
//! every [`TICK_INTERVAL`], deliver its outputs to the named daemons and their
//! messages to [`LimitGate::on_message`], and tell it the members.
//! `examples/limit.rs` runs three of them in one process.

mod bucket;
mod demand;
pub mod gate;
mod keeper;
mod kept;
mod local;
pub mod message;
pub mod refusal;
mod share;
pub mod shed;

use std::time::Duration;

pub use gate::{LimitGate, LimitTicket};
pub use message::{LimitKey, LimitMessage, LimitOutput, PlanLimit};
pub use refusal::LimitRefusal;
pub use shed::{LoadShedder, LoadSignal, ShedTicket};

/// How often [`LimitGate::on_tick`] is due.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
