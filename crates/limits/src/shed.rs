//! Shedding of calls by class under overload, fair among customers.
//!
//! Answers show whether a service is overloaded: its calls are refused for a
//! full queue, or wait for a slot. A level rises while they do and falls when
//! they do not; each class is shed from a level of its own, reports first,
//! bookings last. At the margin, calls of customers above their fair part of
//! the calls in flight are shed a class earlier, so that one who floods is
//! shed before the others.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::{CallClass, CustomerName, ErrorKind, ServiceName, SharedClock};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::refusal::LimitRefusal;

/// Results of shedding; the kind is `Overloaded`.
pub type Result<T> = std::result::Result<T, LimitRefusal>;

/// Window after which the level is judged anew.
const WINDOW: Duration = Duration::from_millis(100);

/// Least calls in a window to judge it.
const MIN_CALLS: u32 = 5;

/// Share of pressed calls in a window above which the level rises.
const PRESSED_SHARE: f32 = 0.05;

/// Wait for a slot that counts as pressure.
const PRESSED_WAIT: Duration = Duration::from_millis(10);

/// Rise of the level for a window in which all calls were pressed.
const LEVEL_RISE: f32 = 0.3;

/// Fall of the level for a window without pressure.
const LEVEL_FALL: f32 = 0.05;

/// Highest level: every class but the last half of bookings is shed.
const MAX_LEVEL: f32 = 3.5;

/// Wait that a refusal names, for each unit of the level.
const WAIT_FOR_LEVEL: Duration = Duration::from_millis(500);

/// Customers of one service whose calls in flight are counted.
const MAX_CUSTOMERS: usize = 1024;

/// Services under watch.
const MAX_SERVICES: usize = 256;

/// A call that was let through; ends with [`LoadShedder::finish`].
#[derive(Clone, Debug)]
pub struct ShedTicket {
    service: ServiceName,
    customer: CustomerName,
}

/// What a call showed about its service's load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadSign {
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
    services: HashMap<ServiceName, ServicePressure>,
}

/// Pressure on one service as this daemon sees it.
#[derive(Debug)]
struct ServicePressure {
    level: f32,
    window_start: Instant,
    calls: u32,
    pressed: u32,
    in_flight: HashMap<CustomerName, u32>,
    total: u32,
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
        if !self.services.contains_key(service) {
            self.add(service, now)?;
        }
        let chance = self.random.random::<f32>();
        if let Some(pressure) = self.services.get_mut(service) {
            pressure.judge(now);
            if pressure.sheds(class, customer, chance) {
                let wait = WAIT_FOR_LEVEL.mul_f32(pressure.level.max(1.0));
                return Err(LimitRefusal::new(ErrorKind::Overloaded, wait));
            }
            pressure.on_admitted(customer);
        }
        Ok(ShedTicket {
            service: service.clone(),
            customer: customer.clone(),
        })
    }

    fn add(&mut self, service: &ServiceName, now: Instant) -> Result<()> {
        if self.services.len() >= MAX_SERVICES {
            self.services.retain(|_, pressure| pressure.total > 0);
        }
        if self.services.len() >= MAX_SERVICES {
            return Err(LimitRefusal::new(ErrorKind::Overloaded, WAIT_FOR_LEVEL));
        }
        self.services
            .insert(service.clone(), ServicePressure::new(now));
        Ok(())
    }

    /// Learns from a call that was let through and ended.
    pub fn finish(&mut self, ticket: &ShedTicket, sign: LoadSign) {
        let now = self.clock.now();
        if let Some(pressure) = self.services.get_mut(&ticket.service) {
            pressure.on_ended(&ticket.customer, sign);
            pressure.judge(now);
        }
    }

    /// Level of shedding of `service`: 0 none, 1 all reports, 2 all reads, 3 all uploads.
    pub fn level(&self, service: &ServiceName) -> f32 {
        self.services
            .get(service)
            .map_or(0.0, |pressure| pressure.level)
    }
}

impl ServicePressure {
    fn new(now: Instant) -> Self {
        Self {
            level: 0.0,
            window_start: now,
            calls: 0,
            pressed: 0,
            in_flight: HashMap::new(),
            total: 0,
        }
    }

    /// Moves the level once the window is over.
    fn judge(&mut self, now: Instant) {
        let windows = windows_between(self.window_start, now);
        if windows == 0 {
            return;
        }
        if self.calls >= MIN_CALLS {
            let share = self.pressed as f32 / self.calls as f32;
            if share > PRESSED_SHARE {
                self.level = (self.level + share * LEVEL_RISE).min(MAX_LEVEL);
            } else {
                self.level = (self.level - LEVEL_FALL).max(0.0);
            }
        } else if self.pressed == 0 {
            self.level = (self.level - LEVEL_FALL * windows as f32).max(0.0);
        } else if windows < MAX_WINDOWS {
            return;
        }
        self.window_start = now;
        self.calls = 0;
        self.pressed = 0;
    }

    fn sheds(&self, class: CallClass, customer: &CustomerName, chance: f32) -> bool {
        let above = self.level - class.rank() as f32 + self.excess(customer);
        self.level > 0.0 && chance < above
    }

    /// How far the customer is above its fair part of the calls in flight, from -1 to 1.
    fn excess(&self, customer: &CustomerName) -> f32 {
        let own = self.in_flight.get(customer).copied().unwrap_or(0) as f32;
        let fair = self.total as f32 / self.in_flight.len().max(1) as f32;
        if own <= fair {
            return 0.0;
        }
        (1.0 - fair / own).min(1.0) * self.level.min(1.0)
    }

    fn on_admitted(&mut self, customer: &CustomerName) {
        self.total += 1;
        if let Some(count) = self.in_flight.get_mut(customer) {
            *count += 1;
        } else if self.in_flight.len() < MAX_CUSTOMERS {
            self.in_flight.insert(customer.clone(), 1);
        }
    }

    fn on_ended(&mut self, customer: &CustomerName, sign: LoadSign) {
        self.total = self.total.saturating_sub(1);
        if let Some(count) = self.in_flight.get_mut(customer) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(customer);
            }
        }
        let pressed = match sign {
            LoadSign::Ran(waited) => waited > PRESSED_WAIT,
            LoadSign::Refused => true,
            LoadSign::Unknown => return,
        };
        self.calls += 1;
        self.pressed += u32::from(pressed);
    }
}

/// Windows after which even few calls are judged.
const MAX_WINDOWS: u32 = 20;

fn windows_between(start: Instant, now: Instant) -> u32 {
    let age = now.saturating_duration_since(start);
    (age.as_millis() / WINDOW.as_millis()) as u32
}
