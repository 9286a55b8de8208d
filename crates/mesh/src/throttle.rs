//! Sheds requests at the entry, for overloads that no single gate can detect.
//!
//! A request that calls other services occupies its target while it waits for
//! them, but each gate knows only its own target. The daemon at which requests
//! enter sees how they end and which services their runs call. It refuses part
//! of a route's requests in two situations:
//!
//! - *Starved runs.* If a called service is overloaded, nested calls are refused
//!   and the work of the request is lost: the more requests are admitted, the
//!   fewer succeed. If more than a small share of the runs starve, the admitted
//!   fraction of the route's requests is reduced until most of them succeed.
//!   Then the fraction grows again, doubling in half a second.
//! - *Priority inversion.* Nested calls go before new requests at every gate, so
//!   a less urgent route could crowd a more urgent one out of a service through
//!   its nested calls. A route is therefore refused at least as often as more
//!   urgent routes are refused at a service that both use, less a small margin.
//!   Refusals at services that the route does not use have no effect on it.
//!
//! Each daemon decides on its own, from the last one or two seconds. Runs that
//! fail for other reasons have no effect, since the same share of fewer runs
//! would fail.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::{ServiceName, SharedClock};
use smallvec::SmallVec;

use crate::config::{CallPriority, RouteKey, RouteRule};
use crate::lineage::NestedCallOutcome;

/// Half-life of observations.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Half-life of the outcomes of runs, which must soon show the effect of a change.
const RUN_HALF_LIFE: Duration = Duration::from_millis(400);
/// Minimum number of observations to draw a conclusion from.
const MIN_OBSERVATIONS: f32 = 8.0;
/// Accepted share of starved runs; a lower one would leave the called service idle at times.
const MAX_STARVED_SHARE: f32 = 0.2;
/// Time between two adjustments of the admitted fraction, about the time of one run.
const ADJUST_INTERVAL: Duration = Duration::from_millis(100);
/// Relative decrease of the admitted fraction per adjustment and unit of excess starved share.
const DECREASE_FACTOR: f32 = 0.3;
/// Growth factor of the admitted fraction per adjustment; it doubles in half a second.
const GROWTH_FACTOR: f32 = 1.15;
/// Minimum admitted fraction, so that a recovery is noticed.
const MIN_FRACTION: f32 = 0.05;
/// Margin by which a route may be refused less often than a more urgent one.
const INVERSION_MARGIN: f32 = 0.03;
/// Maximum share of requests refused to prevent priority inversion.
const MAX_REFUSED: f32 = 0.9;
/// Maximum number of services remembered per route, for called services and for services
/// without capacity alike.
const MAX_SERVICES: usize = 8;

/// Outcome of a request that was admitted at the entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryOutcome {
    /// Refused by a gate for lack of capacity, at no cost to any target.
    Refused,
    /// Refused regardless of load: by the targets themselves, for the request's own deadline, or
    /// because the request crashes targets.
    Shed,
    /// Ran, successfully or not.
    Ran,
    /// Ran and failed because a nested call was refused for lack of capacity.
    Starved,
}

impl EntryOutcome {
    /// Returns the outcome of a request that did not run; `shed` if it was refused regardless of
    /// load.
    pub fn from_refusal(shed: bool) -> Self {
        if shed { Self::Shed } else { Self::Refused }
    }

    /// Returns whether the request did not run.
    pub fn is_refusal(self) -> bool {
        matches!(self, Self::Refused | Self::Shed)
    }

    /// Returns the outcome as recorded for the run that made the request.
    pub fn as_nested_call(self) -> NestedCallOutcome {
        match self {
            Self::Refused => NestedCallOutcome::NoRoom,
            Self::Shed => NestedCallOutcome::Shed,
            // The outcome of its own nested calls concerns only the request itself.
            Self::Ran | Self::Starved => NestedCallOutcome::Ran,
        }
    }

