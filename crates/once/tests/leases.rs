//! Tests of the lease table, the keeper and the placement of homes.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use feed::port::{LogRecord, ReadReply, RecordBatch};
use model::{ClockPort, DaemonId, FakeClock, IncarnationNumber, LogOffset};
use quetzal_once::HolderId;
use quetzal_once::lease::table::MAX_LEASE;
use quetzal_once::lease::{
    KeyRange, LeaseAction, LeaseKeeper, LeaseOutput, LeaseRecord, LeaseSettings, LeaseTable,
    LeaseView, LogStamp, RangeClaim, TermEpoch, TermRef, assign_ranges, pick_successor,
};
use quickcheck::{Gen, QuickCheck, quickcheck};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const RANGE: KeyRange = KeyRange(5);

fn holder(daemon: u64) -> HolderId {
    HolderId::new(DaemonId(daemon), IncarnationNumber(1))
}

fn entry(offset: u64, at_ms: u64, record: &LeaseRecord) -> LogRecord {
    LogRecord {
        offset: LogOffset(offset),
        at: SystemTime::UNIX_EPOCH + Duration::from_millis(at_ms),
        body: record.encode(),
    }
}

fn record(by: u64, action: LeaseAction) -> LeaseRecord {
    LeaseRecord {
        by: holder(by),
        serial: 1,
        action,
        checkpoint: None,
    }
}

fn claim(prior: u64) -> LeaseAction {
    LeaseAction::Claim {
        claims: [RangeClaim {
            range: RANGE,
            prior: TermEpoch(prior),
        }]
        .into_iter()
        .collect(),
        lease_ms: 8000,
        skew_ms: 2000,
    }
}

fn release(epoch: TermEpoch, successor: u64) -> LeaseAction {
    let term = TermRef::new(RANGE, epoch);
    LeaseAction::Release {
        terms: [term].into_iter().collect(),
        successor: holder(successor),
    }
}

fn holder_after(records: &[(u64, u64, LeaseAction)]) -> Option<HolderId> {
    let mut table = LeaseTable::starting_at(LogOffset(0));
    for (offset, (at, by, action)) in records.iter().enumerate() {
        table.fold(&entry(offset as u64, *at, &record(*by, action.clone())));
    }
    table.term(RANGE).map(|term| term.holder)
}

#[test]
fn claim_takes_effect_only_a_full_lease_after_the_last_renewal() {
    let first = (1000, 1, claim(0));
    let renewal = (5000, 1, LeaseAction::Renew);
    let early = (12_999, 2, claim(1));
    let due = (13_000, 2, claim(1));
    let history = [first.clone(), renewal.clone(), early];
    assert_eq!(holder_after(&history), Some(holder(1)));
    assert_eq!(holder_after(&[first, renewal, due]), Some(holder(2)));
}

#[test]
fn claim_must_name_the_term_that_it_replaces() {
    let history = [(1000, 1, claim(0)), (20_000, 2, claim(0))];
    assert_eq!(holder_after(&history), Some(holder(1)));
}

#[test]
fn superseded_holder_renews_nothing() {
    let history = [
        (1000, 1, claim(0)),
        (9000, 2, claim(1)),
        (16_000, 1, LeaseAction::Renew),
        (17_000, 3, claim(2)),
    ];
    assert_eq!(holder_after(&history), Some(holder(3)));
}

#[test]
fn table_is_reset_only_after_the_longest_lease_without_records() {
    let silence = MAX_LEASE.as_millis() as u64;
    let history = |gap: u64, between: Option<LeaseAction>| {
        let mut records = vec![(1000, 1, claim(0)), (2000, 9, LeaseAction::Refound)];
        records.extend(between.map(|action| (2500, 1, action)));
        records.push((2000 + gap, 9, LeaseAction::Refound));
        holder_after(&records)
    };
    assert_eq!(history(silence - 1, None), Some(holder(1)));
    assert_eq!(history(silence, Some(LeaseAction::Renew)), Some(holder(1)));
    assert_eq!(history(silence, None), None);
}

#[test]
fn unreadable_record_changes_nothing() {
    let mut table = LeaseTable::starting_at(LogOffset(0));
    let mut broken = entry(0, 1000, &record(1, claim(0)));
    broken.body = broken.body[..broken.body.len() - 1].into();
    assert!(table.fold(&broken).is_empty());
    assert_eq!(table.next(), LogOffset(1));
    broken.body = [0xff; 40].into();
    broken.offset = LogOffset(1);
    assert!(table.fold(&broken).is_empty());
    assert!(table.term(RANGE).is_none());
}

