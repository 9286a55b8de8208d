//! Dispatch permits: how late a home may start a call.
//!
//! A home that is paused between its decision and its dispatch would start
//! the call whenever it wakes. The daemon beside the target therefore hands
//! out permits dated on its own monotonic clock, and starts a call only with
//! one that is young, unused and not from a fenced term. Permits are fetched
//! ahead, so a call in the steady state pays no round trip for one.
//!
//! Permits come in series. The use of one issues the next of its series, dated
//! at that moment, so the answer to a call brings the home a fresh permit
//! without a message or a byte of its own. A series that is not used for a
//! lifetime ends, and so does one whose numbers are used up.
//!
//! An issued key may go without a permit: no other home ever judges it, the
//! deadline bounds how late it starts, and with hundreds of homes few permits
//! would be used before they grow old.
//!
//! A home that lost the answer to a dispatch can revoke its permit: if it was
//! never used, the call is proven not to have run.

mod issuer;
mod pool;

pub use issuer::{PermitIssuer, PermitSettings, RevokeAnswer};
pub use pool::PermitPool;

use model::DaemonId;
use serde::{Deserialize, Serialize};

use crate::lease::{HolderId, TermRef};

/// Most permits in one grant.
pub const MAX_GRANT: u8 = 32;
/// Permits of one series; a series begins at a multiple of this.
pub const SERIES_LEN: u64 = 256;

/// A right to start one call beside one target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct DispatchPermit {
    /// The daemon run beside the target.
    pub issuer: HolderId,
    /// Number among the issuer's permits.
    pub number: u64,
}

impl DispatchPermit {
    /// The permit that the use of this one issues; none at the end of a series.
    #[must_use]
    pub fn next_in_series(self) -> Option<Self> {
        let number = self.number.checked_add(1)?;
        let issuer = self.issuer;
        let same_series = !number.is_multiple_of(SERIES_LEN);
        same_series.then_some(Self { issuer, number })
    }

    /// The series that the permit belongs to.
    pub(crate) fn series(self) -> u64 {
        self.number / SERIES_LEN
    }
}

/// Asks for permits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitRequest {
    /// The home that will use them.
    pub home: HolderId,
    /// The daemon beside the target.
    pub issuer: DaemonId,
    /// How many; at most [`MAX_GRANT`].
    pub count: u8,
}

/// Permits for a home.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitGrant {
    /// The daemon run that issued them.
    pub issuer: HolderId,
    /// Number of the first permit; the others begin the series that follow.
    pub first: u64,
    /// How many there are.
    pub count: u8,
    /// Milliseconds for which the issuer honours each of them and those after it.
    pub lifetime_ms: u32,
}

impl PermitGrant {
    /// The permits, each the first of its series.
    pub fn permits(&self) -> impl Iterator<Item = DispatchPermit> {
        let series = 0..u64::from(self.count.min(MAX_GRANT));
        let (issuer, first) = (self.issuer, self.first);
        series.map(move |series| DispatchPermit {
            issuer,
            number: first.saturating_add(series * SERIES_LEN),
        })
    }
}

/// Comes with a dispatched call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DispatchCredentials {
    /// The permit that the call uses up; a call with an issued key may go without.
    pub permit: Option<DispatchPermit>,
    /// The home that sends the call.
    pub home: HolderId,
    /// The term under which the call was begun; none for an issued key.
    pub term: Option<TermRef>,
}
