//! The time line of events over all processes.
//!
//! Each process keeps an [`EventRing`]: a bounded list of its last
//! [`TraceEvent`]s, stamped by a hybrid logical clock. To embed it, call
//! [`EventRing::record`] on each change of state, send [`EventRing::stamp`]
//! with messages to other processes, and hand the stamps of messages received
//! to [`EventRing::observe`]. Whoever wants the whole picture asks each
//! process for [`EventRing::report_within`], merges the [`ProcessReport`]s with
//! [`merge_reports`], and renders the [`MergedTimeline`] as text
//! ([`render_text`]) or as one HTML file ([`render_page`]).
//!
//! No sockets, no threads: carrying reports is the caller's part. The example
//! `timeline` prints a short session.

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
