//! Memory of a key home, as reported by the home itself.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use model::{ClockPort, CustomerName, DaemonId, FakeClock, IncarnationNumber};
use quetzal_once::lease::{KeyRange, LeaseTerm, LogStamp, TermEpoch};
use quetzal_once::{
    CallKey, HolderId, HomeSettings, KeyCall, KeyDigest, KeyHome, KeyVerdict, RequestFingerprint,
    RunOutcome, StoredAnswer, TermUpdate,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::figure::CountedFigure;

const SEED: u64 = 63;
const RESPONSE_BODY_BYTES: usize = 300;
/// Number of calls between ticks of the home.
const CALLS_PER_TICK: u64 = 512;
/// Multiple to which the reported table memory is rounded up, in bytes.
const TABLE_GRANULARITY_BYTES: f64 = 500_000.0;
/// Duration of a lease, longer than the run.
const LEASE_TIME: Duration = Duration::from_secs(3600);

/// Measures a home that receives `rate` calls per second with caller-provided keys.
pub fn run(rate: usize) -> Vec<CountedFigure> {
    let clock = FakeClock::new();
    let settings = HomeSettings::default();
    let mut home = KeyHome::new(holder(), settings, clock.shared());
    let valid_until = clock.now() + LEASE_TIME;
    for range in KeyRange::all() {
        home.on_term(TermUpdate::Held {
            range,
            term: first_term(),
            valid_until,
        });
    }
    let mut rng = SmallRng::seed_from_u64(SEED);
    let pause = Duration::from_secs(1) / rate as u32;
    let mut refused = 0_u64;
    let mut answers = VecDeque::new();
    for number in 0..calls(rate) {
        clock.advance(pause);
        let call = timed_call(&clock, &mut rng);
        if let KeyVerdict::Run(ticket) = home.begin(&call) {
            let answer = stored_answer();
            answers.push_back(Arc::downgrade(&answer));
            home.settle(ticket, RunOutcome::Done(answer));
        } else {
            refused += 1;
        }
        if number.is_multiple_of(CALLS_PER_TICK) {
            home.on_tick(Some(LogStamp::from(clock.wall())));
        }
    }
    let counts = home.counts();
    // The home computes the size from `HashMap::capacity`, which excludes deleted slots and so
    // depends on the hash distribution; the allocated size does not. Rounding up hides this.
    let tables_kb =
        (counts.tables.0 as f64 / TABLE_GRANULARITY_BYTES).ceil() * TABLE_GRANULARITY_BYTES / 1e3;
    let kept_answers = answers.iter().filter(|answer| answer.strong_count() > 0);
    vec![
        CountedFigure::new("key home", "keys held", "keys", counts.keys as f64),
        CountedFigure::new("key home", "tables of keys", "kB", tables_kb),
        CountedFigure::new(
            "key home",
            "stored answers",
            "kB",
            counts.answers.0 as f64 / 1e3,
        ),
        CountedFigure::new(
            "key home",
            "answers kept",
            "answers",
            kept_answers.count() as f64,
        ),
        CountedFigure::new(
            "key home",
            "calls refused for want of room",
            "calls",
            refused as f64,
        ),
    ]
}

/// Returns the number of calls in a run: those of a key window and an eighth more.
pub fn calls(rate: usize) -> u64 {
    let calls = HomeSettings::default().window.as_secs() * rate as u64;
    calls + calls / 8
}

fn holder() -> HolderId {
    HolderId::new(DaemonId(1), IncarnationNumber(1))
}

fn first_term() -> LeaseTerm {
    LeaseTerm {
        holder: holder(),
        epoch: TermEpoch(1),
        prior: TermEpoch::NONE,
        begun: LogStamp(0),
        renewed: LogStamp(u64::MAX / 4),
        lease_ms: 8000,
        skew_ms: 2000,
        owns_after: None,
    }
}

fn stored_answer() -> Arc<StoredAnswer> {
    Arc::new(StoredAnswer {
        status: 201,
        headers: Box::default(),
        body: vec![b'x'; RESPONSE_BODY_BYTES].into(),
    })
}

/// Creates a call whose key contains the current time.
fn timed_call(clock: &FakeClock, rng: &mut SmallRng) -> KeyCall {
    let since = clock.wall().duration_since(SystemTime::UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis() as u64;
    let random: [u8; 10] = rng.random();
    let uuid = uuid::Builder::from_unix_timestamp_millis(millis, &random).into_uuid();
    let key: CallKey = uuid.to_string().parse().expect("a UUID is a key");
    let customer: CustomerName = "agency".parse().expect("a valid name");
    KeyCall {
        digest: KeyDigest::of(&customer, &key),
        key,
        fingerprint: RequestFingerprint(1),
    }
}
