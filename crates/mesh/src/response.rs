//! How long and how large an answer may be while it is passed on.
//!
//! A target in trouble may send bytes without end, slowly or fast. An answer is
//! cut off when its caller stops waiting, and at a size that none of a sound
//! target comes near.

use std::time::Instant;

use model::ByteCount;

/// Longest answer that is passed on.
pub const MAX_RESPONSE_SIZE: ByteCount = ByteCount(64 << 20);

/// Why an answer is cut off.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum ExceededLimit {
    /// Its caller stops waiting before its end.
    #[display("the answer did not end in time")]
    Time,
    /// It is longer than [`MAX_RESPONSE_SIZE`].
    #[display("the answer is too long")]
    Size,
}

/// The bound of one answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseLimit {
    forwarded: ByteCount,
    deadline: Instant,
}

impl ResponseLimit {
    /// The bound of an answer whose caller waits until `end`.
    pub fn new(deadline: Instant) -> Self {
        Self {
            forwarded: ByteCount(0),
            deadline,
        }
    }

    /// When the caller stops waiting.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Bytes so far.
    pub fn forwarded(&self) -> ByteCount {
        self.forwarded
    }

    /// Counts a piece of `length` that arrived at `now`.
    pub fn record(&mut self, length: ByteCount, now: Instant) -> Result<(), ExceededLimit> {
        self.forwarded.0 = self.forwarded.0.saturating_add(length.0);
        if now >= self.deadline {
            return Err(ExceededLimit::Time);
        }
        if self.forwarded > MAX_RESPONSE_SIZE {
            return Err(ExceededLimit::Size);
        }
        Ok(())
    }
}
