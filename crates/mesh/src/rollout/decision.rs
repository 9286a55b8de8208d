//! The steps of one rollout.

use std::collections::VecDeque;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::rollout::judge::{JudgedPeriod, count_bad, find_fault, is_suspicious};
use crate::rollout::tally::{RouteTally, VersionTally};
use crate::rollout::{RolloutBounds, RolloutOrder, RolloutRecord, RolloutState};

/// Time over which the latest runs are judged on their own, so that earlier good ones do not hide
/// a version that turns bad.
const RECENT_TIME: Duration = Duration::from_secs(2);
/// Interval between the counts that are kept for that.
const KEEP_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum number of runs that ended well before the first increase of the share.
const MIN_TRIAL_RUNS: u64 = 10;
/// Minimum number of ended runs before the new version may get all requests.
const MIN_RUNS: u64 = 16;
/// Minimum number of ended runs on each route with at least `MAIN_ROUTE_SHARE` of the requests.
const MIN_ROUTE_RUNS: u64 = 5;
/// Share and number of the runs from which a route must have been tried.
const MAIN_ROUTE_SHARE: f64 = 0.1;
const MAIN_ROUTE_RUNS: u64 = 100;
/// Fraction of the duration until the last moment at which the new version may get all requests. The
/// rest is for a change of the decider, the end of the old runs and the write.
const LAST_CHANCE: f64 = 0.82;
/// Fraction of the slack that is planned to be used; the rest covers delays of the counts.
const PLANNED_SLACK: f64 = 0.6;
/// Fractions of the share and the slack from which an undecided version gets nothing until more
/// requests have arrived.
const GUARD_SHARE: f64 = 0.9;
const GUARD_SLACK: f64 = 0.8;
/// Time after the order from which the rate of requests is estimated; counts arrive late.
const RATE_TIME: Duration = Duration::from_millis(1500);
/// Maximum share of an undecided version of a service with few requests.
const MAX_TRIAL_SHARE: f64 = 0.5;
/// Minimum number of targets on which the new version is tried; a single one may be slow.
const MIN_TARGETS: u32 = 4;
/// Time at the share before the full one. It limits what a version that turns bad just then gets.
const RAMP_TIME: Duration = Duration::from_millis(500);
/// Time at the full share before completion: all daemons hear of the share within it, and runs at old
/// targets end.
const PROMOTE_TIME: Duration = Duration::from_secs(1);
/// Time at the full share after which completion no longer waits for the last requests to old targets.
const MAX_PROMOTE_TIME: Duration = Duration::from_millis(1400);
/// Number of requests to the old version within `RECENT_TIME / 4` below which it counts as idle,
/// as a share of those to the new one.
const IDLE_SHARE: f64 = 0.02;

/// Step of a rollout.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum RolloutStage {
    /// No target of the new version is known.
    #[default]
    #[display("waiting")]
    Waiting,
    /// A few requests, until some runs have ended.
    #[display("trial")]
    Trial,
    /// Most of the time: a share below the bound.
    #[display("probe")]
    Probe,
    /// A larger share, with a load of each target like that of the old ones.
    #[display("load")]
    Load,
    /// Proven good: a large share for a short time.
    #[display("ramp")]
    Ramp,
    /// All requests, until the old version is idle.
    #[display("full")]
    Full,
}

impl RolloutStage {
    /// Returns the share of the requests, before the part of the slack.
    fn base_share(self) -> f64 {
        match self {
            Self::Waiting => 0.0,
            Self::Trial => 0.03,
            Self::Probe => 0.05,
            Self::Load => 0.1,
            Self::Ramp => 0.35,
            Self::Full => 1.0,
        }
    }

    /// Returns the fraction of the duration from which the stage may follow the one before. With the
    /// shares above, 0.045 of all requests up to the deadline go to the new version before it gets
    /// all. The rest of the bound is for one that turns bad just then: counts are 0.5 to 1.4 s old.
    fn earliest(self) -> f64 {
        match self {
            Self::Waiting | Self::Trial => 0.0,
            Self::Probe => 0.1,
            Self::Load => 0.5,
            Self::Ramp | Self::Full => 0.7,
        }
    }
}

/// What is known of a service at one time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutInput {
    /// Runs of the old version since the order.
    pub old: VersionTally,
    /// Runs of the new version since the order.
    pub new: VersionTally,
    /// Number of ready targets of the old version.
    pub old_targets: u32,
    /// Number of ready targets of the new version.
    pub new_targets: u32,
}

/// Share of the new version that is in force until the next step.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutStep {
    /// State.
    pub state: RolloutState,
    /// Share of the requests for the new version, from 0 to 1.
    pub share: f64,
    /// Number of its targets that get requests.
    pub targets: u32,
    /// Reason of the state, for the operator.
    pub reason: Box<str>,
}

