//! Dispatch permits between a key home and the daemons beside targets.

use crate::figure::CountedFigure;
use crate::permits::{PermitLoad, run_permits};

const SEED: u64 = 64;
/// Calls with callers' own keys that one home dispatches in a second.
const RATE: f64 = 300.0;

/// Figures of a home whose calls go to `targets` targets.
pub fn run(targets: usize) -> Vec<CountedFigure> {
    let figures = run_permits(PermitLoad {
        rate: RATE,
        targets: targets as u64,
        seed: SEED,
    });
    let (bytes, missed) = (figures.bytes_per_s, figures.missed_percent);
    vec![
        CountedFigure::new("key home", "permits fetched", "B/s", bytes),
        CountedFigure::new("key home", "calls that wait for a permit", "%", missed),
    ]
}
