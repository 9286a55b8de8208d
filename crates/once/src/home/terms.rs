//! Creation and removal of a home's shards as leases change and keys expire.

use std::time::{Duration, Instant};

use super::keys::KeyHome;
use super::shard::{KeyShard, RangeAdmission, ShardAdmission, ShardId, floor_before};
use crate::lease::{KeyRange, LeaseTerm, LogStamp, TermRef, TermUpdate};

/// Maximum number of shards of ended terms that are kept to answer repeated calls.
const MAX_ENDED_SHARDS: usize = 2 * KeyRange::COUNT;
/// Interval between two sweeps for expired keys.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which staged shards, and empty shards of other issuers, are kept, in windows of
/// issued keys.
///
/// A page that arrives after the shard is dropped would recreate it.
const EMPTY_SHARD_WINDOWS: u32 = 4;

impl KeyHome {
    /// Applies a change of the leases.
    pub fn on_term(&mut self, update: TermUpdate) {
        match update {
            TermUpdate::Held {
                range,
                term,
                valid_until,
            } => self.hold_term(range, term, valid_until),
            TermUpdate::Ended(term) => self.end_term(term),
        }
    }

    /// Removes expired keys; `log_now` is a time that the log's clock has passed.
    ///
    /// A sweep visits every key, so it runs only every few seconds.
    pub fn on_tick(&mut self, log_now: Option<LogStamp>) {
        let now = self.clock.now();
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        let window = self.settings.window;
        let uptime_ms = self.uptime().as_millis() as u64;
        let untimed_floor = floor_before(uptime_ms, window);
        let log_floor = log_now.map_or(0, |stamp| floor_before(stamp.0, window));
        let mut forgot = false;
        for shard in self.shards.values_mut() {
            let floor = match &shard.admission {
                ShardAdmission::Range(_) => log_floor,
                ShardAdmission::Issuer(admission) => {
                    floor_before(admission.uptime_ms(now), self.settings.issued_window)
                }
            };
            forgot |= shard.forget(floor, untimed_floor);
        }
        self.drop_shards();
        if forgot {
            self.forget_answers();
        }
        self.count_keys();
    }

    /// Removes the answers of keys that no active or staged shard remembers.
    fn forget_answers(&mut self) {
        let staged = self.staged.values().map(|staged| &staged.shard);
        let shards: Vec<&KeyShard> = self.shards.values().chain(staged).collect();
        let remembers = |digest| {
            shards
                .iter()
                .any(|shard| shard.entries.contains_key(&digest))
        };
        self.answers.retain(remembers);
    }

    pub(super) fn count_keys(&mut self) {
        let shards = self.shards.values().map(|shard| shard.entries.len());
        let staged = self
            .staged
            .values()
            .map(|staged| staged.shard.entries.len());
        self.key_count = shards.chain(staged).sum();
    }

    fn hold_term(&mut self, range: KeyRange, term: LeaseTerm, valid_until: Instant) {
        let held = TermRef::new(range, term.epoch);
        if let Some(shard) = self.shards.get_mut(&ShardId::Range(held)) {
            if let ShardAdmission::Range(admission) = &mut shard.admission {
                // An inherited shard also owns the keys of the terms that it was handed over from.
                let owns_after = admission.term.owns_after;
                admission.term = LeaseTerm { owns_after, ..term };
                admission.valid_until = valid_until;
            }
            return;
        }
        if let Some(earlier) = self.current.get(&range).copied() {
            self.end_term(earlier);
        }
        let shard = self
            .inherit_shard(range, term, valid_until)
            .unwrap_or_else(|| self.new_shard(term, valid_until));
        self.shards.insert(ShardId::Range(held), shard);
        self.current.insert(range, held);
        self.count_keys();
    }

    fn new_shard(&self, term: LeaseTerm, valid_until: Instant) -> KeyShard {
        let now = self.clock.now();
        let wait = match term.owns_after {
            Some(_) => self.settings.window * (1000 + self.settings.drift_permille) / 1000,
            None => Duration::ZERO,
        };
        let admission = RangeAdmission {
            term,
            untimed_from: now + wait,
            valid_until,
        };
        let mut shard = KeyShard::new(ShardAdmission::Range(admission), now);
        // Without an earlier holder `owns_after` sets no lower bound, and the first
        // sweep may be late: keys older than the window must not be admitted.
        shard.floor_s = floor_before(term.begun.0, self.settings.window);
        shard
    }

    fn end_term(&mut self, ended: TermRef) {
        if let Some(shard) = self.shards.get_mut(&ShardId::Range(ended)) {
            shard.ended = true;
        }
        if self.current.get(&ended.range) == Some(&ended) {
            self.current.remove(&ended.range);
        }
    }

    /// Drops shards that can neither run a call nor answer one, and the oldest ended shards above
    /// [`MAX_ENDED_SHARDS`].
    fn drop_shards(&mut self) {
        let me = self.me;
        let now = self.clock.now();
        let retention = self.settings.issued_window * EMPTY_SHARD_WINDOWS;
        let is_old = |opened: Instant| now.saturating_duration_since(opened) > retention;
        self.shards.retain(|id, shard| match id {
            ShardId::Issuer(issuer) => {
                *issuer == me || !shard.entries.is_empty() || !is_old(shard.opened)
            }
            ShardId::Range(_) => !shard.ended || !shard.entries.is_empty(),
        });
        self.staged.retain(|_, staged| !is_old(staged.shard.opened));
        let ended = self.shards.iter().filter(|(_, shard)| shard.ended);
        let mut ended: Vec<ShardId> = ended.map(|(id, _)| *id).collect();
        if ended.len() > MAX_ENDED_SHARDS {
            ended.sort_unstable_by_key(|id| match id {
                ShardId::Range(term) => term.epoch.0,
                ShardId::Issuer(_) => u64::MAX,
            });
            for id in &ended[..ended.len() - MAX_ENDED_SHARDS] {
                self.shards.remove(id);
            }
            self.count_keys();
        }
    }
}
