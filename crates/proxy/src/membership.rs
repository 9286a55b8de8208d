//! Who takes part: drives [`members::MemberNode`] and publishes what it knows.
//!
//! The store serves for meeting only: a daemon keeps one record there and
//! reads the others' once. From then on daemons tell and watch one another.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use feed::port::{LogRecord, ReadAnswer, RecordBatch};
use members::{
    ExecutionTimeLevel, JoinTiming, MemberNode, MemberOutput, MemberProfile, MemberSettings,
    MemberState, TICK_INTERVAL, TargetDigest, TargetState, TargetView,
};
use mesh::{EraTagged, StoreEra, TreeMember, TreePosition};
use model::{CallCount, ClockPort, DaemonId, IncarnationNumber, LogOffset, ServiceName};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;

use crate::core::{PeerAddresses, ProxyCore};
use crate::message::PeerRequest;

/// Messages that may wait for the loop.
const INBOX_SIZE: usize = 1024;
/// Time for a daemon to take a message.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Messages that may be under way to one daemon.
const MAX_UNDER_WAY: usize = 4;
/// Delay of a tick above which it is told of; requests are answered that much too late.
const PAUSE_NOTED: Duration = Duration::from_millis(300);
/// Least time between two accounts of how long runs take: one goes to the whole fleet.
const PACE_INTERVAL: Duration = Duration::from_secs(2);
/// Age of a target whose start is not known; it is warm.
const LONG_AGO: Duration = Duration::from_secs(60);
/// Time between two writes of the own record, which the store keeps for good.
const RECORD_INTERVAL: Duration = Duration::from_secs(3600);
/// Time after a read of the store that named nobody, after which a daemon takes callers alone.
const LONE_TIME: Duration = Duration::from_secs(2);
/// A start within a second of all others; the store takes one call of each daemon in that
/// time. It keeps the records of earlier runs, whose addresses are mostly still right, so
/// a read does not wait for the records of this start.
const PACE: JoinTiming = JoinTiming {
    append_spread: Duration::from_millis(100),
    read_at_start: true,
    read_delay: Duration::ZERO,
    read_spread: Duration::from_millis(150),
    max_backoff: Duration::from_secs(1),
};

/// The way of messages to the loop.
#[derive(Clone, Debug)]
pub struct MembershipSender {
    sender: mpsc::Sender<MembershipEvent>,
}

/// What the loop reacts to besides its ticks.
#[derive(Debug)]
pub enum MembershipEvent {
    /// A message of another daemon.
    Message(DaemonId, Vec<u8>),
    /// The store's records, or none if it did not answer.
    Records(Option<Vec<Box<[u8]>>>),
    /// The own record was written, in an era of the store.
    Written(Option<StoreEra>),
    /// The own record could not be written.
    WriteFailed,
}

impl MembershipSender {
    /// A desk and the inbox of its loop.
    pub fn new() -> (Self, mpsc::Receiver<MembershipEvent>) {
        let (sender, inbox) = mpsc::channel(INBOX_SIZE);
        (Self { sender }, inbox)
    }

    /// Hands a message on; one that finds the inbox full is lost, and told again later.
    pub fn deliver(&self, from: DaemonId, bytes: Vec<u8>) {
        self.pass(MembershipEvent::Message(from, bytes));
    }

    fn pass(&self, event: MembershipEvent) {
        if self.sender.try_send(event).is_err() {
            log::warn!("membership inbox is full");
        }
    }
}

/// Stages of a planned stop.
#[derive(Clone, Debug, Default)]
pub struct StopStages {
    /// The others are told that this daemon takes no more requests.
    pub drain: CancellationToken,
    /// The daemon leaves the membership.
    pub leave: CancellationToken,
}

/// The membership of one daemon.
pub struct MembershipLoop {
    core: Arc<ProxyCore>,
    desk: MembershipSender,
    node: MemberNode,
    under_way: Arc<std::sync::Mutex<HashMap<SocketAddr, usize>>>,
    stale: bool,
    /// The own record as the store keeps it.
    written: Option<EraTagged<()>>,
    read_at: Option<Instant>,
    /// When the last tick came.
    ticked: Instant,
    /// How long runs of the own target take, as the others were told.
    pace: ExecutionTimeLevel,
    paced: Instant,
}

