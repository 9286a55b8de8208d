//! Ranges, stamps, epochs and terms.

use std::fmt;
use std::time::{Duration, SystemTime};

use derive_more::Display;
use model::{DaemonId, IncarnationNumber, LogOffset};
use serde::{Deserialize, Serialize};

/// One run of a daemon.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{daemon}/{incarnation}")]
pub struct HolderId {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its incarnation; a restarted daemon is another holder.
    pub incarnation: IncarnationNumber,
}

impl HolderId {
    /// The run `incarnation` of `daemon`.
    pub const fn new(daemon: DaemonId, incarnation: IncarnationNumber) -> Self {
        Self {
            daemon,
            incarnation,
        }
    }
}

model::number_types! {
    /// A range of key digests, one of [`KeyRange::COUNT`] of equal size.
    KeyRange(u8),
}

impl KeyRange {
    /// Number of ranges.
    pub const COUNT: usize = 64;

    /// Every range.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..Self::COUNT as u8).map(Self)
    }

    /// The range that holds the digest `number`.
    pub fn of(number: u128) -> Self {
        Self((number >> (u128::BITS - Self::COUNT.ilog2())) as u8)
    }

    /// Position in a table of all ranges; `None` for a number out of range.
    pub fn index(self) -> Option<usize> {
        let index = usize::from(self.0);
        (index < Self::COUNT).then_some(index)
    }
}

model::number_types! {
    /// A time in milliseconds since 1970, by the log's clock or in a key.
    LogStamp(u64),
}

impl LogStamp {
    /// The stamp `span` later.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_millis() as u64))
    }

    /// The stamp `span` earlier.
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
    /// Identity of a term; of two terms of a range the later has the higher epoch.
    ///
    /// It is one more than the offset of the record that began the term, so it is
    /// unique without any counter that could be lost.
    TermEpoch(u64),
}

impl TermEpoch {
    /// No term yet.
    pub const NONE: Self = Self(0);

    /// The epoch of a term begun by the record at `offset`.
    pub fn at(offset: LogOffset) -> Self {
        Self(offset.0 + 1)
    }
}

/// One term of one range.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TermRef {
    /// The range.
    pub range: KeyRange,
    /// The term.
    pub epoch: TermEpoch,
}

impl TermRef {
    /// The term of `range` with `epoch`.
    pub const fn new(range: KeyRange, epoch: TermEpoch) -> Self {
        Self { range, epoch }
    }
}

impl fmt::Display for TermRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "range {} epoch {}", self.range, self.epoch)
    }
}

/// What the fold knows of the latest term of a range.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseTerm {
    /// Who holds it.
    pub holder: HolderId,
    /// The term's epoch.
    pub epoch: TermEpoch,
    /// The epoch of the term before it.
    pub prior: TermEpoch,
    /// Stamp of the record that began it.
    pub begun: LogStamp,
    /// Stamp of its last renewal.
    pub renewed: LogStamp,
    /// Length of the lease in milliseconds.
    pub lease_ms: u32,
    /// Allowed skew of callers' clocks in milliseconds.
    pub skew_ms: u32,
    /// Keys made up to here are earlier holders'; `None` if there was none.
    pub owns_after: Option<LogStamp>,
}

impl LeaseTerm {
    /// Length of the lease.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms.into())
    }

    /// From this stamp on the range may be claimed.
    pub fn expires_at(&self) -> LogStamp {
        self.renewed.after(self.lease())
    }

    /// Keys made up to here are this term's or an earlier one's.
    pub fn owned_until(&self) -> LogStamp {
        self.expires_at()
            .after(Duration::from_millis(self.skew_ms.into()))
    }

    /// Whether a key made at `time` is this term's alone to run.
    ///
    /// Terms of a range own disjoint times: each owns what lies past
    /// [`LeaseTerm::owned_until`] of the one before it.
    pub fn owns(&self, time: LogStamp) -> bool {
        self.owns_after.is_none_or(|after| time > after) && time <= self.owned_until()
    }
}
