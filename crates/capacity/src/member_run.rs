//! Cost of membership in a simulated fleet.

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
const MESSAGE_LOSS: f64 = 0.01;
/// Interval between join records of a daemon, for a log that retains records for five minutes.
const RECORD_INTERVAL: Duration = Duration::from_secs(100);
const WARM_UP_TIME: Duration = Duration::from_secs(20);
const MEASURED_TIME: Duration = RECORD_INTERVAL;
/// Duration of a run, without the crash.
pub const RUN_TIME: Duration = WARM_UP_TIME.saturating_add(MEASURED_TIME);
/// Time after which an unused connection is closed.
const IDLE_TIME: Duration = Duration::from_secs(60);
/// Fraction of targets that announce a new load every second.
const LOAD_CHANGE_PROBABILITY: f64 = 0.1;
/// Maximum time for the detection of a crash.
const CRASH_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a fleet without load, some seconds after its start.
pub fn warm(daemons: usize) -> Fleet {
    Fleet::warm(daemons, DOMAINS, REGIONS, SEED, Duration::from_secs(25))
}

/// Measures a fleet of `daemons`.
pub fn run(daemons: usize) -> Vec<CountedFigure> {
    let mut fleet = Fleet::new(daemons, DOMAINS, REGIONS, SEED);
    let mut rng = SmallRng::seed_from_u64(SEED);
    fleet.record_interval = RECORD_INTERVAL;
    fleet.start_all();
    run_loaded(&mut fleet, WARM_UP_TIME, &mut rng);
    fleet.link = plain_link(MESSAGE_LOSS);
    fleet.reset_counts();
    let first_second = fleet.clock.elapsed().as_secs() as usize;
    run_loaded(
        &mut fleet,
        MEASURED_TIME.saturating_sub(IDLE_TIME),
        &mut rng,
    );
    let peers = record_peers(&mut fleet);
    run_loaded(&mut fleet, IDLE_TIME, &mut rng);
    let peers = peers.borrow().len() as f64 / daemons as f64;
    let seconds = MEASURED_TIME.as_secs_f64();
    // Each message is also received by one daemon, so the traffic is twice the sent bytes.
    let sent = fleet.daemons.iter().map(|daemon| daemon.bytes).sum::<u64>() as f64;
    let messages = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.messages)
        .sum::<u64>() as f64;
    let daemon_seconds = seconds * daemons as f64;
    let counts = &fleet.seconds[first_second..];
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

/// Indices of senders and receivers.
type PeerPairs = Rc<RefCell<BTreeSet<(usize, usize)>>>;

/// Starts to record pairs of senders and receivers.
fn record_peers(fleet: &mut Fleet) -> PeerPairs {
    let pairs = PeerPairs::default();
    let recorded = Rc::clone(&pairs);
    let mut link = plain_link(MESSAGE_LOSS);
    fleet.link = Box::new(move |ends, rng| {
        recorded.borrow_mut().insert((ends.from, ends.to));
        link(ends, rng)
    });
    pairs
}

fn run_loaded(fleet: &mut Fleet, span: Duration, rng: &mut SmallRng) {
    for _ in 0..span.as_secs() {
        for index in 0..fleet.daemons.len() {
            if rng.random_bool(LOAD_CHANGE_PROBABILITY) {
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
    let known = fleet.run_until(CRASH_TIMEOUT, |fleet| {
        fleet.fraction_seeing(0, |state| state == MemberState::Dead) >= 0.99
    });
    known.unwrap_or(CRASH_TIMEOUT)
}
