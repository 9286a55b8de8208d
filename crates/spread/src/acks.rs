//! Aggregation of acknowledgements along the distribution trees.
//!
//! Each daemon sends its parent one aggregate over its subtree: the number of
//! reporting daemons, how many of them are at each of the newest versions, and
//! a few daemons that lag behind. An aggregate has a bounded size, whatever the
//! number of daemons it covers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use derive_more::Display;
use model::{ConfigVersion, DaemonId, DomainName, ErrorKind};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::message::AgeMillis;
use crate::roster::RosterHash;

/// Result of validating an aggregate.
pub type Result<T> = model::Result<T>;

/// Maximum number of distinct versions in an aggregate; older versions are
/// merged into the oldest one kept.
pub const MAX_VERSIONS: usize = 4;

/// Maximum number of lagging daemons listed in an aggregate.
pub const MAX_LAGGARDS: usize = 4;

/// Maximum number of silent failure domains listed in a summary.
pub const MAX_SILENT_DOMAINS: usize = 8;

/// Maximum number of stored aggregates, one for each child in each tree.
const MAX_CHILDREN: usize = 32;

/// Age after which a child's aggregate is dropped.
const SUM_LIFETIME: Duration = Duration::from_secs(7);

/// Reason why a daemon lags.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum LagReason {
    /// Its parent receives no acknowledgements from it.
    #[display("silent")]
    Silent,
    /// It has no configuration.
    #[display("no configuration")]
    Absent,
    /// It cannot prove that its configuration is current.
    #[display("cut off")]
    CutOff,
    /// The log has diverged from its state.
    #[display("log diverged")]
    Diverged,
    /// It knows of a newer version that it has not received yet.
    #[display("behind")]
    Behind,
    /// It has received the version, but the table built from it is not in force.
    #[display("not in force")]
    NotInForce,
    /// Records expired from the log before it read them.
    #[display("records expired unread")]
    Gap,
}

/// Daemon that lags behind the fleet, and why.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetLaggard {
    /// ID of the lagging daemon.
    pub daemon: DaemonId,
    /// Reason for the lag.
    pub reason: LagReason,
    /// Version in force on the daemon.
    pub version: ConfigVersion,
    /// Duration of the lag, as known to the daemon that reports it; 0 for
    /// [`LagReason::Diverged`] and [`LagReason::Gap`], whose start is not recorded.
    pub age: AgeMillis,
}

/// Number of daemons at a version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionCount {
    /// Version in force on these daemons.
    pub version: ConfigVersion,
    /// Number of daemons at this version.
    pub daemons: u32,
}

/// Lagging daemons, lowest version first.
pub type LaggardList = SmallVec<[FleetLaggard; 1]>;

/// Short list of failure domains.
pub type DomainList = SmallVec<[DomainName; 1]>;

/// Aggregated acknowledgements of a set of daemons.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AckSum {
    /// Number of daemons at each version, newest first. Beyond [`MAX_VERSIONS`]
    /// versions, the last entry counts all older daemons under the lowest version.
    pub versions: SmallVec<[VersionCount; MAX_VERSIONS]>,
    /// Up to [`MAX_LAGGARDS`] lagging daemons.
    pub laggards: LaggardList,
}

impl AckSum {
    /// Returns the aggregate of a single daemon.
    pub fn for_daemon(version: ConfigVersion, laggard: Option<FleetLaggard>) -> Self {
        Self {
            versions: std::iter::once(VersionCount {
                version,
                daemons: 1,
            })
            .collect(),
            laggards: laggard.into_iter().collect(),
        }
    }

    /// Returns the number of reporting daemons.
    pub fn reporting(&self) -> u32 {
        self.versions.iter().map(|count| count.daemons).sum()
    }

    /// Returns the lowest version in force.
    pub fn lowest(&self) -> Option<ConfigVersion> {
        self.versions.last().map(|count| count.version)
    }

    /// Returns the number of daemons on which `version` or a newer one is in force.
    ///
    /// Merged versions may make the result too low, but never too high.
    pub fn in_force(&self, version: ConfigVersion) -> u32 {
        self.versions
            .iter()
            .filter(|count| count.version >= version)
            .map(|count| count.daemons)
            .sum()
    }

    /// Merges the aggregate of a disjoint set of daemons into this one.
    pub fn add(&mut self, other: &Self) {
        for count in &other.versions {
            self.add_count(*count);
        }
        self.merge_oldest();
        for laggard in &other.laggards {
            self.add_laggard(laggard.clone());
        }
    }

    /// Adds a lagging daemon, keeping those at the lowest versions if there are too many.
    pub fn add_laggard(&mut self, laggard: FleetLaggard) {
        self.laggards.push(laggard);
        self.laggards
            .sort_by_key(|lag| (lag.version, lag.reason, lag.daemon));
        self.laggards.dedup_by_key(|lag| lag.daemon);
        self.laggards.truncate(MAX_LAGGARDS);
    }

    fn add_count(&mut self, count: VersionCount) {
        let is_same = |known: &&mut VersionCount| known.version == count.version;
        if let Some(known) = self.versions.iter_mut().find(is_same) {
            known.daemons = known.daemons.saturating_add(count.daemons);
            return;
        }
        let is_newer = |known: &VersionCount| known.version > count.version;
        let index = self.versions.iter().filter(|known| is_newer(known)).count();
        self.versions.insert(index, count);
    }

