//! What one daemon tells all others about itself.
//!
//! A daemon owns its [`MemberRecord`] alone and numbers each edition of it, so
//! every reader can tell the newer of two records without a clock: first by
//! incarnation, then by sequence.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use derive_more::Display;
use model::{
    CallCount, DaemonId, DaemonName, DomainName, IncarnationNumber, RegionName, ServiceName,
    TargetName,
};
use serde::{Deserialize, Serialize};

use crate::announce::TargetState;

/// Share of a target's capacity in use, in steps of an eighth.
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
    const HIGHEST: f32 = 32.0;

    /// The level for a share of 0 (idle) to 1 (full); overload counts up to 4.
    pub fn from_share(share: f32) -> Self {
        Self((share * Self::STEPS).round().clamp(0.0, Self::HIGHEST) as u8)
    }

    /// The share that this level stands for.
    pub fn share(self) -> f32 {
        f32::from(self.0) / Self::STEPS
    }
}

/// Time that runs of a target take, in steps of a quarter; 0 if it is not known.
///
/// A target is far from the next step most of the time, so the level rarely changes.
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
    /// Steps in which the time doubles.
    const DOUBLING: f32 = 3.0;
    /// Steps by which a time must be off a level to leave it; each change goes to the whole
    /// fleet, and the fastest targets are four steps from the slowest.
    const TOLERANCE: f32 = 1.4;
    /// Longest time that is told apart, about three minutes.
    const HIGHEST: f32 = 53.0;

    /// The level nearest to `run`.
    pub fn from_duration(run: Duration) -> Self {
        Self(Self::steps(run).round() as u8)
    }

    /// The level for `run`: this one unless the time has left it.
    #[must_use]
    pub fn adjusted_to(self, run: Duration) -> Self {
        let off = (Self::steps(run) - f32::from(self.0)).abs();
        if self.0 > 0 && off < Self::TOLERANCE {
            return self;
        }
        Self::from_duration(run)
    }

    /// The time that this level stands for.
    pub fn duration(self) -> Option<Duration> {
        let millis = (f32::from(self.0.checked_sub(1)?) / Self::DOUBLING).exp2();
        Some(Duration::from_secs_f32(millis / 1000.0))
    }

    fn steps(run: Duration) -> f32 {
        let millis = (run.as_secs_f32() * 1000.0).max(1.0);
        (millis.log2() * Self::DOUBLING + 1.0).min(Self::HIGHEST)
    }
}

/// A target as every proxy knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetDigest {
    /// The service that it offers.
    pub service: ServiceName,
    /// The target's name.
    pub target: TargetName,
    /// The target's run.
    pub incarnation: IncarnationNumber,
    /// Where it takes calls from the daemon beside it.
    pub address: SocketAddr,
    /// Calls that it runs at once.
    pub slots: CallCount,
    /// What it can do.
    pub state: TargetState,
    /// Announced load; a hint, seconds old.
    pub load: LoadLevel,
    /// How long its runs take, as the daemon beside it sees them.
    #[serde(rename = "pace")]
    pub execution_time: ExecutionTimeLevel,
    /// Wall time at which this run first was ready, for slow start.
    pub ready_since: Option<SystemTime>,
}

impl TargetDigest {
    /// Whether only the load differs from `other`.
    pub fn equals_except_load(&self, other: &Self) -> bool {
        let mut like = other.clone();
        like.load = self.load;
        *self == like
    }
}

model::number_types! {
    /// Number of an edition of a daemon's record within one incarnation.
    SequenceNumber(u64),
}

/// Which edition of a daemon's record; ordered by incarnation, then sequence.
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
    /// The daemon's run.
    pub incarnation: IncarnationNumber,
    /// Edition within the run.
    pub sequence: SequenceNumber,
}

/// What of a daemon stays the same for one incarnation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberProfile {
    /// Name for people.
    pub name: DaemonName,
    /// Where other daemons reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
}

/// One daemon and its targets, as the daemon itself tells it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The daemon.
    pub id: DaemonId,
    /// Which edition.
    pub stamp: MemberStamp,
    /// The first edition that differs from this one in its stamp and loads alone.
    pub content: SequenceNumber,
    /// Names and addresses.
    pub profile: MemberProfile,
    /// Whether the daemon is stopping and takes no new calls.
    pub draining: bool,
    /// The targets beside it.
    pub targets: Vec<TargetDigest>,
}

/// A newer edition of a record of which only the stamp and the loads differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberHeartbeat {
    /// The daemon.
    pub id: DaemonId,
    /// Which edition.
    pub stamp: MemberStamp,
    /// The edition that the rest of the record equals.
    pub content: SequenceNumber,
    /// The loads of the record's targets, in their order.
    pub loads: Vec<LoadLevel>,
}

impl MemberRecord {
    /// This record, brought up to `heartbeat`; none if it belongs to other content.
    pub fn with_heartbeat(&self, heartbeat: &MemberHeartbeat) -> Option<Self> {
        let fits = self.stamp.incarnation == heartbeat.stamp.incarnation
            && self.content == heartbeat.content
            && self.targets.len() == heartbeat.loads.len();
        if !fits {
            return None;
        }
        let mut record = self.clone();
        record.stamp = heartbeat.stamp;
        for (target, load) in record.targets.iter_mut().zip(&heartbeat.loads) {
            target.load = *load;
        }
        Some(record)
    }

    /// The first edition with this content.
    pub fn content_stamp(&self) -> MemberStamp {
        MemberStamp {
            incarnation: self.stamp.incarnation,
            sequence: self.content,
        }
    }

    /// Memory that the record takes, without allocator overhead.
    pub fn footprint(&self) -> usize {
        let profile = &self.profile;
        let names = profile.name.len() + profile.domain.len() + profile.region.len();
        let targets: usize = self
            .targets
            .iter()
            .map(|target| size_of::<TargetDigest>() + target.service.len() + target.target.len())
            .sum();
        size_of::<Self>() + names + targets
    }

    /// The heartbeat that tells this edition to whoever knows the content.
    pub fn heartbeat(&self) -> MemberHeartbeat {
        MemberHeartbeat {
            id: self.id,
            stamp: self.stamp,
            content: self.content,
            loads: self.targets.iter().map(|target| target.load).collect(),
        }
    }
}

/// Least time between two editions that differ in load alone.
pub const LOAD_INTERVAL: Duration = Duration::from_secs(120);
/// Least difference in load worth an edition of its own.
pub const MIN_LOAD_CHANGE: u8 = 2;
