//! Searches a log that diverged, or whose records expired unread, for a rebase.
//!
//! A reader whose log lost records or was started anew keeps its state. Meanwhile
//! it reads the log from the first record, in batches and at a limited rate. The
//! replica folds these records separately from its state and adopts only a state
//! that a rebase has moved past its own. The search restarts when the log gets
//! shorter and at intervals, since the log may be lost more than once.

use std::time::{Duration, Instant};

use feed::port::{LogRecord, ReadReply, RecordBatch, Result as LogResult};
use model::{ConfigVersion, LogOffset};

use crate::message::{LogRead, LogTag, OutputList, SpreadAlarm, SpreadOutput};
use crate::node::SpreadNode;
use crate::reader::{LogState, is_contiguous};
use crate::replica::{ReplicaHead, ReplicaPort, SearchOutcome, record_hash};
use crate::settings::SpreadSettings;

/// Minimum time between two reads of a search.
const MIN_SEARCH_INTERVAL: Duration = Duration::from_millis(500);

/// Time before the next read of a search that cannot continue.
const SEARCH_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Read of a search that is in progress.
#[derive(Clone, Copy, Debug)]
struct PendingSearch {
    tag: LogTag,
    deadline: Instant,
}

/// Result of one step of a search.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum SearchStep {
    /// There is nothing to fold.
    Waiting,
    /// The search must start over at this offset.
    Begin(LogOffset),
    /// Records that follow the ones folded so far.
    Fold(Vec<LogRecord>),
}

/// Progress of a search.
#[derive(Debug, Default)]
pub(crate) struct RecoverySearch {
    next: Option<LogOffset>,
    begun_at: Option<Instant>,
    pending: Option<PendingSearch>,
    not_before: Option<Instant>,
}

impl RecoverySearch {
    /// Returns whether the search waits for the answer with this tag.
    pub(crate) fn awaits(&self, tag: LogTag) -> bool {
        self.pending.is_some_and(|pending| pending.tag == tag)
    }

    /// Returns whether a search is in progress.
    pub(crate) fn is_active(&self) -> bool {
        self.next.is_some()
    }

    /// Starts a search at `first`.
    pub(crate) fn begin(&mut self, first: LogOffset, now: Instant) {
        self.next = Some(first);
        self.begun_at = Some(now);
    }

    /// Returns the next read if it is due.
    fn poll(&mut self, settings: &SpreadSettings, tag: LogTag, now: Instant) -> Option<LogRead> {
        let is_waiting = self.pending.is_some_and(|pending| now < pending.deadline);
        let too_early = self.not_before.is_some_and(|at| now < at);
        if is_waiting || too_early {
            return None;
        }
        self.not_before = Some(now + MIN_SEARCH_INTERVAL);
        self.pending = Some(PendingSearch {
            tag,
            deadline: now + settings.read_timeout,
        });
        Some(LogRead {
            tag,
            stream: settings.config_stream.clone(),
            from: self.next?,
            limit: settings.read_limit,
            wait: Duration::ZERO,
        })
    }

    /// Handles the answer to the last read.
    fn answer(
        &mut self,
        settings: &SpreadSettings,
        answer: LogResult<ReadReply>,
        now: Instant,
    ) -> SearchStep {
        self.pending = None;
        let Some(from) = self.next else {
            return SearchStep::Waiting;
        };
        match answer {
            Ok(ReadReply::Expired { first }) => SearchStep::Begin(first),
            Ok(ReadReply::Batch(batch)) => self.check_batch(settings, from, batch, now),
            Err(_) => self.pause(now),
        }
    }

    fn check_batch(
        &mut self,
        settings: &SpreadSettings,
        from: LogOffset,
        batch: RecordBatch,
        now: Instant,
    ) -> SearchStep {
        if !is_contiguous(&batch, from) {
            return self.pause(now);
        }
        let is_old = |at: Instant| now.saturating_duration_since(at) >= settings.verify_interval;
        let restart = batch.records.is_empty() && self.begun_at.is_some_and(is_old);
        if batch.next < from || restart {
            return SearchStep::Begin(batch.first);
        }
        if batch.records.is_empty() {
            return SearchStep::Waiting;
        }
        SearchStep::Fold(batch.records)
    }

