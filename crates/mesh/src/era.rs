//! Tracks which copy of the store a response comes from.
//!
//! After an outage the store may be restored from a copy that is some seconds
//! old. Records acknowledged since that copy are then lost, and their offsets
//! are reused for other records. The store counts these restorations as its
//! era and includes the era in every response. Anything learned in an earlier
//! era, such as a read offset or which records exist, is invalid once a later
//! era is seen, and a late response from an earlier era proves nothing.

/// Era of the store, which increases by one with each restoration from an older copy.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    derive_more::Display,
    derive_more::FromStr,
    serde::Deserialize,
    serde::Serialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

/// The latest era seen, in responses of the store or messages of other daemons.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraTracker {
    latest: Option<StoreEra>,
}

impl EraTracker {
    /// Returns the latest era seen, if any.
    pub fn latest(&self) -> Option<StoreEra> {
        self.latest
    }

    /// Records the era of a response and returns whether a later era was already known.
    pub fn observe(&mut self, era: Option<StoreEra>) -> bool {
        let outdated = era.is_some() && era < self.latest;
        self.latest = self.latest.max(era);
        outdated
    }
}

/// A value that the store returned or acknowledged, with the era in which it did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EraTagged<T> {
    /// The value.
    pub value: T,
    /// Era of the value; `None` if the store gave no era.
    pub era: Option<StoreEra>,
}

impl<T> EraTagged<T> {
    /// Returns whether the value is still valid if `latest` is the latest era seen.
    pub fn is_current(&self, latest: Option<StoreEra>) -> bool {
        self.era >= latest
    }
}
