//! The configuration as a pure fold over the config stream.
//!
//! [`ConfigState::apply`] judges each record from the state and the record
//! alone, so every reader accepts and refuses alike and nobody has to lead.
//! The version of an accepted change is its place in the stream. A log that
//! lost records or began anew is recognised by the hash of the last record
//! folded; the state then stays as it is until a [`RebaseRecord`] moves the
//! version forward.

mod continuity;
mod judge;

use std::time::{Duration, SystemTime};

use model::{ChangeId, ConfigVersion, ErrorKind, KindError, LogOffset, ensure};
use serde::{Deserialize, Serialize};

use crate::change::{ChangeMeta, ChangeRecord, RebaseRecord, StreamRecord};
use crate::entry::EntryEdit;
use crate::head::{ConfigRecord, StateHash, StateHead};
use crate::history::{AcceptedChange, ChangeHistory, version_number};
use crate::lists::ConfigLists;
use crate::verdict::ChangeVerdict;
use judge::RecordDecision;

/// Results of folding.
///
/// Kinds: `LogExpired` (records are missing), `LogDiverged`, `RulesUnknown`,
/// `ChangeConflict`.
pub type Result<T> = model::Result<T>;

/// Where the numbering of versions began: the start of a log, or a rebase.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogOrigin {
    /// The first version.
    pub version: ConfigVersion,
    /// Hash of the first record.
    pub hash: StateHash,
}

/// The last record folded.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct LastRecord {
    offset: LogOffset,
    hash: StateHash,
}

/// The configuration after some records of the config stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigState {
    rules: u16,
    origin: LogOrigin,
    head: StateHead,
    last: Option<LastRecord>,
    lists: ConfigLists,
    history: ChangeHistory,
}

impl Default for ConfigState {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigState {
    /// The state before the first record.
    pub fn new() -> Self {
        Self {
            rules: 1,
            origin: LogOrigin::default(),
            head: StateHead::default(),
            last: None,
            lists: ConfigLists::default(),
            history: ChangeHistory::default(),
        }
    }

    /// Folds the next record.
    ///
    /// A record folded before is `Ignored`. Fails, and changes nothing, with
    /// `LogExpired` if records are missing in between, with `RulesUnknown` if
    /// the stream now permits rules that this release does not know.
    pub fn apply(&mut self, record: &ConfigRecord) -> Result<ChangeVerdict> {
        let next = self.head.next_offset;
        if record.offset < next {
            return Ok(ChangeVerdict::Ignored);
        }
        if record.offset > next {
            let detail = format!("the fold stands at {next}, the record at {}", record.offset);
            return Err(KindError::new(ErrorKind::LogExpired, detail));
        }
        let (id, decision) = self.judge(record)?;
        Ok(self.advance(record, id, decision))
    }

    /// The version that the next record would make.
    fn next_version(&self) -> ConfigVersion {
        ConfigVersion::at(LogOffset(version_number(self.head.folded)))
    }

    fn advance(
        &mut self,
        record: &ConfigRecord,
        id: Option<ChangeId>,
        decision: RecordDecision,
    ) -> ChangeVerdict {
        let record_hash = StateHash::of_record(record);
        if let RecordDecision::Rebase(rebase) = &decision {
            self.start_over(rebase, record_hash);
        } else {
            self.head.folded = self.next_version();
        }
        if self.last.is_none() && self.origin == LogOrigin::default() {
            self.origin.version = self.head.folded;
            self.origin.hash = record_hash;
        }
        let folded = self.head.folded;
        let verdict = decision.verdict(folded);
        self.head.hash = self.chain(record, record_hash, &verdict);
        self.head.next_offset = record.offset.next();
        self.last = Some(LastRecord {
            offset: record.offset,
            hash: record_hash,
        });
        if let Some(change) = self.accept(record, decision) {
            self.history.remember_change(change);
        }
        if let Some(id) = id {
            self.history.remember_verdict(id, folded, &verdict);
        }
        self.history.prune(folded);
        verdict
    }

    /// Forgets the past, so that all readers of a rebase agree whatever they held before.
    fn start_over(&mut self, rebase: &RebaseRecord, record_hash: StateHash) {
        let version = rebase.version;
        self.rules = rebase.rules;
        self.origin = LogOrigin {
            version,
            hash: record_hash,
        };
        self.head.folded = version;
        self.head.hash = StateHash::default();
        self.history = ChangeHistory::from_floor(version);
    }

    fn chain(
        &self,
        record: &ConfigRecord,
        record_hash: StateHash,
        verdict: &ChangeVerdict,
    ) -> StateHash {
        let tag = match verdict {
            ChangeVerdict::Accepted { .. } => 1,
            ChangeVerdict::Refused(_) => 2,
            ChangeVerdict::Repeated { .. } => 3,
            ChangeVerdict::Ignored => 4,
        };
        let folded = version_number(self.head.folded).to_le_bytes();
        let at = since_epoch(record.at).as_millis().to_le_bytes();
        let previous = self.head.hash;
        StateHash::of(&[
            previous.as_bytes(),
            record_hash.as_bytes(),
            &folded,
            &at,
            &[tag],
        ])
    }

