//! Poison requests are stopped, the innocent are not.

use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;

use model::{DaemonId, ErrorKind, FakeClock, IncarnationNumber, TargetName};
use quetzal_once::poison::{PoisonDetector, PoisonOutput, PoisonSettings};
use quetzal_once::{HolderId, RequestFingerprint};
use quickcheck::{Gen, QuickCheck};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const POISON: RequestFingerprint = RequestFingerprint(666);

fn target_name() -> TargetName {
    "deals-1".parse().expect("a sound name")
}

/// Watches beside the targets of one service, and watches of proxies elsewhere.
struct Fleet {
    clock: FakeClock,
    detectors: Vec<PoisonDetector>,
    beside: usize,
    told: usize,
}

impl Fleet {
    fn new(size: u64) -> Self {
        Self::with_proxies(size, 0)
    }

    fn with_proxies(beside: u64, proxies: u64) -> Self {
        let clock = FakeClock::new();
        let detector = |daemon| {
            let me = HolderId::new(DaemonId(daemon), IncarnationNumber(1));
            PoisonDetector::new(me, PoisonSettings::default(), clock.shared())
        };
        Self {
            detectors: (0..beside + proxies).map(detector).collect(),
            beside: beside as usize,
            told: 0,
            clock,
        }
    }

    fn crash(&mut self, at: usize) {
        let outputs = self.detectors[at].on_target_crashed(&target_name());
        self.tell(at, outputs);
    }

    fn finish(&mut self, at: usize, fingerprint: RequestFingerprint) {
        let output = self.detectors[at].finish(&target_name(), fingerprint, true);
        self.tell(at, output.into_iter().collect());
    }

    /// Carries out what a watch wants, with every message at its place at once.
    fn tell(&mut self, from: usize, outputs: Vec<PoisonOutput>) {
        for output in outputs {
            let PoisonOutput::Broadcast(message) = output else {
                continue;
            };
            let mut innocent = Vec::new();
            for index in (0..self.beside).filter(|index| *index != from) {
                self.told += 1;
                let outputs = self.detectors[index].on_message(&message);
                innocent.extend(outputs.into_iter().filter_map(innocent_of).flatten());
            }
            let cleared = self.detectors[from].on_cleared_reply(&innocent);
            self.tell(from, cleared.into_iter().collect());
        }
    }

    /// A proxy's attempt that crashes the target if it runs; returns what the target's
    /// daemon wants told, or why it did not run.
    fn attempt(&mut self, proxy: usize, at: usize) -> Result<Vec<PoisonOutput>, ErrorKind> {
        self.detectors[proxy]
            .check(POISON)
            .map_err(|error| error.kind)?;
        let head = self.detectors[proxy].report_for(POISON);
        self.detectors[at].on_report(&head);
        let started = self.detectors[at].start(&target_name(), POISON);
        let outputs = started.map(|()| self.detectors[at].on_target_crashed(&target_name()));
        let refusal = self.detectors[at].report_for(POISON);
        self.detectors[proxy].on_report(&refusal);
        outputs.map_err(|error| error.kind)
    }

    fn kind(&mut self, at: usize, fingerprint: RequestFingerprint) -> Option<ErrorKind> {
        self.detectors[at]
            .start(&target_name(), fingerprint)
            .err()
            .map(|error| error.kind)
    }

    /// The poison request crashes the first two targets.
    fn crash_two(&mut self) {
        for target in 0..2 {
            assert_eq!(self.kind(target, POISON), None);
            self.crash(target);
        }
    }

    fn is_stopped(&self, fingerprint: RequestFingerprint) -> bool {
        self.detectors
            .iter()
            .all(|detector| detector.check(fingerprint).is_err())
    }
}

fn innocent_of(output: PoisonOutput) -> Option<Vec<RequestFingerprint>> {
    match output {
        PoisonOutput::ReplyCleared(fingerprints) => Some(fingerprints),
        PoisonOutput::Broadcast(_) | PoisonOutput::Stopped(_) => None,
    }
}

