//! Suspicion timeouts: when a suspect is declared dead.
//!
//! A suspect has time to refute the suspicion. The timeout is short if several
//! members reported a failed probe and long if only one did. If much of a
//! failure domain looks lost, a slow link is as likely a cause as a failure:
//! the timeout is longer than for a confirmed suspicion, and no member of the
//! domain is declared dead without reporters from two other domains, or from
//! every other domain if there are fewer.
//!
//! Only reporters declare a suspect dead, and only while they receive nothing
//! from it themselves. A late answer, or a refutation that is still queued
//! behind many other updates, therefore does not remove a live member. The
//! other members follow the reporters, or declare the suspect dead after a much
//! longer timeout in case all reporters have died.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use model::{DaemonId, DomainName};

use crate::digest::{MemberProfile, MemberRecord};
use crate::health::LocalHealth;
use crate::table::{MemberEntry, MemberState, MemberTable};

/// Suspicion timeout with several reporters.
pub const CONFIRMED_TIMEOUT: Duration = Duration::from_millis(2200);
/// Suspicion timeout with a single reporter.
pub const UNCONFIRMED_TIMEOUT: Duration = Duration::from_secs(5);
/// Suspicion timeout while much of a failure domain looks lost.
pub const DOMAIN_LOSS_TIMEOUT: Duration = Duration::from_secs(3);
/// Suspicion timeout used by members that did not report the suspect themselves or have received a
/// message from it since.
pub const FALLBACK_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which a death counts towards the loss of a domain.
const DOMAIN_LOSS_WINDOW: Duration = Duration::from_secs(60);
/// Number of reporters that confirm a suspicion, and of domains from which reports are required
/// while much of the suspect's domain looks lost.
const MIN_CONFIRMATIONS: usize = 2;

/// Numbers of members of a failure domain that are alive and that look lost.
#[derive(Clone, Copy, Debug, Default)]
struct DomainCount {
    alive: usize,
    lost: usize,
}

impl DomainCount {
    /// Whether at least two members and a third of the domain look lost.
    fn is_domain_loss(self) -> bool {
        self.lost >= 2 && 3 * self.lost >= self.alive + self.lost
    }
}

/// Returns the suspects whose suspicion timeout has expired.
pub fn expired_suspects(
    own: &MemberRecord,
    table: &MemberTable,
    health: LocalHealth,
    now: Instant,
) -> Vec<DaemonId> {
    if table.suspect_count() == 0 || health.is_degraded() {
        return Vec::new();
    }
    let suspects = table
        .live()
        .filter(|entry| entry.state == MemberState::Suspect);
    let counts = count_domains(&own.profile, table, now);
    suspects
        .filter(|entry| is_expired(entry, own, table, &counts, health, now))
        .map(|entry| entry.record.id)
        .collect()
}

fn is_expired(
    entry: &MemberEntry,
    own: &MemberRecord,
    table: &MemberTable,
    counts: &BTreeMap<&DomainName, DomainCount>,
    health: LocalHealth,
    now: Instant,
) -> bool {
    let domain = &entry.profile().domain;
    let domain_loss = counts
        .get(domain)
        .is_some_and(|count| count.is_domain_loss());
    let own_report_at = entry
        .suspected_at
        .filter(|_| entry.last_message_at.is_none());
    let timeout = match (
        own_report_at.is_some(),
        domain_loss,
        entry.reporters.len() >= MIN_CONFIRMATIONS,
    ) {
        (false, _, _) => FALLBACK_TIMEOUT,
        (true, true, _) => DOMAIN_LOSS_TIMEOUT,
        (true, false, true) => CONFIRMED_TIMEOUT,
        (true, false, false) => UNCONFIRMED_TIMEOUT,
    };
    let timeout_start = own_report_at.unwrap_or(entry.since);
    if now.duration_since(timeout_start) < health.scale_suspicion_timeout(timeout) {
        return false;
    }
    !domain_loss
        || reporting_domains(entry, &own.profile, table) >= required_domains(domain, counts)
}

/// Returns the number of domains that the suspect's reporters belong to, without its own domain.
fn reporting_domains(entry: &MemberEntry, own: &MemberProfile, table: &MemberTable) -> usize {
    let domains: BTreeSet<&DomainName> = entry
        .reporters
        .iter()
        .map(|id| table.domain(*id).unwrap_or(&own.domain))
        .filter(|domain| **domain != entry.profile().domain)
        .collect();
    domains.len()
}

/// Returns the number of domains from which reports are needed to declare members of `domain`
/// dead.
fn required_domains(domain: &DomainName, counts: &BTreeMap<&DomainName, DomainCount>) -> usize {
    let others = counts
        .iter()
        .filter(|(other, count)| **other != domain && count.alive + count.lost > 0)
        .count();
    others.min(MIN_CONFIRMATIONS)
}

fn count_domains<'table>(
    own: &'table MemberProfile,
    table: &'table MemberTable,
    now: Instant,
) -> BTreeMap<&'table DomainName, DomainCount> {
    let mut counts: BTreeMap<&DomainName, DomainCount> = BTreeMap::new();
    counts.entry(&own.domain).or_default().alive += 1;
    for entry in table.iter() {
        let count = counts.entry(&entry.profile().domain).or_default();
        let recent = now.duration_since(entry.since) < DOMAIN_LOSS_WINDOW;
        match entry.state {
            MemberState::Alive => count.alive += 1,
            MemberState::Suspect => count.lost += 1,
            MemberState::Dead if recent => count.lost += 1,
            MemberState::Dead | MemberState::Left => {}
        }
    }
    counts
}
