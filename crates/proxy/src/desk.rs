//! The gate beside the target, for requests that wait in tasks.
//!
//! [`PriorityGate`] decides; this module wakes the tasks that it names and gives
//! a place back when the task that holds it ends, however it ends.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use mesh::gate::StartList;
use mesh::{CallPriority, GateDecision, GateRequest, PriorityGate, RouteKey};
use model::{CallCount, ErrorKind, SharedClock};
use route::{CallId, TargetLoad};
use tokio::sync::{Notify, oneshot};

/// A place at the target, or why there is none.
pub type Result<T> = std::result::Result<T, DeskRefusal>;

/// A refusal of the gate; the request has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeskRefusal {
    /// Why.
    pub kind: ErrorKind,
    /// When to come back.
    pub retry_after: Duration,
}

/// What the gate needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct DeskRequest {
    /// Its route.
    pub route: RouteKey,
    /// Rank of the route.
    pub priority: CallPriority,
    /// Whether a running request made it.
    pub inner: bool,
    /// Until when its answer has its full worth.
    pub objective: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
}

/// The gate with those who wait at it.
pub struct GateDesk {
    state: Arc<Mutex<DeskState>>,
    changed: Arc<Notify>,
    clock: SharedClock,
    next_call: AtomicU64,
}

struct DeskState {
    gate: PriorityGate,
    waiters: HashMap<CallId, oneshot::Sender<Result<Duration>>>,
}

/// A place at the target; given back when dropped.
pub struct DeskPlace {
    state: Arc<Mutex<DeskState>>,
    call: CallId,
    /// Time for which the request waited.
    pub waited: Duration,
    done: bool,
}

impl GateDesk {
    /// A desk in front of a target that is not known yet, so nothing is admitted.
    pub fn new(clock: SharedClock) -> Self {
        let state = DeskState {
            gate: PriorityGate::new(CallCount(0), Arc::clone(&clock)),
            waiters: HashMap::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            changed: Arc::default(),
            clock,
            next_call: AtomicU64::new(0),
        }
    }

    /// Waits for a place at the target.
    pub async fn enter(&self, request: DeskRequest) -> Result<DeskPlace> {
        let call = CallId(self.next_call.fetch_add(1, Ordering::Relaxed));
        let ticket = GateRequest {
            call,
            route: request.route,
            priority: request.priority,
            inner: request.inner,
            objective: request.objective,
            deadline: request.deadline,
        };
        let mut place = DeskPlace {
            state: Arc::clone(&self.state),
            call,
            waited: Duration::ZERO,
            done: false,
        };
        let admission = {
            let mut state = lock(&self.state);
            match state.gate.admit(&ticket) {
                GateDecision::Start => return Ok(place),
                GateDecision::Refuse { kind, retry_after } => {
                    place.done = true;
                    return Err(DeskRefusal { kind, retry_after });
                }
                GateDecision::Wait => {
                    let (sender, waiter) = oneshot::channel();
                    state.waiters.insert(call, sender);
                    waiter
                }
            }
        };
        self.changed.notify_one();
        match admission.await {
            Ok(Ok(waited)) => {
                place.waited = waited;
                Ok(place)
            }
            Ok(Err(refusal)) => {
                place.done = true;
                Err(refusal)
            }
            // The desk lives as long as the daemon; a lost sender means that it stops.
            Err(_) => Err(DeskRefusal {
                kind: ErrorKind::Draining,
                retry_after: Duration::ZERO,
            }),
        }
    }

    /// Refuses waiting requests whose time has run out, until the daemon stops.
    pub async fn expire_waiting(&self) {
        loop {
            let next = lock(&self.state).gate.next_expiry();
            let Some(at) = next else {
                self.changed.notified().await;
                continue;
            };
            let wait = at.saturating_duration_since(self.clock.now());
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.changed.notified() => continue,
            }
            let mut state = lock(&self.state);
            let expired = state.gate.expire();
            let retry_after = state.gate.retry_after();
            state.refuse(&expired, ErrorKind::QueueFull, retry_after);
        }
    }

    /// Admits requests to a target that runs `slots` at once.
    pub fn open(&self, slots: CallCount) {
        let mut state = lock(&self.state);
        state.gate.reopen();
        let started = state.gate.resize(slots);
        state.start(started);
    }

    /// Refuses new requests and those that wait; what runs goes on.
    pub fn close(&self) {
        let mut state = lock(&self.state);
        let refused = state.gate.drain();
        state.refuse(&refused, ErrorKind::Draining, Duration::ZERO);
    }

    /// Load of the target.
    pub fn load(&self) -> TargetLoad {
        lock(&self.state).gate.load()
    }

    /// How long runs take; none until some have ended.
    pub fn mean_run_time(&self) -> Option<Duration> {
        lock(&self.state).gate.mean_run_time()
    }

    /// When a place may be free.
    pub fn retry_after(&self) -> Duration {
        lock(&self.state).gate.retry_after()
    }

    /// Whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        lock(&self.state).gate.is_idle()
    }
}

impl fmt::Debug for GateDesk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GateDesk").finish_non_exhaustive()
    }
}

impl DeskState {
    fn start(&mut self, started: StartList) {
        for start in started {
            if let Some(sender) = self.waiters.remove(&start.call) {
                // A waiter that left gives its place back when it is dropped.
                let _ = sender.send(Ok(start.waited));
            }
        }
    }

    fn refuse(&mut self, calls: &[CallId], kind: ErrorKind, retry_after: Duration) {
        for call in calls {
            if let Some(sender) = self.waiters.remove(call) {
                // A waiter that left needs no answer.
                let _ = sender.send(Err(DeskRefusal { kind, retry_after }));
            }
        }
    }
}

impl DeskPlace {
    /// Gives the place back after a run; `failed` if the target failed it.
    pub fn finish(mut self, failed: bool) {
        self.done = true;
        let mut state = lock(&self.state);
        let started = state.gate.release(self.call, failed);
        state.start(started);
    }
}

impl Drop for DeskPlace {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let mut state = lock(&self.state);
        state.waiters.remove(&self.call);
        let started = state.gate.cancel(self.call);
        state.start(started);
    }
}

impl fmt::Debug for DeskPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DeskPlace")
            .field("call", &self.call)
            .finish_non_exhaustive()
    }
}

fn lock(state: &Mutex<DeskState>) -> MutexGuard<'_, DeskState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
