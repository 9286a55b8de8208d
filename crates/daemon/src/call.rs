//! Handling of a caller's request from its headers to its response.
//!
//! A call uses the route table that was in force when it arrived until it ends. Checks that
//! need no other daemon come first, so that refusals are fast.

use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use limits::{LimitRefusal, LimitTicket, LoadSignal, PlanLimit, ShedTicket};
use model::{CallClass, ErrorKind, KindError};
use once::{CallKey, PrintHasher, RequestFingerprint, RunProof, SuspectReport};
use plans::lists::ServiceKind;
use plans::{CallGrant, RouteTable};
use route::CallDeadline;
use spread::FreshnessState;

use crate::answer::{ConfigHeaders, refusal_response, respond};
use crate::body::{BodyBounds, BodyErrorCell, CallBody};
use crate::core::{DaemonCore, OpenCall};
use crate::dispatch::{PreparedCall, dispatch};
use crate::key_service::{is_key_call, serve_key_call};
use crate::keyed_calls::run_keyed;
use crate::local_targets::{Result, TargetAnswer};
use crate::peer_messages::{CallHead, CallRefusal, pack_headers};
use crate::request::{CallRequest, carries_key};

/// Bytes of a body that are buffered before the call is sent; a call whose body fits can be
/// retried.
const READ_AHEAD_BYTES: usize = 64 << 10;

/// Serves one request of a caller.
pub async fn serve_call(core: Arc<DaemonCore>, request: Request<Incoming>) -> Response<CallBody> {
    core.counters.count("calls");
    // If the caller disconnects, this future is dropped at any await point.
    let open = OpenCall::new(&core);
    let response = answer_or_refuse(core, request).await;
    response.map(|body| body.on_end(move |_| drop(open)))
}

async fn answer_or_refuse(core: Arc<DaemonCore>, request: Request<Incoming>) -> Response<CallBody> {
    let has_key = carries_key(request.headers());
    let (config, result) = answer_call(&core, request).await;
    // The key may have been sent before, which only its home knows.
    match result.map_err(|refusal| weaken_proof(refusal, has_key)) {
        Ok(answer) => respond(&answer.head, answer.body, config),
        Err(refusal) => {
            core.counters.count("refused");
            core.counters.count_error(refusal.error.kind);
            refusal_response(&refusal, config)
        }
    }
}

async fn answer_call(
    core: &Arc<DaemonCore>,
    request: Request<Incoming>,
) -> (ConfigHeaders, Result<TargetAnswer>) {
    let Some(table) = core.table.load_full() else {
        let error = KindError::new(
            ErrorKind::ConfigAbsent,
            "this daemon has no configuration yet",
        );
        return (ConfigHeaders::NONE, Err(error.into()));
    };
    let freshness = core.freshness.load().state_at(core.clock.now());
    let config = ConfigHeaders {
        version: table.version(),
        stale: freshness == FreshnessState::CutOff,
    };
    (config, run_call(core, &table, freshness, request).await)
}

async fn run_call(
    core: &Arc<DaemonCore>,
    table: &RouteTable,
    freshness: FreshnessState,
    request: Request<Incoming>,
) -> Result<TargetAnswer> {
    model::ensure(
        !core.is_draining(),
        ErrorKind::Draining,
        "this daemon is draining",
    )?;
    let (parts, incoming) = request.into_parts();
    let call = CallRequest::read(&parts)?;
    if is_key_call(&call) {
        return serve_key_call(core, table, &call).await;
    }
    let grant = table.admit(&call.customer, &call.secret, &call.method, &call.path)?;
    let key = read_key(core, &call, &grant, freshness)?;
    run_granted(core, &call, &grant, &parts.headers, incoming, key).await
}

async fn run_granted(
    core: &Arc<DaemonCore>,
    call: &CallRequest,
    grant: &CallGrant<'_>,
    headers: &http::HeaderMap,
    incoming: Incoming,
    key: Option<CallKey>,
) -> Result<TargetAnswer> {
    let deadline = CallDeadline::new(core.clock.now(), call.remaining, grant.service.timeout);
    let limits = HeldLimits::take(core, grant)?;

    let bounds = BodyBounds {
        max_bytes: core.settings.numbers.max_body_bytes.into(),
        idle_timeout: core.settings.idle_timeout(),
    };
    check_length(headers, bounds)?;
    let mut body = CallBody::from_caller(incoming, bounds);
    body.read_ahead(READ_AHEAD_BYTES).await?;
    let body_error = body.error_cell();
    let head = build_head(call, grant, headers, body.bytes());
    core.keys.poison().check(RequestFingerprint(head.print))?;
    let result = if let Some(key) = key {
        run_keyed(core, head, key, deadline, body).await
    } else {
        let ticket = None;
        let call = PreparedCall {
            head,
            deadline,
            ticket,
        };
        dispatch(core, call, body).await
    };
    limits.hold_until_end(result.map_err(|refusal| attribute_to_body(refusal, &body_error)))
}

/// Refuses a body by its declared length before anything is sent.
fn check_length(headers: &http::HeaderMap, bounds: BodyBounds) -> Result<()> {
    let detail = format!("the body has more than {} bytes", bounds.max_bytes);
    let fits = content_length(headers).is_none_or(|length| length <= bounds.max_bytes);
    Ok(model::ensure(fits, ErrorKind::BodyTooLarge, &detail)?)
}

