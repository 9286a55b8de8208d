//! Cost of dispatch permits between a key home and the daemons co-located with targets.

use crate::figure::CountedFigure;
use crate::permits::{PermitLoad, run_permits};

const SEED: u64 = 64;
/// Calls with caller-provided keys that one home dispatches per second.
const CALLS_PER_S: f64 = 300.0;

/// Measures a home that dispatches calls to `targets` targets.
pub fn run(targets: usize) -> Vec<CountedFigure> {
    let figures = run_permits(PermitLoad {
        rate: CALLS_PER_S,
        targets: targets as u64,
        seed: SEED,
    });
    let (bytes, missed) = (figures.bytes_per_s, figures.missed_percent);
    vec![
        CountedFigure::new("key home", "permits fetched", "B/s", bytes),
        CountedFigure::new("key home", "calls that wait for a permit", "%", missed),
    ]
}
