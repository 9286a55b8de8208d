//! Tests of poison detection: poison requests are stopped, requests beside them are not.

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
    "deals-1".parse().expect("a valid name")
}

/// Detectors beside the targets of one service, followed by the detectors of proxies.
struct DetectorFleet {
    clock: FakeClock,
    detectors: Vec<PoisonDetector>,
    target_count: usize,
    messages_sent: usize,
}

impl DetectorFleet {
    fn new(size: u64) -> Self {
        Self::with_proxies(size, 0)
    }

    fn with_proxies(targets: u64, proxies: u64) -> Self {
        let clock = FakeClock::new();
        let detector = |daemon| {
            let me = HolderId::new(DaemonId(daemon), IncarnationNumber(1));
            PoisonDetector::new(me, PoisonSettings::default(), clock.shared())
        };
        Self {
            detectors: (0..targets + proxies).map(detector).collect(),
            target_count: targets as usize,
            messages_sent: 0,
            clock,
        }
    }

    fn crash(&mut self, at: usize) {
        let outputs = self.detectors[at].on_target_crashed(&target_name());
        self.carry_out(at, outputs);
    }

    fn finish(&mut self, at: usize, fingerprint: RequestFingerprint) {
        let output = self.detectors[at].finish(&target_name(), fingerprint, true);
        self.carry_out(at, output.into_iter().collect());
    }

    /// Carries out the outputs of a detector; messages arrive at once.
    fn carry_out(&mut self, from: usize, outputs: Vec<PoisonOutput>) {
        for output in outputs {
            let PoisonOutput::Broadcast(message) = output else {
                continue;
            };
            let mut harmless = Vec::new();
            for index in (0..self.target_count).filter(|index| *index != from) {
                self.messages_sent += 1;
                let outputs = self.detectors[index].on_message(&message);
                harmless.extend(outputs.into_iter().filter_map(cleared_by_reply).flatten());
            }
            let cleared = self.detectors[from].on_cleared_reply(&harmless);
            self.carry_out(from, cleared.into_iter().collect());
        }
    }

    /// Makes an attempt through a proxy that crashes the target if it runs; returns the
    /// outputs of the target's daemon, or why the request did not run.
    fn attempt(&mut self, proxy: usize, at: usize) -> Result<Vec<PoisonOutput>, ErrorKind> {
        self.detectors[proxy]
            .check(POISON)
            .map_err(|error| error.kind)?;
        let attempt_report = self.detectors[proxy].report_for(POISON);
        self.detectors[at].on_report(&attempt_report);
        let started = self.detectors[at].start(&target_name(), POISON);
        let outputs = started.map(|()| self.detectors[at].on_target_crashed(&target_name()));
        let refusal_report = self.detectors[at].report_for(POISON);
        self.detectors[proxy].on_report(&refusal_report);
        outputs.map_err(|error| error.kind)
    }

    /// Starts a request; returns why it was refused, if it was.
    fn start_error(&mut self, at: usize, fingerprint: RequestFingerprint) -> Option<ErrorKind> {
        self.detectors[at]
            .start(&target_name(), fingerprint)
            .err()
            .map(|error| error.kind)
    }

    /// Crashes the first two targets with the poison request.
    fn crash_two(&mut self) {
        for target in 0..2 {
            assert_eq!(self.start_error(target, POISON), None);
            self.crash(target);
        }
    }

    fn is_stopped(&self, fingerprint: RequestFingerprint) -> bool {
        self.detectors
            .iter()
            .all(|detector| detector.check(fingerprint).is_err())
    }
}

fn cleared_by_reply(output: PoisonOutput) -> Option<Vec<RequestFingerprint>> {
    match output {
        PoisonOutput::ReplyCleared(fingerprints) => Some(fingerprints),
        PoisonOutput::Broadcast(_) | PoisonOutput::Stopped(_) => None,
    }
}

