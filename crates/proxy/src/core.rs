//! State that the modules of one daemon share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use mesh::{
    ActiveConfig, BodyBudget, CallerLimits, EntryThrottle, EraTracker, FleetRetryBudget, LinkGate,
    LocalTarget, MeshTable, PauseDetector, QuotaLedger, RouteKey, RunLineage, StopPlan, StoreEra,
    WaitTracker, WeightedRoundRobin,
};
use model::{DaemonId, IncarnationNumber, SharedClock};
use once::HolderId;
use once::poison::{PoisonDetector, PoisonMessage, PoisonOutput, PoisonSettings};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::{LocalityPreference, PickerConfig, SlowStart, TargetLoad, TargetPicker};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::{PeerPool, WireLimits};

use crate::config_watch::ConfigSource;
use crate::desk::GateDesk;
use crate::edge::EdgeProtocol;
use crate::message::PeerRequest;
use crate::metrics::ProxyMetrics;
use crate::rollout_watch::RolloutBook;
use crate::settings::ProxySettings;
use crate::store::SharedStore;
use crate::suspects::store_suspect;
use crate::target_client::TargetClient;

/// Number of missed reports after which a target is no longer offered.
const MAX_MISSED_REPORTS: u32 = 4;

/// Slow start of new targets: on the platform they run at half speed for about three seconds.
const PLATFORM_SLOW_START: SlowStart = SlowStart {
    duration: Duration::from_secs(3),
    initial_share: 0.4,
};
/// Preference for near targets: bytes between failure domains are expensive, and a request that
/// has to wait a little in its own domain is usually still in time. When all domains are busy,
/// moving requests between them only costs bytes.
const PLATFORM_LOCALITY: LocalityPreference = LocalityPreference {
    spare_utilization: 1.1,
    slow_factor: 6.0,
    distance_factor: 8.0,
};
/// Expected time from the start until other daemons are known: one read of the store and one
/// round of messages, while all daemons start at once and each has a fraction of one core.
const JOIN_TIME: Duration = Duration::from_millis(250);
/// Minimum of the expected time until a daemon has joined; also assumed if joining takes longer
/// than [`JOIN_TIME`].
const MIN_JOIN_TIME: Duration = Duration::from_millis(100);
/// Longest time for which the answer to a request that crashed its target is held back until
/// the other daemons know of the crash.
const POISON_DELIVERY_TIME: Duration = Duration::from_millis(50);
/// Time after the start during which a daemon that knows no target of a service may still
/// learn of one.
const STARTING_TIME: Duration = Duration::from_secs(1);

/// Addresses at which the other daemons receive messages.
pub type PeerAddresses = HashMap<DaemonId, SocketAddr>;

/// Shared state of one daemon.
#[derive(Debug)]
pub struct ProxyCore {
    /// Settings read at the start.
    pub settings: ProxySettings,
    /// Header names and message formats of callers and targets.
    pub edge: EdgeProtocol,
    /// The platform's store.
    pub store: SharedStore,
    /// The clock.
    pub clock: SharedClock,
    /// Id of this daemon, a hash of its VM's name.
    pub id: DaemonId,
    /// Incarnation of this run of the daemon: its start time in Unix milliseconds.
    pub incarnation: IncarnationNumber,
    /// Connection pool to other daemons.
    pub pool: Arc<PeerPool>,
    /// Connections to the target beside the daemon.
    pub target_client: TargetClient,
    /// Pauses of this process.
    pub pauses: Arc<PauseDetector>,
    /// Admission control in front of the target beside the daemon.
    pub gate: GateDesk,
    /// Source of the configuration and the time at which the store last confirmed it.
    pub config_source: ConfigSource,
    /// Metrics of this daemon.
    pub metrics: ProxyMetrics,
    /// Admission of large bodies that arrive over the VM's link.
    pub link: LinkGate,
    /// Memory for request bodies.
    pub bodies: BodyBudget,
    /// Background tasks that end without being cancelled.
    pub tasks: TaskTracker,
    /// Wakes the membership loop after a change of the target beside the daemon.
    pub target_changed: Notify,
    /// Wakes tasks that wait for a first configuration or for the first targets.
    pub routing_changed: Notify,
    /// Cancelled in a planned stop when requests still in progress get a final answer.
    pub answers_due: CancellationToken,
    config: Mutex<ActiveConfig>,
    picker: Mutex<TargetPicker>,
    budget: Mutex<FleetRetryBudget>,
    rotations: Mutex<HashMap<RouteKey, WeightedRoundRobin>>,
    throttle: Mutex<EntryThrottle>,
    quota: Option<Mutex<QuotaLedger>>,
    caller_waits: Mutex<WaitTracker>,
    lineage: Mutex<RunLineage>,
    local_target: Mutex<LocalTarget>,
    poison: Mutex<PoisonDetector>,
    peers: Mutex<Arc<PeerAddresses>>,
    store_eras: Mutex<EraTracker>,
    rollouts: Mutex<RolloutBook>,
    last_caller_request: Mutex<Option<Instant>>,
    started_at: Instant,
    joined: AtomicBool,
    stop_plan: Mutex<Option<StopPlan>>,
}

