//! Announcements of targets to the daemon beside them.
//!
//! No list of targets exists: each target tells the daemon on its own VM that
//! it is there, and repeats this as a heartbeat. The registry keeps what was
//! last announced, drops a target whose heartbeat stopped, and refuses what
//! an older run of the target still sends. Within one run a target moves only
//! forward (starting, ready, draining, gone), so a delayed heartbeat cannot
//! make a draining target ready again. Silence alone is no end: a target that
//! was paused takes its place again with the next heartbeat.

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

/// Results of an announcement; kinds: `RequestInvalid`.
pub type Result<T> = model::Result<T>;

/// How often a target repeats its announcement.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Silence after which a target counts as gone.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// Most targets beside one daemon.
pub const MAX_TARGETS: usize = 16;
/// How long the last incarnation of a gone target is remembered.
pub const GONE_RETENTION: Duration = Duration::from_secs(600);

/// What a target can do now, in the order in which one run passes through it.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// Present, not yet taking calls.
    #[display("starting")]
    Starting,
    /// Takes calls.
    #[display("ready")]
    Ready,
    /// Ends its calls and takes no new ones.
    #[display("draining")]
    Draining,
    /// No longer present.
    #[display("gone")]
    Gone,
}

/// What a target tells the daemon beside it, as JSON.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetAnnouncement {
    /// The target's name, unique on its VM.
    pub target: TargetName,
    /// The service that it offers.
    pub service: ServiceName,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Calls that it runs at once.
    pub slots: CallCount,
    /// Connections that it accepts.
    pub connections: CallCount,
    /// What it can do now.
    pub state: TargetState,
    /// Share of its capacity in use, 0 to 1; only a hint.
    #[serde(default)]
    pub load: f32,
    /// The target's run; a later run has a higher number.
    pub incarnation: IncarnationNumber,
}

/// A change that an announcement or its absence made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetChange {
    /// The target.
    pub target: TargetName,
    /// Its service.
    pub service: ServiceName,
    /// The new state.
    pub state: TargetState,
}

#[derive(Clone, Debug)]
struct TargetEntry {
    announcement: TargetAnnouncement,
    heard_at: Instant,
    silent: bool,
    ready_since: Option<SystemTime>,
}

impl TargetEntry {
    fn is_present(&self) -> bool {
        !self.silent && self.announcement.state != TargetState::Gone
    }
}

/// The targets beside one daemon.
#[derive(Debug)]
pub struct TargetRegistry {
    clock: SharedClock,
    entries: BTreeMap<TargetName, TargetEntry>,
}

impl TargetRegistry {
    /// An empty registry.
    pub fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            entries: BTreeMap::new(),
        }
    }

    /// Takes an announcement; tells the change, or none for a mere heartbeat.
    ///
    /// A state that this run has already left counts as a heartbeat.
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
            return Err(refusal("an older incarnation than the one announced"));
        }
        if announcement.incarnation == known.incarnation {
            if known.state == TargetState::Gone {
                return Err(refusal("this incarnation has already gone"));
            }
            announcement.state = announcement.state.max(known.state);
        }
        Ok(self.replace_target(announcement))
    }

    /// Drops targets whose heartbeat stopped; tells what changed.
    pub fn on_tick(&mut self) -> Vec<TargetChange> {
        let now = self.clock.now();
        let mut changes = Vec::new();
        for entry in self.entries.values_mut() {
            let silent = now.duration_since(entry.heard_at) >= HEARTBEAT_TIMEOUT;
            if silent && entry.is_present() {
                entry.silent = true;
                let mut change = change_of(&entry.announcement);
                change.state = TargetState::Gone;
                changes.push(change);
            }
        }
        self.entries.retain(|_, entry| {
            entry.is_present() || now.duration_since(entry.heard_at) < GONE_RETENTION
        });
        changes
    }

    /// Marks every target as draining, for a planned stop of this daemon.
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

    /// The last announcement of a target that is present.
    pub fn target(&self, target: &TargetName) -> Option<&TargetAnnouncement> {
        self.present().find(|found| found.target == *target)
    }

    /// The targets that are present, by name.
    pub fn present(&self) -> impl Iterator<Item = &TargetAnnouncement> {
        self.entries
            .values()
            .filter(|entry| entry.is_present())
            .map(|entry| &entry.announcement)
    }

    /// What the other daemons are told.
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
            "too many targets beside this daemon",
        )?;
        let change = change_of(&announcement);
        self.store_target(announcement, None);
        Ok(Some(change))
    }

    fn replace_target(&mut self, announcement: TargetAnnouncement) -> Option<TargetChange> {
        let entry = self.entries.get(&announcement.target)?;
        let known = &entry.announcement;
        let same_run = announcement.incarnation == known.incarnation;
        let changed = entry.silent
            || !same_run
            || announcement.state != known.state
            || announcement.service != known.service;
        let ready_since = entry.ready_since.filter(|_| same_run);
        let change = change_of(&announcement);
        self.store_target(announcement, ready_since);
        changed.then_some(change)
    }

    fn store_target(&mut self, announcement: TargetAnnouncement, ready_since: Option<SystemTime>) {
        let ready = announcement.state >= TargetState::Ready;
        let ready_since = ready_since.or_else(|| ready.then(|| self.clock.wall()));
        let entry = TargetEntry {
            heard_at: self.clock.now(),
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
        return Err(refusal("the load is not a share"));
    }
    if announcement.slots.0 == 0 || announcement.connections.0 == 0 {
        return Err(refusal("a target needs a slot and a connection"));
    }
    Ok(())
}

fn refusal(detail: &str) -> KindError {
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
    }
}