#[test]
fn request_is_stopped_after_two_targets() {
    let mut fleet = DetectorFleet::new(4);
    fleet.crash_two();
    for target in 0..4 {
        assert_eq!(
            fleet.start_error(target, POISON),
            Some(ErrorKind::PoisonRequest)
        );
    }
    fleet.clock.advance(PoisonSettings::default().retention);
    assert_eq!(fleet.start_error(3, POISON), None);
}

#[test]
fn crash_of_one_target_suspects_no_request_at_its_neighbour() {
    let mut fleet = DetectorFleet::new(2);
    let neighbour: TargetName = "studio-1".parse().expect("a valid name");
    let unrelated = RequestFingerprint(1);
    for _ in 0..2 {
        assert_eq!(fleet.start_error(0, POISON), None);
        assert!(fleet.detectors[0].start(&neighbour, unrelated).is_ok());
        fleet.crash(0);
    }
    assert!(fleet.is_stopped(POISON));
    assert!(fleet.detectors[1].check(unrelated).is_ok());
}

// Guards against a daemon that knows nothing of a stopped request since it started after the crashes.
#[test]
fn daemon_that_starts_after_the_crashes_learns_of_all_stopped_requests() {
    let mut fleet = DetectorFleet::new(2);
    let prints: Vec<_> = (0..100).map(RequestFingerprint).collect();
    for fingerprint in &prints {
        for _ in 0..2 {
            fleet.detectors[0]
                .start(&target_name(), *fingerprint)
                .expect("not stopped yet");
            fleet.crash(0);
        }
    }
    let me = HolderId::new(DaemonId(9), IncarnationNumber(2));
    let mut started = PoisonDetector::new(me, PoisonSettings::default(), fleet.clock.shared());
    assert!(!started.has_suspects());
    for report in fleet.detectors[1].all_reports() {
        started.on_report(&report);
    }
    for fingerprint in &prints {
        let error = started.check(*fingerprint).expect_err("stopped");
        assert_eq!(error.kind, ErrorKind::PoisonRequest);
    }
    fleet.clock.advance(PoisonSettings::default().retention);
    assert!(fleet.detectors[1].all_reports().is_empty());
}

#[test]
fn repeated_report_counts_once() {
    let mut fleet = DetectorFleet::new(2);
    assert_eq!(fleet.start_error(0, POISON), None);
    let outputs = fleet.detectors[0].on_target_crashed(&target_name());
    for _ in 0..3 {
        fleet.carry_out(0, outputs.clone());
    }
    assert!(fleet.detectors[1].check(POISON).is_ok());
}

#[test]
fn harmless_request_beside_a_poison_request_is_cleared() {
    let mut fleet = DetectorFleet::new(4);
    let harmless = RequestFingerprint(1);
    for fingerprint in [POISON, harmless] {
        assert_eq!(fleet.start_error(0, fingerprint), None);
    }
    fleet.crash(0);
    // Retried on the same target, they do not run there together.
    assert_eq!(fleet.start_error(1, POISON), None);
    assert_eq!(fleet.start_error(1, harmless), Some(ErrorKind::QueueFull));
    assert_eq!(fleet.start_error(2, harmless), None);
    fleet.crash(1);
    fleet.finish(2, harmless);
    assert!(fleet.is_stopped(POISON));
    assert_eq!(fleet.start_error(3, harmless), None);
}

#[test]
fn request_that_completes_on_every_target_is_no_suspect() {
    let mut fleet = DetectorFleet::new(4);
    let popular = RequestFingerprint(1);
    for target in 0..4 {
        assert_eq!(fleet.start_error(target, popular), None);
        fleet.finish(target, popular);
        assert_eq!(fleet.start_error(target, popular), None);
    }
    fleet.crash_two();
    assert!(fleet.is_stopped(POISON));
    assert_eq!(fleet.start_error(3, popular), None);
}

