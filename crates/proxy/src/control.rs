//! Serves target reports, the readiness checks of the platform, and the metrics.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use mesh::{ReportEffect, TargetLeave, TargetNotice, TargetReport};
use model::{CallCount, CallRate, ErrorKind, KindError, TargetName};

use crate::core::ProxyCore;
use crate::edge::ControlCall;
use crate::metrics::metrics_reply;
use crate::pipeline::RequestBody;
use crate::reply::{CallerReply, ReplyBody, error_reply};

/// Number of requests sent to a target beyond its slots. A request queued at the target starts
/// as soon as a slot is free, without a round trip through this daemon.
const REQUESTS_AHEAD: u32 = 1;
/// Path of the metrics; `deploy/system.toml` names it as well.
const METRICS_PATH: &str = "/metrics";
/// Maximum size of a report in bytes.
const MAX_REPORT_BYTES: usize = 16 << 10;

/// Answers one request of the platform or of the target.
pub async fn answer_control(
    core: Arc<ProxyCore>,
    _peer: SocketAddr,
    request: Request<RequestBody>,
) -> CallerReply {
    if request.uri().path() == METRICS_PATH {
        return metrics_reply(&core);
    }
    let call = read_call(&core, request).await;
    match call.and_then(|call| check_service(&core, call)) {
        Ok(call) => handle_call(&core, call),
        Err(error) => {
            log::warn!(kind:% = error.kind, cause = &*error.detail; "report refused");
            error_reply(&core.edge, error.kind, None)
        }
    }
}

async fn read_call(core: &ProxyCore, request: Request<RequestBody>) -> model::Result<ControlCall> {
    let (parts, body) = request.into_parts();
    let limited = Limited::new(body, MAX_REPORT_BYTES);
    let body = limited
        .collect()
        .await
        .map_err(|error| KindError::new(ErrorKind::RequestInvalid, error.to_string()))?;
    (core.edge.parse_control)(&parts.method, parts.uri.path(), &body.to_bytes())
}

/// Refuses a report of a service that neither the settings nor the configuration names: it comes
/// from another writer.
fn check_service(core: &ProxyCore, call: ControlCall) -> model::Result<ControlCall> {
    if let ControlCall::Report(report) = &call {
        let service = &report.service;
        let table = core.table();
        let is_named = table.is_some_and(|table| table.service(service).is_some());
        if !is_named && *service != core.settings.service {
            let detail = format!("a report of the unknown service {service}");
            return Err(KindError::new(ErrorKind::RequestInvalid, detail));
        }
    }
    Ok(call)
}

fn handle_call(core: &ProxyCore, call: ControlCall) -> CallerReply {
    match call {
        ControlCall::Ready if core.is_ready() => reply(StatusCode::OK, ""),
        ControlCall::Ready => reply(StatusCode::SERVICE_UNAVAILABLE, ""),
        ControlCall::Report(report) => {
            apply_report(core, report);
            acknowledge(core)
        }
        ControlCall::Leave(leave) => {
            apply_leave(core, leave);
            acknowledge(core)
        }
    }
}

/// Applies a target report; its changes are in force when this returns.
fn apply_report(core: &ProxyCore, report: TargetReport) {
    let target = report.target.clone();
    let (run, sequence) = (report.run, report.sequence);
    let effect = core.local_target().on_report(report);
    if effect != ReportEffect::Renewed {
        log::info!(target_name:% = target, run:% = run, sequence, effect:? = effect; "target report");
    }
    if effect == ReportEffect::Changed {
        apply_target(core);
    }
}

fn apply_leave(core: &ProxyCore, leave: TargetLeave) {
    let (target, run) = (leave.target.clone(), leave.run);
    let news = core.local_target().on_leave(leave);
    log::info!(target_name:% = target, run:% = run, news; "target leaves");
    if news {
        apply_target(core);
    }
}

/// Applies the pace that the headers of an answer of the target name.
pub fn apply_pace(core: &ProxyCore, headers: &HeaderMap) {
    let value = headers.get(&core.edge.headers.target_load);
    let load = value
        .and_then(|value| value.to_str().ok())
        .and_then(core.edge.parse_load);
    if let Some(load) = load {
        core.gate.set_pace(load.pace);
    }
}

/// Applies what `target` said of itself in an answer.
pub fn apply_notice(core: &ProxyCore, target: &TargetName, notice: TargetNotice) {
    let (previous, is_first) = {
        let mut known = core.local_target();
        let was_heard = known.is_heard();
        let previous = known.on_notice(target, notice);
        (previous, !was_heard && known.is_heard())
    };
    if is_first {
        apply_target(core);
    }
    let Some(previous) = previous else {
        return;
    };
    let per_second = |limit: Option<CallRate>| limit.map(|rate| rate.0);
    log::info!(
        target_name:% = target, leaving = notice.leaving,
        limit:? = per_second(notice.limit), limit_before:? = per_second(previous.limit);
        "target says of itself"
    );
    if notice.leaving && !previous.leaving {
        apply_target(core);
    } else {
        core.gate.set_limit(notice.limit);
    }
}

/// Opens or closes the gate depending on whether the target takes requests, and wakes the
/// membership loop to announce it.
pub fn apply_target(core: &ProxyCore) {
    let (slots, limit, is_heard) = {
        let target = core.local_target();
        (
            target.usable_slots(),
            target.notice().limit,
            target.is_heard(),
        )
    };
    match slots {
        Some(slots) if !core.is_stopping() => {
            let ahead = if is_heard { REQUESTS_AHEAD } else { 0 };
            core.gate
                .open(CallCount(slots.0.saturating_add(ahead)), limit);
        }
        Some(_) | None => core.gate.close(),
    }
    core.target_changed.notify_one();
}

fn acknowledge(core: &ProxyCore) -> CallerReply {
    reply(StatusCode::OK, core.edge.acknowledgement)
}

fn reply(status: StatusCode, text: &'static str) -> CallerReply {
    let mut response = Response::new(ReplyBody::Whole(Some(Bytes::from_static(text.as_bytes()))));
    *response.status_mut() = status;
    if !text.is_empty() {
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
    }
    response
}
