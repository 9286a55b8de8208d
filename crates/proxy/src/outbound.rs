//! Accepts requests of the callers on this VM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, header};
use mesh::body_budget::BODY_RETRY_AFTER;
use mesh::link::{LinkReservation, SMALL_BODY};
use mesh::organisation::admit_key;
use mesh::wait_tracker::CallerRequest;
use mesh::{
    CallSafety, EntryOutcome, KeyFreshness, KeyIndex, OrganisationRule, RouteRule, RunLineage,
};
use model::{ByteCount, ErrorKind, KindError, ServiceName};
use rand::Rng;
use smallvec::{SmallVec, smallvec};
use tokio::time::{sleep, timeout};

use crate::body_buffer::BodyBuffer;
use crate::body_progress::next_frame;
use crate::core::ProxyCore;
use crate::message::{CallHead, pack_headers};
use crate::pipeline::{EarlyStart, RequestBody, StartedEarly};
use crate::quota_exchange::{admit_quota, refund_quota};
use crate::relay::{RelayCall, relay_call};
use crate::reply::{CallerReply, error_reply};

/// Result of accepting a request.
///
/// Errors are of kind `RequestInvalid`, `RouteUnknown`, `CustomerUnknown`, `ConfigAbsent`,
/// `ConfigStale`, `BodyTooLarge`, `IdleTimeout` or `Overloaded`.
type Result<T> = model::Result<T>;

