//! One daemon's share of the fleet's retry budget.
//!
//! In any window, the fleet may send a service a fixed number of retries plus a
//! fixed ratio of its requests. Each daemon takes an equal share of the fixed
//! number and the ratio of its own requests. The sum over all daemons thus
//! stays within the budget without any coordination between them.
//!
//! Failures come in bursts, so tokens earned by the requests of the last window
//! are kept for them. A repeated run makes its nested calls again, which count
//! as retries at the called services. They are charged to the budget there but
//! not refused, since the run would fail without them.
//!
//! A caller can retry a failed request itself, but a running request cannot
//! retry its nested calls and loses its own work with them. Part of each share
//! is therefore reserved for nested calls.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::ServiceName;

/// Fraction of the fleet's slack that the daemons share; the rest allows for daemons that
/// know too few members and so take too large a share.
const SLACK_FRACTION: f64 = 0.4;
/// Fraction of the fleet's ratio that each request earns.
const EARNED_FRACTION: f64 = 0.45;
/// Fraction of the fleet's ratio that is saved up from the last window's requests. A burst
/// spends it in addition to what is earned meanwhile, so this and [`EARNED_FRACTION`]
/// together stay below one.
const SAVED_FRACTION: f64 = 0.3;
/// Minimum number of tokens of a share, so that daemons of a large fleet can retry at all.
const MIN_SHARE: f64 = 1.0;
/// Fraction of a full share below which only nested calls are retried.
const NESTED_FRACTION: f64 = 0.5;

/// Limits on the retries that the fleet sends to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries per window.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// This daemon's share of the retry budget of each service.
#[derive(Debug)]
pub struct FleetRetryBudget {
    limits: BudgetLimits,
    daemons: usize,
    services: HashMap<ServiceName, ServiceShare>,
}

/// Share of the retry budget of one service.
#[derive(Clone, Copy, Debug)]
struct ServiceShare {
    tokens: f64,
    /// Number of recent requests, decaying exponentially over the window.
    requests: f64,
    updated_at: Instant,
}

impl FleetRetryBudget {
    /// Creates the share of one daemon in a fleet of `daemons`.
    pub fn new(limits: BudgetLimits, daemons: usize) -> Self {
        Self {
            limits,
            daemons: daemons.max(1),
            services: HashMap::new(),
        }
    }

    /// Adjusts the shares to a new size of the fleet.
    pub fn resize(&mut self, daemons: usize) {
        self.daemons = daemons.max(1);
        let (limits, slack_share) = (self.limits, self.slack_share());
        for share in self.services.values_mut() {
            share.cap_tokens(&limits, slack_share);
        }
    }

    /// Adds what a request for `service` earns.
    pub fn earn(&mut self, service: &ServiceName, now: Instant) {
        let (limits, slack_share) = (self.limits, self.slack_share());
        let share = self.share(service, now);
        share.requests += 1.0;
        share.tokens += limits.ratio * EARNED_FRACTION;
        share.cap_tokens(&limits, slack_share);
    }

    /// Charges a nested call to `service` that a repeated run makes again.
    pub fn charge(&mut self, service: &ServiceName, now: Instant) {
        self.share(service, now).tokens -= 1.0;
    }

    /// Takes a token for a retry at `service`; returns false if the share is used up.
    ///
    /// `nested` is true if the request to retry is a nested call.
    pub fn spend(&mut self, service: &ServiceName, nested: bool, now: Instant) -> bool {
        let (limits, slack_share) = (self.limits, self.slack_share());
        let share = self.share(service, now);
        share.cap_tokens(&limits, slack_share);
        // Nothing can be reserved for nested calls from a share of one token.
        let reserved = if nested {
            0.0
        } else {
            (share.capacity(&limits, slack_share) - MIN_SHARE) * NESTED_FRACTION
        };
        if share.tokens < 1.0 + reserved {
            return false;
        }
        share.tokens -= 1.0;
        true
    }

    /// Returns the daemon's share of the fleet's slack.
    fn slack_share(&self) -> f64 {
        let share = self.limits.slack * SLACK_FRACTION / self.daemons as f64;
        share.max(MIN_SHARE)
    }

    fn share(&mut self, service: &ServiceName, now: Instant) -> &mut ServiceShare {
        let slack_share = self.slack_share();
        if !self.services.contains_key(service) {
            let share = ServiceShare {
                tokens: slack_share,
                requests: 0.0,
                updated_at: now,
            };
            self.services.insert(service.clone(), share);
        }
        let window = self.limits.window;
        let share = self
            .services
            .get_mut(service)
            .expect("the entry was inserted above");
        share.decay(window, now);
        share
    }
}

impl ServiceShare {
    fn decay(&mut self, window: Duration, now: Instant) {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.requests *= (-age / window.as_secs_f64().max(f64::MIN_POSITIVE)).exp();
        self.updated_at = now;
    }

    /// Returns the maximum number of tokens of the share.
    fn capacity(&self, limits: &BudgetLimits, slack_share: f64) -> f64 {
        slack_share + limits.ratio * SAVED_FRACTION * self.requests
    }

    fn cap_tokens(&mut self, limits: &BudgetLimits, slack_share: f64) {
        self.tokens = self.tokens.min(self.capacity(limits, slack_share));
    }
}
