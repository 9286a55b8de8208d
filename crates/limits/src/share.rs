//! How a limit is divided by observed demand.

/// Part of the unused rate that is divided equally; the rest follows demand.
const EQUAL_PART: f64 = 0.5;

/// Part of the rate below which demand is not held to exact shares.
const RELAXED_RATE: f64 = 0.95;

/// Part of the calls at once below which they are not divided exactly.
const RELAXED_CALLS: f64 = 0.85;

/// Calls at once that every holder may have in any case while there is room.
const NEWCOMER_CALLS: f64 = 2.0;

/// Part of the calls at once that all holders share evenly besides.
const NEWCOMER_PART: f64 = 0.25;

/// Standard deviations above its mean that a holder's calls at once may reach.
const CHANCE_DEVIATIONS: f64 = 3.0;

/// Part of a limit that exact shares must put to use.
const WELL_USED_PART: f64 = 0.9;

/// Standard deviations of the calls at once by which their mean stays below the limit.
const MARGIN_DEVIATIONS: f64 = 0.5;

/// Most times the limit that all shares may sum to.
const MAX_OVERCOMMIT: f64 = 32.0;

/// Steps of the search for a factor.
const FACTOR_STEPS: usize = 12;

/// Calls a second beyond demand that every holder may use while demand is far below the limit.
const HEADROOM: f64 = 0.2;

/// One holder's demand among all.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemandShare {
    /// Its own.
    pub(crate) own: f64,
    /// That of all holders.
    pub(crate) total: f64,
    /// Number of holders.
    pub(crate) holders: usize,
}

impl DemandShare {
    /// Its part of all demand.
    fn part(&self) -> f64 {
        if self.total <= 0.0 {
            return 1.0 / self.holders.max(1) as f64;
        }
        self.own / self.total
    }

    /// Its part of what nobody demands.
    fn slack_part(&self) -> f64 {
        EQUAL_PART / self.holders.max(1) as f64 + (1.0 - EQUAL_PART) * self.part()
    }
}

/// A holder's due part of `limit`.
///
/// The parts sum to the limit; well below it each has headroom beyond that
/// for chance, which only counts if all use it at the same time.
pub(crate) fn divide_rate(limit: f64, share: DemandShare) -> f64 {
    if share.total >= limit {
        return limit * share.part();
    }
    let due = share.own + (limit - share.total) * share.slack_part();
    if share.total >= limit * RELAXED_RATE {
        return due;
    }
    (due + share.own.sqrt() + HEADROOM).min(limit)
}

/// Due calls at once of every holder, in the order of `demands`.
///
/// Well below the limit every holder may hold what its demand reaches by chance.
/// Near it, whole numbers that sum to the limit go to the largest parts; but
/// where many holders with little demand leave most of their calls at once
/// unused, they get more, so that the calls expected to run sum to the limit.
pub(crate) fn divide_calls(limit: u32, demands: &[f64]) -> Vec<f64> {
    let total: f64 = demands.iter().sum();
    let most = f64::from(limit);
    if total < most * RELAXED_CALLS {
        let newcomer = NEWCOMER_CALLS + most * NEWCOMER_PART / demands.len().max(1) as f64;
        let due = |own: &f64| (own + own.sqrt() * CHANCE_DEVIATIONS + newcomer).min(most);
        return demands.iter().map(due).collect();
    }
    let exact = divide_exactly(limit, demands, total);
    if expected(&exact, demands) >= most * WELL_USED_PART {
        return exact;
    }
    divide_expected(limit, demands, total)
}

/// Whole numbers that sum to `limit`, by largest remainder.
fn divide_exactly(limit: u32, demands: &[f64], total: f64) -> Vec<f64> {
    let part = |own: &f64| f64::from(limit) * own / total;
    let due: Vec<f64> = demands.iter().map(part).collect();
    let mut shares: Vec<f64> = due.iter().map(|due| due.floor()).collect();
    let given: f64 = shares.iter().sum();
    let mut order: Vec<usize> = (0..due.len()).collect();
    order.sort_by(|&left, &right| due[right].fract().total_cmp(&due[left].fract()));
    let left = (f64::from(limit) - given).max(0.0) as usize;
    for &index in order.iter().take(left) {
        shares[index] += 1.0;
    }
    shares
}

/// Multiples of demand by which the expected calls sum to a little less than `limit`.
fn divide_expected(limit: u32, demands: &[f64], total: f64) -> Vec<f64> {
    let most = f64::from(limit);
    let wanted = most - most.sqrt() * MARGIN_DEVIATIONS;
    let shares = |factor: f64| -> Vec<f64> {
        let due = |own: &f64| (own * factor).min(most);
        demands.iter().map(due).collect()
    };
    let mut low = most / total;
    let mut high = low * MAX_OVERCOMMIT;
    for _ in 0..FACTOR_STEPS {
        let middle = f64::midpoint(low, high);
        if expected(&shares(middle), demands) < wanted {
            low = middle;
        } else {
            high = middle;
        }
    }
    shares(low)
}

/// Sum of the calls expected to run at once.
pub(crate) fn expected(shares: &[f64], demands: &[f64]) -> f64 {
    let pairs = shares.iter().zip(demands);
    pairs.map(|(share, own)| expected_calls(*share, *own)).sum()
}

/// Calls expected to run at once where `share` may and `demand` would, by Erlang's loss formula.
fn expected_calls(share: f64, demand: f64) -> f64 {
    let mut blocked = 1.0;
    for calls in 1..=share as u32 {
        blocked = demand * blocked / (f64::from(calls) + demand * blocked);
    }
    let whole = demand * (1.0 - blocked);
    let next = demand * blocked / (share.floor() + 1.0 + demand * blocked);
    let one_more = demand * (1.0 - next);
    whole + (one_more - whole) * share.fract()
}
