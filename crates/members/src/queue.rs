//! The queue of updates to gossip, and the token bucket that limits their rate.
//!
//! An update is transmitted a number of times that grows with the logarithm of
//! the fleet size; receiving a duplicate counts as one transmission. While very
//! many updates are queued (the whole fleet restarts, a partition heals), each
//! is transmitted fewer times, and the anti-entropy exchange delivers the rest.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use model::DaemonId;

use crate::message::{MemberUpdate, update_len};

/// Queue length from which updates are transmitted fewer times.
const CONGESTED_LEN: usize = 32;
/// Minimum transmissions of a suspicion; its reporter also informs the suspect directly.
const MIN_SUSPECT_TRANSMITS: u32 = 2;
/// Minimum transmissions of a death.
const MIN_DEAD_TRANSMITS: u32 = 8;
/// Minimum transmissions of any other short update.
const MIN_TRANSMITS: u32 = 4;

#[derive(Clone, Debug)]
struct QueuedUpdate {
    update: MemberUpdate,
    kind: UpdateKind,
    bytes: usize,
    transmits: u32,
    max_transmits: u32,
    push_number: u64,
}

/// A member's id, and whether the member itself is the source of the update.
type QueueKey = (DaemonId, bool);

/// Kind of an update, which determines its rate limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateKind {
    /// The record or state of a known member changed.
    Change,
    /// A member joined or returned; the anti-entropy exchange delivers this too.
    Join,
}

/// Updates taken from the queue and their sizes.
#[derive(Debug, Default)]
pub struct UpdateBatch {
    /// The updates.
    pub updates: Vec<MemberUpdate>,
    /// Size of all updates, in bytes.
    pub bytes: usize,
    /// Size of the join updates, in bytes.
    pub join_bytes: usize,
}

/// The latest updates about each member that still have transmissions left.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    updates: BTreeMap<QueueKey, QueuedUpdate>,
    push_count: u64,
}

impl UpdateQueue {
    /// Queues `update` in place of older updates that it makes obsolete; the number of
    /// transmissions grows with `fleet_size`, the number of members.
    pub fn push(&mut self, update: MemberUpdate, kind: UpdateKind, fleet_size: usize) {
        let key = key_of(&update);
        let update = self.merge(update);
        if update.is_self_reported() {
            self.updates.remove(&(update.id(), false));
        }
        let max_transmits = self.max_transmits(&update, fleet_size);
        if max_transmits == 0 {
            self.updates.remove(&key);
            return;
        }
        self.push_count += 1;
        let queued = QueuedUpdate {
            bytes: update_len(&update),
            transmits: 0,
            max_transmits,
            push_number: self.push_count,
            kind,
            update,
        };
        self.updates.insert(key, queued);
    }

    /// Replaces a heartbeat by the full record while the record is still queued.
    fn merge(&self, update: MemberUpdate) -> MemberUpdate {
        let MemberUpdate::Heartbeat(heartbeat) = &update else {
            return update;
        };
        let queued = self.updates.get(&key_of(&update));
        let Some(MemberUpdate::Alive(record)) = queued.map(|queued| &queued.update) else {
            return update;
        };
        match record.with_heartbeat(heartbeat) {
            Some(record) => MemberUpdate::Alive(Arc::new(record)),
            None => update,
        }
    }

    /// Returns how often to transmit `update`. May be 0 for records under congestion, which the
    /// anti-entropy exchange delivers.
    fn max_transmits(&self, update: &MemberUpdate, fleet_size: usize) -> u32 {
        let congestion = (self.updates.len() / CONGESTED_LEN) as u32;
        let transmits = base_transmits(fleet_size) / (1 + congestion);
        match update {
            MemberUpdate::Alive(_) => transmits,
            MemberUpdate::Dead { .. } => transmits.max(MIN_DEAD_TRANSMITS),
            MemberUpdate::Suspect { .. } => transmits.max(MIN_SUSPECT_TRANSMITS),
            _ => transmits.max(MIN_TRANSMITS),
        }
    }

