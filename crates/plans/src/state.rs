//! The configuration as a pure fold over the config stream.
//!
//! [`ConfigState::apply`] decides on each record from the state and the record
//! alone, so all readers accept and refuse the same records and no leader is
//! needed. Each record, accepted or not, takes the next version number, and an
//! accepted change creates the version of that number. This is its position in
//! the stream, unless a rebase has set a higher number. A log that lost records
//! or was started over is detected by the hash of the last folded record; the
//! state then stays unchanged until a [`RebaseRecord`] moves the version forward.

mod continuity;
mod decide;

use std::time::{Duration, SystemTime};

use model::{ChangeId, ConfigVersion, ErrorKind, KindError, LogOffset, ensure};
use serde::{Deserialize, Serialize};

use crate::change::{ChangeMeta, ChangeRecord, RULES_VERSION, RebaseRecord, StreamRecord};
use crate::entry::EntryEdit;
use crate::head::{ConfigRecord, StateHash, StateHead};
use crate::history::{AcceptedChange, ChangeHistory, version_number};
use crate::lists::ConfigLists;
use crate::verdict::ChangeVerdict;
use decide::{RecordDecision, highest_rebase_version};

/// Result of operations on a state.
///
/// Folding fails with `LogExpired` if records are missing, or with
/// `RulesUnknown`; other operations name the kinds of their errors.
pub type Result<T> = model::Result<T>;

/// Record at which the numbering of versions started: the first one of a log, or a rebase.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogOrigin {
    /// Version of the record.
    pub version: ConfigVersion,
    /// Hash of the record.
    pub hash: StateHash,
}

/// Position and hash of the last folded record.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct LastRecord {
    offset: LogOffset,
    hash: StateHash,
}

