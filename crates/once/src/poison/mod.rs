//! Requests that crash the targets that run them.
//!
//! Each daemon knows which requests are in flight at its targets. When one
//! crashes, those are the suspects. What is known of a suspect travels as
//! [`SuspectReport`] on three ways: at once to the daemons beside the other
//! targets of the service, where it is admitted; with the refusal to the proxy
//! that sent it; and with that proxy's next attempt to the next target. A
//! request that is a suspect of two crashes is stopped, so at most two targets
//! are lost to it, and the number of messages follows from the service's
//! targets and not from the fleet.
//!
//! Requests that were in flight beside it must not be blamed. Three rules see
//! to that: a request that has lately run to its end is never a suspect; a
//! suspect that runs to its end is cleared, and the service's daemons are told;
//! and two suspects of one crash never run at one target at the same time, so
//! that a second crash points at one of them only. Where two suspects were in
//! flight at both targets all the same, both are stopped for a short time and
//! then run apart, until one ends well or crashes a target alone.

mod detector;
mod in_flight;

pub use detector::{PoisonCounts, PoisonDetector, PoisonOutput, PoisonSettings};
pub use in_flight::InFlightTable;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::fingerprint::RequestFingerprint;
use crate::lease::HolderId;

/// Most suspects in one message.
pub const MAX_SUSPECTS: usize = 32;
/// Crashes after which a request is stopped.
const MAX_CRASHES: usize = 2;

/// The crashes of one suspect.
pub type CrashList = SmallVec<[CrashId; MAX_CRASHES]>;

/// Identity of a crash.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId {
    /// The daemon beside the crashed target.
    pub reporter: HolderId,
    /// Number among the reporter's crashes.
    pub number: u64,
}

/// What one daemon knows of one suspect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectRecord {
    /// The request.
    #[serde(rename = "print")]
    pub fingerprint: RequestFingerprint,
    /// Crashes at which it was in flight, two at the most.
    pub crashes: CrashList,
    /// Whether another suspect shares both crashes, so that one is innocent.
    pub doubtful: bool,
    /// Time since the last of the crashes.
    pub age: Duration,
}

impl SuspectRecord {
    /// Whether two crashes name this request alone.
    pub fn is_confirmed(&self) -> bool {
        self.crashes.len() >= MAX_CRASHES && !self.doubtful
    }
}

/// What one daemon knows of some suspects, those of shared crashes together.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct SuspectReport {
    /// A record for each suspect.
    pub records: Vec<SuspectRecord>,
}

impl SuspectReport {
    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// What daemons beside targets of one service tell each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PoisonMessage {
    /// A target crashed, or what is known of suspects.
    Suspects(SuspectReport),
    /// Suspects that ran to their end.
    Cleared(Vec<RequestFingerprint>),
}
