//! The records that operators append to the config stream.
//!
//! A [`ChangeRecord`] carries edits of entries together with the version upon
//! which its author made them. A [`RebaseRecord`] carries whole lists, for a
//! log that lost its end or began anew. A [`RulesRecord`] lets a later release
//! judge records by newer rules. All travel as JSON, so that other tools can
//! read the stream, and all are bounded.

use std::collections::BTreeSet;

use model::{AuthorName, ChangeId, ConfigVersion, ErrorKind, KindError, ensure};
use serde::{Deserialize, Serialize};

use crate::entry::EntryEdit;
use crate::lists::ConfigLists;
use crate::state::ConfigState;

/// Results of reading and writing records; kinds `ChangeRefused` and `ListInvalid`.
pub type Result<T> = model::Result<T>;

/// The rules by which this release judges a record.
pub const RULES_VERSION: u16 = 1;
/// Largest record, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;
/// Most edits of one change.
pub const MAX_EDITS: usize = 4096;
/// Longest note, in bytes.
pub const MAX_NOTE_BYTES: usize = 256;

/// Who changes the configuration, and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeMeta {
    /// Identity of the change; kept when the append is repeated.
    pub id: ChangeId,
    /// Who publishes.
    pub author: AuthorName,
    /// Why, in one line.
    pub note: Box<str>,
}

/// Edits of entries, accepted or refused as a whole.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// The rules by which the record is judged.
    pub rules: u16,
    /// Identity of the change.
    pub id: ChangeId,
    /// Who publishes.
    pub author: AuthorName,
    /// The last record that the author had seen.
    pub base: ConfigVersion,
    /// Why, in one line.
    pub note: Box<str>,
    /// The edits.
    pub edits: Vec<EntryEdit>,
}

/// Whole lists that replace all that was before.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RebaseRecord {
    /// The rules by which the record is judged.
    pub rules: u16,
    /// Identity of the change.
    pub id: ChangeId,
    /// Who publishes.
    pub author: AuthorName,
    /// The last record of this log that the author had seen.
    pub base: ConfigVersion,
    /// The version that the record makes; above every version known to any daemon.
    pub version: ConfigVersion,
    /// Why, in one line.
    pub note: Box<str>,
    /// The lists.
    pub lists: ConfigLists,
}

/// Permits records that name newer rules, once every daemon's release knows them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RulesRecord {
    /// The rules by which this record is judged.
    pub rules: u16,
    /// Identity of the change.
    pub id: ChangeId,
    /// Who publishes.
    pub author: AuthorName,
    /// The rules permitted from here on; one above those permitted before.
    pub permit: u16,
}

/// Any record of the config stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum StreamRecord {
    /// Edits of entries.
    Change(ChangeRecord),
    /// Whole lists on a log that began anew.
    Rebase(RebaseRecord),
    /// Newer rules.
    Rules(RulesRecord),
}

impl ChangeRecord {
    /// The change that turns the lists at `base` into `wanted`.
    ///
    /// Edits are taken against the lists as they were at `base`, so what
    /// others changed since is left alone. Fails with `ChangeConflict` if
    /// `base` is older than the state remembers, with `ListInvalid` if
    /// `wanted` breaks a rule.
    pub fn between(
        state: &ConfigState,
        base: ConfigVersion,
        wanted: &ConfigLists,
        meta: ChangeMeta,
    ) -> Result<Self> {
        wanted.validate()?;
        let lists = state.lists_at(base)?;
        Ok(Self::new(base, lists.edits_to(wanted), meta))
    }

    /// A change with these edits.
    pub fn new(base: ConfigVersion, edits: Vec<EntryEdit>, meta: ChangeMeta) -> Self {
        Self {
            rules: RULES_VERSION,
            id: meta.id,
            author: meta.author,
            base,
            note: meta.note,
            edits,
        }
    }

    /// The bytes to append.
    pub fn encode(&self) -> Result<Vec<u8>> {
        StreamRecord::Change(self.clone()).encode()
    }

