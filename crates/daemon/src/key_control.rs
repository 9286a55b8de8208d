//! The part of the control loop that manages leases, key homes and handovers.
//!
//! A few daemons of each failure domain are homes of idempotency keys and hold leases on
//! key ranges, which are recorded in the log. Every daemon learns from peers which home
//! holds which range. A home that should no longer hold its ranges, for instance because it
//! drains, sends them to their successors in pages before it releases them in the log.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use feed::ReadReply;
use model::{DaemonId, DomainName, KindError, LogOffset, RecordCount};
use once::home::{HandedOutcome, HandoverPage, KeySettlement};
use once::lease::{KeyRange, LeaseView, TermRef, pick_homes, pick_successor};
use once::{
    HolderId, IssuerMove, LeaseKeeper, LeaseOutput, LeaseSettings, ShardId, StageAnswer, TermUpdate,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use spread::LogTag;
use spread::message::LogRead;
use trace::EventKind;

use crate::core::DaemonCore;
use crate::log_jobs::{JobOwner, LogJobRunner};
use crate::peer_messages::PeerRequest;

/// Log stream of the leases.
const LEASE_STREAM: &str = "leases";
/// Time for which a read of the lease stream waits for a record.
const LEASE_READ_WAIT: Duration = Duration::from_secs(1);
/// Number of members that a newer view of the leases is forwarded to.
const VIEW_FAN_OUT: usize = 4;
/// Ticks of the control loop between two requests for a newer view.
const VIEW_REQUEST_TICKS: u64 = 20;
/// Ticks of the control loop between two checks for misplaced ranges.
const HANDOVER_TICKS: u64 = 10;
/// Time for a successor to accept one page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Messages between daemons about idempotency keys and leases.
#[derive(Debug, Deserialize, Serialize)]
pub enum OnceMessage {
    /// The view of which home holds which range.
    View(LeaseView),
    /// Requests a view that is newer than this offset, and the known moves.
    AskView(LogOffset),
    /// The keys that one run of a daemon issued moved to another home.
    Move(IssuerMove),
    /// The outcome of a call whose shard was handed over.
    Settlement(KeySettlement),
}

/// Messages to send, with their receivers.
pub type OutgoingMessages = Vec<(DaemonId, OnceMessage)>;

/// Leases, homes and handovers of one daemon.
#[derive(Debug)]
pub struct KeyControl {
    core: Arc<DaemonCore>,
    keeper: LeaseKeeper,
    log_jobs: LogJobRunner,
    random: SmallRng,
    members: Vec<(DomainName, HolderId)>,
    /// Terms whose start was recorded as an event, until they end.
    held: BTreeSet<TermRef>,
    is_home: bool,
    handover_running: bool,
    leaving: bool,
    ticks: u64,
}

impl KeyControl {
    /// Returns the state of a daemon that is not a home yet.
    pub fn new(core: Arc<DaemonCore>, log_jobs: LogJobRunner, mut random: SmallRng) -> Self {
        let settings = LeaseSettings::default();
        let clock = Arc::clone(&core.clock);
        let keeper_random = SmallRng::from_rng(&mut random);
        Self {
            keeper: LeaseKeeper::new(core.keys.own_id, settings, clock, keeper_random),
            core,
            log_jobs,
            random,
            members: Vec::new(),
            held: BTreeSet::new(),
            is_home: false,
            handover_running: false,
            leaving: false,
            ticks: 0,
        }
    }

    /// Sets the live members that are not draining.
    pub fn set_members(&mut self, members: Vec<(DomainName, HolderId)>) {
        self.members = members;
        let own_id = self.core.keys.own_id;
        let others = || self.members.iter().filter(|(_, member)| *member != own_id);
        let candidates: Vec<(DomainName, HolderId)> = if self.leaving {
            others().cloned().collect()
        } else {
            self.members.clone()
        };
        let homes = pick_homes(&candidates);
        self.is_home = homes.contains(&own_id);
        self.core.homes.store(Arc::new(homes.clone()));
        self.keeper.set_homes(homes);
    }

    /// Starts to hand over all keys before the daemon leaves.
    pub fn leave(&mut self) {
        self.leaving = true;
        let members = std::mem::take(&mut self.members);
        self.set_members(members);
    }

    /// Returns whether a leaving daemon has handed over all ranges that it held.
    ///
    /// A daemon without other members has nobody to hand them to.
    pub fn has_handed_over(&self) -> bool {
        let alone = self.members.len() <= 1;
        alone || (!self.handover_running && self.keeper.held().next().is_none())
    }

    /// Does the periodic work; called on every tick of the control loop.
    pub fn on_tick(&mut self) -> OutgoingMessages {
        self.ticks += 1;
        let mut messages = OutgoingMessages::new();
        if self.is_home || self.keeper.held().next().is_some() {
            let outputs = self.keeper.on_tick();
            messages.extend(self.run_lease_outputs(outputs));
        }
        self.core.keys.home().on_tick(self.keeper.log_now());
        self.core.keys.poison().on_tick();
        if self.ticks.is_multiple_of(VIEW_REQUEST_TICKS) {
            messages.extend(self.request_view());
        }
        if self.ticks.is_multiple_of(HANDOVER_TICKS) && !self.handover_running {
            self.start_handover();
        }
        messages
    }

    /// Handles the answer to a read of the lease stream.
    pub fn on_read(&mut self, answer: Result<ReadReply, KindError>) -> OutgoingMessages {
        match answer {
            Ok(answer) => {
                let outputs = self.keeper.on_read(&answer);
                self.run_lease_outputs(outputs)
            }
            Err(error) => {
                self.core.counters.count_error(error.kind);
                self.keeper.on_read_failed();
                OutgoingMessages::new()
            }
        }
    }

    /// Handles the answer to an append to the lease stream.
    pub fn on_appended(&mut self, serial: u64, answer: &Result<LogOffset, KindError>) {
        self.keeper.on_appended(serial, answer.is_ok());
    }

    /// Handles a message from a peer.
    pub fn on_message(&mut self, from: DaemonId, message: OnceMessage) -> OutgoingMessages {
        match message {
            OnceMessage::View(view) => self.apply_view(&view),
            OnceMessage::AskView(known) => self.reply_with_view(from, known),
            OnceMessage::Move(change) => {
                self.core.keys.router().on_move(change);
                OutgoingMessages::new()
            }
            OnceMessage::Settlement(settlement) => {
                let handed = self.core.keys.home().on_settlement(settlement);
                handed.map(settlement_message).into_iter().collect()
            }
        }
    }

    /// Notes that an incarnation of a daemon has ended.
    pub fn on_holder_gone(&self, holder: HolderId) {
        self.core.keys.home().on_holder_gone(holder);
    }

    /// Finishes a handover: releases in the log the ranges that the successors now hold.
    pub fn on_handover_ended(&mut self, outcome: HandoverOutcome) -> OutgoingMessages {
        self.handover_running = false;
        for (successor, terms) in outcome.released {
            self.core.counters.add("ranges-handed", terms.len() as u64);
            self.keeper.release(terms, successor);
        }
        let mut messages = OutgoingMessages::new();
        for change in outcome.moves {
            self.core.keys.router().on_move(change);
            let others = self.others().map(|holder| holder.daemon);
            messages.extend(others.map(|to| (to, OnceMessage::Move(change))));
        }
        messages
    }

    fn others(&self) -> impl Iterator<Item = HolderId> {
        let own_id = self.core.keys.own_id;
        let holders = self.members.iter().map(|(_, holder)| *holder);
        holders.filter(move |holder| *holder != own_id)
    }

    fn run_lease_outputs(&mut self, outputs: Vec<LeaseOutput>) -> OutgoingMessages {
        let mut messages = OutgoingMessages::new();
        let mut moved = MovedRanges::default();
        for output in outputs {
            match output {
                LeaseOutput::Read { from, limit } => self.read_leases(from, limit),
                LeaseOutput::Append { serial, body } => {
                    let stream = LEASE_STREAM.parse().expect("a constant name is valid");
                    self.log_jobs.append(JobOwner::Leases(serial), stream, body);
                }
                LeaseOutput::Term(update) => self.apply_term(update, &mut moved),
                LeaseOutput::View(view) => messages.extend(self.apply_view(&view)),
                LeaseOutput::Alarm(error) => log::error!("leases: {error}"),
            }
        }
        self.record_moved_ranges(&moved);
        messages
    }

    /// Applies a change of this home's terms and adds gained and lost ranges to `moved`.
    fn apply_term(&mut self, update: TermUpdate, moved: &mut MovedRanges) {
        match update {
            TermUpdate::Held { range, term, .. } => {
                if self.held.insert(TermRef::new(range, term.epoch)) {
                    moved.gained.push(range);
                }
            }
            TermUpdate::Ended(term) => {
                self.held.remove(&term);
                moved.lost.push(term.range);
            }
        }
        self.core.keys.home().on_term(update);
    }

    /// Records one event for all gained and one for all lost ranges.
    fn record_moved_ranges(&self, moved: &MovedRanges) {
        if !moved.gained.is_empty() {
            let detail = describe_ranges(&moved.gained);
            self.core.record_event(EventKind::LeaseTaken, &detail);
        }
        if !moved.lost.is_empty() {
            let detail = describe_ranges(&moved.lost);
            self.core.record_event(EventKind::LeaseLost, &detail);
        }
    }

    fn read_leases(&self, from: LogOffset, limit: RecordCount) {
        let read = LogRead {
            tag: LogTag::default(),
            stream: LEASE_STREAM.parse().expect("a constant name is valid"),
            from,
            limit,
            wait: LEASE_READ_WAIT,
        };
        self.log_jobs.read(JobOwner::Leases(0), read);
    }

    /// Keeps a newer view and forwards it to some members.
    fn apply_view(&mut self, view: &LeaseView) -> OutgoingMessages {
        self.core.keys.issuer().observe(view);
        self.keeper.on_view(view);
        if !self.core.keys.router().on_view(view.clone()) {
            return OutgoingMessages::new();
        }
        let others: Vec<HolderId> = self.others().collect();
        let chosen = others.choose_multiple(&mut self.random, VIEW_FAN_OUT);
        chosen
            .map(|holder| (holder.daemon, OnceMessage::View(view.clone())))
            .collect()
    }

    fn request_view(&mut self) -> OutgoingMessages {
        let others: Vec<HolderId> = self.others().collect();
        let known = self.core.keys.router().view().next;
        let asked = others.choose(&mut self.random);
        asked
            .map(|holder| (holder.daemon, OnceMessage::AskView(known)))
            .into_iter()
            .collect()
    }

    fn reply_with_view(&self, from: DaemonId, known: LogOffset) -> OutgoingMessages {
        let router = self.core.keys.router();
        let mut messages = OutgoingMessages::new();
        if router.view().next > known {
            messages.push((from, OnceMessage::View(router.view().clone())));
        }
        let moves = router.moves();
        messages.extend(moves.map(|change| (from, OnceMessage::Move(change))));
        messages
    }

    /// Starts to hand over ranges that other homes should hold.
    fn start_handover(&mut self) {
        let misplaced = self.keeper.terms_to_hand_over();
        let mut plan: VecDeque<HandoverStep> = VecDeque::new();
        for (successor, terms) in misplaced {
            plan.push_back(HandoverStep {
                successor,
                shards: terms.iter().map(|term| ShardId::Range(*term)).collect(),
                terms,
            });
        }
        let holders: Vec<HolderId> = self.members.iter().map(|(_, holder)| *holder).collect();
        if self.leaving
            && let Some(successor) = pick_successor(self.core.keys.own_id, &holders)
        {
            let shards = self.core.keys.home().shards_to_hand_over();
            plan.push_back(HandoverStep {
                successor,
                shards: shards
                    .into_iter()
                    .filter(|shard| matches!(shard, ShardId::Issuer(_)))
                    .collect(),
                terms: SmallVec::new(),
            });
        }
        if plan.is_empty() {
            return;
        }
        self.handover_running = true;
        let core = Arc::clone(&self.core);
        let events = self.log_jobs.events().clone();
        self.core.tasks.spawn(async move {
            let outcome = run_handover(&core, plan).await;
            // A control loop that has ended needs no answer.
            let _ = events
                .send(crate::control::ControlEvent::HandoverEnded(outcome))
                .await;
        });
    }
}

/// Ranges that this home gained and lost.
#[derive(Debug, Default)]
struct MovedRanges {
    gained: SmallVec<[KeyRange; 8]>,
    lost: SmallVec<[KeyRange; 8]>,
}

/// Returns a short text with the number of ranges and the first of them.
fn describe_ranges(ranges: &[KeyRange]) -> String {
    const MAX_NAMED: usize = 8;
    let named: Vec<String> = ranges
        .iter()
        .take(MAX_NAMED)
        .map(ToString::to_string)
        .collect();
    let more = if ranges.len() > MAX_NAMED {
        ", ..."
    } else {
        ""
    };
    format!("{} ranges: {}{more}", ranges.len(), named.join(", "))
}

/// Returns the message that carries an outcome to the next home of its shard.
pub fn settlement_message(handed: HandedOutcome) -> (DaemonId, OnceMessage) {
    let to = handed.to.daemon;
    (to, OnceMessage::Settlement(handed.settlement))
}

/// Shards for one successor, and the terms to release once it holds them.
///
/// A shard holds the keys of a range in one lease term, or the keys that one run of a daemon
/// issued, which have no term.
#[derive(Debug)]
struct HandoverStep {
    successor: HolderId,
    shards: Vec<ShardId>,
    terms: SmallVec<[TermRef; 8]>,
}

/// Result of a handover.
#[derive(Debug, Default)]
pub struct HandoverOutcome {
    released: Vec<(HolderId, SmallVec<[TermRef; 8]>)>,
    moves: Vec<IssuerMove>,
}

async fn run_handover(core: &Arc<DaemonCore>, plan: VecDeque<HandoverStep>) -> HandoverOutcome {
    let mut outcome = HandoverOutcome::default();
    for step in plan {
        let mut handed = Vec::new();
        for shard in step.shards {
            match send_shard(core, shard, step.successor).await {
                Ok(()) => handed.push(shard),
                Err(error) => {
                    core.counters.count_error(error.kind);
                    log::warn!("handover of {shard} failed: {error}");
                }
            }
        }
        for shard in &handed {
            if let ShardId::Issuer(issuer) = shard {
                outcome.moves.push(IssuerMove {
                    issuer: *issuer,
                    successor: step.successor,
                });
            }
        }
        let is_handed = |term: &TermRef| handed.contains(&ShardId::Range(*term));
        let terms: SmallVec<[TermRef; 8]> = step.terms.into_iter().filter(is_handed).collect();
        if !terms.is_empty() {
            outcome.released.push((step.successor, terms));
        }
    }
    outcome
}

async fn send_shard(core: &Arc<DaemonCore>, id: ShardId, successor: HolderId) -> model::Result<()> {
    let pages = core.keys.home().seal(id, successor)?;
    let mut number = 0;
    // Allows for sending every page a second time, in case the successor asks for earlier ones.
    for _ in 0..=2 * pages.len() {
        let Some(page) = pages.get(number) else {
            return Ok(());
        };
        match send_page(core, successor, page).await? {
            StageAnswer::Whole => return Ok(()),
            StageAnswer::Next(next) => number = next as usize,
        }
    }
    Err(KindError::new(
        model::ErrorKind::PeerUnavailable,
        "the successor did not accept all pages of the shard",
    ))
}

async fn send_page(
    core: &Arc<DaemonCore>,
    successor: HolderId,
    page: &HandoverPage,
) -> model::Result<StageAnswer> {
    let request = PeerRequest::Stage {
        from: core.keys.own_id,
        page: Box::new(page.clone()),
    };
    let answer: model::Result<StageAnswer> =
        core.ask(successor.daemon, &request, PAGE_TIMEOUT).await?;
    answer
}
