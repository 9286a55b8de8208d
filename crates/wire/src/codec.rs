//! Encoding of bincode messages with a length prefix of four bytes.

use bytes::{BufMut, Bytes, BytesMut};
use model::{ErrorKind, KindError};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Result;

/// Size of the length prefix in bytes.
pub const LENGTH_PREFIX_BYTES: usize = 4;

/// Maximum memory that a message claims while it is decoded. Lengths inside a message are not bounded by
/// the bytes that follow, so a damaged one could ask for more memory than there is.
const MAX_DECODED_BYTES: usize = 16 << 20;

/// Encodes a message as bincode, without a length prefix.
///
/// Kinds: `FrameInvalid`.
pub fn encode_message(message: &impl Serialize) -> Result<Vec<u8>> {
    bincode::serde::encode_to_vec(message, bincode::config::standard())
        .map_err(|error| KindError::new(ErrorKind::FrameInvalid, error.to_string()))
}

/// Decodes a message that occupies all of `bytes`.
///
/// Kinds: `FrameInvalid`.
pub fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let config = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
    let (message, decoded_length) = bincode::serde::decode_from_slice(bytes, config)
        .map_err(|error| KindError::new(ErrorKind::FrameInvalid, error.to_string()))?;
    model::ensure(
        decoded_length == bytes.len(),
        ErrorKind::FrameInvalid,
        "trailing bytes after the message",
    )?;
    Ok(message)
}

/// Encodes a message with its length prefix.
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

/// Removes one complete message from the front of `buffer`; `None` if it is incomplete.
///
/// Kinds: `FrameInvalid`, `FrameTooLarge`.
pub fn take_frame<T: DeserializeOwned>(
    buffer: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<T>> {
    let Some(length_prefix) = buffer.first_chunk::<LENGTH_PREFIX_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*length_prefix) as usize;
    check_length(length, max_bytes)?;
    if buffer.len() < LENGTH_PREFIX_BYTES + length {
        return Ok(None);
    }
    let frame = buffer.split_to(LENGTH_PREFIX_BYTES + length);
    decode_message(&frame[LENGTH_PREFIX_BYTES..]).map(Some)
}

fn check_length(length: usize, max_bytes: usize) -> Result<()> {
    let detail = format!("message of {length} bytes exceeds the maximum of {max_bytes}");
    model::ensure(length <= max_bytes, ErrorKind::FrameTooLarge, &detail)
}
