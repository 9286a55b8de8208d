//! Asynchronous admission of requests to the target beside the daemon.
//!
//! [`PriorityGate`] decides which requests run, wait or are refused. This module
//! wakes the tasks of waiting requests and releases a slot when the task that
//! holds it ends or is cancelled.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use mesh::gate::StartList;
use mesh::{CallPriority, GateDecision, GateRequest, PauseDetector, PriorityGate, RouteKey};
use model::{CallCount, CallRate, ErrorKind, SharedClock};
use route::{CallId, TargetLoad, TargetPace};
use tokio::sync::{Notify, oneshot};

/// Result of asking for a slot at the target.
pub type Result<T> = std::result::Result<T, DeskRefusal>;

/// Refusal of a request that has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeskRefusal {
    /// Reason for the refusal.
    pub kind: ErrorKind,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

/// Properties of a request that decide on its admission.
#[derive(Clone, Copy, Debug)]
pub struct DeskRequest {
    /// Route of the request.
    pub route: RouteKey,
    /// Priority of the route.
    pub priority: CallPriority,
    /// Whether a request that runs at a target made this one.
    pub nested: bool,
    /// Time by which the request should be answered.
    pub objective: Instant,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Whether a response after the objective is worth waiting for.
    pub may_be_late: bool,
    /// Whether to refuse the request as `TargetBusy` instead of queuing it.
    pub may_reject: bool,
}

/// A [`PriorityGate`] and the tasks that wait for it.
pub struct GateDesk {
    shared: Arc<DeskShared>,
    clock: SharedClock,
    next_call: AtomicU64,
}

/// State of the desk, shared with the places at it.
struct DeskShared {
    state: Mutex<DeskState>,
    pauses: Arc<PauseDetector>,
    /// Wakes [`GateDesk::serve_waiting`] when [`PriorityGate::next_due`] may have changed.
    due_changed: Notify,
}

struct DeskState {
    gate: PriorityGate,
    waiters: HashMap<CallId, oneshot::Sender<Result<Duration>>>,
}

/// A reserved slot at the target; released when dropped.
pub struct DeskPlace {
    shared: Arc<DeskShared>,
    call: CallId,
    /// Time for which the request was queued.
    pub waited: Duration,
    released: bool,
}

impl GateDesk {
    /// Creates a closed gate: no target is known yet, so nothing is admitted.
    pub fn new(clock: SharedClock, pauses: Arc<PauseDetector>) -> Self {
        let state = DeskState {
            gate: PriorityGate::new(CallCount(0), Arc::clone(&clock)),
            waiters: HashMap::new(),
        };
        Self {
            shared: Arc::new(DeskShared {
                state: Mutex::new(state),
                pauses,
                due_changed: Notify::new(),
            }),
            clock,
            next_call: AtomicU64::new(0),
        }
    }

    /// Waits for a slot at the target.
    pub async fn enter(&self, request: DeskRequest) -> Result<DeskPlace> {
        let call = CallId(self.next_call.fetch_add(1, Ordering::Relaxed));
        let gate_request = GateRequest {
            call,
            route: request.route,
            priority: request.priority,
            nested: request.nested,
            objective: request.objective,
            deadline: request.deadline,
            may_be_late: request.may_be_late,
        };
        let mut place = DeskPlace {
            shared: Arc::clone(&self.shared),
            call,
            waited: Duration::ZERO,
            released: false,
        };
        let admission = {
            let mut state = self.lock();
            if request.may_reject && state.gate.is_busy() {
                place.released = true;
                return Err(DeskRefusal {
                    kind: ErrorKind::TargetBusy,
                    retry_after: Duration::ZERO,
                });
            }
            match state.gate.admit(&gate_request) {
                GateDecision::Start => return Ok(place),
                GateDecision::Refuse { kind, retry_after } => {
                    place.released = true;
                    return Err(DeskRefusal { kind, retry_after });
                }
                GateDecision::Wait => {
                    let (sender, waiter) = oneshot::channel();
                    state.waiters.insert(call, sender);
                    waiter
                }
            }
        };
        self.shared.due_changed.notify_one();
        match admission.await {
            Ok(Ok(waited)) => {
                place.waited = waited;
                Ok(place)
            }
            Ok(Err(refusal)) => {
                place.released = true;
                Err(refusal)
            }
            // Senders live as long as the daemon, so a dropped one means that it stops.
            Err(_) => Err(DeskRefusal {
                kind: ErrorKind::Draining,
                retry_after: Duration::ZERO,
            }),
        }
    }

