//! The keeper of keys: sums demand and hands out shares.
//!
//! A daemon keeps the keys that hash to it. A share shrinks as soon as less
//! is due, and grows only by what the others leave of the plan's rate, each
//! counted with its demand up to the share that it last confirmed. Shares in
//! the wrong place are changed unasked, a few at each tick. Calls at once are
//! divided in whole numbers; while demand is well below the plan, every
//! daemon may hold one, since most will hold none.
//!
//! The interval of reports grows with the number of shares kept, so that a
//! keeper's traffic stays the same however many daemons report to it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::DaemonId;

use crate::kept::{GrantRule, KeptKey};
use crate::message::{DemandReport, LimitKey, ShareGrant};

/// Keys of one keeper; further ones are not answered.
const MAX_KEYS: usize = 4096;

/// Bytes of a report and its answer with their framing.
const REPORT_BYTES: f64 = 84.0;

/// Bytes a second that a keeper's regular reports may take.
const KEEPER_BYTES_PER_S: f64 = 400.0;

/// Shortest interval of reports.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Longest interval of reports.
const MAX_INTERVAL: Duration = Duration::from_secs(120);

/// Time after a change of members in which a key that is new here may have had another keeper.
const MOVE_TIME: Duration = Duration::from_secs(3);

/// Time in which such a key's shares become known, and none is raised.
const LEARN_TIME: Duration = Duration::from_secs(2);

/// Grants sent unasked at each tick.
const MAX_PUSHES: usize = 16;

/// Shares of the keys that hash to this daemon.
#[derive(Debug, Default)]
pub(crate) struct ShareKeeper {
    keys: BTreeMap<LimitKey, KeptKey>,
    shares: usize,
    moving_until: Option<Instant>,
    /// Members before the latest change.
    former: Vec<DaemonId>,
}

impl ShareKeeper {
    /// Forgets daemons that left and keys that `me` no longer keeps.
    ///
    /// Keys that move here are learnt before any share is raised.
    pub(crate) fn on_members(
        &mut self,
        me: DaemonId,
        former: Vec<DaemonId>,
        members: &[DaemonId],
        now: Instant,
    ) {
        self.former = former;
        self.keys
            .retain(|key, _| key.coordinator(members) == Some(me));
        self.sweep(now, |daemon| members.binary_search(&daemon).is_ok());
        self.moving_until = Some(now + MOVE_TIME);
    }

    /// Takes a report in and answers with the share.
    pub(crate) fn on_report(
        &mut self,
        me: DaemonId,
        from: DaemonId,
        report: &DemandReport,
        members: usize,
        now: Instant,
    ) -> Option<ShareGrant> {
        if report.rate.0 == 0 && report.calls.0 == 0 {
            self.remove(from, report.key, now);
            return None;
        }
        if self.keys.len() >= MAX_KEYS && !self.keys.contains_key(&report.key) {
            return None;
        }
        let rule = GrantRule {
            members,
            interval: self.interval(),
            now,
        };
        let moving = self.moving_until.is_some_and(|until| now < until);
        let moving = moving && report.key.coordinator(&self.former) != Some(me);
        let fresh = || KeptKey::new(moving.then(|| now + LEARN_TIME));
        let key = self.keys.entry(report.key).or_insert_with(fresh);
        let before = key.len();
        let grant = key.on_report(from, report, &rule);
        self.shares += key.len() - before;
        grant
    }

    fn remove(&mut self, daemon: DaemonId, key: LimitKey, now: Instant) {
        let Some(kept) = self.keys.get_mut(&key) else {
            return;
        };
        let before = kept.len();
        kept.retain(now, |holder| holder != daemon);
        self.shares -= before - kept.len();
        if kept.is_empty() {
            self.keys.remove(&key);
        }
    }

    /// Shares to send unasked: those that must shrink, and those that may grow.
    pub(crate) fn on_tick(&mut self, members: usize, now: Instant) -> Vec<(DaemonId, ShareGrant)> {
        self.sweep(now, |_| true);
        let rule = GrantRule {
            members,
            interval: self.interval(),
            now,
        };
        let mut pushed = Vec::new();
        for (&name, key) in &mut self.keys {
            let left = MAX_PUSHES - pushed.len();
            if left == 0 {
                break;
            }
            pushed.extend(key.push_grants(name, &rule, left));
        }
        pushed
    }

    /// Drops shares that have lapsed, or whose daemon is not wanted.
    fn sweep(&mut self, now: Instant, wanted: impl Fn(DaemonId) -> bool) {
        for key in self.keys.values_mut() {
            key.retain(now, &wanted);
        }
        self.keys.retain(|_, key| !key.is_empty());
        self.shares = self.keys.values().map(KeptKey::len).sum();
    }

    fn interval(&self) -> Duration {
        let seconds = self.shares as f64 * REPORT_BYTES / KEEPER_BYTES_PER_S;
        Duration::from_secs_f64(seconds).clamp(MIN_INTERVAL, MAX_INTERVAL)
    }

    /// Shares kept.
    pub(crate) fn shares(&self) -> usize {
        self.shares
    }
}