impl ProxyCore {
    /// Creates the state of a daemon that has no configuration and knows no peers or targets.
    pub fn new(
        settings: ProxySettings,
        edge: EdgeProtocol,
        store: SharedStore,
        clock: SharedClock,
        limits: WireLimits,
    ) -> model::Result<Self> {
        let id = DaemonId(xxhash_rust::xxh3::xxh3_64(settings.vm.as_str().as_bytes()));
        let wall = clock.wall().duration_since(std::time::UNIX_EPOCH);
        let incarnation = IncarnationNumber(wall.map_or(0, |time| time.as_millis() as u64));
        let picker_config = PickerConfig {
            domain: settings.domain.clone(),
            region: settings.domains.iter().cloned().collect(),
            slow_start: PLATFORM_SLOW_START,
            locality: PLATFORM_LOCALITY,
        };
        let rng = SmallRng::from_rng(&mut rand::rng());
        let silence = settings.report_interval * MAX_MISSED_REPORTS;
        let holder = HolderId::new(id, incarnation);
        let pauses = Arc::new(PauseDetector::new(Arc::clone(&clock)));
        Ok(Self {
            config_source: ConfigSource::default(),
            metrics: ProxyMetrics::new()?,
            id,
            incarnation,
            pool: Arc::new(PeerPool::new(limits)),
            target_client: TargetClient::new(settings.target_address),
            gate: GateDesk::new(Arc::clone(&clock), Arc::clone(&pauses)),
            pauses,
            link: LinkGate::new(settings.link_bytes_per_s),
            bodies: BodyBudget::new(settings.memory),
            tasks: TaskTracker::new(),
            target_changed: Notify::new(),
            routing_changed: Notify::new(),
            answers_due: CancellationToken::new(),
            config: Mutex::default(),
            picker: Mutex::new(TargetPicker::new(picker_config, Arc::clone(&clock), rng)),
            budget: Mutex::new(FleetRetryBudget::new(settings.budget, 1)),
            rotations: Mutex::default(),
            quota: settings
                .quota
                .map(|bounds| Mutex::new(QuotaLedger::new(id, bounds))),
            throttle: Mutex::new(EntryThrottle::new(Arc::clone(&clock))),
            caller_waits: Mutex::new(WaitTracker::new(Arc::clone(&clock))),
            lineage: Mutex::default(),
            local_target: Mutex::new(LocalTarget::new(silence, Arc::clone(&clock))),
            poison: Mutex::new(PoisonDetector::new(
                holder,
                PoisonSettings::default(),
                Arc::clone(&clock),
            )),
            peers: Mutex::default(),
            store_eras: Mutex::default(),
            rollouts: Mutex::default(),
            last_caller_request: Mutex::default(),
            started_at: clock.now(),
            joined: AtomicBool::new(false),
            stop_plan: Mutex::default(),
            settings,
            edge,
            store,
            clock,
        })
    }

