//! Whom a daemon probes.
//!
//! Every member has watchers that all daemons compute alike from the member
//! list: one in its own failure domain, and one in each other domain of its
//! region, of which the one in the domain before its own probes all the time
//! and the others only to confirm a suspicion. So each member is probed
//! twice in each interval whatever the size of the fleet, and a suspicion is
//! judged from several domains. Random probes on top find what fixed watchers
//! miss when they die together.

use std::collections::BTreeMap;

use model::{DaemonId, DomainName, RegionName};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::digest::MemberProfile;
use crate::table::MemberTable;

/// The members of one failure domain in hash order.
type DomainRing = Vec<(u64, DaemonId)>;

/// Whom one daemon probes, for one set of live members.
#[derive(Debug, Default)]
pub struct WatchPlan {
    own_domain: Option<DomainName>,
    rings: BTreeMap<DomainName, DomainRing>,
    fixed: SmallVec<[DaemonId; 4]>,
    near: Vec<DaemonId>,
    far: Vec<DaemonId>,
    own_rank: usize,
}

impl WatchPlan {
    /// The plan of the daemon `own` with `profile` among the live members of `table`.
    pub fn new(own: DaemonId, profile: &MemberProfile, table: &MemberTable) -> Self {
        let mut plan = Self {
            own_domain: Some(profile.domain.clone()),
            ..Self::default()
        };
        plan.fill_rings(own, profile, table);
        let ring = &plan.rings[&profile.domain];
        plan.own_rank = rank_in(ring, own).unwrap_or(0);
        plan.fixed = plan.fixed_watches(own, &profile.domain);
        plan
    }

    /// The members that this daemon probes in every interval.
    pub fn watched(&self) -> &[DaemonId] {
        &self.fixed
    }

    /// Other members of the region.
    pub fn same_region(&self) -> &[DaemonId] {
        &self.near
    }

    /// Members of other regions.
    pub fn other_regions(&self) -> &[DaemonId] {
        &self.far
    }

    /// Whether this daemon is the one of its domain that confirms suspicions of `id`.
    pub fn confirms(&self, id: DaemonId, domain: &DomainName) -> bool {
        let Some(own_domain) = &self.own_domain else {
            return false;
        };
        let (Some(ring), Some(own_ring)) = (self.rings.get(domain), self.rings.get(own_domain))
        else {
            return false;
        };
        let Some(rank) = rank_in(ring, id) else {
            return false;
        };
        if domain == own_domain {
            let step = own_ring.len().saturating_sub(2);
            return own_ring.len() > 2 && (rank + step) % own_ring.len() == self.own_rank;
        }
        watcher_rank(rank, ring.len(), own_ring.len()) == self.own_rank
    }

    fn fill_rings(&mut self, own: DaemonId, profile: &MemberProfile, table: &MemberTable) {
        let own_region: &RegionName = &profile.region;
        self.add_to_ring(&profile.domain, own);
        for entry in table.live() {
            let id = entry.record.id;
            if entry.profile().region == *own_region {
                self.add_to_ring(&entry.profile().domain, id);
                self.near.push(id);
            } else {
                self.far.push(id);
            }
        }
        for ring in self.rings.values_mut() {
            ring.sort_unstable();
        }
    }

    fn add_to_ring(&mut self, domain: &DomainName, id: DaemonId) {
        let point = (xxh3_64(&id.0.to_le_bytes()), id);
        if let Some(ring) = self.rings.get_mut(domain) {
            ring.push(point);
            return;
        }
        self.rings.insert(domain.clone(), vec![point]);
    }

    fn fixed_watches(&self, own: DaemonId, domain: &DomainName) -> SmallVec<[DaemonId; 4]> {
        let ring = &self.rings[domain];
        let mut watches = SmallVec::new();
        let neighbour = |step: usize| ring[(self.own_rank + step) % ring.len()].1;
        watches.push(neighbour(1));
        match self.next_ring(domain) {
            Some(next) => watches.extend(self.mapped_watches(next, ring.len())),
            None => watches.push(neighbour(2)),
        }
        watches.retain(|id| *id != own);
        watches.dedup();
        watches
    }

    /// The ring of the domain after `domain`, if the region has another.
    fn next_ring(&self, domain: &DomainName) -> Option<&DomainRing> {
        let after = self
            .rings
            .range::<DomainName, _>((
                std::ops::Bound::Excluded(domain),
                std::ops::Bound::Unbounded,
            ))
            .next();
        let (next, ring) = after.or_else(|| self.rings.iter().next())?;
        (next != domain).then_some(ring)
    }

    fn mapped_watches<'ring>(
        &self,
        ring: &'ring DomainRing,
        own_len: usize,
    ) -> impl Iterator<Item = DaemonId> + 'ring {
        let own_rank = self.own_rank;
        ring.iter()
            .enumerate()
            .filter(move |(rank, _)| watcher_rank(*rank, ring.len(), own_len) == own_rank)
            .map(|(_, (_, id))| *id)
    }
}

/// Rank in a ring of `watchers` of the one that watches `rank` in a ring of `watched`.
fn watcher_rank(rank: usize, watched: usize, watchers: usize) -> usize {
    rank * watchers / watched
}

fn rank_in(ring: &DomainRing, id: DaemonId) -> Option<usize> {
    let point = (xxh3_64(&id.0.to_le_bytes()), id);
    ring.binary_search(&point).ok()
}