/// Time for which a caller waits if its request names none.
const DEFAULT_REMAINING: Duration = Duration::from_secs(30);
/// Average fraction of the latency objective after which a request that was refused at the entry
/// may be retried; the objective counts from the first attempt.
const ENTRY_RETRY_FRACTION: f32 = 0.25;
/// Size assumed for a chunked body. Assuming twice the size of a typical upload refused too many.
const CHUNKED_BODY_SIZE: ByteCount = ByteCount(128 << 10);
/// Cause of a refusal during a planned stop, for the log.
const STOP_REFUSAL: &str = "the daemon may stop before the request ends";
/// Time for which the connection stays open after its request was refused unread, so that a
/// caller in another region can still read the answer.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Time for which a request waits for the first configuration, which a daemon reads as soon
/// as it starts; an eighth of the shortest latency objective that callers have.
const CONFIG_WAIT: Duration = Duration::from_millis(30);
/// Time after which a daemon without a configuration may have one.
const CONFIG_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Time after which a daemon that cannot prove that its configuration is the newest may have
/// asked others.
const PROOF_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Answers one request of a caller.
pub async fn answer_caller(
    core: Arc<ProxyCore>,
    _peer: SocketAddr,
    request: Request<RequestBody>,
) -> CallerReply {
    core.wait_for_config(CONFIG_WAIT).await;
    let mut reply = match accept_request(&core, request) {
        Ok(entry) => serve_until_stopped(&core, entry).await,
        Err(error) => reject(&core, &error),
    };
    if core.is_stopping() {
        let headers = reply.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

/// Returns the rule for pipelined requests: those on idempotent routes may run side by side. While
/// the daemon stops, each answer closes its connection, so none behind it is started.
pub fn early_start(core: Arc<ProxyCore>) -> EarlyStart {
    let most = core.settings.max_pipelined;
    EarlyStart::new(most, move |host, path| {
        let table = core.table().filter(|_| !core.is_stopping());
        let rule = table.as_ref().and_then(|table| table.find(host, path));
        rule.is_some_and(|rule| rule.safety == CallSafety::Idempotent)
    })
}

/// Answers a request that is invalid or arrived before any configuration.
fn reject(core: &ProxyCore, error: &KindError) -> CallerReply {
    core.metrics.count_error(error.kind);
    log::info!(kind:% = error.kind, cause = &*error.detail; "request refused");
    let retry_after = match error.kind {
        ErrorKind::ConfigAbsent => Some(core.time_to_join().max(CONFIG_RETRY_AFTER)),
        ErrorKind::Overloaded => Some(BODY_RETRY_AFTER),
        ErrorKind::ConfigStale => Some(PROOF_RETRY_AFTER),
        _ => None,
    };
    let mut reply = error_reply(&core.edge, error.kind, retry_after);
    if matches!(error.kind, ErrorKind::Overloaded | ErrorKind::IdleTimeout) {
        // The rest of its body is not read.
        close_after(&mut reply);
    }
    reply
}

fn close_after(reply: &mut CallerReply) {
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(header::CONNECTION, close);
}

/// Serves a request; one that is still in progress at the end of a planned stop gets an answer that
/// promises nothing.
async fn serve_until_stopped(core: &Arc<ProxyCore>, entry: EntryCall) -> CallerReply {
    let request_id = entry.head.request_id.clone();
    let mut disconnect_logger = DisconnectLogger {
        request_id: request_id.clone(),
        answered: false,
    };
    let mut reply = tokio::select! {
        reply = serve(core, entry) => reply,
        () = core.answers_due.cancelled() => {
            let kind = ErrorKind::OutcomeUnknown;
            log::info!(request = &*request_id, kind:% = kind; "request ended by a planned stop");
            core.metrics.count_error(kind);
            error_reply(&core.edge, kind, None)
        }
    };
    disconnect_logger.answered = true;
    if let Ok(id) = HeaderValue::from_str(&request_id) {
        let name = core.edge.headers.request_id.clone();
        reply.headers_mut().insert(name, id);
    }
    reply
}

async fn serve(core: &Arc<ProxyCore>, entry: EntryCall) -> CallerReply {
    if entry.head.inner {
        return serve_nested(core, entry).await;
    }
    let (caller, spent, since) = (entry.caller, entry.head.spent, entry.since);
    let (reply, refused) = serve_entering(core, entry).await;
    if refused {
        let waited = core.clock.now().saturating_duration_since(since);
        core.caller_waits().record_refusal(&caller, spent + waited);
    }
    reply
}

/// Logs a caller that disconnects: its connection drops the future that holds this.
struct DisconnectLogger {
    request_id: Box<str>,
    answered: bool,
}

impl Drop for DisconnectLogger {
    fn drop(&mut self) {
        if !self.answered {
            log::info!(request = &*self.request_id; "caller left");
        }
    }
}

/// Serves a request that was made by a request running at the target beside the daemon.
async fn serve_nested(core: &Arc<ProxyCore>, entry: EntryCall) -> CallerReply {
    let request_id = entry.head.request_id.clone();
    if let Err(retry_after) = core.admit_before_stop(entry.deadline) {
        let reply = refuse_entry(core, entry, STOP_REFUSAL, retry_after).await;
        let outcome = EntryOutcome::from_refusal(false);
        core.lineage()
            .record_outcome(&request_id, outcome.as_nested_call());
        return reply;
    }
    core.record_caller_request();
    let call = match read_call(core, entry, None).await {
        Ok(call) => call,
        Err(error) => {
            if error.kind == ErrorKind::Overloaded {
                let outcome = EntryOutcome::from_refusal(false);
                core.lineage()
                    .record_outcome(&request_id, outcome.as_nested_call());
            }
            return reject(core, &error);
        }
    };
    let ended = relay_call(core, call).await;
    core.lineage()
        .record_outcome(&request_id, ended.outcome.as_nested_call());
    ended.reply
}

/// Serves a request that enters the mesh here, unless a planned stop, the entry throttle or a
/// full link refuses it. Also returns whether it was refused and may be retried.
async fn serve_entering(core: &Arc<ProxyCore>, entry: EntryCall) -> (CallerReply, bool) {
    if let Err(retry_after) = core.admit_before_stop(entry.deadline) {
        let reply = refuse_entry(core, entry, STOP_REFUSAL, retry_after).await;
        return (reply, true);
    }
    core.record_caller_request();
    if let Some(organisation) = &entry.organisation
        && let Err(retry_after) = admit_quota(core, organisation)
    {
        let reply = refuse_over_quota(core, entry, retry_after).await;
        return (reply, true);
    }
    let organisation = entry.organisation.clone();
    let admitted_at = core.clock.since_boot();
    let (reply, refused) = serve_within_quota(core, entry).await;
    if refused && let Some(organisation) = &organisation {
        refund_quota(core, organisation, admitted_at);
    }
    (reply, refused)
}

/// Serves a request that the quota of its organisation admits. Also returns whether it was refused
/// without having run.
async fn serve_within_quota(core: &Arc<ProxyCore>, entry: EntryCall) -> (CallerReply, bool) {
    let rule = Arc::clone(&entry.rule);
    let draw = rand::rng().random::<f32>();
    if !core.throttle().admit(&rule, draw) {
        let retry_after = rule.objective.mul_f32(ENTRY_RETRY_FRACTION * (0.5 + draw));
        let cause =
            "nested calls of this route or more urgent routes are refused for lack of capacity";
        let reply = refuse_entry(core, entry, cause, retry_after).await;
        return (reply, true);
    }
    let remaining = entry.deadline.saturating_duration_since(entry.since);
    let reservation = match core.link.admit(entry.body_size(), remaining) {
        Ok(reservation) => reservation,
        Err(retry_after) => {
            let cause = "the link has no room for the body";
            let reply = refuse_entry(core, entry, cause, retry_after).await;
            return (reply, true);
        }
    };
    let call = match read_call(core, entry, Some(reservation)).await {
        Ok(call) => call,
        Err(error) => return (reject(core, &error), error.kind == ErrorKind::Overloaded),
    };
    let service = call.head.service.clone();
    let ended = relay_call(core, call).await;
    core.throttle()
        .finish(&rule, &service, ended.outcome, &ended.called);
    (ended.reply, ended.outcome.is_refusal())
}

/// Refuses a request. A large body is left unread, and its connection is closed.
async fn refuse_entry(
    core: &ProxyCore,
    entry: EntryCall,
    cause: &str,
    retry_after: Duration,
) -> CallerReply {
    log::info!(
        request = &*entry.head.request_id, route = &*entry.rule.name, cause,
        retry_after_ms = retry_after.as_millis() as u64;
        "request refused at the entry"
    );
    finish_refusal(core, entry, ErrorKind::Overloaded, retry_after).await
}

/// Refuses a request of an organisation over its quota. The log tells only when the organisation
/// starts and stops being limited.
async fn refuse_over_quota(
    core: &ProxyCore,
    entry: EntryCall,
    retry_after: Duration,
) -> CallerReply {
    log::debug!(request = &*entry.head.request_id; "request over the quota of its organisation");
    finish_refusal(core, entry, ErrorKind::RateExceeded, retry_after).await
}

/// Counts a refusal, builds its reply, and handles the unread body.
async fn finish_refusal(
    core: &ProxyCore,
    entry: EntryCall,
    kind: ErrorKind,
    retry_after: Duration,
) -> CallerReply {
    core.metrics.count_error(kind);
    let mut reply = error_reply(&core.edge, kind, Some(retry_after));
    if entry.body_size() <= SMALL_BODY {
        // The caller keeps using the connection, so the body is read; errors need no answer.
        drop(read_call(core, entry, None).await);
        return reply;
    }
    close_after(&mut reply);
    leave_unread(core, entry.body);
    reply
}

/// Keeps the connection of a body that is not read to its end. Closing it with unread bytes would
/// reset it, and the caller would lose the answer.
fn leave_unread(core: &ProxyCore, body: RequestBody) {
    core.tasks.spawn(async move {
        let _unread = body;
        sleep(LINGER_TIME).await;
    });
}

/// A request whose body has not been read yet.
#[derive(Debug)]
struct EntryCall {
    head: CallHead,
    body: RequestBody,
    rule: Arc<RouteRule>,
    organisation: Option<Arc<OrganisationRule>>,
    caller: CallerRequest,
    max_body_bytes: usize,
    since: Instant,
    deadline: Instant,
}

impl EntryCall {
    /// Returns the size of the body, or an estimate for a chunked one.
    fn body_size(&self) -> ByteCount {
        let hint = http_body::Body::size_hint(&self.body);
        hint.exact().map_or(CHUNKED_BODY_SIZE, ByteCount)
    }
}

/// Finds the route of a request and builds its head.
fn accept_request(core: &Arc<ProxyCore>, request: Request<RequestBody>) -> Result<EntryCall> {
    let since = core.clock.now();
    // Before the table is taken, since a newer one may come into force in between.
    let config_age = core.config_source.confirmed_age(core.clock.since_boot());
    let table = core
        .table()
        .ok_or_else(|| KindError::new(ErrorKind::ConfigAbsent, "no configuration received yet"))?;
    let (parts, body) = request.into_parts();
    let names = &core.edge.headers;
    let request_id = header_text(parts.headers.get(&names.request_id))
        .ok_or_else(|| invalid("the request id header is missing"))?;
    let host = header_text(parts.headers.get(header::HOST)).unwrap_or_default();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let rule = table
        .find(host, path)
        .cloned()
        .ok_or_else(|| KindError::new(ErrorKind::RouteUnknown, format!("{host}{path}")))?;
    let started_early = parts.extensions.get::<StartedEarly>().is_some();
    if started_early && rule.safety != CallSafety::Idempotent {
        // A newer configuration came into force after the rule for early starts was asked.
        let detail = "the route of a request that was started early is no longer idempotent";
        return Err(KindError::new(ErrorKind::Overloaded, detail));
    }
    let remaining = header_text(parts.headers.get(&names.remaining_ms))
        .and_then(|text| text.trim().parse().ok())
        .map_or(DEFAULT_REMAINING, Duration::from_millis);
    let deadline = since + remaining.min(rule.timeout);
    let caller = CallerRequest {
        route: rule.key,
        fingerprint: xxhash_rust::xxh3::xxh3_64_with_seed(path.as_bytes(), rule.key.0),
        deadline: since + remaining,
    };
    let service = next_service(core, &rule)?;
    let parent = core.lineage().record_call(request_id, &service);
    // The remaining time of a nested call is that of its parent, so it tells nothing about
    // earlier attempts.
    let spent = match parent {
        Some(_) => Duration::ZERO,
        None => core.caller_waits().waited(&caller),
    };
    let organisation = match table.keys() {
        Some(keys) if parent.is_none() => {
            find_organisation(core, keys, &rule, &parts.headers, request_id, config_age)?
        }
        Some(_) | None => None,
    };
    let mut dropped: SmallVec<[&HeaderName; 6]> = smallvec![
        &names.request_id,
        &names.remaining_ms,
        &names.caller_service,
        &names.expected_target,
    ];
    if table.keys().is_some() {
        dropped.extend([&names.organisation, &names.key]);
    }
    let own_priority = match &organisation {
        Some(organisation) => rule.priority.within(organisation.priority),
        None => rule.priority,
    };
    let head = CallHead {
        body_size: ByteCount(0),
        request_id: request_id.into(),
        method: parts.method.as_str().into(),
        path: path.into(),
        headers: pack_headers(&parts.headers, &dropped),
        service,
        caller_service: core.settings.service.clone(),
        organisation: organisation
            .as_ref()
            .map(|organisation| organisation.name.clone()),
        route: rule.key,
        priority: parent.map_or(own_priority, |parent| parent.priority),
        safety: rule.safety,
        inner: parent.is_some(),
        repeat: parent.is_some_and(|parent| parent.repeat),
        remaining,
        objective: rule.objective,
        spent,
        may_be_late: rule.allows_late(),
        rejections_left: 0,
    };
    Ok(EntryCall {
        head,
        body,
        rule,
        organisation,
        caller,
        max_body_bytes: table.limits().max_body_bytes,
        since,
        deadline,
    })
}

/// Returns the organisation whose key a request bears; `None` on a public route without a known key.
fn find_organisation(
    core: &ProxyCore,
    keys: &KeyIndex,
    rule: &RouteRule,
    headers: &HeaderMap,
    request_id: &str,
    config_age: Option<Duration>,
) -> Result<Option<Arc<OrganisationRule>>> {
    let key = (core.edge.read_key)(headers);
    let freshness = KeyFreshness::new(core.settings.key_revocation);
    let may_be_nested = RunLineage::has_parent(request_id);
    let admitted = admit_key(keys, key.as_ref(), freshness, config_age, may_be_nested);
    match admitted {
        Ok(organisation) => Ok(Some(organisation)),
        Err(_) if rule.public => Ok(None),
        Err(error) => Err(error),
    }
}

/// Reads the body of a request; `reservation` of the link is released as it arrives.
async fn read_call(
    core: &ProxyCore,
    entry: EntryCall,
    reservation: Option<LinkReservation>,
) -> Result<RelayCall> {
    let EntryCall {
        mut head,
        body,
        rule,
        max_body_bytes,
        since,
        deadline,
        ..
    } = entry;
    let time_left = deadline.saturating_duration_since(core.clock.now());
    let body = read_body(core, max_body_bytes, body, reservation, time_left).await?;
    head.body_size = ByteCount(body.len() as u64);
    Ok(RelayCall {
        head,
        body,
        rule,
        since,
        deadline,
    })
}

fn next_service(core: &ProxyCore, rule: &RouteRule) -> Result<ServiceName> {
    let mut rotations = core.rotations();
    let rotation = rotations.entry(rule.key).or_default();
    let service = rotation.next(&rule.destinations).cloned();
    service.ok_or_else(|| KindError::new(ErrorKind::RouteUnknown, "the route has no destination"))
}

async fn read_body(
    core: &ProxyCore,
    max_bytes: usize,
    mut body: RequestBody,
    mut reservation: Option<LinkReservation>,
    time_left: Duration,
) -> Result<Bytes> {
    if http_body::Body::is_end_stream(&body) {
        return Ok(Bytes::new());
    }
    let too_large = || {
        let detail = format!("the body is larger than {max_bytes} bytes");
        KindError::new(ErrorKind::BodyTooLarge, detail)
    };
    let announced = http_body::Body::size_hint(&body).lower();
    if announced > max_bytes as u64 {
        return Err(too_large());
    }
    let reading = async {
        let mut buffer = BodyBuffer::new(&core.bodies, ByteCount(announced))?;
        let idle_timeout = core.idle_timeout();
        while let Some(frame) = next_frame(&mut body, &mut buffer, idle_timeout).await? {
            let Ok(piece) = frame.into_data() else {
                continue;
            };
            if buffer.len() + piece.len() > max_bytes {
                return Err(too_large());
            }
            if let Some(reservation) = &mut reservation {
                reservation.release(piece.len());
            }
            buffer.push(&piece)?;
        }
        Ok(buffer.finish())
    };
    let read = timeout(time_left, reading)
        .await
        .unwrap_or_else(|_elapsed| {
            let detail = "the body did not arrive in time";
            Err(KindError::new(ErrorKind::IdleTimeout, detail))
        });
    if let Err(error) = &read
        && matches!(error.kind, ErrorKind::Overloaded | ErrorKind::IdleTimeout)
    {
        leave_unread(core, body);
    }
    read
}

fn header_text(value: Option<&HeaderValue>) -> Option<&str> {
    value.and_then(|value| value.to_str().ok())
}

fn invalid(detail: &str) -> KindError {
    KindError::new(ErrorKind::RequestInvalid, detail)
}
