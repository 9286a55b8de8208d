//! Refuses requests at the entry, for what no gate on the way can see.
//!
//! A request that calls other services occupies its target while it waits for
//! them, and each gate knows its own target only. The daemon at which requests
//! enter sees how they end, and which services their runs call. From that two
//! things follow for each route:
//!
//! - *Starved runs.* If a called service is overloaded, calls are refused and
//!   the work of the request is lost: the more of them are let in, the fewer
//!   succeed. Where more than a small share of the runs starves, a smaller
//!   part of the requests is let in, until most of those end well; then the
//!   part grows again, doubling in half a second.
//! - *Inversion.* Calls of running requests go before new requests at every
//!   gate, so a less urgent route could take a service away from a more urgent
//!   one through its calls. A route is refused at least as often as more urgent
//!   ones are refused at a service that it uses too, less a small margin. What
//!   they lack elsewhere it does not take from them.
//!
//! Both are judged by the last second or two, for each daemon by itself. Runs
//! that fail for other reasons change nothing, since fewer of them would fail
//! just the same.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::{ServiceName, SharedClock};
use smallvec::SmallVec;

use crate::config::{CallPriority, RouteKey, RouteRule};
use crate::lineage::NestedCallOutcome;

/// Age at which an observation counts for half.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// The same for starved runs, which must show the effect of a change soon.
const STARVED_HALF_LIFE: Duration = Duration::from_millis(400);
/// Observations below which nothing is concluded.
const MIN_ASKED: f32 = 8.0;
/// Share of starved runs that is accepted: less would leave the called service idle at times.
const STARVED_SHARE: f32 = 0.2;
/// Time between two changes of the part that is let in, about that of one run.
const ADJUST_INTERVAL: Duration = Duration::from_millis(100);
/// How far the part falls in one change, for each share starved too much.
const FALL: f32 = 0.3;
/// How far the part grows in one change: it doubles in half a second.
const GROWTH: f32 = 1.15;
/// Least part that is let in, so that recovery is noticed.
const MIN_PART: f32 = 0.05;
/// How much less often than a more urgent route one may be refused.
const INVERSION_MARGIN: f32 = 0.03;
/// Largest share of requests that is refused for that.
const MAX_REFUSED: f32 = 0.9;
/// Services that are remembered of those that a route's runs call, and that lack room.
const MAX_SERVICES: usize = 8;

/// How a request that was let in ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryOutcome {
    /// It found no room; it cost no target anything.
    Refused,
    /// Targets refused it themselves, whatever the load.
    Shed,
    /// It ran, well or not.
    Ran,
    /// It ran in vain, since one of its calls found no room.
    Starved,
}

impl EntryOutcome {
    /// The end of a request that has not run; `shed` if a target itself refused it.
    pub fn from_refusal(shed: bool) -> Self {
        if shed { Self::Shed } else { Self::Refused }
    }

    /// Whether it has not run.
    pub fn is_refusal(self) -> bool {
        matches!(self, Self::Refused | Self::Shed)
    }

    /// What a call that ended so is to the run that made it.
    pub fn as_nested_call(self) -> NestedCallOutcome {
        match self {
            Self::Refused => NestedCallOutcome::NoRoom,
            Self::Shed => NestedCallOutcome::Shed,
            // How its own calls ended is for its own caller only.
            Self::Ran | Self::Starved => NestedCallOutcome::Ran,
        }
    }