#[test]
fn remembered_requests_are_bounded_and_stopped_ones_are_kept() {
    let mut fleet = DetectorFleet::new(2);
    fleet.crash_two();
    for fingerprint in 1000..6000 {
        assert_eq!(fleet.start_error(0, RequestFingerprint(fingerprint)), None);
        fleet.crash(0);
    }
    let counts = fleet.detectors[0].counts();
    let most = PoisonSettings::default().max_requests;
    assert!(counts.suspects + counts.stopped <= most);
    assert!(fleet.is_stopped(POISON));
}

#[test]
fn lost_reports_do_not_let_one_proxy_reach_a_third_target() {
    let mut fleet = DetectorFleet::with_proxies(4, 1);
    for at in 0..2 {
        drop(fleet.attempt(4, at).expect("it runs"));
    }
    assert_eq!(fleet.attempt(4, 2), Err(ErrorKind::PoisonRequest));
    // The proxy and the second target's daemon know both crashes although no report was broadcast.
    assert!(fleet.detectors[1].check(POISON).is_err());
    assert!(fleet.detectors[4].check(POISON).is_err());
}

#[test]
fn two_proxies_one_after_another_crash_two_targets() {
    let mut fleet = DetectorFleet::with_proxies(4, 3);
    for (proxy, at) in [(4, 0), (5, 1)] {
        let outputs = fleet.attempt(proxy, at).expect("it runs");
        fleet.carry_out(at, outputs);
    }
    for (proxy, at) in [(4, 2), (5, 3), (6, 2)] {
        assert_eq!(fleet.attempt(proxy, at), Err(ErrorKind::PoisonRequest));
        // The refusal carried a report, so the proxy now refuses by itself.
        assert!(fleet.detectors[proxy].check(POISON).is_err());
    }
}

#[test]
fn report_with_a_repeated_attempt_replaces_a_lost_broadcast() {
    let mut fleet = DetectorFleet::with_proxies(4, 2);
    drop(fleet.attempt(4, 0).expect("it runs"));
    let outputs = fleet.attempt(5, 1).expect("it runs");
    fleet.carry_out(1, outputs);
    assert_eq!(fleet.attempt(4, 2), Err(ErrorKind::PoisonRequest));
}

#[test]
fn proxies_without_any_report_crash_two_targets_each() {
    let mut fleet = DetectorFleet::with_proxies(8, 2);
    for (proxy, first) in [(8, 0), (9, 4)] {
        let ran = (first..first + 4).filter(|at| fleet.attempt(proxy, *at).is_ok());
        assert_eq!(ran.count(), 2);
    }
}

#[test]
fn late_report_counts_for_the_crash_that_it_reports() {
    let mut fleet = DetectorFleet::with_proxies(4, 2);
    let late = fleet.attempt(4, 0).expect("it runs");
    let outputs = fleet.attempt(5, 1).expect("it runs");
    fleet.carry_out(1, outputs);
    assert!(fleet.detectors[2].check(POISON).is_ok());
    fleet.carry_out(0, late.clone());
    fleet.carry_out(0, late);
    assert!((0..4).all(|at| fleet.detectors[at].check(POISON).is_err()));
}

#[test]
fn crashes_are_bounded_by_the_copies_in_flight() {
    let mut fleet = DetectorFleet::new(8);
    let copies = 5;
    for at in 0..copies {
        assert_eq!(fleet.start_error(at, POISON), None);
    }
    for at in 0..copies {
        fleet.crash(at);
    }
    assert!(fleet.is_stopped(POISON));
    assert!((0..8).all(|at| fleet.start_error(at, POISON).is_some()));
}

