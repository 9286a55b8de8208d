//! Port to the protocol of callers and targets: header names and decoders.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use mesh::{KeyDigest, TargetLeave, TargetNotice, TargetReport};
use model::CallCount;
pub use route::TargetPace;

/// Result of decoding; errors are of kind `RequestInvalid`.
pub type Result<T> = model::Result<T>;

/// Names of the headers that the mesh reads or sets.
#[derive(Clone, Debug)]
pub struct EdgeHeaders {
    /// Id of a request; each attempt of a caller has its own.
    pub request_id: HeaderName,
    /// Remaining time in milliseconds for which the caller waits.
    pub remaining_ms: HeaderName,
    /// Signature by which a target proves that an answer is its own.
    pub signature: HeaderName,
    /// Name of the only target that may run the request.
    pub expected_target: HeaderName,
    /// Name of the answering target.
    pub target_name: HeaderName,
    /// Load reported by the answering target.
    pub target_load: HeaderName,
    /// Present if the target has not run the request.
    pub not_run: HeaderName,
    /// Service of the VM on which the request entered the mesh.
    pub caller_service: HeaderName,
    /// Organisation that sent the request.
    pub organisation: HeaderName,
    /// Key of the organisation; targets never get it.
    pub key: HeaderName,
}

/// What a target reports of its load, apart from what the daemon beside it knows itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Number of requests that the target runs at the same time.
    pub slots: CallCount,
    /// Time that work takes at the moment.
    pub pace: TargetPace,
}

/// A control request of the platform or of the target beside the daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlCall {
    /// Asks whether the daemon accepts callers.
    Ready,
    /// Reports the state of the target.
    Report(TargetReport),
    /// Announces that the target is leaving.
    Leave(TargetLeave),
}

/// Header names, parsers and formats of the platform, passed in when the daemon starts.
#[derive(Clone, Debug)]
pub struct EdgeProtocol {
    /// Header names.
    pub headers: EdgeHeaders,
    /// Parses a control request from its method, path and body.
    pub parse_control: fn(&Method, &str, &[u8]) -> Result<ControlCall>,
    /// Body of the reply that acknowledges a report.
    pub acknowledgement: &'static str,
    /// Parses the load reported by a target.
    pub parse_load: fn(&str) -> Option<ReportedLoad>,
    /// Reads what a target says of itself in the headers of an answer. A limit that is not a rate
    /// counts as none.
    pub read_notice: fn(&HeaderMap) -> TargetNotice,
    /// Returns whether a status tells callers that their request has not run and never will.
    pub promises_not_run: fn(StatusCode) -> bool,
    /// Reads the key that a request bears; `None` if there is none or it cannot be read.
    pub read_key: fn(&HeaderMap) -> Option<KeyDigest>,
    /// Formats the time after which a caller may retry.
    pub format_retry_after: fn(Duration) -> HeaderValue,
}
