//! What a call says in its head, before any decision.

use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, HeaderName};
use model::{ErrorKind, KindError};
use route::RetryMark;

use crate::peer_messages::MAX_CALL_DEPTH;

/// Results of reading a head; the kind is `RequestInvalid`.
pub type Result<T> = model::Result<T>;

const CUSTOMER_HEADER: HeaderName = HeaderName::from_static("quetzal-customer");
const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("quetzal-timeout-ms");
const DEPTH_HEADER: HeaderName = HeaderName::from_static("quetzal-depth");
const REPEATED_HEADER: HeaderName = HeaderName::from_static("quetzal-repeated");
const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Longest `Idempotency-Key` in bytes.
const MAX_KEY_BYTES: usize = 128;

/// The head of a call, as the caller sent it.
#[derive(Clone, derive_more::Debug)]
pub struct CallRequest {
    /// The customer named; empty if none.
    pub customer: Box<str>,
    /// The customer's key; empty if none.
    #[debug(skip)]
    pub secret: Box<str>,
    /// Method.
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// Time that remains, if the caller names it.
    pub remaining: Option<Duration>,
    /// Number of daemons that the call has entered, this one included.
    pub depth: u8,
    /// Whether an attempt above was repeated.
    pub mark: RetryMark,
    /// The `Idempotency-Key`.
    pub key: Option<Box<str>>,
}

impl CallRequest {
    /// Reads the head.
    pub fn read(parts: &Parts) -> Result<Self> {
        let headers = &parts.headers;
        let path = parts.uri.path_and_query();
        let secret = text(headers, &http::header::AUTHORIZATION)?;
        let depth: u8 = number(headers, &DEPTH_HEADER)?.unwrap_or(0);
        model::ensure(
            depth < MAX_CALL_DEPTH,
            ErrorKind::RequestInvalid,
            "the call passes through too many services",
        )?;
        let repeated: Option<u8> = number(headers, &REPEATED_HEADER)?;
        let key = text(headers, &KEY_HEADER)?;
        model::ensure(
            key.len() <= MAX_KEY_BYTES,
            ErrorKind::RequestInvalid,
            "the Idempotency-Key is too long",
        )?;
        Ok(Self {
            customer: text(headers, &CUSTOMER_HEADER)?.into(),
            secret: secret.strip_prefix("Bearer ").unwrap_or(secret).into(),
            method: parts.method.as_str().into(),
            path: path.map_or("/", http::uri::PathAndQuery::as_str).into(),
            remaining: number(headers, &TIMEOUT_HEADER)?.map(Duration::from_millis),
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

/// Whether a request names a key, even one that cannot be read.
pub fn carries_key(headers: &HeaderMap) -> bool {
    headers.contains_key(KEY_HEADER)
}

fn text<'head>(headers: &'head HeaderMap, name: &HeaderName) -> Result<&'head str> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok("");
    };
    if values.next().is_some() {
        return Err(invalid(format!("{name} stands twice")));
    }
    value
        .to_str()
        .map_err(|error| invalid(format!("{name}: {error}")))
}

fn number<T: std::str::FromStr<Err = std::num::ParseIntError>>(
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<T>> {
    let text = text(headers, name)?;
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
