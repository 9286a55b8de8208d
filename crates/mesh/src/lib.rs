//! Request handling decisions of a mesh of daemons.
//!
//! Every module is pure decision logic: none opens a socket, spawns a task or
//! reads the system clock. Callers pass the time in, or a shared clock.
//!
//! - [`MeshTable`] looks up the route of a request; [`ActiveConfig`] holds the
//!   configuration in force and rejects older versions.
//! - [`organisation`] finds the organisation that sent a request by its key.
//! - [`QuotaLedger`] keeps the requests of each organisation within its quota over all daemons.
//! - [`EraTracker`] detects responses from before the store was restored from
//!   an older copy.
//! - [`TreePosition`] determines which daemons read the store and how
//!   configuration updates spread to the rest.
//! - [`AttemptPlan`] decides after each attempt whether to retry on another
//!   target, within [`FleetRetryBudget`], this daemon's share of the fleet's
//!   retry budget.
//! - [`EntryThrottle`] sheds requests at the daemon where they enter the mesh
//!   if they would fail later or take capacity from more urgent routes.
//! - [`WaitTracker`] estimates how long a caller has already been waiting when
//!   its request arrives.
//! - [`RunLineage`] tracks which requests were made by a running request.
//! - [`PriorityGate`] is the admission control of one target: it starts, queues
//!   or refuses each request.
//! - [`PauseDetector`] detects pauses of the process, over which nothing can be measured.
//! - [`RequestPacer`] keeps the requests sent to one target within the limit that the target
//!   names.
//! - [`BodyBudget`] bounds the memory for request bodies.
//! - [`LinkGate`] keeps large bodies from saturating a slow link.
//! - [`ResponseLimit`] bounds the duration and size of a response.
//! - [`StopPlan`] schedules the stages of a graceful stop.
//! - [`LocalTarget`] holds the state of the target beside the daemon.
//!
//! To embed the crate, look up the route, pick a target with
//! [`route::TargetPicker`], ask the gate beside that target, and pass the
//! outcome to [`AttemptPlan::next`].

pub mod active_config;
pub mod attempt;
pub mod body_budget;
pub mod budget;
pub mod config;
pub mod config_check;
pub mod config_tree;
pub mod delta;
pub mod era;
pub mod gate;
pub mod lineage;
pub mod link;
pub mod local_target;
pub mod memory_account;
pub mod organisation;
pub mod pacer;
pub mod pause;
pub mod quota;
pub mod response;
pub mod rollout;
pub mod round_robin;
pub mod run_time;
pub mod stop;
pub mod table;
pub mod throttle;
pub mod wait_tracker;

pub use active_config::ActiveConfig;
pub use attempt::{AttemptOutcome, AttemptPlan, NextStep};
pub use body_budget::{BodyBudget, BodyRoom};
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
pub use local_target::{
    LocalTarget, ReportEffect, ReportedState, TargetLeave, TargetNotice, TargetReport,
};
pub use organisation::{
    KeyDigest, KeyFreshness, KeyIndex, OrganisationRule, QuotaBounds, RequestQuota,
};
pub use pacer::RequestPacer;
pub use pause::{PauseDetector, ProcessPause};
pub use quota::{QuotaLedger, QuotaRefusal, QuotaReport};
pub use response::ResponseLimit;
pub use rollout::{RolloutBounds, RolloutOrder, RolloutRecord, RolloutState};
pub use round_robin::WeightedRoundRobin;
pub use stop::{StopConditions, StopPlan};
pub use table::MeshTable;
pub use throttle::{EntryOutcome, EntryThrottle};
pub use wait_tracker::WaitTracker;
