//! Starts a daemon and stops it gracefully.
//!
//! A [`RunningDaemon`] owns its runtime. [`RunningDaemon::stop`] waits for the tasks and
//! threads that it started before it returns.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::Display;
use feed::{HttpLog, SharedLog};
use model::{ErrorKind, KindError, SharedClock, SystemClock};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use trace::EventKind;

use crate::accept::bind;
use crate::caller_listener::serve_callers;
use crate::control::{ControlEvent, ControlLoop};
use crate::core::DaemonCore;
use crate::log_jobs::LogJobRunner;
use crate::operator::{OperatorApi, serve_operators};
use crate::peer_listener::serve_daemons;
use crate::settings::DaemonSettings;

/// Result of starting a daemon; errors have the kind `LocalFailed`.
pub type Result<T> = model::Result<T>;

/// Capacity of the control loop's event queue.
const EVENT_QUEUE: usize = 1024;
/// Interval of the checks whether the drain has ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Minimum time of a drain, so that the other daemons learn of it before this one leaves.
const DRAIN_NOTICE: Duration = Duration::from_secs(3);
/// Time for the remaining tasks and blocking log jobs to end.
const BLOCKING_TIMEOUT: Duration = Duration::from_secs(5);

/// A running daemon.
#[derive(Debug)]
pub struct RunningDaemon {
    core: Arc<DaemonCore>,
    runtime: Runtime,
    events: mpsc::Sender<ControlEvent>,
    /// Cancelled to stop the listeners.
    listeners: CancellationToken,
    /// Cancelled when a planned stop is requested.
    stop: CancellationToken,
    /// The listeners and the control loop; other tasks belong to [`DaemonCore::tasks`].
    tasks: TaskTracker,
}

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StopOutcome {
    /// All calls in progress ended.
    #[display("all calls ended")]
    Drained,
    /// Calls were aborted at the drain timeout or by a second stop request.
    #[display("calls were aborted")]
    Forced,
}

impl RunningDaemon {
    /// Starts a daemon with the system clock and the log service from its settings.
    pub fn start(settings: DaemonSettings) -> Result<Self> {
        let log: SharedLog = Arc::new(HttpLog::new(&settings.log_url));
        Self::start_with(settings, log, SystemClock::shared())
    }

