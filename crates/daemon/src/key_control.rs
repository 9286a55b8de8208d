//! The part of the control loop that keeps leases, homes and handovers.
//!
//! Few daemons of each failure domain are key homes and keep leases on the
//! log; every daemon hears who holds which range, from peers. A home whose
//! ranges belong elsewhere, as when it drains, hands them over page by page
//! before it releases them on the log.

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

/// Stream of the leases.
const LEASE_STREAM: &str = "leases";
/// How long a read of the lease stream waits for a record.
const LEASE_WAIT: Duration = Duration::from_secs(1);
/// Members told of a newer view of the leases.
const VIEW_FAN_OUT: usize = 4;
/// Ticks of the loop between two questions for a newer view.
const ASK_TICKS: u64 = 20;
/// Ticks of the loop between two looks for misplaced ranges.
const HANDOVER_TICKS: u64 = 10;
/// Time for a successor to take one page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// What daemons tell one another about keys and leases.
#[derive(Debug, Deserialize, Serialize)]
pub enum OnceMessage {
    /// Who holds which range.
    View(LeaseView),
    /// Asks for a view that is newer than this offset, and for moves.
    AskView(LogOffset),
    /// An issuer's keys have another home.
    Move(IssuerMove),
    /// What came of a call whose book was handed over.
    Settlement(KeySettlement),
}

/// Messages for other daemons.
pub type OutgoingMessages = Vec<(DaemonId, OnceMessage)>;

/// Leases and homes of one daemon.
#[derive(Debug)]
pub struct KeyControl {
    core: Arc<DaemonCore>,
    keeper: LeaseKeeper,
    desk: LogJobRunner,
    random: SmallRng,
    members: Vec<(DomainName, HolderId)>,
    held: BTreeSet<TermRef>,
    is_home: bool,
    handing: bool,
    leaving: bool,
    ticks: u64,
}

impl KeyControl {
    /// The control of a daemon that is no home yet.
    pub fn new(core: Arc<DaemonCore>, desk: LogJobRunner, mut random: SmallRng) -> Self {
        let settings = LeaseSettings::default();
        let clock = Arc::clone(&core.clock);
        let keeper_random = SmallRng::from_rng(&mut random);
        Self {
            keeper: LeaseKeeper::new(core.keys.me, settings, clock, keeper_random),
            core,
            desk,
            random,
            members: Vec::new(),
            held: BTreeSet::new(),
            is_home: false,
            handing: false,
            leaving: false,
            ticks: 0,
        }
    }

    /// Takes the live members that do not drain.
    pub fn set_members(&mut self, members: Vec<(DomainName, HolderId)>) {
        self.members = members;
        let me = self.core.keys.me;
        let others = || self.members.iter().filter(|(_, member)| *member != me);
        let able: Vec<(DomainName, HolderId)> = if self.leaving {
            others().cloned().collect()
        } else {
            self.members.clone()
        };
        let homes = pick_homes(&able);
        self.is_home = homes.contains(&me);
        self.core.homes.store(Arc::new(homes.clone()));
        self.keeper.set_homes(homes);
    }

    /// Begins to hand everything over.
    pub fn leave(&mut self) {
        self.leaving = true;
        let members = std::mem::take(&mut self.members);
        self.set_members(members);
    }

    /// Whether a leaving daemon has handed over all ranges that it held.
    pub fn has_handed_over(&self) -> bool {
        let alone = self.members.len() <= 1;
        alone || (!self.handing && self.keeper.held().next().is_none())
    }

    /// Does what is due; called on every tick of the loop.
    pub fn on_tick(&mut self) -> OutgoingMessages {
        self.ticks += 1;
        let mut sends = OutgoingMessages::new();
        if self.is_home || self.keeper.held().next().is_some() {
            let outputs = self.keeper.on_tick();
            sends.extend(self.do_leases(outputs));
        }
        self.core.keys.home().on_tick(self.keeper.log_now());
        self.core.keys.poison().on_tick();
        if self.ticks.is_multiple_of(ASK_TICKS) {
            sends.extend(self.ask_view());
        }
        if self.ticks.is_multiple_of(HANDOVER_TICKS) && !self.handing {
            self.hand_over();
        }
        sends
    }

    /// Takes the answer to a read of the lease stream.
    pub fn on_read(&mut self, answer: Result<ReadReply, KindError>) -> OutgoingMessages {
        match answer {
            Ok(answer) => {
                let outputs = self.keeper.on_read(&answer);
                self.do_leases(outputs)
            }
            Err(error) => {
                self.core.counters.count_error(error.kind);
                self.keeper.on_read_failed();
                OutgoingMessages::new()
            }
        }
    }

