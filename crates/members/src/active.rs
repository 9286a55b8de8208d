//! The few members with which a daemon speaks, besides those that it watches.
//!
//! Each peer costs a connection for as long as messages come within its idle
//! time, so random probes, helpers and gossip go to a small set instead of to
//! the whole fleet, and comparisons of views follow the probes. The set is
//! the head of a shuffled list of all members of the pool: what dies is
//! replaced by the next in the list, and the first moves to the end now and
//! then, so that every pair meets in the long run and no cluster stays apart.
//! Random order mixes the failure domains: of 20 members from two domains of
//! one size, all are in one domain in two of a million sets.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::DaemonId;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

/// Mean time after which one member of a set is replaced.
const ROTATION_INTERVAL: Duration = Duration::from_secs(20);

/// Doublings for which a set of any size counts, so that small fleets stay whole.
const BASE_DOUBLINGS: f64 = 2.0;

/// A small random set out of a pool of members.
#[derive(Debug)]
pub struct ActiveSet {
    order: Vec<DaemonId>,
    callers: VecDeque<DaemonId>,
    per_doubling: f64,
    rotate_at: Instant,
}

impl ActiveSet {
    /// An empty set that grows by `per_doubling` members when the pool doubles.
    pub fn new(per_doubling: f64, now: Instant, rng: &mut SmallRng) -> Self {
        Self {
            order: Vec::new(),
            callers: VecDeque::new(),
            per_doubling,
            rotate_at: now + ROTATION_INTERVAL.mul_f64(rng.random_range(0.5..1.5)),
        }
    }

    /// The members of the set.
    pub fn members(&self) -> &[DaemonId] {
        &self.order[..self.size()]
    }

    /// Takes the members of `pool`, ascending, for those to choose from.
    pub fn set_pool(&mut self, pool: &[DaemonId], rng: &mut SmallRng) {
        self.order.retain(|id| pool.binary_search(id).is_ok());
        self.callers.retain(|id| pool.binary_search(id).is_ok());
        let mut known = self.order.clone();
        known.sort_unstable();
        for id in pool {
            if known.binary_search(id).is_err() {
                let place = rng.random_range(0..=self.order.len());
                self.order.insert(place, *id);
            }
        }
    }

    /// Notes a member that probed this daemon: a connection to it is open already.
    pub fn note_prober(&mut self, id: DaemonId) {
        if !self.order.contains(&id) {
            return;
        }
        self.callers.retain(|caller| *caller != id);
        self.callers.push_back(id);
        if self.callers.len() > self.size() {
            self.callers.pop_front();
        }
    }

    /// Replaces one member when the time has come.
    pub fn rotate(&mut self, now: Instant, rng: &mut SmallRng) {
        if now < self.rotate_at || self.order.is_empty() {
            return;
        }
        self.rotate_at = now + ROTATION_INTERVAL.mul_f64(rng.random_range(0.5..1.5));
        self.order.rotate_left(1);
    }

    /// A random member of the set.
    pub fn pick(&self, rng: &mut SmallRng) -> Option<DaemonId> {
        let members = self.members();
        (!members.is_empty()).then(|| members[rng.random_range(0..members.len())])
    }

    /// A random one of the set and its callers for which `wanted` holds.
    ///
    /// Some members are in few sets, and would miss news without their callers' part.
    pub fn pick_where(
        &self,
        wanted: impl Fn(DaemonId) -> bool,
        rng: &mut SmallRng,
    ) -> Option<DaemonId> {
        let peers = self.members().iter().chain(&self.callers);
        let found = peers.filter(|id| wanted(**id));
        found.choose(rng).copied()
    }

    fn size(&self) -> usize {
        let doublings = f64::from((self.order.len() + 1).ilog2());
        let size = self.per_doubling * (doublings + BASE_DOUBLINGS);
        (size.ceil() as usize).min(self.order.len())
    }
}
