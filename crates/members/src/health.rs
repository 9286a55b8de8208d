//! Local health score: how reliable a daemon's own probes are.
//!
//! A daemon whose own link is slow sees every peer fail. Its score rises with
//! each failed probe of an alive member of its region and falls with each
//! answered probe within the region. Timeouts grow with the score, and from
//! [`DEGRADED_SCORE`] on the daemon neither suspects other members nor declares
//! them dead.

use std::time::Duration;

/// Upper bound of the score.
pub const MAX_SCORE: u32 = 8;
/// Score from which a daemon attributes failed probes to its own link.
pub const DEGRADED_SCORE: u32 = 4;

/// Health score of a daemon's own link; 0 is healthy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Lowers the score after an answered probe.
    pub fn on_answer(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Raises the score after a failed probe.
    pub fn on_failure(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Returns the score.
    pub fn score(self) -> u32 {
        self.score
    }

    /// Whether failed probes are more likely due to this daemon than to its peers.
    pub fn is_degraded(self) -> bool {
        self.score >= DEGRADED_SCORE
    }

    /// Lengthens a suspicion timeout by a quarter for each point of the score.
    pub fn scale_suspicion_timeout(self, timeout: Duration) -> Duration {
        timeout + timeout * self.score / 4
    }

    /// Lengthens a probe timeout by its full length for each point of the score.
    pub fn scale_timeout(self, timeout: Duration) -> Duration {
        timeout * (1 + self.score)
    }
}
