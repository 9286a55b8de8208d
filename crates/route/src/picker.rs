//! Choice of a target for each call.
//!
//! Candidates are sampled by the capacity that their calls have shown, and
//! the better of [`SAMPLE_COUNT`] samples by expected time is taken: a few
//! samples avoid that hundreds of proxies with the same stale view all run to
//! one target. Targets of the proxy's own failure domain come first while
//! they have room, then those of its region, then the rest. When more than
//! half of a service's targets look bad, the fault is more likely common to
//! all, and ejection is suspended.
//!
//! The cost of a pick does not depend on the number of targets, except when
//! few of them are willing; memory is a fixed size for each known target.
//! A finished call searches its target by position in a short vector.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::Instant;

use model::{CallCount, DaemonId, DomainName, ErrorKind, KindError, ServiceName, SharedClock};
use rand::Rng;
use rand::rngs::SmallRng;
use smallvec::SmallVec;

use crate::candidate::Candidate;
use crate::target::{CallOutcome, CallResult, TargetState, TargetView};

/// Targets of one service that are kept; the rest is ignored.
pub const MAX_TARGETS: usize = 1024;

/// Samples of which the best is taken.
const SAMPLE_COUNT: usize = 2;

/// Willing targets drawn evenly for one sample.
const DRAW_COUNT: usize = 4;

/// Draws for one sample, unwilling targets included.
const MAX_DRAWS: usize = 12;

/// Part of a service's targets that may be ejected at once: one in this many.
const EJECTED_PART: usize = 2;

/// Weight of the latest call in a service's mean service time.
const MEAN_WEIGHT: f32 = 0.05;

/// Service time assumed before any call has ended.
const FIRST_SERVICE_S: f32 = 0.02;

/// Factor on the score for each step of distance.
const DISTANCE_FACTOR: f32 = 1.3;

/// Where this proxy stands.
#[derive(Clone, Debug)]
pub struct PickerConfig {
    /// Its failure domain.
    pub domain: DomainName,
    /// Failure domains of its region; if empty, all belong to it.
    pub region: SmallVec<[DomainName; 4]>,
}

impl PickerConfig {
    /// Distance of `domain`: own, of the region, other.
    fn distance(&self, domain: &DomainName) -> usize {
        if *domain == self.domain {
            return 0;
        }
        let near = self.region.is_empty() || self.region.contains(domain);
        if near { 1 } else { 2 }
    }
}

/// Multiple of the service's mean time above which the next distance is looked at too.
const SLOW_FACTOR: f32 = 2.0;

/// Number of distances that [`PickerConfig`] tells apart.
const DISTANCES: usize = 3;

/// A call's claim on the target picked for it; ends with [`TargetPicker::finish`].
#[derive(Clone, Debug)]
pub struct PickTicket {
    /// The target.
    pub view: Arc<TargetView>,
    /// When it was picked.
    pub picked: Instant,
    service: ServiceName,
    candidate: u64,
}

/// Chooses targets for the calls of one proxy.
pub struct TargetPicker {
    config: PickerConfig,
    clock: SharedClock,
    random: SmallRng,
    services: HashMap<ServiceName, ServiceTargets>,
    next_id: u64,
}

impl fmt::Debug for TargetPicker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TargetPicker")
            .field("config", &self.config)
            .field("services", &self.services.len())
            .finish_non_exhaustive()
    }
}

/// The targets of one service.
#[derive(Debug)]
struct ServiceTargets {
    candidates: Vec<Candidate>,
    /// Positions of candidates by distance.
    tiers: [Vec<usize>; DISTANCES],
    mean_s: f32,
}

impl TargetPicker {
    /// A picker that knows no target yet.
    pub fn new(config: PickerConfig, clock: SharedClock, random: SmallRng) -> Self {
        Self {
            config,
            clock,
            random,
            services: HashMap::new(),
            next_id: 0,
        }
    }

    /// Takes over the failure domains of this proxy's region, for targets set from now on.
    pub fn set_region(&mut self, domains: &[DomainName]) {
        self.config.region = domains.into();
    }

    /// The services with targets.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Replaces the targets of `service`, keeping what calls have shown about those that stay.
    ///
    /// No targets forgets the service.
    pub fn set_targets(&mut self, service: &ServiceName, views: &[TargetView]) {
        if views.is_empty() {
            self.services.remove(service);
            return;
        }
        let now = self.clock.now();
        let mut old = self.services.remove(service);
        let mut fresh = ServiceTargets::new(old.as_ref().map_or(FIRST_SERVICE_S, |old| old.mean_s));
        for view in views.iter().take(MAX_TARGETS) {
            let known = old.as_mut().and_then(|old| old.take(view));
            let view = Arc::new(view.clone());
            let distance = self.config.distance(&view.domain);
            let candidate = if let Some(mut known) = known {
                known.update(view);
                known
            } else {
                self.next_id += 1;
                Candidate::new(self.next_id, view, now)
            };
            fresh.tiers[distance].push(fresh.candidates.len());
            fresh.candidates.push(candidate);
        }
        self.services.insert(service.clone(), fresh);
    }