    /// The end of a request that ran; `failed` if its target failed it, for the sake of calls
    /// that ended as `calls`.
    ///
    /// A target that refuses calls whatever the load refuses the same part of fewer, so
    /// only calls that found no room make a run a vain one.
    pub fn from_run(failed: bool, calls: NestedCallOutcome) -> Self {
        if failed && calls == NestedCallOutcome::NoRoom {
            Self::Starved
        } else {
            Self::Ran
        }
    }
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
    /// Where its requests go.
    destinations: SmallVec<[ServiceName; 2]>,
    /// What its runs call.
    called: SmallVec<[ServiceName; 4]>,
    /// Part of the requests that is let in for the sake of starved runs.
    part: f32,
    adjusted: Instant,
    /// Requests refused here, lately.
    throttled: f32,
    /// Requests refused by a gate.
    refused: f32,
    /// Refusals by the service that lacked the room, those at the entry for its sake included.
    lacking: SmallVec<[(ServiceName, f32); 4]>,
    /// Requests let in, those included.
    entered: f32,
    ran: f32,
    starved: f32,
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
        flow.adjust(now);
        let starving = 1.0 - flow.part;
        let gate_share = flow.gate_share();
        let services: SmallVec<[ServiceName; 4]> = flow.services().cloned().collect();
        let (urgent, contended) = self.urgent_share(rule.priority, &services, now);
        // What the gates refuse anyway counts towards the share that is due.
        let due = (urgent - INVERSION_MARGIN - gate_share) / (1.0 - gate_share).max(0.01);
        let due = due.min(MAX_REFUSED);
        let admitted = draw >= starving.max(due);
        if !admitted {
            let flow = self.flow(rule, now);
            flow.throttled += 1.0;
            if due > starving {
                flow.note_lacking(contended.as_slice());
            } else {
                let called = flow.called.clone();
                flow.note_lacking(&called);
            }
        }
        admitted
    }

    /// Counts how an admitted request for `service` ended; `called` are the services that its
    /// run called.
    pub fn finish(
        &mut self,
        rule: &RouteRule,
        service: &ServiceName,
        end: EntryOutcome,
        called: &[ServiceName],
    ) {
        let now = self.clock.now();
        let flow = self.flow(rule, now);
        flow.entered += 1.0;
        match end {
            EntryOutcome::Refused => {
                flow.refused += 1.0;
                flow.note_lacking(std::slice::from_ref(service));
            }
            // The same part of fewer would be shed, so nobody has to give way.
            EntryOutcome::Shed => {}
            EntryOutcome::Ran => flow.ran += 1.0,
            EntryOutcome::Starved => flow.starved += 1.0,
        }
        for service in called {
            if flow.called.len() < MAX_SERVICES && !flow.called.contains(service) {
                flow.called.push(service.clone());
            }
        }
    }

    /// Forgets routes without requests.
    pub fn evict_idle(&mut self) {
        let now = self.clock.now();
        self.flows.retain(|_, flow| {
            flow.decay(now);
            flow.asked() >= 0.01
        });
    }

    /// Largest share that a more urgent route is refused at one of `services`, and which.
    fn urgent_share(
        &mut self,
        priority: CallPriority,
        services: &[ServiceName],
        now: Instant,
    ) -> (f32, Option<ServiceName>) {
        let mut largest = (0.0_f32, None);
        for flow in self.flows.values_mut() {
            if flow.priority >= priority {
                continue;
            }
            flow.decay(now);
            for service in services {
                let share = flow.share_lacking(service);
                if share > largest.0 {
                    largest = (share, Some(service.clone()));
                }
            }
        }
        largest
    }

    fn flow(&mut self, rule: &RouteRule, now: Instant) -> &mut RouteFlow {
        let flow = self.flows.entry(rule.key).or_insert_with(|| RouteFlow {
            priority: rule.priority,
            destinations: SmallVec::new(),
            called: SmallVec::new(),
            part: 1.0,
            adjusted: now,
            throttled: 0.0,
            refused: 0.0,
            lacking: SmallVec::new(),
            entered: 0.0,
            ran: 0.0,
            starved: 0.0,
            at: now,
        });
        flow.priority = rule.priority;
        let destinations = rule.destinations.iter();
        flow.destinations = destinations.map(|part| part.service.clone()).collect();
        flow.decay(now);
        flow
    }
}

impl RouteFlow {
    /// All services that its requests use.
    fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.destinations.iter().chain(&self.called)
    }

    fn asked(&self) -> f32 {
        self.throttled + self.entered
    }

    /// Share of all requests that was refused for lack of room at `service`.
    fn share_lacking(&self, service: &ServiceName) -> f32 {
        if self.asked() < MIN_ASKED {
            return 0.0;
        }
        let mut lacking = self.lacking.iter();
        let count = lacking.find(|(name, _)| name == service);
        count.map_or(0.0, |(_, count)| count / self.asked())
    }

    fn note_lacking(&mut self, services: &[ServiceName]) {
        for service in services {
            let known = self.lacking.iter().position(|(name, _)| name == service);
            match known {
                Some(index) => self.lacking[index].1 += 1.0,
                None if self.lacking.len() < MAX_SERVICES => {
                    self.lacking.push((service.clone(), 1.0));
                }
                None => {}
            }
        }
    }

    /// Share of the requests let in that a gate refused.
    fn gate_share(&self) -> f32 {
        if self.entered < MIN_ASKED {
            return 0.0;
        }
        self.refused / self.entered
    }

    /// Lets a smaller part in while too many runs starve, a larger one otherwise.
    fn adjust(&mut self, now: Instant) {
        if now.saturating_duration_since(self.adjusted) < ADJUST_INTERVAL {
            return;
        }
        self.adjusted = now;
        let runs = self.ran + self.starved;
        let excess = if runs < MIN_ASKED * self.part {
            0.0
        } else {
            self.starved / runs - STARVED_SHARE
        };
        let part = if excess > 0.0 {
            self.part * (1.0 - FALL * excess)
        } else {
            self.part * GROWTH
        };
        self.part = part.clamp(MIN_PART, 1.0);
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.at).as_secs_f32();
        let kept = (-age / HALF_LIFE.as_secs_f32()).exp2();
        let kept_runs = (-age / STARVED_HALF_LIFE.as_secs_f32()).exp2();
        self.throttled *= kept;
        self.refused *= kept;
        for (_, count) in &mut self.lacking {
            *count *= kept;
        }
        self.entered *= kept;
        self.ran *= kept_runs;
        self.starved *= kept_runs;
        self.at = now;
    }
}
