//! Finds the target that was already running when the daemon beside it started.
//!
//! Targets report about every second. A daemon that has just restarted does not
//! wait for the first report but asks the target for its name.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use mesh::{ReportEffect, ReportedState, TargetNotice, TargetReport};
use model::{CallCount, ErrorKind, IncarnationNumber, KindError, ServiceName, TargetName};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::control::{apply_notice, apply_pace, apply_target};
use crate::core::ProxyCore;
use crate::target_client::SendFailure;

/// Interval at which the daemon checks whether a probe is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause after a failed probe.
const PROBE_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time for the target to answer.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of the body of an answer; the daemon uses only the head.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Probes the target whenever it is in doubt which one runs, until `token` is cancelled.
pub async fn watch_target(core: Arc<ProxyCore>, token: CancellationToken) {
    let watching = async {
        let mut was_available = false;
        loop {
            tokio::select! {
                () = sleep(CHECK_INTERVAL) => {}
                () = core.routing_changed.notified() => {}
            }
            let (is_in_doubt, is_available) = {
                let target = core.local_target();
                (target.is_in_doubt(), target.available().is_some())
            };
            // Missing reports of a target are noticed only here.
            if std::mem::replace(&mut was_available, is_available) != is_available {
                apply_target(&core);
            }
            // The health path is part of the configuration.
            if !is_in_doubt || core.table().is_none() {
                continue;
            }
            if let Err(error) = probe(&core).await {
                log::debug!(cause:% = error; "target did not tell its name");
                sleep(PROBE_RETRY_PAUSE).await;
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
    let rule = rule.ok_or_else(|| probe_failed("the configuration does not define the service"))?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = rule
        .health_path
        .parse()
        .map_err(|_error| probe_failed("the health path of the service is not a valid path"))?;
    let host = core.settings.target_address.to_string();
    let host = host
        .parse()
        .map_err(|_error| probe_failed("the target address is not a valid host header"))?;
    request.headers_mut().insert(header::HOST, host);
    let sending = core.target_client.send(request, false);
    let sent = timeout(PROBE_TIMEOUT, sending)
        .await
        .map_err(|_elapsed| probe_failed("the target did not answer the probe in time"))?;
    let mut exchange = sent.map_err(|failure| match failure {
        SendFailure::Unsent(detail) | SendFailure::Unknown(detail) => {
            KindError::new(ErrorKind::TargetAbsent, detail)
        }
    })?;
    let status = exchange.response.status();
    let headers = exchange.response.headers().clone();
    let body = Limited::new(exchange.response.body_mut(), MAX_BODY_BYTES);
    let complete = match timeout(PROBE_TIMEOUT, body.collect()).await {
        Ok(Ok(_)) => true,
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return Err(probe_failed("the answer to the probe is too long"));
        }
        Ok(Err(_)) | Err(_) => false,
    };
    // Probes have no ids, so a late copy of a failed one's answer could not be told apart.
    if complete && status == StatusCode::OK {
        exchange.finish();
    }
    let notice = (core.edge.read_notice)(&headers);
    // A target that leaves is unhealthy by intent, and is recorded as leaving.
    if status != StatusCode::OK && !notice.leaving {
        return Err(probe_failed("the target is unhealthy or leaving"));
    }
    apply_probe(core, &headers, notice, service)
}

/// Reads the target's name and slots from its answer and applies them, with its `notice`.
fn apply_probe(
    core: &ProxyCore,
    headers: &HeaderMap,
    notice: TargetNotice,
    service: ServiceName,
) -> model::Result<()> {
    let names = &core.edge.headers;
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let target =
        text(&names.target_name).ok_or_else(|| probe_failed("the answer names no target"))?;
    let target: TargetName = target.parse()?;
    let load = text(&names.target_load).and_then(core.edge.parse_load);
    let report = TargetReport {
        target: target.clone(),
        run: IncarnationNumber(0),
        sequence: 0,
        service,
        version: None,
        slots: load.map_or(CallCount(1), |load| load.slots),
        state: if notice.leaving {
            ReportedState::Draining
        } else {
            ReportedState::Ready
        },
    };
    let effect = core.local_target().on_found(report);
    if effect != ReportEffect::Renewed {
        log::info!(target_name:% = target, effect:? = effect; "target found by asking");
    }
    // Before the gate opens, so that no request precedes the limit.
    apply_notice(core, &target, notice);
    apply_pace(core, headers);
    apply_target(core);
    Ok(())
}

fn probe_failed(detail: &str) -> KindError {
    KindError::new(ErrorKind::TargetAbsent, detail)
}
