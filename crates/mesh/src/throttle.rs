//! Refuses requests at the entry, for what no gate on the way can see.
//!
//! A request that calls other services occupies its target while it waits for
//! them, and each gate knows its own target only. The daemon at which requests
//! enter sees how they end, and which services their runs call. From that two
//! things follow for each route:
//!
//! - *Wasted runs.* If a called service is overloaded, the calls fail and the
//!   work of the request is lost: the more of them are let in, the fewer
//!   succeed. Where runs exceed `headroom` times those that ended well, the
//!   excess is refused at random. That settles where one part in `headroom` of
//!   those let in ends well.
//! - *Inversion.* Calls of running requests go before new requests at every
//!   gate, so a less urgent route could take a service away from a more urgent
//!   one through its calls. A route is refused at least as often as the more
//!   urgent ones with which it shares a service, less a small margin.
//!
//! Both are judged by the last seconds, for each daemon by itself.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::{ServiceName, SharedClock};
use smallvec::SmallVec;

use crate::config::{CallPriority, RouteKey, RouteRule};

/// Age at which an observation counts for half.
const HALF_LIFE: Duration = Duration::from_millis(1500);
/// Observations below which nothing is concluded.
const MIN_ASKED: f32 = 10.0;
/// Headroom by priority: 1.15 lets 13 of 100 runs end badly before requests are refused,
/// which is above what slow or failing targets cause on a day without overload.
const HEADROOM: [f32; 3] = [3.0, 1.6, 1.15];
/// Largest share of requests that is refused, so that recovery is noticed.
const MAX_REFUSED: f32 = 0.9;
/// How much less often than a more urgent route one may be refused.
const INVERSION_MARGIN: f32 = 0.03;
/// Services that are remembered for one route.
const MAX_SERVICES: usize = 8;

/// How a request that was let in ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryEnd {
    /// A gate refused it; it cost no target anything.
    Refused,
    /// It ran and was answered.
    Good,
    /// It ran, or may have, in vain.
    Wasted,
}

/// How requests of each route ended lately.
#[derive(Debug)]
pub struct EntryThrottle {
    clock: SharedClock,
    flows: HashMap<RouteKey, RouteFlow>,
}

#[derive(Clone, Debug)]
struct RouteFlow {
    priority: CallPriority,
    services: SmallVec<[ServiceName; 4]>,
    /// Refused here.
    throttled: f32,
    /// Refused by a gate.
    refused: f32,
    good: f32,
    wasted: f32,
    at: Instant,
}

impl EntryThrottle {
    /// A throttle without observations.
    pub fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            flows: HashMap::new(),
        }
    }

    /// Whether a request on `rule` may enter; `draw` is a random number from 0 to 1.
    ///
    /// One that may is to be told to [`EntryThrottle::finish`].
    pub fn admit(&mut self, rule: &RouteRule, draw: f32) -> bool {
        let now = self.clock.now();
        let flow = self.flow(rule, now);
        let waste = flow.waste_share();
        let services = flow.services.clone();
        let gate_share = flow.gate_share();
        let urgent = self.urgent_share(rule.priority, &services, now);
        // What the gates refuse anyway counts towards the share that is due.
        let due = (urgent - INVERSION_MARGIN - gate_share) / (1.0 - gate_share).max(0.01);
        let share = waste.max(due).clamp(0.0, MAX_REFUSED);
        let admitted = draw >= share;
        if !admitted {
            self.flow(rule, now).throttled += 1.0;
        }
        admitted
    }

    /// Counts how an admitted request ended; `called` are the services that its run called.
    pub fn finish(&mut self, rule: &RouteRule, end: EntryEnd, called: &[ServiceName]) {
        let now = self.clock.now();
        let flow = self.flow(rule, now);
        match end {
            EntryEnd::Refused => flow.refused += 1.0,
            EntryEnd::Good => flow.good += 1.0,
            EntryEnd::Wasted => flow.wasted += 1.0,
        }
        for service in called {
            if flow.services.len() < MAX_SERVICES && !flow.services.contains(service) {
                flow.services.push(service.clone());
            }
        }
    }

    /// Forgets routes without requests.
    pub fn on_tick(&mut self) {
        let now = self.clock.now();
        self.flows.retain(|_, flow| {
            flow.decay(now);
            flow.asked() >= 0.01
        });
    }

    /// Largest share refused among the routes that are more urgent and share a service.
    fn urgent_share(
        &mut self,
        priority: CallPriority,
        services: &[ServiceName],
        now: Instant,
    ) -> f32 {
        let mut largest = 0.0_f32;
        for flow in self.flows.values_mut() {
            let shares = flow
                .services
                .iter()
                .any(|service| services.contains(service));
            if flow.priority < priority && shares {
                flow.decay(now);
                largest = largest.max(flow.refused_share());
            }
        }
        largest
    }

    fn flow(&mut self, rule: &RouteRule, now: Instant) -> &mut RouteFlow {
        let flow = self.flows.entry(rule.key).or_insert_with(|| RouteFlow {
            priority: rule.priority,
            services: SmallVec::new(),
            throttled: 0.0,
            refused: 0.0,
            good: 0.0,
            wasted: 0.0,
            at: now,
        });
        flow.priority = rule.priority;
        for destination in &rule.destinations {
            if !flow.services.contains(&destination.service) {
                flow.services.push(destination.service.clone());
            }
        }
        flow.decay(now);
        flow
    }
}

impl RouteFlow {
    fn asked(&self) -> f32 {
        self.throttled + self.refused + self.good + self.wasted
    }

    /// Share of all requests that was refused, here or by a gate.
    fn refused_share(&self) -> f32 {
        if self.asked() < MIN_ASKED {
            return 0.0;
        }
        (self.throttled + self.refused) / self.asked()
    }

    /// Share of the requests let in that a gate refused.
    fn gate_share(&self) -> f32 {
        let entered = self.refused + self.good + self.wasted;
        if entered < MIN_ASKED {
            return 0.0;
        }
        self.refused / entered
    }

    /// Share of the requests to refuse so that most runs end well.
    fn waste_share(&self) -> f32 {
        let asked = self.throttled + self.good + self.wasted;
        if asked < MIN_ASKED {
            return 0.0;
        }
        let index = usize::from(self.priority.0).min(HEADROOM.len() - 1);
        (asked - HEADROOM[index] * self.good) / asked
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.at).as_secs_f32();
        let kept = (-age / HALF_LIFE.as_secs_f32()).exp2();
        self.throttled *= kept;
        self.refused *= kept;
        self.good *= kept;
        self.wasted *= kept;
        self.at = now;
    }
}
