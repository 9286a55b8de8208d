//! Admission beside a target: who runs, who waits, who is refused at once.
//!
//! Only the daemon beside a target reaches it, so the gate keeps the target's
//! slots and whatever it refuses has provably not run. Three rules decide:
//!
//! - Calls that a running request makes go before new requests, since the
//!   work of their parents is lost with them; then the route's priority
//!   decides, and within a priority who can wait least goes first. That is a
//!   fixed order of kinds: by the nearest deadline, an overload of one kind
//!   that can wait would in the end delay those that can't just as long.
//! - A request waits only while it can still end soon after its objective. A
//!   longer queue would serve nobody sooner, and would make every answer of an
//!   overloaded target a late one.
//! - What can't end in time behind those ahead of it is refused at once, with
//!   the time after which the queue will have shrunk enough.
//!
//! The time that a request takes is learned for each route, and corrected by
//! the runs in progress: where they have all taken longer than usual already,
//! the target has slowed down, long before one of them ends.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use model::{CallCount, ErrorKind, SharedClock};
use route::{CallId, TargetLoad};
use smallvec::SmallVec;

use crate::config::{CallPriority, RouteKey};

/// Weight of the latest run in a route's average run time.
const RUN_WEIGHT: f32 = 0.1;
/// Weight of the latest run in the mean time that the fleet is told: each change of it goes
/// to all daemons, and single runs differ by more than a step.
const TOLD_WEIGHT: f32 = 0.03;
/// Factor between the means of few and of many runs from which that of few is told.
const TOLD_FACTOR: f32 = 2.0;
/// Weight of the latest run in the average share of failures.
const FAILURE_WEIGHT: f32 = 0.1;
/// Run time assumed before any request of any route has ended, in seconds.
const FIRST_RUN_S: f32 = 0.05;
/// Part of the time between objective and deadline that a wait may use up, for the calls of
/// running requests: they are of use until their deadline.
const INNER_LATE_PART: f32 = 0.8;
/// Time over which admitted work is averaged.
const WORK_WINDOW: Duration = Duration::from_millis(500);
/// Least part of the slots that counts as left by more urgent requests.
const MIN_LEFT_PART: f32 = 0.05;
/// Runs in progress from which a slowdown is concluded; a single long run is common.
const MIN_RUNNING: usize = 3;
/// Runs after which their mean time is told; before, the assumed one weighs too much.
const MIN_ENDED: u32 = 20;
/// Waiting requests for each slot, which bounds memory.
const WAITING_PER_SLOT: usize = 16;
/// Part of the time by which it must start after which a refused request is told to come
/// back at the latest; with the rest it goes ahead of those who can still wait.
const RETURN_PART: f32 = 0.4;
/// Least time after which a refused request is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(30);
/// Longest such time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A request that asks to run.
#[derive(Clone, Copy, Debug)]
pub struct GateRequest {
    /// Its id, unique while it lives.
    pub call: CallId,
    /// Its route.
    pub route: RouteKey,
    /// Rank of the route.
    pub priority: CallPriority,
    /// Whether a running request made it.
    pub inner: bool,
    /// Until when its answer has its full worth.
    pub objective: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
}

/// What becomes of a request that asks to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateDecision {
    /// It runs now.
    Start,
    /// It waits until [`PriorityGate::release`] names it, or [`PriorityGate::expire`] refuses it.
    Wait,
    /// It has not run and will not.
    Refuse {
        /// Why.
        kind: ErrorKind,
        /// When a place may be free.
        retry_after: Duration,
    },
}

/// A request that may start now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartedCall {
    /// Its id.
    pub call: CallId,
    /// How long it waited.
    pub waited: Duration,
}

/// Requests to start after a slot became free.
pub type StartList = SmallVec<[StartedCall; 2]>;

/// Order in which waiting requests start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueuePlace {
    rank: WorkRank,
    arrival: u64,
}

