//! HTTP responses to callers.
//!
//! A refusal states its error kind, whether the call is proven not to have run, and when to
//! retry, in headers and in a small JSON body.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use model::ConfigVersion;
use once::RunProof;
use once::proof::PROOF_HEADER;
use serde_json::json;

use crate::body::CallBody;
use crate::peer_messages::{CallRefusal, ResponseHead, unpack_headers};

/// Error kind of a refusal.
const ERROR_HEADER: HeaderName = HeaderName::from_static("quetzal-error");
/// Set if the call is proven not to have run.
const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("quetzal-not-run");
/// Version of the configuration that the call was decided with.
const VERSION_HEADER: HeaderName = HeaderName::from_static("quetzal-version");
/// Set if this daemon cannot prove that its configuration is current.
const STALE_HEADER: HeaderName = HeaderName::from_static("quetzal-stale");

/// State of the configuration, which is added to the headers of every response.
#[derive(Clone, Copy, Debug)]
pub struct ConfigHeaders {
    /// Version of the configuration that was used.
    pub version: ConfigVersion,
    /// Whether the configuration may be outdated.
    pub stale: bool,
}

impl ConfigHeaders {
    /// Headers of a daemon that has no configuration yet.
    pub const NONE: Self = Self {
        version: ConfigVersion::NONE,
        stale: false,
    };

    fn apply(self, headers: &mut HeaderMap) {
        if let Ok(version) = HeaderValue::from_str(&self.version.to_string()) {
            headers.insert(VERSION_HEADER, version);
        }
        if self.stale {
            headers.insert(STALE_HEADER, HeaderValue::from_static("true"));
        }
    }
}

/// Returns the response for a call that a target answered.
pub fn respond(head: &ResponseHead, body: CallBody, config: ConfigHeaders) -> Response<CallBody> {
    let Ok(headers) = unpack_headers(&head.headers) else {
        return refusal_response(&invalid_response(), config);
    };
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers;
    // Only a daemon may set the error headers; a target must not forge them.
    response.headers_mut().remove(ERROR_HEADER);
    response.headers_mut().remove(NOT_RUN_HEADER);
    response.headers_mut().remove(PROOF_HEADER);
    config.apply(response.headers_mut());
    response
}

/// Returns the response for a call that no target answered.
pub fn refusal_response(refusal: &CallRefusal, config: ConfigHeaders) -> Response<CallBody> {
    let properties = refusal.error.kind.properties();
    let body = json!({
        "error": properties.name,
        "detail": &refusal.error.detail,
        "run": refusal.proof.to_string(),
    });
    let mut response = Response::new(CallBody::from_bytes(body.to_string().into_bytes()));
    *response.status_mut() =
        StatusCode::from_u16(properties.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(ERROR_HEADER, HeaderValue::from_static(properties.name));
    headers.insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if let Ok(proof) = HeaderValue::from_str(&refusal.proof.to_string()) {
        headers.insert(PROOF_HEADER, proof);
    }
    if refusal.proof == RunProof::NotRun {
        headers.insert(NOT_RUN_HEADER, HeaderValue::from_static("true"));
    }
    if let Some(retry_after) = refusal.retry_after {
        headers.insert(http::header::RETRY_AFTER, whole_seconds(retry_after));
        headers.insert("quetzal-retry-after-ms", milliseconds(retry_after));
    }
    config.apply(headers);
    response
}

fn invalid_response() -> CallRefusal {
    model::KindError::new(
        model::ErrorKind::TargetFailed,
        "the headers of the target's response are invalid",
    )
    .into()
}

fn whole_seconds(time: Duration) -> HeaderValue {
    HeaderValue::from(time.as_secs_f64().ceil() as u64)
}

fn milliseconds(time: Duration) -> HeaderValue {
    HeaderValue::from(time.as_millis() as u64)
}
