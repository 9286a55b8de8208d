//! Load balancing, admission control, retries and deadlines.
//!
//! The crate has four parts. None does I/O; the current time is read from a
//! [`model::SharedClock`] or passed in:
//!
//! - [`TargetPicker`] chooses the target of each call. Every proxy has one.
//! - [`AdmissionGate`] limits a target to its slots, whichever proxies the
//!   calls come from. Every target has one.
//! - [`RetryPolicies`] holds a [`RetryPolicy`] for each service. It decides
//!   whether a failed attempt is retried. Budgets keep retries from multiplying
//!   with the depth of a call chain.
//! - [`CallDeadline`] tracks the time that a call has left.
//!
//! To embed the crate, pass the known targets to
//! [`TargetPicker::set_targets`], call [`TargetPicker::pick`] before each
//! attempt and [`TargetPicker::finish`] after it, and wrap each target's calls
//! in [`AdmissionGate::enter`] and [`AdmissionGate::leave`].
//! `examples/pick.rs` shows the complete loop.

pub mod admission;
pub mod budget;
mod candidate;
pub mod deadline;
mod departure;
mod health;
pub mod picker;
mod queue;
pub mod rejection;
pub mod retry;
mod service;
pub mod target;
pub mod version;

pub use admission::{
    AdmissionDecision, AdmissionGate, AdmissionOutcome, AdmissionRequest, CallId, FinishedCall,
    GateConfig,
};
pub use budget::{BudgetConfig, RetryBudget};
pub use deadline::CallDeadline;
pub use picker::{LocalityPreference, PickedTarget, PickerConfig, SlowStart, TargetPicker};
pub use rejection::BusyTargets;
pub use retry::{
    AttemptFailure, FailureCause, RetryDecision, RetryMark, RetryPolicies, RetryPolicy,
};
pub use target::{CallOutcome, CallResult, TargetLoad, TargetPace, TargetState, TargetView};
pub use version::VersionSplit;
