//! The membership state machine that a daemon embeds.
//!
//! [`MemberNode`] receives ticks, messages and answers of the log, and returns
//! the actions to carry out. It has no sockets, threads or clock of its own.

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

/// Interval at which to call [`MemberNode::on_tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time between two updates of the watch plan.
const WATCH_PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Ticks between two removals of expired tombstones.
const EXPIRY_TICKS: u64 = 300;

/// Members by which the active set of the region grows whenever the region doubles.
const SAME_REGION_PER_DOUBLING: f64 = 2.0;
/// Members by which the active set of other regions grows whenever those regions double.
const OTHER_REGIONS_PER_DOUBLING: f64 = 0.5;

/// Settings of a daemon's membership, fixed at its start.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The daemon's id.
    pub id: DaemonId,
    /// The incarnation; higher than any earlier one of the same id.
    pub incarnation: IncarnationNumber,
    /// Names and addresses.
    pub profile: MemberProfile,
    /// Time between join records, well below the retention time of the log.
    pub record_interval: Duration,
    /// Peers to contact first, independently of the log.
    pub seeds: Vec<SocketAddr>,
    /// Timing of log accesses at the start.
    pub join_timing: JoinTiming,
}

/// Membership as one daemon sees it.
#[derive(Debug)]
pub struct MemberNode {
    pub(crate) clock: SharedClock,
    pub(crate) rng: SmallRng,
    pub(crate) own: Arc<MemberRecord>,
    pub(crate) table: MemberTable,
    pub(crate) watch_plan: WatchPlan,
    pub(crate) same_region: ActiveSet,
    pub(crate) other_regions: ActiveSet,
    pub(crate) queue: UpdateQueue,
    pub(crate) gossip_bytes: TokenBucket,
    pub(crate) join_bytes: TokenBucket,
    pub(crate) urgent_rounds: TokenBucket,
    pub(crate) probes: ProbeTracker,
    pub(crate) schedule: ProbeSchedule,
    pub(crate) slow_links: SlowLinks,
    pub(crate) health: LocalHealth,
    pub(crate) sync: SyncState,
    pub(crate) counts: MemberCounts,
    watch_plan_generation: Option<u64>,
    next_watch_plan_at: Instant,
    pub(crate) join: JoinPlan,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) next_contact_at: Instant,
    pub(crate) next_ended_probe_at: Instant,
    pub(crate) next_load_at: Instant,
    pub(crate) digests: Vec<TargetDigest>,
    tick: u64,
    pub(crate) has_left: bool,
}

impl MemberNode {
    /// Creates a member that knows no other members yet.
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
            watch_plan: WatchPlan::default(),
            same_region: ActiveSet::new(SAME_REGION_PER_DOUBLING, now, &mut rng),
            other_regions: ActiveSet::new(OTHER_REGIONS_PER_DOUBLING, now, &mut rng),
            queue: UpdateQueue::default(),
            gossip_bytes: TokenBucket::new(GOSSIP_RATE, GOSSIP_BURST, now),
            join_bytes: TokenBucket::new(JOIN_RATE, JOIN_BURST, now).full(),
            urgent_rounds: TokenBucket::new(URGENT_RATE, URGENT_BURST, now),
            probes: ProbeTracker::default(),
            schedule: ProbeSchedule::new(now, &mut rng),
            slow_links: SlowLinks::default(),
            health: LocalHealth::default(),
            sync: SyncState::new(now),
            counts: MemberCounts::default(),
            watch_plan_generation: None,
            next_watch_plan_at: now,
            seeds: settings.seeds,
            next_contact_at: now,
            next_ended_probe_at: now,
            next_load_at: now,
            digests: Vec::new(),
            tick: 0,
            has_left: false,
            clock,
            rng,
        }
    }

    /// Performs the work that is due; call it every [`TICK_INTERVAL`].
    pub fn on_tick(&mut self) -> Vec<MemberOutput> {
        let mut outputs = Vec::new();
        let now = self.clock.now();
        self.tick += 1;
        if !self.has_left {
            self.update_watch_plan(now);
            self.expire_probes(now, &mut outputs);
            self.declare_dead(now, &mut outputs);
            self.start_probes(now, &mut outputs);
            self.start_log_requests(now, &mut outputs);
            self.contact_candidates(now, &mut outputs);
            self.probe_ended_addresses(now, &mut outputs);
            self.publish_targets(now);
        }
        self.gossip(now, &mut outputs);
        if self.tick.is_multiple_of(EXPIRY_TICKS) {
            self.table.expire(now);
        }
        outputs
    }

    /// Returns all known members, this daemon and tombstones included, ordered by id.
    pub fn members(&self) -> Vec<MemberView> {
        let mut views = vec![MemberView::from_own_record(&self.own, self.clock.now())];
        views.extend(self.table.iter().map(MemberView::from_entry));
        views.sort_unstable_by_key(|view| view.id);
        views
    }

    /// Returns the number of live members, this daemon included.
    pub fn live_count(&self) -> usize {
        self.table.live_count() + 1
    }

    /// Returns the ready targets of `service`, those of this daemon included.
    pub fn targets(&self, service: &ServiceName) -> Vec<TargetView> {
        self.all_targets()
            .into_iter()
            .filter(|view| view.digest.service == *service)
            .collect()
    }

    /// Returns the ready targets of all services.
    pub fn all_targets(&self) -> Vec<TargetView> {
        let own = TargetView::from_record(&self.own, MemberState::Alive);
        let others = self
            .table
            .live()
            .flat_map(|entry| TargetView::from_record(&entry.record, entry.state));
        own.into_iter().chain(others).collect()
    }

    /// Returns this daemon's own record.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the state of a member.
    pub fn state_of(&self, id: DaemonId) -> Option<MemberState> {
        self.table.get(id).map(|entry| entry.state)
    }

    /// Returns the peer address of a live member.
    pub fn peer_address(&self, id: DaemonId) -> Option<SocketAddr> {
        self.table
            .get(id)
            .filter(|entry| entry.state.is_live())
            .map(|entry| entry.profile().peer_address)
    }

    /// Returns the health score of this daemon's own link.
    pub fn health(&self) -> LocalHealth {
        self.health
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> MemberCounts {
        self.counts
    }

    /// Returns the memory size of the membership table.
    pub fn footprint(&self) -> ByteCount {
        self.table.footprint()
    }

    /// Returns the hash of all live members; equal hashes mean equal views.
    pub fn view_hash(&self) -> u64 {
        crate::sync::view_hash(&self.own, &self.table)
    }

    fn update_watch_plan(&mut self, now: Instant) {
        let generation = self.table.live_generation();
        let may_update =
            self.watch_plan.same_region().len() < ENOUGH_MEMBERS || now >= self.next_watch_plan_at;
        if may_update && self.watch_plan_generation != Some(generation) {
            self.watch_plan = WatchPlan::new(self.own.id, &self.own.profile, &self.table);
            self.watch_plan_generation = Some(generation);
            self.next_watch_plan_at = now + WATCH_PLAN_INTERVAL;
            self.same_region
                .set_pool(self.watch_plan.same_region(), &mut self.rng);
            self.other_regions
                .set_pool(self.watch_plan.other_regions(), &mut self.rng);
        }
        self.same_region.rotate(now, &mut self.rng);
        self.other_regions.rotate(now, &mut self.rng);
    }
}
