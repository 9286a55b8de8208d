//! Compares rules of retrying over a chain of calls twelve deep.
//!
//! Every layer's calls are sent by proxies with budgets of their own. The
//! figure is the number of attempts that reach a layer for each call at the
//! root. Exits 1 when the policy's exceeds the bound at any depth.

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

/// Proxies that send the calls of one layer.
const PROXIES: usize = 24;

/// Most attempts at any depth for each call at the root.
const MAX_ATTEMPTS_PER_CALL: f64 = 1.2;

/// Calls until the reserves are used up, and calls counted.
const WARM_UP_CALLS: usize = 5_000;
const CALLS: usize = 40_000;

/// Calls counted where attempts multiply without a bound.
const FEW_CALLS: usize = 2;

/// A rule of retrying.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rule {
    Never,
    /// Up to three attempts of whatever failed, at each layer.
    ThreeAttempts,
    /// The same, within a tenth of the proxy's calls.
    TenthBudget,
    Policy,
}

/// How attempts fail.
#[derive(Clone, Copy, Debug)]
struct Fault {
    name: &'static str,
    /// Share of attempts refused as not run, at each layer, and at the last.
    refused: (f64, f64),
    /// Share of attempts lost after the work below them ran, likewise.
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

/// One proxy's state under each rule.
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

    /// Sends a call of `layer`; tells why it failed, if it did.
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
        // A target that gets an error from below answers with an error of its own.
        let below = if last {
            None
        } else {
            self.call(layer + 1, mark)
        };
        if self.random.random_bool(share(self.fault.lost)) {
            return Some(FailureCause::Lost);
        }
        below.map(|_| FailureCause::Answered)
    }

    /// Attempts at each layer for each call at the root, and the share of calls that failed.
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
    table.set_header(["fault", "rule", "depth 1", "6", "12", "most", "failed %"]);
    let mut held = true;
    for fault in FAULTS {
        for rule in [
            Rule::Never,
            Rule::ThreeAttempts,
            Rule::TenthBudget,
            Rule::Policy,
        ] {
            let (attempts, failed) = Chain::new(rule, fault).run();
            let most = attempts.iter().copied().fold(0.0, f64::max);
            held &= rule != Rule::Policy || most <= MAX_ATTEMPTS_PER_CALL;
            let shown = |value: f64| format!("{value:.3}");
            table.add_row([
                fault.name.to_owned(),
                format!("{rule:?}"),
                shown(attempts[0]),
                shown(attempts[5]),
                shown(attempts[DEPTH - 1]),
                shown(most),
                format!("{:.1}", failed * 100.0),
            ]);
        }
    }
    println!("{table}");
    if held {
        return ExitCode::SUCCESS;
    }
    println!("broken: more than {MAX_ATTEMPTS_PER_CALL} attempts for each call");
    ExitCode::FAILURE
}
