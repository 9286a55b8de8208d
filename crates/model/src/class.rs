//! Classes of calls, from the first to be shed under overload to the last.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// How much a call matters under overload; ordered, least first.
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
    /// A report that its reader can refresh.
    #[display("report")]
    Report,
    /// Any other read.
    #[default]
    #[display("read")]
    Read,
    /// An upload, costly to send again.
    #[display("upload")]
    Upload,
    /// A booking, payout or payment.
    #[display("booking")]
    Booking,
}

impl CallClass {
    /// Every class, least important first.
    pub const ALL: [Self; 4] = [Self::Report, Self::Read, Self::Upload, Self::Booking];

    /// Position in [`CallClass::ALL`].
    pub fn rank(self) -> usize {
        self as usize
    }
}
