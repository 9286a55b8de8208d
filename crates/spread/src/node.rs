//! The distributor of one daemon, a state machine without sockets or threads.
//!
//! The owner calls [`SpreadNode::on_tick`] about every 100 ms, passes in messages
//! from peers and results from the log, and executes the outputs in order. This
//! module holds the state and decides whether this daemon reads the log; log
//! access, peer exchange, trees, reports and alarms are implemented in modules of
//! their own.

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

/// Time within which a heartbeat shows that a better-ranked reader is active.
const ACTIVE_READER_WINDOW: Duration = Duration::from_secs(1);

/// Number of responses without a configuration after which a starting daemon reads the log.
const MAX_EMPTY_RESPONSES: u32 = 3;

/// The distributor of one daemon.
#[derive(Debug)]
pub struct SpreadNode<R> {
    pub(crate) settings: SpreadSettings,
    pub(crate) clock: SharedClock,
    pub(crate) rng: SmallRng,
    pub(crate) replica: R,
    pub(crate) roster: MemberRoster,
    pub(crate) head: ReplicaHead,
    pub(crate) stage: StartupStage,
    pub(crate) in_force: ConfigVersion,
    /// Time of the last [`SpreadOutput::Applied`] or of the start of serving; before that,
    /// of the creation of this node.
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
    pub(crate) empty_responses: u32,
    /// Last head received from each peer, or the head that an update sent to it leads to.
    pub(crate) peer_heads: BTreeMap<DaemonId, ReplicaHead>,
    pub(crate) reports: BTreeMap<DaemonId, ReceivedReport>,
    pub(crate) fleet: FleetView,
    pub(crate) newer_head: Option<NewerHead>,
    /// Time of the last alarm about a peer with a different state.
    pub(crate) last_contradiction: Option<Instant>,
    pub(crate) cached_update: Option<HeadUpdate>,
    pub(crate) heartbeat_number: u32,
    started_at: Instant,
    members_known: bool,
    is_reading: bool,
    last_tag: LogTag,
    pub(crate) last_log_state: LogState,
    pub(crate) last_freshness: FreshnessState,
}

/// Startup progress of a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StartupStage {
    /// No state has been loaded.
    Absent,
    /// A state was loaded at this time; it may be older than the fleet's.
    Unproven(Instant),
    /// The configuration may be put in force.
    Serving,
}

/// Times of the last and next periodic work.
#[derive(Debug)]
pub(crate) struct NodeTimers {
    pub(crate) next_heartbeat: Instant,
    pub(crate) last_heartbeat: Option<Instant>,
    pub(crate) next_ack: Instant,
    pub(crate) last_ack: Option<Instant>,
    pub(crate) next_compare: Instant,
    pub(crate) next_report: Instant,
    pub(crate) last_report: Option<Instant>,
}

/// State of the fleet, as received from a reader or aggregated by this one.
#[derive(Debug, Default)]
pub(crate) struct FleetView {
    pub(crate) summary: FleetSummary,
    pub(crate) updated_at: Option<Instant>,
    /// Whether the summary changed since the last heartbeat.
    pub(crate) changed: bool,
    /// Number of next heartbeats that must carry the changed summary.
    pub(crate) summary_resends: u32,
    /// Aggregate of this daemon's domain at the last round of reports.
    pub(crate) last_sent_sum: AckSum,
    /// Whether the next round of reports repeats a changed aggregate.
    pub(crate) resend_report: bool,
    /// Readers of each other domain, as last reported by one of its members.
    pub(crate) readers: BTreeMap<DomainName, ReaderList>,
}

/// Last report of another domain's reader.
#[derive(Debug)]
pub(crate) struct ReceivedReport {
    pub(crate) received_at: Instant,
    pub(crate) report: DomainReport,
}

/// Newest known head that is newer than this daemon's.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NewerHead {
    pub(crate) head: ReplicaHead,
    /// Time at which this daemon fell behind; a newer `head` does not change it.
    pub(crate) since: Instant,
}

