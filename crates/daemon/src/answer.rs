//! Answers to callers.
//!
//! A refusal names its kind, whether the call is proven not to have run, and
//! when to come again, in headers and in a small JSON body.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use model::ConfigVersion;
use once::RunProof;
use once::proof::PROOF_HEADER;
use serde_json::json;

use crate::body::CallBody;
use crate::peer_messages::{CallRefusal, ResponseHead, unpack_headers};

/// Kind of the refusal.
const ERROR_HEADER: HeaderName = HeaderName::from_static("quetzal-error");
/// Present if the call is proven not to have run.
const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("quetzal-not-run");
/// Version of the configuration that the call was judged by.
const VERSION_HEADER: HeaderName = HeaderName::from_static("quetzal-version");
/// Present if this daemon cannot prove that its configuration is current.
const STALE_HEADER: HeaderName = HeaderName::from_static("quetzal-stale");

/// What a proxy adds to every answer.
#[derive(Clone, Copy, Debug)]
pub struct ConfigHeaders {
    /// Version of the configuration used.
    pub version: ConfigVersion,
    /// Whether the configuration may be stale.
    pub stale: bool,
}

impl ConfigHeaders {
    /// The meta of a daemon without configuration.
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

/// The target's answer as the caller gets it.
pub fn respond(head: &ResponseHead, body: CallBody, meta: ConfigHeaders) -> Response<CallBody> {
    let Ok(headers) = unpack_headers(&head.headers) else {
        return refusal_response(&invalid_answer(), meta);
    };
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers;
    // The error headers are this system's own; a target must not forge them.
    response.headers_mut().remove(ERROR_HEADER);
    response.headers_mut().remove(NOT_RUN_HEADER);
    response.headers_mut().remove(PROOF_HEADER);
    meta.apply(response.headers_mut());
    response
}

/// The answer to a call that has no answer of a target.
pub fn refusal_response(refusal: &CallRefusal, meta: ConfigHeaders) -> Response<CallBody> {
    let row = refusal.error.kind.properties();
    let body = json!({
        "error": row.name,
        "detail": &refusal.error.detail,
        "run": refusal.proof.to_string(),
    });
    let mut response = Response::new(CallBody::from_bytes(body.to_string().into_bytes()));
    *response.status_mut() = StatusCode::from_u16(row.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(ERROR_HEADER, HeaderValue::from_static(row.name));
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
    meta.apply(headers);
    response
}

fn invalid_answer() -> CallRefusal {
    model::KindError::new(
        model::ErrorKind::TargetFailed,
        "the target's headers cannot be passed on",
    )
    .into()
}

fn whole_seconds(time: Duration) -> HeaderValue {
    HeaderValue::from(time.as_secs_f64().ceil() as u64)
}

fn milliseconds(time: Duration) -> HeaderValue {
    HeaderValue::from(time.as_millis() as u64)
}
