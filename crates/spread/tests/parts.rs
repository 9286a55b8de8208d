//! Unit tests of the reader, snapshots, freshness tracking and acknowledgements.

use std::time::Duration;

use feed::port::{LogRecord, ReadReply, RecordBatch};
use model::{
    ClockPort, ConfigVersion, DaemonId, DomainName, ErrorKind, FakeClock, KindError, LogOffset,
};
use quetzal_spread::acks::AckTable;
use quetzal_spread::freshness::FreshnessTracker;
use quetzal_spread::message::{AgeMillis, FreshnessEvidence};
use quetzal_spread::reader::{ConfigReader, ReadOutcome};
use quetzal_spread::roster::RosterHash;
use quetzal_spread::snapshots::SnapshotRecord;
use quetzal_spread::{
    AckSum, FreshnessState, LagReason, LogState, LogTag, OutageQuorum, ReplicaHead, SpreadSettings,
    record_hash,
};
use quickcheck::quickcheck;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn record(offset: u64, text: &str) -> LogRecord {
    LogRecord {
        offset: LogOffset(offset),
        at: FakeClock::new().wall(),
        body: text.as_bytes().into(),
    }
}

fn batch(first: u64, next: u64, records: Vec<LogRecord>) -> ReadReply {
    ReadReply::Batch(RecordBatch {
        first: LogOffset(first),
        next: LogOffset(next),
        records,
    })
}

/// Reader at offset 5 whose last record has the body `last`.
struct ReaderFixture {
    clock: FakeClock,
    rng: SmallRng,
    reader: ConfigReader,
    head: ReplicaHead,
    settings: SpreadSettings,
}

impl ReaderFixture {
    fn new() -> Self {
        let head = ReplicaHead {
            next: LogOffset(5),
            last_record: record_hash(&record(4, "last")),
            ..ReplicaHead::default()
        };
        Self {
            clock: FakeClock::new(),
            rng: SmallRng::seed_from_u64(1),
            reader: ConfigReader::new(),
            head,
            settings: SpreadSettings::default(),
        }
    }

    fn poll(&mut self) -> quetzal_spread::LogRead {
        self.clock.advance(Duration::from_secs(10));
        let now = self.clock.now();
        let read = self.reader.poll(&self.settings, &self.head, LogTag(1), now);
        read.expect("a read is due")
    }

    fn answer(&mut self, answer: feed::port::Result<ReadReply>) -> ReadOutcome {
        let (now, rng) = (self.clock.now(), &mut self.rng);
        self.reader
            .answer(&self.settings, rng, &self.head, LogTag(1), answer, now)
    }
}

#[test]
fn a_reader_verifies_its_last_record_before_new_ones() {
    let mut fixture = ReaderFixture::new();
    let read = fixture.poll();
    assert_eq!((read.from, read.wait), (LogOffset(4), Duration::ZERO));
    let asked_at = fixture.clock.now();
    let outcome = fixture.answer(Ok(batch(0, 5, vec![record(4, "last")])));
    assert_eq!(outcome, ReadOutcome::Confirmed(asked_at));
    assert_eq!(fixture.poll().from, LogOffset(5));
}

#[test]
fn a_reader_detects_a_different_record_a_shorter_log_and_a_gap() {
    let cases = [
        (
            batch(0, 5, vec![record(4, "other")]),
            LogState::Diverged(LogOffset(4)),
        ),
        (batch(0, 2, vec![]), LogState::Diverged(LogOffset(2))),
        (batch(9, 9, vec![]), LogState::Gap(LogOffset(9))),
        (
            ReadReply::Expired {
                first: LogOffset(8),
            },
            LogState::Gap(LogOffset(8)),
        ),
        (
            ReadReply::Expired {
                first: LogOffset(5),
            },
            LogState::Up,
        ),
        (
            batch(0, 7, vec![record(6, "jump")]),
            LogState::Down(ErrorKind::LogAnswerInvalid),
        ),
    ];
    for (answer, state) in cases {
        let mut fixture = ReaderFixture::new();
        fixture.poll();
        fixture.answer(Ok(answer));
        assert_eq!(fixture.reader.state(), state);
    }
}

#[test]
fn an_answer_older_than_the_head_is_no_divergence() {
    let mut fixture = ReaderFixture::new();
    fixture.poll();
    fixture.answer(Ok(batch(0, 5, vec![record(4, "last")])));
    fixture.poll();
    fixture.head.next = LogOffset(7);
    let outcome = fixture.answer(Ok(batch(0, 5, vec![])));
    assert_eq!(outcome, ReadOutcome::Ignored);
    assert_eq!(fixture.reader.state(), LogState::Up);
}

#[test]
fn a_reader_backs_off_and_verifies_after_a_failure() {
    let mut fixture = ReaderFixture::new();
    fixture.poll();
    fixture.answer(Ok(batch(0, 5, vec![record(4, "last")])));
    fixture.poll();
    fixture.answer(Err(KindError::new(ErrorKind::LogOverRate, "slow down")));
    let now = fixture.clock.now();
    let early = fixture
        .reader
        .poll(&fixture.settings, &fixture.head, LogTag(2), now);
    assert_eq!(early, None);
    assert_eq!(fixture.poll().from, LogOffset(4));
}

