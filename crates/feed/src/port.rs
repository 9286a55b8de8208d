//! The log service as a port.
//!
//! The service keeps append-only streams of records for a limited time. An
//! append may take effect although its answer is lost, so whatever is
//! appended carries an identity of its own.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use model::{LogOffset, RecordCount, StreamName};
use serde::{Deserialize, Serialize};

/// Results of the log service.
///
/// Kinds: `LogUnavailable` (the outcome of an append is unknown),
/// `LogOverRate` (nothing happened), `LogAnswerInvalid`.
pub type Result<T> = model::Result<T>;

/// Streams of the log service, for blocking use.
pub trait LogPort: Debug + Send + Sync {
    /// Appends one record and tells its offset.
    fn append(&self, stream: &StreamName, body: &[u8]) -> Result<LogOffset>;

    /// Reads up to `limit` records from the offset `from`; waits up to `wait` for the first.
    fn read(
        &self,
        stream: &StreamName,
        from: LogOffset,
        limit: RecordCount,
        wait: Duration,
    ) -> Result<ReadReply>;
}

/// A log that many owners use.
pub type SharedLog = Arc<dyn LogPort>;

/// One record of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: LogOffset,
    /// When the service took the record, by the service's clock.
    pub at: SystemTime,
    /// The record itself.
    pub body: Box<[u8]>,
}

/// What a read found.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReadReply {
    /// Records, oldest first; none at the end of the stream.
    Batch(RecordBatch),
    /// The offset asked for has expired; the stream now starts at `first`.
    Expired {
        /// Lowest offset still kept.
        first: LogOffset,
    },
}

/// Records that follow one another.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordBatch {
    /// Lowest offset still kept by the stream.
    pub first: LogOffset,
    /// Where the next read goes on; below the offset asked for if the stream is shorter.
    pub next: LogOffset,
    /// The records.
    pub records: Vec<LogRecord>,
}
