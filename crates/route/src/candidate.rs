//! One target as a candidate: what its calls have shown, and its score.
//!
//! The score is the time that a call sent now would take: the speed that
//! calls have shown, lengthened by the wait that the calls in flight cause.
//! Calls in flight are this proxy's own, counted exactly, and those of other
//! proxies, known from the latest answer and forgotten towards the target's
//! average as that answer ages.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::health::TargetHealth;
use crate::picker::SlowStart;
use crate::target::{CallOutcome, CallResult, TargetLoad, TargetState, TargetView};

/// Weight of the latest call in the average service time.
const SPEED_WEIGHT: f32 = 0.2;

/// Weight of the latest answer in the average number of others' calls.
const OTHERS_WEIGHT: f32 = 0.1;

/// Age at which an answer's load counts for half.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(200);

/// Age at which an observed speed has moved half way to the service's mean.
const SPEED_HALF_LIFE: Duration = Duration::from_secs(5);

/// Difference of two accounts of the same start: they come by different clocks.
const SINCE_TOLERANCE: Duration = Duration::from_secs(1);

/// Time without further calls after a refusal for a full queue.
const FULL_PAUSE: Duration = Duration::from_millis(20);

/// Utilization up to which a target has room.
const ROOM_UTILIZATION: f32 = 0.8;

/// Least free share of slots that the estimate of waits assumes.
const MIN_FREE_SHARE: f32 = 0.05;

/// Least share of successes that the score assumes.
const MIN_SUCCESS_SHARE: f32 = 0.05;

/// A call in flight, counted until dropped; a caller that leaves drops it too.
#[derive(Debug)]
pub(crate) struct PickClaim(Arc<AtomicU32>);

impl Drop for PickClaim {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A target and what calls have shown about it.
#[derive(Debug)]
pub(crate) struct Candidate {
    /// Identity of this run of the target within the picker.
    pub(crate) id: u64,
    /// The membership's description.
    pub(crate) view: Arc<TargetView>,
    /// Failures and ejection.
    pub(crate) health: TargetHealth,
    own: Arc<AtomicU32>,
    others: f32,
    others_mean: f32,
    others_at: Instant,
    service_s: Option<f32>,
    speed_at: Instant,
    slow_start: SlowStart,
    ramp_from: Instant,
    full_until: Option<Instant>,
    left: bool,
}

impl Candidate {
    /// A candidate without observations.
    pub(crate) fn new(id: u64, view: Arc<TargetView>, slow_start: SlowStart, now: Instant) -> Self {
        let others = view.load.map_or(0.0, |load| load.outstanding() as f32);
        Self {
            id,
            health: TargetHealth::new(now),
            own: Arc::default(),
            others,
            others_mean: others,
            others_at: now,
            service_s: None,
            speed_at: now,
            slow_start,
            ramp_from: view.since,
            full_until: None,
            left: false,
            view,
        }
    }

    /// Takes over a newer description; a target that is ready anew is ramped up.
    pub(crate) fn update(&mut self, view: Arc<TargetView>) {
        let later = view.since.saturating_duration_since(self.view.since);
        let began = view.state != self.view.state || later > SINCE_TOLERANCE;
        if began && view.state == TargetState::Ready {
            self.ramp_from = view.since;
            self.left = false;
        }
        self.view = view;
    }

    /// Whether the target takes calls at all.
    pub(crate) fn is_willing(&self, now: Instant) -> bool {
        self.view.state == TargetState::Ready && !self.left && !self.is_full(now)
    }

    /// Whether the target refused a call for a full queue a moment ago.
    pub(crate) fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// This proxy's calls in flight.
    pub(crate) fn own(&self) -> u32 {
        self.own.load(Ordering::Relaxed)
    }

    /// Counts a call in flight until the claim is dropped.
    pub(crate) fn claim(&self) -> PickClaim {
        self.own.fetch_add(1, Ordering::Relaxed);
        PickClaim(Arc::clone(&self.own))
    }

