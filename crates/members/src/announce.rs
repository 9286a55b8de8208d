//! Registration of targets with the daemon on their VM.
//!
//! There is no configured list of targets: each target announces itself to the
//! daemon on its own VM and repeats the announcement as a heartbeat. The
//! registry keeps the latest announcement of each target, drops a target whose
//! heartbeat has stopped, and rejects announcements of an older incarnation.
//! Within one incarnation a target only moves forward (starting, ready,
//! draining, gone), so a delayed heartbeat cannot make a draining target ready
//! again. A missed heartbeat does not end an incarnation: a target that was
//! paused returns with its next heartbeat.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use derive_more::Display;
use model::{
    CallCount, ErrorKind, IncarnationNumber, KindError, ServiceName, SharedClock, TargetName,
    ensure,
};
use serde::{Deserialize, Serialize};

use crate::digest::{ExecutionTimeLevel, LoadLevel, TargetDigest};

/// Result of an announcement; errors are of kind `RequestInvalid`.
pub type Result<T> = model::Result<T>;

/// Interval at which a target repeats its announcement.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a heartbeat after which a target counts as gone.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of targets of one daemon.
pub const MAX_TARGETS: usize = 16;
/// Time after its last heartbeat for which the incarnation of a gone target is remembered; it is
/// forgotten earlier if the registry is full.
pub const GONE_RETENTION: Duration = Duration::from_secs(600);

/// Lifecycle state of a target; one incarnation passes through them in this order.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// Running, but does not accept calls yet.
    #[display("starting")]
    Starting,
    /// Accepts calls.
    #[display("ready")]
    Ready,
    /// Finishes its calls and accepts no new ones.
    #[display("draining")]
    Draining,
    /// No longer running.
    #[display("gone")]
    Gone,
}

/// Announcement of a target to the daemon on its VM, sent as JSON.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetAnnouncement {
    /// The target's name, unique on its VM.
    pub target: TargetName,
    /// The service that the target provides.
    pub service: ServiceName,
    /// Address at which it accepts calls.
    pub address: SocketAddr,
    /// Maximum number of calls that it executes concurrently.
    pub slots: CallCount,
    /// Maximum number of connections that it accepts.
    pub connections: CallCount,
    /// Current lifecycle state.
    pub state: TargetState,
    /// Fraction of its capacity in use: 0 is idle, 1 is full, more is overload; only a hint.
    #[serde(default)]
    pub load: f32,
    /// Incarnation of the target; it increases with each restart.
    pub incarnation: IncarnationNumber,
}

/// A change of a target's state, caused by an announcement or a missed heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetChange {
    /// The target's name.
    pub target: TargetName,
    /// The target's service.
    pub service: ServiceName,
    /// The new state.
    pub state: TargetState,
}

#[derive(Clone, Debug)]
struct TargetEntry {
    announcement: TargetAnnouncement,
    last_heartbeat_at: Instant,
    silent: bool,
    ready_since: Option<SystemTime>,
}

impl TargetEntry {
    fn is_present(&self) -> bool {
        !self.silent && self.announcement.state != TargetState::Gone
    }
}

/// The targets on the VM of one daemon.
#[derive(Debug)]
pub struct TargetRegistry {
    clock: SharedClock,
    entries: BTreeMap<TargetName, TargetEntry>,
}

