//! Runs the membership protocol of [`members::MemberNode`] and publishes its view.
//!
//! The store is used for discovery only: each daemon keeps one record there and
//! reads those of the others once. From then on daemons gossip and monitor one
//! another directly.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use feed::port::{LogRecord, ReadReply, RecordBatch};
use members::{
    ExecutionTimeLevel, JoinTiming, MemberNode, MemberOutput, MemberProfile, MemberSettings,
    MemberState, TICK_INTERVAL, TargetDigest, TargetState, TargetView,
};
use mesh::quota::MemberCounts;
use mesh::{EraTagged, StoreEra, TreeMember, TreePosition};
use model::{CallCount, ClockPort, DaemonId, IncarnationNumber, LogOffset, ServiceName};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;

use crate::core::{PeerAddresses, ProxyCore};
use crate::message::PeerRequest;
use crate::quota_exchange::set_quota_members;
use crate::suspects::apply_stored_suspects;

/// Maximum number of queued events.
const INBOX_SIZE: usize = 1024;
/// Time for another daemon to acknowledge a message.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of unacknowledged messages to one daemon.
const MAX_IN_FLIGHT: usize = 4;
/// Minimum interval between announcements of the run time, as each goes to the whole fleet.
const RUN_TIME_INTERVAL: Duration = Duration::from_secs(2);
/// Age assumed for a target whose start time is unknown, which counts as warmed up.
const WARM_AGE: Duration = Duration::from_secs(60);
/// Interval between writes of this daemon's record; the store does not expire it.
const RECORD_INTERVAL: Duration = Duration::from_secs(3600);
/// Time since the last read of the store after which a daemon without peers accepts callers.
const SOLO_JOIN_DELAY: Duration = Duration::from_secs(2);
/// Timing for all daemons starting within one second, in which the store accepts one call of
/// each. The store keeps records of earlier runs, whose addresses are mostly still valid, so a
/// read does not wait for the records of this start.
const JOIN_TIMING: JoinTiming = JoinTiming {
    append_spread: Duration::from_millis(100),
    read_at_start: true,
    read_delay: Duration::ZERO,
    read_spread: Duration::from_millis(150),
    max_backoff: Duration::from_secs(1),
};

/// Sends events to the membership loop.
#[derive(Clone, Debug)]
pub struct MembershipSender {
    sender: mpsc::Sender<MembershipEvent>,
}

/// Events that the membership loop handles besides its ticks.
#[derive(Debug)]
pub enum MembershipEvent {
    /// A message from another daemon.
    Message(DaemonId, Vec<u8>),
    /// The records in the store, or none if the read failed.
    Records(Option<Vec<Box<[u8]>>>),
    /// This daemon's record was written, in this era of the store.
    Written(Option<StoreEra>),
    /// Writing this daemon's record failed.
    WriteFailed,
}

impl MembershipSender {
    /// Creates a sender and the inbox for the membership loop.
    pub fn new() -> (Self, mpsc::Receiver<MembershipEvent>) {
        let (sender, inbox) = mpsc::channel(INBOX_SIZE);
        (Self { sender }, inbox)
    }

    /// Queues a message of another daemon. If the inbox is full, the message is dropped; the
    /// protocol repeats its contents later.
    pub fn deliver(&self, from: DaemonId, bytes: Vec<u8>) {
        self.send(MembershipEvent::Message(from, bytes));
    }

    fn send(&self, event: MembershipEvent) {
        if self.sender.try_send(event).is_err() {
            log::warn!("membership inbox is full");
        }
    }
}

/// Stages of a planned stop.
#[derive(Clone, Debug, Default)]
pub struct StopStages {
    /// Cancelled when the other daemons are to be told that this one takes no more requests.
    pub drain: CancellationToken,
    /// Cancelled when the daemon is to leave the membership.
    pub leave: CancellationToken,
}

/// Membership loop of one daemon.
pub struct MembershipLoop {
    core: Arc<ProxyCore>,
    sender: MembershipSender,
    node: MemberNode,
    in_flight: Arc<std::sync::Mutex<HashMap<SocketAddr, usize>>>,
    view_changed: bool,
    /// Era of the store in which this daemon's record was last written.
    record_era: Option<EraTagged<()>>,
    read_at: Option<Instant>,
    /// Run time of the local target as last announced.
    run_time: ExecutionTimeLevel,
    run_time_announced_at: Instant,
}

