//! Refusals, with the time after which to retry.

use std::time::Duration;

use derive_more::{Display, Error};
use model::{ErrorKind, KindError};

/// Refusal of a call, which has not run.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("{kind}: retry after {} ms", retry_after.as_millis())]
pub struct LimitRefusal {
    /// Error kind, which determines the answer to the caller.
    pub kind: ErrorKind,
    /// Time after which to retry.
    pub retry_after: Duration,
}

impl LimitRefusal {
    /// Creates a refusal of `kind`.
    pub fn new(kind: ErrorKind, retry_after: Duration) -> Self {
        Self { kind, retry_after }
    }
}

impl From<LimitRefusal> for KindError {
    fn from(refusal: LimitRefusal) -> Self {
        let wait = refusal.retry_after.as_millis();
        Self::new(refusal.kind, format!("retry after {wait} ms"))
    }
}
