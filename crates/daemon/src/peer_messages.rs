//! What daemons say to one another over one exchange.

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

/// Results of reading a peer's head; the kind is `FrameInvalid`.
pub type Result<T> = model::Result<T>;

/// Deepest chain of calls.
pub const MAX_CALL_DEPTH: u8 = 16;
/// Most headers carried with one call.
const MAX_HEADERS: usize = 100;

/// The head of an exchange.
#[derive(Debug, Deserialize, Serialize)]
pub enum PeerRequest {
    /// Messages of the control areas; acknowledged without an answer.
    Control(ControlBatch),
    /// A call for a target beside the receiver; answered with [`CallAnswer`].
    Call(Box<CallHead>),
    /// A non-idempotent call for the receiver as its key's home; answered with [`CallAnswer`].
    Keyed(Box<CallHead>),
    /// Asks for dispatch permits; answered with a grant.
    Permits(PermitRequest),
    /// Makes a permit unusable; answered with what that proves.
    Revoke(DispatchPermit),
    /// Asks an earlier home about a key; answered with an optional [`RecallAnswer`].
    Recall(Box<KeyCall>),
    /// Asks for the events of the last milliseconds, as older releases do.
    Timeline(u64),
    /// Closes a key for good; answered with an optional [`once::CloseVerdict`].
    Close(Box<KeyCloseRequest>),
    /// A page of a key book; answered with a result of [`once::StageAnswer`].
    Stage {
        /// The home that leaves.
        from: HolderId,
        /// The page.
        page: Box<HandoverPage>,
    },
    /// Suspects of a crash, or cleared ones; answered with those that ran to their end.
    Poison(PoisonMessage),
    /// Asks for some events; answered with a report.
    Events(Box<EventQuery>),
}

/// A key that shall never run again.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct KeyCloseRequest {
    /// The key.
    pub key: CallKey,
    /// Its digest together with the customer.
    pub digest: KeyDigest,
    /// Whether the receiver is asked as an earlier home.
    pub earlier: bool,
}

/// What an earlier home of a key remembers about it.
#[derive(Debug, Deserialize, Serialize)]
pub enum RecallAnswer {
    /// The call ran; this was its answer.
    Finished(Arc<StoredAnswer>),
    /// The call is running.
    Running,
    /// The call will not run, with what that proves.
    Refused(KeyRefusal),
}

/// Messages of the control areas from one daemon, each encoded by its area.
#[derive(Debug, Deserialize, Serialize)]
pub struct ControlBatch {
    /// Who sends.
    pub from: DaemonId,
    /// Where the sender listens for peers.
    pub address: SocketAddr,
    /// The sender's stamp, which orders events of all processes by cause.
    pub stamp: HybridTimestamp,
    /// The messages.
    pub messages: Vec<ControlMessage>,
}

/// One message of a control area.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ControlMessage {
    /// Distribution of the configuration.
    Spread(Vec<u8>),
    /// Membership.
    Member(Vec<u8>),
    /// Shares of the plans' limits.
    Limit(Vec<u8>),
    /// At most once: leases and handover.
    Once(Vec<u8>),
}

impl ControlMessage {
    /// Bytes of the message itself.
    pub fn len(&self) -> usize {
        let (Self::Spread(bytes) | Self::Member(bytes) | Self::Limit(bytes) | Self::Once(bytes)) =
            self;
        bytes.len()
    }

    /// Whether the message has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A header, in bytes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeaderPair {
    /// Its name.
    pub name: Box<str>,
    /// Its value.
    pub value: Box<[u8]>,
}

/// A call on its way to a target.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CallHead {
    /// The service called.
    pub service: ServiceName,
    /// The target chosen; none on the way to a key's home.
    pub target: Option<TargetName>,
    /// The customer that calls.
    pub customer: CustomerName,
    /// Its class.
    pub class: CallClass,
    /// HTTP method.
    pub method: MethodName,
    /// Path and query.
    pub path: Box<str>,
    /// End-to-end headers.
    pub headers: Vec<HeaderPair>,
    /// Time that remains until the deadline.
    pub remaining: Duration,
    /// Number of daemons that the call has entered from callers.
    pub depth: u8,
    /// Whether an attempt above was repeated.
    pub mark: RetryMark,
    /// Whether the method is idempotent.
    pub idempotent: bool,
    /// Whether the body is sent only after [`CallAnswer::Admitted`].
    pub streamed: bool,
    /// Fingerprint of route and body, against requests that crash targets.
    pub print: u128,
    /// What the sender knows of crashes under this request; nearly always nothing.
    pub news: SuspectReport,
    /// The key of a non-idempotent call.
    pub key: Option<CallKey>,
    /// The right to start a non-idempotent call beside its target.
    pub pass: Option<DispatchCredentials>,
}

/// Answer to a call.
#[derive(Debug, Deserialize, Serialize)]
pub enum CallAnswer {
    /// The call has its slot; a streamed body may follow, and another answer will.
    Admitted,
    /// The target answered; the body follows.
    Response(ResponseHead),
    /// The call was refused or lost.
    Refused(CallRefusal),
}

/// Head of a target's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
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

/// Why a call has no answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallRefusal {
    /// What happened.
    pub error: KindError,
    /// When to come again.
    pub retry_after: Option<Duration>,
    /// Load of the target.
    pub load: Option<TargetLoad>,
    /// What the refusal proves about the call.
    pub proof: RunProof,
    /// Whether the home of the call's key gave the refusal.
    pub by_home: bool,
    /// What is known of crashes under the request.
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

/// Headers of one connection, which are not passed on.
const CONNECTION_HEADERS: &[HeaderName] = &[
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

/// The headers of `map` that travel end to end.
pub fn pack_headers(map: &HeaderMap) -> Vec<HeaderPair> {
    map.iter()
        .filter(|(name, _)| !CONNECTION_HEADERS.contains(name) && *name != "keep-alive")
        .map(|(name, value)| HeaderPair {
            name: name.as_str().into(),
            value: value.as_bytes().into(),
        })
        .collect()
}

/// Headers as HTTP takes them.
pub fn unpack_headers(pairs: &[HeaderPair]) -> Result<HeaderMap> {
    let invalid = |detail: String| KindError::new(ErrorKind::FrameInvalid, detail);
    model::ensure(
        pairs.len() <= MAX_HEADERS,
        ErrorKind::FrameInvalid,
        "too many headers",
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
