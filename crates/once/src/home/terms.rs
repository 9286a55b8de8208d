//! How a home's books come and go with leases and time.

use std::time::{Duration, Instant};

use super::book::{BookGate, BookId, KeyBook, RangeGate, floor_before};
use super::keys::KeyHome;
use crate::lease::{KeyRange, LeaseTerm, LogStamp, TermRef, TermUpdate};

/// Books whose term has ended that are kept for their answers.
const MAX_ENDED_BOOKS: usize = 2 * KeyRange::COUNT;
/// Time between two looks for expired keys.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// A book taken over stays this many windows, lest a late page revive it.
const EMPTY_BOOK_WINDOWS: u32 = 4;

impl KeyHome {
    /// Takes a change of the leases.
    pub fn on_term(&mut self, update: TermUpdate) {
        match update {
            TermUpdate::Held {
                range,
                term,
                valid_until,
            } => self.hold_term(range, term, valid_until),
            TermUpdate::Ended(term) => self.end_term(term),
        }
    }

    /// Forgets expired keys; `log_now` is a time that the log's clock has passed.
    ///
    /// Looks at every key, so it does so only every few seconds.
    pub fn on_tick(&mut self, log_now: Option<LogStamp>) {
        let now = self.clock.now();
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        let window = self.settings.window;
        let uptime_ms = self.uptime().as_millis() as u64;
        let untimed_floor = floor_before(uptime_ms, window);
        let log_floor = log_now.map_or(0, |stamp| floor_before(stamp.0, window));
        let mut forgot = false;
        for book in self.books.values_mut() {
            let floor = match &book.gate {
                BookGate::Range(_) => log_floor,
                BookGate::Issuer(gate) => {
                    floor_before(gate.uptime_ms(now), self.settings.issued_window)
                }
            };
            forgot |= book.forget(floor, untimed_floor);
        }
        self.drop_books();
        if forgot {
            self.forget_answers();
        }
        self.count_keys();
    }

    /// Forgets the answers of keys that no book remembers, in use or still to come.
    fn forget_answers(&mut self) {
        let staged = self.staged.values().map(|staged| &staged.book);
        let books: Vec<&KeyBook> = self.books.values().chain(staged).collect();
        let remembers = |digest| books.iter().any(|book| book.entries.contains_key(&digest));
        self.answers.retain(remembers);
    }

    pub(super) fn count_keys(&mut self) {
        let books = self.books.values().map(|book| book.entries.len());
        let staged = self.staged.values().map(|staged| staged.book.entries.len());
        self.key_count = books.chain(staged).sum();
    }

    fn hold_term(&mut self, range: KeyRange, term: LeaseTerm, valid_until: Instant) {
        let held = TermRef::new(range, term.epoch);
        if let Some(book) = self.books.get_mut(&BookId::Range(held)) {
            if let BookGate::Range(gate) = &mut book.gate {
                let owns_after = gate.term.owns_after;
                gate.term = LeaseTerm { owns_after, ..term };
                gate.valid_until = valid_until;
            }
            return;
        }
        if let Some(earlier) = self.current.get(&range).copied() {
            self.end_term(earlier);
        }
        let book = self
            .inherit_book(range, term, valid_until)
            .unwrap_or_else(|| self.fresh_book(term, valid_until));
        self.books.insert(BookId::Range(held), book);
        self.current.insert(range, held);
        self.count_keys();
    }

    fn fresh_book(&self, term: LeaseTerm, valid_until: Instant) -> KeyBook {
        let now = self.clock.now();
        let wait = match term.owns_after {
            Some(_) => self.settings.window * (1000 + self.settings.drift_permille) / 1000,
            None => Duration::ZERO,
        };
        let gate = RangeGate {
            term,
            untimed_from: now + wait,
            valid_until,
        };
        let mut book = KeyBook::new(BookGate::Range(gate), now);
        // Without an earlier holder the fence is open downwards; keys older than
        // the window are not admitted even before the first sweep.
        book.floor_s = floor_before(term.begun.0, self.settings.window);
        book
    }

    fn end_term(&mut self, ended: TermRef) {
        if let Some(book) = self.books.get_mut(&BookId::Range(ended)) {
            book.ended = true;
        }
        if self.current.get(&ended.range) == Some(&ended) {
            self.current.remove(&ended.range);
        }
    }

    /// Drops books that can neither run nor answer anything.
    fn drop_books(&mut self) {
        let me = self.me;
        let now = self.clock.now();
        let memory = self.settings.issued_window * EMPTY_BOOK_WINDOWS;
        let is_old = |opened: Instant| now.saturating_duration_since(opened) > memory;
        self.books.retain(|id, book| match id {
            BookId::Issuer(issuer) => {
                *issuer == me || !book.entries.is_empty() || !is_old(book.opened)
            }
            BookId::Range(_) => !book.ended || !book.entries.is_empty(),
        });
        self.staged.retain(|_, staged| !is_old(staged.book.opened));
        let ended = self.books.iter().filter(|(_, book)| book.ended);
        let mut ended: Vec<BookId> = ended.map(|(id, _)| *id).collect();
        if ended.len() > MAX_ENDED_BOOKS {
            ended.sort_unstable_by_key(|id| match id {
                BookId::Range(term) => term.epoch.0,
                BookId::Issuer(_) => u64::MAX,
            });
            for id in &ended[..ended.len() - MAX_ENDED_BOOKS] {
                self.books.remove(id);
            }
            self.count_keys();
        }
    }
}
