//! Membership, as counted in a fleet of state machines.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use quetzal_members::{LoadLevel, MemberState, TargetState};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::figure::CountedFigure;
use crate::member_fleet::{Fleet, plain_link, target_of};

const SEED: u64 = 62;
const DOMAINS: usize = 5;
const REGIONS: usize = 2;
const LOSS: f64 = 0.01;
/// Time between join records of one daemon, for a log that keeps records five minutes.
const RECORD_INTERVAL: Duration = Duration::from_secs(100);
const WARM: Duration = Duration::from_secs(20);
const SPAN: Duration = RECORD_INTERVAL;
/// Time of a whole run, the crash left out.
pub const RUN_TIME: Duration = WARM.saturating_add(SPAN);
/// Time after which a connection that is not used is closed.
const IDLE_TIME: Duration = Duration::from_secs(60);
/// Targets that announce another load in each second.
const LOAD_SHARE: f64 = 0.1;
/// Longest wait for news of a crash.
const LIMIT: Duration = Duration::from_secs(30);

/// A fleet without load, some seconds after its start.
pub fn warm(daemons: usize) -> Fleet {
    Fleet::warm(daemons, DOMAINS, REGIONS, SEED, Duration::from_secs(25))
}

/// Figures of a fleet of `daemons`.
pub fn run(daemons: usize) -> Vec<CountedFigure> {
    let mut fleet = Fleet::new(daemons, DOMAINS, REGIONS, SEED);
    let mut rng = SmallRng::seed_from_u64(SEED);
    fleet.record_interval = RECORD_INTERVAL;
    fleet.start_all();
    run_loaded(&mut fleet, WARM, &mut rng);
    fleet.link = plain_link(LOSS);
    fleet.reset_counts();
    let begin = fleet.clock.elapsed().as_secs() as usize;
    run_loaded(&mut fleet, SPAN.saturating_sub(IDLE_TIME), &mut rng);
    let peers = watch_peers(&mut fleet);
    run_loaded(&mut fleet, IDLE_TIME, &mut rng);
    let peers = peers.borrow().len() as f64 / daemons as f64;
    let seconds = SPAN.as_secs_f64();
    // Each message is received by one daemon too, so a daemon carries twice what it sends.
    let sent = fleet.daemons.iter().map(|daemon| daemon.bytes).sum::<u64>() as f64;
    let messages = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.messages)
        .sum::<u64>() as f64;
    let daemon_seconds = seconds * daemons as f64;
    let counts = &fleet.seconds[begin..];
    let log = counts.iter().map(|second| second.reads + second.appends);
    let log = log.sum::<u64>() as f64 / seconds;
    let memory = fleet.running().map(|node| node.footprint().0).max();
    let memory = memory.unwrap_or(0) as f64 / 1000.0;
    let crash = crash_time(&mut fleet);
    vec![
        CountedFigure::new(
            "member",
            "control, sent and received",
            "B/s",
            2.0 * sent / daemon_seconds,
        ),
        CountedFigure::new("member", "messages sent", "1/s", messages / daemon_seconds),
        CountedFigure::new("member", "peers sent to within 60 s", "peers", peers),
        CountedFigure::new("member", "table of members", "kB", memory),
        CountedFigure::new("member", "requests to the log, all", "1/s", log),
        CountedFigure::new(
            "member",
            "a crash known by 99%",
            "ms",
            crash.as_millis() as f64,
        ),
    ]
}

/// Pairs of sender and receiver.
type PeerPairs = Rc<RefCell<BTreeSet<(usize, usize)>>>;

/// Notes from now on who sends to whom.
fn watch_peers(fleet: &mut Fleet) -> PeerPairs {
    let pairs = PeerPairs::default();
    let noted = Rc::clone(&pairs);
    let mut link = plain_link(LOSS);
    fleet.link = Box::new(move |ends, rng| {
        noted.borrow_mut().insert((ends.from, ends.to));
        link(ends, rng)
    });
    pairs
}

fn run_loaded(fleet: &mut Fleet, span: Duration, rng: &mut SmallRng) {
    for _ in 0..span.as_secs() {
        for index in 0..fleet.daemons.len() {
            if rng.random_bool(LOAD_SHARE) {
                let mut digest = target_of(index, TargetState::Ready);
                digest.load = LoadLevel(rng.random_range(0..=8));
                fleet.node(index).set_targets(vec![digest]);
            }
        }
        fleet.run_for(Duration::from_secs(1));
    }
}

fn crash_time(fleet: &mut Fleet) -> Duration {
    fleet.crash(0);
    let known = fleet.run_until(LIMIT, |fleet| {
        fleet.fraction_seeing(0, |state| state == MemberState::Dead) >= 0.99
    });
    known.unwrap_or(LIMIT)
}
