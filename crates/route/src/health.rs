//! Ejection of targets that fail far more often than their peers.
//!
//! A target that fails at once looks idle and would attract every call, so
//! failures are judged apart from load. The share of failures is an average
//! over recent calls, or what the daemon beside the target counted for all
//! proxies if that is worse. An ejected target comes back on probation, where
//! one failure ejects it again for twice as long.

use std::time::{Duration, Instant};

use crate::candidate::freshness;

/// Weight of the latest call in the average share of failures.
const FAILURE_WEIGHT: f32 = 0.25;

/// Weight of a call that got no answer: one is enough to eject.
const LOST_WEIGHT: f32 = 0.6;

/// Share of failures above which a target may be ejected.
const EJECT_SHARE: f32 = 0.5;

/// How far a target must be above its peers' mean share to be ejected.
const EJECT_MARGIN: f32 = 0.3;

/// Share of failures assumed when an ejected target comes back.
const PROBATION_SHARE: f32 = 0.4;

/// Share of failures below which a target counts as proven.
const PROVEN_SHARE: f32 = 0.3;

/// First time of ejection; doubles with each further one.
const EJECT_BASE: Duration = Duration::from_secs(3);

/// Doublings after which the time of ejection stays the same.
const EJECT_DOUBLINGS: u8 = 4;

/// Age at which a share of failures counts for half.
///
/// A target that is not chosen for its failures has no other way to become better.
const SHARE_HALF_LIFE: Duration = Duration::from_secs(10);

/// Failures of one target as one proxy sees them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetHealth {
    share: f32,
    judged_at: Instant,
    ejections: u8,
    ejected_until: Option<Instant>,
}

impl TargetHealth {
    /// A target without failures.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            share: 0.0,
            judged_at: now,
            ejections: 0,
            ejected_until: None,
        }
    }

    /// Share of recent calls that failed.
    pub(crate) fn share(&self, now: Instant) -> f32 {
        self.share * freshness(self.judged_at, SHARE_HALF_LIFE, now)
    }

    fn judge(&mut self, share: f32, now: Instant) {
        self.share = share;
        self.judged_at = now;
    }

    /// Counts an answered call.
    pub(crate) fn on_done(&mut self, now: Instant) {
        let share = self.share(now);
        self.judge(share - share * FAILURE_WEIGHT, now);
        if self.share < FAILURE_WEIGHT / 4.0 {
            self.ejections = 0;
        }
    }

    /// Counts a failed call; `told` is the share that the daemon beside the target counts.
    pub(crate) fn on_failed(&mut self, told: f32, now: Instant) {
        let share = self.share(now);
        self.judge((share + (1.0 - share) * FAILURE_WEIGHT).max(told), now);
    }

    /// Counts a call that got no answer.
    pub(crate) fn on_lost(&mut self, now: Instant) {
        let share = self.share(now);
        self.judge(share + (1.0 - share) * LOST_WEIGHT, now);
    }

    /// Whether most recent calls failed.
    pub(crate) fn is_bad(&self, now: Instant) -> bool {
        self.is_ejected(now) || self.share(now) > EJECT_SHARE
    }

    /// Ends an ejection at once.
    pub(crate) fn readmit(&mut self) {
        self.ejected_until = None;
    }

    /// Whether the share of failures sets this target apart from peers with the mean `peers`.
    pub(crate) fn is_outlier(&self, peers: f32, now: Instant) -> bool {
        self.is_bad(now) && self.share(now) > peers + EJECT_MARGIN
    }

    /// Ejects the target for a time that grows with each ejection.
    pub(crate) fn eject(&mut self, now: Instant) {
        let time = EJECT_BASE * (1 << self.ejections.min(EJECT_DOUBLINGS));
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(now + time);
    }

    /// Whether the target is ejected at `now`.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the target was not ejected and few of its recent calls failed.
    pub(crate) fn is_proven(&self, now: Instant) -> bool {
        self.ejected_until.is_none() && self.share(now) < PROVEN_SHARE
    }

    /// Ends an ejection whose time is over; true if it did.
    pub(crate) fn begin_probation(&mut self, now: Instant) -> bool {
        let over = self.ejected_until.is_some_and(|until| now >= until);
        if over {
            self.ejected_until = None;
            self.judge(PROBATION_SHARE, now);
        }
        over
    }
}