impl MembershipLoop {
    /// Creates a loop that knows no other daemon yet.
    pub fn new(core: Arc<ProxyCore>, sender: MembershipSender) -> Self {
        let node = new_node(&core, core.incarnation);
        Self {
            core,
            sender,
            node,
            in_flight: Arc::default(),
            view_changed: true,
            record_era: None,
            read_at: None,
            run_time: ExecutionTimeLevel::default(),
            run_time_announced_at: Instant::now(),
        }
    }

    /// Runs until the daemon has left.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<MembershipEvent>, stages: StopStages) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut drained = false;
        let core = Arc::clone(&self.core);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.announce_run_time();
                    self.rewrite_lost_record();
                    let outputs = self.node.on_tick();
                    self.execute(outputs);
                }
                event = inbox.recv() => {
                    let Some(event) = event else { return };
                    self.on_event(event);
                }
                () = core.target_changed.notified() => {
                    let outputs = self.node.set_targets_now(target_digests(&core, self.run_time));
                    self.execute(outputs);
                    self.view_changed = true;
                }
                () = stages.drain.cancelled(), if !drained => {
                    drained = true;
                    self.node.drain();
                    let outputs = self.node.on_tick();
                    self.execute(outputs);
                }
                () = stages.leave.cancelled() => {
                    let outputs = self.node.leave();
                    self.execute(outputs);
                    return;
                }
            }
            self.mark_joined();
            if std::mem::take(&mut self.view_changed) {
                self.publish();
            }
        }
    }

    fn on_event(&mut self, event: MembershipEvent) {
        match event {
            MembershipEvent::Message(from, bytes) => match members::decode_message(&bytes) {
                Ok(message) => {
                    let outputs = self.node.on_message(from, message);
                    self.execute(outputs);
                }
                Err(error) => log::warn!(peer:% = from, cause:% = error; "message unreadable"),
            },
            MembershipEvent::Records(Some(records)) => {
                self.read_at = Some(Instant::now());
                let outputs = self.node.on_read_answer(&record_batch(records));
                self.execute(outputs);
            }
            MembershipEvent::Records(None) => self.node.on_read_failed(),
            MembershipEvent::Written(era) => {
                self.core.observe_store_era(era);
                self.record_era = Some(EraTagged { value: (), era });
            }
            MembershipEvent::WriteFailed => self.node.on_append_failed(),
        }
    }

    /// Announces the run time of the local target when it has changed or is no longer known.
    fn announce_run_time(&mut self) {
        let mean = self.core.gate.mean_run_time();
        let run_time = mean.map_or_else(ExecutionTimeLevel::default, |mean| {
            self.run_time.adjusted_to(mean)
        });
        if run_time != self.run_time && self.run_time_announced_at.elapsed() >= RUN_TIME_INTERVAL {
            self.run_time = run_time;
            self.run_time_announced_at = Instant::now();
            self.node.set_targets(target_digests(&self.core, run_time));
        }
    }

    /// Writes this daemon's record again if the store has lost it.
    fn rewrite_lost_record(&mut self) {
        let latest = self.core.store_eras().latest();
        if self
            .record_era
            .is_some_and(|tagged| !tagged.is_current(latest))
        {
            self.record_era = None;
            self.node.on_record_lost();
        }
    }

    /// Marks the daemon as joined once it knows another one, or when there is none to learn of.
    fn mark_joined(&mut self) {
        let waited = self
            .read_at
            .is_some_and(|at| at.elapsed() >= SOLO_JOIN_DELAY);
        let joined = self.node.live_count() > 1 || waited;
        if joined && self.core.mark_joined() {
            log::info!(members = self.node.live_count(); "membership joined");
            // The quotas need the number of members from now on.
            self.view_changed = true;
        }
    }

    fn execute(&mut self, outputs: Vec<MemberOutput>) {
        for output in outputs {
            match output {
                MemberOutput::Send {
                    address, message, ..
                }
                | MemberOutput::Contact { address, message } => {
                    self.send(address, &members::encode_message(&message));
                }
                MemberOutput::Append { body, .. } => self.write_record(body),
                MemberOutput::ReadMembers { from, .. } => self.read_records(from),
                MemberOutput::Changed(change) => {
                    log::info!(
                        member:% = change.id, before:? = change.before, state:% = change.state;
                        "member changed"
                    );
                    self.view_changed = true;
                }
                MemberOutput::Superseded => self.restart_node(),
            }
        }
    }

    /// Restarts the node with a higher incarnation, since another run of this daemon had a clock
    /// that was ahead and so has a higher one. The incarnation, a time in milliseconds, is raised
    /// by an hour; if it is still too low, this is repeated.
    fn restart_node(&mut self) {
        let last = self.node.own_record().stamp.incarnation;
        let next = IncarnationNumber(last.0 + RECORD_INTERVAL.as_millis() as u64);
        log::warn!(run:% = next; "a later run of this daemon is known; renumbering");
        self.node = new_node(&self.core, next);
        self.node
            .set_targets(target_digests(&self.core, self.run_time));
        self.view_changed = true;
    }

    /// Sends a message in a background task, or drops it if too many messages to `address` are
    /// unacknowledged.
    fn send(&self, address: SocketAddr, bytes: &[u8]) {
        if !reserve(&self.in_flight, address) {
            return;
        }
        let request = PeerRequest::Members {
            from: self.core.id,
            bytes: bytes.into(),
        };
        let (pool, in_flight) = (Arc::clone(&self.core.pool), Arc::clone(&self.in_flight));
        self.core.tasks.spawn(async move {
            match timeout(SEND_TIMEOUT, pool.notify(address, &request)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => log::debug!(peer:% = address, cause:% = error; "message lost"),
                Err(_) => log::debug!(peer:% = address; "message not taken in time"),
            }
            release(&in_flight, address);
        });
    }

    fn write_record(&self, body: Box<[u8]>) {
        let (core, sender) = (Arc::clone(&self.core), self.sender.clone());
        let leaving = self.core.is_stopping();
        self.core.tasks.spawn(async move {
            let written = if leaving {
                core.store.drop_member(core.id).await.map(|()| None)
            } else {
                core.store.put_member(core.id, body).await
            };
            match written {
                Ok(era) => sender.send(MembershipEvent::Written(era)),
                Err(error) => {
                    log::warn!(cause:% = error; "own record not written");
                    sender.send(MembershipEvent::WriteFailed);
                }
            }
        });
    }

    fn read_records(&self, from: LogOffset) {
        // `u64::MAX` asks for the end of the log. The store keeps only the newest record of each
        // daemon, so there is no end to look up.
        if from == LogOffset(u64::MAX) {
            self.sender.send(MembershipEvent::Records(Some(Vec::new())));
            return;
        }
        let (core, sender) = (Arc::clone(&self.core), self.sender.clone());
        self.core.tasks.spawn(async move {
            let members = match core.store.fleet_records().await {
                Ok(records) => {
                    apply_stored_suspects(&core, &records.suspects);
                    Some(records.members)
                }
                Err(error) => {
                    log::warn!(cause:% = error; "records of the members not read");
                    None
                }
            };
            sender.send(MembershipEvent::Records(members));
        });
    }

    /// Publishes the current view to the target selection, the peer addresses and the
    /// configuration source.
    fn publish(&self) {
        let mut addresses = PeerAddresses::new();
        let mut alive = Vec::new();
        let mut left = 0;
        for member in self.node.members() {
            left += usize::from(member.state == MemberState::Left);
            if member.id == self.core.id || !member.state.is_live() {
                continue;
            }
            addresses.insert(member.id, member.profile.peer_address);
            if member.state == MemberState::Alive && !member.draining {
                alive.push(TreeMember {
                    id: member.id,
                    domain: member.profile.domain,
                });
            }
        }
        let own = TreeMember {
            id: self.core.id,
            domain: self.core.settings.domain.clone(),
        };
        let position = TreePosition::new(&own, &alive);
        let live = addresses.len() + 1;
        set_quota_members(&self.core, &position, MemberCounts { live, left });
        self.core.config_source.set_tree_position(position);
        self.core.budget().resize(addresses.len() + 1);
        self.core.set_peers(addresses);
        let mut services: HashMap<ServiceName, Vec<route::TargetView>> = HashMap::new();
        for view in self.node.all_targets() {
            let service = view.digest.service.clone();
            let view = route_view(self.core.clock.as_ref(), view);
            services.entry(service).or_default().push(view);
        }
        let mut picker = self.core.picker();
        let gone: Vec<ServiceName> = picker
            .services()
            .filter(|service| !services.contains_key(*service))
            .cloned()
            .collect();
        for service in gone {
            picker.set_targets(&service, &[]);
        }
        for (service, views) in &services {
            picker.set_targets(service, views);
        }
        drop(picker);
        self.core.routing_changed.notify_waiters();
    }
}

