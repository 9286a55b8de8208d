//! The membership table of one daemon.
//!
//! The states of a member are totally ordered: by stamp, and within a stamp
//! alive < suspect < dead; `left` is final for an incarnation. Applying an
//! update keeps the greater of the known and the new state, so an older
//! incarnation never returns. An update that needs a record or version that the
//! table lacks has no effect; tables that receive the same updates repeatedly, as
//! through anti-entropy exchanges, become equal in any order of arrival. Dead and
//! left members stay as tombstones for a bounded time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::Display;
use model::{ByteCount, DaemonId, DomainName, RegionName};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::digest::{MemberProfile, MemberRecord, MemberStamp};
use crate::message::{BUCKET_COUNT, MemberUpdate};

/// Maximum number of members and tombstones.
pub const MAX_MEMBERS: usize = 4096;
/// Time for which a dead or left member is kept as a tombstone.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(3 * 3600);
/// Maximum number of reporters kept for one suspicion.
pub const MAX_REPORTERS: usize = 6;

/// State of a member.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum MemberState {
    /// Answers probes.
    #[display("alive")]
    Alive,
    /// Did not answer a probe of some member; may refute the suspicion.
    #[display("suspect")]
    Suspect,
    /// Did not refute a suspicion in time.
    #[display("dead")]
    Dead,
    /// Shut down as planned.
    #[display("left")]
    Left,
}

impl MemberState {
    /// Whether the member is alive or suspect.
    pub fn is_live(self) -> bool {
        self <= Self::Suspect
    }
}

/// A member's record and state.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// The latest known record.
    pub record: Arc<MemberRecord>,
    /// The state; updates that report it carry the stamp of the record.
    pub state: MemberState,
    /// When the state was entered, on the local daemon's clock.
    pub since: Instant,
    /// When a probe by the local daemon failed during the suspicion, if one did.
    pub suspected_at: Option<Instant>,
    /// When the local daemon last received a message from it during the suspicion.
    pub last_message_at: Option<Instant>,
    /// Members that reported a failed probe of it or declared it dead, without those whose report
    /// adds no confidence.
    pub reporters: SmallVec<[DaemonId; MAX_REPORTERS]>,
}

impl MemberEntry {
    /// Returns the stamp of the latest record.
    pub fn stamp(&self) -> MemberStamp {
        self.record.stamp
    }

    /// Returns the suspect or dead claim about the member, if there is one, for it to refute.
    pub fn failure_report(&self) -> Option<MemberUpdate> {
        let id = self.record.id;
        let stamp = self.stamp();
        let by = self.reporters.first().copied()?;
        match self.state {
            MemberState::Suspect => Some(MemberUpdate::Suspect { id, stamp, by }),
            MemberState::Dead => Some(MemberUpdate::Dead { id, stamp, by }),
            MemberState::Alive | MemberState::Left => None,
        }
    }

    /// Whether the member is suspect and no message from it has arrived since.
    pub fn is_silent(&self) -> bool {
        self.state == MemberState::Suspect && self.last_message_at.is_none()
    }

    /// Returns the latest profile.
    pub fn profile(&self) -> &MemberProfile {
        &self.record.profile
    }
}

/// Effect of applying an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateEffect {
    /// The update has no effect: for example, it is not newer than the table, refers to a member
    /// or version that the table lacks, or adds a member to a full table.
    Known,
    /// Another reporter confirmed a suspicion.
    Confirmed,
    /// The member's state changed.
    StateChanged {
        /// Previous state; `None` for a member that was unknown.
        before: Option<MemberState>,
    },
    /// The record of a member that was and stays alive changed.
    RecordChanged,
}

impl UpdateEffect {
    /// Whether the update changed the table and should be spread.
    pub fn is_new(self) -> bool {
        self != Self::Known
    }
}

/// All members and tombstones, without the local daemon.
#[derive(Debug)]
pub struct MemberTable {
    entries: BTreeMap<DaemonId, MemberEntry>,
    buckets: [u32; BUCKET_COUNT],
    live_count: usize,
    suspect_count: usize,
    live_generation: u64,
}

impl Default for MemberTable {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            buckets: [0; BUCKET_COUNT],
            live_count: 0,
            suspect_count: 0,
            live_generation: 0,
        }
    }
}

impl MemberTable {
    /// Whether a member is suspect and no message from it has arrived since.
    pub fn is_silent(&self, id: DaemonId) -> bool {
        self.get(id).is_some_and(MemberEntry::is_silent)
    }

    /// Returns the entry of a member.
    pub fn get(&self, id: DaemonId) -> Option<&MemberEntry> {
        self.entries.get(&id)
    }

    /// Iterates over all entries, tombstones included, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// Iterates over the entries of live members, ordered by id.
    pub fn live(&self) -> impl Iterator<Item = &MemberEntry> {
        self.iter().filter(|entry| entry.state.is_live())
    }

