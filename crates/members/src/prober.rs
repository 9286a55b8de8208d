//! Probing: turns, failures, suspicions and deaths of a [`MemberNode`].

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::DaemonId;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::message::{MemberUpdate, MessageBody};
use crate::node::MemberNode;
use crate::output::MemberOutput;
use crate::probe::{
    CROSS_REGION_TIMEOUT, DIRECT_TIMEOUT, INDIRECT_PROBE_COUNT, INDIRECT_TIMEOUT, PendingProbe,
    ProbeKind, ProbeStage,
};
use crate::suspicion::expired_suspects;
use crate::table::MemberState;

/// Ticks from one probe of a watched member to the next.
pub const PROBE_INTERVAL_TICKS: u64 = 5;
/// Mean time between probes of another region by one daemon.
const FAR_INTERVAL: Duration = Duration::from_secs(5);
/// Mean time between probes of dead members by one daemon.
const DEAD_INTERVAL: Duration = Duration::from_secs(30);
/// Daemons that probe one dead member in [`DEAD_INTERVAL`], while few are dead.
const DEAD_PROBERS: f64 = 4.0;
/// Most suspects that one daemon looks at again in one interval.
const MAX_ACCUSED: usize = 8;
/// Most members to be checked that wait.
const MAX_CHECKS: usize = 64;

/// Whose turn it is to be probed.
#[derive(Debug)]
pub struct ProbeSchedule {
    tick: u64,
    order: Vec<DaemonId>,
    far_at: Instant,
    dead_at: Instant,
    checks: VecDeque<(DaemonId, MemberUpdate)>,
}

impl ProbeSchedule {
    /// Turns that begin at a random point of the interval.
    pub fn new(now: Instant, rng: &mut SmallRng) -> Self {
        Self {
            tick: rng.random_range(0..PROBE_INTERVAL_TICKS),
            order: Vec::new(),
            far_at: now + FAR_INTERVAL.mul_f64(rng.random()),
            dead_at: now + DEAD_INTERVAL.mul_f64(rng.random()),
            checks: VecDeque::new(),
        }
    }

    /// Has a member probed with a claim about it that is not believed unseen.
    pub fn add_check(&mut self, id: DaemonId, claim: MemberUpdate) {
        let waits = self.checks.iter().any(|(waiting, _)| *waiting == id);
        if !waits && self.checks.len() < MAX_CHECKS {
            self.checks.push_back((id, claim));
        }
    }
}

impl MemberNode {
    /// Sends the probes of this tick.
    pub(crate) fn start_probes(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        self.turns.tick += 1;
        let slot = self.turns.tick % PROBE_INTERVAL_TICKS;
        for index in 0..self.plan.watched().len() {
            let id = self.plan.watched()[index];
            if index as u64 % PROBE_INTERVAL_TICKS == slot {
                self.probe(id, ProbeKind::SameRegion, None, outputs);
            }
        }
        if slot == PROBE_INTERVAL_TICKS - 1 {
            self.probe_random(outputs);
            self.probe_accused(outputs);
        }
        self.probe_far(now, outputs);
        self.probe_dead(now, outputs);
        if let Some((id, claim)) = self.turns.checks.pop_front() {
            let kind = self.kind_for(id);
            self.probe(id, kind, Some(claim), outputs);
        }
    }

    /// Moves probes without answer on; the second silence accuses.
    pub(crate) fn expire_probes(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        let (health, slow, table) = (self.health, &self.slow, &self.table);
        let (stalled, failed) = self.probes.expire(now, |probe| {
            let usual = usual_wait(probe.kind, ProbeStage::Indirect);
            health.scale_timeout(slow.timeout_for(probe.subject, usual, table))
        });
        for (number, probe) in stalled {
            self.ask_helpers(number, &probe, outputs);
        }
        for probe in failed {
            self.on_probe_failed(&probe, outputs);
        }
    }

    /// Declares suspects dead whose time to refute has run out.
    pub(crate) fn declare_deaths(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        let expired = expired_suspects(&self.own, &self.table, self.health, now);
        for id in expired {
            let Some(entry) = self.table.get(id) else {
                continue;
            };
            let update = MemberUpdate::Dead {
                id,
                stamp: entry.stamp(),
                by: self.own.id,
            };
            self.counts.declared_dead += 1;
            self.learn(&update, true, outputs);
        }
    }

    /// Probes a suspect at once if this daemon is to confirm it.
    pub(crate) fn confirm_suspect(&mut self, id: DaemonId, outputs: &mut Vec<MemberOutput>) {
        let Some(entry) = self.table.get(id) else {
            return;
        };
        let confirms = self.plan.confirms(id, &entry.profile().domain);
        if confirms && !self.probes.is_probing(id) {
            self.probe(id, ProbeKind::SameRegion, None, outputs);
        }
    }

    /// Whether a member of the region or of another.
    pub(crate) fn kind_for(&self, id: DaemonId) -> ProbeKind {
        let own = &self.own.profile.region;
        match self.table.region(id) {
            Some(region) if region == own => ProbeKind::SameRegion,
            _ => ProbeKind::OtherRegion,
        }
    }

