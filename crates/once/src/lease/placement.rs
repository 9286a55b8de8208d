//! Selection of key homes and assignment of ranges to them.
//!
//! Both are functions of the member list alone, so daemons that see the same
//! members agree without messages. Daemons that see different members race for
//! a claim, and the log decides.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use model::{DaemonId, DomainName};
use xxhash_rust::xxh3::xxh3_64;

use super::types::{HolderId, KeyRange};

/// Number of key homes in each failure domain; with two, one may die and the domain keeps one.
pub const HOMES_PER_DOMAIN: usize = 2;

/// Returns the homes among `members`, [`HOMES_PER_DOMAIN`] in each failure domain.
pub fn pick_homes(members: &[(DomainName, HolderId)]) -> Vec<HolderId> {
    let mut domains: BTreeMap<&DomainName, Vec<HolderId>> = BTreeMap::new();
    for (domain, member) in members {
        domains.entry(domain).or_default().push(*member);
    }
    let mut homes: Vec<HolderId> = domains
        .into_values()
        .flat_map(|mut members| {
            members.sort_by_key(|member| weight(member.daemon, u8::MAX));
            members.truncate(HOMES_PER_DOMAIN);
            members
        })
        .collect();
    homes.sort_unstable();
    homes
}

/// Returns the run that takes over the issued keys of a leaving one; `None` if there is no other.
///
/// Picks from the half of the members with the highest incarnations, which are
/// start times: a rolling restart has already passed these. The choice is by
/// hash, so that no daemon takes over the keys of many others.
pub fn pick_successor(leaving: HolderId, members: &[HolderId]) -> Option<HolderId> {
    let others = members
        .iter()
        .filter(|member| member.daemon != leaving.daemon);
    let mut others: Vec<HolderId> = others.copied().collect();
    others.sort_unstable_by_key(|member| (Reverse(member.incarnation), member.daemon));
    others.truncate(others.len().div_ceil(2));
    let pair_weight = |member: &HolderId| weight(DaemonId(leaving.daemon.0 ^ member.daemon.0), 0);
    others.into_iter().max_by_key(pair_weight)
}

/// Returns the home that should hold each range; empty if there are no homes.
///
/// Uses rendezvous hashing with a cap on the ranges of each home, so a home
/// that leaves moves few ranges besides its own.
pub fn assign_ranges(homes: &[HolderId]) -> Vec<HolderId> {
    if homes.is_empty() {
        return Vec::new();
    }
    let share = KeyRange::COUNT.div_ceil(homes.len());
    let mut loads = vec![0; homes.len()];
    KeyRange::all()
        .map(|range| {
            let chosen = (0..homes.len())
                .filter(|index| loads[*index] < share)
                .max_by_key(|index| weight(homes[*index].daemon, range.0))
                .expect("the shares of all homes cover every range");
            loads[chosen] += 1;
            homes[chosen]
        })
        .collect()
}

/// Returns the hash by which daemons are ranked; each salt gives an independent ranking.
///
/// The salt of a range is its number; homes are picked with a salt that is no range.
fn weight(daemon: DaemonId, salt: u8) -> u64 {
    let mut bytes = [salt; 9];
    bytes[..8].copy_from_slice(&daemon.0.to_le_bytes());
    xxh3_64(&bytes)
}