    /// Puts an accepted record in force.
    fn accept(
        &mut self,
        record: &ConfigRecord,
        decision: RecordDecision,
    ) -> Option<AcceptedChange> {
        let (id, author, note, before) = match decision {
            RecordDecision::Change(change, lists) => {
                let before = self.values_before(&change);
                self.lists = lists;
                (change.id, change.author, change.note, before)
            }
            RecordDecision::Rebase(rebase) => {
                self.lists = rebase.lists;
                (rebase.id, rebase.author, rebase.note, Vec::new())
            }
            RecordDecision::Rules(rules) => {
                self.rules = rules.permit;
                let note = format!("rules {} permitted", rules.permit);
                (rules.id, rules.author, note.into(), Vec::new())
            }
            RecordDecision::Refuse(_) | RecordDecision::Repeat(_) => return None,
        };
        self.head.version = self.head.folded;
        Some(AcceptedChange {
            version: self.head.version,
            id,
            author,
            at: SystemTime::UNIX_EPOCH + since_epoch(record.at),
            note,
            before,
            hash: self.head.hash,
        })
    }

    fn values_before(&self, change: &ChangeRecord) -> Vec<EntryEdit> {
        let edits = self.effective_edits(change).into_iter();
        edits
            .map(|edit| EntryEdit {
                entry: edit.entry.clone(),
                after: self.lists.entry(&edit.entry),
            })
            .collect()
    }

    /// A state that begins with a rebase, for a log whose earlier records are gone.
    ///
    /// Only for a reader that found no snapshot. Fails with `ChangeRefused`
    /// unless the rebase follows at once upon its base: else a record in
    /// between, which this reader may not know, could have led to its refusal.
    pub fn from_rebase(record: &ConfigRecord) -> Result<Self> {
        let StreamRecord::Rebase(rebase) = StreamRecord::decode(&record.body)? else {
            let detail = "the record is no rebase";
            return Err(KindError::new(ErrorKind::ChangeRefused, detail));
        };
        let follows = version_number(rebase.base) == record.offset.0;
        let forward = rebase.version > ConfigVersion::at(record.offset);
        let detail = "the rebase does not follow at once upon its base";
        ensure(follows && forward, ErrorKind::ChangeRefused, detail)?;
        rebase.lists.validate()?;
        let mut state = Self::new();
        let id = rebase.id;
        state.advance(record, Some(id), RecordDecision::Rebase(rebase));
        Ok(state)
    }

    /// Where the fold stands.
    pub fn head(&self) -> StateHead {
        self.head
    }

    /// The version in force.
    pub fn version(&self) -> ConfigVersion {
        self.head.version
    }

    /// The last record folded: the base of a change made upon this state.
    pub fn base(&self) -> ConfigVersion {
        self.head.folded
    }

    /// The offset of the next record.
    pub fn next_offset(&self) -> LogOffset {
        self.head.next_offset
    }

    /// Chain hash over all records and their verdicts.
    pub fn hash(&self) -> StateHash {
        self.head.hash
    }

    /// Where the numbering of versions began.
    pub fn origin(&self) -> LogOrigin {
        self.origin
    }

    /// The rules permitted on the stream.
    pub fn rules(&self) -> u16 {
        self.rules
    }

    /// The lists in force.
    pub fn lists(&self) -> &ConfigLists {
        &self.lists
    }

    /// The lists as they were at `base`; fails with `ChangeConflict` if that is forgotten.
    pub fn lists_at(&self, base: ConfigVersion) -> Result<ConfigLists> {
        self.history.check_base(base, self.head.folded)?;
        Ok(self.history.lists_at(base, &self.lists))
    }

    /// The first verdict on a change, while remembered.
    pub fn outcome_of(&self, id: ChangeId) -> Option<ChangeVerdict> {
        self.history.verdict_of(id)
    }

    /// The version up to which changes are forgotten.
    pub(crate) fn floor(&self) -> ConfigVersion {
        self.history.floor()
    }

    /// Recent accepted changes, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &AcceptedChange> {
        self.history.changes()
    }

    /// What the change of `version` did, line by line, while remembered.
    pub fn diff_of(&self, version: ConfigVersion) -> Option<String> {
        self.history.diff_of(version, &self.lists)
    }

    /// The change that takes back `version`.
    ///
    /// Fails with `ChangeConflict` if the version is not remembered or one of
    /// its entries was changed since.
    pub fn undo(&self, version: ConfigVersion, meta: ChangeMeta) -> Result<ChangeRecord> {
        let refuse = |detail: String| Err(KindError::new(ErrorKind::ChangeConflict, detail));
        let Some(change) = self.history.change(version) else {
            return refuse(format!(
                "version {version} made no change that is remembered"
            ));
        };
        if change.before.is_empty() {
            return refuse(format!(
                "version {version} changed no entry that can be taken back"
            ));
        }
        let changed = self.history.changed_since(version);
        for edit in &change.before {
            if let Some(later) = changed.get(&edit.entry) {
                let (entry, author, since) = (&edit.entry, &later.author, later.version);
                return refuse(format!(
                    "{entry} was changed since by {author} in version {since}"
                ));
            }
        }
        Ok(ChangeRecord::new(self.base(), change.before.clone(), meta))
    }
}

/// Whole milliseconds since the epoch: readers over HTTP see no finer time.
fn since_epoch(at: SystemTime) -> Duration {
    let elapsed = at
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Duration::from_millis(elapsed.as_millis() as u64)
}
