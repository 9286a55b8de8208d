//! Bounds the memory that a daemon uses for request bodies.
//!
//! A body is held until its request has ended, so that it can be sent to another
//! target. All bodies at a daemon share one budget, whatever their way in: those
//! of callers and those of other daemons. A body that the budget has no room for
//! is refused, at best before it is sent. Small bodies need no room, so that
//! small requests go on while long bodies fill the budget; their number is
//! bounded by the connections.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use model::ByteCount;

use crate::link::SMALL_BODY;

/// Memory for everything but large bodies.
const RESERVED: ByteCount = ByteCount(36 << 20);
/// Minimum of the budget, on a VM with little memory.
const MIN_CAPACITY: ByteCount = ByteCount(4 << 20);
/// Time after which a refused body may find room: most requests have ended by then.
pub const BODY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Budget for the request bodies that a daemon holds at the same time.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    capacity: u64,
    held: Arc<Mutex<u64>>,
}

/// Room in the budget for one body, given back on drop.
#[derive(Debug)]
pub struct BodyRoom {
    budget: BodyBudget,
    /// Size that was announced or has been received, whichever is greater.
    size: u64,
    /// Part of the budget that it takes; zero while the body is small.
    held: u64,
}

impl BodyBudget {
    /// Creates the budget of a daemon whose process may use `memory`.
    pub fn new(memory: ByteCount) -> Self {
        let capacity = memory.0.saturating_sub(RESERVED.0).max(MIN_CAPACITY.0);
        Self {
            capacity,
            held: Arc::default(),
        }
    }

    /// Returns room for a body with the announced `size`, zero if it is unknown; `None` if there
    /// is none.
    pub fn reserve(&self, size: ByteCount) -> Option<BodyRoom> {
        let mut room = BodyRoom {
            budget: self.clone(),
            size: 0,
            held: 0,
        };
        room.extend_to(size).then_some(room)
    }

    /// Returns the size of all bodies that take room.
    pub fn held(&self) -> ByteCount {
        ByteCount(*self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, u64> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BodyRoom {
    /// Makes room for a body of `size`; returns false if there is not enough.
    pub fn extend_to(&mut self, size: ByteCount) -> bool {
        if size.0 <= self.size {
            return true;
        }
        let needed = if size <= SMALL_BODY { 0 } else { size.0 };
        let mut held = self.budget.lock();
        let total = *held - self.held + needed;
        if needed > 0 && total > self.budget.capacity {
            return false;
        }
        *held = total;
        drop(held);
        self.held = needed;
        self.size = size.0;
        true
    }
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        *self.budget.lock() -= self.held;
    }
}