/// Returns a random stream of valid and invalid records, some with a checkpoint.
fn random_stream(seed: u64) -> Vec<LogRecord> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut table = LeaseTable::starting_at(LogOffset(0));
    let mut at = 1000;
    let mut stream = Vec::new();
    for offset in 0..200 {
        at += rng.random_range(0..6000);
        let current = table.term(RANGE).map_or(TermEpoch::NONE, |term| term.epoch);
        let guess = current
            .0
            .saturating_sub(rng.random_range(0..2) * rng.random_range(0..9));
        let action = match rng.random_range(0..12) {
            0..=4 => claim(guess),
            5..=8 => LeaseAction::Renew,
            9 | 10 => release(TermEpoch(guess), rng.random_range(0..4)),
            _ => LeaseAction::Refound,
        };
        let mut record = record(rng.random_range(0..4), action);
        let carries = !matches!(record.action, LeaseAction::Refound) && rng.random_range(0..5) == 0;
        record.checkpoint = carries.then(|| table.checkpoint()).flatten();
        let entry = entry(offset, at, &record);
        table.fold(&entry);
        stream.push(entry);
    }
    stream
}

/// Returns the interval of times that each term of the stream owns, as (after, until).
fn owned_times(stream: &[LogRecord]) -> BTreeMap<TermEpoch, (LogStamp, LogStamp)> {
    let mut table = LeaseTable::starting_at(LogOffset(0));
    let mut owned = BTreeMap::new();
    for entry in stream {
        table.fold(entry);
        if let Some(term) = table.term(RANGE) {
            let after = term.owns_after.unwrap_or_default();
            owned.insert(term.epoch, (after, term.owned_until()));
        }
    }
    owned
}

#[test]
fn terms_of_a_range_own_disjoint_times() {
    fn holds(seed: u64) -> bool {
        let owned = owned_times(&random_stream(seed));
        let times: Vec<_> = owned.values().collect();
        owned.len() > 3 && times.windows(2).all(|pair| pair[0].1 <= pair[1].0)
    }
    QuickCheck::new()
        .tests(300)
        .rng(Gen::from_size_and_seed(100, 4))
        .quickcheck(holds as fn(u64) -> bool);
}

/// Returns a new keeper and its clock.
fn keeper(daemon: u64) -> (LeaseKeeper, FakeClock) {
    let clock = FakeClock::new();
    (keeper_at(daemon, &clock), clock)
}

fn keeper_at(daemon: u64, clock: &FakeClock) -> LeaseKeeper {
    let rng = SmallRng::seed_from_u64(daemon);
    let settings = LeaseSettings::default();
    LeaseKeeper::new(holder(daemon), settings, clock.shared(), rng)
}

/// Runs a keeper for 4 s on a log that always answers; returns the number of appends.
fn run_keeper(keeper: &mut LeaseKeeper, clock: &FakeClock, log: &mut Vec<LogRecord>) -> usize {
    let before = log.len();
    for _ in 0..40 {
        clock.advance(Duration::from_millis(100));
        step_keeper(keeper, clock, log);
    }
    log.len() - before
}

/// Runs one tick of a keeper on a log that always answers.
fn step_keeper(keeper: &mut LeaseKeeper, clock: &FakeClock, log: &mut Vec<LogRecord>) {
    for output in keeper.on_tick() {
        match output {
            LeaseOutput::Read { from, .. } => {
                let batch = RecordBatch {
                    first: LogOffset(0),
                    next: LogOffset(log.len() as u64),
                    records: log[from.0 as usize..].to_vec(),
                };
                keeper.on_read(&ReadReply::Batch(batch));
            }
            LeaseOutput::Append { serial, body } => {
                let offset = LogOffset(log.len() as u64);
                let at = clock.wall();
                log.push(LogRecord { offset, at, body });
                keeper.on_appended(serial, true);
            }
            _ => {}
        }
    }
}

/// Minimum log retention that the settings allow.
const SHORTEST_RETENTION: Duration = Duration::from_secs(60);

#[test]
fn every_retention_holds_a_checkpoint_though_homes_die() {
    let clock = FakeClock::new();
    let mut homes: Vec<HolderId> = (1..=10).map(holder).collect();
    let mut keepers: Vec<LeaseKeeper> = (1..=10).map(|home| keeper_at(home, &clock)).collect();
    let mut log = Vec::new();
    while clock.elapsed() < SHORTEST_RETENTION * 10 {
        clock.advance(Duration::from_millis(100));
        // One home dies each minute; the others notice it 5 s later.
        if clock.elapsed().as_secs() > 60 * (11 - keepers.len()) as u64 && keepers.len() > 1 {
            keepers.remove(0);
        }
        if clock.elapsed().as_secs() > 5 + 60 * (11 - homes.len()) as u64 {
            homes.drain(..homes.len() - keepers.len());
        }
        for keeper in &mut keepers {
            keeper.set_homes(homes.clone());
            step_keeper(keeper, &clock, &mut log);
        }
    }
    let stamps = log.iter().filter_map(|entry| {
        let record = LeaseRecord::decode(&entry.body).ok()?;
        record.checkpoint.is_some().then_some(entry.at)
    });
    let stamps: Vec<SystemTime> = stamps.chain([clock.wall()]).collect();
    for pair in stamps.windows(2) {
        let gap = pair[1].duration_since(pair[0]).unwrap();
        assert!(gap < SHORTEST_RETENTION, "{gap:?}");
    }
    // Only a few checkpoints for each home that died: the homes take turns.
    assert!(stamps.len() < 120, "{} checkpoints", stamps.len());
}

