//! State of one key at its coordinator: the daemons that use it and their shares.

use std::time::{Duration, Instant};

use model::DaemonId;

use crate::message::{DemandReport, GRANT_LIFETIME_INTERVALS, LimitKey, ShareGrant, Thousandths};
use crate::share::{DemandShare, divide_concurrency, divide_rate, total_carried_load};

/// Maximum number of holders per key; reports of further daemons are not answered.
const MAX_HOLDERS: usize = 2048;

/// Minimum time between two unsolicited grants to one holder.
const PUSH_GAP: Duration = Duration::from_millis(500);

/// Ratio of granted and due share from which an unsolicited grant is sent.
const PUSH_RATIO: f64 = 1.2;

/// Expected use, relative to the limit, above which shares that are too large are reduced.
const OVERLOAD_RATIO: f64 = 1.05;

/// Calls per second that a holder is assumed to use above its reported demand.
const ASSUMED_EXTRA_RATE: f64 = 0.1;

/// A key and the daemons that hold shares of it.
#[derive(Debug)]
pub(crate) struct CoordinatedKey {
    limit_rate: f64,
    limit_concurrency: u32,
    holders: Vec<ShareHolder>,
    learning_until: Option<Instant>,
    /// Whether some shares may not match demand.
    needs_correction: bool,
}

/// A daemon that holds a share of a key.
#[derive(Clone, Copy, Debug)]
struct ShareHolder {
    daemon: DaemonId,
    demand_rate: f64,
    demand_concurrency: f64,
    /// Largest rate share that the daemon may be using.
    held: f64,
    granted_rate: f64,
    granted_concurrency: f64,
    expires_at: Instant,
    pushed_at: Instant,
}

/// What a grant depends on besides its key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantContext {
    /// Number of daemons in the fleet.
    pub(crate) members: usize,
    /// Time until the next report.
    pub(crate) interval: Duration,
    /// Current time.
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
            demand_rate: 0.0,
            demand_concurrency: 0.0,
            held: 0.0,
            granted_rate: 0.0,
            granted_concurrency: 0.0,
            expires_at: now,
            pushed_at: now,
        }
    }

    /// Applies a report, which also confirms the share that the daemon uses.
    fn apply_report(&mut self, report: &DemandReport) {
        self.demand_rate = f64::from(report.rate);
        self.demand_concurrency = f64::from(report.calls);
        self.held = f64::from(report.held);
    }

    /// Returns the calls per second that the holder may be using.
    fn used(&self) -> f64 {
        self.held.min(self.demand_rate + ASSUMED_EXTRA_RATE)
    }
}

impl CoordinatedKey {
    /// Creates a key without holders; until `learning_until`, shares that a former coordinator
    /// granted are still being reported.
    pub(crate) fn new(learning_until: Option<Instant>) -> Self {
        Self {
            limit_rate: 0.0,
            limit_concurrency: 0,
            holders: Vec::new(),
            learning_until,
            needs_correction: true,
        }
    }

    /// Returns the number of holders.
    pub(crate) fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether the key has no holders.
    pub(crate) fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Removes the holders whose share has expired or whose daemon is rejected by `is_wanted`.
    pub(crate) fn retain(&mut self, now: Instant, is_wanted: impl Fn(DaemonId) -> bool) {
        let before = self.holders.len();
        self.holders
            .retain(|holder| holder.expires_at > now && is_wanted(holder.daemon));
        self.needs_correction |= self.holders.len() != before;
    }

    /// Processes a report and returns the share; `None` if there are too many holders.
    pub(crate) fn on_report(
        &mut self,
        from: DaemonId,
        report: &DemandReport,
        context: &GrantContext,
    ) -> Option<ShareGrant> {
        self.limit_rate = f64::from(report.limit_rate);
        self.limit_concurrency = report.limit_calls.0;
        let known = self.holders.iter().position(|holder| holder.daemon == from);
        if known.is_none() && self.holders.len() >= MAX_HOLDERS {
            return None;
        }
        let index = known.unwrap_or(self.holders.len());
        if known.is_none() {
            self.holders.push(ShareHolder::new(from, context.now));
        }
        self.holders[index].apply_report(report);
        self.needs_correction = true;
        Some(self.grant(report.key, index, context))
    }

    /// Grants a share to the holder at `index`.
    ///
    /// The rate is the due rate, but at most the largest of three: what the other holders leave
    /// (zero before `learning_until`), what the holder may be using, and an equal part of the
    /// limit.
    fn grant(&mut self, key: LimitKey, index: usize, context: &GrantContext) -> ShareGrant {
        let sums = self.sums();
        let equal_share = self.limit_rate / context.members.max(1) as f64;
        let learning = self.learning_until.is_some_and(|until| context.now < until);
        let free = if learning {
            0.0
        } else {
            self.free_rate(index, sums)
        };
        let held = self.holders[index].held;
        let rate = self
            .due_rate(index, sums)
            .min(free.max(held).max(equal_share));
        let calls = self.due_concurrency()[index];
        let holder = &mut self.holders[index];
        holder.held = holder.held.max(rate);
        holder.granted_rate = rate;
        holder.granted_concurrency = calls;
        holder.expires_at = context.now + context.interval * GRANT_LIFETIME_INTERVALS;
        ShareGrant {
            key,
            rate: Thousandths::from(rate),
            calls: Thousandths::from(calls),
            interval_ms: context.interval.as_millis() as u32,
        }
    }

