//! Membership at three fleet sizes: traffic, detection, drains, false deaths and message storms.
//!
//! Members exchange real messages through queues with delay and loss under a
//! fake clock, so that all figures except the processor time depend only on the
//! seeds. Bounds come from the requirements: 10 KB/s of control traffic for each
//! daemon, of which membership may take 3 KB/s; a leaving target known everywhere
//! within 3 s; changes known within 15 s when a failure domain is lost; a log
//! that handles several hundred appends per second. In the baseline each daemon
//! sends a heartbeat to every other daemon.

mod faults;
mod figure;

#[path = "../../tests/fleet/mod.rs"]
mod fleet;
mod normal;

use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use faults::{
    lost_after_slow_link, lost_domain, partition_regions, restart_all, slow_daemon, slow_domain,
};
use figure::{Figure, table_of};
use fleet::{Fleet, plain_link};
use normal::{crashes, drains, peers, steady};

const SIZES: [FleetSize; 3] = [
    FleetSize {
        count: 14,
        domains: 3,
        regions: 1,
    },
    FleetSize {
        count: 100,
        domains: 5,
        regions: 2,
    },
    FleetSize {
        count: 720,
        domains: 5,
        regions: 2,
    },
];
const LOSS: f64 = 0.01;
const SETTLE_LIMIT: Duration = Duration::from_secs(120);
/// Time for queues and health scores to return to normal.
const SETTLE_SPAN: Duration = Duration::from_secs(10);
/// Time between join records of one daemon, for a log that keeps records for five minutes.
const RECORD_INTERVAL: Duration = Duration::from_secs(100);
const CRASHES: usize = 8;

#[derive(Clone, Copy, Debug)]
struct FleetSize {
    count: usize,
    domains: usize,
    regions: usize,
}

impl FleetSize {
    fn partition_span(self) -> Duration {
        // The state during a partition no longer changes after some minutes; a test runs a whole
        // hour.
        Duration::from_secs(if self.count > 100 { 300 } else { 600 })
    }
}

type Scenario = fn(&mut Fleet, FleetSize) -> Vec<Figure>;

/// Scenarios that run one after another in one fleet; the chains run in parallel.
const CHAINS: [&[Scenario]; 4] = [
    &[steady, crashes, drains, slow_daemon, peers],
    &[slow_domain, lost_after_slow_link],
    &[lost_domain],
    &[partition_regions, restart_all],
];

/// Runs a chain of scenarios in one fleet.
fn run_chain(size: FleetSize, chain: &[Scenario], seed: u64) -> Vec<Figure> {
    let mut fleet = Fleet::new(size.count, size.domains, size.regions, seed);
    fleet.record_interval = RECORD_INTERVAL;
    fleet.start_all();
    chain
        .iter()
        .flat_map(|scenario| scenario(&mut fleet, size))
        .collect()
}

/// Runs on healthy links until all views are complete, then resets the counters.
fn settle(fleet: &mut Fleet) {
    fleet.link = plain_link(LOSS);
    fleet.run_until(SETTLE_LIMIT, |fleet| fleet.is_complete());
    fleet.run_for(SETTLE_SPAN);
    fleet.reset_counts();
}

fn main() -> ExitCode {
    let runs: Vec<(FleetSize, Vec<Figure>)> = thread::scope(|scope| {
        let handles: Vec<_> = SIZES
            .iter()
            .flat_map(|size| {
                CHAINS
                    .iter()
                    .zip(1..)
                    .map(move |(chain, seed)| (*size, *chain, seed))
            })
            .map(|(size, chain, seed)| (size, scope.spawn(move || run_chain(size, chain, seed))))
            .collect();
        handles
            .into_iter()
            .map(|(size, handle)| (size, handle.join().expect("a scenario does not panic")))
            .collect()
    });
    let figures: Vec<(FleetSize, Figure)> = runs
        .into_iter()
        .flat_map(|(size, figures)| figures.into_iter().map(move |figure| (size, figure)))
        .collect();
    println!("{}", table_of(&figures));
    let exceeded = figures.iter().filter(|(_, figure)| figure.is_exceeded());
    match exceeded.count() {
        0 => ExitCode::SUCCESS,
        count => {
            println!("{count} bounds exceeded");
            ExitCode::FAILURE
        }
    }
}
