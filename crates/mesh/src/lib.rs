//! Decisions on the way of a request through a mesh of daemons.
//!
//! No module here opens a socket, starts a task or reads a clock of its own.
//!
//! - [`MeshTable`] finds the route of a request; [`ActiveConfig`] never goes
//!   back to an older configuration.
//! - [`EraTracker`] tells answers of a store that came back from an older copy.
//! - [`TreePosition`] says who reads the store and who hears from whom.
//! - [`AttemptPlan`] decides after each attempt whether the request goes to
//!   another target, within [`FleetRetryBudget`], this daemon's share of the
//!   retries that the fleet may make.
//! - [`EntryThrottle`] refuses at the entry what would end in vain.
//! - [`WaitTracker`] tells how long a caller has been waiting already.
//! - [`RunLineage`] tells which requests a running request made.
//! - [`PriorityGate`] stands beside a target and alone decides what it runs: who
//!   waits, in which order, and who is refused at once.
//! - [`LinkGate`] keeps large bodies from filling a slow link.
//! - [`ResponseLimit`] ends answers that would have no end.
//! - [`StopPlan`] says what a stopping daemon still takes.
//! - [`LocalTarget`] holds what is known of the target beside the daemon.
//!
//! To embed: look the route up, pick a target with [`route::TargetPicker`],
//! ask the gate beside it, and hand the result to the plan.

pub mod active_config;
pub mod attempt;
pub mod budget;
pub mod config;
pub mod config_tree;
pub mod delta;
pub mod era;
pub mod gate;
pub mod lineage;
pub mod link;
pub mod local_target;
pub mod response;
pub mod round_robin;
pub mod stop;
pub mod table;
pub mod throttle;
pub mod wait_tracker;

pub use active_config::ActiveConfig;
pub use attempt::{AttemptOutcome, AttemptPlan, NextStep};
pub use budget::{BudgetLimits, FleetRetryBudget};
pub use config::{
    CallPriority, CallSafety, CallerLimits, Destination, MeshConfig, MeshVersion, RouteKey,
    RouteRule, ServiceRule,
};
pub use config_tree::{TreeMember, TreePosition};
pub use delta::{ConfigDelta, ConfigUpdate};
pub use era::{EraTagged, EraTracker, StoreEra};
pub use gate::{GateDecision, GateRequest, PriorityGate};
pub use lineage::{NestedCallOutcome, RunLineage};
pub use link::LinkGate;
pub use local_target::{LocalTarget, ReportEffect, ReportedState, TargetLeave, TargetReport};
pub use response::ResponseLimit;
pub use round_robin::WeightedRoundRobin;
pub use stop::{StopConditions, StopPlan};
pub use table::MeshTable;
pub use throttle::{EntryOutcome, EntryThrottle};
pub use wait_tracker::WaitTracker;