fn content_length(headers: &http::HeaderMap) -> Option<u64> {
    let value = headers.get(http::header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

/// Replaces the error by that of the caller's body if the body failed; the proof stays.
fn attribute_to_body(mut refusal: CallRefusal, body_error: &BodyErrorCell) -> CallRefusal {
    if let Some(error) = body_error.get() {
        refusal.error = error.clone();
    }
    refusal
}

/// Returns the key of a non-idempotent call, or `None` for an idempotent one.
fn read_key(
    core: &DaemonCore,
    call: &CallRequest,
    grant: &CallGrant<'_>,
    freshness: FreshnessState,
) -> Result<Option<CallKey>> {
    if grant.method.idempotent {
        return Ok(None);
    }
    model::ensure(
        freshness != FreshnessState::CutOff,
        ErrorKind::ConfigStale,
        "this daemon is cut off and cannot prove that its configuration is current",
    )?;
    let missing = || {
        let detail = "this method needs an Idempotency-Key header";
        KindError::new(ErrorKind::KeyMissing, detail)
    };
    let text = call.key.as_deref().ok_or_else(missing)?;
    let key = text.parse()?;
    core.settings.untimed_keys.check(&key)?;
    Ok(Some(key))
}

/// Weakens the proof of a refusal that was given before the key's home was asked.
fn weaken_proof(mut refusal: CallRefusal, has_key: bool) -> CallRefusal {
    if has_key && refusal.proof == RunProof::NotRun && !refusal.by_home {
        refusal.proof = RunProof::before_home(refusal.error.kind);
    }
    refusal
}

fn build_head(
    call: &CallRequest,
    grant: &CallGrant<'_>,
    headers: &http::HeaderMap,
    body: &[u8],
) -> CallHead {
    CallHead {
        service: grant.service.name.clone(),
        target: None,
        customer: grant.customer.name.clone(),
        class: class_of(grant),
        method: grant.method.name.clone(),
        path: call.path.clone(),
        headers: pack_headers(headers),
        remaining: Duration::ZERO,
        depth: call.depth,
        mark: call.mark,
        idempotent: grant.method.idempotent,
        streamed: false,
        print: fingerprint(call, grant, headers, body),
        news: SuspectReport::default(),
        key: None,
        pass: None,
    }
}

/// Returns the class of a call; safe methods of a booking or upload service count as reads.
fn class_of(grant: &CallGrant<'_>) -> CallClass {
    let safe = matches!(grant.method.name.as_str(), "GET" | "HEAD" | "OPTIONS");
    match grant.service.kind {
        ServiceKind::Report => CallClass::Report,
        _ if safe => CallClass::Read,
        ServiceKind::Upload => CallClass::Upload,
        ServiceKind::Booking => CallClass::Booking,
    }
}

fn fingerprint(
    call: &CallRequest,
    grant: &CallGrant<'_>,
    headers: &http::HeaderMap,
    body: &[u8],
) -> u128 {
    let customer = &grant.customer.name;
    let length = content_length(headers);
    let mut hasher = PrintHasher::new(customer, &call.method, &call.path, length);
    hasher.update(body);
    hasher.finish().0
}

/// A call's share of its customer's limits, kept until its answer has been sent.
struct HeldLimits {
    core: Arc<DaemonCore>,
    limit: Option<LimitTicket>,
    shed: ShedTicket,
    signal: LoadSignal,
}

impl HeldLimits {
    fn take(core: &Arc<DaemonCore>, grant: &CallGrant<'_>) -> Result<Self> {
        let (service, customer) = (&grant.service.name, &grant.customer.name);
        let shed = core
            .shedder()
            .admit(service, class_of(grant), customer)
            .map_err(limit_refusal)?;
        let mut limits = Self {
            core: Arc::clone(core),
            limit: None,
            shed,
            signal: LoadSignal::Unknown,
        };
        let limit = PlanLimit {
            rate: grant.allowance.rate,
            concurrency: grant.allowance.calls_at_once,
        };
        let admitted = core.limits().admit(customer, service, limit);
        limits.limit = Some(admitted.map_err(limit_refusal)?);
        Ok(limits)
    }

    /// Holds the limits until the answer ends.
    fn hold_until_end(mut self, result: Result<TargetAnswer>) -> Result<TargetAnswer> {
        match result {
            Ok(TargetAnswer { head, body }) => {
                self.signal = LoadSignal::Ran(head.waited);
                let body = body.on_end(move |_| drop(self));
                Ok(TargetAnswer { head, body })
            }
            Err(refusal) => {
                if refusal.error.kind == ErrorKind::QueueFull {
                    self.signal = LoadSignal::Refused;
                }
                Err(refusal)
            }
        }
    }
}

impl Drop for HeldLimits {
    fn drop(&mut self) {
        if let Some(limit) = self.limit.take() {
            self.core.limits().release(limit);
        }
        self.core.shedder().finish(&self.shed, self.signal);
    }
}

/// Converts a refusal by a customer's limits or by load shedding for the caller.
pub fn limit_refusal(refusal: LimitRefusal) -> CallRefusal {
    CallRefusal {
        retry_after: Some(refusal.retry_after),
        ..KindError::new(
            refusal.kind,
            "refused by the limits of the customer's plan or by load shedding",
        )
        .into()
    }
}