impl<R: ReplicaPort> SpreadNode<R> {
    /// Creates a distributor without a configuration.
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
            stage: StartupStage::Absent,
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
            empty_responses: 0,
            peer_heads: BTreeMap::new(),
            reports: BTreeMap::new(),
            fleet: FleetView::default(),
            newer_head: None,
            last_contradiction: None,
            cached_update: None,
            heartbeat_number: 0,
            started_at: now,
            members_known: false,
            is_reading: false,
            last_tag: LogTag::default(),
            last_log_state: LogState::Unknown,
            last_freshness: FreshnessState::Absent,
        }
    }

    /// Replaces the live members; nothing is read from the log before the first call.
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
        // The reported readers may have left. Until the next reports, the top-ranked
        // members of each domain take their place.
        self.fleet.readers.clear();
        for domain in self.roster.domains() {
            self.freshness.register_domain(domain, now);
        }
    }

    /// Returns the head of the replica.
    pub fn head(&self) -> ReplicaHead {
        self.head
    }

    /// Returns the replica, from which the owner builds its tables.
    pub fn replica(&self) -> &R {
        &self.replica
    }

    /// Returns whether this daemon has a configuration that may be in force.
    pub fn is_serving(&self) -> bool {
        self.stage == StartupStage::Serving
    }

    /// Returns whether this daemon has a state that it may send to peers.
    pub(crate) fn is_loaded(&self) -> bool {
        self.stage != StartupStage::Absent
    }

    /// Returns whether this daemon is a reader of the log.
    pub fn is_reading(&self) -> bool {
        self.is_reading
    }

    /// Returns the state of the log as known to this daemon; `Unknown` if it is not a reader.
    pub fn log_state(&self) -> LogState {
        self.reader.state()
    }

    /// Returns the current freshness of the configuration.
    pub fn freshness(&self) -> FreshnessReport {
        let now = self.clock.now();
        self.report_freshness(now)
    }

    /// Returns the freshness deadlines, for callers that evaluate them later
    /// without access to this node.
    pub fn freshness_deadlines(&self) -> FreshnessDeadlines {
        self.freshness.deadlines(self.is_serving(), &self.settings)
    }

    pub(crate) fn report_freshness(&self, now: Instant) -> FreshnessReport {
        let serving = self.is_serving();
        self.freshness.report(serving, &self.settings, now)
    }

    /// Returns the last known state of the fleet and its age.
    pub fn fleet_summary(&self) -> Option<(&FleetSummary, Duration)> {
        let now = self.clock.now();
        let at = self.fleet.updated_at?;
        Some((&self.fleet.summary, now.saturating_duration_since(at)))
    }

    /// Records that the owner's table of `version` is in force, and acknowledges it from now on.
    pub fn on_in_force(&mut self, version: ConfigVersion) {
        if version > self.in_force {
            self.in_force = version;
            self.acks.mark_changed();
        }
    }

    /// Performs the work that is due; to be called about every 100 ms.
    pub fn on_tick(&mut self) -> OutputList {
        let now = self.clock.now();
        let mut outputs = OutputList::new();
        self.expire(now);
        self.update_role(&mut outputs, now);
        if self.is_reading {
            self.tick_log(&mut outputs, now);
            self.tick_reports(&mut outputs, now);
            self.tick_heartbeat(&mut outputs, now);
        }
        self.tick_acks(&mut outputs, now);
        self.tick_compare(&mut outputs, now);
        self.emit_changes(&mut outputs, now);
        outputs
    }

    /// Handles a message from a peer; an invalid one is dropped.
    pub fn on_peer_message(&mut self, from: DaemonId, message: SpreadMessage) -> OutputList {
        let now = self.clock.now();
        let mut outputs = OutputList::new();
        match message.check() {
            Ok(()) => self.handle_message(from, message, &mut outputs, now),
            Err(error) => outputs.push(SpreadOutput::Alarm(SpreadAlarm::MessageRefused {
                peer: from,
                kind: error.kind,
            })),
        }
        self.emit_changes(&mut outputs, now);
        outputs
    }

    fn expire(&mut self, now: Instant) {
        self.roots.expire(now);
        self.acks.expire(now);
        self.questions.expire(now);
        self.snapshots.expire(now);
        self.reader.expire(&self.settings, &mut self.rng, now);
    }

    /// Starts or stops reading the log, as rank and heartbeats require.
    fn update_role(&mut self, outputs: &mut OutputList, now: Instant) {
        let is_reading = self.should_read(now);
        if is_reading == self.is_reading {
            return;
        }
        self.is_reading = is_reading;
        self.reader.reset();
        self.end_recovery();
        self.last_log_state = LogState::Unknown;
        self.timers.next_heartbeat = now;
        let alarm = if is_reading {
            SpreadAlarm::ReaderStarted
        } else {
            SpreadAlarm::ReaderStopped
        };
        outputs.push(SpreadOutput::Alarm(alarm));
    }

    /// Returns whether this daemon should read the log.
    ///
    /// The top-ranked daemons always do. Any other one takes over if no heartbeat
    /// arrives, later the lower its rank, and stops when enough better-ranked readers
    /// are active.
    fn should_read(&self, now: Instant) -> bool {
        if !self.members_known {
            return false;
        }
        let own = self.roster.own().id;
        let rank = self.roster.rank_of(own).unwrap_or(0);
        let Some(standby_rank) = (rank + 1).checked_sub(self.settings.readers + 1) else {
            return true;
        };
        if self.is_reading {
            return self.active_better_readers(rank, now) < self.settings.readers;
        }
        let last_heartbeat = self.roots.last_received_at().max(Some(self.started_at));
        let silence = last_heartbeat.map(|at| now.saturating_duration_since(at));
        let timeout = self.settings.takeover_timeout
            + self.settings.takeover_stagger * u32::try_from(standby_rank).unwrap_or(u32::MAX);
        silence.is_some_and(|silence| silence >= timeout)
    }

    /// Returns the number of better-ranked readers with a recent heartbeat.
    fn active_better_readers(&self, rank: usize, now: Instant) -> usize {
        let is_better = |root: &&DaemonId| {
            let other = self.roster.rank_of(**root);
            other.is_some_and(|other| other < rank)
        };
        let active = self.roots.received_within(ACTIVE_READER_WINDOW, now);
        active.iter().filter(is_better).count()
    }

    /// Returns whether a starting daemon may read the log instead of asking more peers.
    pub(crate) fn is_peer_wait_over(&self, now: Instant) -> bool {
        self.empty_responses >= MAX_EMPTY_RESPONSES
            || now.saturating_duration_since(self.started_at) >= self.settings.startup_peer_wait
    }

    /// Returns a tag for the next read or append.
    pub(crate) fn next_tag(&mut self) -> LogTag {
        self.last_tag.0 += 1;
        self.last_tag
    }
}

impl NodeTimers {
    /// Creates timers whose first deadlines are random: for acknowledgements and reports
    /// within one interval, for comparisons within a quarter of it. A heartbeat is due
    /// at once.
    fn new(settings: &SpreadSettings, rng: &mut SmallRng, now: Instant) -> Self {
        let mut within = |interval: Duration| now + interval.mul_f64(rng.random::<f64>());
        Self {
            next_heartbeat: now,
            last_heartbeat: None,
            next_ack: within(settings.ack_interval),
            last_ack: None,
            next_compare: within(settings.compare_interval / 4),
            next_report: within(settings.report_interval),
            last_report: None,
        }
    }
}
