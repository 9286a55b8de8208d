//! Fingerprints of requests.
//!
//! One key stands for one request, and a request that crashes targets must be
//! known again when it comes under another key. Both compare a fingerprint of
//! the customer, the route and the beginning of the body. It covers a bounded
//! prefix, since a call is dispatched before the end of its body is read.

use std::fmt;

use model::CustomerName;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Bytes of a body that the fingerprint covers.
pub const FINGERPRINT_PREFIX_BYTES: usize = 16 * 1024;

/// A request's fingerprint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestFingerprint(pub u128);

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Takes a request in pieces and gives its fingerprint.
#[derive(Clone)]
pub struct PrintHasher {
    hasher: Xxh3,
    prefix_left: usize,
}

impl fmt::Debug for PrintHasher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PrintHasher")
            .field("prefix_left", &self.prefix_left)
            .finish_non_exhaustive()
    }
}

impl PrintHasher {
    /// Begins with all but the body; `length` is the body's declared length.
    ///
    /// The customer is part of it, so that no customer can have another's
    /// request taken for its own.
    pub fn new(customer: &CustomerName, method: &str, path: &str, length: Option<u64>) -> Self {
        let mut hasher = Xxh3::new();
        for part in [customer.as_str(), method, path] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(&length.unwrap_or(u64::MAX).to_le_bytes());
        Self {
            hasher,
            prefix_left: FINGERPRINT_PREFIX_BYTES,
        }
    }

    /// Takes the next piece of the body; all past the prefix is ignored.
    pub fn update(&mut self, piece: &[u8]) {
        let taken = piece.len().min(self.prefix_left);
        self.hasher.update(&piece[..taken]);
        self.prefix_left -= taken;
    }

    /// Whether further pieces change nothing.
    pub fn is_full(&self) -> bool {
        self.prefix_left == 0
    }

    /// The fingerprint of what was taken.
    pub fn finish(&self) -> RequestFingerprint {
        RequestFingerprint(self.hasher.digest128())
    }
}
