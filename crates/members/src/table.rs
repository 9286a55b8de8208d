//! What one daemon knows of all members.
//!
//! Knowledge of one member is ordered: by stamp, and within a stamp alive <
//! suspect < dead; `left` is final for an incarnation. Applying an update
//! keeps the greater of the two, so tables that have seen the same updates
//! are equal in any order of arrival, and an older incarnation never returns.
//! Dead and left members stay as tombstones for a bounded time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::Display;
use model::{ByteCount, DaemonId, DomainName, RegionName};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::digest::{MemberProfile, MemberRecord, MemberStamp};
use crate::message::{BUCKET_COUNT, MemberUpdate};

/// Most members and tombstones kept.
pub const MAX_MEMBERS: usize = 4096;
/// How long a dead or left member is remembered.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(3 * 3600);
/// Most accusers remembered for one suspicion.
pub const MAX_REPORTERS: usize = 6;

/// What is held of a member.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum MemberState {
    /// Answers probes.
    #[display("alive")]
    Alive,
    /// Did not answer someone; may refute it.
    #[display("suspect")]
    Suspect,
    /// Did not refute a suspicion in time.
    #[display("dead")]
    Dead,
    /// Stopped as planned.
    #[display("left")]
    Left,
}

impl MemberState {
    /// Whether the member takes part.
    pub fn is_live(self) -> bool {
        self <= Self::Suspect
    }
}

/// A member and what is held of it.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// The newest record.
    pub record: Arc<MemberRecord>,
    /// The state, which holds for the record's stamp.
    pub state: MemberState,
    /// When the state was entered, on this daemon's clock.
    pub since: Instant,
    /// When this daemon itself accused it, if it did.
    pub suspected_at: Option<Instant>,
    /// When this daemon last had a message from it while suspect.
    pub heard_at: Option<Instant>,
    /// Who did not get an answer from it.
    pub reporters: SmallVec<[DaemonId; MAX_REPORTERS]>,
}

impl MemberEntry {
    /// The stamp of the newest record.
    pub fn stamp(&self) -> MemberStamp {
        self.record.stamp
    }

    /// The update that tells a member what is held against it, if anything is.
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

    /// Whether it is suspect and was not heard since.
    pub fn is_silent(&self) -> bool {
        self.state == MemberState::Suspect && self.heard_at.is_none()
    }

    /// The newest profile.
    pub fn profile(&self) -> &MemberProfile {
        &self.record.profile
    }
}

/// What applying an update did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateEffect {
    /// The table knew this or better.
    Known,
    /// One more accuser of a suspect.
    Confirmed,
    /// The member's state changed.
    StateChanged {
        /// The state before; none for a member not known before.
        before: Option<MemberState>,
    },
    /// A newer record of a member that was alive.
    RecordChanged,
}

impl UpdateEffect {
    /// Whether others should hear of it.
    pub fn is_new(self) -> bool {
        self != Self::Known
    }
}

/// All members, tombstones included, without the daemon itself.
#[derive(Debug)]
pub struct MemberTable {
    entries: BTreeMap<DaemonId, MemberEntry>,
    buckets: [u32; BUCKET_COUNT],
    live_count: usize,
    suspect_count: usize,
    edition: u64,
}

impl Default for MemberTable {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            buckets: [0; BUCKET_COUNT],
            live_count: 0,
            suspect_count: 0,
            edition: 0,
        }
    }
}

impl MemberTable {
    /// Whether a member is suspect and was not heard since.
    pub fn is_silent(&self, id: DaemonId) -> bool {
        self.get(id).is_some_and(MemberEntry::is_silent)
    }

    /// The entry of a member.
    pub fn get(&self, id: DaemonId) -> Option<&MemberEntry> {
        self.entries.get(&id)
    }

    /// Every entry, tombstones included, by id.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// The entries that take part, by id.
    pub fn live(&self) -> impl Iterator<Item = &MemberEntry> {
        self.iter().filter(|entry| entry.state.is_live())
    }

    /// How many members take part.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// How many members are suspect.
    pub fn suspect_count(&self) -> usize {
        self.suspect_count
    }

    /// Changes whenever the set of live members does.
    pub fn live_generation(&self) -> u64 {
        self.edition
    }

    /// Hashes of the live members, one for each bucket.
    pub fn buckets(&self) -> &[u32; BUCKET_COUNT] {
        &self.buckets
    }

