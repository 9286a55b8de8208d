//! The keeper of keys: sums demand and hands out shares.
//!
//! A daemon keeps the keys that hash to it. Shares of a key's rate never sum
//! to more than the plan's rate plus an equal part for each daemon that is
//! still waiting for others to give up theirs: a share is raised only by what
//! the others' last confirmed shares leave. Calls at once are divided in whole
//! numbers; while demand is well below the plan, every daemon may hold one,
//! since most will hold none.
//!
//! The interval of reports grows with the number of entries kept, so that a
//! keeper's traffic stays the same however many daemons report to it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::{CallCount, CallRate, DaemonId};

use crate::message::{DemandReport, GRANT_INTERVALS, LimitKey, MilliRate, ShareGrant};
use crate::share::{DemandShare, divide_calls, divide_rate};

/// Keys of one keeper; further ones are not answered.
const MAX_KEYS: usize = 4096;

/// Entries of one key; further ones are not answered.
const MAX_HOLDERS: usize = 2048;

/// Bytes of a report and its answer with their framing.
const ENTRY_BYTES: f64 = 60.0;

/// Bytes a second that a keeper's regular reports may take.
const KEEPER_BYTES_PER_S: f64 = 600.0;

/// Shortest interval of reports.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Longest interval of reports.
const MAX_INTERVAL: Duration = Duration::from_secs(60);

/// Time after a change of members in which no share is raised: others' shares become known.
const LEARN_TIME: Duration = Duration::from_secs(1);

/// Grants sent unasked for one key at each tick.
const MAX_PUSHES: usize = 8;

/// Relative excess of a held share over the due one that is worth a push.
const PUSH_EXCESS: f64 = 1.2;

/// Shares of the keys that hash to this daemon.
#[derive(Debug, Default)]
pub(crate) struct ShareKeeper {
    keys: HashMap<LimitKey, KeptKey>,
    entries: usize,
    learn_until: Option<Instant>,
}

/// One key and the daemons that use it.
#[derive(Debug, Default)]
struct KeptKey {
    limit_rate: f64,
    limit_calls: u32,
    holders: Vec<ShareHolder>,
}

/// A daemon that uses a key.
#[derive(Clone, Copy, Debug)]
struct ShareHolder {
    daemon: DaemonId,
    rate: f64,
    calls: f64,
    /// The largest share that may be in force there.
    held: f64,
    granted: f64,
    granted_calls: u32,
    until: Instant,
}

impl ShareKeeper {
    /// Forgets daemons that left, and learns others' shares before raising any.
    pub(crate) fn on_members(&mut self, members: &[DaemonId], now: Instant) {
        for key in self.keys.values_mut() {
            key.holders
                .retain(|holder| members.binary_search(&holder.daemon).is_ok());
        }
        self.sweep(now);
        self.learn_until = Some(now + LEARN_TIME);
    }

    /// Takes a report in and answers with the share.
    pub(crate) fn on_report(
        &mut self,
        from: DaemonId,
        report: &DemandReport,
        members: usize,
        now: Instant,
    ) -> Option<ShareGrant> {
        if report.rate.0 == 0 && report.calls.0 == 0 {
            self.remove(from, report.key);
            return None;
        }
        let learning = self.learn_until.is_some_and(|until| now < until);
        if self.keys.len() >= MAX_KEYS && !self.keys.contains_key(&report.key) {
            return None;
        }
        let interval = self.interval();
        let key = self.keys.entry(report.key).or_default();
        key.limit_rate = CallRate::from(report.limit_rate).0;
        key.limit_calls = report.limit_calls.0;
        let known = key.holders.iter().position(|one| one.daemon == from);
        let index = known.or_else(|| {
            let room = key.holders.len() < MAX_HOLDERS;
            room.then(|| {
                key.holders.push(ShareHolder::new(from, now));
                self.entries += 1;
                key.holders.len() - 1
            })
        })?;
        key.holders[index].take_in(report);
        let rule = GrantRule {
            members,
            learning,
            interval,
            now,
        };
        Some(key.grant(report.key, index, &rule))
    }

    fn remove(&mut self, daemon: DaemonId, key: LimitKey) {
        let Some(kept) = self.keys.get_mut(&key) else {
            return;
        };
        let before = kept.holders.len();
        kept.holders.retain(|holder| holder.daemon != daemon);
        self.entries -= before - kept.holders.len();
        if kept.holders.is_empty() {
            self.keys.remove(&key);
        }
    }

