//! The control loop: distribution, membership and limits of one daemon.
//!
//! One task owns the state machines of the control areas. It takes ticks,
//! messages of peers, answers of the log and questions of operators, carries
//! out what the machines ask for, and publishes what the calls need: the
//! table, its freshness, the targets and the members' addresses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use limits::LimitOutput;
use members::{MemberNode, MemberOutput, MemberSettings, MemberView};
use model::DaemonId;
use once::HolderId;
use plans::RouteTable;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use spread::{SpreadMember, SpreadNode, SpreadOutput, SpreadSettings};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};
use trace::EventKind;

use crate::alarms::{record_alarm, record_member_change};
use crate::control_sender::ControlSender;
use crate::core::{DaemonCore, PeerAddresses};
use crate::key_control::{HandoverOutcome, KeyControl, OutgoingMessages};
use crate::log_jobs::{JobOutcome, JobOwner, LogJobRunner};
use crate::once_state::LiveIncarnations;
use crate::peer_messages::{ControlBatch, ControlMessage};
use crate::replica::PlansReplica;
use crate::status::StatusReport;
use crate::targets::TargetPublisher;

/// Time between two ticks of the loop.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Ticks of the loop for one tick of the membership.
const MEMBER_TICKS: u64 = 2;
/// Join records are repeated this many times within the log's retention.
const JOINS_WITHIN_RETENTION: u32 = 4;

/// What the loop reacts to.
#[derive(Debug)]
pub enum ControlEvent {
    /// Messages of a peer.
    Peer(ControlBatch),
    /// An answer of the log.
    Log(JobOutcome),
    /// A target beside this daemon changed.
    TargetsChanged,
    /// An operator asks.
    Status(oneshot::Sender<StatusReport>),
    /// A handover of key books ended.
    HandoverEnded(HandoverOutcome),
    /// A planned stop begins.
    Drain,
    /// Asks whether a draining daemon has handed its keys over.
    HasHandedOver(oneshot::Sender<bool>),
    /// The daemon leaves the membership; answered once the others were told.
    Leave(oneshot::Sender<()>),
}

/// The state machines of one daemon.
#[derive(Debug)]
pub struct ControlLoop {
    core: Arc<DaemonCore>,
    spread: SpreadNode<PlansReplica>,
    members: MemberNode,
    keys: KeyControl,
    targets: TargetPublisher,
    courier: ControlSender,
    desk: LogJobRunner,
    /// Addresses of peers that wrote to us, before the membership knows them.
    heard: HashMap<DaemonId, SocketAddr>,
    ticks: u64,
    members_known: bool,
    targets_stale: bool,
}

impl ControlLoop {
    /// The machines of a daemon that starts.
    pub fn new(core: Arc<DaemonCore>, desk: LogJobRunner) -> Self {
        let random = || SmallRng::from_rng(&mut rand::rng());
        let own = SpreadMember {
            id: core.id,
            domain: core.settings.domain.clone(),
            region: core.settings.region.clone(),
            run: core.incarnation,
        };
        let spread_settings = SpreadSettings {
            cut_off_after: core.settings.stale_after(),
            outage_quorum: core.settings.outage_quorum,
            snapshot_age: core.settings.log_retention() / JOINS_WITHIN_RETENTION,
            ..SpreadSettings::default()
        };
        let spread = SpreadNode::new(
            spread_settings,
            Arc::clone(&core.clock),
            random(),
            PlansReplica::default(),
            own,
        );
        let members = MemberNode::new(member_settings(&core), Arc::clone(&core.clock), random());
        Self {
            courier: ControlSender::new(Arc::clone(&core)),
            keys: KeyControl::new(Arc::clone(&core), desk.clone(), random()),
            targets: TargetPublisher::default(),
            spread,
            members,
            desk,
            heard: HashMap::new(),
            ticks: 0,
            members_known: false,
            targets_stale: true,
            core,
        }
    }

