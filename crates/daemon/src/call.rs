//! A caller's call, from its head to its answer.
//!
//! The table in force when the call arrives judges it to its end. Checks that
//! need no other daemon come first, so that refusals are quick.

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

/// Bytes of a body that are read before the call is sent, so that it can be repeated.
const READ_AHEAD_BYTES: usize = 64 << 10;

/// Serves one call.
pub async fn serve_call(core: Arc<DaemonCore>, request: Request<Incoming>) -> Response<CallBody> {
    core.counters.count("calls");
    // A caller that leaves drops this future wherever it stands.
    let open = OpenCall::new(&core);
    let response = answer_or_refuse(core, request).await;
    response.map(|body| body.on_end(move |_| drop(open)))
}

async fn answer_or_refuse(core: Arc<DaemonCore>, request: Request<Incoming>) -> Response<CallBody> {
    let keyed = carries_key(request.headers());
    let (mark, result) = answer_call(&core, request).await;
    // A key may have been sent before, which only its home can tell about.
    match result.map_err(|refusal| weaken(refusal, keyed)) {
        Ok(answer) => respond(&answer.head, answer.body, mark),
        Err(refusal) => {
            core.counters.count("refused");
            core.counters.count_error(refusal.error.kind);
            refusal_response(&refusal, mark)
        }
    }
}

async fn answer_call(
    core: &Arc<DaemonCore>,
    request: Request<Incoming>,
) -> (ConfigHeaders, Result<TargetAnswer>) {
    let Some(table) = core.table.load_full() else {
        let error = KindError::new(ErrorKind::ConfigAbsent, "no configuration yet");
        return (ConfigHeaders::NONE, Err(error.into()));
    };
    let case = core.freshness.load().state_at(core.clock.now());
    let mark = ConfigHeaders {
        version: table.version(),
        stale: case == FreshnessState::CutOff,
    };
    (mark, run_call(core, &table, case, request).await)
}

async fn run_call(
    core: &Arc<DaemonCore>,
    table: &RouteTable,
    case: FreshnessState,
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
    let key = read_key(core, &call, &grant, case)?;
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
    let tickets = CallTickets::take(core, grant)?;

    let bounds = BodyBounds {
        max_bytes: core.settings.numbers.max_body_bytes.into(),
        idle_timeout: core.settings.idle_timeout(),
    };
    check_length(headers, bounds)?;
    let mut body = CallBody::from_caller(incoming, bounds);
    body.read_ahead(READ_AHEAD_BYTES).await?;
    let fault = body.error_cell();
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
    tickets.follow(result.map_err(|refusal| blame_body(refusal, &fault)))
}

/// Refuses a body that is declared too large before anything is sent.
fn check_length(headers: &http::HeaderMap, bounds: BodyBounds) -> Result<()> {
    let detail = format!("more than {} bytes", bounds.max_bytes);
    let fits = content_length(headers).is_none_or(|length| length <= bounds.max_bytes);
    Ok(model::ensure(fits, ErrorKind::BodyTooLarge, &detail)?)
}

fn content_length(headers: &http::HeaderMap) -> Option<u64> {
    let value = headers.get(http::header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

/// Names the caller's body as the cause where it broke off; what that proves stays.
fn blame_body(mut refusal: CallRefusal, fault: &BodyErrorCell) -> CallRefusal {
    if let Some(error) = fault.get() {
        refusal.error = error.clone();
    }
    refusal
}

/// The key of a non-idempotent call; none for an idempotent one.
fn read_key(
    core: &DaemonCore,
    call: &CallRequest,
    grant: &CallGrant<'_>,
    case: FreshnessState,
) -> Result<Option<CallKey>> {
    if grant.method.idempotent {
        return Ok(None);
    }
    model::ensure(
        case != FreshnessState::CutOff,
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

/// What a refusal given before the key's home was asked proves about the call.
fn weaken(mut refusal: CallRefusal, keyed: bool) -> CallRefusal {
    if keyed && refusal.proof == RunProof::NotRun && !refusal.by_home {
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

/// The class of a call: reads of a booking or upload service count as reads.
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

/// What a call holds of its customer's limits until its answer is through.
struct CallTickets {
    core: Arc<DaemonCore>,
    limit: Option<LimitTicket>,
    shed: ShedTicket,
    sign: LoadSignal,
}

impl CallTickets {
    fn take(core: &Arc<DaemonCore>, grant: &CallGrant<'_>) -> Result<Self> {
        let (service, customer) = (&grant.service.name, &grant.customer.name);
        let shed = core
            .shedder()
            .admit(service, class_of(grant), customer)
            .map_err(limit_refusal)?;
        let mut tickets = Self {
            core: Arc::clone(core),
            limit: None,
            shed,
            sign: LoadSignal::Unknown,
        };
        let limit = PlanLimit {
            rate: grant.allowance.rate,
            concurrency: grant.allowance.calls_at_once,
        };
        let admitted = core.limits().admit(customer, service, limit);
        tickets.limit = Some(admitted.map_err(limit_refusal)?);
        Ok(tickets)
    }

    /// Holds the tickets until the end of the answer.
    fn follow(mut self, result: Result<TargetAnswer>) -> Result<TargetAnswer> {
        match result {
            Ok(TargetAnswer { head, body }) => {
                self.sign = LoadSignal::Ran(head.waited);
                let body = body.on_end(move |_| drop(self));
                Ok(TargetAnswer { head, body })
            }
            Err(refusal) => {
                if refusal.error.kind == ErrorKind::QueueFull {
                    self.sign = LoadSignal::Refused;
                }
                Err(refusal)
            }
        }
    }
}

impl Drop for CallTickets {
    fn drop(&mut self) {
        if let Some(limit) = self.limit.take() {
            self.core.limits().release(limit);
        }
        self.core.shedder().finish(&self.shed, self.sign);
    }
}

/// A refusal of the limits, as the caller gets it.
pub fn limit_refusal(refusal: LimitRefusal) -> CallRefusal {
    CallRefusal {
        retry_after: Some(refusal.retry_after),
        ..KindError::new(refusal.kind, "refused by the plan's limits").into()
    }
}
