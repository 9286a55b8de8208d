//! The log service's HTTP interface in front of a [`MemoryLog`].
//!
//! Besides the streams, `GET` and `PUT /v1/faults` show and set the faults in
//! force, and `GET /v1/counts` tells what was served.

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

/// Largest limit of one read.
const MAX_READ_RECORDS: u32 = 10_000;

/// A running stand-in; stops when dropped.
#[derive(Debug)]
pub struct LogServer(StubServer);

impl LogServer {
    /// The address served.
    pub fn address(&self) -> SocketAddr {
        self.0.address()
    }

    /// Serves until the process ends.
    pub fn serve_forever(&self) -> ! {
        loop {
            std::thread::park();
        }
    }
}

/// Serves `log` on `address`; port 0 takes a free one.
///
/// Kinds: `LocalFailed`.
pub fn serve(log: &Arc<MemoryLog>, address: SocketAddr) -> Result<LogServer> {
    let log = Arc::clone(log);
    let answering = move |request: StubRequest| answer(&log, &request);
    StubServer::start(address, MAX_RECORD_BYTES, Arc::new(answering)).map(LogServer)
}

fn answer(log: &MemoryLog, request: &StubRequest) -> StubResponse {
    dispatch(log, request).unwrap_or_else(|error| {
        let status = error.kind.properties().status;
        answer_json(status, &error)
    })
}

fn answer_json(status: u16, body: &impl Serialize) -> StubResponse {
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
        (&Method::GET, ["v1", "faults"]) => Ok(answer_json(200, &log.faults())),
        (&Method::GET, ["v1", "counts"]) => Ok(answer_json(200, &log.counts())),
        _ => Err(invalid("no such path")),
    }
}

fn append(log: &MemoryLog, stream: &str, request: &StubRequest) -> Result<StubResponse> {
    let stream: StreamName = stream.parse()?;
    let body = read_body(request)?;
    let offset = log.append(&stream, body)?;
    Ok(answer_json(201, &AppendBody { offset }))
}

fn read(log: &MemoryLog, stream: &str, query: &str) -> Result<StubResponse> {
    let stream: StreamName = stream.parse()?;
    let from = LogOffset(query_number(query, "from", 0)?);
    let limit = query_number(query, "limit", 100)?.min(MAX_READ_RECORDS.into());
    let wait = Duration::from_millis(query_number(query, "wait_ms", 0)?);
    let answer = log.read(&stream, from, RecordCount(limit as u32), wait)?;
    Ok(match answer {
        ReadReply::Batch(batch) => answer_json(200, &BatchBody::from(&batch)),
        ReadReply::Expired { first } => answer_json(410, &ExpiredBody { first }),
    })
}

fn set_faults(log: &MemoryLog, request: &StubRequest) -> Result<StubResponse> {
    let body = read_body(request)?;
    let faults: LogFaults =
        serde_json::from_slice(body).map_err(|error| invalid(&error.to_string()))?;
    log.set_faults(faults);
    Ok(answer_json(200, &faults))
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
