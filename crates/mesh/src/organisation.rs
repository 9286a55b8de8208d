//! Organisations that send requests under keys, and the admission of their keys.
//!
//! The daemon at which a request enters the mesh decides by its key which
//! organisation sent it. Configurations carry digests of keys only, so that no
//! message, log line or memory dump of a daemon reveals one.
//!
//! A deployment may require that a key which was taken away is refused
//! everywhere after a fixed time, also by daemons that are cut off. A daemon
//! then admits keys only while it can prove that its configuration was the
//! newest a short time ago ([`KeyFreshness`]).

use std::collections::HashMap;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use model::{CallCount, CallRate, ErrorKind, KindError, OrganisationName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smallvec::SmallVec;

use crate::config::CallPriority;

/// Result of admitting a key; errors are of kind `CustomerUnknown` or `ConfigStale`.
pub type Result<T> = model::Result<T>;

/// Number of bytes of a digest; nobody can find another key for 16 bytes of SHA-256.
const DIGEST_BYTES: usize = 16;
/// Time before the end of the revocation time at which keys are refused; covers the drift between
/// the clocks of daemons and the time until an admitted request has left the daemon.
const REVOCATION_MARGIN: Duration = Duration::from_millis(250);

/// Digest of a key.
#[derive(Clone, Copy, Deserialize, Eq, Serialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        let hash = Sha256::digest(key);
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hash[..DIGEST_BYTES]);
        Self(bytes)
    }
}

impl PartialEq for KeyDigest {
    /// Compares all bytes, so that the time does not tell how many of them match.
    fn eq(&self, other: &Self) -> bool {
        let pairs = self.0.iter().zip(&other.0);
        pairs.fold(0, |difference, (left, right)| difference | (left ^ right)) == 0
    }
}

impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Number of requests that an organisation may send to the whole fleet.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestQuota {
    /// Requests per second.
    pub rate: CallRate,
    /// Requests beyond the rate that may come at once.
    pub burst: CallCount,
}

/// Rule for the requests of one organisation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrganisationRule {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Digests of its keys.
    pub keys: SmallVec<[KeyDigest; 2]>,
    /// Priority, which goes before that of the route.
    pub priority: CallPriority,
    /// Quota; none if the organisation has no limit.
    pub quota: Option<RequestQuota>,
}

/// Organisations by key.
#[derive(Debug, Default)]
pub struct KeyIndex(HashMap<KeyDigest, Arc<OrganisationRule>>);

impl KeyIndex {
    /// Builds the index; a key of several organisations belongs to the first of them.
    pub fn build(organisations: &[Arc<OrganisationRule>]) -> Self {
        let mut index = HashMap::new();
        for organisation in organisations {
            for key in &organisation.keys {
                index
                    .entry(*key)
                    .or_insert_with(|| Arc::clone(organisation));
            }
        }
        Self(index)
    }

    /// Returns the organisation that holds `key`.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<OrganisationRule>> {
        self.0.get(key)
    }
}

/// Bounds on the requests of an organisation that may run in any window of time, over the whole
/// fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window.
    pub window: Duration,
    /// Fraction of the quota that may run beyond it.
    pub overage: f64,
    /// Number of requests that may run beyond that.
    pub slack: f64,
}

/// Time within which a key that was taken away must be refused everywhere; none if the deployment
/// sets none.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeyFreshness {
    revocation: Option<Duration>,
}

impl KeyFreshness {
    /// Creates the rule of a deployment with this `revocation` time.
    pub fn new(revocation: Option<Duration>) -> Self {
        Self { revocation }
    }

    /// Returns whether keys may be admitted `age` after the store confirmed the configuration in
    /// force; `None` if it never did.
    pub fn is_proven(self, age: Option<Duration>) -> bool {
        let Some(revocation) = self.revocation else {
            return true;
        };
        age.is_some_and(|age| age < revocation.saturating_sub(REVOCATION_MARGIN))
    }
}

/// Admits a request that bears `key`, if any, `age` after the store confirmed the configuration.
///
/// A configuration that may be outdated decides nothing: the key may have been added or taken away
/// since. A request without a key that `may_be_nested` may come from a run that this daemon does not
/// know of, after a restart, and must not be told that it needs a key.
pub fn admit_key(
    index: &KeyIndex,
    key: Option<&KeyDigest>,
    freshness: KeyFreshness,
    age: Option<Duration>,
    may_be_nested: bool,
) -> Result<Arc<OrganisationRule>> {
    let stale = |detail: &str| KindError::new(ErrorKind::ConfigStale, detail);
    let unknown = |detail: &str| KindError::new(ErrorKind::CustomerUnknown, detail);
    if !freshness.is_proven(age) {
        return Err(stale("keys may have been taken away since"));
    }
    match key {
        Some(key) => index
            .find(key)
            .cloned()
            .ok_or_else(|| unknown("no organisation holds the key")),
        None if may_be_nested => Err(stale("the run that made the request is unknown here")),
        None => Err(unknown("the request bears no key")),
    }
}