    /// Starts a daemon with the given log and clock.
    pub fn start_with(
        mut settings: DaemonSettings,
        log: SharedLog,
        clock: SharedClock,
    ) -> Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(settings.numbers.worker_threads as usize)
            .thread_name("quetzald")
            .enable_all()
            .build()
            .map_err(|error| KindError::new(ErrorKind::LocalFailed, error.to_string()))?;
        let callers = runtime.block_on(bind(settings.caller_address))?;
        let peers = runtime.block_on(bind(settings.peer_address))?;
        let operators = runtime.block_on(bind(settings.operator_address))?;
        settings.caller_address = local_address(&callers)?;
        settings.peer_address = local_address(&peers)?;
        settings.operator_address = local_address(&operators)?;
        let core = Arc::new(DaemonCore::new(settings, clock)?);
        let (events, receiver) = mpsc::channel(EVENT_QUEUE);
        core.record_event(EventKind::Started, core.settings.domain.as_str());
        let daemon = Self {
            core,
            runtime,
            events,
            listeners: CancellationToken::new(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        daemon.spawn_operators(operators);
        daemon.spawn_tasks(callers, peers, receiver, log);
        Ok(daemon)
    }

    fn spawn_tasks(
        &self,
        callers: TcpListener,
        peers: TcpListener,
        receiver: mpsc::Receiver<ControlEvent>,
        log: SharedLog,
    ) {
        let handle = self.runtime.handle();
        let core = || Arc::clone(&self.core);
        let log_jobs = LogJobRunner::new(core(), log, self.events.clone());
        let control = ControlLoop::new(core(), log_jobs);
        self.tasks.spawn_on(control.run(receiver), handle);
        self.tasks.spawn_on(
            serve_callers(core(), callers, self.listeners.clone()),
            handle,
        );
        let serving = serve_daemons(core(), peers, self.events.clone(), self.listeners.clone());
        self.tasks.spawn_on(serving, handle);
    }

    fn spawn_operators(&self, listener: TcpListener) {
        let core = Arc::clone(&self.core);
        let api = OperatorApi::new(core, self.events.clone(), self.stop.clone());
        let serving = serve_operators(api, listener, self.listeners.clone());
        self.tasks.spawn_on(serving, self.runtime.handle());
    }

    /// Returns the address for operators and targets.
    pub fn operator_address(&self) -> SocketAddr {
        self.core.settings.operator_address
    }

    /// Returns the state shared by the daemon's tasks.
    pub fn core(&self) -> &Arc<DaemonCore> {
        &self.core
    }

    /// Returns the token that is cancelled when an operator requests a planned stop.
    pub fn stop_token(&self) -> &CancellationToken {
        &self.stop
    }

    /// Waits until a planned stop is requested.
    pub fn wait_for_stop(&self) {
        self.runtime.block_on(self.stop.cancelled());
    }

    /// Drains, leaves the membership and waits for all tasks; `force` aborts running calls.
    ///
    /// New calls are refused as not run, so that they can be sent to another daemon, and calls in
    /// progress can end. The other daemons learn of the drain before this one leaves.
    pub fn stop(self, force: &CancellationToken) -> StopOutcome {
        self.core.record_event(EventKind::DrainStarted, "");
        self.core.start_draining();
        let outcome = self.runtime.block_on(self.drain(force));
        self.core
            .record_event(EventKind::DrainEnded, &outcome.to_string());
        self.runtime.block_on(self.leave());
        let Self {
            runtime, events, ..
        } = self;
        drop(events);
        runtime.shutdown_timeout(BLOCKING_TIMEOUT);
        log::info!("stopped");
        outcome
    }

    async fn drain(&self, force: &CancellationToken) -> StopOutcome {
        // If the control loop has already ended, there is nothing left to drain.
        drop(self.events.send(ControlEvent::Drain).await);
        let started = Instant::now();
        loop {
            let notice_over = started.elapsed() >= DRAIN_NOTICE;
            let idle = self.core.local_targets.is_idle() && self.core.is_idle();
            if notice_over && idle && self.has_handed_over().await {
                return StopOutcome::Drained;
            }
            let timed_out = started.elapsed() >= self.core.settings.drain_timeout();
            if force.is_cancelled() || timed_out {
                return StopOutcome::Forced;
            }
            tokio::select! {
                () = tokio::time::sleep(DRAIN_POLL) => {}
                () = force.cancelled() => {}
            }
        }
    }

    /// Returns whether the keys of this home have been handed over, or the control loop has ended.
    async fn has_handed_over(&self) -> bool {
        let (sender, receiver) = oneshot::channel();
        let sent = self.events.send(ControlEvent::HasHandedOver(sender)).await;
        sent.is_err() || receiver.await.unwrap_or(true)
    }

    async fn leave(&self) {
        let (sender, receiver) = oneshot::channel();
        if self.events.send(ControlEvent::Leave(sender)).await.is_ok() {
            // An error means that the control loop has already ended.
            drop(receiver.await);
        }
        self.listeners.cancel();
        self.core.tasks.close();
        let closing = async {
            self.core.tasks.wait().await;
            self.tasks.close();
            self.core.pool.close().await;
            self.tasks.wait().await;
        };
        // Aborted calls may not end by themselves; the runtime drops their tasks.
        drop(tokio::time::timeout(BLOCKING_TIMEOUT, closing).await);
    }
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr> {
    listener
        .local_addr()
        .map_err(|error| KindError::new(ErrorKind::LocalFailed, error.to_string()))
}
