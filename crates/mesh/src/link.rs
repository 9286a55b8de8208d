//! Room for large bodies on the link of a VM.
//!
//! A link that is full delays everything on it: answers, status checks, the
//! questions by which daemons know one another. Large bodies fill a slow link
//! long before the target's slots are taken, so they are admitted by their
//! size. A body that would not be in within its part of the time left is
//! refused before it is sent; the daemon that holds it asks elsewhere.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use model::ByteCount;

/// Bodies up to this size pass without a look; they are small beside what a link buffers.
pub const SMALL_BODY: ByteCount = ByteCount(24 << 10);
/// Part of the link that large bodies may fill; the rest is for answers and messages.
const BULK_PART: f64 = 0.7;
/// Part of the time left that the bodies ahead and a body itself may take.
const TIME_PART: f32 = 0.2;
/// Longest time that admitted bodies may take, whatever time is left.
const MAX_BACKLOG: Duration = Duration::from_millis(500);

/// Large bodies on their way in.
#[derive(Clone, Debug)]
pub struct LinkGate {
    bytes_per_s: f64,
    pending: Arc<Mutex<u64>>,
}

/// Room for one body, given back as it arrives or when dropped.
#[derive(Debug)]
pub struct LinkReservation {
    left: u64,
    pending: Arc<Mutex<u64>>,
}

impl LinkGate {
    /// A gate for a link that carries `bytes_per_s`.
    pub fn new(bytes_per_s: f64) -> Self {
        Self {
            bytes_per_s: (bytes_per_s * BULK_PART).max(1.0),
            pending: Arc::default(),
        }
    }

    /// Takes in a body of `size` whose request has `remaining` left.
    ///
    /// The error is the time after which there may be room.
    pub fn admit(&self, size: ByteCount, remaining: Duration) -> Result<LinkReservation, Duration> {
        let size = if size <= SMALL_BODY { 0 } else { size.0 };
        let mut pending = lock(&self.pending);
        let time = Duration::from_secs_f64((*pending + size) as f64 / self.bytes_per_s);
        let limit = remaining.mul_f32(TIME_PART).min(MAX_BACKLOG);
        // An idle link takes any body: no other would be sooner.
        if size > 0 && time > limit && *pending > 0 {
            return Err(time.saturating_sub(limit));
        }
        *pending += size;
        Ok(LinkReservation {
            left: size,
            pending: Arc::clone(&self.pending),
        })
    }
}

impl LinkReservation {
    /// Notes that `count` bytes of the body have arrived.
    pub fn release(&mut self, count: usize) {
        let count = self.left.min(count as u64);
        self.left -= count;
        *lock(&self.pending) -= count;
    }
}

impl Drop for LinkReservation {
    fn drop(&mut self) {
        *lock(&self.pending) -= self.left;
    }
}

fn lock(pending: &Mutex<u64>) -> MutexGuard<'_, u64> {
    pending.lock().unwrap_or_else(PoisonError::into_inner)
}
