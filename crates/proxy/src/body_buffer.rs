//! Collects a request body within the daemon's memory budget.
//!
//! The room that a body takes is given back when the last reference to its
//! bytes is dropped, wherever that is.

use std::time::Instant;

use bytes::Bytes;
use mesh::{BodyBudget, BodyRoom};
use model::{ByteCount, ErrorKind, KindError};

/// Result of collecting a body; errors are of kind `Overloaded`.
type Result<T> = model::Result<T>;

/// A buffer without an announced size grows by this part of its size: doubling it would take
/// up to twice the memory of the body.
const GROWTH_PART: usize = 4;
/// Minimum by which it grows.
const MIN_GROWTH: usize = 4 << 10;

/// A body that is being received.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    room: BodyRoom,
}

/// A received body and the room that it takes.
#[derive(Debug)]
struct HeldBody {
    bytes: Vec<u8>,
    _room: BodyRoom,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyBuffer {
    /// Reserves room for a body with the `announced` size, zero if it is unknown.
    pub fn new(budget: &BodyBudget, announced: ByteCount) -> Result<Self> {
        budget.observe(Instant::now());
        let room = budget.reserve(announced).ok_or_else(no_room)?;
        // One buffer of the right size: pieces joined at the end would take the memory twice.
        Ok(Self {
            bytes: Vec::with_capacity(announced.0 as usize),
            room,
        })
    }

    /// Returns the number of bytes received so far.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether nothing has been received.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Adds bytes that have arrived.
    pub fn push(&mut self, piece: &[u8]) -> Result<()> {
        let needed = self.bytes.len() + piece.len();
        if needed > self.bytes.capacity() {
            self.grow(needed)?;
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Makes the buffer large enough for `needed` bytes. The room is that of its capacity.
    fn grow(&mut self, needed: usize) -> Result<()> {
        let growth = (self.bytes.capacity() / GROWTH_PART).max(MIN_GROWTH);
        let preferred = needed.max(self.bytes.capacity() + growth);
        let capacity = [preferred, needed]
            .into_iter()
            .find(|capacity| self.room.extend_to(ByteCount(*capacity as u64)))
            .ok_or_else(no_room)?;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    /// Records at `now` that bytes arrived from a caller.
    pub fn record_progress(&mut self, now: Instant) {
        self.room.record_progress(now);
    }

    /// Returns whether the body must be ended in favour of others.
    pub fn is_evicted(&self) -> bool {
        self.room.is_evicted()
    }

    /// Returns the complete body.
    pub fn finish(mut self) -> Bytes {
        self.room.complete();
        Bytes::from_owner(HeldBody {
            bytes: self.bytes,
            _room: self.room,
        })
    }
}

fn no_room() -> KindError {
    KindError::new(ErrorKind::Overloaded, "no memory for the body")
}
