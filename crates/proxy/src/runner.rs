//! Runs one request at the target beside the daemon.
//!
//! Until the target has the request, every end is a proven refusal. From then
//! on only the target's own word that it did not run proves anything.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, header};
use mesh::lineage::{CalledServices, RunOrigin};
use mesh::{CallSafety, NestedCallOutcome, ResponseLimit, TargetReport};
use model::{CustomerName, ErrorKind, TargetName};
use once::{PrintHasher, RequestFingerprint};
use tokio::time::timeout;

use crate::answer_body::{AnswerBody, BodyStream, ReadBody, read_body};
use crate::core::ProxyCore;
use crate::desk::{DeskPlace, DeskRequest};
use crate::message::{CallHead, HeaderList, pack_headers, unpack_headers};
use crate::relay::is_sampled;
use crate::target_client::{SendFailure, TargetExchange};

/// Time kept back for the answer's way to the caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(3);
/// Least time worth starting a run for.
const MIN_RUN: Duration = Duration::from_millis(2);
/// Time after which a refused request may find the target back.
const DOWN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// How a run ended.
#[derive(Debug)]
pub enum TargetRunOutcome {
    /// The target answered.
    Answered(Box<RunAnswer>),
    /// Proven not to have run.
    Refused(RunRefusal),
    /// It may have run.
    Broken(Box<str>),
}

/// The target's answer.
#[derive(Debug)]
pub struct RunAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without those of the connection.
    pub headers: HeaderList,
    /// Its body.
    pub body: AnswerBody,
    /// Services that the run called.
    pub called: CalledServices,
    /// How these calls ended.
    pub calls: NestedCallOutcome,
    /// Time for which the request waited for a slot.
    pub waited: Duration,
}

/// A proven refusal.
#[derive(Clone, Copy, Debug)]
pub struct RunRefusal {
    /// Why.
    pub kind: ErrorKind,
    /// Whether the target itself refused.
    pub arrived: bool,
    /// When a place may be free.
    pub retry_after: Option<Duration>,
}

/// A request for the target, received whole.
#[derive(Debug)]
pub struct TargetCall {
    /// Its head.
    pub head: CallHead,
    /// Its body.
    pub body: Bytes,
    /// When it arrived here.
    pub since: Instant,
}

impl TargetCall {
    fn deadline(&self) -> Instant {
        self.since + self.head.remaining
    }

    /// Until when its answer has its full worth; long past for a caller that comes back late.
    fn objective(&self) -> Instant {
        let latest = self.since + self.head.objective;
        latest.checked_sub(self.head.spent).unwrap_or(self.since)
    }

    fn print(&self) -> RequestFingerprint {
        let head = &self.head;
        // The fingerprint names a party; within the mesh that is the calling service.
        let party: CustomerName = head
            .caller_service
            .as_str()
            .parse()
            .expect("names of services and customers have the same form");
        let length = Some(self.body.len() as u64);
        let mut hasher = PrintHasher::new(&party, &head.method, &head.path, length);
        hasher.update(&self.body);
        hasher.finish()
    }
}

/// Admits the request and runs it.
pub async fn run_call(core: &Arc<ProxyCore>, call: TargetCall) -> TargetRunOutcome {
    match admit_call(core, &call).await {
        Ok(admitted) => run_admitted(core, &call, admitted).await,
        Err(refusal) => TargetRunOutcome::Refused(refusal),
    }
}

