//! Access to the log: reads of the config stream, snapshots, and startup.

use std::time::Instant;

use feed::port::{LogRecord, ReadReply, Result as LogResult};
use model::{ErrorKind, LogOffset};

use crate::message::{AppendResult, LogTag, OutputList, SpreadAlarm, SpreadOutput};
use crate::node::{NewerHead, SpreadNode, StartupStage};
use crate::reader::{LogState, ReadOutcome};
use crate::replica::{ReplicaHead, ReplicaPort, record_hash};
use crate::snapshots::{SnapshotOutcome, SnapshotRecord};

impl<R: ReplicaPort> SpreadNode<R> {
    /// Handles the result of a log read.
    pub fn on_log_answer(&mut self, tag: LogTag, answer: LogResult<ReadReply>) -> OutputList {
        let now = self.clock.now();
        let mut outputs = OutputList::new();
        if self.reader.awaits(tag) {
            let settings = &self.settings;
            let outcome = self
                .reader
                .answer(settings, &mut self.rng, &self.head, tag, answer, now);
            self.handle_read(outcome, &mut outputs, now);
        } else if self.recovery.awaits(tag) {
            self.handle_search_answer(answer, &mut outputs, now);
        } else {
            let min_offset = self.min_snapshot_offset();
            let clock = self.clock.as_ref();
            let outcome = self.snapshots.answer_read(tag, answer, min_offset, clock);
            if let SnapshotOutcome::Found(record) = outcome {
                self.handle_snapshot(&record, &mut outputs, now);
            }
        }
        if self.is_reading() {
            self.tick_log(&mut outputs, now);
        }
        self.emit_changes(&mut outputs, now);
        outputs
    }

    /// Handles the result of a log append.
    pub fn on_append_answer(&mut self, tag: LogTag, answer: &AppendResult) -> OutputList {
        let now = self.clock.now();
        self.snapshots.answer_append(tag, answer, now);
        OutputList::new()
    }

    /// Emits the reads and appends that are due.
    pub(crate) fn tick_log(&mut self, outputs: &mut OutputList, now: Instant) {
        let own_domain = self.roster.own().domain.clone();
        self.freshness
            .update_domain(&own_domain, self.reader.down_at(), now);
        self.freshness.update_outage(&self.settings, now);
        let starting = !self.is_loaded();
        if starting && !self.is_peer_wait_over(now) {
            return;
        }
        let has_gap = self.has_log_gap();
        let first_search = starting && !self.snapshots.has_searched();
        if first_search || has_gap || self.snapshots.is_searching() {
            self.search_snapshot(outputs, now);
        }
        // A starting daemon looks for a snapshot before it reads the config stream.
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

    /// Writes a snapshot when one is due and a search found no recent one in the log.
    fn write_snapshot(&mut self, outputs: &mut OutputList, now: Instant) {
        let rank = self.writer_rank();
        let is_due = self
            .snapshots
            .is_due(&self.settings, &mut self.rng, &self.head, rank, now);
        if !is_due || self.head.next == LogOffset::default() {
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

    /// Returns this daemon's rank as snapshot writer among the readers of all
    /// domains; the top-ranked readers of every domain come first.
    fn writer_rank(&self) -> usize {
        let own = self.roster.own();
        let rank = self.roster.rank_of(own.id).unwrap_or(0);
        let domains = self.roster.domains().collect::<Vec<_>>();
        let index = domains.iter().position(|domain| **domain == own.domain);
        rank * domains.len() + index.unwrap_or(0)
    }

    /// Returns the lowest next offset of a usable snapshot: after a gap, the log can only
    /// be followed from its first retained record.
    fn min_snapshot_offset(&self) -> LogOffset {
        match self.reader.state() {
            LogState::Gap(first) => first,
            _ => LogOffset::default(),
        }
    }

    fn handle_read(&mut self, outcome: ReadOutcome, outputs: &mut OutputList, now: Instant) {
        match outcome {
            ReadOutcome::Ignored | ReadOutcome::Failed => {}
            ReadOutcome::Confirmed(proven_at) => {
                self.mark_loaded(now);
                let position = self.head.position;
                self.freshness.add_proof(position, proven_at, position);
            }
            ReadOutcome::Fold {
                records,
                complete_at,
            } => {
                self.fold(&records, outputs, now);
                if let (Some(proven_at), Some(last)) = (complete_at, records.last()) {
                    self.add_end_proof(last, proven_at);
                }
            }
        }
    }

    /// Records a proof that the log ended with `last` at `proven_at`, unless the
    /// replica stopped before that record.
    fn add_end_proof(&mut self, last: &LogRecord, proven_at: Instant) {
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
            self.mark_loaded(now);
            self.adopt_state(record_hash(last), outputs, now);
        }
        if records.last().is_some_and(|record| record.offset >= next) {
            self.reader.mark_stuck(next, now);
        }
    }

    fn handle_snapshot(&mut self, record: &SnapshotRecord, outputs: &mut OutputList, now: Instant) {
        if self.is_loaded() && !record.head.is_newer_than(&self.head) {
            return;
        }
        let before = self.head;
        match self.replica.restore(&record.state) {
            Ok(true) => {
                self.mark_loaded(now);
                self.adopt_state(record.head.last_record, outputs, now);
                self.check_target(&record.head, outputs);
                self.resume_after_rebase(&before, outputs);
                self.reader.verify_now(now);
            }
            Ok(false) => {}
            Err(error) => outputs.push(update_refused(error.kind)),
        }
    }

    /// Marks that this daemon has a state.
    pub(crate) fn mark_loaded(&mut self, now: Instant) {
        if !self.is_loaded() {
            self.stage = StartupStage::Unproven(now);
            self.timers.next_compare = now;
            self.acks.mark_changed();
        }
    }

    /// Publishes the replica's new state to the owner and the children.
    pub(crate) fn adopt_state(&mut self, last_record: u64, outputs: &mut OutputList, now: Instant) {
        let version = self.head.version;
        self.head = ReplicaHead::of(&self.replica, last_record);
        self.cached_update = None;
        self.freshness.advance(self.head.position);
        let is_reached = |newer: &mut NewerHead| !newer.head.is_newer_than(&self.head);
        self.newer_head.take_if(is_reached);
        if self.head.version != version && self.is_serving() {
            self.applied_at = now;
            outputs.push(SpreadOutput::Applied(self.head.version));
        }
        self.push_updates(outputs);
    }

    /// Reports an update that did not lead to the head it was sent with.
    pub(crate) fn check_target(&self, target: &ReplicaHead, outputs: &mut OutputList) {
        let is_same =
            self.head.position == target.position && self.head.state_hash == target.state_hash;
        if !is_same {
            outputs.push(update_refused(ErrorKind::SnapshotInvalid));
        }
    }
}

pub(crate) fn update_refused(kind: ErrorKind) -> SpreadOutput {
    SpreadOutput::Alarm(SpreadAlarm::UpdateRefused(kind))
}
