//! Requests in flight at the targets beside this daemon, and crashes of those targets.
//!
//! A connection that breaks may mean a crash. The target is asked for
//! connections a few times, since its listener may outlive its other sockets,
//! and one refusal counts; a target that is restarted too fast for that shows
//! its crash by the next incarnation that it announces. The call's refusal
//! waits, for a short bound, until the daemons beside the other targets of the
//! service know of the crash, so that no repetition of the call overtakes it.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use model::{ErrorKind, IncarnationNumber, KindError, ServiceName, TargetName};
use once::{PoisonDetector, PoisonOutput, RequestFingerprint, SuspectReport};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::core::DaemonCore;
use crate::crash_reports::{apply_suspect_report, execute_outputs};
use crate::peer_messages::CallHead;

/// Time for a target to take a connection before it counts as crashed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pauses before each look at a target whose connection broke.
const LOOK_PAUSES_MS: [u64; 6] = [0, 2, 8, 20, 40, 80];
/// Longest time for which a refusal waits for reports to arrive.
const TELL_HOLD: Duration = Duration::from_millis(100);
/// Longest time for which a refusal waits for looks and reports together.
const REFUSAL_HOLD: Duration = Duration::from_millis(250);
/// Part of the remaining time that a refusal may wait, as a divisor.
const HOLD_DIVISOR: u32 = 2;

/// A request in flight at a target, watched for crashes; ends when dropped.
#[derive(Debug)]
pub struct InFlightRequest {
    core: Arc<DaemonCore>,
    service: ServiceName,
    target: TargetName,
    /// The run of the target that was announced when the request began.
    run: IncarnationNumber,
    print: RequestFingerprint,
    sound: bool,
    ended: bool,
}

/// What looking at a target whose connection broke came to.
#[derive(Clone, Copy, Debug)]
enum TargetLook {
    /// It takes connections.
    Alive,
    /// It refused one.
    Gone,
    /// A later run than the request's has announced itself.
    NextRun,
}

impl InFlightRequest {
    /// Lets a call go to its target, unless the request crashes targets.
    ///
    /// Kinds: `TargetAbsent`, `PoisonRequest`, `QueueFull`; the call has not run.
    pub fn start(
        core: &Arc<DaemonCore>,
        head: &CallHead,
        run: IncarnationNumber,
    ) -> model::Result<Self> {
        let print = RequestFingerprint(head.print);
        let target = head
            .target
            .clone()
            .ok_or_else(|| KindError::new(ErrorKind::TargetAbsent, "no target named"))?;
        apply_suspect_report(core, &head.news);
        core.keys.poison().start(&target, print)?;
        Ok(Self {
            core: Arc::clone(core),
            service: head.service.clone(),
            target,
            run,
            print,
            sound: false,
            ended: false,
        })
    }

    /// Notes whether the target answered the whole request.
    pub fn set_completed(&mut self, sound: bool) {
        self.sound = sound;
    }

    /// Ends a request whose connection broke; returns what is then known of it.
    ///
    /// The looks and reports go on if the answer cannot wait for them.
    pub async fn on_disconnect(self, address: SocketAddr, remaining: Duration) -> SuspectReport {
        let hold = REFUSAL_HOLD.min(remaining / HOLD_DIVISOR);
        let (core, print) = (Arc::clone(&self.core), self.print);
        let looking = core.tasks.spawn(self.look_for_crash(address));
        // Late or not, what is known by now is what the answer carries.
        drop(timeout(hold, looking).await);
        core.keys.poison().report_for(print)
    }

    async fn look_for_crash(mut self, address: SocketAddr) {
        self.ended = true;
        let core = Arc::clone(&self.core);
        let (target, print) = (&self.target, self.print);
        let outputs = core.keys.poison().on_broken(target, print);
        if let Some(outputs) = outputs {
            report(&core, &self.service, |_| outputs).await;
            return;
        }
        match self.look(address).await {
            TargetLook::Gone => {
                let found = |watch: &mut PoisonDetector| watch.on_crash_found(target, print);
                report(&core, &self.service, found).await;
            }
            TargetLook::NextRun => {
                let found = |watch: &mut PoisonDetector| watch.on_restart_found(target, print);
                report(&core, &self.service, found).await;
            }
            // Another request's look may have found a crash; its reports go first.
            TargetLook::Alive => report(&core, &self.service, |_| Vec::new()).await,
        }
    }

    /// Looks a few times whether the target refuses a connection or has a next run.
    async fn look(&self, address: SocketAddr) -> TargetLook {
        for pause in LOOK_PAUSES_MS {
            sleep(Duration::from_millis(pause)).await;
            let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
            if !matches!(connecting.await, Ok(Ok(_))) {
                return TargetLook::Gone;
            }
            let run = self.core.local_targets.incarnation_of(&self.target);
            if run.is_some_and(|run| run > self.run) {
                return TargetLook::NextRun;
            }
        }
        TargetLook::Alive
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let mut poison = self.core.keys.poison();
        let output = poison.finish(&self.target, self.print, self.sound);
        drop(poison);
        if let Some(output) = output {
            spawn_tell(&self.core, self.service.clone(), vec![output]);
        }
    }
}

/// Takes note that a next run of a target follows one that did not drain.
pub fn report_target_restart(core: &Arc<DaemonCore>, service: ServiceName, target: TargetName) {
    let reporting = Arc::clone(core);
    core.tasks.spawn(async move {
        let found = |watch: &mut PoisonDetector| watch.on_target_restarted(&target);
        report(&reporting, &service, found).await;
    });
}

/// Tells what `find` records of a crash; requests that share it wait meanwhile.
async fn report(
    core: &Arc<DaemonCore>,
    service: &ServiceName,
    find: impl FnOnce(&mut PoisonDetector) -> Vec<PoisonOutput>,
) {
    let reporting = core.keys.reporting().lock().await;
    let outputs = find(&mut core.keys.poison());
    let mut telling = pin!(execute_outputs(core, service, outputs));
    if timeout(TELL_HOLD, telling.as_mut()).await.is_err() {
        drop(reporting);
        telling.await;
    }
}

fn spawn_tell(core: &Arc<DaemonCore>, service: ServiceName, outputs: Vec<PoisonOutput>) {
    let telling = Arc::clone(core);
    core.tasks
        .spawn(async move { execute_outputs(&telling, &service, outputs).await });
}
