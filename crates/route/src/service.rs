//! Target selection within one service.
//!
//! Candidates are sampled by capacity and compared by score. Targets that fail
//! far more often than the others are ejected.

use std::time::Instant;

use model::{DaemonId, DomainName, ErrorKind};
use rand::Rng;
use rand::rngs::SmallRng;
use smallvec::SmallVec;

use crate::candidate::Candidate;
use crate::picker::LocalityPreference;
use crate::rejection::{BusyShare, MAX_IMMEDIATE_WAIT};
use crate::target::{CallOutcome, CallResult, TargetView};
use crate::version::{VersionFilter, VersionStart};

/// Number of distances of a target: own failure domain, own region, other.
pub(crate) const DISTANCE_COUNT: usize = 3;

/// Number of samples of which the best is taken.
const SAMPLE_COUNT: usize = 2;

/// Number of available targets drawn uniformly for one sample.
const DRAWS_PER_SAMPLE: usize = 4;

/// Maximum number of draws for one sample, including unavailable targets.
const MAX_DRAWS: usize = 12;

/// At most one in this many targets of a service may be ejected at the same time.
const EJECTED_DIVISOR: usize = 2;

/// Weight of the latest call in the moving average of a service's service time.
const MEAN_SERVICE_TIME_WEIGHT: f32 = 0.05;

/// The targets of one service.
#[derive(Debug)]
pub(crate) struct ServiceTargets {
    pub(crate) candidates: Vec<Candidate>,
    /// Indices of the candidates, by distance.
    pub(crate) tiers: [Vec<usize>; DISTANCE_COUNT],
    pub(crate) mean_service_s: f32,
    /// Share of attempts that find their target busy.
    pub(crate) busy_share: BusyShare,
    /// Versions of the targets, the one that has run longest first.
    pub(crate) versions: SmallVec<[VersionStart; 2]>,
}

impl ServiceTargets {
    pub(crate) fn new(mean_service_s: f32, busy_share: BusyShare) -> Self {
        Self {
            candidates: Vec::new(),
            tiers: Default::default(),
            mean_service_s,
            busy_share,
            versions: SmallVec::new(),
        }
    }

    /// Removes and returns the candidate for the same target and daemon.
    pub(crate) fn take_matching(&mut self, view: &TargetView) -> Option<Candidate> {
        let same = |known: &Candidate| {
            known.view.target == view.target && known.view.daemon == view.daemon
        };
        let index = self.candidates.iter().position(same)?;
        Some(self.candidates.swap_remove(index))
    }

    /// Returns the index of the target for the next call.
    pub(crate) fn choose(
        &mut self,
        filter: &CandidateFilter<'_>,
        locality: LocalityPreference,
        rng: &mut SmallRng,
    ) -> Option<usize> {
        let mut best: Option<(f32, usize)> = None;
        let mut factor = 1.0;
        for tier in &self.tiers {
            if let Some((score, index)) = self.sample_best(tier, filter, rng) {
                let score = score * factor;
                let better = best.is_none_or(|(lowest, _)| score < lowest);
                if better {
                    best = Some((score, index));
                }
                let has_spare_capacity = self.candidates[index].has_spare_capacity(
                    locality.spare_utilization,
                    self.mean_service_s,
                    filter.now,
                );
                let is_fast = score <= self.mean_service_s * locality.slow_factor;
                if better && has_spare_capacity && is_fast {
                    break;
                }
            }
            factor *= locality.distance_factor;
        }
        best.map(|(_, index)| index)
    }

    /// Returns whether the failure domain of the target at `index` has another one that is accepted.
    pub(crate) fn has_alternative(&self, index: usize, filter: &CandidateFilter<'_>) -> bool {
        let domain = &self.candidates[index].view.domain;
        let Some(tier) = self.tiers.iter().find(|tier| tier.contains(&index)) else {
            return false;
        };
        tier.iter().any(|&other| {
            let candidate = &self.candidates[other];
            other != index && candidate.view.domain == *domain && filter.accepts(candidate)
        })
    }

    /// Returns the index of the target with the lowest score among those of `daemons` that are
    /// accepted and the one at `other`.
    pub(crate) fn best_of(
        &self,
        daemons: &[DaemonId],
        other: Option<usize>,
        filter: &CandidateFilter<'_>,
    ) -> Option<usize> {
        let known = self.candidates.iter().enumerate();
        let named = known
            .filter(|(_, known)| daemons.contains(&known.view.daemon) && filter.accepts(known))
            .map(|(index, _)| index);
        let score = |index: usize| self.candidates[index].score(self.mean_service_s, filter.now);
        named
            .chain(other)
            .min_by(|&left, &right| score(left).total_cmp(&score(right)))
    }

