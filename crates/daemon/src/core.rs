//! What the parts of one daemon share.

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

/// Time for the next home to take an outcome.
const SETTLEMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Where each live member listens for peers.
pub type PeerAddresses = HashMap<DaemonId, SocketAddr>;

/// The daemons beside the targets of each service.
pub type ServiceDaemons = HashMap<ServiceName, Vec<DaemonId>>;

/// State shared by the tasks of one daemon.
#[derive(Debug)]
pub struct DaemonCore {
    /// Settings.
    pub settings: DaemonSettings,
    /// The daemon.
    pub id: DaemonId,
    /// This run of it.
    pub incarnation: IncarnationNumber,
    /// The clock.
    pub clock: SharedClock,
    /// The configuration in force, once there is one.
    pub table: ArcSwapOption<RouteTable>,
    /// The state that the table was built from, for operators.
    pub state: ArcSwapOption<ConfigState>,
    /// How current the configuration is.
    pub freshness: ArcSwap<FreshnessDeadlines>,
    /// Where members are reached.
    pub addresses: ArcSwap<PeerAddresses>,
    /// The daemons beside the targets of each service.
    pub services: ArcSwap<ServiceDaemons>,
    /// Targets beside this daemon.
    pub local_targets: LocalTargets,
    /// Keys, permits and poison requests.
    pub keys: Arc<OnceState>,
    /// Daemons that are homes of callers' keys.
    pub homes: ArcSwap<Vec<HolderId>>,
    /// Runs of live members.
    pub runs: ArcSwap<LiveIncarnations>,
    /// Connections to peers.
    pub pool: PeerPool,
    /// Counters.
    pub counters: CounterBoard,
    /// Events for the time line.
    trace: Mutex<EventRing>,
    /// Tasks that are joined at the end.
    pub tasks: TaskTracker,
    picker: Mutex<TargetPicker>,
    retries: Mutex<RetryPolicies>,
    limits: Mutex<LimitGate>,
    shedder: Mutex<LoadShedder>,
    draining: AtomicBool,
    open_calls: AtomicUsize,
}

impl DaemonCore {
    /// The state of a daemon that starts.
    pub fn new(settings: DaemonSettings, clock: SharedClock) -> Result<Self> {
        let id = settings.daemon_id();
        let incarnation = incarnation_now(&clock);
        let me = HolderId {
            daemon: id,
            incarnation,
        };
        let keys = Arc::new(OnceState::new(me, settings.untimed_keys, &clock));
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
            runs: ArcSwap::default(),
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

    /// Asks another daemon and waits for its answer.
    ///
    /// Kinds: `PeerUnavailable`, `OutcomeUnknown`, `FrameInvalid`, `FrameTooLarge`.
    pub async fn ask<T: DeserializeOwned>(
        &self,
        daemon: DaemonId,
        request: &PeerRequest,
        patience: Duration,
    ) -> model::Result<T> {
        let address = self.address_of(daemon)?;
        let asking = tokio::time::timeout(patience, self.pool.request(address, request));
        asking
            .await
            .unwrap_or_else(|elapsed| Err(late(address, &elapsed)))
    }

    /// Where a live daemon is reached.
    ///
    /// Kinds: `PeerUnavailable`.
    pub fn address_of(&self, daemon: DaemonId) -> model::Result<SocketAddr> {
        let address = self.addresses.load().get(&daemon).copied();
        address.ok_or_else(|| KindError::new(ErrorKind::PeerUnavailable, "the daemon has left"))
    }

    /// Sends an outcome to the home that took its book over.
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
        let telling = tokio::time::timeout(SETTLEMENT_TIMEOUT, self.pool.notify(address, &request));
        telling
            .await
            .unwrap_or_else(|elapsed| Err(late(address, &elapsed)))
    }

    /// Events for the time line.
    pub fn trace(&self) -> MutexGuard<'_, EventRing> {
        self.trace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a change of state: in the log lines and on the time line.
    pub fn record_event(&self, kind: EventKind, detail: &str) {
        if kind.class() == EventClass::Faults {
            log::warn!("{kind} {detail}");
        } else {
            log::info!("{kind} {detail}");
        }
        self.trace().record(kind, detail);
    }

    /// Notes that a target beside this daemon changed.
    pub fn record_target_change(&self, change: &TargetChange) {
        let kind = match change.state {
            // A cold start is no change that calls could notice.
            TargetState::Starting => return,
            TargetState::Ready => EventKind::TargetReady,
            TargetState::Draining => EventKind::TargetDraining,
            TargetState::Gone => EventKind::TargetGone,
        };
        self.record_event(kind, &format!("{}/{}", change.service, change.target));
    }

    /// Choice of targets.
    pub fn picker(&self) -> MutexGuard<'_, TargetPicker> {
        self.picker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Retries and their budgets.
    pub fn retries(&self) -> MutexGuard<'_, RetryPolicies> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Limits of the plans.
    pub fn limits(&self) -> MutexGuard<'_, LimitGate> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Shedding under overload.
    pub fn shedder(&self) -> MutexGuard<'_, LoadShedder> {
        self.shedder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this daemon takes no new calls.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Whether no caller's call is in progress.
    pub fn is_idle(&self) -> bool {
        self.open_calls.load(Ordering::Acquire) == 0
    }

    /// Takes no new calls from now on.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }
}

/// A caller's call in progress, counted until dropped.
#[derive(Debug)]
pub struct OpenCall(Arc<DaemonCore>);

impl OpenCall {
    /// Counts a call that begins.
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

fn late(address: SocketAddr, elapsed: &tokio::time::error::Elapsed) -> KindError {
    KindError::new(ErrorKind::OutcomeUnknown, format!("{address}: {elapsed}"))
}

/// A number above that of any earlier run: the wall time in milliseconds.
fn incarnation_now(clock: &SharedClock) -> IncarnationNumber {
    let since = clock.wall().duration_since(std::time::UNIX_EPOCH);
    IncarnationNumber(since.unwrap_or_default().as_millis() as u64)
}
