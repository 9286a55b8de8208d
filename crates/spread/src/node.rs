//! The distributor of one daemon, a state machine without sockets or threads.
//!
//! The owner calls [`SpreadNode::on_tick`] about every 100 ms, hands over what
//! peers and the log answer, and carries out the outputs in order. The parts
//! with a job of their own live in other modules; this one keeps them together
//! and decides whether this daemon reads the log.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::{ConfigVersion, DaemonId, DomainName, SharedClock};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::acks::{AckSum, AckTable, FleetSummary};
use crate::freshness::{FreshnessDeadlines, FreshnessReport, FreshnessState, FreshnessTracker};
use crate::heartbeats::RootTable;
use crate::message::{
    DomainReport, LogTag, OutputList, ReaderList, SpreadAlarm, SpreadMessage, SpreadOutput,
};
use crate::questions::QuestionTable;
use crate::reader::{ConfigReader, LogState};
use crate::recovery::RecoverySearch;
use crate::replica::{HeadUpdate, ReplicaHead, ReplicaPort};
use crate::roster::{MemberRoster, SpreadMember};
use crate::settings::SpreadSettings;
use crate::snapshots::SnapshotManager;
use crate::transfer::{PullState, TransferTokens};

/// Time in which a reader of a better rank must have been heard.
const RIVAL_WINDOW: Duration = Duration::from_secs(1);

/// Peers without a configuration after which a daemon that starts asks the log.
const MAX_EMPTY_ANSWERS: u32 = 3;

/// The distributor of one daemon.
#[derive(Debug)]
pub struct SpreadNode<R> {
    pub(crate) settings: SpreadSettings,
    pub(crate) clock: SharedClock,
    pub(crate) rng: SmallRng,
    pub(crate) replica: R,
    pub(crate) roster: MemberRoster,
    pub(crate) head: ReplicaHead,
    pub(crate) stage: StartStage,
    pub(crate) in_force: ConfigVersion,
    pub(crate) applied_at: Instant,
    pub(crate) reader: ConfigReader,
    pub(crate) recovery: RecoverySearch,
    pub(crate) snapshots: SnapshotManager,
    pub(crate) freshness: FreshnessTracker,
    pub(crate) roots: RootTable,
    pub(crate) acks: AckTable,
    pub(crate) questions: QuestionTable,
    pub(crate) pull: PullState,
    pub(crate) tokens: TransferTokens,
    pub(crate) timers: NodeTimers,
    pub(crate) empty_answers: u32,
    pub(crate) peer_heads: BTreeMap<DaemonId, ReplicaHead>,
    pub(crate) reports: BTreeMap<DaemonId, HeardReport>,
    pub(crate) fleet: KnownFleet,
    pub(crate) newest_seen: Option<NewerHead>,
    pub(crate) contradicted_at: Option<Instant>,
    pub(crate) cached_update: Option<HeadUpdate>,
    pub(crate) beat_number: u32,
    started_at: Instant,
    members_known: bool,
    acting: bool,
    last_tag: LogTag,
    pub(crate) last_state: LogState,
    pub(crate) last_case: FreshnessState,
}

/// How far a daemon that starts has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StartStage {
    /// It holds nothing.
    Absent,
    /// It holds a state since then, which may be older than the fleet's.
    Unproven(Instant),
    /// Its configuration is in force.
    Serving,
}

/// When periodic work is next due.
#[derive(Debug)]
pub(crate) struct NodeTimers {
    pub(crate) next_beat: Instant,
    pub(crate) last_beat: Option<Instant>,
    pub(crate) next_ack: Instant,
    pub(crate) last_ack: Option<Instant>,
    pub(crate) next_exchange: Instant,
    pub(crate) next_report: Instant,
    pub(crate) last_report: Option<Instant>,
}

/// The fleet as last heard, or as summed up here.
#[derive(Debug, Default)]
pub(crate) struct KnownFleet {
    pub(crate) summary: FleetSummary,
    pub(crate) heard_at: Option<Instant>,
    pub(crate) changed: bool,
    pub(crate) repeats: u32,
    pub(crate) reported: AckSum,
    pub(crate) report_again: bool,
    pub(crate) readers: BTreeMap<DomainName, ReaderList>,
}

