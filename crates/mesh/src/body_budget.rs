//! Bounds the memory that a daemon uses for request bodies.
//!
//! A body is held until its request has ended, so that it can be sent to another
//! target. All bodies at a daemon share one budget, whatever their way in: those
//! of callers and those of other daemons. A body that the budget has no room for
//! is refused, at best before it is sent. Small bodies have a share of their own,
//! so that small requests go on while long bodies fill the budget.
//!
//! When there is no room, the sender that holds most for longest without progress
//! is told to end, so that senders that stop in the middle cannot keep the budget.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use model::ByteCount;

use crate::link::SMALL_BODY;

/// Memory for everything but large bodies.
const RESERVED: ByteCount = ByteCount(36 << 20);
/// Minimum of the budget, on a VM with little memory.
const MIN_CAPACITY: ByteCount = ByteCount(4 << 20);
/// Part of the memory for small bodies; each counts as the largest of them. On a VM with 160 MB
/// it holds 406, far more than a daemon has requests in progress.
const SMALL_MEMORY_PART: u64 = 16;
/// Time without a byte after which a body may be ended in favour of others; longer than the
/// retransmission of a lost packet takes.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Time after which a refused body may find room: most requests have ended by then.
pub const BODY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Budget for the request bodies that a daemon holds at the same time.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    capacity: u64,
    small_capacity: u64,
    state: Arc<Mutex<BudgetState>>,
}

#[derive(Debug, Default)]
struct BudgetState {
    held: u64,
    small_held: u64,
    /// Bodies that are being received from callers.
    receiving: HashMap<u64, ReceivedBody>,
    next_number: u64,
    /// Time of the latest event.
    latest: Option<Instant>,
}

/// A body that is being received.
#[derive(Debug)]
struct ReceivedBody {
    held: u64,
    small_held: u64,
    progress: Instant,
    evicted: bool,
}

/// Room in the budget for one body, given back on drop.
#[derive(Debug)]
pub struct BodyRoom {
    budget: BodyBudget,
    /// Size that was announced or has been received, whichever is greater.
    size: u64,
    /// Part of the budget that it takes; zero while the body is small.
    held: u64,
    /// Part of the share of small bodies that it takes.
    small_held: u64,
    /// Number among the bodies that are being received.
    receiving: Option<u64>,
}

impl BodyBudget {
    /// Creates the budget of a daemon whose process may use `memory`.
    pub fn new(memory: ByteCount) -> Self {
        let capacity = memory.0.saturating_sub(RESERVED.0).max(MIN_CAPACITY.0);
        Self {
            capacity,
            small_capacity: memory.0 / SMALL_MEMORY_PART,
            state: Arc::default(),
        }
    }

    /// Returns room for a body with the announced `size`, zero if it is unknown; `None` if there
    /// is none.
    pub fn reserve(&self, size: ByteCount) -> Option<BodyRoom> {
        let mut room = BodyRoom {
            budget: self.clone(),
            size: 0,
            held: 0,
            small_held: 0,
            receiving: None,
        };
        room.extend_to(size).then_some(room)
    }

    /// Returns the size of all bodies that take room.
    pub fn held(&self) -> ByteCount {
        ByteCount(self.lock().held)
    }

    /// Sets the time by which the progress of bodies is judged.
    pub fn observe(&self, now: Instant) {
        self.lock().latest = Some(now);
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BodyRoom {
    /// Records at `now` that bytes of a body arrived that is received from a caller.
    pub fn record_progress(&mut self, now: Instant) {
        let mut state = self.budget.lock();
        state.latest = Some(now);
        let number = *self.receiving.get_or_insert_with(|| {
            state.next_number += 1;
            state.next_number
        });
        let received = ReceivedBody {
            held: self.held,
            small_held: self.small_held,
            progress: now,
            evicted: false,
        };
        let evicted = state.receiving.get(&number).is_some_and(|old| old.evicted);
        let received = ReceivedBody {
            evicted,
            ..received
        };
        state.receiving.insert(number, received);
    }

    /// Returns whether the body must be ended in favour of others.
    pub fn is_evicted(&self) -> bool {
        let Some(number) = self.receiving else {
            return false;
        };
        let state = self.budget.lock();
        state
            .receiving
            .get(&number)
            .is_some_and(|body| body.evicted)
    }

    /// Records that the body has arrived; it stays until its request has ended.
    pub fn complete(&mut self) {
        if let Some(number) = self.receiving.take() {
            self.budget.lock().receiving.remove(&number);
        }
    }

    /// Makes room for a body of `size`; returns false if there is not enough.
    pub fn extend_to(&mut self, size: ByteCount) -> bool {
        if size.0 <= self.size {
            return true;
        }
        let is_small = size <= SMALL_BODY;
        let needed = if is_small { 0 } else { size.0 };
        let small_needed = if is_small { SMALL_BODY.0 } else { 0 };
        let mut state = self.budget.lock();
        let total = state.held - self.held + needed;
        let small_total = state.small_held - self.small_held + small_needed;
        if is_small && small_total > self.budget.small_capacity {
            state.evict_stalled(|body| body.small_held);
            return false;
        }
        if !is_small && total > self.budget.capacity {
            state.evict_stalled(|body| body.held);
            return false;
        }
        state.held = total;
        state.small_held = small_total;
        self.held = needed;
        self.small_held = small_needed;
        self.size = size.0;
        if let Some(body) = self
            .receiving
            .and_then(|number| state.receiving.get_mut(&number))
        {
            body.held = needed;
            body.small_held = small_needed;
        }
        true
    }
}

impl BudgetState {
    /// Selects the body that holds most for longest without progress.
    fn evict_stalled(&mut self, held: impl Fn(&ReceivedBody) -> u64) {
        let Some(now) = self.latest else {
            return;
        };
        let stalled = self.receiving.values_mut().filter(|body| {
            let idle_time = now.saturating_duration_since(body.progress);
            !body.evicted && held(body) > 0 && idle_time >= STALL_TIME
        });
        let worst = stalled.max_by_key(|body| {
            let idle_time = now.saturating_duration_since(body.progress);
            u128::from(held(body)) * idle_time.as_millis()
        });
        if let Some(body) = worst {
            body.evicted = true;
        }
    }
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        self.complete();
        let mut state = self.budget.lock();
        state.held -= self.held;
        state.small_held -= self.small_held;
    }
}
