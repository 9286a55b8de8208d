//! Who reads the configuration from the store, and who hears it from whom.
//!
//! In each failure domain one daemon reads the store; the others hear from it
//! through a tree of the domain's daemons. All daemons order the members of a
//! domain alike, so no election is needed: the first one reads, and each
//! other has one parent. Views that differ for a moment cost a second reader
//! or a question to a daemon that is not the parent, and no more.
//!
//! News are told down the tree at once, and the readers tell one another, so
//! one reader that has lost the store costs its domain nothing. Besides, each
//! follower asks its parent regularly how old the parent's knowledge is, and
//! reads the store itself when that is too old or there is no answer.

use std::time::{Duration, Instant};

use model::{DaemonId, DomainName};
use smallvec::SmallVec;

/// Children of one daemon in the tree of its domain: 17 daemons are two levels deep, 150 three.
const FANOUT: usize = 8;
/// Part of the time within which a configuration must be in force that a source's
/// knowledge may be old. The rest is for a read of the store; a reader's knowledge is
/// renewed each 0.6 s and each level of the tree adds up to 0.5 s.
const SOURCE_AGE_PART: f32 = 0.8;

/// Pause after the first read of the store that failed, of a daemon that follows others.
const FIRST_BACKOFF: Duration = Duration::from_millis(500);
/// Factor from one such pause to the next.
const BACKOFF_FACTOR: f32 = 2.5;
/// Longest such pause: the readers notice the store's return and tell all others.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Age of a source's knowledge above which a follower asks elsewhere, where a
/// configuration must be in force within `bound`.
pub fn max_source_age(bound: Duration) -> Duration {
    bound.mul_f32(SOURCE_AGE_PART)
}

/// Another daemon, as far as the order matters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TreeMember {
    /// The daemon.
    pub id: DaemonId,
    /// Its failure domain.
    pub domain: DomainName,
}

/// One daemon's place.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TreePosition {
    /// Whom it asks; none if it reads the store.
    pub parent: Option<DaemonId>,
    /// Whom it tells of news.
    pub receivers: SmallVec<[DaemonId; 12]>,
}

impl TreePosition {
    /// The place of `own` among itself and `others`, who are alive.
    pub fn new(own: &TreeMember, others: &[TreeMember]) -> Self {
        let mut mates: Vec<DaemonId> = others
            .iter()
            .filter(|member| member.domain == own.domain)
            .map(|member| member.id)
            .collect();
        mates.push(own.id);
        mates.sort_unstable();
        let place = mates.iter().position(|id| *id == own.id).unwrap_or(0);
        let first_child = place * FANOUT + 1;
        let children = mates.iter().skip(first_child).take(FANOUT);
        let mut receivers: SmallVec<[DaemonId; 12]> = children.copied().collect();
        if place == 0 {
            receivers.extend(other_readers(own, others));
        }
        Self {
            parent: place.checked_sub(1).map(|before| mates[before / FANOUT]),
            receivers,
        }
    }

    /// Whether the daemon reads the store.
    pub fn is_reader(&self) -> bool {
        self.parent.is_none()
    }
}

/// The first daemon of each other domain.
fn other_readers(own: &TreeMember, others: &[TreeMember]) -> Vec<DaemonId> {
    let mut domains: Vec<&DomainName> = others.iter().map(|member| &member.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    domains
        .into_iter()
        .filter(|domain| **domain != own.domain)
        .filter_map(|domain| {
            let members = others.iter().filter(|member| member.domain == *domain);
            members.map(|member| member.id).min()
        })
        .collect()
}

/// When a follower that trusts no source may read the store again.
///
/// In an outage all knowledge is old at once, so the whole fleet would ask a
/// store that answers none of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreBackoff {
    failed: i32,
    until: Option<Instant>,
}

impl StoreBackoff {
    /// Whether a read is due.
    pub fn is_over(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// Notes that the store answered.
    pub fn on_answered(&mut self) {
        *self = Self::default();
    }

    /// Notes that it did not; `draw` is a random number from 0 to 1.
    pub fn on_failed(&mut self, now: Instant, draw: f32) {
        let pause = FIRST_BACKOFF.mul_f32(BACKOFF_FACTOR.powi(self.failed));
        self.failed = (self.failed + 1).min(8);
        self.until = Some(now + pause.min(MAX_BACKOFF).mul_f32(0.5 + draw));
    }
}
