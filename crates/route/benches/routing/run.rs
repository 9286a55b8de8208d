//! One run: proxies, a queue for each target, and events in the order of time.

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

/// One way within a failure domain, and between two.
const NEAR: Duration = Duration::from_micros(200);
const FAR: Duration = Duration::from_micros(1500);

/// Time a call may take in all.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a cold target is slow, and how much.
pub const COLD_TIME: Duration = Duration::from_secs(4);
const COLD_SLOWNESS: f64 = 5.0;

/// Time in which a failing target fails a call.
const FAIL_TIME: Duration = Duration::from_millis(1);

/// Time after which a hedged call is sent a second time, about the 95th percentile.
const HEDGE_AFTER: Duration = Duration::from_millis(60);

/// Budget of second attempts.
const HEDGE_BUDGET: BudgetConfig = BudgetConfig {
    ratio: 0.08,
    reserve: 10.0,
};

/// What a run showed.
pub struct Figures {
    pub latency_us: Histogram<u64>,
    pub calls: u64,
    pub refused: u64,
    pub failed: u64,
    pub attempts: u64,
    pub overfull: u64,
}

impl Figures {
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
    hedges: RetryBudget,
    domain: usize,
}

#[derive(Clone)]
pub struct Call {
    proxy: usize,
    came: Instant,
    attempts: u8,
    mark: RetryMark,
    tried: SmallVec<[DaemonId; 3]>,
}

