//! State shared by the tasks of one daemon.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use limits::{LimitGate, LoadShedder};
use members::{TargetChange, TargetState};
use model::{
    ByteCount, CallCount, DaemonId, ErrorKind, IncarnationNumber, KindError, ServiceName,
    SharedClock,
};
use once::HolderId;
use once::home::HandedOutcome;
use plans::{ConfigState, RouteTable};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::{PickerConfig, RetryPolicies, TargetPicker};
use serde::de::DeserializeOwned;
use smallvec::SmallVec;
use spread::freshness::FreshnessDeadlines;
use tokio_util::task::TaskTracker;
use trace::{EventClass, EventKind, EventRing, ProcessIdentity};
use wire::{PeerPool, WireLimits};

use crate::body::BodyBounds;
use crate::counters::{CounterBoard, Result};
use crate::key_control::{OnceMessage, settlement_message};
use crate::local_targets::LocalTargets;
use crate::once_state::{LiveIncarnations, OnceState};
use crate::peer_messages::{ControlBatch, ControlMessage, PeerRequest};
use crate::settings::DaemonSettings;

/// Time for the next home of a key to accept an outcome.
const SETTLEMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Peer address of each live member.
pub type PeerAddresses = HashMap<DaemonId, SocketAddr>;

/// Daemons with targets of each service.
pub type ServiceDaemons = HashMap<ServiceName, Vec<DaemonId>>;

/// State shared by the tasks of one daemon.
#[derive(Debug)]
pub struct DaemonCore {
    /// Settings of this daemon.
    pub settings: DaemonSettings,
    /// Id of this daemon.
    pub id: DaemonId,
    /// Incarnation of this daemon; a restart has a higher one.
    pub incarnation: IncarnationNumber,
    /// Clock for all timing decisions.
    pub clock: SharedClock,
    /// Route table of the configuration in force, once there is one.
    pub table: ArcSwapOption<RouteTable>,
    /// Configuration state that the table was built from, for operators.
    pub state: ArcSwapOption<ConfigState>,
    /// How current the configuration is.
    pub freshness: ArcSwap<FreshnessDeadlines>,
    /// Peer addresses of live members.
    pub addresses: ArcSwap<PeerAddresses>,
    /// Daemons with targets of each service.
    pub services: ArcSwap<ServiceDaemons>,
    /// Targets of this daemon.
    pub local_targets: LocalTargets,
    /// State of keys, permits and requests that crash targets.
    pub keys: Arc<OnceState>,
    /// Daemons that are homes of idempotency keys.
    pub homes: ArcSwap<Vec<HolderId>>,
    /// Incarnations of live members.
    pub incarnations: ArcSwap<LiveIncarnations>,
    /// Connections to other daemons.
    pub pool: PeerPool,
    /// Event counters.
    pub counters: CounterBoard,
    /// Events for the timeline.
    trace: Mutex<EventRing>,
    /// Tasks that are awaited when the daemon stops.
    pub tasks: TaskTracker,
    picker: Mutex<TargetPicker>,
    retries: Mutex<RetryPolicies>,
    limits: Mutex<LimitGate>,
    shedder: Mutex<LoadShedder>,
    draining: AtomicBool,
    open_calls: AtomicUsize,
}

impl DaemonCore {
    /// Returns the state of a daemon that starts.
    pub fn new(settings: DaemonSettings, clock: SharedClock) -> Result<Self> {
        let id = settings.daemon_id();
        let incarnation = incarnation_now(&clock);
        let own_id = HolderId {
            daemon: id,
            incarnation,
        };
        let keys = Arc::new(OnceState::new(own_id, settings.untimed_keys, &clock));
        let trace_memory = ByteCount(u64::from(settings.numbers.trace_memory_kb) * 1024);
        let process = ProcessIdentity {
            daemon: id,
            incarnation,
            name: settings.name.clone(),
            domain: settings.domain.clone(),
        };
        let tasks = TaskTracker::new();
        let picker_config = PickerConfig {
            domain: settings.domain.clone(),
            region: SmallVec::new(),
            slow_start: route::SlowStart::default(),
            locality: route::LocalityPreference::default(),
        };
        let random = || SmallRng::from_rng(&mut rand::rng());
        let queue = CallCount(settings.numbers.queue_calls);
        let answer_bounds = BodyBounds {
            max_bytes: u64::MAX,
            idle_timeout: settings.idle_timeout(),
        };
        let wire_limits = WireLimits {
            max_connections: settings.numbers.peer_connections as usize,
            soft_max_connections: settings.numbers.peer_links as usize,
            ..WireLimits::default()
        };
        Ok(Self {
            id,
            incarnation,
            table: ArcSwapOption::empty(),
            state: ArcSwapOption::empty(),
            freshness: ArcSwap::from_pointee(FreshnessDeadlines::ABSENT),
            addresses: ArcSwap::default(),
            services: ArcSwap::default(),
            local_targets: LocalTargets::new(queue, answer_bounds, Arc::clone(&clock)),
            keys,
            homes: ArcSwap::default(),
            incarnations: ArcSwap::default(),
            pool: PeerPool::new(wire_limits),
            counters: CounterBoard::open(settings.metrics_address)?,
            tasks,
            picker: Mutex::new(TargetPicker::new(
                picker_config,
                Arc::clone(&clock),
                random(),
            )),
            retries: Mutex::new(RetryPolicies::new()),
            limits: Mutex::new(LimitGate::new(id, Arc::clone(&clock))),
            shedder: Mutex::new(LoadShedder::new(Arc::clone(&clock), random())),
            trace: Mutex::new(EventRing::new(process, trace_memory, Arc::clone(&clock))),
            draining: AtomicBool::new(false),
            open_calls: AtomicUsize::new(0),
            settings,
            clock,
        })
    }