/// Tells how a run ended: all that did not end well, and the sampled ones.
fn note_run_end(core: &ProxyCore, call: &TargetCall, end: &TargetRunOutcome) {
    let (word, kind, cause, waited) = match end {
        TargetRunOutcome::Answered(answer) => {
            let failed = answer.status.is_server_error();
            if !failed && !is_sampled(&call.head.request_id) {
                return;
            }
            let word = if failed { "failed" } else { "answered" };
            let cause = match answer.calls {
                NestedCallOutcome::Ran => "",
                NestedCallOutcome::Shed => "a target refused a call",
                NestedCallOutcome::NoRoom => "a call found no room",
            };
            (word, "", cause, answer.waited)
        }
        TargetRunOutcome::Refused(refusal) => {
            let kind = refusal.kind.answer().name;
            let cause = if refusal.arrived {
                "refused by the target"
            } else {
                ""
            };
            ("refused", kind, cause, Duration::ZERO)
        }
        TargetRunOutcome::Broken(detail) => ("broken", "", &**detail, Duration::ZERO),
    };
    let load = core.gate.load();
    let now = core.clock.now();
    log::info!(
        request = &*call.head.request_id, caller = call.head.caller_service.as_str(),
        end = word, kind, cause, waited_ms = waited.as_millis() as u64,
        took_ms = now.saturating_duration_since(call.since).as_millis() as u64,
        left_ms = call.deadline().saturating_duration_since(now).as_millis() as u64,
        running = load.in_flight.0, queued = load.queued.0;
        "run ended"
    );
}

/// A request with a place at the target, which has not run yet.
#[derive(Debug)]
pub struct AdmittedCall {
    place: DeskPlace,
    target: TargetName,
    print: RequestFingerprint,
}

/// Waits for a place at the target.
pub async fn admit_call(
    core: &Arc<ProxyCore>,
    call: &TargetCall,
) -> std::result::Result<AdmittedCall, RunRefusal> {
    let admitted = find_place(core, call).await;
    if let Err(refusal) = &admitted {
        note_run_end(core, call, &TargetRunOutcome::Refused(*refusal));
    }
    admitted
}

async fn find_place(
    core: &ProxyCore,
    call: &TargetCall,
) -> std::result::Result<AdmittedCall, RunRefusal> {
    let report = willing_target(core, &call.head)?;
    let print = call.print();
    core.poison()
        .check(print)
        .map_err(|error| refuse(error.kind, None))?;
    let request = DeskRequest {
        route: call.head.route,
        priority: call.head.priority,
        inner: call.head.inner,
        objective: call.objective(),
        deadline: call.deadline(),
    };
    let place = core.gate.enter(request).await;
    let place = place.map_err(|refusal| refuse(refusal.kind, Some(refusal.retry_after)))?;
    Ok(AdmittedCall {
        place,
        target: report.target,
        print,
    })
}

/// Runs a request that has a place.
pub async fn run_admitted(
    core: &Arc<ProxyCore>,
    call: &TargetCall,
    admitted: AdmittedCall,
) -> TargetRunOutcome {
    let end = match begin_run(core, call, &admitted) {
        Ok(watched) => run_watched(core, call, admitted.place, watched).await,
        Err(refusal) => TargetRunOutcome::Refused(refusal),
    };
    note_run_end(core, call, &end);
    end
}

/// Notes that a run begins, unless its target is not there any more.
fn begin_run(
    core: &Arc<ProxyCore>,
    call: &TargetCall,
    admitted: &AdmittedCall,
) -> std::result::Result<WatchedRun, RunRefusal> {
    let AdmittedCall { target, print, .. } = admitted;
    // The target may have left or been replaced while the request waited.
    let report = willing_target(core, &call.head)?;
    if report.target != *target {
        return Err(refuse(ErrorKind::TargetAbsent, None));
    }
    core.poison()
        .start(target, *print)
        .map_err(|error| refuse(error.kind, None))?;
    let origin = RunOrigin {
        priority: call.head.priority,
        repeat: call.head.repeat,
    };
    core.lineage().begin(&call.head.request_id, origin);
    Ok(WatchedRun {
        core: Arc::clone(core),
        target: target.clone(),
        request: call.head.request_id.clone(),
        print: *print,
        sound: false,
    })
}

/// A run that the lineage and the watch of crashing requests know of until it is dropped.
#[derive(Debug)]
struct WatchedRun {
    core: Arc<ProxyCore>,
    target: TargetName,
    request: Box<str>,
    print: RequestFingerprint,
    sound: bool,
}

