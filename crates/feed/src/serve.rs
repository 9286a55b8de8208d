//! An HTTP server that emulates the log service with a [`MemoryLog`].
//!
//! In addition to the interface of the log service, `GET` and `PUT /v1/faults`
//! return and set the injected faults, and `GET /v1/counts` returns the request
//! counters.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use model::{ErrorKind, KindError, LogOffset, RecordCount, StreamName};
use serde::Serialize;

use crate::memory::{LogFaults, MAX_RECORD_BYTES, MemoryLog};
use crate::port::{LogPort, ReadReply, Result};
use crate::stub_server::{StubRequest, StubResponse, StubServer};
use crate::wire_format::{AppendBody, BatchBody, ExpiredBody};

/// Maximum number of records returned by one read.
const MAX_READ_RECORDS: u32 = 10_000;

/// A running server; stops when dropped.
#[derive(Debug)]
pub struct LogServer(StubServer);

impl LogServer {
    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.0.address()
    }

    /// Blocks the calling thread while the server runs, until the process ends.
    pub fn serve_forever(&self) -> ! {
        loop {
            std::thread::park();
        }
    }
}

/// Serves `log` on `address`; port 0 selects a free port.
///
/// Kinds: `LocalFailed`.
pub fn serve(log: &Arc<MemoryLog>, address: SocketAddr) -> Result<LogServer> {
    let log = Arc::clone(log);
    let handler = move |request: StubRequest| handle_request(&log, &request);
    StubServer::start(address, MAX_RECORD_BYTES, Arc::new(handler)).map(LogServer)
}

fn handle_request(log: &MemoryLog, request: &StubRequest) -> StubResponse {
    dispatch(log, request).unwrap_or_else(|error| {
        let status = error.kind.properties().status;
        json_response(status, &error)
    })
}

fn json_response(status: u16, body: &impl Serialize) -> StubResponse {
    StubResponse {
        status,
        body: serde_json::to_vec(body).unwrap_or_default(),
    }
}

fn dispatch(log: &MemoryLog, request: &StubRequest) -> Result<StubResponse> {
    let parts: Vec<&str> = request.path.trim_matches('/').split('/').collect();
    match (&request.method, parts.as_slice()) {
        (&Method::POST, ["v1", "streams", stream, "records"]) => append(log, stream, request),
        (&Method::GET, ["v1", "streams", stream, "records"]) => read(log, stream, &request.query),
        (&Method::PUT, ["v1", "faults"]) => set_faults(log, request),
        (&Method::GET, ["v1", "faults"]) => Ok(json_response(200, &log.faults())),
        (&Method::GET, ["v1", "counts"]) => Ok(json_response(200, &log.counts())),
        _ => Err(invalid("unknown path")),
    }
}

fn append(log: &MemoryLog, stream: &str, request: &StubRequest) -> Result<StubResponse> {
    let stream: StreamName = stream.parse()?;
    let body = read_body(request)?;
    let offset = log.append(&stream, body)?;
    Ok(json_response(201, &AppendBody { offset }))
}

fn read(log: &MemoryLog, stream: &str, query: &str) -> Result<StubResponse> {
    let stream: StreamName = stream.parse()?;
    let from = LogOffset(query_number(query, "from", 0)?);
    let limit = query_number(query, "limit", 100)?.min(MAX_READ_RECORDS.into());
    let wait = Duration::from_millis(query_number(query, "wait_ms", 0)?);
    let reply = log.read(&stream, from, RecordCount(limit as u32), wait)?;
    Ok(match reply {
        ReadReply::Batch(batch) => json_response(200, &BatchBody::from(&batch)),
        ReadReply::Expired { first } => json_response(410, &ExpiredBody { first }),
    })
}

fn set_faults(log: &MemoryLog, request: &StubRequest) -> Result<StubResponse> {
    let body = read_body(request)?;
    let faults: LogFaults =
        serde_json::from_slice(body).map_err(|error| invalid(&error.to_string()))?;
    log.set_faults(faults);
    Ok(json_response(200, &faults))
}

fn read_body(request: &StubRequest) -> Result<&[u8]> {
    match &request.body {
        Ok(body) => Ok(body),
        Err(error) => Err(invalid(error)),
    }
}

fn query_number(query: &str, name: &str, default: u64) -> Result<u64> {
    let pair = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name);
    pair.map_or(Ok(default), |(_, value)| {
        value
            .parse()
            .map_err(|error| invalid(&format!("{name}: {error}")))
    })
}

fn invalid(detail: &str) -> KindError {
    KindError::new(ErrorKind::RequestInvalid, detail)
}
