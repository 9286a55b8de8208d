//! The lease table, a deterministic fold over the lease stream.
//!
//! Every reader of the same records computes the same table. A reader that
//! starts in the middle of the stream buffers records until one carries a
//! checkpoint, which is the table of its appender, and then folds the buffered
//! records that the checkpoint does not include. If no holder is left to append
//! a checkpoint, two `Refound` records at least [`MAX_LEASE`] apart with only
//! `Refound` records between them prove that no lease is alive.

use std::collections::VecDeque;
use std::time::Duration;

use feed::port::LogRecord;
use model::LogOffset;
use serde::{Deserialize, Serialize};

use super::record::{LeaseAction, LeaseRecord, RangeClaim};
use super::types::{HolderId, KeyRange, LeaseTerm, LogStamp, TermEpoch, TermRef};
use super::view::{HolderRow, LeaseView};

/// Maximum lease of a claim.
pub const MAX_LEASE: Duration = Duration::from_secs(30);
/// Minimum lease of a claim.
pub const MIN_LEASE: Duration = Duration::from_millis(500);
/// Maximum number of records that are buffered until a checkpoint arrives.
const MAX_BUFFERED_RECORDS: usize = 1024;
/// Maximum skew of callers' clocks that a claim may tolerate.
pub const MAX_SKEW: Duration = Duration::from_secs(10);

/// Copy of a table that a record carries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableCheckpoint {
    /// Records below this offset are included.
    pub next: LogOffset,
    /// Whether the stream was read from its first record.
    pub from_first: bool,
    /// The latest term of each range that has one.
    pub terms: Vec<(KeyRange, LeaseTerm)>,
}

/// Effect of a record on the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FoldChange {
    /// A term began.
    Began {
        /// Range of the term.
        range: KeyRange,
        /// The new term.
        term: LeaseTerm,
        /// Sequence number of the record that began it.
        serial: u64,
    },
    /// All terms of a holder were renewed.
    Renewed {
        /// Holder of the terms.
        holder: HolderId,
        /// Sequence number of the record that renewed them.
        serial: u64,
    },
    /// The whole table was replaced.
    Replaced,
}

/// Latest term of every range.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    /// Offset from which records are buffered; a checkpoint must include all records below it.
    start: LogOffset,
    next: LogOffset,
    known: bool,
    /// Whether the terms were folded from the first record of the stream on.
    from_first: bool,
    terms: [Option<LeaseTerm>; KeyRange::COUNT],
    buffered: VecDeque<LogRecord>,
    refound_at: Option<LogStamp>,
    checkpoint_at: Option<LogStamp>,
}

impl LeaseTable {
    /// Creates a table for a stream that is read from offset `first` on.
    pub fn starting_at(first: LogOffset) -> Self {
        let from_first = first == LogOffset(0);
        Self {
            start: first,
            next: first,
            known: from_first,
            from_first,
            terms: [None; KeyRange::COUNT],
            buffered: VecDeque::new(),
            refound_at: None,
            checkpoint_at: None,
        }
    }

    /// Returns the stamp of the last record that carried a checkpoint.
    pub fn checkpoint_at(&self) -> Option<LogStamp> {
        self.checkpoint_at
    }

    /// Returns the offset of the next record to fold.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns whether all terms are known; otherwise the table waits for a checkpoint.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Returns the latest term of `range`.
    pub fn term(&self, range: KeyRange) -> Option<&LeaseTerm> {
        self.terms.get(range.index()?)?.as_ref()
    }

    /// Returns every range that has a term, with its latest term.
    pub fn terms(&self) -> impl Iterator<Item = (KeyRange, &LeaseTerm)> {
        KeyRange::all().filter_map(|range| Some((range, self.term(range)?)))
    }

    /// Returns the ranges held by `holder`.
    pub fn held_by(&self, holder: HolderId) -> impl Iterator<Item = (KeyRange, &LeaseTerm)> {
        self.terms().filter(move |(_, term)| term.holder == holder)
    }

    /// Returns the table as a checkpoint; `None` while the terms are not known.
    pub fn checkpoint(&self) -> Option<TableCheckpoint> {
        self.known.then(|| TableCheckpoint {
            next: self.next,
            from_first: self.from_first,
            terms: self.terms().map(|(range, term)| (range, *term)).collect(),
        })
    }

    /// Returns the holders, for daemons that do not read the stream.
    pub fn view(&self) -> LeaseView {
        let row = |(range, term): (KeyRange, &LeaseTerm)| HolderRow {
            range,
            holder: term.holder,
            epoch: term.epoch,
        };
        LeaseView {
            next: self.next,
            rows: self.terms().map(row).collect(),
        }
    }

    /// Folds the next record; a record that was folded before has no effect.
    pub fn fold(&mut self, entry: &LogRecord) -> Vec<FoldChange> {
        if entry.offset < self.next {
            return Vec::new();
        }
        self.next = entry.offset.next();
        // An undecodable record has no effect, in the same way on every reader.
        let Ok(record) = LeaseRecord::decode(&entry.body) else {
            return Vec::new();
        };
        if record.action == LeaseAction::Refound {
            return self.fold_refound(entry.at.into());
        }
        self.refound_at = None;
        if record.checkpoint.is_some() {
            self.checkpoint_at = Some(entry.at.into());
        }
        if self.known {
            return self.fold_action(entry, &record);
        }
        self.wait_for_checkpoint(entry, record.checkpoint.as_ref())
    }

