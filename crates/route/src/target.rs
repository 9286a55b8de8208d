//! What a proxy knows about a target, and what a finished call tells.

use std::time::{Duration, Instant};

use model::{CallCount, DaemonId, DomainName, ErrorKind, TargetName};
use serde::{Deserialize, Serialize};

/// A target as the membership describes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetView {
    /// The target.
    pub target: TargetName,
    /// The daemon beside it.
    pub daemon: DaemonId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Calls that it runs at once.
    pub slots: CallCount,
    /// Connections that it accepts at once.
    pub connections: CallCount,
    /// Whether it takes calls.
    pub state: TargetState,
    /// Load as last announced; only a first guess until calls show more.
    pub load: Option<TargetLoad>,
    /// How long its runs take, as the daemon beside it tells; known before this proxy has
    /// sent it a call.
    pub mean_run_time: Option<Duration>,
    /// When its present state began.
    pub since: Instant,
}

/// Whether a target takes calls.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TargetState {
    /// In its cold start.
    Starting,
    /// Takes calls.
    Ready,
    /// Finishes what it runs and takes no more.
    Draining,
}

/// Load of a target, counted by the daemon beside it and carried in answers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetLoad {
    /// Calls that run.
    pub in_flight: CallCount,
    /// Calls that wait for a slot.
    pub queued: CallCount,
    /// Share of recent calls that failed, in percent.
    pub failing: u8,
}

impl TargetLoad {
    /// Calls that run or wait.
    pub fn outstanding(self) -> u32 {
        self.in_flight.0.saturating_add(self.queued.0)
    }
}

/// How a call that was sent to a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallOutcome {
    /// From the pick to the end of the answer.
    pub latency: Duration,
    /// Time of it that the call waited for a slot beside the target.
    pub waited: Duration,
    /// What came of it.
    pub result: CallResult,
    /// Load that the answer carried.
    pub load: Option<TargetLoad>,
}

/// What came of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// Answered.
    Done,
    /// Timed out or answered with a server error.
    Failed,
    /// No answer: the target or the daemon beside it was lost.
    Lost,
    /// Refused by the daemon beside the target, proven not to have run.
    NotRun(ErrorKind),
    /// The caller left; says nothing about the target.
    Cancelled,
}
