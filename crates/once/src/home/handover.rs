//! Handing books over in a planned stop.
//!
//! The leaving home seals a book, which from then on begins no call, and sends
//! it in pages to its successor. The successor stages the pages and takes the
//! book into use when it is entitled to: an issuer's book as soon as it is
//! whole, a range's book when the log gives it the term that follows the
//! sealed one. Calls that still run are settled by messages as they end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{ErrorKind, KindError};
use serde::{Deserialize, Serialize};

use super::answer::StoredAnswer;
use super::book::{BookGate, BookId, IssuerGate, KeyBook, RangeGate};
use super::entry::{KeyEntry, KeyState};
use super::keys::KeyHome;
use crate::key::KeyDigest;
use crate::lease::{HolderId, KeyRange, LeaseTerm, LogStamp, TermRef};

/// What handing over returns; kinds `FrameInvalid`, `HomeFull`, `HomeUnavailable`.
pub type Result<T> = model::Result<T>;

/// Most keys on a page.
pub const MAX_PAGE_KEYS: usize = 512;
/// A page with this many bytes of answers takes no further key.
pub const PAGE_ANSWER_BYTES: u64 = 128 << 10;
/// Books that are staged at once.
const MAX_STAGED_BOOKS: usize = 4 * KeyRange::COUNT;

/// A part of a book on its way to its next home.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandoverPage {
    /// Which book.
    pub book: BookId,
    /// Position among the book's pages.
    pub number: u32,
    /// Whether it is the last one.
    pub last: bool,
    /// Number of keys on all pages.
    pub total: u32,
    /// Keys with an earlier time are not admitted.
    pub floor_s: u32,
    /// How the book admits keys.
    pub gate: HandedGate,
    /// The keys of this page.
    pub keys: Vec<HandedKey>,
}

/// How a handed book admits keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HandedGate {
    /// A range's book.
    Range {
        /// Keys made up to here are earlier holders'.
        owns_after: Option<LogStamp>,
        /// Milliseconds until keys without a time are admitted.
        untimed_wait_ms: u64,
    },
    /// An issuer's book.
    Issuer {
        /// Milliseconds since the issuer's start.
        uptime_ms: u64,
        /// Number of keys issued.
        issued: u64,
    },
}

/// One key of a handed book.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandedKey {
    /// The key.
    pub digest: KeyDigest,
    /// Half of the request's fingerprint.
    pub print: u64,
    /// The key's own time in seconds, or the age of a key without one.
    pub time_s: u32,
    /// Whether the key carries a time.
    pub timed: bool,
    /// How far the call has come.
    pub state: KeyState,
    /// Status of the first answer.
    pub status: u16,
    /// The first answer, if it is held.
    pub answer: Option<Arc<StoredAnswer>>,
}

/// What the successor says to a page.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StageAnswer {
    /// Send the page with this number.
    Next(u32),
    /// The book is whole.
    Whole,
}

/// A book that is being received.
#[derive(Debug)]
pub(super) struct StagedBook {
    pub(super) from: HolderId,
    pub(super) book: KeyBook,
    gate: HandedGate,
    received: Instant,
    pages: u32,
    whole: bool,
}

