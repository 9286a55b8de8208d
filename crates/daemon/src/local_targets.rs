//! The targets beside this daemon: announcement, admission and calls to them.
//!
//! Whatever proxy a call comes from, it passes the gate of its target here, so
//! the target's slots hold over the whole fleet. Every refusal given before
//! the target was reached is proven not to have run; once bytes may have
//! reached the target a lost call's outcome is unknown.

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
use crate::in_flight::{InFlightRequest, report_target_restart};
use crate::peer_messages::{CallHead, CallRefusal, HeaderPair, ResponseHead, pack_headers};
use crate::target_client::TargetClient;
use crate::target_gate::{SlotGuard, TargetGate};

/// An answer, or why there is none.
pub type Result<T> = std::result::Result<T, CallRefusal>;

/// Prefix of the headers that this system sets.
const OWN_PREFIX: &str = "quetzal-";

/// The targets beside this daemon.
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

/// A call that holds its slot beside the target.
#[derive(Debug)]
pub struct AdmittedCall {
    gate: Arc<TargetGate>,
    pass: SlotGuard,
    address: SocketAddr,
    run: IncarnationNumber,
    deadline: Instant,
}

/// What ends with the body of an answer.
struct AnswerWatch {
    core: Arc<DaemonCore>,
    pass: SlotGuard,
    flight: InFlightRequest,
    address: SocketAddr,
}

/// A target's answer with its body.
#[derive(Debug)]
pub struct TargetAnswer {
    /// Status, headers and load.
    pub head: ResponseHead,
    /// The body; the call keeps its slot until it ends.
    pub body: CallBody,
}

impl LocalTargets {
    /// A desk without targets; `queue` calls may wait for each, answers stay within `bounds`.
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

    /// Takes a target's announcement; tells what changed.
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
        let (target, state) = (announcement.target.clone(), announcement.state);
        let (service, run) = (announcement.service.clone(), announcement.incarnation);
        let mut desk = self.lock();
        let before = desk.registry.target(&target);
        // A run that drained has ended as planned.
        let crashed = before.is_some_and(|old| old.incarnation < run && is_willing(old));
        let change = desk.registry.announce(announcement)?;
        let gate = desk.open_gate(&target, config, &self.clock);
        drop(desk);
        gate.resize(config);
        if crashed {
            report_target_restart(core, service, target);
        }
        match state {
            TargetState::Draining | TargetState::Gone => gate.drain(),
            TargetState::Starting | TargetState::Ready => {}
        }
        Ok(change)
    }

    /// Drops targets whose heartbeat stopped; tells what changed.
    pub fn on_tick(&self) -> Vec<TargetChange> {
        let mut desk = self.lock();
        let changes = desk.registry.on_tick();
        for change in &changes {
            if let Some(gate) = desk.gates.remove(&change.target) {
                gate.drain();
            }
        }
        changes
    }

    /// What the other daemons are told about the targets.
    pub fn digests(&self) -> Vec<TargetDigest> {
        self.lock().registry.digests()
    }

    /// Refuses new work for every target from now on.
    pub fn drain(&self) -> Vec<TargetChange> {
        let mut desk = self.lock();
        for gate in desk.gates.values() {
            gate.drain();
        }
        desk.registry.drain_all()
    }

    /// The run of a target that is present.
    pub fn incarnation_of(&self, target: &TargetName) -> Option<IncarnationNumber> {
        let desk = self.lock();
        desk.registry.target(target).map(|found| found.incarnation)
    }

    /// Whether no call runs or waits beside any target.
    pub fn is_idle(&self) -> bool {
        self.lock().gates.values().all(|gate| gate.is_idle())
    }

    /// Load of each target.
    pub fn loads(&self) -> Vec<(TargetName, TargetLoad)> {
        let desk = self.lock();
        let loads = desk
            .gates
            .iter()
            .map(|(name, gate)| (name.clone(), gate.load()));
        loads.collect()
    }

    /// Gives the call its slot, or refuses it before anything was sent to the target.
    pub async fn admit(&self, head: &CallHead) -> Result<AdmittedCall> {
        let deadline = self.clock.now() + head.remaining;
        let (gate, address, run) = self.find(head)?;
        let entered = gate.enter(&head.customer, head.class, deadline).await;
        let pass = entered.map_err(|error| refuse(&gate, error, SuspectReport::default()))?;
        Ok(AdmittedCall {
            gate,
            pass,
            address,
            run,
            deadline,
        })
    }

    /// Runs an admitted call on its target.
    pub async fn run(
        &self,
        core: &Arc<DaemonCore>,
        admitted: AdmittedCall,
        head: &CallHead,
        body: CallBody,
    ) -> Result<TargetAnswer> {
        let AdmittedCall {
            gate,
            mut pass,
            address,
            run,
            deadline,
        } = admitted;
        let flight = start(core, head, run).map_err(|error| {
            let news = core
                .keys
                .poison()
                .report_for(RequestFingerprint(head.print));
            refuse(&gate, error, news)
        })?;
        let mut forward = head.clone();
        forward.remaining = deadline.saturating_duration_since(self.clock.now());
        let sending = self.client.send(address, &forward, body);
        match timeout(forward.remaining, sending).await {
            Ok(Ok(response)) => {
                let watch = AnswerWatch {
                    core: Arc::clone(core),
                    pass,
                    flight,
                    address,
                };
                Ok(self.answer_with(response, &gate, watch))
            }
            Ok(Err(error)) => {
                pass.mark_failed();
                // A target that took no connection did not see this request.
                if error.kind == ErrorKind::TargetAbsent {
                    return Err(refuse(&gate, error, SuspectReport::default()));
                }
                let remaining = deadline.saturating_duration_since(self.clock.now());
                let news = flight.on_disconnect(address, remaining).await;
                Err(refuse(&gate, error, news))
            }
            Err(_) => Err(refuse(&gate, out_of_time(), SuspectReport::default())),
        }
    }

    fn answer_with(
        &self,
        response: Response<Incoming>,
        gate: &TargetGate,
        watch: AnswerWatch,
    ) -> TargetAnswer {
        let AnswerWatch {
            core,
            mut pass,
            mut flight,
            address,
        } = watch;
        let (parts, incoming) = response.into_parts();
        if parts.status.is_server_error() {
            pass.mark_failed();
        }
        let head = ResponseHead {
            status: parts.status.as_u16(),
            headers: without_own(pack_headers(&parts.headers)),
            load: gate.load(),
            waited: pass.waited,
        };
        let body = CallBody::from_target(incoming, self.bounds).on_end(move |end| {
            flight.set_completed(end == BodyEnd::Complete);
            if end == BodyEnd::Failed {
                pass.mark_failed();
                core.tasks
                    .spawn(flight.on_disconnect(address, Duration::ZERO));
            }
            drop(pass);
        });
        TargetAnswer { head, body }
    }

    fn find(&self, head: &CallHead) -> Result<(Arc<TargetGate>, SocketAddr, IncarnationNumber)> {
        let desk = self.lock();
        let target = head
            .target
            .as_ref()
            .ok_or_else(|| absent("no target named"))?;
        let announcement = desk
            .registry
            .target(target)
            .filter(|found| found.service == head.service)
            .ok_or_else(|| absent("the target is not beside this daemon"))?;
        match announcement.state {
            TargetState::Ready => {}
            TargetState::Draining => return Err(draining()),
            TargetState::Starting | TargetState::Gone => return Err(absent("not ready")),
        }
        let gate = desk.gates.get(target).ok_or_else(|| absent("no gate"))?;
        let run = announcement.incarnation;
        Ok((Arc::clone(gate), announcement.address, run))
    }

    fn lock(&self) -> MutexGuard<'_, LocalTargetsState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LocalTargetsState {
    /// The gate of `target`; a target that drained and came back gets a new one.
    fn open_gate(
        &mut self,
        target: &TargetName,
        config: GateConfig,
        clock: &SharedClock,
    ) -> Arc<TargetGate> {
        let fresh = || Arc::new(TargetGate::new(config, Arc::clone(clock)));
        let gate = self.gates.entry(target.clone()).or_insert_with(fresh);
        if gate.is_draining() && self.registry.target(target).is_some_and(is_willing) {
            *gate = fresh();
        }
        Arc::clone(gate)
    }
}

