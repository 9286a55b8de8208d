//! Reports between the readers of different domains, and the fleet's sum.
//!
//! Each reader knows its own domain by its tree; by exchanging reports all
//! readers know the fleet, whether the log is down for all, and the newest
//! snapshot.

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
use crate::node::{HeardReport, SpreadNode};
use crate::replica::ReplicaPort;
use crate::tree::REPEAT_AFTER;

/// Shortest time between two rounds of reports.
const REPORT_SPACING: Duration = Duration::from_millis(400);

/// Share of reports that go to a reader by rank, in case all that were named died.
const GUESS_SHARE: f64 = 0.25;

/// Age at which a domain's report no longer counts.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

impl<R: ReplicaPort> SpreadNode<R> {
    /// Sums up the fleet from the own tree and the other domains' reports.
    pub(crate) fn judge_summary(&mut self, now: Instant) {
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
            view: self.freshness.evidence(now),
            down_age: down_at.map(|at| AgeMillis::from(now.saturating_duration_since(at))),
            sum,
            readers: self.own_readers(),
            snapshot: self.snapshots.newest(now),
        }
    }

    /// Readers heard in the own domain, this daemon included.
    fn own_readers(&self) -> ReaderList {
        let own = self.is_reading().then(|| self.roster.own().id);
        let heard = self.roots.live().into_iter().map(|(root, _)| root);
        own.into_iter()
            .chain(heard)
            .take(MAX_REPORTED_READERS)
            .collect()
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
            let own = self.head.position;
            self.freshness
                .record_evidence(report.view, report.head.position, asked_at, own);
            let age = report.down_age.map(Duration::from);
            let down_at = age.and_then(|age| asked_at.checked_sub(age));
            self.freshness.update_domain(&report.domain, down_at, now);
        }
        if let Some(mark) = report.snapshot {
            self.snapshots.record_peer_snapshot(mark, now);
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
