//! What a home says to a call, and what the caller of the home reports back.

use std::sync::Arc;

use model::{ErrorKind, KindError};
use serde::{Deserialize, Serialize};

use super::answer::StoredAnswer;
use super::shard::ShardId;
use crate::fingerprint::RequestFingerprint;
use crate::key::{CallKey, KeyDigest};
use crate::lease::{HolderId, TermRef};
use crate::proof::RunProof;

/// A call with a key, as it comes to the home.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyCall {
    /// The key.
    pub key: CallKey,
    /// Its digest together with the customer.
    pub digest: KeyDigest,
    /// Fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: RequestFingerprint,
}

/// What to do with a call.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyVerdict {
    /// Dispatch it, and settle the ticket with what came of it.
    Run(RunTicket),
    /// It is running; wait for it or tell the caller (`KeyRunning`).
    Running,
    /// It ran; this was its first answer.
    Finished(Arc<StoredAnswer>),
    /// Answer with the error.
    Refused(KeyRefusal),
}

/// A refusal with what it proves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyRefusal {
    /// The kind, which decides status and advice.
    pub error: KindError,
    /// What the answer may say about the call.
    pub proof: RunProof,
}

impl KeyRefusal {
    /// A refusal of `kind` that proves `proof`.
    pub fn new(kind: ErrorKind, proof: RunProof, detail: &str) -> Self {
        Self {
            error: KindError::new(kind, detail),
            proof,
        }
    }
}

/// The right and the duty to settle one begun call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RunTicket {
    /// The book that remembers the key.
    #[serde(rename = "book")]
    pub shard: ShardId,
    /// The key.
    pub digest: KeyDigest,
}

impl RunTicket {
    /// The term under which the call was begun; none for an issued key.
    pub fn term(&self) -> Option<TermRef> {
        match self.shard {
            ShardId::Range(term) => Some(term),
            ShardId::Issuer(_) => None,
        }
    }
}

/// What came of a dispatched call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunOutcome {
    /// It ran to its end.
    Done(Arc<StoredAnswer>),
    /// It ran to its end; the answer was too large to be kept.
    DoneLarge {
        /// HTTP status of the answer.
        status: u16,
    },
    /// It is proven not to have run, and nothing of it is under way.
    NotRun,
    /// It may have run.
    Lost,
}

/// An outcome for the home that took a book over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeySettlement {
    /// Which call.
    pub ticket: RunTicket,
    /// What came of it.
    pub outcome: RunOutcome,
}

/// An outcome on its way to the book's next home.
#[derive(Clone, Debug, PartialEq)]
pub struct HandedOutcome {
    /// The next home.
    pub to: HolderId,
    /// What came of the call.
    pub settlement: KeySettlement,
}

/// What closing a key found.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CloseVerdict {
    /// It never ran and never will.
    NeverRan,
    /// It is running.
    Running,
    /// It ran; the first answer's status, 0 if that is not known.
    Ran(u16),
    /// It may have run; it never runs again.
    MayHaveRun,
    /// This home cannot tell.
    Refused(KeyRefusal),
}
