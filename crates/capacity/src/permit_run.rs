//! Dispatch permits between a key home and the daemons beside targets.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{ClockPort, DaemonId, FakeClock, IncarnationNumber};
use quetzal_once::permit::{PermitRequest, PermitSettings};
use quetzal_once::{DispatchPass, HolderId, PermitIssuer, PermitPurse};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::figure::CountedFigure;

const SEED: u64 = 64;
/// Calls with callers' own keys that one home dispatches in a second.
const RATE: u32 = 300;
const WARM: Duration = Duration::from_secs(10);
const SPAN: Duration = Duration::from_secs(60);
/// Bytes of a frame of `h2` besides its content.
const FRAME_BYTES: usize = 9;

/// Figures of a home whose calls go to `targets` targets.
pub fn run(targets: usize) -> Vec<CountedFigure> {
    let clock = FakeClock::new();
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut purse = PermitPurse::new(holder(1), clock.shared());
    let mut issuers: BTreeMap<DaemonId, PermitIssuer> = (0..targets as u64)
        .map(|target| {
            let me = holder(1000 + target);
            let issuer = PermitIssuer::new(me, PermitSettings::default(), clock.shared());
            (me.daemon, issuer)
        })
        .collect();
    let (mut calls, mut missed, mut bytes) = (0_u64, 0_u64, 0_usize);
    while clock.elapsed() < WARM + SPAN {
        clock.advance(Duration::from_secs(1) / RATE);
        let warm = clock.elapsed() > WARM;
        let target = DaemonId(1000 + rng.random_range(0..targets as u64));
        let issuer = issuers
            .get_mut(&target)
            .expect("every target has an issuer");
        let mut permit = purse.take(target);
        calls += u64::from(warm);
        missed += u64::from(warm && permit.is_none());
        if let Some(request) = purse.wants(target) {
            let fetched = fetch(&mut purse, issuer, &request, &clock);
            bytes += if warm { fetched } else { 0 };
            permit = permit.or_else(|| purse.take(target));
        }
        let pass = DispatchPass {
            permit,
            home: holder(1),
            term: None,
        };
        issuer.redeem(&pass).expect("a fresh permit is redeemed");
    }
    let missed = missed as f64 * 100.0 / calls as f64;
    let bytes = bytes as f64 / SPAN.as_secs_f64();
    vec![
        CountedFigure::new("key home", "permits fetched", "B/s", bytes),
        CountedFigure::new("key home", "calls that wait for a permit", "%", missed),
    ]
}

fn holder(daemon: u64) -> HolderId {
    HolderId::new(DaemonId(daemon), IncarnationNumber(1))
}

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
