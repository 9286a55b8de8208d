//! Idempotency keys: what a caller may send and what each form proves.
//!
//! An [`IssuedKey`] was given out by a daemon and names it together with its
//! incarnation, so exactly one process ever decides about it: no agreement is
//! needed, and when that process is gone the call can never run again. A
//! [`CallerKey`] is the caller's own text. A `UUIDv7` carries a time, which
//! tells the holder of its range whether an earlier holder may have run it;
//! any other text carries none.
//!
//! Keys belong to the customer that sends them: the [`KeyDigest`] covers both,
//! so that equal keys of two customers never meet.

use std::fmt;
use std::str::FromStr;

use derive_more::Display;
use model::{CustomerName, DaemonId, ErrorKind, IncarnationNumber, KindError};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use uuid::Uuid;

use crate::lease::{HolderId, KeyRange, LogStamp};

/// What parsing a key returns; the kind is `RequestInvalid`.
pub type Result<T> = model::Result<T>;

/// Longest key of a caller in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// Bits of a `UUIDv7` below its time.
const UUID_LOW_BITS: u32 = 80;
/// First part of every issued key.
const ISSUED_PREFIX: &str = "qk1-";

/// A key as sent in the `Idempotency-Key` header.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
pub enum CallKey {
    /// Given out by a daemon.
    Issued(IssuedKey),
    /// Made by the caller.
    Caller(CallerKey),
}

impl FromStr for CallKey {
    type Err = KindError;

    fn from_str(text: &str) -> Result<Self> {
        let text = unquote(text.trim());
        if text.starts_with(ISSUED_PREFIX) {
            return text.parse().map(Self::Issued);
        }
        text.parse().map(Self::Caller)
    }
}

/// Drops the quotes that the header's draft standard asks for.
fn unquote(text: &str) -> &str {
    text.strip_prefix('"')
        .and_then(|rest| rest.strip_suffix('"'))
        .unwrap_or(text)
}

/// A key that names the one daemon which decides about it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct IssuedKey {
    /// The daemon that issued the key.
    pub issuer: HolderId,
    /// Milliseconds from the issuer's start to the issue.
    pub born_ms: u64,
    /// Number among the issuer's keys.
    pub serial: u64,
}

impl fmt::Display for IssuedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let HolderId {
            daemon,
            incarnation,
        } = self.issuer;
        write!(
            f,
            "{ISSUED_PREFIX}{daemon}-{:x}-{:x}-{:x}",
            incarnation.0, self.born_ms, self.serial
        )
    }
}

impl FromStr for IssuedKey {
    type Err = KindError;

    fn from_str(text: &str) -> Result<Self> {
        parse_issued(text).ok_or_else(|| invalid("not a key that the system issued"))
    }
}

fn parse_issued(text: &str) -> Option<IssuedKey> {
    let mut parts = text.strip_prefix(ISSUED_PREFIX)?.split('-');
    let mut number = || u64::from_str_radix(parts.next()?, 16).ok();
    let key = IssuedKey {
        issuer: HolderId {
            daemon: DaemonId(number()?),
            incarnation: IncarnationNumber(number()?),
        },
        born_ms: number()?,
        serial: number()?,
    };
    // One spelling for each key, or the digests would differ.
    (key.to_string() == text).then_some(key)
}

/// A key made by the caller.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
pub enum CallerKey {
    /// A `UUIDv7`, which carries the time of its making.
    Timed(Uuid),
    /// Any other text.
    Untimed(Box<str>),
}

impl CallerKey {
    /// When the caller made the key, by the caller's clock.
    pub fn time(&self) -> Option<LogStamp> {
        let Self::Timed(uuid) = self else {
            return None;
        };
        Some(LogStamp((uuid.as_u128() >> UUID_LOW_BITS) as u64))
    }
}

impl FromStr for CallerKey {
    type Err = KindError;

    fn from_str(text: &str) -> Result<Self> {
        const TIMED_VERSION: usize = 7;
        let sound = !text.is_empty()
            && text.len() <= MAX_KEY_BYTES
            && text.bytes().all(|byte| byte.is_ascii_graphic());
        if !sound {
            return Err(invalid("a key is 1 to 128 visible characters"));
        }
        match Uuid::parse_str(text) {
            Ok(uuid) if uuid.get_version_num() == TIMED_VERSION => Ok(Self::Timed(uuid)),
            _ => Ok(Self::Untimed(text.into())),
        }
    }
}

fn invalid(detail: &str) -> KindError {
    KindError::new(
        ErrorKind::RequestInvalid,
        format!("Idempotency-Key: {detail}"),
    )
}

/// A customer's key in fixed size; equal only for the same customer and key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct KeyDigest(pub u128);

impl KeyDigest {
    /// The digest of `key` as sent by `customer`.
    pub fn of(customer: &CustomerName, key: &CallKey) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(customer.as_bytes());
        // No name and no key contains this byte.
        hasher.update([0]);
        match key {
            CallKey::Caller(CallerKey::Timed(uuid)) => hasher.update(uuid.as_bytes()),
            CallKey::Caller(CallerKey::Untimed(text)) => hasher.update(text.as_bytes()),
            CallKey::Issued(key) => hasher.update(key.to_string().as_bytes()),
        }
        let [bytes, _] = split_digest(hasher.finalize().into());
        Self(u128::from_be_bytes(bytes))
    }

    /// The range that a caller's key falls in.
    pub fn range(self) -> KeyRange {
        KeyRange::of(self.0)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

fn split_digest(digest: [u8; 32]) -> [[u8; 16]; 2] {
    let mut halves = [[0; 16]; 2];
    halves[0].copy_from_slice(&digest[..16]);
    halves[1].copy_from_slice(&digest[16..]);
    halves
}
