//! JSON bodies of the HTTP interface of the log service.

use std::time::{Duration, SystemTime};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use model::{ErrorKind, KindError, LogOffset};
use serde::{Deserialize, Serialize};

use crate::port::{LogRecord, RecordBatch, Result};

/// Response to an append.
#[derive(Debug, Deserialize, Serialize)]
pub struct AppendBody {
    pub offset: LogOffset,
}

/// Response to a read of an expired offset.
#[derive(Debug, Deserialize, Serialize)]
pub struct ExpiredBody {
    pub first: LogOffset,
}

/// Response to a read.
#[derive(Debug, Deserialize, Serialize)]
pub struct BatchBody {
    pub first: LogOffset,
    pub next: LogOffset,
    pub records: Vec<RecordBody>,
}

/// A record in the response to a read.
#[derive(Debug, Deserialize, Serialize)]
pub struct RecordBody {
    pub offset: LogOffset,
    pub at_ms: u64,
    pub body: Box<str>,
}

impl From<&RecordBatch> for BatchBody {
    fn from(batch: &RecordBatch) -> Self {
        Self {
            first: batch.first,
            next: batch.next,
            records: batch.records.iter().map(RecordBody::from).collect(),
        }
    }
}

impl From<&LogRecord> for RecordBody {
    fn from(record: &LogRecord) -> Self {
        let at = record.at.duration_since(SystemTime::UNIX_EPOCH);
        Self {
            offset: record.offset,
            at_ms: at.unwrap_or_default().as_millis() as u64,
            body: STANDARD.encode(&record.body).into(),
        }
    }
}

impl BatchBody {
    /// Decodes the bodies of the records.
    pub fn into_batch(self) -> Result<RecordBatch> {
        let records: Result<Vec<LogRecord>> =
            self.records.iter().map(RecordBody::to_record).collect();
        Ok(RecordBatch {
            first: self.first,
            next: self.next,
            records: records?,
        })
    }
}

impl RecordBody {
    fn to_record(&self) -> Result<LogRecord> {
        let body = STANDARD.decode(self.body.as_bytes()).map_err(|error| {
            KindError::new(
                ErrorKind::LogAnswerInvalid,
                format!("record {}: {error}", self.offset),
            )
        })?;
        Ok(LogRecord {
            offset: self.offset,
            at: SystemTime::UNIX_EPOCH + Duration::from_millis(self.at_ms),
            body: body.into(),
        })
    }
}
