//! Normal operation: traffic in steady state, single crashes, drains and peers in use.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quetzal_members::{LoadLevel, MemberState, TargetState};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::figure::{Figure, all_to_all, figure};
use crate::fleet::{Fleet, plain_link, target_of};
use crate::{CRASHES, FleetSize, LOSS, settle};

pub(crate) const STEADY_SPAN: Duration = Duration::from_secs(30);
/// Warm-up time in which daemons start to publish changed loads.
const LOAD_SPAN: Duration = Duration::from_secs(60);
/// Time after which an idle connection is closed.
const IDLE_SPAN: Duration = Duration::from_secs(60);
/// Maximum number of peers; at 0.04 MB each, their connections leave most of 32 MB to the rest of
/// a daemon.
const MAX_PEERS: f64 = 120.0;
const DRAINS: usize = 6;

pub(crate) fn steady(fleet: &mut Fleet, size: FleetSize) -> Vec<Figure> {
    let mut rng = SmallRng::seed_from_u64(2);
    run_with_loads(fleet, LOAD_SPAN, &mut rng);
    fleet.reset_counts();
    let begin = fleet.clock.elapsed().as_secs() as usize;
    let started = Instant::now();
    run_with_loads(fleet, STEADY_SPAN, &mut rng);
    let elapsed = started.elapsed().as_micros() as f64;
    let footprint = fleet.running().map(|node| node.footprint().0).max();
    let daemon_seconds = (size.count as u64 * STEADY_SPAN.as_secs()) as f64;
    let bytes: u64 = fleet.daemons.iter().map(|daemon| daemon.bytes).sum();
    let messages: u64 = fleet.daemons.iter().map(|daemon| daemon.messages).sum();
    let log: u64 = fleet.seconds[begin..]
        .iter()
        .map(|second| second.reads + second.appends)
        .sum();
    let baseline = all_to_all(size);
    vec![
        figure(
            "steady, loads change",
            "sent by a daemon",
            bytes as f64 / daemon_seconds,
            "B/s",
        )
        .at_most(3000.0)
        .against(baseline.bytes),
        figure(
            "",
            "messages of a daemon",
            messages as f64 / daemon_seconds,
            "1/s",
        )
        .against(size.count as f64 - 1.0),
        figure(
            "",
            "reads and appends of all",
            log as f64 / STEADY_SPAN.as_secs_f64(),
            "1/s",
        )
        .at_most(30.0),
        figure("", "false deaths", fleet.false_deaths() as f64, "")
            .at_most(0.0)
            .against(baseline.false_deaths),
        figure(
            "",
            "memory for members",
            footprint.unwrap_or(0) as f64 / 1000.0,
            "kB",
        )
        .at_most(2000.0),
        figure(
            "",
            "processor time, simulation included",
            elapsed / daemon_seconds,
            "us/s",
        ),
    ]
}

fn run_with_loads(fleet: &mut Fleet, span: Duration, rng: &mut SmallRng) {
    for _ in 0..span.as_secs() {
        change_loads(fleet, rng);
        fleet.run_for(Duration::from_secs(1));
    }
}

/// Changes the load of a random tenth of all targets; called once per second.
fn change_loads(fleet: &mut Fleet, rng: &mut SmallRng) {
    for index in 0..fleet.daemons.len() {
        if rng.random_bool(0.1) {
            let mut digest = target_of(index, TargetState::Ready);
            digest.load = LoadLevel(rng.random_range(0..=8));
            fleet.node(index).set_targets(vec![digest]);
        }
    }
}

pub(crate) fn crashes(fleet: &mut Fleet, size: FleetSize) -> Vec<Figure> {
    settle(fleet);
    let limit = Duration::from_secs(30);
    let mut times: Vec<f64> = (0..CRASHES)
        .map(|index| {
            let victim = index * 7 % size.count;
            fleet.crash(victim);
            let known = fleet.run_until(limit, |fleet| {
                fleet.fraction_seeing(victim, |state| state == MemberState::Dead) >= 0.99
            });
            fleet.start(victim);
            fleet.run_for(Duration::from_secs(10));
            known.unwrap_or(limit).as_secs_f64()
        })
        .collect();
    times.sort_by(f64::total_cmp);
    let baseline = all_to_all(size);
    vec![
        figure("crash", "known by 99%, median", times[CRASHES / 2], "s")
            .against(baseline.detection_median),
        figure("", "known by 99%, longest", times[CRASHES - 1], "s")
            .at_most(5.0)
            .against(baseline.detection_longest),
    ]
}

pub(crate) fn drains(fleet: &mut Fleet, size: FleetSize) -> Vec<Figure> {
    settle(fleet);
    let limit = Duration::from_secs(30);
    let times = (0..DRAINS).map(|index| {
        let victim = index * 11 % size.count;
        let draining = vec![target_of(victim, TargetState::Draining)];
        fleet.node(victim).set_targets(draining);
        let service = target_of(victim, TargetState::Ready).service;
        let id = fleet.daemons[victim].id;
        let known = fleet.run_until(limit, |fleet| {
            let mut views = fleet.running().flat_map(|node| node.targets(&service));
            !views.any(|view| view.daemon == id)
        });
        known.unwrap_or(limit).as_secs_f64()
    });
    let longest = times.fold(0.0, f64::max);
    vec![figure("drain of a target", "known by all, longest", longest, "s").at_most(3.0)]
}

/// Counts the peers that each daemon sends to within the idle time of a connection.
pub(crate) fn peers(fleet: &mut Fleet, size: FleetSize) -> Vec<Figure> {
    settle(fleet);
    let pairs = Rc::new(RefCell::new(BTreeSet::new()));
    let recorded = Rc::clone(&pairs);
    let mut link = plain_link(LOSS);
    fleet.link = Box::new(move |ends, rng| {
        recorded.borrow_mut().insert((ends.from, ends.to));
        link(ends, rng)
    });
    run_with_loads(fleet, IDLE_SPAN, &mut SmallRng::seed_from_u64(3));
    let mut counts = vec![0; size.count];
    for (from, _) in pairs.borrow().iter() {
        counts[*from] += 1;
    }
    let max = counts.iter().copied().max().unwrap_or(0);
    let mean = pairs.borrow().len() as f64 / size.count as f64;
    vec![
        figure(
            "peers in use, loads change",
            "sent to within 60 s, mean",
            mean,
            "",
        )
        .at_most(MAX_PEERS),
        figure("", "sent to within 60 s, most", f64::from(max), "").at_most(MAX_PEERS),
    ]
}
