//! Dispatch permits, which limit how late a home may start a call.
//!
//! A home that is paused between its decision and its dispatch would start the
//! call whenever it resumes. The daemon beside the target therefore issues
//! permits that expire by its own monotonic clock, and it starts a call only
//! with a permit that is unexpired, unused and not from a fenced term. Homes
//! prefetch permits, so a call usually needs no extra round trip.
//!
//! Permits come in series. Using a permit implicitly issues the next one of its
//! series, dated at that moment, so the answer to a call brings the home a new
//! permit without any additional message or byte. A series ends when it is not
//! used for a lifetime, or when its numbers are used up.
//!
//! A call with an issued key may go without a permit: no other home ever
//! decides about the key, the deadline limits how late the call starts, and
//! with hundreds of homes few permits would be used before they expire.
//!
//! A home that lost the answer to a dispatch can revoke the permit: if the
//! permit was never used, the call is proven not to have run.

mod issuer;
mod pool;

pub use issuer::{PermitIssuer, PermitSettings, RevokeAnswer};
pub use pool::PermitPool;

use model::DaemonId;
use serde::{Deserialize, Serialize};

use crate::lease::{HolderId, TermRef};

/// Maximum number of permits in one grant.
pub const MAX_GRANT: u8 = 32;
/// Number of permits in a series; a series starts at a multiple of it.
pub const SERIES_LEN: u64 = 256;

/// Permission to start one call at one target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct DispatchPermit {
    /// Run of the daemon beside the target, which issued the permit.
    pub issuer: HolderId,
    /// Sequence number among the issuer's permits.
    pub number: u64,
}

impl DispatchPermit {
    /// Returns the permit that the use of this one issues; `None` at the end of a series.
    #[must_use]
    pub fn next_in_series(self) -> Option<Self> {
        let number = self.number.checked_add(1)?;
        let issuer = self.issuer;
        let same_series = !number.is_multiple_of(SERIES_LEN);
        same_series.then_some(Self { issuer, number })
    }

    /// Returns the number of the permit's series.
    pub(crate) fn series(self) -> u64 {
        self.number / SERIES_LEN
    }
}

/// Request of a home for permits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitRequest {
    /// Home that will use the permits.
    pub home: HolderId,
    /// Daemon beside the target.
    pub issuer: DaemonId,
    /// Number of permits; at most [`MAX_GRANT`].
    pub count: u8,
}

/// Permits granted to a home.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitGrant {
    /// Daemon run that issued the permits.
    pub issuer: HolderId,
    /// Number of the first permit; each further permit starts the next series.
    pub first: u64,
    /// Number of permits.
    pub count: u8,
    /// Lifetime of each permit and of the later permits of its series, in milliseconds.
    pub lifetime_ms: u32,
}

impl PermitGrant {
    /// Returns the granted permits, each the first of its series.
    pub fn permits(&self) -> impl Iterator<Item = DispatchPermit> {
        let series = 0..u64::from(self.count.min(MAX_GRANT));
        let (issuer, first) = (self.issuer, self.first);
        series.map(move |series| DispatchPermit {
            issuer,
            number: first.saturating_add(series * SERIES_LEN),
        })
    }
}

/// Credentials that a home sends with a dispatched call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DispatchCredentials {
    /// Permit that the call uses; optional for a call with an issued key.
    pub permit: Option<DispatchPermit>,
    /// Home that sends the call.
    pub home: HolderId,
    /// Term under which the call was begun; `None` for an issued key.
    pub term: Option<TermRef>,
}
