//! Policy for keys without a timestamp.
//!
//! The age of such a key is unknown, so a home that has dropped it would treat
//! it as new. Only keys with a timestamp run at most once without a time limit.

use model::{ErrorKind, KindError};

use crate::key::{CallKey, CallerKey};

/// Result of checking a key; errors have the kind `KeyUntimed`.
pub type Result<T> = model::Result<T>;

/// Policy for keys that are neither a `UUIDv7` nor issued.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum UntimedKeys {
    /// Such keys are refused, so every accepted key runs at most once.
    #[default]
    Refused,
    /// Such keys run at most once within a window after the first attempt, and may run again later.
    OncePerWindow,
}

impl UntimedKeys {
    /// Fails for an untimed key unless the policy lets such keys run.
    pub fn check(self, key: &CallKey) -> Result<()> {
        let untimed = matches!(key, CallKey::Caller(CallerKey::Untimed(_)));
        if !untimed || self == Self::OncePerWindow {
            return Ok(());
        }
        Err(KindError::new(
            ErrorKind::KeyUntimed,
            "the Idempotency-Key carries no timestamp; send a UUIDv7, or a key issued by \
             POST /.quetzal/keys",
        ))
    }
}
