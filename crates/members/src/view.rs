//! Membership as the rest of the daemon sees it.

use std::net::SocketAddr;
use std::time::Instant;

use model::{DaemonId, DomainName, IncarnationNumber, RegionName};

use crate::announce::TargetState;
use crate::digest::{MemberProfile, MemberRecord, TargetDigest};
use crate::table::{MemberEntry, MemberState};

/// One member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// The member.
    pub id: DaemonId,
    /// Its run.
    pub incarnation: IncarnationNumber,
    /// Names and addresses.
    pub profile: MemberProfile,
    /// What is held of it.
    pub state: MemberState,
    /// Since when, on this daemon's clock.
    pub since: Instant,
    /// Whether it is stopping.
    pub draining: bool,
    /// The targets beside it, whatever their state.
    pub targets: Vec<TargetDigest>,
}

impl MemberView {
    pub(crate) fn of_own(record: &MemberRecord, now: Instant) -> Self {
        Self::new(record, MemberState::Alive, now)
    }

    pub(crate) fn of_entry(entry: &MemberEntry) -> Self {
        Self::new(&entry.record, entry.state, entry.since)
    }

    fn new(record: &MemberRecord, state: MemberState, since: Instant) -> Self {
        Self {
            id: record.id,
            incarnation: record.stamp.incarnation,
            profile: record.profile.clone(),
            state,
            since,
            draining: record.draining,
            targets: record.targets.clone(),
        }
    }
}

/// A target that is present and willing, and the daemon beside it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetView {
    /// The daemon beside the target.
    pub daemon: DaemonId,
    /// That daemon's run.
    pub daemon_incarnation: IncarnationNumber,
    /// Where that daemon is reached.
    pub peer_address: SocketAddr,
    /// The failure domain of both.
    pub domain: DomainName,
    /// The region of both.
    pub region: RegionName,
    /// Whether the daemon did not answer a probe and has not refuted this yet.
    pub suspect: bool,
    /// The target.
    pub digest: TargetDigest,
}

impl TargetView {
    /// The targets of `record` that are present and willing.
    pub(crate) fn of_record(record: &MemberRecord, state: MemberState) -> Vec<Self> {
        if record.draining {
            return Vec::new();
        }
        record
            .targets
            .iter()
            .filter(|digest| digest.state == TargetState::Ready)
            .map(|digest| Self {
                daemon: record.id,
                daemon_incarnation: record.stamp.incarnation,
                peer_address: record.profile.peer_address,
                domain: record.profile.domain.clone(),
                region: record.profile.region.clone(),
                suspect: state == MemberState::Suspect,
                digest: digest.clone(),
            })
            .collect()
    }
}
