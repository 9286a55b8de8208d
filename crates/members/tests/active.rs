//! Small sets of peers: news still reaches all, and no loss of a domain splits or hides anybody.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use model::DaemonId;
use quetzal_members::active::ActiveSet;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Daemons of one region at full size.
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

/// Rounds of gossip by which `share` of all know what daemon 0 knew first.
fn rounds(sets: &[ActiveSet], share: f64, rng: &mut SmallRng) -> usize {
    let mut know = BTreeSet::from([0]);
    let mut rounds = 0;
    while (know.len() as f64) < share * DAEMONS as f64 {
        let mut told = Vec::new();
        for id in &know {
            for _ in 0..FANOUT {
                told.push(sets[*id as usize].pick(rng).unwrap().0);
            }
        }
        know.extend(told);
        rounds += 1;
        assert!(rounds < 100, "news stays in a cluster");
    }
    rounds
}

#[test]
fn news_spreads_as_fast_as_among_all() {
    const RUNS: u64 = 8;
    let now = Instant::now();
    for share in [0.99, 1.0] {
        let (mut few, mut all) = (0, 0);
        for seed in 0..RUNS {
            let mut rng = SmallRng::seed_from_u64(seed);
            let small = sets(PER_DOUBLING, now, &mut rng);
            assert!(small.iter().all(|set| set.members().len() <= 20));
            let whole = sets(DAEMONS as f64, now, &mut rng);
            few += rounds(&small, share, &mut rng);
            all += rounds(&whole, share, &mut rng);
        }
        println!("{share}: {few} rounds in {RUNS} runs, {all} among all");
        assert!(few <= all + RUNS as usize, "a round more on average");
    }
}

#[test]
fn the_rest_stays_connected_and_probed_when_a_domain_is_lost() {
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
        assert_eq!(probed.len() as u64, DAEMONS, "the lost are probed too");
    }
}

#[test]
fn callers_are_peers_too_until_they_die_or_others_call() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut set = ActiveSet::new(PER_DOUBLING, now, &mut rng);
    set.set_pool(&pool(|_| true), &mut rng);
    let strangers = pool(|id| !set.members().contains(&DaemonId(id)));
    let size = set.members().len();
    let reached = |set: &ActiveSet, id, rng: &mut SmallRng| set.pick_where(|peer| peer == id, rng);
    set.note_prober(strangers[0]);
    set.note_prober(DaemonId(DAEMONS));
    assert_eq!(reached(&set, strangers[0], &mut rng), Some(strangers[0]));
    assert_eq!(reached(&set, DaemonId(DAEMONS), &mut rng), None);
    for id in &strangers[1..=size] {
        set.note_prober(*id);
    }
    assert_eq!(reached(&set, strangers[0], &mut rng), None);
    set.set_pool(&pool(|id| DaemonId(id) != strangers[1]), &mut rng);
    assert_eq!(reached(&set, strangers[1], &mut rng), None);
    assert_eq!(reached(&set, strangers[2], &mut rng), Some(strangers[2]));
}

#[test]
fn the_dead_are_replaced_and_in_the_long_run_all_meet() {
    let mut now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut set = ActiveSet::new(PER_DOUBLING, now, &mut rng);
    set.set_pool(&pool(|_| true), &mut rng);
    let size = set.members().len();
    let dead: Vec<DaemonId> = set.members()[..size / 2].to_vec();
    set.set_pool(&pool(|id| !dead.contains(&DaemonId(id))), &mut rng);
    assert!(!set.members().iter().any(|id| dead.contains(id)));
    assert_eq!(set.members().len(), size);
    let mut met: BTreeSet<DaemonId> = BTreeSet::new();
    for _ in 0..DAEMONS {
        let before: BTreeSet<DaemonId> = set.members().iter().copied().collect();
        now += Duration::from_secs(rng.random_range(40..50));
        set.rotate(now, &mut rng);
        let after: BTreeSet<DaemonId> = set.members().iter().copied().collect();
        assert!(after.difference(&before).count() <= 1, "one at a time");
        met.extend(after);
    }
    assert_eq!(met.len(), DAEMONS as usize - dead.len());
}
