//! Records of the stream `members`, through which daemons discover their first peers.
//!
//! A daemon appends a join record when it starts and repeats it before the log
//! expires the last one; a planned shutdown appends a leave record. The stream
//! only says whom to contact. Liveness is decided by probes, so an outdated
//! record does no harm.

use std::net::SocketAddr;
use std::time::SystemTime;

use model::{
    DaemonId, DaemonName, DomainName, ErrorKind, IncarnationNumber, KindError, RegionName,
    StreamName,
};
use serde::{Deserialize, Serialize};

/// Result of decoding a record; errors are of kind `FrameInvalid`.
pub type Result<T> = model::Result<T>;

/// Name of the stream of join and leave records.
pub const MEMBERS_STREAM: &str = "members";
/// Maximum size of an encoded record, in bytes.
pub const MAX_RECORD_BYTES: usize = 512;

/// Returns [`MEMBERS_STREAM`] as a stream name of the log.
pub fn members_stream() -> StreamName {
    MEMBERS_STREAM.parse().expect("a constant name is valid")
}

/// Announces that a daemon is running and where to contact it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JoinRecord {
    /// The daemon's id.
    pub id: DaemonId,
    /// Its incarnation.
    pub incarnation: IncarnationNumber,
    /// Human-readable name.
    pub name: DaemonName,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
    /// Wall-clock time of the daemon at which the record was written.
    pub at: SystemTime,
}

/// Announces that a daemon has shut down as planned.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaveRecord {
    /// The daemon's id.
    pub id: DaemonId,
    /// The incarnation that ended.
    pub incarnation: IncarnationNumber,
    /// Wall-clock time of the daemon at which the record was written.
    pub at: SystemTime,
}

/// A record of the stream `members`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StreamRecord {
    /// A daemon is running.
    Join(JoinRecord),
    /// A daemon has shut down.
    Leave(LeaveRecord),
}

impl StreamRecord {
    /// Encodes the record for the log.
    pub fn encode(&self) -> Box<[u8]> {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
            .expect("encoding a record does not fail")
            .into()
    }

    /// Decodes a record from the log.
    pub fn decode(body: &[u8]) -> Result<Self> {
        let config = bincode::config::standard().with_limit::<MAX_RECORD_BYTES>();
        bincode::serde::decode_from_slice(body, config)
            .map(|(record, _)| record)
            .map_err(|error| KindError::new(ErrorKind::FrameInvalid, error.to_string()))
    }
}