#[test]
fn request_is_stopped_after_two_targets() {
    let mut fleet = Fleet::new(4);
    fleet.crash_two();
    for target in 0..4 {
        assert_eq!(fleet.kind(target, POISON), Some(ErrorKind::PoisonRequest));
    }
    fleet.clock.advance(PoisonSettings::default().retention);
    assert_eq!(fleet.kind(3, POISON), None);
}

#[test]
fn crash_of_one_target_suspects_nothing_at_its_neighbour() {
    let mut fleet = Fleet::new(2);
    let neighbour: TargetName = "studio-1".parse().expect("a sound name");
    let beside = RequestFingerprint(1);
    for _ in 0..2 {
        assert_eq!(fleet.kind(0, POISON), None);
        assert!(fleet.detectors[0].start(&neighbour, beside).is_ok());
        fleet.crash(0);
    }
    assert!(fleet.is_stopped(POISON));
    assert!(fleet.detectors[1].check(beside).is_ok());
}

#[test]
fn repeated_report_counts_once() {
    let mut fleet = Fleet::new(2);
    assert_eq!(fleet.kind(0, POISON), None);
    let outputs = fleet.detectors[0].on_target_crashed(&target_name());
    for _ in 0..3 {
        fleet.tell(0, outputs.clone());
    }
    assert!(fleet.detectors[1].check(POISON).is_ok());
}

#[test]
fn innocent_beside_a_poison_request_is_cleared() {
    let mut fleet = Fleet::new(4);
    let innocent = RequestFingerprint(1);
    for fingerprint in [POISON, innocent] {
        assert_eq!(fleet.kind(0, fingerprint), None);
    }
    fleet.crash(0);
    // Retried on one target, they do not run there together.
    assert_eq!(fleet.kind(1, POISON), None);
    assert_eq!(fleet.kind(1, innocent), Some(ErrorKind::QueueFull));
    assert_eq!(fleet.kind(2, innocent), None);
    fleet.crash(1);
    fleet.finish(2, innocent);
    assert!(fleet.is_stopped(POISON));
    assert_eq!(fleet.kind(3, innocent), None);
}

#[test]
fn request_that_runs_everywhere_all_the_time_is_no_suspect() {
    let mut fleet = Fleet::new(4);
    let popular = RequestFingerprint(1);
    for target in 0..4 {
        assert_eq!(fleet.kind(target, popular), None);
        fleet.finish(target, popular);
        assert_eq!(fleet.kind(target, popular), None);
    }
    fleet.crash_two();
    assert!(fleet.is_stopped(POISON));
    assert_eq!(fleet.kind(3, popular), None);
}

#[test]
fn memory_is_bounded_and_keeps_the_stopped() {
    let mut fleet = Fleet::new(2);
    fleet.crash_two();
    for fingerprint in 1000..6000 {
        assert_eq!(fleet.kind(0, RequestFingerprint(fingerprint)), None);
        fleet.crash(0);
    }
    let counts = fleet.detectors[0].counts();
    let most = PoisonSettings::default().max_requests;
    assert!(counts.suspects + counts.stopped <= most);
    assert!(fleet.is_stopped(POISON));
}

#[test]
fn lost_reports_do_not_let_one_proxy_reach_a_third_target() {
    let mut fleet = Fleet::with_proxies(4, 1);
    for at in 0..2 {
        drop(fleet.attempt(4, at).expect("it runs"));
    }
    assert_eq!(fleet.attempt(4, 2), Err(ErrorKind::PoisonRequest));
    // The proxy knew both crashes before the second target's daemon told anybody.
    assert!(fleet.detectors[1].check(POISON).is_err());
    assert!(fleet.detectors[4].check(POISON).is_err());
}

