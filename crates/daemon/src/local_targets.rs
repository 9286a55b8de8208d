//! The targets of this daemon: their announcements, admission control and calls to them.
//!
//! Calls from every proxy pass the admission gate of the target here, so the target's slots
//! limit its calls from the whole fleet. A call that is refused before the target was
//! contacted is proven not to have run. Once bytes may have reached the target, the outcome
//! of a lost call is unknown.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::Response;
use hyper::body::Incoming;
use members::announce::{TargetAnnouncement, TargetChange, TargetRegistry, TargetState};
use members::digest::TargetDigest;
use model::{CallCount, ErrorKind, IncarnationNumber, KindError, SharedClock, TargetName};
use once::{RequestFingerprint, SuspectReport};
use route::{GateConfig, TargetLoad};
use tokio::time::timeout;

use crate::body::{BodyBounds, BodyEnd, CallBody};
use crate::core::DaemonCore;
use crate::flight::{InFlightRequest, report_target_restart};
use crate::peer_messages::{CallHead, CallRefusal, HeaderPair, ResponseHead, pack_headers};
use crate::target_client::TargetClient;
use crate::target_gate::{SlotGuard, TargetGate};

/// A target's answer, or the reason why there is none.
pub type Result<T> = std::result::Result<T, CallRefusal>;

/// Prefix of the response headers that only a daemon may set.
const DAEMON_HEADER_PREFIX: &str = "quetzal-";

/// The targets of this daemon.
#[derive(Debug)]
pub struct LocalTargets {
    clock: SharedClock,
    queue: CallCount,
    bounds: BodyBounds,
    client: TargetClient,
    state: Mutex<LocalTargetsState>,
}

#[derive(Debug)]
struct LocalTargetsState {
    registry: TargetRegistry,
    gates: HashMap<TargetName, Arc<TargetGate>>,
}

/// A call that holds a slot of its target.
#[derive(Debug)]
pub struct AdmittedCall {
    gate: Arc<TargetGate>,
    slot: SlotGuard,
    address: SocketAddr,
    incarnation: IncarnationNumber,
    deadline: Instant,
}

/// State that is kept until the body of an answer ends.
struct PendingAnswer {
    core: Arc<DaemonCore>,
    slot: SlotGuard,
    request: InFlightRequest,
    address: SocketAddr,
}

/// A target's answer with its body.
#[derive(Debug)]
pub struct TargetAnswer {
    /// Status and headers, with the target's load.
    pub head: ResponseHead,
    /// The body; the call holds its slot until the body ends.
    pub body: CallBody,
}

impl LocalTargets {
    /// Returns a registry without targets.
    ///
    /// Up to `queue` calls may wait for each target; `bounds` limit the bodies of answers.
    pub fn new(queue: CallCount, bounds: BodyBounds, clock: SharedClock) -> Self {
        Self {
            queue,
            bounds,
            client: TargetClient::new(),
            state: Mutex::new(LocalTargetsState {
                registry: TargetRegistry::new(Arc::clone(&clock)),
                gates: HashMap::new(),
            }),
            clock,
        }
    }

    /// Applies a target's announcement; returns the change of its state, if any.
    pub fn announce(
        &self,
        core: &Arc<DaemonCore>,
        announcement: TargetAnnouncement,
    ) -> model::Result<Option<TargetChange>> {
        let config = GateConfig {
            slots: announcement.slots,
            connections: announcement.connections,
            queue: self.queue,
        };
        let (target, announced) = (announcement.target.clone(), announcement.state);
        let (service, incarnation) = (announcement.service.clone(), announcement.incarnation);
        let mut state = self.lock();
        let before = state.registry.target(&target);
        // A target that drained before its restart ended as planned and did not crash.
        let crashed = before.is_some_and(|old| old.incarnation < incarnation && is_accepting(old));
        let change = state.registry.announce(announcement)?;
        let gate = state.open_gate(&target, config, &self.clock);
        drop(state);
        gate.resize(config);
        if crashed {
            report_target_restart(core, service, target);
        }
        match announced {
            TargetState::Draining | TargetState::Gone => gate.drain(),
            TargetState::Starting | TargetState::Ready => {}
        }
        Ok(change)
    }