    /// Continues at `next`, after a delay if the replica stopped before `expected`.
    fn advance(&mut self, next: LogOffset, expected: LogOffset, now: Instant) {
        self.next = Some(next);
        if next < expected {
            self.pause(now);
        }
    }

    fn pause(&mut self, now: Instant) -> SearchStep {
        self.not_before = Some(now + SEARCH_RETRY_DELAY);
        SearchStep::Waiting
    }
}

impl<R: ReplicaPort> SpreadNode<R> {
    /// Returns whether the log diverged from this daemon's state, which then only
    /// a rebase may replace.
    pub(crate) fn is_log_diverged(&self) -> bool {
        matches!(self.reader.state(), LogState::Diverged(_))
    }

    /// Returns whether records expired that this daemon did not read.
    ///
    /// Unlike after a divergence, any newer state is accepted, since it may include
    /// the expired records.
    pub(crate) fn has_log_gap(&self) -> bool {
        matches!(self.reader.state(), LogState::Gap(_))
    }

    /// Searches while the log has diverged or starts after this daemon's head.
    pub(crate) fn tick_recovery(&mut self, outputs: &mut OutputList, now: Instant) {
        if !self.is_log_diverged() && !self.has_log_gap() {
            self.end_recovery();
            return;
        }
        if !self.recovery.is_active() {
            self.begin_recovery(LogOffset::default(), now);
        }
        let tag = self.next_tag();
        let read = self.recovery.poll(&self.settings, tag, now);
        outputs.extend(read.map(SpreadOutput::ReadLog));
    }

    fn begin_recovery(&mut self, first: LogOffset, now: Instant) {
        self.recovery.begin(first, now);
        self.replica.begin_rebase_search(first);
    }

    /// Ends a search; the answer to its pending read is ignored.
    pub(crate) fn end_recovery(&mut self) {
        if self.recovery.is_active() {
            self.recovery = RecoverySearch::default();
            self.replica.end_rebase_search();
        }
    }

    /// Handles the answer to a read of the search.
    pub(crate) fn handle_search_answer(
        &mut self,
        answer: LogResult<ReadReply>,
        outputs: &mut OutputList,
        now: Instant,
    ) {
        match self.recovery.answer(&self.settings, answer, now) {
            SearchStep::Waiting => {}
            SearchStep::Begin(first) => self.begin_recovery(first, now),
            SearchStep::Fold(records) => self.search_records(&records, outputs, now),
        }
    }

    fn search_records(&mut self, records: &[LogRecord], outputs: &mut OutputList, now: Instant) {
        let before = self.head;
        match self.replica.continue_rebase_search(records) {
            SearchOutcome::Searching(next) => {
                let expected = records.last().map_or(next, |last| last.offset.next());
                self.recovery.advance(next, expected, now);
            }
            SearchOutcome::Found => {
                let next = self.replica.next_offset();
                let rebase = records.iter().find(|record| record.offset.next() == next);
                self.mark_loaded(now);
                self.adopt_state(rebase.map_or(0, record_hash), outputs, now);
                self.resume_after_rebase(&before, outputs);
            }
        }
    }

    /// Restarts the reader where the log continues, if the log had diverged or the new
    /// state was rebased past `before`.
    pub(crate) fn resume_after_rebase(&mut self, before: &ReplicaHead, outputs: &mut OutputList) {
        if !self.is_log_diverged() && self.head.rebase_shift() == before.rebase_shift() {
            return;
        }
        self.end_recovery();
        // A pending read uses an offset of the log before the rebase.
        self.reader.reset();
        if before.position != ConfigVersion::NONE {
            let (next, version) = (self.head.next, self.head.version);
            let alarm = SpreadAlarm::LogRebased { next, version };
            outputs.push(SpreadOutput::Alarm(alarm));
        }
    }
}
