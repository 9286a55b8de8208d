//! Outcomes of calls as seen by callers, and their comparison with the runs of the targets.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

use super::fleet::target::TestTarget;

/// All attempts of one keyed call.
#[derive(Debug, Default)]
pub struct KeyHistory {
    /// The call's key.
    pub key: String,
    /// The first complete answer.
    pub answer: Option<String>,
    /// Whether the home answered that no attempt has run; the call is not sent again after that.
    pub not_run: bool,
    /// Whether some attempt ended without an answer, so that it may still be in progress.
    pub has_unanswered_send: bool,
    /// Error kind of each refusal and what it proves about whether the call ran.
    pub refusals: BTreeSet<String>,
}

impl KeyHistory {
    /// Whether the call needs no further attempt.
    pub fn is_settled(&self) -> bool {
        self.answer.is_some() || self.not_run
    }
}

/// Outcomes and keyed calls of all callers.
#[derive(Debug, Default)]
pub struct CallTally {
    /// Keyed calls by path.
    pub histories: HashMap<String, KeyHistory>,
    /// Number of answers by method and status, or by error kind and proof.
    pub outcomes: BTreeMap<String, u64>,
    /// Violated guarantees.
    pub violations: Vec<String>,
}

impl CallTally {
    /// Counts one outcome.
    pub fn count(&mut self, outcome: &str) {
        *self.outcomes.entry(outcome.to_owned()).or_default() += 1;
    }

    /// Adds another caller's tally; no two callers share a path.
    pub fn merge(&mut self, other: Self) {
        self.histories.extend(other.histories);
        for (outcome, count) in other.outcomes {
            *self.outcomes.entry(outcome).or_default() += count;
        }
        self.violations.extend(other.violations);
    }

    /// Compares the answers to callers with the runs of the targets.
    pub fn check(&mut self, targets: &[TestTarget]) {
        let mut runs: HashMap<String, usize> = HashMap::new();
        for target in targets {
            for line in target.ran.lock().unwrap().iter() {
                *runs.entry(line.clone()).or_default() += 1;
            }
        }
        for (path, history) in &self.histories {
            let count = runs.get(&format!("POST {path}")).copied().unwrap_or(0);
            if count > 1 {
                self.violations.push(format!("{path} ran {count} times"));
            }
            if history.answer.is_some() && count == 0 {
                self.violations
                    .push(format!("{path} was answered and never ran"));
            }
            if history.not_run && !history.has_unanswered_send && count > 0 {
                self.violations
                    .push(format!("{path} ran after `not-run`: {history:?}"));
            }
        }
        assert!(self.violations.is_empty(), "{:#?}", self.violations);
        let answered = self
            .histories
            .values()
            .filter(|history| history.answer.is_some());
        assert!(answered.count() > 0, "no keyed call was answered");
    }
}

impl fmt::Display for CallTally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = |matches: &dyn Fn(&KeyHistory) -> bool| {
            self.histories
                .values()
                .filter(|history| matches(history))
                .count()
        };
        writeln!(
            f,
            "{} keyed calls: {} answered, {} not run, {} open; violations {}",
            self.histories.len(),
            count(&|history| history.answer.is_some()),
            count(&|history| history.not_run),
            count(&|history| !history.is_settled()),
            self.violations.len()
        )?;
        for (outcome, count) in &self.outcomes {
            writeln!(f, "{count:>8} {outcome}")?;
        }
        Ok(())
    }
}