#[derive(Clone, Copy, Debug)]
struct WaitingCall {
    call: CallId,
    route: RouteKey,
    since: Instant,
    /// Latest start that still ends in time.
    start_by: Instant,
}

#[derive(Clone, Copy, Debug)]
struct RunningCall {
    route: RouteKey,
    since: Instant,
}

/// Admission to one target.
#[derive(Debug)]
pub struct PriorityGate {
    clock: SharedClock,
    slots: usize,
    draining: bool,
    running: HashMap<CallId, RunningCall>,
    waiting: BTreeMap<QueuePlace, WaitingCall>,
    arrivals: u64,
    run_s: HashMap<RouteKey, f32>,
    mean_s: f32,
    /// The same over more runs, for the fleet.
    told_s: f32,
    /// Runs that the means were learned from.
    ended: u32,
    failing: f32,
    /// Work taken in lately, by route.
    admitted: HashMap<RouteKey, AdmittedWork>,
}

/// Slots that the admitted requests of one route keep busy, averaged.
#[derive(Clone, Copy, Debug)]
struct AdmittedWork {
    rank: WorkRank,
    slots: f32,
    at: Instant,
}

/// Whose work goes first: the shorter a request can wait, the sooner it starts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct WorkRank {
    outer: bool,
    priority: CallPriority,
    slack: Duration,
}

impl AdmittedWork {
    /// Adds a request that takes `run_s` seconds.
    fn add(&mut self, rank: WorkRank, run_s: f32, now: Instant) {
        self.slots = self.slots_at(now) + run_s / WORK_WINDOW.as_secs_f32();
        self.rank = rank;
        self.at = now;
    }

    fn slots_at(&self, now: Instant) -> f32 {
        let age = now.saturating_duration_since(self.at).as_secs_f32();
        self.slots * (-age / WORK_WINDOW.as_secs_f32()).exp()
    }
}

impl PriorityGate {
    /// A gate for a target that runs `slots` requests at once.
    pub fn new(slots: CallCount, clock: SharedClock) -> Self {
        Self {
            clock,
            slots: slots.0 as usize,
            draining: false,
            running: HashMap::new(),
            waiting: BTreeMap::new(),
            arrivals: 0,
            run_s: HashMap::new(),
            mean_s: FIRST_RUN_S,
            told_s: FIRST_RUN_S,
            ended: 0,
            failing: 0.0,
            admitted: HashMap::new(),
        }
    }

    /// Takes a request in, or refuses it.
    pub fn admit(&mut self, ticket: &GateRequest) -> GateDecision {
        let now = self.clock.now();
        if self.draining || self.slots == 0 {
            return Self::refusal(ErrorKind::Draining, Duration::ZERO);
        }
        let run = self.run_time(ticket.route);
        if now + run.mul_f32(0.5) >= ticket.deadline {
            return Self::refusal(ErrorKind::DeadlineExceeded, Duration::ZERO);
        }
        let slowed = run.mul_f32(self.slowdown(now));
        let start_by = latest_end(ticket).checked_sub(slowed).unwrap_or(now);
        let rank = WorkRank {
            outer: !ticket.inner,
            priority: ticket.priority,
            slack: start_by.saturating_duration_since(now),
        };
        if self.running.len() < self.slots && self.waiting.is_empty() {
            self.note_admitted(ticket.route, rank, now);
            self.start(ticket.call, ticket.route, now);
            return GateDecision::Start;
        }
        self.arrivals += 1;
        let place = QueuePlace {
            rank,
            arrival: self.arrivals,
        };
        let start = now + self.wait_ahead_of(place, now);
        if start > start_by || self.waiting.len() >= self.slots * WAITING_PER_SLOT {
            let excess = start.saturating_duration_since(start_by);
            // Back while it can still meet its objective, rather than with the queue gone.
            let latest = if rank.slack.is_zero() {
                excess
            } else {
                rank.slack.mul_f32(RETURN_PART)
            };
            return Self::refusal(ErrorKind::QueueFull, excess.min(latest));
        }
        self.note_admitted(ticket.route, rank, now);
        let waiting = WaitingCall {
            call: ticket.call,
            route: ticket.route,
            since: now,
            start_by,
        };
        self.waiting.insert(place, waiting);
        GateDecision::Wait
    }

