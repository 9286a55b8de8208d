//! When a suspicion becomes a death.
//!
//! A suspect has time to refute. The time is short when several members got
//! no answer, long when one alone says so. If much of a failure domain looks
//! lost, a slow link is as likely a cause as a loss: the time is longest, and
//! nobody is declared dead without accusers from two other domains.
//!
//! Only accusers declare, and only while they themselves hear nothing: an
//! answer that is late, or a refutation still on its way through a crowd of
//! other news, so costs no member its place. The others follow the accusers,
//! or declare after a much longer time should all accusers have died.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use model::{DaemonId, DomainName};

use crate::digest::{MemberProfile, MemberRecord};
use crate::health::LocalHealth;
use crate::table::{MemberEntry, MemberState, MemberTable};

/// Time to refute when several members accuse.
pub const CONFIRMED_TIMEOUT: Duration = Duration::from_millis(2200);
/// Time to refute when one member alone accuses.
pub const UNCONFIRMED_TIMEOUT: Duration = Duration::from_secs(5);
/// Time to refute while much of a failure domain looks lost.
pub const DOMAIN_LOSS_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a member declares a death that it has not looked into itself.
pub const FALLBACK_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a death counts as part of the loss of a domain.
const LOSS_WINDOW: Duration = Duration::from_secs(60);
/// Accusers, and domains of accusers, that confirm.
const CONFIRMING: usize = 2;

/// Members of one failure domain by state.
#[derive(Clone, Copy, Debug, Default)]
struct DomainCount {
    present: usize,
    lost: usize,
}

impl DomainCount {
    /// Whether a third of the domain looks lost, beyond a single member.
    fn is_wide_loss(self) -> bool {
        self.lost >= 2 && 3 * self.lost >= self.present + self.lost
    }
}

/// The suspects whose time to refute has run out.
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
    let wide = counts.get(domain).is_some_and(|count| count.is_wide_loss());
    let looked = entry.suspected_at.filter(|_| entry.heard_at.is_none());
    let timeout = match (looked.is_some(), wide, entry.reporters.len() >= CONFIRMING) {
        (false, _, _) => FALLBACK_TIMEOUT,
        (true, true, _) => DOMAIN_LOSS_TIMEOUT,
        (true, false, true) => CONFIRMED_TIMEOUT,
        (true, false, false) => UNCONFIRMED_TIMEOUT,
    };
    let silent_since = looked.unwrap_or(entry.since);
    if now.duration_since(silent_since) < health.scale_suspicion_timeout(timeout) {
        return false;
    }
    !wide || accusing_domains(entry, &own.profile, table) >= needed_domains(domain, counts)
}

/// Domains other than the suspect's from which it was accused.
fn accusing_domains(entry: &MemberEntry, own: &MemberProfile, table: &MemberTable) -> usize {
    let domains: BTreeSet<&DomainName> = entry
        .reporters
        .iter()
        .map(|id| table.domain(*id).unwrap_or(&own.domain))
        .filter(|domain| **domain != entry.profile().domain)
        .collect();
    domains.len()
}

/// How many domains must accuse before members of `domain` are declared dead.
fn needed_domains(domain: &DomainName, counts: &BTreeMap<&DomainName, DomainCount>) -> usize {
    let others = counts
        .iter()
        .filter(|(other, count)| **other != domain && count.present + count.lost > 0)
        .count();
    others.min(CONFIRMING)
}

fn count_domains<'table>(
    own: &'table MemberProfile,
    table: &'table MemberTable,
    now: Instant,
) -> BTreeMap<&'table DomainName, DomainCount> {
    let mut counts: BTreeMap<&DomainName, DomainCount> = BTreeMap::new();
    counts.entry(&own.domain).or_default().present += 1;
    for entry in table.iter() {
        let count = counts.entry(&entry.profile().domain).or_default();
        let recent = now.duration_since(entry.since) < LOSS_WINDOW;
        match entry.state {
            MemberState::Alive => count.present += 1,
            MemberState::Suspect => count.lost += 1,
            MemberState::Dead if recent => count.lost += 1,
            MemberState::Dead | MemberState::Left => {}
        }
    }
    counts
}
