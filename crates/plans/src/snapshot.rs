//! A whole state as bytes.
//!
//! A snapshot carries the state's head, so whoever reads it knows where the
//! log goes on, and a digest, so a broken one is never used. Writing it twice,
//! late or by a writer that was paused does no harm: a reader takes only what
//! is ahead of its own state.
//!
//! The state travels deflated. How large it grows again is bounded before a byte
//! is written, and a snapshot that claims another size than it has is refused.

use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::TINFLStatus;
use miniz_oxide::inflate::core::inflate_flags::TINFL_FLAG_USING_NON_WRAPPING_OUTPUT_BUF;
use miniz_oxide::inflate::core::{DecompressorOxide, decompress};
use model::{ErrorKind, KindError};
use sha2::{Digest, Sha256};

use crate::head::StateHead;
use crate::state::ConfigState;

/// Results of reading and writing snapshots; kind `SnapshotInvalid`.
pub type Result<T> = model::Result<T>;

/// Largest snapshot, in bytes; no state reached by folding takes more.
pub const MAX_SNAPSHOT_BYTES: usize = 4 << 20;

/// Names the encoding written: size, then deflated state.
const FORMAT: &[u8; 4] = b"QZS2";
/// The encoding before it, the state as it is; read, no longer written.
const PLAIN_FORMAT: &[u8; 4] = b"QZS1";
const DIGEST_BYTES: usize = 32;
const SIZE_BYTES: usize = 4;
/// The fastest; higher levels save a tenth and take three times as long.
const DEFLATE_LEVEL: u8 = 1;
/// Most bytes that one deflated byte grows to.
const MAX_DEFLATE_RATIO: usize = 1032;

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
        if let Some(rest) = bytes.strip_prefix(FORMAT) {
            return Self::read(&inflate(check_digest(rest)?)?);
        }
        let rest = bytes.strip_prefix(PLAIN_FORMAT);
        Self::read(check_digest(
            rest.ok_or_else(|| invalid("another format"))?,
        )?)
    }

    fn read(content: &[u8]) -> Result<Self> {
        let config = bincode::config::standard().with_limit::<MAX_SNAPSHOT_BYTES>();
        let decoded = bincode::serde::decode_from_slice(content, config);
        let (state, read): (ConfigState, usize) =
            decoded.map_err(|error| invalid(error.to_string()))?;
        if read != content.len() {
            return Err(invalid("bytes follow the state"));
        }
        state.check_invariants()?;
        Ok(Self { state })
    }
}

/// The snapshot bytes of `state`, without copying it first.
pub(crate) fn encode_state(state: &ConfigState) -> Result<Vec<u8>> {
    let config = bincode::config::standard();
    let content =
        bincode::serde::encode_to_vec(state, config).map_err(|error| invalid(error.to_string()))?;
    if content.len() > MAX_SNAPSHOT_BYTES {
        return Err(invalid(format!("{} bytes", content.len())));
    }
    let size = (content.len() as u32).to_le_bytes();
    let body = [&size[..], &compress_to_vec(&content, DEFLATE_LEVEL)].concat();
    Ok([&FORMAT[..], &Sha256::digest(&body), &body].concat())
}

/// What follows the digest, if it is that of these bytes.
fn check_digest(bytes: &[u8]) -> Result<&[u8]> {
    let parts = bytes.split_at_checked(DIGEST_BYTES);
    let (digest, content) = parts.ok_or_else(|| invalid("cut short"))?;
    if *digest == *Sha256::digest(content) {
        return Ok(content);
    }
    Err(invalid("the digest does not match the state"))
}

/// The state's bytes, of which there are exactly as many as claimed.
fn inflate(body: &[u8]) -> Result<Vec<u8>> {
    let parts = body.split_first_chunk::<SIZE_BYTES>();
    let (size, deflated) = parts.ok_or_else(|| invalid("cut short"))?;
    let size = u32::from_le_bytes(*size) as usize;
    let most = deflated.len().saturating_mul(MAX_DEFLATE_RATIO);
    if size > most.min(MAX_SNAPSHOT_BYTES) {
        return Err(invalid(format!("{size} bytes claimed")));
    }
    let mut content = vec![0; size];
    let mut inflater = Box::new(DecompressorOxide::new());
    let flags = TINFL_FLAG_USING_NON_WRAPPING_OUTPUT_BUF;
    let (status, read, written) = decompress(&mut inflater, deflated, &mut content, 0, flags);
    let whole = status == TINFLStatus::Done && read == deflated.len() && written == size;
    if whole {
        return Ok(content);
    }
    Err(invalid("the state does not have the size claimed"))
}

pub(crate) fn invalid(detail: impl Into<Box<str>>) -> KindError {
    KindError::new(ErrorKind::SnapshotInvalid, detail)
}