#[test]
fn crash_of_a_target_restarted_at_once_is_found_by_its_next_run() {
    let mut fleet = DetectorFleet::new(3);
    for at in 0..2 {
        assert_eq!(fleet.start_error(at, POISON), None);
        assert_eq!(fleet.detectors[at].on_broken(&target_name(), POISON), None);
        fleet.clock.advance(Duration::from_secs(1));
        // A request that already runs at the restarted target is no suspect.
        let fresh = RequestFingerprint(1 + at as u128);
        assert_eq!(fleet.start_error(at, fresh), None);
        let outputs = fleet.detectors[at].on_target_restarted(&target_name());
        fleet.carry_out(at, outputs);
        assert!(fleet.detectors[2].report_for(fresh).is_empty());
    }
    assert!(fleet.is_stopped(POISON));
}

#[test]
fn broken_connection_suspects_no_request_while_the_target_lives() {
    let mut fleet = DetectorFleet::new(2);
    let unlucky = RequestFingerprint(1);
    for at in 0..2 {
        assert_eq!(fleet.start_error(at, unlucky), None);
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
fn crash_found_by_several_checks_counts_once() {
    let mut fleet = DetectorFleet::new(2);
    let fingerprints = [POISON, RequestFingerprint(1), RequestFingerprint(2)];
    for fingerprint in fingerprints {
        assert_eq!(fleet.start_error(0, fingerprint), None);
    }
    for fingerprint in &fingerprints[..2] {
        assert_eq!(
            fleet.detectors[0].on_broken(&target_name(), *fingerprint),
            None
        );
    }
    let late = RequestFingerprint(3);
    let outputs = fleet.detectors[0].on_crash_found(&target_name(), POISON);
    fleet.carry_out(0, outputs);
    // A connection that breaks shortly after the crash adds a suspect but no crash.
    assert_eq!(fleet.start_error(0, late), None);
    let outputs = fleet.detectors[0].on_broken(&target_name(), late);
    fleet.carry_out(0, outputs.expect("a crash explains it"));
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
fn break_that_is_seen_after_the_restart_still_counts() {
    let mut fleet = DetectorFleet::new(3);
    for at in 0..2 {
        assert_eq!(fleet.start_error(at, POISON), None);
        let outputs = fleet.detectors[at].on_target_restarted(&target_name());
        assert_eq!(outputs, Vec::new());
        let late = Duration::from_millis(if at == 0 { 50 } else { 500 });
        fleet.clock.advance(late);
        let outputs = fleet.detectors[at].on_broken(&target_name(), POISON);
        let found = || fleet.detectors[at].on_restart_found(&target_name(), POISON);
        let outputs = outputs.unwrap_or_else(found);
        fleet.carry_out(at, outputs);
    }
    assert!(fleet.is_stopped(POISON));
}

#[test]
fn harmless_request_is_not_stopped_by_its_own_proxys_report() {
    let mut fleet = DetectorFleet::with_proxies(4, 1);
    let harmless = RequestFingerprint(1);
    for fingerprint in [POISON, harmless] {
        assert_eq!(fleet.start_error(0, fingerprint), None);
    }
    // The report is lost; only the proxy of the harmless request learns of the crash.
    fleet.detectors[0].on_target_crashed(&target_name());
    let refusal_report = fleet.detectors[0].report_for(harmless);
    fleet.detectors[4].on_report(&refusal_report);
    let attempt_report = fleet.detectors[4].report_for(harmless);
    fleet.detectors[1].on_report(&attempt_report);
    assert_eq!(fleet.start_error(1, harmless), None);
    // The report included the other suspect, so the two do not run together.
    assert_eq!(fleet.start_error(1, POISON), Some(ErrorKind::QueueFull));
}

#[test]
fn circulating_reports_do_not_extend_the_retention() {
    let mut fleet = DetectorFleet::with_proxies(2, 1);
    for at in 0..2 {
        let outputs = fleet.attempt(2, at).expect("it runs");
        fleet.carry_out(at, outputs);
    }
    let half = PoisonSettings::default().retention / 2;
    for _ in 0..2 {
        fleet.clock.advance(half);
        for (from, to) in [(0, 1), (1, 2), (2, 0)] {
            let report = fleet.detectors[from].report_for(POISON);
            fleet.detectors[to].on_report(&report);
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
fn messages_of_a_crash_depend_on_the_service_and_not_the_fleet() {
    let (targets, popular) = (20, RequestFingerprint(1));
    let mut fleet = DetectorFleet::with_proxies(targets, 700);
    for at in 1..targets as usize {
        assert_eq!(fleet.start_error(at, popular), None);
        fleet.finish(at, popular);
    }
    let others = targets as usize - 1;
    for fingerprint in [POISON, popular] {
        assert_eq!(fleet.start_error(0, fingerprint), None);
    }
    fleet.crash(0);
    // One report to each, and one message to each that clears the popular request.
    assert_eq!(fleet.messages_sent, 2 * others);
    assert_eq!(fleet.start_error(1, POISON), None);
    fleet.crash(1);
    assert_eq!(fleet.messages_sent, 3 * others);
    let proxy = 719;
    assert_eq!(fleet.attempt(proxy, 5), Err(ErrorKind::PoisonRequest));
    assert_eq!(fleet.messages_sent, 3 * others);
}

#[test]
fn session_of_a_poison_request() {
    let (poison, upload, listing) = (
        RequestFingerprint(0xbad),
        RequestFingerprint(0x5afe),
        RequestFingerprint(0x115),
    );
    let mut fleet = DetectorFleet::new(4);
    let mut text = String::new();
    let mut start = |fleet: &mut DetectorFleet, target: usize, fingerprint: RequestFingerprint| {
        let started = fleet.detectors[target].start(&target_name(), fingerprint);
        let result = started.map_or_else(|error| error.to_string(), |()| "runs".to_owned());
        writeln!(
            text,
            "target {target}: request {:x} {result}",
            fingerprint.0
        )
        .expect("writing to a string succeeds");
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

/// Runs targets with several requests in flight, of which only `POISON` crashes them.
///
/// Returns the number of crashes and the other requests that were stopped.
fn run_mixed_load(seed: u64) -> (u32, Vec<RequestFingerprint>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet = DetectorFleet::new(8);
    let mut requests: HashMap<usize, Vec<RequestFingerprint>> = HashMap::new();
    let mut crashes = 0;
    let mut fresh = 1000;
    for round in 0..600 {
        let target = rng.random_range(0..8);
        // A few requests are sent to all targets; most are sent once.
        let fingerprint = match rng.random_range(0..10) {
            0 if round > 50 => POISON,
            1..=4 => RequestFingerprint(rng.random_range(1..6)),
            _ => {
                fresh += 1;
                RequestFingerprint(fresh)
            }
        };
        let running = requests.entry(target).or_default();
        if fleet.start_error(target, fingerprint).is_none() {
            running.push(fingerprint);
        }
        if running.contains(&POISON) && rng.random_range(0..3) == 0 {
            running.clear();
            crashes += 1;
            fleet.crash(target);
        } else if running.len() > 6 {
            let index = rng.random_range(0..running.len());
            if running[index] != POISON {
                let done = running.swap_remove(index);
                fleet.finish(target, done);
            }
        }
    }
    fleet.clock.advance(PoisonSettings::default().doubt_period);
    let stopped = (1..=fresh).map(RequestFingerprint);
    let stopped =
        stopped.filter(|fingerprint| *fingerprint != POISON && fleet.is_stopped(*fingerprint));
    (crashes, stopped.collect())
}

#[test]
fn only_the_poison_request_is_stopped() {
    fn holds(seed: u64) -> bool {
        let (crashes, stopped) = run_mixed_load(seed);
        crashes >= 2 && stopped.is_empty()
    }
    QuickCheck::new()
        .tests(200)
        .rng(Gen::from_size_and_seed(100, 6))
        .quickcheck(holds as fn(u64) -> bool);
}
