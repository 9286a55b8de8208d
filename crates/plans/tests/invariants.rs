//! Property tests of folding, deltas, snapshots and restarts, under lost,
//! duplicated, reordered and late updates.

#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes arguments by value"
)]

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use model::{ChangeId, ConfigVersion, LogOffset};
use quetzal_plans::{
    ChangeRecord, ChangeVerdict, ConfigReplica, ConfigState, EntryEdit, EntryName, EntryValue,
    LogRecovery, RebaseRecord, RouteTable, StateHead, StateUpdate, StreamRecord,
};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use support::{LogStub, change, meta, set_plan, set_rate, template_lists, template_log};

const REPLICAS: usize = 4;

/// A random event; each number selects an item modulo the number of items.
#[derive(Clone, Debug)]
enum TestStep {
    /// An operator publishes one or two edits whose base is some records back.
    Publish { back: u8, edits: [u8; 2] },
    /// An earlier record is appended again, as after a lost response.
    Repeat { record: u8 },
    /// A truncated record is appended.
    AppendTruncated { length: u8 },
    /// A replica reads some records of the log.
    Read { replica: u8, count: u8 },
    /// A replica creates an update for the head that another last announced.
    Offer { from: u8, to: u8 },
    /// An update in flight arrives, and remains in flight if it is duplicated.
    Deliver { update: u8, duplicate: bool },
    /// A replica writes a snapshot.
    Write { replica: u8 },
    /// A replica restarts without any state.
    Crash { replica: u8 },
    /// A replica reads any of the written snapshots, old or new.
    Restore { replica: u8, snapshot: u8 },
}

impl Arbitrary for TestStep {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b, c) = (u8::arbitrary(g), u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 16 {
            0..=2 => Self::Publish {
                back: a % 8,
                edits: [b, c],
            },
            3 => Self::Repeat { record: a },
            4 => Self::AppendTruncated { length: a },
            5..=7 => Self::Read {
                replica: a,
                count: b % 5,
            },
            8..=9 => Self::Offer { from: a, to: b },
            10..=12 => Self::Deliver {
                update: a,
                duplicate: b % 4 == 0,
            },
            13 => Self::Write { replica: a },
            14 => Self::Crash { replica: a },
            _ => Self::Restore {
                replica: a,
                snapshot: b,
            },
        }
    }
}

/// Replicas, their log and the expected states.
struct TestFleet {
    log: LogStub,
    /// Expected state after each record.
    states: Vec<ConfigState>,
    replicas: Vec<ConfigReplica>,
    /// Last announced head of each replica, which may be outdated.
    announced_heads: Vec<StateHead>,
    in_flight: Vec<(usize, StateUpdate)>,
    snapshots: Vec<Arc<[u8]>>,
    published: u64,
}

impl TestFleet {
    fn new() -> Self {
        let log = template_log();
        Self {
            states: vec![ConfigState::new(), log.state()],
            log,
            replicas: vec![ConfigReplica::new(); REPLICAS],
            announced_heads: vec![StateHead::default(); REPLICAS],
            in_flight: Vec::new(),
            snapshots: Vec::new(),
            published: 0,
        }
    }

    fn after(steps: &[TestStep]) -> Self {
        let mut fleet = Self::new();
        for step in steps {
            fleet.step(step);
        }
        fleet
    }

    fn append(&mut self, body: &[u8]) {
        let record = self.log.append(body);
        let mut state = self.states.last().unwrap().clone();
        state.apply(&record).unwrap();
        self.states.push(state);
    }

    /// Reads `count + 1` records, the first of which is the last folded one, if there is any.
    fn read(&mut self, replica: usize, count: usize) {
        let replica = &mut self.replicas[replica];
        let start = replica.state().resume_offset().0 as usize;
        for record in self.log.records.iter().skip(start).take(count + 1) {
            replica.state().check_continuity(record).unwrap();
            replica.fold(record.clone()).unwrap();
        }
    }

