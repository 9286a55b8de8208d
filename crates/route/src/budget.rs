//! A budget of tokens that bounds retries to a share of calls.
//!
//! Every first attempt earns a part of a token and every retry spends one, so
//! that in the long run retries stay a fixed share of the calls; a small
//! reserve lets calls of a failed target be sent again even by a proxy with
//! little traffic.

/// Size of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Tokens earned by each first attempt.
    pub ratio: f64,
    /// Most tokens kept.
    pub reserve: f64,
}

/// Tokens for retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    config: BudgetConfig,
    tokens: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(config: BudgetConfig) -> Self {
        Self {
            config,
            tokens: config.reserve,
        }
    }

    /// Takes over another size; tokens beyond the new reserve are lost, none are gained.
    pub fn resize(&mut self, config: BudgetConfig) {
        self.config = config;
        self.tokens = self.tokens.min(config.reserve);
    }

    /// Earns for a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.config.ratio).min(self.config.reserve);
    }

    /// Spends a token; false if there is none.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
