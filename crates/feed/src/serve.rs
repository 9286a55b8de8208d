//! The log service's HTTP interface in front of a [`MemoryLog`].
//!
//! Besides the streams, `GET` and `PUT /v1/faults` show and set the faults in
//! force, and `GET /v1/counts` tells what was served.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use model::{ErrorKind, KindError, LogOffset, RecordCount, StreamName};
use serde::Serialize;
use tiny_http::{Method, Request, Response, Server};

use crate::memory::{LogFaults, MAX_RECORD_BYTES, MemoryLog};
use crate::port::{LogPort, ReadAnswer, Result};
use crate::wire_format::{AppendBody, BatchBody, ExpiredBody};

/// Threads that answer; each long poll holds one.
const WORKER_COUNT: usize = 96;
/// Largest limit of one read.
const MAX_READ_RECORDS: u32 = 10_000;

/// A running stand-in; stops and joins its threads when dropped.
#[derive(Debug)]
pub struct LogServer {
    address: SocketAddr,
    server: Arc<ServerHandle>,
    workers: Vec<JoinHandle<()>>,
}

struct ServerHandle(Server);

impl std::fmt::Debug for ServerHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ServerHandle({})", self.0.server_addr())
    }
}

impl LogServer {
    /// The address served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the server ends, which it does not by itself.
    pub fn join(mut self) {
        for worker in self.workers.drain(..) {
            drop(worker.join());
        }
    }
}

impl Drop for LogServer {
    fn drop(&mut self) {
        for _ in &self.workers {
            self.server.0.unblock();
        }
        for worker in self.workers.drain(..) {
            drop(worker.join());
        }
    }
}

/// Serves `log` on `address`; port 0 takes a free one.
///
/// Kinds: `LocalFailed`.
pub fn serve(log: &Arc<MemoryLog>, address: SocketAddr) -> Result<LogServer> {
    let failed = |detail: String| KindError::new(ErrorKind::LocalFailed, detail);
    let server = Server::http(address).map_err(|error| failed(format!("{address}: {error}")))?;
    let bound = server.server_addr().to_ip();
    let address = bound.ok_or_else(|| failed(format!("{address}: no IP address")))?;
    let server = Arc::new(ServerHandle(server));
    let workers = (0..WORKER_COUNT)
        .map(|_| spawn_worker(Arc::clone(&server), Arc::clone(log)))
        .collect();
    Ok(LogServer {
        address,
        server,
        workers,
    })
}

fn spawn_worker(server: Arc<ServerHandle>, log: Arc<MemoryLog>) -> JoinHandle<()> {
    thread::spawn(move || {
        while let Ok(request) = server.0.recv() {
            answer(&log, request);
        }
    })
}

struct HttpAnswer {
    status: u16,
    json: Vec<u8>,
}

impl HttpAnswer {
    fn new(status: u16, body: &impl Serialize) -> Self {
        Self {
            status,
            json: serde_json::to_vec(body).unwrap_or_default(),
        }
    }
}

fn answer(log: &MemoryLog, mut request: Request) {
    let answer = dispatch(log, &mut request).unwrap_or_else(|error| {
        let status = error.kind.answer().status;
        HttpAnswer::new(status, &error)
    });
    let response = Response::from_data(answer.json).with_status_code(answer.status);
    // A caller that left misses its answer; nothing else can be done about it.
    drop(request.respond(response));
}

fn dispatch(log: &MemoryLog, request: &mut Request) -> Result<HttpAnswer> {
    let url: Box<str> = request.url().into();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        (Method::Post, ["v1", "streams", stream, "records"]) => append(log, stream, request),
        (Method::Get, ["v1", "streams", stream, "records"]) => read(log, stream, query),
        (Method::Put, ["v1", "faults"]) => set_faults(log, request),
        (Method::Get, ["v1", "faults"]) => Ok(HttpAnswer::new(200, &log.faults())),
        (Method::Get, ["v1", "counts"]) => Ok(HttpAnswer::new(200, &log.counts())),
        _ => Err(invalid("no such path")),
    }
}

fn append(log: &MemoryLog, stream: &str, request: &mut Request) -> Result<HttpAnswer> {
    let stream: StreamName = stream.parse()?;
    let body = read_body(request)?;
    let offset = log.append(&stream, &body)?;
    Ok(HttpAnswer::new(201, &AppendBody { offset }))
}

fn read(log: &MemoryLog, stream: &str, query: &str) -> Result<HttpAnswer> {
    let stream: StreamName = stream.parse()?;
    let from = LogOffset(query_number(query, "from", 0)?);
    let limit = query_number(query, "limit", 100)?.min(MAX_READ_RECORDS.into());
    let wait = Duration::from_millis(query_number(query, "wait_ms", 0)?);
    let answer = log.read(&stream, from, RecordCount(limit as u32), wait)?;
    Ok(match answer {
        ReadAnswer::Batch(batch) => HttpAnswer::new(200, &BatchBody::from(&batch)),
        ReadAnswer::Expired { first } => HttpAnswer::new(410, &ExpiredBody { first }),
    })
}

fn set_faults(log: &MemoryLog, request: &mut Request) -> Result<HttpAnswer> {
    let body = read_body(request)?;
    let faults: LogFaults =
        serde_json::from_slice(&body).map_err(|error| invalid(&error.to_string()))?;
    log.set_faults(faults);
    Ok(HttpAnswer::new(200, &faults))
}

fn read_body(request: &mut Request) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    let mut bounded = request.as_reader().take(MAX_RECORD_BYTES as u64 + 1);
    bounded
        .read_to_end(&mut body)
        .map_err(|error| invalid(&error.to_string()))?;
    Ok(body)
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
