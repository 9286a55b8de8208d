//! One daemon's share of the retries that the fleet may make.
//!
//! The fleet may send a service a fixed number of repeats in any window, and
//! a fixed part of its requests besides. Each daemon takes an equal share of
//! the number and its own part of the requests, so the sum over all daemons
//! keeps the bound without any message, whatever a daemon does not know.

use std::collections::HashMap;

use model::ServiceName;
use route::{BudgetConfig, RetryBudget};

/// Part of the fleet's slack that the daemons spend; the rest covers the calls that
/// a repeated run makes again, which count as repeats too.
const SLACK_PART: f64 = 0.4;
/// Part of the fleet's ratio that the daemons spend, for the same reason.
const RATIO_PART: f64 = 0.4;
/// Least tokens of a share, so that a large fleet can repeat at all.
const MIN_RESERVE: f64 = 1.0;

/// What the fleet may repeat at one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetTerms {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in a window beyond these.
    pub slack: f64,
}

/// This daemon's share, for each service.
#[derive(Debug)]
pub struct FleetBudget {
    terms: BudgetTerms,
    daemons: usize,
    services: HashMap<ServiceName, RetryBudget>,
}

impl FleetBudget {
    /// The share of one of `daemons`.
    pub fn new(terms: BudgetTerms, daemons: usize) -> Self {
        Self {
            terms,
            daemons: daemons.max(1),
            services: HashMap::new(),
        }
    }

    /// Takes over another size of the fleet.
    pub fn resize(&mut self, daemons: usize) {
        let daemons = daemons.max(1);
        if daemons != self.daemons {
            self.daemons = daemons;
            let config = self.config();
            for budget in self.services.values_mut() {
                budget.resize(config);
            }
        }
    }

    /// Notes a request for `service`.
    pub fn earn(&mut self, service: &ServiceName) {
        self.budget(service).earn();
    }

    /// Takes one repeat for `service`; false if the share is used up.
    pub fn spend(&mut self, service: &ServiceName) -> bool {
        self.budget(service).spend()
    }

    fn config(&self) -> BudgetConfig {
        let share = self.terms.slack * SLACK_PART / self.daemons as f64;
        BudgetConfig {
            ratio: self.terms.ratio * RATIO_PART,
            reserve: share.max(MIN_RESERVE),
        }
    }

    fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        if !self.services.contains_key(service) {
            let budget = RetryBudget::new(self.config());
            self.services.insert(service.clone(), budget);
        }
        self.services
            .get_mut(service)
            .expect("the entry was inserted above")
    }
}
