//! Records of the lease stream.

use model::{ErrorKind, KindError};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::table::TableCheckpoint;
use super::types::{HolderId, KeyRange, TermEpoch, TermRef};

/// What coding a record returns; the kind is `FrameInvalid`.
pub type Result<T> = model::Result<T>;

/// Largest record that is read, in bytes.
pub const MAX_RECORD_BYTES: usize = 16 * 1024;

/// One record of the lease stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// Who appended it.
    pub by: HolderId,
    /// Number among the appender's records, to match a record with its append.
    pub serial: u64,
    /// What it does.
    pub action: LeaseAction,
    /// The appender's table, for readers that begin in mid-stream.
    pub checkpoint: Option<TableCheckpoint>,
}

/// What a record does.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LeaseAction {
    /// Begins a term of each range that has lapsed.
    Claim {
        /// The ranges, each with the term that it replaces.
        claims: SmallVec<[RangeClaim; 8]>,
        /// Length of the lease in milliseconds.
        lease_ms: u32,
        /// Allowed skew of callers' clocks in milliseconds.
        skew_ms: u32,
    },
    /// Renews every term of the appender.
    Renew,
    /// Ends terms before they lapse and begins the successor's.
    Release {
        /// The terms that end.
        terms: SmallVec<[TermRef; 8]>,
        /// Who holds the ranges from here on.
        successor: HolderId,
    },
    /// Declares that no lease is alive; counts a full lease after another one.
    Refound,
}

/// A claim of one range.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RangeClaim {
    /// The range.
    pub range: KeyRange,
    /// The term that the claim replaces.
    pub prior: TermEpoch,
}

impl LeaseRecord {
    /// The record as stored in the log.
    pub fn encode(&self) -> Box<[u8]> {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
            .expect("plain data always encodes")
            .into()
    }

    /// Reads a record back; refuses what is too large or has bytes left over.
    pub fn decode(body: &[u8]) -> Result<Self> {
        let config = bincode::config::standard().with_limit::<MAX_RECORD_BYTES>();
        let invalid = |detail: String| {
            KindError::new(ErrorKind::FrameInvalid, format!("lease record: {detail}"))
        };
        let (record, read) = bincode::serde::decode_from_slice(body, config)
            .map_err(|error| invalid(error.to_string()))?;
        if read < body.len() {
            return Err(invalid("bytes left over".into()));
        }
        Ok(record)
    }
}
