//! What an answer proves about whether a call ran.
//!
//! A refusal by one proxy proves only that this sending did nothing: the same
//! key may have been sent before, through another proxy, and may have run.
//! Only the key's home can say that the call as a whole never ran, so the two
//! are told apart in every answer. A caller that reads
//! [`RunProof::SendingNotRun`] sends the same key again, which is always safe;
//! only after [`RunProof::NotRun`] may it go on with a fresh key.

use derive_more::{Display, FromStr};
use model::ErrorKind;
use serde::{Deserialize, Serialize};

/// Name of the response header that carries a [`RunProof`].
pub const PROOF_HEADER: &str = "quetzal-run";

/// Whether a call ran, as far as it is proven.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, FromStr, PartialEq, Serialize)]
pub enum RunProof {
    /// The call ran to its end; the answer is its first one.
    #[display("done")]
    Done,
    /// No sending of this call ran until now.
    #[display("not-run")]
    NotRun,
    /// This sending did not run; an earlier one with the same key may have.
    #[display("sending-not-run")]
    SendingNotRun,
    /// The call may have run or may be running.
    #[display("may-have-run")]
    MayHaveRun,
}

impl RunProof {
    /// The proof for a call with a key that was refused with `kind` before its home was asked.
    pub fn before_home(kind: ErrorKind) -> Self {
        match kind {
            // Without a key there is no earlier sending of the same call.
            ErrorKind::KeyMissing => Self::NotRun,
            _ if kind.answer().not_run => Self::SendingNotRun,
            _ => Self::MayHaveRun,
        }
    }

    /// The proof for a call without a key that was refused with `kind`.
    pub fn without_key(kind: ErrorKind) -> Self {
        if kind.answer().not_run {
            return Self::NotRun;
        }
        Self::MayHaveRun
    }
}
