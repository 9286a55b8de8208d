//! Key ranges, timestamps, epochs and lease terms.

use std::fmt;
use std::time::{Duration, SystemTime};

use derive_more::Display;
use model::{DaemonId, IncarnationNumber, LogOffset};
use serde::{Deserialize, Serialize};

/// Identity of one run of a daemon, which holds leases and issues keys and permits.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{daemon}/{incarnation}")]
pub struct HolderId {
    /// Id of the daemon.
    pub daemon: DaemonId,
    /// Incarnation of the daemon; a restarted daemon is another holder.
    pub incarnation: IncarnationNumber,
}

impl HolderId {
    /// Creates the id of run `incarnation` of `daemon`.
    pub const fn new(daemon: DaemonId, incarnation: IncarnationNumber) -> Self {
        Self {
            daemon,
            incarnation,
        }
    }
}

model::number_types! {
    /// Range of key digests, one of [`KeyRange::COUNT`] of equal size.
    KeyRange(u8),
}

impl KeyRange {
    /// Number of ranges.
    pub const COUNT: usize = 64;

    /// Returns all ranges in ascending order.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..Self::COUNT as u8).map(Self)
    }

    /// Returns the range that contains `digest`.
    pub fn of(digest: u128) -> Self {
        Self((digest >> (u128::BITS - Self::COUNT.ilog2())) as u8)
    }

    /// Returns the index in a table of all ranges; `None` if the number is invalid.
    pub fn index(self) -> Option<usize> {
        let index = usize::from(self.0);
        (index < Self::COUNT).then_some(index)
    }
}

model::number_types! {
    /// Time in milliseconds since 1970, by the log's clock or in a key.
    LogStamp(u64),
}

impl LogStamp {
    /// Returns the time `span` later.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_millis() as u64))
    }

    /// Returns the time `span` earlier.
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span.as_millis() as u64))
    }
}

impl From<SystemTime> for LogStamp {
    fn from(time: SystemTime) -> Self {
        let since = time.duration_since(SystemTime::UNIX_EPOCH);
        Self(since.unwrap_or_default().as_millis() as u64)
    }
}

model::number_types! {
    /// Epoch of a term; of two terms of a range the later has the higher epoch.
    ///
    /// It is one more than the offset of the record that began the term, so it is
    /// unique without a counter that could be lost.
    TermEpoch(u64),
}

impl TermEpoch {
    /// Epoch that means "no term yet".
    pub const NONE: Self = Self(0);

    /// Returns the epoch of a term begun by the record at `offset`.
    pub fn at(offset: LogOffset) -> Self {
        Self(offset.0 + 1)
    }
}

/// Reference to one term of one range.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TermRef {
    /// Range of the term.
    pub range: KeyRange,
    /// Epoch of the term.
    pub epoch: TermEpoch,
}

impl TermRef {
    /// Creates a reference to the term of `range` with `epoch`.
    pub const fn new(range: KeyRange, epoch: TermEpoch) -> Self {
        Self { range, epoch }
    }
}

impl fmt::Display for TermRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "range {} epoch {}", self.range, self.epoch)
    }
}

/// State of the latest term of a range.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseTerm {
    /// Holder of the term.
    pub holder: HolderId,
    /// Epoch of the term.
    pub epoch: TermEpoch,
    /// Epoch of the preceding term.
    pub prior: TermEpoch,
    /// Stamp of the record that began the term.
    pub begun: LogStamp,
    /// Stamp of the last renewal.
    pub renewed: LogStamp,
    /// Length of the lease in milliseconds.
    pub lease_ms: u32,
    /// Tolerated skew of callers' clocks in milliseconds.
    pub skew_ms: u32,
    /// Keys created up to this time belong to earlier holders; `None` if there were none.
    pub owns_after: Option<LogStamp>,
}

impl LeaseTerm {
    /// Returns the length of the lease.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms.into())
    }

    /// Returns the time from which the range may be claimed.
    pub fn expires_at(&self) -> LogStamp {
        self.renewed.after(self.lease())
    }

    /// Returns the latest creation time of keys that this term or an earlier one owns.
    pub fn owned_until(&self) -> LogStamp {
        self.expires_at()
            .after(Duration::from_millis(self.skew_ms.into()))
    }

    /// Returns whether only this term may run a key created at `time`.
    ///
    /// Terms of a range own disjoint intervals of time: each starts after
    /// [`LeaseTerm::owned_until`] of the preceding one.
    pub fn owns(&self, time: LogStamp) -> bool {
        self.owns_after.is_none_or(|after| time > after) && time <= self.owned_until()
    }
}
