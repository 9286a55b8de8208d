//! What the modules of one daemon share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use mesh::{
    ActiveConfig, EntryThrottle, EraTracker, FleetRetryBudget, LinkGate, LocalTarget, MeshTable,
    RouteKey, RunLineage, StopPlan, StoreEra, WaitTracker, WeightedRoundRobin,
};
use model::{DaemonId, IncarnationNumber, SharedClock};
use once::HolderId;
use once::poison::{PoisonDetector, PoisonMessage, PoisonOutput, PoisonSettings};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::{PickerConfig, SlowStart, TargetPicker};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::task::TaskTracker;
use wire::{PeerPool, WireLimits};

use crate::config_watch::ConfigSource;
use crate::desk::GateDesk;
use crate::edge::EdgeProtocol;
use crate::message::PeerRequest;
use crate::metrics::ProxyMetrics;
use crate::settings::ProxySettings;
use crate::store::SharedStore;
use crate::target_client::TargetClient;

/// Reports that a target may miss before it is not offered any more.
const MISSED_REPORTS: u32 = 4;

/// Targets of the platform are cold for about three seconds, in which they run at half speed.
const PLATFORM_SLOW_START: SlowStart = SlowStart {
    duration: Duration::from_secs(3),
    initial_share: 0.4,
};
/// Time from a start until other daemons are known: a read of the store and a round of
/// messages, while all daemons start and each has a part of one core.
const JOIN_TIME: Duration = Duration::from_millis(250);
/// Time in which a start that takes longer may end.
const LATE_JOIN_TIME: Duration = Duration::from_millis(100);
/// Time for which the answer of a request that crashed its target waits until others know.
const POISON_DELIVERY_TIME: Duration = Duration::from_millis(50);
/// Age up to which a daemon that knows no target of a service may hear of one any moment.
const STARTING_TIME: Duration = Duration::from_secs(1);

/// Other daemons and where they are reached.
pub type PeerAddresses = HashMap<DaemonId, SocketAddr>;

/// The state of one daemon.
#[derive(Debug)]
pub struct ProxyCore {
    /// Settings since the start.
    pub settings: ProxySettings,
    /// What callers and targets speak.
    pub edge: EdgeProtocol,
    /// The platform's store.
    pub store: SharedStore,
    /// The clock.
    pub clock: SharedClock,
    /// This daemon.
    pub id: DaemonId,
    /// This run.
    pub incarnation: IncarnationNumber,
    /// Connections to other daemons.
    pub pool: Arc<PeerPool>,
    /// Connections to the target beside the daemon.
    pub target_client: TargetClient,
    /// Admission to the target beside the daemon.
    pub gate: GateDesk,
    /// Where the configuration comes from.
    pub config_source: ConfigSource,
    /// Counters and histograms.
    pub metrics: ProxyMetrics,
    /// Large bodies on their way in.
    pub link: LinkGate,
    /// Tasks that end by themselves.
    pub tasks: TaskTracker,
    /// Wakes the membership after a change of the target.
    pub target_changed: Notify,
    /// Wakes what waits for a first configuration or for first targets.
    pub routing_changed: Notify,
    keeper: Mutex<ActiveConfig>,
    picker: Mutex<TargetPicker>,
    budget: Mutex<FleetRetryBudget>,
    turns: Mutex<HashMap<RouteKey, WeightedRoundRobin>>,
    throttle: Mutex<EntryThrottle>,
    patience: Mutex<WaitTracker>,
    lineage: Mutex<RunLineage>,
    own: Mutex<LocalTarget>,
    poison: Mutex<PoisonDetector>,
    peers: Mutex<Arc<PeerAddresses>>,
    eras: Mutex<EraTracker>,
    caller_at: Mutex<Option<Instant>>,
    started: Instant,
    joined: AtomicBool,
    stopping: Mutex<Option<StopPlan>>,
}