    /// Starts queued requests when the target's limit allows it, and refuses them when their time
    /// has run out; never returns.
    pub async fn serve_waiting(&self) {
        loop {
            let next_due = self.lock().gate.next_due();
            let Some(at) = next_due else {
                self.shared.due_changed.notified().await;
                continue;
            };
            let wait = at.saturating_duration_since(self.clock.now());
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.shared.due_changed.notified() => continue,
            }
            let mut state = self.lock();
            let expired = state.gate.expire();
            let retry_after = state.gate.retry_after();
            state.refuse(&expired, ErrorKind::QueueFull, retry_after);
            let started = state.gate.start_paced();
            state.wake_started(started);
        }
    }

    /// Admits up to `slots` concurrent requests, at no higher rate than `limit`.
    pub fn open(&self, slots: CallCount, limit: Option<CallRate>) {
        // Before there are more slots, so that no waiting request precedes the limit.
        self.set_limit(limit);
        let mut state = self.lock();
        state.gate.reopen();
        let started = state.gate.resize(slots);
        state.wake_started(started);
        drop(state);
        self.shared.due_changed.notify_one();
    }

    /// Sets the limit that the target names.
    pub fn set_limit(&self, limit: Option<CallRate>) {
        let mut state = self.lock();
        let started = state.gate.set_limit(limit);
        state.wake_started(started);
        drop(state);
        self.shared.due_changed.notify_one();
    }

    /// Sets the pace that the target names.
    pub fn set_pace(&self, pace: TargetPace) {
        self.lock().gate.set_pace(pace);
    }

    /// Refuses new and queued requests; running ones continue.
    pub fn close(&self) {
        let mut state = self.lock();
        let refused = state.gate.drain();
        state.refuse(&refused, ErrorKind::Draining, Duration::ZERO);
    }

    /// Returns the current load of the target.
    pub fn load(&self) -> TargetLoad {
        self.lock().gate.load()
    }

    /// Returns the mean run time; none until some runs have ended.
    pub fn mean_run_time(&self) -> Option<Duration> {
        self.lock().gate.mean_run_time()
    }

    /// Returns the time after which a slot may be free.
    pub fn retry_after(&self) -> Duration {
        self.lock().gate.retry_after()
    }

    /// Returns whether no request runs or is queued.
    pub fn is_idle(&self) -> bool {
        self.lock().gate.is_idle()
    }

    fn lock(&self) -> MutexGuard<'_, DeskState> {
        self.shared.lock()
    }
}

impl fmt::Debug for GateDesk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GateDesk").finish_non_exhaustive()
    }
}

impl DeskShared {
    /// Locks the state, with the gate told of the latest pause of the process.
    fn lock(&self) -> MutexGuard<'_, DeskState> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(pause) = self.pauses.observe() {
            state.gate.record_pause(pause);
        }
        state
    }

    /// Wakes [`GateDesk::serve_waiting`] after a slot was released, if requests wait for the
    /// target's limit.
    fn notify_if_pacing(&self, state: MutexGuard<'_, DeskState>) {
        let is_pacing = state.gate.is_pacing();
        drop(state);
        if is_pacing {
            self.due_changed.notify_one();
        }
    }
}

impl DeskState {
    /// Wakes the tasks of requests that the gate has started.
    fn wake_started(&mut self, started: StartList) {
        for start in started {
            if let Some(sender) = self.waiters.remove(&start.call) {
                // A waiter that was cancelled releases its slot when its `DeskPlace` is dropped.
                let _ = sender.send(Ok(start.waited));
            }
        }
    }

    fn refuse(&mut self, calls: &[CallId], kind: ErrorKind, retry_after: Duration) {
        for call in calls {
            if let Some(sender) = self.waiters.remove(call) {
                // A waiter that was cancelled needs no answer.
                let _ = sender.send(Err(DeskRefusal { kind, retry_after }));
            }
        }
    }
}

impl DeskPlace {
    /// Takes `time` out of the run, in which the target was not at work.
    pub fn discount(&self, time: Duration) {
        self.shared.lock().gate.discount(self.call, time);
    }

    /// Releases the slot after a run; `failed` if the target failed the request.
    pub fn finish(mut self, failed: bool) {
        self.released = true;
        let mut state = self.shared.lock();
        let started = state.gate.release(self.call, failed);
        state.wake_started(started);
        self.shared.notify_if_pacing(state);
    }
}

impl Drop for DeskPlace {
    fn drop(&mut self) {
        if self.released {
            return;
        }
        let mut state = self.shared.lock();
        state.waiters.remove(&self.call);
        let started = state.gate.cancel(self.call);
        state.wake_started(started);
        self.shared.notify_if_pacing(state);
    }
}

impl fmt::Debug for DeskPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DeskPlace")
            .field("call", &self.call)
            .finish_non_exhaustive()
    }
}
