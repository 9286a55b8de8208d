//! The compared strategies for enforcing a limit.

use std::collections::HashMap;
use std::time::Instant;

use model::{ClockPort, CustomerName, DaemonId, FakeClock, ServiceName};
use quetzal_limits::{LimitGate, LimitTicket, PlanLimit};

/// Strategy for enforcing limits across the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitStrategy {
    /// Each proxy gets an equal part of the limit.
    Quota,
    /// Every call asks one central counter.
    Central,
    /// Each proxy gets a share according to its reported demand.
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

/// Simple rate and concurrency limiter of one customer.
#[derive(Clone, Debug)]
pub struct Counter {
    rate: f64,
    concurrency: u32,
    tokens: f64,
    in_flight: u32,
    refilled_at: Instant,
}

impl Counter {
    /// Creates a counter for the limit divided by `parts`.
    pub fn new(limit: PlanLimit, parts: usize, now: Instant) -> Self {
        let rate = limit.rate.0 / parts as f64;
        Self {
            rate,
            concurrency: (limit.concurrency.0 / parts as u32).max(1),
            tokens: 1.0_f64.max(rate / 2.0),
            in_flight: 0,
            refilled_at: now,
        }
    }

    pub fn admit(&mut self, now: Instant) -> bool {
        let gained = self.rate * (now - self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + gained).min(1.0_f64.max(self.rate / 2.0));
        self.refilled_at = now;
        if self.tokens < 1.0 || self.in_flight >= self.concurrency {
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

/// An admitted call under any strategy.
#[derive(Debug)]
pub enum Ticket {
    /// Index of the proxy that owns the counter, and of the customer.
    Counted(usize, usize),
    Shared(usize, LimitTicket),
}

/// Admission at every proxy.
pub struct Admission {
    pub strategy: LimitStrategy,
    pub gates: Vec<LimitGate>,
    clock: FakeClock,
    counters: HashMap<(usize, usize), Counter>,
    customers: Vec<CustomerName>,
    service: ServiceName,
    /// Number of messages caused by calls: two for each request to the central counter.
    pub call_messages: u64,
    /// Whether each proxy is cut off from the central counter.
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
        let name = |index| format!("customer-{index}").parse().expect("a valid name");
        Self {
            strategy,
            gates,
            clock: clock.clone(),
            counters: HashMap::new(),
            customers: (0..customers).map(name).collect(),
            service: "catalog".parse().expect("a valid name"),
            call_messages: 0,
            cut_off: vec![false; daemons],
        }
    }

    pub fn admit(&mut self, proxy: usize, customer: usize, limit: PlanLimit) -> Option<Ticket> {
        let now = self.clock.now();
        let (owner, parts) = match self.strategy {
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
        let new_counter = || Counter::new(limit, parts, now);
        let counter = self
            .counters
            .entry((owner, customer))
            .or_insert_with(new_counter);
        counter
            .admit(now)
            .then_some(Ticket::Counted(owner, customer))
    }

    pub fn release(&mut self, ticket: &Ticket) {
        match *ticket {
            Ticket::Shared(proxy, ticket) => self.gates[proxy].release(ticket),
            Ticket::Counted(owner, customer) => {
                if let Some(counter) = self.counters.get_mut(&(owner, customer)) {
                    counter.release();
                }
            }
        }
    }
}
