//! What a home remembers of one key, in 16 bytes.

use serde::{Deserialize, Serialize};

use crate::fingerprint::RequestFingerprint;

/// How far the call of a key has come.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum KeyState {
    /// Begun at this home, without an outcome yet.
    Running,
    /// Begun at the home that handed the key over, without an outcome yet.
    RunningElsewhere,
    /// Ran to its end.
    Done,
    /// May have run; never runs again.
    Lost,
    /// Closed before it ran; never runs.
    Withdrawn,
}

impl KeyState {
    /// Whether the outcome is still to come.
    pub fn is_running(self) -> bool {
        matches!(self, Self::Running | Self::RunningElsewhere)
    }
}

/// What is remembered of one key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyEntry {
    /// Half of the request's fingerprint.
    pub fingerprint: u64,
    /// Seconds: the key's own time, or the arrival of a key without one.
    pub time_s: u32,
    /// Status of the first answer; 0 without one.
    pub status: u16,
    /// How far the call has come.
    pub state: KeyState,
    /// Whether the key carries a time.
    pub timed: bool,
}

/// The half of a fingerprint that entries hold.
pub fn short_fingerprint(fingerprint: RequestFingerprint) -> u64 {
    fingerprint.0 as u64
}
