//! Admission control of one target: starts, queues or refuses requests.
//!
//! Only the daemon beside a target sends it requests, so the gate knows all
//! requests running there, and a request that it refuses has not run. Three
//! rules apply:
//!
//! - Nested calls, which running requests make, go before new requests, since
//!   the work of their parents is lost if they fail. Then the route's priority
//!   decides, and within a priority the request that can wait least goes first.
//!   This order depends on the kind of request only. With earliest deadline
//!   first, an overload of a kind that can wait would eventually delay the
//!   kinds that cannot wait by just as much.
//! - A request is queued only if it can still end by its objective; a nested
//!   call may end somewhat later. A longer queue would serve no request sooner
//!   and would make all responses of an overloaded target late.
//! - On routes that allow late responses, a request that can no longer end by
//!   its objective is queued until its deadline, behind all requests that can.
//!   It gets the slots that these leave free, for example when a wave of demand
//!   ebbs, and delays none of them by more than the rest of a run.
//! - A request that cannot end in time behind those ahead of it is refused at
//!   once, with the time after which the queue will be short enough.
//!
//! A target may also name a limit on the rate of requests. Requests then wait in
//! the same order until the limit allows them, and those that would wait too
//! long are refused like those that find no slot in time.
//!
//! Run times are learned per route and corrected by the runs in progress: if
//! these have already taken longer than usual, the target has slowed down,
//! which is noticed long before any of them ends. Runs during which the process paused
//! are not learned from. A target may also name the time that work takes at the
//! moment. Run times are learned as they would be at the usual pace, and expected
//! at the present one.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use model::{CallCount, CallRate, ErrorKind, SharedClock};
use route::{CallId, TargetLoad, TargetPace};
use smallvec::SmallVec;

use crate::config::{CallPriority, RouteKey};
use crate::pacer::RequestPacer;
use crate::pause::ProcessPause;
use crate::run_time::RunTimes;

/// Weight of the latest run in the failure rate.
const FAILURE_WEIGHT: f32 = 0.1;
/// Fraction of the time between objective and deadline that a nested call may use; its
/// response remains useful until the deadline.
const NESTED_LATE_FRACTION: f32 = 0.8;
/// Maximum fraction of the time in which it is useful that a request of a route without runs is
/// expected to take.
const UNKNOWN_RUN_FRACTION: f32 = 0.5;
/// Fraction of the time until its latest start that a request which will be late may be expected to
/// wait. More urgent requests may still arrive in greater numbers, and a refusal after a long wait
/// is worse than one at once.
const LATE_WAIT_FRACTION: f32 = 0.5;
/// Time constant of the exponential average of admitted work.
const WORK_WINDOW: Duration = Duration::from_millis(500);
/// Minimum fraction of the slots assumed to be left over by more urgent requests.
const MIN_FREE_FRACTION: f32 = 0.05;
/// Minimum number of runs in progress to detect a slowdown; a single long run is common.
const MIN_RUNNING: usize = 3;
/// Pace from which a target counts as busy. What such a run takes longer is far more than the
/// time of sending the request to another target.
const SLOW_PACE: f32 = 1.5;
/// Maximum number of waiting requests per slot, which bounds memory.
const WAITING_PER_SLOT: usize = 16;
/// Maximum retry delay of a refused request, as a fraction of the time left until it must
/// start. The retry can then wait for no more than the rest of that time, so it goes ahead of
/// requests that can wait longer.
const RETRY_FRACTION: f32 = 0.4;
/// Minimum retry delay of a refused request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(30);
/// Maximum retry delay of a refused request.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A request that asks to run.
#[derive(Clone, Copy, Debug)]
pub struct GateRequest {
    /// Id of the request, unique among those at the gate.
    pub call: CallId,
    /// Route of the request.
    pub route: RouteKey,
    /// Priority of the route.
    pub priority: CallPriority,
    /// Whether this is a nested call, made by a running request.
    pub nested: bool,
    /// Time until which a response is fully useful to the caller.
    pub objective: Instant,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Whether a response after the objective is worth a slot that nobody else needs.
    pub may_be_late: bool,
}

