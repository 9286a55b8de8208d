//! Whether keys that carry no time may run.
//!
//! Nobody can tell how old such a key is, so a home that has forgotten it takes
//! it for a fresh one. Only keys with a time are kept to one run for good.

use model::{ErrorKind, KindError};

use crate::key::{CallKey, CallerKey};

/// What checking a key returns; the kind is `KeyUntimed`.
pub type Result<T> = model::Result<T>;

/// What becomes of a key that is neither a `UUIDv7` nor issued.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum UntimedKeys {
    /// It is refused, so that every accepted key runs at most once.
    #[default]
    Refused,
    /// It runs, at most once within the window of the first sending; later it may run again.
    OncePerWindow,
}

impl UntimedKeys {
    /// Refuses a key without a time unless such keys may run.
    pub fn check(self, key: &CallKey) -> Result<()> {
        let untimed = matches!(key, CallKey::Caller(CallerKey::Untimed(_)));
        if !untimed || self == Self::OncePerWindow {
            return Ok(());
        }
        Err(KindError::new(
            ErrorKind::KeyUntimed,
            "the Idempotency-Key carries no time; send a UUIDv7, or a key issued by \
             POST /.quetzal/keys",
        ))
    }
}
