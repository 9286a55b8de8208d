//! Compact summary of a state's position in the log.
//!
//! Daemons compare heads to find out which of them is behind and whether both
//! folded the same records with the same results. The hash chains every record
//! and its verdict, beginning with the last rebase or else the first record, so
//! two states with equal hashes agree on all of them.

use std::fmt;
use std::time::SystemTime;

use model::{ConfigVersion, LogOffset};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// A record as read from the config stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigRecord {
    /// Position in the stream.
    pub offset: LogOffset,
    /// Time of the append, by the clock of the log service.
    pub at: SystemTime,
    /// Encoded [`crate::change::StreamRecord`].
    pub body: Box<[u8]>,
}

/// Hash of a record, or chain hash of a state, displayed as 32 hexadecimal digits.
#[derive(Clone, Copy, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct StateHash([u8; 16]);

impl StateHash {
    /// Returns the hash of `parts`, each prefixed with its length.
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

    /// Returns the hash of a record.
    pub(crate) fn of_record(record: &ConfigRecord) -> Self {
        let offset = record.offset.0.to_le_bytes();
        Self::of(&[&offset, &record.body])
    }

    /// Creates a hash from its bytes.
    pub(crate) fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the hash.
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

/// Position of a state in the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct StateHead {
    /// Version in force.
    pub version: ConfigVersion,
    /// Version number of the last folded record, accepted or not; heads are ordered by it.
    pub folded: ConfigVersion,
    /// Offset of the next record to read.
    pub next_offset: LogOffset,
    /// Chain hash over the folded records and their verdicts, restarted by a rebase.
    pub hash: StateHash,
}

impl StateHead {
    /// Returns whether the last record of `other` has a higher version number.
    pub fn is_behind(&self, other: &Self) -> bool {
        self.folded < other.folded
    }

    /// Returns whether both have the same last version number, but different records or verdicts.
    pub fn conflicts_with(&self, other: &Self) -> bool {
        self.folded == other.folded && self.hash != other.hash
    }
}
