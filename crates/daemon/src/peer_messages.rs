//! Requests and answers between daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use model::{
    CallClass, CustomerName, DaemonId, ErrorKind, KindError, MethodName, ServiceName, TargetName,
};
use once::home::HandoverPage;
use once::permit::PermitRequest;
use once::{
    CallKey, DispatchCredentials, DispatchPermit, HolderId, KeyCall, KeyDigest, KeyRefusal,
    PoisonMessage, RunProof, StoredAnswer, SuspectReport,
};
use route::{RetryMark, TargetLoad};
use serde::{Deserialize, Serialize};
use trace::{EventQuery, HybridTimestamp};

/// Result of reading a message of a peer; errors have the kind `FrameInvalid`.
pub type Result<T> = model::Result<T>;

/// Maximum depth of a chain of calls.
pub const MAX_CALL_DEPTH: u8 = 16;
/// Maximum number of headers of one call.
const MAX_HEADERS: usize = 100;

/// A request to another daemon.
#[derive(Debug, Deserialize, Serialize)]
pub enum PeerRequest {
    /// Messages of distribution, membership, limits and leases; acknowledged without an answer.
    Control(ControlBatch),
    /// A call for a target of the receiver; answered with [`CallAnswer`].
    Call(Box<CallHead>),
    /// A non-idempotent call for the receiver as its key's home; answered with [`CallAnswer`].
    Keyed(Box<CallHead>),
    /// Requests dispatch permits; answered with a grant.
    Permits(PermitRequest),
    /// Revokes a permit; the answer states whether it was unused.
    Revoke(DispatchPermit),
    /// Asks an earlier home for what it knows of a key; answered with an optional
    /// [`RecallAnswer`].
    Recall(Box<KeyCall>),
    /// Requests the events of the given number of past milliseconds; sent by older releases.
    Timeline(u64),
    /// Closes a key permanently; answered with an optional [`once::CloseVerdict`].
    Close(Box<KeyCloseRequest>),
    /// A page of a key shard that is handed over; answered with a result of
    /// [`once::StageAnswer`].
    Stage {
        /// The home that hands the shard over.
        from: HolderId,
        /// The page of the shard.
        page: Box<HandoverPage>,
    },
    /// Requests that are suspected of crashing a target, or cleared of it; answered with the
    /// suspects that completed at the receiver's targets.
    Poison(PoisonMessage),
    /// Requests the events that match a query; answered with a report.
    Events(Box<EventQuery>),
}

/// Request to close a key, so that no call with it ever runs again.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct KeyCloseRequest {
    /// The key to close.
    pub key: CallKey,
    /// Digest of customer and key.
    pub digest: KeyDigest,
    /// Whether the receiver is asked as an earlier home of the key.
    pub earlier: bool,
}

/// What an earlier home knows of a key.
#[derive(Debug, Deserialize, Serialize)]
pub enum RecallAnswer {
    /// The call ran, with this answer.
    Finished(Arc<StoredAnswer>),
    /// The call is running.
    Running,
    /// The call will not run; the refusal states what that proves.
    Refused(KeyRefusal),
}

/// Control messages from one daemon.
#[derive(Debug, Deserialize, Serialize)]
pub struct ControlBatch {
    /// The sender.
    pub from: DaemonId,
    /// The sender's peer address.
    pub address: SocketAddr,
    /// Hybrid logical clock of the sender, which orders events of all processes causally.
    pub stamp: HybridTimestamp,
    /// Encoded messages.
    pub messages: Vec<ControlMessage>,
}

/// One encoded control message, by its area.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ControlMessage {
    /// Distribution of the configuration.
    Spread(Vec<u8>),
    /// Membership.
    Member(Vec<u8>),
    /// Shares of the limits of the customers' plans.
    Limit(Vec<u8>),
    /// Leases and handover of idempotency keys.
    Once(Vec<u8>),
}

impl ControlMessage {
    /// Returns the size of the encoded message in bytes.
    pub fn len(&self) -> usize {
        let (Self::Spread(bytes) | Self::Member(bytes) | Self::Limit(bytes) | Self::Once(bytes)) =
            self;
        bytes.len()
    }

