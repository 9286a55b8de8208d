//! What at most once costs at 3,000 calls a second over 720 daemons.
//!
//! Three ways side by side: keys that the system issues, callers' own keys
//! with leased homes, and claims appended to the log before each call. Counts
//! come from the state machines under a fake clock; processor time is printed
//! and not judged.

use std::collections::{BTreeMap, VecDeque};
use std::hint::black_box;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use comfy_table::Table;
use feed::port::{LogRecord, ReadAnswer, RecordBatch};
use model::{
    ByteCount, ClockPort, CustomerName, DaemonId, DomainName, FakeClock, IncarnationNumber,
    LogOffset, TargetName,
};
use quetzal_once::lease::{KeyRange, LeaseTerm, LogStamp, TermEpoch, pick_homes};
use quetzal_once::permit::{PermitRequest, PermitSettings};
use quetzal_once::poison::PoisonSettings;
use quetzal_once::{
    CallKey, DispatchPass, HolderId, HomeSettings, KeyCall, KeyDigest, KeyHome, KeyVerdict,
    LeaseKeeper, LeaseOutput, LeaseSettings, PermitIssuer, PermitPurse, PoisonWatch, PrintHasher,
    RequestPrint, RunOutcome, RunTicket, StoredAnswer, TermUpdate,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const DAEMONS: u64 = 720;
const DOMAINS: u64 = 5;
const CALLS_PER_S: f64 = 3000.0;
/// Targets of the service that takes the calls.
const TARGETS: u64 = 100;
const ANSWER_BYTES: usize = 300;

/// Appends that the log service spares for this, of several hundred a second.
const MAX_APPENDS_PER_S: f64 = 20.0;
/// Memory of a home, of the 32 MB that a daemon may use for all control.
const MAX_HOME_BYTES: u64 = 9 << 20;
/// Control traffic of a daemon a second.
const MAX_CONTROL_BYTES_PER_S: f64 = 10_000.0;
/// Of a hundred calls, one may take longer than the added 1.1 ms.
const MAX_PERMIT_MISSES: f64 = 1.0;

/// One line of the table.
struct WayRow {
    name: &'static str,
    appends_per_s: f64,
    log_bytes_per_s: f64,
    added_messages: f64,
    added_hops: f64,
    added_wait: &'static str,
    home_memory: ByteCount,
    bytes_per_key: f64,
}

fn main() -> ExitCode {
    let homes = homes();
    let leases = run_leases(&homes);
    let permits = run_permits(homes.len());
    let ways = [
        issued_way(),
        leased_way(&homes, &leases, &permits),
        claimed_way(&homes),
    ];
    print_ways(&ways);
    println!(
        "leases: {} homes, {:.1} appends/s, {:.0} bytes/s read by each home, \
         {:.1} s from a home's death until its ranges are held again",
        homes.len(),
        leases.appends_per_s,
        leases.bytes_per_s,
        leases.takeover.as_secs_f64(),
    );
    println!(
        "permits: {:.2} messages a call, {:.0} bytes/s at a home, {:.2}% of calls wait for one",
        permits.messages_per_call, permits.bytes_per_s, permits.missed_percent,
    );
    print_times();
    judge(&ways, &leases, &permits)
}

fn judge(ways: &[WayRow; 3], leases: &LeaseFigures, permits: &PermitFigures) -> ExitCode {
    let [by_issue, by_lease, _] = ways;
    let appends = by_issue.appends_per_s + by_lease.appends_per_s;
    let bounds = [
        ("appends a second", appends, MAX_APPENDS_PER_S),
        (
            "bytes of a home",
            by_lease.home_memory.0 as f64,
            MAX_HOME_BYTES as f64,
        ),
        (
            "control bytes a second",
            permits.bytes_per_s + leases.bytes_per_s,
            MAX_CONTROL_BYTES_PER_S,
        ),
        (
            "percent of calls that wait for a permit",
            permits.missed_percent,
            MAX_PERMIT_MISSES,
        ),
    ];
    let mut code = ExitCode::SUCCESS;
    for (name, value, bound) in bounds {
        if value > bound {
            println!("FAILED: {name}: {value:.1} is above {bound:.1}");
            code = ExitCode::FAILURE;
        }
    }
    code
}

fn print_ways(ways: &[WayRow]) {
    let mut table = Table::new();
    table.set_header([
        "way",
        "log appends/s",
        "log bytes/s",
        "added messages/call",
        "added hops",
        "added wait",
        "home memory",
        "bytes/key",
    ]);
    for way in ways {
        table.add_row([
            way.name.to_owned(),
            format!("{:.1}", way.appends_per_s),
            format!("{:.0}", way.log_bytes_per_s),
            format!("{:.2}", way.added_messages),
            format!("{:.2}", way.added_hops),
            way.added_wait.to_owned(),
            format!("{:.2} MB", way.home_memory.0 as f64 / 1e6),
            format!("{:.0}", way.bytes_per_key),
        ]);
    }
    println!("{table}");
}

fn holder(daemon: u64) -> HolderId {
    HolderId::new(DaemonId(daemon), IncarnationNumber(1))
}

fn homes() -> Vec<HolderId> {
    let domain =
        |daemon: u64| -> DomainName { format!("fd-{}", daemon % DOMAINS).parse().expect("a name") };
    let members: Vec<(DomainName, HolderId)> = (0..DAEMONS)
        .map(|daemon| (domain(daemon), holder(daemon)))
        .collect();
    pick_homes(&members)
}

fn answer() -> Arc<StoredAnswer> {
    Arc::new(StoredAnswer {
        status: 201,
        headers: Box::default(),
        body: vec![b'x'; ANSWER_BYTES].into(),
    })
}

fn call_of(key: CallKey) -> KeyCall {
    let customer: CustomerName = "agency".parse().expect("a name");
    KeyCall {
        digest: KeyDigest::of(&customer, &key),
        key,
        print: RequestPrint(1),
    }
}

/// Every daemon issues keys and is home of its own.
fn issued_way() -> WayRow {
    let clock = FakeClock::new();
    let settings = HomeSettings::default();
    let mut home = KeyHome::new(holder(1), settings, clock.shared());
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
    WayRow {
        name: "(a) issued keys, all daemons are homes",
        appends_per_s: 0.0,
        log_bytes_per_s: 0.0,
        // The proxy that issued the key is its home; a repeated sending adds one hop.
        added_messages: 0.0,
        added_hops: 0.0,
        added_wait: "none",
        home_memory: ByteCount(counts.tables.0 + counts.answers.0),
        bytes_per_key: counts.tables.0 as f64 / counts.keys as f64,
    }
}

fn run_call(home: &mut KeyHome, call: &KeyCall) -> RunTicket {
    let KeyVerdict::Run(ticket) = home.begin(call) else {
        panic!("a fresh key runs");
    };
    home.settle(ticket, RunOutcome::Done(answer()));
    ticket
}

/// Few homes hold leases on ranges of callers' keys.
fn leased_way(homes: &[HolderId], leases: &LeaseFigures, permits: &PermitFigures) -> WayRow {
    let (home, _) = full_home(homes.len());
    let counts = home.counts();
    let elsewhere = 1.0 - homes.len() as f64 / DAEMONS as f64;
    WayRow {
        name: "(b) callers' keys, leased homes",
        appends_per_s: leases.appends_per_s,
        log_bytes_per_s: leases.bytes_per_s,
        // The call and its answer go through the home.
        added_messages: 2.0 * elsewhere + permits.messages_per_call,
        added_hops: elsewhere,
        added_wait: "none",
        home_memory: ByteCount(counts.tables.0 + counts.answers.0),
        bytes_per_key: counts.tables.0 as f64 / counts.keys as f64,
    }
}

/// A home of the largest share of ranges after a window at the full rate.
fn full_home(homes: usize) -> (KeyHome, FakeClock) {
    let clock = FakeClock::new();
    let settings = HomeSettings::default();
    let mut home = KeyHome::new(holder(1), settings, clock.shared());
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
        holder: holder(1),
        epoch: TermEpoch(1),
        prior: TermEpoch::NONE,
        begun: LogStamp(0),
        renewed: far,
        lease_ms: 8000,
        skew_ms: 2000,
        owns_after: None,
    }
}

