//! Live members, their ranks, and the distribution trees over a failure domain.
//!
//! Every daemon derives the same ranks and trees from the same list of members, so
//! no election or assignment is needed. The lists may differ temporarily; a daemon
//! then receives a message twice or not at all, and the comparison with random
//! peers repairs it. Each reader is the root of its own tree in a different order,
//! so that an inner node of one tree is most likely a leaf of the other.

use std::collections::BTreeMap;

use model::{DaemonId, DomainName, IncarnationNumber, RegionName};
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::message::PeerList;

/// Hash seed of the ranks, which sets them apart from other uses of the hash.
const RANK_SEED: u64 = 0x7261_6e6b;

/// Share of comparisons that stay within the domain.
const OWN_DOMAIN_SHARE: f64 = 0.8;

/// Share of comparisons that stay within the region, including those within the domain.
const OWN_REGION_SHARE: f64 = 0.95;

/// Live daemon with its location.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SpreadMember {
    /// ID of the daemon.
    pub id: DaemonId,
    /// Failure domain of the daemon.
    pub domain: DomainName,
    /// Region of the daemon.
    pub region: RegionName,
    /// Incarnation, which changes at each start of the daemon.
    pub run: IncarnationNumber,
}

/// Live members as known to this daemon.
#[derive(Debug)]
pub struct MemberRoster {
    own: SpreadMember,
    members: BTreeMap<DaemonId, SpreadMember>,
    domains: BTreeMap<DomainName, Vec<DaemonId>>,
    trees: BTreeMap<DaemonId, Vec<DaemonId>>,
    domain_hash: RosterHash,
}

/// Hash of a domain's members and their incarnations; daemons with equal hashes
/// derive the same trees.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct RosterHash(pub u32);

/// Maximum number of cached trees; more roots exist only while member lists differ.
const MAX_TREES: usize = 8;

impl MemberRoster {
    /// Creates a roster that contains only this daemon.
    pub fn new(own: SpreadMember) -> Self {
        let mut roster = Self {
            own,
            members: BTreeMap::new(),
            domains: BTreeMap::new(),
            trees: BTreeMap::new(),
            domain_hash: RosterHash::default(),
        };
        roster.set(&[]);
        roster
    }

    /// Replaces the members; this daemon is always included.
    pub fn set(&mut self, members: &[SpreadMember]) {
        let others = members.iter().filter(|member| member.id != self.own.id);
        let members = others
            .chain(std::iter::once(&self.own))
            .map(|member| (member.id, member.clone()))
            .collect();
        if self.members == members {
            return;
        }
        self.members = members;
        self.domains.clear();
        for member in self.members.values() {
            let domain = self.domains.entry(member.domain.clone()).or_default();
            domain.push(member.id);
        }
        for ids in self.domains.values_mut() {
            ids.sort_by_cached_key(|id| (rank_hash(*id, RANK_SEED), *id));
        }
        self.trees.clear();
        self.domain_hash = self.hash_domain();
    }

    /// Returns the hash of the members of this daemon's domain.
    pub fn domain_hash(&self) -> RosterHash {
        self.domain_hash
    }

    fn hash_domain(&self) -> RosterHash {
        let mut hash = RANK_SEED;
        for id in self.ranked(&self.own.domain) {
            let run = self.members.get(id).map_or(0, |member| member.run.0);
            hash = rank_hash(*id, hash ^ run.rotate_left(32));
        }
        RosterHash(hash as u32)
    }

    /// Returns this daemon.
    pub fn own(&self) -> &SpreadMember {
        &self.own
    }

    /// Returns the number of members, including this daemon.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// Returns whether `id` is a member.
    pub fn contains(&self, id: DaemonId) -> bool {
        self.members.contains_key(&id)
    }

    /// Returns the failure domain of a member.
    pub fn domain_of(&self, id: DaemonId) -> Option<&DomainName> {
        self.members.get(&id).map(|member| &member.domain)
    }

    /// Returns the failure domains that have live members.
    pub fn domains(&self) -> impl Iterator<Item = &DomainName> {
        self.domains.keys()
    }

