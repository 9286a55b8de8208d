//! The member that a daemon embeds.
//!
//! [`MemberNode`] takes ticks, messages and answers of the log, and returns
//! what is to be done. It holds no sockets, threads or clocks of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use feed::port::{LogRecord, ReadAnswer};
use model::{
    DaemonId, IncarnationNumber, LogOffset, RecordCount, ServiceName, SharedClock, StreamName,
};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::delay::SlowLinks;
use crate::digest::{
    LOAD_INTERVAL, LOAD_STEP, MemberProfile, MemberRecord, MemberStamp, SequenceNumber,
    TargetDigest,
};
use crate::health::LocalHealth;
use crate::join::{ENOUGH_MEMBERS, JoinPlan, PlannedRead};
use crate::message::{MemberMessage, MemberUpdate, MessageBody, PIGGYBACK_BYTES, encoded_len};
use crate::probe::ProbeList;
use crate::prober::ProbeTurns;
use crate::queue::{ByteBucket, UpdateQueue};
use crate::record::{JoinRecord, LeaveRecord, StreamRecord, members_stream};
use crate::sync::SyncState;
use crate::table::{MemberEntry, MemberState, MemberTable, UpdateEffect};
use crate::view::{MemberView, TargetView};
use crate::watch::WatchPlan;

/// How often [`MemberNode::on_tick`] is to be called.
pub const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Members told of news in one tick.
const GOSSIP_FANOUT: usize = 3;
/// Bytes a second of updates that one daemon passes on.
const GOSSIP_RATE: u32 = 4_500;
/// Bytes of updates passed on at once after a quiet time.
const GOSSIP_BURST: u32 = 15_000;
/// Rounds of gossip a second between ticks.
const URGENT_RATE: u32 = 4;
/// Rounds of gossip at once between ticks.
const URGENT_BURST: u32 = 8;
/// Bytes of framing for which a message made for gossip counts besides its updates.
const GOSSIP_OVERHEAD: usize = 100;
/// Bytes of updates in one message made for gossip.
const GOSSIP_BYTES: usize = 1_200;
/// Time between attempts to contact daemons named by the log or the settings.
const CONTACT_INTERVAL: Duration = Duration::from_secs(1);
/// Daemons contacted in one attempt.
const CONTACT_COUNT: usize = 12;
/// Members told at once when this daemon leaves.
const LEAVE_FANOUT: usize = 8;
/// Least time between two plans of whom to watch.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Ticks between looks for tombstones that have expired.
const EXPIRY_TICKS: u64 = 300;

/// What a daemon knows of itself when it starts.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The daemon.
    pub id: DaemonId,
    /// This run; higher than that of any earlier run of the same id.
    pub incarnation: IncarnationNumber,
    /// Names and addresses.
    pub profile: MemberProfile,
    /// Time between join records, well below the log's retention.
    pub record_interval: Duration,
    /// Peers to ask first, whatever the log says.
    pub seeds: Vec<SocketAddr>,
}

/// A change of what is held of one member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberChange {
    /// The member.
    pub id: DaemonId,
    /// The state before; none for a member not known before.
    pub before: Option<MemberState>,
    /// The state now; unchanged when only the record is newer.
    pub state: MemberState,
}

/// What the daemon is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberOutput {
    /// Send to a member.
    Send {
        /// The member.
        to: DaemonId,
        /// Where it is reached.
        address: SocketAddr,
        /// The message.
        message: MemberMessage,
    },
    /// Send to whichever daemon is reached at an address of the settings.
    Contact {
        /// The address.
        address: SocketAddr,
        /// The message.
        message: MemberMessage,
    },
    /// Append to the log; failures go to [`MemberNode::on_append_failed`].
    Append {
        /// The stream.
        stream: StreamName,
        /// The record.
        body: Box<[u8]>,
    },
    /// Read the stream `members`; the answer goes to [`MemberNode::on_read_answer`].
    ReadMembers {
        /// Where to read; the highest offset asks for the end of the stream only.
        from: LogOffset,
        /// Most records to return.
        limit: RecordCount,
    },
    /// A member's state or record changed.
    Changed(MemberChange),
    /// A later run of this daemon exists; this one must stop.
    Superseded,
}

