//! What callers saw, and whether it was true.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

use super::fleet::target::TestTarget;

/// One keyed call over all its sendings.
#[derive(Debug, Default)]
pub struct KeyStory {
    /// The call's key.
    pub key: String,
    /// The first whole answer.
    pub answer: Option<String>,
    /// Whether the home said that no sending ran; nothing was sent after it.
    pub not_run: bool,
    /// Whether some sending ended without any answer, so that it may still be under way.
    pub unanswered: bool,
    /// What else callers were told.
    pub refusals: BTreeSet<String>,
}

impl KeyStory {
    /// Whether the caller need not send the call again.
    pub fn is_closed(&self) -> bool {
        self.answer.is_some() || self.not_run
    }
}

/// Counts and stories of all callers.
#[derive(Debug, Default)]
pub struct CallTally {
    /// Keyed calls by path.
    pub stories: HashMap<String, KeyStory>,
    /// Answers by status or kind of refusal.
    pub outcomes: BTreeMap<String, u64>,
    /// What no order of failures allows.
    pub violations: Vec<String>,
}

impl CallTally {
    /// Counts one outcome.
    pub fn count(&mut self, outcome: &str) {
        *self.outcomes.entry(outcome.to_owned()).or_default() += 1;
    }

    /// Adds another caller's tally; no two callers share a path.
    pub fn merge(&mut self, other: Self) {
        self.stories.extend(other.stories);
        for (outcome, count) in other.outcomes {
            *self.outcomes.entry(outcome).or_default() += count;
        }
        self.violations.extend(other.violations);
    }

    /// Compares what callers were told with what the targets ran.
    pub fn check(&mut self, targets: &[TestTarget]) {
        let mut runs: HashMap<String, usize> = HashMap::new();
        for target in targets {
            for line in target.ran.lock().unwrap().iter() {
                *runs.entry(line.clone()).or_default() += 1;
            }
        }
        for (path, story) in &self.stories {
            let count = runs.get(&format!("POST {path}")).copied().unwrap_or(0);
            if count > 1 {
                self.violations.push(format!("{path} ran {count} times"));
            }
            if story.answer.is_some() && count == 0 {
                self.violations
                    .push(format!("{path} was answered and never ran"));
            }
            if story.not_run && !story.unanswered && count > 0 {
                self.violations
                    .push(format!("{path} ran after `not-run`: {story:?}"));
            }
        }
        assert!(self.violations.is_empty(), "{:#?}", self.violations);
        let answered = self.stories.values().filter(|story| story.answer.is_some());
        assert!(answered.count() > 0, "no keyed call was answered");
    }
}

impl fmt::Display for CallTally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = |is: &dyn Fn(&KeyStory) -> bool| {
            self.stories.values().filter(|story| is(story)).count()
        };
        writeln!(
            f,
            "{} keyed calls: {} answered, {} not run, {} open; violations {}",
            self.stories.len(),
            count(&|story| story.answer.is_some()),
            count(&|story| story.not_run),
            count(&|story| !story.is_closed()),
            self.violations.len()
        )?;
        for (outcome, count) in &self.outcomes {
            writeln!(f, "{count:>8} {outcome}")?;
        }
        Ok(())
    }
}
