//! One key at its keeper: the daemons that use it and their shares.

use std::time::{Duration, Instant};

use model::DaemonId;

use crate::message::{DemandReport, GRANT_LIFETIME_INTERVALS, LimitKey, ShareGrant, Thousandths};
use crate::share::{DemandShare, divide_calls, divide_rate, expected};

/// Daemons that may use one key; further ones are not answered.
const MAX_HOLDERS: usize = 2048;

/// Least time between two unasked grants to one holder.
const PUSH_GAP: Duration = Duration::from_millis(500);

/// Relative excess of a share over the due one that is worth an unasked grant.
const PUSH_EXCESS: f64 = 1.2;

/// Part of a limit above which shares that are too large are taken back unasked.
const PRESSED_PART: f64 = 1.05;

/// Calls a second that a holder is assumed to use beyond its reported demand.
const EXTRA_USE: f64 = 0.1;

/// One key and the daemons that use it.
#[derive(Debug)]
pub(crate) struct KeptKey {
    limit_rate: f64,
    limit_calls: u32,
    holders: Vec<ShareHolder>,
    learn_until: Option<Instant>,
    /// Whether shares may be in the wrong place.
    unsettled: bool,
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
    granted_calls: f64,
    until: Instant,
    pushed: Instant,
}

/// What a grant depends on besides its key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantRule {
    /// Daemons of the fleet.
    pub(crate) members: usize,
    /// Time until the next report.
    pub(crate) interval: Duration,
    /// The present.
    pub(crate) now: Instant,
}

/// Sums over the holders of a key.
#[derive(Clone, Copy, Debug)]
struct HolderSums {
    demand: f64,
    used: f64,
}

impl ShareHolder {
    fn new(daemon: DaemonId, now: Instant) -> Self {
        Self {
            daemon,
            rate: 0.0,
            calls: 0.0,
            held: 0.0,
            granted: 0.0,
            granted_calls: 0.0,
            until: now,
            pushed: now,
        }
    }

    /// Takes over a report, which also confirms the share that is in force.
    fn take_in(&mut self, report: &DemandReport) {
        self.rate = f64::from(report.rate);
        self.calls = f64::from(report.calls);
        self.held = f64::from(report.held);
    }

    /// Calls a second that it may be using.
    fn used(&self) -> f64 {
        self.held.min(self.rate + EXTRA_USE)
    }
}

impl KeptKey {
    /// A key without holders, whose shares become known until `learn_until`.
    pub(crate) fn new(learn_until: Option<Instant>) -> Self {
        Self {
            limit_rate: 0.0,
            limit_calls: 0,
            holders: Vec::new(),
            learn_until,
            unsettled: true,
        }
    }

    /// Number of daemons that use the key.
    pub(crate) fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether no daemon uses the key.
    pub(crate) fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Keeps the holders whose daemon is wanted and whose share has not lapsed.
    pub(crate) fn retain(&mut self, now: Instant, wanted: impl Fn(DaemonId) -> bool) {
        let before = self.holders.len();
        self.holders
            .retain(|holder| holder.until > now && wanted(holder.daemon));
        self.unsettled |= self.holders.len() != before;
    }

    /// Takes a report in and answers with the share; `None` if there are too many holders.
    pub(crate) fn on_report(
        &mut self,
        from: DaemonId,
        report: &DemandReport,
        rule: &GrantRule,
    ) -> Option<ShareGrant> {
        self.limit_rate = f64::from(report.limit_rate);
        self.limit_calls = report.limit_calls.0;
        let known = self.holders.iter().position(|one| one.daemon == from);
        if known.is_none() && self.holders.len() >= MAX_HOLDERS {
            return None;
        }
        let index = known.unwrap_or(self.holders.len());
        if known.is_none() {
            self.holders.push(ShareHolder::new(from, rule.now));
        }
        self.holders[index].take_in(report);
        self.unsettled = true;
        Some(self.grant(report.key, index, rule))
    }

    /// Grants the holder at `index` its share of now.
    fn grant(&mut self, name: LimitKey, index: usize, rule: &GrantRule) -> ShareGrant {
        let sums = self.sums();
        let floor = self.limit_rate / rule.members.max(1) as f64;
        let learning = self.learn_until.is_some_and(|until| rule.now < until);
        let free = if learning {
            0.0
        } else {
            self.free_rate(index, sums)
        };
        let held = self.holders[index].held;
        let rate = self.due_rate(index, sums).min(free.max(held).max(floor));
        let calls = self.due_calls()[index];
        let holder = &mut self.holders[index];
        holder.held = holder.held.max(rate);
        holder.granted = rate;
        holder.granted_calls = calls;
        holder.until = rule.now + rule.interval * GRANT_LIFETIME_INTERVALS;
        ShareGrant {
            key: name,
            rate: Thousandths::from(rate),
            calls: Thousandths::from(calls),
            interval_ms: rule.interval.as_millis() as u32,
        }
    }

