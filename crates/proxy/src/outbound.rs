//! Requests of the callers on this VM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use mesh::{EntryEnd, MeshTable};
use model::{ByteCount, ErrorKind, KindError, ServiceName};
use rand::Rng;
use tokio::time::timeout;

use crate::core::ProxyCore;
use crate::message::{CallHead, pack_headers};
use crate::relay::{RelayCall, relay_call};
use crate::reply::{CallerReply, own_reply};

/// Results of taking a request in.
///
/// Kinds: `RequestInvalid`, `RouteUnknown`, `ConfigAbsent`, `BodyTooLarge`,
/// `IdleTimeout`.
type Result<T> = model::Result<T>;

/// Time for which a caller waits that names none.
const DEFAULT_REMAINING: Duration = Duration::from_secs(30);
/// Mean time after which a request that was refused at the entry is to come back.
const ENTRY_RETRY_AFTER: Duration = Duration::from_millis(150);
/// When a daemon without a configuration may have one.
const CONFIG_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Answers one request.
pub async fn answer_caller(
    core: Arc<ProxyCore>,
    _peer: SocketAddr,
    request: Request<Incoming>,
) -> CallerReply {
    core.note_caller();
    let mut reply = match take_in(&core, request).await {
        Ok(call) => serve(&core, call).await,
        Err(error) => {
            core.metrics.count_error(error.kind);
            log::info!(kind:% = error.kind, cause = &*error.detail; "request refused");
            let absent = error.kind == ErrorKind::ConfigAbsent;
            own_reply(&core.edge, error.kind, absent.then_some(CONFIG_RETRY_AFTER))
        }
    };
    if core.is_stopping() {
        let headers = reply.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

async fn serve(core: &Arc<ProxyCore>, call: RelayCall) -> CallerReply {
    let request_id = call.head.request_id.clone();
    let mut watch = CallerWatch {
        request_id: request_id.clone(),
        answered: false,
    };
    let mut reply = if call.head.inner {
        serve_inner(core, call).await
    } else {
        serve_entering(core, call).await
    };
    watch.answered = true;
    if let Ok(id) = HeaderValue::from_str(&request_id) {
        let name = core.edge.headers.request_id.clone();
        reply.headers_mut().insert(name, id);
    }
    reply
}

/// Tells of a caller that left: its connection drops the future that holds this.
struct CallerWatch {
    request_id: Box<str>,
    answered: bool,
}

impl Drop for CallerWatch {
    fn drop(&mut self) {
        if !self.answered {
            log::info!(request = &*self.request_id; "caller left");
        }
    }
}

/// Serves a request that a running request made.
async fn serve_inner(core: &Arc<ProxyCore>, call: RelayCall) -> CallerReply {
    let request_id = call.head.request_id.clone();
    let ended = relay_call(core, call).await;
    if ended.end == EntryEnd::Refused {
        core.lineage().note_refused(&request_id);
    }
    ended.reply
}

/// Serves a request that no running request made, if such requests end well.
async fn serve_entering(core: &Arc<ProxyCore>, call: RelayCall) -> CallerReply {
    let rule = Arc::clone(&call.rule);
    let draw = rand::rng().random::<f32>();
    if !core.throttle().admit(&rule, draw) {
        log::info!(
            request = &*call.head.request_id, route = &*call.rule.name;
            "request refused at the entry"
        );
        core.metrics.count_error(ErrorKind::Overloaded);
        let retry_after = ENTRY_RETRY_AFTER.mul_f32(0.5 + draw);
        return own_reply(&core.edge, ErrorKind::Overloaded, Some(retry_after));
    }
    let ended = relay_call(core, call).await;
    core.throttle().finish(&rule, ended.end, &ended.called);
    ended.reply
}

/// Finds the route of a request and reads its body.
async fn take_in(core: &Arc<ProxyCore>, request: Request<Incoming>) -> Result<RelayCall> {
    let since = core.clock.now();
    let table = core.table().ok_or_else(|| {
        KindError::new(ErrorKind::ConfigAbsent, "no configuration has arrived yet")
    })?;
    let (parts, body) = request.into_parts();
    let names = &core.edge.headers;
    let request_id = text(parts.headers.get(&names.request_id))
        .ok_or_else(|| invalid("the request has no id"))?;
    let host = text(parts.headers.get(header::HOST)).unwrap_or_default();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let rule = table
        .find(host, path)
        .cloned()
        .ok_or_else(|| KindError::new(ErrorKind::RouteUnknown, format!("{host}{path}")))?;
    let remaining = text(parts.headers.get(&names.remaining_ms))
        .and_then(|text| text.trim().parse().ok())
        .map_or(DEFAULT_REMAINING, Duration::from_millis);
    let deadline = since + remaining.min(rule.timeout);
    let service = next_service(core, &rule)?;
    let parent = core.lineage().note_call(request_id, &service);
    let dropped = [
        &names.request_id,
        &names.remaining_ms,
        &names.caller_service,
        &names.expected_target,
    ];
    let mut head = CallHead {
        body_size: ByteCount(0),
        request_id: request_id.into(),
        method: parts.method.as_str().into(),
        path: path.into(),
        headers: pack_headers(&parts.headers, &dropped),
        service,
        caller_service: core.settings.service.clone(),
        route: rule.key,
        priority: parent.unwrap_or(rule.priority),
        safety: rule.safety,
        inner: parent.is_some(),
        remaining,
        objective: rule.objective,
    };
    let rest = deadline.saturating_duration_since(core.clock.now());
    let body = read_body(&table, body, rest).await?;
    head.body_size = ByteCount(body.len() as u64);
    Ok(RelayCall {
        head,
        body,
        rule,
        since,
        deadline,
    })
}

fn next_service(core: &ProxyCore, rule: &mesh::RouteRule) -> Result<ServiceName> {
    let mut turns = core.turns();
    let turn = turns.entry(rule.key).or_default();
    let service = turn.next(&rule.destinations).cloned();
    service.ok_or_else(|| KindError::new(ErrorKind::RouteUnknown, "the route leads nowhere"))
}

async fn read_body(table: &MeshTable, body: Incoming, rest: Duration) -> Result<Bytes> {
    if http_body::Body::is_end_stream(&body) {
        return Ok(Bytes::new());
    }
    let limited = Limited::new(body, table.limits().max_body_bytes);
    let collected = timeout(rest, limited.collect()).await.map_err(|_elapsed| {
        KindError::new(ErrorKind::IdleTimeout, "the body did not arrive in time")
    })?;
    match collected {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(KindError::new(
            ErrorKind::BodyTooLarge,
            format!("more than {} bytes", table.limits().max_body_bytes),
        )),
        Err(error) => Err(KindError::new(ErrorKind::RequestInvalid, error.to_string())),
    }
}

fn text(value: Option<&HeaderValue>) -> Option<&str> {
    value.and_then(|value| value.to_str().ok())
}

fn invalid(detail: &str) -> KindError {
    KindError::new(ErrorKind::RequestInvalid, detail)
}
