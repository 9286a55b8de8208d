//! Decisions of a home about calls, and the outcomes that are reported back to it.

use std::sync::Arc;

use model::{ErrorKind, KindError};
use serde::{Deserialize, Serialize};

use super::answer::StoredAnswer;
use super::shard::ShardId;
use crate::fingerprint::RequestFingerprint;
use crate::key::{CallKey, KeyDigest};
use crate::lease::{HolderId, TermRef};
use crate::proof::RunProof;

/// A call with a key, as the home receives it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyCall {
    /// Idempotency key.
    pub key: CallKey,
    /// Digest of the key and the customer.
    pub digest: KeyDigest,
    /// Fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: RequestFingerprint,
}

/// Decision about a call.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyVerdict {
    /// Dispatch the call and settle the ticket with its outcome.
    Run(RunTicket),
    /// The call is running; wait for it or answer `KeyRunning`.
    Running,
    /// The call ran; replay its answer.
    Finished(Arc<StoredAnswer>),
    /// Answer with the error.
    Refused(KeyRefusal),
}

/// A refusal and what it proves about the call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyRefusal {
    /// Error, whose kind determines the HTTP status and the advice to the caller.
    pub error: KindError,
    /// What the refusal proves about whether the call ran.
    pub proof: RunProof,
}

impl KeyRefusal {
    /// Creates a refusal of `kind` that proves `proof`.
    pub fn new(kind: ErrorKind, proof: RunProof, detail: &str) -> Self {
        Self {
            error: KindError::new(kind, detail),
            proof,
        }
    }
}

/// Handle of one begun call, which must be settled with its outcome.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RunTicket {
    /// Shard that remembers the key.
    #[serde(rename = "book")]
    pub shard: ShardId,
    /// Digest of the key.
    pub digest: KeyDigest,
}

impl RunTicket {
    /// Returns the term under which the call was begun; `None` for an issued key.
    pub fn term(&self) -> Option<TermRef> {
        match self.shard {
            ShardId::Range(term) => Some(term),
            ShardId::Issuer(_) => None,
        }
    }
}

/// Outcome of a dispatched call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunOutcome {
    /// The call ran to completion.
    Done(Arc<StoredAnswer>),
    /// The call ran to completion, but its answer was too large to store.
    DoneLarge {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The call is proven not to have run, and no dispatch of it is under way.
    NotRun,
    /// The call may have run.
    Lost,
}

/// An outcome for the home that took a shard over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeySettlement {
    /// Ticket of the call.
    pub ticket: RunTicket,
    /// Outcome of the call.
    pub outcome: RunOutcome,
}

/// An outcome to be sent to the shard's next home.
#[derive(Clone, Debug, PartialEq)]
pub struct HandedOutcome {
    /// Next home of the shard.
    pub to: HolderId,
    /// Outcome of the call.
    pub settlement: KeySettlement,
}

/// Result of closing a key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CloseVerdict {
    /// The call never ran and never will.
    NeverRan,
    /// The call is running.
    Running,
    /// The call ran; holds the HTTP status of its answer, or 0 if that is unknown.
    Ran(u16),
    /// The call may have run; it never runs again.
    MayHaveRun,
    /// This home cannot tell.
    Refused(KeyRefusal),
}