    fn fold_action(&mut self, entry: &LogRecord, record: &LeaseRecord) -> Vec<FoldChange> {
        let at = LogStamp::from(entry.at);
        match &record.action {
            LeaseAction::Claim {
                claims,
                lease_ms,
                skew_ms,
            } => {
                let term = LeaseTerm {
                    holder: record.by,
                    epoch: TermEpoch::at(entry.offset),
                    prior: TermEpoch::NONE,
                    begun: at,
                    renewed: at,
                    lease_ms: *lease_ms,
                    skew_ms: *skew_ms,
                    owns_after: Some(at.after(MAX_SKEW)),
                };
                claims
                    .iter()
                    .filter_map(|claim| self.fold_claim(*claim, term, record.serial))
                    .collect()
            }
            LeaseAction::Renew => self.fold_renewal(record.by, record.serial, at),
            LeaseAction::Release { terms, successor } => terms
                .iter()
                .filter_map(|term| self.fold_release(*term, record, *successor, entry))
                .collect(),
            LeaseAction::Refound => Vec::new(),
        }
    }

    fn fold_claim(
        &mut self,
        claim: RangeClaim,
        mut term: LeaseTerm,
        serial: u64,
    ) -> Option<FoldChange> {
        let lease_allowed = (MIN_LEASE..=MAX_LEASE).contains(&term.lease());
        let skew_allowed = u128::from(term.skew_ms) <= MAX_SKEW.as_millis();
        let slot = self.terms.get_mut(claim.range.index()?)?;
        let claimable = match slot {
            Some(current) => claim.prior == current.epoch && term.begun >= current.expires_at(),
            None => claim.prior == TermEpoch::NONE,
        };
        if !claimable || !lease_allowed || !skew_allowed {
            return None;
        }
        term.prior = claim.prior;
        match slot {
            Some(current) => term.owns_after = Some(current.owned_until()),
            None if self.from_first => term.owns_after = None,
            // The log may have dropped the record of an earlier term. That term has expired, so
            // it owns keys up to at most `MAX_SKEW` after this record.
            None => {}
        }
        *slot = Some(term);
        Some(FoldChange::Began {
            range: claim.range,
            term,
            serial,
        })
    }

    fn fold_renewal(&mut self, by: HolderId, serial: u64, at: LogStamp) -> Vec<FoldChange> {
        let mut renewed = false;
        for term in self
            .terms
            .iter_mut()
            .flatten()
            .filter(|term| term.holder == by)
        {
            term.renewed = term.renewed.max(at);
            renewed = true;
        }
        let change = FoldChange::Renewed { holder: by, serial };
        Vec::from_iter(renewed.then_some(change))
    }

    fn fold_release(
        &mut self,
        released: TermRef,
        record: &LeaseRecord,
        successor: HolderId,
        entry: &LogRecord,
    ) -> Option<FoldChange> {
        let at = LogStamp::from(entry.at);
        let slot = self.terms.get_mut(released.range.index()?)?.as_mut()?;
        if slot.holder != record.by || slot.epoch != released.epoch {
            return None;
        }
        *slot = LeaseTerm {
            holder: successor,
            epoch: TermEpoch::at(entry.offset),
            prior: released.epoch,
            begun: at,
            renewed: slot.renewed.max(at),
            owns_after: Some(slot.owned_until()),
            ..*slot
        };
        Some(FoldChange::Began {
            range: released.range,
            term: *slot,
            serial: record.serial,
        })
    }

    fn fold_refound(&mut self, at: LogStamp) -> Vec<FoldChange> {
        let Some(earlier) = self.refound_at else {
            self.refound_at = Some(at);
            return Vec::new();
        };
        if at < earlier.after(MAX_LEASE) {
            return Vec::new();
        }
        self.refound_at = None;
        self.known = true;
        self.from_first = false;
        self.terms = [None; KeyRange::COUNT];
        self.buffered.clear();
        vec![FoldChange::Replaced]
    }

    fn wait_for_checkpoint(
        &mut self,
        entry: &LogRecord,
        checkpoint: Option<&TableCheckpoint>,
    ) -> Vec<FoldChange> {
        if self.buffered.len() == MAX_BUFFERED_RECORDS {
            let dropped = self.buffered.pop_front();
            self.start = dropped.map_or(self.start, |entry| entry.offset.next());
        }
        self.buffered.push_back(entry.clone());
        match checkpoint {
            Some(checkpoint) if checkpoint.next >= self.start => self.load_checkpoint(checkpoint),
            _ => Vec::new(),
        }
    }

    fn load_checkpoint(&mut self, checkpoint: &TableCheckpoint) -> Vec<FoldChange> {
        self.known = true;
        self.from_first = checkpoint.from_first;
        for (range, term) in &checkpoint.terms {
            let slot = range.index().and_then(|index| self.terms.get_mut(index));
            if let Some(slot) = slot {
                *slot = Some(*term);
            }
        }
        for entry in std::mem::take(&mut self.buffered) {
            if entry.offset < checkpoint.next {
                continue;
            }
            if let Ok(record) = LeaseRecord::decode(&entry.body) {
                self.fold_action(&entry, &record);
            }
        }
        vec![FoldChange::Replaced]
    }
}
