//! Requests in flight at one target, and those that lately ran to their end.

use std::collections::{HashMap, HashSet, VecDeque};

use crate::print::RequestPrint;

/// Finished requests that are remembered as innocent.
const MAX_FINISHED: usize = 2048;

/// What runs and ran at one target.
#[derive(Debug, Default)]
pub struct FlightTable {
    flying: HashMap<RequestPrint, u32>,
    finished: HashSet<RequestPrint>,
    order: VecDeque<RequestPrint>,
}

impl FlightTable {
    /// A request goes to the target.
    pub fn start(&mut self, print: RequestPrint) {
        *self.flying.entry(print).or_default() += 1;
    }

    /// A request left the target, whether answered or not.
    pub fn leave(&mut self, print: RequestPrint) {
        if let Some(count) = self.flying.get_mut(&print) {
            *count -= 1;
            if *count == 0 {
                self.flying.remove(&print);
            }
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

    /// The requests in flight, each once.
    pub fn flying(&self) -> impl Iterator<Item = RequestPrint> {
        self.flying.keys().copied()
    }

    /// Whether nothing is in flight.
    pub fn is_idle(&self) -> bool {
        self.flying.is_empty()
    }

    /// Takes all that is in flight, when the target crashed.
    pub fn take_flying(&mut self) -> Vec<RequestPrint> {
        let mut prints: Vec<RequestPrint> = self.flying.drain().map(|(print, _)| print).collect();
        prints.sort_unstable();
        prints
    }
}
