//! Even distribution of requests by weight.
//!
//! Each turn raises every destination by its weight and takes the highest,
//! which then falls by the sum. After any number of turns each destination is
//! within one request of its share, so no long run strays from the weights.

use model::ServiceName;
use smallvec::SmallVec;

use crate::config::Destination;

/// Whose turn it is among the destinations of one route.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    weights: SmallVec<[u32; 2]>,
    credits: SmallVec<[i64; 2]>,
}

impl WeightedRoundRobin {
    /// The destination of the next request; starts anew when the weights change.
    ///
    /// Nothing is returned for an empty list.
    pub fn next<'a>(&mut self, destinations: &'a [Destination]) -> Option<&'a ServiceName> {
        if let [only] = destinations {
            return Some(&only.service);
        }
        let weights: SmallVec<[u32; 2]> = destinations.iter().map(|part| part.weight).collect();
        if weights != self.weights {
            self.credits = weights.iter().map(|_| 0).collect();
            self.weights = weights;
        }
        let total: i64 = self.weights.iter().map(|weight| i64::from(*weight)).sum();
        for (credit, weight) in self.credits.iter_mut().zip(&self.weights) {
            *credit += i64::from(*weight);
        }
        let best = (0..self.credits.len()).max_by_key(|&index| self.credits[index])?;
        self.credits[best] -= total;
        Some(&destinations[best].service)
    }
}