    /// Merges the oldest versions until at most [`MAX_VERSIONS`] are left.
    fn merge_oldest(&mut self) {
        while self.versions.len() > MAX_VERSIONS {
            let Some(lowest) = self.versions.pop() else {
                return;
            };
            if let Some(last) = self.versions.last_mut() {
                last.daemons = last.daemons.saturating_add(lowest.daemons);
                last.version = lowest.version;
            }
        }
    }

    /// Validates an aggregate received from a peer.
    ///
    /// Kinds: `FrameInvalid`.
    pub fn check(&self) -> Result<()> {
        let bounded = self.versions.len() <= MAX_VERSIONS && self.laggards.len() <= MAX_LAGGARDS;
        model::ensure(
            bounded,
            ErrorKind::FrameInvalid,
            "too many versions or lagging daemons in an acknowledgement",
        )?;
        let ordered = self
            .versions
            .is_sorted_by(|left, right| left.version > right.version);
        model::ensure(
            ordered,
            ErrorKind::FrameInvalid,
            "versions in an acknowledgement are not in descending order",
        )
    }
}

/// State of the fleet as displayed by `quetzal status` and `publish`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetSummary {
    /// Number of members, all of which are expected to report.
    pub members: u32,
    /// Aggregate over the members that report.
    pub sum: AckSum,
    /// Failure domains that have members but no reader that reports.
    pub silent_domains: DomainList,
}

impl FleetSummary {
    /// Returns whether `version` or a newer one is in force on every member.
    pub fn is_in_force_everywhere(&self, version: ConfigVersion) -> bool {
        self.sum.in_force(version) >= self.members
    }

    /// Returns whether the summaries differ in more than the ages and versions of laggards.
    pub fn differs(&self, other: &Self) -> bool {
        let lag_reasons = |summary: &Self| {
            let laggards = summary.sum.laggards.iter();
            laggards
                .map(|lag| (lag.daemon, lag.reason))
                .collect::<SmallVec<[_; MAX_LAGGARDS]>>()
        };
        self.members != other.members
            || self.silent_domains != other.silent_domains
            || self.sum.versions != other.sum.versions
            || lag_reasons(self) != lag_reasons(other)
    }

    /// Validates a summary received from a peer.
    ///
    /// Kinds: `FrameInvalid`.
    pub fn check(&self) -> Result<()> {
        let bounded = self.silent_domains.len() <= MAX_SILENT_DOMAINS;
        model::ensure(bounded, ErrorKind::FrameInvalid, "too many silent domains")?;
        self.sum.check()
    }
}

/// Last aggregate received from a child.
#[derive(Debug)]
struct ChildSum {
    sum: AckSum,
    roster_hash: RosterHash,
    received_at: Instant,
}

/// Aggregates received from the children in each tree, by root and child.
#[derive(Debug, Default)]
pub struct AckTable {
    changed: bool,
    sums: BTreeMap<(DaemonId, DaemonId), ChildSum>,
}

impl AckTable {
    /// Marks that something changed which should be sent to the parents soon.
    pub fn mark_changed(&mut self) {
        self.changed = true;
    }

    /// Returns whether a change has not been sent to the parents yet.
    pub fn is_changed(&self) -> bool {
        self.changed
    }

    /// Clears the change mark after everything was sent to the parents.
    pub fn clear_changed(&mut self) {
        self.changed = false;
    }

    /// Stores the aggregate that `child` sent in the tree of `root`.
    pub fn record(
        &mut self,
        root: DaemonId,
        child: DaemonId,
        roster_hash: RosterHash,
        sum: AckSum,
        now: Instant,
    ) {
        let key = (root, child);
        if self.sums.len() >= MAX_CHILDREN && !self.sums.contains_key(&key) {
            return;
        }
        let child = ChildSum {
            sum,
            roster_hash,
            received_at: now,
        };
        let last = self.sums.get(&key).map(|last| &last.sum.versions);
        self.changed |= last != Some(&child.sum.versions);
        self.sums.insert(key, child);
    }

    /// Drops outdated aggregates.
    pub fn expire(&mut self, now: Instant) {
        self.sums
            .retain(|_, child| now.saturating_duration_since(child.received_at) < SUM_LIFETIME);
    }

    /// Merges the aggregates of `children` in the tree of `root` into `sum`.
    ///
    /// A child without a recent aggregate is listed as silent; `since` is the time
    /// from which the age of that lag counts.
    /// Aggregates computed from another list of members are skipped: only if the
    /// lists are equal does each daemon have exactly one parent, which counts it once.
    pub fn add_children(
        &self,
        sum: &mut AckSum,
        root: DaemonId,
        children: &[DaemonId],
        roster_hash: RosterHash,
        now: Instant,
        since: Instant,
    ) {
        for child in children {
            match self.sums.get(&(root, *child)) {
                Some(known) if known.roster_hash == roster_hash => sum.add(&known.sum),
                Some(_) => {}
                None => sum.add_laggard(silent_laggard(*child, now, since)),
            }
        }
    }
}

fn silent_laggard(daemon: DaemonId, now: Instant, since: Instant) -> FleetLaggard {
    FleetLaggard {
        daemon,
        reason: LagReason::Silent,
        version: ConfigVersion::NONE,
        age: now.saturating_duration_since(since).into(),
    }
}
