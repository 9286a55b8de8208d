//! Determines which daemons read the configuration from the store and how it
//! spreads to the others.
//!
//! In each failure domain one daemon, the reader, reads the store. The others
//! receive the configuration through a tree of the domain's daemons. All
//! daemons sort the members of a domain in the same way, so no election is
//! needed: the first one is the reader, and each other one has one parent. If
//! two daemons briefly disagree about the members, the cost is a second reader
//! or a query to a daemon that is not the parent.
//!
//! New versions are announced down the tree at once, and readers announce them
//! to each other, so a domain whose reader has lost the store still receives
//! them. In addition, each follower regularly asks its parent how old the
//! parent's knowledge is, and reads the store itself if that is too old or the
//! parent does not answer.

use std::time::{Duration, Instant};

use model::{DaemonId, DomainName};
use smallvec::SmallVec;

/// Maximum number of children of a daemon. In a domain of 17 daemons all are within two hops of
/// the reader, in one of 150 within three.
const FANOUT: usize = 8;
/// Maximum age of a source's knowledge, as a fraction of the time within which a
/// configuration must be in force. The rest is for a read of the store. A reader's
/// knowledge is renewed every 0.6 s, and each level of the tree adds up to 0.5 s.
const SOURCE_AGE_FRACTION: f32 = 0.8;

/// Pause of a follower after its first failed read of the store.
const FIRST_BACKOFF: Duration = Duration::from_millis(500);
/// Factor by which the pause grows with each failed read.
const BACKOFF_FACTOR: f32 = 2.5;
/// Maximum pause; readers notice the store's return and tell all others.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Returns the age of a source's knowledge above which a follower asks elsewhere, if a
/// configuration must be in force within `bound`.
pub fn max_source_age(bound: Duration) -> Duration {
    bound.mul_f32(SOURCE_AGE_FRACTION)
}

/// A daemon as a member of the tree.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TreeMember {
    /// Id of the daemon.
    pub id: DaemonId,
    /// Failure domain of the daemon.
    pub domain: DomainName,
}

/// Position of one daemon in the tree of its domain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TreePosition {
    /// Daemon to query for the configuration; `None` for a reader of the store.
    pub parent: Option<DaemonId>,
    /// Daemons to notify of new versions: the children, then the readers of other domains.
    pub receivers: SmallVec<[DaemonId; 12]>,
    /// Readers of the other domains; empty for a follower.
    pub readers: SmallVec<[DaemonId; 4]>,
}

impl TreePosition {
    /// Computes the position of `own`, where `others` are all other live daemons.
    pub fn new(own: &TreeMember, others: &[TreeMember]) -> Self {
        let mut members: Vec<DaemonId> = others
            .iter()
            .filter(|member| member.domain == own.domain)
            .map(|member| member.id)
            .collect();
        members.push(own.id);
        members.sort_unstable();
        let index = members.iter().position(|id| *id == own.id).unwrap_or(0);
        let first_child = index * FANOUT + 1;
        let children = members.iter().skip(first_child).take(FANOUT);
        let mut receivers: SmallVec<[DaemonId; 12]> = children.copied().collect();
        let mut readers = SmallVec::new();
        if index == 0 {
            readers.extend(other_readers(own, others));
            receivers.extend(readers.iter().copied());
        }
        Self {
            parent: index
                .checked_sub(1)
                .map(|previous| members[previous / FANOUT]),
            receivers,
            readers,
        }
    }

    /// Returns the daemons whose parent this one is.
    pub fn children(&self) -> &[DaemonId] {
        &self.receivers[..self.receivers.len() - self.readers.len()]
    }

    /// Returns whether the daemon reads the store.
    pub fn is_reader(&self) -> bool {
        self.parent.is_none()
    }
}

/// Returns the readers of all other domains.
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

/// Exponential backoff for reads of the store by a follower without a trusted source.
///
/// During an outage everyone's knowledge becomes too old at the same time, so
/// without a backoff the whole fleet would query a store that does not answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreBackoff {
    failures: i32,
    until: Option<Instant>,
}

impl StoreBackoff {
    /// Returns whether the store may be read again.
    pub fn is_over(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// Resets the backoff after a successful read.
    pub fn on_answered(&mut self) {
        *self = Self::default();
    }

    /// Extends the backoff after a failed read; `jitter` is a random number from 0 to 1.
    pub fn on_failed(&mut self, now: Instant, jitter: f32) {
        let pause = FIRST_BACKOFF.mul_f32(BACKOFF_FACTOR.powi(self.failures));
        self.failures = (self.failures + 1).min(8);
        self.until = Some(now + pause.min(MAX_BACKOFF).mul_f32(0.5 + jitter));
    }
}
