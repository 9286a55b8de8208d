//! Compact wire encoding of updates.
//!
//! Most bytes of a list of records are repeated: names of domains, regions and
//! services, the leading digits of incarnations, the IP address of a VM. Within
//! one message each name is listed once and then referred to by its index,
//! incarnations of daemons are encoded relative to the sender's, and addresses
//! on one VM share its IP address. Size matters because most of the traffic of a
//! fleet that starts all at once consists of records.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::sync::Arc;
use std::time::SystemTime;

use model::{
    CallCount, DaemonId, DaemonName, ErrorKind, IncarnationNumber, KindError, TargetName, ensure,
};
use serde::{Deserialize, Serialize};

use crate::announce::{MAX_TARGETS, TargetState};
use crate::digest::{
    ExecutionTimeLevel, LoadLevel, MemberHeartbeat, MemberProfile, MemberRecord, MemberStamp,
    SequenceNumber, TargetDigest,
};
use crate::message::{MemberUpdate, Result};

/// Index of a name in the message's list of names.
type NameIndex = u32;

/// The updates of one message in their wire encoding.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct PackedUpdates {
    names: Vec<Box<str>>,
    pub(crate) updates: Vec<PackedUpdate>,
}

#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum PackedUpdate {
    Alive(PackedRecord),
    Heartbeat(PackedHeartbeat),
    Suspect(PackedClaim),
    Dead(PackedClaim),
    Left { id: DaemonId, stamp: PackedStamp },
}

/// A stamp whose incarnation is encoded relative to the sender's.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(crate) struct PackedStamp {
    incarnation: i64,
    sequence: SequenceNumber,
}

#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct PackedClaim {
    id: DaemonId,
    stamp: PackedStamp,
    by: DaemonId,
}

#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct PackedHeartbeat {
    id: DaemonId,
    stamp: PackedStamp,
    content: SequenceNumber,
    loads: Vec<LoadLevel>,
}

#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct PackedRecord {
    id: DaemonId,
    stamp: PackedStamp,
    content: SequenceNumber,
    name: DaemonName,
    peer_address: SocketAddr,
    caller_address: PackedAddress,
    domain: NameIndex,
    region: NameIndex,
    draining: bool,
    targets: Vec<PackedTarget>,
}

#[derive(Debug, Deserialize, Serialize)]
struct PackedTarget {
    service: NameIndex,
    target: TargetName,
    incarnation: IncarnationNumber,
    address: PackedAddress,
    slots: CallCount,
    state: TargetState,
    load: LoadLevel,
    #[serde(rename = "pace")]
    execution_time: ExecutionTimeLevel,
    start: PackedStart,
}

/// Start and version of a target. The first two kinds take the bytes of an optional time, so that
/// targets without a version cost nothing for it.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
enum PackedStart {
    Unknown,
    At(SystemTime),
    Version(NameIndex),
    VersionAt(NameIndex, SystemTime),
}

/// An address, encoded relative to the daemon's peer address.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
enum PackedAddress {
    /// A port on the same IP address.
    Peer(u16),
    /// A port on 127.0.0.1.
    Loopback(u16),
    /// Any other address.
    Other(SocketAddr),
}

/// Packs `updates` for a message of a daemon whose incarnation is `base`.
pub(crate) fn pack_updates(updates: &[MemberUpdate], base: IncarnationNumber) -> PackedUpdates {
    let mut packer = Packer {
        base,
        indexes: BTreeMap::new(),
        names: Vec::new(),
    };
    let updates = updates
        .iter()
        .map(|update| packer.pack_update(update))
        .collect();
    PackedUpdates {
        names: packer.names,
        updates,
    }
}

/// Unpacks `packed`; validates counts and names.
pub(crate) fn unpack_updates(
    packed: PackedUpdates,
    base: IncarnationNumber,
) -> Result<Vec<MemberUpdate>> {
    let unpacker = Unpacker {
        base,
        names: packed.names,
    };
    let updates = packed.updates.into_iter();
    updates
        .map(|update| unpacker.unpack_update(update))
        .collect()
}

struct Packer<'names> {
    base: IncarnationNumber,
    indexes: BTreeMap<&'names str, NameIndex>,
    names: Vec<Box<str>>,
}

impl<'names> Packer<'names> {
    fn pack_update(&mut self, update: &'names MemberUpdate) -> PackedUpdate {
        match update {
            MemberUpdate::Alive(record) => PackedUpdate::Alive(self.record(record)),
            MemberUpdate::Heartbeat(heartbeat) => PackedUpdate::Heartbeat(PackedHeartbeat {
                id: heartbeat.id,
                stamp: self.stamp(heartbeat.stamp),
                content: heartbeat.content,
                loads: heartbeat.loads.clone(),
            }),
            MemberUpdate::Suspect { id, stamp, by } => {
                PackedUpdate::Suspect(self.claim(*id, *stamp, *by))
            }
            MemberUpdate::Dead { id, stamp, by } => {
                PackedUpdate::Dead(self.claim(*id, *stamp, *by))
            }
            MemberUpdate::Left { id, stamp } => PackedUpdate::Left {
                id: *id,
                stamp: self.stamp(*stamp),
            },
        }
    }

    fn claim(&self, id: DaemonId, stamp: MemberStamp, by: DaemonId) -> PackedClaim {
        let stamp = self.stamp(stamp);
        PackedClaim { id, stamp, by }
    }

    fn stamp(&self, stamp: MemberStamp) -> PackedStamp {
        PackedStamp {
            incarnation: stamp.incarnation.0.wrapping_sub(self.base.0).cast_signed(),
            sequence: stamp.sequence,
        }
    }

