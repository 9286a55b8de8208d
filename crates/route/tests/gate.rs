//! Invariants of the admission gate under arbitrary sequences of events.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use model::{CallClass, CallCount, ClockPort, ErrorKind, FakeClock};
use quetzal_route::{
    AdmissionDecision, AdmissionGate, AdmissionRequest, CallId, FinishedCall, GateConfig,
};
use quickcheck::quickcheck;

const CONFIG: GateConfig = GateConfig {
    slots: CallCount(3),
    connections: CallCount(8),
    queue: CallCount(4),
};

fn request(call: u64, customer: u8, clock: &FakeClock, timeout_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        call: CallId(call),
        customer: format!("customer-{customer}").parse().unwrap(),
        class: CallClass::ALL[call as usize % 4],
        deadline: clock.now() + Duration::from_millis(timeout_ms),
    }
}

/// A gate together with an independent record of the state of every call.
struct RecordedGate {
    clock: FakeClock,
    gate: AdmissionGate,
    running: HashSet<CallId>,
    waiting: HashSet<CallId>,
    refused: u64,
    ended: u64,
    next: u64,
    /// Set by the test, so that the gate's own flag is not relied on.
    drained: bool,
    /// Whether all results of the gate so far match the record.
    consistent: bool,
}

impl RecordedGate {
    fn new() -> Self {
        let clock = FakeClock::new();
        Self {
            gate: AdmissionGate::new(CONFIG, clock.shared()),
            clock,
            running: HashSet::new(),
            waiting: HashSet::new(),
            refused: 0,
            ended: 0,
            next: 0,
            drained: false,
            consistent: true,
        }
    }

    fn enter(&mut self, customer: u8, timeout_ms: u64) {
        let request = request(self.next, customer, &self.clock, timeout_ms);
        self.next += 1;
        let answer = self.gate.enter(&request);
        match answer.decision {
            AdmissionDecision::Start => self.consistent &= self.running.insert(request.call),
            AdmissionDecision::Queued => self.consistent &= self.waiting.insert(request.call),
            AdmissionDecision::Refused(kind) => {
                self.consistent &= kind.properties().not_run;
                self.refused += 1;
            }
        }
        self.consistent &=
            !self.drained || matches!(answer.decision, AdmissionDecision::Refused(_));
        self.refuse(answer.displaced);
    }

    fn refuse(&mut self, calls: impl IntoIterator<Item = CallId>) {
        for call in calls {
            self.consistent &= self.waiting.remove(&call);
            self.refused += 1;
        }
    }

    /// Ends the running or waiting call that `choice` selects, if there is any.
    fn leave(&mut self, choice: usize, waiting: bool) {
        let calls_in_state = if waiting {
            &self.waiting
        } else {
            &self.running
        };
        let mut calls: Vec<CallId> = calls_in_state.iter().copied().collect();
        calls.sort_unstable();
        let Some(&call) = calls.get(choice % calls.len().max(1)) else {
            return;
        };
        self.running.remove(&call);
        self.waiting.remove(&call);
        self.ended += 1;
        for started in self.gate.leave(FinishedCall {
            call,
            failed: choice.is_multiple_of(2),
        }) {
            self.consistent &= self.waiting.remove(&started.call);
            self.consistent &= self.running.insert(started.call);
        }
    }

    fn drain(&mut self) {
        let refused = self.gate.drain();
        self.drained = true;
        self.refuse(refused);
    }

    fn step(&mut self, action: u16) {
        let value = usize::from(action >> 4);
        match action % 16 {
            0..=6 => self.enter((value % 3) as u8, 1 + value as u64 % 200),
            7..=10 => self.leave(value, false),
            11 => self.leave(value, true),
            12 => {
                let expired = self.gate.expire();
                self.refuse(expired);
            }
            13 if value.is_multiple_of(16) => {
                self.drain();
            }
            _ => self.clock.advance(Duration::from_millis(value as u64 % 50)),
        }
        let load = self.gate.load();
        self.consistent &= load.in_flight.0 <= CONFIG.slots.0;
        self.consistent &= load.queued.0 <= CONFIG.queue.0;
        self.consistent &= load.in_flight.0 as usize == self.running.len();
    }
}

