//! Messages as bincode behind a length of four bytes.

use bytes::{BufMut, Bytes, BytesMut};
use model::{ErrorKind, KindError};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Result;

/// Bytes of the length before a message.
pub const LENGTH_PREFIX_BYTES: usize = 4;

/// A message as bincode, without a length.
///
/// Kinds: `FrameInvalid`.
pub fn encode_message(message: &impl Serialize) -> Result<Vec<u8>> {
    bincode::serde::encode_to_vec(message, bincode::config::standard())
        .map_err(|error| KindError::new(ErrorKind::FrameInvalid, error.to_string()))
}

/// Reads a message that takes up all of `bytes`.
///
/// Kinds: `FrameInvalid`.
pub fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let (message, used) = bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .map_err(|error| KindError::new(ErrorKind::FrameInvalid, error.to_string()))?;
    model::ensure(
        used == bytes.len(),
        ErrorKind::FrameInvalid,
        "bytes after the message",
    )?;
    Ok(message)
}

/// A message behind its length.
///
/// Kinds: `FrameInvalid`, `FrameTooLarge`.
pub fn encode_frame(message: &impl Serialize, max_bytes: usize) -> Result<Bytes> {
    let body = encode_message(message)?;
    check_length(body.len(), max_bytes)?;
    let mut frame = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + body.len());
    frame.put_u32_le(body.len() as u32);
    frame.put_slice(&body);
    Ok(frame.freeze())
}

/// Takes one whole message off the front of `buffer`, or nothing if bytes are missing.
///
/// Kinds: `FrameInvalid`, `FrameTooLarge`.
pub fn take_frame<T: DeserializeOwned>(
    buffer: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<T>> {
    let Some(prefix) = buffer.first_chunk::<LENGTH_PREFIX_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*prefix) as usize;
    check_length(length, max_bytes)?;
    if buffer.len() < LENGTH_PREFIX_BYTES + length {
        return Ok(None);
    }
    let frame = buffer.split_to(LENGTH_PREFIX_BYTES + length);
    decode_message(&frame[LENGTH_PREFIX_BYTES..]).map(Some)
}

fn check_length(length: usize, max_bytes: usize) -> Result<()> {
    let detail = format!("a message of {length} bytes, more than {max_bytes}");
    model::ensure(length <= max_bytes, ErrorKind::FrameTooLarge, &detail)
}
