//! Detection of poison requests, which crash every target that runs them.
//!
//! Each daemon tracks the requests in flight at its targets. When a target
//! crashes, those requests are suspects. A [`SuspectReport`] about them travels
//! in three ways: at once to the daemons beside the other targets of the
//! service, which admit its requests; with the refusal to the proxy that sent
//! the request; and with that proxy's next attempt to the next target. A request
//! that is suspected of two crashes is stopped, so at most two targets are lost
//! to it. The number of messages depends on the number of the service's targets
//! and not on the size of the fleet.
//!
//! Three rules keep requests that ran at the same time from being blamed:
//!
//! - A request that recently completed is never a suspect.
//! - A suspect that completes is cleared, and the service's daemons are told.
//! - Two suspects of one crash never run at the same target at the same time,
//!   so a second crash implicates only one of them.
//!
//! If two suspects were in flight at both crashed targets nevertheless, both are
//! stopped for a short time. After it they run again, still never at the same
//! target at the same time, until one completes or crashes a target alone.

mod detector;
mod in_flight;

pub use detector::{PoisonCounts, PoisonDetector, PoisonOutput, PoisonSettings};
pub use in_flight::InFlightTable;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::fingerprint::RequestFingerprint;
use crate::lease::HolderId;

/// Maximum number of suspects in one message.
pub const MAX_SUSPECTS: usize = 32;
/// Number of crashes after which a request is stopped.
const MAX_CRASHES: usize = 2;

/// Crashes that one request is suspected of.
pub type CrashList = SmallVec<[CrashId; MAX_CRASHES]>;

/// Identity of a crash.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId {
    /// Run of the daemon beside the crashed target.
    pub reporter: HolderId,
    /// Sequence number among the crashes of that daemon.
    pub number: u64,
}

/// One daemon's knowledge of one suspect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectRecord {
    /// Fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: RequestFingerprint,
    /// Crashes during which the request was in flight, at most two.
    pub crashes: CrashList,
    /// Whether another suspect shares both crashes, so that one of the two did not cause them.
    pub doubtful: bool,
    /// Time since the last of the crashes.
    pub age: Duration,
}

impl SuspectRecord {
    /// Returns whether two crashes implicate this request alone.
    pub fn is_confirmed(&self) -> bool {
        self.crashes.len() >= MAX_CRASHES && !self.doubtful
    }
}

/// One daemon's knowledge of suspects that share crashes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct SuspectReport {
    /// One record for each suspect.
    pub records: Vec<SuspectRecord>,
}

impl SuspectReport {
    /// Returns whether the report has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// Message between the daemons beside the targets of one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PoisonMessage {
    /// Suspects of one or more crashes.
    Suspects(SuspectReport),
    /// Suspects that completed.
    Cleared(Vec<RequestFingerprint>),
}
