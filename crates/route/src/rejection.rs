//! Whether requests may be rejected by busy targets.
//!
//! A request that would have to wait at a target may be rejected there and sent to another
//! one. While all targets are busy this costs messages and helps nobody, so requests are made
//! rejectable less often the more attempts find their target busy.

use std::sync::Arc;
use std::time::Duration;

use model::DaemonId;
use smallvec::SmallVec;

use crate::target::TargetView;

/// Weight of the latest attempt in the share of attempts that find their target busy. All attempts
/// count, so few requests are needed to notice the end of an overload.
const BUSY_WEIGHT: f32 = 0.1;
/// Share of busy targets from which fewer requests are made rejectable. A rejection costs a small
/// fraction of a run, so it pays even if few of them find a free slot.
const MAX_BUSY_SHARE: f32 = 0.9;
/// Longest wait of a request that counts as started at once.
pub(crate) const MAX_IMMEDIATE_WAIT: Duration = Duration::from_millis(1);

/// Targets that rejected one request as busy; all are in one failure domain.
#[derive(Clone, Debug, Default)]
pub struct BusyTargets {
    /// Latest target that rejected the request.
    pub(crate) latest: Option<Arc<TargetView>>,
    /// Daemons beside these targets.
    pub(crate) daemons: SmallVec<[DaemonId; 4]>,
}

impl BusyTargets {
    /// Records a rejection.
    pub fn push(&mut self, view: &Arc<TargetView>) {
        self.daemons.push(view.daemon);
        self.latest = Some(Arc::clone(view));
    }

    /// Returns whether no target has rejected the request.
    pub fn is_empty(&self) -> bool {
        self.daemons.is_empty()
    }
}

/// Recent share of attempts that found their target busy, whether they waited or were rejected.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BusyShare(f32);

impl BusyShare {
    /// Records an attempt.
    pub(crate) fn record(&mut self, busy: bool) {
        let sample = if busy { 1.0 } else { 0.0 };
        self.0 += (sample - self.0) * BUSY_WEIGHT;
    }

    /// Returns whether the next request may be rejected; `draw` is a random number from 0 to 1.
    pub(crate) fn allows_rejection(self, draw: f32) -> bool {
        draw * (1.0 - MAX_BUSY_SHARE) < 1.0 - self.0
    }
}
