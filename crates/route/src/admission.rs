//! Admission control beside a target.
//!
//! The gate alone decides which calls the target runs, so the limits on slots
//! and connections hold however many proxies send calls. Further calls wait in
//! a short queue, bounded by its length and by each call's deadline. A call
//! that cannot finish in time is refused immediately instead of doing useless
//! work. A refused call has not run.
//!
//! The user of the gate must start a call on [`AdmissionDecision::Start`], start
//! the calls that [`AdmissionGate::leave`] and [`AdmissionGate::resize`] return,
//! and refuse displaced calls. Waiting calls whose deadline has passed are
//! removed by [`AdmissionGate::expire`], which is due at
//! [`AdmissionGate::next_expiry`]. A user with a timer for each call can instead
//! pass such a call to [`AdmissionGate::leave`].

use std::collections::HashMap;
use std::time::{Duration, Instant};

use derive_more::Display;
use model::{CallClass, CallCount, CustomerName, ErrorKind, SharedClock};
use smallvec::SmallVec;

use crate::queue::FairQueue;
use crate::target::TargetLoad;

/// Weight of the latest call in the moving averages of run time and failure rate.
const AVERAGE_WEIGHT: f32 = 0.1;

/// Id of a call, assigned by the user of the gate and unique among its current calls.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// Capacity of the target behind the gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GateConfig {
    /// Maximum number of calls that the target runs concurrently.
    pub slots: CallCount,
    /// Maximum number of connections that the target accepts.
    pub connections: CallCount,
    /// Maximum number of waiting calls.
    pub queue: CallCount,
}

impl GateConfig {
    /// Returns the maximum number of running calls; each takes a slot and a connection.
    fn max_running(&self) -> usize {
        self.slots.0.min(self.connections.0) as usize
    }
}

/// Request to run a call.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Id of the call.
    pub call: CallId,
    /// Customer that the call belongs to.
    pub customer: CustomerName,
    /// Class of the call.
    pub class: CallClass,
    /// Deadline for the answer.
    pub deadline: Instant,
}

/// Decision on a request to run a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The call runs now.
    Start,
    /// The call waits until [`AdmissionGate::leave`] or [`AdmissionGate::resize`] returns it, or
    /// until it is refused.
    Queued,
    /// The call has not run and will not run.
    Refused(ErrorKind),
}

/// Result of [`AdmissionGate::enter`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionOutcome {
    /// Decision on the call.
    pub decision: AdmissionDecision,
    /// Waiting call that was displaced and is refused with `QueueFull`.
    pub displaced: Option<CallId>,
}

impl From<AdmissionDecision> for AdmissionOutcome {
    fn from(decision: AdmissionDecision) -> Self {
        Self {
            decision,
            displaced: None,
        }
    }
}

/// A call that ended or was cancelled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FinishedCall {
    /// Id of the call.
    pub call: CallId,
    /// Whether the call failed at the target.
    pub failed: bool,
}

/// A queued call that starts now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartedCall {
    /// Id of the call.
    pub call: CallId,
    /// Time for which the call waited.
    pub waited: Duration,
}

/// Calls to start after a slot became free.
pub type StartList = SmallVec<[StartedCall; 2]>;

/// Admission control of one target.
#[derive(Debug)]
pub struct AdmissionGate {
    config: GateConfig,
    clock: SharedClock,
    running: HashMap<CallId, Instant>,
    queue: FairQueue,
    draining: bool,
    mean_run_s: f32,
    failure_rate: f32,
}

impl AdmissionGate {
    /// Creates a gate without calls.
    pub fn new(config: GateConfig, clock: SharedClock) -> Self {
        Self {
            config,
            clock,
            running: HashMap::new(),
            queue: FairQueue::default(),
            draining: false,
            mean_run_s: 0.0,
            failure_rate: 0.0,
        }
    }