    /// Chooses a target of `service`, none of `exclude`; `None` if no target is willing.
    pub fn pick(&mut self, service: &ServiceName, exclude: &[DaemonId]) -> Option<PickTicket> {
        self.pick_by(service, exclude, &[Trust::Present, Trust::Any])
    }

    /// Chooses as [`TargetPicker::pick`] for a call that is not idempotent.
    ///
    /// Targets that failed lately are tried again with other calls first.
    pub fn pick_proven(
        &mut self,
        service: &ServiceName,
        exclude: &[DaemonId],
    ) -> Option<PickTicket> {
        let trusts = [Trust::Proven, Trust::Present, Trust::Any];
        self.pick_by(service, exclude, &trusts)
    }

    fn pick_by(
        &mut self,
        service: &ServiceName,
        exclude: &[DaemonId],
        trusts: &[Trust],
    ) -> Option<PickTicket> {
        let now = self.clock.now();
        let targets = self.services.get_mut(service)?;
        let random = &mut self.random;
        let index = trusts.iter().find_map(|&trust| {
            let rule = PickRule {
                now,
                exclude,
                trust,
            };
            targets.choose(&rule, random)
        })?;
        let candidate = &mut targets.candidates[index];
        if candidate.health.begin_probation(now) {
            candidate.ramp_up(now);
        }
        candidate.on_sent();
        Some(PickTicket {
            view: Arc::clone(&candidate.view),
            picked: now,
            service: service.clone(),
            candidate: candidate.id,
        })
    }

    /// Why [`TargetPicker::pick`] finds no target: `QueueFull`, `Draining` or `TargetAbsent`.
    pub fn absence(&self, service: &ServiceName) -> KindError {
        let now = self.clock.now();
        let known = self.services.get(service);
        let candidates = known.map_or(&[][..], |targets| &targets.candidates);
        let state = |wanted| candidates.iter().any(|known| known.view.state == wanted);
        let kind = if candidates.iter().any(|known| known.is_full(now)) {
            ErrorKind::QueueFull
        } else if state(TargetState::Draining) {
            ErrorKind::Draining
        } else {
            ErrorKind::TargetAbsent
        };
        let detail = format!("{service}: none of {} targets is willing", candidates.len());
        KindError::new(kind, detail)
    }

    /// Learns how the call ended and gives its claim back.
    pub fn finish(&mut self, ticket: &PickTicket, outcome: &CallOutcome) {
        let now = self.clock.now();
        let Some(targets) = self.services.get_mut(&ticket.service) else {
            return;
        };
        targets.on_finished(ticket.candidate, outcome, now);
    }

    /// This proxy's calls in flight to the target of `daemon`.
    pub fn in_flight(&self, service: &ServiceName, daemon: DaemonId) -> CallCount {
        let own = self.services.get(service).and_then(|targets| {
            let mut candidates = targets.candidates.iter();
            candidates.find(|candidate| candidate.view.daemon == daemon)
        });
        CallCount(own.map_or(0, |candidate| candidate.own))
    }

    /// Targets of `service` that are ejected for their failures.
    pub fn ejected(&self, service: &ServiceName) -> Vec<DaemonId> {
        let now = self.clock.now();
        let Some(targets) = self.services.get(service) else {
            return Vec::new();
        };
        let ejected = targets
            .candidates
            .iter()
            .filter(|candidate| candidate.health.is_ejected(now));
        ejected.map(|candidate| candidate.view.daemon).collect()
    }
}

impl ServiceTargets {
    fn new(mean_s: f32) -> Self {
        Self {
            candidates: Vec::new(),
            tiers: Default::default(),
            mean_s,
        }
    }

    /// Takes out the candidate that describes the same run of the same target.
    fn take(&mut self, view: &TargetView) -> Option<Candidate> {
        let same = |known: &Candidate| {
            known.view.target == view.target && known.view.daemon == view.daemon
        };
        let index = self.candidates.iter().position(same)?;
        Some(self.candidates.swap_remove(index))
    }

