//! Fingerprint of an accepted change, which distinguishes it from the changes
//! of another log.
//!
//! Two logs can use the same version numbers, but their chain hashes differ. An
//! operator's folder stores the fingerprint of the change from which it was
//! made, so its log can be recognized even if no running process has its state.

use std::fmt;
use std::str::FromStr;

use model::{ConfigVersion, ErrorKind, KindError, ensure};

use crate::head::StateHash;
use crate::state::{ConfigState, Result};

/// Version and chain hash of an accepted change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChangeFingerprint {
    /// Version created by the change.
    pub version: ConfigVersion,
    /// Chain hash over the records up to and including the change, restarted by a rebase.
    pub hash: StateHash,
}

impl ConfigState {
    /// Returns the fingerprint of the last change accepted up to `base`, if it is retained.
    pub fn fingerprint_at(&self, base: ConfigVersion) -> Option<ChangeFingerprint> {
        let mut changes = self.history().rev();
        let last = changes.find(|change| change.version <= base)?;
        Some(ChangeFingerprint {
            version: last.version,
            hash: last.hash,
        })
    }

    /// Checks that the change belongs to the history of this state.
    ///
    /// Fails with `LogDiverged` if a different record created its version. A
    /// change that is no longer retained, or not yet folded, passes: it can
    /// be neither confirmed nor ruled out.
    pub fn check_fingerprint(&self, fingerprint: &ChangeFingerprint) -> Result<()> {
        let retained = fingerprint.version > self.floor() && fingerprint.version <= self.base();
        if !retained || self.fingerprint_at(fingerprint.version) == Some(*fingerprint) {
            return Ok(());
        }
        let detail = format!(
            "version {} is a different change in this log",
            fingerprint.version
        );
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
        let (version, hash) = parts.ok_or_else(|| invalid_fingerprint(text))?;
        Ok(Self {
            version: version.parse()?,
            hash: hash.parse()?,
        })
    }
}

impl FromStr for StateHash {
    type Err = KindError;

    fn from_str(text: &str) -> Result<Self> {
        let valid = text.len() == 32 && text.bytes().all(|digit| digit.is_ascii_hexdigit());
        ensure(
            valid,
            ErrorKind::RequestInvalid,
            "a hash has 32 hexadecimal digits",
        )?;
        let number = u128::from_str_radix(text, 16);
        let number = number.map_err(|error| invalid_fingerprint(&error.to_string()))?;
        Ok(Self::from_bytes(number.to_be_bytes()))
    }
}

fn invalid_fingerprint(text: &str) -> KindError {
    KindError::new(
        ErrorKind::RequestInvalid,
        format!("invalid change fingerprint: {text}"),
    )
}
