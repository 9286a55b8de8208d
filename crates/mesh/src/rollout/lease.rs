//! Lease under which one daemon decides.
//!
//! The holder renews it by writing the status record, on condition that nobody else has
//! written since it read. Others take over when the record has not changed for the
//! term of the lease on their own clocks, so no two clocks are compared. The holder
//! counts the term from the start of its last successful write and stops earlier.

use std::time::Duration;

use model::LogOffset;

/// Time without a renewal after which another daemon may take over.
pub const LEASE_TERM: Duration = Duration::from_millis(2400);
/// Interval of renewals, so that one may fail within the term.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(800);
/// Time by which the holder stops relying on the lease before others may take over.
const LEASE_MARGIN: Duration = Duration::from_millis(400);

/// Observes the lease of one rollout; times are since boot.
#[derive(Clone, Copy, Debug, Default)]
pub struct RolloutLease {
    /// Newest record seen and the time at which it was first seen.
    seen: Option<(LogOffset, Duration)>,
    /// Start of the last successful write of this daemon.
    renewed_at: Option<Duration>,
}

impl RolloutLease {
    /// Records the offset of the record of another daemon, read at `now`.
    pub fn on_read(&mut self, record: LogOffset, now: Duration) {
        if self.seen.is_none_or(|(known, _)| known != record) {
            self.seen = Some((record, now));
            self.renewed_at = None;
        }
    }

    /// Records a successful write that began at `started`.
    pub fn on_written(&mut self, record: LogOffset, started: Duration) {
        self.seen = Some((record, started));
        self.renewed_at = Some(started);
    }

    /// Records that another daemon wrote first.
    pub fn on_outdated(&mut self) {
        self.renewed_at = None;
    }

    /// Returns whether this daemon may decide.
    pub fn is_held(&self, now: Duration) -> bool {
        let term = LEASE_TERM.saturating_sub(LEASE_MARGIN);
        self.renewed_at
            .is_some_and(|at| now.saturating_sub(at) < term)
    }

    /// Returns whether the holder should write again.
    pub fn is_renewal_due(&self, now: Duration) -> bool {
        self.renewed_at
            .is_none_or(|at| now.saturating_sub(at) >= RENEW_INTERVAL)
    }

    /// Returns whether another daemon has let its lease run out.
    pub fn is_expired(&self, now: Duration) -> bool {
        self.seen
            .is_none_or(|(_, at)| now.saturating_sub(at) >= LEASE_TERM)
    }
}