#[test]
fn a_damaged_snapshot_is_refused() {
    let head = ReplicaHead::default();
    let body = SnapshotRecord::new(head, b"state".as_slice().into()).encode();
    assert!(SnapshotRecord::decode(&body).is_ok());
    for index in 0..body.len() {
        let mut damaged = body.clone();
        damaged[index] ^= 1;
        assert!(SnapshotRecord::decode(&damaged).is_err(), "byte {index}");
        assert!(
            SnapshotRecord::decode(&body[..index]).is_err(),
            "{index} bytes"
        );
    }
}

/// Returns the state after readers in `down` of four domains found the log down.
fn state_with(quorum: OutageQuorum, down: usize) -> FreshnessState {
    let clock = FakeClock::new();
    let settings = SpreadSettings {
        outage_quorum: quorum,
        ..SpreadSettings::default()
    };
    let mut tracker = FreshnessTracker::default();
    for index in 0..4 {
        let domain: DomainName = format!("domain-{index}").parse().unwrap();
        let down_at = (index < down).then(|| clock.now());
        tracker.update_domain(&domain, down_at, clock.now());
    }
    tracker.update_outage(&settings, clock.now());
    tracker.report(true, &settings, clock.now()).state
}

#[test]
fn an_outage_needs_a_quorum_of_domains() {
    assert_eq!(
        state_with(OutageQuorum::Every, 4),
        FreshnessState::SourceDown
    );
    assert_eq!(state_with(OutageQuorum::Every, 3), FreshnessState::CutOff);
    assert_eq!(
        state_with(OutageQuorum::Majority, 3),
        FreshnessState::SourceDown
    );
    assert_eq!(
        state_with(OutageQuorum::Majority, 2),
        FreshnessState::CutOff
    );
}

#[test]
fn a_proof_applies_only_once_its_head_is_reached() {
    let clock = FakeClock::new();
    let settings = SpreadSettings::default();
    let mut tracker = FreshnessTracker::default();
    let evidence = FreshnessEvidence {
        proof_age: Some(AgeMillis(500)),
        outage_age: None,
    };
    let [own, proven] = [8, 9].map(|number| ConfigVersion::at(LogOffset(number)));
    tracker.record_evidence(evidence, proven, clock.now(), own);
    let state = |tracker: &FreshnessTracker| tracker.report(true, &settings, clock.now()).state;
    assert_eq!(state(&tracker), FreshnessState::CutOff);
    tracker.advance(proven);
    assert_eq!(state(&tracker), FreshnessState::Current);
    clock.advance(settings.cut_off_after);
    assert_eq!(state(&tracker), FreshnessState::CutOff);
}

quickcheck! {
    fn an_aggregate_never_counts_too_many_daemons(versions: Vec<u8>, asked: u8, split: usize) -> bool {
        let for_daemon = |version: &u8| {
            AckSum::for_daemon(ConfigVersion::at(LogOffset(u64::from(*version))), None)
        };
        let sum_of = |part: &[u8]| {
            part.iter().fold(AckSum::default(), |mut sum, version| {
                sum.add(&for_daemon(version));
                sum
            })
        };
        let (left, right) = versions.split_at(split % (versions.len() + 1));
        let mut sum = sum_of(left);
        sum.add(&sum_of(right));
        let at_least = versions.iter().filter(|version| **version >= asked).count();
        let lowest = versions.iter().min().map(|lowest| {
            ConfigVersion::at(LogOffset(u64::from(*lowest)))
        });
        sum.check().is_ok()
            && sum.reporting() as usize == versions.len()
            && sum.in_force(ConfigVersion::at(LogOffset(u64::from(asked)))) as usize <= at_least
            && sum.lowest() == lowest
    }

    fn an_aggregate_lists_a_bounded_number_of_laggards(ids: Vec<u8>) -> bool {
        let mut sum = AckSum::default();
        for id in &ids {
            let laggard = quetzal_spread::FleetLaggard {
                daemon: DaemonId(u64::from(*id)),
                reason: LagReason::Behind,
                version: ConfigVersion::NONE,
                age: AgeMillis(0),
            };
            sum.add_laggard(laggard);
        }
        sum.check().is_ok() && sum.laggards.is_empty() == ids.is_empty()
    }
}

#[test]
fn only_aggregates_over_the_same_members_are_merged() {
    let clock = FakeClock::new();
    let now = clock.now();
    let [root, near, far, child] = [1, 2, 3, 4].map(DaemonId);
    let [roster, old_roster] = [RosterHash(7), RosterHash(8)];
    let one = || AckSum::for_daemon(ConfigVersion::at(LogOffset(1)), None);
    let mut two = one();
    two.add(&one());
    let mut table = AckTable::default();
    // Both count the same descendant, but only one of them with the current members.
    table.record(root, near, roster, two.clone(), now);
    table.record(root, far, old_roster, two, now);
    let mut sum = one();
    table.add_children(&mut sum, root, &[near, far], roster, now, now);
    assert_eq!(sum.reporting(), 3);
    assert!(sum.laggards.is_empty());
    table.add_children(&mut sum, root, &[child], roster, now, now);
    assert_eq!(sum.laggards[0].reason, LagReason::Silent);
}