    /// Shares to send unasked: first those that must shrink, then those that may grow.
    pub(crate) fn on_tick(&mut self, members: usize, now: Instant) -> Vec<(DaemonId, ShareGrant)> {
        self.sweep(now);
        if self.learn_until.is_some_and(|until| now < until) {
            return Vec::new();
        }
        let rule = GrantRule {
            members,
            learning: false,
            interval: self.interval(),
            now,
        };
        let mut pushed = Vec::new();
        for (&name, key) in &mut self.keys {
            for index in key.misplaced() {
                let daemon = key.holders[index].daemon;
                pushed.push((daemon, key.grant(name, index, &rule)));
            }
        }
        pushed
    }

    /// Drops shares that have lapsed.
    fn sweep(&mut self, now: Instant) {
        for key in self.keys.values_mut() {
            key.holders.retain(|holder| holder.until > now);
        }
        self.keys.retain(|_, key| !key.holders.is_empty());
        self.entries = self.keys.values().map(|key| key.holders.len()).sum();
    }

    fn interval(&self) -> Duration {
        let seconds = self.entries as f64 * ENTRY_BYTES / KEEPER_BYTES_PER_S;
        Duration::from_secs_f64(seconds).clamp(MIN_INTERVAL, MAX_INTERVAL)
    }

    /// Entries kept.
    pub(crate) fn entries(&self) -> usize {
        self.entries
    }
}

/// What a grant depends on besides its key.
struct GrantRule {
    members: usize,
    learning: bool,
    interval: Duration,
    now: Instant,
}

impl ShareHolder {
    fn new(daemon: DaemonId, now: Instant) -> Self {
        Self {
            daemon,
            rate: 0.0,
            calls: 0.0,
            held: 0.0,
            granted: 0.0,
            granted_calls: 0,
            until: now,
        }
    }

    /// Takes over a report, which also confirms the share that is in force.
    fn take_in(&mut self, report: &DemandReport) {
        self.rate = CallRate::from(report.rate).0;
        self.calls = CallRate::from(report.calls).0;
        self.held = CallRate::from(report.held).0;
    }
}

impl KeptKey {
    /// Grants the holder at `index` its share of now.
    fn grant(&mut self, name: LimitKey, index: usize, rule: &GrantRule) -> ShareGrant {
        let floor = self.limit_rate / rule.members.max(1) as f64;
        let due = self.due_rate(index);
        let rate = if rule.learning {
            due.min(self.holders[index].held.max(floor))
        } else {
            due.min(self.free_rate(index).max(floor))
        };
        let calls = self.due_calls()[index];
        let holder = &mut self.holders[index];
        holder.held = holder.held.max(rate);
        holder.granted = rate;
        holder.granted_calls = calls;
        holder.until = rule.now + rule.interval * GRANT_INTERVALS;
        ShareGrant {
            key: name,
            rate: MilliRate::from(CallRate(rate)),
            calls: CallCount(calls),
            interval_ms: rule.interval.as_millis() as u32,
        }
    }

    fn due_rate(&self, index: usize) -> f64 {
        let total = self.holders.iter().map(|holder| holder.rate).sum();
        divide_rate(
            self.limit_rate,
            DemandShare {
                own: self.holders[index].rate,
                total,
                holders: self.holders.len(),
            },
        )
    }

    fn due_calls(&self) -> Vec<u32> {
        let demands: Vec<f64> = self.holders.iter().map(|holder| holder.calls).collect();
        divide_calls(self.limit_calls, &demands)
    }

    /// Positions of holders whose share is far from what is due.
    ///
    /// A share shrinks unasked only if another holder is short of its own.
    fn misplaced(&self) -> Vec<usize> {
        let calls = self.due_calls();
        let mut shrinking = Vec::new();
        let mut growing = Vec::new();
        let mut short = false;
        for (index, holder) in self.holders.iter().enumerate() {
            let due = self.due_rate(index);
            let below = holder.granted * PUSH_EXCESS < due;
            short |= below;
            if holder.granted > due * PUSH_EXCESS || holder.granted_calls > calls[index] {
                shrinking.push(index);
            } else if below && self.free_rate(index) > holder.granted * PUSH_EXCESS {
                growing.push(index);
            }
        }
        if !short {
            shrinking.retain(|&index| self.holders[index].granted_calls > calls[index]);
        }
        shrinking.extend(growing);
        shrinking.truncate(MAX_PUSHES);
        shrinking
    }

    /// What the others' shares in force leave of the rate.
    fn free_rate(&self, index: usize) -> f64 {
        let all: f64 = self.holders.iter().map(|holder| holder.held).sum();
        (self.limit_rate - (all - self.holders[index].held)).max(0.0)
    }
}
