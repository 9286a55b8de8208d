//! What the parts of one daemon share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::{ArcSwap, ArcSwapOption};
use limits::{LimitGate, LoadShedder};
use model::{CallCount, DaemonId, IncarnationNumber, SharedClock};
use plans::{ConfigState, RouteTable};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::{PickerConfig, RetryPolicy, TargetPicker};
use smallvec::SmallVec;
use spread::{FreshnessCase, FreshnessReport};
use tokio_util::task::TaskTracker;
use wire::{PeerPool, WireLimits};

use crate::beside::BesideDesk;
use crate::body::BodyBounds;
use crate::counters::{CounterBoard, Result};
use crate::settings::DaemonSettings;

/// Where each live member listens for peers.
pub type AddressBook = HashMap<DaemonId, SocketAddr>;

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
    pub freshness: ArcSwap<FreshnessReport>,
    /// Where members are reached.
    pub addresses: ArcSwap<AddressBook>,
    /// Targets beside this daemon.
    pub beside: BesideDesk,
    /// Connections to peers.
    pub pool: PeerPool,
    /// Counters.
    pub counters: CounterBoard,
    /// Tasks that are joined at the end.
    pub tasks: TaskTracker,
    picker: Mutex<TargetPicker>,
    retries: Mutex<RetryPolicy>,
    limits: Mutex<LimitGate>,
    shedder: Mutex<LoadShedder>,
    draining: AtomicBool,
    open_calls: AtomicUsize,
}

impl DaemonCore {
    /// The state of a daemon that starts.
    pub fn new(settings: DaemonSettings, clock: SharedClock) -> Result<Self> {
        let id = settings.daemon_id();
        let picker_config = PickerConfig {
            domain: settings.domain.clone(),
            region: SmallVec::new(),
        };
        let random = || SmallRng::from_rng(&mut rand::rng());
        let absent = FreshnessReport {
            case: FreshnessCase::Absent,
            proof_age: None,
            outage_age: None,
        };
        let queue = CallCount(settings.numbers.queue_calls);
        let answer_bounds = BodyBounds {
            max_bytes: u64::MAX,
            idle_timeout: settings.idle_timeout(),
        };
        let wire_limits = WireLimits {
            max_connections: settings.numbers.peer_connections as usize,
            ..WireLimits::default()
        };
        Ok(Self {
            id,
            incarnation: incarnation_now(&clock),
            table: ArcSwapOption::empty(),
            state: ArcSwapOption::empty(),
            freshness: ArcSwap::from_pointee(absent),
            addresses: ArcSwap::default(),
            beside: BesideDesk::new(queue, answer_bounds, Arc::clone(&clock)),
            pool: PeerPool::new(wire_limits),
            counters: CounterBoard::open(settings.metrics_address)?,
            tasks: TaskTracker::new(),
            picker: Mutex::new(TargetPicker::new(
                picker_config,
                Arc::clone(&clock),
                random(),
            )),
            retries: Mutex::new(RetryPolicy::new()),
            limits: Mutex::new(LimitGate::new(id, Arc::clone(&clock))),
            shedder: Mutex::new(LoadShedder::new(Arc::clone(&clock), random())),
            draining: AtomicBool::new(false),
            open_calls: AtomicUsize::new(0),
            settings,
            clock,
        })
    }

    /// Choice of targets.
    pub fn picker(&self) -> MutexGuard<'_, TargetPicker> {
        self.picker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Retries and their budgets.
    pub fn retries(&self) -> MutexGuard<'_, RetryPolicy> {
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

    /// Counts a caller's call that begins; it ends with [`DaemonCore::close_call`].
    pub fn open_call(&self) {
        self.open_calls.fetch_add(1, Ordering::AcqRel);
    }

    /// Counts a call that ended.
    pub fn close_call(&self) {
        self.open_calls.fetch_sub(1, Ordering::AcqRel);
    }

    /// Whether no caller's call is in progress.
    pub fn is_quiet(&self) -> bool {
        self.open_calls.load(Ordering::Acquire) == 0
    }

    /// Takes no new calls from now on.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }
}

/// A number above that of any earlier run: the wall time in milliseconds.
fn incarnation_now(clock: &SharedClock) -> IncarnationNumber {
    let since = clock.wall().duration_since(std::time::UNIX_EPOCH);
    IncarnationNumber(since.unwrap_or_default().as_millis() as u64)
}
