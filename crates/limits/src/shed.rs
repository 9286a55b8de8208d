//! Shedding of calls that the gate beside the target would refuse.
//!
//! Under overload the gates decide which calls run: the most important class
//! first, then customers round-robin. A proxy follows their decisions. For each
//! service, customer and class it counts calls and how many of them ran, and
//! sheds the calls beyond twice the number that ran. Reports are therefore shed
//! first and bookings last, and a customer that floods the service before the
//! others. The gates still get more calls than they can run, so that shedding
//! ends once they accept more. Calls that they would almost certainly refuse
//! are not sent to a target.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::{CallClass, CustomerName, ErrorKind, ServiceName, SharedClock};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::refusal::LimitRefusal;

/// Result of admission; the error kind is `Overloaded`.
pub type Result<T> = std::result::Result<T, LimitRefusal>;

/// Number of calls admitted for each call that runs.
const ADMITTED_PER_RUN: f32 = 2.0;

/// Maximum fraction of calls that is shed; the others detect the end of the overload.
const MAX_SHED_FRACTION: f32 = 0.9;

/// Time constant of the exponential decay of the counts.
const COUNT_DECAY_TIME: Duration = Duration::from_secs(2);

/// Count below which a customer may be removed to make room.
const EVICTION_COUNT: f32 = 0.1;

/// Minimum and maximum retry delay of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Maximum number of tracked customers per service; calls of others are not shed.
const MAX_CUSTOMERS: usize = 1024;

/// Maximum number of tracked services; calls of others are not shed.
const MAX_SERVICES: usize = 256;

/// An admitted call, to be ended with [`LoadShedder::finish`].
#[derive(Clone, Debug)]
pub struct ShedTicket {
    service: ServiceName,
    customer: CustomerName,
    class: CallClass,
}

/// What the outcome of a call says about the load of its service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadSignal {
    /// The call ran after waiting this long for a slot; the shedder ignores the wait.
    Ran(Duration),
    /// The call was refused because a queue was full.
    Refused,
    /// Nothing, for example because the caller cancelled.
    Unknown,
}

/// Sheds calls of overloaded services at one daemon.
#[derive(Debug)]
pub struct LoadShedder {
    clock: SharedClock,
    rng: SmallRng,
    services: HashMap<ServiceName, CustomerCounts>,
}

/// Counts of one service by customer.
type CustomerCounts = HashMap<CustomerName, ClassCounts>;

/// Counts of one customer by class.
type ClassCounts = [CallCounter; CallClass::ALL.len()];

/// Number of calls and of calls that ran, both decaying with time.
#[derive(Clone, Copy, Debug)]
struct CallCounter {
    arrived: f32,
    ran: f32,
    updated_at: Instant,
}

impl CallCounter {
    fn new(now: Instant) -> Self {
        Self {
            arrived: 0.0,
            ran: 0.0,
            updated_at: now,
        }
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.updated_at);
        let factor = (-age.as_secs_f32() / COUNT_DECAY_TIME.as_secs_f32()).exp();
        self.arrived *= factor;
        self.ran *= factor;
        self.updated_at = now;
    }

    /// Returns the fraction of calls to shed.
    fn shed_fraction(&self) -> f32 {
        let excess = self.arrived - self.ran * ADMITTED_PER_RUN;
        (excess / (self.arrived + 1.0)).clamp(0.0, MAX_SHED_FRACTION)
    }
}

impl LoadShedder {
    /// Creates a shedder without counts.
    pub fn new(clock: SharedClock, rng: SmallRng) -> Self {
        Self {
            clock,
            rng,
            services: HashMap::new(),
        }
    }

    /// Admits or sheds a call.
    pub fn admit(
        &mut self,
        service: &ServiceName,
        class: CallClass,
        customer: &CustomerName,
    ) -> Result<ShedTicket> {
        let now = self.clock.now();
        let chance = self.rng.random::<f32>();
        if let Some(counter) = self.find_counter(service, class, customer) {
            counter.decay(now);
            let fraction = counter.shed_fraction();
            if chance < fraction {
                counter.arrived += 1.0;
                let retry_after = MAX_RETRY_AFTER.mul_f32(fraction).max(MIN_RETRY_AFTER);
                return Err(LimitRefusal::new(ErrorKind::Overloaded, retry_after));
            }
        }
        Ok(ShedTicket {
            service: service.clone(),
            customer: customer.clone(),
            class,
        })
    }

    /// Records the outcome of an admitted call.
    pub fn finish(&mut self, ticket: &ShedTicket, signal: LoadSignal) {
        let ran = match signal {
            LoadSignal::Ran(_) => 1.0,
            LoadSignal::Refused => 0.0,
            LoadSignal::Unknown => return,
        };
        let now = self.clock.now();
        if let Some(counter) = self.counter_or_new(ticket, now) {
            counter.decay(now);
            counter.arrived += 1.0;
            counter.ran += ran;
        }
    }

    fn find_counter(
        &mut self,
        service: &ServiceName,
        class: CallClass,
        customer: &CustomerName,
    ) -> Option<&mut CallCounter> {
        let counts = self.services.get_mut(service)?.get_mut(customer)?;
        counts.get_mut(class.rank())
    }

    /// Returns the counter of a call, creating it if there is room.
    fn counter_or_new(&mut self, ticket: &ShedTicket, now: Instant) -> Option<&mut CallCounter> {
        if !self.services.contains_key(&ticket.service) {
            if self.services.len() >= MAX_SERVICES {
                return None;
            }
            self.services.insert(ticket.service.clone(), HashMap::new());
        }
        let counts = self.services.get_mut(&ticket.service)?;
        if !counts.contains_key(&ticket.customer) {
            if counts.len() >= MAX_CUSTOMERS {
                remove_decayed(counts, now);
            }
            if counts.len() >= MAX_CUSTOMERS {
                return None;
            }
            let new_counts = [CallCounter::new(now); CallClass::ALL.len()];
            counts.insert(ticket.customer.clone(), new_counts);
        }
        counts
            .get_mut(&ticket.customer)?
            .get_mut(ticket.class.rank())
    }

    /// Returns the shedding level of `service`: the shed fractions, summed over the classes.
    ///
    /// 0 means none, 0.9 nearly all reports, 1.8 nearly all reads as well, and so on.
    pub fn level(&self, service: &ServiceName) -> f32 {
        let now = self.clock.now();
        let Some(counts) = self.services.get(service) else {
            return 0.0;
        };
        let fraction = |class: CallClass| {
            let mut sum = CallCounter::new(now);
            for counters in counts.values() {
                let mut counter = counters[class.rank()];
                counter.decay(now);
                sum.arrived += counter.arrived;
                sum.ran += counter.ran;
            }
            sum.shed_fraction()
        };
        CallClass::ALL.into_iter().map(fraction).sum()
    }
}

/// Removes customers whose counts have decayed.
fn remove_decayed(counts: &mut CustomerCounts, now: Instant) {
    counts.retain(|_, counters| {
        counters.iter_mut().any(|counter| {
            counter.decay(now);
            counter.arrived > EVICTION_COUNT
        })
    });
}
