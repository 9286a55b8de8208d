//! The trees at work: beats downwards, sums upwards.

use std::time::{Duration, Instant};

use model::{DaemonId, IncarnationNumber};

use crate::acks::{AckSum, FleetLaggard, FleetSummary, LagReason};
use crate::freshness::FreshnessState;
use crate::message::{OutputList, PeerList, SpreadMessage, SpreadOutput};
use crate::node::SpreadNode;
use crate::reader::LogState;
use crate::replica::ReplicaPort;

/// Beats after which the summary is sent again though it is unchanged.
const SUMMARY_EVERY: u32 = 8;

/// Beats that carry a changed summary, since some are lost.
const SUMMARY_REPEATS: u32 = 3;

/// Roots that acknowledgements go to.
const MAX_ACK_ROOTS: usize = 2;

/// Shortest time between two beats.
const BEAT_SPACING: Duration = Duration::from_millis(200);

/// Time after which a changed sum is told again, in case it was lost.
pub(crate) const REPEAT_AFTER: Duration = Duration::from_millis(500);

/// Time for which a daemon may know a newer head before it counts as lagging.
const BEHIND_GRACE: Duration = Duration::from_secs(1);

impl<R: ReplicaPort> SpreadNode<R> {
    /// Children in the trees of all live roots, each once.
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

    /// Sends a beat down the own tree when due, or soon when the summary changed.
    pub(crate) fn tick_beat(&mut self, outputs: &mut OutputList, now: Instant) {
        self.judge_summary(now);
        let recent = |at: Instant| now.saturating_duration_since(at) < BEAT_SPACING;
        let spaced = !self.timers.last_beat.is_some_and(recent);
        let early = self.fleet.changed && spaced;
        if now < self.timers.next_beat && !early {
            return;
        }
        self.timers.next_beat = now + self.settings.heartbeat_interval;
        self.timers.last_beat = Some(now);
        self.beat_number += 1;
        let again = self.beat_number % SUMMARY_EVERY == 1;
        if std::mem::take(&mut self.fleet.changed) {
            self.fleet.repeats = SUMMARY_REPEATS;
        }
        let wanted = self.fleet.repeats > 0 || again;
        self.fleet.repeats = self.fleet.repeats.saturating_sub(1);
        let summary = wanted.then(|| self.fleet.summary.clone());
        let own = self.roster.own();
        let (root, run, number) = (own.id, own.run, self.beat_number);
        self.forward_beat(root, run, number, summary, outputs);
    }

    pub(crate) fn forward_beat(
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

    pub(crate) fn take_summary(&mut self, summary: Option<&FleetSummary>, now: Instant) {
        if let Some(summary) = summary.filter(|_| !self.is_reading()) {
            self.fleet.summary = summary.clone();
            self.fleet.heard_at = Some(now);
        }
    }

    /// Acknowledges to the parents when due, or soon when something changed.
    pub(crate) fn tick_acks(&mut self, outputs: &mut OutputList, now: Instant) {
        let spacing = self.settings.min_ack_interval;
        let recent = |at: Instant| now.saturating_duration_since(at) < spacing;
        let spaced = !self.timers.last_ack.is_some_and(recent);
        let early = self.acks.is_changed() && spaced;
        if now < self.timers.next_ack && !early {
            return;
        }
        self.acks.clear_changed();
        self.timers.last_ack = Some(now);
        let interval = if early {
            REPEAT_AFTER
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

    /// Sum over this daemon and all below it in the tree of `root`.
    pub(crate) fn subtree_sum(&mut self, root: DaemonId, since: Instant, now: Instant) -> AckSum {
        let mut sum = AckSum::for_daemon(self.in_force, self.own_lag(now));
        let children = self.roster.children(root, self.settings.fan_out);
        let view = self.roster.domain_hash();
        self.acks
            .add_children(&mut sum, root, &children, view, now, since);
        sum
    }

    /// Why this daemon lags, if it does.
    fn own_lag(&self, now: Instant) -> Option<FleetLaggard> {
        let case = self.report_freshness(now).state;
        let waited = |since: Instant| now.saturating_duration_since(since);
        let diverged = matches!(self.log_state(), LogState::Diverged(_));
        let (reason, age) = if self.misses_records() {
            (LagReason::Gap, Duration::ZERO)
        } else if case == FreshnessState::Absent {
            (LagReason::Absent, waited(self.applied_at))
        } else if diverged {
            (LagReason::Diverged, Duration::ZERO)
        } else if case == FreshnessState::CutOff {
            (
                LagReason::CutOff,
                self.freshness().proof_age.unwrap_or_default(),
            )
        } else if let Some(newer) = self.newest_seen {
            (LagReason::Behind, waited(newer.since))
        } else if self.in_force < self.head.version {
            (LagReason::NotInForce, waited(self.applied_at))
        } else {
            return None;
        };
        let graced = matches!(reason, LagReason::Behind | LagReason::NotInForce);
        if graced && age < BEHIND_GRACE {
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
