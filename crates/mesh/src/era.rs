//! Which copy of the store an answer comes from.
//!
//! A store that was away may come back from a copy some seconds old. What it
//! had acknowledged since is gone then, and offsets are given out again for
//! other records. It counts these returns, and every answer tells the count.
//! Whatever was learned from an earlier era (where to read on, what is kept
//! there) is void once a later one is seen; an answer of an earlier era that
//! arrives late proves nothing.

/// An era of the store; it rises by one with each return from an older copy.
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

/// The latest era seen, in answers of the store or as other daemons tell it.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraTracker {
    latest: Option<StoreEra>,
}

impl EraTracker {
    /// The latest era, if any was told.
    pub fn latest(&self) -> Option<StoreEra> {
        self.latest
    }

    /// Takes the era of an answer; whether a later one was known already.
    pub fn is_outdated(&mut self, era: Option<StoreEra>) -> bool {
        let outdated = era.is_some() && era < self.latest;
        self.latest = self.latest.max(era);
        outdated
    }
}

/// Something that the store told or acknowledged, and in which era.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EraTagged<T> {
    /// What it told.
    pub value: T,
    /// When; none if the store told no era.
    pub era: Option<StoreEra>,
}

impl<T> EraTagged<T> {
    /// Whether it still holds, with `latest` the latest era seen.
    pub fn is_current(&self, latest: Option<StoreEra>) -> bool {
        self.era >= latest
    }
}