    /// Returns the outcome of a request that ran.
    ///
    /// `failed` is true if its target sent a server error, and `calls` is the outcome of its
    /// nested calls. Only a lack of capacity makes a failed run a starved one: a target
    /// that refuses calls regardless of load would refuse the same share of fewer calls.
    pub fn from_run(failed: bool, calls: NestedCallOutcome) -> Self {
        if failed && calls == NestedCallOutcome::NoRoom {
            Self::Starved
        } else {
            Self::Ran
        }
    }
}

/// Admission control at the entry, based on recent outcomes per route.
#[derive(Debug)]
pub struct EntryThrottle {
    clock: SharedClock,
    routes: HashMap<RouteKey, RouteStats>,
}

/// Recent requests of one route; all counts decay exponentially.
#[derive(Clone, Debug)]
struct RouteStats {
    priority: CallPriority,
    /// Services that the route leads to.
    destinations: SmallVec<[ServiceName; 2]>,
    /// Services called by its runs.
    called: SmallVec<[ServiceName; 4]>,
    /// Fraction of the requests that is admitted in view of starved runs.
    admitted_fraction: f32,
    adjusted_at: Instant,
    /// Requests refused at the entry.
    throttled: f32,
    /// Requests refused by a gate.
    refused: f32,
    /// Number of refusals for each service that lacked capacity, including those at the entry
    /// because of that service.
    refused_by_service: SmallVec<[(ServiceName, f32); 4]>,
    /// Requests admitted at the entry, including those that a gate refused.
    entered: f32,
    ran: f32,
    starved: f32,
    updated_at: Instant,
}

impl EntryThrottle {
    /// Creates a throttle without observations.
    pub fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            routes: HashMap::new(),
        }
    }

    /// Decides whether to admit a request on route `rule`; `draw` is a random number from 0 to 1.
    ///
    /// The outcome of an admitted request must be reported to [`EntryThrottle::finish`].
    pub fn admit(&mut self, rule: &RouteRule, draw: f32) -> bool {
        let now = self.clock.now();
        let stats = self.stats(rule, now);
        stats.adjust(now);
        let starvation_share = 1.0 - stats.admitted_fraction;
        let gate_share = stats.gate_share();
        let services: SmallVec<[ServiceName; 4]> = stats.services().cloned().collect();
        let (urgent_share, contended) = self.urgent_share(rule.priority, &services, now);
        // Requests that the gates refuse anyway count towards the required share.
        let inversion_share =
            (urgent_share - INVERSION_MARGIN - gate_share) / (1.0 - gate_share).max(0.01);
        let inversion_share = inversion_share.min(MAX_REFUSED);
        let admitted = draw >= starvation_share.max(inversion_share);
        if !admitted {
            let stats = self.stats(rule, now);
            stats.throttled += 1.0;
            if inversion_share > starvation_share {
                stats.count_refusals(contended.as_slice());
            } else {
                let called = stats.called.clone();
                stats.count_refusals(&called);
            }
        }
        admitted
    }

    /// Records the outcome of an admitted request for `service`.
    ///
    /// `called` lists the services that its run called.
    pub fn finish(
        &mut self,
        rule: &RouteRule,
        service: &ServiceName,
        outcome: EntryOutcome,
        called: &[ServiceName],
    ) {
        let now = self.clock.now();
        let stats = self.stats(rule, now);
        stats.entered += 1.0;
        match outcome {
            EntryOutcome::Refused => {
                stats.refused += 1.0;
                stats.count_refusals(std::slice::from_ref(service));
            }
            // Targets would shed the same share of fewer requests, so refusing requests of
            // other routes would not help.
            EntryOutcome::Shed => {}
            EntryOutcome::Ran => stats.ran += 1.0,
            EntryOutcome::Starved => stats.starved += 1.0,
        }
        for service in called {
            if stats.called.len() < MAX_SERVICES && !stats.called.contains(service) {
                stats.called.push(service.clone());
            }
        }
    }

    /// Removes routes without recent requests.
    pub fn evict_idle(&mut self) {
        let now = self.clock.now();
        self.routes.retain(|_, stats| {
            stats.decay(now);
            stats.requests() >= 0.01
        });
    }

    /// Returns the largest share of requests that a more urgent route is refused at one of
    /// `services`, and that service.
    fn urgent_share(
        &mut self,
        priority: CallPriority,
        services: &[ServiceName],
        now: Instant,
    ) -> (f32, Option<ServiceName>) {
        let mut largest = (0.0_f32, None);
        for stats in self.routes.values_mut() {
            if stats.priority >= priority {
                continue;
            }
            stats.decay(now);
            for service in services {
                let share = stats.refused_share(service);
                if share > largest.0 {
                    largest = (share, Some(service.clone()));
                }
            }
        }
        largest
    }

    /// Returns the decayed stats of a route, with its priority and destinations up to date.
    fn stats(&mut self, rule: &RouteRule, now: Instant) -> &mut RouteStats {
        let stats = self.routes.entry(rule.key).or_insert_with(|| RouteStats {
            priority: rule.priority,
            destinations: SmallVec::new(),
            called: SmallVec::new(),
            admitted_fraction: 1.0,
            adjusted_at: now,
            throttled: 0.0,
            refused: 0.0,
            refused_by_service: SmallVec::new(),
            entered: 0.0,
            ran: 0.0,
            starved: 0.0,
            updated_at: now,
        });
        stats.priority = rule.priority;
        let destinations = rule.destinations.iter();
        stats.destinations = destinations
            .map(|destination| destination.service.clone())
            .collect();
        stats.decay(now);
        stats
    }
}