    fn probe(
        &mut self,
        id: DaemonId,
        kind: ProbeKind,
        claim: Option<MemberUpdate>,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let now = self.clock.now();
        let Some(entry) = self.table.get(id) else {
            return;
        };
        let first: Vec<MemberUpdate> = claim.into_iter().chain(entry.failure_report()).collect();
        let usual = usual_wait(kind, ProbeStage::Direct);
        let wait = self.slow.timeout_for(id, usual, &self.table);
        let wait = self.health.scale_timeout(wait);
        let Some(probe) = self.probes.start(id, kind, now, wait) else {
            return;
        };
        let view = self.view_hash();
        self.send_to(id, MessageBody::Ping { probe, view }, first, outputs);
    }

    fn probe_random(&mut self, outputs: &mut Vec<MemberOutput>) {
        if self.turns.order.is_empty() {
            self.turns.order = self.near.members().to_vec();
            self.turns.order.shuffle(&mut self.rng);
        }
        while let Some(id) = self.turns.order.pop() {
            let live = self
                .table
                .get(id)
                .is_some_and(|entry| entry.state.is_live());
            if live {
                return self.probe(id, ProbeKind::SameRegion, None, outputs);
            }
        }
    }

    /// Looks again at the suspects that this daemon accused, until their case is closed.
    fn probe_accused(&mut self, outputs: &mut Vec<MemberOutput>) {
        if self.table.suspect_count() == 0 {
            return;
        }
        let accused: Vec<DaemonId> = self
            .table
            .live()
            .filter(|entry| entry.state == MemberState::Suspect)
            .filter(|entry| entry.suspected_at.is_some())
            .map(|entry| entry.record.id)
            .take(MAX_ACCUSED)
            .collect();
        for id in accused {
            let kind = self.kind_for(id);
            self.probe(id, kind, None, outputs);
        }
    }

    fn probe_far(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        if now < self.turns.far_at {
            return;
        }
        self.turns.far_at = now + FAR_INTERVAL.mul_f64(self.rng.random_range(0.5..1.5));
        if let Some(id) = self.far.pick(&mut self.rng) {
            self.probe(id, ProbeKind::OtherRegion, None, outputs);
        }
    }

    /// Probes a dead member now and then; the fewer are dead, the fewer daemons do.
    fn probe_dead(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        if now < self.turns.dead_at {
            return;
        }
        self.turns.dead_at = now + DEAD_INTERVAL.mul_f64(self.rng.random_range(0.5..1.5));
        let dead: Vec<DaemonId> = self
            .table
            .iter()
            .filter(|entry| entry.state == MemberState::Dead)
            .map(|entry| entry.record.id)
            .collect();
        if dead.is_empty() {
            return;
        }
        let share = dead.len() as f64 * DEAD_PROBERS / (self.live_count() as f64);
        if self.rng.random_bool(share.min(1.0)) {
            let id = dead[self.rng.random_range(0..dead.len())];
            self.probe(id, ProbeKind::Dead, None, outputs);
        }
    }

    fn ask_helpers(&mut self, probe: u32, waiting: &PendingProbe, outputs: &mut Vec<MemberOutput>) {
        if waiting.kind == ProbeKind::Dead {
            return;
        }
        let subject = waiting.subject;
        let Some(address) = self.peer_address(subject) else {
            return;
        };
        for helper in self.random_peers(INDIRECT_PROBE_COUNT) {
            if helper == subject {
                continue;
            }
            let body = MessageBody::PingRequest {
                probe,
                subject,
                address,
            };
            self.send_to(helper, body, Vec::new(), outputs);
        }
    }

    fn on_probe_failed(&mut self, probe: &PendingProbe, outputs: &mut Vec<MemberOutput>) {
        let Some(entry) = self.table.get(probe.subject) else {
            return;
        };
        if probe.kind == ProbeKind::Dead || !entry.state.is_live() {
            return;
        }
        let stamp = entry.stamp();
        self.counts.failed_probes += 1;
        if probe.kind == ProbeKind::SameRegion && entry.state == MemberState::Alive {
            self.health.on_failure();
        }
        if self.health.is_degraded() {
            return;
        }
        let update = MemberUpdate::Suspect {
            id: probe.subject,
            stamp,
            by: self.own.id,
        };
        let effect = self.learn(&update, true, outputs);
        let now = self.clock.now();
        self.table.record_probe_failure(probe.subject, now);
        if effect.is_new() {
            // The accused is told at once, and an answer now stops the declaration.
            self.probe(probe.subject, probe.kind, None, outputs);
        }
    }
}

fn usual_wait(kind: ProbeKind, stage: ProbeStage) -> Duration {
    match (kind, stage) {
        (ProbeKind::SameRegion, ProbeStage::Direct) => DIRECT_TIMEOUT,
        (ProbeKind::SameRegion, ProbeStage::Indirect) => INDIRECT_TIMEOUT,
        (ProbeKind::OtherRegion | ProbeKind::Dead, _) => CROSS_REGION_TIMEOUT,
    }
}