    /// Counts a duplicate of `update` received from another member as a transmission.
    pub fn on_duplicate(&mut self, update: &MemberUpdate) {
        let key = key_of(update);
        let Some(queued) = self.updates.get_mut(&key) else {
            return;
        };
        if queued.update.is_equivalent(update) {
            queued.transmits += 1;
            if queued.transmits >= queued.max_transmits {
                self.updates.remove(&key);
            }
        }
    }

    /// Counts a transmission of every queued join, since a peer has an equal view.
    pub fn count_joins_as_sent(&mut self) {
        self.updates.retain(|_, queued| {
            if queued.kind == UpdateKind::Join {
                queued.transmits += 1;
            }
            queued.transmits < queued.max_transmits
        });
    }

    /// Takes updates of at most `limit` bytes, of which joins take at most `join_limit`.
    ///
    /// Updates with the fewest transmissions go first, the latest of them first.
    pub fn take(&mut self, limit: usize, join_limit: usize) -> UpdateBatch {
        let mut candidates: Vec<(u32, Reverse<u64>, QueueKey)> = self
            .updates
            .iter()
            .filter(|(_, queued)| queued.kind == UpdateKind::Change || queued.bytes <= join_limit)
            .map(|(key, queued)| (queued.transmits, Reverse(queued.push_number), *key))
            .collect();
        candidates.sort_unstable();
        let mut remaining = limit;
        let mut join_remaining = join_limit;
        let mut taken = Vec::new();
        for (_, _, key) in candidates {
            let Some(queued) = self.updates.get_mut(&key) else {
                continue;
            };
            let is_join = queued.kind == UpdateKind::Join;
            if queued.bytes > remaining || (is_join && queued.bytes > join_remaining) {
                continue;
            }
            remaining -= queued.bytes;
            if is_join {
                join_remaining -= queued.bytes;
            }
            taken.push(queued.update.clone());
            queued.transmits += 1;
            if queued.transmits >= queued.max_transmits {
                self.updates.remove(&key);
            }
        }
        UpdateBatch {
            updates: taken,
            bytes: limit - remaining,
            join_bytes: join_limit - join_remaining,
        }
    }

    /// Whether every queued update is a join.
    pub fn has_only_joins(&self) -> bool {
        let mut queued = self.updates.values();
        queued.all(|update| update.kind == UpdateKind::Join)
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }

    /// Whether the queue is so long that each update is transmitted fewer times.
    pub fn is_congested(&self) -> bool {
        self.updates.len() >= CONGESTED_LEN
    }
}

fn key_of(update: &MemberUpdate) -> QueueKey {
    (update.id(), update.is_self_reported())
}

/// Returns the number of transmissions of an update among `fleet_size` members.
fn base_transmits(fleet_size: usize) -> u32 {
    const PER_DOUBLING: u32 = 1;
    const MIN: u32 = 4;
    MIN + PER_DOUBLING * (fleet_size.max(1).ilog2())
}

/// A token bucket: a rate limit with a bounded burst.
///
/// A token stands for a byte or, for limits on gossip rounds, for a round.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a bucket of at most `burst` tokens that gains `rate` tokens per second and starts
    /// with `rate` tokens.
    pub fn new(rate: u32, burst: u32, now: Instant) -> Self {
        Self {
            rate: rate.into(),
            burst: burst.into(),
            tokens: rate.into(),
            refilled_at: now,
        }
    }

    /// Fills the bucket.
    #[must_use]
    pub fn full(mut self) -> Self {
        self.tokens = self.burst;
        self
    }

    /// Refills the bucket and returns the number of whole tokens.
    pub fn available(&mut self, now: Instant) -> usize {
        let elapsed = now.duration_since(self.refilled_at);
        self.refilled_at = now;
        self.tokens = (self.tokens + self.rate * elapsed.as_secs_f64()).min(self.burst);
        self.tokens.max(0.0) as usize
    }

    /// Removes tokens; the bucket may go below zero and must then refill first.
    pub fn consume(&mut self, tokens: usize) {
        self.tokens -= tokens as f64;
    }
}
