//! An HTTP client of the log service.

use std::time::Duration;

use model::{ErrorKind, KindError, LogOffset, RecordCount, StreamName};
use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::http::Response;

use crate::port::{LogPort, ReadReply, Result};
use crate::wire_format::{AppendBody, BatchBody, ExpiredBody};

/// Timeout for connecting, and for a response beyond the requested wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a response in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// A client of the log service.
#[derive(Clone, Debug)]
pub struct HttpLog {
    base_url: Box<str>,
    agent: Agent,
}

impl HttpLog {
    /// Creates a client for the service at `base_url`, such as `http://127.0.0.1:7400`.
    pub fn new(base_url: &str) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(RESPONSE_TIMEOUT))
            .build();
        Self {
            base_url: base_url.trim_end_matches('/').into(),
            agent: config.into(),
        }
    }

    fn url(&self, stream: &StreamName) -> String {
        format!("{}/v1/streams/{stream}/records", self.base_url)
    }
}

impl LogPort for HttpLog {
    fn append(&self, stream: &StreamName, body: &[u8]) -> Result<LogOffset> {
        let request = self.agent.post(self.url(stream));
        let configured = request
            .config()
            .timeout_global(Some(RESPONSE_TIMEOUT))
            .build();
        let mut response = configured.send(body).map_err(unavailable)?;
        match response.status().as_u16() {
            201 => read_json::<AppendBody>(&mut response).map(|body| body.offset),
            status => Err(status_error(status)),
        }
    }

    fn read(
        &self,
        stream: &StreamName,
        from: LogOffset,
        limit: RecordCount,
        wait: Duration,
    ) -> Result<ReadReply> {
        let request = self
            .agent
            .get(self.url(stream))
            .query("from", from.to_string())
            .query("limit", limit.to_string())
            .query("wait_ms", wait.as_millis().to_string());
        let configured = request
            .config()
            .timeout_global(Some(wait + RESPONSE_TIMEOUT))
            .build();
        let mut response = configured.call().map_err(unavailable)?;
        match response.status().as_u16() {
            200 => read_json::<BatchBody>(&mut response)?
                .into_batch()
                .map(ReadReply::Batch),
            410 => read_json::<ExpiredBody>(&mut response)
                .map(|body| ReadReply::Expired { first: body.first }),
            status => Err(status_error(status)),
        }
    }
}

fn read_json<T: DeserializeOwned>(response: &mut Response<ureq::Body>) -> Result<T> {
    response
        .body_mut()
        .with_config()
        .limit(MAX_RESPONSE_BYTES)
        .read_json()
        .map_err(|error| match error {
            ureq::Error::Json(error) => {
                KindError::new(ErrorKind::LogAnswerInvalid, error.to_string())
            }
            error => unavailable(error),
        })
}

fn status_error(status: u16) -> KindError {
    let kind = match status {
        400 | 404 | 413 => ErrorKind::RequestInvalid,
        429 => ErrorKind::LogOverRate,
        503 => ErrorKind::LogUnavailable,
        _ => ErrorKind::LogAnswerInvalid,
    };
    KindError::new(kind, format!("the log service returned status {status}"))
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "signature required by map_err"
)]
fn unavailable(error: ureq::Error) -> KindError {
    KindError::new(ErrorKind::LogUnavailable, error.to_string())
}
