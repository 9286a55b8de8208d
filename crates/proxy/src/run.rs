//! One daemon from start to planned stop.
//!
//! A planned stop goes in stages: the platform hears at once that the daemon
//! takes no new callers; requests are still served while callers move away;
//! then the other daemons are told and the gate closes; when all has ended and
//! no caller comes any more, or shortly before the process would be killed, the
//! connections close.

use std::sync::Arc;
use std::time::Duration;

use mesh::{CallerLimits, StopConditions, StopPlan};
use model::SharedClock;
use tokio::net::TcpListener;
use tokio::time::{sleep, sleep_until, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::WireLimits;

use crate::config_watch::watch_config;
use crate::control::answer_control;
use crate::core::ProxyCore;
use crate::edge::EdgeProtocol;
use crate::inbound::serve_inbound;
use crate::listener::{ConnectionBounds, bind, serve_http};
use crate::membership::{MembershipLoop, MembershipSender, StopStages};
use crate::outbound::answer_caller;
use crate::probe::watch_target;
use crate::settings::ProxySettings;
use crate::store::SharedStore;

/// Results of a run; the kind is `LocalFailed`.
pub type Result<T> = model::Result<T>;

/// Listeners of the platform: readiness, reports and metrics.
const CONTROL_LISTENERS: usize = 3;
/// Time between two looks whether all has ended.
const IDLE_POLL: Duration = Duration::from_millis(50);

/// Bounds on connections between daemons: short times, since callers wait for them.
const PEER_LIMITS: WireLimits = WireLimits {
    max_head_bytes: 4 << 20,
    max_streams: 1024,
    max_connections: 2048,
    max_links: 160,
    // A body beyond this waits until the daemon beside the target has room on its link.
    stream_window_bytes: 32 << 10,
    connection_window_bytes: 256 << 10,
    connect_timeout: Duration::from_millis(250),
    idle_timeout: Duration::from_secs(60),
    ping_interval: Duration::from_millis(400),
    // Only a daemon that hangs is left to pings; silence of the link is the kernel's.
    ping_timeout: Duration::from_secs(4),
    silence_timeout: Duration::from_secs(1),
};

/// What a daemon is made of.
#[derive(Debug)]
pub struct ProxyParts {
    /// Its settings.
    pub settings: ProxySettings,
    /// What callers and targets speak.
    pub edge: EdgeProtocol,
    /// The platform's store.
    pub store: SharedStore,
    /// The clock.
    pub clock: SharedClock,
}

/// Runs a daemon until `stop` is cancelled and the planned stop has ended.
pub async fn run_proxy(parts: ProxyParts, stop: CancellationToken) -> Result<()> {
    let settings = parts.settings.clone();
    let callers = bind(settings.caller_address).await?;
    let peers = bind(settings.peer_address).await?;
    let ready = bind(settings.ready_address).await?;
    let reports = bind(settings.report_address).await?;
    let metrics = bind(settings.metrics_address).await?;
    let core = Arc::new(ProxyCore::new(
        parts.settings,
        parts.edge,
        parts.store,
        parts.clock,
        PEER_LIMITS,
    )?);
    log::info!(
        vm:% = settings.vm, run:% = core.incarnation, domain:% = settings.domain,
        service:% = settings.service; "started"
    );
    let running = start_parts(&core, callers, peers, [ready, reports, metrics]);
    stop.cancelled().await;
    running.stop(&core).await;
    log::info!("stopped");
    Ok(())
}

/// The tasks of a daemon and how to end them.
struct RunningParts {
    tracker: TaskTracker,
    callers: CancellationToken,
    control: CancellationToken,
    background: CancellationToken,
    stages: StopStages,
}

fn start_parts(
    core: &Arc<ProxyCore>,
    callers: TcpListener,
    peers: TcpListener,
    control: [TcpListener; CONTROL_LISTENERS],
) -> RunningParts {
    let running = RunningParts {
        tracker: TaskTracker::new(),
        callers: CancellationToken::new(),
        control: CancellationToken::new(),
        background: CancellationToken::new(),
        stages: StopStages::default(),
    };
    let tracker = &running.tracker;
    let (desk, inbox) = MembershipSender::new();
    let members = MembershipLoop::new(Arc::clone(core), desk.clone());
    tracker.spawn(members.run(inbox, running.stages.clone()));
    tracker.spawn(watch_config(Arc::clone(core), running.background.clone()));
    tracker.spawn(watch_target(Arc::clone(core), running.background.clone()));
    tracker.spawn(expire_waiting(Arc::clone(core), running.background.clone()));
    let inbound = serve_inbound(
        Arc::clone(core),
        desk,
        peers,
        PEER_LIMITS,
        running.callers.clone(),
    );
    tracker.spawn(inbound);
    let answering = Arc::clone(core);
    let bounding = Arc::clone(core);
    tracker.spawn(serve_http(
        callers,
        move || caller_bounds(&bounding),
        running.callers.clone(),
        move |peer, request| answer_caller(Arc::clone(&answering), peer, request),
    ));
    for listener in control {
        let answering = Arc::clone(core);
        tracker.spawn(serve_http(
            listener,
            || bounds_of(&CallerLimits::default()),
            running.control.clone(),
            move |peer, request| answer_control(Arc::clone(&answering), peer, request),
        ));
    }
    running
}

async fn expire_waiting(core: Arc<ProxyCore>, token: CancellationToken) {
    tokio::select! {
        () = core.gate.expire_waiting() => {}
        () = token.cancelled() => {}
    }
}

fn caller_bounds(core: &ProxyCore) -> ConnectionBounds {
    let table = core.table();
    let limits = table.map_or_else(CallerLimits::default, |table| *table.limits());
    bounds_of(&limits)
}

fn bounds_of(limits: &CallerLimits) -> ConnectionBounds {
    ConnectionBounds {
        // One timer of the library counts both; idle connections must last the longer time.
        head_timeout: limits.header_timeout.max(limits.idle_timeout),
        max_head_bytes: limits.max_header_bytes,
    }
}

/// What decides whether a stopping daemon may end.
fn stop_look(core: &ProxyCore) -> StopConditions {
    StopConditions {
        gate_idle: core.gate.is_idle(),
        since_last_request: core.time_since_caller_request(),
        target_available: core.own_target().available().is_some(),
    }
}

impl RunningParts {
    async fn stop(self, core: &Arc<ProxyCore>) {
        let plan = StopPlan::new(core.clock.now(), core.settings.grace_period);
        core.begin_stop(plan);
        log::info!("stopping: no new callers");
        sleep_until(plan.announced_at().into()).await;
        self.stages.drain.cancel();
        sleep_until(plan.gate_closes_at().into()).await;
        core.gate.close();
        log::info!("stopping: the target takes no more requests from here");
        sleep_until(plan.earliest_close().into()).await;
        while !plan.should_close(core.clock.now(), &stop_look(core)) {
            sleep(IDLE_POLL).await;
        }
        self.callers.cancel();
        self.stages.leave.cancel();
        self.background.cancel();
        self.tracker.close();
        core.tasks.close();
        let closing = async {
            // The control listeners answer until the rest has ended.
            while self.tracker.len() > CONTROL_LISTENERS {
                sleep(IDLE_POLL).await;
            }
            self.control.cancel();
            self.tracker.wait().await;
            core.pool.close().await;
            core.tasks.wait().await;
        };
        if timeout_at(plan.cutoff().into(), closing).await.is_err() {
            log::warn!("stopped with requests in progress");
        }
    }
}
