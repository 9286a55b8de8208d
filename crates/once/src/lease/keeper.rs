//! Claims, renews and releases the ranges of one key home.
//!
//! Reads the lease stream through its owner, folds it, and says what to
//! append. An append whose answer is lost needs no care: whether it took
//! effect is read from the stream, and a repeated one changes nothing. A
//! holder counts its lease on its monotonic clock from before it sent the
//! append, less the drift that clocks may have.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use feed::port::ReadAnswer;
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
/// Pause between two reads, in tenths of the time between renewals.
///
/// A home must see its renewals well before its lease ends; what moves ranges
/// ends the pause.
const READ_PAUSE_TENTHS: u32 = 4;
/// Most records in one read.
const READ_LIMIT: RecordCount = RecordCount(256);
/// Ranges move between homes that stay only after their list is this old.
const REBALANCE_DELAY: Duration = Duration::from_secs(10);
/// Claims wait up to this long after a change of the homes.
const CLAIM_JITTER: Duration = Duration::from_millis(300);

/// Times of a key home's leases.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// Length of a lease.
    pub lease: Duration,
    /// Time between renewals; several fit into a lease.
    pub renew_interval: Duration,
    /// Skew of callers' clocks that is allowed for.
    pub skew: Duration,
    /// Drift of monotonic clocks, in parts per thousand.
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

/// What the keeper wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseOutput {
    /// Read the stream; answer with `on_read` or `on_read_failed`.
    Read {
        /// Where to read on.
        from: LogOffset,
        /// Most records to read; fewer show that the end was reached.
        limit: RecordCount,
    },
    /// Append to the stream; answer with `on_appended`.
    Append {
        /// Number of the record.
        serial: u64,
        /// The record.
        body: Box<[u8]>,
    },
    /// A change of this home's terms, for its key states.
    Term(TermUpdate),
    /// The holders changed; pass them on to other daemons.
    View(LeaseView),
    /// An operator must look.
    Alarm(KindError),
}

/// A change of the terms that this home holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TermUpdate {
    /// The home holds a term, new or renewed.
    Held {
        /// The range.
        range: KeyRange,
        /// Its term.
        term: LeaseTerm,
        /// The lease is surely held until then.
        valid_until: Instant,
    },
    /// The home holds the term no longer.
    Ended(TermRef),
}

/// A record whose append is awaited.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingAppend {
    pub(super) serial: u64,
    pub(super) moves_ranges: bool,
}

/// Keeps the leases of one daemon.
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
    pub(super) wanted: Vec<HolderId>,
    pub(super) held: BTreeMap<KeyRange, HeldTerm>,
    pub(super) vacant_since: BTreeMap<KeyRange, Instant>,
    pub(super) releases: VecDeque<(SmallVec<[TermRef; 8]>, HolderId)>,
    pub(super) sent: VecDeque<(u64, Instant)>,
    pub(super) serial: u64,
    pub(super) appending: Option<PendingAppend>,
    pub(super) reading: bool,
    pub(super) caught_up: bool,
    pub(super) known_end: LogOffset,
    pub(super) diverged: bool,
    pub(super) next_read: Instant,
    pub(super) next_append: Instant,
    pub(super) next_claim: Instant,
    pub(super) next_renew: Instant,
    pub(super) next_refound: Instant,
}

impl LeaseKeeper {
    /// A keeper for `me` that reads the stream from its first kept record.
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
            wanted: Vec::new(),
            held: BTreeMap::new(),
            vacant_since: BTreeMap::new(),
            releases: VecDeque::new(),
            sent: VecDeque::new(),
            serial: 0,
            appending: None,
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

    /// The fold over the stream.
    pub fn table(&self) -> &LeaseTable {
        &self.table
    }

    /// A time that the log's clock has passed.
    pub fn log_now(&self) -> Option<LogStamp> {
        self.log_clock.read(self.clock.now())
    }

    /// The terms that this home holds, by its own knowledge.
    pub fn held(&self) -> impl Iterator<Item = TermRef> {
        self.held
            .iter()
            .map(|(range, held)| TermRef::new(*range, held.term.epoch))
    }