    /// Starts, queues or refuses a call.
    pub fn enter(&mut self, request: &AdmissionRequest) -> AdmissionOutcome {
        let now = self.clock.now();
        if self.draining {
            return AdmissionDecision::Refused(ErrorKind::Draining).into();
        }
        if request.deadline <= now {
            return AdmissionDecision::Refused(ErrorKind::DeadlineExceeded).into();
        }
        if self.running.len() < self.config.max_running() && self.queue.len() == 0 {
            self.running.insert(request.call, now);
            return AdmissionDecision::Start.into();
        }
        if self.would_miss_deadline(request, now) {
            return AdmissionDecision::Refused(ErrorKind::QueueFull).into();
        }
        self.enqueue(request, now)
    }

    fn enqueue(&mut self, request: &AdmissionRequest, now: Instant) -> AdmissionOutcome {
        let mut displaced = None;
        if self.queue.len() >= self.config.queue.0 as usize {
            displaced = self.queue.displace(request);
            if displaced.is_none() {
                return AdmissionDecision::Refused(ErrorKind::QueueFull).into();
            }
        }
        self.queue.push(request, now);
        AdmissionOutcome {
            decision: AdmissionDecision::Queued,
            displaced,
        }
    }

    /// Returns whether the call, if queued behind its customer's waiting calls, is expected to
    /// miss its deadline.
    fn would_miss_deadline(&self, request: &AdmissionRequest, now: Instant) -> bool {
        let ahead = self.queue.customer_len(&request.customer) + 1;
        let rounds = ahead as f32 / self.config.max_running().max(1) as f32;
        let expected_time = Duration::from_secs_f32(self.mean_run_s * (rounds + 1.0));
        now + expected_time > request.deadline
    }

    /// Removes a running or waiting call; returns the calls to start.
    pub fn leave(&mut self, finished: FinishedCall) -> StartList {
        let now = self.clock.now();
        match self.running.remove(&finished.call) {
            Some(started) => self.record_run(now - started, finished.failed),
            None => {
                self.queue.remove(finished.call);
            }
        }
        self.start_next(now)
    }

    fn record_run(&mut self, run_time: Duration, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate += (sample - self.failure_rate) * AVERAGE_WEIGHT;
        if !failed {
            self.mean_run_s += (run_time.as_secs_f32() - self.mean_run_s) * AVERAGE_WEIGHT;
        }
    }

    /// Starts waiting calls that have not expired while slots are free.
    fn start_next(&mut self, now: Instant) -> StartList {
        let mut started = StartList::new();
        while self.running.len() < self.config.max_running() {
            let Some(waiting) = self.queue.pop_unexpired(now) else {
                break;
            };
            self.running.insert(waiting.call, now);
            started.push(StartedCall {
                call: waiting.call,
                waited: now - waiting.queued_at,
            });
        }
        started
    }

    /// Removes the waiting calls whose deadline has passed; returns them, to be refused with
    /// `DeadlineExceeded`.
    pub fn expire(&mut self) -> Vec<CallId> {
        let now = self.clock.now();
        self.queue.take_expired(now)
    }

    /// Returns when [`AdmissionGate::expire`] is due next.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.queue.earliest_deadline()
    }

    /// Changes the capacity of the target; returns the calls to start.
    pub fn resize(&mut self, config: GateConfig) -> StartList {
        self.config = config;
        self.start_next(self.clock.now())
    }

    /// Refuses new calls from now on; returns the waiting calls, to be refused with `Draining`.
    pub fn drain(&mut self) -> Vec<CallId> {
        self.draining = true;
        self.queue.take_all()
    }

    /// Accepts calls again, after a drain was cancelled.
    pub fn reopen(&mut self) {
        self.draining = false;
    }

    /// Returns whether new calls are refused.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns whether no call is running or waiting.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.len() == 0
    }

    /// Returns the load to report with answers.
    pub fn load(&self) -> TargetLoad {
        TargetLoad {
            in_flight: CallCount(self.running.len() as u32),
            queued: CallCount(self.queue.len() as u32),
            failing: (self.failure_rate * 100.0) as u8,
            ..TargetLoad::default()
        }
    }

    /// Returns the time after which a refused call may find a slot: the time to clear the queue.
    pub fn retry_after(&self) -> Duration {
        let rounds = (self.queue.len() + 1) as f32 / self.config.max_running().max(1) as f32;
        Duration::from_secs_f32(self.mean_run_s * rounds)
    }
}