/// Counts since the start, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MemberCounts {
    /// Own probes without answer.
    pub failed_probes: u64,
    /// Accusations of this daemon that it refuted.
    pub refutations: u64,
    /// Messages dropped because of a stale incarnation.
    pub stale_messages: u64,
    /// Exchanges of summaries begun.
    pub syncs: u64,
    /// Members that this daemon itself declared dead.
    pub declared_dead: u64,
}

/// Membership as one daemon sees it.
#[derive(Debug)]
pub struct MemberNode {
    pub(crate) clock: SharedClock,
    pub(crate) rng: SmallRng,
    pub(crate) own: Arc<MemberRecord>,
    pub(crate) table: MemberTable,
    pub(crate) plan: WatchPlan,
    pub(crate) queue: UpdateQueue,
    pub(crate) gossip_bytes: ByteBucket,
    pub(crate) urgent_rounds: ByteBucket,
    pub(crate) probes: ProbeList,
    pub(crate) turns: ProbeTurns,
    pub(crate) slow: SlowLinks,
    pub(crate) health: LocalHealth,
    pub(crate) sync: SyncState,
    pub(crate) counts: MemberCounts,
    plan_edition: Option<u64>,
    plan_at: Instant,
    join: JoinPlan,
    seeds: Vec<SocketAddr>,
    contact_at: Instant,
    load_at: Instant,
    digests: Vec<TargetDigest>,
    tick: u64,
    left: bool,
}

impl MemberNode {
    /// A member that knows nobody yet.
    pub fn new(settings: MemberSettings, clock: SharedClock, mut rng: SmallRng) -> Self {
        let now = clock.now();
        let own = MemberRecord {
            id: settings.id,
            stamp: MemberStamp {
                incarnation: settings.incarnation,
                sequence: SequenceNumber(1),
            },
            content: SequenceNumber(1),
            profile: settings.profile,
            draining: false,
            targets: Vec::new(),
        };
        Self {
            join: JoinPlan::new(settings.id, settings.record_interval, now, &mut rng),
            own: Arc::new(own),
            table: MemberTable::default(),
            plan: WatchPlan::default(),
            queue: UpdateQueue::default(),
            gossip_bytes: ByteBucket::new(GOSSIP_RATE, GOSSIP_BURST, now),
            urgent_rounds: ByteBucket::new(URGENT_RATE, URGENT_BURST, now),
            probes: ProbeList::default(),
            turns: ProbeTurns::new(now, &mut rng),
            slow: SlowLinks::default(),
            health: LocalHealth::default(),
            sync: SyncState::new(now),
            counts: MemberCounts::default(),
            plan_edition: None,
            plan_at: now,
            seeds: settings.seeds,
            contact_at: now,
            load_at: now,
            digests: Vec::new(),
            tick: 0,
            left: false,
            clock,
            rng,
        }
    }

    /// Does what is due; called every [`TICK_INTERVAL`].
    pub fn on_tick(&mut self) -> Vec<MemberOutput> {
        let mut outputs = Vec::new();
        let now = self.clock.now();
        self.tick += 1;
        if !self.left {
            self.refresh_plan(now);
            self.expire_probes(now, &mut outputs);
            self.declare_deaths(now, &mut outputs);
            self.start_probes(now, &mut outputs);
            self.use_log(now, &mut outputs);
            self.contact_candidates(now, &mut outputs);
            self.publish_targets(now);
        }
        self.gossip(now, &mut outputs);
        if self.tick.is_multiple_of(EXPIRY_TICKS) {
            self.table.expire(now);
        }
        outputs
    }

    /// Takes records of the stream `members` that the daemon read for other ends.
    pub fn on_log_records(&mut self, records: &[LogRecord]) {
        self.join.take_records(records);
    }

    /// Takes the answer to [`MemberOutput::ReadMembers`].
    pub fn on_read_answer(&mut self, answer: &ReadAnswer) -> Vec<MemberOutput> {
        let now = self.clock.now();
        let next = self.join.on_answer(answer, now, &mut self.rng);
        next.map(read_output).into_iter().collect()
    }

    /// Notes that a read failed.
    pub fn on_read_failed(&mut self) {
        let now = self.clock.now();
        self.join.on_read_failed(now, &mut self.rng);
    }

    /// Notes that an append failed or that its outcome is unknown.
    pub fn on_append_failed(&mut self) {
        let now = self.clock.now();
        self.join.on_append_failed(now, &mut self.rng);
    }