    /// Position of the target for the next call.
    fn choose(&mut self, rule: &PickRule<'_>, random: &mut SmallRng) -> Option<usize> {
        let mut best: Option<(f32, usize)> = None;
        let mut factor = 1.0;
        for tier in &self.tiers {
            if let Some((score, index)) = self.sample_best(tier, rule, random) {
                let score = score * factor;
                let better = best.is_none_or(|(least, _)| score < least);
                if better {
                    best = Some((score, index));
                }
                let room = self.candidates[index].has_room(rule.now);
                if better && room && score <= self.mean_s * SLOW_FACTOR {
                    break;
                }
            }
            factor *= DISTANCE_FACTOR;
        }
        best.map(|(_, index)| index)
    }

    /// The better of a few samples of one tier, with its score.
    fn sample_best(
        &self,
        tier: &[usize],
        rule: &PickRule<'_>,
        random: &mut SmallRng,
    ) -> Option<(f32, usize)> {
        let mut best: Option<(f32, usize)> = None;
        for _ in 0..SAMPLE_COUNT.min(tier.len()) {
            let Some(index) = self.sample(tier, rule, best.map(|(_, index)| index), random) else {
                break;
            };
            let score = self.candidates[index].score(self.mean_s, rule.now);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, index));
            }
        }
        best
    }

    /// One willing target but `known`, drawn by capacity among a few drawn evenly.
    fn sample(
        &self,
        tier: &[usize],
        rule: &PickRule<'_>,
        known: Option<usize>,
        random: &mut SmallRng,
    ) -> Option<usize> {
        let mut chosen = None;
        let mut total = 0.0;
        let mut drawn = 0;
        for _ in 0..MAX_DRAWS {
            let index = tier[random.random_range(0..tier.len())];
            let candidate = &self.candidates[index];
            if Some(index) == known || !rule.allows(candidate) {
                continue;
            }
            let capacity = candidate.capacity(self.mean_s, rule.now);
            total += capacity;
            if random.random::<f32>() * total < capacity {
                chosen = Some(index);
            }
            drawn += 1;
            if drawn == DRAW_COUNT {
                break;
            }
        }
        chosen.or_else(|| self.first_allowed(tier, rule, known, random))
    }

    /// Any willing target of the tier but `known`, from a random start.
    fn first_allowed(
        &self,
        tier: &[usize],
        rule: &PickRule<'_>,
        known: Option<usize>,
        random: &mut SmallRng,
    ) -> Option<usize> {
        let start = random.random_range(0..tier.len());
        let mut order = tier[start..].iter().chain(&tier[..start]).copied();
        order.find(|&index| Some(index) != known && rule.allows(&self.candidates[index]))
    }

    fn on_finished(&mut self, id: u64, outcome: &CallOutcome, now: Instant) {
        let mut candidates = self.candidates.iter_mut();
        let Some(index) = candidates.position(|candidate| candidate.id == id) else {
            return;
        };
        self.candidates[index].on_finished(outcome, now);
        match outcome.result {
            CallResult::Done => {
                let sample = outcome.latency.saturating_sub(outcome.waited).as_secs_f32();
                self.mean_s += (sample - self.mean_s) * MEAN_WEIGHT;
            }
            CallResult::Failed | CallResult::Lost => self.judge(index, now),
            CallResult::NotRun(_) | CallResult::Cancelled => {}
        }
    }

    /// Ejects the candidate if it fails far more than its peers and enough others remain.
    fn judge(&mut self, index: usize, now: Instant) {
        let count = self.candidates.len();
        let all = self.candidates.iter();
        let bad = all.filter(|known| known.health.is_bad(now)).count();
        if bad * EJECTED_PART > count {
            let all = self.candidates.iter_mut();
            all.for_each(|known| known.health.readmit());
            return;
        }
        let share = |known: &Candidate| known.health.share(now);
        let total: f32 = self.candidates.iter().map(share).sum();
        let peers = (total - share(&self.candidates[index])) / (count - 1).max(1) as f32;
        let health = &mut self.candidates[index].health;
        if health.is_outlier(peers, now) {
            health.eject(now);
        }
    }
}

/// How far a pick trusts targets that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trust {
    /// Neither ejected nor on probation.
    Proven,
    /// Not ejected.
    Present,
    /// All.
    Any,
}

/// Which candidates one pick may take.
struct PickRule<'a> {
    now: Instant,
    exclude: &'a [DaemonId],
    trust: Trust,
}

impl PickRule<'_> {
    fn allows(&self, candidate: &Candidate) -> bool {
        candidate.is_willing(self.now)
            && self.trusts(candidate)
            && !self.exclude.contains(&candidate.view.daemon)
    }

    fn trusts(&self, candidate: &Candidate) -> bool {
        match self.trust {
            Trust::Proven => candidate.health.is_proven(self.now),
            Trust::Present => !candidate.health.is_ejected(self.now),
            Trust::Any => true,
        }
    }
}
