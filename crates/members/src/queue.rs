//! Updates on their way to other members, and the byte rate that bounds them.
//!
//! An update is passed on a number of times that grows with the logarithm of
//! the fleet; hearing it again counts as passing it on. When very many
//! updates wait (a herd returns, a partition heals) each is passed on fewer
//! times, and the exchange of summaries delivers the rest.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use model::DaemonId;

use crate::message::{MemberUpdate, update_len};

/// Queue length beyond which updates are passed on fewer times.
const CROWDED_LEN: usize = 32;
/// Least number of times that an accusation is passed on; its accuser tells the accused itself.
const MIN_ACCUSATIONS: u32 = 2;
/// Least number of times that a death is passed on.
const MIN_DEATHS: u32 = 8;
/// Least number of times that another short update is passed on.
const MIN_TRANSMITS: u32 = 4;

#[derive(Clone, Debug)]
struct QueuedUpdate {
    update: MemberUpdate,
    kind: UpdateKind,
    bytes: usize,
    sent: u32,
    limit: u32,
    order: u64,
}

/// A member, and whether the update is its own word or another's about it.
type QueueKey = (DaemonId, bool);

/// What kind of news an update is to the daemon that queues it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateKind {
    /// A known member changed, or is held for something else.
    Change,
    /// A member takes part that did not before; comparisons of views tell it too.
    Join,
}

/// Updates taken from the queue, and their size.
#[derive(Debug, Default)]
pub struct UpdateBatch {
    /// The updates.
    pub updates: Vec<MemberUpdate>,
    /// Bytes of all.
    pub bytes: usize,
    /// Bytes of those that tell joins.
    pub join_bytes: usize,
}

/// The newest updates about each member that are still being passed on.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    updates: BTreeMap<QueueKey, QueuedUpdate>,
    pushed: u64,
}

impl UpdateQueue {
    /// Queues `update` in place of older ones that it makes obsolete.
    pub fn push(&mut self, update: MemberUpdate, kind: UpdateKind, fleet: usize) {
        let key = key_of(&update);
        let update = self.merge(update);
        if update.is_self_reported() {
            self.updates.remove(&(update.id(), false));
        }
        let limit = self.limit_for(&update, fleet);
        if limit == 0 {
            self.updates.remove(&key);
            return;
        }
        self.pushed += 1;
        let queued = QueuedUpdate {
            bytes: update_len(&update),
            sent: 0,
            limit,
            order: self.pushed,
            kind,
            update,
        };
        self.updates.insert(key, queued);
    }

    /// A heartbeat becomes a record while the record itself is still being passed on.
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

    /// How often to pass `update` on; never, for records in a crowd, as summaries deliver them.
    fn limit_for(&self, update: &MemberUpdate, fleet: usize) -> u32 {
        let crowd = (self.updates.len() / CROWDED_LEN) as u32;
        let transmits = transmits_for(fleet) / (1 + crowd);
        match update {
            MemberUpdate::Alive(_) => transmits,
            MemberUpdate::Dead { .. } => transmits.max(MIN_DEATHS),
            MemberUpdate::Suspect { .. } => transmits.max(MIN_ACCUSATIONS),
            _ => transmits.max(MIN_TRANSMITS),
        }
    }

    /// Notes that another member already passed `update` on.
    pub fn on_duplicate(&mut self, update: &MemberUpdate) {
        let key = key_of(update);
        let Some(queued) = self.updates.get_mut(&key) else {
            return;
        };
        if queued.update.is_equivalent(update) {
            queued.sent += 1;
            if queued.sent >= queued.limit {
                self.updates.remove(&key);
            }
        }
    }

    /// Notes that another member knows all joins that wait.
    pub fn count_joins_as_sent(&mut self) {
        self.updates.retain(|_, queued| {
            if queued.kind == UpdateKind::Join {
                queued.sent += 1;
            }
            queued.sent < queued.limit
        });
    }

    /// Takes updates of at most `limit` bytes, of which at most `join_limit` for joins.
    ///
    /// Those passed on least go first.
    pub fn take(&mut self, limit: usize, join_limit: usize) -> UpdateBatch {
        let mut order: Vec<(u32, Reverse<u64>, QueueKey)> = self
            .updates
            .iter()
            .filter(|(_, queued)| queued.kind == UpdateKind::Change || queued.bytes <= join_limit)
            .map(|(key, queued)| (queued.sent, Reverse(queued.order), *key))
            .collect();
        order.sort_unstable();
        let mut room = limit;
        let mut join_room = join_limit;
        let mut taken = Vec::new();
        for (_, _, key) in order {
            let Some(queued) = self.updates.get_mut(&key) else {
                continue;
            };
            let join = queued.kind == UpdateKind::Join;
            if queued.bytes > room || (join && queued.bytes > join_room) {
                continue;
            }
            room -= queued.bytes;
            if join {
                join_room -= queued.bytes;
            }
            taken.push(queued.update.clone());
            queued.sent += 1;
            if queued.sent >= queued.limit {
                self.updates.remove(&key);
            }
        }
        UpdateBatch {
            updates: taken,
            bytes: limit - room,
            join_bytes: join_limit - join_room,
        }
    }

    /// Whether all that waits tells joins.
    pub fn has_only_joins(&self) -> bool {
        let mut waiting = self.updates.values();
        waiting.all(|queued| queued.kind == UpdateKind::Join)
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }

    /// Whether so many wait that each is passed on fewer times.
    pub fn is_congested(&self) -> bool {
        self.updates.len() >= CROWDED_LEN
    }
}

fn key_of(update: &MemberUpdate) -> QueueKey {
    (update.id(), update.is_self_reported())
}

/// How often an update is passed on in a fleet of `fleet` members.
fn transmits_for(fleet: usize) -> u32 {
    const PER_DOUBLING: u32 = 1;
    const BASE: u32 = 4;
    BASE + PER_DOUBLING * (fleet.max(1).ilog2())
}

/// A rate of bytes with a bounded burst.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// A bucket of at most `burst` bytes that gains `rate` bytes a second and begins with as many.
    pub fn new(rate: u32, burst: u32, now: Instant) -> Self {
        Self {
            rate: rate.into(),
            burst: burst.into(),
            level: rate.into(),
            filled_at: now,
        }
    }

    /// The same, full at first.
    #[must_use]
    pub fn full(mut self) -> Self {
        self.level = self.burst;
        self
    }

    /// The bytes that may be sent now.
    pub fn available(&mut self, now: Instant) -> usize {
        let passed = now.duration_since(self.filled_at);
        self.filled_at = now;
        self.level = (self.level + self.rate * passed.as_secs_f64()).min(self.burst);
        self.level.max(0.0) as usize
    }

    /// Notes bytes sent; the level may fall below zero and then recovers first.
    pub fn consume(&mut self, bytes: usize) {
        self.level -= bytes as f64;
    }
}
