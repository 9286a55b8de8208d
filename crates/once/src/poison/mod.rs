//! Requests that crash the targets that run them.
//!
//! Each daemon knows which requests are in flight at its targets. When one
//! crashes, those are the suspects, and a [`CrashReport`] tells the
//! other daemons. A request that is a suspect of two crashes is stopped, so at
//! most two targets are lost to it.
//!
//! Requests that were in flight beside it must not be blamed. Three rules see
//! to that: a request that has lately run to its end is never a suspect; a
//! suspect that runs to its end is cleared, and the other daemons are told;
//! and two suspects of one crash never run at one target at the same time, so
//! that a second crash points at one of them only. Where two suspects were in
//! flight at both targets all the same, both are stopped for a short time and
//! then run apart, until one ends well or crashes a target alone.

mod flight;
mod watch;

pub use flight::FlightTable;
pub use watch::{PoisonCounts, PoisonOutput, PoisonSettings, PoisonWatch};

use serde::{Deserialize, Serialize};

use crate::lease::HolderId;
use crate::print::RequestPrint;

/// Most suspects in one report.
pub const MAX_SUSPECTS: usize = 32;

/// Identity of a crash.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId {
    /// The daemon beside the crashed target.
    pub reporter: HolderId,
    /// Number among the reporter's crashes.
    pub number: u64,
}

/// Tells that a target crashed and what was in flight.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Which crash.
    pub crash: CrashId,
    /// Requests in flight that have not lately run to their end.
    pub suspects: Box<[RequestPrint]>,
}

/// Tells that a suspect ran to its end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectCleared {
    /// The request.
    pub print: RequestPrint,
}

/// What daemons tell each other about crashes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PoisonMessage {
    /// A target crashed.
    Crash(CrashReport),
    /// A suspect is innocent.
    Cleared(SuspectCleared),
}
