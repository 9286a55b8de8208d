//! Application servers beside the daemons.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::caller::call;
use crate::http::{Connection, Message, response};
use crate::record::Record;

/// Interval of status reports.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Time within which a status report has to be acknowledged.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);
/// Requests that a server runs at the same time.
pub const SLOTS: u32 = 12;
/// Requests that wait beyond the slots.
const QUEUE: u32 = 48;
/// Interval at which a server looks whether a connection was closed.
const POLL: Duration = Duration::from_millis(5);

/// Interim response, which is no answer to a request.
const INTERIM_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Interim responses that a server in trouble passes to the socket at once.
const INTERIM_RESPONSES_PER_WRITE: usize = 200_000;

/// One request that a server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub id: String,
    /// When it began.
    pub began: Instant,
    /// When the answer was sent; none while it runs or if the connection closed first.
    pub answered: Option<Instant>,
    /// When the server saw that the connection had closed during the run.
    pub dropped: Option<Instant>,
}

/// One start of a server.
#[derive(Clone, Debug)]
pub struct Target {
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    name: String,
    service: String,
    zone: String,
    address: SocketAddr,
    control: SocketAddr,
    born: u64,
    sequence: AtomicU64,
    running: AtomicU32,
    beating: AtomicBool,
    ended: AtomicBool,
    in_trouble: AtomicBool,
    unhealthy: AtomicBool,
    /// Value of `Server-Limit` in all answers; 0 for none.
    limit: AtomicU32,
    sockets: Mutex<Vec<TcpStream>>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

/// Identity of a server.
#[derive(Clone, Debug)]
pub struct TargetPlan {
    /// Id of this start.
    pub name: String,
    /// Service that it provides.
    pub service: String,
    /// Zone of its machine.
    pub zone: String,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Address for its status reports.
    pub control: SocketAddr,
}

impl Target {
    /// Starts a server, which reports to its daemon from now on.
    pub fn start(
        plan: TargetPlan,
        runs: Arc<Mutex<Vec<Run>>>,
        record: &Record,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(plan.address)?;
        listener.set_nonblocking(true)?;
        let state = Arc::new(State {
            name: plan.name,
            service: plan.service,
            zone: plan.zone,
            address: plan.address,
            control: plan.control,
            born: now_millis(),
            sequence: AtomicU64::new(0),
            running: AtomicU32::new(0),
            beating: AtomicBool::new(true),
            ended: AtomicBool::new(false),
            in_trouble: AtomicBool::new(false),
            unhealthy: AtomicBool::new(false),
            limit: AtomicU32::new(0),
            sockets: Mutex::default(),
            runs,
            record: record.clone(),
        });
        record.line(&format!(
            "server {} of {} starts at {}, born {}",
            state.name, state.service, state.address, state.born
        ));
        let accepting = Arc::clone(&state);
        thread::spawn(move || accept(&accepting, &listener));
        let beating = Arc::clone(&state);
        thread::spawn(move || beat(&beating));
        Ok(Self { state })
    }

    /// Returns the id of the server.
    pub fn name(&self) -> &str {
        &self.state.name
    }

    /// Ends the server without a word: its listener and its connections close.
    pub fn crash(&self) {
        self.state
            .record
            .line(&format!("server {} crashes", self.state.name));
        self.state.ended.store(true, Ordering::SeqCst);
        self.state.beating.store(false, Ordering::SeqCst);
        for socket in lock(&self.state.sockets).drain(..) {
            // A connection that has ended already needs no shutdown.
            drop(socket.shutdown(Shutdown::Both));
        }
    }

    /// Sets whether requests, but not the liveness check, get interim responses without end.
    pub fn set_in_trouble(&self, in_trouble: bool) {
        self.state.record.line(&format!(
            "server {}: in trouble {in_trouble}",
            self.state.name
        ));
        self.state.in_trouble.store(in_trouble, Ordering::SeqCst);
    }

