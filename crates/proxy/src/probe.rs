//! Finds the target beside a daemon that started after it.
//!
//! Reports come every second or so; until the first one a daemon that started
//! anew asks the target for its name, so that a restart costs no such pause.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use mesh::{ReportedState, TargetReport};
use model::{CallCount, ErrorKind, IncarnationNumber, KindError, ServiceName};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::control::{apply_report, apply_target};
use crate::core::ProxyCore;
use crate::target_client::SendFailure;

/// Time between two looks whether a probe is due.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two probes of a target that did not answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for the target to answer.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Probes the target whenever it is unknown, unconfirmed or down, until `token` is cancelled.
pub async fn watch_target(core: Arc<ProxyCore>, token: CancellationToken) {
    let watching = async {
        let mut willing = false;
        loop {
            tokio::select! {
                () = sleep(LOOK_INTERVAL) => {}
                () = core.routing_changed.notified() => {}
            }
            let (known, doubtful, is_willing) = {
                let own = core.own_target();
                (
                    own.report().is_some(),
                    own.is_down() || own.is_unconfirmed(),
                    own.available().is_some(),
                )
            };
            // A target that fell silent is noticed here only.
            if std::mem::replace(&mut willing, is_willing) != is_willing {
                apply_target(&core);
            }
            // Until a configuration has come the path to ask is not known.
            if (known && !doubtful) || core.table().is_none() {
                continue;
            }
            if let Err(error) = probe(&core).await {
                log::debug!(cause:% = error; "target did not tell its name");
                sleep(PROBE_INTERVAL).await;
            }
        }
    };
    tokio::select! {
        () = watching => {}
        () = token.cancelled() => {}
    }
}

async fn probe(core: &ProxyCore) -> model::Result<()> {
    let service = core.settings.service.clone();
    let table = core.table();
    let rule = table.as_ref().and_then(|table| table.service(&service));
    let rule = rule.ok_or_else(|| absent("the configuration does not name the service"))?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = rule
        .health_path
        .parse()
        .map_err(|_error| absent("the service's health path is no path"))?;
    let host = core.settings.target_address.to_string();
    let host = host.parse().map_err(|_error| absent("no host"))?;
    request.headers_mut().insert(header::HOST, host);
    let sending = core.target_client.send(request, false);
    let sent = timeout(PROBE_TIMEOUT, sending)
        .await
        .map_err(|_elapsed| absent("no answer in time"))?;
    let mut exchange = sent.map_err(|failure| match failure {
        SendFailure::Unsent(detail) | SendFailure::Unknown(detail) => {
            KindError::new(ErrorKind::TargetAbsent, detail)
        }
    })?;
    let status = exchange.response.status();
    let headers = exchange.response.headers().clone();
    let body = timeout(PROBE_TIMEOUT, exchange.response.body_mut().collect());
    if matches!(body.await, Ok(Ok(_))) {
        exchange.finish();
    }
    if status != StatusCode::OK {
        return Err(absent("the target is not healthy or leaves"));
    }
    take_name(core, &headers, service)
}

/// Takes the target's name and slots out of its answer.
fn take_name(core: &ProxyCore, headers: &HeaderMap, service: ServiceName) -> model::Result<()> {
    let names = &core.edge.headers;
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let target = text(&names.target_name).ok_or_else(|| absent("the answer names no target"))?;
    let target = target.parse()?;
    let known = core.own_target().report().cloned();
    if known.is_some_and(|known| known.target == target) {
        core.own_target().on_answer();
        apply_target(core);
        return Ok(());
    }
    let slots = text(&names.target_load).and_then(core.edge.parse_slots);
    let report = TargetReport {
        target,
        run: IncarnationNumber(0),
        sequence: 0,
        service,
        slots: slots.unwrap_or(CallCount(1)),
        state: ReportedState::Ready,
    };
    core.own_target().on_replaced();
    apply_report(core, report);
    Ok(())
}

fn absent(detail: &str) -> KindError {
    KindError::new(ErrorKind::TargetAbsent, detail)
}