    /// Returns the number of live members.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// Returns the number of suspect members.
    pub fn suspect_count(&self) -> usize {
        self.suspect_count
    }

    /// Returns a counter that increases whenever the set of live members changes.
    pub fn live_generation(&self) -> u64 {
        self.live_generation
    }

    /// Returns one hash of the live members for each bucket.
    pub fn buckets(&self) -> &[u32; BUCKET_COUNT] {
        &self.buckets
    }

    /// Returns the memory size of the entries, without allocator overhead.
    pub fn footprint(&self) -> ByteCount {
        let entry_size = size_of::<MemberEntry>() + size_of::<DaemonId>();
        let bytes: usize = self
            .iter()
            .map(|entry| entry_size + entry.record.footprint())
            .sum();
        ByteCount(bytes as u64)
    }

    /// Returns a member's failure domain.
    pub fn domain(&self, id: DaemonId) -> Option<&DomainName> {
        self.get(id).map(|entry| &entry.profile().domain)
    }

    /// Returns a member's region.
    pub fn region(&self, id: DaemonId) -> Option<&RegionName> {
        self.get(id).map(|entry| &entry.profile().region)
    }

    /// Applies `update` if it is greater than the known state; a suspicion must also name exactly
    /// the known version.
    pub fn apply(&mut self, update: &MemberUpdate, now: Instant) -> UpdateEffect {
        match update {
            MemberUpdate::Alive(record) => self.apply_alive(record, now),
            MemberUpdate::Heartbeat(heartbeat) => {
                let renewed = self
                    .get(heartbeat.id)
                    .and_then(|entry| entry.record.with_heartbeat(heartbeat));
                renewed.map_or(UpdateEffect::Known, |record| {
                    self.apply_alive(&Arc::new(record), now)
                })
            }
            MemberUpdate::Suspect { id, stamp, by } => self.apply_suspect(*id, *stamp, *by, now),
            MemberUpdate::Dead { id, stamp, by } => {
                let effect = self.apply_termination(*id, *stamp, MemberState::Dead, now);
                if effect.is_new() {
                    self.add_reporter(*id, *by);
                }
                effect
            }
            MemberUpdate::Left { id, stamp } => {
                self.apply_termination(*id, *stamp, MemberState::Left, now)
            }
        }
    }

