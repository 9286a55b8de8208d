//! Records of the stream `members`, through which daemons first find one another.
//!
//! A daemon appends a join record when it starts and again before the log
//! drops the last one; a planned stop appends a leave record. The stream only
//! tells whom to contact. Who is alive is decided by probes, so an old record
//! does no harm.

use std::net::SocketAddr;
use std::time::SystemTime;

use model::{
    DaemonId, DaemonName, DomainName, ErrorKind, IncarnationNumber, KindError, RegionName,
    StreamName,
};
use serde::{Deserialize, Serialize};

/// Results of decoding; kind: `FrameInvalid`.
pub type Result<T> = model::Result<T>;

/// Name of the stream.
pub const MEMBERS_STREAM: &str = "members";
/// Longest record in bytes.
pub const MAX_RECORD_BYTES: usize = 512;

/// The stream as the log port names it.
pub fn members_stream() -> StreamName {
    MEMBERS_STREAM.parse().expect("a constant name is valid")
}

/// A daemon is there and can be contacted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JoinRecord {
    /// The daemon.
    pub id: DaemonId,
    /// Its run.
    pub incarnation: IncarnationNumber,
    /// Name for people.
    pub name: DaemonName,
    /// Where other daemons reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
    /// When it was written, by the daemon's wall clock.
    pub at: SystemTime,
}

/// A daemon has stopped as planned.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaveRecord {
    /// The daemon.
    pub id: DaemonId,
    /// The run that ended.
    pub incarnation: IncarnationNumber,
    /// When it was written, by the daemon's wall clock.
    pub at: SystemTime,
}

/// One record of the stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StreamRecord {
    /// A daemon is there.
    Join(JoinRecord),
    /// A daemon has stopped.
    Leave(LeaveRecord),
}

impl StreamRecord {
    /// The body to append.
    pub fn encode(&self) -> Box<[u8]> {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
            .expect("a record in memory has an encoding")
            .into()
    }

    /// The record in `body`.
    pub fn decode(body: &[u8]) -> Result<Self> {
        let config = bincode::config::standard().with_limit::<MAX_RECORD_BYTES>();
        bincode::serde::decode_from_slice(body, config)
            .map(|(record, _)| record)
            .map_err(|error| KindError::new(ErrorKind::FrameInvalid, error.to_string()))
    }
}