    /// Returns the members of a domain in the order of their ranks.
    pub fn ranked(&self, domain: &DomainName) -> &[DaemonId] {
        self.domains.get(domain).map_or(&[], Vec::as_slice)
    }

    /// Returns the rank of a member within its domain, starting at 0.
    pub fn rank_of(&self, id: DaemonId) -> Option<usize> {
        let domain = self.domain_of(id)?;
        self.ranked(domain).iter().position(|other| *other == id)
    }

    /// Returns the number of levels below the root of a tree over this daemon's domain,
    /// at least 1.
    pub fn depth(&self, fan_out: usize) -> u32 {
        let count = self.ranked(&self.own.domain).len();
        let (mut depth, mut level, mut reached) = (1, fan_out, fan_out + 1);
        while reached < count {
            level *= fan_out;
            reached += level;
            depth += 1;
        }
        depth
    }

    /// Returns the children of this daemon in the tree of `root`.
    pub fn children(&mut self, root: DaemonId, fan_out: usize) -> PeerList {
        let own = self.own.id;
        let order = self.tree(root);
        let Some(index) = order.iter().position(|id| *id == own) else {
            return PeerList::new();
        };
        let first = index * fan_out + 1;
        order.iter().skip(first).take(fan_out).copied().collect()
    }

    /// Returns the parent of this daemon in the tree of `root`.
    pub fn parent(&mut self, root: DaemonId, fan_out: usize) -> Option<DaemonId> {
        let own = self.own.id;
        let order = self.tree(root);
        let index = order.iter().position(|id| *id == own)?;
        let parent = index.checked_sub(1)? / fan_out;
        order.get(parent).copied()
    }

    /// Returns the members of this daemon's domain in the level order of the tree of `root`.
    fn tree(&mut self, root: DaemonId) -> &[DaemonId] {
        if self.trees.len() >= MAX_TREES && !self.trees.contains_key(&root) {
            self.trees.clear();
        }
        let ids = self.domains.get(&self.own.domain);
        self.trees.entry(root).or_insert_with(|| {
            let mut order = ids.cloned().unwrap_or_default();
            order.sort_by_cached_key(|id| (*id != root, rank_hash(*id, root.0), *id));
            order
        })
    }

    /// Returns a random peer of this daemon's domain.
    pub fn random_domain_peer(&self, rng: &mut SmallRng) -> Option<DaemonId> {
        let ranked = self.ranked(&self.own.domain);
        self.pick_random(ranked, rng)
    }

    /// Returns a random peer: mostly of this daemon's domain, sometimes of another
    /// domain in its region, rarely of another region.
    pub fn random_peer(&self, rng: &mut SmallRng) -> Option<DaemonId> {
        let draw = rng.random::<f64>();
        if draw < OWN_DOMAIN_SHARE
            && let Some(peer) = self.random_domain_peer(rng)
        {
            return Some(peer);
        }
        let same_region = draw < OWN_REGION_SHARE;
        let others = self.other_domains(same_region);
        match others.choose(rng) {
            Some(domain) => self.pick_random(self.ranked(domain), rng),
            None => self.random_domain_peer(rng),
        }
    }

    /// Returns the other domains, limited to this daemon's region if `same_region` is set.
    fn other_domains(&self, same_region: bool) -> Vec<&DomainName> {
        let is_same_region = |ids: &Vec<DaemonId>| {
            let region = ids.first().and_then(|id| self.members.get(id));
            region.is_some_and(|member| member.region == self.own.region)
        };
        self.domains
            .iter()
            .filter(|(domain, _)| **domain != self.own.domain)
            .filter(|(_, ids)| !same_region || is_same_region(ids))
            .map(|(domain, _)| domain)
            .collect()
    }

    /// Returns a random daemon of `ids` other than this one.
    fn pick_random(&self, ids: &[DaemonId], rng: &mut SmallRng) -> Option<DaemonId> {
        if ids.iter().all(|id| *id == self.own.id) {
            return None;
        }
        loop {
            let id = ids.choose(rng).copied()?;
            if id != self.own.id {
                return Some(id);
            }
        }
    }
}

fn rank_hash(id: DaemonId, seed: u64) -> u64 {
    xxh3_64_with_seed(&id.0.to_le_bytes(), seed)
}
