//! Runs one request at the target beside the daemon.
//!
//! A failure before the request is sent to the target is a proven refusal.
//! After that only the target itself can tell that the request has not run.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, header};
use mesh::lineage::{CalledServices, RunOrigin};
use mesh::{CallSafety, NestedCallOutcome, ResponseLimit, TargetReport};
use model::{ErrorKind, TargetName};
use once::RequestFingerprint;
use tokio::time::timeout;

use crate::answer_body::{AnswerBody, BodyStream, ReadBody, read_body};
use crate::control::{apply_notice, apply_pace};
use crate::core::ProxyCore;
use crate::desk::{DeskPlace, DeskRequest};
use crate::message::{CallHead, HeaderList, pack_headers, unpack_headers};
use crate::relay::is_sampled;
use crate::rollout_watch::{CountedEnd, CountedRun};
use crate::suspects::learn_suspects;
use crate::target_client::{SendFailure, TargetExchange};

/// Time reserved for sending the answer back to the caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(3);
/// Minimum remaining time for which a run is started.
const MIN_RUN_TIME: Duration = Duration::from_millis(2);
/// Time after which a request that was refused for lack of a target may be retried.
const DOWN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Outcome of a run.
#[derive(Debug)]
pub enum TargetRunOutcome {
    /// The target answered.
    Answered(Box<RunAnswer>),
    /// The request was refused and has provably not run.
    Refused(RunRefusal),
    /// The request may have run; the text says what failed.
    Broken(Box<str>),
}

/// Answer of a target.
#[derive(Debug)]
pub struct RunAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers to forward, without hop-by-hop headers.
    pub headers: HeaderList,
    /// Body of the answer.
    pub body: AnswerBody,
    /// Services that the target called during the run.
    pub called: CalledServices,
    /// Worst outcome of these calls.
    pub calls: NestedCallOutcome,
    /// Time for which the request was queued for a slot.
    pub waited: Duration,
}

/// Refusal of a request that has provably not run.
#[derive(Clone, Copy, Debug)]
pub struct RunRefusal {
    /// Reason for the refusal.
    pub kind: ErrorKind,
    /// Whether the request reached the target and the target refused it.
    pub reached_target: bool,
    /// Time after which a slot may be free.
    pub retry_after: Option<Duration>,
}

/// A request for the target beside the daemon, with its complete body.
#[derive(Debug)]
pub struct TargetCall {
    /// Head of the request.
    pub head: CallHead,
    /// Body of the request.
    pub body: Bytes,
    /// Time at which it arrived at this daemon.
    pub since: Instant,
}

impl TargetCall {
    fn deadline(&self) -> Instant {
        self.since + self.head.remaining
    }

    /// Returns the time by which the request should be answered; in the past for a caller that
    /// retries late.
    fn objective(&self) -> Instant {
        let latest = self.since + self.head.objective;
        latest.checked_sub(self.head.spent).unwrap_or(self.since)
    }
}

/// Waits for a slot at the target and runs the request.
pub async fn run_call(core: &Arc<ProxyCore>, call: TargetCall) -> TargetRunOutcome {
    match admit_call(core, &call).await {
        Ok(admitted) => run_admitted(core, &call, admitted).await,
        Err(refusal) => TargetRunOutcome::Refused(refusal),
    }
}

