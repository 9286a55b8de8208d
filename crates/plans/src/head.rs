//! Where a fold stands, in a few bytes.
//!
//! Daemons compare heads to learn who is behind and whether both folded the
//! same records alike. The hash is a chain over every record and its verdict,
//! so two folds with one hash agree on the whole past.

use std::fmt;
use std::time::SystemTime;

use model::{ConfigVersion, LogOffset};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// One record of the config stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigRecord {
    /// Position in the stream.
    pub offset: LogOffset,
    /// When the log service took the record, by its clock.
    pub at: SystemTime,
    /// The record itself.
    pub body: Box<[u8]>,
}

/// A chain hash, shown as 32 hexadecimal digits.
#[derive(Clone, Copy, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct StateHash([u8; 16]);

impl StateHash {
    /// The hash of `parts`, each with its length.
    pub(crate) fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest[..16]);
        Self(bytes)
    }

    /// The hash of one record.
    pub(crate) fn of_record(record: &ConfigRecord) -> Self {
        let offset = record.offset.0.to_le_bytes();
        Self::of(&[&offset, &record.body])
    }

    /// The hash with these bytes.
    pub(crate) fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// The bytes of the hash.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for StateHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for StateHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "StateHash({self})")
    }
}

/// Where a fold stands.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct StateHead {
    /// The version in force.
    pub version: ConfigVersion,
    /// The last record folded, accepted or not; heads are ordered by it.
    pub folded: ConfigVersion,
    /// Where the next read of the log goes on.
    pub next_offset: LogOffset,
    /// Chain hash over all records folded and their verdicts.
    pub hash: StateHash,
}

impl StateHead {
    /// Whether the other fold has seen more records.
    pub fn is_behind(&self, other: &Self) -> bool {
        self.folded < other.folded
    }

    /// Whether both folds saw equally many records, but not the same ones.
    pub fn conflicts_with(&self, other: &Self) -> bool {
        self.folded == other.folded && self.hash != other.hash
    }
}
