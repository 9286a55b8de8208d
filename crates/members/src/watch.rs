//! Assignment of probed members to their watchers.
//!
//! Every member has watchers, which all daemons derive in the same way from the
//! member list: two in its own failure domain and one in each other domain of
//! its region. One watcher in its own domain and the one in the domain that
//! precedes by name (the last precedes the first) probe in every interval, the
//! others only to confirm a suspicion. Each member is therefore probed twice per
//! interval whatever the size of the fleet, and a suspicion is confirmed from
//! several domains. In a region with a single domain, both watchers probe in
//! every interval. Additional random probes detect members whose watchers failed
//! together with them.

use std::collections::BTreeMap;

use model::{DaemonId, DomainName, RegionName};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::digest::MemberProfile;
use crate::table::MemberTable;

/// The members of one failure domain, ordered by the hash of their ids.
type DomainRing = Vec<(u64, DaemonId)>;

/// The members that one daemon probes, for one set of live members.
#[derive(Debug, Default)]
pub struct WatchPlan {
    own_domain: Option<DomainName>,
    rings: BTreeMap<DomainName, DomainRing>,
    watched: SmallVec<[DaemonId; 4]>,
    same_region: Vec<DaemonId>,
    other_regions: Vec<DaemonId>,
    own_rank: usize,
}

impl WatchPlan {
    /// Creates the plan of the daemon `own` with `profile` among the live members of `table`.
    pub fn new(own: DaemonId, profile: &MemberProfile, table: &MemberTable) -> Self {
        let mut plan = Self {
            own_domain: Some(profile.domain.clone()),
            ..Self::default()
        };
        plan.fill_rings(own, profile, table);
        let ring = &plan.rings[&profile.domain];
        plan.own_rank = rank_in(ring, own).unwrap_or(0);
        plan.watched = plan.watched_by(own, &profile.domain);
        plan
    }

    /// Returns the members that this daemon probes in every interval.
    pub fn watched(&self) -> &[DaemonId] {
        &self.watched
    }

    /// Returns the other members of the region, ascending.
    pub fn same_region(&self) -> &[DaemonId] {
        &self.same_region
    }

    /// Returns the members of other regions, ascending.
    pub fn other_regions(&self) -> &[DaemonId] {
        &self.other_regions
    }

    /// Whether this daemon is the member of its domain that confirms suspicions of `id`.
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
            // The daemon directly before the subject in the ring probes it in every interval, so
            // the one two places before confirms.
            let offset = own_ring.len().saturating_sub(2);
            return own_ring.len() > 2 && (rank + offset) % own_ring.len() == self.own_rank;
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
                self.same_region.push(id);
            } else {
                self.other_regions.push(id);
            }
        }
        for ring in self.rings.values_mut() {
            ring.sort_unstable();
        }
    }

    fn add_to_ring(&mut self, domain: &DomainName, id: DaemonId) {
        let position = (xxh3_64(&id.0.to_le_bytes()), id);
        if let Some(ring) = self.rings.get_mut(domain) {
            ring.push(position);
            return;
        }
        self.rings.insert(domain.clone(), vec![position]);
    }

    fn watched_by(&self, own: DaemonId, domain: &DomainName) -> SmallVec<[DaemonId; 4]> {
        let ring = &self.rings[domain];
        let mut watched = SmallVec::new();
        let neighbour = |offset: usize| ring[(self.own_rank + offset) % ring.len()].1;
        watched.push(neighbour(1));
        match self.next_ring(domain) {
            Some(next) => watched.extend(self.watched_in(next, ring.len())),
            None => watched.push(neighbour(2)),
        }
        watched.retain(|id| *id != own);
        watched.dedup();
        watched
    }

    /// Returns the ring of the domain after `domain`, if the region has another domain.
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

    fn watched_in<'ring>(
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

/// Returns the rank, in a ring of `watchers` members, of the watcher of the member with rank
/// `rank` in a ring of `watched` members.
fn watcher_rank(rank: usize, watched: usize, watchers: usize) -> usize {
    rank * watchers / watched
}

fn rank_in(ring: &DomainRing, id: DaemonId) -> Option<usize> {
    let position = (xxh3_64(&id.0.to_le_bytes()), id);
    ring.binary_search(&position).ok()
}
