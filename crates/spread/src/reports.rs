//! Reports between the readers of different failure domains, and the fleet summary.
//!
//! Each reader aggregates its own domain through its tree. By exchanging reports,
//! all readers learn the state of the fleet, whether the log is down for all
//! domains, and the newest snapshot.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::{DaemonId, DomainName};
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::acks::{AckSum, DomainList, FleetSummary, MAX_SILENT_DOMAINS};
use crate::message::{
    AgeMillis, DomainReport, MAX_REPORTED_READERS, OutputList, ReaderList, SpreadMessage,
    SpreadOutput,
};
use crate::node::{ReceivedReport, SpreadNode};
use crate::replica::ReplicaPort;
use crate::tree::RESEND_INTERVAL;

/// Minimum time between two rounds of reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Share of reports that are sent to a top-ranked member instead of a known reader,
/// in case all known readers died.
const RANK_SHARE: f64 = 0.25;

/// Age after which the report of a reader is dropped.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

impl<R: ReplicaPort> SpreadNode<R> {
    /// Updates the fleet summary from this daemon's tree and the reports of the other
    /// domains.
    pub(crate) fn update_summary(&mut self, now: Instant) {
        self.reports.retain(|_, received| {
            now.saturating_duration_since(received.received_at) < REPORT_LIFETIME
        });
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
        self.fleet.updated_at = Some(now);
    }

    /// Returns the domains that have members but no recent report.
    fn silent_domains(&self) -> DomainList {
        let own = &self.roster.own().domain;
        let has_report = |domain: &DomainName| {
            let mut reports = self.reports.values();
            reports.any(|received| received.report.domain == *domain)
        };
        let others = self.roster.domains().filter(|domain| *domain != own);
        let silent = others.filter(|domain| !has_report(domain));
        silent.take(MAX_SILENT_DOMAINS).cloned().collect()
    }

    /// Returns the aggregate of each other domain, from the reader with the most
    /// reporting daemons.
    fn domain_sums(&self) -> impl Iterator<Item = &AckSum> {
        let mut sums = BTreeMap::<&DomainName, &AckSum>::new();
        for received in self.reports.values() {
            let Some(sum) = &received.report.sum else {
                continue;
            };
            let best = sums.entry(&received.report.domain).or_insert(sum);
            if sum.reporting() > best.reporting() {
                *best = sum;
            }
        }
        sums.into_values()
    }

    /// Returns the aggregate over this daemon's own tree, in which the silence of a
    /// child counts from the last heartbeat that this daemon sent.
    fn own_sum(&mut self, now: Instant) -> AckSum {
        let own = self.roster.own().id;
        let since = self.timers.last_heartbeat.unwrap_or(now);
        self.subtree_sum(own, since, now)
    }

    pub(crate) fn own_report(&mut self, now: Instant) -> DomainReport {
        let sum = self.is_reading().then(|| self.own_sum(now));
        let down_at = self.reader.down_at().filter(|_| self.is_reading());
        DomainReport {
            domain: self.roster.own().domain.clone(),
            head: self.head,
            view: self.freshness.evidence(now),
            down_age: down_at.map(|at| AgeMillis::from(now.saturating_duration_since(at))),
            sum,
            readers: self.own_readers(),
            snapshot: self.snapshots.newest(now),
        }
    }

    /// Returns the live readers of this daemon's domain, including itself if it reads.
    fn own_readers(&self) -> ReaderList {
        let own = self.is_reading().then(|| self.roster.own().id);
        let live = self.roots.live().into_iter().map(|(root, _)| root);
        own.into_iter()
            .chain(live)
            .take(MAX_REPORTED_READERS)
            .collect()
    }

    /// Sends reports to the other domains.
    ///
    /// A periodic report goes to one reader of each domain. A changed aggregate is
    /// reported early to all known readers, and once more in case it was lost.
    pub(crate) fn tick_reports(&mut self, outputs: &mut OutputList, now: Instant) {
        let sum = self.own_sum(now);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MIN_REPORT_INTERVAL;
        let may_send = !self.timers.last_report.is_some_and(is_recent);
        let is_early = sum.versions != self.fleet.last_sent_sum.versions && may_send;
        if now < self.timers.next_report && !is_early {
            return;
        }
        let is_resend = std::mem::replace(&mut self.fleet.resend_report, is_early);
        self.fleet.last_sent_sum = sum;
        self.timers.last_report = Some(now);
        let interval = if is_early {
            RESEND_INTERVAL
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
            let readers = if is_early || is_resend {
                self.readers_of(&domain)
            } else {
                self.random_reader_of(&domain).into_iter().collect()
            };
            for to in readers {
                let question = self.questions.ask(to, now);
                let report = report.clone();
                let message = SpreadMessage::Report { question, report };
                outputs.push(SpreadOutput::Send { to, message });
            }
        }
    }

    /// Returns the readers reported for `domain`, or else its top-ranked members.
    fn readers_of(&self, domain: &DomainName) -> ReaderList {
        let readers = self.settings.readers;
        let reported = self.fleet.readers.get(domain).map(ReaderList::as_slice);
        let reported = reported.filter(|reported| !reported.is_empty());
        let likely = reported.unwrap_or_else(|| self.roster.ranked(domain));
        likely.iter().take(readers).copied().collect()
    }

    /// Returns a random reader of `domain`: a reported one, or else a top-ranked member.
    fn random_reader_of(&mut self, domain: &DomainName) -> Option<DaemonId> {
        let use_rank = self.rng.random_bool(RANK_SHARE);
        let reported = self.fleet.readers.get(domain).filter(|_| !use_rank);
        if let Some(reader) = reported.and_then(|readers| readers.choose(&mut self.rng)) {
            return Some(*reader);
        }
        let ranked = self.roster.ranked(domain);
        let likely = (self.settings.readers * 2).min(ranked.len());
        ranked[..likely].choose(&mut self.rng).copied()
    }

    /// Handles the report of a peer.
    ///
    /// The freshness evidence in a response is dated from `asked_at`, the time of its
    /// request; without that time it is ignored.
    pub(crate) fn handle_report(
        &mut self,
        from: DaemonId,
        report: DomainReport,
        asked_at: Option<Instant>,
        outputs: &mut OutputList,
        now: Instant,
    ) {
        self.compare_head(from, &report.head, outputs, now);
        if self.roster.domain_of(from) != Some(&report.domain) {
            return;
        }
        if let Some(asked_at) = asked_at {
            let own = self.head.position;
            self.freshness
                .record_evidence(report.view, report.head.position, asked_at, own);
            let age = report.down_age.map(Duration::from);
            let down_at = age.and_then(|age| asked_at.checked_sub(age));
            self.freshness.update_domain(&report.domain, down_at, now);
        }
        if let Some(snapshot) = report.snapshot {
            self.snapshots.record_peer_snapshot(snapshot, now);
        }
        let readers = report.readers.clone();
        self.fleet.readers.insert(report.domain.clone(), readers);
        if report.sum.is_some() {
            let received = ReceivedReport {
                received_at: now,
                report,
            };
            self.reports.insert(from, received);
        }
    }
}