quickcheck! {
    fn slots_are_never_exceeded_and_every_call_ends_once(actions: Vec<u16>) -> bool {
        let mut recorded = RecordedGate::new();
        for action in actions {
            recorded.step(action);
        }
        let expired = recorded.gate.expire();
        recorded.refuse(expired);
        let remaining = recorded.running.len() + recorded.waiting.len();
        recorded.consistent && recorded.next == recorded.ended + recorded.refused + remaining as u64
    }

    fn drained_gate_becomes_idle(actions: Vec<u16>) -> bool {
        let mut recorded = RecordedGate::new();
        for action in actions {
            recorded.step(action);
        }
        recorded.drain();
        while !recorded.running.is_empty() {
            recorded.leave(0, false);
        }
        recorded.enter(0, 100);
        let expired = recorded.gate.expire();
        recorded.refuse(expired);
        recorded.consistent && recorded.gate.is_idle() && recorded.waiting.is_empty()
    }

    fn resizing_never_exceeds_the_new_slots(slots: u8) -> bool {
        let mut recorded = RecordedGate::new();
        for _ in 0..7 {
            recorded.enter(0, 100);
        }
        let slots = u32::from(slots % 8);
        let config = GateConfig { slots: CallCount(slots), ..CONFIG };
        let started = recorded.gate.resize(config).len() as u32;
        started == slots.saturating_sub(CONFIG.slots.0).min(CONFIG.queue.0)
    }
}

/// Runs one customer that floods the gate beside two that send one call per round.
///
/// Returns the number of finished calls by customer.
fn flood(rounds: u64) -> BTreeMap<String, u64> {
    let clock = FakeClock::new();
    let mut gate = AdmissionGate::new(CONFIG, clock.shared());
    let mut running: Vec<AdmissionRequest> = Vec::new();
    let mut waiting: BTreeMap<CallId, AdmissionRequest> = BTreeMap::new();
    let mut done = BTreeMap::new();
    let mut next = 0;
    for _ in 0..rounds {
        for customer in [0, 0, 0, 0, 0, 0, 1, 2] {
            let mut call = request(next, customer, &clock, 10_000);
            call.class = CallClass::Read;
            next += 1;
            let answer = gate.enter(&call);
            match answer.decision {
                AdmissionDecision::Start => running.push(call),
                AdmissionDecision::Queued => {
                    waiting.insert(call.call, call);
                }
                AdmissionDecision::Refused(_) => {}
            }
            if let Some(displaced) = answer.displaced {
                waiting.remove(&displaced);
            }
        }
        clock.advance(Duration::from_millis(20));
        for call in std::mem::take(&mut running) {
            *done.entry(call.customer.to_string()).or_default() += 1;
            let finished = FinishedCall {
                call: call.call,
                failed: false,
            };
            let started = gate.leave(finished);
            running.extend(
                started
                    .iter()
                    .filter_map(|next_started| waiting.remove(&next_started.call)),
            );
        }
    }
    done
}

#[test]
fn flooding_customer_leaves_the_others_their_fair_share() {
    let done = flood(100);
    // Three slots and three customers: each may use a third, and two of them need no more.
    assert!(done["customer-1"] >= 90, "{done:?}");
    assert!(done["customer-2"] >= 90, "{done:?}");
}

#[test]
fn booking_displaces_a_report() {
    let clock = FakeClock::new();
    let mut gate = AdmissionGate::new(CONFIG, clock.shared());
    let mut call = request(0, 0, &clock, 1000);
    call.class = CallClass::Report;
    for number in 0..7 {
        call.call = CallId(number);
        gate.enter(&call);
    }
    call.call = CallId(7);
    call.class = CallClass::Booking;
    let answer = gate.enter(&call);
    assert_eq!(answer.decision, AdmissionDecision::Queued);
    assert_eq!(answer.displaced, Some(CallId(6)));
    let finished = FinishedCall {
        call: CallId(0),
        failed: false,
    };
    assert_eq!(gate.leave(finished)[0].call, CallId(7));
}

#[test]
fn call_that_cannot_meet_its_deadline_is_refused_immediately() {
    let clock = FakeClock::new();
    let mut gate = AdmissionGate::new(CONFIG, clock.shared());
    for number in 0..50 {
        gate.enter(&request(number, 0, &clock, 1000));
        clock.advance(Duration::from_millis(100));
        gate.leave(FinishedCall {
            call: CallId(number),
            failed: false,
        });
    }
    for number in 50..53 {
        let answer = gate.enter(&request(number, 0, &clock, 1000));
        assert_eq!(answer.decision, AdmissionDecision::Start);
    }
    let answer = gate.enter(&request(53, 0, &clock, 60));
    assert_eq!(
        answer.decision,
        AdmissionDecision::Refused(ErrorKind::QueueFull)
    );
    let answer = gate.enter(&request(54, 0, &clock, 0));
    assert_eq!(
        answer.decision,
        AdmissionDecision::Refused(ErrorKind::DeadlineExceeded)
    );
}