    /// Replaces the targets beside this daemon, as its registry gives them.
    pub fn set_targets(&mut self, digests: Vec<TargetDigest>) {
        self.digests = digests;
        let now = self.clock.now();
        self.publish_targets(now);
    }

    /// Tells all members that this daemon takes no new calls.
    pub fn drain(&mut self) {
        self.renew(|record| record.draining = true);
    }

    /// Leaves for good; ticks go on until the daemon exits, to spread the news.
    pub fn leave(&mut self) -> Vec<MemberOutput> {
        self.left = true;
        let update = MemberUpdate::Left {
            id: self.own.id,
            stamp: self.own.stamp,
        };
        self.queue.push(update.clone(), self.table.live_count());
        let record = StreamRecord::Leave(LeaveRecord {
            id: self.own.id,
            incarnation: self.own.stamp.incarnation,
            at: self.clock.wall(),
        });
        let mut outputs = vec![append_output(&record)];
        for id in self.random_peers(LEAVE_FANOUT) {
            self.send_to(id, MessageBody::Gossip, vec![update.clone()], &mut outputs);
        }
        outputs
    }

    /// Every member known, this daemon and tombstones included, by id.
    pub fn members(&self) -> Vec<MemberView> {
        let mut views = vec![MemberView::of_own(&self.own, self.clock.now())];
        views.extend(self.table.iter().map(MemberView::of_entry));
        views.sort_unstable_by_key(|view| view.id);
        views
    }

    /// How many members take part, this daemon included.
    pub fn live_count(&self) -> usize {
        self.table.live_count() + 1
    }

    /// The targets of `service` that are present and willing, this daemon's included.
    pub fn targets(&self, service: &ServiceName) -> Vec<TargetView> {
        self.all_targets()
            .into_iter()
            .filter(|view| view.digest.service == *service)
            .collect()
    }

    /// The targets of all services that are present and willing.
    pub fn all_targets(&self) -> Vec<TargetView> {
        let own = TargetView::of_record(&self.own, MemberState::Alive);
        let others = self
            .table
            .live()
            .flat_map(|entry| TargetView::of_record(&entry.record, entry.state));
        own.into_iter().chain(others).collect()
    }

