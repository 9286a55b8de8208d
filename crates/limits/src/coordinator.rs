//! Coordinator of keys: sums up demand and grants shares.
//!
//! A daemon coordinates the keys that hash to it; the daemons that use a key
//! hold shares of its limits. The answer to a report reduces a share that is too
//! large immediately. It raises one to at most the part of the plan's rate that
//! the other holders leave, or to an equal part. Each of the others is assumed
//! to use its demand, but no more than the largest share that it may have: the
//! one in its last report, or one granted since. Unsolicited grants, a few per
//! tick, correct shares between reports while some are too small or the limit is
//! exceeded. Near the plan's limit, concurrency is divided into whole numbers;
//! while demand is well below it, every holder gets spare slots, since most
//! remain unused.
//!
//! The report interval grows with the number of shares up to `MAX_INTERVAL`, so
//! that a coordinator's traffic does not grow with the number of daemons that
//! report to it until that interval is reached.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::DaemonId;

use crate::coordinated_key::{CoordinatedKey, GrantContext};
use crate::message::{DemandReport, LimitKey, ShareGrant};

/// Maximum number of keys per coordinator; reports on further keys are not answered.
const MAX_KEYS: usize = 4096;

/// Size of a report and its answer in bytes, including framing.
const REPORT_BYTES: f64 = 84.0;

/// Bytes per second that the regular reports to a coordinator may take.
const REPORT_BYTES_PER_S: f64 = 400.0;

/// Shortest interval of reports.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Longest interval of reports.
const MAX_INTERVAL: Duration = Duration::from_secs(120);

/// Time after a membership change in which a key reported here first may have had another
/// coordinator before.
const HANDOVER_TIME: Duration = Duration::from_secs(3);

/// Time in which the existing shares of a key that moved here are collected, and none is raised
/// above an equal part of the limit.
const LEARNING_TIME: Duration = Duration::from_secs(2);

/// Maximum number of unsolicited grants per tick.
const MAX_PUSHED_GRANTS: usize = 16;

/// Shares of the keys that this daemon coordinates.
#[derive(Debug, Default)]
pub(crate) struct ShareCoordinator {
    keys: BTreeMap<LimitKey, CoordinatedKey>,
    shares: usize,
    handover_until: Option<Instant>,
    /// Members before the latest change.
    former: Vec<DaemonId>,
}

impl ShareCoordinator {
    /// Removes daemons that left and keys that `me` no longer coordinates.
    ///
    /// The shares of keys that move here are collected before any of them is raised above an equal
    /// part of the limit.
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
        self.remove_holders(now, |daemon| members.binary_search(&daemon).is_ok());
        self.handover_until = Some(now + HANDOVER_TIME);
    }

    /// Processes a report and returns the granted share.
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
        let context = GrantContext {
            members,
            interval: self.interval(),
            now,
        };
        let in_handover = self.handover_until.is_some_and(|until| now < until);
        let moved_here = in_handover && report.key.coordinator(&self.former) != Some(me);
        let new_key = || CoordinatedKey::new(moved_here.then(|| now + LEARNING_TIME));
        let key = self.keys.entry(report.key).or_insert_with(new_key);
        let before = key.len();
        let grant = key.on_report(from, report, &context);
        self.shares += key.len() - before;
        grant
    }

    fn remove(&mut self, daemon: DaemonId, key: LimitKey, now: Instant) {
        let Some(known_key) = self.keys.get_mut(&key) else {
            return;
        };
        let before = known_key.len();
        known_key.retain(now, |holder| holder != daemon);
        self.shares -= before - known_key.len();
        if known_key.is_empty() {
            self.keys.remove(&key);
        }
    }

    /// Returns unsolicited grants for shares that must shrink or may grow.
    pub(crate) fn on_tick(&mut self, members: usize, now: Instant) -> Vec<(DaemonId, ShareGrant)> {
        self.remove_holders(now, |_| true);
        let context = GrantContext {
            members,
            interval: self.interval(),
            now,
        };
        let mut pushed = Vec::new();
        for (&limit_key, key) in &mut self.keys {
            let remaining = MAX_PUSHED_GRANTS - pushed.len();
            if remaining == 0 {
                break;
            }
            pushed.extend(key.push_grants(limit_key, &context, remaining));
        }
        pushed
    }

    /// Removes shares that have expired or whose daemon is rejected by `is_member`.
    fn remove_holders(&mut self, now: Instant, is_member: impl Fn(DaemonId) -> bool) {
        for key in self.keys.values_mut() {
            key.retain(now, &is_member);
        }
        self.keys.retain(|_, key| !key.is_empty());
        self.shares = self.keys.values().map(CoordinatedKey::len).sum();
    }

    fn interval(&self) -> Duration {
        let seconds = self.shares as f64 * REPORT_BYTES / REPORT_BYTES_PER_S;
        Duration::from_secs_f64(seconds).clamp(MIN_INTERVAL, MAX_INTERVAL)
    }

    /// Returns the number of shares granted by this daemon.
    pub(crate) fn shares(&self) -> usize {
        self.shares
    }
}
