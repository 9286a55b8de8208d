//! Priority classes of calls, which decide the order of load shedding.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// Priority of a call under overload, ordered from lowest to highest.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    FromStr,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum CallClass {
    /// A report, which its reader can request again.
    #[display("report")]
    Report,
    /// Any other read.
    #[default]
    #[display("read")]
    Read,
    /// An upload, which is expensive to send again.
    #[display("upload")]
    Upload,
    /// A booking, payout or payment.
    #[display("booking")]
    Booking,
}

impl CallClass {
    /// All classes, lowest priority first.
    pub const ALL: [Self; 4] = [Self::Report, Self::Read, Self::Upload, Self::Booking];

    /// Returns the index in [`CallClass::ALL`].
    pub fn rank(self) -> usize {
        self as usize
    }
}
