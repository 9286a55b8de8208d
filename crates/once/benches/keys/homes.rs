//! Cost of homes with issued keys and with leased ranges.

use std::collections::VecDeque;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use model::{ByteCount, ClockPort, CustomerName, FakeClock};
use quetzal_once::lease::{KeyRange, LeaseTerm, LogStamp, TermEpoch};
use quetzal_once::{
    CallKey, HolderId, HomeSettings, KeyCall, KeyDigest, KeyHome, KeyVerdict, RequestFingerprint,
    RunOutcome, RunTicket, StoredAnswer, TermUpdate,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::leases::LeaseFigures;
use crate::permits::{PermitFigures, real_holder};
use crate::{ApproachRow, CALLS_PER_S, DAEMONS};

const ANSWER_BYTES: usize = 300;

fn answer() -> Arc<StoredAnswer> {
    Arc::new(StoredAnswer {
        status: 201,
        headers: Box::default(),
        body: vec![b'x'; ANSWER_BYTES].into(),
    })
}

fn call_of(key: CallKey) -> KeyCall {
    let customer: CustomerName = "agency".parse().expect("a valid name");
    KeyCall {
        digest: KeyDigest::of(&customer, &key),
        key,
        fingerprint: RequestFingerprint(1),
    }
}

/// Measures the approach in which every daemon issues keys and is the home of its own keys.
pub fn issued_approach() -> ApproachRow {
    let clock = FakeClock::new();
    let settings = HomeSettings::default();
    let mut home = KeyHome::new(real_holder(1), settings, clock.shared());
    let pause = Duration::from_secs_f64(DAEMONS as f64 / CALLS_PER_S);
    let calls = (settings.issued_window.as_secs_f64() / pause.as_secs_f64()) as u64;
    for number in 0..calls * 2 {
        clock.advance(pause);
        let key = home.issue().expect("the home issues keys");
        run_call(&mut home, &call_of(CallKey::Issued(key)));
        if number.is_multiple_of(32) {
            home.on_tick(None);
        }
    }
    let counts = home.counts();
    ApproachRow {
        name: "(a) issued keys, all daemons are homes",
        appends_per_s: 0.0,
        log_bytes_per_s: 0.0,
        // The proxy that issued the key is its home; a repeated attempt adds one hop.
        added_messages: 0.0,
        added_hops: 0.0,
        added_wait: "none",
        home_memory: ByteCount(counts.tables.0 + counts.answers.0),
        bytes_per_key: counts.tables.0 as f64 / counts.keys as f64,
    }
}

pub fn run_call(home: &mut KeyHome, call: &KeyCall) -> RunTicket {
    let KeyVerdict::Run(ticket) = home.begin(call) else {
        panic!("a fresh key runs");
    };
    home.settle(ticket, RunOutcome::Done(answer()));
    ticket
}

/// Measures the approach in which a few homes hold leases on ranges of callers' keys.
pub fn leased_approach(
    homes: &[HolderId],
    leases: &LeaseFigures,
    permits: &PermitFigures,
) -> ApproachRow {
    let (home, _) = full_home(homes.len());
    let counts = home.counts();
    let elsewhere = 1.0 - homes.len() as f64 / DAEMONS as f64;
    ApproachRow {
        name: "(b) callers' keys, leased homes",
        appends_per_s: leases.appends_per_s,
        log_bytes_per_s: leases.bytes_per_s,
        // The call and its answer pass through the home.
        added_messages: 2.0 * elsewhere + permits.messages_per_call,
        added_hops: elsewhere,
        added_wait: "none",
        home_memory: ByteCount(counts.tables.0 + counts.answers.0),
        bytes_per_key: counts.tables.0 as f64 / counts.keys as f64,
    }
}

/// Returns a home with the largest share of ranges after a window of calls at the full rate.
pub fn full_home(homes: usize) -> (KeyHome, FakeClock) {
    let clock = FakeClock::new();
    let settings = HomeSettings::default();
    let mut home = KeyHome::new(real_holder(1), settings, clock.shared());
    let share = KeyRange::COUNT.div_ceil(homes);
    let valid_until = clock.now() + Duration::from_secs(3600);
    for range in KeyRange::all().take(share) {
        home.on_term(TermUpdate::Held {
            range,
            term: first_term(),
            valid_until,
        });
    }
    let mut rng = SmallRng::seed_from_u64(1);
    let pause = Duration::from_secs_f64(1.0 / CALLS_PER_S);
    let calls = (settings.window.as_secs_f64() * CALLS_PER_S) as u64;
    let mut running = VecDeque::new();
    for number in 0..calls + calls / 8 {
        clock.advance(pause);
        let call = timed_call(&clock, &mut rng);
        let mine = usize::from(call.digest.range().0) < share;
        if !mine {
            continue;
        }
        running.push_back(run_call(&mut home, &call));
        if number.is_multiple_of(4096) {
            let now = LogStamp::from(clock.wall());
            home.on_tick(Some(now));
        }
    }
    black_box(running.len());
    (home, clock)
}

fn first_term() -> LeaseTerm {
    let far = LogStamp(u64::MAX / 4);
    LeaseTerm {
        holder: real_holder(1),
        epoch: TermEpoch(1),
        prior: TermEpoch::NONE,
        begun: LogStamp(0),
        renewed: far,
        lease_ms: 8000,
        skew_ms: 2000,
        owns_after: None,
    }
}

pub fn timed_call(clock: &FakeClock, rng: &mut SmallRng) -> KeyCall {
    let since = clock.wall().duration_since(SystemTime::UNIX_EPOCH);
    let millis = since.expect("after 1970").as_millis() as u64;
    let random: [u8; 10] = rng.random();
    let uuid = uuid::Builder::from_unix_timestamp_millis(millis, &random).into_uuid();
    call_of(uuid.to_string().parse().expect("a valid key"))
}
