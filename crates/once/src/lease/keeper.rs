//! State machine that claims, renews and releases the ranges of one key home.
//!
//! The keeper folds the lease stream, which its owner reads for it, and returns
//! the records to append. A lost answer to an append needs no handling: the
//! stream shows whether the record took effect, and a repeated record changes
//! nothing. A holder counts its lease on its monotonic clock from before it
//! sent the append, minus the possible clock drift.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use feed::port::ReadReply;
use model::{ErrorKind, KindError, LogOffset, RecordCount, SharedClock};
use rand::Rng;
use rand::rngs::SmallRng;
use smallvec::SmallVec;

use super::clock::LogClock;
use super::held::HeldTerm;
use super::placement::assign_ranges;
use super::table::LeaseTable;
use super::types::{HolderId, KeyRange, LeaseTerm, LogStamp, TermRef};
use super::view::LeaseView;

/// Pause after a failed read or append.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Pause between two reads, in tenths of the renewal interval.
///
/// A home must see its renewals well before its lease ends. A record that moves
/// ranges ends the pause early.
const READ_PAUSE_TENTHS: u32 = 4;
/// Maximum number of records in one read.
const READ_LIMIT: RecordCount = RecordCount(256);
/// Time without a change of the homes after which ranges move between running homes.
const REBALANCE_DELAY: Duration = Duration::from_secs(10);
/// Maximum random delay of claims after a change of the homes.
const CLAIM_JITTER: Duration = Duration::from_millis(300);

/// Timing of a key home's leases.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// Length of a lease.
    pub lease: Duration,
    /// Time between renewals; a lease spans several of them.
    pub renew_interval: Duration,
    /// Tolerated skew of callers' clocks.
    pub skew: Duration,
    /// Maximum drift of monotonic clocks, in parts per thousand.
    pub drift_permille: u32,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(8),
            renew_interval: Duration::from_millis(2500),
            skew: Duration::from_secs(2),
            drift_permille: 5,
        }
    }
}

/// Action that the keeper asks its owner to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseOutput {
    /// Read the stream, then call `on_read` or `on_read_failed`.
    Read {
        /// Offset of the first record to read.
        from: LogOffset,
        /// Maximum number of records; a shorter batch means that the end was reached.
        limit: RecordCount,
    },
    /// Append to the stream, then call `on_appended`.
    Append {
        /// Sequence number of the record.
        serial: u64,
        /// Encoded record.
        body: Box<[u8]>,
    },
    /// Pass a change of this home's terms to its [`KeyHome`](crate::KeyHome).
    Term(TermUpdate),
    /// Send the changed holders to the other daemons.
    View(LeaseView),
    /// Alert an operator.
    Alarm(KindError),
}

/// Change of the terms that this home holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TermUpdate {
    /// The home holds a new or renewed term.
    Held {
        /// Range of the term.
        range: KeyRange,
        /// The term.
        term: LeaseTerm,
        /// Time until which the lease is certainly held.
        valid_until: Instant,
    },
    /// The home no longer holds the term.
    Ended(TermRef),
}

/// A record whose append has not been answered yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingAppend {
    pub(super) serial: u64,
    pub(super) moves_ranges: bool,
}

/// Manages the leases of one daemon.
#[derive(Debug)]
pub struct LeaseKeeper {
    pub(super) me: HolderId,
    pub(super) settings: LeaseSettings,
    pub(super) clock: SharedClock,
    pub(super) rng: SmallRng,
    pub(super) table: LeaseTable,
    pub(super) log_clock: LogClock,
    pub(super) homes: Vec<HolderId>,
    pub(super) homes_since: Instant,
    /// Home that should hold each range, by the index of the range.
    pub(super) assigned: Vec<HolderId>,
    pub(super) held: BTreeMap<KeyRange, HeldTerm>,
    pub(super) vacant_since: BTreeMap<KeyRange, Instant>,
    pub(super) releases: VecDeque<(SmallVec<[TermRef; 8]>, HolderId)>,
    /// Sequence number and send time of the latest appends.
    pub(super) sent: VecDeque<(u64, Instant)>,
    pub(super) serial: u64,
    pub(super) pending_append: Option<PendingAppend>,
    pub(super) reading: bool,
    pub(super) caught_up: bool,
    /// Highest `next` of the views from other daemons.
    pub(super) known_end: LogOffset,
    pub(super) diverged: bool,
    pub(super) next_read: Instant,
    pub(super) next_append: Instant,
    pub(super) next_claim: Instant,
    pub(super) next_renew: Instant,
    pub(super) next_refound: Instant,
}

