//! The member that a daemon embeds.
//!
//! [`MemberNode`] takes ticks, messages and answers of the log, and returns
//! what is to be done. It holds no sockets, threads or clocks of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{ByteCount, DaemonId, IncarnationNumber, ServiceName, SharedClock};
use rand::rngs::SmallRng;

use crate::active::ActiveSet;
use crate::delay::SlowLinks;
use crate::digest::{MemberProfile, MemberRecord, MemberStamp, SequenceNumber, TargetDigest};
use crate::gossip::{GOSSIP_BURST, GOSSIP_RATE, JOIN_BURST, JOIN_RATE, URGENT_BURST, URGENT_RATE};
use crate::health::LocalHealth;
use crate::join::{ENOUGH_MEMBERS, JoinPlan, JoinTiming};
use crate::output::{MemberCounts, MemberOutput};
use crate::probe::ProbeTracker;
use crate::prober::ProbeSchedule;
use crate::queue::{TokenBucket, UpdateQueue};
use crate::sync::SyncState;
use crate::table::{MemberState, MemberTable};
use crate::view::{MemberView, TargetView};
use crate::watch::WatchPlan;

/// How often [`MemberNode::on_tick`] is to be called.
pub const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Least time between two plans of whom to watch.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Ticks between looks for tombstones that have expired.
const EXPIRY_TICKS: u64 = 300;

/// Members of the region spoken to at random, for each doubling of their count.
const NEAR_PER_DOUBLING: f64 = 2.0;
/// The same for members of other regions.
const FAR_PER_DOUBLING: f64 = 0.5;

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
    /// How fast it uses the log when it starts.
    pub join_timing: JoinTiming,
}

/// Membership as one daemon sees it.
#[derive(Debug)]
pub struct MemberNode {
    pub(crate) clock: SharedClock,
    pub(crate) rng: SmallRng,
    pub(crate) own: Arc<MemberRecord>,
    pub(crate) table: MemberTable,
    pub(crate) plan: WatchPlan,
    pub(crate) near: ActiveSet,
    pub(crate) far: ActiveSet,
    pub(crate) queue: UpdateQueue,
    pub(crate) gossip_bytes: TokenBucket,
    pub(crate) join_bytes: TokenBucket,
    pub(crate) urgent_rounds: TokenBucket,
    pub(crate) probes: ProbeTracker,
    pub(crate) turns: ProbeSchedule,
    pub(crate) slow: SlowLinks,
    pub(crate) health: LocalHealth,
    pub(crate) sync: SyncState,
    pub(crate) counts: MemberCounts,
    plan_edition: Option<u64>,
    plan_at: Instant,
    pub(crate) join: JoinPlan,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) contact_at: Instant,
    pub(crate) revisit_at: Instant,
    pub(crate) load_at: Instant,
    pub(crate) digests: Vec<TargetDigest>,
    tick: u64,
    pub(crate) left: bool,
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
            join: JoinPlan::new(
                settings.id,
                settings.record_interval,
                settings.join_timing,
                now,
                &mut rng,
            ),
            own: Arc::new(own),
            table: MemberTable::default(),
            plan: WatchPlan::default(),
            near: ActiveSet::new(NEAR_PER_DOUBLING, now, &mut rng),
            far: ActiveSet::new(FAR_PER_DOUBLING, now, &mut rng),
            queue: UpdateQueue::default(),
            gossip_bytes: TokenBucket::new(GOSSIP_RATE, GOSSIP_BURST, now),
            join_bytes: TokenBucket::new(JOIN_RATE, JOIN_BURST, now).full(),
            urgent_rounds: TokenBucket::new(URGENT_RATE, URGENT_BURST, now),
            probes: ProbeTracker::default(),
            turns: ProbeSchedule::new(now, &mut rng),
            slow: SlowLinks::default(),
            health: LocalHealth::default(),
            sync: SyncState::new(now),
            counts: MemberCounts::default(),
            plan_edition: None,
            plan_at: now,
            seeds: settings.seeds,
            contact_at: now,
            revisit_at: now,
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
            self.revisit_ended(now, &mut outputs);
            self.publish_targets(now);
        }
        self.gossip(now, &mut outputs);
        if self.tick.is_multiple_of(EXPIRY_TICKS) {
            self.table.expire(now);
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

    /// Memory that the knowledge of other members takes.
    pub fn footprint(&self) -> ByteCount {
        self.table.footprint()
    }

    /// Hash of all live members; equal hashes mean equal views.
    pub fn view_hash(&self) -> u64 {
        crate::sync::view_hash(&self.own, &self.table)
    }

    fn refresh_plan(&mut self, now: Instant) {
        let edition = self.table.live_generation();
        let fresh = self.plan.same_region().len() < ENOUGH_MEMBERS || now >= self.plan_at;
        if fresh && self.plan_edition != Some(edition) {
            self.plan = WatchPlan::new(self.own.id, &self.own.profile, &self.table);
            self.plan_edition = Some(edition);
            self.plan_at = now + PLAN_INTERVAL;
            self.near.set_pool(self.plan.same_region(), &mut self.rng);
            self.far.set_pool(self.plan.other_regions(), &mut self.rng);
        }
        self.near.rotate(now, &mut self.rng);
        self.far.rotate(now, &mut self.rng);
    }
}
