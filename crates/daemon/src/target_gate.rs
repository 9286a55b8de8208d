//! Admission beside a target, for concurrent calls.
//!
//! Wraps the decisions of [`AdmissionGate`] so that a call can wait for its
//! slot. A call that is dropped while it waits or runs gives its place back.

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

/// Results of admission; the error is proven not to have run.
///
/// Kinds: `QueueFull`, `Draining`, `DeadlineExceeded`, `Overloaded`.
pub type Result<T> = model::Result<T>;

/// Admission of one target.
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

/// A call's place beside the target; given back when dropped.
#[derive(Debug)]
pub struct SlotGuard {
    gate: Arc<TargetGate>,
    call: CallId,
    failed: bool,
    /// How long the call waited.
    pub waited: Duration,
}

impl SlotGuard {
    /// Notes that the target failed this call.
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
    /// A gate without calls.
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
        let (call, receiver) = self.ask(customer, class, deadline)?;
        // From here on the pass gives the place back, whatever happens.
        let mut pass = SlotGuard {
            gate: Arc::clone(self),
            call,
            failed: false,
            waited: Duration::ZERO,
        };
        let Some(receiver) = receiver else {
            return Ok(pass);
        };
        let left = deadline.saturating_duration_since(self.clock.now());
        match timeout(left, receiver).await {
            Ok(Ok(started)) => {
                pass.waited = started?;
                Ok(pass)
            }
            Ok(Err(_)) => Err(refusal(ErrorKind::Draining)),
            Err(_) => Err(refusal(ErrorKind::DeadlineExceeded)),
        }
    }

    /// Load to carry in answers.
    pub fn load(&self) -> TargetLoad {
        self.lock().gate.load()
    }

    /// When a refused call may find a slot.
    pub fn retry_after(&self) -> Duration {
        self.lock().gate.retry_after()
    }

    /// Takes over another capacity.
    pub fn resize(&self, config: GateConfig) {
        let mut state = self.lock();
        let started = state.gate.resize(config);
        state.start(started);
    }

    /// Refuses new work, and the waiting calls, from now on.
    pub fn drain(&self) {
        let mut state = self.lock();
        for call in state.gate.drain() {
            state.refuse(call, ErrorKind::Draining);
        }
    }

    /// Whether new work is refused.
    pub fn is_draining(&self) -> bool {
        self.lock().gate.is_draining()
    }

    /// Whether no call runs or waits.
    pub fn is_idle(&self) -> bool {
        self.lock().gate.is_idle()
    }

    fn ask(
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

    fn leave(&self, left: FinishedCall) {
        let mut state = self.lock();
        state.waiting.remove(&left.call);
        let started = state.gate.leave(left);
        state.start(started);
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GateState {
    fn start(&mut self, started: StartList) {
        for start in started {
            if let Some(sender) = self.waiting.remove(&start.call) {
                // A receiver that left gives the slot back through its pass.
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
    KindError::new(kind, "refused beside the target")
}
