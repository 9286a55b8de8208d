//! The log side of the distributor: reads, snapshots, start.

use std::time::Instant;

use feed::port::{LogRecord, ReadReply, Result as LogResult};
use model::{ErrorKind, LogOffset};

use crate::message::{AppendResult, LogTag, OutputList, SpreadAlarm, SpreadOutput};
use crate::node::{NewerHead, SpreadNode, StartStage};
use crate::reader::{LogState, ReadOutcome};
use crate::replica::{ReplicaHead, ReplicaPort, record_hash};
use crate::snapshots::{SnapshotOutcome, SnapshotRecord};

impl<R: ReplicaPort> SpreadNode<R> {
    /// Takes the answer to a read of the log.
    pub fn on_log_answer(&mut self, tag: LogTag, answer: LogResult<ReadReply>) -> OutputList {
        let now = self.clock.now();
        let mut outputs = OutputList::new();
        if self.reader.awaits(tag) {
            let settings = &self.settings;
            let verdict = self
                .reader
                .answer(settings, &mut self.rng, &self.head, tag, answer, now);
            self.take_verdict(verdict, &mut outputs, now);
        } else if self.recovery.awaits(tag) {
            self.take_search(answer, &mut outputs, now);
        } else {
            let needed = self.needed_snapshot();
            let clock = self.clock.as_ref();
            let verdict = self.snapshots.answer_read(tag, answer, needed, clock);
            if let SnapshotOutcome::Found(record) = verdict {
                self.take_snapshot(&record, &mut outputs, now);
            }
        }
        if self.is_reading() {
            self.tick_log(&mut outputs, now);
        }
        self.note_changes(&mut outputs, now);
        outputs
    }

    /// Takes the answer to an append.
    pub fn on_append_answer(&mut self, tag: LogTag, answer: &AppendResult) -> OutputList {
        let now = self.clock.now();
        self.snapshots.answer_append(tag, answer, now);
        OutputList::new()
    }

    /// Reads and appends that are due.
    pub(crate) fn tick_log(&mut self, outputs: &mut OutputList, now: Instant) {
        let own_domain = self.roster.own().domain.clone();
        self.freshness
            .update_domain(&own_domain, self.reader.down_at(), now);
        self.freshness.update_outage(&self.settings, now);
        let starting = !self.is_loaded();
        if starting && !self.is_start_over(now) {
            return;
        }
        let gap = self.misses_records();
        let first_search = starting && !self.snapshots.has_searched();
        if first_search || gap || self.snapshots.is_searching() {
            self.search_snapshot(outputs, now);
        }
        if first_search || starting && self.snapshots.is_searching() {
            return;
        }
        self.read_config(outputs, now);
        self.tick_recovery(outputs, now);
        if self.is_loaded() && self.reader.state() == LogState::Up {
            self.write_snapshot(outputs, now);
        }
    }

    fn read_config(&mut self, outputs: &mut OutputList, now: Instant) {
        let tag = self.next_tag();
        let read = self.reader.poll(&self.settings, &self.head, tag, now);
        outputs.extend(read.map(SpreadOutput::ReadLog));
    }

    fn search_snapshot(&mut self, outputs: &mut OutputList, now: Instant) {
        let tag = self.next_tag();
        let read = self.snapshots.poll_search(&self.settings, tag, now);
        outputs.extend(read.map(SpreadOutput::ReadLog));
    }

    /// Writes a snapshot when one is due and the log has none as new.
    fn write_snapshot(&mut self, outputs: &mut OutputList, now: Instant) {
        let place = self.writer_place();
        let due = self
            .snapshots
            .is_due(&self.settings, &mut self.rng, &self.head, place, now);
        if !due || self.head.next == LogOffset::default() {
            return;
        }
        if !self.snapshots.has_searched_since_due() {
            self.search_snapshot(outputs, now);
            return;
        }
        let tag = self.next_tag();
        let (head, replica) = (self.head, &self.replica);
        let snapshot = || SnapshotRecord::new(head, replica.snapshot());
        let append = self
            .snapshots
            .poll_append(&self.settings, tag, snapshot, now);
        outputs.extend(append.map(SpreadOutput::Append));
    }