    /// Returns the best of a few samples of one tier, with its score.
    fn sample_best(
        &self,
        tier: &[usize],
        filter: &CandidateFilter<'_>,
        rng: &mut SmallRng,
    ) -> Option<(f32, usize)> {
        let mut best: Option<(f32, usize)> = None;
        for _ in 0..SAMPLE_COUNT.min(tier.len()) {
            let Some(index) = self.sample(tier, filter, best.map(|(_, index)| index), rng) else {
                break;
            };
            let score = self.candidates[index].score(self.mean_service_s, filter.now);
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, index));
            }
        }
        best
    }

    /// Returns an available target other than `excluded`.
    ///
    /// A few targets are drawn uniformly, and one of them is chosen weighted by capacity. If all
    /// draws are unavailable, the tier is searched.
    fn sample(
        &self,
        tier: &[usize],
        filter: &CandidateFilter<'_>,
        excluded: Option<usize>,
        rng: &mut SmallRng,
    ) -> Option<usize> {
        let mut chosen = None;
        let mut total = 0.0;
        let mut drawn = 0;
        for _ in 0..MAX_DRAWS {
            let index = tier[rng.random_range(0..tier.len())];
            let candidate = &self.candidates[index];
            if Some(index) == excluded || !filter.accepts(candidate) {
                continue;
            }
            let capacity = candidate.capacity(self.mean_service_s, filter.now);
            total += capacity;
            if rng.random::<f32>() * total < capacity {
                chosen = Some(index);
            }
            drawn += 1;
            if drawn == DRAWS_PER_SAMPLE {
                break;
            }
        }
        chosen.or_else(|| self.first_accepted(tier, filter, excluded, rng))
    }

    /// Returns the first available target of the tier other than `excluded`, from a random offset.
    fn first_accepted(
        &self,
        tier: &[usize],
        filter: &CandidateFilter<'_>,
        excluded: Option<usize>,
        rng: &mut SmallRng,
    ) -> Option<usize> {
        let start = rng.random_range(0..tier.len());
        let mut order = tier[start..].iter().chain(&tier[..start]).copied();
        order.find(|&index| Some(index) != excluded && filter.accepts(&self.candidates[index]))
    }

    pub(crate) fn on_finished(&mut self, id: u64, outcome: &CallOutcome, now: Instant) {
        let mut candidates = self.candidates.iter_mut();
        let Some(index) = candidates.position(|candidate| candidate.id == id) else {
            return;
        };
        self.candidates[index].on_finished(outcome, now);
        match outcome.result {
            CallResult::Done => {
                let sample = outcome.usual_service_s();
                self.mean_service_s += (sample - self.mean_service_s) * MEAN_SERVICE_TIME_WEIGHT;
                self.busy_share.record(outcome.waited > MAX_IMMEDIATE_WAIT);
            }
            CallResult::Failed | CallResult::Lost => self.eject_outlier(index, now),
            CallResult::NotRun(ErrorKind::TargetBusy) => self.busy_share.record(true),
            CallResult::NotRun(_) | CallResult::Cancelled => {}
        }
    }

    /// Ejects the candidate if it fails far more often than its peers.
    ///
    /// If too many targets are failing, the cause is likely common to all, and every
    /// ejection is lifted instead.
    fn eject_outlier(&mut self, index: usize, now: Instant) {
        let count = self.candidates.len();
        let all = self.candidates.iter();
        let failing = all.filter(|known| known.health.is_failing(now)).count();
        if failing * EJECTED_DIVISOR > count {
            let all = self.candidates.iter_mut();
            all.for_each(|known| known.health.readmit());
            return;
        }
        let failure_rate = |known: &Candidate| known.health.failure_rate(now);
        let total: f32 = self.candidates.iter().map(failure_rate).sum();
        let peers = (total - failure_rate(&self.candidates[index])) / (count - 1).max(1) as f32;
        let health = &mut self.candidates[index].health;
        if health.is_outlier(peers, now) {
            health.eject(now);
        }
    }
}

/// Which targets a pick accepts with regard to earlier failures.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HealthFilter {
    /// Targets with a low failure rate and no ejection in force or awaiting probation.
    Healthy,
    /// Targets that are not ejected.
    NotEjected,
    /// All targets.
    Any,
}

/// Which candidates a pick may choose.
pub(crate) struct CandidateFilter<'a> {
    pub(crate) now: Instant,
    pub(crate) exclude: &'a [DaemonId],
    pub(crate) health: HealthFilter,
    /// Only failure domain to choose from; all if `None`.
    pub(crate) domain: Option<&'a DomainName>,
    pub(crate) version: VersionFilter<'a>,
}

impl CandidateFilter<'_> {
    fn accepts(&self, candidate: &Candidate) -> bool {
        candidate.accepts_calls(self.now)
            && self.accepts_health(candidate)
            && self.version.accepts(candidate)
            && !self.exclude.contains(&candidate.view.daemon)
            && self
                .domain
                .is_none_or(|domain| candidate.view.domain == *domain)
    }

    fn accepts_health(&self, candidate: &Candidate) -> bool {
        match self.health {
            HealthFilter::Healthy => candidate.health.is_healthy(self.now),
            HealthFilter::NotEjected => !candidate.health.is_ejected(self.now),
            HealthFilter::Any => true,
        }
    }
}
