//! Requests in flight at the targets beside a daemon, and those that lately ran to their end.

use std::collections::{HashMap, HashSet, VecDeque};

use model::TargetName;

use crate::print::RequestPrint;

/// Finished requests that are remembered as innocent.
const MAX_FINISHED: usize = 2048;

/// What runs and ran beside a daemon.
#[derive(Debug, Default)]
pub struct FlightTable {
    flying: HashMap<TargetName, HashMap<RequestPrint, u32>>,
    finished: HashSet<RequestPrint>,
    order: VecDeque<RequestPrint>,
}

impl FlightTable {
    /// A request goes to a target.
    pub fn start(&mut self, target: &TargetName, print: RequestPrint) {
        if !self.flying.contains_key(target) {
            self.flying.insert(target.clone(), HashMap::new());
        }
        let flying = self.flying.get_mut(target);
        *flying.expect("just inserted").entry(print).or_default() += 1;
    }

    /// A request left its target, whether answered or not.
    pub fn leave(&mut self, target: &TargetName, print: RequestPrint) {
        let Some(flying) = self.flying.get_mut(target) else {
            return;
        };
        if let Some(count) = flying.get_mut(&print) {
            *count -= 1;
            if *count == 0 {
                flying.remove(&print);
            }
        }
        if flying.is_empty() {
            self.flying.remove(target);
        }
    }

    /// Remembers that a request ran to its end.
    pub fn note_finished(&mut self, print: RequestPrint) {
        if !self.finished.insert(print) {
            return;
        }
        self.order.push_back(print);
        if self.order.len() > MAX_FINISHED
            && let Some(oldest) = self.order.pop_front()
        {
            self.finished.remove(&oldest);
        }
    }

    /// Whether a request lately ran to its end here.
    pub fn has_finished(&self, print: RequestPrint) -> bool {
        self.finished.contains(&print)
    }

    /// The requests in flight at a target, each once.
    pub fn flying(&self, target: &TargetName) -> impl Iterator<Item = RequestPrint> {
        self.flying
            .get(target)
            .into_iter()
            .flatten()
            .map(|(print, _)| *print)
    }

    /// Takes all that is in flight at a target, when it crashed.
    pub fn take_flying(&mut self, target: &TargetName) -> Vec<RequestPrint> {
        let flying = self.flying.remove(target).unwrap_or_default();
        let mut prints: Vec<RequestPrint> = flying.into_keys().collect();
        prints.sort_unstable();
        prints
    }
}
