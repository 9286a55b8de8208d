//! Exchange of reports about requests that crash targets.
//!
//! A report is sent immediately to the daemons of the service's other targets, because only
//! their admission control must know of the request before it is retried. Proxies and key
//! homes learn of suspects from refusals and pass them on in the head of the next attempt.

use std::sync::Arc;
use std::time::Duration;

use model::{DaemonId, ServiceName};
use once::{PoisonMessage, PoisonOutput, RequestFingerprint, SuspectReport};
use tokio::task::JoinSet;
use trace::EventKind;

use crate::core::DaemonCore;
use crate::peer_messages::PeerRequest;

/// Time for a daemon to answer a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Applies the suspects that a refusal or the head of a call reports.
pub fn apply_suspect_report(core: &DaemonCore, report: &SuspectReport) {
    if report.is_empty() {
        return;
    }
    let outputs = core.keys.poison().on_report(report);
    record_stopped(core, &outputs);
}

/// Applies a message from the daemon of another target; returns the suspects in it that
/// completed at the targets of this daemon.
pub fn apply_poison_message(core: &DaemonCore, message: &PoisonMessage) -> Vec<RequestFingerprint> {
    let outputs = core.keys.poison().on_message(message);
    record_stopped(core, &outputs);
    let cleared = outputs.into_iter().filter_map(|output| match output {
        PoisonOutput::ReplyCleared(prints) => Some(prints),
        PoisonOutput::Broadcast(_) | PoisonOutput::Stopped(_) => None,
    });
    cleared.flatten().collect()
}

/// Executes outputs of the poison detector; returns once all informed daemons have answered.
pub async fn execute(core: &Arc<DaemonCore>, service: &ServiceName, outputs: Vec<PoisonOutput>) {
    record_stopped(core, &outputs);
    for output in outputs {
        let PoisonOutput::Broadcast(message) = output else {
            continue;
        };
        let cleared = inform_service(core, service, message).await;
        let output = core.keys.poison().on_cleared_reply(&cleared);
        if let Some(PoisonOutput::Broadcast(message)) = output {
            inform_service(core, service, message).await;
        }
    }
}

/// Informs the daemons of the other targets; returns the requests that ran to the end there.
async fn inform_service(
    core: &Arc<DaemonCore>,
    service: &ServiceName,
    message: PoisonMessage,
) -> Vec<RequestFingerprint> {
    let mut informing = JoinSet::new();
    for daemon in other_daemons(core, service) {
        core.counters.count("poison-reports");
        informing.spawn(inform(Arc::clone(core), daemon, message.clone()));
    }
    informing.join_all().await.into_iter().flatten().collect()
}

async fn inform(
    core: Arc<DaemonCore>,
    daemon: DaemonId,
    message: PoisonMessage,
) -> Vec<RequestFingerprint> {
    let request = PeerRequest::Poison(message);
    let answer = core.ask(daemon, &request, REPORT_TIMEOUT).await;
    answer.unwrap_or_else(|error| {
        core.counters.count_error(error.kind);
        Vec::new()
    })
}

/// Returns the daemons of the service's other targets.
fn other_daemons(core: &DaemonCore, service: &ServiceName) -> Vec<DaemonId> {
    let services = core.services.load();
    let daemons = services.get(service).into_iter().flatten();
    daemons.copied().filter(|id| *id != core.id).collect()
}

fn record_stopped(core: &DaemonCore, outputs: &[PoisonOutput]) {
    for output in outputs {
        if let PoisonOutput::Stopped(print) = output {
            core.counters.count("poison-stopped");
            core.record_event(EventKind::PoisonStopped, &print.to_string());
        }
    }
}
