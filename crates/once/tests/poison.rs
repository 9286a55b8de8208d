//! Poison requests are stopped, the innocent are not.

use std::collections::HashMap;
use std::fmt::Write;

use model::{DaemonId, ErrorKind, FakeClock, IncarnationNumber, TargetName};
use quetzal_once::poison::{PoisonMessage, PoisonOutput, PoisonSettings, PoisonWatch};
use quetzal_once::{HolderId, RequestPrint};
use quickcheck::{Gen, QuickCheck};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const POISON: RequestPrint = RequestPrint(666);

fn target_name() -> TargetName {
    "deals-1".parse().expect("a sound name")
}

/// Watches that hear each other at once.
struct Fleet {
    clock: FakeClock,
    watches: Vec<PoisonWatch>,
}

impl Fleet {
    fn new(size: u64) -> Self {
        let clock = FakeClock::new();
        let watch = |daemon| {
            let me = HolderId::new(DaemonId(daemon), IncarnationNumber(1));
            PoisonWatch::new(me, PoisonSettings::default(), clock.shared())
        };
        Self {
            watches: (0..size).map(watch).collect(),
            clock,
        }
    }

    fn crash(&mut self, at: usize) {
        let outputs = self.watches[at].on_target_crashed(&target_name());
        self.tell(at, outputs);
    }

    fn finish(&mut self, at: usize, print: RequestPrint) {
        let output = self.watches[at].finish(&target_name(), print, true);
        self.tell(at, output.into_iter().collect());
    }

    fn tell(&mut self, from: usize, outputs: Vec<PoisonOutput>) {
        let mut told: Vec<(usize, PoisonMessage)> = messages(from, outputs);
        while let Some((from, message)) = told.pop() {
            for index in (0..self.watches.len()).filter(|index| *index != from) {
                let outputs = self.watches[index].on_message(&message);
                told.extend(messages(index, outputs));
            }
        }
    }

    fn kind(&mut self, at: usize, print: RequestPrint) -> Option<ErrorKind> {
        self.watches[at]
            .start(&target_name(), print)
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

    fn is_stopped(&self, print: RequestPrint) -> bool {
        self.watches.iter().all(|watch| watch.check(print).is_err())
    }
}

fn messages(from: usize, outputs: Vec<PoisonOutput>) -> Vec<(usize, PoisonMessage)> {
    let told = |output| match output {
        PoisonOutput::Tell(message) => Some((from, message)),
        PoisonOutput::Stopped(_) => None,
    };
    outputs.into_iter().filter_map(told).collect()
}

#[test]
fn request_is_stopped_after_two_targets() {
    let mut fleet = Fleet::new(4);
    fleet.crash_two();
    for target in 0..4 {
        assert_eq!(fleet.kind(target, POISON), Some(ErrorKind::PoisonRequest));
    }
    fleet.clock.advance(PoisonSettings::default().memory);
    assert_eq!(fleet.kind(3, POISON), None);
}

#[test]
fn crash_of_one_target_suspects_nothing_at_its_neighbour() {
    let mut fleet = Fleet::new(2);
    let neighbour: TargetName = "studio-1".parse().expect("a sound name");
    let beside = RequestPrint(1);
    for _ in 0..2 {
        assert_eq!(fleet.kind(0, POISON), None);
        assert!(fleet.watches[0].start(&neighbour, beside).is_ok());
        fleet.crash(0);
    }
    assert!(fleet.is_stopped(POISON));
    assert!(fleet.watches[1].check(beside).is_ok());
}

#[test]
fn repeated_report_counts_once() {
    let mut fleet = Fleet::new(2);
    assert_eq!(fleet.kind(0, POISON), None);
    let outputs = fleet.watches[0].on_target_crashed(&target_name());
    for _ in 0..3 {
        fleet.tell(0, outputs.clone());
    }
    assert!(fleet.watches[1].check(POISON).is_ok());
}

#[test]
fn innocent_beside_a_poison_request_is_cleared() {
    let mut fleet = Fleet::new(4);
    let innocent = RequestPrint(1);
    for print in [POISON, innocent] {
        assert_eq!(fleet.kind(0, print), None);
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
    let popular = RequestPrint(1);
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
    for print in 1000..6000 {
        assert_eq!(fleet.kind(0, RequestPrint(print)), None);
        fleet.crash(0);
    }
    let counts = fleet.watches[0].counts();
    let most = PoisonSettings::default().max_requests;
    assert!(counts.suspects + counts.stopped <= most);
    assert!(fleet.is_stopped(POISON));
}

#[test]
fn session_of_a_poison_request() {
    let (poison, upload, listing) = (
        RequestPrint(0xbad),
        RequestPrint(0x5afe),
        RequestPrint(0x115),
    );
    let mut fleet = Fleet::new(4);
    let mut text = String::new();
    let mut start = |fleet: &mut Fleet, target: usize, print: RequestPrint| {
        let started = fleet.watches[target].start(&target_name(), print);
        let said = started.map_or_else(|error| error.to_string(), |()| "runs".to_owned());
        writeln!(text, "target {target}: request {:x} {said}", print.0).expect("text grows");
    };
    start(&mut fleet, 0, listing);
    fleet.finish(0, listing);
    for print in [listing, upload, poison] {
        start(&mut fleet, 0, print);
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
    fleet.clock.advance(PoisonSettings::default().memory);
    start(&mut fleet, 3, poison);
    insta::assert_snapshot!(text);
}

/// Targets with several requests in flight; one request kills, the others end well.
fn crashes_of_a_mixed_load(seed: u64) -> (u32, Vec<RequestPrint>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(8);
    let mut flying: HashMap<usize, Vec<RequestPrint>> = HashMap::new();
    let mut crashes = 0;
    let mut fresh = 1000;
    for round in 0..600 {
        let target = rng.random_range(0..8);
        // Few requests are sent everywhere; most are sent once.
        let print = match rng.random_range(0..10) {
            0 if round > 50 => POISON,
            1..=4 => RequestPrint(rng.random_range(1..6)),
            _ => {
                fresh += 1;
                RequestPrint(fresh)
            }
        };
        let held = flying.entry(target).or_default();
        if fleet.kind(target, print).is_none() {
            held.push(print);
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
    fleet.clock.advance(PoisonSettings::default().doubt);
    let blamed = (1..=fresh).map(RequestPrint);
    let blamed = blamed.filter(|print| *print != POISON && fleet.is_stopped(*print));
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
