//! What an answer proves about whether a call ran.
//!
//! A refusal by a proxy proves only that this attempt had no effect: the same
//! key may have been sent before, through another proxy, and may have run.
//! Only the key's home knows whether the call as a whole never ran, so every
//! answer distinguishes the two cases. After [`RunProof::SendingNotRun`] a
//! caller sends the same key again, which is always safe; only after
//! [`RunProof::NotRun`] may it use a new key.

use derive_more::{Display, FromStr};
use model::ErrorKind;
use serde::{Deserialize, Serialize};

/// Name of the response header that carries a [`RunProof`].
pub const PROOF_HEADER: &str = "quetzal-run";

/// What is proven about whether a call ran.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, FromStr, PartialEq, Serialize)]
pub enum RunProof {
    /// The call ran to completion; the answer is the one of that run.
    #[display("done")]
    Done,
    /// No attempt of this call has run so far.
    #[display("not-run")]
    NotRun,
    /// This attempt did not run; an earlier one with the same key may have.
    #[display("sending-not-run")]
    SendingNotRun,
    /// The call may have run or may be running.
    #[display("may-have-run")]
    MayHaveRun,
}

impl RunProof {
    /// Returns the proof for a call with a key that was refused before it reached its home.
    pub fn before_home(kind: ErrorKind) -> Self {
        match kind {
            // Without a key there is no earlier attempt of the same call.
            ErrorKind::KeyMissing => Self::NotRun,
            _ if kind.properties().not_run => Self::SendingNotRun,
            _ => Self::MayHaveRun,
        }
    }

    /// Returns the proof for a call without a key that was refused with `kind`.
    pub fn without_key(kind: ErrorKind) -> Self {
        if kind.properties().not_run {
            return Self::NotRun;
        }
        Self::MayHaveRun
    }
}