/// The last report of another domain's reader.
#[derive(Debug)]
pub(crate) struct HeardReport {
    pub(crate) heard_at: Instant,
    pub(crate) report: DomainReport,
}

/// The newest head heard of that is newer than ours.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NewerHead {
    pub(crate) head: ReplicaHead,
    pub(crate) since: Instant,
}

impl<R: ReplicaPort> SpreadNode<R> {
    /// A distributor that holds no configuration yet.
    pub fn new(
        settings: SpreadSettings,
        clock: SharedClock,
        mut rng: SmallRng,
        replica: R,
        own: SpreadMember,
    ) -> Self {
        let now = clock.now();
        let timers = NodeTimers::new(&settings, &mut rng, now);
        let tokens = TransferTokens::new(settings.transfer_tokens, now);
        let head = ReplicaHead::of(&replica, 0);
        Self {
            settings,
            clock,
            rng,
            replica,
            roster: MemberRoster::new(own),
            head,
            stage: StartStage::Absent,
            in_force: ConfigVersion::NONE,
            applied_at: now,
            reader: ConfigReader::new(),
            recovery: RecoverySearch::default(),
            snapshots: SnapshotManager::default(),
            freshness: FreshnessTracker::default(),
            roots: RootTable::default(),
            acks: AckTable::default(),
            questions: QuestionTable::default(),
            pull: PullState::default(),
            tokens,
            timers,
            empty_answers: 0,
            peer_heads: BTreeMap::new(),
            reports: BTreeMap::new(),
            fleet: KnownFleet::default(),
            newest_seen: None,
            contradicted_at: None,
            cached_update: None,
            beat_number: 0,
            started_at: now,
            members_known: false,
            acting: false,
            last_tag: LogTag::default(),
            last_state: LogState::Unknown,
            last_case: FreshnessState::Absent,
        }
    }

    /// Takes the live members anew; nothing is read from the log before the first call.
    pub fn set_members(&mut self, members: &[SpreadMember]) {
        let now = self.clock.now();
        if !self.members_known {
            self.started_at = now;
        }
        self.members_known = true;
        self.roster.set(members);
        let roster = &self.roster;
        self.peer_heads.retain(|id, _| roster.contains(*id));
        self.reports.retain(|id, _| roster.contains(*id));
        self.fleet.readers.clear();
        for domain in self.roster.domains() {
            self.freshness.register_domain(domain, now);
        }
    }

    /// The head of the replica.
    pub fn head(&self) -> ReplicaHead {
        self.head
    }

    /// The replica, to build tables from.
    pub fn replica(&self) -> &R {
        &self.replica
    }

    /// Whether this daemon holds a configuration that it may put in force.
    pub fn is_serving(&self) -> bool {
        self.stage == StartStage::Serving
    }

    /// Whether this daemon holds a state that it may hand to peers.
    pub(crate) fn is_loaded(&self) -> bool {
        self.stage != StartStage::Absent
    }

    /// Whether this daemon reads the log.
    pub fn is_reading(&self) -> bool {
        self.acting
    }

    /// What this daemon knows of the log, if it reads it.
    pub fn log_state(&self) -> LogState {
        self.reader.state()
    }

    /// How far this daemon can answer for its configuration.
    pub fn freshness(&self) -> FreshnessReport {
        let now = self.clock.now();
        self.report_freshness(now)
    }

    /// The same for later moments, for those who cannot ask each time.
    pub fn freshness_deadlines(&self) -> FreshnessDeadlines {
        self.freshness.deadlines(self.is_serving(), &self.settings)
    }

    pub(crate) fn report_freshness(&self, now: Instant) -> FreshnessReport {
        let serving = self.is_serving();
        self.freshness.report(serving, &self.settings, now)
    }

    /// The fleet as this daemon last heard, and how long ago.
    pub fn fleet_summary(&self) -> Option<(&FleetSummary, Duration)> {
        let now = self.clock.now();
        let at = self.fleet.heard_at?;
        Some((&self.fleet.summary, now.saturating_duration_since(at)))
    }

    /// The owner's table of `version` is in force; from now on it is acknowledged.
    pub fn on_in_force(&mut self, version: ConfigVersion) {
        if version > self.in_force {
            self.in_force = version;
            self.acks.mark_changed();
        }
    }