    /// Drops targets whose heartbeats stopped; returns the changes.
    pub fn on_tick(&self) -> Vec<TargetChange> {
        let mut state = self.lock();
        let changes = state.registry.on_tick();
        for change in &changes {
            if let Some(gate) = state.gates.remove(&change.target) {
                gate.drain();
            }
        }
        changes
    }

    /// Returns what is announced to other daemons about the targets.
    pub fn digests(&self) -> Vec<TargetDigest> {
        self.lock().registry.digests()
    }

    /// Refuses new calls for every target from now on; returns the changes.
    pub fn drain(&self) -> Vec<TargetChange> {
        let mut state = self.lock();
        for gate in state.gates.values() {
            gate.drain();
        }
        state.registry.drain_all()
    }

    /// Returns the incarnation of a target that is present.
    pub fn incarnation_of(&self, target: &TargetName) -> Option<IncarnationNumber> {
        let state = self.lock();
        state.registry.target(target).map(|found| found.incarnation)
    }

    /// Returns whether no call is running on or queued for any target.
    pub fn is_idle(&self) -> bool {
        self.lock().gates.values().all(|gate| gate.is_idle())
    }

    /// Returns the load of each target.
    pub fn loads(&self) -> Vec<(TargetName, TargetLoad)> {
        let state = self.lock();
        let loads = state
            .gates
            .iter()
            .map(|(name, gate)| (name.clone(), gate.load()));
        loads.collect()
    }

    /// Waits for a slot for the call, or refuses it before anything is sent to the target.
    pub async fn admit(&self, head: &CallHead) -> Result<AdmittedCall> {
        let deadline = self.clock.now() + head.remaining;
        let (gate, address, incarnation) = self.find_target(head)?;
        let entered = gate.enter(&head.customer, head.class, deadline).await;
        let slot = entered.map_err(|error| refuse(&gate, error, SuspectReport::default()))?;
        Ok(AdmittedCall {
            gate,
            slot,
            address,
            incarnation,
            deadline,
        })
    }

    /// Sends an admitted call to its target.
    pub async fn run(
        &self,
        core: &Arc<DaemonCore>,
        admitted: AdmittedCall,
        head: &CallHead,
        body: CallBody,
    ) -> Result<TargetAnswer> {
        let AdmittedCall {
            gate,
            mut slot,
            address,
            incarnation,
            deadline,
        } = admitted;
        let request = begin_request(core, head, incarnation).map_err(|error| {
            let news = core
                .keys
                .poison()
                .report_for(RequestFingerprint(head.print));
            refuse(&gate, error, news)
        })?;
        let mut target_head = head.clone();
        target_head.remaining = deadline.saturating_duration_since(self.clock.now());
        let sending = self.client.send(address, &target_head, body);
        match timeout(target_head.remaining, sending).await {
            Ok(Ok(response)) => {
                let pending = PendingAnswer {
                    core: Arc::clone(core),
                    slot,
                    request,
                    address,
                };
                Ok(self.build_answer(response, &gate, pending))
            }
            Ok(Err(error)) => {
                slot.mark_failed();
                // The target accepted no connection, so it has not seen the request.
                if error.kind == ErrorKind::TargetAbsent {
                    return Err(refuse(&gate, error, SuspectReport::default()));
                }
                let remaining = deadline.saturating_duration_since(self.clock.now());
                let news = request.on_disconnect(address, remaining).await;
                Err(refuse(&gate, error, news))
            }
            Err(_) => Err(refuse(&gate, deadline_passed(), SuspectReport::default())),
        }
    }

