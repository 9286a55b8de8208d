//! The control loop: distribution, membership, limits and leases of one daemon.
//!
//! One task owns the state machines of these areas. It feeds them timer ticks, messages from
//! peers, results from the log service and requests of operators, and executes their
//! outputs. It publishes what calls need: the route table, its freshness, the targets and
//! the members' addresses.

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

/// Interval of the loop's timer.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Ticks of the loop per tick of the membership.
const MEMBER_TICKS: u64 = 2;
/// Number of times that join records and snapshots are renewed within the log's retention.
const RENEWALS_PER_RETENTION: u32 = 4;

/// An event for the control loop.
#[derive(Debug)]
pub enum ControlEvent {
    /// Messages from a peer.
    Peer(ControlBatch),
    /// The result of a job on the log service.
    Log(JobOutcome),
    /// A target of this daemon changed.
    TargetsChanged,
    /// An operator requests the status.
    Status(oneshot::Sender<StatusReport>),
    /// A handover of key shards ended.
    HandoverEnded(HandoverOutcome),
    /// The daemon starts to drain for a planned stop.
    Drain,
    /// Queries whether a draining daemon has handed over its keys.
    HasHandedOver(oneshot::Sender<bool>),
    /// The daemon leaves the membership; answered once the leave messages are sent.
    Leave(oneshot::Sender<()>),
}

/// The state machines of one daemon and the task that drives them.
#[derive(Debug)]
pub struct ControlLoop {
    core: Arc<DaemonCore>,
    spread: SpreadNode<PlansReplica>,
    members: MemberNode,
    keys: KeyControl,
    targets: TargetPublisher,
    sender: ControlSender,
    log_jobs: LogJobRunner,
    /// Addresses of peers that sent messages before the membership knew them.
    unconfirmed_addresses: HashMap<DaemonId, SocketAddr>,
    ticks: u64,
    /// Whether members are known, from the log or from a change of the membership.
    ///
    /// Until then, the distributor is given no members, so it reads nothing from the log.
    members_known: bool,
    /// Whether members or targets changed since they were last published.
    membership_changed: bool,
}

impl ControlLoop {
    /// Returns the loop of a daemon that starts.
    pub fn new(core: Arc<DaemonCore>, log_jobs: LogJobRunner) -> Self {
        let random = || SmallRng::from_rng(&mut rand::rng());
        let own_member = SpreadMember {
            id: core.id,
            domain: core.settings.domain.clone(),
            region: core.settings.region.clone(),
            run: core.incarnation,
        };
        let spread_settings = SpreadSettings {
            cut_off_after: core.settings.stale_after(),
            outage_quorum: core.settings.outage_quorum,
            snapshot_age: core.settings.log_retention() / RENEWALS_PER_RETENTION,
            ..SpreadSettings::default()
        };
        let spread = SpreadNode::new(
            spread_settings,
            Arc::clone(&core.clock),
            random(),
            PlansReplica::default(),
            own_member,
        );
        let members = MemberNode::new(member_settings(&core), Arc::clone(&core.clock), random());
        Self {
            sender: ControlSender::new(Arc::clone(&core)),
            keys: KeyControl::new(Arc::clone(&core), log_jobs.clone(), random()),
            targets: TargetPublisher::default(),
            spread,
            members,
            log_jobs,
            unconfirmed_addresses: HashMap::new(),
            ticks: 0,
            members_known: false,
            membership_changed: true,
            core,
        }
    }

