//! Acknowledgements, summed up on the way to the readers.
//!
//! A daemon tells its parent one sum for itself and all below it: how many
//! report, how many are at each of the newest versions, and a few that lag.
//! The size of a sum does not depend on the number of daemons in it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use derive_more::Display;
use model::{ConfigVersion, DaemonId, DomainName, ErrorKind};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::message::AgeMillis;
use crate::roster::RosterHash;

/// Results of checking a sum.
pub type Result<T> = model::Result<T>;

/// Versions that a sum tells apart; older ones count for the oldest of them.
pub const MAX_VERSIONS: usize = 4;

/// Daemons that a sum names as lagging.
pub const MAX_LAGGARDS: usize = 4;

/// Silent failure domains that a summary names.
pub const MAX_SILENT_DOMAINS: usize = 8;

/// Children whose sums are kept.
const MAX_CHILDREN: usize = 32;

/// Age at which a child's sum no longer counts.
const SUM_LIFETIME: Duration = Duration::from_secs(7);

/// Why a daemon lags.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum LagReason {
    /// Its parent hears nothing from it.
    #[display("silent")]
    Silent,
    /// It holds no configuration.
    #[display("no configuration")]
    Absent,
    /// It cannot prove that its configuration is current.
    #[display("cut off")]
    CutOff,
    /// The log contradicts what it holds.
    #[display("log diverged")]
    Diverged,
    /// It knows of a newer version and does not hold it yet.
    #[display("behind")]
    Behind,
    /// It holds the version, but its table is not in force.
    #[display("not in force")]
    NotInForce,
    /// Records that it did not read have expired in the log.
    #[display("records expired unread")]
    Gap,
}

/// A daemon that lags.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetLaggard {
    /// The daemon.
    pub daemon: DaemonId,
    /// Why.
    pub reason: LagReason,
    /// Its version in force.
    pub version: ConfigVersion,
    /// For how long, as its witness knows.
    pub age: AgeMillis,
}

/// How many daemons are at a version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionCount {
    /// The version.
    pub version: ConfigVersion,
    /// Daemons at it.
    pub daemons: u32,
}

/// Daemons that lag, the worst first.
pub type LaggardList = SmallVec<[FleetLaggard; 1]>;

/// A few failure domains.
pub type DomainList = SmallVec<[DomainName; 1]>;

/// The sum over a set of daemons.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AckSum {
    /// Daemons at each version, the newest first. Daemons at versions beyond
    /// [`MAX_VERSIONS`] count for the last, whose version is the lowest of all.
    pub versions: SmallVec<[VersionCount; MAX_VERSIONS]>,
    /// Some that lag.
    pub laggards: LaggardList,
}

impl AckSum {
    /// The sum over one daemon.
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

    /// Daemons that report.
    pub fn reporting(&self) -> u32 {
        self.versions.iter().map(|count| count.daemons).sum()
    }

    /// Lowest version in force.
    pub fn lowest(&self) -> Option<ConfigVersion> {
        self.versions.last().map(|count| count.version)
    }

    /// Daemons on which `version` or a newer one is in force; never too many.
    pub fn in_force(&self, version: ConfigVersion) -> u32 {
        self.versions
            .iter()
            .filter(|count| count.version >= version)
            .map(|count| count.daemons)
            .sum()
    }

    /// Adds the sum over other daemons.
    pub fn add(&mut self, other: &Self) {
        for count in &other.versions {
            self.add_count(*count);
        }
        self.fold_oldest();
        for laggard in &other.laggards {
            self.add_laggard(laggard.clone());
        }
    }

    /// Names one more daemon that lags; the worst are kept.
    pub fn add_laggard(&mut self, laggard: FleetLaggard) {
        self.laggards.push(laggard);
        self.laggards
            .sort_by_key(|lag| (lag.version, lag.reason, lag.daemon));
        self.laggards.dedup_by_key(|lag| lag.daemon);
        self.laggards.truncate(MAX_LAGGARDS);
    }

    fn add_count(&mut self, count: VersionCount) {
        let same = |known: &&mut VersionCount| known.version == count.version;
        if let Some(known) = self.versions.iter_mut().find(same) {
            known.daemons = known.daemons.saturating_add(count.daemons);
            return;
        }
        let newer = |known: &VersionCount| known.version > count.version;
        let place = self.versions.iter().filter(|known| newer(known)).count();
        self.versions.insert(place, count);
    }

