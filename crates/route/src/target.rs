//! Descriptions of targets and outcomes of calls.

use std::time::{Duration, Instant};

use model::{CallCount, CallRate, DaemonId, DomainName, ErrorKind, TargetName, TargetVersion};
use serde::{Deserialize, Serialize};

/// Description of a target, as provided by the membership.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetView {
    /// Name of the target.
    pub target: TargetName,
    /// Daemon that runs beside the target.
    pub daemon: DaemonId,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Version of the target's software; none if it is not known.
    pub version: Option<TargetVersion>,
    /// Maximum number of calls that the target runs concurrently.
    pub slots: CallCount,
    /// Maximum number of connections that the target accepts.
    pub connections: CallCount,
    /// Whether the target accepts calls.
    pub state: TargetState,
    /// Last announced load; the initial estimate until answers carry a newer one.
    pub load: Option<TargetLoad>,
    /// Mean run time reported by the daemon beside the target; available before this proxy
    /// has sent the target a call.
    pub mean_run_time: Option<Duration>,
    /// When the target entered its current state.
    pub since: Instant,
}

/// Whether a target accepts calls.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TargetState {
    /// Starting, not yet accepting calls.
    Starting,
    /// Accepts calls.
    Ready,
    /// Finishes its running calls and accepts no more.
    Draining,
}

/// Age at which a pace that a target named has half its weight; slow spells last about 600 ms.
const PACE_HALF_LIFE: Duration = Duration::from_millis(300);

/// Time that work takes at a target at the moment, as a percentage of its usual time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetPace(u16);

impl Default for TargetPace {
    /// Returns the usual pace.
    fn default() -> Self {
        Self(100)
    }
}

impl TargetPace {
    /// Returns a pace limited to a tenth and a hundred times the usual time, so that a mistake of a
    /// target does not spoil what is learned of it.
    pub fn from_percent(percent: u32) -> Self {
        Self(percent.clamp(10, 10_000) as u16)
    }

    /// Returns the factor by which work takes longer than usual.
    pub fn factor(self) -> f32 {
        f32::from(self.0) / 100.0
    }

    /// Returns the expected factor after `age`, which approaches that of the usual pace.
    pub fn factor_after(self, age: Duration) -> f32 {
        let weight = (-age.as_secs_f32() / PACE_HALF_LIFE.as_secs_f32()).exp2();
        1.0 + (self.factor() - 1.0) * weight
    }
}

/// Load of a target, measured by the daemon beside it and sent with each answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TargetLoad {
    /// Number of running calls.
    pub in_flight: CallCount,
    /// Number of calls waiting for a slot.
    pub queued: CallCount,
    /// Percentage of recent calls that failed.
    pub failing: u8,
    /// Limit on the rate of calls of the whole fleet that the target names.
    pub limit: Option<CallRate>,
    /// Whether the target has said that it is leaving.
    pub leaving: bool,
    /// Pace that the target named last.
    pub pace: TargetPace,
}

impl TargetLoad {
    /// Returns the number of running and waiting calls.
    pub fn outstanding(self) -> u32 {
        self.in_flight.0.saturating_add(self.queued.0)
    }
}

/// Outcome of a call that was sent to a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallOutcome {
    /// Time from the pick to the end of the answer.
    pub latency: Duration,
    /// Part of the latency during which the call waited for a slot at the target.
    pub waited: Duration,
    /// How the call ended.
    pub result: CallResult,
    /// Load reported with the answer.
    pub load: Option<TargetLoad>,
}

impl CallOutcome {
    /// Returns the service time in seconds that the call would have taken at the usual pace.
    pub(crate) fn usual_service_s(&self) -> f32 {
        let pace = self.load.map_or(TargetPace::default(), |load| load.pace);
        self.latency.saturating_sub(self.waited).as_secs_f32() / pace.factor()
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// The target answered without a server error.
    Done,
    /// The call timed out or the target answered with a server error.
    Failed,
    /// No answer arrived: the target or the daemon beside it failed.
    Lost,
    /// Refused by the daemon beside the target; the call did not run. `TargetBusy` stands for any
    /// refusal that only tells of the target's load.
    NotRun(ErrorKind),
    /// The caller cancelled the call; says nothing about the target.
    Cancelled,
}
