//! A timeline of events from many processes, in causal order.
//!
//! Each process records its state changes in an [`EventRing`], a bounded
//! buffer of [`TraceEvent`]s timestamped by a hybrid logical clock. To use
//! it, call [`EventRing::record`] on each state change, attach
//! [`EventRing::stamp`] to messages sent to other processes, and pass the
//! timestamps of received messages to [`EventRing::observe`].
//!
//! To build the timeline, get an [`EventRing::report_within`] from each
//! process, merge the [`ProcessReport`]s with [`merge_reports`], and render
//! the [`MergedTimeline`] as text ([`render_text`]) or as an HTML file
//! ([`render_page`]).
//!
//! The crate opens no sockets and starts no threads; the caller transports the
//! reports. The example `timeline` prints a short session.

pub mod clock;
pub mod event;
pub mod merge;
pub mod page;
pub mod ring;
pub mod text;

pub use clock::{HybridClock, HybridTimestamp, MAX_DRIFT, TimestampCheck};
pub use event::{EventClass, EventKind, MAX_DETAIL_BYTES, TraceEvent};
pub use merge::{MergedTimeline, ProcessTrack, merge_reports};
pub use page::render_page;
pub use ring::{
    DEFAULT_MEMORY, EventQuery, EventRing, MAX_REPORT_EVENTS, ProcessIdentity, ProcessReport,
};
pub use text::render_text;
