//! The terms that a keeper holds, synchronized with the lease table.
//!
//! A holder counts its lease on the monotonic clock from before it sent the
//! append, so a term is valid here no longer than the log grants it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::keeper::{LeaseKeeper, LeaseOutput, TermUpdate};
use super::table::FoldChange;
use super::types::{KeyRange, LeaseTerm, TermRef};

/// A term that this home holds, and the time until which it certainly holds it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct HeldTerm {
    pub(super) term: LeaseTerm,
    pub(super) valid_until: Instant,
}

impl LeaseKeeper {
    /// Extends the validity of this home's terms that its own record began or renewed.
    ///
    /// A record whose send time is no longer known extends nothing.
    pub(super) fn apply_change(&mut self, change: FoldChange) {
        let (serial, range) = match change {
            FoldChange::Began {
                range,
                term,
                serial,
            } if term.holder == self.me => (serial, Some(range)),
            FoldChange::Renewed { holder, serial } if holder == self.me => (serial, None),
            _ => return,
        };
        let sent = self.sent.iter().find(|(number, _)| *number == serial);
        let Some((_, sent)) = sent.copied() else {
            return;
        };
        for (held_range, term) in self.table.held_by(self.me) {
            if range.is_some_and(|range| range != held_range) {
                continue;
            }
            let valid_until = sent + self.guaranteed_part(term.lease());
            let held = self.held.entry(held_range).or_insert(HeldTerm {
                term: *term,
                valid_until,
            });
            held.valid_until = held.valid_until.max(valid_until);
        }
    }

    /// Returns the part of a lease that can be relied on even if this clock is slow.
    fn guaranteed_part(&self, lease: Duration) -> Duration {
        lease * (1000 - self.settings.drift_permille) / 1000
    }

    /// Synchronizes the held terms with the table and returns the changes since `before`.
    pub(super) fn sync_held(
        &mut self,
        before: &BTreeMap<KeyRange, HeldTerm>,
        now: Instant,
    ) -> Vec<LeaseOutput> {
        if !self.table.is_known() {
            return Vec::new();
        }
        let mut outputs = Vec::new();
        let confirmed = std::mem::take(&mut self.held);
        for (range, held) in before {
            let epoch = held.term.epoch;
            let current = self.table.term(*range);
            if current.is_none_or(|term| term.holder != self.me || term.epoch != epoch) {
                let ended = TermRef::new(*range, epoch);
                outputs.push(LeaseOutput::Term(TermUpdate::Ended(ended)));
            }
        }
        for (range, term) in self.table.held_by(self.me) {
            // A term received by a release becomes valid with its first renewal.
            let valid_until = confirmed
                .get(&range)
                .filter(|held| held.term.epoch == term.epoch)
                .map_or(now, |held| held.valid_until);
            let held = HeldTerm {
                term: *term,
                valid_until,
            };
            self.held.insert(range, held);
            if before.get(&range) == Some(&held) {
                continue;
            }
            outputs.push(LeaseOutput::Term(TermUpdate::Held {
                range,
                term: *term,
                valid_until,
            }));
            if valid_until <= now {
                self.next_renew = now;
            }
        }
        outputs
    }
}