fn timed_call(clock: &FakeClock, rng: &mut SmallRng) -> KeyCall {
    let since = clock.wall().duration_since(SystemTime::UNIX_EPOCH);
    let millis = since.expect("after 1970").as_millis() as u64;
    let random: [u8; 10] = rng.random();
    let uuid = uuid::Builder::from_unix_timestamp_millis(millis, &random).into_uuid();
    call_of(uuid.to_string().parse().expect("a key"))
}

/// What the leases of all homes cost.
struct LeaseFigures {
    appends_per_s: f64,
    bytes_per_s: f64,
    takeover: Duration,
}

/// Keepers of all homes on one log; one home dies after a minute.
fn run_leases(homes: &[HolderId]) -> LeaseFigures {
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
                keeper.on_read(&ReadAnswer::Batch(batch));
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

/// What permits cost.
struct PermitFigures {
    messages_per_call: f64,
    bytes_per_s: f64,
    missed_percent: f64,
}

/// One home that dispatches its share of the calls to targets picked at random.
fn run_permits(homes: usize) -> PermitFigures {
    const WARM_UP: Duration = Duration::from_secs(10);
    const SPAN: Duration = Duration::from_secs(70);
    let clock = FakeClock::new();
    let mut rng = SmallRng::seed_from_u64(2);
    let mut purse = PermitPurse::new(holder(1), clock.shared());
    let mut issuers: BTreeMap<DaemonId, PermitIssuer> = (0..TARGETS)
        .map(|target| {
            let me = holder(1000 + target);
            let issuer = PermitIssuer::new(me, PermitSettings::default(), clock.shared());
            (me.daemon, issuer)
        })
        .collect();
    let pause = Duration::from_secs_f64(homes as f64 / CALLS_PER_S);
    let (mut calls, mut missed, mut messages, mut bytes) = (0_u64, 0_u64, 0_u64, 0_usize);
    while clock.elapsed() < SPAN {
        clock.advance(pause);
        calls += 1;
        let target = DaemonId(1000 + rng.random_range(0..TARGETS));
        let issuer = issuers.get_mut(&target).expect("a target");
        let mut permit = purse.take(target);
        if permit.is_none() && clock.elapsed() > WARM_UP {
            missed += 1;
        }
        if let Some(request) = purse.wants(target) {
            messages += 2;
            bytes += fetch(&mut purse, issuer, &request, &clock);
            permit = permit.or_else(|| purse.take(target));
        }
        let pass = DispatchPass {
            permit,
            home: holder(1),
            term: None,
        };
        issuer.redeem(&pass).expect("a fresh permit");
    }
    let seconds = clock.elapsed().as_secs_f64();
    PermitFigures {
        messages_per_call: messages as f64 / calls as f64,
        bytes_per_s: bytes as f64 / seconds,
        missed_percent: missed as f64 * 100.0 / calls as f64,
    }
}

/// Bytes of a frame of `h2` besides its content.
const FRAME_BYTES: usize = 9;

fn fetch(
    purse: &mut PermitPurse,
    issuer: &mut PermitIssuer,
    request: &PermitRequest,
    clock: &FakeClock,
) -> usize {
    let grant = issuer.grant(request);
    purse.on_grant(&grant, clock.now());
    encoded_len(request) + encoded_len(&grant) + 2 * FRAME_BYTES
}

fn encoded_len(message: &impl serde::Serialize) -> usize {
    let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard());
    bytes.expect("plain data encodes").len()
}

