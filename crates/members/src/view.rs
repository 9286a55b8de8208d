//! Read-only views of members and targets for the rest of the daemon.

use std::net::SocketAddr;
use std::time::Instant;

use model::{DaemonId, DomainName, IncarnationNumber, RegionName};

use crate::announce::TargetState;
use crate::digest::{MemberProfile, MemberRecord, TargetDigest};
use crate::table::{MemberEntry, MemberState};

/// A member as the local daemon sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// The member's id.
    pub id: DaemonId,
    /// Its incarnation.
    pub incarnation: IncarnationNumber,
    /// Its names and addresses.
    pub profile: MemberProfile,
    /// Its state.
    pub state: MemberState,
    /// When it entered the state, on the local daemon's clock.
    pub since: Instant,
    /// Whether it is shutting down and takes no new calls.
    pub draining: bool,
    /// The targets on its VM, in any state.
    pub targets: Vec<TargetDigest>,
}

impl MemberView {
    pub(crate) fn from_own_record(record: &MemberRecord, now: Instant) -> Self {
        Self::new(record, MemberState::Alive, now)
    }

    pub(crate) fn from_entry(entry: &MemberEntry) -> Self {
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

/// A ready target and the daemon on its VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetView {
    /// The daemon on the target's VM.
    pub daemon: DaemonId,
    /// That daemon's incarnation.
    pub daemon_incarnation: IncarnationNumber,
    /// Address at which other daemons reach that daemon.
    pub peer_address: SocketAddr,
    /// Failure domain of the daemon and the target.
    pub domain: DomainName,
    /// Region of the daemon and the target.
    pub region: RegionName,
    /// Whether the daemon is suspected: a probe failed and it has not refuted this yet.
    pub suspect: bool,
    /// The target's digest.
    pub digest: TargetDigest,
}

impl TargetView {
    /// Returns the ready targets of `record`; none if its daemon is draining.
    pub(crate) fn from_record(record: &MemberRecord, state: MemberState) -> Vec<Self> {
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
