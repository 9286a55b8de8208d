//! Measurements and score of one target.
//!
//! The score estimates how long a call sent now would take: the observed
//! service time, plus the queueing delay caused by the calls in flight. This
//! proxy's own calls in flight are counted exactly. Those of other proxies are
//! taken from the latest answer and decay towards the target's average as that
//! answer ages. The slots of a target that names a limit on the rate of calls
//! count only as far as the limit lets them be used.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use model::CallRate;

use crate::health::TargetHealth;
use crate::picker::SlowStart;
use crate::target::{CallOutcome, CallResult, TargetLoad, TargetPace, TargetState, TargetView};

/// Weight of the latest call in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f32 = 0.2;

/// Weight of the latest answer in the moving average of other proxies' calls.
const REMOTE_CALLS_WEIGHT: f32 = 0.1;

/// Age at which a reported load has half its weight.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(200);

/// Age at which an observed service time has half its weight.
const SERVICE_TIME_HALF_LIFE: Duration = Duration::from_secs(5);

/// Maximum difference between two reported times of the same start; reports use different clocks.
const START_TIME_TOLERANCE: Duration = Duration::from_secs(1);

/// Time for which a target gets no calls after it refused one for any reason except draining,
/// usually because its queue was full.
const QUEUE_FULL_BACKOFF: Duration = Duration::from_millis(20);

/// Time for which a target gets no calls after it refused one as draining. An update of the
/// membership says by then whether it is; if none does, its daemon may have stopped and returned
/// between two updates.
const DRAINING_BACKOFF: Duration = Duration::from_secs(5);

/// Age from which a limit is not relied on any more; the next answer renews or lifts it.
const LIMIT_LIFETIME: Duration = Duration::from_secs(5);

/// Minimum number of slots that a limit leaves usable.
const MIN_LIMITED_SLOTS: f32 = 0.05;

/// Smallest free share of the slots assumed when estimating the queueing delay.
const MIN_FREE_SHARE: f32 = 0.05;

/// Smallest success rate assumed by the score.
const MIN_SUCCESS_RATE: f32 = 0.05;

/// Guard that counts a call as in flight until the guard is dropped.
///
/// A cancelled call drops its guard too, so it does not stay counted.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<AtomicU32>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A target and the measurements of its calls.
#[derive(Debug)]
pub(crate) struct Candidate {
    /// Identifies the candidate within the picker.
    pub(crate) id: u64,
    /// Description from the membership.
    pub(crate) view: Arc<TargetView>,
    /// Position among the service's targets of the same version, ordered by daemon.
    pub(crate) version_rank: u32,
    /// Failure rate and ejection state.
    pub(crate) health: TargetHealth,
    own_calls: Arc<AtomicU32>,
    remote_calls: f32,
    mean_remote_calls: f32,
    remote_calls_at: Instant,
    mean_service_s: Option<f32>,
    service_time_at: Instant,
    slow_start: SlowStart,
    slow_start_from: Instant,
    queue_full_until: Option<Instant>,
    draining_until: Option<Instant>,
    /// Whether the target has said that it leaves.
    leaving: bool,
    limit: Option<CallRate>,
    pace: TargetPace,
}

impl Candidate {
    /// Creates a candidate without measurements.
    pub(crate) fn new(id: u64, view: Arc<TargetView>, slow_start: SlowStart, now: Instant) -> Self {
        let remote_calls = view.load.map_or(0.0, |load| load.outstanding() as f32);
        Self {
            id,
            version_rank: 0,
            health: TargetHealth::new(now),
            own_calls: Arc::default(),
            remote_calls,
            mean_remote_calls: remote_calls,
            remote_calls_at: now,
            mean_service_s: None,
            service_time_at: now,
            slow_start,
            slow_start_from: view.since,
            queue_full_until: None,
            draining_until: None,
            leaving: false,
            limit: view.load.and_then(|load| load.limit),
            pace: TargetPace::default(),
            view,
        }
    }

    /// Applies a newer description; a target that has become ready again starts slowly.
    pub(crate) fn update(&mut self, view: Arc<TargetView>) {
        let started_later_by = view.since.saturating_duration_since(self.view.since);
        let restarted = view.state != self.view.state || started_later_by > START_TIME_TOLERANCE;
        if restarted && view.state == TargetState::Ready {
            self.slow_start_from = view.since;
            self.draining_until = None;
            self.leaving = false;
        }
        self.view = view;
    }

    /// Returns whether the target can be sent calls.
    pub(crate) fn accepts_calls(&self, now: Instant) -> bool {
        let draining = self.draining_until.is_some_and(|until| now < until);
        let leaves = self.leaving || draining;
        self.view.state == TargetState::Ready && !leaves && !self.is_queue_full(now)
    }

    /// Returns whether the target refused a call within `QUEUE_FULL_BACKOFF` for any reason except
    /// draining, usually because its queue was full.
    pub(crate) fn is_queue_full(&self, now: Instant) -> bool {
        self.queue_full_until.is_some_and(|until| now < until)
    }

