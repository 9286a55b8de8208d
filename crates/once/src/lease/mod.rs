//! Leases on ranges of callers' keys, stored in a stream of the log service.
//!
//! Every reader folds the records of the stream in order into the same
//! [`LeaseTable`], so no coordinator is needed. The only clock that counts is
//! the timestamp that the log puts on each record: a claim of a range takes
//! effect only if it is stamped at least a full lease after the holder's last
//! renewal.
//!
//! The same rule divides keys by their *creation times* among the terms of a
//! range. A term that was last renewed at `r` owns the timed keys created up to
//! `r + lease + skew`, and the next term owns only later ones. No record can
//! extend a term once the next one has begun. Two terms therefore never own the
//! same key, whatever the clocks of the machines do and however long a holder
//! is paused; see [`LeaseTerm::owns`]. Only keys without a timestamp depend on
//! monotonic clocks.

pub mod clock;
mod held;
pub mod keeper;
pub mod placement;
mod plan;
pub mod record;
pub mod table;
pub mod types;
pub mod view;

pub use clock::LogClock;
pub use keeper::{LeaseKeeper, LeaseOutput, LeaseSettings, TermUpdate};
pub use placement::{assign_ranges, pick_homes, pick_successor};
pub use record::{LeaseAction, LeaseRecord, RangeClaim};
pub use table::{FoldChange, LeaseTable, TableCheckpoint};
pub use types::{HolderId, KeyRange, LeaseTerm, LogStamp, TermEpoch, TermRef};
pub use view::{HolderRow, LeaseView};
