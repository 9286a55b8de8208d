//! The live members, their ranks, and the trees over a failure domain.
//!
//! Every daemon derives the same ranks and trees from the same members, so
//! nothing is elected and nobody is told its place. Views may differ for a
//! while; a daemon then gets a message twice or not at all, and the
//! comparison with random peers repairs it. Each reader is the root of a tree
//! in an order of its own, so that a daemon which is inner in one tree is
//! most likely a leaf of the other.

use std::collections::BTreeMap;

use model::{DaemonId, DomainName, IncarnationNumber, RegionName};
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::message::PeerList;

/// Seed of the ranks, so that they differ from other uses of the hash.
const RANK_SEED: u64 = 0x7261_6e6b;

/// Share of comparisons that stay within the domain.
const OWN_DOMAIN_SHARE: f64 = 0.8;

/// Share of comparisons that stay within the region.
const OWN_REGION_SHARE: f64 = 0.95;

/// A live daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SpreadMember {
    /// The daemon.
    pub id: DaemonId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
    /// Its run.
    pub run: IncarnationNumber,
}

/// The live members as this daemon knows them.
#[derive(Debug)]
pub struct MemberRoster {
    own: SpreadMember,
    members: BTreeMap<DaemonId, SpreadMember>,
    domains: BTreeMap<DomainName, Vec<DaemonId>>,
    trees: BTreeMap<DaemonId, Vec<DaemonId>>,
    domain_hash: RosterHash,
}

/// Hash of the members of a domain and their runs; equal where the trees are.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct RosterHash(pub u32);

/// Trees kept; more roots than this exist only while views differ.
const MAX_TREES: usize = 8;

impl MemberRoster {
    /// A roster of this daemon alone.
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

    /// Takes the members anew; this daemon always counts.
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

    /// Names the own domain's members as this daemon knows them.
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

    /// This daemon.
    pub fn own(&self) -> &SpreadMember {
        &self.own
    }

    /// Number of members, this daemon included.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// Whether `id` is a member.
    pub fn contains(&self, id: DaemonId) -> bool {
        self.members.contains_key(&id)
    }

    /// The domain of a member.
    pub fn domain_of(&self, id: DaemonId) -> Option<&DomainName> {
        self.members.get(&id).map(|member| &member.domain)
    }

    /// Domains with a live member.
    pub fn domains(&self) -> impl Iterator<Item = &DomainName> {
        self.domains.keys()
    }

    /// Members of a domain, first in rank first.
    pub fn ranked(&self, domain: &DomainName) -> &[DaemonId] {
        self.domains.get(domain).map_or(&[], Vec::as_slice)
    }

    /// Rank of a member within its domain.
    pub fn rank_of(&self, id: DaemonId) -> Option<usize> {
        let domain = self.domain_of(id)?;
        self.ranked(domain).iter().position(|other| *other == id)
    }

    /// Levels below the root of a tree over the own domain; at least 1.
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

    /// Children of this daemon in the tree of `root`.
    pub fn children(&mut self, root: DaemonId, fan_out: usize) -> PeerList {
        let own = self.own.id;
        let order = self.tree(root);
        let Some(place) = order.iter().position(|id| *id == own) else {
            return PeerList::new();
        };
        let first = place * fan_out + 1;
        order.iter().skip(first).take(fan_out).copied().collect()
    }

    /// Parent of this daemon in the tree of `root`.
    pub fn parent(&mut self, root: DaemonId, fan_out: usize) -> Option<DaemonId> {
        let own = self.own.id;
        let order = self.tree(root);
        let place = order.iter().position(|id| *id == own)?;
        let above = place.checked_sub(1)? / fan_out;
        order.get(above).copied()
    }

    /// Own domain's members in the order of the tree of `root`.
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

    /// A random peer of the own domain.
    pub fn random_domain_peer(&self, rng: &mut SmallRng) -> Option<DaemonId> {
        let ranked = self.ranked(&self.own.domain);
        self.pick(ranked, rng)
    }

    /// A random peer: mostly of the own domain, at times of the own region, rarely any.
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
            Some(domain) => self.pick(self.ranked(domain), rng),
            None => self.random_domain_peer(rng),
        }
    }

    /// Other domains, of the own region only if `same_region`.
    fn other_domains(&self, same_region: bool) -> Vec<&DomainName> {
        let near = |ids: &Vec<DaemonId>| {
            let region = ids.first().and_then(|id| self.members.get(id));
            region.is_some_and(|member| member.region == self.own.region)
        };
        self.domains
            .iter()
            .filter(|(domain, _)| **domain != self.own.domain)
            .filter(|(_, ids)| !same_region || near(ids))
            .map(|(domain, _)| domain)
            .collect()
    }

    fn pick(&self, ids: &[DaemonId], rng: &mut SmallRng) -> Option<DaemonId> {
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
