//! A refusal with the time after which to come again.

use std::time::Duration;

use derive_more::{Display, Error};
use model::{ErrorKind, KindError};

/// Why a call was refused; it did not run.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("{kind}: again after {} ms", retry_after.as_millis())]
pub struct LimitRefusal {
    /// The kind, which decides the answer.
    pub kind: ErrorKind,
    /// When to come again.
    pub retry_after: Duration,
}

impl LimitRefusal {
    /// A refusal of `kind`.
    pub fn new(kind: ErrorKind, retry_after: Duration) -> Self {
        Self { kind, retry_after }
    }
}

impl From<LimitRefusal> for KindError {
    fn from(refusal: LimitRefusal) -> Self {
        let wait = refusal.retry_after.as_millis();
        Self::new(refusal.kind, format!("come again after {wait} ms"))
    }
}