    /// Takes the answer to an append to the lease stream.
    pub fn on_appended(&mut self, serial: u64, answer: &Result<LogOffset, KindError>) {
        self.keeper.on_appended(serial, answer.is_ok());
    }

    /// Takes a message of a peer.
    pub fn on_message(&mut self, from: DaemonId, message: OnceMessage) -> OutgoingMessages {
        match message {
            OnceMessage::View(view) => self.take_view(&view),
            OnceMessage::AskView(known) => self.answer_view(from, known),
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

    /// Takes note that a run of a daemon is over.
    pub fn on_holder_gone(&self, holder: HolderId) {
        self.core.keys.home().on_holder_gone(holder);
    }

    /// Ends a handover: releases on the log what the successors hold now.
    pub fn on_handover_ended(&mut self, done: HandoverOutcome) -> OutgoingMessages {
        self.handing = false;
        for (successor, terms) in done.released {
            self.core.counters.add("ranges-handed", terms.len() as u64);
            self.keeper.release(terms, successor);
        }
        let mut sends = OutgoingMessages::new();
        for change in done.moves {
            self.core.keys.router().on_move(change);
            let others = self.others().map(|holder| holder.daemon);
            sends.extend(others.map(|to| (to, OnceMessage::Move(change))));
        }
        sends
    }

    fn others(&self) -> impl Iterator<Item = HolderId> {
        let me = self.core.keys.me;
        let holders = self.members.iter().map(|(_, holder)| *holder);
        holders.filter(move |holder| *holder != me)
    }

    fn do_leases(&mut self, outputs: Vec<LeaseOutput>) -> OutgoingMessages {
        let mut sends = OutgoingMessages::new();
        let mut moved = MovedRanges::default();
        for output in outputs {
            match output {
                LeaseOutput::Read { from, limit } => self.read_leases(from, limit),
                LeaseOutput::Append { serial, body } => {
                    let stream = LEASE_STREAM.parse().expect("a constant name is valid");
                    self.desk.append(JobOwner::Leases(serial), stream, body);
                }
                LeaseOutput::Term(update) => self.take_term(update, &mut moved),
                LeaseOutput::View(view) => sends.extend(self.take_view(&view)),
                LeaseOutput::Alarm(error) => log::error!("leases: {error}"),
            }
        }
        self.note_moved(&moved);
        sends
    }

    /// Takes a change of this home's terms; tells whether a range came or went.
    fn take_term(&mut self, update: TermUpdate, moved: &mut MovedRanges) {
        match update {
            TermUpdate::Held { range, term, .. } => {
                if self.held.insert(TermRef::new(range, term.epoch)) {
                    moved.taken.push(range);
                }
            }
            TermUpdate::Ended(term) => {
                self.held.remove(&term);
                moved.lost.push(term.range);
            }
        }
        self.core.keys.home().on_term(update);
    }

    /// Notes ranges that came and went, one event each way.
    fn note_moved(&self, moved: &MovedRanges) {
        if !moved.taken.is_empty() {
            let detail = name_ranges(&moved.taken);
            self.core.record_event(EventKind::LeaseTaken, &detail);
        }
        if !moved.lost.is_empty() {
            let detail = name_ranges(&moved.lost);
            self.core.record_event(EventKind::LeaseLost, &detail);
        }
    }

    fn read_leases(&self, from: LogOffset, limit: RecordCount) {
        let read = LogRead {
            tag: LogTag::default(),
            stream: LEASE_STREAM.parse().expect("a constant name is valid"),
            from,
            limit,
            wait: LEASE_WAIT,
        };
        self.desk.read(JobOwner::Leases(0), read);
    }

    /// Keeps a newer view and passes it on.
    fn take_view(&mut self, view: &LeaseView) -> OutgoingMessages {
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

    fn ask_view(&mut self) -> OutgoingMessages {
        let others: Vec<HolderId> = self.others().collect();
        let known = self.core.keys.router().view().next;
        let asked = others.choose(&mut self.random);
        asked
            .map(|holder| (holder.daemon, OnceMessage::AskView(known)))
            .into_iter()
            .collect()
    }

    fn answer_view(&self, from: DaemonId, known: LogOffset) -> OutgoingMessages {
        let router = self.core.keys.router();
        let mut sends = OutgoingMessages::new();
        if router.view().next > known {
            sends.push((from, OnceMessage::View(router.view().clone())));
        }
        let moves = router.moves();
        sends.extend(moves.map(|change| (from, OnceMessage::Move(change))));
        sends
    }

    /// Starts to hand over the ranges that other homes should hold.
    fn hand_over(&mut self) {
        let misplaced = self.keeper.terms_to_hand_over();
        let mut plan: VecDeque<HandoverStep> = VecDeque::new();
        for (successor, terms) in misplaced {
            plan.push_back(HandoverStep {
                successor,
                books: terms.iter().map(|term| ShardId::Range(*term)).collect(),
                terms,
            });
        }
        let holders: Vec<HolderId> = self.members.iter().map(|(_, holder)| *holder).collect();
        if self.leaving
            && let Some(successor) = pick_successor(self.core.keys.me, &holders)
        {
            let books = self.core.keys.home().shards_to_hand_over();
            plan.push_back(HandoverStep {
                successor,
                books: books
                    .into_iter()
                    .filter(|book| matches!(book, ShardId::Issuer(_)))
                    .collect(),
                terms: SmallVec::new(),
            });
        }
        if plan.is_empty() {
            return;
        }
        self.handing = true;
        let core = Arc::clone(&self.core);
        let events = self.desk.events().clone();
        self.core.tasks.spawn(async move {
            let done = run_handover(&core, plan).await;
            // A loop that has ended needs no answer.
            let _ = events
                .send(crate::control::ControlEvent::HandoverEnded(done))
                .await;
        });
    }
}

/// Ranges that came to this home and went from it.
#[derive(Debug, Default)]
struct MovedRanges {
    taken: SmallVec<[KeyRange; 8]>,
    lost: SmallVec<[KeyRange; 8]>,
}

/// The ranges in a few words.
fn name_ranges(ranges: &[KeyRange]) -> String {
    const NAMED: usize = 8;
    let named: Vec<String> = ranges.iter().take(NAMED).map(ToString::to_string).collect();
    let more = if ranges.len() > NAMED { ", ..." } else { "" };
    format!("{} ranges: {}{more}", ranges.len(), named.join(", "))
}

/// The message that carries an outcome to a book's next home.
pub fn settlement_message(handed: HandedOutcome) -> (DaemonId, OnceMessage) {
    let to = handed.to.daemon;
    (to, OnceMessage::Settlement(handed.settlement))
}

/// Books for one successor, and the terms to release once it holds them.
#[derive(Debug)]
struct HandoverStep {
    successor: HolderId,
    books: Vec<ShardId>,
    terms: SmallVec<[TermRef; 8]>,
}

/// What a handover came to.
#[derive(Debug, Default)]
pub struct HandoverOutcome {
    released: Vec<(HolderId, SmallVec<[TermRef; 8]>)>,
    moves: Vec<IssuerMove>,
}

async fn run_handover(core: &Arc<DaemonCore>, plan: VecDeque<HandoverStep>) -> HandoverOutcome {
    let mut done = HandoverOutcome::default();
    for step in plan {
        let mut handed = Vec::new();
        for book in step.books {
            match send_book(core, book, step.successor).await {
                Ok(()) => handed.push(book),
                Err(error) => {
                    core.counters.count_error(error.kind);
                    log::warn!("{book} was not handed over: {error}");
                }
            }
        }
        for book in &handed {
            if let ShardId::Issuer(issuer) = book {
                done.moves.push(IssuerMove {
                    issuer: *issuer,
                    successor: step.successor,
                });
            }
        }
        let is_handed = |term: &TermRef| handed.contains(&ShardId::Range(*term));
        let terms: SmallVec<[TermRef; 8]> = step.terms.into_iter().filter(is_handed).collect();
        if !terms.is_empty() {
            done.released.push((step.successor, terms));
        }
    }
    done
}

async fn send_book(core: &Arc<DaemonCore>, id: ShardId, successor: HolderId) -> model::Result<()> {
    let pages = core.keys.home().seal(id, successor)?;
    let mut number = 0;
    // Each page is sent once and, at the most, the whole book once more.
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
        "the successor does not take the pages",
    ))
}

async fn send_page(
    core: &Arc<DaemonCore>,
    successor: HolderId,
    page: &HandoverPage,
) -> model::Result<StageAnswer> {
    let request = PeerRequest::Stage {
        from: core.keys.me,
        page: Box::new(page.clone()),
    };
    let answer: model::Result<StageAnswer> =
        core.ask(successor.daemon, &request, PAGE_TIMEOUT).await?;
    answer
}