    /// Does what has become due; to be called about every 100 ms.
    pub fn on_tick(&mut self) -> OutputList {
        let now = self.clock.now();
        let mut outputs = OutputList::new();
        self.expire(now);
        self.judge_role(&mut outputs, now);
        if self.acting {
            self.tick_log(&mut outputs, now);
            self.tick_reports(&mut outputs, now);
            self.tick_beat(&mut outputs, now);
        }
        self.tick_acks(&mut outputs, now);
        self.tick_exchange(&mut outputs, now);
        self.note_changes(&mut outputs, now);
        outputs
    }

    /// Takes a message of a peer; one that breaks a bound is dropped.
    pub fn on_peer_message(&mut self, from: DaemonId, message: SpreadMessage) -> OutputList {
        let now = self.clock.now();
        let mut outputs = OutputList::new();
        match message.check() {
            Ok(()) => self.take_message(from, message, &mut outputs, now),
            Err(error) => outputs.push(SpreadOutput::Alarm(SpreadAlarm::MessageRefused {
                peer: from,
                kind: error.kind,
            })),
        }
        self.note_changes(&mut outputs, now);
        outputs
    }

    fn expire(&mut self, now: Instant) {
        self.roots.expire(now);
        self.acks.expire(now);
        self.questions.expire(now);
        self.snapshots.expire(now);
        self.reader.expire(&self.settings, &mut self.rng, now);
    }

    /// Starts or stops reading the log.
    fn judge_role(&mut self, outputs: &mut OutputList, now: Instant) {
        let acting = self.should_read(now);
        if acting == self.acting {
            return;
        }
        self.acting = acting;
        self.reader.stop();
        self.end_recovery();
        self.last_state = LogState::Unknown;
        self.timers.next_beat = now;
        let alarm = if acting {
            SpreadAlarm::ReaderStarted
        } else {
            SpreadAlarm::ReaderStopped
        };
        outputs.push(SpreadOutput::Alarm(alarm));
    }

    fn should_read(&self, now: Instant) -> bool {
        if !self.members_known {
            return false;
        }
        let own = self.roster.own().id;
        let rank = self.roster.rank_of(own).unwrap_or(0);
        let Some(behind) = (rank + 1).checked_sub(self.settings.readers + 1) else {
            return true;
        };
        if self.acting {
            return self.rivals(rank, now) < self.settings.readers;
        }
        let heard_at = self.roots.last_heard().max(Some(self.started_at));
        let silence = heard_at.map(|at| now.saturating_duration_since(at));
        let patience = self.settings.takeover_timeout
            + self.settings.takeover_stagger * u32::try_from(behind).unwrap_or(u32::MAX);
        silence.is_some_and(|silence| silence >= patience)
    }

    /// Readers of a better rank that were heard just now.
    fn rivals(&self, rank: usize, now: Instant) -> usize {
        let better = |root: &&DaemonId| {
            let other = self.roster.rank_of(**root);
            other.is_some_and(|other| other < rank)
        };
        let heard = self.roots.heard_within(RIVAL_WINDOW, now);
        heard.iter().filter(better).count()
    }

    /// Whether a daemon that starts has asked its peers for long enough.
    pub(crate) fn is_start_over(&self, now: Instant) -> bool {
        self.empty_answers >= MAX_EMPTY_ANSWERS
            || now.saturating_duration_since(self.started_at) >= self.settings.startup_peer_wait
    }

    /// A tag for the next read or append.
    pub(crate) fn next_tag(&mut self) -> LogTag {
        self.last_tag.0 += 1;
        self.last_tag
    }
}

impl NodeTimers {
    /// Timers whose first times are spread over their intervals.
    fn new(settings: &SpreadSettings, rng: &mut SmallRng, now: Instant) -> Self {
        let mut within = |interval: Duration| now + interval.mul_f64(rng.random::<f64>());
        Self {
            next_beat: now,
            last_beat: None,
            next_ack: within(settings.ack_interval),
            last_ack: None,
            next_exchange: within(settings.compare_interval / 4),
            next_report: within(settings.report_interval),
            last_report: None,
        }
    }
}
