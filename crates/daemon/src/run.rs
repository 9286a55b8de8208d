//! One daemon from start to planned stop.
//!
//! A [`RunningDaemon`] owns its runtime; every task and thread that it starts
//! is joined before [`RunningDaemon::stop`] returns.

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

/// Results of starting a daemon; the kind is `LocalFailed`.
pub type Result<T> = model::Result<T>;

/// Events that may wait for the control loop.
const EVENT_QUEUE: usize = 1024;
/// Time between two looks whether a drain has ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Time in which the others learn of a drain before this daemon may leave.
const DRAIN_NOTICE: Duration = Duration::from_secs(3);
/// Time for blocking log jobs to end.
const BLOCKING_TIMEOUT: Duration = Duration::from_secs(5);

/// A daemon while it runs.
#[derive(Debug)]
pub struct RunningDaemon {
    core: Arc<DaemonCore>,
    runtime: Runtime,
    events: mpsc::Sender<ControlEvent>,
    listeners: CancellationToken,
    stop: CancellationToken,
    parts: TaskTracker,
}

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StopOutcome {
    /// Every call in progress ended.
    #[display("all calls ended")]
    Drained,
    /// Calls were cut off at the drain timeout or by a second request.
    #[display("calls were cut off")]
    Forced,
}

impl RunningDaemon {
    /// Starts a daemon with the machine's clock and the log of its settings.
    pub fn start(settings: DaemonSettings) -> Result<Self> {
        let log: SharedLog = Arc::new(HttpLog::new(&settings.log_url));
        Self::start_with(settings, log, SystemClock::shared())
    }

    /// Starts a daemon with another log or clock.
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
            parts: TaskTracker::new(),
        };
        daemon.spawn_operators(operators);
        daemon.spawn_parts(callers, peers, receiver, log);
        Ok(daemon)
    }

    fn spawn_parts(
        &self,
        callers: TcpListener,
        peers: TcpListener,
        receiver: mpsc::Receiver<ControlEvent>,
        log: SharedLog,
    ) {
        let handle = self.runtime.handle();
        let core = || Arc::clone(&self.core);
        let desk = LogJobRunner::new(core(), log, self.events.clone());
        let control = ControlLoop::new(core(), desk);
        self.parts.spawn_on(control.run(receiver), handle);
        self.parts.spawn_on(
            serve_callers(core(), callers, self.listeners.clone()),
            handle,
        );
        let serving = serve_daemons(core(), peers, self.events.clone(), self.listeners.clone());
        self.parts.spawn_on(serving, handle);
    }

    fn spawn_operators(&self, listener: TcpListener) {
        let core = Arc::clone(&self.core);
        let desk = OperatorApi::new(core, self.events.clone(), self.stop.clone());
        let serving = serve_operators(desk, listener, self.listeners.clone());
        self.parts.spawn_on(serving, self.runtime.handle());
    }

    /// The address for operators and targets.
    pub fn operator_address(&self) -> SocketAddr {
        self.core.settings.operator_address
    }

    /// The state shared by the daemon's parts.
    pub fn core(&self) -> &Arc<DaemonCore> {
        &self.core
    }

    /// Cancelled when an operator asks for a planned stop.
    pub fn stop_token(&self) -> &CancellationToken {
        &self.stop
    }

    /// Waits until a planned stop is asked for.
    pub fn wait_for_stop(&self) {
        self.runtime.block_on(self.stop.cancelled());
    }

    /// Drains, leaves and joins everything; `force` cuts off what still runs.
    ///
    /// New work is refused at once as not run and sent elsewhere; calls in
    /// progress end; the others learn of the drain before this daemon leaves.
    pub fn stop(self, force: &CancellationToken) -> StopOutcome {
        self.core.record_event(EventKind::DrainStarted, "");
        self.core.start_draining();
        let drained = self.runtime.block_on(self.drain(force));
        self.core
            .record_event(EventKind::DrainEnded, &drained.to_string());
        self.runtime.block_on(self.leave());
        let Self {
            runtime, events, ..
        } = self;
        drop(events);
        runtime.shutdown_timeout(BLOCKING_TIMEOUT);
        log::info!("stopped");
        drained
    }

    async fn drain(&self, force: &CancellationToken) -> StopOutcome {
        // A loop that has ended already has nothing left to drain.
        drop(self.events.send(ControlEvent::Drain).await);
        let started = Instant::now();
        loop {
            let known = started.elapsed() >= DRAIN_NOTICE;
            let ended = self.core.local_targets.is_idle() && self.core.is_idle();
            if known && ended && self.has_handed_over().await {
                return StopOutcome::Drained;
            }
            let late = started.elapsed() >= self.core.settings.drain_timeout();
            if force.is_cancelled() || late {
                return StopOutcome::Forced;
            }
            tokio::select! {
                () = tokio::time::sleep(DRAIN_POLL) => {}
                () = force.cancelled() => {}
            }
        }
    }

    /// Whether the keys decided here have another home by now.
    async fn has_handed_over(&self) -> bool {
        let (sender, receiver) = oneshot::channel();
        let asked = self.events.send(ControlEvent::HasHandedOver(sender)).await;
        asked.is_err() || receiver.await.unwrap_or(true)
    }

    async fn leave(&self) {
        let (sender, receiver) = oneshot::channel();
        if self.events.send(ControlEvent::Leave(sender)).await.is_ok() {
            // An error means that the loop has ended by itself.
            drop(receiver.await);
        }
        self.listeners.cancel();
        self.core.tasks.close();
        let closing = async {
            self.core.tasks.wait().await;
            self.parts.close();
            self.core.pool.close().await;
            self.parts.wait().await;
        };
        // What was forced may not end by itself; the runtime drops it.
        drop(tokio::time::timeout(BLOCKING_TIMEOUT, closing).await);
    }
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr> {
    listener
        .local_addr()
        .map_err(|error| KindError::new(ErrorKind::LocalFailed, error.to_string()))
}
