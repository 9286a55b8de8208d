//! Admission control beside a target.
//!
//! The gate alone decides which calls the target runs, so its slots and
//! connections hold whatever number of proxies send calls. Calls beyond the
//! slots wait in a short queue, bounded by its length and by each call's
//! deadline; a call that could not finish in time is refused at once rather
//! than started in vain. Every refusal is proven not to have run.
//!
//! The caller of the gate starts a call on [`AdmissionDecision::Start`], and the calls
//! that [`AdmissionGate::leave`] names; [`AdmissionGate::expire`] is due at
//! [`AdmissionGate::next_expiry`].

use std::collections::HashMap;
use std::time::{Duration, Instant};

use derive_more::Display;
use model::{CallClass, CallCount, CustomerName, ErrorKind, SharedClock};
use smallvec::SmallVec;

use crate::queue::FairQueue;
use crate::target::TargetLoad;

/// Weight of the latest call in the average run time and share of failures.
const RUN_WEIGHT: f32 = 0.1;

/// A call at one gate, chosen by the gate's user and unique while the call lives.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// Capacity of the target beside the gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GateConfig {
    /// Calls that the target runs at once.
    pub slots: CallCount,
    /// Connections that the target accepts at once.
    pub connections: CallCount,
    /// Calls that may wait.
    pub queue: CallCount,
}

impl GateConfig {
    /// Calls that may run at once: each takes a slot and a connection.
    fn running(&self) -> usize {
        self.slots.0.min(self.connections.0) as usize
    }
}

/// A call that asks to run.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Its id.
    pub call: CallId,
    /// The customer that it is for.
    pub customer: CustomerName,
    /// Its class.
    pub class: CallClass,
    /// When it must have been answered.
    pub deadline: Instant,
}

/// What becomes of a call that asks to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// Run it now.
    Start,
    /// It waits until [`AdmissionGate::leave`] names it or it is refused.
    Queued,
    /// It did not run and will not.
    Refused(ErrorKind),
}

/// Answer to a call that asks to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionOutcome {
    /// What becomes of it.
    pub decision: AdmissionDecision,
    /// A waiting call that made room and is refused as `QueueFull`.
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

/// A call that ended, or whose caller left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FinishedCall {
    /// Its id.
    pub call: CallId,
    /// Whether the target failed it.
    pub failed: bool,
}

/// A call to start now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartedCall {
    /// Its id.
    pub call: CallId,
    /// How long it waited.
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
    run_s: f32,
    failing: f32,
}

impl AdmissionGate {
    /// A gate with no calls.
    pub fn new(config: GateConfig, clock: SharedClock) -> Self {
        Self {
            config,
            clock,
            running: HashMap::new(),
            queue: FairQueue::default(),
            draining: false,
            run_s: 0.0,
            failing: 0.0,
        }
    }

    /// Takes a call in, or refuses it.
    pub fn enter(&mut self, ticket: &AdmissionRequest) -> AdmissionOutcome {
        let now = self.clock.now();
        if self.draining {
            return AdmissionDecision::Refused(ErrorKind::Draining).into();
        }
        if ticket.deadline <= now {
            return AdmissionDecision::Refused(ErrorKind::DeadlineExceeded).into();
        }
        if self.running.len() < self.config.running() && self.queue.len() == 0 {
            self.running.insert(ticket.call, now);
            return AdmissionDecision::Start.into();
        }
        if self.ends_too_late(ticket, now) {
            return AdmissionDecision::Refused(ErrorKind::QueueFull).into();
        }
        self.enqueue(ticket, now)
    }

    fn enqueue(&mut self, ticket: &AdmissionRequest, now: Instant) -> AdmissionOutcome {
        let mut displaced = None;
        if self.queue.len() >= self.config.queue.0 as usize {
            displaced = self.queue.displace(ticket);
            if displaced.is_none() {
                return AdmissionDecision::Refused(ErrorKind::QueueFull).into();
            }
        }
        self.queue.push(ticket, now);
        AdmissionOutcome {
            decision: AdmissionDecision::Queued,
            displaced,
        }
    }

    /// Whether the call, behind its customer's share of the queue, would end past its deadline.
    fn ends_too_late(&self, ticket: &AdmissionRequest, now: Instant) -> bool {
        let ahead = self.queue.len_of(&ticket.customer) + 1;
        let turns = ahead as f32 / self.config.running().max(1) as f32;
        let time = Duration::from_secs_f32(self.run_s * (turns + 1.0));
        now + time > ticket.deadline
    }

    /// Takes a call out, running or waiting; names the calls to start.
    pub fn leave(&mut self, left: FinishedCall) -> StartList {
        let now = self.clock.now();
        match self.running.remove(&left.call) {
            Some(started) => self.learn(now - started, left.failed),
            None => {
                self.queue.remove(left.call);
            }
        }
        self.start_next(now)
    }

    fn learn(&mut self, run: Duration, failed: bool) {
        let share = if failed { 1.0 } else { 0.0 };
        self.failing += (share - self.failing) * RUN_WEIGHT;
        if !failed {
            self.run_s += (run.as_secs_f32() - self.run_s) * RUN_WEIGHT;
        }
    }

    /// Starts waiting calls that are still in time while slots are free.
    fn start_next(&mut self, now: Instant) -> StartList {
        let mut started = StartList::new();
        while self.running.len() < self.config.running() {
            let Some(waiting) = self.queue.pop_open(now) else {
                break;
            };
            self.running.insert(waiting.call, now);
            started.push(StartedCall {
                call: waiting.call,
                waited: now - waiting.since,
            });
        }
        started
    }

    /// Refuses waiting calls whose deadline has passed, as `DeadlineExceeded`.
    pub fn expire(&mut self) -> Vec<CallId> {
        let now = self.clock.now();
        self.queue.take_expired(now)
    }

    /// When [`AdmissionGate::expire`] is due next.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.queue.earliest()
    }

    /// Takes over another capacity of the target; names the calls to start.
    pub fn resize(&mut self, config: GateConfig) -> StartList {
        self.config = config;
        self.start_next(self.clock.now())
    }

    /// Refuses new work from now on, and the waiting calls, as `Draining`.
    pub fn drain(&mut self) -> Vec<CallId> {
        self.draining = true;
        self.queue.take_all()
    }

    /// Takes new work again, after a drain that was called off.
    pub fn reopen(&mut self) {
        self.draining = false;
    }

    /// Whether new work is refused.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether no call runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.len() == 0
    }

    /// Load to carry in answers.
    pub fn load(&self) -> TargetLoad {
        TargetLoad {
            in_flight: CallCount(self.running.len() as u32),
            queued: CallCount(self.queue.len() as u32),
            failing: (self.failing * 100.0) as u8,
        }
    }

    /// When a refused call may find a slot: the time in which the queue is worked off.
    pub fn retry_after(&self) -> Duration {
        let turns = (self.queue.len() + 1) as f32 / self.config.running().max(1) as f32;
        Duration::from_secs_f32(self.run_s * turns)
    }
}