impl RouteStats {
    /// Returns all services that the route's requests use.
    fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.destinations.iter().chain(&self.called)
    }

    /// Returns the number of recent requests.
    fn requests(&self) -> f32 {
        self.throttled + self.entered
    }

    /// Returns the share of all requests that was refused for lack of capacity at `service`.
    fn refused_share(&self, service: &ServiceName) -> f32 {
        if self.requests() < MIN_OBSERVATIONS {
            return 0.0;
        }
        let mut counts = self.refused_by_service.iter();
        let count = counts.find(|(name, _)| name == service);
        count.map_or(0.0, |(_, count)| count / self.requests())
    }

    /// Counts a refusal for lack of capacity at each of `services`.
    fn count_refusals(&mut self, services: &[ServiceName]) {
        for service in services {
            let index = self
                .refused_by_service
                .iter()
                .position(|(name, _)| name == service);
            match index {
                Some(index) => self.refused_by_service[index].1 += 1.0,
                None if self.refused_by_service.len() < MAX_SERVICES => {
                    self.refused_by_service.push((service.clone(), 1.0));
                }
                None => {}
            }
        }
    }

    /// Returns the share of the admitted requests that a gate refused.
    fn gate_share(&self) -> f32 {
        if self.entered < MIN_OBSERVATIONS {
            return 0.0;
        }
        self.refused / self.entered
    }

    /// Reduces the admitted fraction while too many runs starve, and raises it otherwise.
    fn adjust(&mut self, now: Instant) {
        if now.saturating_duration_since(self.adjusted_at) < ADJUST_INTERVAL {
            return;
        }
        self.adjusted_at = now;
        let runs = self.ran + self.starved;
        // The fewer requests are admitted, the fewer runs there are to draw a conclusion from.
        let excess = if runs < MIN_OBSERVATIONS * self.admitted_fraction {
            0.0
        } else {
            self.starved / runs - MAX_STARVED_SHARE
        };
        let fraction = if excess > 0.0 {
            self.admitted_fraction * (1.0 - DECREASE_FACTOR * excess)
        } else {
            self.admitted_fraction * GROWTH_FACTOR
        };
        self.admitted_fraction = fraction.clamp(MIN_FRACTION, 1.0);
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f32();
        let factor = (-age / HALF_LIFE.as_secs_f32()).exp2();
        let run_factor = (-age / RUN_HALF_LIFE.as_secs_f32()).exp2();
        self.throttled *= factor;
        self.refused *= factor;
        for (_, count) in &mut self.refused_by_service {
            *count *= factor;
        }
        self.entered *= factor;
        self.ran *= run_factor;
        self.starved *= run_factor;
        self.updated_at = now;
    }
}
