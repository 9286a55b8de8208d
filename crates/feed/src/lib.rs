//! The log service: port, HTTP adapter and in-memory stand-in.
//!
//! [`LogPort`] is all that the other areas know of the log service.
//! [`HttpLog`] speaks its HTTP interface. [`MemoryLog`] keeps streams in
//! memory, with retention, rates and faults on demand, and [`serve()`] puts the
//! same HTTP interface in front of it for trials and tests:
//!
//! ```
//! use std::time::Duration;
//! use model::{LogOffset, RecordCount, SystemClock};
//! use quetzal_feed::{LogPort, LogSettings, MemoryLog, ReadReply};
//!
//! let log = MemoryLog::new(LogSettings::default(), SystemClock::shared());
//! let stream = "config".parse()?;
//! let offset = log.append(&stream, b"first")?;
//! let answer = log.read(&stream, offset, RecordCount(10), Duration::ZERO)?;
//! assert!(matches!(answer, ReadReply::Batch(batch) if batch.next == LogOffset(1)));
//! # Ok::<(), model::KindError>(())
//! ```

pub mod http_log;
pub mod memory;
pub mod port;
pub mod rate;
pub mod serve;
pub mod stub_server;
mod wire_format;

pub use http_log::HttpLog;
pub use memory::{LogCounts, LogFaults, LogSettings, MemoryLog};
pub use port::{LogPort, LogRecord, ReadReply, RecordBatch, Result, SharedLog};
pub use serve::{LogServer, serve};