impl MembershipLoop {
    /// A loop that knows nobody yet.
    pub fn new(core: Arc<ProxyCore>, desk: MembershipSender) -> Self {
        let node = new_node(&core, core.incarnation);
        Self {
            core,
            desk,
            node,
            under_way: Arc::default(),
            stale: true,
            written: None,
            read_at: None,
            ticked: Instant::now(),
            pace: ExecutionTimeLevel::default(),
            paced: Instant::now(),
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
                    self.note_pause();
                    self.note_pace();
                    self.note_era();
                    let outputs = self.node.on_tick();
                    self.carry_out(outputs);
                }
                event = inbox.recv() => {
                    let Some(event) = event else { return };
                    self.on_event(event);
                }
                () = core.target_changed.notified() => {
                    let outputs = self.node.set_targets_now(own_digests(&core, self.pace));
                    self.carry_out(outputs);
                    self.stale = true;
                }
                () = stages.drain.cancelled(), if !drained => {
                    drained = true;
                    self.node.drain();
                    let outputs = self.node.on_tick();
                    self.carry_out(outputs);
                }
                () = stages.leave.cancelled() => {
                    let outputs = self.node.leave();
                    self.carry_out(outputs);
                    return;
                }
            }
            self.note_lone();
            if std::mem::take(&mut self.stale) {
                self.publish();
            }
        }
    }

    fn on_event(&mut self, event: MembershipEvent) {
        match event {
            MembershipEvent::Message(from, bytes) => match members::decode_message(&bytes) {
                Ok(message) => {
                    let outputs = self.node.on_message(from, message);
                    self.carry_out(outputs);
                }
                Err(error) => log::warn!(peer:% = from, cause:% = error; "message unreadable"),
            },
            MembershipEvent::Records(Some(records)) => {
                self.read_at = Some(Instant::now());
                let outputs = self.node.on_read_answer(&batch_of(records));
                self.carry_out(outputs);
            }
            MembershipEvent::Records(None) => self.node.on_read_failed(),
            MembershipEvent::Written(era) => {
                self.core.observe_store_era(era);
                self.written = Some(EraTagged { value: (), era });
            }
            MembershipEvent::WriteFailed => self.node.on_append_failed(),
        }
    }

    /// Tells of a time in which the process was not run, which explains what is late.
    fn note_pause(&mut self) {
        let now = Instant::now();
        let passed = now.saturating_duration_since(std::mem::replace(&mut self.ticked, now));
        if passed > TICK_INTERVAL + PAUSE_NOTED {
            log::warn!(paused_ms = passed.as_millis() as u64; "the daemon was held up");
        }
    }

    /// Tells the others when runs of the own target take another time than they know.
    fn note_pace(&mut self) {
        let Some(run) = self.core.gate.mean_run_time() else {
            return;
        };
        let pace = self.pace.adjusted_to(run);
        if pace != self.pace && self.paced.elapsed() >= PACE_INTERVAL {
            self.pace = pace;
            self.paced = Instant::now();
            self.node.set_targets(own_digests(&self.core, pace));
        }
    }

    /// Has the own record written again where the store has lost it.
    fn note_era(&mut self) {
        let latest = self.core.store_eras().latest();
        if self.written.is_some_and(|mark| !mark.is_current(latest)) {
            self.written = None;
            self.node.on_record_lost();
        }
    }

    /// A daemon that nobody else is there to know takes callers alone.
    fn note_lone(&mut self) {
        let waited = self.read_at.is_some_and(|at| at.elapsed() >= LONE_TIME);
        let joined = self.node.live_count() > 1 || waited;
        if joined && self.core.note_joined() {
            log::info!(members = self.node.live_count(); "membership joined");
        }
    }

    fn carry_out(&mut self, outputs: Vec<MemberOutput>) {
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
                    self.stale = true;
                }
                MemberOutput::Superseded => self.start_anew(),
            }
        }
    }

    /// Another run of this VM's daemon was seen, by a clock that was ahead: outnumber it.
    fn start_anew(&mut self) {
        let last = self.node.own_record().stamp.incarnation;
        let next = IncarnationNumber(last.0 + RECORD_INTERVAL.as_millis() as u64);
        log::warn!(run:% = next; "a later run of this daemon is known; renumbering");
        self.node = new_node(&self.core, next);
        self.node.set_targets(own_digests(&self.core, self.pace));
        self.stale = true;
    }

    fn send(&self, address: SocketAddr, bytes: &[u8]) {
        if !claim(&self.under_way, address) {
            return;
        }
        let head = PeerRequest::Members {
            from: self.core.id,
            bytes: bytes.into(),
        };
        let (pool, under_way) = (Arc::clone(&self.core.pool), Arc::clone(&self.under_way));
        self.core.tasks.spawn(async move {
            match timeout(SEND_TIMEOUT, pool.tell(address, &head)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => log::debug!(peer:% = address, cause:% = error; "message lost"),
                Err(_) => log::debug!(peer:% = address; "message not taken in time"),
            }
            release(&under_way, address);
        });
    }

    fn write_record(&self, body: Box<[u8]>) {
        let (core, desk) = (Arc::clone(&self.core), self.desk.clone());
        let leaves = self.core.is_stopping();
        self.core.tasks.spawn(async move {
            let written = if leaves {
                core.store.drop_member(core.id).await.map(|()| None)
            } else {
                core.store.put_member(core.id, body).await
            };
            match written {
                Ok(era) => desk.pass(MembershipEvent::Written(era)),
                Err(error) => {
                    log::warn!(cause:% = error; "own record not written");
                    desk.pass(MembershipEvent::WriteFailed);
                }
            }
        });
    }

    fn read_records(&self, from: LogOffset) {
        // The store keeps the newest record of each daemon, so there is no end to look up first.
        if from == LogOffset(u64::MAX) {
            self.desk.pass(MembershipEvent::Records(Some(Vec::new())));
            return;
        }
        let (core, desk) = (Arc::clone(&self.core), self.desk.clone());
        self.core.tasks.spawn(async move {
            let read = core.store.members().await;
            if let Err(error) = &read {
                log::warn!(cause:% = error; "records of the members not read");
            }
            desk.pass(MembershipEvent::Records(read.ok()));
        });
    }

    /// Publishes who is there to the choice of targets and to those who send.
    fn publish(&self) {
        let mut book = PeerAddresses::new();
        let mut alive = Vec::new();
        for member in self.node.members() {
            if member.id == self.core.id || !member.state.is_live() {
                continue;
            }
            book.insert(member.id, member.profile.peer_address);
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
        self.core
            .config_source
            .set_plan(TreePosition::new(&own, &alive));
        self.core.budget().resize(book.len() + 1);
        self.core.set_peers(book);
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
        join_timing: PACE,
    };
    let random = SmallRng::from_rng(&mut rand::rng());
    MemberNode::new(member, Arc::clone(&core.clock), random)
}