    /// The change in a record's body.
    pub fn decode(body: &[u8]) -> Result<Self> {
        match StreamRecord::decode(body)? {
            StreamRecord::Change(change) => Ok(change),
            other => Err(refused(format!("not a change but a {}", other.kind_name()))),
        }
    }

    /// Checks the bounds that need no state.
    fn check(&self) -> Result<()> {
        check_note(&self.note)?;
        ensure(
            !self.edits.is_empty(),
            ErrorKind::ChangeRefused,
            "the change edits nothing",
        )?;
        if self.edits.len() > MAX_EDITS {
            let count = self.edits.len();
            return Err(refused(format!(
                "{count} edits; at most {MAX_EDITS} are allowed"
            )));
        }
        let mut seen = BTreeSet::new();
        for edit in &self.edits {
            if !edit.is_well_typed() {
                return Err(refused(format!(
                    "{}: the value is of another kind",
                    edit.entry
                )));
            }
            if !seen.insert(&edit.entry) {
                return Err(refused(format!("{}: edited twice", edit.entry)));
            }
        }
        Ok(())
    }
}

impl RebaseRecord {
    /// A record that makes `lists` the content of `version`.
    pub fn new(
        base: ConfigVersion,
        version: ConfigVersion,
        lists: ConfigLists,
        meta: ChangeMeta,
    ) -> Self {
        Self {
            rules: RULES_VERSION,
            id: meta.id,
            author: meta.author,
            base,
            version,
            note: meta.note,
            lists,
        }
    }
}

impl StreamRecord {
    /// The bytes to append; fails with `ChangeRefused` if they break a bound.
    pub fn encode(&self) -> Result<Vec<u8>> {
        self.check()?;
        let body = serde_json::to_vec(self).map_err(|error| refused(error.to_string()))?;
        check_size(body.len())?;
        Ok(body)
    }

    /// The record in `body`; fails with `ChangeRefused`.
    pub fn decode(body: &[u8]) -> Result<Self> {
        check_size(body.len())?;
        let record: Self = serde_json::from_slice(body)
            .map_err(|error| refused(format!("not a record: {error}")))?;
        record.check()?;
        Ok(record)
    }

    /// The rules that the record names, whatever else stands in it.
    pub fn rules_of(body: &[u8]) -> Result<u16> {
        check_size(body.len())?;
        let header: RulesHeader = serde_json::from_slice(body)
            .map_err(|error| refused(format!("not a record: {error}")))?;
        let (RulesHeader::Change(named) | RulesHeader::Rebase(named) | RulesHeader::Rules(named)) =
            header;
        Ok(named.rules)
    }

    /// Identity of the change.
    pub fn id(&self) -> ChangeId {
        match self {
            Self::Change(record) => record.id,
            Self::Rebase(record) => record.id,
            Self::Rules(record) => record.id,
        }
    }

    fn kind_name(&self) -> &'static str {
        match self {
            Self::Change(_) => "change",
            Self::Rebase(_) => "rebase",
            Self::Rules(_) => "rules record",
        }
    }

    fn check(&self) -> Result<()> {
        match self {
            Self::Change(record) => record.check(),
            Self::Rebase(record) => check_note(&record.note),
            Self::Rules(_) => Ok(()),
        }
    }
}

/// The part of a record that every release can read.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum RulesHeader {
    Change(NamedRules),
    Rebase(NamedRules),
    Rules(NamedRules),
}

#[derive(Deserialize)]
struct NamedRules {
    rules: u16,
}

fn check_size(bytes: usize) -> Result<()> {
    if bytes <= MAX_RECORD_BYTES {
        return Ok(());
    }
    Err(refused(format!(
        "{bytes} bytes; at most {MAX_RECORD_BYTES} are allowed"
    )))
}

fn check_note(note: &str) -> Result<()> {
    let sound = note.len() <= MAX_NOTE_BYTES && !note.contains(char::is_control);
    let detail = "a note is one line of at most 256 bytes";
    ensure(sound, ErrorKind::ChangeRefused, detail)
}

fn refused(detail: String) -> KindError {
    KindError::new(ErrorKind::ChangeRefused, detail)
}
