//! Records of the lease stream and their encoding.

use model::{ErrorKind, KindError};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::table::TableCheckpoint;
use super::types::{HolderId, KeyRange, TermEpoch, TermRef};

/// Result of decoding a record; errors have the kind `FrameInvalid`.
pub type Result<T> = model::Result<T>;

/// Maximum size of a record that is decoded, in bytes.
pub const MAX_RECORD_BYTES: usize = 16 * 1024;

/// One record of the lease stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// Daemon run that appended the record.
    pub by: HolderId,
    /// Sequence number among the appender's records, to match a record with its append.
    pub serial: u64,
    /// Change that the record makes.
    pub action: LeaseAction,
    /// The appender's table, for readers that start in the middle of the stream.
    pub checkpoint: Option<TableCheckpoint>,
}

/// Change that a record makes to the lease table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LeaseAction {
    /// Begins a new term of each range whose lease has expired.
    Claim {
        /// Claimed ranges, each with the term that it replaces.
        claims: SmallVec<[RangeClaim; 8]>,
        /// Length of the lease in milliseconds.
        lease_ms: u32,
        /// Tolerated skew of callers' clocks in milliseconds.
        skew_ms: u32,
    },
    /// Renews every term of the appender.
    Renew,
    /// Ends terms before they expire and begins terms of the successor.
    Release {
        /// Terms that end.
        terms: SmallVec<[TermRef; 8]>,
        /// Next holder of the ranges.
        successor: HolderId,
    },
    /// Resets the table if no lease can be alive.
    ///
    /// Takes effect when it follows another `Refound`, stamped at least the
    /// longest lease earlier, with only `Refound` records in between.
    Refound,
}

/// A claim of one range.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RangeClaim {
    /// Claimed range.
    pub range: KeyRange,
    /// Epoch of the term that the claim replaces.
    pub prior: TermEpoch,
}

impl LeaseRecord {
    /// Encodes the record for the log.
    pub fn encode(&self) -> Box<[u8]> {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
            .expect("plain data always encodes")
            .into()
    }

    /// Decodes a record; fails if it is too large or has trailing bytes.
    pub fn decode(body: &[u8]) -> Result<Self> {
        let config = bincode::config::standard().with_limit::<MAX_RECORD_BYTES>();
        let invalid = |detail: String| {
            KindError::new(ErrorKind::FrameInvalid, format!("lease record: {detail}"))
        };
        let (record, read) = bincode::serde::decode_from_slice(body, config)
            .map_err(|error| invalid(error.to_string()))?;
        if read < body.len() {
            return Err(invalid("trailing bytes".into()));
        }
        Ok(record)
    }
}
