//! Tracks the requests running at the local target and the nested calls they make.
//!
//! Callers and the target connect to the same address, so a connection does not
//! tell them apart. A target prefixes the id of each request that it makes with
//! the id of the request on whose behalf it makes it, followed by a point. Only
//! ids of requests that are running here count as parents, so a caller cannot
//! claim one. If a target chooses other ids, all its requests count as requests
//! of callers.

use std::collections::HashMap;

use model::ServiceName;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::config::CallPriority;

/// Separator between the id of the parent and the rest of a request id.
const SEPARATOR: char = '.';

/// Services called by one run.
pub type CalledServices = SmallVec<[ServiceName; 2]>;

/// Outcome of a run's nested calls, ordered from best to worst.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum NestedCallOutcome {
    /// All calls ran, or there were none.
    #[default]
    Ran,
    /// A target itself refused a call, regardless of load.
    Shed,
    /// A call was refused for lack of capacity.
    NoRoom,
}

/// Properties that a run passes on to its nested calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunOrigin {
    /// Priority of the first request of the call chain.
    pub priority: CallPriority,
    /// Whether the run repeats a request that reached a target before.
    pub repeat: bool,
}

/// Requests running at the target beside the daemon.
#[derive(Debug, Default)]
pub struct RunLineage {
    running: HashMap<Box<str>, RunEntry>,
}

#[derive(Clone, Debug)]
struct RunEntry {
    origin: RunOrigin,
    called: CalledServices,
    /// Worst outcome of the nested calls so far.
    worst_outcome: NestedCallOutcome,
    /// Number of runs with this id; more than one if a caller sent the request twice.
    count: u32,
}

impl RunLineage {
    /// Records that `request` starts to run.
    pub fn begin(&mut self, request: &str, origin: RunOrigin) {
        let entry = self.running.entry(request.into()).or_insert(RunEntry {
            origin,
            called: CalledServices::new(),
            worst_outcome: NestedCallOutcome::Ran,
            count: 0,
        });
        entry.count += 1;
    }

    /// Returns whether the form of the id `request` is that of a nested call.
    pub fn has_parent(request: &str) -> bool {
        request.contains(SEPARATOR)
    }

    /// Returns the services that `request` has called so far and the worst outcome of the calls.
    pub fn calls(&self, request: &str) -> (CalledServices, NestedCallOutcome) {
        let entry = self.running.get(request);
        entry
            .map(|entry| (entry.called.clone(), entry.worst_outcome))
            .unwrap_or_default()
    }

    /// Records the outcome of `request` for the run that made it, if any.
    pub fn record_outcome(&mut self, request: &str, outcome: NestedCallOutcome) {
        let parent = request.rsplit_once(SEPARATOR).map(|(parent, _)| parent);
        if let Some(entry) = parent.and_then(|parent| self.running.get_mut(parent)) {
            entry.worst_outcome = entry.worst_outcome.max(outcome);
        }
    }

    /// Records that one run of `request` has ended.
    pub fn end(&mut self, request: &str) {
        let Some(entry) = self.running.get_mut(request) else {
            return;
        };
        entry.count -= 1;
        if entry.count == 0 {
            self.running.remove(request);
        }
    }

    /// Records that `request` calls `service`.
    ///
    /// Returns the origin of the run that made the request, or `None` if no run did.
    pub fn record_call(&mut self, request: &str, service: &ServiceName) -> Option<RunOrigin> {
        let (parent, _) = request.rsplit_once(SEPARATOR)?;
        let entry = self.running.get_mut(parent)?;
        if !entry.called.contains(service) {
            entry.called.push(service.clone());
        }
        Some(entry.origin)
    }
}
