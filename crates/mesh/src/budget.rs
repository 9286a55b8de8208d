//! One daemon's share of the retries that the fleet may make.
//!
//! The fleet may send a service a fixed number of repeats in any window, and
//! a fixed part of its requests besides. Each daemon takes an equal share of
//! the number and its own part of the requests, so the sum over all daemons
//! keeps the bound without any message, whatever a daemon does not know.
//!
//! Faults come in bursts, so what the requests of the last window have earned
//! is kept for them. A repeated run makes its calls again, which count as
//! repeats at the services that it calls: they are charged there and not
//! refused, since the run would be lost without them.
//!
//! A caller whose request fails can send it again; a running request cannot
//! repeat its calls, and its own work is lost with them. So a part of each
//! share is kept for such calls.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::ServiceName;

/// Part of the fleet's slack that the daemons spend; the rest covers daemons whose view of
/// the fleet is too small.
const SLACK_PART: f64 = 0.4;
/// Part of the fleet's ratio that each request earns.
const EARNED_PART: f64 = 0.45;
/// Part of the fleet's ratio that is kept of the last window's requests. A burst spends it
/// beside what is earned meanwhile, so the two parts stay below one together.
const KEPT_PART: f64 = 0.3;
/// Least tokens of a share, so that a large fleet can repeat at all.
const MIN_RESERVE: f64 = 1.0;
/// Part of a full share below which only calls of running requests are repeated.
const INNER_PART: f64 = 0.5;

/// What the fleet may repeat at one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in a window beyond these.
    pub slack: f64,
    /// Time over which both are counted.
    pub window: Duration,
}

/// This daemon's share, for each service.
#[derive(Debug)]
pub struct FleetRetryBudget {
    terms: BudgetLimits,
    daemons: usize,
    services: HashMap<ServiceName, ServiceShare>,
}

/// The share for one service.
#[derive(Clone, Copy, Debug)]
struct ServiceShare {
    tokens: f64,
    /// Requests of the last window, older ones fading.
    requests: f64,
    at: Instant,
}

impl FleetRetryBudget {
    /// The share of one of `daemons`.
    pub fn new(terms: BudgetLimits, daemons: usize) -> Self {
        Self {
            terms,
            daemons: daemons.max(1),
            services: HashMap::new(),
        }
    }

    /// Takes over another size of the fleet.
    pub fn resize(&mut self, daemons: usize) {
        self.daemons = daemons.max(1);
        let (terms, reserve) = (self.terms, self.reserve());
        for share in self.services.values_mut() {
            share.bound(&terms, reserve);
        }
    }

    /// Notes a request for `service`.
    pub fn earn(&mut self, service: &ServiceName, now: Instant) {
        let (terms, reserve) = (self.terms, self.reserve());
        let share = self.share(service, now);
        share.requests += 1.0;
        share.tokens += terms.ratio * EARNED_PART;
        share.bound(&terms, reserve);
    }

    /// Notes a call for `service` that a repeated run makes again.
    pub fn charge(&mut self, service: &ServiceName, now: Instant) {
        self.share(service, now).tokens -= 1.0;
    }

    /// Takes one repeat for `service`; false if the share is used up.
    ///
    /// `inner` says that a running request made the call that is repeated.
    pub fn spend(&mut self, service: &ServiceName, inner: bool, now: Instant) -> bool {
        let (terms, reserve) = (self.terms, self.reserve());
        let share = self.share(service, now);
        share.bound(&terms, reserve);
        // A share of one token has nothing to keep.
        let kept = if inner {
            0.0
        } else {
            (share.most(&terms, reserve) - MIN_RESERVE) * INNER_PART
        };
        if share.tokens < 1.0 + kept {
            return false;
        }
        share.tokens -= 1.0;
        true
    }

    fn reserve(&self) -> f64 {
        let share = self.terms.slack * SLACK_PART / self.daemons as f64;
        share.max(MIN_RESERVE)
    }

    fn share(&mut self, service: &ServiceName, now: Instant) -> &mut ServiceShare {
        let reserve = self.reserve();
        if !self.services.contains_key(service) {
            let share = ServiceShare {
                tokens: reserve,
                requests: 0.0,
                at: now,
            };
            self.services.insert(service.clone(), share);
        }
        let window = self.terms.window;
        let share = self
            .services
            .get_mut(service)
            .expect("the entry was inserted above");
        share.fade(window, now);
        share
    }
}

impl ServiceShare {
    fn fade(&mut self, window: Duration, now: Instant) {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.requests *= (-age / window.as_secs_f64().max(f64::MIN_POSITIVE)).exp();
        self.at = now;
    }

    /// Most tokens that the share holds.
    fn most(&self, terms: &BudgetLimits, reserve: f64) -> f64 {
        reserve + terms.ratio * KEPT_PART * self.requests
    }

    fn bound(&mut self, terms: &BudgetLimits, reserve: f64) {
        self.tokens = self.tokens.min(self.most(terms, reserve));
    }
}
