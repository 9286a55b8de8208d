//! Cost of the leases of all homes on one log.

use std::time::Duration;

use feed::port::{LogRecord, ReadReply, RecordBatch};
use model::{ClockPort, FakeClock, LogOffset};
use quetzal_once::{HolderId, LeaseKeeper, LeaseOutput, LeaseSettings};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Cost of the leases of all homes.
pub struct LeaseFigures {
    pub appends_per_s: f64,
    pub bytes_per_s: f64,
    pub takeover: Duration,
}

/// Runs the keepers of all homes on one log for two minutes; one home dies after the first.
pub fn run_leases(homes: &[HolderId]) -> LeaseFigures {
    const STEP: Duration = Duration::from_millis(50);
    const MINUTE: Duration = Duration::from_secs(60);
    let clock = FakeClock::new();
    let mut keepers: Vec<LeaseKeeper> = homes
        .iter()
        .map(|home| {
            let rng = SmallRng::seed_from_u64(home.daemon.0);
            let settings = LeaseSettings::default();
            LeaseKeeper::new(*home, settings, clock.shared(), rng)
        })
        .collect();
    let mut log: Vec<LogRecord> = Vec::new();
    let mut alive = homes.to_vec();
    let mut takeover = Duration::ZERO;
    while clock.elapsed() < MINUTE * 2 {
        clock.advance(STEP);
        let dead = clock.elapsed() >= MINUTE && alive.len() == homes.len();
        if dead {
            alive.remove(0);
            keepers.remove(0);
        }
        for keeper in &mut keepers {
            keeper.set_homes(alive.clone());
            step_keeper(keeper, &mut log, &clock);
        }
        let table = keepers[0].table();
        let orphans = table.held_by(homes[0]).count();
        if clock.elapsed() > MINUTE && orphans > 0 {
            takeover = clock.elapsed().saturating_sub(MINUTE);
        }
    }
    let bytes: usize = log.iter().map(|entry| entry.body.len()).sum();
    let seconds = clock.elapsed().as_secs_f64();
    LeaseFigures {
        appends_per_s: log.len() as f64 / seconds,
        bytes_per_s: bytes as f64 / seconds,
        takeover,
    }
}

fn step_keeper(keeper: &mut LeaseKeeper, log: &mut Vec<LogRecord>, clock: &FakeClock) {
    for output in keeper.on_tick() {
        match output {
            LeaseOutput::Read { from, .. } => {
                let records = log[from.0 as usize..].to_vec();
                let batch = RecordBatch {
                    first: LogOffset(0),
                    next: LogOffset(log.len() as u64),
                    records,
                };
                keeper.on_read(&ReadReply::Batch(batch));
            }
            LeaseOutput::Append { serial, body } => {
                log.push(LogRecord {
                    offset: LogOffset(log.len() as u64),
                    at: clock.wall(),
                    body,
                });
                keeper.on_appended(serial, true);
            }
            LeaseOutput::Term(_) | LeaseOutput::View(_) | LeaseOutput::Alarm(_) => {}
        }
    }
}
