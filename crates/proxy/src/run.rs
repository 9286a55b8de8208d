//! Runs one daemon from its start to the end of a planned stop.
//!
//! A planned stop has these stages:
//!
//! 1. The readiness check fails at once, so the platform sends no new callers;
//!    requests are still served while callers move away.
//! 2. The other daemons are told that the target takes no more requests, and
//!    shortly after that the gate closes.
//! 3. Connections close when all requests have ended, no caller sends new ones
//!    and the target keeps running, or shortly before the platform would kill
//!    the process. Requests that are still in progress get a final answer
//!    before that.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use mesh::memory_account::ConnectionLimits;
use mesh::pause::OBSERVE_INTERVAL;
use mesh::{CallerLimits, StopConditions, StopPlan};
use model::SharedClock;
use tokio::net::TcpListener;
use tokio::time::{sleep, sleep_until, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::WireLimits;

use crate::config_watch::watch_config;
use crate::connection_gate::ConnectionGate;
use crate::control::answer_control;
use crate::core::ProxyCore;
use crate::edge::EdgeProtocol;
use crate::inbound::serve_inbound;
use crate::listener::{ConnectionBounds, bind, serve_http};
use crate::membership::{MembershipLoop, MembershipSender, StopStages};
use crate::outbound::{answer_caller, early_start};
use crate::probe::watch_target;
use crate::quota_exchange::exchange_quotas;
use crate::rollout_watch::watch_rollouts;
use crate::settings::ProxySettings;
use crate::store::SharedStore;
use crate::suspects::watch_suspects;

/// Result of running a daemon; errors are of kind `LocalFailed`.
pub type Result<T> = model::Result<T>;

/// Number of control listeners: readiness, reports and metrics.
const CONTROL_LISTENERS: usize = 3;
/// Interval at which a stopping daemon checks whether all requests have ended.
const IDLE_POLL: Duration = Duration::from_millis(50);

/// Limits on connections between daemons; the times are short because callers wait for them.
const PEER_LIMITS: WireLimits = WireLimits {
    max_head_bytes: 4 << 20,
    max_partial_bytes: 10 << 20,
    max_streams: 1024,
    max_connections: 2048,
    soft_max_connections: 160,
    // Holds any body that is sent without `CallAnswer::Proceed`; larger ones wait until the
    // daemon beside the target has room on its link.
    stream_window_bytes: 32 << 10,
    // Streams whose bytes nobody takes must not stop the others before their deadlines.
    connection_window_bytes: 4 << 20,
    connect_timeout: Duration::from_millis(250),
    idle_timeout: Duration::from_secs(60),
    ping_interval: Duration::from_millis(400),
    // Pings detect a daemon that hangs; a dead link is detected by the kernel
    // (`tcp_user_timeout`).
    ping_timeout: Duration::from_secs(4),
    tcp_user_timeout: Duration::from_secs(1),
};

/// Dependencies of a daemon.
#[derive(Debug)]
pub struct ProxyParts {
    /// Settings.
    pub settings: ProxySettings,
    /// Header names and message formats of callers and targets.
    pub edge: EdgeProtocol,
    /// The platform's store.
    pub store: SharedStore,
    /// Clock.
    pub clock: SharedClock,
}

/// Runs a daemon until `stop` is cancelled and the planned stop has completed.
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
    let running = start_tasks(&core, callers, peers, [ready, reports, metrics]);
    stop.cancelled().await;
    running.stop(&core).await;
    log::info!("stopped");
    Ok(())
}

/// Tasks of a running daemon and the tokens that end them.
struct RunningTasks {
    tracker: TaskTracker,
    callers: CancellationToken,
    control: CancellationToken,
    background: CancellationToken,
    stages: StopStages,
}