    /// Records a message from a member, which proves that a suspect is alive.
    pub fn record_message(&mut self, id: DaemonId, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&id)
            && entry.state == MemberState::Suspect
        {
            entry.last_message_at = Some(now);
        }
    }

    /// Records a failed probe by the local daemon: the first, or the first since a message arrived.
    pub fn record_probe_failure(&mut self, id: DaemonId, now: Instant) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let had_message = entry.last_message_at.take().is_some();
        if had_message || entry.suspected_at.is_none() {
            entry.suspected_at = Some(now);
        }
    }

    /// Drops expired tombstones.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, entry| {
            entry.state.is_live() || now.duration_since(entry.since) < TOMBSTONE_RETENTION
        });
    }

    fn apply_alive(&mut self, record: &Arc<MemberRecord>, now: Instant) -> UpdateEffect {
        let Some(entry) = self.entries.get(&record.id) else {
            return self.insert_alive(record, now);
        };
        let before = entry.state;
        let known = entry.stamp();
        let newer = record.stamp > known;
        let has_left = before == MemberState::Left && record.stamp.incarnation == known.incarnation;
        if !newer || has_left {
            return UpdateEffect::Known;
        }
        self.set_entry(fresh_entry(record, now));
        if before == MemberState::Alive && record.stamp.incarnation == known.incarnation {
            return UpdateEffect::RecordChanged;
        }
        UpdateEffect::StateChanged {
            before: Some(before),
        }
    }

    fn insert_alive(&mut self, record: &Arc<MemberRecord>, now: Instant) -> UpdateEffect {
        if self.entries.len() >= MAX_MEMBERS && !self.evict_tombstone() {
            return UpdateEffect::Known;
        }
        self.set_entry(fresh_entry(record, now));
        UpdateEffect::StateChanged { before: None }
    }

    fn apply_suspect(
        &mut self,
        id: DaemonId,
        stamp: MemberStamp,
        by: DaemonId,
        now: Instant,
    ) -> UpdateEffect {
        let Some(entry) = self.entries.get(&id) else {
            return UpdateEffect::Known;
        };
        if stamp != entry.stamp() || !entry.state.is_live() {
            return UpdateEffect::Known;
        }
        if entry.state == MemberState::Suspect {
            return self.add_reporter(id, by);
        }
        let mut entry = entry.clone();
        entry.state = MemberState::Suspect;
        entry.since = now;
        entry.suspected_at = None;
        entry.last_message_at = None;
        entry.reporters = SmallVec::from_slice(&[by]);
        self.set_entry(entry);
        UpdateEffect::StateChanged {
            before: Some(MemberState::Alive),
        }
    }

    fn apply_termination(
        &mut self,
        id: DaemonId,
        stamp: MemberStamp,
        state: MemberState,
        now: Instant,
    ) -> UpdateEffect {
        let Some(entry) = self.entries.get(&id) else {
            return UpdateEffect::Known;
        };
        let outdated = match state {
            MemberState::Left => stamp.incarnation < entry.stamp().incarnation,
            _ => stamp < entry.stamp(),
        };
        if outdated || entry.state >= state {
            return UpdateEffect::Known;
        }
        let before = entry.state;
        let mut entry = entry.clone();
        entry.state = state;
        entry.since = now;
        self.set_entry(entry);
        UpdateEffect::StateChanged {
            before: Some(before),
        }
    }

    fn add_reporter(&mut self, id: DaemonId, by: DaemonId) -> UpdateEffect {
        if !self.is_useful_reporter(id, by) {
            return UpdateEffect::Known;
        }
        let Some(entry) = self.entries.get_mut(&id) else {
            return UpdateEffect::Known;
        };
        entry.reporters.push(by);
        UpdateEffect::Confirmed
    }

    /// Whether `by` adds confidence to a suspicion: as the second reporter, or from a new domain.
    fn is_useful_reporter(&self, id: DaemonId, by: DaemonId) -> bool {
        let Some(entry) = self.get(id) else {
            return false;
        };
        let reporters = &entry.reporters;
        if reporters.contains(&by) || reporters.len() >= MAX_REPORTERS {
            return false;
        }
        // Two reporters are enough, except that a reporter from a new domain counts until two
        // domains other than the suspect's are among them: only reporters from other domains
        // can establish the loss of a domain.
        let own_domain = Some(&entry.profile().domain);
        let mut other_domains: SmallVec<[&DomainName; MAX_REPORTERS]> = SmallVec::new();
        for domain in reporters.iter().map(|reporter| self.domain(*reporter)) {
            if let Some(domain) = domain.filter(|_| domain != own_domain)
                && !other_domains.contains(&domain)
            {
                other_domains.push(domain);
            }
        }
        let domain = self.domain(by);
        let is_new_domain =
            domain != own_domain && domain.is_none_or(|domain| !other_domains.contains(&domain));
        reporters.len() < 2 || (other_domains.len() < 2 && is_new_domain)
    }

    fn set_entry(&mut self, entry: MemberEntry) {
        self.count_entry(&entry, 1);
        let live = entry.state.is_live();
        let before = self.entries.insert(entry.record.id, entry);
        let was_live = before.as_ref().is_some_and(|old| old.state.is_live());
        if let Some(old) = before {
            self.count_entry(&old, -1);
        }
        if live != was_live {
            self.live_generation += 1;
        }
    }

    /// Adds an entry to the counts and hashes (`delta` 1) or removes it (-1).
    fn count_entry(&mut self, entry: &MemberEntry, delta: isize) {
        if !entry.state.is_live() {
            return;
        }
        let id = entry.record.id;
        self.buckets[bucket_of(id)] ^= entry_hash(id, entry.stamp());
        self.live_count = self.live_count.saturating_add_signed(delta);
        if entry.state == MemberState::Suspect {
            self.suspect_count = self.suspect_count.saturating_add_signed(delta);
        }
    }

    fn evict_tombstone(&mut self) -> bool {
        let oldest = self
            .iter()
            .filter(|entry| !entry.state.is_live())
            .min_by_key(|entry| entry.since)
            .map(|entry| entry.record.id);
        oldest.is_some_and(|id| self.entries.remove(&id).is_some())
    }
}

/// Returns the hash bucket of a member.
pub fn bucket_of(id: DaemonId) -> usize {
    (xxh3_64(&id.0.to_le_bytes()) % BUCKET_COUNT as u64) as usize
}

/// Returns the hash of a member's id and stamp.
pub fn entry_hash(id: DaemonId, stamp: MemberStamp) -> u32 {
    let mut bytes = [0; 24];
    bytes[..8].copy_from_slice(&id.0.to_le_bytes());
    bytes[8..16].copy_from_slice(&stamp.incarnation.0.to_le_bytes());
    bytes[16..].copy_from_slice(&stamp.sequence.0.to_le_bytes());
    xxh3_64(&bytes) as u32
}

fn fresh_entry(record: &Arc<MemberRecord>, now: Instant) -> MemberEntry {
    MemberEntry {
        record: Arc::clone(record),
        state: MemberState::Alive,
        since: now,
        suspected_at: None,
        last_message_at: None,
        reporters: SmallVec::new(),
    }
}