    fn sums(&self) -> HolderSums {
        HolderSums {
            demand: self.holders.iter().map(|holder| holder.demand_rate).sum(),
            used: self.holders.iter().map(ShareHolder::used).sum(),
        }
    }

    fn due_rate(&self, index: usize, sums: HolderSums) -> f64 {
        let share = DemandShare {
            own: self.holders[index].demand_rate,
            total: sums.demand,
            holders: self.holders.len(),
        };
        divide_rate(self.limit_rate, share)
    }

    /// Returns the part of the rate limit that the other holders do not use.
    fn free_rate(&self, index: usize, sums: HolderSums) -> f64 {
        let others = sums.used - self.holders[index].used();
        (self.limit_rate - others).max(0.0)
    }

    fn due_concurrency(&self) -> Vec<f64> {
        let demands: Vec<f64> = self
            .holders
            .iter()
            .map(|holder| holder.demand_concurrency)
            .collect();
        divide_concurrency(self.limit_concurrency, &demands)
    }

    /// Returns at most `max_grants` unsolicited grants to holders whose share is far from due.
    ///
    /// A share is reduced only while the shares admit more than the limit, or while another holder's
    /// rate is far below its due rate and below its demand.
    pub(crate) fn push_grants(
        &mut self,
        key: LimitKey,
        context: &GrantContext,
        max_grants: usize,
    ) -> Vec<(DaemonId, ShareGrant)> {
        if !self.needs_correction {
            return Vec::new();
        }
        let holders_to_correct = self.holders_to_correct(context);
        let mut holders = self.holders.iter();
        let pushed_recently = holders.any(|holder| context.now < holder.pushed_at + PUSH_GAP);
        self.needs_correction = pushed_recently || !holders_to_correct.is_empty();
        let mut pushed = Vec::new();
        for index in holders_to_correct.into_iter().take(max_grants) {
            self.holders[index].pushed_at = context.now;
            let daemon = self.holders[index].daemon;
            pushed.push((daemon, self.grant(key, index, context)));
        }
        pushed
    }

    /// Returns the indices of holders whose share is far from due, the largest excess first.
    fn holders_to_correct(&self, context: &GrantContext) -> Vec<usize> {
        let sums = self.sums();
        let rates: Vec<f64> = (0..self.holders.len())
            .map(|index| self.due_rate(index, sums))
            .collect();
        let calls = self.due_concurrency();
        let is_short = |index: usize| {
            let holder = &self.holders[index];
            holder.granted_rate * PUSH_RATIO < rates[index]
                && holder.granted_rate < holder.demand_rate
        };
        let rate_overloaded = self.is_rate_exceeded() || (0..self.holders.len()).any(is_short);
        let concurrency_overloaded = self.is_concurrency_exceeded();
        let excess = |index: usize| {
            let holder = &self.holders[index];
            let over = |overloaded: bool, granted: f64, due: f64| {
                let relative = granted / due.max(f64::MIN_POSITIVE);
                if overloaded { relative } else { 0.0 }
            };
            let rate_excess = over(rate_overloaded, holder.granted_rate, rates[index]);
            rate_excess.max(over(
                concurrency_overloaded,
                holder.granted_concurrency,
                calls[index],
            ))
        };
        let may_grow = |index: usize| {
            let free = self.free_rate(index, sums);
            is_short(index) && free > self.holders[index].granted_rate * PUSH_RATIO
        };
        let may_be_pushed =
            |index: &usize| context.now >= self.holders[*index].pushed_at + PUSH_GAP;
        let all = (0..self.holders.len()).filter(may_be_pushed);
        let (mut to_correct, rest): (Vec<usize>, Vec<usize>) =
            all.partition(|&index| excess(index) > PUSH_RATIO);
        to_correct.sort_by(|&left, &right| excess(right).total_cmp(&excess(left)));
        to_correct.extend(rest.into_iter().filter(|&index| may_grow(index)));
        to_correct
    }

    /// Returns whether the shares admit more calls per second than the limit.
    fn is_rate_exceeded(&self) -> bool {
        let used = |holder: &ShareHolder| holder.granted_rate.min(holder.demand_rate);
        let all: f64 = self.holders.iter().map(used).sum();
        all > self.limit_rate * OVERLOAD_RATIO
    }

    /// Returns whether the shares admit more concurrent calls than the limit.
    fn is_concurrency_exceeded(&self) -> bool {
        let holders = || self.holders.iter();
        let granted: Vec<f64> = holders().map(|holder| holder.granted_concurrency).collect();
        let demands: Vec<f64> = holders().map(|holder| holder.demand_concurrency).collect();
        total_carried_load(&granted, &demands) > f64::from(self.limit_concurrency) * OVERLOAD_RATIO
    }
}
