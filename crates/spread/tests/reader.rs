//! The config reader while the log changes during its long polls.

use std::time::Duration;

use feed::port::{LogRecord, ReadReply, RecordBatch};
use model::{ClockPort, ConfigVersion, FakeClock, LogOffset};
use quetzal_spread::message::{LogRead, LogTag};
use quetzal_spread::reader::{ConfigReader, LogState, ReadOutcome};
use quetzal_spread::{ReplicaHead, SpreadSettings, record_hash};
use rand::SeedableRng;
use rand::rngs::SmallRng;

struct ReaderFixture {
    clock: FakeClock,
    settings: SpreadSettings,
    rng: SmallRng,
    reader: ConfigReader,
    tag: u64,
}

impl ReaderFixture {
    fn new() -> Self {
        Self {
            clock: FakeClock::new(),
            settings: SpreadSettings::default(),
            rng: SmallRng::seed_from_u64(7),
            reader: ConfigReader::new(),
            tag: 0,
        }
    }

    /// Returns the next read after advancing the clock until it is due.
    fn poll(&mut self, head: &ReplicaHead) -> LogRead {
        self.clock.advance(Duration::from_secs(6));
        self.tag += 1;
        let (tag, now) = (LogTag(self.tag), self.clock.now());
        self.reader
            .poll(&self.settings, head, tag, now)
            .expect("a read is due")
    }

    /// Answers a read from `log`, which starts at offset `first`.
    fn answer(
        &mut self,
        head: &ReplicaHead,
        read: &LogRead,
        log: &[LogRecord],
        first: u64,
    ) -> ReadOutcome {
        let answer = if read.from.0 < first {
            ReadReply::Expired {
                first: LogOffset(first),
            }
        } else {
            let records: Vec<LogRecord> = log
                .iter()
                .filter(|record| record.offset >= read.from)
                .cloned()
                .collect();
            let end = LogOffset(first + log.len() as u64);
            let next = if records.is_empty() {
                end.min(read.from)
            } else {
                end
            };
            ReadReply::Batch(RecordBatch {
                first: LogOffset(first),
                next,
                records,
            })
        };
        let now = self.clock.now();
        self.reader.answer(
            &self.settings,
            &mut self.rng,
            head,
            read.tag,
            Ok(answer),
            now,
        )
    }

    /// Polls once and answers the read.
    fn read_once(&mut self, head: &ReplicaHead, log: &[LogRecord], first: u64) -> ReadOutcome {
        let read = self.poll(head);
        self.answer(head, &read, log, first)
    }
}

fn record(offset: u64, text: &str) -> LogRecord {
    LogRecord {
        offset: LogOffset(offset),
        at: FakeClock::new().wall(),
        body: text.as_bytes().into(),
    }
}

fn head_after(last: &LogRecord) -> ReplicaHead {
    ReplicaHead {
        next: last.offset.next(),
        position: ConfigVersion::at(last.offset),
        version: ConfigVersion::at(last.offset),
        state_hash: 1,
        last_record: record_hash(last),
    }
}

#[test]
fn a_log_that_lost_its_tail_and_grew_again_during_a_poll_is_detected() {
    let mut fixture = ReaderFixture::new();
    let (first, second) = (record(0, "a"), record(1, "b"));
    let head = head_after(&second);
    let log = [first.clone(), second];
    assert!(matches!(
        fixture.read_once(&head, &log, 0),
        ReadOutcome::Confirmed(_)
    ));
    let pending = fixture.poll(&head);
    assert_eq!(pending.from, head.next);
    // Before the answer, the log loses its tail and grows past its old end.
    let regrown = [first, record(1, "other"), record(2, "foreign")];
    assert_eq!(
        fixture.answer(&head, &pending, &regrown, 0),
        ReadOutcome::Ignored
    );
    assert_eq!(fixture.read_once(&head, &regrown, 0), ReadOutcome::Failed);
    assert_eq!(fixture.reader.state(), LogState::Diverged(LogOffset(1)));
}

#[test]
fn records_after_an_expired_last_record_are_folded() {
    let mut fixture = ReaderFixture::new();
    let second = record(1, "b");
    let head = head_after(&second);
    let kept = [record(2, "c")];
    let folded =
        (0..4).any(|_| matches!(fixture.read_once(&head, &kept, 2), ReadOutcome::Fold { .. }));
    assert!(folded, "{:?}", fixture.reader.state());
}