impl Drop for WatchedRun {
    fn drop(&mut self) {
        self.core.lineage().end(&self.request);
        let mut watch = self.core.poison();
        let output = watch.finish(&self.target, self.print, self.sound);
        drop(watch);
        self.core.send_poison(output.into_iter().collect());
    }
}

fn willing_target(
    core: &ProxyCore,
    head: &CallHead,
) -> std::result::Result<TargetReport, RunRefusal> {
    let own = core.own_target();
    match own.available() {
        Some(report) if report.service == head.service => Ok(report.clone()),
        _ if own.is_leaving() => Err(refuse(ErrorKind::Draining, None)),
        _ => Err(refuse(ErrorKind::TargetAbsent, Some(DOWN_RETRY_AFTER))),
    }
}

fn refuse(kind: ErrorKind, retry_after: Option<Duration>) -> RunRefusal {
    RunRefusal {
        kind,
        arrived: false,
        retry_after,
    }
}

async fn run_watched(
    core: &Arc<ProxyCore>,
    call: &TargetCall,
    place: DeskPlace,
    mut watched: WatchedRun,
) -> TargetRunOutcome {
    let remaining = call
        .deadline()
        .saturating_duration_since(core.clock.now())
        .saturating_sub(ANSWER_MARGIN);
    if remaining < MIN_RUN {
        return TargetRunOutcome::Refused(refuse(ErrorKind::DeadlineExceeded, None));
    }
    let request = match build_request(core, call, &watched.target, remaining) {
        Ok(request) => request,
        Err(error) => return TargetRunOutcome::Refused(refuse(error.kind, None)),
    };
    let once = call.head.safety == CallSafety::AtMostOnce;
    let sending = core.target_client.send(request, once);
    let Ok(sent) = timeout(remaining + ANSWER_MARGIN, sending).await else {
        place.finish(true);
        return TargetRunOutcome::Broken("the target did not answer in time".into());
    };
    let exchange = match sent {
        Ok(exchange) => exchange,
        Err(SendFailure::Unsent(detail)) => {
            drop(place);
            note_down(core, &detail);
            return TargetRunOutcome::Refused(refuse(
                ErrorKind::TargetAbsent,
                Some(DOWN_RETRY_AFTER),
            ));
        }
        Err(SendFailure::Unknown(detail)) => {
            place.finish(true);
            look_for_crash(core, &watched).await;
            return TargetRunOutcome::Broken(detail);
        }
    };
    core.own_target().on_answer();
    let end = take_answer(core, call, exchange, place).await;
    match &end {
        TargetRunOutcome::Answered(_) => watched.sound = true,
        TargetRunOutcome::Broken(_) => look_for_crash(core, &watched).await,
        TargetRunOutcome::Refused(_) => {}
    }
    end
}

fn build_request(
    core: &ProxyCore,
    call: &TargetCall,
    target: &TargetName,
    remaining: Duration,
) -> model::Result<Request<http_body_util::Full<Bytes>>> {
    let invalid = |detail: String| model::KindError::new(ErrorKind::RequestInvalid, detail);
    let head = &call.head;
    let mut headers = unpack_headers(&head.headers)?;
    let names = &core.edge.headers;
    let text =
        |value: &str| HeaderValue::from_str(value).map_err(|error| invalid(error.to_string()));
    headers.insert(&names.request_id, text(&head.request_id)?);
    headers.insert(&names.caller_service, text(head.caller_service.as_str())?);
    headers.insert(&names.expected_target, text(target.as_str())?);
    headers.insert(
        &names.remaining_ms,
        text(&remaining.as_millis().to_string())?,
    );
    let method = head.method.parse::<http::Method>();
    let has_body = !call.body.is_empty();
    let mut request = Request::new(http_body_util::Full::new(call.body.clone()));
    *request.method_mut() = method.map_err(|error| invalid(error.to_string()))?;
    *request.uri_mut() = head
        .path
        .parse()
        .map_err(|error: http::uri::InvalidUri| invalid(error.to_string()))?;
    if has_body {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(call.body.len()));
    }
    *request.headers_mut() = headers;
    Ok(request)
}

