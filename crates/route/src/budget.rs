//! Token budget that limits retries to a share of the calls.
//!
//! Every first attempt earns a fraction of a token and every retry spends one,
//! so that in the long run retries stay a fixed share of the calls. A small
//! reserve allows even a proxy with little traffic to retry calls to a failed
//! target.

/// Rate and capacity of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Tokens earned by each first attempt.
    pub ratio: f64,
    /// Maximum number of tokens.
    pub reserve: f64,
}

/// Tokens available for retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    config: BudgetConfig,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(config: BudgetConfig) -> Self {
        Self {
            config,
            tokens: config.reserve,
        }
    }

    /// Changes the configuration; tokens above the new reserve are discarded, none are added.
    pub fn resize(&mut self, config: BudgetConfig) {
        self.config = config;
        self.tokens = self.tokens.min(config.reserve);
    }

    /// Adds the fraction of a token that a first attempt earns.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.config.ratio).min(self.config.reserve);
    }

    /// Spends a token; returns false if none is available.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