impl TargetRegistry {
    /// Creates an empty registry.
    pub fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            entries: BTreeMap::new(),
        }
    }

    /// Applies an announcement; returns `None` for a heartbeat, which repeats the state, service and
    /// incarnation of a present target and updates the rest.
    ///
    /// A state that this incarnation has already left counts as a heartbeat.
    pub fn announce(
        &mut self,
        mut announcement: TargetAnnouncement,
    ) -> Result<Option<TargetChange>> {
        check_announcement(&announcement)?;
        let Some(entry) = self.entries.get(&announcement.target) else {
            return self.insert_target(announcement);
        };
        let known = &entry.announcement;
        if announcement.incarnation < known.incarnation {
            return Err(invalid_request(
                "a later incarnation of this target is known",
            ));
        }
        if announcement.incarnation == known.incarnation {
            if known.state == TargetState::Gone {
                return Err(invalid_request(
                    "this incarnation of the target has already announced that it is gone",
                ));
            }
            announcement.state = announcement.state.max(known.state);
        }
        Ok(self.replace_target(announcement))
    }

    /// Drops targets whose heartbeat has stopped; returns the changes.
    pub fn on_tick(&mut self) -> Vec<TargetChange> {
        let now = self.clock.now();
        let mut changes = Vec::new();
        for entry in self.entries.values_mut() {
            let silent = now.duration_since(entry.last_heartbeat_at) >= HEARTBEAT_TIMEOUT;
            if silent && entry.is_present() {
                entry.silent = true;
                let mut change = change_of(&entry.announcement);
                change.state = TargetState::Gone;
                changes.push(change);
            }
        }
        self.entries.retain(|_, entry| {
            entry.is_present() || now.duration_since(entry.last_heartbeat_at) < GONE_RETENTION
        });
        changes
    }

    /// Marks every target as draining, for a planned shutdown of this daemon.
    pub fn drain_all(&mut self) -> Vec<TargetChange> {
        let mut changes = Vec::new();
        for entry in self.entries.values_mut() {
            if entry.is_present() && entry.announcement.state < TargetState::Draining {
                entry.announcement.state = TargetState::Draining;
                changes.push(change_of(&entry.announcement));
            }
        }
        changes
    }

    /// Returns the latest announcement of a target that is present.
    pub fn target(&self, target: &TargetName) -> Option<&TargetAnnouncement> {
        self.present().find(|found| found.target == *target)
    }

    /// Iterates over the targets that are present, ordered by name.
    pub fn present(&self) -> impl Iterator<Item = &TargetAnnouncement> {
        self.entries
            .values()
            .filter(|entry| entry.is_present())
            .map(|entry| &entry.announcement)
    }

    /// Returns the digests of the present targets, as published to other daemons.
    pub fn digests(&self) -> Vec<TargetDigest> {
        self.entries
            .values()
            .filter(|entry| entry.is_present())
            .map(digest_of)
            .collect()
    }

    fn insert_target(&mut self, announcement: TargetAnnouncement) -> Result<Option<TargetChange>> {
        if self.entries.len() >= MAX_TARGETS {
            self.entries.retain(|_, entry| entry.is_present());
        }
        ensure(
            self.entries.len() < MAX_TARGETS,
            ErrorKind::RequestInvalid,
            "this daemon already has the maximum number of targets",
        )?;
        let change = change_of(&announcement);
        self.store_target(announcement, None);
        Ok(Some(change))
    }

    fn replace_target(&mut self, announcement: TargetAnnouncement) -> Option<TargetChange> {
        let entry = self.entries.get(&announcement.target)?;
        let known = &entry.announcement;
        let same_incarnation = announcement.incarnation == known.incarnation;
        let changed = entry.silent
            || !same_incarnation
            || announcement.state != known.state
            || announcement.service != known.service;
        let ready_since = entry.ready_since.filter(|_| same_incarnation);
        let change = change_of(&announcement);
        self.store_target(announcement, ready_since);
        changed.then_some(change)
    }

    fn store_target(&mut self, announcement: TargetAnnouncement, ready_since: Option<SystemTime>) {
        let ready = announcement.state >= TargetState::Ready;
        let ready_since = ready_since.or_else(|| ready.then(|| self.clock.wall()));
        let entry = TargetEntry {
            last_heartbeat_at: self.clock.now(),
            silent: false,
            ready_since,
            announcement,
        };
        self.entries
            .insert(entry.announcement.target.clone(), entry);
    }
}

fn check_announcement(announcement: &TargetAnnouncement) -> Result<()> {
    let load = announcement.load;
    if !load.is_finite() || load < 0.0 {
        return Err(invalid_request(
            "the load must be a finite number of at least 0",
        ));
    }
    if announcement.slots.0 == 0 || announcement.connections.0 == 0 {
        return Err(invalid_request(
            "a target needs at least one slot and one connection",
        ));
    }
    Ok(())
}

fn invalid_request(detail: &str) -> KindError {
    KindError::new(ErrorKind::RequestInvalid, detail)
}

fn change_of(announcement: &TargetAnnouncement) -> TargetChange {
    TargetChange {
        target: announcement.target.clone(),
        service: announcement.service.clone(),
        state: announcement.state,
    }
}

fn digest_of(entry: &TargetEntry) -> TargetDigest {
    let announcement = &entry.announcement;
    TargetDigest {
        service: announcement.service.clone(),
        target: announcement.target.clone(),
        incarnation: announcement.incarnation,
        address: announcement.address,
        slots: announcement.slots,
        state: announcement.state,
        load: LoadLevel::from_share(announcement.load),
        execution_time: ExecutionTimeLevel::default(),
        ready_since: entry.ready_since,
        version: None,
    }
}
