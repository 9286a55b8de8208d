//! Shares of the rate of members that are not in the sums.

use std::collections::VecDeque;
use std::time::Duration;

/// Time for which lost members keep their share of the rate.
const SHARE_RETENTION: Duration = Duration::from_secs(600);
/// Number of members assumed by a daemon that has not joined.
const UNKNOWN_MEMBERS: usize = 100;

/// Numbers of members by their state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberCounts {
    /// Members that may be alive, the own daemon included.
    pub live: usize,
    /// Members that shut down as planned. They can't be alive elsewhere and have no share.
    pub left: usize,
}

/// Numbers of live members in the past.
#[derive(Debug, Default)]
pub(super) struct MemberShares {
    /// None before the daemon has joined.
    pub(super) present: Option<MemberCounts>,
    /// Earlier numbers that exceed all later ones, with the time until which they were seen.
    earlier: VecDeque<(Duration, MemberCounts)>,
}

impl MemberShares {
    pub(super) fn set(&mut self, now: Duration, counts: MemberCounts) {
        if let Some(before) = self.present.replace(counts)
            && before != counts
        {
            let before_total = before.live + before.left;
            while self
                .earlier
                .back()
                .is_some_and(|(_, counts)| counts.live + counts.left <= before_total)
            {
                self.earlier.pop_back();
            }
            self.earlier.push_back((now, before));
        }
    }

    /// Returns the number of members that have a share: all that were live and have not left.
    pub(super) fn total(&self, now: Duration) -> usize {
        let Some(present) = self.present else {
            return UNKNOWN_MEMBERS;
        };
        let kept = self
            .earlier
            .iter()
            .filter(|(until, _)| now.saturating_sub(*until) < SHARE_RETENTION);
        let kept = kept.map(|(_, counts)| {
            let left_since = present.left.saturating_sub(counts.left);
            counts.live.saturating_sub(left_since)
        });
        kept.max().unwrap_or(0).max(present.live)
    }
}