#[test]
fn two_proxies_one_after_another_crash_two_targets() {
    let mut fleet = Fleet::with_proxies(4, 3);
    for (proxy, at) in [(4, 0), (5, 1)] {
        let outputs = fleet.attempt(proxy, at).expect("it runs");
        fleet.tell(at, outputs);
    }
    for (proxy, at) in [(4, 2), (5, 3), (6, 2)] {
        assert_eq!(fleet.attempt(proxy, at), Err(ErrorKind::PoisonRequest));
        // The refusal taught the proxy, which now refuses by itself.
        assert!(fleet.detectors[proxy].check(POISON).is_err());
    }
}

#[test]
fn head_of_a_repeated_attempt_replaces_a_lost_report() {
    let mut fleet = Fleet::with_proxies(4, 2);
    drop(fleet.attempt(4, 0).expect("it runs"));
    let outputs = fleet.attempt(5, 1).expect("it runs");
    fleet.tell(1, outputs);
    assert_eq!(fleet.attempt(4, 2), Err(ErrorKind::PoisonRequest));
}

#[test]
fn proxies_without_any_report_crash_two_targets_each() {
    let mut fleet = Fleet::with_proxies(8, 2);
    for (proxy, first) in [(8, 0), (9, 4)] {
        let ran = (first..first + 4).filter(|at| fleet.attempt(proxy, *at).is_ok());
        assert_eq!(ran.count(), 2);
    }
}

#[test]
fn late_report_counts_as_the_crash_that_it_tells() {
    let mut fleet = Fleet::with_proxies(4, 2);
    let late = fleet.attempt(4, 0).expect("it runs");
    let outputs = fleet.attempt(5, 1).expect("it runs");
    fleet.tell(1, outputs);
    assert!(fleet.detectors[2].check(POISON).is_ok());
    fleet.tell(0, late.clone());
    fleet.tell(0, late);
    assert!((0..4).all(|beside| fleet.detectors[beside].check(POISON).is_err()));
}

#[test]
fn copies_in_flight_are_the_bound_of_what_crashes() {
    let mut fleet = Fleet::new(8);
    let copies = 5;
    for at in 0..copies {
        assert_eq!(fleet.kind(at, POISON), None);
    }
    for at in 0..copies {
        fleet.crash(at);
    }
    assert!(fleet.is_stopped(POISON));
    assert!((0..8).all(|at| fleet.kind(at, POISON).is_some()));
}

#[test]
fn target_restarted_at_once_shows_its_crash_by_its_next_run() {
    let mut fleet = Fleet::new(3);
    for at in 0..2 {
        assert_eq!(fleet.kind(at, POISON), None);
        assert_eq!(fleet.detectors[at].on_broken(&target_name(), POISON), None);
        fleet.clock.advance(Duration::from_secs(1));
        // What runs at the new run already has no part in it.
        let fresh = RequestFingerprint(1 + at as u128);
        assert_eq!(fleet.kind(at, fresh), None);
        let outputs = fleet.detectors[at].on_target_restarted(&target_name());
        fleet.tell(at, outputs);
        assert!(fleet.detectors[2].report_for(fresh).is_empty());
    }
    assert!(fleet.is_stopped(POISON));
}

#[test]
fn broken_connection_blames_nobody_while_the_target_lives() {
    let mut fleet = Fleet::new(2);
    let unlucky = RequestFingerprint(1);
    for at in 0..2 {
        assert_eq!(fleet.kind(at, unlucky), None);
        assert_eq!(fleet.detectors[at].on_broken(&target_name(), unlucky), None);
        fleet.clock.advance(Duration::from_secs(60));
        assert_eq!(
            fleet.detectors[at].on_target_restarted(&target_name()),
            Vec::new()
        );
        fleet.crash(at);
    }
    assert!(fleet.detectors[0].report_for(unlucky).is_empty());
}