    /// Runs until all senders of events are dropped or the daemon has left the membership.
    pub async fn run(mut self, mut events: mpsc::Receiver<ControlEvent>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                event = events.recv() => event,
                _ = ticks.tick() => {
                    self.on_tick();
                    self.publish_and_send();
                    continue;
                }
            };
            match event {
                None => return,
                Some(ControlEvent::Leave(done)) => {
                    self.leave();
                    // The requester may have given up.
                    let _ = done.send(());
                    return;
                }
                Some(event) => self.on_event(event),
            }
            self.publish_and_send();
        }
    }

    fn on_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Peer(batch) => self.on_batch(batch),
            ControlEvent::Log(outcome) => self.on_log(outcome),
            ControlEvent::TargetsChanged => self.on_targets_changed(),
            ControlEvent::Status(reply) => drop(reply.send(self.status())),
            ControlEvent::HandoverEnded(outcome) => {
                let messages = self.keys.on_handover_ended(outcome);
                self.send_once_messages(messages);
            }
            ControlEvent::Drain => self.drain(),
            ControlEvent::HasHandedOver(reply) => drop(reply.send(self.keys.has_handed_over())),
            // Handled in `run`, which it ends.
            ControlEvent::Leave(_) => {}
        }
    }

    fn on_tick(&mut self) {
        self.ticks += 1;
        let outputs = self.spread.on_tick();
        self.run_spread_outputs(outputs);
        if self.ticks.is_multiple_of(MEMBER_TICKS) {
            let outputs = self.members.on_tick();
            self.run_member_outputs(outputs);
        }
        let gone = self.core.local_targets.on_tick();
        if !gone.is_empty() {
            for change in &gone {
                self.core.record_target_change(change);
            }
            self.on_targets_changed();
        }
        let outputs = self.core.limits().on_tick();
        self.run_limit_outputs(outputs);
        let messages = self.keys.on_tick();
        self.send_once_messages(messages);
        let freshness = self.spread.freshness_deadlines();
        self.core.freshness.store(Arc::new(freshness));
    }

    /// Publishes what changed in this iteration and sends the message batches.
    fn publish_and_send(&mut self) {
        if std::mem::take(&mut self.membership_changed) {
            self.publish_members();
        }
        let outputs = self.core.limits().report_new_keys();
        self.run_limit_outputs(outputs);
        self.sender.flush();
    }

    fn on_batch(&mut self, batch: ControlBatch) {
        // The event ring counts and ignores a timestamp too far ahead; one of the clocks is wrong.
        let _ = self.core.trace().observe(batch.stamp);
        if self.address_of(batch.from).is_none() {
            self.unconfirmed_addresses.insert(batch.from, batch.address);
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
                self.run_spread_outputs(outputs);
            }
            ControlMessage::Member(bytes) => {
                let outputs = self
                    .members
                    .on_message(from, members::decode_message(bytes)?);
                self.run_member_outputs(outputs);
            }
            ControlMessage::Limit(bytes) => {
                let message = wire::decode_message(bytes)?;
                let outputs = self.core.limits().on_message(from, message);
                self.run_limit_outputs(outputs);
            }
            ControlMessage::Once(bytes) => {
                let messages = self.keys.on_message(from, wire::decode_message(bytes)?);
                self.send_once_messages(messages);
            }
        }
        Ok(())
    }

    fn on_log(&mut self, outcome: JobOutcome) {
        match outcome {
            JobOutcome::Read(JobOwner::Spread(tag), answer) => {
                let outputs = self.spread.on_log_answer(tag, answer);
                self.run_spread_outputs(outputs);
            }
            JobOutcome::Append(JobOwner::Spread(tag), answer) => {
                let outputs = self.spread.on_append_answer(tag, &answer);
                self.run_spread_outputs(outputs);
            }
            JobOutcome::Read(JobOwner::Members, Ok(answer)) => {
                let outputs = self.members.on_read_answer(&answer);
                self.run_member_outputs(outputs);
                self.on_members_known();
            }
            JobOutcome::Read(JobOwner::Members, Err(error)) => {
                self.core.counters.count_error(error.kind);
                self.members.on_read_failed();
            }
            JobOutcome::Read(JobOwner::Leases(_), answer) => {
                let messages = self.keys.on_read(answer);
                self.send_once_messages(messages);
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

    fn run_spread_outputs(&mut self, outputs: Vec<SpreadOutput>) {
        for output in outputs {
            match output {
                SpreadOutput::Send { to, message } => {
                    self.send(to, &message, ControlMessage::Spread);
                }
                SpreadOutput::ReadLog(read) => self.log_jobs.read(JobOwner::Spread(read.tag), read),
                SpreadOutput::Append(append) => {
                    let owner = JobOwner::Spread(append.tag);
                    self.log_jobs.append(owner, append.stream, append.body);
                }
                SpreadOutput::Applied(_) => self.apply_table(),
                SpreadOutput::Alarm(alarm) => record_alarm(&self.core, &alarm),
            }
        }
    }

    fn run_member_outputs(&mut self, outputs: Vec<MemberOutput>) {
        for output in outputs {
            match output {
                MemberOutput::Send {
                    address, message, ..
                }
                | MemberOutput::Contact { address, message } => {
                    let bytes = members::encode_message(&message);
                    self.sender.add(address, ControlMessage::Member(bytes));
                }
                MemberOutput::Append { stream, body } => {
                    self.log_jobs.append(JobOwner::Members, stream, body);
                }
                MemberOutput::ReadMembers { from, limit } => {
                    let stream = members::members_stream();
                    self.log_jobs
                        .read_now(JobOwner::Members, stream, from, limit);
                }
                MemberOutput::Changed(change) => {
                    self.membership_changed = true;
                    self.core.counters.count("member-changes");
                    record_member_change(&self.core, change);
                    self.on_members_known();
                }
                MemberOutput::Superseded => {
                    log::error!("a later incarnation of this daemon exists; refusing new calls");
                    self.core.start_draining();
                }
            }
        }
    }

    fn run_limit_outputs(&mut self, outputs: Vec<LimitOutput>) {
        for LimitOutput::Send { to, message } in outputs {
            self.send(to, &message, ControlMessage::Limit);
        }
    }

    fn send_once_messages(&mut self, messages: OutgoingMessages) {
        for (to, message) in messages {
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
            Ok(bytes) => self.sender.add(address, wrap(bytes)),
            Err(error) => self.core.counters.count_error(error.kind),
        }
    }

    fn address_of(&self, id: DaemonId) -> Option<SocketAddr> {
        let known = self.members.peer_address(id);
        known.or_else(|| self.unconfirmed_addresses.get(&id).copied())
    }

    /// Builds the route table of the replica's state and puts it in force atomically.
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
        self.membership_changed = true;
    }

    /// Notes that members are known, from the log or from a change of the membership.
    fn on_members_known(&mut self) {
        if !std::mem::replace(&mut self.members_known, true) {
            self.membership_changed = true;
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
        self.unconfirmed_addresses
            .retain(|id, _| !addresses.contains_key(id));
        self.core.limits().set_members(&ids);
        self.publish_incarnations(&views);
        self.core.addresses.store(Arc::new(addresses));
        self.targets.publish(&self.core, self.members.all_targets());
    }

    /// Publishes the incarnations of live members and updates the key homes from them.
    fn publish_incarnations(&mut self, views: &[MemberView]) {
        let live = || views.iter().filter(|view| view.state.is_live());
        let incarnations: LiveIncarnations =
            live().map(|view| (view.id, view.incarnation)).collect();
        for (daemon, incarnation) in self.core.incarnations.load().iter() {
            if incarnations
                .get(daemon)
                .is_none_or(|current| current > incarnation)
            {
                self.keys.on_holder_gone(HolderId {
                    daemon: *daemon,
                    incarnation: *incarnation,
                });
            }
        }
        self.core.incarnations.store(Arc::new(incarnations));
        let accepting = live().filter(|view| !view.draining);
        let holders = accepting.map(|view| {
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
        self.run_member_outputs(outputs);
        // Gossips the update once more, since the control loop ends here and ticks no more.
        let outputs = self.members.on_tick();
        self.run_member_outputs(outputs);
        self.sender.flush();
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
        record_interval: settings.log_retention() / RENEWALS_PER_RETENTION,
        seeds: settings.peers.clone(),
        join_timing: members::JoinTiming::default(),
    }
}