/// Decision on a request that asks to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateDecision {
    /// The request starts now.
    Start,
    /// The request waits until [`PriorityGate::release`] returns it as started or
    /// [`PriorityGate::expire`] as refused.
    Wait,
    /// The request is refused and will not run.
    Refuse {
        /// Reason of the refusal.
        kind: ErrorKind,
        /// Time after which to retry.
        retry_after: Duration,
    },
}

/// A waiting request that starts now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartedCall {
    /// Id of the request.
    pub call: CallId,
    /// Time for which the request waited.
    pub waited: Duration,
}

/// Waiting requests that start after slots became free.
pub type StartList = SmallVec<[StartedCall; 2]>;

/// Sort key of a waiting request; the lowest starts first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueueKey {
    urgency: CallUrgency,
    arrival: u64,
}

impl QueueKey {
    /// Returns the key of the same request behind all that can end by their objective, with this
    /// `slack` until its latest start.
    fn into_late(self, slack: Duration) -> Self {
        let urgency = CallUrgency {
            late: true,
            slack,
            ..self.urgency
        };
        Self { urgency, ..self }
    }
}

#[derive(Clone, Copy, Debug)]
struct WaitingCall {
    call: CallId,
    route: RouteKey,
    since: Instant,
    /// Latest start with which the request still ends in time.
    start_by: Instant,
    /// Latest start if the request may be late; equal to `start_by` otherwise.
    late_start_by: Instant,
}

#[derive(Clone, Copy, Debug)]
struct RunningCall {
    route: RouteKey,
    since: Instant,
    /// Factor by which work took longer than usual at the start.
    pace: f32,
}

/// Run time to expect of a request.
#[derive(Clone, Copy, Debug)]
struct ExpectedRun {
    time: Duration,
    /// Whether the request is to show that the run time of its route is wrong.
    is_trial: bool,
}

/// Admission control of one target.
#[derive(Debug)]
pub struct PriorityGate {
    clock: SharedClock,
    slots: usize,
    pacer: RequestPacer,
    draining: bool,
    running: HashMap<CallId, RunningCall>,
    waiting: BTreeMap<QueueKey, WaitingCall>,
    arrivals: u64,
    run_times: RunTimes,
    /// Moving average of the failure rate, from 0 to 1.
    failure_rate: f32,
    /// Recently admitted work by route.
    admitted: HashMap<RouteKey, AdmittedWork>,
    /// End of the latest pause of the process.
    paused_until: Option<Instant>,
    pace: TargetPace,
    /// Time at which the target named its pace.
    pace_at: Option<Instant>,
}

/// Average number of slots used by the admitted requests of one route.
#[derive(Clone, Copy, Debug)]
struct AdmittedWork {
    urgency: CallUrgency,
    slots: f32,
    updated_at: Instant,
}

/// Urgency of a request, most urgent first: nested calls, then requests that can end by their
/// objective, then by priority, then by the time for which the request can wait.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct CallUrgency {
    not_nested: bool,
    late: bool,
    priority: CallPriority,
    slack: Duration,
}

impl AdmittedWork {
    /// Adds a request that takes `run_s` seconds.
    fn add(&mut self, urgency: CallUrgency, run_s: f32, now: Instant) {
        self.slots = self.slots_at(now) + run_s / WORK_WINDOW.as_secs_f32();
        self.urgency = urgency;
        self.updated_at = now;
    }

    fn slots_at(&self, now: Instant) -> f32 {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f32();
        self.slots * (-age / WORK_WINDOW.as_secs_f32()).exp()
    }
}

impl PriorityGate {
    /// Creates the gate of a target that runs `slots` requests concurrently.
    pub fn new(slots: CallCount, clock: SharedClock) -> Self {
        Self {
            clock,
            slots: slots.0 as usize,
            pacer: RequestPacer::default(),
            draining: false,
            running: HashMap::new(),
            waiting: BTreeMap::new(),
            arrivals: 0,
            run_times: RunTimes::default(),
            failure_rate: 0.0,
            admitted: HashMap::new(),
            paused_until: None,
            pace: TargetPace::default(),
            pace_at: None,
        }
    }

    /// Records the latest pause of the process.
    ///
    /// Nothing is learned from the runs that were in progress, since their targets may have ended
    /// them at any time during the pause.
    pub fn record_pause(&mut self, pause: ProcessPause) {
        self.paused_until = Some(pause.until);
    }

