//! Admission control of one target for concurrent calls.
//!
//! Wraps [`AdmissionGate`], which makes the decisions, so that calls can wait for a slot. A
//! call that is dropped while it waits or runs releases its place.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use model::{CallClass, CustomerName, ErrorKind, KindError, SharedClock};
use route::admission::StartList;
use route::{
    AdmissionDecision, AdmissionGate, AdmissionRequest, CallId, FinishedCall, GateConfig,
    TargetLoad,
};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Result of admission; a call that gets an error is proven not to have run.
///
/// Kinds: `QueueFull`, `Draining`, `DeadlineExceeded`, `Overloaded`.
pub type Result<T> = model::Result<T>;

/// Admission control of one target.
#[derive(Debug)]
pub struct TargetGate {
    clock: SharedClock,
    state: Mutex<GateState>,
}

#[derive(Debug)]
struct GateState {
    gate: AdmissionGate,
    waiting: HashMap<CallId, oneshot::Sender<Result<Duration>>>,
    next_id: u64,
}

/// A call's slot or place in the queue of a target; released when dropped.
#[derive(Debug)]
pub struct SlotGuard {
    gate: Arc<TargetGate>,
    call: CallId,
    failed: bool,
    /// Time for which the call waited.
    pub waited: Duration,
}

impl SlotGuard {
    /// Records that the target failed this call.
    pub fn mark_failed(&mut self) {
        self.failed = true;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.gate.leave(FinishedCall {
            call: self.call,
            failed: self.failed,
        });
    }
}

impl TargetGate {
    /// Returns a gate without calls.
    pub fn new(config: GateConfig, clock: SharedClock) -> Self {
        Self {
            state: Mutex::new(GateState {
                gate: AdmissionGate::new(config, Arc::clone(&clock)),
                waiting: HashMap::new(),
                next_id: 0,
            }),
            clock,
        }
    }

    /// Waits for a slot until `deadline`.
    pub async fn enter(
        self: &Arc<Self>,
        customer: &CustomerName,
        class: CallClass,
        deadline: Instant,
    ) -> Result<SlotGuard> {
        let (call, receiver) = self.request_slot(customer, class, deadline)?;
        // From here on, dropping the guard releases the place.
        let mut guard = SlotGuard {
            gate: Arc::clone(self),
            call,
            failed: false,
            waited: Duration::ZERO,
        };
        let Some(receiver) = receiver else {
            return Ok(guard);
        };
        let remaining = deadline.saturating_duration_since(self.clock.now());
        match timeout(remaining, receiver).await {
            Ok(Ok(started)) => {
                guard.waited = started?;
                Ok(guard)
            }
            Ok(Err(_)) => Err(refusal(ErrorKind::Draining)),
            Err(_) => Err(refusal(ErrorKind::DeadlineExceeded)),
        }
    }

    /// Returns the target's load, which is sent in answers.
    pub fn load(&self) -> TargetLoad {
        self.lock().gate.load()
    }

    /// Returns the time after which a refused call may find a free slot.
    pub fn retry_after(&self) -> Duration {
        self.lock().gate.retry_after()
    }

    /// Applies a changed capacity and starts waiting calls that now fit.
    pub fn resize(&self, config: GateConfig) {
        let mut state = self.lock();
        let started = state.gate.resize(config);
        state.wake_started(started);
    }

    /// Refuses all waiting calls, and new calls from now on.
    pub fn drain(&self) {
        let mut state = self.lock();
        for call in state.gate.drain() {
            state.refuse(call, ErrorKind::Draining);
        }
    }

    /// Returns whether new calls are refused because of a drain.
    pub fn is_draining(&self) -> bool {
        self.lock().gate.is_draining()
    }

    /// Returns whether no call runs or waits.
    pub fn is_idle(&self) -> bool {
        self.lock().gate.is_idle()
    }

    fn request_slot(
        &self,
        customer: &CustomerName,
        class: CallClass,
        deadline: Instant,
    ) -> Result<(CallId, Option<oneshot::Receiver<Result<Duration>>>)> {
        let mut state = self.lock();
        state.next_id += 1;
        let call = CallId(state.next_id);
        let answer = state.gate.enter(&AdmissionRequest {
            call,
            customer: customer.clone(),
            class,
            deadline,
        });
        if let Some(displaced) = answer.displaced {
            state.refuse(displaced, ErrorKind::QueueFull);
        }
        match answer.decision {
            AdmissionDecision::Start => Ok((call, None)),
            AdmissionDecision::Refused(kind) => Err(refusal(kind)),
            AdmissionDecision::Queued => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(call, sender);
                Ok((call, Some(receiver)))
            }
        }
    }

    fn leave(&self, finished: FinishedCall) {
        let mut state = self.lock();
        state.waiting.remove(&finished.call);
        let started = state.gate.leave(finished);
        state.wake_started(started);
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GateState {
    /// Wakes waiting calls that the gate has started.
    fn wake_started(&mut self, started: StartList) {
        for start in started {
            if let Some(sender) = self.waiting.remove(&start.call) {
                // A call that was dropped meanwhile releases the slot through its guard.
                drop(sender.send(Ok(start.waited)));
            }
        }
    }

    fn refuse(&mut self, call: CallId, kind: ErrorKind) {
        if let Some(sender) = self.waiting.remove(&call) {
            drop(sender.send(Err(refusal(kind))));
        }
    }
}

fn refusal(kind: ErrorKind) -> KindError {
    KindError::new(kind, "refused by the admission control of the target")
}