impl LeaseKeeper {
    /// Creates a keeper for `me` that reads the stream from its first retained record.
    pub fn new(me: HolderId, settings: LeaseSettings, clock: SharedClock, rng: SmallRng) -> Self {
        let now = clock.now();
        Self {
            me,
            settings,
            clock,
            rng,
            table: LeaseTable::starting_at(LogOffset(0)),
            log_clock: LogClock::default(),
            homes: Vec::new(),
            homes_since: now,
            assigned: Vec::new(),
            held: BTreeMap::new(),
            vacant_since: BTreeMap::new(),
            releases: VecDeque::new(),
            sent: VecDeque::new(),
            serial: 0,
            pending_append: None,
            reading: false,
            caught_up: false,
            known_end: LogOffset(0),
            diverged: false,
            next_read: now,
            next_append: now,
            next_claim: now,
            next_renew: now,
            next_refound: now,
        }
    }

    /// Returns the lease table as folded from the stream so far.
    pub fn table(&self) -> &LeaseTable {
        &self.table
    }

    /// Returns a time that the log's clock has passed; `None` before the first record.
    pub fn log_now(&self) -> Option<LogStamp> {
        self.log_clock.read(self.clock.now())
    }

    /// Returns the terms that this home holds as far as it knows.
    pub fn held(&self) -> impl Iterator<Item = TermRef> {
        self.held
            .iter()
            .map(|(range, held)| TermRef::new(*range, held.term.epoch))
    }

    /// Sets the daemons that should be homes, as chosen by [`pick_homes`](super::pick_homes).
    pub fn set_homes(&mut self, homes: Vec<HolderId>) {
        if homes == self.homes {
            return;
        }
        self.assigned = assign_ranges(&homes);
        self.homes = homes;
        self.homes_since = self.clock.now();
        self.caught_up = false;
        let jitter = self.rng.random_range(Duration::ZERO..CLAIM_JITTER);
        self.next_claim = self.clock.now() + jitter;
    }

    /// Returns the held terms that other homes should hold, by their new home.
    ///
    /// Empty for a while after a change of the homes, so that a home that comes
    /// and goes does not move ranges each time. This does not apply to a leaving
    /// home, which calls [`LeaseKeeper::set_homes`] without itself first.
    pub fn terms_to_hand_over(&self) -> BTreeMap<HolderId, SmallVec<[TermRef; 8]>> {
        let mut plan: BTreeMap<HolderId, SmallVec<[TermRef; 8]>> = BTreeMap::new();
        let stable_for = self.clock.now().saturating_duration_since(self.homes_since);
        if self.is_home() && stable_for < REBALANCE_DELAY {
            return plan;
        }
        for term in self.held() {
            let assigned = term
                .range
                .index()
                .and_then(|index| self.assigned.get(index));
            if let Some(home) = assigned.filter(|home| **home != self.me) {
                plan.entry(*home).or_default().push(term);
            }
        }
        plan
    }

    /// Queues the release of `terms`; call it once the successor has received their keys.
    pub fn release(&mut self, terms: SmallVec<[TermRef; 8]>, successor: HolderId) {
        self.releases.push_back((terms, successor));
    }

