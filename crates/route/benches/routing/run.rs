//! Discrete-event simulation of proxies and targets.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use model::{CallClass, CallCount, ClockPort, CustomerName, DaemonId, ErrorKind, FakeClock};
use quetzal_route::{
    AdmissionDecision, AdmissionGate, AdmissionRequest, AttemptFailure, BudgetConfig, CallId,
    CallOutcome, CallResult, FailureCause, FinishedCall, GateConfig, RetryBudget, RetryDecision,
    RetryMark, RetryPolicy, TargetLoad,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smallvec::SmallVec;

use crate::chooser::{Choice, Chooser, PickStrategy};
use crate::faults::LOST_AFTER;
use crate::scenario::{Fault, MEASURED, SERVICE_TIME, Scenario, Size, WARM_UP};

/// One-way network latency within a failure domain, and between two.
const NEAR_LATENCY: Duration = Duration::from_micros(200);
const FAR_LATENCY: Duration = Duration::from_micros(1500);

/// Total timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a restarted target is slow, and the factor on its service time.
pub const COLD_TIME: Duration = Duration::from_secs(4);
const COLD_SLOWNESS: f64 = 5.0;

/// Time that a failing target takes to fail a call.
const FAIL_TIME: Duration = Duration::from_millis(1);

/// Time after which a hedged call is sent again, about the 95th percentile of the latency.
const HEDGE_AFTER: Duration = Duration::from_millis(60);

/// Budget for hedged attempts.
const HEDGE_BUDGET: BudgetConfig = BudgetConfig {
    ratio: 0.08,
    reserve: 10.0,
};

/// Measurements of a run.
pub struct Figures {
    pub latency_us: Histogram<u64>,
    pub calls: u64,
    pub refused: u64,
    pub failed: u64,
    pub attempts: u64,
    pub slot_violations: u64,
}

impl Figures {
    /// Returns the number of successful calls.
    pub fn goodput(&self) -> f64 {
        self.latency_us.len() as f64
    }

    pub fn share(&self, count: u64) -> f64 {
        count as f64 / self.calls.max(1) as f64
    }
}

pub struct Target {
    pub gate: AdmissionGate,
    slowness: f64,
    pub domain: usize,
    pub present: bool,
    pub cold_until: Instant,
    pub running: usize,
}

pub struct Proxy {
    pub chooser: Chooser,
    policy: RetryPolicy,
    hedge_budget: RetryBudget,
    domain: usize,
}

#[derive(Clone)]
pub struct Call {
    proxy: usize,
    arrived: Instant,
    attempts: u8,
    mark: RetryMark,
    tried: SmallVec<[DaemonId; 3]>,
}

pub struct Attempt {
    call: Call,
    pub choice: Choice,
    sent: Instant,
    waited: Duration,
    /// Number of the other attempt of a hedged call.
    hedge_pair: Option<u64>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Event {
    CallArrives,
    AttemptArrives(u64),
    RunEnds(u64),
    AnswerArrives(u64, Answer),
    /// Injects the change of the fault with this number, counted from zero.
    Inject(usize),
    Hedge(u64),
    UpdateTargets,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Answer {
    Done,
    Failed,
    Lost,
    Refused(ErrorKind),
}

pub struct Run {
    pub size: Size,
    pub scenario: Scenario,
    pub clock: FakeClock,
    /// When the targets started, some time before the simulated run begins.
    pub targets_started: Instant,
    random: SmallRng,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    pub targets: Vec<Target>,
    pub proxies: Vec<Proxy>,
    pub attempts: HashMap<u64, Attempt>,
    next_attempt: u64,
    customers: Vec<CustomerName>,
    figures: Figures,
    pub domain_lost: bool,
    strategy: PickStrategy,
}

impl Run {
    pub fn new(size: Size, scenario: Scenario, strategy: PickStrategy) -> Self {
        let clock = FakeClock::new();
        let targets_started = clock.now();
        // Every target has been up for some time.
        clock.advance(Duration::from_secs(60));
        let target = |index| Target {
            gate: AdmissionGate::new(gate_config(&size), clock.shared()),
            slowness: scenario.slowness(index, &size),
            domain: index % size.domains,
            present: true,
            cold_until: targets_started,
            running: 0,
        };
        let proxy = |index| Proxy {
            chooser: Chooser::new(strategy, domain(index % size.domains), &clock, index as u64),
            policy: RetryPolicy::new(),
            hedge_budget: RetryBudget::new(HEDGE_BUDGET),
            domain: index % size.domains,
        };
        let names = ["agency-1", "agency-2", "agency-3"];
        let mut run = Self {
            targets: (0..size.targets).map(target).collect(),
            proxies: (0..size.proxies).map(proxy).collect(),
            size,
            scenario,
            targets_started,
            random: SmallRng::seed_from_u64(7),
            events: BinaryHeap::new(),
            sequence: 0,
            attempts: HashMap::new(),
            next_attempt: 0,
            customers: names.iter().filter_map(|name| name.parse().ok()).collect(),
            figures: Figures {
                latency_us: Histogram::new_with_max(10_000_000, 3)
                    .expect("three digits are allowed"),
                calls: 0,
                refused: 0,
                failed: 0,
                attempts: 0,
                slot_violations: 0,
            },
            clock,
            domain_lost: false,
            strategy,
        };
        run.update_targets();
        run
    }

    /// Runs the simulation to the end.
    pub fn run(mut self) -> Figures {
        let begin = self.clock.now();
        let end = begin + WARM_UP + MEASURED;
        self.schedule(Duration::ZERO, Event::CallArrives);
        self.schedule(WARM_UP, Event::Inject(0));
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            let step = at.saturating_duration_since(self.clock.now());
            self.clock.advance(step);
            self.handle(event);
        }
        self.figures
    }

    pub fn schedule(&mut self, after: Duration, event: Event) {
        // The fake clock has a resolution of one microsecond.
        let after = Duration::from_micros(after.as_micros() as u64);
        self.sequence += 1;
        let at = self.clock.now() + after;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::CallArrives => self.on_call_arrives(),
            Event::AttemptArrives(attempt) => self.on_attempt_arrives(attempt),
            Event::RunEnds(attempt) => self.on_run_ends(attempt),
            Event::AnswerArrives(attempt, answer) => self.on_answer_arrives(attempt, answer),
            Event::Inject(number) => self.inject(number),
            Event::Hedge(attempt) => self.hedge(attempt),
            Event::UpdateTargets => self.update_targets(),
        }
    }

    fn is_measured(&self, arrived: Instant) -> bool {
        arrived >= self.targets_started + Duration::from_secs(60) + WARM_UP
    }

    fn on_call_arrives(&mut self) {
        let rate = self.scenario.call_rate(&self.size);
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
        self.schedule(Duration::from_secs_f64(gap), Event::CallArrives);
        let call = Call {
            proxy: self.random_proxy(),
            arrived: self.clock.now(),
            attempts: 0,
            mark: RetryMark::First,
            tried: SmallVec::new(),
        };
        if self.is_measured(call.arrived) {
            self.figures.calls += 1;
        }
        self.proxies[call.proxy].policy.on_first_attempt(call.mark);
        self.proxies[call.proxy].hedge_budget.earn();
        self.send(call, None);
    }

    /// Returns a random proxy outside the lost failure domain.
    fn random_proxy(&mut self) -> usize {
        loop {
            let proxy = self.random.random_range(0..self.proxies.len());
            if !self.domain_lost || self.proxies[proxy].domain != 0 {
                return proxy;
            }
        }
    }

    fn send(&mut self, mut call: Call, hedge_pair: Option<u64>) -> Option<u64> {
        let proxy = &mut self.proxies[call.proxy];
        let Some(choice) = proxy.chooser.pick(&call.tried) else {
            if hedge_pair.is_none() {
                self.record(&call, Answer::Refused(ErrorKind::TargetAbsent));
            }
            return None;
        };
        call.attempts += 1;
        call.tried.push(DaemonId(choice.target as u64));
        if self.is_measured(call.arrived) {
            self.figures.attempts += 1;
        }
        let latency = self.network_latency(call.proxy, choice.target);
        let number = self.next_attempt;
        self.next_attempt += 1;
        let attempt = Attempt {
            call,
            choice,
            sent: self.clock.now(),
            waited: Duration::ZERO,
            hedge_pair,
        };
        self.attempts.insert(number, attempt);
        self.schedule(latency, Event::AttemptArrives(number));
        if self.strategy == PickStrategy::Hedged && hedge_pair.is_none() {
            self.schedule(HEDGE_AFTER, Event::Hedge(number));
        }
        Some(number)
    }

    /// Sends a hedged attempt if the first one is still running.
    fn hedge(&mut self, number: u64) {
        let Some(attempt) = self.attempts.get(&number) else {
            return;
        };
        let call = attempt.call.clone();
        if !self.proxies[call.proxy].hedge_budget.spend() {
            return;
        }
        let second = self.send(call, Some(number));
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.hedge_pair = second;
        }
    }

    /// Cancels the remaining attempt of a hedged call.
    fn cancel(&mut self, number: u64) {
        let Some(attempt) = self.attempts.remove(&number) else {
            return;
        };
        let outcome = CallOutcome {
            result: CallResult::Cancelled,
            ..self.outcome(&attempt, Answer::Done)
        };
        let proxy = &mut self.proxies[attempt.call.proxy];
        proxy.chooser.finish(&attempt.choice, &outcome);
        self.release(attempt.choice.target, number, false);
    }

    fn network_latency(&self, proxy: usize, target: usize) -> Duration {
        let near = self.proxies[proxy].domain == self.targets[target].domain;
        if near { NEAR_LATENCY } else { FAR_LATENCY }
    }

    fn on_attempt_arrives(&mut self, number: u64) {
        let Some(attempt) = self.attempts.get(&number) else {
            return;
        };
        let index = attempt.choice.target;
        if !self.targets[index].present {
            self.schedule(LOST_AFTER, Event::AnswerArrives(number, Answer::Lost));
            return;
        }
        let request = AdmissionRequest {
            call: CallId(number),
            customer: self.customers[number as usize % self.customers.len()].clone(),
            class: CallClass::Read,
            deadline: attempt.call.arrived + TIMEOUT,
        };
        let answer = self.targets[index].gate.enter(&request);
        match answer.decision {
            AdmissionDecision::Start => self.start_run(number, Duration::ZERO),
            AdmissionDecision::Queued => {}
            AdmissionDecision::Refused(kind) => self.reply(number, Answer::Refused(kind)),
        }
        if let Some(displaced) = answer.displaced {
            self.reply(displaced.0, Answer::Refused(ErrorKind::QueueFull));
        }
    }

    fn start_run(&mut self, number: u64, waited: Duration) {
        let Some(attempt) = self.attempts.get_mut(&number) else {
            return;
        };
        attempt.waited = waited;
        let target = &mut self.targets[attempt.choice.target];
        target.running += 1;
        self.figures.slot_violations += u64::from(target.running > self.size.slots as usize);
        let cold = self.clock.now() < target.cold_until;
        let slowness = target.slowness * if cold { COLD_SLOWNESS } else { 1.0 };
        let draw = -(1.0 - self.random.random::<f64>()).ln();
        let time = if self.is_failed(number) {
            FAIL_TIME
        } else {
            SERVICE_TIME.mul_f64(slowness * draw)
        };
        self.schedule(time, Event::RunEnds(number));
    }

    fn on_run_ends(&mut self, number: u64) {
        let Some(attempt) = self.attempts.get(&number) else {
            return;
        };
        let index = attempt.choice.target;
        self.release(index, number, self.is_failed(number));
        let failed = self.is_failed(number);
        self.reply(number, if failed { Answer::Failed } else { Answer::Done });
    }

    /// Releases the slot of an attempt, or its place in the queue.
    fn release(&mut self, index: usize, number: u64, failed: bool) {
        let call = CallId(number);
        let target = &mut self.targets[index];
        let before = target.gate.load().in_flight;
        let started = target.gate.leave(FinishedCall { call, failed });
        // A running attempt frees a slot, which the started calls take; a waiting one frees none.
        let ran = target.gate.load().in_flight.0 + 1 == before.0 + started.len() as u32;
        target.running -= usize::from(ran);
        for next in started {
            self.start_run(next.call.0, next.waited);
        }
        for expired in self.targets[index].gate.expire() {
            self.reply(expired.0, Answer::Refused(ErrorKind::DeadlineExceeded));
        }
    }

    /// Returns whether the target fails this attempt.
    fn is_failed(&self, number: u64) -> bool {
        self.scenario.fault == Fault::FailsFast && self.attempts[&number].choice.target == 0
    }

    /// Sends the answer back to the proxy.
    fn reply(&mut self, number: u64, answer: Answer) {
        let Some(attempt) = self.attempts.get(&number) else {
            return;
        };
        let latency = self.network_latency(attempt.call.proxy, attempt.choice.target);
        self.schedule(latency, Event::AnswerArrives(number, answer));
    }

    fn on_answer_arrives(&mut self, number: u64, answer: Answer) {
        let Some(ended) = self.attempts.remove(&number) else {
            return;
        };
        let hedge_pair = ended
            .hedge_pair
            .filter(|hedge_pair| self.attempts.contains_key(hedge_pair));
        if answer == Answer::Done
            && let Some(hedge_pair) = hedge_pair
        {
            self.cancel(hedge_pair);
        }
        let outcome = self.outcome(&ended, answer);
        let proxy = &mut self.proxies[ended.call.proxy];
        proxy.chooser.finish(&ended.choice, &outcome);
        if answer != Answer::Done && hedge_pair.is_some() {
            return;
        }
        let cause = match answer {
            Answer::Done => return self.record(&ended.call, answer),
            Answer::Failed => FailureCause::Answered,
            Answer::Lost => FailureCause::Lost,
            Answer::Refused(kind) => FailureCause::Refused(kind),
        };
        let deadline = ended.call.arrived + TIMEOUT;
        let failure = AttemptFailure {
            cause,
            idempotent: true,
            replayable: true,
            attempts: ended.call.attempts,
            mark: ended.call.mark,
            remaining: deadline.saturating_duration_since(self.clock.now()),
        };
        match proxy.policy.decide(&failure) {
            RetryDecision::Retry(mark) => {
                let mut call = ended.call;
                call.mark = mark;
                self.send(call, None);
            }
            RetryDecision::Fail(_) | RetryDecision::PassThrough => self.record(&ended.call, answer),
        }
    }

    fn outcome(&self, attempt: &Attempt, answer: Answer) -> CallOutcome {
        let index = attempt.choice.target;
        let misreports = self.scenario.fault == Fault::MisreportedLoad && index == 0;
        let has_load = answer != Answer::Lost;
        let load = if misreports {
            TargetLoad::default()
        } else {
            self.targets[index].gate.load()
        };
        CallOutcome {
            latency: self.clock.now() - attempt.sent,
            waited: if misreports {
                Duration::ZERO
            } else {
                attempt.waited
            },
            result: match answer {
                Answer::Done => CallResult::Done,
                Answer::Failed => CallResult::Failed,
                Answer::Lost => CallResult::Lost,
                Answer::Refused(kind) => CallResult::NotRun(kind),
            },
            load: has_load.then_some(load),
        }
    }

    fn record(&mut self, call: &Call, answer: Answer) {
        if !self.is_measured(call.arrived) {
            return;
        }
        match answer {
            Answer::Done => {
                let latency = self.clock.now() - call.arrived;
                self.figures
                    .latency_us
                    .saturating_record(latency.as_micros() as u64);
            }
            Answer::Failed | Answer::Lost => self.figures.failed += 1,
            Answer::Refused(_) => self.figures.refused += 1,
        }
    }
}

pub fn domain(number: usize) -> model::DomainName {
    let name = format!("domain-{number}");
    name.parse().expect("a valid name")
}

pub fn gate_config(size: &Size) -> GateConfig {
    GateConfig {
        slots: CallCount(size.slots),
        connections: CallCount(130),
        queue: CallCount(size.slots),
    }
}
