//! Traffic in the distribution trees: heartbeats downwards, acknowledgements upwards.

use std::time::{Duration, Instant};

use model::{DaemonId, IncarnationNumber};

use crate::acks::{AckSum, FleetLaggard, FleetSummary, LagReason};
use crate::freshness::FreshnessState;
use crate::message::{OutputList, PeerList, SpreadMessage, SpreadOutput};
use crate::node::SpreadNode;
use crate::reader::LogState;
use crate::replica::ReplicaPort;

/// One in this many heartbeats carries the summary even if it is unchanged.
const SUMMARY_PERIOD: u32 = 8;

/// Number of heartbeats that carry a changed summary, since some may be lost.
const SUMMARY_RESENDS: u32 = 3;

/// Maximum number of roots that acknowledgements are sent towards.
const MAX_ACK_ROOTS: usize = 2;

/// Minimum time between two heartbeats.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a changed aggregate is sent again, in case it was lost.
pub(crate) const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a newer head may be known, or a received version not in force, before
/// the daemon counts as lagging.
const LAG_GRACE_PERIOD: Duration = Duration::from_secs(1);

impl<R: ReplicaPort> SpreadNode<R> {
    /// Returns the children in the trees of all live roots, without duplicates.
    pub(crate) fn all_children(&mut self) -> PeerList {
        let own = self.roster.own().id;
        let fan_out = self.settings.fan_out;
        let mut children = PeerList::new();
        if self.is_reading() {
            children.extend(self.roster.children(own, fan_out));
        }
        for (root, _) in self.roots.live() {
            children.extend(self.roster.children(root, fan_out));
        }
        children.sort_unstable();
        children.dedup();
        children
    }

    /// Sends a heartbeat to the children in this daemon's tree when it is due, or early
    /// if the summary changed.
    pub(crate) fn tick_heartbeat(&mut self, outputs: &mut OutputList, now: Instant) {
        self.update_summary(now);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MIN_HEARTBEAT_INTERVAL;
        let may_send = !self.timers.last_heartbeat.is_some_and(is_recent);
        let is_early = self.fleet.changed && may_send;
        if now < self.timers.next_heartbeat && !is_early {
            return;
        }
        self.timers.next_heartbeat = now + self.settings.heartbeat_interval;
        self.timers.last_heartbeat = Some(now);
        self.heartbeat_number += 1;
        let is_periodic = self.heartbeat_number % SUMMARY_PERIOD == 1;
        if std::mem::take(&mut self.fleet.changed) {
            self.fleet.summary_resends = SUMMARY_RESENDS;
        }
        let with_summary = self.fleet.summary_resends > 0 || is_periodic;
        self.fleet.summary_resends = self.fleet.summary_resends.saturating_sub(1);
        let summary = with_summary.then(|| self.fleet.summary.clone());
        let own = self.roster.own();
        let (root, run, number) = (own.id, own.run, self.heartbeat_number);
        self.forward_heartbeat(root, run, number, summary, outputs);
    }

    /// Sends a heartbeat, this daemon's or a received one, to the children in the tree
    /// of `root`, together with this daemon's head.
    pub(crate) fn forward_heartbeat(
        &mut self,
        root: DaemonId,
        run: IncarnationNumber,
        number: u32,
        summary: Option<FleetSummary>,
        outputs: &mut OutputList,
    ) {
        let message = SpreadMessage::Beat {
            root,
            run,
            number,
            head: self.head,
            summary,
        };
        for child in self.roster.children(root, self.settings.fan_out) {
            outputs.push(SpreadOutput::Send {
                to: child,
                message: message.clone(),
            });
        }
    }

    /// Adopts the summary of a heartbeat; a reader keeps the one that it aggregates itself.
    pub(crate) fn handle_summary(&mut self, summary: Option<&FleetSummary>, now: Instant) {
        if let Some(summary) = summary.filter(|_| !self.is_reading()) {
            self.fleet.summary = summary.clone();
            self.fleet.updated_at = Some(now);
        }
    }

    /// Sends acknowledgements to the parents when they are due, or early if something changed.
    pub(crate) fn tick_acks(&mut self, outputs: &mut OutputList, now: Instant) {
        let min_interval = self.settings.min_ack_interval;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < min_interval;
        let may_send = !self.timers.last_ack.is_some_and(is_recent);
        let is_early = self.acks.is_changed() && may_send;
        if now < self.timers.next_ack && !is_early {
            return;
        }
        self.acks.clear_changed();
        self.timers.last_ack = Some(now);
        let interval = if is_early {
            RESEND_INTERVAL
        } else {
            self.ack_interval()
        };
        self.timers.next_ack = now + self.jittered(interval);
        let mut roots = self.roots.live();
        roots.sort_by_key(|(root, _)| self.roster.rank_of(*root).unwrap_or(usize::MAX));
        for (root, since) in roots.into_iter().take(MAX_ACK_ROOTS) {
            let Some(parent) = self.roster.parent(root, self.settings.fan_out) else {
                continue;
            };
            let sum = self.subtree_sum(root, since, now);
            let question = self.questions.ask(parent, now);
            let message = SpreadMessage::Ack {
                root,
                question,
                head: self.head,
                view: self.roster.domain_hash(),
                sum,
            };
            outputs.push(SpreadOutput::Send {
                to: parent,
                message,
            });
        }
    }

    fn ack_interval(&self) -> Duration {
        let depth = self.roster.depth(self.settings.fan_out);
        self.settings.ack_interval_at(depth)
    }

    /// Returns the aggregate over this daemon and its descendants in the tree of `root`.
    ///
    /// Children without a recent aggregate are listed as silent since `since`.
    pub(crate) fn subtree_sum(&mut self, root: DaemonId, since: Instant, now: Instant) -> AckSum {
        let mut sum = AckSum::for_daemon(self.in_force, self.own_lag(now));
        let children = self.roster.children(root, self.settings.fan_out);
        let roster_hash = self.roster.domain_hash();
        self.acks
            .add_children(&mut sum, root, &children, roster_hash, now, since);
        sum
    }

    /// Returns why and for how long this daemon lags, if it does.
    fn own_lag(&self, now: Instant) -> Option<FleetLaggard> {
        let freshness = self.report_freshness(now).state;
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        let diverged = matches!(self.log_state(), LogState::Diverged(_));
        let (reason, age) = if self.has_log_gap() {
            (LagReason::Gap, Duration::ZERO)
        } else if freshness == FreshnessState::Absent {
            (LagReason::Absent, elapsed(self.applied_at))
        } else if diverged {
            (LagReason::Diverged, Duration::ZERO)
        } else if freshness == FreshnessState::CutOff {
            (
                LagReason::CutOff,
                self.freshness().proof_age.unwrap_or_default(),
            )
        } else if let Some(newer) = self.newer_head {
            (LagReason::Behind, elapsed(newer.since))
        } else if self.in_force < self.head.version {
            (LagReason::NotInForce, elapsed(self.applied_at))
        } else {
            return None;
        };
        let has_grace = matches!(reason, LagReason::Behind | LagReason::NotInForce);
        if has_grace && age < LAG_GRACE_PERIOD {
            return None;
        }
        Some(FleetLaggard {
            daemon: self.roster.own().id,
            reason,
            version: self.in_force,
            age: age.into(),
        })
    }
}
