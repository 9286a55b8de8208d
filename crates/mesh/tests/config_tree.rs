//! Tests the distribution trees of fleets of many shapes.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use model::DaemonId;
use quetzal_mesh::config_tree::StoreBackoff;
use quetzal_mesh::{TreeMember, TreePosition};

fn fleet(domains: &[usize]) -> Vec<TreeMember> {
    let mut members = Vec::new();
    for (domain, count) in domains.iter().enumerate() {
        for _ in 0..*count {
            let number = members.len() as u64 + 1;
            members.push(TreeMember {
                id: DaemonId(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
                domain: format!("domain-{domain}").parse().expect("a short name"),
            });
        }
    }
    members
}

fn positions(members: &[TreeMember]) -> HashMap<DaemonId, TreePosition> {
    members
        .iter()
        .map(|own| {
            let others: Vec<TreeMember> = members
                .iter()
                .filter(|member| member.id != own.id)
                .cloned()
                .collect();
            (own.id, TreePosition::new(own, &others))
        })
        .collect()
}

/// Returns the daemons that an announcement by `first` reaches, and the largest number of hops.
fn reach(tree: &HashMap<DaemonId, TreePosition>, first: DaemonId) -> (HashSet<DaemonId>, usize) {
    let mut reached = HashSet::from([first]);
    let mut last = vec![first];
    let mut hops = 0;
    while !last.is_empty() {
        let next: Vec<DaemonId> = last
            .iter()
            .flat_map(|id| tree[id].receivers.iter().copied())
            .filter(|id| reached.insert(*id))
            .collect();
        hops += usize::from(!next.is_empty());
        last = next;
    }
    (reached, hops)
}

#[test]
fn each_domain_has_one_reader_and_all_others_a_parent_in_it() {
    for domains in [&[1][..], &[3, 2, 2], &[18, 17, 18, 18, 18], &[144; 5]] {
        let members = fleet(domains);
        let positions = positions(&members);
        let readers = positions
            .values()
            .filter(|position| position.is_reader())
            .count();
        assert_eq!(readers, domains.len());
        let domain_of: HashMap<_, _> = members.iter().map(|m| (m.id, &m.domain)).collect();
        for member in &members {
            if let Some(parent) = positions[&member.id].parent {
                assert_eq!(domain_of[&parent], &member.domain);
                assert!(positions[&parent].receivers.contains(&member.id));
            }
        }
    }
}

#[test]
fn an_announcement_by_any_reader_reaches_all_daemons_in_a_few_hops() {
    let members = fleet(&[144; 5]);
    let positions = positions(&members);
    let readers = positions
        .iter()
        .filter(|(_, position)| position.is_reader());
    for (reader, _) in readers {
        let (reached, hops) = reach(&positions, *reader);
        assert_eq!(reached.len(), members.len());
        assert!(hops <= 4, "{hops} hops");
    }
}

#[test]
fn no_daemon_has_more_than_twelve_receivers() {
    let positions = positions(&fleet(&[144; 5]));
    let most = positions
        .values()
        .map(|position| position.receivers.len())
        .max();
    assert!(most.is_some_and(|most| most <= 12), "{most:?}");
}

#[test]
fn a_large_fleet_makes_few_calls_during_an_outage_of_the_store() {
    // The store does not answer for eight seconds, so that 194 daemons lose trust in their
    // sources at once. Each daemon checks every 0.4 s whether it may read the store.
    let start = Instant::now();
    let mut calls = 0;
    for daemon in 0..194_u32 {
        let mut backoff = StoreBackoff::default();
        for check in 0..20_u64 {
            let now = start + Duration::from_millis(400 * check);
            if backoff.is_over(now) {
                calls += 1;
                let jitter = (daemon * 37 % 100) as f32 / 100.0;
                backoff.on_failed(now, jitter);
            }
        }
        backoff.on_answered();
        assert!(backoff.is_over(start), "a success must end the backoff");
    }
    assert!(calls <= 194 * 5, "{calls} calls to an unavailable store");
}