    /// Sets the pace that the target names.
    pub fn set_pace(&mut self, pace: TargetPace) {
        self.pace = pace;
        self.pace_at = Some(self.clock.now());
    }

    /// Returns the factor by which work takes longer than usual.
    fn pace_factor(&self, now: Instant) -> f32 {
        self.pace_at.map_or(1.0, |at| {
            self.pace.factor_after(now.saturating_duration_since(at))
        })
    }

    /// Starts, queues or refuses a request.
    pub fn admit(&mut self, request: &GateRequest) -> GateDecision {
        let now = self.clock.now();
        if self.draining || self.slots == 0 {
            return Self::refusal(ErrorKind::Draining, Duration::ZERO);
        }
        let expected = self.expected_run(request, now);
        // The shortest runs are assumed to take half of the usual time.
        if now + expected.time.mul_f32(0.5) >= request.deadline {
            return Self::refusal(ErrorKind::DeadlineExceeded, Duration::ZERO);
        }
        let slowed_run_time = expected.time.mul_f32(self.slowdown(now));
        let start_by = latest_end(request)
            .checked_sub(slowed_run_time)
            .unwrap_or(now);
        let late_start_by = latest_late_end(request)
            .and_then(|end| end.checked_sub(slowed_run_time))
            .map_or(start_by, |late| late.max(start_by));
        let urgency = CallUrgency {
            not_nested: !request.nested,
            late: false,
            priority: request.priority,
            slack: start_by.saturating_duration_since(now),
        };
        if self.waiting.is_empty() && self.may_start(now) {
            self.record_admitted(request, expected, urgency, now);
            self.start(request.call, request.route, now);
            return GateDecision::Start;
        }
        self.arrivals += 1;
        let key = QueueKey {
            urgency,
            arrival: self.arrivals,
        };
        let start = now + self.expected_wait(key, request.route, now);
        let is_full = self.waiting.len() >= self.slots * WAITING_PER_SLOT;
        if start > start_by && late_start_by > start_by && !is_full {
            return self.admit_late(request, key, late_start_by, now);
        }
        if start > start_by || is_full {
            let excess = start.saturating_duration_since(start_by);
            // Retrying while the objective can still be met is better than waiting until the
            // queue is short enough.
            let max_delay = if urgency.slack.is_zero() {
                excess
            } else {
                urgency.slack.mul_f32(RETRY_FRACTION)
            };
            return Self::refusal(ErrorKind::QueueFull, excess.min(max_delay));
        }
        self.record_admitted(request, expected, urgency, now);
        let waiting = WaitingCall {
            call: request.call,
            route: request.route,
            since: now,
            start_by,
            late_start_by,
        };
        self.waiting.insert(key, waiting);
        GateDecision::Wait
    }

    /// Queues a request that cannot end by its objective, or refuses it if it cannot end by its
    /// deadline either.
    fn admit_late(
        &mut self,
        request: &GateRequest,
        key: QueueKey,
        late_start_by: Instant,
        now: Instant,
    ) -> GateDecision {
        let slack = late_start_by.saturating_duration_since(now);
        let key = key.into_late(slack);
        let start = now + self.expected_wait(key, request.route, now);
        let admit_until = now + slack.mul_f32(LATE_WAIT_FRACTION);
        if start > admit_until {
            let excess = start.saturating_duration_since(admit_until);
            return Self::refusal(ErrorKind::QueueFull, excess);
        }
        let waiting = WaitingCall {
            call: request.call,
            route: request.route,
            since: now,
            start_by: late_start_by,
            late_start_by,
        };
        self.waiting.insert(key, waiting);
        GateDecision::Wait
    }

    /// Returns whether the next request would have to wait, or run for much longer than usual,
    /// though the target is in service.
    pub fn is_busy(&mut self) -> bool {
        let now = self.clock.now();
        let in_service = !self.draining && self.slots > 0;
        let starts_at_once = self.waiting.is_empty() && self.may_start(now);
        let is_slow = self.pace_factor(now) >= SLOW_PACE;
        in_service && (!starts_at_once || is_slow)
    }

