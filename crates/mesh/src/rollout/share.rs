//! The shares of all rollouts that a daemon knows of.

use std::collections::HashMap;
use std::time::Duration;

use model::{DaemonId, LogOffset, ServiceName, TargetVersion};
use serde::{Deserialize, Serialize};

use crate::era::StoreEra;
use crate::rollout::RolloutState;

/// Age from which a daemon sends nothing to an undecided version.
pub const MAX_SHARE_AGE: Duration = Duration::from_secs(2);
/// Maximum number of services with a rollout; orders of further ones are ignored.
pub const MAX_ROLLOUTS: usize = 64;

/// Order among the statements about one service: later orders first, then later holders of the lease,
/// then later statements of one holder.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ShareStamp {
    /// Era of the store.
    pub era: Option<StoreEra>,
    /// Offset of the order.
    pub order: LogOffset,
    /// Offset of the status record under which the decider holds the lease.
    pub lease: LogOffset,
    /// Number of the statement under this record.
    pub number: u32,
}

/// Share of a new version, as stated by the deciding daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RolloutShare {
    /// The service.
    pub service: ServiceName,
    /// The new version.
    pub version: TargetVersion,
    /// Order among statements.
    pub stamp: ShareStamp,
    /// The deciding daemon, which collects the counts.
    pub decider: DaemonId,
    /// State.
    pub state: RolloutState,
    /// Share of the requests, from 0 to 1.
    pub share: f32,
    /// Number of targets of the new version that get requests.
    pub targets: u32,
    /// Time since the decider stated it.
    pub age: Duration,
}

/// The newest statement about each service.
#[derive(Debug, Default)]
pub struct RolloutShares {
    /// Statements, with the time since boot at which they were made.
    known: HashMap<ServiceName, (RolloutShare, Duration)>,
}

impl RolloutShares {
    /// Applies a statement that was received, or asked for, at `at`. Returns whether what it says
    /// differs from before, other than in its age.
    pub fn apply(&mut self, share: RolloutShare, at: Duration) -> bool {
        let is_full = self.known.len() >= MAX_ROLLOUTS;
        let made_at = at.saturating_sub(share.age);
        let Some((known, known_at)) = self.known.get_mut(&share.service) else {
            if !is_full {
                self.known.insert(share.service.clone(), (share, made_at));
            }
            return !is_full;
        };
        if share.stamp < known.stamp || Self::is_final_for(known, &share) {
            return false;
        }
        if share.stamp == known.stamp {
            *known_at = made_at.max(*known_at);
            return false;
        }
        let changed = share.state != known.state
            || share.version != known.version
            || (share.share - known.share).abs() > f32::EPSILON
            || share.targets != known.targets;
        (*known, *known_at) = (share, made_at);
        changed
    }

    /// Returns whether `known` ended the rollout that `share` says still runs.
    fn is_final_for(known: &RolloutShare, share: &RolloutShare) -> bool {
        let same = known.stamp.order == share.stamp.order && known.stamp.era == share.stamp.era;
        same && known.state != RolloutState::Running && share.state == RolloutState::Running
    }

    /// Returns all statements with their ages at `now`.
    pub fn statements(&self, now: Duration) -> Vec<RolloutShare> {
        let known = self.known.values();
        known
            .map(|(share, made_at)| RolloutShare {
                age: now.saturating_sub(*made_at),
                ..share.clone()
            })
            .collect()
    }

    /// Returns the statement about `service`.
    pub fn get(&self, service: &ServiceName) -> Option<&RolloutShare> {
        self.known.get(service).map(|(share, _)| share)
    }
}