    /// Memory that the entries take, without allocator overhead.
    pub fn footprint(&self) -> ByteCount {
        let entry_size = size_of::<MemberEntry>() + size_of::<DaemonId>();
        let bytes: usize = self
            .iter()
            .map(|entry| entry_size + entry.record.footprint())
            .sum();
        ByteCount(bytes as u64)
    }

    /// A member's failure domain.
    pub fn domain(&self, id: DaemonId) -> Option<&DomainName> {
        self.get(id).map(|entry| &entry.profile().domain)
    }

    /// A member's region.
    pub fn region(&self, id: DaemonId) -> Option<&RegionName> {
        self.get(id).map(|entry| &entry.profile().region)
    }

    /// Keeps the greater of `update` and what was known.
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
                let effect = self.apply_end(*id, *stamp, MemberState::Dead, now);
                if effect.is_new() {
                    self.note_accuser(*id, *by);
                }
                effect
            }
            MemberUpdate::Left { id, stamp } => self.apply_end(*id, *stamp, MemberState::Left, now),
        }
    }

    /// Notes a message from a member, which proves that a suspect lives.
    pub fn record_message(&mut self, id: DaemonId, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&id)
            && entry.state == MemberState::Suspect
        {
            entry.heard_at = Some(now);
        }
    }

    /// Notes that this daemon got no answer from a suspect, at first or again since it was heard.
    pub fn record_probe_failure(&mut self, id: DaemonId, now: Instant) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let heard = entry.heard_at.take().is_some();
        if heard || entry.suspected_at.is_none() {
            entry.suspected_at = Some(now);
        }
    }

    /// Forgets tombstones whose time has passed.
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
        let ended = before == MemberState::Left && record.stamp.incarnation == known.incarnation;
        if !newer || ended {
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
            return self.note_accuser(id, by);
        }
        let mut entry = entry.clone();
        entry.state = MemberState::Suspect;
        entry.since = now;
        entry.suspected_at = None;
        entry.heard_at = None;
        entry.reporters = SmallVec::from_slice(&[by]);
        self.set_entry(entry);
        UpdateEffect::StateChanged {
            before: Some(MemberState::Alive),
        }
    }

    fn apply_end(
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

    fn note_accuser(&mut self, id: DaemonId, by: DaemonId) -> UpdateEffect {
        if !self.is_useful_accuser(id, by) {
            return UpdateEffect::Known;
        }
        let Some(entry) = self.entries.get_mut(&id) else {
            return UpdateEffect::Known;
        };
        entry.reporters.push(by);
        UpdateEffect::Confirmed
    }

    /// Whether `by` confirms a suspicion: as the second, or from a domain not heard yet.
    fn is_useful_accuser(&self, id: DaemonId, by: DaemonId) -> bool {
        let Some(entry) = self.get(id) else {
            return false;
        };
        let reporters = &entry.reporters;
        if reporters.contains(&by) || reporters.len() >= MAX_REPORTERS {
            return false;
        }
        // Two are enough, unless fewer than two other domains accuse and this is
        // one more: the loss of a domain is judged by the other domains alone.
        let own = Some(&entry.profile().domain);
        let mut others: SmallVec<[&DomainName; MAX_REPORTERS]> = SmallVec::new();
        for domain in reporters.iter().map(|other| self.domain(*other)) {
            if let Some(domain) = domain.filter(|_| domain != own)
                && !others.contains(&domain)
            {
                others.push(domain);
            }
        }
        let domain = self.domain(by);
        let another = domain != own && domain.is_none_or(|domain| !others.contains(&domain));
        reporters.len() < 2 || (others.len() < 2 && another)
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
            self.edition += 1;
        }
    }

    /// Adds an entry to the counts and hashes, or takes it out.
    fn count_entry(&mut self, entry: &MemberEntry, step: isize) {
        if !entry.state.is_live() {
            return;
        }
        let id = entry.record.id;
        self.buckets[bucket_of(id)] ^= entry_hash(id, entry.stamp());
        self.live_count = self.live_count.saturating_add_signed(step);
        if entry.state == MemberState::Suspect {
            self.suspect_count = self.suspect_count.saturating_add_signed(step);
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

/// The bucket in which a member is compared.
pub fn bucket_of(id: DaemonId) -> usize {
    (xxh3_64(&id.0.to_le_bytes()) % BUCKET_COUNT as u64) as usize
}

/// Hash of one member's edition.
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
        heard_at: None,
        reporters: SmallVec::new(),
    }
}
