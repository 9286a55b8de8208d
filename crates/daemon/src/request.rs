//! Parses the headers of a caller's request.

use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, HeaderName};
use model::{ErrorKind, KindError};
use route::RetryMark;

use crate::peer_messages::MAX_CALL_DEPTH;

/// Result of parsing; errors have the kind `RequestInvalid`.
pub type Result<T> = model::Result<T>;

const CUSTOMER_HEADER: HeaderName = HeaderName::from_static("quetzal-customer");
const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("quetzal-timeout-ms");
const DEPTH_HEADER: HeaderName = HeaderName::from_static("quetzal-depth");
const REPEATED_HEADER: HeaderName = HeaderName::from_static("quetzal-repeated");
const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Maximum length of the `Idempotency-Key` in bytes.
const MAX_KEY_BYTES: usize = 128;

/// The parsed headers of a caller's request.
#[derive(Clone, derive_more::Debug)]
pub struct CallRequest {
    /// Name of the customer; empty if missing.
    pub customer: Box<str>,
    /// The customer's secret key; empty if missing.
    #[debug(skip)]
    pub secret: Box<str>,
    /// HTTP method.
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// Time left until the caller's deadline, if it states one.
    pub remaining: Option<Duration>,
    /// Number of calls in the chain from the first caller up to this call.
    pub depth: u8,
    /// Whether the call belongs to a retry earlier in the chain.
    pub mark: RetryMark,
    /// Value of the `Idempotency-Key` header.
    pub key: Option<Box<str>>,
}

impl CallRequest {
    /// Parses the headers of a request.
    pub fn read(parts: &Parts) -> Result<Self> {
        let headers = &parts.headers;
        let path = parts.uri.path_and_query();
        let secret = header_text(headers, &http::header::AUTHORIZATION)?;
        let depth: u8 = header_number(headers, &DEPTH_HEADER)?.unwrap_or(0);
        model::ensure(
            depth < MAX_CALL_DEPTH,
            ErrorKind::RequestInvalid,
            "the chain of calls is too deep",
        )?;
        let repeated: Option<u8> = header_number(headers, &REPEATED_HEADER)?;
        let key = header_text(headers, &KEY_HEADER)?;
        model::ensure(
            key.len() <= MAX_KEY_BYTES,
            ErrorKind::RequestInvalid,
            "the Idempotency-Key is too long",
        )?;
        Ok(Self {
            customer: header_text(headers, &CUSTOMER_HEADER)?.into(),
            secret: secret.strip_prefix("Bearer ").unwrap_or(secret).into(),
            method: parts.method.as_str().into(),
            path: path.map_or("/", http::uri::PathAndQuery::as_str).into(),
            remaining: header_number(headers, &TIMEOUT_HEADER)?.map(Duration::from_millis),
            depth: depth + 1,
            mark: if repeated == Some(1) {
                RetryMark::Repeated
            } else {
                RetryMark::First
            },
            key: (!key.is_empty()).then(|| key.into()),
        })
    }
}

/// Returns whether a request has an idempotency key, even an invalid one.
pub fn carries_key(headers: &HeaderMap) -> bool {
    headers.contains_key(KEY_HEADER)
}

fn header_text<'head>(headers: &'head HeaderMap, name: &HeaderName) -> Result<&'head str> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok("");
    };
    if values.next().is_some() {
        return Err(invalid(format!("the header {name} appears more than once")));
    }
    value
        .to_str()
        .map_err(|error| invalid(format!("{name}: {error}")))
}

fn header_number<T: std::str::FromStr<Err = std::num::ParseIntError>>(
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<T>> {
    let text = header_text(headers, name)?;
    if text.is_empty() {
        return Ok(None);
    }
    text.parse()
        .map(Some)
        .map_err(|error| invalid(format!("{name}: {error}")))
}

fn invalid(detail: String) -> KindError {
    KindError::new(ErrorKind::RequestInvalid, detail)
}
