//! Shedding of calls that the gate beside the target would refuse.
//!
//! Under overload the gates decide who runs: the most important class first,
//! then customers in turn. A proxy follows what they decide. For each service,
//! customer and class it counts calls and those that ran, and sheds the part
//! beyond twice the latter. So reports are shed first and
//! bookings last, one who floods before the others, hopeless calls cost no way
//! to a target, and the gates still see more than they can run, so that
//! nothing is shed once they take it again.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::{CallClass, CustomerName, ErrorKind, ServiceName, SharedClock};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::refusal::LimitRefusal;

/// Results of shedding; the kind is `Overloaded`.
pub type Result<T> = std::result::Result<T, LimitRefusal>;

/// Calls let through for each that runs.
const PASS_FACTOR: f32 = 2.0;

/// Most that is shed of any calls; the rest finds out when the overload is over.
const MAX_SHED_PART: f32 = 0.9;

/// Time constant of the counts.
const MEMORY: Duration = Duration::from_secs(2);

/// Count below which a customer is forgotten when room is needed.
const FORGOTTEN_CALLS: f32 = 0.1;

/// Shortest and longest wait that a refusal names.
const MIN_WAIT: Duration = Duration::from_millis(250);
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Customers of one service whose calls are counted; calls of others are let through.
const MAX_CUSTOMERS: usize = 1024;

/// Services under watch; calls of others are let through.
const MAX_SERVICES: usize = 256;

/// A call that was let through; ends with [`LoadShedder::finish`].
#[derive(Clone, Debug)]
pub struct ShedTicket {
    service: ServiceName,
    customer: CustomerName,
    class: CallClass,
}

/// What a call showed about its service's load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadSignal {
    /// Ran after this wait for a slot.
    Ran(Duration),
    /// Refused for a full queue.
    Refused,
    /// Says nothing, as when the caller left.
    Unknown,
}

/// Sheds calls of overloaded services at one daemon.
#[derive(Debug)]
pub struct LoadShedder {
    clock: SharedClock,
    random: SmallRng,
    services: HashMap<ServiceName, CustomerCounts>,
}

/// Calls of one service's customers.
type CustomerCounts = HashMap<CustomerName, ClassCounts>;

/// Calls of one customer by class.
type ClassCounts = [CallCounter; CallClass::ALL.len()];

/// Calls that came and calls that ran, both fading with time.
#[derive(Clone, Copy, Debug)]
struct CallCounter {
    came: f32,
    ran: f32,
    at: Instant,
}

impl CallCounter {
    fn new(now: Instant) -> Self {
        Self {
            came: 0.0,
            ran: 0.0,
            at: now,
        }
    }

    fn fade(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.at);
        let kept = (-age.as_secs_f32() / MEMORY.as_secs_f32()).exp();
        self.came *= kept;
        self.ran *= kept;
        self.at = now;
    }

    /// Part of the calls to shed.
    fn shed_part(&self) -> f32 {
        let beyond = self.came - self.ran * PASS_FACTOR;
        (beyond / (self.came + 1.0)).clamp(0.0, MAX_SHED_PART)
    }
}

impl LoadShedder {
    /// A shedder that has seen no calls.
    pub fn new(clock: SharedClock, random: SmallRng) -> Self {
        Self {
            clock,
            random,
            services: HashMap::new(),
        }
    }

    /// Lets a call through or sheds it.
    pub fn admit(
        &mut self,
        service: &ServiceName,
        class: CallClass,
        customer: &CustomerName,
    ) -> Result<ShedTicket> {
        let now = self.clock.now();
        let chance = self.random.random::<f32>();
        if let Some(counter) = self.known(service, class, customer) {
            counter.fade(now);
            let part = counter.shed_part();
            if chance < part {
                counter.came += 1.0;
                let wait = MAX_WAIT.mul_f32(part).max(MIN_WAIT);
                return Err(LimitRefusal::new(ErrorKind::Overloaded, wait));
            }
        }
        Ok(ShedTicket {
            service: service.clone(),
            customer: customer.clone(),
            class,
        })
    }

    /// Learns from a call that was let through and ended.
    pub fn finish(&mut self, ticket: &ShedTicket, sign: LoadSignal) {
        let ran = match sign {
            LoadSignal::Ran(_) => 1.0,
            LoadSignal::Refused => 0.0,
            LoadSignal::Unknown => return,
        };
        let now = self.clock.now();
        if let Some(counter) = self.counter(ticket, now) {
            counter.fade(now);
            counter.came += 1.0;
            counter.ran += ran;
        }
    }

    fn known(
        &mut self,
        service: &ServiceName,
        class: CallClass,
        customer: &CustomerName,
    ) -> Option<&mut CallCounter> {
        let counts = self.services.get_mut(service)?.get_mut(customer)?;
        counts.get_mut(class.rank())
    }

    /// The counter of a call, new if there is room for it.
    fn counter(&mut self, ticket: &ShedTicket, now: Instant) -> Option<&mut CallCounter> {
        if !self.services.contains_key(&ticket.service) {
            if self.services.len() >= MAX_SERVICES {
                return None;
            }
            self.services.insert(ticket.service.clone(), HashMap::new());
        }
        let counts = self.services.get_mut(&ticket.service)?;
        if !counts.contains_key(&ticket.customer) {
            if counts.len() >= MAX_CUSTOMERS {
                forget(counts, now);
            }
            if counts.len() >= MAX_CUSTOMERS {
                return None;
            }
            let fresh = [CallCounter::new(now); CallClass::ALL.len()];
            counts.insert(ticket.customer.clone(), fresh);
        }
        counts
            .get_mut(&ticket.customer)?
            .get_mut(ticket.class.rank())
    }

    /// Level of shedding of `service`: the parts shed of each class, summed over the classes.
    ///
    /// 0 none, 0.9 nearly all reports, 1.8 nearly all reads as well, and so on.
    pub fn level(&self, service: &ServiceName) -> f32 {
        let now = self.clock.now();
        let Some(counts) = self.services.get(service) else {
            return 0.0;
        };
        let part = |class: CallClass| {
            let mut sum = CallCounter::new(now);
            for counters in counts.values() {
                let mut counter = counters[class.rank()];
                counter.fade(now);
                sum.came += counter.came;
                sum.ran += counter.ran;
            }
            sum.shed_part()
        };
        CallClass::ALL.into_iter().map(part).sum()
    }
}

/// Forgets customers whose counts have faded.
fn forget(counts: &mut CustomerCounts, now: Instant) {
    counts.retain(|_, counters| {
        counters.iter_mut().any(|counter| {
            counter.fade(now);
            counter.came > FORGOTTEN_CALLS
        })
    });
}
