//! Probing by a [`MemberNode`]: schedule, failed probes, suspicions and deaths.

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

/// Ticks between two probes of a watched member.
pub const PROBE_INTERVAL_TICKS: u64 = 5;
/// Mean time between probes of other regions by one daemon.
const CROSS_REGION_INTERVAL: Duration = Duration::from_secs(5);
/// Mean time between probes of dead members by one daemon.
const DEAD_INTERVAL: Duration = Duration::from_secs(30);
/// Number of daemons that probe a dead member in each [`DEAD_INTERVAL`], while few are dead.
const DEAD_PROBERS: f64 = 4.0;
/// Maximum number of suspects that one daemon probes again in one interval.
const MAX_REPROBED: usize = 8;
/// Maximum number of queued claims to verify.
const MAX_CLAIM_CHECKS: usize = 64;

/// Schedule of the probes of one daemon.
#[derive(Debug)]
pub struct ProbeSchedule {
    tick: u64,
    random_order: Vec<DaemonId>,
    next_cross_region_at: Instant,
    next_dead_at: Instant,
    claim_checks: VecDeque<(DaemonId, MemberUpdate)>,
}

impl ProbeSchedule {
    /// Creates a schedule that starts at a random point of the probe interval.
    pub fn new(now: Instant, rng: &mut SmallRng) -> Self {
        Self {
            tick: rng.random_range(0..PROBE_INTERVAL_TICKS),
            random_order: Vec::new(),
            next_cross_region_at: now + CROSS_REGION_INTERVAL.mul_f64(rng.random()),
            next_dead_at: now + DEAD_INTERVAL.mul_f64(rng.random()),
            claim_checks: VecDeque::new(),
        }
    }

    /// Queues a probe of a member to verify a claim about it.
    pub fn add_claim_check(&mut self, id: DaemonId, claim: MemberUpdate) {
        let is_queued = self.claim_checks.iter().any(|(queued, _)| *queued == id);
        if !is_queued && self.claim_checks.len() < MAX_CLAIM_CHECKS {
            self.claim_checks.push_back((id, claim));
        }
    }
}

impl MemberNode {
    /// Sends the probes that are due in this tick.
    pub(crate) fn start_probes(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        self.schedule.tick += 1;
        let slot = self.schedule.tick % PROBE_INTERVAL_TICKS;
        for index in 0..self.watch_plan.watched().len() {
            let id = self.watch_plan.watched()[index];
            if index as u64 % PROBE_INTERVAL_TICKS == slot {
                self.probe(id, ProbeKind::SameRegion, None, outputs);
            }
        }
        if slot == PROBE_INTERVAL_TICKS - 1 {
            self.probe_random(outputs);
            self.reprobe_suspects(outputs);
        }
        self.probe_other_region(now, outputs);
        self.probe_dead(now, outputs);
        if let Some((id, claim)) = self.schedule.claim_checks.pop_front() {
            let kind = self.kind_for(id);
            self.probe(id, kind, Some(claim), outputs);
        }
    }

    /// Starts indirect probes for direct probes that timed out, and suspects members whose indirect
    /// probes failed too.
    pub(crate) fn expire_probes(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        let (health, slow_links, table) = (self.health, &self.slow_links, &self.table);
        let (timed_out, failed) = self.probes.expire(now, |probe| {
            let usual = base_timeout(probe.kind, ProbeStage::Indirect);
            health.scale_timeout(slow_links.timeout_for(probe.subject, usual, table))
        });
        for (number, probe) in timed_out {
            self.request_indirect_probes(number, &probe, outputs);
        }
        for probe in failed {
            self.on_probe_failed(&probe, outputs);
        }
    }