    /// Counts the versions beyond the bound for the lowest.
    fn fold_oldest(&mut self) {
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

    /// Checks the bounds of what a peer sent.
    pub fn check(&self) -> Result<()> {
        let bounded = self.versions.len() <= MAX_VERSIONS && self.laggards.len() <= MAX_LAGGARDS;
        model::ensure(bounded, ErrorKind::FrameInvalid, "a sum is too long")?;
        let ordered = self
            .versions
            .is_sorted_by(|left, right| left.version > right.version);
        model::ensure(ordered, ErrorKind::FrameInvalid, "a sum is not ordered")
    }
}

/// The fleet, as `quetzal status` and `publish` show it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetSummary {
    /// Daemons that should report.
    pub members: u32,
    /// The sum over those that do.
    pub sum: AckSum,
    /// Failure domains with members of which no reader is heard.
    pub silent_domains: DomainList,
}

impl FleetSummary {
    /// Whether `version` or a newer one is in force on every member.
    pub fn is_in_force_everywhere(&self, version: ConfigVersion) -> bool {
        self.sum.in_force(version) >= self.members
    }

    /// Whether more than the age of a lag differs.
    pub fn differs(&self, other: &Self) -> bool {
        let names = |summary: &Self| {
            let laggards = summary.sum.laggards.iter();
            laggards
                .map(|lag| (lag.daemon, lag.reason))
                .collect::<SmallVec<[_; MAX_LAGGARDS]>>()
        };
        self.members != other.members
            || self.silent_domains != other.silent_domains
            || self.sum.versions != other.sum.versions
            || names(self) != names(other)
    }

    /// Checks the bounds of what a peer sent.
    pub fn check(&self) -> Result<()> {
        let few = self.silent_domains.len() <= MAX_SILENT_DOMAINS;
        model::ensure(few, ErrorKind::FrameInvalid, "too many domains")?;
        self.sum.check()
    }
}

/// One child's last sum.
#[derive(Debug)]
struct ChildSum {
    sum: AckSum,
    view: RosterHash,
    heard_at: Instant,
}

/// Sums of the children in each tree.
#[derive(Debug, Default)]
pub struct AckTable {
    changed: bool,
    sums: BTreeMap<(DaemonId, DaemonId), ChildSum>,
}

impl AckTable {
    /// Something changed that the parents should hear of soon.
    pub fn mark_changed(&mut self) {
        self.changed = true;
    }

    /// Whether something changed that the parents have not heard of.
    pub fn is_changed(&self) -> bool {
        self.changed
    }

    /// The parents hear of everything now.
    pub fn clear_changed(&mut self) {
        self.changed = false;
    }

    /// Takes a child's sum in the tree of `root`.
    pub fn record(
        &mut self,
        root: DaemonId,
        child: DaemonId,
        view: RosterHash,
        sum: AckSum,
        now: Instant,
    ) {
        let key = (root, child);
        if self.sums.len() >= MAX_CHILDREN && !self.sums.contains_key(&key) {
            return;
        }
        let child = ChildSum {
            sum,
            view,
            heard_at: now,
        };
        let last = self.sums.get(&key).map(|last| &last.sum.versions);
        self.changed |= last != Some(&child.sum.versions);
        self.sums.insert(key, child);
    }

    /// Forgets sums that are too old.
    pub fn expire(&mut self, now: Instant) {
        self.sums
            .retain(|_, child| now.saturating_duration_since(child.heard_at) < SUM_LIFETIME);
    }

    /// Adds the sums of `children` in the tree of `root` to `sum`.
    ///
    /// A child that is not heard is named as silent from `since` on. Only sums
    /// over the same members count, since only then is each daemon below one
    /// parent and counted once.
    pub fn add_children(
        &self,
        sum: &mut AckSum,
        root: DaemonId,
        children: &[DaemonId],
        view: RosterHash,
        now: Instant,
        since: Instant,
    ) {
        for child in children {
            match self.sums.get(&(root, *child)) {
                Some(known) if known.view == view => sum.add(&known.sum),
                Some(_) => {}
                None => sum.add_laggard(silent(*child, now, since)),
            }
        }
    }
}

fn silent(daemon: DaemonId, now: Instant, since: Instant) -> FleetLaggard {
    FleetLaggard {
        daemon,
        reason: LagReason::Silent,
        version: ConfigVersion::NONE,
        age: now.saturating_duration_since(since).into(),
    }
}
