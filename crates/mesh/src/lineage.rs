//! Which requests were made by a request that runs at the target beside the daemon.
//!
//! Callers and the target use the same address, so a connection does not tell
//! them apart. A target gives the requests that it makes ids that begin with
//! the id of the request for which it makes them, followed by a point. Only
//! ids of requests that run here now count, so a caller can't claim a parent;
//! where targets choose other ids, every request counts as a caller's.

use std::collections::HashMap;

use model::ServiceName;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::config::CallPriority;

/// Separates the id of a parent from the rest.
const SEPARATOR: char = '.';

/// Services that one run has called.
pub type CalledServices = SmallVec<[ServiceName; 2]>;

/// How the calls of a run ended, the worst of them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum NestedCallOutcome {
    /// All ran, or it made none.
    #[default]
    Ran,
    /// A target refused one, whatever the load.
    Shed,
    /// One found no room.
    NoRoom,
}

/// What a run passes on to the calls that it makes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunOrigin {
    /// Rank of the first request of the chain.
    pub priority: CallPriority,
    /// Whether the run repeats one that reached a target before.
    pub repeat: bool,
}

/// The requests that run at the target beside the daemon.
#[derive(Debug, Default)]
pub struct RunLineage {
    running: HashMap<Box<str>, RunEntry>,
}

#[derive(Clone, Debug)]
struct RunEntry {
    origin: RunOrigin,
    /// Services that it has called.
    called: CalledServices,
    /// How they ended.
    calls: NestedCallOutcome,
    /// Runs under this id, which a caller may have sent twice.
    count: u32,
}

impl RunLineage {
    /// Notes that `request` begins to run.
    pub fn begin(&mut self, request: &str, origin: RunOrigin) {
        let entry = self.running.entry(request.into()).or_insert(RunEntry {
            origin,
            called: CalledServices::new(),
            calls: NestedCallOutcome::Ran,
            count: 0,
        });
        entry.count += 1;
    }

    /// Services that `request` has called so far, and how the calls ended.
    pub fn calls(&self, request: &str) -> (CalledServices, NestedCallOutcome) {
        let entry = self.running.get(request);
        entry
            .map(|entry| (entry.called.clone(), entry.calls))
            .unwrap_or_default()
    }

    /// Notes how `request`, made by a running one, ended.
    pub fn record_outcome(&mut self, request: &str, end: NestedCallOutcome) {
        let parent = request.rsplit_once(SEPARATOR).map(|(parent, _)| parent);
        if let Some(entry) = parent.and_then(|parent| self.running.get_mut(parent)) {
            entry.calls = entry.calls.max(end);
        }
    }

    /// Notes that `request` has ended.
    pub fn end(&mut self, request: &str) {
        let Some(entry) = self.running.get_mut(request) else {
            return;
        };
        entry.count -= 1;
        if entry.count == 0 {
            self.running.remove(request);
        }
    }

    /// The origin of the run that made `request` to call `service`; none if no run did.
    pub fn record_call(&mut self, request: &str, service: &ServiceName) -> Option<RunOrigin> {
        let (parent, _) = request.rsplit_once(SEPARATOR)?;
        let entry = self.running.get_mut(parent)?;
        if !entry.called.contains(service) {
            entry.called.push(service.clone());
        }
        Some(entry.origin)
    }
}
