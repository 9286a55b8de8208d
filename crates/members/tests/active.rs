//! Active sets: gossip still reaches all members, and the loss of a domain neither splits the
//! fleet nor leaves members unprobed.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use model::DaemonId;
use quetzal_members::active::ActiveSet;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Daemons of one region of a fleet of full size.
const DAEMONS: u64 = 432;
const DOMAINS: u64 = 3;
const PER_DOUBLING: f64 = 2.0;
const FANOUT: usize = 3;

fn sets(per_doubling: f64, now: Instant, rng: &mut SmallRng) -> Vec<ActiveSet> {
    let mut sets: Vec<ActiveSet> = (0..DAEMONS)
        .map(|_| ActiveSet::new(per_doubling, now, rng))
        .collect();
    for (own, set) in (0..).zip(&mut sets) {
        set.set_pool(&pool(|id| id != own), rng);
    }
    sets
}

fn pool(wanted: impl Fn(u64) -> bool) -> Vec<DaemonId> {
    (0..DAEMONS)
        .filter(|id| wanted(*id))
        .map(DaemonId)
        .collect()
}

/// Returns the rounds of gossip after which `share` of all daemons know an update of daemon 0.
fn rounds(sets: &[ActiveSet], share: f64, rng: &mut SmallRng) -> usize {
    let mut informed = BTreeSet::from([0]);
    let mut rounds = 0;
    while (informed.len() as f64) < share * DAEMONS as f64 {
        let mut receivers = Vec::new();
        for id in &informed {
            for _ in 0..FANOUT {
                receivers.push(sets[*id as usize].pick(rng).unwrap().0);
            }
        }
        informed.extend(receivers);
        rounds += 1;
        assert!(rounds < 100, "the update does not leave a cluster");
    }
    rounds
}

#[test]
fn active_sets_spread_updates_about_as_fast_as_full_sets() {
    const RUNS: u64 = 8;
    let now = Instant::now();
    for share in [0.99, 1.0] {
        let (mut rounds_active, mut rounds_full) = (0, 0);
        for seed in 0..RUNS {
            let mut rng = SmallRng::seed_from_u64(seed);
            let active_sets = sets(PER_DOUBLING, now, &mut rng);
            assert!(active_sets.iter().all(|set| set.members().len() <= 20));
            let full_sets = sets(DAEMONS as f64, now, &mut rng);
            rounds_active += rounds(&active_sets, share, &mut rng);
            rounds_full += rounds(&full_sets, share, &mut rng);
        }
        println!("{share}: {rounds_active} rounds in {RUNS} runs, {rounds_full} with full sets");
        assert!(
            rounds_active <= rounds_full + RUNS as usize,
            "more than one extra round on average"
        );
    }
}

#[test]
fn survivors_of_a_lost_domain_stay_connected_and_probe_all_members() {
    let now = Instant::now();
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let sets = sets(PER_DOUBLING, now, &mut rng);
        let survives = |id: u64| !id.is_multiple_of(DOMAINS);
        let mut reached = BTreeSet::from([1]);
        let mut frontier = vec![1];
        while let Some(id) = frontier.pop() {
            let peers = sets[id as usize].members().iter().map(|peer| peer.0);
            frontier.extend(peers.filter(|peer| survives(*peer) && reached.insert(*peer)));
        }
        assert_eq!(reached.len() as u64, DAEMONS - DAEMONS / DOMAINS);
        let probed: BTreeSet<u64> = (0..DAEMONS)
            .filter(|id| survives(*id))
            .flat_map(|id| sets[id as usize].members().iter().map(|peer| peer.0))
            .collect();
        assert_eq!(
            probed.len() as u64,
            DAEMONS,
            "the lost members are probed too"
        );
    }
}

#[test]
fn recent_probers_are_peers_until_they_die_or_are_displaced() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut set = ActiveSet::new(PER_DOUBLING, now, &mut rng);
    set.set_pool(&pool(|_| true), &mut rng);
    let outsiders = pool(|id| !set.members().contains(&DaemonId(id)));
    let size = set.members().len();
    let pick_only =
        |set: &ActiveSet, id, rng: &mut SmallRng| set.pick_where(|peer| peer == id, rng);
    set.record_prober(outsiders[0]);
    set.record_prober(DaemonId(DAEMONS));
    assert_eq!(pick_only(&set, outsiders[0], &mut rng), Some(outsiders[0]));
    assert_eq!(pick_only(&set, DaemonId(DAEMONS), &mut rng), None);
    for id in &outsiders[1..=size] {
        set.record_prober(*id);
    }
    assert_eq!(pick_only(&set, outsiders[0], &mut rng), None);
    set.set_pool(&pool(|id| DaemonId(id) != outsiders[1]), &mut rng);
    assert_eq!(pick_only(&set, outsiders[1], &mut rng), None);
    assert_eq!(pick_only(&set, outsiders[2], &mut rng), Some(outsiders[2]));
}

#[test]
fn dead_members_are_replaced_and_rotation_reaches_every_member() {
    let mut now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut set = ActiveSet::new(PER_DOUBLING, now, &mut rng);
    set.set_pool(&pool(|_| true), &mut rng);
    let size = set.members().len();
    let dead: Vec<DaemonId> = set.members()[..size / 2].to_vec();
    set.set_pool(&pool(|id| !dead.contains(&DaemonId(id))), &mut rng);
    assert!(!set.members().iter().any(|id| dead.contains(id)));
    assert_eq!(set.members().len(), size);
    let mut seen: BTreeSet<DaemonId> = BTreeSet::new();
    for _ in 0..DAEMONS {
        let before: BTreeSet<DaemonId> = set.members().iter().copied().collect();
        now += Duration::from_secs(rng.random_range(40..50));
        set.rotate(now, &mut rng);
        let after: BTreeSet<DaemonId> = set.members().iter().copied().collect();
        assert!(
            after.difference(&before).count() <= 1,
            "more than one member replaced"
        );
        seen.extend(after);
    }
    assert_eq!(seen.len(), DAEMONS as usize - dead.len());
}