    /// Returns whether the encoded message is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// An HTTP header.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeaderPair {
    /// Header name.
    pub name: Box<str>,
    /// Header value as raw bytes.
    pub value: Box<[u8]>,
}

/// Head of a call that is sent to a target.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CallHead {
    /// The called service.
    pub service: ServiceName,
    /// The selected target; `None` in a call to a key's home.
    pub target: Option<TargetName>,
    /// The calling customer.
    pub customer: CustomerName,
    /// Class of the call, for admission control and load shedding.
    pub class: CallClass,
    /// HTTP method.
    pub method: MethodName,
    /// Path and query.
    pub path: Box<str>,
    /// End-to-end headers.
    pub headers: Vec<HeaderPair>,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Number of calls in the chain from the first caller up to this call.
    pub depth: u8,
    /// Whether this call belongs to a retry, here or earlier in the chain.
    pub mark: RetryMark,
    /// Whether the method is idempotent.
    pub idempotent: bool,
    /// Whether the body is sent only after [`CallAnswer::Admitted`].
    pub streamed: bool,
    /// Fingerprint of the request, to recognize requests that crash targets.
    pub print: u128,
    /// Crashes during this request that the sender knows of; nearly always empty.
    pub news: SuspectReport,
    /// Idempotency key of a non-idempotent call.
    pub key: Option<CallKey>,
    /// Credentials to run a non-idempotent call on its target.
    pub pass: Option<DispatchCredentials>,
}

/// Answer of a daemon to a call.
#[derive(Debug, Deserialize, Serialize)]
pub enum CallAnswer {
    /// The streamed body may be sent, and another answer follows.
    ///
    /// A target's daemon sends this once the call has a slot, the home of a key at once.
    Admitted,
    /// The target answered; the body follows.
    Response(ResponseHead),
    /// The call was refused or lost.
    Refused(CallRefusal),
}

/// Head of a target's answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<HeaderPair>,
    /// Load of the target.
    pub load: TargetLoad,
    /// Time that the call waited for a slot.
    pub waited: Duration,
}

/// Reason why a call has no answer of a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallRefusal {
    /// The error.
    pub error: KindError,
    /// Time after which to retry.
    pub retry_after: Option<Duration>,
    /// Load of the target.
    pub load: Option<TargetLoad>,
    /// What the refusal proves about whether the call ran.
    pub proof: RunProof,
    /// Whether the refusal comes from the home of the call's key.
    pub by_home: bool,
    /// Crashes during the request that the sender knows of.
    pub news: SuspectReport,
}

impl From<KindError> for CallRefusal {
    fn from(error: KindError) -> Self {
        Self {
            proof: RunProof::without_key(error.kind),
            error,
            retry_after: None,
            load: None,
            by_home: false,
            news: SuspectReport::default(),
        }
    }
}

/// Headers that are not forwarded: the hop-by-hop ones, `Host` and `Expect`.
const HOP_BY_HOP_HEADERS: &[HeaderName] = &[
    http::header::CONNECTION,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
    http::header::TE,
    http::header::TRAILER,
    http::header::PROXY_AUTHORIZATION,
    http::header::PROXY_AUTHENTICATE,
    http::header::HOST,
    http::header::EXPECT,
];

/// Returns the end-to-end headers of `map`.
pub fn pack_headers(map: &HeaderMap) -> Vec<HeaderPair> {
    map.iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(name) && *name != "keep-alive")
        .map(|(name, value)| HeaderPair {
            name: name.as_str().into(),
            value: value.as_bytes().into(),
        })
        .collect()
}

/// Converts headers back to a header map.
pub fn unpack_headers(pairs: &[HeaderPair]) -> Result<HeaderMap> {
    let invalid = |detail: String| KindError::new(ErrorKind::FrameInvalid, detail);
    model::ensure(
        pairs.len() <= MAX_HEADERS,
        ErrorKind::FrameInvalid,
        "the message has too many headers",
    )?;
    let mut map = HeaderMap::with_capacity(pairs.len());
    for pair in pairs {
        let name = HeaderName::from_bytes(pair.name.as_bytes())
            .map_err(|error| invalid(error.to_string()))?;
        let value =
            HeaderValue::from_bytes(&pair.value).map_err(|error| invalid(error.to_string()))?;
        map.append(name, value);
    }
    Ok(map)
}
