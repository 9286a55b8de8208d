//! Collects a request body within the daemon's memory budget.
//!
//! The room that a body takes is given back when the last reference to its
//! bytes is dropped, wherever that is.

use bytes::{Bytes, BytesMut};
use mesh::{BodyBudget, BodyRoom};
use model::{ByteCount, ErrorKind, KindError};

/// Result of collecting a body; errors are of kind `Overloaded`.
type Result<T> = model::Result<T>;

/// A body that is being received.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: BytesMut,
    room: BodyRoom,
}

/// A received body and the room that it takes.
#[derive(Debug)]
struct HeldBody {
    bytes: Bytes,
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
        let room = budget.reserve(announced).ok_or_else(no_room)?;
        // One buffer of the right size: pieces joined at the end would take the memory twice.
        Ok(Self {
            bytes: BytesMut::with_capacity(announced.0 as usize),
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
        let size = ByteCount((self.bytes.len() + piece.len()) as u64);
        if !self.room.extend_to(size) {
            return Err(no_room());
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Returns the complete body.
    pub fn finish(self) -> Bytes {
        Bytes::from_owner(HeldBody {
            bytes: self.bytes.freeze(),
            _room: self.room,
        })
    }
}

fn no_room() -> KindError {
    KindError::new(ErrorKind::Overloaded, "no memory for the body")
}