    /// Returns the number of this proxy's calls in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.own_calls.load(Ordering::Relaxed)
    }

    /// Counts a call as in flight until the guard is dropped.
    pub(crate) fn track_call(&self) -> InFlightGuard {
        self.own_calls.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(Arc::clone(&self.own_calls))
    }

    /// Records the outcome of a call whose guard is about to be dropped.
    pub(crate) fn on_finished(&mut self, outcome: &CallOutcome, now: Instant) {
        if let Some(load) = outcome.load {
            self.record_load(load, now);
        }
        match outcome.result {
            CallResult::Done => {
                self.record_service_time(outcome, now);
                self.health.on_success(now);
            }
            CallResult::Failed => {
                let reported = outcome.load.map_or(0, |load| load.failing);
                self.health
                    .on_failure(f32::from(reported.min(100)) / 100.0, now);
            }
            CallResult::Lost => self.health.on_lost(now),
            CallResult::NotRun(model::ErrorKind::Draining) => {
                self.draining_until = Some(now + DRAINING_BACKOFF);
            }
            CallResult::NotRun(model::ErrorKind::TargetBusy) | CallResult::Cancelled => {}
            CallResult::NotRun(_) => self.queue_full_until = Some(now + QUEUE_FULL_BACKOFF),
        }
    }

    fn record_load(&mut self, load: TargetLoad, now: Instant) {
        self.leaving |= load.leaving;
        self.limit = load.limit;
        self.pace = load.pace;
        let own = self.in_flight().saturating_sub(1);
        let remote_calls = load.outstanding().saturating_sub(own) as f32;
        self.remote_calls = remote_calls;
        self.mean_remote_calls += (remote_calls - self.mean_remote_calls) * REMOTE_CALLS_WEIGHT;
        self.remote_calls_at = now;
    }

    fn record_service_time(&mut self, outcome: &CallOutcome, now: Instant) {
        let sample = outcome.usual_service_s();
        let mean = self.mean_service_s.unwrap_or(sample);
        self.mean_service_s = Some(mean + (sample - mean) * SERVICE_TIME_WEIGHT);
        self.service_time_at = now;
    }

    /// Restarts the slow start, as after a restart of the target.
    pub(crate) fn restart_slow_start(&mut self, now: Instant) {
        self.slow_start_from = now;
    }

    /// Returns the expected service time in seconds, at the pace that the target named last.
    pub(crate) fn expected_service_s(&self, fallback_s: f32, now: Instant) -> f32 {
        let pace_age = now.saturating_duration_since(self.remote_calls_at);
        self.usual_service_s(fallback_s, now) * self.pace.factor_after(pace_age)
    }

    /// Returns the expected service time in seconds at the usual pace.
    ///
    /// Blends this proxy's measurement, whose weight decreases with its age, with the time
    /// reported by the daemon beside the target, or with `fallback_s` if none is reported.
    fn usual_service_s(&self, fallback_s: f32, now: Instant) -> f32 {
        let reported = self
            .view
            .mean_run_time
            .map_or(fallback_s, |run_time| run_time.as_secs_f32());
        let Some(service) = self.mean_service_s else {
            return reported;
        };
        let weight = age_weight(self.service_time_at, SERVICE_TIME_HALF_LIFE, now);
        reported + (service - reported) * weight
    }

    /// Returns the number of usable slots, which is reduced during slow start and by the limit that
    /// the target names.
    fn effective_slots(&self, fallback_s: f32, now: Instant) -> f32 {
        let slots = self.view.slots.0.min(self.view.connections.0).max(1) as f32;
        let age = now.saturating_duration_since(self.slow_start_from);
        let slots = (slots * self.slow_start.share_at(age)).max(1.0);
        let limit_age = now.saturating_duration_since(self.remote_calls_at);
        match self.limit {
            Some(limit) if limit_age < LIMIT_LIFETIME => {
                let used = limit.0 as f32 * self.expected_service_s(fallback_s, now);
                slots.min(used.max(MIN_LIMITED_SLOTS))
            }
            Some(_) | None => slots,
        }
    }

    /// Estimates the calls of all proxies at the target.
    fn outstanding(&self, now: Instant) -> f32 {
        let weight = age_weight(self.remote_calls_at, LOAD_HALF_LIFE, now);
        let remote_calls =
            self.mean_remote_calls + (self.remote_calls - self.mean_remote_calls) * weight;
        self.in_flight() as f32 + remote_calls
    }

    /// Returns the capacity in calls per second, by which candidates are sampled.
    ///
    /// `fallback_s` is the mean service time of all targets of the service.
    pub(crate) fn capacity(&self, fallback_s: f32, now: Instant) -> f32 {
        self.effective_slots(fallback_s, now)
            / self
                .expected_service_s(fallback_s, now)
                .max(f32::MIN_POSITIVE)
    }

    /// Returns whether one more call keeps the target within `utilization`.
    pub(crate) fn has_spare_capacity(
        &self,
        utilization: f32,
        fallback_s: f32,
        now: Instant,
    ) -> bool {
        let slots = self.effective_slots(fallback_s, now);
        self.outstanding(now) + 1.0 <= (slots * utilization).max(1.0)
    }

    /// Returns the expected time of one more call in seconds.
    ///
    /// The queueing delay has two parts, both relative to the service time: `wait`, which rises
    /// steeply near full utilization, and `queue`, for the calls beyond the slots. The failure
    /// rate is accounted for as additional attempts.
    pub(crate) fn score(&self, fallback_s: f32, now: Instant) -> f32 {
        let slots = self.effective_slots(fallback_s, now);
        let outstanding = self.outstanding(now) + 1.0;
        let utilization = (outstanding / slots).min(1.0);
        let free = (1.0 - utilization).max(MIN_FREE_SHARE);
        let wait = utilization.powi(4) / (free * slots);
        let queue = (outstanding / slots - 1.0).max(0.0);
        let attempts = 1.0 / (1.0 - self.health.failure_rate(now)).max(MIN_SUCCESS_RATE);
        self.expected_service_s(fallback_s, now) * (1.0 + wait + queue) * attempts
    }
}

/// Returns the weight of a measurement, which halves with each `half_life` of age.
pub(crate) fn age_weight(at: Instant, half_life: Duration, now: Instant) -> f32 {
    let age = now.saturating_duration_since(at).as_secs_f32();
    (-age / half_life.as_secs_f32()).exp2()
}
