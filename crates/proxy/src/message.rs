//! Messages between daemons, and the conversion of the HTTP headers that they forward.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use mesh::lineage::CalledServices;
use mesh::link::SMALL_BODY;
use mesh::rollout::share::RolloutShare;
use mesh::rollout::tally::VersionTally;
use mesh::{
    CallPriority, CallSafety, ConfigUpdate, MeshVersion, NestedCallOutcome, QuotaReport, RouteKey,
    StoreEra,
};
use model::{
    ByteCount, CustomerName, DaemonId, ErrorKind, IncarnationNumber, KindError, LogOffset,
    OrganisationName, ServiceName, TargetVersion,
};
use once::poison::{PoisonMessage, SuspectReport};
use once::{PrintHasher, RequestFingerprint};
use route::TargetLoad;
use serde::{Deserialize, Serialize};

/// Result of decoding headers; errors are of kind `FrameInvalid`.
pub type Result<T> = model::Result<T>;

/// Maximum size of a [`CallAnswer`] after the first one of an exchange; it consists mostly of the
/// headers of a target's answer.
pub const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Header names and values, in order.
pub type HeaderList = Vec<(Box<str>, Box<[u8]>)>;

/// A request from one daemon to another; it opens an exchange.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerRequest {
    /// A request for the target beside the receiver; its body follows.
    Call(Box<CallHead>),
    /// A membership message.
    Members {
        /// The sender.
        from: DaemonId,
        /// The message as encoded by [`members`].
        bytes: Vec<u8>,
    },
    /// Shares news of requests that crash targets.
    Poison(PoisonMessage),
    /// Asks for the configuration in force if it is newer than the sender's.
    Config {
        /// The sender's version.
        have: Option<MeshVersion>,
        /// Sums of the quotas over the sender's subtree, if the receiver is its parent.
        quota: Option<QuotaReport>,
        /// Counts of rollouts; none where rollouts are not used.
        rollout: Option<RolloutCounts>,
    },
    /// Sums of the quotas over the domain of a reader, sent to the other readers, or sums that
    /// jumped, sent to neighbours in the tree.
    Quota(QuotaReport),
    /// Announces that a configuration is in force at the sender.
    News {
        /// The sender.
        from: DaemonId,
        /// The version.
        version: MeshVersion,
    },
    /// States the shares of rollouts, when they have changed.
    Rollout(Vec<RolloutShare>),
    /// Asks for all that the receiver knows of requests that crash targets.
    Suspects,
}

/// Counts of the runs at targets, sent towards the deciding daemon.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RolloutCounts {
    /// Counts of the sender and of those that asked it.
    pub reports: Vec<RolloutReport>,
    /// Digest of the statements that the sender knows.
    pub known: u64,
}

/// Counts of the runs at the target beside one daemon since an order.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RolloutReport {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its incarnation; each counts from zero.
    pub incarnation: IncarnationNumber,
    /// Offset of the order.
    pub order: LogOffset,
    /// Service of the target.
    pub service: ServiceName,
    /// Version of the target.
    pub version: TargetVersion,
    /// The counts, which only grow.
    pub tally: VersionTally,
}

/// The answer to [`PeerRequest::Suspects`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SuspectAnswer {
    /// Reports about all requests that the answering daemon remembers.
    pub reports: Vec<SuspectReport>,
}

/// The answer to [`PeerRequest::Config`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ConfigAnswer {
    /// The configuration, if it is newer than the asking daemon's.
    pub update: Option<ConfigUpdate>,
    /// Time since the store confirmed that the configuration of the answering daemon is the
    /// newest; none if it never did.
    pub age: Option<Duration>,
    /// Latest era of the store that the answering daemon has seen.
    pub era: Option<StoreEra>,
    /// Sums of the quotas over all daemons outside of the asking daemon's subtree.
    pub quota: Option<QuotaReport>,
    /// Shares of rollouts, if any runs or the asking daemon does not know them.
    pub rollout: Option<Vec<RolloutShare>>,
}

