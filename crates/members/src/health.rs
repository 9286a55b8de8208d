//! How far a daemon trusts its own probes.
//!
//! A daemon whose own link is slow sees every peer fail. Its score rises with
//! each failed probe and falls with each answered one. The score stretches
//! its timeouts, and beyond a limit the daemon neither accuses others nor
//! declares anyone dead.

use std::time::Duration;

/// Highest score.
pub const MAX_SCORE: u32 = 8;
/// Score from which a daemon holds itself for the cause.
pub const DEGRADED_SCORE: u32 = 4;

/// The score of a daemon's own link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Notes an answered probe.
    pub fn on_answer(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Notes a probe without answer.
    pub fn on_failure(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// The score; 0 is healthy.
    pub fn score(self) -> u32 {
        self.score
    }

    /// Whether failures are more likely this daemon's own.
    pub fn is_degraded(self) -> bool {
        self.score >= DEGRADED_SCORE
    }

    /// `timeout`, stretched by a quarter for each point of the score.
    pub fn scale_suspicion_timeout(self, timeout: Duration) -> Duration {
        timeout + timeout * self.score / 4
    }

    /// `timeout`, stretched by the score.
    pub fn scale_timeout(self, timeout: Duration) -> Duration {
        timeout * (1 + self.score)
    }
}