    /// This daemon's own record.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own
    }

    /// What is held of a member.
    pub fn state_of(&self, id: DaemonId) -> Option<MemberState> {
        self.table.get(id).map(|entry| entry.state)
    }

    /// Where a live member is reached.
    pub fn peer_address(&self, id: DaemonId) -> Option<SocketAddr> {
        self.table
            .get(id)
            .filter(|entry| entry.state.is_live())
            .map(|entry| entry.profile().peer_address)
    }

    /// How far this daemon trusts its own link.
    pub fn health(&self) -> LocalHealth {
        self.health
    }

    /// Counts since the start.
    pub fn counts(&self) -> MemberCounts {
        self.counts
    }

    /// Hash of all live members; equal hashes mean equal views.
    pub fn view_hash(&self) -> u64 {
        crate::sync::view_hash(&self.own, &self.table)
    }

    /// Makes a new edition of the own record and spreads it.
    pub(crate) fn renew(&mut self, change: impl FnOnce(&mut MemberRecord)) {
        let record = Arc::make_mut(&mut self.own);
        change(record);
        record.stamp.sequence.0 += 1;
        record.content = record.stamp.sequence;
        let update = MemberUpdate::Alive(Arc::clone(&self.own));
        self.queue.push(update, self.table.live_count());
    }

    /// Makes an edition above `floor` with the same content, and spreads a heartbeat of it.
    pub(crate) fn refresh(&mut self, floor: SequenceNumber) {
        let record = Arc::make_mut(&mut self.own);
        let sequence = record.stamp.sequence.max(floor);
        record.stamp.sequence = SequenceNumber(sequence.0 + 1);
        let update = MemberUpdate::Heartbeat(self.own.heartbeat());
        self.queue.push(update, self.table.live_count());
    }

    /// Applies `update`, spreads it if it is news, and tells the daemon.
    pub(crate) fn learn(
        &mut self,
        update: &MemberUpdate,
        spread: bool,
        outputs: &mut Vec<MemberOutput>,
    ) -> UpdateEffect {
        let now = self.clock.now();
        let effect = self.table.apply(update, now);
        if !effect.is_news() {
            self.queue.heard_again(update);
            return effect;
        }
        if spread {
            self.queue
                .push(update.clone(), self.spread_for(update, effect));
        }
        if let Some(change) = self.change_for(update.id(), effect) {
            outputs.push(MemberOutput::Changed(change));
        }
        effect
    }

    /// Sends to a known member.
    pub(crate) fn send_to(
        &mut self,
        id: DaemonId,
        body: MessageBody,
        first: Vec<MemberUpdate>,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let Some(entry) = self.table.get(id) else {
            return;
        };
        let address = entry.profile().peer_address;
        self.send_at(id, address, body, first, outputs);
    }

    /// Sends to a daemon at `address`; `first` go ahead of other updates.
    pub(crate) fn send_at(
        &mut self,
        to: DaemonId,
        address: SocketAddr,
        body: MessageBody,
        first: Vec<MemberUpdate>,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let now = self.clock.now();
        let room = self.gossip_bytes.available(now).min(PIGGYBACK_BYTES);
        let mut updates = first;
        updates.extend(self.take_updates(room));
        let message = self.message(self.table.get(to).is_none(), body, updates);
        outputs.push(MemberOutput::Send {
            to,
            address,
            message,
        });
    }

    /// Live members of the region, and now and then of others, in random order.
    pub(crate) fn random_peers(&mut self, count: usize) -> Vec<DaemonId> {
        const FAR_SHARE: f64 = 0.05;
        let mut peers = Vec::with_capacity(count);
        for _ in 0..count {
            let far = self.plan.near().is_empty() || self.rng.random_bool(FAR_SHARE);
            let pool = if far && !self.plan.far().is_empty() {
                self.plan.far()
            } else {
                self.plan.near()
            };
            if pool.is_empty() {
                break;
            }
            let id = pool[self.rng.random_range(0..pool.len())];
            if !peers.contains(&id) {
                peers.push(id);
            }
        }
        peers
    }

    pub(crate) fn message(
        &self,
        wants_record: bool,
        body: MessageBody,
        updates: Vec<MemberUpdate>,
    ) -> MemberMessage {
        MemberMessage {
            stamp: self.own.stamp,
            address: self.own.profile.peer_address,
            wants_record,
            body,
            updates,
        }
    }

    pub(crate) fn own_update(&self) -> MemberUpdate {
        MemberUpdate::Alive(Arc::clone(&self.own))
    }

    /// How many members an update is to reach by gossip: loads alone may miss some.
    fn spread_for(&self, update: &MemberUpdate, effect: UpdateEffect) -> usize {
        let load_only =
            matches!(update, MemberUpdate::Heartbeat(_)) && effect == UpdateEffect::Renewed;
        if load_only {
            0
        } else {
            self.table.live_count()
        }
    }

    fn take_updates(&mut self, room: usize) -> Vec<MemberUpdate> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let updates = self.queue.take(room);
        let bytes = updates.iter().map(encoded_len).sum();
        self.gossip_bytes.spend(bytes);
        updates
    }

    fn change_for(&self, id: DaemonId, effect: UpdateEffect) -> Option<MemberChange> {
        let state = self.table.get(id)?.state;
        let before = match effect {
            UpdateEffect::Known | UpdateEffect::Accused => return None,
            UpdateEffect::Renewed => Some(MemberState::Alive),
            UpdateEffect::StateChanged { before } => before,
        };
        Some(MemberChange { id, before, state })
    }

    fn refresh_plan(&mut self, now: Instant) {
        let edition = self.table.edition();
        let fresh = self.plan.near().len() < ENOUGH_MEMBERS || now >= self.plan_at;
        if fresh && self.plan_edition != Some(edition) {
            self.plan = WatchPlan::new(self.own.id, &self.own.profile, &self.table);
            self.plan_edition = Some(edition);
            self.plan_at = now + PLAN_INTERVAL;
        }
    }

    /// Passes news on without waiting for the next tick, a bounded number of times a second.
    pub(crate) fn gossip_urgently(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        if self.urgent_rounds.available(now) > 0 {
            self.urgent_rounds.spend(1);
            self.gossip(now, outputs);
        }
    }

    /// Passes news on to a few random members.
    pub(crate) fn gossip(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        for id in self.random_peers(GOSSIP_FANOUT) {
            let room = self.gossip_bytes.available(now).min(GOSSIP_BYTES);
            let updates = self.take_updates(room);
            let Some(entry) = self.table.get(id) else {
                continue;
            };
            if updates.is_empty() {
                break;
            }
            let address = entry.profile().peer_address;
            self.gossip_bytes.spend(GOSSIP_OVERHEAD);
            let message = self.message(false, MessageBody::Gossip, updates);
            outputs.push(MemberOutput::Send {
                to: id,
                address,
                message,
            });
        }
    }

    fn use_log(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        if self.join.take_append(now, &mut self.rng) {
            outputs.push(append_output(&self.join_record()));
        }
        let members = self.table.live_count();
        let read = self.join.take_read(members, now, &mut self.rng);
        outputs.extend(read.map(read_output));
    }

    /// Contacts daemons that the log or the settings name and that are not yet known.
    fn contact_candidates(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        if now < self.contact_at {
            return;
        }
        self.contact_at = now + CONTACT_INTERVAL.mul_f64(self.rng.random_range(0.8..1.2));
        let members = self.table.live_count();
        if members < ENOUGH_MEMBERS {
            self.contact_seeds(outputs);
        }
        let table = &self.table;
        let unknown = |id: DaemonId| table.get(id).is_none();
        let picked: Vec<(DaemonId, SocketAddr)> = self
            .join
            .pick(CONTACT_COUNT, unknown, &mut self.rng)
            .into_iter()
            .map(|join| (join.id, join.peer_address))
            .collect();
        for (id, address) in picked {
            let body = self.contact_ping();
            let own = self.own_update();
            self.send_at(id, address, body, vec![own], outputs);
        }
        if members >= ENOUGH_MEMBERS {
            self.join.clear_candidates();
        }
    }

    fn contact_seeds(&mut self, outputs: &mut Vec<MemberOutput>) {
        for index in 0..self.seeds.len() {
            let address = self.seeds[index];
            if address == self.own.profile.peer_address {
                continue;
            }
            let message = self.message(true, self.contact_ping(), vec![self.own_update()]);
            outputs.push(MemberOutput::Contact { address, message });
        }
    }

    /// A ping whose answer is welcome but not waited for.
    fn contact_ping(&self) -> MessageBody {
        MessageBody::Ping {
            probe: 0,
            view: self.view_hash(),
        }
    }

    /// Publishes the targets: changes of state at once, changes of load alone rarely.
    fn publish_targets(&mut self, now: Instant) {
        let same = self.own.targets.len() == self.digests.len()
            && self
                .own
                .targets
                .iter()
                .zip(&self.digests)
                .all(|(old, new)| old.same_but_load(new));
        let load_moved = same
            && now >= self.load_at
            && self
                .own
                .targets
                .iter()
                .zip(&self.digests)
                .any(|(old, new)| old.load.0.abs_diff(new.load.0) >= LOAD_STEP);
        if same && !load_moved {
            return;
        }
        let jitter = self.rng.random_range(1.0..1.5);
        self.load_at = now + LOAD_INTERVAL.mul_f64(jitter);
        let digests = self.digests.clone();
        if same {
            Arc::make_mut(&mut self.own).targets = digests;
            self.refresh(SequenceNumber(0));
        } else {
            self.renew(|record| record.targets = digests);
        }
    }

    fn join_record(&self) -> StreamRecord {
        let profile = self.own.profile.clone();
        StreamRecord::Join(JoinRecord {
            id: self.own.id,
            incarnation: self.own.stamp.incarnation,
            name: profile.name,
            peer_address: profile.peer_address,
            caller_address: profile.caller_address,
            domain: profile.domain,
            region: profile.region,
            at: self.clock.wall(),
        })
    }
}

/// The update that tells a member what is held against it, if anything is.
pub(crate) fn accusation_of(entry: &MemberEntry) -> Option<MemberUpdate> {
    let id = entry.record.id;
    let stamp = entry.stamp();
    let by = entry.accusers.first().copied()?;
    match entry.state {
        MemberState::Suspect => Some(MemberUpdate::Suspect { id, stamp, by }),
        MemberState::Dead => Some(MemberUpdate::Dead { id, stamp, by }),
        MemberState::Alive | MemberState::Left => None,
    }
}

fn append_output(record: &StreamRecord) -> MemberOutput {
    MemberOutput::Append {
        stream: members_stream(),
        body: record.encode(),
    }
}

fn read_output(read: PlannedRead) -> MemberOutput {
    MemberOutput::ReadMembers {
        from: read.from,
        limit: read.limit,
    }
}
