//! Bounds the duration and size of a response that is streamed to a caller.
//!
//! A faulty target may send data without end, slowly or fast. A response is cut
//! off when its caller stops waiting, or at a size far above what a healthy
//! target sends.

use std::time::Instant;

use model::ByteCount;

/// Maximum size of a response.
pub const MAX_RESPONSE_SIZE: ByteCount = ByteCount(64 << 20);

/// The limit that a response exceeded.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum ExceededLimit {
    /// The caller stopped waiting before the response was complete.
    #[display("the response was not complete at the caller's deadline")]
    Time,
    /// The response is larger than [`MAX_RESPONSE_SIZE`].
    #[display("the response exceeds the maximum size")]
    Size,
}

/// Limits of one response and the bytes forwarded so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseLimit {
    forwarded: ByteCount,
    deadline: Instant,
}

impl ResponseLimit {
    /// Creates the limit of a response whose caller waits until `deadline`.
    pub fn new(deadline: Instant) -> Self {
        Self {
            forwarded: ByteCount(0),
            deadline,
        }
    }

    /// Returns the time at which the caller stops waiting.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the number of bytes recorded so far.
    pub fn forwarded(&self) -> ByteCount {
        self.forwarded
    }

    /// Records a chunk of `length` bytes received at `now`.
    ///
    /// Returns an error if the response exceeds a limit.
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