impl ProxyCore {
    /// The state of a daemon that starts.
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
        };
        let random = SmallRng::from_rng(&mut rand::rng());
        let silence = settings.report_interval * MISSED_REPORTS;
        let holder = HolderId::new(id, incarnation);
        Ok(Self {
            config_source: ConfigSource::default(),
            metrics: ProxyMetrics::new()?,
            id,
            incarnation,
            pool: Arc::new(PeerPool::new(limits)),
            target_client: TargetClient::new(settings.target_address),
            gate: GateDesk::new(Arc::clone(&clock)),
            link: LinkGate::new(settings.link_bytes_per_s),
            tasks: TaskTracker::new(),
            target_changed: Notify::new(),
            routing_changed: Notify::new(),
            keeper: Mutex::default(),
            picker: Mutex::new(TargetPicker::new(picker_config, Arc::clone(&clock), random)),
            budget: Mutex::new(FleetRetryBudget::new(settings.budget, 1)),
            turns: Mutex::default(),
            throttle: Mutex::new(EntryThrottle::new(Arc::clone(&clock))),
            patience: Mutex::new(WaitTracker::new(Arc::clone(&clock))),
            lineage: Mutex::default(),
            own: Mutex::new(LocalTarget::new(silence, Arc::clone(&clock))),
            poison: Mutex::new(PoisonDetector::new(
                holder,
                PoisonSettings::default(),
                Arc::clone(&clock),
            )),
            peers: Mutex::default(),
            eras: Mutex::default(),
            caller_at: Mutex::default(),
            started: clock.now(),
            joined: AtomicBool::new(false),
            stopping: Mutex::default(),
            settings,
            edge,
            store,
            clock,
        })
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<Arc<MeshTable>> {
        lock(&self.keeper).table().cloned()
    }

    /// Configurations seen so far.
    pub fn config(&self) -> MutexGuard<'_, ActiveConfig> {
        lock(&self.keeper)
    }

    /// The choice of targets.
    pub fn picker(&self) -> MutexGuard<'_, TargetPicker> {
        lock(&self.picker)
    }

    /// This daemon's share of repeats.
    pub fn budget(&self) -> MutexGuard<'_, FleetRetryBudget> {
        lock(&self.budget)
    }

    /// Turns of the routes with several destinations.
    pub fn rotations(&self) -> MutexGuard<'_, HashMap<RouteKey, WeightedRoundRobin>> {
        lock(&self.turns)
    }

    /// Admission of requests that enter here.
    pub fn throttle(&self) -> MutexGuard<'_, EntryThrottle> {
        lock(&self.throttle)
    }

    /// How long callers have been waiting already.
    pub fn caller_waits(&self) -> MutexGuard<'_, WaitTracker> {
        lock(&self.patience)
    }

    /// Requests that run at the target beside the daemon.
    pub fn lineage(&self) -> MutexGuard<'_, RunLineage> {
        lock(&self.lineage)
    }

    /// The target beside the daemon.
    pub fn own_target(&self) -> MutexGuard<'_, LocalTarget> {
        lock(&self.own)
    }

    /// Requests that crash targets.
    pub fn poison(&self) -> MutexGuard<'_, PoisonDetector> {
        lock(&self.poison)
    }

    /// Eras of the store.
    pub fn store_eras(&self) -> MutexGuard<'_, EraTracker> {
        lock(&self.eras)
    }

    /// Takes the era of an answer of the store, or as another daemon tells it; whether a later
    /// one was known already.
    pub fn observe_store_era(&self, era: Option<StoreEra>) -> bool {
        let mut watch = self.store_eras();
        let before = watch.latest();
        let outdated = watch.is_outdated(era);
        if let (Some(before), Some(latest)) = (before, watch.latest())
            && before < latest
        {
            log::warn!(before:% = before, latest:% = latest; "the store came back from an older copy");
        }
        outdated
    }

    /// Other daemons.
    pub fn peers(&self) -> Arc<PeerAddresses> {
        Arc::clone(&lock(&self.peers))
    }

    /// Replaces the other daemons.
    pub fn set_peers(&self, book: PeerAddresses) {
        *lock(&self.peers) = Arc::new(book);
    }

    /// Whether the daemon takes callers.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.joined.load(Ordering::Relaxed) && self.table().is_some()
    }

    /// Notes that the membership knows other daemons, or that there are none.
    ///
    /// Returns whether that was news.
    pub fn note_joined(&self) -> bool {
        !self.joined.swap(true, Ordering::Relaxed)
    }

    /// Time until a daemon that just started is expected to know others; none if it does.
    pub fn time_to_join(&self) -> Duration {
        if self.joined.load(Ordering::Relaxed) {
            return Duration::ZERO;
        }
        let age = self.clock.now().saturating_duration_since(self.started);
        JOIN_TIME.saturating_sub(age).max(LATE_JOIN_TIME)
    }

    /// Whether the daemon started so short a time ago that it may not know the others yet.
    pub fn is_starting(&self) -> bool {
        self.clock.now().saturating_duration_since(self.started) < STARTING_TIME
    }

    /// Waits until a configuration is in force, for `limit` at most.
    pub async fn wait_for_config(&self, limit: Duration) {
        let learning = async {
            loop {
                // Taken before the look, so that what comes between them wakes it.
                let learned = self.routing_changed.notified();
                if self.table().is_some() {
                    break;
                }
                learned.await;
            }
        };
        // Without a configuration the request is refused, which needs no other sign.
        let _elapsed = timeout(limit, learning).await;
    }

    /// Notes that a caller sends a request.
    pub fn note_caller_request(&self) {
        *lock(&self.caller_at) = Some(self.clock.now());
    }

    /// Time since the last request of a caller.
    pub fn time_since_caller_request(&self) -> Duration {
        let last = *lock(&self.caller_at);
        last.map_or(Duration::MAX, |at| {
            self.clock.now().saturating_duration_since(at)
        })
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        lock(&self.stopping).is_some()
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self, plan: StopPlan) {
        *lock(&self.stopping) = Some(plan);
    }

    /// Takes in a request that would end at `deadline`, unless the daemon ends before.
    ///
    /// The error is the time after which its next run may serve it.
    pub fn admit_before_stop(&self, deadline: Instant) -> Result<(), Duration> {
        let plan = *lock(&self.stopping);
        plan.map_or(Ok(()), |plan| plan.admit(self.clock.now(), deadline))
    }

    /// Tells the other daemons what the watch of crashing requests wants told, and waits until
    /// they have it, for a moment at most: a caller may repeat the request with its answer.
    pub async fn deliver_poison(&self, outputs: Vec<PoisonOutput>) {
        let telling = self.send_poison(outputs);
        let delivery = async {
            for told in telling {
                // How a message was lost is told by the task that sent it.
                let _ended = told.await;
            }
        };
        if timeout(POISON_DELIVERY_TIME, delivery).await.is_err() {
            log::debug!("a crash is not known everywhere yet");
        }
    }

    /// Tells the other daemons what the watch of crashing requests wants told.
    pub fn send_poison(&self, outputs: Vec<PoisonOutput>) -> Vec<JoinHandle<()>> {
        let mut telling = Vec::new();
        for output in outputs {
            let message = match output {
                PoisonOutput::Broadcast(message) => message,
                PoisonOutput::ReplyCleared(prints) => PoisonMessage::Cleared(prints),
                PoisonOutput::Stopped(print) => {
                    log::warn!(print:% = print; "request stopped: it crashes targets");
                    continue;
                }
            };
            let head = PeerRequest::Poison(message);
            let peers = self.peers();
            telling.extend(
                peers
                    .values()
                    .map(|address| self.send_message(*address, &head)),
            );
        }
        telling
    }

    /// Sends `head`, which is whole in itself, to the daemon at `address`.
    pub fn send_message(&self, address: SocketAddr, head: &PeerRequest) -> JoinHandle<()> {
        let (pool, head) = (Arc::clone(&self.pool), head.clone());
        self.tasks.spawn(async move {
            if let Err(error) = pool.tell(address, &head).await {
                log::debug!(peer:% = address, cause:% = error; "message lost");
            }
        })
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