impl std::fmt::Debug for MembershipLoop {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("MembershipLoop").finish_non_exhaustive()
    }
}

fn new_node(core: &ProxyCore, incarnation: IncarnationNumber) -> MemberNode {
    let settings = &core.settings;
    let profile = MemberProfile {
        name: settings.vm.clone(),
        peer_address: settings.advertised_address,
        caller_address: settings.caller_address,
        domain: settings.domain.clone(),
        region: settings.region.clone(),
    };
    let member = MemberSettings {
        id: core.id,
        incarnation,
        profile,
        record_interval: RECORD_INTERVAL,
        seeds: Vec::new(),
        join_timing: JOIN_TIMING,
    };
    let rng = SmallRng::from_rng(&mut rand::rng());
    MemberNode::new(member, Arc::clone(&core.clock), rng)
}

/// Returns what is announced of the target beside this daemon.
fn target_digests(core: &ProxyCore, run_time: ExecutionTimeLevel) -> Vec<TargetDigest> {
    let target = core.local_target();
    let Some(report) = target.available() else {
        return Vec::new();
    };
    let started = UNIX_EPOCH + Duration::from_millis(report.run.0);
    vec![TargetDigest {
        service: report.service.clone(),
        target: report.target.clone(),
        incarnation: report.run,
        address: core.settings.target_address,
        slots: report.slots,
        state: TargetState::Ready,
        load: members::LoadLevel::default(),
        execution_time: run_time,
        ready_since: (report.run.0 > 0).then_some(started),
        version: report.version.clone(),
    }]
}

