//! What callers and targets speak, as a port.

use std::time::Duration;

use http::{HeaderName, HeaderValue, Method};
use mesh::{TargetLeave, TargetReport};
use model::CallCount;

/// Results of decoding; the kind is `RequestInvalid`.
pub type Result<T> = model::Result<T>;

/// Names of the headers that carry meaning for the mesh.
#[derive(Clone, Debug)]
pub struct EdgeHeaders {
    /// Identity of a request; each attempt of a caller has its own.
    pub request_id: HeaderName,
    /// Milliseconds for which the caller still waits.
    pub remaining_ms: HeaderName,
    /// The target's proof that an answer is its own.
    pub signature: HeaderName,
    /// Name of the target that alone is to run the request.
    pub expected_target: HeaderName,
    /// Name of the target that answers.
    pub target_name: HeaderName,
    /// Load that a target tells of itself.
    pub target_load: HeaderName,
    /// Says that the target has not run the request.
    pub not_run: HeaderName,
    /// Service on whose VM the request began.
    pub caller_service: HeaderName,
}

/// A call of the platform or of the target beside the daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlCall {
    /// Asks whether the daemon takes callers.
    Ready,
    /// The target tells of itself.
    Report(TargetReport),
    /// The target's last word.
    Leave(TargetLeave),
}

/// Decoders and names of the platform, passed in when the daemon starts.
#[derive(Clone, Debug)]
pub struct EdgeProtocol {
    /// Header names.
    pub headers: EdgeHeaders,
    /// Decodes a call by method, path and body.
    pub parse_control: fn(&Method, &str, &[u8]) -> Result<ControlCall>,
    /// Body of an acknowledgement to a target.
    pub acknowledgement: &'static str,
    /// Requests that a target runs at once, out of the load that it tells.
    pub parse_slots: fn(&str) -> Option<CallCount>,
    /// Writes the time after which a caller is to come back.
    pub format_retry_after: fn(Duration) -> HeaderValue,
}