    /// Sets the daemons that should be homes; see [`pick_homes`](super::pick_homes).
    pub fn set_homes(&mut self, homes: Vec<HolderId>) {
        if homes == self.homes {
            return;
        }
        self.wanted = assign_ranges(&homes);
        self.homes = homes;
        self.homes_since = self.clock.now();
        self.caught_up = false;
        let jitter = self.rng.random_range(Duration::ZERO..CLAIM_JITTER);
        self.next_claim = self.clock.now() + jitter;
    }

    /// The terms to hand over and to whom: those that other homes should hold.
    ///
    /// Homes that come and go must not move ranges each time, so there are none
    /// for a while after a change, unless this home leaves.
    /// Call [`LeaseKeeper::set_homes`] without this home first to leave.
    pub fn terms_to_hand_over(&self) -> BTreeMap<HolderId, SmallVec<[TermRef; 8]>> {
        let mut plan: BTreeMap<HolderId, SmallVec<[TermRef; 8]>> = BTreeMap::new();
        let steady = self.clock.now().saturating_duration_since(self.homes_since);
        if self.is_home() && steady < REBALANCE_DELAY {
            return plan;
        }
        for term in self.held() {
            let wanted = term.range.index().and_then(|index| self.wanted.get(index));
            if let Some(home) = wanted.filter(|home| **home != self.me) {
                plan.entry(*home).or_default().push(term);
            }
        }
        plan
    }

    /// Appends the release of `terms` once the successor holds their keys.
    pub fn release(&mut self, terms: SmallVec<[TermRef; 8]>, successor: HolderId) {
        self.releases.push_back((terms, successor));
    }

    /// Says what to read and append now.
    pub fn on_tick(&mut self) -> Vec<LeaseOutput> {
        let now = self.clock.now();
        let mut outputs = Vec::new();
        if self.diverged {
            return outputs;
        }
        // Other daemons learn the holders from views; 720 readers are too many.
        let needs_stream = self.is_home() || !self.held.is_empty();
        if needs_stream && !self.reading && now >= self.next_read {
            self.reading = true;
            outputs.push(LeaseOutput::Read {
                from: self.table.next(),
                limit: READ_LIMIT,
            });
        }
        if self.appending.is_none() && now >= self.next_append {
            outputs.extend(self.next_record(now));
        }
        outputs
    }

    /// Takes what a read found.
    pub fn on_read(&mut self, answer: &ReadAnswer) -> Vec<LeaseOutput> {
        self.reading = false;
        let batch = match answer {
            ReadAnswer::Batch(batch) => batch,
            ReadAnswer::Expired { first } => {
                // Terms held so far stay: what they own was settled by records read.
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
                self.take_change(change);
            }
        }
        let mut outputs = self.update_held(&held_before, now);
        let view = self.table.view();
        if view.rows != view_before.rows {
            outputs.push(LeaseOutput::View(view));
        }
        outputs
    }

    /// Takes note of a view from another daemon.
    ///
    /// A stream that ends below it has lost records or began anew, and nothing
    /// is claimed on it.
    pub fn on_view(&mut self, view: &LeaseView) {
        self.known_end = self.known_end.max(view.next);
        if view.next > self.table.next() {
            self.read_soon();
        }
    }

    /// A read failed; it is tried again after a pause.
    pub fn on_read_failed(&mut self) {
        self.reading = false;
        self.caught_up = false;
        self.next_read = self.clock.now() + RETRY_PAUSE;
    }

    /// The append `serial` was answered; whether it took effect is read from the stream.
    pub fn on_appended(&mut self, serial: u64, answered: bool) {
        let pending = self.appending.take_if(|pending| pending.serial == serial);
        if !answered {
            self.next_append = self.clock.now() + RETRY_PAUSE;
        } else if pending.is_some_and(|pending| pending.moves_ranges) {
            self.read_soon();
        }
    }

    /// Ends the pause between two reads, but not the one after a failed read.
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
            "the lease stream ends at {end}, records up to {} were read",
            self.table.next()
        );
        outputs.push(LeaseOutput::Alarm(KindError::new(
            ErrorKind::LogDiverged,
            detail,
        )));
        outputs
    }
}