/// The baseline: a collector in each home appends claims in batches and reads all others'.
fn claimed_way(homes: &[HolderId]) -> WayRow {
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
    // Every collector must know every claim of the window.
    let remembered = claims as f64 / seconds * HomeSettings::default().window.as_secs_f64();
    let table_bytes = 33.0 * (remembered * 8.0 / 7.0).log2().ceil().exp2();
    WayRow {
        name: "(c) claims on the log, a collector in each home",
        appends_per_s: appends as f64 / seconds,
        log_bytes_per_s: bytes as f64 / seconds,
        added_messages: 2.0,
        added_hops: 1.0,
        added_wait: "25 ms + append + read",
        home_memory: ByteCount(table_bytes as u64),
        bytes_per_key: table_bytes / remembered,
    }
}

/// Prints processor time of the parts that every call passes.
fn print_times() {
    const ROUNDS: u32 = 50_000;
    let (mut home, clock) = full_home(10);
    let mut rng = SmallRng::seed_from_u64(4);
    let key: CallKey = "01890a5d-ac96-774b-bcce-b302099a8057"
        .parse()
        .expect("a key");
    let customer: CustomerName = "agency".parse().expect("a name");
    let body = [7_u8; 1024];
    let mut table = Table::new();
    table.set_header(["step", "where", "ns/call"]);
    let mut row = |step: &str, place: &str, spent: Duration| {
        let nanos = (spent / ROUNDS).as_nanos().to_string();
        table.add_row([step, place, nanos.as_str()]);
    };
    let digests = timed(ROUNDS, || {
        black_box(KeyDigest::of(&customer, black_box(&key)));
    });
    row("digest of the key", "proxy", digests);
    let prints = timed(ROUNDS, || {
        let mut hasher = PrintHasher::new(&customer, "POST", "/payouts", Some(1024));
        hasher.update(black_box(&body));
        black_box(hasher.finish());
    });
    row("fingerprint of 1 KiB", "proxy", prints);
    let held = home.counts().keys;
    let calls: Vec<KeyCall> = (0..ROUNDS)
        .filter_map(|_| {
            let call = timed_call(&clock, &mut rng);
            (usize::from(call.digest.range().0) < 7).then_some(call)
        })
        .collect();
    let start = Instant::now();
    for call in &calls {
        run_call(&mut home, call);
    }
    row(
        &format!("begin and settle, {held} keys held"),
        "home",
        start.elapsed() * (ROUNDS / calls.len() as u32),
    );
    let mut issuer = PermitIssuer::new(holder(2), PermitSettings::default(), clock.shared());
    let mut purse = PermitPurse::new(holder(1), clock.shared());
    let permits = timed(ROUNDS, || {
        if let Some(request) = purse.wants(DaemonId(2)) {
            let grant = issuer.grant(&request);
            purse.on_grant(&grant, clock.now());
        }
        let pass = DispatchPass {
            permit: purse.take(DaemonId(2)),
            home: holder(1),
            term: None,
        };
        black_box(issuer.redeem(&pass).is_ok());
    });
    row(
        "permit fetched, taken and redeemed",
        "home and target",
        permits,
    );
    let mut watch = PoisonWatch::new(holder(2), PoisonSettings::default(), clock.shared());
    let target: TargetName = "deals-1".parse().expect("a name");
    let mut number = 0;
    let watched = timed(ROUNDS, || {
        number += 1;
        black_box(watch.start(&target, RequestPrint(number)).is_ok());
        black_box(watch.finish(&target, RequestPrint(number), true));
    });
    row("poison watch", "target", watched);
    println!("{table}");
}

fn timed(rounds: u32, mut step: impl FnMut()) -> Duration {
    let start = Instant::now();
    for _ in 0..rounds {
        step();
    }
    start.elapsed()
}
