//! The reader beside a log that changes under its long polls.

use std::time::Duration;

use feed::port::{LogRecord, ReadReply, RecordBatch};
use model::{ClockPort, ConfigVersion, FakeClock, LogOffset};
use quetzal_spread::message::{LogRead, LogTag};
use quetzal_spread::reader::{ConfigReader, LogState, ReadOutcome};
use quetzal_spread::{ReplicaHead, SpreadSettings, record_hash};
use rand::SeedableRng;
use rand::rngs::SmallRng;

struct ReaderBench {
    clock: FakeClock,
    settings: SpreadSettings,
    rng: SmallRng,
    reader: ConfigReader,
    tag: u64,
}

impl ReaderBench {
    fn new() -> Self {
        Self {
            clock: FakeClock::new(),
            settings: SpreadSettings::default(),
            rng: SmallRng::seed_from_u64(7),
            reader: ConfigReader::new(),
            tag: 0,
        }
    }

    /// The read that is due after a moment.
    fn poll(&mut self, head: &ReplicaHead) -> LogRead {
        self.clock.advance(Duration::from_secs(6));
        self.tag += 1;
        let (tag, now) = (LogTag(self.tag), self.clock.now());
        self.reader
            .poll(&self.settings, head, tag, now)
            .expect("a read is due")
    }

    /// Answers a read from `log`, which begins at offset `first`.
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

    /// One read and its answer.
    fn turn(&mut self, head: &ReplicaHead, log: &[LogRecord], first: u64) -> ReadOutcome {
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
fn a_log_that_regrew_within_one_wait_is_found_out() {
    let mut bench = ReaderBench::new();
    let (first, second) = (record(0, "a"), record(1, "b"));
    let head = head_after(&second);
    let log = [first.clone(), second];
    assert!(matches!(
        bench.turn(&head, &log, 0),
        ReadOutcome::Confirmed(_)
    ));
    let waiting = bench.poll(&head);
    assert_eq!(waiting.from, head.next);
    // The tail is lost and the log grows past the old end before the answer.
    let regrown = [first, record(1, "other"), record(2, "foreign")];
    assert_eq!(
        bench.answer(&head, &waiting, &regrown, 0),
        ReadOutcome::Ignored
    );
    assert_eq!(bench.turn(&head, &regrown, 0), ReadOutcome::Failed);
    assert_eq!(bench.reader.state(), LogState::Diverged(LogOffset(1)));
}

#[test]
fn records_behind_an_expired_one_are_still_taken() {
    let mut bench = ReaderBench::new();
    let second = record(1, "b");
    let head = head_after(&second);
    let kept = [record(2, "c")];
    let folded = (0..4).any(|_| matches!(bench.turn(&head, &kept, 2), ReadOutcome::Fold { .. }));
    assert!(folded, "{:?}", bench.reader.state());
}
