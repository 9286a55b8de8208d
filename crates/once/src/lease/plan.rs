//! Choice of the next record that a keeper appends.
//!
//! Releases come first, then claims, then renewals. A keeper that still waits for
//! a checkpoint appends `Refound` records, which reset the table if no lease is alive.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::keeper::{LeaseKeeper, LeaseOutput, PendingAppend, RETRY_PAUSE};
use super::record::{LeaseAction, LeaseRecord, RangeClaim};
use super::table::MAX_LEASE;
use super::types::{HolderId, KeyRange, TermEpoch, TermRef};

/// Time after which another home claims a vacant range that its assigned home did not claim.
const FALLBACK_DELAY: Duration = Duration::from_secs(3);
/// Interval between two `Refound` records of one home.
const REFOUND_INTERVAL: Duration = Duration::from_secs(10);
/// Age of the last checkpoint in the stream at which the first home adds a new one.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(20);
/// Additional wait of each home after the one before it, so that only one home adds a checkpoint.
const CHECKPOINT_STAGGER: Duration = Duration::from_secs(3);
/// Number of staggered homes; all further ones wait as long as the last of them.
const CHECKPOINT_RANKS: usize = 10;
/// Maximum number of appends that are remembered while their records may still arrive.
const MAX_SENT: usize = 16;

impl LeaseKeeper {
    pub(super) fn next_record(&mut self, now: Instant) -> Option<LeaseOutput> {
        if let Some((terms, successor)) = self.next_release() {
            return Some(self.append(LeaseAction::Release { terms, successor }, now));
        }
        if now >= self.next_claim {
            let claims = self.claimable(now);
            if !claims.is_empty() {
                self.next_claim = now + RETRY_PAUSE;
                self.next_renew = now + self.settings.renew_interval;
                let action = LeaseAction::Claim {
                    claims,
                    lease_ms: self.settings.lease.as_millis() as u32,
                    skew_ms: self.settings.skew.as_millis() as u32,
                };
                return Some(self.append(action, now));
            }
        }
        if now >= self.next_renew && !self.held.is_empty() {
            self.next_renew = now + self.settings.renew_interval;
            return Some(self.append(LeaseAction::Renew, now));
        }
        let may_refound = self.caught_up && !self.table.is_known() && self.is_home();
        if may_refound && now >= self.next_refound {
            self.next_refound = now + REFOUND_INTERVAL.min(MAX_LEASE);
            return Some(self.append(LeaseAction::Refound, now));
        }
        None
    }

    /// Returns the oldest release that has not been seen in the stream.
    fn next_release(&mut self) -> Option<(SmallVec<[TermRef; 8]>, HolderId)> {
        while let Some((terms, successor)) = self.releases.front().cloned() {
            let held = |term: &TermRef| {
                self.held
                    .get(&term.range)
                    .is_some_and(|held| held.term.epoch == term.epoch)
            };
            let terms: SmallVec<[TermRef; 8]> = terms.into_iter().filter(held).collect();
            if !terms.is_empty() {
                return Some((terms, successor));
            }
            self.releases.pop_front();
        }
        None
    }

    pub(super) fn is_home(&self) -> bool {
        self.homes.contains(&self.me)
    }

    fn claimable(&mut self, now: Instant) -> SmallVec<[RangeClaim; 8]> {
        let mut claims = SmallVec::new();
        if !self.caught_up || !self.table.is_known() || !self.is_home() {
            return claims;
        }
        let log_now = self.log_clock.read(now);
        for range in KeyRange::all() {
            let term = self.table.term(range);
            let expired = term.is_none_or(|term| log_now.is_some_and(|at| at >= term.expires_at()));
            if !expired {
                self.vacant_since.remove(&range);
                continue;
            }
            let since = *self.vacant_since.entry(range).or_insert(now);
            let assigned = range.index().and_then(|index| self.assigned.get(index));
            let abandoned = now.saturating_duration_since(since) >= FALLBACK_DELAY;
            if assigned == Some(&self.me) || abandoned {
                let prior = term.map_or(TermEpoch::NONE, |term| term.epoch);
                claims.push(RangeClaim { range, prior });
            }
        }
        claims
    }

    /// Returns whether a reader that starts now would wait too long for a checkpoint.
    fn is_checkpoint_due(&self, now: Instant) -> bool {
        let rank = self.homes.iter().take_while(|home| **home != self.me);
        let rank = rank.count().min(CHECKPOINT_RANKS - 1) as u32;
        let max_age = CHECKPOINT_INTERVAL + CHECKPOINT_STAGGER * rank;
        let last = self.table.checkpoint_at();
        let fresh = last
            .zip(self.log_clock.read(now))
            .is_some_and(|(last, log_now)| log_now < last.after(max_age));
        !fresh
    }

    fn append(&mut self, action: LeaseAction, now: Instant) -> LeaseOutput {
        self.serial += 1;
        let serial = self.serial;
        let moves_ranges = action != LeaseAction::Renew;
        let without_checkpoint = !moves_ranges && !self.is_checkpoint_due(now);
        let checkpoint = (!without_checkpoint)
            .then(|| self.table.checkpoint())
            .flatten();
        let record = LeaseRecord {
            by: self.me,
            serial,
            action,
            checkpoint,
        };
        if self.sent.len() == MAX_SENT {
            self.sent.pop_front();
        }
        self.sent.push_back((serial, now));
        self.pending_append = Some(PendingAppend {
            serial,
            moves_ranges,
        });
        LeaseOutput::Append {
            serial,
            body: record.encode(),
        }
    }
}