    /// Removes a request that has ended or no longer waits; returns the requests that start now.
    pub fn release(&mut self, call: CallId, failed: bool) -> StartList {
        let now = self.clock.now();
        match self.running.remove(&call) {
            Some(running) => self.learn(running, failed, now),
            None => self.waiting.retain(|_, waiting| waiting.call != call),
        }
        self.start_next(now)
    }

    /// Takes `time` out of a run, in which its target was not at work.
    pub fn discount(&mut self, call: CallId, time: Duration) {
        if let Some(running) = self.running.get_mut(&call) {
            running.since += time;
        }
    }

    /// Removes a request that its caller cancelled; returns the requests that start now.
    pub fn cancel(&mut self, call: CallId) -> StartList {
        let now = self.clock.now();
        match self.running.remove(&call) {
            Some(running) => self.learn_time(running, true, now),
            None => self.waiting.retain(|_, waiting| waiting.call != call),
        }
        self.start_next(now)
    }

    /// Removes and returns the waiting requests that can no longer end in time.
    ///
    /// Those that may be late go on waiting, behind the others.
    pub fn expire(&mut self) -> Vec<CallId> {
        let now = self.clock.now();
        let is_demoted =
            |waiting: &WaitingCall| waiting.start_by <= now && waiting.late_start_by > now;
        let waiting = self.waiting.iter();
        let demoted: SmallVec<[QueueKey; 4]> = waiting
            .filter(|(_, waiting)| is_demoted(waiting))
            .map(|(key, _)| *key)
            .collect();
        for key in demoted {
            if let Some(mut waiting) = self.waiting.remove(&key) {
                waiting.start_by = waiting.late_start_by;
                let slack = waiting.late_start_by.saturating_duration_since(now);
                self.waiting.insert(key.into_late(slack), waiting);
            }
        }
        self.take_waiting(|waiting| waiting.start_by <= now)
    }

    /// Starts and returns the waiting requests that the target's limit allows by now.
    pub fn start_paced(&mut self) -> StartList {
        self.start_next(self.clock.now())
    }

    /// Returns when [`PriorityGate::expire`] or [`PriorityGate::start_paced`] is due next.
    ///
    /// Changes when a request starts to wait, a slot becomes free, or the limit changes.
    pub fn next_due(&self) -> Option<Instant> {
        let next_expiry = self
            .waiting
            .values()
            .map(|waiting| waiting.start_by)
            .min()?;
        let has_slot = self.running.len() < self.slots;
        let next_send = self.pacer.next_send(self.clock.now());
        let next_start = next_send.filter(|_| has_slot);
        Some(next_start.map_or(next_expiry, |start| start.min(next_expiry)))
    }

    /// Returns whether the target names a limit and requests wait.
    pub fn is_pacing(&self) -> bool {
        self.pacer.limit().is_some() && !self.waiting.is_empty()
    }

    /// Sets the number of slots; returns the requests that start now.
    pub fn resize(&mut self, slots: CallCount) -> StartList {
        self.slots = slots.0 as usize;
        self.start_next(self.clock.now())
    }

    /// Sets the limit on the rate of requests that the target names; returns the requests that
    /// start now.
    pub fn set_limit(&mut self, limit: Option<CallRate>) -> StartList {
        let now = self.clock.now();
        self.pacer.set_limit(limit, now);
        self.start_next(now)
    }

    /// Refuses new requests from now on; removes and returns the waiting ones.
    pub fn drain(&mut self) -> Vec<CallId> {
        self.draining = true;
        self.take_waiting(|_| true)
    }

    /// Accepts requests again after the target has restarted.
    pub fn reopen(&mut self) {
        self.draining = false;
    }

    /// Returns whether new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns whether no request is running or waiting.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Returns the load to report with each response.
    pub fn load(&self) -> TargetLoad {
        let pace = self.pace_factor(self.clock.now());
        TargetLoad {
            pace: TargetPace::from_percent((pace * 100.0).round() as u32),
            in_flight: CallCount(self.running.len() as u32),
            queued: CallCount(self.waiting.len() as u32),
            failing: (self.failure_rate * 100.0) as u8,
            limit: self.pacer.limit(),
            ..TargetLoad::default()
        }
    }

