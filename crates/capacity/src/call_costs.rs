//! CPU time and heap memory of the steps of a call.

use std::hint::black_box;
use std::time::Duration;

use model::{
    CallClass, CallCount, CallRate, ClockPort, CustomerName, DaemonId, DomainName, FakeClock,
    ServiceName,
};
use quetzal_limits::{LimitGate, PlanLimit};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::{
    AdmissionGate, AdmissionRequest, CallId, CallOutcome, CallResult, FinishedCall, GateConfig,
    PickerConfig, TargetPicker, TargetState, TargetView,
};

use crate::costs::{CALLS, HeapGauge, format_kilobytes, mean_time, memory_of};

/// Number of services over which the targets are distributed.
const SERVICES: usize = 35;

fn service(index: usize) -> ServiceName {
    let name = format!("service-{:02}", index % SERVICES);
    name.parse().expect("a valid name")
}

fn domain(index: usize) -> DomainName {
    let name = format!("domain-{}", index % 5);
    name.parse().expect("a valid name")
}

/// Creates a picker for this many targets over all services.
fn build_picker(targets: usize, clock: &FakeClock) -> TargetPicker {
    let config = PickerConfig {
        domain: domain(0),
        region: smallvec::smallvec![domain(0), domain(1), domain(2)],
        slow_start: route::SlowStart::default(),
        locality: route::LocalityPreference::default(),
    };
    let mut picker = TargetPicker::new(config, clock.shared(), SmallRng::seed_from_u64(65));
    let view = |index: usize| TargetView {
        target: format!("target-{index}").parse().expect("a valid name"),
        daemon: DaemonId(index as u64 + 1),
        domain: domain(index),
        slots: CallCount(10),
        connections: CallCount(130),
        version: None,
        state: TargetState::Ready,
        load: None,
        mean_run_time: None,
        since: clock.now(),
    };
    for number in 0..SERVICES {
        let service_targets = (0..targets).filter(|index| index % SERVICES == number);
        let views: Vec<TargetView> = service_targets.map(view).collect();
        picker.set_targets(&service(number), &views);
    }
    picker
}

pub fn picker_memory(targets: usize, heap: HeapGauge) -> String {
    let clock = FakeClock::new();
    memory_of(heap, || build_picker(targets, &clock))
}

pub fn pick_time(targets: usize, _: HeapGauge) -> String {
    let clock = FakeClock::new();
    let mut picker = build_picker(targets, &clock);
    let services: Vec<ServiceName> = (0..SERVICES).map(service).collect();
    mean_time(CALLS, |call| {
        clock.advance(Duration::from_micros(100));
        let service = &services[call as usize % SERVICES];
        let ticket = picker.pick(service, &[]).expect("a target is ready");
        let outcome = CallOutcome {
            latency: Duration::from_millis(12),
            waited: Duration::ZERO,
            result: CallResult::Done,
            load: None,
        };
        picker.finish(&ticket, &outcome);
    })
}

/// A limit gate with the customers that use it.
struct LimitWorkload {
    clock: FakeClock,
    gate: LimitGate,
    customers: Vec<CustomerName>,
    service: ServiceName,
}

impl LimitWorkload {
    fn new(customer_count: usize) -> Self {
        let clock = FakeClock::new();
        let mut gate = LimitGate::new(DaemonId(1), clock.shared());
        gate.set_members(&[DaemonId(1), DaemonId(2)]);
        let customer = |index: usize| -> CustomerName {
            format!("customer-{index}").parse().expect("a valid name")
        };
        Self {
            clock,
            gate,
            customers: (0..customer_count).map(customer).collect(),
            service: service(0),
        }
    }

    fn call(&mut self, call: u32) {
        self.clock.advance(Duration::from_micros(10));
        let limit = PlanLimit {
            rate: CallRate(1e6),
            concurrency: CallCount(1000),
        };
        let customer = &self.customers[call as usize % self.customers.len()];
        if let Ok(ticket) = self.gate.admit(customer, &self.service, limit) {
            self.gate.release(ticket);
        }
    }
}

pub fn limit_time(customers: usize, _: HeapGauge) -> String {
    let mut workload = LimitWorkload::new(customers);
    mean_time(CALLS, |call| workload.call(call))
}

pub fn limit_memory(customers: usize, heap: HeapGauge) -> String {
    let mut workload = LimitWorkload::new(customers);
    let before = heap();
    for call in 0..customers as u32 {
        workload.call(call);
    }
    format_kilobytes(heap().saturating_sub(before))
}

fn build_gate(slots: usize, clock: &FakeClock) -> AdmissionGate {
    let slots = CallCount(slots as u32);
    let config = GateConfig {
        slots,
        connections: CallCount(130),
        queue: slots,
    };
    AdmissionGate::new(config, clock.shared())
}

fn build_request(number: u64, clock: &FakeClock) -> AdmissionRequest {
    AdmissionRequest {
        call: CallId(number),
        customer: "agency".parse().expect("a valid name"),
        class: CallClass::Read,
        deadline: clock.now() + Duration::from_secs(1),
    }
}

pub fn gate_time(slots: usize, _: HeapGauge) -> String {
    let clock = FakeClock::new();
    let mut gate = build_gate(slots, &clock);
    mean_time(CALLS, |number| {
        let request = build_request(u64::from(number), &clock);
        let answer = gate.enter(&request);
        clock.advance(Duration::from_millis(1));
        let ended = gate.leave(FinishedCall {
            call: request.call,
            failed: false,
        });
        (answer, ended)
    })
}

pub fn gate_memory(slots: usize, heap: HeapGauge) -> String {
    let clock = FakeClock::new();
    let before = heap();
    let mut gate = build_gate(slots, &clock);
    for number in 0..2 * slots as u64 {
        black_box(gate.enter(&build_request(number, &clock)));
    }
    format_kilobytes(heap().saturating_sub(before))
}
