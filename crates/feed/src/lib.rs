//! The log service: port, HTTP adapter and in-memory stand-in.

pub mod port;

pub use port::{LogPort, LogRecord, ReadAnswer, RecordBatch, Result, SharedLog};
