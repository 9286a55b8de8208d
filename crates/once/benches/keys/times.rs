//! Processor time of the steps that every call takes.

use std::hint::black_box;
use std::time::{Duration, Instant};

use comfy_table::Table;
use model::{ClockPort, CustomerName, TargetName};
use quetzal_once::permit::PermitSettings;
use quetzal_once::poison::PoisonSettings;
use quetzal_once::{
    CallKey, DispatchCredentials, KeyCall, KeyDigest, PermitIssuer, PermitPool, PoisonDetector,
    PrintHasher, RequestFingerprint,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::homes::{full_home, run_call, timed_call};
use crate::permits::real_holder;

/// Prints the processor time of the steps that every call takes.
pub fn print_times() {
    const ROUNDS: u32 = 50_000;
    let (mut home, clock) = full_home(10);
    let mut rng = SmallRng::seed_from_u64(4);
    let key: CallKey = "01890a5d-ac96-774b-bcce-b302099a8057"
        .parse()
        .expect("a valid key");
    let customer: CustomerName = "agency".parse().expect("a valid name");
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
    let fingerprints = timed(ROUNDS, || {
        let mut hasher = PrintHasher::new(&customer, "POST", "/payouts", Some(1024));
        hasher.update(black_box(&body));
        black_box(hasher.finish());
    });
    row("fingerprint of 1 KiB", "proxy", fingerprints);
    let held = home.counts().keys;
    let calls: Vec<KeyCall> = (0..ROUNDS)
        .filter_map(|_| {
            let call = timed_call(&clock, &mut rng);
            // One of ten homes holds the first 7 of the 64 ranges.
            (usize::from(call.digest.range().0) < 7).then_some(call)
        })
        .collect();
    let start = Instant::now();
    for call in &calls {
        run_call(&mut home, call);
    }
    // `row` divides by `ROUNDS`, but only the calls of the home's ranges ran.
    row(
        &format!("begin and settle, {held} keys held"),
        "home",
        start.elapsed() * (ROUNDS / calls.len() as u32),
    );
    let target = real_holder(2);
    let mut issuer = PermitIssuer::new(target, PermitSettings::default(), clock.shared());
    let mut pool = PermitPool::new(real_holder(1), clock.shared());
    let permits = timed(ROUNDS, || {
        if let Some(request) = pool.refill_request(target.daemon) {
            let grant = issuer.grant(&request);
            pool.on_grant(&grant, clock.now());
        }
        let permit = pool.take(target.daemon);
        let credentials = DispatchCredentials {
            permit,
            home: real_holder(1),
            term: None,
        };
        black_box(issuer.redeem(&credentials).is_ok());
        if let Some(permit) = permit {
            pool.on_answered(permit, clock.now());
        }
    });
    row(
        "permit taken, redeemed and renewed",
        "home and target",
        permits,
    );
    let mut detector = PoisonDetector::new(target, PoisonSettings::default(), clock.shared());
    let name: TargetName = "deals-1".parse().expect("a valid name");
    let mut number = 0;
    let detections = timed(ROUNDS, || {
        number += 1;
        black_box(detector.start(&name, RequestFingerprint(number)).is_ok());
        black_box(detector.finish(&name, RequestFingerprint(number), true));
    });
    row("poison detection", "target", detections);
    println!("{table}");
}

fn timed(rounds: u32, mut step: impl FnMut()) -> Duration {
    let start = Instant::now();
    for _ in 0..rounds {
        step();
    }
    start.elapsed()
}