    /// Returns the configuration in force, if there is one.
    pub fn table(&self) -> Option<Arc<MeshTable>> {
        lock(&self.config).table().cloned()
    }

    /// Returns the time within which bytes of a caller's body must arrive.
    pub fn idle_timeout(&self) -> Duration {
        let table = self.table();
        let limits = table.map_or_else(CallerLimits::default, |table| *table.limits());
        limits.idle_timeout
    }

    /// Locks the configurations received so far.
    pub fn config(&self) -> MutexGuard<'_, ActiveConfig> {
        lock(&self.config)
    }

    /// Locks the target selection.
    pub fn picker(&self) -> MutexGuard<'_, TargetPicker> {
        lock(&self.picker)
    }

    /// Locks this daemon's share of the fleet's retry budget.
    pub fn budget(&self) -> MutexGuard<'_, FleetRetryBudget> {
        lock(&self.budget)
    }

    /// Locks the weighted round-robin state of each route.
    pub fn rotations(&self) -> MutexGuard<'_, HashMap<RouteKey, WeightedRoundRobin>> {
        lock(&self.rotations)
    }

    /// Locks the admission control of requests that enter the mesh here.
    pub fn throttle(&self) -> MutexGuard<'_, EntryThrottle> {
        lock(&self.throttle)
    }

    /// Locks the quotas of organisations; `None` if the deployment has none.
    pub fn quota(&self) -> Option<MutexGuard<'_, QuotaLedger>> {
        self.quota.as_ref().map(lock)
    }

    /// Locks the record of how long callers of refused requests have been waiting.
    pub fn caller_waits(&self) -> MutexGuard<'_, WaitTracker> {
        lock(&self.caller_waits)
    }

    /// Locks the requests that run at the target beside the daemon, with the calls they made.
    pub fn lineage(&self) -> MutexGuard<'_, RunLineage> {
        lock(&self.lineage)
    }

    /// Locks the state of the target beside the daemon.
    pub fn local_target(&self) -> MutexGuard<'_, LocalTarget> {
        lock(&self.local_target)
    }

    /// Returns the load of the target beside the daemon, to report with each answer.
    pub fn target_load(&self) -> TargetLoad {
        TargetLoad {
            leaving: self.local_target().is_leaving(),
            ..self.gate.load()
        }
    }

    /// Locks the detection of requests that crash targets.
    pub fn poison(&self) -> MutexGuard<'_, PoisonDetector> {
        lock(&self.poison)
    }

    /// Locks what is known of rollouts.
    pub fn rollouts(&self) -> MutexGuard<'_, RolloutBook> {
        lock(&self.rollouts)
    }

    /// Locks the eras of the store seen so far.
    pub fn store_eras(&self) -> MutexGuard<'_, EraTracker> {
        lock(&self.store_eras)
    }

    /// Records the store's era as reported by the store or another daemon. Returns whether a
    /// later one was already known.
    pub fn observe_store_era(&self, era: Option<StoreEra>) -> bool {
        let mut tracker = self.store_eras();
        let before = tracker.latest();
        let outdated = tracker.observe(era);
        if let (Some(before), Some(latest)) = (before, tracker.latest())
            && before < latest
        {
            log::warn!(before:% = before, latest:% = latest; "the store came back from an older copy");
        }
        outdated
    }

    /// Returns the addresses of the other daemons.
    pub fn peers(&self) -> Arc<PeerAddresses> {
        Arc::clone(&lock(&self.peers))
    }

    /// Replaces the addresses of the other daemons.
    pub fn set_peers(&self, addresses: PeerAddresses) {
        *lock(&self.peers) = Arc::new(addresses);
    }

    /// Returns whether the daemon accepts callers.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.joined.load(Ordering::Relaxed) && self.table().is_some()
    }

    /// Returns whether the other daemons are known, or that there are none.
    pub fn has_joined(&self) -> bool {
        self.joined.load(Ordering::Relaxed)
    }

    /// Records that the other daemons are known, or that there are none. Returns whether this
    /// is the first such call.
    pub fn mark_joined(&self) -> bool {
        !self.joined.swap(true, Ordering::Relaxed)
    }

    /// Returns the expected time until a daemon that has just started knows the others; zero if
    /// it has joined.
    pub fn time_to_join(&self) -> Duration {
        if self.joined.load(Ordering::Relaxed) {
            return Duration::ZERO;
        }
        let age = self.clock.now().saturating_duration_since(self.started_at);
        JOIN_TIME.saturating_sub(age).max(MIN_JOIN_TIME)
    }

    /// Returns whether the daemon started so recently that it may not know the others yet.
    pub fn is_starting(&self) -> bool {
        self.clock.now().saturating_duration_since(self.started_at) < STARTING_TIME
    }

    /// Waits up to `limit` for a configuration to be in force.
    pub async fn wait_for_config(&self, limit: Duration) {
        let waiting = async {
            loop {
                // Created before the check, so that a change in between still wakes it.
                let changed = self.routing_changed.notified();
                if self.table().is_some() {
                    break;
                }
                changed.await;
            }
        };
        // After the timeout the request is refused for lack of a configuration.
        let _elapsed = timeout(limit, waiting).await;
    }

    /// Records that a caller has sent a request.
    pub fn record_caller_request(&self) {
        *lock(&self.last_caller_request) = Some(self.clock.now());
    }

    /// Returns the time since the last request of a caller.
    pub fn time_since_caller_request(&self) -> Duration {
        let last = *lock(&self.last_caller_request);
        last.map_or(Duration::MAX, |at| {
            self.clock.now().saturating_duration_since(at)
        })
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        lock(&self.stop_plan).is_some()
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self, plan: StopPlan) {
        *lock(&self.stop_plan) = Some(plan);
    }

    /// Admits a request with this `deadline`, unless the daemon stops before that.
    ///
    /// The error is the time after which the daemon's next run may serve the request.
    pub fn admit_before_stop(&self, deadline: Instant) -> Result<(), Duration> {
        let plan = *lock(&self.stop_plan);
        plan.map_or(Ok(()), |plan| plan.admit(self.clock.now(), deadline))
    }

    /// Sends what was found about crashing requests to the other daemons and waits briefly until
    /// they have it, since the caller may repeat the request as soon as it has its answer.
    pub async fn deliver_poison(&self, outputs: Vec<PoisonOutput>) {
        let sending = self.send_poison(outputs);
        let delivery = async {
            for sent in sending {
                // The sending task logs a failure.
                let _ended = sent.await;
            }
        };
        if timeout(POISON_DELIVERY_TIME, delivery).await.is_err() {
            log::debug!("a crash is not known everywhere yet");
        }
    }

    /// Sends what was found about crashing requests to all other daemons, also a reply that
    /// concerns only one of them.
    pub fn send_poison(&self, outputs: Vec<PoisonOutput>) -> Vec<JoinHandle<()>> {
        let mut sending = Vec::new();
        for output in outputs {
            let message = match output {
                PoisonOutput::Broadcast(message) => message,
                PoisonOutput::ReplyCleared(fingerprints) => PoisonMessage::Cleared(fingerprints),
                PoisonOutput::Stopped(fingerprint) => {
                    log::warn!(print:% = fingerprint; "request stopped: it crashes targets");
                    store_suspect(self, fingerprint);
                    continue;
                }
            };
            let request = PeerRequest::Poison(message);
            let peers = self.peers();
            sending.extend(
                peers
                    .values()
                    .map(|address| self.send_message(*address, &request)),
            );
        }
        sending
    }

    /// Sends `request`, which has no body, to the daemon at `address` in a background task.
    pub fn send_message(&self, address: SocketAddr, request: &PeerRequest) -> JoinHandle<()> {
        let (pool, request) = (Arc::clone(&self.pool), request.clone());
        self.tasks.spawn(async move {
            if let Err(error) = pool.notify(address, &request).await {
                log::debug!(peer:% = address, cause:% = error; "message lost");
            }
        })
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