    /// Takes a request out, running or waiting; names those that start now.
    pub fn release(&mut self, call: CallId, failed: bool) -> StartList {
        let now = self.clock.now();
        match self.running.remove(&call) {
            Some(running) => self.learn(running, failed, now),
            None => self.waiting.retain(|_, waiting| waiting.call != call),
        }
        self.start_next(now)
    }

    /// Takes a request out that its caller gave up.
    pub fn cancel(&mut self, call: CallId) -> StartList {
        let now = self.clock.now();
        match self.running.remove(&call) {
            Some(running) => self.learn_time(running, true, now),
            None => self.waiting.retain(|_, waiting| waiting.call != call),
        }
        self.start_next(now)
    }

    /// Refuses the waiting requests that can't end in time any more.
    pub fn expire(&mut self) -> Vec<CallId> {
        let now = self.clock.now();
        self.take_waiting(|waiting| waiting.start_by <= now)
    }

    /// When [`PriorityGate::expire`] is due next.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.waiting.values().map(|waiting| waiting.start_by).min()
    }

    /// Takes over the number of requests that the target runs at once.
    pub fn resize(&mut self, slots: CallCount) -> StartList {
        self.slots = slots.0 as usize;
        self.start_next(self.clock.now())
    }

    /// Refuses new requests and those that wait, whom it returns.
    pub fn drain(&mut self) -> Vec<CallId> {
        self.draining = true;
        self.take_waiting(|_| true)
    }

    /// Takes requests again, for a target that started anew.
    pub fn reopen(&mut self) {
        self.draining = false;
    }

    /// Whether new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Load to tell with each answer.
    pub fn load(&self) -> TargetLoad {
        TargetLoad {
            in_flight: CallCount(self.running.len() as u32),
            queued: CallCount(self.waiting.len() as u32),
            failing: (self.failing * 100.0) as u8,
        }
    }

    /// How long runs of all routes take; none until some have ended.
    pub fn mean_run_time(&self) -> Option<Duration> {
        let slowdown = self.slowdown(self.clock.now());
        // A change beyond what single runs make is told at once.
        let apart = self.mean_s / self.told_s;
        let steady = (1.0 / TOLD_FACTOR..TOLD_FACTOR).contains(&apart);
        let mean = if steady { self.told_s } else { self.mean_s };
        let known = self.ended >= MIN_ENDED;
        known.then(|| Duration::from_secs_f32(mean * slowdown))
    }

    /// When a place in the queue may be free.
    pub fn retry_after(&self) -> Duration {
        let queued: f32 = self
            .waiting
            .values()
            .map(|call| self.run_s(call.route))
            .sum();
        let time = Duration::from_secs_f32(queued / self.slots.max(1) as f32);
        time.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    fn refusal(kind: ErrorKind, excess: Duration) -> GateDecision {
        GateDecision::Refuse {
            kind,
            retry_after: excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }

    /// Time until a request at `place` would start, with everything ahead of it run.
    ///
    /// Requests of a higher rank that arrive meanwhile go ahead too, so only the slots
    /// that they leave count.
    fn wait_ahead_of(&self, place: QueuePlace, now: Instant) -> Duration {
        let ahead = self.waiting.range(..place);
        let queued: f32 = ahead.map(|(_, call)| self.run_s(call.route)).sum();
        let running: f32 = self
            .running
            .values()
            .map(|call| self.run_s(call.route))
            .sum();
        let slots = self.slots as f32;
        // The first of many runs that began at random times ends after one part in slots.
        let first = running / slots;
        let urgent = self.admitted.values().filter(|work| work.rank < place.rank);
        let urgent: f32 = urgent.map(|work| work.slots_at(now)).sum();
        let left = (slots - urgent).max(slots * MIN_LEFT_PART);
        Duration::from_secs_f32((queued + first) / left * self.slowdown(now))
    }

    /// How many times as long as usual the runs in progress take, at least; 1 if they don't.
    ///
    /// At a steady pace they have taken about half of their time.
    fn slowdown(&self, now: Instant) -> f32 {
        if self.running.len() < MIN_RUNNING {
            return 1.0;
        }
        let parts = self.running.values().map(|call| {
            let age = now.saturating_duration_since(call.since);
            age.as_secs_f32() / self.run_s(call.route).max(f32::MIN_POSITIVE)
        });
        (parts.sum::<f32>() / self.running.len() as f32).max(1.0)
    }

    fn run_time(&self, route: RouteKey) -> Duration {
        Duration::from_secs_f32(self.run_s(route))
    }

    fn run_s(&self, route: RouteKey) -> f32 {
        self.run_s.get(&route).copied().unwrap_or(self.mean_s)
    }

    fn learn(&mut self, run: RunningCall, failed: bool, now: Instant) {
        let share = if failed { 1.0 } else { 0.0 };
        self.failing += (share - self.failing) * FAILURE_WEIGHT;
        self.learn_time(run, failed, now);
    }

    /// Learns how long a run took. One that was `cut` short tells nothing, unless it had
    /// taken longer than usual by then: a target that slows down ends few runs in time.
    fn learn_time(&mut self, run: RunningCall, cut: bool, now: Instant) {
        let took = now.saturating_duration_since(run.since).as_secs_f32();
        if cut && took <= self.run_s(run.route) {
            return;
        }
        self.ended = self.ended.saturating_add(1);
        self.mean_s += (took - self.mean_s) * RUN_WEIGHT;
        let weight = TOLD_WEIGHT.max(1.0 / self.ended as f32);
        self.told_s += (took - self.told_s) * weight;
        let mean = self.run_s.entry(run.route).or_insert(took);
        *mean += (took - *mean) * RUN_WEIGHT;
    }

    fn note_admitted(&mut self, route: RouteKey, rank: WorkRank, now: Instant) {
        let run_s = self.run_s(route);
        let work = self.admitted.entry(route).or_insert(AdmittedWork {
            rank,
            slots: 0.0,
            at: now,
        });
        work.add(rank, run_s, now);
    }

    fn start(&mut self, call: CallId, route: RouteKey, now: Instant) {
        self.running.insert(call, RunningCall { route, since: now });
    }

    fn start_next(&mut self, now: Instant) -> StartList {
        let mut started = StartList::new();
        while self.running.len() < self.slots {
            // Those past their time are left to `expire`, which tells their callers.
            let mut open = self.waiting.iter();
            let next = open.find(|(_, waiting)| waiting.start_by > now);
            let Some((&place, &waiting)) = next else {
                break;
            };
            self.waiting.remove(&place);
            self.start(waiting.call, waiting.route, now);
            started.push(StartedCall {
                call: waiting.call,
                waited: now.saturating_duration_since(waiting.since),
            });
        }
        started
    }

    fn take_waiting(&mut self, wanted: impl Fn(&WaitingCall) -> bool) -> Vec<CallId> {
        let mut taken = Vec::new();
        self.waiting.retain(|_, waiting| {
            let take = wanted(waiting);
            if take {
                taken.push(waiting.call);
            }
            !take
        });
        taken
    }
}

/// When the answer must be there for the wait to be worth it.
fn latest_end(ticket: &GateRequest) -> Instant {
    let late = ticket.deadline.saturating_duration_since(ticket.objective);
    let worth_it = if ticket.inner {
        ticket.objective + late.mul_f32(INNER_LATE_PART)
    } else {
        ticket.objective
    };
    worth_it.min(ticket.deadline)
}