#[test]
fn view_ahead_of_the_stream_ends_the_pause_between_reads() {
    let (mut keeper, clock) = keeper(1);
    let mut log = Vec::new();
    keeper.set_homes(vec![holder(1)]);
    run_keeper(&mut keeper, &clock, &mut log);
    step_keeper(&mut keeper, &clock, &mut log);
    assert!(keeper.on_tick().is_empty());
    let view = LeaseView {
        next: LogOffset(log.len() as u64 + 1),
        ..LeaseView::default()
    };
    keeper.on_view(&view);
    let reads = |outputs: Vec<LeaseOutput>| matches!(outputs[..], [LeaseOutput::Read { .. }]);
    assert!(reads(keeper.on_tick()));
}

#[test]
fn daemon_that_is_not_a_home_does_not_use_the_log() {
    let (mut keeper, clock) = keeper(1);
    keeper.set_homes(vec![holder(2)]);
    clock.advance(Duration::from_secs(10));
    assert!(keeper.on_tick().is_empty());
}

#[test]
fn stream_that_ends_below_a_known_view_is_not_claimed() {
    let (mut keeper, clock) = keeper(1);
    keeper.set_homes(vec![holder(1)]);
    let view = LeaseView {
        next: LogOffset(40),
        ..LeaseView::default()
    };
    keeper.on_view(&view);
    assert_eq!(run_keeper(&mut keeper, &clock, &mut Vec::new()), 0);
}

fn misplaced_count(keeper: &LeaseKeeper) -> usize {
    keeper.terms_to_hand_over().into_values().flatten().count()
}

#[test]
fn home_that_comes_and_goes_moves_no_range() {
    let (mut keeper, clock) = keeper(1);
    let mut log = Vec::new();
    keeper.set_homes(vec![holder(1)]);
    run_keeper(&mut keeper, &clock, &mut log);
    assert_eq!(keeper.held().count(), KeyRange::COUNT);
    for flap in 0..6 {
        let homes = (1..=2 - flap % 2).map(holder).collect();
        keeper.set_homes(homes);
        run_keeper(&mut keeper, &clock, &mut log);
        assert!(keeper.terms_to_hand_over().is_empty());
    }
    keeper.set_homes(vec![holder(1), holder(2)]);
    for _ in 0..3 {
        run_keeper(&mut keeper, &clock, &mut log);
    }
    assert_eq!(misplaced_count(&keeper), KeyRange::COUNT / 2);
    // A leaving home hands everything over at once.
    keeper.set_homes(vec![holder(2)]);
    assert_eq!(misplaced_count(&keeper), KeyRange::COUNT);
}

quickcheck! {
    fn any_bytes_are_a_record_or_an_error(bytes: Vec<u8>) -> bool {
        LeaseRecord::decode(&bytes).is_ok_and(|record| record.encode().len() <= bytes.len())
            || LeaseRecord::decode(&bytes).is_err()
    }

    fn reader_that_starts_in_mid_stream_agrees_once_it_knows_the_table(
        seed: u64,
        start: u8
    ) -> bool {
        let stream = random_stream(seed);
        let start = usize::from(start) % stream.len();
        let mut whole = LeaseTable::starting_at(LogOffset(0));
        let mut late = LeaseTable::starting_at(LogOffset(start as u64));
        stream.iter().enumerate().all(|(index, entry)| {
            whole.fold(entry);
            if index >= start {
                late.fold(entry);
            }
            !late.is_known() || late.term(RANGE) == whole.term(RANGE)
        })
    }

    fn every_range_has_a_home_and_no_home_more_than_its_share(count: u8) -> bool {
        let homes: Vec<HolderId> = (0..u64::from(count)).map(holder).collect();
        let assigned = assign_ranges(&homes);
        let share = KeyRange::COUNT.div_ceil(homes.len().max(1));
        let load = |home: &HolderId| assigned.iter().filter(|held| *held == home).count();
        homes.is_empty() || (assigned.len() == KeyRange::COUNT && homes.iter().all(|home| load(home) <= share))
    }
}

#[test]
fn daemons_that_leave_spread_their_issued_keys() {
    let members: Vec<HolderId> = (0..720).map(holder).collect();
    let mut taken: BTreeMap<HolderId, u32> = BTreeMap::new();
    for leaving in &members {
        let successor = pick_successor(*leaving, &members).expect("there are others");
        assert_ne!(successor, *leaving);
        *taken.entry(successor).or_default() += 1;
    }
    assert!(taken.values().all(|count| *count <= 10));
    assert_eq!(pick_successor(holder(1), &[holder(1)]), None);
}

#[test]
fn home_that_leaves_moves_few_ranges_of_others() {
    let homes: Vec<HolderId> = (0..10).map(holder).collect();
    let before = assign_ranges(&homes);
    let after = assign_ranges(&homes[1..]);
    let moved = before
        .iter()
        .zip(&after)
        .filter(|(before, after)| **before != homes[0] && before != after)
        .count();
    assert!(moved <= KeyRange::COUNT / 6, "{moved}");
}