    /// Learns from a call that ended and whose claim is about to be dropped.
    pub(crate) fn on_finished(&mut self, outcome: &CallOutcome, now: Instant) {
        if let Some(load) = outcome.load {
            self.learn_load(load, now);
        }
        match outcome.result {
            CallResult::Done => {
                self.learn_speed(outcome, now);
                self.health.on_done(now);
            }
            CallResult::Failed => {
                let told = outcome.load.map_or(0, |load| load.failing);
                self.health.on_failed(f32::from(told.min(100)) / 100.0, now);
            }
            CallResult::Lost => self.health.on_lost(now),
            CallResult::NotRun(model::ErrorKind::Draining) => self.left = true,
            CallResult::NotRun(_) => self.full_until = Some(now + FULL_PAUSE),
            CallResult::Cancelled => {}
        }
    }

    fn learn_load(&mut self, load: TargetLoad, now: Instant) {
        let own = self.own().saturating_sub(1);
        let others = load.outstanding().saturating_sub(own) as f32;
        self.others = others;
        self.others_mean += (others - self.others_mean) * OTHERS_WEIGHT;
        self.others_at = now;
    }

    fn learn_speed(&mut self, outcome: &CallOutcome, now: Instant) {
        let sample = outcome.latency.saturating_sub(outcome.waited).as_secs_f32();
        let mean = self.service_s.unwrap_or(sample);
        self.service_s = Some(mean + (sample - mean) * SPEED_WEIGHT);
        self.speed_at = now;
    }

    /// Starts to ramp the share up anew, as after a cold start.
    pub(crate) fn ramp_up(&mut self, now: Instant) {
        self.ramp_from = now;
    }

    /// Service time in seconds: own observations while they are fresh, then what the daemon
    /// beside the target told; `mean` where nothing is known.
    pub(crate) fn service_s(&self, mean: f32, now: Instant) -> f32 {
        let told = self
            .view
            .mean_run_time
            .map_or(mean, |pace| pace.as_secs_f32());
        let Some(service) = self.service_s else {
            return told;
        };
        let fresh = freshness(self.speed_at, SPEED_HALF_LIFE, now);
        told + (service - told) * fresh
    }

    /// Calls that the target can take at once, fewer after a cold start.
    fn effective_slots(&self, now: Instant) -> f32 {
        let slots = self.view.slots.0.min(self.view.connections.0).max(1) as f32;
        let age = now.saturating_duration_since(self.ramp_from);
        (slots * self.slow_start.share_at(age)).max(1.0)
    }

    /// Estimate of all proxies' calls at the target.
    fn outstanding(&self, now: Instant) -> f32 {
        let fresh = freshness(self.others_at, LOAD_HALF_LIFE, now);
        let others = self.others_mean + (self.others - self.others_mean) * fresh;
        self.own() as f32 + others
    }

    /// Capacity in calls a second, by which candidates are sampled.
    pub(crate) fn capacity(&self, mean: f32, now: Instant) -> f32 {
        self.effective_slots(now) / self.service_s(mean, now).max(f32::MIN_POSITIVE)
    }

    /// Whether one more call finds a slot without a wait.
    pub(crate) fn has_room(&self, now: Instant) -> bool {
        self.outstanding(now) + 1.0 <= (self.effective_slots(now) * ROOM_UTILIZATION).max(1.0)
    }

    /// Expected time in seconds of one more call, with failures as further attempts.
    pub(crate) fn score(&self, mean: f32, now: Instant) -> f32 {
        let slots = self.effective_slots(now);
        let calls = self.outstanding(now) + 1.0;
        let utilization = (calls / slots).min(1.0);
        let free = (1.0 - utilization).max(MIN_FREE_SHARE);
        let wait = utilization.powi(4) / (free * slots);
        let queue = (calls / slots - 1.0).max(0.0);
        let attempts = 1.0 / (1.0 - self.health.share(now)).max(MIN_SUCCESS_SHARE);
        self.service_s(mean, now) * (1.0 + wait + queue) * attempts
    }
}

/// Weight of an observation, halved with each `half_life` of age.
pub(crate) fn freshness(at: Instant, half_life: Duration, now: Instant) -> f32 {
    let age = now.saturating_duration_since(at).as_secs_f32();
    (-age / half_life.as_secs_f32()).exp2()
}