/// Judges the head of the answer and reads its body.
async fn take_answer(
    core: &Arc<ProxyCore>,
    call: &TargetCall,
    mut exchange: TargetExchange,
    place: DeskPlace,
) -> TargetRunOutcome {
    let names = &core.edge.headers;
    let status = exchange.response.status();
    let headers = exchange.response.headers();
    // A second copy of an answer may come in place of the next one, a refusal's too.
    let answers = headers.get(&names.request_id);
    let strange = answers.is_some_and(|id| id.as_bytes() != call.head.request_id.as_bytes());
    if strange {
        core.target_client.note_stray_answer();
        place.finish(true);
        return TargetRunOutcome::Broken("the answer belongs to another request".into());
    }
    let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    if misdirected || headers.contains_key(&names.not_run) {
        if misdirected {
            note_replaced(core);
        }
        // The target said that it has not run the request.
        place.finish(true);
        let refusal = RunRefusal {
            kind: ErrorKind::QueueFull,
            arrived: true,
            retry_after: Some(core.gate.retry_after()),
        };
        return TargetRunOutcome::Refused(refusal);
    }
    if answers.is_none() {
        place.finish(true);
        return TargetRunOutcome::Broken("the answer names no request".into());
    }
    if status.is_success() && !headers.contains_key(&names.signature) {
        place.finish(true);
        return TargetRunOutcome::Broken("the answer does not prove to be a target's".into());
    }
    let packed = pack_headers(headers, &[]);
    let waited = place.waited;
    let ran = core
        .clock
        .now()
        .saturating_duration_since(call.since)
        .saturating_sub(waited);
    core.metrics
        .observe_run(call.head.service.as_str(), waited, ran);
    let rest = call.deadline().saturating_duration_since(core.clock.now());
    let body = match timeout(rest, read_body(&mut exchange.response)).await {
        Ok(Ok(ReadBody::Whole(bytes))) => {
            place.finish(status.is_server_error());
            exchange.finish();
            AnswerBody::Whole(bytes)
        }
        Ok(Ok(ReadBody::Begun(first))) => {
            let bound = ResponseLimit::new(call.deadline());
            let clock = Arc::clone(&core.clock);
            AnswerBody::Stream(Box::new(BodyStream::new(
                first, exchange, place, bound, clock,
            )))
        }
        Ok(Err(detail)) => {
            place.finish(true);
            return TargetRunOutcome::Broken(detail);
        }
        Err(_) => {
            place.finish(true);
            return TargetRunOutcome::Broken("the answer did not end in time".into());
        }
    };
    let (called, calls) = core.lineage().calls(&call.head.request_id);
    TargetRunOutcome::Answered(Box::new(RunAnswer {
        status,
        headers: packed,
        body,
        called,
        calls,
        waited,
    }))
}

/// Notes that nothing listens at the target's address.
fn note_down(core: &ProxyCore, detail: &str) {
    if core.own_target().on_connection_refused() {
        log::warn!(cause = detail; "target is down");
        core.target_changed.notify_one();
    }
}

/// Notes that another run of a target answers; the probe asks for its name.
fn note_replaced(core: &ProxyCore) {
    log::warn!("another target answers at the address of the known one");
    core.own_target().on_replaced();
    core.gate.close();
    core.target_changed.notify_one();
}

/// After a lost answer: whether the target crashed, and with it what it ran.
async fn look_for_crash(core: &Arc<ProxyCore>, watched: &WatchedRun) {
    let (target, print) = (&watched.target, watched.print);
    let known = core.poison().on_broken(target, print);
    if let Some(outputs) = known {
        core.deliver_poison(outputs).await;
        return;
    }
    if core.target_client.is_listening().await {
        return;
    }
    note_down(core, "its connections broke and it takes no new one");
    let outputs = core.poison().on_crash_found(target, print);
    core.deliver_poison(outputs).await;
}
