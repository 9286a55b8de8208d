//! Cost of claims that are appended to the log before each call.

use std::time::Duration;

use model::ByteCount;
use quetzal_once::{HolderId, HomeSettings};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::{ApproachRow, CALLS_PER_S};

/// Measures the baseline: a collector in each home appends claims in batches and reads the others'.
pub fn claimed_approach(homes: &[HolderId]) -> ApproachRow {
    const BATCH_PAUSE: Duration = Duration::from_millis(50);
    const CLAIM_BYTES: usize = 16 + 8;
    const SPAN: Duration = Duration::from_secs(60);
    let mut rng = SmallRng::seed_from_u64(3);
    let mut batches = vec![0_usize; homes.len()];
    let (mut appends, mut bytes, mut claims) = (0_u64, 0_usize, 0_u64);
    let calls_in_batch = CALLS_PER_S * BATCH_PAUSE.as_secs_f64();
    let mut elapsed = Duration::ZERO;
    while elapsed < SPAN {
        elapsed += BATCH_PAUSE;
        for _ in 0..calls_in_batch as usize {
            batches[rng.random_range(0..homes.len())] += 1;
            claims += 1;
        }
        for batch in batches.iter_mut().filter(|batch| **batch > 0) {
            appends += 1;
            bytes += *batch * CLAIM_BYTES;
            *batch = 0;
        }
    }
    let seconds = elapsed.as_secs_f64();
    // Every collector must remember every claim of the window.
    let claims_in_window = claims as f64 / seconds * HomeSettings::default().window.as_secs_f64();
    // 33 bytes for each slot of a power-of-two table that is filled to 7/8.
    let table_bytes = 33.0 * (claims_in_window * 8.0 / 7.0).log2().ceil().exp2();
    ApproachRow {
        name: "(c) claims on the log, a collector in each home",
        appends_per_s: appends as f64 / seconds,
        log_bytes_per_s: bytes as f64 / seconds,
        added_messages: 2.0,
        added_hops: 1.0,
        added_wait: "25 ms + append + read",
        home_memory: ByteCount(table_bytes as u64),
        bytes_per_key: table_bytes / claims_in_window,
    }
}
