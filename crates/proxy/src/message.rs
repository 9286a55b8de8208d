//! Messages between daemons.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use mesh::lineage::CalledServices;
use mesh::link::SMALL_BODY;
use mesh::{
    CallPriority, CallSafety, ConfigUpdate, MeshVersion, NestedCallOutcome, RouteKey, StoreEra,
};
use model::{ByteCount, DaemonId, ErrorKind, KindError, ServiceName};
use once::poison::PoisonMessage;
use route::TargetLoad;
use serde::{Deserialize, Serialize};

/// Results of decoding headers; the kind is `FrameInvalid`.
pub type Result<T> = model::Result<T>;

/// Largest [`CallAnswer`] after `Proceed`; the headers of a target's answer make most of it.
pub const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Headers by name, values as bytes.
pub type HeaderList = Vec<(Box<str>, Box<[u8]>)>;

/// The beginning of an exchange.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerRequest {
    /// A request for the target beside the receiver; its body follows.
    Call(Box<CallHead>),
    /// A message of the membership.
    Members {
        /// The sender.
        from: DaemonId,
        /// The message, encoded by the membership.
        bytes: Vec<u8>,
    },
    /// What is known of requests that crash targets.
    Poison(PoisonMessage),
    /// Asks for the configuration in force, if it is newer than the sender's.
    Config {
        /// The sender's version.
        have: Option<MeshVersion>,
    },
    /// Tells that a configuration is in force at the sender.
    News {
        /// The sender.
        from: DaemonId,
        /// The version.
        version: MeshVersion,
    },
}

/// The answer to a question for the configuration.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ConfigAnswer {
    /// The configuration, if it is newer than that of who asks.
    pub update: Option<ConfigUpdate>,
    /// Time since the store confirmed it; none if it never did.
    pub age: Option<Duration>,
    /// The latest era of the store that the daemon has seen.
    pub era: Option<StoreEra>,
}

/// A request on its way to a target.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CallHead {
    /// Identity of the caller's attempt.
    pub request_id: Box<str>,
    /// The method.
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// Headers to pass on, without those that the mesh sets.
    pub headers: HeaderList,
    /// Size of the body; above [`SMALL_BODY`] it is sent after `Proceed`.
    pub body_size: ByteCount,
    /// The service that is to run it.
    pub service: ServiceName,
    /// Service on whose VM it began.
    pub caller_service: ServiceName,
    /// Its route.
    pub route: RouteKey,
    /// Rank of the route.
    pub priority: CallPriority,
    /// Whether it may run again.
    pub safety: CallSafety,
    /// Whether a running request made it.
    pub inner: bool,
    /// Whether it was sent to a target before, or a repeated run makes it.
    pub repeat: bool,
    /// Time for which its caller still waits.
    pub remaining: Duration,
    /// Time within which its answer has its full worth, from the caller's first try.
    pub objective: Duration,
    /// Time that has passed since that try.
    pub spent: Duration,
}

/// What a daemon beside a target says of a call; a body follows `Answered`.
///
/// A call that must run at most once gets `Admitted`, after `Waiting` if its place is not
/// there yet, and runs when its sender has then ended its body.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum CallAnswer {
    /// There is room for the body, which was kept back; another answer follows.
    Proceed,
    /// It waits for a place at the target; another answer follows.
    Waiting,
    /// There is a place at the target; the call runs once its body is ended.
    Admitted,
    /// The target answered.
    Answered {
        /// Status of the answer.
        status: u16,
        /// Headers to pass on.
        headers: HeaderList,
        /// Services that the run called.
        called: CalledServices,
        /// How these calls ended.
        calls: NestedCallOutcome,
        /// Time for which the request waited for a slot.
        waited: Duration,
        /// Load of the target.
        load: TargetLoad,
    },
    /// Proven not to have run.
    Refused {
        /// Why.
        kind: ErrorKind,
        /// Whether the target itself refused it.
        arrived: bool,
        /// When a place may be free.
        retry_after: Option<Duration>,
        /// Load of the target.
        load: TargetLoad,
    },
    /// It may have run.
    Broken {
        /// What was seen, for the log.
        detail: Box<str>,
        /// Load of the target.
        load: TargetLoad,
    },
}

impl CallHead {
    /// Whether the body is kept back until the other daemon has room for it.
    pub fn expects_proceed(&self) -> bool {
        self.body_size > SMALL_BODY
    }
}

/// Headers that concern one connection only.
const HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The headers that go on to the next hop; `dropped` are left out besides.
pub fn pack_headers(headers: &HeaderMap, dropped: &[&HeaderName]) -> HeaderList {
    let named = connection_names(headers);
    headers
        .iter()
        .filter(|(name, _)| {
            let text = name.as_str();
            !HOP_HEADERS.contains(&text)
                && text != "content-length"
                && !dropped.contains(name)
                && !named.iter().any(|named| named.eq_ignore_ascii_case(text))
        })
        .map(|(name, value)| (name.as_str().into(), value.as_bytes().into()))
        .collect()
}

/// The headers in `list`.
pub fn unpack_headers(list: &HeaderList) -> Result<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(list.len() + 4);
    for (name, value) in list {
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(invalid)?;
        headers.append(name, HeaderValue::from_bytes(value).map_err(invalid)?);
    }
    Ok(headers)
}

/// Names that the `Connection` headers declare to concern this connection only.
fn connection_names(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(http::header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    texts
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_owned())
        .collect()
}

fn invalid(error: impl std::fmt::Display) -> KindError {
    KindError::new(ErrorKind::FrameInvalid, error.to_string())
}
