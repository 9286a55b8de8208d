//! Compares retry rules over a call chain with a depth of twelve.
//!
//! The calls of each layer are sent by proxies with their own budgets. The
//! bench measures the number of attempts that reach a layer per call at the
//! root. Exits with status 1 if the policy exceeds the bound at any depth.

use std::process::ExitCode;
use std::time::Duration;

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use model::ErrorKind;
use quetzal_route::{
    AttemptFailure, BudgetConfig, FailureCause, RetryBudget, RetryDecision, RetryMark, RetryPolicy,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const DEPTH: usize = 12;

/// Number of proxies that send the calls of one layer.
const PROXIES: usize = 24;

/// Maximum number of attempts at any depth per call at the root.
const MAX_ATTEMPTS_PER_CALL: f64 = 1.2;

/// Calls sent to use up the reserves, and calls counted.
const WARM_UP_CALLS: usize = 5_000;
const CALLS: usize = 40_000;

/// Calls counted for the rule under which attempts multiply without a bound.
const FEW_CALLS: usize = 2;

/// Retry rule.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rule {
    Never,
    /// Up to three attempts after any failure, at each layer.
    ThreeAttempts,
    /// The same, with retries limited to a tenth of the proxy's calls.
    TenthBudget,
    Policy,
}

/// Failure probabilities of attempts.
#[derive(Clone, Copy, Debug)]
struct Fault {
    name: &'static str,
    /// Share of attempts that are refused without running: before and at the last layer.
    refused: (f64, f64),
    /// Share of attempts that are lost after their nested calls ran: before and at the last layer.
    lost: (f64, f64),
}

const FAULTS: [Fault; 5] = [
    Fault {
        name: "last service refuses all",
        refused: (0.0, 1.0),
        lost: (0.0, 0.0),
    },
    Fault {
        name: "last service lost",
        refused: (0.0, 0.0),
        lost: (0.0, 1.0),
    },
    Fault {
        name: "2% lost at each layer",
        refused: (0.0, 0.0),
        lost: (0.02, 0.02),
    },
    Fault {
        name: "20% lost at each layer",
        refused: (0.0, 0.0),
        lost: (0.2, 0.2),
    },
    Fault {
        name: "10% refused, 5% lost",
        refused: (0.1, 0.1),
        lost: (0.05, 0.05),
    },
];

/// State of one proxy for all rules.
#[derive(Clone, Debug)]
struct Proxy {
    policy: RetryPolicy,
    budget: RetryBudget,
}

struct Chain {
    rule: Rule,
    fault: Fault,
    random: SmallRng,
    proxies: Vec<Vec<Proxy>>,
    attempts: [u64; DEPTH],
}

impl Chain {
    fn new(rule: Rule, fault: Fault) -> Self {
        let proxy = Proxy {
            policy: RetryPolicy::new(),
            budget: RetryBudget::new(BudgetConfig {
                ratio: 0.1,
                reserve: 10.0,
            }),
        };
        Self {
            rule,
            fault,
            random: SmallRng::seed_from_u64(3),
            proxies: vec![vec![proxy; PROXIES]; DEPTH],
            attempts: [0; DEPTH],
        }
    }

    /// Sends a call of `layer`; returns the cause if it failed.
    fn call(&mut self, layer: usize, mark: RetryMark) -> Option<FailureCause> {
        let proxy = self.random.random_range(0..PROXIES);
        self.proxies[layer][proxy].policy.on_first_attempt(mark);
        self.proxies[layer][proxy].budget.earn();
        let mut mark = mark;
        let mut attempts = 0;
        loop {
            attempts += 1;
            self.attempts[layer] += 1;
            let cause = self.attempt(layer, mark)?;
            let failure = AttemptFailure {
                cause,
                idempotent: true,
                replayable: true,
                attempts,
                mark,
                remaining: Duration::from_secs(1),
            };
            match self.decide(layer, proxy, &failure) {
                RetryDecision::Retry(next) => mark = next,
                RetryDecision::PassThrough | RetryDecision::Fail(_) => return Some(cause),
            }
        }
    }

    fn decide(&mut self, layer: usize, proxy: usize, failure: &AttemptFailure) -> RetryDecision {
        let proxy = &mut self.proxies[layer][proxy];
        let again = match self.rule {
            Rule::Never => false,
            Rule::ThreeAttempts => failure.attempts < 3,
            Rule::TenthBudget => failure.attempts < 3 && proxy.budget.spend(),
            Rule::Policy => return proxy.policy.decide(failure),
        };
        if again {
            return RetryDecision::Retry(failure.mark);
        }
        RetryDecision::PassThrough
    }

    fn attempt(&mut self, layer: usize, mark: RetryMark) -> Option<FailureCause> {
        let last = layer + 1 == DEPTH;
        let share = |shares: (f64, f64)| if last { shares.1 } else { shares.0 };
        if self.random.random_bool(share(self.fault.refused)) {
            return Some(FailureCause::Refused(ErrorKind::QueueFull));
        }
        // A target whose nested call fails answers with an error itself.
        let nested = if last {
            None
        } else {
            self.call(layer + 1, mark)
        };
        if self.random.random_bool(share(self.fault.lost)) {
            return Some(FailureCause::Lost);
        }
        nested.map(|_| FailureCause::Answered)
    }

    /// Returns the attempts at each layer per call at the root, and the share of failed calls.
    fn run(mut self) -> ([f64; DEPTH], f64) {
        let unbounded = self.rule == Rule::ThreeAttempts;
        let (warm_up, calls) = if unbounded {
            (0, FEW_CALLS)
        } else {
            (WARM_UP_CALLS, CALLS)
        };
        for _ in 0..warm_up {
            self.call(0, RetryMark::First);
        }
        self.attempts = [0; DEPTH];
        let mut failed = 0;
        for _ in 0..calls {
            failed += usize::from(self.call(0, RetryMark::First).is_some());
        }
        let per_call = self.attempts.map(|count| count as f64 / calls as f64);
        (per_call, failed as f64 / calls as f64)
    }
}

fn main() -> ExitCode {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    table.set_header(["fault", "rule", "depth 1", "6", "12", "max", "failed %"]);
    let mut within_bound = true;
    for fault in FAULTS {
        for rule in [
            Rule::Never,
            Rule::ThreeAttempts,
            Rule::TenthBudget,
            Rule::Policy,
        ] {
            let (attempts, failed) = Chain::new(rule, fault).run();
            let max_attempts = attempts.iter().copied().fold(0.0, f64::max);
            within_bound &= rule != Rule::Policy || max_attempts <= MAX_ATTEMPTS_PER_CALL;
            let three_digits = |value: f64| format!("{value:.3}");
            table.add_row([
                fault.name.to_owned(),
                format!("{rule:?}"),
                three_digits(attempts[0]),
                three_digits(attempts[5]),
                three_digits(attempts[DEPTH - 1]),
                three_digits(max_attempts),
                format!("{:.1}", failed * 100.0),
            ]);
        }
    }
    println!("{table}");
    if within_bound {
        return ExitCode::SUCCESS;
    }
    println!("bound violated: more than {MAX_ATTEMPTS_PER_CALL} attempts per call");
    ExitCode::FAILURE
}
