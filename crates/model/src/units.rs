//! Newtypes for sizes, counts and rates.

use derive_more::{Add, AddAssign, Display, From, FromStr, Into, Sum};
use serde::{Deserialize, Serialize};

/// Declares newtypes for counts over an unsigned integer.
macro_rules! count_types {
    ($($(#[$doc:meta])* $name:ident($inner:ty)),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(
            Add, AddAssign, Clone, Copy, Debug, Default, Deserialize, Display, Eq, From, FromStr,
            Hash, Into, Ord, PartialEq, PartialOrd, Serialize, Sum,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);
    )+};
}

count_types! {
    /// A size in bytes.
    ByteCount(u64),
    /// A number of concurrent calls.
    CallCount(u32),
    /// A number of records of the log service.
    RecordCount(u32),
}

/// A rate in calls per second.
#[derive(
    Add,
    AddAssign,
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    From,
    FromStr,
    Into,
    PartialEq,
    PartialOrd,
    Serialize,
    Sum,
)]
#[serde(transparent)]
pub struct CallRate(pub f64);