    /// Runs until every sender of events is gone or the daemon has left.
    pub async fn run(mut self, mut events: mpsc::Receiver<ControlEvent>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                event = events.recv() => event,
                _ = ticks.tick() => {
                    self.on_tick();
                    self.settle();
                    continue;
                }
            };
            match event {
                None => return,
                Some(ControlEvent::Leave(done)) => {
                    self.leave();
                    // The one who asked may have given up.
                    let _ = done.send(());
                    return;
                }
                Some(event) => self.on_event(event),
            }
            self.settle();
        }
    }

    fn on_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Peer(batch) => self.on_batch(batch),
            ControlEvent::Log(done) => self.on_log(done),
            ControlEvent::TargetsChanged => self.on_targets_changed(),
            ControlEvent::Status(asked) => drop(asked.send(self.status())),
            ControlEvent::HandoverEnded(done) => {
                let sends = self.keys.on_handover_ended(done);
                self.do_once(sends);
            }
            ControlEvent::Drain => self.drain(),
            ControlEvent::HasHandedOver(asked) => drop(asked.send(self.keys.has_handed_over())),
            ControlEvent::Leave(_) => {}
        }
    }

    fn on_tick(&mut self) {
        self.ticks += 1;
        let outputs = self.spread.on_tick();
        self.do_spread(outputs);
        if self.ticks.is_multiple_of(MEMBER_TICKS) {
            let outputs = self.members.on_tick();
            self.do_members(outputs);
        }
        let gone = self.core.local_targets.on_tick();
        if !gone.is_empty() {
            for change in &gone {
                self.core.record_target_change(change);
            }
            self.on_targets_changed();
        }
        let outputs = self.core.limits().on_tick();
        self.do_limits(outputs);
        let sends = self.keys.on_tick();
        self.do_once(sends);
        let freshness = self.spread.freshness_deadlines();
        self.core.freshness.store(Arc::new(freshness));
    }

    /// Publishes what changed in this turn and sends the batches.
    fn settle(&mut self) {
        if std::mem::take(&mut self.targets_stale) {
            self.publish_members();
        }
        let outputs = self.core.limits().report_new_keys();
        self.do_limits(outputs);
        self.courier.flush();
    }

    fn on_batch(&mut self, batch: ControlBatch) {
        // A wrong clock elsewhere is counted by the ring and not followed.
        let _ = self.core.trace().observe(batch.stamp);
        if self.address_of(batch.from).is_none() {
            self.heard.insert(batch.from, batch.address);
        }
        for message in batch.messages {
            if let Err(error) = self.on_message(batch.from, &message) {
                self.core.counters.count_error(error.kind);
            }
        }
    }

    fn on_message(&mut self, from: DaemonId, message: &ControlMessage) -> model::Result<()> {
        match message {
            ControlMessage::Spread(bytes) => {
                let outputs = self
                    .spread
                    .on_peer_message(from, wire::decode_message(bytes)?);
                self.do_spread(outputs);
            }
            ControlMessage::Member(bytes) => {
                let outputs = self
                    .members
                    .on_message(from, members::decode_message(bytes)?);
                self.do_members(outputs);
            }
            ControlMessage::Limit(bytes) => {
                let message = wire::decode_message(bytes)?;
                let outputs = self.core.limits().on_message(from, message);
                self.do_limits(outputs);
            }
            ControlMessage::Once(bytes) => {
                let sends = self.keys.on_message(from, wire::decode_message(bytes)?);
                self.do_once(sends);
            }
        }
        Ok(())
    }

    fn on_log(&mut self, done: JobOutcome) {
        match done {
            JobOutcome::Read(JobOwner::Spread(tag), answer) => {
                let outputs = self.spread.on_log_answer(tag, answer);
                self.do_spread(outputs);
            }
            JobOutcome::Append(JobOwner::Spread(tag), answer) => {
                let outputs = self.spread.on_append_answer(tag, &answer);
                self.do_spread(outputs);
            }
            JobOutcome::Read(JobOwner::Members, Ok(answer)) => {
                let outputs = self.members.on_read_answer(&answer);
                self.do_members(outputs);
                self.know_members();
            }
            JobOutcome::Read(JobOwner::Members, Err(error)) => {
                self.core.counters.count_error(error.kind);
                self.members.on_read_failed();
            }
            JobOutcome::Read(JobOwner::Leases(_), answer) => {
                let sends = self.keys.on_read(answer);
                self.do_once(sends);
            }
            JobOutcome::Append(JobOwner::Leases(serial), answer) => {
                self.keys.on_appended(serial, &answer);
            }
            JobOutcome::Append(JobOwner::Members, Ok(_)) => {}
            JobOutcome::Append(JobOwner::Members, Err(error)) => {
                self.core.counters.count_error(error.kind);
                self.members.on_append_failed();
            }
        }
    }

    fn do_spread(&mut self, outputs: Vec<SpreadOutput>) {
        for output in outputs {
            match output {
                SpreadOutput::Send { to, message } => {
                    self.send(to, &message, ControlMessage::Spread);
                }
                SpreadOutput::ReadLog(read) => self.desk.read(JobOwner::Spread(read.tag), read),
                SpreadOutput::Append(append) => {
                    let owner = JobOwner::Spread(append.tag);
                    self.desk.append(owner, append.stream, append.body);
                }
                SpreadOutput::Applied(_) => self.apply_table(),
                SpreadOutput::Alarm(alarm) => record_alarm(&self.core, &alarm),
            }
        }
    }

    fn do_members(&mut self, outputs: Vec<MemberOutput>) {
        for output in outputs {
            match output {
                MemberOutput::Send {
                    address, message, ..
                }
                | MemberOutput::Contact { address, message } => {
                    let bytes = members::encode_message(&message);
                    self.courier.add(address, ControlMessage::Member(bytes));
                }
                MemberOutput::Append { stream, body } => {
                    self.desk.append(JobOwner::Members, stream, body);
                }
                MemberOutput::ReadMembers { from, limit } => {
                    let stream = members::members_stream();
                    self.desk.read_now(JobOwner::Members, stream, from, limit);
                }
                MemberOutput::Changed(change) => {
                    self.targets_stale = true;
                    self.core.counters.count("member-changes");
                    record_member_change(&self.core, change);
                    self.know_members();
                }
                MemberOutput::Superseded => {
                    log::error!("a later run of this daemon exists; it takes no new calls");
                    self.core.start_draining();
                }
            }
        }
    }

    fn do_limits(&mut self, outputs: Vec<LimitOutput>) {
        for LimitOutput::Send { to, message } in outputs {
            self.send(to, &message, ControlMessage::Limit);
        }
    }

    fn do_once(&mut self, sends: OutgoingMessages) {
        for (to, message) in sends {
            self.send(to, &message, ControlMessage::Once);
        }
    }

    fn send(
        &mut self,
        to: DaemonId,
        message: &impl Serialize,
        wrap: impl FnOnce(Vec<u8>) -> ControlMessage,
    ) {
        let Some(address) = self.address_of(to) else {
            return;
        };
        match wire::encode_message(message) {
            Ok(bytes) => self.courier.add(address, wrap(bytes)),
            Err(error) => self.core.counters.count_error(error.kind),
        }
    }

    fn address_of(&self, id: DaemonId) -> Option<SocketAddr> {
        let known = self.members.peer_address(id);
        known.or_else(|| self.heard.get(&id).copied())
    }

    /// Swaps in the table of the replica's state, whole.
    fn apply_table(&mut self) {
        let state = self.spread.replica().state();
        let version = state.version();
        let table = RouteTable::build(&state);
        self.core.table.store(Some(Arc::new(table)));
        self.core.state.store(Some(state));
        self.spread.on_in_force(version);
        self.core.trace().set_version(version);
        self.core
            .record_event(EventKind::ConfigApplied, &version.to_string());
    }

    fn on_targets_changed(&mut self) {
        self.members.set_targets(self.core.local_targets.digests());
        self.targets_stale = true;
    }

    /// Tells the distributor that the first list of members is there.
    fn know_members(&mut self) {
        if !std::mem::replace(&mut self.members_known, true) {
            self.targets_stale = true;
        }
    }

    fn publish_members(&mut self) {
        let views = self.members.members();
        let live = views.iter().filter(|view| view.state.is_live());
        let spread_members: Vec<SpreadMember> = live
            .clone()
            .map(|view| SpreadMember {
                id: view.id,
                domain: view.profile.domain.clone(),
                region: view.profile.region.clone(),
                run: view.incarnation,
            })
            .collect();
        let addresses: PeerAddresses = live
            .clone()
            .map(|view| (view.id, view.profile.peer_address))
            .collect();
        let ids: Vec<DaemonId> = live.map(|view| view.id).collect();
        if self.members_known {
            self.spread.set_members(&spread_members);
        }
        self.heard.retain(|id, _| !addresses.contains_key(id));
        self.core.limits().set_members(&ids);
        self.publish_runs(&views);
        self.core.addresses.store(Arc::new(addresses));
        self.targets.publish(&self.core, self.members.all_targets());
    }

    /// Tells the keys' side which runs of daemons are alive.
    fn publish_runs(&mut self, views: &[MemberView]) {
        let live = || views.iter().filter(|view| view.state.is_live());
        let runs: LiveIncarnations = live().map(|view| (view.id, view.incarnation)).collect();
        for (daemon, incarnation) in self.core.runs.load().iter() {
            if runs.get(daemon).is_none_or(|run| run > incarnation) {
                self.keys.on_holder_gone(HolderId {
                    daemon: *daemon,
                    incarnation: *incarnation,
                });
            }
        }
        self.core.runs.store(Arc::new(runs));
        let able = live().filter(|view| !view.draining);
        let holders = able.map(|view| {
            let holder = HolderId {
                daemon: view.id,
                incarnation: view.incarnation,
            };
            (view.profile.domain.clone(), holder)
        });
        self.keys.set_members(holders.collect());
    }

    fn drain(&mut self) {
        self.keys.leave();
        self.members.drain();
        self.core.local_targets.drain();
        self.on_targets_changed();
    }

    fn leave(&mut self) {
        let outputs = self.members.leave();
        self.do_members(outputs);
        let outputs = self.members.on_tick();
        self.do_members(outputs);
        self.courier.flush();
    }

    fn status(&self) -> StatusReport {
        StatusReport::new(&self.core, &self.spread, &self.members)
    }
}

fn member_settings(core: &DaemonCore) -> MemberSettings {
    let settings = &core.settings;
    MemberSettings {
        id: core.id,
        incarnation: core.incarnation,
        profile: members::MemberProfile {
            name: settings.name.clone(),
            peer_address: settings.peer_address,
            caller_address: settings.caller_address,
            domain: settings.domain.clone(),
            region: settings.region.clone(),
        },
        record_interval: settings.log_retention() / JOINS_WITHIN_RETENTION,
        seeds: settings.peers.clone(),
        join_timing: members::JoinTiming::default(),
    }
}
