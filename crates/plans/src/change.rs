//! Records that operators append to the config stream.
//!
//! A [`ChangeRecord`] holds edits of entries and the version on which they are
//! based. A [`RebaseRecord`] replaces the lists as a whole, for a log that
//! lost its tail or was started over. A [`RulesRecord`] enables a newer
//! version of the rules by which records are evaluated. Records are encoded as
//! JSON, so that other tools can read the stream, and their size is bounded.

use std::collections::BTreeSet;

use model::{AuthorName, ChangeId, ConfigVersion, ErrorKind, KindError, ensure};
use serde::{Deserialize, Serialize};

use crate::entry::EntryEdit;
use crate::lists::ConfigLists;
use crate::state::ConfigState;

/// Result of creating, encoding and decoding records.
///
/// Fails with `ChangeRefused`, `ListInvalid` or `ChangeConflict`.
pub type Result<T> = model::Result<T>;

/// Latest version of the evaluation rules that this release implements.
pub const RULES_VERSION: u16 = 1;
/// Maximum size of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;
/// Maximum number of edits in a change.
pub const MAX_EDITS: usize = 4096;
/// Maximum length of a note, in bytes.
pub const MAX_NOTE_BYTES: usize = 256;

/// Identity, author and note of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeMeta {
    /// Unique id of the change; retries of the append reuse it.
    pub id: ChangeId,
    /// Author of the change.
    pub author: AuthorName,
    /// Reason for the change, in one line.
    pub note: Box<str>,
}

/// Edits of entries that are accepted or refused as a whole.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// Version of the rules by which the record is evaluated.
    pub rules: u16,
    /// Unique id of the change.
    pub id: ChangeId,
    /// Author of the change.
    pub author: AuthorName,
    /// Version number of the last record that the author had read.
    pub base: ConfigVersion,
    /// Reason for the change, in one line.
    pub note: Box<str>,
    /// Edits, at most one for each entry.
    pub edits: Vec<EntryEdit>,
}

/// Complete lists that replace the previous state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RebaseRecord {
    /// Version of the rules by which the record is evaluated.
    pub rules: u16,
    /// Unique id of the change.
    pub id: ChangeId,
    /// Author of the change.
    pub author: AuthorName,
    /// Version number of the last record of this log that the author had read.
    pub base: ConfigVersion,
    /// Version created by the record; higher than any version known to any daemon.
    pub version: ConfigVersion,
    /// Reason for the change, in one line.
    pub note: Box<str>,
    /// New content of the lists.
    pub lists: ConfigLists,
}

/// Enables newer rules on the stream.
///
/// It may only be appended once the releases of all daemons implement them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RulesRecord {
    /// Version of the rules by which this record is evaluated.
    pub rules: u16,
    /// Unique id of the change.
    pub id: ChangeId,
    /// Author of the change.
    pub author: AuthorName,
    /// Highest rules version allowed from here on; one above the previous one.
    pub permit: u16,
}

/// A record of the config stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum StreamRecord {
    /// Edits of entries.
    Change(ChangeRecord),
    /// Complete lists, for a log that lost records or was started over.
    Rebase(RebaseRecord),
    /// Enables a newer version of the rules.
    Rules(RulesRecord),
}

impl ChangeRecord {
    /// Creates the change that turns the lists at `base` into `wanted`.
    ///
    /// The edits are computed against the lists as they were at `base`, so
    /// they don't revert later changes by others. Fails with `ChangeConflict`
    /// if `base` is older than the retained history, and with `ListInvalid`
    /// if `wanted` is invalid.
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

    /// Creates a change with the given edits.
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

    /// Encodes the change as the body of a record.
    pub fn encode(&self) -> Result<Vec<u8>> {
        StreamRecord::Change(self.clone()).encode()
    }

    /// Decodes the change in the body of a record.
    pub fn decode(body: &[u8]) -> Result<Self> {
        match StreamRecord::decode(body)? {
            StreamRecord::Change(change) => Ok(change),
            other => Err(refused(format!("not a change but a {}", other.kind_name()))),
        }
    }

    /// Checks everything that can be checked without a state.
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
    /// Creates a record that makes `lists` the content of `version`.
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
    /// Encodes the record; fails with `ChangeRefused` if it exceeds a limit.
    pub fn encode(&self) -> Result<Vec<u8>> {
        self.check()?;
        let body = serde_json::to_vec(self).map_err(|error| refused(error.to_string()))?;
        check_size(body.len())?;
        Ok(body)
    }

    /// Decodes the record in `body`; fails with `ChangeRefused`.
    pub fn decode(body: &[u8]) -> Result<Self> {
        check_size(body.len())?;
        let record: Self = serde_json::from_slice(body)
            .map_err(|error| refused(format!("not a record: {error}")))?;
        record.check()?;
        Ok(record)
    }

    /// Returns the rules version of the record in `body`, ignoring its other fields.
    pub fn rules_of(body: &[u8]) -> Result<u16> {
        check_size(body.len())?;
        let header: RulesHeader = serde_json::from_slice(body)
            .map_err(|error| refused(format!("not a record: {error}")))?;
        let (RulesHeader::Change(field) | RulesHeader::Rebase(field) | RulesHeader::Rules(field)) =
            header;
        Ok(field.rules)
    }

    /// Returns the unique id of the change.
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

/// The part of a record that every release can decode.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum RulesHeader {
    Change(RulesField),
    Rebase(RulesField),
    Rules(RulesField),
}

#[derive(Deserialize)]
struct RulesField {
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
    let valid = note.len() <= MAX_NOTE_BYTES && !note.contains(char::is_control);
    let detail = "a note is one line of at most 256 bytes";
    ensure(valid, ErrorKind::ChangeRefused, detail)
}

fn refused(detail: String) -> KindError {
    KindError::new(ErrorKind::ChangeRefused, detail)
}