    fn build_answer(
        &self,
        response: Response<Incoming>,
        gate: &TargetGate,
        pending: PendingAnswer,
    ) -> TargetAnswer {
        let PendingAnswer {
            core,
            mut slot,
            mut request,
            address,
        } = pending;
        let (parts, incoming) = response.into_parts();
        if parts.status.is_server_error() {
            slot.mark_failed();
        }
        let head = ResponseHead {
            status: parts.status.as_u16(),
            headers: strip_daemon_headers(pack_headers(&parts.headers)),
            load: gate.load(),
            waited: slot.waited,
        };
        let body = CallBody::from_target(incoming, self.bounds).on_end(move |end| {
            request.set_completed(end == BodyEnd::Complete);
            if end == BodyEnd::Failed {
                slot.mark_failed();
                core.tasks
                    .spawn(request.on_disconnect(address, Duration::ZERO));
            }
            drop(slot);
        });
        TargetAnswer { head, body }
    }

    fn find_target(
        &self,
        head: &CallHead,
    ) -> Result<(Arc<TargetGate>, SocketAddr, IncarnationNumber)> {
        let state = self.lock();
        let target = head
            .target
            .as_ref()
            .ok_or_else(|| absent("the call names no target"))?;
        let announcement = state
            .registry
            .target(target)
            .filter(|found| found.service == head.service)
            .ok_or_else(|| absent("this daemon has no such target of the service"))?;
        match announcement.state {
            TargetState::Ready => {}
            TargetState::Draining => return Err(draining()),
            TargetState::Starting | TargetState::Gone => return Err(absent("target is not ready")),
        }
        let gate = state
            .gates
            .get(target)
            .ok_or_else(|| absent("the target has no admission gate"))?;
        let incarnation = announcement.incarnation;
        Ok((Arc::clone(gate), announcement.address, incarnation))
    }

    fn lock(&self) -> MutexGuard<'_, LocalTargetsState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LocalTargetsState {
    /// Returns the gate of `target`; a target that returns after draining gets a new one.
    fn open_gate(
        &mut self,
        target: &TargetName,
        config: GateConfig,
        clock: &SharedClock,
    ) -> Arc<TargetGate> {
        let fresh = || Arc::new(TargetGate::new(config, Arc::clone(clock)));
        let gate = self.gates.entry(target.clone()).or_insert_with(fresh);
        if gate.is_draining() && self.registry.target(target).is_some_and(is_accepting) {
            *gate = fresh();
        }
        Arc::clone(gate)
    }
}

/// Checks right before sending that the request is not known to crash targets and that its
/// credentials are valid.
fn begin_request(
    core: &Arc<DaemonCore>,
    head: &CallHead,
    incarnation: IncarnationNumber,
) -> model::Result<InFlightRequest> {
    // From here on, dropping the value ends the tracking of the request.
    let request = InFlightRequest::start(core, head, incarnation)?;
    if !head.idempotent {
        let credentials = head.pass.as_ref().ok_or_else(|| {
            KindError::new(
                ErrorKind::PermitInvalid,
                "the non-idempotent call carries no credentials",
            )
        })?;
        core.keys.issuer().redeem(credentials)?;
    }
    Ok(request)
}

fn is_accepting(announcement: &TargetAnnouncement) -> bool {
    announcement.state < TargetState::Draining
}

/// Removes headers that only a daemon may set.
///
/// A target may forward the headers of a response that it received itself; they say nothing
/// about the call that the target is answering.
fn strip_daemon_headers(mut headers: Vec<HeaderPair>) -> Vec<HeaderPair> {
    headers.retain(|pair| !pair.name.starts_with(DAEMON_HEADER_PREFIX));
    headers
}

fn refuse(gate: &TargetGate, error: KindError, news: SuspectReport) -> CallRefusal {
    let may_retry = error.kind.properties().not_run && error.kind.properties().retryable;
    CallRefusal {
        retry_after: may_retry.then(|| gate.retry_after().max(Duration::from_millis(10))),
        load: Some(gate.load()),
        news,
        ..error.into()
    }
}

fn deadline_passed() -> KindError {
    KindError::new(
        ErrorKind::OutcomeUnknown,
        "the deadline passed while the call ran on the target",
    )
}

fn absent(detail: &str) -> CallRefusal {
    KindError::new(ErrorKind::TargetAbsent, detail).into()
}

fn draining() -> CallRefusal {
    KindError::new(ErrorKind::Draining, "the target is draining").into()
}