    fn step(&mut self, step: &TestStep) {
        match *step {
            TestStep::Publish { back, edits } => {
                self.published += 1;
                let base = self
                    .states
                    .iter()
                    .rev()
                    .nth(back.into())
                    .map_or(ConfigVersion::NONE, ConfigState::base);
                let edits = deduplicate(edits.map(select_edit));
                let body = change(self.published, "mona", base, edits);
                self.append(&body);
            }
            TestStep::Repeat { record } => {
                let body = self.log.records[pick(record, self.log.records.len())]
                    .body
                    .clone();
                self.append(&body);
            }
            TestStep::AppendTruncated { length } => {
                let mut body = self.log.records[0].body.to_vec();
                let length = pick(length, body.len());
                body.truncate(length);
                self.append(&body);
            }
            TestStep::Read { replica, count } => self.read(pick(replica, REPLICAS), count.into()),
            TestStep::Offer { from, to } => {
                let (from, to) = (pick(from, REPLICAS), pick(to, REPLICAS));
                let base = self.announced_heads[to];
                let update = self.replicas[from].update_for(&base).unwrap();
                self.in_flight.extend(update.map(|update| (to, update)));
                self.announced_heads[from] = self.replicas[from].head();
            }
            TestStep::Deliver { update, duplicate } => {
                if self.in_flight.is_empty() {
                    return;
                }
                let index = pick(update, self.in_flight.len());
                let (to, update) = self.in_flight[index].clone();
                if !duplicate {
                    self.in_flight.swap_remove(index);
                }
                self.replicas[to].apply_update(&update).unwrap();
            }
            TestStep::Write { replica } => {
                let bytes = self.replicas[pick(replica, REPLICAS)]
                    .snapshot_bytes()
                    .unwrap();
                self.snapshots.push(bytes);
            }
            TestStep::Crash { replica } => {
                self.replicas[pick(replica, REPLICAS)] = ConfigReplica::new();
            }
            TestStep::Restore { replica, snapshot } => {
                if self.snapshots.is_empty() {
                    return;
                }
                let bytes = Arc::clone(&self.snapshots[pick(snapshot, self.snapshots.len())]);
                self.replicas[pick(replica, REPLICAS)]
                    .apply_snapshot(&bytes)
                    .unwrap();
            }
        }
    }

    /// Returns whether each replica has the expected state of its next offset.
    fn replicas_match_expected_states(&self) -> bool {
        self.replicas.iter().all(|replica| {
            let folded = replica.state().next_offset().0 as usize;
            *replica.state() == self.states[folded]
        })
    }
}

fn pick(number: u8, count: usize) -> usize {
    usize::from(number) % count
}

/// Selects an edit; some are invalid and some write the current value.
fn select_edit(number: u8) -> EntryEdit {
    let value = number / 16;
    match number % 16 {
        0..=3 => set_rate("gold", "deals", u32::from(value)),
        4..=6 => set_rate("silver", "catalog", 1 + u32::from(value)),
        7..=9 => set_plan("agency-nour", Some("gold")),
        10 => set_plan("agency-tarek", Some("bronze")),
        11..=12 => set_plan("agency-new", value.is_multiple_of(2).then_some("silver")),
        13 => EntryEdit {
            entry: support::allowance("silver", "deals"),
            after: None,
        },
        14 => EntryEdit {
            entry: support::service("studio"),
            after: None,
        },
        _ => set_plan("agency-salma", value.is_multiple_of(2).then_some("silver")),
    }
}

fn deduplicate(edits: [EntryEdit; 2]) -> Vec<EntryEdit> {
    let [first, second] = edits;
    if first.entry == second.entry {
        return vec![first];
    }
    vec![first, second]
}

