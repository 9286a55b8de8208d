//! Binary encoding of a complete state.
//!
//! A snapshot contains the state's head, from which a reader knows where to
//! continue in the log, and a digest, so that a corrupt snapshot is never used.
//! A snapshot that is written twice, late or by a paused writer does no harm:
//! a reader only adopts a state that is ahead of its own.
//!
//! The state is compressed with DEFLATE. Its uncompressed size is checked
//! against a limit before any memory is allocated for it, and a snapshot whose
//! declared size is wrong is rejected.

use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::TINFLStatus;
use miniz_oxide::inflate::core::inflate_flags::TINFL_FLAG_USING_NON_WRAPPING_OUTPUT_BUF;
use miniz_oxide::inflate::core::{DecompressorOxide, decompress};
use model::{ErrorKind, KindError};
use sha2::{Digest, Sha256};

use crate::head::StateHead;
use crate::state::ConfigState;

/// Result of encoding and decoding snapshots; fails with `SnapshotInvalid` or `RulesUnknown`.
pub type Result<T> = model::Result<T>;

/// Maximum size of a snapshot, in bytes; no state produced by folding exceeds it.
pub const MAX_SNAPSHOT_BYTES: usize = 4 << 20;

/// Magic number of the current format: uncompressed size and compressed state.
const FORMAT: &[u8; 4] = b"QZS2";
/// Magic number of the previous, uncompressed format, which can only be decoded.
const PLAIN_FORMAT: &[u8; 4] = b"QZS1";
const DIGEST_BYTES: usize = 32;
const SIZE_BYTES: usize = 4;
/// The fastest level; higher levels save a tenth of the size and take three times as long.
const DEFLATE_LEVEL: u8 = 1;
/// Maximum compression ratio of DEFLATE.
const MAX_DEFLATE_RATIO: usize = 1032;

/// A state that can be encoded and decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StateSnapshot {
    state: ConfigState,
}

impl StateSnapshot {
    /// Creates a snapshot of `state`.
    pub fn of(state: &ConfigState) -> Self {
        let state = state.clone();
        Self { state }
    }

    /// Returns the position of the state in the log.
    pub fn head(&self) -> StateHead {
        self.state.head()
    }

    /// Returns the state.
    pub fn into_state(self) -> ConfigState {
        self.state
    }

    /// Encodes the snapshot as magic number, digest, uncompressed size and compressed state.
    pub fn encode(&self) -> Result<Vec<u8>> {
        encode_state(&self.state)
    }

    /// Decodes a snapshot; fails if it is too large, corrupt or violates an invariant.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        if bytes.len() > MAX_SNAPSHOT_BYTES {
            return Err(invalid(format!(
                "size of {} bytes is too large",
                bytes.len()
            )));
        }
        if let Some(rest) = bytes.strip_prefix(FORMAT) {
            return Self::decode_state(&inflate(check_digest(rest)?)?);
        }
        let rest = bytes.strip_prefix(PLAIN_FORMAT);
        Self::decode_state(check_digest(
            rest.ok_or_else(|| invalid("unknown format"))?,
        )?)
    }

    fn decode_state(content: &[u8]) -> Result<Self> {
        let config = bincode::config::standard().with_limit::<MAX_SNAPSHOT_BYTES>();
        let decoded = bincode::serde::decode_from_slice(content, config);
        let (state, read): (ConfigState, usize) =
            decoded.map_err(|error| invalid(error.to_string()))?;
        if read != content.len() {
            return Err(invalid("trailing bytes after the state"));
        }
        state.check_invariants()?;
        Ok(Self { state })
    }
}

/// Encodes `state` as a snapshot without cloning it.
pub(crate) fn encode_state(state: &ConfigState) -> Result<Vec<u8>> {
    let config = bincode::config::standard();
    let content =
        bincode::serde::encode_to_vec(state, config).map_err(|error| invalid(error.to_string()))?;
    if content.len() > MAX_SNAPSHOT_BYTES {
        return Err(invalid(format!(
            "size of {} bytes is too large",
            content.len()
        )));
    }
    let size = (content.len() as u32).to_le_bytes();
    let body = [&size[..], &compress_to_vec(&content, DEFLATE_LEVEL)].concat();
    Ok([&FORMAT[..], &Sha256::digest(&body), &body].concat())
}

/// Returns the bytes after the digest, if the digest matches them.
fn check_digest(bytes: &[u8]) -> Result<&[u8]> {
    let parts = bytes.split_at_checked(DIGEST_BYTES);
    let (digest, content) = parts.ok_or_else(|| invalid("truncated"))?;
    if *digest == *Sha256::digest(content) {
        return Ok(content);
    }
    Err(invalid("the digest does not match the content"))
}

/// Decompresses the state; fails unless its size is exactly the declared one.
fn inflate(body: &[u8]) -> Result<Vec<u8>> {
    let parts = body.split_first_chunk::<SIZE_BYTES>();
    let (size, deflated) = parts.ok_or_else(|| invalid("truncated"))?;
    let size = u32::from_le_bytes(*size) as usize;
    let max_size = deflated.len().saturating_mul(MAX_DEFLATE_RATIO);
    if size > max_size.min(MAX_SNAPSHOT_BYTES) {
        return Err(invalid(format!(
            "declared size of {size} bytes is too large"
        )));
    }
    let mut content = vec![0; size];
    let mut inflater = Box::new(DecompressorOxide::new());
    let flags = TINFL_FLAG_USING_NON_WRAPPING_OUTPUT_BUF;
    let (status, read, written) = decompress(&mut inflater, deflated, &mut content, 0, flags);
    let complete = status == TINFLStatus::Done && read == deflated.len() && written == size;
    if complete {
        return Ok(content);
    }
    Err(invalid("the state does not have the declared size"))
}

pub(crate) fn invalid(detail: impl Into<Box<str>>) -> KindError {
    KindError::new(ErrorKind::SnapshotInvalid, detail)
}
