//! Division of a service's calls between two versions of its targets.
//!
//! While a rollout is undecided, the new version gets a fixed share of the calls, on
//! a fixed number of its targets, so that each of them is loaded as a target of the
//! old version is. A share that was not confirmed recently counts as zero. Calls
//! that are due to the new version may go to the old one if no target of the new
//! version takes them, but not the other way round.

use std::time::{Duration, Instant};

use model::TargetVersion;
use smallvec::{SmallVec, smallvec};

use crate::candidate::Candidate;
use crate::service::ServiceTargets;

/// Time for which a version gets no calls after its first target has started beside targets of another
/// version. A daemon learns of a rollout within two seconds.
const HOLD_TIME: Duration = Duration::from_secs(5);

/// How the calls of a service are divided between a new version of its targets and the others.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionSplit {
    /// The new version.
    pub version: TargetVersion,
    /// Share of the calls that the new version gets, from 0 to 1.
    pub share: f32,
    /// Number of targets of the new version that get calls.
    pub targets: u32,
    /// Time from which the new version gets nothing; none if the split stays in force.
    pub fresh_until: Option<Instant>,
}

impl VersionSplit {
    fn share_at(&self, now: Instant) -> f32 {
        match self.fresh_until {
            Some(until) if now >= until => 0.0,
            Some(_) | None => self.share,
        }
    }
}

/// A version and the earliest start of its targets.
#[derive(Clone, Debug)]
pub(crate) struct VersionStart {
    version: TargetVersion,
    since: Instant,
}

/// Versions of which a pick accepts targets.
#[derive(Clone, Copy, Debug)]
pub(crate) enum VersionFilter<'a> {
    /// All targets.
    Any,
    /// The first targets of one version.
    Only {
        version: &'a TargetVersion,
        targets: u32,
    },
    /// All known versions but one.
    Except(&'a TargetVersion),
}

impl VersionFilter<'_> {
    pub(crate) fn accepts(&self, candidate: &Candidate) -> bool {
        let known = candidate.view.version.as_ref();
        match *self {
            Self::Any => true,
            Self::Only { version, targets } => {
                known == Some(version) && candidate.version_rank < targets
            }
            // The version of a target whose daemon has restarted is unknown until its next report; it
            // may be the new one.
            Self::Except(version) => known.is_some_and(|known| known != version),
        }
    }
}

/// Returns the filters to try in order; `draw` is a random number from 0 to 1.
///
/// Without a split, the last of `versions` is held back while it is new; the list is empty where
/// versions are not held back.
pub(crate) fn version_filters<'a>(
    split: Option<&'a VersionSplit>,
    versions: &'a [VersionStart],
    draw: f32,
    now: Instant,
) -> SmallVec<[VersionFilter<'a>; 2]> {
    if let Some(split) = split {
        let new = VersionFilter::Only {
            version: &split.version,
            targets: split.targets,
        };
        let old = VersionFilter::Except(&split.version);
        return if split.share >= 1.0 && split.fresh_until.is_none() {
            // Decided: any other target is better than none.
            smallvec![new, VersionFilter::Any]
        } else if draw < split.share_at(now) {
            smallvec![new, old]
        } else {
            smallvec![old]
        };
    }
    if let [first, .., last] = versions
        && now.saturating_duration_since(last.since) < HOLD_TIME
    {
        let first = VersionFilter::Only {
            version: &first.version,
            targets: u32::MAX,
        };
        // Targets may be replaced by a new version without a rollout.
        return smallvec![first, VersionFilter::Any];
    }
    smallvec![VersionFilter::Any]
}

/// Records the versions of the targets and the position of each target within its version.
pub(crate) fn rank_versions(targets: &mut ServiceTargets) {
    let mut versions: SmallVec<[VersionStart; 2]> = SmallVec::new();
    for candidate in &targets.candidates {
        let Some(version) = &candidate.view.version else {
            continue;
        };
        let since = candidate.view.since;
        match versions.iter_mut().find(|known| known.version == *version) {
            Some(known) => known.since = known.since.min(since),
            None => versions.push(VersionStart {
                version: version.clone(),
                since,
            }),
        }
    }
    versions.sort_by_key(|known| known.since);
    if versions.len() > 1 {
        for known in &versions {
            let mut same: Vec<&mut Candidate> = targets
                .candidates
                .iter_mut()
                .filter(|candidate| candidate.view.version.as_ref() == Some(&known.version))
                .collect();
            same.sort_unstable_by_key(|candidate| candidate.view.daemon);
            for (candidate, rank) in same.into_iter().zip(0..) {
                candidate.version_rank = rank;
            }
        }
    } else {
        let all = targets.candidates.iter_mut();
        all.for_each(|candidate| candidate.version_rank = 0);
    }
    targets.versions = versions;
}
