//! Interface to the log service, with an HTTP client and an in-memory stub.
//!
//! Other crates access the log service only through [`LogPort`]. [`HttpLog`]
//! is a client of its HTTP interface. [`MemoryLog`] keeps streams in memory,
//! with retention, rate limits and fault injection; [`serve()`] provides the
//! same HTTP interface for it, for demos and tests:
//!
//! ```
//! use std::time::Duration;
//! use model::{LogOffset, RecordCount, SystemClock};
//! use quetzal_feed::{LogPort, LogSettings, MemoryLog, ReadReply};
//!
//! let log = MemoryLog::new(LogSettings::default(), SystemClock::shared());
//! let stream = "config".parse()?;
//! let offset = log.append(&stream, b"first")?;
//! let reply = log.read(&stream, offset, RecordCount(10), Duration::ZERO)?;
//! assert!(matches!(reply, ReadReply::Batch(batch) if batch.next == LogOffset(1)));
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
