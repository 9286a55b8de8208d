//! Fleet-wide plan limits and load shedding.
//!
//! - [`LimitGate`] enforces the rate and concurrency limits of each plan across
//!   all daemons. Each daemon gets a share that follows its observed demand, so
//!   admission is a local decision without network round trips.
//! - [`LoadShedder`] refuses calls early that the gates beside the targets
//!   would refuse anyway: less important classes first, and customers that
//!   flood the service before others.
//! - [`TokenBucket`] bounds a rate; it can be embedded on its own.
//!
//! The gate and the shedder are state machines that read time from a [`model::SharedClock`] and do
//! no I/O. To embed the gate, pass it the members, call
//! [`LimitGate::on_tick`] every [`TICK_INTERVAL`], send its outputs to the
//! daemons they name and pass received messages to [`LimitGate::on_message`].
//! `examples/limit.rs` runs three gates in one process.

pub mod bucket;
mod coordinated_key;
mod coordinator;
mod demand;
pub mod gate;
mod local;
pub mod message;
pub mod refusal;
mod share;
pub mod shed;

use std::time::Duration;

pub use bucket::{BurstSize, TokenBucket};
pub use gate::{LimitGate, LimitTicket};
pub use message::{LimitKey, LimitMessage, LimitOutput, PlanLimit};
pub use refusal::LimitRefusal;
pub use shed::{LoadShedder, LoadSignal, ShedTicket};

/// Interval at which to call [`LimitGate::on_tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