/// Decision about one order.
#[derive(Debug)]
pub struct RolloutDecision {
    order: RolloutOrder,
    bounds: RolloutBounds,
    /// Time since boot at which the order was written, or first seen.
    ordered_at: Duration,
    state: RolloutState,
    stage: RolloutStage,
    ramp_since: Option<Duration>,
    full_since: Option<Duration>,
    /// Counts of the last `RECENT_TIME`, oldest first.
    recent: VecDeque<(Duration, VersionTally, VersionTally)>,
    reason: Box<str>,
    /// Counts that an earlier decider knew of.
    known: (u64, u64),
    latest: (u64, u64),
}

impl RolloutDecision {
    /// Begins with an order that was first seen at `now`.
    pub fn new(order: RolloutOrder, bounds: RolloutBounds, now: Duration) -> Self {
        Self {
            order,
            bounds,
            ordered_at: now,
            state: RolloutState::Running,
            stage: RolloutStage::Waiting,
            ramp_since: None,
            full_since: None,
            recent: VecDeque::new(),
            reason: "waiting for targets of the version".into(),
            known: (0, 0),
            latest: (0, 0),
        }
    }

    /// Continues after another daemon from its record, which was first seen at `now`.
    ///
    /// A step that gives the new version all requests begins again.
    pub fn resume(record: &RolloutRecord, bounds: RolloutBounds, now: Duration) -> Self {
        let order = RolloutOrder {
            offset: record.order,
            service: record.service.clone(),
            version: record.version.clone(),
            duration: record.duration,
        };
        let mut decision = Self::new(order, bounds, now);
        // The age may exceed the time since boot of this VM, in which case the rollout ends early.
        decision.ordered_at = now.saturating_sub(record.age);
        decision.state = record.state;
        decision.stage = record.stage;
        decision.known = (record.exposed, record.bad);
        decision.latest = decision.known;
        decision.reason = record.reason.clone();
        decision
    }

    /// Returns the order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Returns the state.
    pub fn state(&self) -> RolloutState {
        self.state
    }

    /// Returns the reason of the state.
    pub fn reason(&self) -> &str {
        &self.reason
    }

    /// Returns the step that was reached.
    pub fn stage(&self) -> RolloutStage {
        self.stage
    }

    /// Returns the number of requests that reached the new version, and of bad responses.
    pub fn counts(&self) -> (u64, u64) {
        self.latest
    }