#[test]
fn replicas_never_move_back_or_diverge() {
    fn holds(steps: Vec<TestStep>) -> TestResult {
        let mut fleet = TestFleet::new();
        for step in &steps {
            let before: Vec<StateHead> = fleet.replicas.iter().map(ConfigReplica::head).collect();
            fleet.step(step);
            if !fleet.replicas_match_expected_states() {
                return TestResult::error(format!(
                    "{step:?}: a replica differs from its expected state"
                ));
            }
            let restarted = |index| matches!(step, TestStep::Crash { replica } if pick(*replica, REPLICAS) == index);
            for (index, head) in before.iter().enumerate() {
                let after = fleet.replicas[index].head();
                if !restarted(index) && after.is_behind(head) {
                    return TestResult::error(format!("{step:?}: replica {index} moved back"));
                }
            }
        }
        for replica in 0..REPLICAS {
            fleet.read(replica, usize::MAX - 1);
        }
        let last = fleet.states.last().unwrap();
        TestResult::from_bool(fleet.replicas.iter().all(|replica| replica.state() == last))
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(holds as fn(Vec<TestStep>) -> TestResult);
}

/// Applies the edits of all accepted records to a plain map.
fn replay(fleet: &TestFleet) -> BTreeMap<EntryName, EntryValue> {
    let mut entries = BTreeMap::new();
    let mut seen: BTreeSet<ChangeId> = BTreeSet::new();
    let mut state = ConfigState::new();
    for record in &fleet.log.records {
        let verdict = state.apply(record).unwrap();
        if !matches!(verdict, ChangeVerdict::Accepted { .. }) {
            continue;
        }
        let change = ChangeRecord::decode(&record.body).unwrap();
        assert!(seen.insert(change.id), "a change was accepted twice");
        for edit in change.edits {
            match edit.after {
                Some(value) => entries.insert(edit.entry, value),
                None => entries.remove(&edit.entry),
            };
        }
    }
    entries
}

#[test]
fn accepted_edits_last_until_a_later_edit_is_accepted() {
    fn holds(steps: Vec<TestStep>) -> bool {
        let fleet = TestFleet::after(&steps);
        replay(&fleet) == fleet.states.last().unwrap().lists().entries()
    }
    QuickCheck::new()
        .tests(200)
        .quickcheck(holds as fn(Vec<TestStep>) -> bool);
}

#[test]
fn every_service_has_its_route() {
    fn holds(steps: Vec<TestStep>) -> bool {
        let fleet = TestFleet::after(&steps);
        fleet.states.iter().all(|state| {
            let table = RouteTable::build(state);
            let services = &state.lists().allowances.services;
            let routed = services.iter().all(|(name, spec)| {
                let route = table.route(&spec.path);
                route.is_some_and(|route| route.service.name == *name)
            });
            let all_customers = table.customer_count() == state.lists().plans.customers.len();
            state.lists().validate().is_ok() && routed && all_customers
        })
    }
    QuickCheck::new()
        .tests(100)
        .quickcheck(holds as fn(Vec<TestStep>) -> bool);
}

#[test]
fn undo_restores_the_previous_lists() {
    fn holds(steps: Vec<TestStep>) -> bool {
        let mut fleet = TestFleet::after(&steps);
        let mut state = fleet.states.last().unwrap().clone();
        let version = state.version();
        let Ok(undo) = state.undo(version, meta(9999, "omar", "undo")) else {
            return true;
        };
        let before = &fleet.states[version.offset().unwrap().0 as usize];
        let record = fleet.log.append(&undo.encode().unwrap());
        match state.apply(&record).unwrap() {
            ChangeVerdict::Accepted { .. } => state.lists() == before.lists(),
            // A refusal is a failure: even the first change can be reverted, to empty lists.
            other => panic!("{other:?}"),
        }
    }
    QuickCheck::new()
        .tests(200)
        .quickcheck(holds as fn(Vec<TestStep>) -> bool);
}

/// Returns a log whose records after the first `kept` were lost and replaced by others.
///
/// Each number in `rates` is the rate set by one of the new changes, minus 1000.
fn lose_tail(log: &LogStub, kept: usize, rates: &[u8]) -> LogStub {
    let mut log = LogStub {
        records: log.records[..kept].to_vec(),
    };
    let mut state = log.state();
    for (index, rate) in rates.iter().enumerate() {
        let base = state.base();
        let rate = 1000 + u32::from(*rate);
        let body = change(
            5000 + index as u64,
            "omar",
            base,
            vec![set_rate("gold", "studio", rate)],
        );
        state.apply(&log.append(&body)).unwrap();
    }
    log
}

#[test]
fn a_log_that_lost_its_tail_reverts_nothing_before_a_rebase() {
    fn holds(lost: Vec<u8>, others: Vec<u8>) -> TestResult {
        if lost.is_empty() || lost.len() > 40 || others.len() > 80 {
            return TestResult::discard();
        }
        let mut log = template_log();
        let kept = log.records.len();
        let mut held = log.state();
        for (index, rate) in lost.iter().enumerate() {
            let edits = vec![set_rate("gold", "deals", 1 + u32::from(*rate))];
            let body = change(1 + index as u64, "mona", held.base(), edits);
            held.apply(&log.append(&body)).unwrap();
        }
        let mut replica = ConfigReplica::from_state(held.clone());
        let mut other_log = lose_tail(&log, kept, &others);
        let adopted = replica.adopt_state(other_log.state());
        let ahead = other_log.records.len() >= log.records.len();
        if adopted.is_err() != ahead || *replica.state() != held {
            return TestResult::error(format!("unexpected result: {adopted:?}"));
        }
        let detected = if other_log.records.len() < log.records.len() {
            let next = other_log.state().next_offset();
            held.check_bounds(LogOffset(0), next).is_err()
        } else {
            let index = held.resume_offset().0 as usize;
            held.check_continuity(&other_log.records[index]).is_err()
        };
        let version = ConfigVersion::at(LogOffset(1000));
        let lists = held.lists().clone();
        let meta = meta(9000, "hala", "log lost");
        let rebase = RebaseRecord::new(other_log.state().base(), version, lists, meta);
        other_log.append(&StreamRecord::Rebase(rebase).encode().unwrap());
        let mut recovery = LogRecovery::new(held.head(), LogOffset(0));
        let records = other_log.records.iter();
        let mut found: Vec<_> = records
            .map(|record| recovery.fold(record).unwrap())
            .collect();
        let Some(Some(rebased)) = found.pop() else {
            return TestResult::error("did not find the rebase");
        };
        if found.iter().any(Option::is_some) {
            return TestResult::error("found a state before the rebase");
        }
        replica.adopt_state(rebased.clone()).unwrap();
        let kept = rebased.lists() == held.lists() && *replica.state() == rebased;
        TestResult::from_bool(detected && kept && rebased.version() == version)
    }
    QuickCheck::new()
        .tests(150)
        .quickcheck(holds as fn(Vec<u8>, Vec<u8>) -> TestResult);
}

#[test]
fn corrupt_updates_change_nothing() {
    fn holds(at: u16, flip: u8, cut: bool) -> bool {
        let mut log = template_log();
        let body = change(
            1,
            "mona",
            log.state().base(),
            vec![set_rate("gold", "deals", 9)],
        );
        let base = log.state();
        log.append(&body);
        let mut source = ConfigReplica::from_state(base.clone());
        source.fold(log.records[1].clone()).unwrap();
        let mut bytes = source.snapshot_bytes().unwrap().to_vec();
        let index = usize::from(at) % bytes.len();
        if cut {
            bytes.truncate(index);
        } else {
            bytes[index] ^= flip.max(1);
        }
        let mut reader = ConfigReplica::from_state(base.clone());
        let refused = reader.apply_snapshot(&bytes).is_err();
        let mut delta = source.delta_since(&base.head()).unwrap();
        let index = usize::from(at) % delta.records[0].body.len();
        delta.records[0].body[index] ^= flip.max(1);
        let delta_refused = reader.apply_delta(&delta).is_err();
        refused && delta_refused && *reader.state() == base
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(holds as fn(u16, u8, bool) -> bool);
}

#[test]
fn records_of_any_bytes_are_refused_without_change() {
    fn holds(body: Vec<u8>, start: u8) -> bool {
        let mut log = template_log();
        let mut state = log.state();
        let lists = state.lists().clone();
        let mut whole = log.records[0].body[..usize::from(start) % 40].to_vec();
        whole.extend(body);
        let verdict = state.apply(&log.append(&whole)).unwrap();
        matches!(verdict, ChangeVerdict::Refused(_)) && *state.lists() == lists
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(holds as fn(Vec<u8>, u8) -> bool);
}

#[test]
fn a_delta_with_another_base_is_not_applied() {
    let mut log = template_log();
    let mut source = ConfigReplica::from_state(log.state());
    let start = source.head();
    for number in 1..6 {
        let edits = vec![set_rate("gold", "deals", 100 + number as u32)];
        let record = log.append(&change(number, "mona", source.state().base(), edits));
        source.fold(record).unwrap();
    }
    let whole = source.delta_since(&start).unwrap();
    let late = {
        let mut late = whole.clone();
        late.records.drain(..2);
        late.from = log.state_after(3).head();
        late
    };
    let mut reader = ConfigReplica::from_state(log.state_after(1));
    let outcome = reader.apply_delta(&late).unwrap();
    assert_eq!(outcome, quetzal_plans::UpdateOutcome::BaseUnknown);
    reader.apply_delta(&whole).unwrap();
    assert_eq!(reader.state(), source.state());
    let outcome = reader.apply_delta(&late).unwrap();
    assert_eq!(outcome, quetzal_plans::UpdateOutcome::Stale);
    assert_eq!(template_lists().entries().len(), 11);
}