#[test]
fn one_crash_found_by_many_looks_is_one() {
    let mut fleet = Fleet::new(2);
    let fingerprints = [POISON, RequestFingerprint(1), RequestFingerprint(2)];
    for fingerprint in fingerprints {
        assert_eq!(fleet.kind(0, fingerprint), None);
    }
    for fingerprint in &fingerprints[..2] {
        assert_eq!(
            fleet.detectors[0].on_broken(&target_name(), *fingerprint),
            None
        );
    }
    let late = RequestFingerprint(3);
    let outputs = fleet.detectors[0].on_crash_found(&target_name(), POISON);
    fleet.tell(0, outputs);
    // A connection of the dying listener breaks too, and adds a suspect but no crash.
    assert_eq!(fleet.kind(0, late), None);
    let outputs = fleet.detectors[0].on_broken(&target_name(), late);
    fleet.tell(0, outputs.expect("a crash explains it"));
    let again = fleet.detectors[0].on_broken(&target_name(), fingerprints[2]);
    assert_eq!(again, Some(Vec::new()));
    for fingerprint in fingerprints {
        assert_eq!(
            fleet.detectors[0].on_crash_found(&target_name(), fingerprint),
            Vec::new()
        );
        assert!(fleet.detectors[1].check(fingerprint).is_ok());
    }
    let crash_of = |fingerprint| {
        fleet.detectors[1].report_for(fingerprint).records[0]
            .crashes
            .clone()
    };
    assert_eq!(crash_of(late), crash_of(POISON));
}

#[test]
fn break_that_is_seen_after_the_next_run_counts_all_the_same() {
    let mut fleet = Fleet::new(3);
    for at in 0..2 {
        assert_eq!(fleet.kind(at, POISON), None);
        let outputs = fleet.detectors[at].on_target_restarted(&target_name());
        assert_eq!(outputs, Vec::new());
        let late = Duration::from_millis(if at == 0 { 50 } else { 500 });
        fleet.clock.advance(late);
        let outputs = fleet.detectors[at].on_broken(&target_name(), POISON);
        let found = || fleet.detectors[at].on_restart_found(&target_name(), POISON);
        let outputs = outputs.unwrap_or_else(found);
        fleet.tell(at, outputs);
    }
    assert!(fleet.is_stopped(POISON));
}

#[test]
fn innocent_is_not_blamed_by_what_its_own_proxy_knows() {
    let mut fleet = Fleet::with_proxies(4, 1);
    let innocent = RequestFingerprint(1);
    for fingerprint in [POISON, innocent] {
        assert_eq!(fleet.kind(0, fingerprint), None);
    }
    // The report is lost; only the innocent's proxy hears of the crash.
    fleet.detectors[0].on_target_crashed(&target_name());
    let refusal = fleet.detectors[0].report_for(innocent);
    fleet.detectors[4].on_report(&refusal);
    let head = fleet.detectors[4].report_for(innocent);
    fleet.detectors[1].on_report(&head);
    assert_eq!(fleet.kind(1, innocent), None);
    // The other suspect came along, so the two do not run together.
    assert_eq!(fleet.kind(1, POISON), Some(ErrorKind::QueueFull));
}

#[test]
fn news_that_go_round_do_not_prolong_the_memory() {
    let mut fleet = Fleet::with_proxies(2, 1);
    for at in 0..2 {
        let outputs = fleet.attempt(2, at).expect("it runs");
        fleet.tell(at, outputs);
    }
    let half = PoisonSettings::default().retention / 2;
    for _ in 0..2 {
        fleet.clock.advance(half);
        for (from, to) in [(0, 1), (1, 2), (2, 0)] {
            let news = fleet.detectors[from].report_for(POISON);
            fleet.detectors[to].on_report(&news);
        }
    }
    assert!(
        fleet
            .detectors
            .iter()
            .all(|detector| detector.check(POISON).is_ok())
    );
}