    /// Declares suspects dead whose suspicion timeout has expired.
    pub(crate) fn declare_dead(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
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
            self.apply_update(&update, true, outputs);
        }
    }

    /// Probes a suspect at once if this daemon is one of those that confirm suspicions of it.
    pub(crate) fn confirm_suspect(&mut self, id: DaemonId, outputs: &mut Vec<MemberOutput>) {
        let Some(entry) = self.table.get(id) else {
            return;
        };
        let confirms = self.watch_plan.confirms(id, &entry.profile().domain);
        if confirms && !self.probes.is_probing(id) {
            self.probe(id, ProbeKind::SameRegion, None, outputs);
        }
    }

    /// Returns the kind of a probe of a live member, by its region.
    pub(crate) fn kind_for(&self, id: DaemonId) -> ProbeKind {
        let own_region = &self.own.profile.region;
        match self.table.region(id) {
            Some(region) if region == own_region => ProbeKind::SameRegion,
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
        let usual = base_timeout(kind, ProbeStage::Direct);
        let timeout = self.slow_links.timeout_for(id, usual, &self.table);
        let timeout = self.health.scale_timeout(timeout);
        let Some(probe) = self.probes.start(id, kind, now, timeout) else {
            return;
        };
        let view = self.view_hash();
        self.send_to(id, MessageBody::Ping { probe, view }, first, outputs);
    }

    fn probe_random(&mut self, outputs: &mut Vec<MemberOutput>) {
        if self.schedule.random_order.is_empty() {
            self.schedule.random_order = self.same_region.members().to_vec();
            self.schedule.random_order.shuffle(&mut self.rng);
        }
        while let Some(id) = self.schedule.random_order.pop() {
            let live = self
                .table
                .get(id)
                .is_some_and(|entry| entry.state.is_live());
            if live {
                return self.probe(id, ProbeKind::SameRegion, None, outputs);
            }
        }
    }

    /// Probes the suspects again that this daemon reported, until the suspicion is resolved.
    fn reprobe_suspects(&mut self, outputs: &mut Vec<MemberOutput>) {
        if self.table.suspect_count() == 0 {
            return;
        }
        let suspects: Vec<DaemonId> = self
            .table
            .live()
            .filter(|entry| entry.state == MemberState::Suspect)
            .filter(|entry| entry.suspected_at.is_some())
            .map(|entry| entry.record.id)
            .take(MAX_REPROBED)
            .collect();
        for id in suspects {
            let kind = self.kind_for(id);
            self.probe(id, kind, None, outputs);
        }
    }

    fn probe_other_region(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        if now < self.schedule.next_cross_region_at {
            return;
        }
        self.schedule.next_cross_region_at =
            now + CROSS_REGION_INTERVAL.mul_f64(self.rng.random_range(0.5..1.5));
        if let Some(id) = self.other_regions.pick(&mut self.rng) {
            self.probe(id, ProbeKind::OtherRegion, None, outputs);
        }
    }

    /// Occasionally probes a dead member. The fewer members are dead, the fewer daemons probe.
    fn probe_dead(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        if now < self.schedule.next_dead_at {
            return;
        }
        self.schedule.next_dead_at = now + DEAD_INTERVAL.mul_f64(self.rng.random_range(0.5..1.5));
        let dead: Vec<DaemonId> = self
            .table
            .iter()
            .filter(|entry| entry.state == MemberState::Dead)
            .map(|entry| entry.record.id)
            .collect();
        if dead.is_empty() {
            return;
        }
        let probability = dead.len() as f64 * DEAD_PROBERS / (self.live_count() as f64);
        if self.rng.random_bool(probability.min(1.0)) {
            let id = dead[self.rng.random_range(0..dead.len())];
            self.probe(id, ProbeKind::Dead, None, outputs);
        }
    }

    fn request_indirect_probes(
        &mut self,
        probe: u32,
        pending: &PendingProbe,
        outputs: &mut Vec<MemberOutput>,
    ) {
        if pending.kind == ProbeKind::Dead {
            return;
        }
        let subject = pending.subject;
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
        let effect = self.apply_update(&update, true, outputs);
        let now = self.clock.now();
        self.table.record_probe_failure(probe.subject, now);
        if effect.is_new() {
            // The ping informs the suspect; if it answers, this daemon does not declare it dead.
            self.probe(probe.subject, probe.kind, None, outputs);
        }
    }
}

fn base_timeout(kind: ProbeKind, stage: ProbeStage) -> Duration {
    match (kind, stage) {
        (ProbeKind::SameRegion, ProbeStage::Direct) => DIRECT_TIMEOUT,
        (ProbeKind::SameRegion, ProbeStage::Indirect) => INDIRECT_TIMEOUT,
        (ProbeKind::OtherRegion | ProbeKind::Dead, _) => CROSS_REGION_TIMEOUT,
    }
}