    /// Sets whether the liveness check fails.
    pub fn set_unhealthy(&self, unhealthy: bool) {
        let name = &self.state.name;
        self.state
            .record
            .line(&format!("server {name}: liveness check fails {unhealthy}"));
        self.state.unhealthy.store(unhealthy, Ordering::SeqCst);
    }

    /// Sets the requests a second that all answers name as the limit.
    pub fn set_limit(&self, limit: u32) {
        let name = &self.state.name;
        self.state
            .record
            .line(&format!("server {name}: names the limit {limit}"));
        self.state.limit.store(limit, Ordering::SeqCst);
    }

    /// Returns the next status report as sent on the wire, to be delivered later.
    pub fn next_report(&self) -> LateReport {
        let sequence = self.state.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        LateReport {
            path: report_path(&self.state.name),
            body: report_body(&self.state, sequence),
        }
    }
}

/// A status report that is held up on its way.
#[derive(Clone, Debug)]
pub struct LateReport {
    /// Path of the call.
    pub path: String,
    /// Body of the call.
    pub body: String,
}

impl LateReport {
    /// Delivers the report; returns the status of the answer.
    pub fn deliver(&self, control: SocketAddr) -> u16 {
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let answer = call(
            control,
            "POST",
            &self.path,
            &headers,
            self.body.as_bytes(),
            ACK_TIMEOUT,
        );
        answer.status()
    }
}

fn report_path(name: &str) -> String {
    format!("/v1/Instances.Heartbeat/{name}")
}

fn report_body(state: &State, sequence: u64) -> String {
    format!(
        r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{SLOTS},"state":"ready","cold_remaining":"0ms","sequence":{sequence},"born":{}}}"#,
        state.service, state.address, state.zone, state.born
    )
}

fn beat(state: &State) {
    while state.beating.load(Ordering::SeqCst) {
        let sequence = state.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let report = LateReport {
            path: report_path(&state.name),
            body: report_body(state, sequence),
        };
        let status = report.deliver(state.control);
        state.record.line(&format!(
            "report {sequence} of server {}: answered {status}",
            state.name
        ));
        thread::sleep(HEARTBEAT);
    }
}

fn accept(state: &Arc<State>, listener: &TcpListener) {
    while !state.ended.load(Ordering::SeqCst) {
        match listener.accept() {
            Ok((socket, _)) => {
                let kept = socket
                    .set_nonblocking(false)
                    .and_then(|()| socket.try_clone());
                if let Ok(kept) = kept {
                    lock(&state.sockets).push(kept);
                }
                let state = Arc::clone(state);
                thread::spawn(move || drop(serve(&state, socket)));
            }
            Err(_) => thread::sleep(POLL),
        }
    }
}

fn serve(state: &State, socket: TcpStream) -> io::Result<()> {
    let mut connection = Connection::new(socket);
    while let Some(request) = connection.read()? {
        if state.ended.load(Ordering::SeqCst) {
            break;
        }
        if state.in_trouble.load(Ordering::SeqCst) && request.target() != "/health" {
            return write_without_end(state, &request, &mut connection);
        }
        let Some(answer) = answer(state, &request, &connection) else {
            break;
        };
        connection.write(&answer)?;
    }
    Ok(())
}

/// Sends bytes that are no answer until the caller closes the connection.
fn write_without_end(
    state: &State,
    request: &Message,
    connection: &mut Connection,
) -> io::Result<()> {
    let id = request.header("x-request-id");
    let piece = INTERIM_RESPONSE.repeat(INTERIM_RESPONSES_PER_WRITE);
    let began = Instant::now();
    let mut sent = 0;
    state.record.line(&format!(
        "server {} answers {id} with bytes without end",
        state.name
    ));
    loop {
        if let Err(error) = connection.write(&piece) {
            state.record.line(&format!(
                "server {}: the connection of {id} closed after {:.3} s and {sent} bytes",
                state.name,
                began.elapsed().as_secs_f64()
            ));
            return Err(error);
        }
        sent += piece.len();
    }
}