/// Logs the outcome of a run; successful runs are sampled.
fn log_run(core: &ProxyCore, call: &TargetCall, end: &TargetRunOutcome) {
    let (label, kind, cause, waited) = match end {
        TargetRunOutcome::Answered(answer) => {
            let failed = answer.status.is_server_error();
            if !failed && !is_sampled(&call.head.request_id) {
                return;
            }
            let label = if failed { "failed" } else { "answered" };
            let cause = match answer.calls {
                NestedCallOutcome::Ran => "",
                NestedCallOutcome::Shed => "a target refused a nested call",
                NestedCallOutcome::NoRoom => "a nested call was refused for lack of capacity",
            };
            (label, "", cause, answer.waited)
        }
        TargetRunOutcome::Refused(refusal) => {
            let kind = refusal.kind.properties().name;
            let cause = if refusal.reached_target {
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
        end = label, kind, cause, waited_ms = waited.as_millis() as u64,
        took_ms = now.saturating_duration_since(call.since).as_millis() as u64,
        left_ms = call.deadline().saturating_duration_since(now).as_millis() as u64,
        running = load.in_flight.0, queued = load.queued.0;
        "run ended"
    );
}

/// A slot at the target, reserved for a request that has not run yet.
#[derive(Debug)]
pub struct AdmittedCall {
    slot: DeskPlace,
    target: TargetName,
    fingerprint: RequestFingerprint,
}

/// Waits for a slot at the target.
pub async fn admit_call(
    core: &Arc<ProxyCore>,
    call: &TargetCall,
) -> std::result::Result<AdmittedCall, RunRefusal> {
    let admitted = wait_for_slot(core, call).await;
    if let Err(refusal) = &admitted
        && refusal.kind != ErrorKind::TargetBusy
    {
        log_run(core, call, &TargetRunOutcome::Refused(*refusal));
    }
    admitted
}

async fn wait_for_slot(
    core: &ProxyCore,
    call: &TargetCall,
) -> std::result::Result<AdmittedCall, RunRefusal> {
    let report = available_target(core, &call.head)?;
    let fingerprint = call.head.fingerprint(&call.body);
    core.poison()
        .check(fingerprint)
        .map_err(|error| refuse(error.kind, None))?;
    let request = DeskRequest {
        route: call.head.route,
        priority: call.head.priority,
        nested: call.head.inner,
        objective: call.objective(),
        deadline: call.deadline(),
        may_be_late: call.head.may_be_late,
        may_reject: call.head.rejections_left > 0,
    };
    let slot = core.gate.enter(request).await;
    let slot = slot.map_err(|refusal| refuse(refusal.kind, Some(refusal.retry_after)))?;
    Ok(AdmittedCall {
        slot,
        target: report.target,
        fingerprint,
    })
}

/// Runs a request that holds a slot.
pub async fn run_admitted(
    core: &Arc<ProxyCore>,
    call: &TargetCall,
    admitted: AdmittedCall,
) -> TargetRunOutcome {
    let end = match register_run(core, call, &admitted) {
        Ok(run) => run_registered(core, call, admitted.slot, run).await,
        Err(refusal) => TargetRunOutcome::Refused(refusal),
    };
    log_run(core, call, &end);
    end
}

/// Registers the start of a run, unless its target is gone.
fn register_run(
    core: &Arc<ProxyCore>,
    call: &TargetCall,
    admitted: &AdmittedCall,
) -> std::result::Result<RegisteredRun, RunRefusal> {
    let AdmittedCall {
        target,
        fingerprint,
        ..
    } = admitted;
    // The target may have left or been replaced while the request waited.
    let report = available_target(core, &call.head)?;
    if report.target != *target {
        return Err(refuse(ErrorKind::TargetAbsent, None));
    }
    core.poison()
        .start(target, *fingerprint)
        .map_err(|error| refuse(error.kind, None))?;
    let origin = RunOrigin {
        priority: call.head.priority,
        repeat: call.head.repeat,
    };
    core.lineage().begin(&call.head.request_id, origin);
    Ok(RegisteredRun {
        core: Arc::clone(core),
        target: target.clone(),
        request: call.head.request_id.clone(),
        fingerprint: *fingerprint,
        succeeded: false,
    })
}

/// Registration of a run with the lineage and the detection of crashing requests; ends when
/// dropped.
#[derive(Debug)]
struct RegisteredRun {
    core: Arc<ProxyCore>,
    target: TargetName,
    request: Box<str>,
    fingerprint: RequestFingerprint,
    succeeded: bool,
}

impl Drop for RegisteredRun {
    fn drop(&mut self) {
        self.core.lineage().end(&self.request);
        let mut detector = self.core.poison();
        let output = detector.finish(&self.target, self.fingerprint, self.succeeded);
        drop(detector);
        self.core.send_poison(output.into_iter().collect());
    }
}

fn available_target(
    core: &ProxyCore,
    head: &CallHead,
) -> std::result::Result<TargetReport, RunRefusal> {
    let target = core.local_target();
    match target.available() {
        Some(report) if report.service == head.service => Ok(report.clone()),
        _ if target.is_leaving() => Err(refuse(ErrorKind::Draining, None)),
        _ => Err(refuse(ErrorKind::TargetAbsent, Some(DOWN_RETRY_AFTER))),
    }
}

fn refuse(kind: ErrorKind, retry_after: Option<Duration>) -> RunRefusal {
    RunRefusal {
        kind,
        reached_target: false,
        retry_after,
    }
}

async fn run_registered(
    core: &Arc<ProxyCore>,
    call: &TargetCall,
    slot: DeskPlace,
    mut run: RegisteredRun,
) -> TargetRunOutcome {
    let remaining = call
        .deadline()
        .saturating_duration_since(core.clock.now())
        .saturating_sub(ANSWER_MARGIN);
    if remaining < MIN_RUN_TIME {
        return TargetRunOutcome::Refused(refuse(ErrorKind::DeadlineExceeded, None));
    }
    let request = match build_request(core, call, &run.target, remaining) {
        Ok(request) => request,
        Err(error) => return TargetRunOutcome::Refused(refuse(error.kind, None)),
    };
    let at_most_once = call.head.safety == CallSafety::AtMostOnce;
    core.metrics.count_sent(call.head.service.as_str());
    let counted = CountedRun::begin(core, call.head.route);
    let sending = core.target_client.send(request, at_most_once);
    let Ok(sent) = timeout(remaining + ANSWER_MARGIN, sending).await else {
        slot.finish(true);
        return TargetRunOutcome::Broken("the target did not answer in time".into());
    };
    let exchange = match sent {
        Ok(exchange) => exchange,
        Err(SendFailure::Unsent(detail)) => {
            counted.end(CountedEnd::Uncounted);
            drop(slot);
            mark_down(core, &detail);
            return TargetRunOutcome::Refused(refuse(
                ErrorKind::TargetAbsent,
                Some(DOWN_RETRY_AFTER),
            ));
        }
        Err(SendFailure::Unknown(detail)) => {
            slot.finish(true);
            check_for_crash(core, &run).await;
            return TargetRunOutcome::Broken(detail);
        }
    };
    core.local_target().on_answer();
    let (time, pace) = (counted.elapsed(), read_pace(core, &exchange));
    let end = read_answer(core, call, &run.target, exchange, slot).await;
    counted.end(match &end {
        TargetRunOutcome::Answered(answer) => {
            let failed = answer.status.is_server_error();
            if failed && answer.calls != NestedCallOutcome::Ran {
                CountedEnd::Uncounted
            } else {
                CountedEnd::Answered { failed, time, pace }
            }
        }
        TargetRunOutcome::Refused(_) => CountedEnd::Uncounted,
        TargetRunOutcome::Broken(_) => CountedEnd::Failed,
    });
    match &end {
        TargetRunOutcome::Answered(_) => run.succeeded = true,
        TargetRunOutcome::Broken(_) => check_for_crash(core, &run).await,
        TargetRunOutcome::Refused(_) => {}
    }
    end
}

/// Returns how long work takes at the target, as a multiple of the usual time, if its answer says so.
fn read_pace(core: &ProxyCore, exchange: &TargetExchange) -> Option<f64> {
    let load = exchange
        .response
        .headers()
        .get(&core.edge.headers.target_load)?;
    let load = (core.edge.parse_load)(load.to_str().ok()?)?;
    Some(f64::from(load.pace.factor()))
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
    if let Some(organisation) = &head.organisation {
        headers.insert(&names.organisation, text(organisation.as_str())?);
    }
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

/// Returns whether `status` is one of HTTP. The HTTP client also accepts 600 to 999.
pub fn is_answer_status(status: u16) -> bool {
    (100..=599).contains(&status)
}

/// Checks the head of the answer and reads its body.
async fn read_answer(
    core: &Arc<ProxyCore>,
    call: &TargetCall,
    target: &TargetName,
    mut exchange: TargetExchange,
    slot: DeskPlace,
) -> TargetRunOutcome {
    let names = &core.edge.headers;
    let status = exchange.response.status();
    let headers = exchange.response.headers();
    // A target may send an answer, or a refusal, twice; the copy then arrives as the answer to
    // the next request on the connection.
    let answered_id = headers.get(&names.request_id);
    let mismatched = answered_id.is_some_and(|id| id.as_bytes() != call.head.request_id.as_bytes());
    if mismatched {
        core.target_client.record_duplicate_answer();
        slot.finish(true);
        return TargetRunOutcome::Broken("the answer belongs to another request".into());
    }
    let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    if misdirected {
        mark_replaced(core);
    }
    if answered_id.is_none() {
        // Also a refusal: it may be a late copy of one for an earlier request.
        slot.finish(true);
        return TargetRunOutcome::Broken("the answer carries no request id".into());
    }
    apply_notice(core, target, (core.edge.read_notice)(headers));
    apply_pace(core, headers);
    if misdirected || headers.contains_key(&names.not_run) {
        // The target reports that it has not run the request.
        slot.finish(true);
        let refusal = RunRefusal {
            kind: ErrorKind::QueueFull,
            reached_target: true,
            retry_after: Some(core.gate.retry_after()),
        };
        return TargetRunOutcome::Refused(refusal);
    }
    if !is_answer_status(status.as_u16()) {
        slot.finish(true);
        return TargetRunOutcome::Broken("the status of the answer is none".into());
    }
    if status.is_success() && !headers.contains_key(&names.signature) {
        slot.finish(true);
        return TargetRunOutcome::Broken("the answer carries no signature of a target".into());
    }
    let packed = pack_headers(headers, &[]);
    let waited = slot.waited;
    let ran = core
        .clock
        .now()
        .saturating_duration_since(call.since)
        .saturating_sub(waited);
    core.metrics
        .observe_run(call.head.service.as_str(), waited, ran);
    let time_left = call.deadline().saturating_duration_since(core.clock.now());
    let body = match timeout(time_left, read_body(&mut exchange.response)).await {
        Ok(Ok(ReadBody::Whole(bytes))) => {
            slot.finish(status.is_server_error());
            exchange.finish();
            AnswerBody::Whole(bytes)
        }
        Ok(Ok(ReadBody::Partial(first))) => {
            let limit = ResponseLimit::new(call.deadline());
            let clock = Arc::clone(&core.clock);
            AnswerBody::Stream(Box::new(BodyStream::new(
                first, exchange, slot, limit, clock,
            )))
        }
        Ok(Err(detail)) => {
            slot.finish(true);
            return TargetRunOutcome::Broken(detail);
        }
        Err(_) => {
            slot.finish(true);
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

/// Records that the target does not accept connections.
fn mark_down(core: &ProxyCore, detail: &str) {
    if core.local_target().on_connection_refused() {
        log::warn!(cause = detail; "target is down");
        core.target_changed.notify_one();
    }
}

/// Records that another target, or another run of it, answers; the probe then asks for its name.
fn mark_replaced(core: &ProxyCore) {
    log::warn!("another target answers at the address of the known one");
    core.local_target().on_replaced();
    core.gate.close();
    core.target_changed.notify_one();
}

/// Checks after a lost answer whether the target has crashed, and reports the requests that ran
/// at it.
async fn check_for_crash(core: &Arc<ProxyCore>, run: &RegisteredRun) {
    let (target, fingerprint) = (&run.target, run.fingerprint);
    // `Some` if a crash that is already known explains the lost answer.
    let known = core.poison().on_broken(target, fingerprint);
    if let Some(outputs) = known {
        core.deliver_poison(outputs).await;
        return;
    }
    if core.target_client.is_listening().await {
        return;
    }
    mark_down(core, "connections broke and the target accepts no new ones");
    let outputs = core.poison().on_crash_found(target, fingerprint);
    if !outputs.is_empty() {
        // The others may know the request already, and their messages did not arrive here.
        core.tasks.spawn(learn_suspects(Arc::clone(core)));
    }
    core.deliver_poison(outputs).await;
}