/// Lets a call go to the target: no request that crashes targets, no stale permit.
fn start(
    core: &Arc<DaemonCore>,
    head: &CallHead,
    run: IncarnationNumber,
) -> model::Result<InFlightRequest> {
    // From here on the flight ends when it is dropped.
    let flight = InFlightRequest::start(core, head, run)?;
    if !head.idempotent {
        let pass = head.pass.as_ref().ok_or_else(|| {
            KindError::new(ErrorKind::PermitInvalid, "a keyed call without a permit")
        })?;
        core.keys.issuer().redeem(pass)?;
    }
    Ok(flight)
}

fn is_willing(announcement: &TargetAnnouncement) -> bool {
    announcement.state < TargetState::Draining
}

/// Drops the headers that only this system sets: a target that passes on what
/// it was answered itself must not speak for its own call.
fn without_own(mut headers: Vec<HeaderPair>) -> Vec<HeaderPair> {
    headers.retain(|pair| !pair.name.starts_with(OWN_PREFIX));
    headers
}

fn refuse(gate: &TargetGate, error: KindError, news: SuspectReport) -> CallRefusal {
    let come_again = error.kind.properties().not_run && error.kind.properties().retryable;
    CallRefusal {
        retry_after: come_again.then(|| gate.retry_after().max(Duration::from_millis(10))),
        load: Some(gate.load()),
        news,
        ..error.into()
    }
}

fn out_of_time() -> KindError {
    KindError::new(
        ErrorKind::OutcomeUnknown,
        "the deadline passed while the target ran the call",
    )
}

fn absent(detail: &str) -> CallRefusal {
    KindError::new(ErrorKind::TargetAbsent, detail).into()
}

fn draining() -> CallRefusal {
    KindError::new(ErrorKind::Draining, "the target is draining").into()
}
