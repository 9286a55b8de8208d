//! The ways of holding a limit that are compared.

use std::collections::HashMap;
use std::time::Instant;

use model::{ClockPort, CustomerName, DaemonId, FakeClock, ServiceName};
use quetzal_limits::{LimitGate, LimitTicket, PlanLimit};

/// A way of holding limits over the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitStrategy {
    /// An equal part of the limit at each proxy.
    Quota,
    /// One counter that every call asks.
    Central,
    /// Shares by reported demand.
    Shares,
}

impl LimitStrategy {
    pub const ALL: [Self; 3] = [Self::Quota, Self::Central, Self::Shares];

    pub fn name(self) -> &'static str {
        match self {
            Self::Quota => "quota",
            Self::Central => "central",
            Self::Shares => "shares",
        }
    }
}

/// A plain counter of one customer: tokens and calls at once.
#[derive(Clone, Debug)]
pub struct Counter {
    rate: f64,
    calls: u32,
    tokens: f64,
    in_flight: u32,
    at: Instant,
}

impl Counter {
    /// A counter for one in `parts` of the limit.
    pub fn new(limit: PlanLimit, parts: usize, now: Instant) -> Self {
        let rate = limit.rate.0 / parts as f64;
        Self {
            rate,
            calls: (limit.concurrency.0 / parts as u32).max(1),
            tokens: 1.0_f64.max(rate / 2.0),
            in_flight: 0,
            at: now,
        }
    }

    pub fn admit(&mut self, now: Instant) -> bool {
        let gained = self.rate * (now - self.at).as_secs_f64();
        self.tokens = (self.tokens + gained).min(1.0_f64.max(self.rate / 2.0));
        self.at = now;
        if self.tokens < 1.0 || self.in_flight >= self.calls {
            return false;
        }
        self.tokens -= 1.0;
        self.in_flight += 1;
        true
    }

    pub fn release(&mut self) {
        self.in_flight -= 1;
    }
}

/// An admitted call of any way.
#[derive(Debug)]
pub enum Ticket {
    Counted(usize, usize),
    Shared(usize, LimitTicket),
}

/// What decides about calls at every proxy.
pub struct Admission {
    pub strategy: LimitStrategy,
    pub gates: Vec<LimitGate>,
    clock: FakeClock,
    counters: HashMap<(usize, usize), Counter>,
    customers: Vec<CustomerName>,
    service: ServiceName,
    /// Messages that calls cost, two for each that asks the central counter.
    pub call_messages: u64,
    /// Proxies that cannot reach the central counter.
    pub cut_off: Vec<bool>,
}

impl Admission {
    pub fn new(
        strategy: LimitStrategy,
        daemons: usize,
        customers: usize,
        clock: &FakeClock,
    ) -> Self {
        let ids: Vec<DaemonId> = (0..daemons as u64).map(DaemonId).collect();
        let mut gates: Vec<LimitGate> = Vec::new();
        if strategy == LimitStrategy::Shares {
            let gate = |&id| LimitGate::new(id, clock.shared());
            gates = ids.iter().map(gate).collect();
            for gate in &mut gates {
                gate.set_members(&ids);
            }
        }
        let name = |index| format!("customer-{index}").parse().expect("a sound name");
        Self {
            strategy,
            gates,
            clock: clock.clone(),
            counters: HashMap::new(),
            customers: (0..customers).map(name).collect(),
            service: "catalog".parse().expect("a sound name"),
            call_messages: 0,
            cut_off: vec![false; daemons],
        }
    }

    pub fn admit(&mut self, proxy: usize, customer: usize, limit: PlanLimit) -> Option<Ticket> {
        let now = self.clock.now();
        let (place, parts) = match self.strategy {
            LimitStrategy::Quota => (proxy, self.cut_off.len()),
            LimitStrategy::Central => {
                self.call_messages += 2;
                if self.cut_off[proxy] {
                    return None;
                }
                (0, 1)
            }
            LimitStrategy::Shares => {
                let name = &self.customers[customer];
                let ticket = self.gates[proxy].admit(name, &self.service, limit).ok()?;
                return Some(Ticket::Shared(proxy, ticket));
            }
        };
        let fresh = || Counter::new(limit, parts, now);
        let counter = self.counters.entry((place, customer)).or_insert_with(fresh);
        counter
            .admit(now)
            .then_some(Ticket::Counted(place, customer))
    }

    pub fn release(&mut self, ticket: &Ticket) {
        match *ticket {
            Ticket::Shared(proxy, ticket) => self.gates[proxy].release(ticket),
            Ticket::Counted(place, customer) => {
                if let Some(counter) = self.counters.get_mut(&(place, customer)) {
                    counter.release();
                }
            }
        }
    }
}
