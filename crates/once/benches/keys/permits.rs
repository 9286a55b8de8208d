//! Dispatch permits between a key home and the daemons beside targets.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use model::{ClockPort, DaemonId, FakeClock, IncarnationNumber};
use quetzal_once::permit::{PermitGrant, PermitRequest, PermitSettings};
use quetzal_once::{DispatchCredentials, DispatchPermit, HolderId, PermitIssuer, PermitPool};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const WARM: Duration = Duration::from_secs(10);
const SPAN: Duration = Duration::from_secs(60);
/// Time from sending a call to its answer.
const CALL_TIME: Duration = Duration::from_millis(500);
/// Time from asking for permits to the grant.
const FETCH_TIME: Duration = Duration::from_millis(5);
/// Bytes of an exchange of `h2` besides its content: of headers and data, there and back.
const EXCHANGE_BYTES: usize = 4 * 9 + 2 * LENGTH_BYTES + HEADER_BYTES;
/// Bytes that tell a message's length.
const LENGTH_BYTES: usize = 4;
/// Headers of a request and its answer, from the tables of both sides.
const HEADER_BYTES: usize = 6;
/// Start of the first daemon, in ms since 1970.
const FIRST_START_MS: u64 = 1_750_000_000_000;
/// Spreads numbers over all 64 bits, as hashes are.
const HASH_FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;

/// Calls with callers' own keys that one home dispatches.
#[derive(Clone, Copy, Debug)]
pub struct PermitLoad {
    /// Calls a second.
    pub rate: f64,
    /// Targets, which are picked at random.
    pub targets: u64,
    /// Seed of the picks.
    pub seed: u64,
}

/// What permits cost.
#[derive(Clone, Copy, Debug)]
pub struct PermitFigures {
    /// Messages for permits.
    pub messages_per_call: f64,
    /// Their bytes at the home.
    pub bytes_per_s: f64,
    /// Calls that find no permit.
    pub missed_percent: f64,
}

/// A run of a daemon whose id and incarnation are as long as real ones.
pub fn real_holder(number: u64) -> HolderId {
    let daemon = (number + 1).wrapping_mul(HASH_FACTOR);
    let started = FIRST_START_MS + number;
    HolderId::new(DaemonId(daemon), IncarnationNumber(started))
}

/// One home that dispatches its calls.
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
    let mut flights: VecDeque<(DispatchPermit, Instant)> = VecDeque::new();
    let mut grants: VecDeque<(PermitGrant, Instant)> = VecDeque::new();
    let (mut calls, mut missed, mut messages, mut bytes) = (0_u64, 0_u64, 0_u64, 0_usize);
    while clock.elapsed() < WARM + SPAN {
        clock.advance(Duration::from_secs_f64(1.0 / load.rate));
        let (now, warm) = (clock.now(), clock.elapsed() > WARM);
        while let Some((permit, sent)) = pop_due(&mut flights, now, CALL_TIME) {
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
            bytes += if warm { fetched } else { 0 };
            messages += if warm { 2 } else { 0 };
            grant
        };
        let held = pool.take(target);
        calls += u64::from(warm);
        missed += u64::from(warm && held.is_none());
        // Without one the call waits for a permit of its own.
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
        flights.extend(permit.map(|permit| (permit, now)));
    }
    PermitFigures {
        messages_per_call: messages as f64 / calls as f64,
        bytes_per_s: bytes as f64 / SPAN.as_secs_f64(),
        missed_percent: missed as f64 * 100.0 / calls as f64,
    }
}

/// The first of the queue, once it is this old.
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