    fn sums(&self) -> HolderSums {
        HolderSums {
            demand: self.holders.iter().map(|holder| holder.rate).sum(),
            used: self.holders.iter().map(ShareHolder::used).sum(),
        }
    }

    fn due_rate(&self, index: usize, sums: HolderSums) -> f64 {
        let share = DemandShare {
            own: self.holders[index].rate,
            total: sums.demand,
            holders: self.holders.len(),
        };
        divide_rate(self.limit_rate, share)
    }

    /// What the others leave of the rate.
    fn free_rate(&self, index: usize, sums: HolderSums) -> f64 {
        let others = sums.used - self.holders[index].used();
        (self.limit_rate - others).max(0.0)
    }

    fn due_calls(&self) -> Vec<f64> {
        let demands: Vec<f64> = self.holders.iter().map(|holder| holder.calls).collect();
        divide_calls(self.limit_calls, &demands)
    }

    /// Grants to holders whose share is far from what is due, at most `limit`.
    ///
    /// A share shrinks unasked only while the limit is exceeded or another holder is short.
    pub(crate) fn push_grants(
        &mut self,
        name: LimitKey,
        rule: &GrantRule,
        limit: usize,
    ) -> Vec<(DaemonId, ShareGrant)> {
        if !self.unsettled {
            return Vec::new();
        }
        let misplaced = self.misplaced(rule);
        let mut holders = self.holders.iter();
        let resting = holders.any(|holder| rule.now < holder.pushed + PUSH_GAP);
        self.unsettled = resting || !misplaced.is_empty();
        let mut pushed = Vec::new();
        for index in misplaced.into_iter().take(limit) {
            self.holders[index].pushed = rule.now;
            let daemon = self.holders[index].daemon;
            pushed.push((daemon, self.grant(name, index, rule)));
        }
        pushed
    }

    /// Positions of holders whose share is far from what is due, the largest excess first.
    fn misplaced(&self, rule: &GrantRule) -> Vec<usize> {
        let sums = self.sums();
        let rates: Vec<f64> = (0..self.holders.len())
            .map(|index| self.due_rate(index, sums))
            .collect();
        let calls = self.due_calls();
        let is_short = |index: usize| {
            let holder = &self.holders[index];
            holder.granted * PUSH_EXCESS < rates[index] && holder.granted < holder.rate
        };
        let rate_pressed = self.is_rate_exceeded() || (0..self.holders.len()).any(is_short);
        let calls_pressed = self.are_calls_exceeded();
        let excess = |index: usize| {
            let holder = &self.holders[index];
            let over = |pressed: bool, granted: f64, due: f64| {
                let relative = granted / due.max(f64::MIN_POSITIVE);
                if pressed { relative } else { 0.0 }
            };
            let rate = over(rate_pressed, holder.granted, rates[index]);
            rate.max(over(calls_pressed, holder.granted_calls, calls[index]))
        };
        let grows = |index: usize| {
            let free = self.free_rate(index, sums);
            is_short(index) && free > self.holders[index].granted * PUSH_EXCESS
        };
        let rested = |index: &usize| rule.now >= self.holders[*index].pushed + PUSH_GAP;
        let all = (0..self.holders.len()).filter(rested);
        let (mut first, rest): (Vec<usize>, Vec<usize>) =
            all.partition(|&index| excess(index) > PUSH_EXCESS);
        first.sort_by(|&left, &right| excess(right).total_cmp(&excess(left)));
        first.extend(rest.into_iter().filter(|&index| grows(index)));
        first
    }

    /// Whether the shares let more calls a second through than the limit.
    fn is_rate_exceeded(&self) -> bool {
        let used = |holder: &ShareHolder| holder.granted.min(holder.rate);
        let all: f64 = self.holders.iter().map(used).sum();
        all > self.limit_rate * PRESSED_PART
    }

    /// Whether the shares let more calls at once run than the limit.
    fn are_calls_exceeded(&self) -> bool {
        let holders = || self.holders.iter();
        let granted: Vec<f64> = holders().map(|holder| holder.granted_calls).collect();
        let demands: Vec<f64> = holders().map(|holder| holder.calls).collect();
        expected(&granted, &demands) > f64::from(self.limit_calls) * PRESSED_PART
    }
}
