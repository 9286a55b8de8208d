//! The record that a daemon publishes about itself and its targets.
//!
//! Only the daemon itself writes its [`MemberRecord`], and it numbers each
//! version. Readers order two versions without a clock: first by incarnation,
//! then by sequence number.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use derive_more::Display;
use model::{
    CallCount, DaemonId, DaemonName, DomainName, IncarnationNumber, RegionName, ServiceName,
    TargetName, TargetVersion,
};
use serde::{Deserialize, Serialize};

use crate::announce::TargetState;

/// Fraction of a target's capacity in use, in steps of an eighth.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[display("{_0}/8")]
#[serde(transparent)]
pub struct LoadLevel(pub u8);

impl LoadLevel {
    const STEPS: f32 = 8.0;
    const MAX_LEVEL: f32 = 32.0;

    /// Rounds a share of the capacity to the nearest level. A share of 0 is idle and 1 is full;
    /// shares above 4 are capped at 4.
    pub fn from_share(share: f32) -> Self {
        Self((share * Self::STEPS).round().clamp(0.0, Self::MAX_LEVEL) as u8)
    }

    /// Returns the share that this level stands for.
    pub fn share(self) -> f32 {
        f32::from(self.0) / Self::STEPS
    }
}

/// Execution time of a target's calls on a logarithmic scale, each level about a quarter longer
/// than the one below; level 0 means unknown.
///
/// Hysteresis between the levels keeps the level from changing often.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[display("pace {_0}")]
#[serde(transparent)]
pub struct ExecutionTimeLevel(pub u8);

impl ExecutionTimeLevel {
    /// Levels for each doubling of the time.
    const LEVELS_PER_DOUBLING: f32 = 3.0;
    /// Distance from the current level, in levels, from which the level changes. A greater
    /// distance saves updates, each of which is sent to the whole fleet, but hides differences
    /// between targets: the fastest are four levels from the slowest.
    const HYSTERESIS: f32 = 1.4;
    /// Highest level, about three minutes; longer times are not told apart.
    const MAX_LEVEL: f32 = 53.0;

    /// Rounds `time` to the nearest level.
    pub fn from_duration(time: Duration) -> Self {
        Self(Self::fractional_level(time).round() as u8)
    }

    /// Returns the level for `time`, which is this level unless `time` is too far from it.
    #[must_use]
    pub fn adjusted_to(self, time: Duration) -> Self {
        let distance = (Self::fractional_level(time) - f32::from(self.0)).abs();
        if self.0 > 0 && distance < Self::HYSTERESIS {
            return self;
        }
        Self::from_duration(time)
    }

    /// Returns the time that this level stands for; `None` if it is unknown.
    pub fn duration(self) -> Option<Duration> {
        let millis = (f32::from(self.0.checked_sub(1)?) / Self::LEVELS_PER_DOUBLING).exp2();
        Some(Duration::from_secs_f32(millis / 1000.0))
    }

    fn fractional_level(time: Duration) -> f32 {
        let millis = (time.as_secs_f32() * 1000.0).max(1.0);
        (millis.log2() * Self::LEVELS_PER_DOUBLING + 1.0).min(Self::MAX_LEVEL)
    }
}

/// Summary of a target, distributed to every daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetDigest {
    /// The service that the target provides.
    pub service: ServiceName,
    /// The target's name.
    pub target: TargetName,
    /// Incarnation of the target.
    pub incarnation: IncarnationNumber,
    /// Address at which it accepts calls from the daemon on its VM.
    pub address: SocketAddr,
    /// Maximum number of calls that it executes concurrently.
    pub slots: CallCount,
    /// Lifecycle state.
    pub state: TargetState,
    /// Announced load; a hint that is seconds old.
    pub load: LoadLevel,
    /// Execution time of its calls, as measured by the daemon on its VM.
    #[serde(rename = "pace")]
    pub execution_time: ExecutionTimeLevel,
    /// Wall-clock time at which this incarnation was first announced as ready or draining, for slow
    /// start.
    pub ready_since: Option<SystemTime>,
    /// Version of its software, if known.
    pub version: Option<TargetVersion>,
}

impl TargetDigest {
    /// Whether the digest equals `other` apart from the load.
    pub fn equals_except_load(&self, other: &Self) -> bool {
        let mut like = other.clone();
        like.load = self.load;
        *self == like
    }
}

model::number_types! {
    /// Version number of a daemon's record within one incarnation.
    SequenceNumber(u64),
}

/// Version of a daemon's record, ordered by incarnation, then by sequence number.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[display("{incarnation}.{sequence}")]
pub struct MemberStamp {
    /// Incarnation of the daemon.
    pub incarnation: IncarnationNumber,
    /// Version number within the incarnation.
    pub sequence: SequenceNumber,
}

/// Names and addresses of a daemon, fixed for one incarnation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberProfile {
    /// Human-readable name.
    pub name: DaemonName,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
}

/// A daemon and its targets, as published by the daemon itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The daemon's id.
    pub id: DaemonId,
    /// Version of the record.
    pub stamp: MemberStamp,
    /// First version since which only the stamp and the loads have changed.
    pub content: SequenceNumber,
    /// Names and addresses.
    pub profile: MemberProfile,
    /// Whether the daemon is shutting down and takes no new calls.
    pub draining: bool,
    /// The targets on its VM.
    pub targets: Vec<TargetDigest>,
}

/// A newer version of a record in which only the stamp and the loads differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberHeartbeat {
    /// The daemon's id.
    pub id: DaemonId,
    /// Version of the record.
    pub stamp: MemberStamp,
    /// First version since which only the stamp and the loads have changed.
    pub content: SequenceNumber,
    /// Loads of the record's targets, in the order of the targets.
    pub loads: Vec<LoadLevel>,
}

impl MemberRecord {
    /// Applies `heartbeat` to this record; returns `None` if it belongs to other content.
    pub fn with_heartbeat(&self, heartbeat: &MemberHeartbeat) -> Option<Self> {
        let matches = self.stamp.incarnation == heartbeat.stamp.incarnation
            && self.content == heartbeat.content
            && self.targets.len() == heartbeat.loads.len();
        if !matches {
            return None;
        }
        let mut record = self.clone();
        record.stamp = heartbeat.stamp;
        for (target, load) in record.targets.iter_mut().zip(&heartbeat.loads) {
            target.load = *load;
        }
        Some(record)
    }

    /// Returns the first version with this content.
    pub fn content_stamp(&self) -> MemberStamp {
        MemberStamp {
            incarnation: self.stamp.incarnation,
            sequence: self.content,
        }
    }

    /// Returns the memory size of the record in bytes, without allocator overhead.
    pub fn footprint(&self) -> usize {
        let profile = &self.profile;
        let names = profile.name.len() + profile.domain.len() + profile.region.len();
        let targets: usize = self
            .targets
            .iter()
            .map(|target| {
                let version = target.version.as_ref().map_or(0, |version| version.len());
                size_of::<TargetDigest>() + target.service.len() + target.target.len() + version
            })
            .sum();
        size_of::<Self>() + names + targets
    }

    /// Returns a heartbeat that conveys this version to a member that knows the content.
    pub fn heartbeat(&self) -> MemberHeartbeat {
        MemberHeartbeat {
            id: self.id,
            stamp: self.stamp,
            content: self.content,
            loads: self.targets.iter().map(|target| target.load).collect(),
        }
    }
}

/// Minimum time between two versions that differ only in load.
pub const LOAD_INTERVAL: Duration = Duration::from_secs(120);
/// Minimum change of the load, in levels, for which a new version is published.
pub const MIN_LOAD_CHANGE: u8 = 2;
