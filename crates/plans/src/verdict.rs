//! What became of a record.

use model::{AuthorName, ChangeId, ConfigVersion, ErrorKind};
use serde::{Deserialize, Serialize};

/// Longest reason of a refusal, in bytes.
pub const MAX_REASON_BYTES: usize = 512;
/// Longest diff shown with a conflict, in bytes.
pub const MAX_DIFF_BYTES: usize = 2048;

/// The verdict on one record, the same for every reader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ChangeVerdict {
    /// The change is in the configuration from this version on.
    Accepted {
        /// The version that the change made.
        version: ConfigVersion,
    },
    /// Nothing of the change is in the configuration.
    Refused(ChangeRefusal),
    /// The change was accepted before and counts once.
    Repeated {
        /// The version that the change made.
        of: ConfigVersion,
    },
    /// The record was folded before.
    Ignored,
}

/// Why a change was refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeRefusal {
    /// `ChangeConflict`, `ListInvalid` or `ChangeRefused`.
    pub kind: ErrorKind,
    /// The reason, in one line.
    pub reason: Box<str>,
    /// The change of another author that came first.
    pub conflict: Option<ChangeConflict>,
}

impl ChangeRefusal {
    /// A refusal without another author.
    pub fn new(kind: ErrorKind, reason: &str) -> Self {
        Self {
            kind,
            reason: cut_text(reason, MAX_REASON_BYTES),
            conflict: None,
        }
    }
}

/// A change that another author made to the same entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeConflict {
    /// The other author.
    pub author: AuthorName,
    /// The version that the other's change made.
    pub version: ConfigVersion,
    /// The other's change of the entries, line by line.
    pub diff: Box<str>,
}

/// A verdict with the change that it is about.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VerdictEntry {
    /// The change.
    pub id: ChangeId,
    /// The verdict on its first record.
    pub verdict: ChangeVerdict,
}

/// `text` up to `most` bytes, with an ellipsis where it was cut.
pub(crate) fn cut_text(text: &str, most: usize) -> Box<str> {
    const ELLIPSIS: &str = "...";
    if text.len() <= most {
        return text.into();
    }
    let room = most - ELLIPSIS.len();
    let ends = text.char_indices().map(|(start, _)| start);
    let end = ends.take_while(|start| *start <= room).last().unwrap_or(0);
    format!("{}{ELLIPSIS}", &text[..end]).into()
}
