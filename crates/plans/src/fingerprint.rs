//! One accepted change, named so that another log's is told from it.
//!
//! Versions of two logs may be equal; the chain hash of a change is not. A
//! folder remembers the mark of the change that it was made from, and so knows
//! its log again when no process does.

use std::fmt;
use std::str::FromStr;

use model::{ConfigVersion, ErrorKind, KindError, ensure};

use crate::head::StateHash;
use crate::state::{ConfigState, Result};

/// Version and chain hash of an accepted change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChangeFingerprint {
    /// The version that the change made.
    pub version: ConfigVersion,
    /// The hash over all records up to it.
    pub hash: StateHash,
}

impl ConfigState {
    /// The mark of the last change accepted up to `base`, while remembered.
    pub fn fingerprint_at(&self, base: ConfigVersion) -> Option<ChangeFingerprint> {
        let mut changes = self.history().rev();
        let last = changes.find(|change| change.version <= base)?;
        Some(ChangeFingerprint {
            version: last.version,
            hash: last.hash,
        })
    }

    /// Checks that the change belongs to the past of this state.
    ///
    /// Fails with `LogDiverged` if another record made its version; a change
    /// that is no longer remembered, or not yet folded, proves nothing.
    pub fn check_fingerprint(&self, mark: &ChangeFingerprint) -> Result<()> {
        let remembered = mark.version > self.floor() && mark.version <= self.base();
        if !remembered || self.fingerprint_at(mark.version) == Some(*mark) {
            return Ok(());
        }
        let detail = format!("version {} is another one in this log", mark.version);
        Err(KindError::new(ErrorKind::LogDiverged, detail))
    }
}

impl fmt::Display for ChangeFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.version, self.hash)
    }
}

impl FromStr for ChangeFingerprint {
    type Err = KindError;

    fn from_str(text: &str) -> Result<Self> {
        let parts = text.split_once(':');
        let (version, hash) = parts.ok_or_else(|| unreadable(text))?;
        Ok(Self {
            version: version.parse()?,
            hash: hash.parse()?,
        })
    }
}

impl FromStr for StateHash {
    type Err = KindError;

    fn from_str(text: &str) -> Result<Self> {
        let digits = text.len() == 32 && text.bytes().all(|digit| digit.is_ascii_hexdigit());
        ensure(digits, ErrorKind::RequestInvalid, "a hash has 32 digits")?;
        let number = u128::from_str_radix(text, 16);
        let number = number.map_err(|error| unreadable(&error.to_string()))?;
        Ok(Self::from_bytes(number.to_be_bytes()))
    }
}

fn unreadable(text: &str) -> KindError {
    KindError::new(ErrorKind::RequestInvalid, format!("{text} is no mark"))
}