/// Converts the membership's view of a target to that of the target selection.
pub fn route_view(clock: &dyn ClockPort, view: TargetView) -> route::TargetView {
    let wall = clock.wall();
    // A target without a start time is old: only a daemon that started after its target had to
    // probe it for its name, and probes do not return the start time.
    let age = view.digest.ready_since.map_or(WARM_AGE, |since| {
        wall.duration_since(since).unwrap_or_default()
    });
    let now = clock.now();
    let since = now.checked_sub(age).unwrap_or(now);
    route::TargetView {
        target: view.digest.target,
        daemon: view.daemon,
        domain: view.domain,
        version: view.digest.version,
        slots: view.digest.slots,
        connections: CallCount(u32::MAX),
        // A target in state `Starting` is not picked.
        state: if view.suspect {
            route::TargetState::Starting
        } else {
            route::TargetState::Ready
        },
        load: None,
        mean_run_time: view.digest.execution_time.duration(),
        since,
    }
}

fn record_batch(records: Vec<Box<[u8]>>) -> ReadReply {
    let records: Vec<LogRecord> = records
        .into_iter()
        .zip(0..)
        .map(|(body, offset)| LogRecord {
            offset: LogOffset(offset),
            at: UNIX_EPOCH,
            body,
        })
        .collect();
    ReadReply::Batch(RecordBatch {
        first: LogOffset(0),
        next: LogOffset(records.len() as u64),
        records,
    })
}

/// Counts a message to `address` as unacknowledged. Returns false if there are too many already.
fn reserve(in_flight: &std::sync::Mutex<HashMap<SocketAddr, usize>>, address: SocketAddr) -> bool {
    let mut counts = in_flight
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let count = counts.entry(address).or_default();
    let free = *count < MAX_IN_FLIGHT;
    if free {
        *count += 1;
    }
    free
}

/// Records that a message to `address` is no longer waiting for its acknowledgement.
fn release(in_flight: &std::sync::Mutex<HashMap<SocketAddr, usize>>, address: SocketAddr) {
    let mut counts = in_flight
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    if let Some(count) = counts.get_mut(&address) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&address);
        }
    }
}