/// What the others are told of the target beside this daemon.
fn own_digests(core: &ProxyCore, pace: ExecutionTimeLevel) -> Vec<TargetDigest> {
    let own = core.own_target();
    let Some(report) = own.available() else {
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
        execution_time: pace,
        ready_since: (report.run.0 > 0).then_some(started),
    }]
}

/// A target as the choice of targets sees it.
pub fn route_view(clock: &dyn ClockPort, view: TargetView) -> route::TargetView {
    let wall = clock.wall();
    // A start that is not known was long ago: only a daemon that came later has to ask.
    let age = view.digest.ready_since.map_or(LONG_AGO, |since| {
        wall.duration_since(since).unwrap_or_default()
    });
    let now = clock.now();
    let since = now.checked_sub(age).unwrap_or(now);
    route::TargetView {
        target: view.digest.target,
        daemon: view.daemon,
        domain: view.domain,
        slots: view.digest.slots,
        connections: CallCount(u32::MAX),
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

fn batch_of(records: Vec<Box<[u8]>>) -> ReadAnswer {
    let records: Vec<LogRecord> = records
        .into_iter()
        .zip(0..)
        .map(|(body, offset)| LogRecord {
            offset: LogOffset(offset),
            at: UNIX_EPOCH,
            body,
        })
        .collect();
    ReadAnswer::Batch(RecordBatch {
        first: LogOffset(0),
        next: LogOffset(records.len() as u64),
        records,
    })
}

fn claim(under_way: &std::sync::Mutex<HashMap<SocketAddr, usize>>, address: SocketAddr) -> bool {
    let mut counts = under_way
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let count = counts.entry(address).or_default();
    let free = *count < MAX_UNDER_WAY;
    if free {
        *count += 1;
    }
    free
}

fn release(under_way: &std::sync::Mutex<HashMap<SocketAddr, usize>>, address: SocketAddr) {
    let mut counts = under_way
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    if let Some(count) = counts.get_mut(&address) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&address);
        }
    }
}