impl KeyHome {
    /// Every book with keys that a leaving home hands over.
    pub fn books_to_hand(&self) -> Vec<BookId> {
        let live = self.books.iter().filter(|(_, book)| !book.ended);
        let mut ids: Vec<BookId> = live.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Seals a book for `successor` and gives its pages; it never begins a call again.
    ///
    /// An issuer's book goes to one successor only, for it is taken into use
    /// without the log.
    pub fn seal(&mut self, id: BookId, successor: HolderId) -> Result<Vec<HandoverPage>> {
        let uptime_s = self.uptime().as_secs() as u32;
        let now = self.clock.now();
        let missing = || KindError::new(ErrorKind::HomeUnavailable, format!("{id} is not held"));
        let book = self.books.get_mut(&id).ok_or_else(missing)?;
        let elsewhere = book.successor.is_some_and(|sealed| sealed != successor);
        if elsewhere && matches!(id, BookId::Issuer(_)) {
            return Err(KindError::new(
                ErrorKind::HomeUnavailable,
                format!("{id} was handed to another home"),
            ));
        }
        book.successor = Some(successor);
        let gate = handed_gate(&book.gate, now);
        let handed = |(digest, entry): (&KeyDigest, &KeyEntry)| HandedKey {
            digest: *digest,
            print: entry.print,
            time_s: if entry.timed {
                entry.born_s
            } else {
                uptime_s.saturating_sub(entry.born_s)
            },
            timed: entry.timed,
            state: match entry.state {
                KeyState::Running => KeyState::RunningElsewhere,
                state => state,
            },
            status: entry.status,
            answer: self.answers.get(*digest).cloned(),
        };
        let mut keys: Vec<HandedKey> = book.entries.iter().map(handed).collect();
        keys.sort_unstable_by_key(|key| key.digest);
        Ok(cut_pages(id, book.floor_s, &gate, keys))
    }

    /// Takes a page from the daemon run `from`.
    pub fn stage(&mut self, from: HolderId, page: HandoverPage) -> Result<StageAnswer> {
        let now = self.clock.now();
        let id = page.book;
        if matches!(id, BookId::Issuer(_)) && self.books.contains_key(&id) {
            return Ok(StageAnswer::Whole);
        }
        self.check_page(&page)?;
        let known = self.staged.get(&id);
        if known.is_some_and(|staged| staged.from == from && staged.whole) {
            return Ok(StageAnswer::Whole);
        }
        if page.number == 0 {
            self.staged.insert(id, StagedBook::new(from, &page, now));
        }
        let staged = self.staged.get_mut(&id);
        let Some(staged) = staged.filter(|staged| staged.from == from) else {
            return Ok(StageAnswer::Next(0));
        };
        if staged.pages != page.number {
            return Ok(StageAnswer::Next(staged.pages));
        }
        staged.pages += 1;
        let (last, total) = (page.last, page.total);
        self.take_keys(id, page.keys);
        self.finish_stage(id, last, total)
    }

    fn check_page(&self, page: &HandoverPage) -> Result<()> {
        let sized = page.keys.len() <= MAX_PAGE_KEYS;
        let kind = match (page.book, &page.gate) {
            (BookId::Range(term), HandedGate::Range { .. }) => term.range.index().is_some(),
            (BookId::Issuer(_), HandedGate::Issuer { .. }) => true,
            _ => false,
        };
        model::ensure(sized && kind, ErrorKind::FrameInvalid, "handover page")?;
        let room = self.key_count + page.total as usize <= self.settings.max_keys;
        let first = page.number == 0;
        let books = self.staged.len() < MAX_STAGED_BOOKS;
        model::ensure(
            !first || (room && books),
            ErrorKind::HomeFull,
            "no room for the handed keys",
        )
    }

    fn take_keys(&mut self, id: BookId, keys: Vec<HandedKey>) {
        let uptime_s = self.uptime().as_secs() as u32;
        let Some(staged) = self.staged.get_mut(&id) else {
            return;
        };
        for key in keys {
            let born_s = if key.timed {
                key.time_s
            } else {
                uptime_s.saturating_sub(key.time_s)
            };
            let entry = KeyEntry {
                print: key.print,
                born_s,
                status: key.status,
                state: key.state,
                timed: key.timed,
            };
            staged.book.entries.insert(key.digest, entry);
            if let Some(answer) = key.answer {
                self.answers.put(key.digest, answer);
            }
        }
        self.count_keys();
    }

    fn finish_stage(&mut self, id: BookId, last: bool, total: u32) -> Result<StageAnswer> {
        let Some(staged) = self.staged.get_mut(&id) else {
            return Ok(StageAnswer::Next(0));
        };
        if !last {
            return Ok(StageAnswer::Next(staged.pages));
        }
        if staged.book.entries.len() != total as usize {
            self.staged.remove(&id);
            self.count_keys();
            return Err(KindError::new(
                ErrorKind::FrameInvalid,
                format!("{id}: keys are missing"),
            ));
        }
        staged.whole = true;
        if matches!(id, BookId::Issuer(_))
            && let Some(staged) = self.staged.remove(&id)
        {
            self.books.insert(id, staged.book);
        }
        Ok(StageAnswer::Whole)
    }

    /// The book that the sealed term `term.prior` left, if this home has all of it.
    pub(super) fn inherit_book(
        &mut self,
        range: KeyRange,
        term: LeaseTerm,
        valid_until: Instant,
    ) -> Option<KeyBook> {
        let id = BookId::Range(TermRef::new(range, term.prior));
        let staged = self.staged.remove(&id).filter(|staged| staged.whole)?;
        let HandedGate::Range {
            owns_after,
            untimed_wait_ms,
        } = staged.gate
        else {
            return None;
        };
        let mut book = staged.book;
        book.gate = BookGate::Range(RangeGate {
            term: LeaseTerm { owns_after, ..term },
            untimed_from: staged.received + Duration::from_millis(untimed_wait_ms),
            valid_until,
        });
        Some(book)
    }
}

impl StagedBook {
    fn new(from: HolderId, page: &HandoverPage, now: Instant) -> Self {
        let (uptime_ms, issued) = match page.gate {
            HandedGate::Issuer { uptime_ms, issued } => (uptime_ms, issued),
            HandedGate::Range { .. } => (0, 0),
        };
        let gate = IssuerGate {
            since: now,
            uptime: Duration::from_millis(uptime_ms),
            issued,
        };
        let mut book = KeyBook::new(BookGate::Issuer(gate), now);
        book.floor_s = page.floor_s;
        book.predecessor = Some(from);
        Self {
            from,
            book,
            gate: page.gate.clone(),
            received: now,
            pages: 0,
            whole: false,
        }
    }
}

fn handed_gate(gate: &BookGate, now: Instant) -> HandedGate {
    match gate {
        BookGate::Range(gate) => {
            let wait = gate.untimed_from.saturating_duration_since(now);
            HandedGate::Range {
                owns_after: gate.term.owns_after,
                untimed_wait_ms: wait.as_millis() as u64 + 1,
            }
        }
        BookGate::Issuer(gate) => HandedGate::Issuer {
            uptime_ms: gate.uptime_ms(now),
            issued: gate.issued,
        },
    }
}

fn cut_pages(
    book: BookId,
    floor_s: u32,
    gate: &HandedGate,
    keys: Vec<HandedKey>,
) -> Vec<HandoverPage> {
    let total = keys.len() as u32;
    let page = |number| HandoverPage {
        book,
        number,
        last: false,
        total,
        floor_s,
        gate: gate.clone(),
        keys: Vec::new(),
    };
    let mut pages = vec![page(0)];
    let mut answer_bytes = 0;
    for key in keys {
        let current = pages.last().expect("there is always a page");
        if current.keys.len() == MAX_PAGE_KEYS || answer_bytes >= PAGE_ANSWER_BYTES {
            pages.push(page(pages.len() as u32));
            answer_bytes = 0;
        }
        answer_bytes += key.answer.as_ref().map_or(0, |answer| answer.size().0);
        let current = pages.last_mut().expect("there is always a page");
        current.keys.push(key);
    }
    pages.last_mut().expect("there is always a page").last = true;
    pages
}