/// Returns the bytes of the answer; `None` if the connection closed during the run.
fn answer(state: &State, request: &Message, connection: &Connection) -> Option<Vec<u8>> {
    let running = state.running.load(Ordering::SeqCst);
    let load = format!(
        "{},{},{SLOTS}",
        running.min(SLOTS),
        running.saturating_sub(SLOTS)
    );
    let limit = state.limit.load(Ordering::SeqCst).to_string();
    if request.target() == "/health" {
        let status = if state.unhealthy.load(Ordering::SeqCst) {
            503
        } else {
            200
        };
        let mut headers = vec![("X-Instance-Id", &*state.name), ("X-Server-Load", &load)];
        headers.extend(limit_header(&limit));
        return Some(response(status, &headers, b""));
    }
    let id = request.header("x-request-id").to_owned();
    let expected = request.header("x-expected-instance");
    if !expected.is_empty() && expected != state.name {
        state.record.line(&format!(
            "server {} answers 421 to request {id}, which expects {expected}",
            state.name
        ));
        let headers = [("X-Request-Id", &*id), ("X-Instance-Id", &state.name)];
        return Some(response(421, &headers, b""));
    }
    if running >= SLOTS + QUEUE {
        let headers = [("X-Request-Id", &*id), ("X-Not-Executed", "1")];
        return Some(response(503, &headers, b""));
    }
    state.running.fetch_add(1, Ordering::SeqCst);
    let answered = run(state, request, &id, connection);
    state.running.fetch_sub(1, Ordering::SeqCst);
    answered.then(|| {
        let body = format!(
            "{} {} by {}",
            request.method(),
            request.target(),
            state.name
        );
        let signature = format!("{}.{id}.{}", state.name, body.len());
        let mut headers = vec![
            ("X-Request-Id", &*id),
            ("X-Response-Signature", &signature),
            ("X-Server-Load", &load),
        ];
        headers.extend(limit_header(&limit));
        response(200, &headers, body.as_bytes())
    })
}

/// Returns the header in which a server in need names its limit; none for `0`.
fn limit_header(limit: &str) -> Option<(&'static str, &str)> {
    (limit != "0").then_some(("Server-Limit", limit))
}

/// Works for the time that the path names; returns false if the connection closed meanwhile.
fn run(state: &State, request: &Message, id: &str, connection: &Connection) -> bool {
    let began = Instant::now();
    let index = {
        let mut runs = lock(&state.runs);
        runs.push(Run {
            id: id.to_owned(),
            began,
            answered: None,
            dropped: None,
        });
        runs.len() - 1
    };
    state.record.line(&format!(
        "server {} runs {id}: caller service {}, {} ms left",
        state.name,
        request.header("x-caller-service"),
        request.header("x-request-deadline")
    ));
    let work = work_time(request.target());
    while began.elapsed() < work {
        thread::sleep(POLL.min(work.saturating_sub(began.elapsed())));
        if is_closed(&connection.socket) {
            lock(&state.runs)[index].dropped = Some(Instant::now());
            state.record.line(&format!(
                "server {} drops {id} after {:.3} s of work: its connection was closed",
                state.name,
                began.elapsed().as_secs_f64()
            ));
            return false;
        }
    }
    lock(&state.runs)[index].answered = Some(Instant::now());
    true
}

/// Returns the time that the last part of a path such as `/deals/work-520/7` names.
fn work_time(path: &str) -> Duration {
    let millis = path
        .split('/')
        .find_map(|part| part.strip_prefix("work-"))
        .and_then(|text| text.parse().ok());
    Duration::from_millis(millis.unwrap_or(20))
}

fn is_closed(socket: &TcpStream) -> bool {
    if socket.set_nonblocking(true).is_err() {
        return true;
    }
    let closed = match socket.peek(&mut [0]) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    };
    closed || socket.set_nonblocking(false).is_err()
}

/// Returns the Unix time in milliseconds.
pub fn now_millis() -> u64 {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH);
    passed.map_or(0, |passed| passed.as_millis() as u64)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
