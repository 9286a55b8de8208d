//! Decides whether a new version of a service's targets takes the place of the old one.
//!
//! One daemon decides at a time, under a lease in the store. The inputs are the
//! counts of runs per version and route, which every daemon reports of the target
//! beside it, and the time since the order. The new version gets a small share of
//! the requests, which grows only while its runs are as good as those that the old
//! version had on the same route and in the same time. It gets all requests once it
//! was good at a load per target like that of the old version, and the rollout is
//! completed when the old version gets none any more.
//!
//! Ages are times since boot, which include time for which a VM was suspended. Wall
//! clocks are not used.

pub mod decision;
pub mod judge;
pub mod lease;
pub mod share;
pub mod tally;

use std::time::Duration;

use derive_more::Display;
use model::{DaemonId, LogOffset, ServiceName, TargetVersion};
use serde::{Deserialize, Serialize};

/// An order to replace the targets of a service by those of a new version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutOrder {
    /// Offset of the order in the store, which tells it from an order that it replaces.
    pub offset: LogOffset,
    /// The service.
    pub service: ServiceName,
    /// The new version.
    pub version: TargetVersion,
    /// Time from the order to the deadline of the decision.
    pub duration: Duration,
}

/// Bounds on the requests that a version may get before it has proven good.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutBounds {
    /// Largest share of a service's requests from the order to the deadline.
    pub share: f64,
    /// Number of requests allowed in addition.
    pub slack: f64,
    /// Time after the 50th bad response from which the version gets nothing.
    pub rollback: Duration,
}

/// State of a rollout.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum RolloutState {
    /// Undecided.
    #[display("running")]
    Running,
    /// The new version has taken the place of the old one.
    #[display("completed")]
    Completed,
    /// The new version gets nothing any more.
    #[display("rolled_back")]
    RolledBack,
}

/// Status of a rollout in the store, from which any daemon can continue.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutRecord {
    /// The service.
    pub service: ServiceName,
    /// Offset of the order.
    pub order: LogOffset,
    /// The new version.
    pub version: TargetVersion,
    /// Time from the order to the deadline.
    pub duration: Duration,
    /// State.
    pub state: RolloutState,
    /// Step that was reached.
    pub stage: decision::RolloutStage,
    /// Time from the order to this record.
    pub age: Duration,
    /// Number of requests that reached the new version.
    pub exposed: u64,
    /// Number of bad responses among them.
    pub bad: u64,
    /// Daemon that wrote the record and holds the lease.
    pub decider: DaemonId,
    /// Reason of the state, for the operator.
    pub reason: Box<str>,
}
