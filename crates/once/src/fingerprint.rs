//! Request fingerprints.
//!
//! A fingerprint detects that a key is reused for another request, and it
//! recognizes a request that crashes targets when it is sent under another
//! key. It is a hash of the customer, the route and a bounded prefix of the
//! body: a call is dispatched before its whole body is read.

use std::fmt;

use model::CustomerName;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Number of body bytes that the fingerprint covers.
pub const FINGERPRINT_PREFIX_BYTES: usize = 16 * 1024;

/// Fingerprint of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestFingerprint(pub u128);

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Computes a request's fingerprint incrementally.
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
    /// Starts a fingerprint; `length` is the declared length of the body.
    ///
    /// The customer is hashed too, so that equal requests of two customers
    /// have different fingerprints.
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

    /// Adds the next chunk of the body; bytes past the prefix are ignored.
    pub fn update(&mut self, chunk: &[u8]) {
        let taken = chunk.len().min(self.prefix_left);
        self.hasher.update(&chunk[..taken]);
        self.prefix_left -= taken;
    }

    /// Returns whether the prefix is complete, so that further chunks have no effect.
    pub fn is_full(&self) -> bool {
        self.prefix_left == 0
    }

    /// Returns the fingerprint of everything added so far.
    pub fn finish(&self) -> RequestFingerprint {
        RequestFingerprint(self.hasher.digest128())
    }
}