pub struct Attempt {
    call: Call,
    pub choice: Choice,
    sent: Instant,
    waited: Duration,
    twin: Option<u64>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Event {
    Come,
    Reach(u64),
    End(u64),
    Answer(u64, Answer),
    Change(usize),
    Hedge(u64),
    Learn,
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
    pub start: Instant,
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
        let start = clock.now();
        // Every target has been up for a while.
        clock.advance(Duration::from_secs(60));
        let target = |index| Target {
            gate: AdmissionGate::new(gate_config(&size), clock.shared()),
            slowness: scenario.slowness(index, &size),
            domain: index % size.domains,
            present: true,
            cold_until: start,
            running: 0,
        };
        let proxy = |index| Proxy {
            chooser: Chooser::new(strategy, domain(index % size.domains), &clock, index as u64),
            policy: RetryPolicy::new(),
            hedges: RetryBudget::new(HEDGE_BUDGET),
            domain: index % size.domains,
        };
        let names = ["agency-1", "agency-2", "agency-3"];
        let mut run = Self {
            targets: (0..size.targets).map(target).collect(),
            proxies: (0..size.proxies).map(proxy).collect(),
            size,
            scenario,
            start,
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
                overfull: 0,
            },
            clock,
            domain_lost: false,
            strategy,
        };
        run.learn();
        run
    }

    /// Runs to the end.
    pub fn run(mut self) -> Figures {
        let begin = self.clock.now();
        let end = begin + WARM_UP + MEASURED;
        self.schedule(Duration::ZERO, Event::Come);
        self.schedule(WARM_UP, Event::Change(0));
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
        // The fake clock counts whole microseconds.
        let after = Duration::from_micros(after.as_micros() as u64);
        self.sequence += 1;
        let at = self.clock.now() + after;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Come => self.come(),
            Event::Reach(attempt) => self.reach(attempt),
            Event::End(attempt) => self.end(attempt),
            Event::Answer(attempt, answer) => self.answer(attempt, answer),
            Event::Change(number) => self.change(number),
            Event::Hedge(attempt) => self.hedge(attempt),
            Event::Learn => self.learn(),
        }
    }

    fn is_measured(&self, came: Instant) -> bool {
        came >= self.start + Duration::from_secs(60) + WARM_UP
    }

    fn come(&mut self) {
        let rate = self.scenario.call_rate(&self.size);
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
        self.schedule(Duration::from_secs_f64(gap), Event::Come);
        let call = Call {
            proxy: self.random_proxy(),
            came: self.clock.now(),
            attempts: 0,
            mark: RetryMark::First,
            tried: SmallVec::new(),
        };
        if self.is_measured(call.came) {
            self.figures.calls += 1;
        }
        self.proxies[call.proxy].policy.on_first_attempt(call.mark);
        self.proxies[call.proxy].hedges.earn();
        self.send(call, None);
    }

    /// A proxy that is present; those of a lost failure domain are not.
    fn random_proxy(&mut self) -> usize {
        loop {
            let proxy = self.random.random_range(0..self.proxies.len());
            if !self.domain_lost || self.proxies[proxy].domain != 0 {
                return proxy;
            }
        }
    }

    fn send(&mut self, mut call: Call, twin: Option<u64>) -> Option<u64> {
        let proxy = &mut self.proxies[call.proxy];
        let Some(choice) = proxy.chooser.pick(&call.tried) else {
            if twin.is_none() {
                self.count_end(&call, Answer::Refused(ErrorKind::TargetAbsent));
            }
            return None;
        };
        call.attempts += 1;
        call.tried.push(DaemonId(choice.target as u64));
        if self.is_measured(call.came) {
            self.figures.attempts += 1;
        }
        let distance = self.distance(call.proxy, choice.target);
        let number = self.next_attempt;
        self.next_attempt += 1;
        let attempt = Attempt {
            call,
            choice,
            sent: self.clock.now(),
            waited: Duration::ZERO,
            twin,
        };
        self.attempts.insert(number, attempt);
        self.schedule(distance, Event::Reach(number));
        if self.strategy == PickStrategy::Hedged && twin.is_none() {
            self.schedule(HEDGE_AFTER, Event::Hedge(number));
        }
        Some(number)
    }

    /// Sends a call a second time if its first attempt is still running.
    fn hedge(&mut self, number: u64) {
        let Some(attempt) = self.attempts.get(&number) else {
            return;
        };
        let call = attempt.call.clone();
        if !self.proxies[call.proxy].hedges.spend() {
            return;
        }
        let second = self.send(call, Some(number));
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.twin = second;
        }
    }

    /// Cancels the other attempt of a hedged call.
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
        self.free(attempt.choice.target, number, false);
    }

    fn distance(&self, proxy: usize, target: usize) -> Duration {
        let near = self.proxies[proxy].domain == self.targets[target].domain;
        if near { NEAR } else { FAR }
    }

    fn reach(&mut self, number: u64) {
        let Some(attempt) = self.attempts.get(&number) else {
            return;
        };
        let index = attempt.choice.target;
        if !self.targets[index].present {
            self.schedule(LOST_AFTER, Event::Answer(number, Answer::Lost));
            return;
        }
        let ticket = AdmissionRequest {
            call: CallId(number),
            customer: self.customers[number as usize % self.customers.len()].clone(),
            class: CallClass::Read,
            deadline: attempt.call.came + TIMEOUT,
        };
        let answer = self.targets[index].gate.enter(&ticket);
        match answer.decision {
            AdmissionDecision::Start => self.begin(number, Duration::ZERO),
            AdmissionDecision::Queued => {}
            AdmissionDecision::Refused(kind) => self.reply(number, Answer::Refused(kind)),
        }
        if let Some(displaced) = answer.displaced {
            self.reply(displaced.0, Answer::Refused(ErrorKind::QueueFull));
        }
    }

    fn begin(&mut self, number: u64, waited: Duration) {
        let Some(attempt) = self.attempts.get_mut(&number) else {
            return;
        };
        attempt.waited = waited;
        let target = &mut self.targets[attempt.choice.target];
        target.running += 1;
        self.figures.overfull += u64::from(target.running > self.size.slots as usize);
        let cold = self.clock.now() < target.cold_until;
        let slowness = target.slowness * if cold { COLD_SLOWNESS } else { 1.0 };
        let drawn = -(1.0 - self.random.random::<f64>()).ln();
        let time = if self.fails(number) {
            FAIL_TIME
        } else {
            SERVICE_TIME.mul_f64(slowness * drawn)
        };
        self.schedule(time, Event::End(number));
    }

    fn end(&mut self, number: u64) {
        let Some(attempt) = self.attempts.get(&number) else {
            return;
        };
        let index = attempt.choice.target;
        self.free(index, number, self.fails(number));
        let failed = self.fails(number);
        self.reply(number, if failed { Answer::Failed } else { Answer::Done });
    }

    /// Gives the attempt's slot, or its place in the queue, back.
    fn free(&mut self, index: usize, number: u64, failed: bool) {
        let call = CallId(number);
        let target = &mut self.targets[index];
        let before = target.gate.load().in_flight;
        let started = target.gate.leave(FinishedCall { call, failed });
        let ran = target.gate.load().in_flight.0 + 1 == before.0 + started.len() as u32;
        target.running -= usize::from(ran);
        for next in started {
            self.begin(next.call.0, next.waited);
        }
        for expired in self.targets[index].gate.expire() {
            self.reply(expired.0, Answer::Refused(ErrorKind::DeadlineExceeded));
        }
    }

    /// Whether the target of this attempt fails it.
    fn fails(&self, number: u64) -> bool {
        self.scenario.fault == Fault::FailsFast && self.attempts[&number].choice.target == 0
    }

    /// Sends the answer on its way back.
    fn reply(&mut self, number: u64, answer: Answer) {
        let Some(attempt) = self.attempts.get(&number) else {
            return;
        };
        let distance = self.distance(attempt.call.proxy, attempt.choice.target);
        self.schedule(distance, Event::Answer(number, answer));
    }

    fn answer(&mut self, number: u64, answer: Answer) {
        let Some(attempt) = self.attempts.remove(&number) else {
            return;
        };
        let twin = attempt.twin.filter(|twin| self.attempts.contains_key(twin));
        if answer == Answer::Done
            && let Some(twin) = twin
        {
            self.cancel(twin);
        }
        let outcome = self.outcome(&attempt, answer);
        let proxy = &mut self.proxies[attempt.call.proxy];
        proxy.chooser.finish(&attempt.choice, &outcome);
        if answer != Answer::Done && twin.is_some() {
            return;
        }
        let cause = match answer {
            Answer::Done => return self.count_end(&attempt.call, answer),
            Answer::Failed => FailureCause::Answered,
            Answer::Lost => FailureCause::Lost,
            Answer::Refused(kind) => FailureCause::Refused(kind),
        };
        let deadline = attempt.call.came + TIMEOUT;
        let failure = AttemptFailure {
            cause,
            idempotent: true,
            replayable: true,
            attempts: attempt.call.attempts,
            mark: attempt.call.mark,
            remaining: deadline.saturating_duration_since(self.clock.now()),
        };
        match proxy.policy.decide(&failure) {
            RetryDecision::Retry(mark) => {
                let mut call = attempt.call;
                call.mark = mark;
                self.send(call, None);
            }
            RetryDecision::Fail(_) | RetryDecision::PassThrough => {
                self.count_end(&attempt.call, answer)
            }
        }
    }

    fn outcome(&self, attempt: &Attempt, answer: Answer) -> CallOutcome {
        let index = attempt.choice.target;
        let lies = self.scenario.fault == Fault::LyingLoad && index == 0;
        let counted = answer != Answer::Lost;
        let load = if lies {
            TargetLoad::default()
        } else {
            self.targets[index].gate.load()
        };
        CallOutcome {
            latency: self.clock.now() - attempt.sent,
            waited: if lies { Duration::ZERO } else { attempt.waited },
            result: match answer {
                Answer::Done => CallResult::Done,
                Answer::Failed => CallResult::Failed,
                Answer::Lost => CallResult::Lost,
                Answer::Refused(kind) => CallResult::NotRun(kind),
            },
            load: counted.then_some(load),
        }
    }

    fn count_end(&mut self, call: &Call, answer: Answer) {
        if !self.is_measured(call.came) {
            return;
        }
        match answer {
            Answer::Done => {
                let latency = self.clock.now() - call.came;
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
    name.parse().expect("a sound name")
}

pub fn gate_config(size: &Size) -> GateConfig {
    GateConfig {
        slots: CallCount(size.slots),
        connections: CallCount(130),
        queue: CallCount(size.slots),
    }
}
