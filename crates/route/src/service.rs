//! The targets of one service: sampling, scores, and the judgement of failures.

use std::time::Instant;

use model::DaemonId;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::candidate::Candidate;
use crate::target::{CallOutcome, CallResult, TargetView};

/// Distances of a target: own failure domain, own region, other.
pub(crate) const DISTANCES: usize = 3;

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

/// Factor on the score for each step of distance.
const DISTANCE_FACTOR: f32 = 1.3;

/// Multiple of the service's mean time above which the next distance is looked at too.
const SLOW_FACTOR: f32 = 2.0;

/// The targets of one service.
#[derive(Debug)]
pub(crate) struct ServiceTargets {
    pub(crate) candidates: Vec<Candidate>,
    /// Positions of candidates by distance.
    pub(crate) tiers: [Vec<usize>; DISTANCES],
    pub(crate) mean_s: f32,
}

impl ServiceTargets {
    pub(crate) fn new(mean_s: f32) -> Self {
        Self {
            candidates: Vec::new(),
            tiers: Default::default(),
            mean_s,
        }
    }

    /// Takes out the candidate that describes the same run of the same target.
    pub(crate) fn take(&mut self, view: &TargetView) -> Option<Candidate> {
        let same = |known: &Candidate| {
            known.view.target == view.target && known.view.daemon == view.daemon
        };
        let index = self.candidates.iter().position(same)?;
        Some(self.candidates.swap_remove(index))
    }

    /// Position of the target for the next call.
    pub(crate) fn choose(&mut self, rule: &PickRule<'_>, random: &mut SmallRng) -> Option<usize> {
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

    pub(crate) fn on_finished(&mut self, id: u64, outcome: &CallOutcome, now: Instant) {
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
pub(crate) enum Trust {
    /// Neither ejected nor on probation.
    Proven,
    /// Not ejected.
    Present,
    /// All.
    Any,
}

/// Which candidates one pick may take.
pub(crate) struct PickRule<'a> {
    pub(crate) now: Instant,
    pub(crate) exclude: &'a [DaemonId],
    pub(crate) trust: Trust,
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
