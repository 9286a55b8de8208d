//! Requests in flight at the targets of this daemon, and detection of target crashes.
//!
//! A broken connection may mean that the target crashed. The daemon then probes the target
//! with several connections, since a listener may stay open longer than other sockets; one
//! refused connection counts as a crash. If the target restarts faster than the probes, the
//! next incarnation that it announces reveals the crash. The refusal of the call waits for a
//! limited time until the daemons of the service's other targets know of the crash, so that
//! no retry of the call arrives there before the report.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use model::{ErrorKind, IncarnationNumber, KindError, ServiceName, TargetName};
use once::{PoisonDetector, PoisonOutput, RequestFingerprint, SuspectReport};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::core::DaemonCore;
use crate::crash_reports::{apply_suspect_report, execute};
use crate::peer_messages::CallHead;

/// Time without a connection after which a target counts as crashed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pauses before the probes of a target whose connection broke, in milliseconds.
const PROBE_PAUSES_MS: [u64; 6] = [0, 2, 8, 20, 40, 80];
/// Maximum time for which other requests of the same crash wait for its reports to be answered.
const MAX_REPORT_WAIT: Duration = Duration::from_millis(100);
/// Maximum time for which a refusal waits for probes and reports together.
const MAX_REFUSAL_WAIT: Duration = Duration::from_millis(250);
/// Divisor of the call's remaining time; the quotient limits how long a refusal waits.
const REFUSAL_WAIT_DIVISOR: u32 = 2;

/// A request in flight at a target, tracked to detect crashes until it is dropped.
#[derive(Debug)]
pub struct InFlightRequest {
    core: Arc<DaemonCore>,
    service: ServiceName,
    target: TargetName,
    /// Incarnation of the target when the request began.
    incarnation: IncarnationNumber,
    fingerprint: RequestFingerprint,
    /// Whether the target answered completely.
    completed: bool,
    /// Whether crash detection has taken over, so that dropping the value reports nothing.
    ended: bool,
}

/// Result of probing a target whose connection broke.
#[derive(Clone, Copy, Debug)]
enum ProbeResult {
    /// The target accepts connections.
    Alive,
    /// The target refused a connection or did not accept it in time.
    Unreachable,
    /// A later incarnation than the request's has been announced.
    Restarted,
}

impl InFlightRequest {
    /// Starts tracking a call to its target, unless the request is known to crash targets.
    ///
    /// Kinds: `TargetAbsent`, `PoisonRequest`, `QueueFull`; the call has not run.
    pub fn start(
        core: &Arc<DaemonCore>,
        head: &CallHead,
        incarnation: IncarnationNumber,
    ) -> model::Result<Self> {
        let fingerprint = RequestFingerprint(head.print);
        let target = head
            .target
            .clone()
            .ok_or_else(|| KindError::new(ErrorKind::TargetAbsent, "the call names no target"))?;
        apply_suspect_report(core, &head.news);
        core.keys.poison().start(&target, fingerprint)?;
        Ok(Self {
            core: Arc::clone(core),
            service: head.service.clone(),
            target,
            incarnation,
            fingerprint,
            completed: false,
            ended: false,
        })
    }

    /// Sets whether the target answered the request completely.
    pub fn set_completed(&mut self, completed: bool) {
        self.completed = completed;
    }

    /// Ends a request whose connection broke; returns what is known of its crashes.
    ///
    /// Probes and reports continue in the background if the answer cannot wait for them.
    pub async fn on_disconnect(self, address: SocketAddr, remaining: Duration) -> SuspectReport {
        let wait = MAX_REFUSAL_WAIT.min(remaining / REFUSAL_WAIT_DIVISOR);
        let (core, fingerprint) = (Arc::clone(&self.core), self.fingerprint);
        let detecting = core.tasks.spawn(self.detect_crash(address));
        // On timeout the answer carries what is known so far.
        drop(timeout(wait, detecting).await);
        core.keys.poison().report_for(fingerprint)
    }

    async fn detect_crash(mut self, address: SocketAddr) {
        self.ended = true;
        let core = Arc::clone(&self.core);
        let (target, fingerprint) = (&self.target, self.fingerprint);
        let outputs = core.keys.poison().on_broken(target, fingerprint);
        // A known crash explains the broken connection, so the target needs no probes.
        if let Some(outputs) = outputs {
            report(&core, &self.service, |_| outputs).await;
            return;
        }
        match self.probe(address).await {
            ProbeResult::Unreachable => {
                let record =
                    |detector: &mut PoisonDetector| detector.on_crash_found(target, fingerprint);
                report(&core, &self.service, record).await;
            }
            ProbeResult::Restarted => {
                let record =
                    |detector: &mut PoisonDetector| detector.on_restart_found(target, fingerprint);
                report(&core, &self.service, record).await;
            }
            // Another request may have found a crash; waits until its reports are sent.
            ProbeResult::Alive => report(&core, &self.service, |_| Vec::new()).await,
        }
    }

    /// Probes several times whether the target refuses connections or has restarted.
    async fn probe(&self, address: SocketAddr) -> ProbeResult {
        for pause in PROBE_PAUSES_MS {
            sleep(Duration::from_millis(pause)).await;
            let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
            if !matches!(connecting.await, Ok(Ok(_))) {
                return ProbeResult::Unreachable;
            }
            let incarnation = self.core.local_targets.incarnation_of(&self.target);
            if incarnation.is_some_and(|incarnation| incarnation > self.incarnation) {
                return ProbeResult::Restarted;
            }
        }
        ProbeResult::Alive
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let mut poison = self.core.keys.poison();
        let output = poison.finish(&self.target, self.fingerprint, self.completed);
        drop(poison);
        if let Some(output) = output {
            spawn_outputs(&self.core, self.service.clone(), vec![output]);
        }
    }
}

/// Reports that a target restarted without draining before.
pub fn report_target_restart(core: &Arc<DaemonCore>, service: ServiceName, target: TargetName) {
    let task_core = Arc::clone(core);
    core.tasks.spawn(async move {
        let record = |detector: &mut PoisonDetector| detector.on_target_restarted(&target);
        report(&task_core, &service, record).await;
    });
}

/// Reports the crash that `record` finds; for up to [`MAX_REPORT_WAIT`], other requests of the
/// same crash wait for the reports.
async fn report(
    core: &Arc<DaemonCore>,
    service: &ServiceName,
    record: impl FnOnce(&mut PoisonDetector) -> Vec<PoisonOutput>,
) {
    let guard = core.keys.crash_report_lock().lock().await;
    let outputs = record(&mut core.keys.poison());
    let mut executing = pin!(execute(core, service, outputs));
    if timeout(MAX_REPORT_WAIT, executing.as_mut()).await.is_err() {
        drop(guard);
        executing.await;
    }
}

fn spawn_outputs(core: &Arc<DaemonCore>, service: ServiceName, outputs: Vec<PoisonOutput>) {
    let task_core = Arc::clone(core);
    core.tasks
        .spawn(async move { execute(&task_core, &service, outputs).await });
}
