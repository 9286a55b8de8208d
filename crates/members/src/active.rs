//! The active set: the few random peers of a daemon, besides the members that it watches.
//!
//! Each peer costs a connection for as long as messages arrive within its idle
//! timeout. Random probes, indirect probes and gossip therefore go to a small
//! set instead of the whole fleet, and an anti-entropy exchange is started only
//! with the sender of an answer to a probe. The set is the head of a shuffled
//! list of the pool: a dead member is replaced by the next in the list, and the
//! first one occasionally moves to the end, so that in the long run every pair is
//! in contact and no cluster stays separate. The random order mixes the failure
//! domains: of sets of 20 members out of two domains of equal size, two in a
//! million lie in a single domain.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::DaemonId;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

/// Mean time between two replacements of a member of a set.
const ROTATION_INTERVAL: Duration = Duration::from_secs(20);

/// Doublings added to those of the pool, so that in a small fleet the set holds every member.
const BASE_DOUBLINGS: f64 = 2.0;

/// A small random set out of a pool of members.
#[derive(Debug)]
pub struct ActiveSet {
    shuffled: Vec<DaemonId>,
    recent_probers: VecDeque<DaemonId>,
    per_doubling: f64,
    rotate_at: Instant,
}

impl ActiveSet {
    /// Creates an empty set that grows by `per_doubling` members whenever the pool doubles.
    pub fn new(per_doubling: f64, now: Instant, rng: &mut SmallRng) -> Self {
        Self {
            shuffled: Vec::new(),
            recent_probers: VecDeque::new(),
            per_doubling,
            rotate_at: now + ROTATION_INTERVAL.mul_f64(rng.random_range(0.5..1.5)),
        }
    }

    /// Returns the members of the set.
    pub fn members(&self) -> &[DaemonId] {
        &self.shuffled[..self.size()]
    }

    /// Sets the members to choose from; `pool` is in ascending order.
    pub fn set_pool(&mut self, pool: &[DaemonId], rng: &mut SmallRng) {
        self.shuffled.retain(|id| pool.binary_search(id).is_ok());
        self.recent_probers
            .retain(|id| pool.binary_search(id).is_ok());
        let mut present = self.shuffled.clone();
        present.sort_unstable();
        for id in pool {
            if present.binary_search(id).is_err() {
                let index = rng.random_range(0..=self.shuffled.len());
                self.shuffled.insert(index, *id);
            }
        }
    }

    /// Records a member that probed this daemon; a connection to it is already open.
    pub fn record_prober(&mut self, id: DaemonId) {
        if !self.shuffled.contains(&id) {
            return;
        }
        self.recent_probers.retain(|prober| *prober != id);
        self.recent_probers.push_back(id);
        if self.recent_probers.len() > self.size() {
            self.recent_probers.pop_front();
        }
    }

    /// Replaces one member if the rotation interval has passed.
    pub fn rotate(&mut self, now: Instant, rng: &mut SmallRng) {
        if now < self.rotate_at || self.shuffled.is_empty() {
            return;
        }
        self.rotate_at = now + ROTATION_INTERVAL.mul_f64(rng.random_range(0.5..1.5));
        self.shuffled.rotate_left(1);
    }

    /// Picks a random member of the set.
    pub fn pick(&self, rng: &mut SmallRng) -> Option<DaemonId> {
        let members = self.members();
        (!members.is_empty()).then(|| members[rng.random_range(0..members.len())])
    }

    /// Picks a random member of the set or of the recent probers that satisfies `wanted`.
    ///
    /// Recent probers are included because a member that is in few other sets would miss updates
    /// if the members that it probes did not send it theirs.
    pub fn pick_where(
        &self,
        wanted: impl Fn(DaemonId) -> bool,
        rng: &mut SmallRng,
    ) -> Option<DaemonId> {
        let peers = self.members().iter().chain(&self.recent_probers);
        let found = peers.filter(|id| wanted(**id));
        found.choose(rng).copied()
    }

    fn size(&self) -> usize {
        let doublings = f64::from((self.shuffled.len() + 1).ilog2());
        let size = self.per_doubling * (doublings + BASE_DOUBLINGS);
        (size.ceil() as usize).min(self.shuffled.len())
    }
}
