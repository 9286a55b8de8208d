//! Cost of dispatch permits between a key home and the daemons beside targets.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use model::{ClockPort, DaemonId, FakeClock, IncarnationNumber};
use quetzal_once::permit::{PermitGrant, PermitRequest, PermitSettings};
use quetzal_once::{DispatchCredentials, DispatchPermit, HolderId, PermitIssuer, PermitPool};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const WARM_UP: Duration = Duration::from_secs(10);
const SPAN: Duration = Duration::from_secs(60);
/// Time from sending a call to its answer.
const CALL_TIME: Duration = Duration::from_millis(500);
/// Time from requesting permits to their grant.
const FETCH_TIME: Duration = Duration::from_millis(5);
/// Overhead of an `h2` exchange in bytes: header and data frames in both directions.
const EXCHANGE_BYTES: usize = 4 * 9 + 2 * LENGTH_BYTES + HEADER_BYTES;
/// Size of the length prefix of a message in bytes.
const LENGTH_BYTES: usize = 4;
/// Size of the headers of a request and its answer in bytes, compressed by the header tables.
const HEADER_BYTES: usize = 6;
/// Start time of the first daemon in milliseconds since 1970.
const FIRST_START_MS: u64 = 1_750_000_000_000;
/// Multiplier that spreads small numbers over all 64 bits, like hashes.
const HASH_FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;

/// Load of calls with callers' own keys that one home dispatches.
#[derive(Clone, Copy, Debug)]
pub struct PermitLoad {
    /// Calls a second.
    pub rate: f64,
    /// Number of targets, which are picked at random.
    pub targets: u64,
    /// Seed of the random picks.
    pub seed: u64,
}

/// Cost of permits.
#[derive(Clone, Copy, Debug)]
pub struct PermitFigures {
    /// Permit messages for each call.
    pub messages_per_call: f64,
    /// Bytes a second that the home sends and receives for permits.
    pub bytes_per_s: f64,
    /// Percentage of calls that find no permit in the pool.
    pub missed_percent: f64,
}

/// Returns a holder whose id and incarnation encode to as many bytes as real ones.
pub fn real_holder(number: u64) -> HolderId {
    let daemon = (number + 1).wrapping_mul(HASH_FACTOR);
    let started = FIRST_START_MS + number;
    HolderId::new(DaemonId(daemon), IncarnationNumber(started))
}

/// Simulates one home that dispatches its calls.
pub fn run_permits(load: PermitLoad) -> PermitFigures {
    let clock = FakeClock::new();
    let mut rng = SmallRng::seed_from_u64(load.seed);
    let home = real_holder(0);
    let mut pool = PermitPool::new(home, clock.shared());
    let mut issuers: BTreeMap<u64, PermitIssuer> = (1..=load.targets)
        .map(|target| {
            let me = real_holder(target);
            let issuer = PermitIssuer::new(me, PermitSettings::default(), clock.shared());
            (target, issuer)
        })
        .collect();
    let mut in_flight: VecDeque<(DispatchPermit, Instant)> = VecDeque::new();
    let mut grants: VecDeque<(PermitGrant, Instant)> = VecDeque::new();
    let (mut calls, mut missed, mut messages, mut bytes) = (0_u64, 0_u64, 0_u64, 0_usize);
    while clock.elapsed() < WARM_UP + SPAN {
        clock.advance(Duration::from_secs_f64(1.0 / load.rate));
        let (now, warmed_up) = (clock.now(), clock.elapsed() > WARM_UP);
        while let Some((permit, sent)) = pop_due(&mut in_flight, now, CALL_TIME) {
            pool.on_answered(permit, sent);
        }
        while let Some((grant, asked)) = pop_due(&mut grants, now, FETCH_TIME) {
            pool.on_grant(&grant, asked);
        }
        let target = rng.random_range(1..=load.targets);
        let issuer = issuers.get_mut(&target).expect("a target has an issuer");
        let target = real_holder(target).daemon;
        let mut fetch = |request: &PermitRequest| {
            let grant = issuer.grant(request);
            let fetched = encoded_len(request) + encoded_len(&grant) + EXCHANGE_BYTES;
            bytes += if warmed_up { fetched } else { 0 };
            messages += if warmed_up { 2 } else { 0 };
            grant
        };
        let held = pool.take(target);
        calls += u64::from(warmed_up);
        missed += u64::from(warmed_up && held.is_none());
        // Without a held permit the call waits for one that is fetched for it.
        let permit = held.or_else(|| fetch(&single_request(home, target)).permits().next());
        if let Some(request) = pool.refill_request(target) {
            grants.push_back((fetch(&request), now));
        }
        let credentials = DispatchCredentials {
            permit,
            home,
            term: None,
        };
        issuer
            .redeem(&credentials)
            .expect("a fresh permit is redeemed");
        in_flight.extend(permit.map(|permit| (permit, now)));
    }
    PermitFigures {
        messages_per_call: messages as f64 / calls as f64,
        bytes_per_s: bytes as f64 / SPAN.as_secs_f64(),
        missed_percent: missed as f64 * 100.0 / calls as f64,
    }
}

/// Removes the first entry of the queue once it is `age` old.
fn pop_due<T>(
    queue: &mut VecDeque<(T, Instant)>,
    now: Instant,
    age: Duration,
) -> Option<(T, Instant)> {
    let (_, since) = queue.front()?;
    let due = now.saturating_duration_since(*since) >= age;
    due.then(|| queue.pop_front()).flatten()
}

fn single_request(home: HolderId, issuer: DaemonId) -> PermitRequest {
    PermitRequest {
        home,
        issuer,
        count: 1,
    }
}

fn encoded_len(message: &impl serde::Serialize) -> usize {
    let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard());
    bytes.expect("plain data encodes").len()
}
