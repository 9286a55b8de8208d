//! What a home still knows of keys whose range has passed to another home.
//!
//! A home that was paused or cut off loses its ranges but not its memory. The
//! new home cannot judge keys of earlier terms and answers `KeyUnknown`; before
//! that it asks the other homes. One that held the term owns the key for good:
//! it knows the first answer, or can promise that the call never runs.

use super::book::{BookGate, KeyBook, seconds};
use super::entry::{KeyEntry, KeyState, short_print};
use super::keys::{KeyHome, close_verdict};
use super::verdict::{CloseVerdict, KeyCall, KeyVerdict};
use crate::key::{CallKey, KeyDigest};
use crate::lease::LogStamp;
use crate::print::RequestPrint;

impl KeyHome {
    /// What this home knows for certain about a caller's key; never [`KeyVerdict::Run`].
    ///
    /// A key that it alone could have run and did not is withdrawn, so that the
    /// caller may go on with a fresh key.
    pub fn recall(&mut self, call: &KeyCall) -> Option<KeyVerdict> {
        let CallKey::Caller(key) = &call.key else {
            return None;
        };
        if let Some(entry) = self.range_entry(call.digest) {
            return Some(self.verdict_of(entry, call));
        }
        let time = key.time()?;
        let range = call.digest.range();
        let owner = self
            .range_books(range)
            .find(|(_, book)| owned_for_good(book, time))
            .map(|(id, _)| *id)?;
        if self.key_count >= self.settings.max_keys {
            return None;
        }
        let entry = KeyEntry {
            print: short_print(call.print),
            born_s: seconds(time),
            status: 0,
            state: KeyState::Withdrawn,
            timed: true,
        };
        let book = self.books.get_mut(&owner)?;
        book.entries.insert(call.digest, entry);
        self.key_count += 1;
        Some(self.verdict_of(entry, call))
    }

    /// Closes a caller's key of an earlier term, if this home can tell about it.
    pub fn recall_close(&mut self, key: &CallKey, digest: KeyDigest) -> Option<CloseVerdict> {
        let entry = self.range_entry(digest);
        let call = KeyCall {
            key: key.clone(),
            digest,
            // Closing asks about the key, whatever its request was.
            print: RequestPrint(entry.map_or(0, |entry| entry.print.into())),
        };
        let verdict = self.recall(&call)?;
        Some(close_verdict(verdict, entry))
    }
}

/// Whether the book, whose term has ended, was the only one that could run keys of `time`.
fn owned_for_good(book: &KeyBook, time: LogStamp) -> bool {
    let BookGate::Range(gate) = &book.gate else {
        return false;
    };
    let kept = seconds(time) >= book.floor_s;
    book.ended && book.successor.is_none() && kept && gate.term.owns(time)
}
