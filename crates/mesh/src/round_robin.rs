//! Smooth weighted round robin over the destinations of a route.
//!
//! Each step adds every destination's weight to its credit and selects the
//! destination with the highest credit, from which the sum of the weights is
//! then subtracted. After any number of requests each destination is within
//! about one request of its share, so no long run of requests deviates from the
//! weights.

use model::ServiceName;
use smallvec::SmallVec;

use crate::config::Destination;

/// Round-robin state of one route.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    weights: SmallVec<[u32; 2]>,
    credits: SmallVec<[i64; 2]>,
}

impl WeightedRoundRobin {
    /// Selects the destination of the next request; starts over if the weights changed.
    ///
    /// Returns `None` if there are no destinations.
    pub fn next<'a>(&mut self, destinations: &'a [Destination]) -> Option<&'a ServiceName> {
        if let [only] = destinations {
            return Some(&only.service);
        }
        let weights: SmallVec<[u32; 2]> = destinations
            .iter()
            .map(|destination| destination.weight)
            .collect();
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
