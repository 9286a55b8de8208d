//! The interface to the log service.
//!
//! The service keeps append-only streams of records for a limited time. An
//! append may take effect although its response is lost, so appended records
//! must contain their own id to detect duplicates.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use model::{LogOffset, RecordCount, StreamName};
use serde::{Deserialize, Serialize};

/// The result type of log operations.
///
/// Kinds: `LogUnavailable` (the outcome of an append is unknown),
/// `LogOverRate`, `RequestInvalid`, `BodyTooLarge` (the request had no effect),
/// `LogAnswerInvalid`.
pub type Result<T> = model::Result<T>;

/// Blocking access to the streams of the log service.
pub trait LogPort: Debug + Send + Sync {
    /// Appends one record and returns its offset.
    fn append(&self, stream: &StreamName, body: &[u8]) -> Result<LogOffset>;

    /// Reads up to `limit` records starting at `from`; waits up to `wait` for the first one.
    fn read(
        &self,
        stream: &StreamName,
        from: LogOffset,
        limit: RecordCount,
        wait: Duration,
    ) -> Result<ReadReply>;
}

/// A reference-counted log.
pub type SharedLog = Arc<dyn LogPort>;

/// One record of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogRecord {
    /// Offset of the record in the stream.
    pub offset: LogOffset,
    /// Time at which the service accepted the record, by its own clock.
    pub at: SystemTime,
    /// Content of the record.
    pub body: Box<[u8]>,
}

/// Result of a read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReadReply {
    /// Records in order of their offsets; empty at the end of the stream.
    Batch(RecordBatch),
    /// The requested offset has expired; the stream now starts at `first`.
    Expired {
        /// Lowest retained offset.
        first: LogOffset,
    },
}

/// A batch of consecutive records.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordBatch {
    /// Lowest retained offset of the stream.
    pub first: LogOffset,
    /// Offset of the next read; lower than the requested offset if the stream is shorter.
    pub next: LogOffset,
    /// Records of the batch.
    pub records: Vec<LogRecord>,
}
