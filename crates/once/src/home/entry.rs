//! The entry of one key at its home, packed into 16 bytes.

use serde::{Deserialize, Serialize};

use crate::fingerprint::RequestFingerprint;

/// State of the call of a key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum KeyState {
    /// Begun at this home; the outcome is pending.
    Running,
    /// Begun at the home that handed the key over; the outcome is pending.
    RunningElsewhere,
    /// Ran to completion.
    Done,
    /// Ended with an unknown outcome: may have run and never runs again.
    Lost,
    /// Closed before it ran; never runs.
    Withdrawn,
}

impl KeyState {
    /// Returns whether the outcome is pending.
    pub fn is_running(self) -> bool {
        matches!(self, Self::Running | Self::RunningElsewhere)
    }
}

/// Entry of one key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyEntry {
    /// Half of the request's fingerprint.
    pub fingerprint: u64,
    /// Time of the key in seconds, by the clock of its kind.
    ///
    /// For a `UUIDv7`, its timestamp since 1970; for an issued key, the issuer's
    /// uptime at its issue; for an untimed key, the home's uptime at its arrival.
    pub time_s: u32,
    /// HTTP status of the answer; 0 without one.
    pub status: u16,
    /// State of the call.
    pub state: KeyState,
    /// Whether the key carries a timestamp.
    pub timed: bool,
}

/// Returns the half of a fingerprint that entries store.
pub fn short_fingerprint(fingerprint: RequestFingerprint) -> u64 {
    fingerprint.0 as u64
}
