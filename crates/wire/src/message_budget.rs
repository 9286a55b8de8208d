//! Bounds the memory of messages of peers that have not arrived completely.
//!
//! The first bytes of each message and the rest come from different shares, so that ordinary
//! messages pass while long ones fill the budget.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes of each message that come from the share of short messages; heads of calls are shorter.
const SHORT_BYTES: usize = 16 << 10;
/// Size of the share of short messages; room for 256 of the longest.
const SHORT_CAPACITY: usize = 4 << 20;

/// Budget that all connections of a server share.
#[derive(Clone, Debug)]
pub(crate) struct MessageBudget {
    short: MessageShare,
    long: MessageShare,
}

#[derive(Clone, Debug)]
struct MessageShare {
    capacity: usize,
    held: Arc<AtomicUsize>,
}

/// Room for one message, given back on drop.
#[derive(Debug)]
pub(crate) struct MessageRoom {
    short: SharePart,
    long: SharePart,
}

/// Bytes taken from a share, given back on drop.
#[derive(Debug)]
struct SharePart {
    share: MessageShare,
    held: usize,
}

impl MessageBudget {
    /// Creates a budget of `capacity` bytes for all but the first bytes of messages.
    pub(crate) fn new(capacity: usize) -> Self {
        let share = |capacity| MessageShare {
            capacity,
            held: Arc::default(),
        };
        Self {
            short: share(SHORT_CAPACITY),
            long: share(capacity),
        }
    }

    /// Returns room for a message of which nothing has arrived.
    pub(crate) fn open(&self) -> MessageRoom {
        let part = |share: &MessageShare| SharePart {
            share: share.clone(),
            held: 0,
        };
        MessageRoom {
            short: part(&self.short),
            long: part(&self.long),
        }
    }
}

impl MessageRoom {
    /// Makes room for a buffer of `capacity` bytes; returns false if there is not enough.
    pub(crate) fn extend_to(&mut self, capacity: usize) -> bool {
        let short = capacity.min(SHORT_BYTES);
        self.short.extend_to(short) && self.long.extend_to(capacity - short)
    }
}

impl SharePart {
    fn extend_to(&mut self, needed: usize) -> bool {
        let Some(more) = needed.checked_sub(self.held) else {
            return true;
        };
        let capacity = self.share.capacity;
        let fits = |held: usize| (held + more <= capacity).then_some(held + more);
        let shared = &self.share.held;
        let taken = shared.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits);
        if taken.is_ok() {
            self.held = needed;
        }
        taken.is_ok()
    }
}

impl Drop for SharePart {
    fn drop(&mut self) {
        self.share.held.fetch_sub(self.held, Ordering::Relaxed);
    }
}