fn start_tasks(
    core: &Arc<ProxyCore>,
    callers: TcpListener,
    peers: TcpListener,
    control: [TcpListener; CONTROL_LISTENERS],
) -> RunningTasks {
    let running = RunningTasks {
        tracker: TaskTracker::new(),
        callers: CancellationToken::new(),
        control: CancellationToken::new(),
        background: CancellationToken::new(),
        stages: StopStages::default(),
    };
    let settings = &core.settings;
    let limits = ConnectionLimits::new(settings.max_fds, settings.memory);
    let limited = core.metrics.limited_connections();
    let tracker = &running.tracker;
    let (sender, inbox) = MembershipSender::new();
    let members = MembershipLoop::new(Arc::clone(core), sender.clone());
    tracker.spawn(members.run(inbox, running.stages.clone()));
    tracker.spawn(watch_config(Arc::clone(core), running.background.clone()));
    tracker.spawn(watch_target(Arc::clone(core), running.background.clone()));
    tracker.spawn(watch_suspects(Arc::clone(core), running.background.clone()));
    tracker.spawn(watch_rollouts(Arc::clone(core), running.background.clone()));
    tracker.spawn(serve_waiting(Arc::clone(core), running.background.clone()));
    tracker.spawn(watch_pauses(Arc::clone(core), running.background.clone()));
    tracker.spawn(exchange_quotas(
        Arc::clone(core),
        running.background.clone(),
    ));
    let inbound = serve_inbound(
        Arc::clone(core),
        sender,
        peers,
        WireLimits {
            max_connections: limits.peers.min(PEER_LIMITS.max_connections),
            ..PEER_LIMITS
        },
        running.callers.clone(),
    );
    tracker.spawn(inbound);
    let core_for_requests = Arc::clone(core);
    let core_for_bounds = Arc::clone(core);
    tracker.spawn(serve_http(
        callers,
        move || caller_bounds(&core_for_bounds),
        Some(early_start(Arc::clone(core))),
        ConnectionGate::new("callers", limits.callers, limited.clone()),
        running.callers.clone(),
        move |peer, request| answer_caller(Arc::clone(&core_for_requests), peer, request),
    ));
    for listener in control {
        let core_for_requests = Arc::clone(core);
        tracker.spawn(serve_http(
            listener,
            || connection_bounds(&CallerLimits::default()),
            None,
            ConnectionGate::new("control", limits.control, limited.clone()),
            running.control.clone(),
            move |peer, request| answer_control(Arc::clone(&core_for_requests), peer, request),
        ));
    }
    running
}

async fn serve_waiting(core: Arc<ProxyCore>, token: CancellationToken) {
    tokio::select! {
        () = core.gate.serve_waiting() => {}
        () = token.cancelled() => {}
    }
}

/// Keeps the detector of pauses up to date and logs pauses, which explain late answers.
async fn watch_pauses(core: Arc<ProxyCore>, token: CancellationToken) {
    let watching = async {
        let mut logged = None;
        loop {
            sleep(OBSERVE_INTERVAL).await;
            let latest = core.pauses.observe();
            if let Some(pause) = latest.filter(|_| latest != logged) {
                let paused_ms = pause.length.as_millis() as u64;
                log::warn!(paused_ms; "the daemon was held up");
                logged = latest;
            }
        }
    };
    tokio::select! {
        () = watching => {}
        () = token.cancelled() => {}
    }
}

fn caller_bounds(core: &ProxyCore) -> ConnectionBounds {
    let table = core.table();
    let limits = table.map_or_else(CallerLimits::default, |table| *table.limits());
    connection_bounds(&limits)
}

fn connection_bounds(limits: &CallerLimits) -> ConnectionBounds {
    ConnectionBounds {
        // hyper has a single timer for idle connections and request heads, so it gets the
        // longer of the two times.
        head_timeout: limits.header_timeout.max(limits.idle_timeout),
        max_head_bytes: limits.max_header_bytes,
    }
}

/// Collects what decides whether a stopping daemon may end early.
fn stop_conditions(core: &ProxyCore) -> StopConditions {
    StopConditions {
        gate_idle: core.gate.is_idle(),
        since_last_request: core.time_since_caller_request(),
        target_available: core.local_target().available().is_some(),
    }
}

impl RunningTasks {
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
        while !plan.should_close(core.clock.now(), &stop_conditions(core)) {
            sleep(IDLE_POLL).await;
        }
        self.callers.cancel();
        self.stages.leave.cancel();
        self.background.cancel();
        self.tracker.close();
        core.tasks.close();
        let closing = async {
            // Readiness, reports and metrics are served until the other tasks have ended.
            while self.tracker.len() > CONTROL_LISTENERS {
                sleep(IDLE_POLL).await;
            }
            self.control.cancel();
            self.tracker.wait().await;
            core.pool.close().await;
            core.tasks.wait().await;
        };
        let answering = async {
            sleep_until(plan.answers_due().into()).await;
            core.answers_due.cancel();
            pending::<()>().await;
        };
        let ending = async {
            tokio::select! {
                () = closing => {}
                () = answering => {}
            }
        };
        if timeout_at(plan.cutoff().into(), ending).await.is_err() {
            log::warn!("stopped with requests in progress");
        }
    }
}
