//! Log usage of the leases of key homes.

use std::time::Duration;

use feed::port::{LogRecord, ReadReply, RecordBatch};
use model::{ClockPort, FakeClock, LogOffset};
use quetzal_once::{HolderId, LeaseKeeper, LeaseOutput, LeaseSettings};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::figure::CountedFigure;
use crate::harness::READ_BYTES;
use crate::permits::real_holder;

const TICK_INTERVAL: Duration = Duration::from_millis(50);
const RUN_TIME: Duration = Duration::from_secs(120);
/// Time from which requests are counted; by then all ranges have a holder.
const COUNT_FROM: Duration = Duration::from_secs(30);

/// An in-memory log that counts its requests.
#[derive(Default)]
struct CountingLog {
    records: Vec<LogRecord>,
    reads: u64,
    appends: u64,
    bytes: u64,
}

/// Measures `homes` key homes.
pub fn run(homes: usize) -> Vec<CountedFigure> {
    let clock = FakeClock::new();
    let holders: Vec<HolderId> = (0..homes as u64).map(real_holder).collect();
    let keeper = |holder: &HolderId| {
        let rng = SmallRng::seed_from_u64(holder.daemon.0);
        let settings = LeaseSettings::default();
        LeaseKeeper::new(*holder, settings, clock.shared(), rng)
    };
    let mut keepers: Vec<LeaseKeeper> = holders.iter().map(keeper).collect();
    let mut log = CountingLog::default();
    let mut counted = false;
    while clock.elapsed() < RUN_TIME {
        clock.advance(TICK_INTERVAL);
        if !counted && clock.elapsed() >= COUNT_FROM {
            counted = true;
            (log.reads, log.appends, log.bytes) = (0, 0, 0);
        }
        for keeper in &mut keepers {
            keeper.set_homes(holders.clone());
            step(keeper, &mut log, &clock);
        }
    }
    let seconds = RUN_TIME.saturating_sub(COUNT_FROM).as_secs_f64();
    let per_home = |count: u64| count as f64 / seconds / homes as f64;
    vec![
        CountedFigure::new(
            "key home",
            "lease appends, all",
            "1/s",
            log.appends as f64 / seconds,
        ),
        CountedFigure::new(
            "key home",
            "lease reads, all",
            "1/s",
            log.reads as f64 / seconds,
        ),
        CountedFigure::new(
            "key home",
            "leases on the log",
            "B/s",
            per_home(log.bytes + (log.reads + log.appends) * READ_BYTES),
        ),
    ]
}

fn step(keeper: &mut LeaseKeeper, log: &mut CountingLog, clock: &FakeClock) {
    for output in keeper.on_tick() {
        match output {
            LeaseOutput::Read { from, .. } => {
                let records = log.records[from.0 as usize..].to_vec();
                log.reads += 1;
                log.bytes += records
                    .iter()
                    .map(|record| record.body.len() as u64)
                    .sum::<u64>();
                let batch = RecordBatch {
                    first: LogOffset(0),
                    next: LogOffset(log.records.len() as u64),
                    records,
                };
                keeper.on_read(&ReadReply::Batch(batch));
            }
            LeaseOutput::Append { serial, body } => {
                log.appends += 1;
                log.bytes += body.len() as u64;
                log.records.push(LogRecord {
                    offset: LogOffset(log.records.len() as u64),
                    at: clock.wall(),
                    body,
                });
                keeper.on_appended(serial, true);
            }
            LeaseOutput::Term(_) | LeaseOutput::View(_) | LeaseOutput::Alarm(_) => {}
        }
    }
}
