//! A whole state as bytes.
//!
//! A snapshot carries the state's head, so whoever reads it knows where the
//! log goes on, and a digest, so a broken one is never used. Writing it twice,
//! late or by a writer that was paused does no harm: a reader takes only what
//! is ahead of its own state.

use model::{ErrorKind, KindError};
use sha2::{Digest, Sha256};

use crate::head::StateHead;
use crate::state::ConfigState;

/// Results of reading and writing snapshots; kind `SnapshotInvalid`.
pub type Result<T> = model::Result<T>;

/// Largest snapshot, in bytes; no state reached by folding takes more.
pub const MAX_SNAPSHOT_BYTES: usize = 4 << 20;

/// Names the encoding; another release's is not read.
const FORMAT: &[u8; 4] = b"QZS1";
const DIGEST_BYTES: usize = 32;

/// A whole state, ready to travel.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StateSnapshot {
    state: ConfigState,
}

impl StateSnapshot {
    /// A snapshot of `state`.
    pub fn of(state: &ConfigState) -> Self {
        let state = state.clone();
        Self { state }
    }

    /// Where the state stands.
    pub fn head(&self) -> StateHead {
        self.state.head()
    }

    /// The state.
    pub fn into_state(self) -> ConfigState {
        self.state
    }

    /// The bytes: format, digest, state.
    pub fn encode(&self) -> Result<Vec<u8>> {
        encode_state(&self.state)
    }

    /// Reads a snapshot; refuses one that is too large, broken or against the rules.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        if bytes.len() > MAX_SNAPSHOT_BYTES {
            return Err(invalid(format!("{} bytes", bytes.len())));
        }
        let rest = bytes
            .strip_prefix(FORMAT)
            .ok_or_else(|| invalid("another format"))?;
        let parts = rest.split_at_checked(DIGEST_BYTES);
        let (digest, content) = parts.ok_or_else(|| invalid("cut short"))?;
        if *digest != *Sha256::digest(content) {
            return Err(invalid("the digest does not match the state"));
        }
        let config = bincode::config::standard().with_limit::<MAX_SNAPSHOT_BYTES>();
        let decoded = bincode::serde::decode_from_slice(content, config);
        let (state, read): (ConfigState, usize) =
            decoded.map_err(|error| invalid(error.to_string()))?;
        if read != content.len() {
            return Err(invalid("bytes follow the state"));
        }
        state.check_soundness()?;
        Ok(Self { state })
    }
}

/// The snapshot bytes of `state`, without copying it first.
pub(crate) fn encode_state(state: &ConfigState) -> Result<Vec<u8>> {
    let config = bincode::config::standard();
    let content =
        bincode::serde::encode_to_vec(state, config).map_err(|error| invalid(error.to_string()))?;
    let digest = Sha256::digest(&content);
    let bytes = [&FORMAT[..], &digest, &content].concat();
    if bytes.len() > MAX_SNAPSHOT_BYTES {
        return Err(invalid(format!("{} bytes", bytes.len())));
    }
    Ok(bytes)
}

pub(crate) fn invalid(detail: impl Into<Box<str>>) -> KindError {
    KindError::new(ErrorKind::SnapshotInvalid, detail)
}
