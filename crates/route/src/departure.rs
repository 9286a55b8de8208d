//! Targets that have said that they are leaving.
//!
//! A target that leaves is not announced any more. The daemon beside it may
//! restart meanwhile, forget that, and announce it again. Proxies that were told
//! remember it themselves, until the target is started anew.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::{DaemonId, TargetName};
use smallvec::SmallVec;

use crate::target::TargetView;

/// Time for which a departure is remembered; targets end well before that.
const MEMORY: Duration = Duration::from_secs(600);

#[derive(Debug)]
struct Departure {
    target: TargetName,
    /// When the target said that it leaves.
    at: Instant,
}

/// Targets that are leaving, by the daemon beside them.
#[derive(Debug, Default)]
pub(crate) struct DepartureLog {
    departures: HashMap<DaemonId, SmallVec<[Departure; 1]>>,
}

impl DepartureLog {
    /// Records that the target of `view` has said that it leaves.
    pub(crate) fn record(&mut self, view: &TargetView, now: Instant) {
        if self.contains(view) {
            return;
        }
        self.departures.retain(|_, departures| {
            departures.retain(|known| now.saturating_duration_since(known.at) < MEMORY);
            !departures.is_empty()
        });
        let departures = self.departures.entry(view.daemon).or_default();
        departures.retain(|known| known.target != view.target);
        departures.push(Departure {
            target: view.target.clone(),
            at: now,
        });
    }

    /// Returns whether the target of `view` is leaving and has not been started anew since.
    pub(crate) fn contains(&self, view: &TargetView) -> bool {
        let departures = self.departures.get(&view.daemon);
        let mut departures = departures.into_iter().flatten();
        departures.any(|known| known.target == view.target && view.since <= known.at)
    }
}
