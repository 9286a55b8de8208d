//! Searching a log that diverged, or lacks unread records, for a rebase.
//!
//! A reader whose log lost records or began anew holds what it has, and beside
//! that reads the log from its first record in batches at a bounded rate. The
//! replica folds them apart from its state and takes over only a state that a
//! rebase has moved past the one held. The search begins again when the log
//! gets shorter and from time to time, since the log may be lost more than once.

use std::time::{Duration, Instant};

use feed::port::{LogRecord, ReadReply, RecordBatch, Result as LogResult};
use model::{ConfigVersion, LogOffset};

use crate::message::{LogRead, LogTag, OutputList, SpreadAlarm, SpreadOutput};
use crate::node::SpreadNode;
use crate::reader::{LogState, is_sound};
use crate::replica::{ReplicaHead, ReplicaPort, SearchOutcome, record_hash};
use crate::settings::SpreadSettings;

/// Shortest time between two reads of a search.
const SEARCH_SPACING: Duration = Duration::from_millis(500);

/// Pause of a search that cannot go on.
const SEARCH_PAUSE: Duration = Duration::from_secs(5);

/// A read under way.
#[derive(Clone, Copy, Debug)]
struct PendingSearch {
    tag: LogTag,
    deadline: Instant,
}

/// What a step of a search came to.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum SearchStep {
    /// Nothing to fold.
    Waiting,
    /// The search is to begin at this offset.
    Begin(LogOffset),
    /// Records that follow those folded before.
    Fold(Vec<LogRecord>),
}

/// Where a search stands.
#[derive(Debug, Default)]
pub(crate) struct RecoverySearch {
    next: Option<LogOffset>,
    begun_at: Option<Instant>,
    pending: Option<PendingSearch>,
    not_before: Option<Instant>,
}

impl RecoverySearch {
    /// Whether the answer with this tag is the search's.
    pub(crate) fn awaits(&self, tag: LogTag) -> bool {
        self.pending.is_some_and(|pending| pending.tag == tag)
    }

    /// Whether a search has begun.
    pub(crate) fn is_active(&self) -> bool {
        self.next.is_some()
    }

    /// Begins at `first`.
    pub(crate) fn begin(&mut self, first: LogOffset, now: Instant) {
        self.next = Some(first);
        self.begun_at = Some(now);
    }

    /// The next read, if it is time.
    fn poll(&mut self, settings: &SpreadSettings, tag: LogTag, now: Instant) -> Option<LogRead> {
        let waits = self.pending.is_some_and(|pending| now < pending.deadline);
        let early = self.not_before.is_some_and(|at| now < at);
        if waits || early {
            return None;
        }
        self.not_before = Some(now + SEARCH_SPACING);
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

    /// Takes the answer to the last read.
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
            Ok(ReadReply::Batch(batch)) => self.judge(settings, from, batch, now),
            Err(_) => self.pause(now),
        }
    }

    fn judge(
        &mut self,
        settings: &SpreadSettings,
        from: LogOffset,
        batch: RecordBatch,
        now: Instant,
    ) -> SearchStep {
        if !is_sound(&batch, from) {
            return self.pause(now);
        }
        let old = |at: Instant| now.saturating_duration_since(at) >= settings.verify_interval;
        let again = batch.records.is_empty() && self.begun_at.is_some_and(old);
        if batch.next < from || again {
            return SearchStep::Begin(batch.first);
        }
        if batch.records.is_empty() {
            return SearchStep::Waiting;
        }
        SearchStep::Fold(batch.records)
    }

    /// The replica has folded all records before `next`.
    fn advance(&mut self, next: LogOffset, wanted: LogOffset, now: Instant) {
        self.next = Some(next);
        if next < wanted {
            self.pause(now);
        }
    }

    fn pause(&mut self, now: Instant) -> SearchStep {
        self.not_before = Some(now + SEARCH_PAUSE);
        SearchStep::Waiting
    }
}

impl<R: ReplicaPort> SpreadNode<R> {
    /// Whether the log contradicts this daemon, which then takes only a rebase.
    pub(crate) fn holds_last(&self) -> bool {
        matches!(self.reader.state(), LogState::Diverged(_))
    }

    /// Whether records expired that this daemon did not read. Unlike a diverged
    /// one it takes every newer state, since it may stand behind the gap.
    pub(crate) fn misses_records(&self) -> bool {
        matches!(self.reader.state(), LogState::Gap(_))
    }

    /// Searches while the log is diverged or begins after what is held.
    pub(crate) fn tick_recovery(&mut self, outputs: &mut OutputList, now: Instant) {
        if !self.holds_last() && !self.misses_records() {
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

    /// Gives a search up; its open read goes unheard.
    pub(crate) fn end_recovery(&mut self) {
        if self.recovery.is_active() {
            self.recovery = RecoverySearch::default();
            self.replica.end_rebase_search();
        }
    }

    /// Takes the answer to a read of the search.
    pub(crate) fn take_search(
        &mut self,
        answer: LogResult<ReadReply>,
        outputs: &mut OutputList,
        now: Instant,
    ) {
        match self.recovery.answer(&self.settings, answer, now) {
            SearchStep::Waiting => {}
            SearchStep::Begin(first) => self.begin_recovery(first, now),
            SearchStep::Fold(records) => self.search(&records, outputs, now),
        }
    }

    fn search(&mut self, records: &[LogRecord], outputs: &mut OutputList, now: Instant) {
        let before = self.head;
        match self.replica.continue_rebase_search(records) {
            SearchOutcome::Searching(next) => {
                let wanted = records.last().map_or(next, |last| last.offset.next());
                self.recovery.advance(next, wanted, now);
            }
            SearchOutcome::Found => {
                let next = self.replica.next_offset();
                let rebase = records.iter().find(|record| record.offset.next() == next);
                self.load(now);
                self.adopt(rebase.map_or(0, record_hash), outputs, now);
                self.follow_rebase(&before, outputs);
            }
        }
    }

    /// Reads on where the log goes on, if the state now held was rebased past `before`.
    pub(crate) fn follow_rebase(&mut self, before: &ReplicaHead, outputs: &mut OutputList) {
        if !self.holds_last() && self.head.skipped() == before.skipped() {
            return;
        }
        self.end_recovery();
        // An open read asks from an offset of the log before.
        self.reader.stop();
        if before.position != ConfigVersion::NONE {
            let (next, version) = (self.head.next, self.head.version);
            let alarm = SpreadAlarm::LogRebased { next, version };
            outputs.push(SpreadOutput::Alarm(alarm));
        }
    }
}
