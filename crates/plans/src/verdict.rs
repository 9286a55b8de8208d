//! Outcome of folding a record.

use model::{AuthorName, ChangeId, ConfigVersion, ErrorKind};
use serde::{Deserialize, Serialize};

/// Maximum length of the reason of a refusal, in bytes.
pub const MAX_REASON_BYTES: usize = 512;
/// Maximum length of the diff of a conflict, in bytes.
pub const MAX_DIFF_BYTES: usize = 2048;

/// Outcome of folding a record, identical on every reader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ChangeVerdict {
    /// The change is in force from this version on.
    Accepted {
        /// Version created by the change.
        version: ConfigVersion,
    },
    /// The change was refused as a whole.
    Refused(ChangeRefusal),
    /// The change was already accepted; the repeated record has no effect.
    Repeated {
        /// Version created by the first record of the change.
        of: ConfigVersion,
    },
    /// The record has already been folded.
    Ignored,
}

/// Why a change was refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeRefusal {
    /// One of `ChangeConflict`, `ListInvalid` and `ChangeRefused`.
    pub kind: ErrorKind,
    /// Reason, in one line.
    pub reason: Box<str>,
    /// Earlier change with which the refused one conflicts.
    pub conflict: Option<ChangeConflict>,
}

impl ChangeRefusal {
    /// Creates a refusal without a conflicting change; truncates the reason.
    pub fn new(kind: ErrorKind, reason: &str) -> Self {
        Self {
            kind,
            reason: truncate_text(reason, MAX_REASON_BYTES),
            conflict: None,
        }
    }
}

/// An earlier change of the same entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeConflict {
    /// Author of the earlier change.
    pub author: AuthorName,
    /// Version created by the earlier change.
    pub version: ConfigVersion,
    /// Line diff of the conflicting entries since the base.
    pub diff: Box<str>,
}

/// Verdict on a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VerdictEntry {
    /// Unique id of the change.
    pub id: ChangeId,
    /// Verdict on the first record of the change.
    pub verdict: ChangeVerdict,
}

/// Truncates `text` to at most `max_bytes` bytes, with an ellipsis at the end.
pub(crate) fn truncate_text(text: &str, max_bytes: usize) -> Box<str> {
    const ELLIPSIS: &str = "...";
    if text.len() <= max_bytes {
        return text.into();
    }
    let max_end = max_bytes - ELLIPSIS.len();
    let ends = text.char_indices().map(|(start, _)| start);
    let end = ends
        .take_while(|start| *start <= max_end)
        .last()
        .unwrap_or(0);
    format!("{}{ELLIPSIS}", &text[..end]).into()
}
