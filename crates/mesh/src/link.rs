//! Admission of large request bodies to the network link of a VM.
//!
//! A saturated link delays all its traffic: responses, health checks and the
//! membership protocol of the daemons. Large bodies saturate a slow link long
//! before the target's slots are taken, so they are admitted by size. A body
//! that would not arrive within its share of the time left is refused before it
//! is sent, and the daemon that holds it tries another target.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use model::ByteCount;

/// Bodies up to this size are always admitted; they are small compared to a link's buffers.
pub const SMALL_BODY: ByteCount = ByteCount(24 << 10);
/// Fraction of the link's bandwidth for large bodies; the rest is for responses and messages.
const BODY_FRACTION: f64 = 0.7;
/// Fraction of the time left that a body and all bodies ahead of it may take to arrive.
const TIME_FRACTION: f32 = 0.2;
/// Maximum time that all admitted bodies may take to arrive, whatever time is left.
const MAX_BACKLOG: Duration = Duration::from_millis(500);

/// Admission control for large bodies on one link.
#[derive(Clone, Debug)]
pub struct LinkGate {
    /// Bandwidth for large bodies.
    bytes_per_s: f64,
    /// Bytes of admitted bodies that have not arrived yet.
    pending: Arc<Mutex<u64>>,
}

/// Reservation for one body, released as the body arrives or on drop.
#[derive(Debug)]
pub struct LinkReservation {
    remaining: u64,
    pending: Arc<Mutex<u64>>,
}

impl LinkGate {
    /// Creates a gate for a link with a bandwidth of `bytes_per_s`.
    pub fn new(bytes_per_s: f64) -> Self {
        Self {
            bytes_per_s: (bytes_per_s * BODY_FRACTION).max(1.0),
            pending: Arc::default(),
        }
    }

    /// Admits a body of `size` bytes whose request has `remaining` time left.
    ///
    /// If the body is refused, the error is the time after which to retry.
    pub fn admit(&self, size: ByteCount, remaining: Duration) -> Result<LinkReservation, Duration> {
        let size = if size <= SMALL_BODY { 0 } else { size.0 };
        let mut pending = lock(&self.pending);
        let time = Duration::from_secs_f64((*pending + size) as f64 / self.bytes_per_s);
        let limit = remaining.mul_f32(TIME_FRACTION).min(MAX_BACKLOG);
        // An idle link admits a body of any size: waiting would not make it arrive sooner.
        if size > 0 && time > limit && *pending > 0 {
            return Err(time.saturating_sub(limit));
        }
        *pending += size;
        Ok(LinkReservation {
            remaining: size,
            pending: Arc::clone(&self.pending),
        })
    }
}

impl LinkReservation {
    /// Releases `count` bytes of the body that have arrived.
    pub fn release(&mut self, count: usize) {
        let count = self.remaining.min(count as u64);
        self.remaining -= count;
        *lock(&self.pending) -= count;
    }
}

impl Drop for LinkReservation {
    fn drop(&mut self) {
        *lock(&self.pending) -= self.remaining;
    }
}

fn lock(pending: &Mutex<u64>) -> MutexGuard<'_, u64> {
    pending.lock().unwrap_or_else(PoisonError::into_inner)
}