    /// Returns the mean run time of all routes to publish, corrected by the slowdown of the runs
    /// in progress beyond the pace that the target names, or `None` until enough runs have ended and when none has ended for long.
    pub fn mean_run_time(&self) -> Option<Duration> {
        let now = self.clock.now();
        let mean_s = self.run_times.published_s(now)?;
        // The pace changes many times a second, and each change of the published time is sent to
        // all daemons.
        let slowdown = (self.slowdown(now) / self.pace_factor(now)).max(1.0);
        Some(Duration::from_secs_f32(mean_s * slowdown))
    }

    /// Returns the time after which the queue may be short enough.
    pub fn retry_after(&self) -> Duration {
        let queued: f32 = self
            .waiting
            .values()
            .map(|call| self.run_times.mean_s(call.route))
            .sum();
        let slot_wait = Duration::from_secs_f32(queued / self.slots.max(1) as f32);
        let now = self.clock.now();
        let paced_wait = self
            .pacer
            .expected_wait(self.waiting.len(), CallRate::default(), now);
        slot_wait
            .max(paced_wait)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    fn refusal(kind: ErrorKind, delay: Duration) -> GateDecision {
        GateDecision::Refuse {
            kind,
            retry_after: delay.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }

    /// Returns the run time to expect of a request.
    ///
    /// Runs of other routes do not show that one of a route without runs cannot end in time, and
    /// only running it would show that it can. The same holds for a run time that leaves the
    /// requests of a route no time, so one of them runs now and then in spite of it. Only a request
    /// whose objective is still ahead can show that the run time is wrong.
    fn expected_run(&self, request: &GateRequest, now: Instant) -> ExpectedRun {
        let mean = Duration::from_secs_f32(self.run_times.mean_s(request.route));
        let time_left = latest_end(request).saturating_duration_since(now);
        let assumed = mean.min(time_left.mul_f32(UNKNOWN_RUN_FRACTION));
        let is_early = now < request.objective && request.objective <= request.deadline;
        let is_trial = mean > time_left && is_early && self.run_times.may_try(request.route, now);
        let is_known = self.run_times.is_known(request.route, now);
        ExpectedRun {
            time: if is_known && !is_trial { mean } else { assumed },
            is_trial,
        }
    }

    /// Estimates the time until a request of `own_route` with `key` would start.
    ///
    /// More urgent requests that arrive in the meantime also go ahead, so only the slots, and
    /// the part of the target's limit, that they leave free count.
    fn expected_wait(&self, key: QueueKey, own_route: RouteKey, now: Instant) -> Duration {
        let ahead = self.waiting.range(..key);
        let ahead_count = ahead.clone().count();
        let queued: f32 = ahead
            .map(|(_, call)| self.run_times.mean_s(call.route))
            .sum();
        let running: f32 = self
            .running
            .values()
            .map(|call| self.run_times.mean_s(call.route))
            .sum();
        let slots = self.slots as f32;
        // If the runs started at random times, the first of them ends after the mean run
        // time divided by the number of slots.
        let first_end = running / slots;
        let (mut used, mut urgent_rate) = (0.0, 0.0);
        for (route, work) in &self.admitted {
            if work.urgency < key.urgency {
                let slots_used = work.slots_at(now);
                used += slots_used;
                // Earlier requests of the same route no longer need the limit, and those that wait
                // are among those ahead.
                if *route != own_route {
                    urgent_rate +=
                        slots_used / self.run_times.mean_s(*route).max(f32::MIN_POSITIVE);
                }
            }
        }
        let free = (slots - used).max(slots * MIN_FREE_FRACTION);
        let slot_wait = Duration::from_secs_f32((queued + first_end) / free * self.slowdown(now));
        let urgent_rate = CallRate(f64::from(urgent_rate));
        let paced_wait = self.pacer.expected_wait(ahead_count, urgent_rate, now);
        slot_wait.max(paced_wait)
    }

    /// Returns a lower bound of the factor by which runs in progress are slower than usual,
    /// or that of the pace that the target names if they are not slower.
    ///
    /// At normal speed, runs in progress have on average taken half of their run time.
    fn slowdown(&self, now: Instant) -> f32 {
        let (mut count, mut progress) = (0, 0.0);
        for call in self.running.values() {
            if self.has_paused_since(call.since) {
                continue;
            }
            let age = now.saturating_duration_since(call.since);
            count += 1;
            progress +=
                age.as_secs_f32() / self.run_times.mean_s(call.route).max(f32::MIN_POSITIVE);
        }
        let pace = self.pace_factor(now);
        if count < MIN_RUNNING {
            return pace;
        }
        (progress / count as f32).max(pace)
    }

    /// Returns whether the process has paused since `start`.
    fn has_paused_since(&self, start: Instant) -> bool {
        self.paused_until.is_some_and(|until| start < until)
    }

    /// Updates the failure rate and the run time of a route after a run.
    fn learn(&mut self, run: RunningCall, failed: bool, now: Instant) {
        if self.has_paused_since(run.since) {
            return;
        }
        let failure = if failed { 1.0 } else { 0.0 };
        self.failure_rate += (failure - self.failure_rate) * FAILURE_WEIGHT;
        self.learn_time(run, failed, now);
    }

    /// Updates the run time of a route after a run.
    ///
    /// A run that is `incomplete`, since it failed or was cancelled, counts only if it had
    /// already taken longer than usual: few runs of a target that slows down end before they
    /// are cancelled.
    fn learn_time(&mut self, run: RunningCall, incomplete: bool, now: Instant) {
        // The pace may have changed during the run.
        let pace = f32::midpoint(run.pace, self.pace_factor(now));
        let took = now.saturating_duration_since(run.since).as_secs_f32() / pace;
        let cut_short = incomplete && took <= self.run_times.mean_s(run.route);
        if cut_short || self.has_paused_since(run.since) {
            return;
        }
        self.run_times.learn(run.route, took, now);
    }

    fn record_admitted(
        &mut self,
        request: &GateRequest,
        expected: ExpectedRun,
        urgency: CallUrgency,
        now: Instant,
    ) {
        if expected.is_trial {
            self.run_times
                .begin_trial(request.route, latest_end(request));
        }
        let run_s = self.run_times.mean_s(request.route);
        let work = self.admitted.entry(request.route).or_insert(AdmittedWork {
            urgency,
            slots: 0.0,
            updated_at: now,
        });
        work.add(urgency, run_s, now);
    }

    /// Returns whether there is a free slot and the target's limit allows another request.
    fn may_start(&mut self, now: Instant) -> bool {
        self.running.len() < self.slots && self.pacer.may_send(now)
    }

    fn start(&mut self, call: CallId, route: RouteKey, now: Instant) {
        self.pacer.record_sent();
        let running = RunningCall {
            route,
            since: now,
            pace: self.pace_factor(now),
        };
        self.running.insert(call, running);
    }

    fn start_next(&mut self, now: Instant) -> StartList {
        let mut started = StartList::new();
        while self.may_start(now) {
            // Expired requests are left to `expire`, whose caller answers them.
            let mut candidates = self.waiting.iter();
            let next = candidates.find(|(_, waiting)| waiting.start_by > now);
            let Some((&key, &waiting)) = next else {
                break;
            };
            self.waiting.remove(&key);
            self.start(waiting.call, waiting.route, now);
            started.push(StartedCall {
                call: waiting.call,
                waited: now.saturating_duration_since(waiting.since),
            });
        }
        started
    }

    /// Removes and returns the waiting requests that match `predicate`.
    fn take_waiting(&mut self, predicate: impl Fn(&WaitingCall) -> bool) -> Vec<CallId> {
        let mut taken = Vec::new();
        self.waiting.retain(|_, waiting| {
            let matches = predicate(waiting);
            if matches {
                taken.push(waiting.call);
            }
            !matches
        });
        taken
    }
}

/// Returns the time by which a request that may be late must end; `None` if it may not.
///
/// A nested call holds up its run, so its own rule applies.
fn latest_late_end(request: &GateRequest) -> Option<Instant> {
    (request.may_be_late && !request.nested).then_some(request.deadline)
}

/// Returns the time by which a request must end for waiting to be worthwhile.
fn latest_end(request: &GateRequest) -> Instant {
    let margin = request
        .deadline
        .saturating_duration_since(request.objective);
    let useful_until = if request.nested {
        request.objective + margin.mul_f32(NESTED_LATE_FRACTION)
    } else {
        request.objective
    };
    useful_until.min(request.deadline)
}
