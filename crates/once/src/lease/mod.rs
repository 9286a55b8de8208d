//! Leases on ranges of callers' keys, kept on a stream of the log service.
//!
//! Every reader folds the stream's records in their order and comes to the
//! same [`LeaseTable`]; nobody decides. The one clock is the stamp that the
//! log puts on each record: a claim of a range counts only if it is stamped a
//! full lease after the holder's last renewal.
//!
//! That rule alone splits the *times of keys* among the terms of a range. A
//! term that was last renewed at stamp `r` owns the timed keys up to
//! `r + lease + skew`, and the next term owns only later ones. No record can
//! extend a term once the next has begun, so two terms never own the same
//! key, whatever any machine's clock does and however long a holder is
//! paused; see [`LeaseTerm::owns`]. Only keys without a time lean on monotonic
//! clocks.

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