    fn record(&mut self, record: &'names MemberRecord) -> PackedRecord {
        let profile = &record.profile;
        let targets = record.targets.iter();
        PackedRecord {
            id: record.id,
            stamp: self.stamp(record.stamp),
            content: record.content,
            name: profile.name.clone(),
            peer_address: profile.peer_address,
            caller_address: pack_address(profile.caller_address, profile.peer_address),
            domain: self.name_index(&profile.domain),
            region: self.name_index(&profile.region),
            draining: record.draining,
            targets: targets
                .map(|target| self.target(target, profile.peer_address))
                .collect(),
        }
    }

    fn target(&mut self, target: &'names TargetDigest, peer: SocketAddr) -> PackedTarget {
        PackedTarget {
            service: self.name_index(&target.service),
            target: target.target.clone(),
            incarnation: target.incarnation,
            address: pack_address(target.address, peer),
            slots: target.slots,
            state: target.state,
            load: target.load,
            execution_time: target.execution_time,
            start: match (&target.version, target.ready_since) {
                (None, None) => PackedStart::Unknown,
                (None, Some(since)) => PackedStart::At(since),
                (Some(version), None) => PackedStart::Version(self.name_index(version)),
                (Some(version), Some(since)) => {
                    PackedStart::VersionAt(self.name_index(version), since)
                }
            },
        }
    }

    /// Returns the index of `name`, which it adds to the list if it is new.
    fn name_index(&mut self, name: &'names str) -> NameIndex {
        let next = self.names.len() as NameIndex;
        let index = *self.indexes.entry(name).or_insert(next);
        if index == next {
            self.names.push(name.into());
        }
        index
    }
}

struct Unpacker {
    base: IncarnationNumber,
    names: Vec<Box<str>>,
}

impl Unpacker {
    fn unpack_update(&self, update: PackedUpdate) -> Result<MemberUpdate> {
        Ok(match update {
            PackedUpdate::Alive(record) => MemberUpdate::Alive(Arc::new(self.record(record)?)),
            PackedUpdate::Heartbeat(heartbeat) => {
                check_targets(heartbeat.loads.len())?;
                MemberUpdate::Heartbeat(MemberHeartbeat {
                    id: heartbeat.id,
                    stamp: self.stamp(heartbeat.stamp),
                    content: heartbeat.content,
                    loads: heartbeat.loads,
                })
            }
            PackedUpdate::Suspect(claim) => MemberUpdate::Suspect {
                id: claim.id,
                stamp: self.stamp(claim.stamp),
                by: claim.by,
            },
            PackedUpdate::Dead(claim) => MemberUpdate::Dead {
                id: claim.id,
                stamp: self.stamp(claim.stamp),
                by: claim.by,
            },
            PackedUpdate::Left { id, stamp } => MemberUpdate::Left {
                id,
                stamp: self.stamp(stamp),
            },
        })
    }

    fn stamp(&self, stamp: PackedStamp) -> MemberStamp {
        let incarnation = self.base.0.wrapping_add(stamp.incarnation.cast_unsigned());
        MemberStamp {
            incarnation: IncarnationNumber(incarnation),
            sequence: stamp.sequence,
        }
    }

    fn record(&self, record: PackedRecord) -> Result<MemberRecord> {
        check_targets(record.targets.len())?;
        let peer = record.peer_address;
        let targets = record.targets.into_iter();
        Ok(MemberRecord {
            id: record.id,
            stamp: self.stamp(record.stamp),
            content: record.content,
            profile: MemberProfile {
                name: record.name,
                peer_address: peer,
                caller_address: unpack_address(record.caller_address, peer),
                domain: self.name(record.domain)?,
                region: self.name(record.region)?,
            },
            draining: record.draining,
            targets: targets
                .map(|target| self.target(target, peer))
                .collect::<Result<_>>()?,
        })
    }

    fn target(&self, target: PackedTarget, peer: SocketAddr) -> Result<TargetDigest> {
        let (version, ready_since) = match target.start {
            PackedStart::Unknown => (None, None),
            PackedStart::At(since) => (None, Some(since)),
            PackedStart::Version(version) => (Some(version), None),
            PackedStart::VersionAt(version, since) => (Some(version), Some(since)),
        };
        Ok(TargetDigest {
            service: self.name(target.service)?,
            target: target.target,
            incarnation: target.incarnation,
            address: unpack_address(target.address, peer),
            slots: target.slots,
            state: target.state,
            load: target.load,
            execution_time: target.execution_time,
            ready_since,
            version: version.map(|index| self.name(index)).transpose()?,
        })
    }

    fn name<Name: FromStr>(&self, index: NameIndex) -> Result<Name> {
        let found = self.names.get(index as usize);
        let name = found.and_then(|name| name.parse().ok());
        name.ok_or_else(|| {
            KindError::new(
                ErrorKind::FrameInvalid,
                "invalid name or index of a name in an update",
            )
        })
    }
}

fn check_targets(count: usize) -> Result<()> {
    ensure(
        count <= MAX_TARGETS,
        ErrorKind::FrameInvalid,
        "an update lists too many targets",
    )
}

fn pack_address(address: SocketAddr, peer: SocketAddr) -> PackedAddress {
    let port = address.port();
    if address == SocketAddr::new(peer.ip(), port) {
        return PackedAddress::Peer(port);
    }
    if address == loopback(port) {
        return PackedAddress::Loopback(port);
    }
    PackedAddress::Other(address)
}

fn unpack_address(address: PackedAddress, peer: SocketAddr) -> SocketAddr {
    match address {
        PackedAddress::Peer(port) => SocketAddr::new(peer.ip(), port),
        PackedAddress::Loopback(port) => loopback(port),
        PackedAddress::Other(address) => address,
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}