/// The configuration after folding a prefix of the config stream.
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
    /// Creates the state before the first record.
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
    /// Returns `Ignored` for a record that has already been folded. Fails
    /// without changing the state: with `LogExpired` if records in between
    /// are missing, and with `RulesUnknown` if the record enables rules that
    /// this release does not implement.
    pub fn apply(&mut self, record: &ConfigRecord) -> Result<ChangeVerdict> {
        let next = self.head.next_offset;
        if record.offset < next {
            return Ok(ChangeVerdict::Ignored);
        }
        if record.offset > next {
            let detail = format!(
                "expected the record at {next}, got the one at {}",
                record.offset
            );
            return Err(KindError::new(ErrorKind::LogExpired, detail));
        }
        let (id, decision) = self.decide(record)?;
        Ok(self.advance(record, id, decision))
    }

    /// Returns the version that the next record would create.
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
            self.reset_to(rebase, record_hash);
        } else {
            self.head.folded = self.next_version();
        }
        if self.last.is_none() && self.origin == LogOrigin::default() {
            self.origin.version = self.head.folded;
            self.origin.hash = record_hash;
        }
        let folded = self.head.folded;
        let verdict = decision.verdict(folded);
        self.head.hash = self.chain_hash(record, record_hash, &verdict);
        self.head.next_offset = record.offset.next();
        self.last = Some(LastRecord {
            offset: record.offset,
            hash: record_hash,
        });
        if let Some(change) = self.accept(record, decision) {
            self.history.record_change(change);
        }
        if let Some(id) = id {
            self.history.record_verdict(id, folded, &verdict);
        }
        self.history.prune(folded);
        verdict
    }

    /// Moves to the version of a rebase and drops the history.
    ///
    /// All readers of the rebase then agree, regardless of their previous state.
    fn reset_to(&mut self, rebase: &RebaseRecord, record_hash: StateHash) {
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

    /// Returns the hash that chains the record and its verdict to the previous hash.
    fn chain_hash(
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

    /// Applies an accepted record; returns its entry for the history.
    fn accept(
        &mut self,
        record: &ConfigRecord,
        decision: RecordDecision,
    ) -> Option<AcceptedChange> {
        let (id, author, note, before) = match decision {
            RecordDecision::Change(change, lists) => {
                let before = self.inverse_edits(&change);
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

    /// Returns the edits that revert `change`, before it is applied.
    fn inverse_edits(&self, change: &ChangeRecord) -> Vec<EntryEdit> {
        let edits = self.effective_edits(change).into_iter();
        edits
            .map(|edit| EntryEdit {
                entry: edit.entry.clone(),
                after: self.lists.entry(&edit.entry),
            })
            .collect()
    }

    /// Creates a state that starts at a rebase, for a log whose earlier records have expired.
    ///
    /// Used only by a reader that found no snapshot. Fails with
    /// `ChangeRefused` unless the rebase directly follows its base: otherwise
    /// a record in between, unknown to this reader, might have caused its
    /// refusal. Fails likewise if the rebase sets no version above the one of
    /// its offset or one above the highest that is allowed, or if this release
    /// does not implement its rules, and with `ListInvalid` if its lists are
    /// invalid.
    pub fn from_rebase(record: &ConfigRecord) -> Result<Self> {
        let StreamRecord::Rebase(rebase) = StreamRecord::decode(&record.body)? else {
            let detail = "the record is not a rebase";
            return Err(KindError::new(ErrorKind::ChangeRefused, detail));
        };
        let follows_base = version_number(rebase.base) == record.offset.0;
        let moves_forward = rebase.version > ConfigVersion::at(record.offset);
        let detail = "the rebase does not directly follow its base";
        ensure(
            follows_base && moves_forward,
            ErrorKind::ChangeRefused,
            detail,
        )?;
        let in_range = rebase.version <= highest_rebase_version();
        let detail = "the version of the rebase is too high";
        ensure(in_range, ErrorKind::ChangeRefused, detail)?;
        let known_rules = (1..=RULES_VERSION).contains(&rebase.rules);
        let detail = "this release does not implement the rules of the rebase";
        ensure(known_rules, ErrorKind::ChangeRefused, detail)?;
        rebase.lists.validate()?;
        let mut state = Self::new();
        let id = rebase.id;
        state.advance(record, Some(id), RecordDecision::Rebase(rebase));
        Ok(state)
    }

    /// Returns the position of the state in the log.
    pub fn head(&self) -> StateHead {
        self.head
    }

    /// Returns the version in force.
    pub fn version(&self) -> ConfigVersion {
        self.head.version
    }

    /// Returns the version number of the last folded record, the base of a change to this state.
    pub fn base(&self) -> ConfigVersion {
        self.head.folded
    }

    /// Returns the offset of the next record.
    pub fn next_offset(&self) -> LogOffset {
        self.head.next_offset
    }

    /// Returns the chain hash over the records and their verdicts, restarted by a rebase.
    pub fn hash(&self) -> StateHash {
        self.head.hash
    }

    /// Returns the record at which the numbering of versions started.
    pub fn origin(&self) -> LogOrigin {
        self.origin
    }

    /// Returns the highest rules version enabled on the stream.
    pub fn rules(&self) -> u16 {
        self.rules
    }

    /// Returns the lists in force.
    pub fn lists(&self) -> &ConfigLists {
        &self.lists
    }

    /// Returns the lists at `base`; fails with `ChangeConflict` if `base` is no longer retained.
    pub fn lists_at(&self, base: ConfigVersion) -> Result<ConfigLists> {
        self.history.check_base(base, self.head.folded)?;
        Ok(self.history.lists_at(base, &self.lists))
    }

    /// Returns the first verdict on a change, if it is retained.
    pub fn outcome_of(&self, id: ChangeId) -> Option<ChangeVerdict> {
        self.history.verdict_of(id)
    }

    /// Returns the version up to which changes have been dropped from the history.
    pub(crate) fn floor(&self) -> ConfigVersion {
        self.history.floor()
    }

    /// Returns the retained changes, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &AcceptedChange> {
        self.history.changes()
    }

    /// Returns a line diff of the change that created `version`, if it is retained.
    pub fn diff_of(&self, version: ConfigVersion) -> Option<String> {
        self.history.diff_of(version, &self.lists)
    }

    /// Creates the change that reverts `version`.
    ///
    /// Fails with `ChangeConflict` if the change is not retained or one of its
    /// entries was changed since.
    pub fn undo(&self, version: ConfigVersion, meta: ChangeMeta) -> Result<ChangeRecord> {
        let refuse = |detail: String| Err(KindError::new(ErrorKind::ChangeConflict, detail));
        let Some(change) = self.history.change(version) else {
            return refuse(format!(
                "version {version} is not a change in the retained history"
            ));
        };
        if change.before.is_empty() {
            return refuse(format!("version {version} has no edits to revert"));
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

/// Returns the time since the epoch in whole milliseconds.
///
/// Readers over HTTP get no finer resolution, and all readers must agree.
fn since_epoch(at: SystemTime) -> Duration {
    let elapsed = at
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Duration::from_millis(elapsed.as_millis() as u64)
}
