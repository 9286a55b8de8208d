//! Choice of a target and admission beside it.
//!
//! Four parts, each a plain state machine that reads time from a
//! [`model::SharedClock`] and opens no socket:
//!
//! - [`TargetPicker`], one for each proxy, chooses the target of a call.
//! - [`AdmissionGate`], one beside each target, keeps calls within the
//!   target's slots, whichever proxies they come from.
//! - [`RetryPolicies`] holds a [`RetryPolicy`] for each service, which decides whether a failed attempt is sent again, within a
//!   budget that does not multiply over the depth of calls.
//! - [`CallDeadline`] carries the time that remains.
//!
//! To embed: feed [`TargetPicker::set_targets`] from any membership, call
//! [`TargetPicker::pick`] before and [`TargetPicker::finish`] after each
//! attempt; wrap each target's calls in [`AdmissionGate::enter`] and
//! [`AdmissionGate::leave`]. `examples/pick.rs` shows the whole loop.

pub mod admission;
pub mod budget;
mod candidate;
pub mod deadline;
mod health;
pub mod picker;
mod queue;
pub mod retry;
mod service;
pub mod target;

pub use admission::{
    AdmissionDecision, AdmissionGate, AdmissionOutcome, AdmissionRequest, CallId, FinishedCall,
    GateConfig,
};
pub use budget::{BudgetConfig, RetryBudget};
pub use deadline::CallDeadline;
pub use picker::{PickedTarget, PickerConfig, SlowStart, TargetPicker};
pub use retry::{
    AttemptFailure, FailureCause, RetryDecision, RetryMark, RetryPolicies, RetryPolicy,
};
pub use target::{CallOutcome, CallResult, TargetLoad, TargetState, TargetView};