    /// Place among the readers of all domains, the first in rank of each domain first.
    fn writer_place(&self) -> usize {
        let own = self.roster.own();
        let rank = self.roster.rank_of(own.id).unwrap_or(0);
        let domains = self.roster.domains().collect::<Vec<_>>();
        let place = domains.iter().position(|domain| **domain == own.domain);
        rank * domains.len() + place.unwrap_or(0)
    }

    /// The lowest head that a snapshot must have to be of use.
    fn needed_snapshot(&self) -> LogOffset {
        match self.reader.state() {
            LogState::Gap(first) => first,
            _ => LogOffset::default(),
        }
    }

    fn take_verdict(&mut self, verdict: ReadOutcome, outputs: &mut OutputList, now: Instant) {
        match verdict {
            ReadOutcome::Ignored | ReadOutcome::Failed => {}
            ReadOutcome::Confirmed(proven_at) => {
                self.load(now);
                let position = self.head.position;
                self.freshness.add_proof(position, proven_at, position);
            }
            ReadOutcome::Fold {
                records,
                complete_at,
            } => {
                self.fold(&records, outputs, now);
                if let (Some(proven_at), Some(last)) = (complete_at, records.last()) {
                    self.prove_end(last, proven_at);
                }
            }
        }
    }

    /// The log ended with `last` at `proven_at`; proves nothing if the fold stopped before.
    fn prove_end(&mut self, last: &LogRecord, proven_at: Instant) {
        if self.head.next == last.offset.next() {
            let position = self.head.position;
            self.freshness.add_proof(position, proven_at, position);
        }
    }

    fn fold(&mut self, records: &[LogRecord], outputs: &mut OutputList, now: Instant) {
        self.replica.fold(records);
        let next = self.replica.next_offset();
        let last = records.iter().find(|record| record.offset.next() == next);
        if let Some(last) = last {
            self.load(now);
            self.adopt(record_hash(last), outputs, now);
        }
        if records.last().is_some_and(|record| record.offset >= next) {
            self.reader.mark_stuck(next, now);
        }
    }

    fn take_snapshot(&mut self, record: &SnapshotRecord, outputs: &mut OutputList, now: Instant) {
        if self.is_loaded() && !record.head.is_newer_than(&self.head) {
            return;
        }
        let before = self.head;
        match self.replica.restore(&record.state) {
            Ok(true) => {
                self.load(now);
                self.adopt(record.head.last_record, outputs, now);
                self.check_target(&record.head, outputs);
                self.follow_rebase(&before, outputs);
                self.reader.verify_now(now);
            }
            Ok(false) => {}
            Err(error) => outputs.push(refused(error.kind)),
        }
    }

    /// From now on this daemon holds a state.
    pub(crate) fn load(&mut self, now: Instant) {
        if !self.is_loaded() {
            self.stage = StartStage::Unproven(now);
            self.timers.next_exchange = now;
            self.acks.mark_changed();
        }
    }

    /// Takes over the replica's new state: tells the owner, passes it on.
    pub(crate) fn adopt(&mut self, last_record: u64, outputs: &mut OutputList, now: Instant) {
        let version = self.head.version;
        self.head = ReplicaHead::of(&self.replica, last_record);
        self.cached_update = None;
        self.freshness.advance(self.head.position);
        let reached = |newer: &mut NewerHead| !newer.head.is_newer_than(&self.head);
        self.newest_seen.take_if(reached);
        if self.head.version != version && self.is_serving() {
            self.applied_at = now;
            outputs.push(SpreadOutput::Applied(self.head.version));
        }
        self.push_updates(outputs);
    }

    /// Checks that an update led where its maker said.
    pub(crate) fn check_target(&self, target: &ReplicaHead, outputs: &mut OutputList) {
        let same =
            self.head.position == target.position && self.head.state_hash == target.state_hash;
        if !same {
            outputs.push(refused(ErrorKind::SnapshotInvalid));
        }
    }
}

pub(crate) fn refused(kind: ErrorKind) -> SpreadOutput {
    SpreadOutput::Alarm(SpreadAlarm::UpdateRefused(kind))
}