#[test]
fn messages_of_a_crash_follow_the_service_and_not_the_fleet() {
    let (beside, popular) = (20, RequestFingerprint(1));
    let mut fleet = Fleet::with_proxies(beside, 700);
    for at in 1..beside as usize {
        assert_eq!(fleet.kind(at, popular), None);
        fleet.finish(at, popular);
    }
    let others = beside as usize - 1;
    for fingerprint in [POISON, popular] {
        assert_eq!(fleet.kind(0, fingerprint), None);
    }
    fleet.crash(0);
    // One report to each, and one message that clears the request which all know well.
    assert_eq!(fleet.told, 2 * others);
    assert_eq!(fleet.kind(1, POISON), None);
    fleet.crash(1);
    assert_eq!(fleet.told, 3 * others);
    let proxy = 719;
    assert_eq!(fleet.attempt(proxy, 5), Err(ErrorKind::PoisonRequest));
    assert_eq!(fleet.told, 3 * others);
}

#[test]
fn session_of_a_poison_request() {
    let (poison, upload, listing) = (
        RequestFingerprint(0xbad),
        RequestFingerprint(0x5afe),
        RequestFingerprint(0x115),
    );
    let mut fleet = Fleet::new(4);
    let mut text = String::new();
    let mut start = |fleet: &mut Fleet, target: usize, fingerprint: RequestFingerprint| {
        let started = fleet.detectors[target].start(&target_name(), fingerprint);
        let said = started.map_or_else(|error| error.to_string(), |()| "runs".to_owned());
        writeln!(text, "target {target}: request {:x} {said}", fingerprint.0).expect("text grows");
    };
    start(&mut fleet, 0, listing);
    fleet.finish(0, listing);
    for fingerprint in [listing, upload, poison] {
        start(&mut fleet, 0, fingerprint);
    }
    fleet.crash(0);
    start(&mut fleet, 1, poison);
    start(&mut fleet, 1, upload);
    start(&mut fleet, 2, upload);
    fleet.crash(1);
    for target in 0..4 {
        start(&mut fleet, target, poison);
    }
    start(&mut fleet, 3, listing);
    fleet.clock.advance(PoisonSettings::default().retention);
    start(&mut fleet, 3, poison);
    insta::assert_snapshot!(text);
}

/// Targets with several requests in flight; one request kills, the others end well.
fn crashes_of_a_mixed_load(seed: u64) -> (u32, Vec<RequestFingerprint>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(8);
    let mut requests: HashMap<usize, Vec<RequestFingerprint>> = HashMap::new();
    let mut crashes = 0;
    let mut fresh = 1000;
    for round in 0..600 {
        let target = rng.random_range(0..8);
        // Few requests are sent everywhere; most are sent once.
        let fingerprint = match rng.random_range(0..10) {
            0 if round > 50 => POISON,
            1..=4 => RequestFingerprint(rng.random_range(1..6)),
            _ => {
                fresh += 1;
                RequestFingerprint(fresh)
            }
        };
        let held = requests.entry(target).or_default();
        if fleet.kind(target, fingerprint).is_none() {
            held.push(fingerprint);
        }
        if held.contains(&POISON) && rng.random_range(0..3) == 0 {
            held.clear();
            crashes += 1;
            fleet.crash(target);
        } else if held.len() > 6 {
            let index = rng.random_range(0..held.len());
            if held[index] != POISON {
                let done = held.swap_remove(index);
                fleet.finish(target, done);
            }
        }
    }
    fleet.clock.advance(PoisonSettings::default().doubt_period);
    let blamed = (1..=fresh).map(RequestFingerprint);
    let blamed =
        blamed.filter(|fingerprint| *fingerprint != POISON && fleet.is_stopped(*fingerprint));
    (crashes, blamed.collect())
}

#[test]
fn nobody_but_the_poison_request_is_blamed() {
    fn holds(seed: u64) -> bool {
        let (crashes, blamed) = crashes_of_a_mixed_load(seed);
        crashes >= 2 && blamed.is_empty()
    }
    QuickCheck::new()
        .tests(200)
        .rng(Gen::from_size_and_seed(100, 6))
        .quickcheck(holds as fn(u64) -> bool);
}