    /// Returns the reads and appends that are due.
    pub fn on_tick(&mut self) -> Vec<LeaseOutput> {
        let now = self.clock.now();
        let mut outputs = Vec::new();
        if self.diverged {
            return outputs;
        }
        // All other daemons receive views instead: 720 readers would overload the log.
        let needs_stream = self.is_home() || !self.held.is_empty();
        if needs_stream && !self.reading && now >= self.next_read {
            self.reading = true;
            outputs.push(LeaseOutput::Read {
                from: self.table.next(),
                limit: READ_LIMIT,
            });
        }
        if self.pending_append.is_none() && now >= self.next_append {
            outputs.extend(self.next_record(now));
        }
        outputs
    }

    /// Processes the answer to a read.
    pub fn on_read(&mut self, answer: &ReadReply) -> Vec<LeaseOutput> {
        self.reading = false;
        let batch = match answer {
            ReadReply::Batch(batch) => batch,
            ReadReply::Expired { first } => {
                // Held terms are kept: what they own depends only on records that have been read.
                self.table = LeaseTable::starting_at(*first);
                return Vec::new();
            }
        };
        if batch.next < self.table.next() {
            return self.stop_diverged(batch.next);
        }
        if batch.records.is_empty() && batch.first > self.table.next() {
            self.table = LeaseTable::starting_at(batch.first);
        }
        let at_end = batch.records.len() < READ_LIMIT.0 as usize;
        self.caught_up = at_end && batch.next >= self.known_end;
        let now = self.clock.now();
        let pause = self.settings.renew_interval * READ_PAUSE_TENTHS / 10;
        self.next_read = if at_end { now + pause } else { now };
        let view_before = self.table.view();
        let held_before = self.held.clone();
        for entry in &batch.records {
            self.log_clock.observe(entry.at.into(), now);
            for change in self.table.fold(entry) {
                self.apply_change(change);
            }
        }
        let mut outputs = self.sync_held(&held_before, now);
        let view = self.table.view();
        if view.rows != view_before.rows {
            outputs.push(LeaseOutput::View(view));
        }
        outputs
    }

    /// Processes a view from another daemon.
    ///
    /// A stream that ends below the view's offset has lost records or was
    /// recreated, and nothing is claimed on it.
    pub fn on_view(&mut self, view: &LeaseView) {
        self.known_end = self.known_end.max(view.next);
        if view.next > self.table.next() {
            self.read_soon();
        }
    }

    /// Handles a failed read, which is retried after a pause.
    pub fn on_read_failed(&mut self) {
        self.reading = false;
        self.caught_up = false;
        self.next_read = self.clock.now() + RETRY_PAUSE;
    }

    /// Handles the end of the append `serial`.
    ///
    /// `answered` is false if the append failed or its answer was lost. Whether
    /// the record took effect is known only from the stream.
    pub fn on_appended(&mut self, serial: u64, answered: bool) {
        let pending = self
            .pending_append
            .take_if(|pending| pending.serial == serial);
        if !answered {
            self.next_append = self.clock.now() + RETRY_PAUSE;
        } else if pending.is_some_and(|pending| pending.moves_ranges) {
            self.read_soon();
        }
    }

    /// Ends the pause between two reads, but not the pause after a failed read.
    fn read_soon(&mut self) {
        if self.caught_up {
            self.next_read = self.clock.now();
        }
    }

    fn stop_diverged(&mut self, end: LogOffset) -> Vec<LeaseOutput> {
        self.diverged = true;
        let ended = std::mem::take(&mut self.held);
        let mut outputs: Vec<LeaseOutput> = ended
            .into_iter()
            .map(|(range, held)| {
                let epoch = held.term.epoch;
                LeaseOutput::Term(TermUpdate::Ended(TermRef::new(range, epoch)))
            })
            .collect();
        let detail = format!(
            "the lease stream ends at offset {end}, but records up to offset {} were read before",
            self.table.next()
        );
        outputs.push(LeaseOutput::Alarm(KindError::new(
            ErrorKind::LogDiverged,
            detail,
        )));
        outputs
    }
}
