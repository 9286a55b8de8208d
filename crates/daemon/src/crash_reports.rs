//! What daemons tell each other about requests that crash targets.
//!
//! A report goes at once and directly to the daemons beside the other targets
//! of the service: only admission there has to know before the request comes
//! again. Proxies and homes of keys learn from refusals and teach the next
//! target's daemon with the head of the next attempt.

use std::sync::Arc;
use std::time::Duration;

use model::{DaemonId, ServiceName};
use once::{PoisonMessage, PoisonOutput, RequestFingerprint, SuspectReport};
use tokio::task::JoinSet;
use trace::EventKind;

use crate::core::DaemonCore;
use crate::peer_messages::PeerRequest;

/// Time for a daemon to take a report.
const TELL_TIMEOUT: Duration = Duration::from_secs(2);

/// Takes what a refusal or the head of a call tells of suspects.
pub fn apply_suspect_report(core: &DaemonCore, news: &SuspectReport) {
    if news.is_empty() {
        return;
    }
    let outputs = core.keys.poison().on_report(news);
    note_stopped(core, &outputs);
}

/// Takes a message of the daemon beside another target; returns the innocent.
pub fn apply_poison_message(core: &DaemonCore, message: &PoisonMessage) -> Vec<RequestFingerprint> {
    let outputs = core.keys.poison().on_message(message);
    note_stopped(core, &outputs);
    let innocent = outputs.into_iter().filter_map(|output| match output {
        PoisonOutput::ReplyCleared(prints) => Some(prints),
        PoisonOutput::Broadcast(_) | PoisonOutput::Stopped(_) => None,
    });
    innocent.flatten().collect()
}

/// Carries out what the watch wants; returns once every daemon told has answered.
pub async fn execute_outputs(
    core: &Arc<DaemonCore>,
    service: &ServiceName,
    outputs: Vec<PoisonOutput>,
) {
    note_stopped(core, &outputs);
    for output in outputs {
        let PoisonOutput::Broadcast(message) = output else {
            continue;
        };
        let innocent = tell_service(core, service, message).await;
        let cleared = core.keys.poison().on_cleared_reply(&innocent);
        if let Some(PoisonOutput::Broadcast(message)) = cleared {
            tell_service(core, service, message).await;
        }
    }
}

/// Tells the daemons beside the other targets; returns what has run to its end there.
async fn tell_service(
    core: &Arc<DaemonCore>,
    service: &ServiceName,
    message: PoisonMessage,
) -> Vec<RequestFingerprint> {
    let mut telling = JoinSet::new();
    for daemon in others_beside(core, service) {
        core.counters.count("poison-reports");
        telling.spawn(tell(Arc::clone(core), daemon, message.clone()));
    }
    telling.join_all().await.into_iter().flatten().collect()
}

async fn tell(
    core: Arc<DaemonCore>,
    daemon: DaemonId,
    message: PoisonMessage,
) -> Vec<RequestFingerprint> {
    let request = PeerRequest::Poison(message);
    let answer = core.ask(daemon, &request, TELL_TIMEOUT).await;
    answer.unwrap_or_else(|error| {
        core.counters.count_error(error.kind);
        Vec::new()
    })
}

/// The daemons beside the other targets of a service.
fn others_beside(core: &DaemonCore, service: &ServiceName) -> Vec<DaemonId> {
    let services = core.services.load();
    let daemons = services.get(service).into_iter().flatten();
    daemons.copied().filter(|id| *id != core.id).collect()
}

fn note_stopped(core: &DaemonCore, outputs: &[PoisonOutput]) {
    for output in outputs {
        if let PoisonOutput::Stopped(print) = output {
            core.counters.count("poison-stopped");
            core.record_event(EventKind::PoisonStopped, &print.to_string());
        }
    }
}