    /// Returns the time since the order.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.ordered_at)
    }

    /// Decides the next step from the counts at `now`.
    pub fn step(&mut self, input: &RolloutInput, now: Duration) -> RolloutStep {
        if self.state == RolloutState::Running {
            self.record_counts(input);
            if let Some(fault) = self.find_fault(input) {
                self.end(RolloutState::RolledBack, &fault);
            } else {
                self.advance(input, now);
            }
            self.keep_recent(input, now);
        }
        RolloutStep {
            state: self.state,
            share: self.share(input, now),
            targets: self.target_count(input),
            reason: self.reason.clone(),
        }
    }

    fn end(&mut self, state: RolloutState, reason: &str) {
        self.state = state;
        self.reason = reason.into();
    }

    fn record_counts(&mut self, input: &RolloutInput) {
        let bad = count_bad(&input.old, &input.new);
        self.latest = (self.known.0.max(input.new.sent()), self.known.1.max(bad));
    }

    /// Returns why the new version is bad, by all its runs or by the latest.
    fn find_fault(&self, input: &RolloutInput) -> Option<String> {
        let all = find_fault(&input.old, &input.new, JudgedPeriod::Whole);
        let latest = || {
            let (old, new) = self.latest_runs(input)?;
            find_fault(&old, &new, JudgedPeriod::Recent)
        };
        all.or_else(latest).map(|fault| fault.to_string())
    }

    /// Returns whether the new version may be bad, by all its runs or by the latest.
    fn is_suspicious(&self, input: &RolloutInput) -> bool {
        let latest = self.latest_runs(input);
        is_suspicious(&input.old, &input.new, JudgedPeriod::Whole)
            || latest.is_some_and(|(old, new)| is_suspicious(&old, &new, JudgedPeriod::Recent))
    }

    /// Returns the latest runs of both versions; all of the old one where it has few recent ones, as at
    /// the full share.
    fn latest_runs(&self, input: &RolloutInput) -> Option<(VersionTally, VersionTally)> {
        let (_, old, new) = self.recent.front()?;
        let (old, new) = (input.old.since(old), input.new.since(new));
        let few = old.ended() < new.ended();
        Some((if few { input.old.clone() } else { old }, new))
    }

    fn advance(&mut self, input: &RolloutInput, now: Duration) {
        let progress = self.progress(now);
        if input.new_targets == 0 {
            self.reason = "no target of the version".into();
            if progress >= 1.0 {
                self.end(
                    RolloutState::RolledBack,
                    "no target of the version until the deadline",
                );
            }
            return;
        }
        let next = match self.stage {
            RolloutStage::Waiting => Some(RolloutStage::Trial),
            RolloutStage::Trial if input.new.ended() >= MIN_TRIAL_RUNS => Some(RolloutStage::Probe),
            // A service with few requests gets no more evidence from waiting.
            RolloutStage::Trial if progress >= 0.3 => Some(RolloutStage::Probe),
            RolloutStage::Probe => Some(RolloutStage::Load),
            RolloutStage::Load if self.is_proven(input) => Some(RolloutStage::Ramp),
            RolloutStage::Ramp => {
                let since = *self.ramp_since.get_or_insert(now);
                let is_over = now.saturating_sub(since) >= RAMP_TIME;
                is_over.then_some(RolloutStage::Full)
            }
            RolloutStage::Trial | RolloutStage::Load | RolloutStage::Full => None,
        };
        if let Some(stage) = next
            && progress >= stage.earliest()
        {
            self.stage = stage;
            self.reason = format!("step {stage}").into();
        }
        if self.stage == RolloutStage::Full {
            let since = *self.full_since.get_or_insert(now);
            let promoted = now.saturating_sub(since);
            let moved = promoted >= PROMOTE_TIME && self.is_old_idle(input);
            if moved || promoted >= MAX_PROMOTE_TIME {
                let reason = format!("{} of {} runs bad", self.latest.1, input.new.ended());
                self.end(RolloutState::Completed, &reason);
            }
        } else if progress >= LAST_CHANCE && self.stage < RolloutStage::Ramp {
            let runs = input.new.ended();
            let reason = format!(
                "not proven good in time: {} of {runs} runs bad",
                self.latest.1
            );
            self.end(RolloutState::RolledBack, &reason);
        }
    }

    /// Returns whether enough runs have ended on all main routes, and well.
    fn is_proven(&self, input: &RolloutInput) -> bool {
        if input.new.ended() < MIN_RUNS || self.is_suspicious(input) {
            return false;
        }
        let all = input.old.ended() as f64;
        let empty = RouteTally::default();
        input.old.routes.iter().all(|(route, old)| {
            let is_main =
                old.ended >= MAIN_ROUTE_RUNS && old.ended as f64 >= all * MAIN_ROUTE_SHARE;
            let new = input.new.routes.get(route).unwrap_or(&empty);
            !is_main || new.ended >= MIN_ROUTE_RUNS
        })
    }

    /// Returns whether hardly any request reached the old version lately.
    fn is_old_idle(&self, input: &RolloutInput) -> bool {
        let Some((_, old, new)) = self.recent.iter().rev().nth(1) else {
            return false;
        };
        let (old, new) = (input.old.since(old).sent(), input.new.since(new).sent());
        old as f64 <= new as f64 * IDLE_SHARE
    }

    fn share(&self, input: &RolloutInput, now: Duration) -> f64 {
        match self.state {
            RolloutState::Completed => return 1.0,
            RolloutState::RolledBack => return 0.0,
            RolloutState::Running => {}
        }
        let base = self.stage.base_share();
        if matches!(
            self.stage,
            RolloutStage::Waiting | RolloutStage::Ramp | RolloutStage::Full
        ) {
            return base;
        }
        let total = input.old.sent().saturating_add(input.new.sent()) as f64;
        let allowed = total * self.bounds.share * GUARD_SHARE + self.bounds.slack * GUARD_SLACK;
        if self.latest.0 as f64 >= allowed {
            return 0.0;
        }
        // The steps are made for a bound of 0.1.
        let scale = (self.bounds.share / 0.1).min(1.0);
        (base * scale)
            .max(self.slack_share(total, now))
            .min(MAX_TRIAL_SHARE)
    }

    /// Returns the share that uses the planned part of the slack until the deadline.
    fn slack_share(&self, total: f64, now: Duration) -> f64 {
        let age = self.age(now);
        if age < RATE_TIME || total < 1.0 {
            return 0.0;
        }
        let expected = total / age.as_secs_f64() * self.order.duration.as_secs_f64();
        self.bounds.slack * PLANNED_SLACK / expected.max(1.0)
    }

    /// Returns the number of targets that makes the load of each like that of an old one.
    fn target_count(&self, input: &RolloutInput) -> u32 {
        if self.state != RolloutState::Running || self.stage >= RolloutStage::Ramp {
            return u32::MAX;
        }
        let share = self.stage.base_share();
        let alike = (share * f64::from(input.old_targets)).ceil() as u32;
        alike.max(MIN_TARGETS)
    }

    fn progress(&self, now: Duration) -> f64 {
        let duration = self.order.duration.as_secs_f64().max(0.001);
        self.age(now).as_secs_f64() / duration
    }

    fn keep_recent(&mut self, input: &RolloutInput, now: Duration) {
        let newest = self.recent.back().map(|(at, ..)| *at);
        if newest.is_none_or(|at| now.saturating_sub(at) >= KEEP_INTERVAL) {
            self.recent
                .push_back((now, input.old.clone(), input.new.clone()));
        }
        while self
            .recent
            .get(1)
            .is_some_and(|(at, ..)| now.saturating_sub(*at) >= RECENT_TIME)
        {
            self.recent.pop_front();
        }
    }
}