/// Head of a request that is forwarded to a target.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CallHead {
    /// Id that the caller gave this attempt.
    pub request_id: Box<str>,
    /// HTTP method.
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// Headers to forward, without those that the mesh sets.
    pub headers: HeaderList,
    /// Size of the body; one larger than [`SMALL_BODY`] is sent after [`CallAnswer::Proceed`].
    pub body_size: ByteCount,
    /// Service that is to run the request.
    pub service: ServiceName,
    /// Service of the VM on which the request entered the mesh.
    pub caller_service: ServiceName,
    /// Organisation whose key the caller sent; none for nested calls and without a key.
    pub organisation: Option<OrganisationName>,
    /// Route that the request matched.
    pub route: RouteKey,
    /// Priority of the route.
    pub priority: CallPriority,
    /// Whether the request may run more than once.
    pub safety: CallSafety,
    /// Whether a request that runs at a target made this one.
    pub inner: bool,
    /// Whether this is a retry, or was made by the run of a retry.
    pub repeat: bool,
    /// Time for which the caller still waits.
    pub remaining: Duration,
    /// Latency objective of the route, counted from the caller's first attempt.
    pub objective: Duration,
    /// Time since that attempt.
    pub spent: Duration,
    /// Whether a response after the objective is worth waiting for.
    pub may_be_late: bool,
    /// Number of busy targets that may still refuse the request as `TargetBusy` instead of queuing
    /// it.
    pub rejections_left: u8,
}

/// Response of the daemon beside a target to a call; a body follows `Answered`.
///
/// An at-most-once call is told `Admitted`, preceded by `Waiting` if no slot is free yet. It
/// runs only after its sender has then ended the body.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum CallAnswer {
    /// The link has room for the body that was held back; another answer follows.
    Proceed,
    /// The call is queued for a slot at the target; another answer follows.
    Waiting,
    /// A slot at the target is reserved; the call runs once its body has ended.
    Admitted,
    /// The target answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Headers to forward.
        headers: HeaderList,
        /// Services that the target called during the run.
        called: CalledServices,
        /// Worst outcome of these calls.
        calls: NestedCallOutcome,
        /// Time for which the request was queued for a slot.
        waited: Duration,
        /// Load of the target.
        load: TargetLoad,
    },
    /// The call was refused and has provably not run.
    Refused {
        /// Reason for the refusal.
        kind: ErrorKind,
        /// Whether it reached the target and the target refused it.
        arrived: bool,
        /// Time after which a slot may be free.
        retry_after: Option<Duration>,
        /// Load of the target.
        load: TargetLoad,
    },
    /// The exchange with the target failed; the call may have run.
    Broken {
        /// Cause, for the log.
        detail: Box<str>,
        /// Load of the target.
        load: TargetLoad,
    },
}

impl CallHead {
    /// Returns whether the sender holds the body back until it receives
    /// [`CallAnswer::Proceed`].
    pub fn expects_proceed(&self) -> bool {
        self.body_size > SMALL_BODY
    }

    /// Returns the fingerprint of the request with this `body`, by which requests that crash targets
    /// are recognized.
    pub fn fingerprint(&self, body: &[u8]) -> RequestFingerprint {
        // The fingerprint includes a customer name; in the mesh that is the calling service.
        let caller: CustomerName = self
            .caller_service
            .as_str()
            .parse()
            .expect("names of services and customers have the same form");
        let length = Some(body.len() as u64);
        let mut hasher = PrintHasher::new(&caller, &self.method, &self.path, length);
        hasher.update(body);
        hasher.finish()
    }
}

/// Hop-by-hop headers, which apply to a single connection.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
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

/// Returns the headers to forward to the next hop: all but hop-by-hop headers and `dropped`.
pub fn pack_headers(headers: &HeaderMap, dropped: &[&HeaderName]) -> HeaderList {
    let hop_names = connection_names(headers);
    headers
        .iter()
        .filter(|(name, _)| {
            let text = name.as_str();
            !HOP_BY_HOP_HEADERS.contains(&text)
                && text != "content-length"
                && !dropped.contains(name)
                && !hop_names
                    .iter()
                    .any(|named| named.eq_ignore_ascii_case(text))
        })
        .map(|(name, value)| (name.as_str().into(), value.as_bytes().into()))
        .collect()
}

/// Converts `list` to a header map.
pub fn unpack_headers(list: &HeaderList) -> Result<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(list.len() + 4);
    for (name, value) in list {
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(invalid_frame)?;
        headers.append(name, HeaderValue::from_bytes(value).map_err(invalid_frame)?);
    }
    Ok(headers)
}

/// Returns the names of hop-by-hop headers that the `Connection` headers list.
fn connection_names(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(http::header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    texts
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_owned())
        .collect()
}

fn invalid_frame(error: impl std::fmt::Display) -> KindError {
    KindError::new(ErrorKind::FrameInvalid, error.to_string())
}