    /// Sends a request to another daemon and waits for its answer.
    ///
    /// Kinds: `PeerUnavailable`, `OutcomeUnknown`, `FrameInvalid`, `FrameTooLarge`.
    pub async fn ask<T: DeserializeOwned>(
        &self,
        daemon: DaemonId,
        request: &PeerRequest,
        wait: Duration,
    ) -> model::Result<T> {
        let address = self.address_of(daemon)?;
        let answering = tokio::time::timeout(wait, self.pool.request(address, request));
        answering
            .await
            .unwrap_or_else(|elapsed| Err(timed_out(address, &elapsed)))
    }

    /// Returns the peer address of a live daemon.
    ///
    /// Kinds: `PeerUnavailable`.
    pub fn address_of(&self, daemon: DaemonId) -> model::Result<SocketAddr> {
        let address = self.addresses.load().get(&daemon).copied();
        address.ok_or_else(|| {
            KindError::new(
                ErrorKind::PeerUnavailable,
                "the daemon is not a live member",
            )
        })
    }

    /// Sends an outcome to the home that took over its key.
    pub fn forward_settlement(self: &Arc<Self>, handed: HandedOutcome) {
        let core = Arc::clone(self);
        self.tasks.spawn(async move {
            let (to, message) = settlement_message(handed);
            if let Err(error) = core.send_control(to, &message).await {
                core.counters.count_error(error.kind);
            }
        });
    }

    async fn send_control(&self, to: DaemonId, message: &OnceMessage) -> model::Result<()> {
        let batch = ControlBatch {
            from: self.id,
            address: self.settings.peer_address,
            stamp: self.trace().stamp(),
            messages: vec![ControlMessage::Once(wire::encode_message(message)?)],
        };
        let request = PeerRequest::Control(batch);
        let address = self.address_of(to)?;
        let sending = tokio::time::timeout(SETTLEMENT_TIMEOUT, self.pool.notify(address, &request));
        sending
            .await
            .unwrap_or_else(|elapsed| Err(timed_out(address, &elapsed)))
    }

    /// Returns the event ring of the timeline.
    pub fn trace(&self) -> MutexGuard<'_, EventRing> {
        self.trace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a state change as a log line and a timeline event.
    pub fn record_event(&self, kind: EventKind, detail: &str) {
        if kind.class() == EventClass::Faults {
            log::warn!("{kind} {detail}");
        } else {
            log::info!("{kind} {detail}");
        }
        self.trace().record(kind, detail);
    }

    /// Records a state change of a target of this daemon.
    pub fn record_target_change(&self, change: &TargetChange) {
        let kind = match change.state {
            // A starting target takes no calls yet, so calls are not affected.
            TargetState::Starting => return,
            TargetState::Ready => EventKind::TargetReady,
            TargetState::Draining => EventKind::TargetDraining,
            TargetState::Gone => EventKind::TargetGone,
        };
        self.record_event(kind, &format!("{}/{}", change.service, change.target));
    }

    /// Returns the picker, which selects the target of each call.
    pub fn picker(&self) -> MutexGuard<'_, TargetPicker> {
        self.picker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the retry policies and their budgets.
    pub fn retries(&self) -> MutexGuard<'_, RetryPolicies> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the limits of the customers' plans.
    pub fn limits(&self) -> MutexGuard<'_, LimitGate> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the load shedder.
    pub fn shedder(&self) -> MutexGuard<'_, LoadShedder> {
        self.shedder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this daemon refuses new calls.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns whether no caller's call is in progress.
    pub fn is_idle(&self) -> bool {
        self.open_calls.load(Ordering::Acquire) == 0
    }

    /// Refuses new calls from now on.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }
}

/// Counts a caller's call as in progress until dropped.
#[derive(Debug)]
pub struct OpenCall(Arc<DaemonCore>);

impl OpenCall {
    /// Starts counting a call.
    pub fn new(core: &Arc<DaemonCore>) -> Self {
        core.open_calls.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(core))
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.open_calls.fetch_sub(1, Ordering::AcqRel);
    }
}

fn timed_out(address: SocketAddr, elapsed: &tokio::time::error::Elapsed) -> KindError {
    KindError::new(ErrorKind::OutcomeUnknown, format!("{address}: {elapsed}"))
}

/// Returns the wall time in milliseconds, which is above the incarnations of earlier runs
/// unless the wall clock was set back.
fn incarnation_now(clock: &SharedClock) -> IncarnationNumber {
    let since = clock.wall().duration_since(std::time::UNIX_EPOCH);
    IncarnationNumber(since.unwrap_or_default().as_millis() as u64)
}
