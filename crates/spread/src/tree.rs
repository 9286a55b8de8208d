//! The trees at work: beats downwards, sums upwards, reports between readers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::{DaemonId, DomainName, IncarnationNumber};
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::acks::{AckSum, DomainList, FleetLaggard, FleetSummary, LagReason, MAX_SILENT_DOMAINS};
use crate::freshness::FreshnessCase;
use crate::message::{
    AgeMillis, DomainReport, MAX_READERS, OutputList, PeerList, ReaderList, SpreadMessage,
    SpreadOutput,
};
use crate::node::{HeardReport, SpreadNode};
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

/// Shortest time between two rounds of reports.
const REPORT_SPACING: Duration = Duration::from_millis(400);

/// Time after which a changed sum is told again, in case it was lost.
const REPEAT_AFTER: Duration = Duration::from_millis(500);

/// Share of reports that go to a reader by rank, in case all that were named died.
const GUESS_SHARE: f64 = 0.25;

/// Age at which a domain's report no longer counts.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

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
        self.timers.next_beat = now + self.settings.beat_interval;
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
        let spacing = self.settings.ack_spacing;
        let recent = |at: Instant| now.saturating_duration_since(at) < spacing;
        let spaced = !self.timers.last_ack.is_some_and(recent);
        let early = self.acks.is_changed() && spaced;
        if now < self.timers.next_ack && !early {
            return;
        }
        self.acks.settle();
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
                view: self.roster.view(),
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
    fn subtree_sum(&mut self, root: DaemonId, since: Instant, now: Instant) -> AckSum {
        let mut sum = AckSum::of_one(self.in_force, self.own_lag(now));
        let children = self.roster.children(root, self.settings.fan_out);
        let view = self.roster.view();
        self.acks
            .add_up(&mut sum, root, &children, view, now, since);
        sum
    }

    /// Why this daemon lags, if it does.
    fn own_lag(&self, now: Instant) -> Option<FleetLaggard> {
        let case = self.report_freshness(now).case;
        let waited = |since: Instant| now.saturating_duration_since(since);
        let diverged = matches!(self.log_state(), LogState::Diverged(_));
        let (reason, age) = if case == FreshnessCase::Absent {
            (LagReason::Absent, waited(self.applied_at))
        } else if diverged {
            (LagReason::Diverged, Duration::ZERO)
        } else if case == FreshnessCase::CutOff {
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

    /// Sums up the fleet from the own tree and the other domains' reports.
    fn judge_summary(&mut self, now: Instant) {
        self.reports
            .retain(|_, heard| now.saturating_duration_since(heard.heard_at) < REPORT_LIFETIME);
        let mut sum = self.own_sum(now);
        for other in self.domain_sums() {
            sum.add(other);
        }
        let summary = FleetSummary {
            members: u32::try_from(self.roster.count()).unwrap_or(u32::MAX),
            sum,
            silent_domains: self.silent_domains(),
        };
        self.fleet.changed |= summary.differs(&self.fleet.summary);
        self.fleet.summary = summary;
        self.fleet.heard_at = Some(now);
    }

    /// Domains with members whose readers are not heard.
    fn silent_domains(&self) -> DomainList {
        let own = &self.roster.own().domain;
        let heard = |domain: &DomainName| {
            let mut reports = self.reports.values();
            reports.any(|heard| heard.report.domain == *domain)
        };
        let others = self.roster.domains().filter(|domain| *domain != own);
        let silent = others.filter(|domain| !heard(domain));
        silent.take(MAX_SILENT_DOMAINS).cloned().collect()
    }

    /// The sum of each other domain, of the reader that hears the most.
    fn domain_sums(&self) -> impl Iterator<Item = &AckSum> {
        let mut sums = BTreeMap::<&DomainName, &AckSum>::new();
        for heard in self.reports.values() {
            let Some(sum) = &heard.report.sum else {
                continue;
            };
            let best = sums.entry(&heard.report.domain).or_insert(sum);
            if sum.reporting() > best.reporting() {
                *best = sum;
            }
        }
        sums.into_values()
    }

    fn own_sum(&mut self, now: Instant) -> AckSum {
        let own = self.roster.own().id;
        let since = self.timers.last_beat.unwrap_or(now);
        self.subtree_sum(own, since, now)
    }

    pub(crate) fn own_report(&mut self, now: Instant) -> DomainReport {
        let sum = self.is_reading().then(|| self.own_sum(now));
        let down_at = self.reader.down_at().filter(|_| self.is_reading());
        DomainReport {
            domain: self.roster.own().domain.clone(),
            head: self.head,
            view: self.freshness.view(now),
            down_age: down_at.map(|at| AgeMillis::from(now.saturating_duration_since(at))),
            sum,
            readers: self.own_readers(),
            snapshot: self.snapshots.mark(now),
        }
    }

    /// Readers heard in the own domain, this daemon included.
    fn own_readers(&self) -> ReaderList {
        let own = self.is_reading().then(|| self.roster.own().id);
        let heard = self.roots.live().into_iter().map(|(root, _)| root);
        own.into_iter().chain(heard).take(MAX_READERS).collect()
    }

    /// Reports to one reader of each other domain when due, or soon when the sum changed.
    pub(crate) fn tick_reports(&mut self, outputs: &mut OutputList, now: Instant) {
        let sum = self.own_sum(now);
        let recent = |at: Instant| now.saturating_duration_since(at) < REPORT_SPACING;
        let spaced = !self.timers.last_report.is_some_and(recent);
        let early = sum.versions != self.fleet.reported.versions && spaced;
        if now < self.timers.next_report && !early {
            return;
        }
        let again = std::mem::replace(&mut self.fleet.report_again, early);
        self.fleet.reported = sum;
        self.timers.last_report = Some(now);
        let interval = if early {
            REPEAT_AFTER
        } else {
            self.settings.report_interval
        };
        self.timers.next_report = now + self.jittered(interval);
        let own = self.roster.own().domain.clone();
        let domains = self.roster.domains().filter(|domain| **domain != own);
        let domains = domains.cloned().collect::<Vec<_>>();
        if domains.is_empty() {
            return;
        }
        let report = self.own_report(now);
        for domain in domains {
            let readers = if early || again {
                self.readers_of(&domain)
            } else {
                self.reader_of(&domain).into_iter().collect()
            };
            for to in readers {
                let question = self.questions.ask(to, now);
                let report = report.clone();
                let message = SpreadMessage::Report { question, report };
                outputs.push(SpreadOutput::Send { to, message });
            }
        }
    }

    /// All readers of `domain` that were named, else those first in rank.
    fn readers_of(&self, domain: &DomainName) -> ReaderList {
        let readers = self.settings.readers;
        let named = self.fleet.readers.get(domain).map(ReaderList::as_slice);
        let named = named.filter(|named| !named.is_empty());
        let likely = named.unwrap_or_else(|| self.roster.ranked(domain));
        likely.iter().take(readers).copied().collect()
    }

    /// A reader of `domain`: one that was named, else one of the first in rank.
    fn reader_of(&mut self, domain: &DomainName) -> Option<DaemonId> {
        let guess = self.rng.random_bool(GUESS_SHARE);
        let named = self.fleet.readers.get(domain).filter(|_| !guess);
        if let Some(reader) = named.and_then(|readers| readers.choose(&mut self.rng)) {
            return Some(*reader);
        }
        let ranked = self.roster.ranked(domain);
        let likely = (self.settings.readers * 2).min(ranked.len());
        ranked[..likely].choose(&mut self.rng).copied()
    }

    pub(crate) fn take_report(
        &mut self,
        from: DaemonId,
        report: DomainReport,
        asked_at: Option<Instant>,
        outputs: &mut OutputList,
        now: Instant,
    ) {
        self.hear_head(from, &report.head, outputs, now);
        if self.roster.domain_of(from) != Some(&report.domain) {
            return;
        }
        if let Some(asked_at) = asked_at {
            let own = self.head.next;
            self.freshness
                .learn(report.view, report.head.next, asked_at, own);
            let age = report.down_age.map(Duration::from);
            let down_at = age.and_then(|age| asked_at.checked_sub(age));
            self.freshness.witness(&report.domain, down_at, now);
        }
        if let Some(mark) = report.snapshot {
            self.snapshots.learn(mark, now);
        }
        let readers = report.readers.clone();
        self.fleet.readers.insert(report.domain.clone(), readers);
        if report.sum.is_some() {
            let heard = HeardReport {
                heard_at: now,
                report,
            };
            self.reports.insert(from, heard);
        }
    }
}
