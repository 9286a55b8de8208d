//! Division of a limit among its holders, the daemons that use it, by observed demand.

/// Fraction of the unused rate that is divided equally; the rest follows demand.
const EQUAL_FRACTION: f64 = 0.5;

/// Demand, as a fraction of the rate limit, below which shares may sum to more than the limit.
const RELAXED_RATE_FRACTION: f64 = 0.95;

/// The same for the concurrency limit.
const RELAXED_CONCURRENCY_FRACTION: f64 = 0.85;

/// Concurrency that every holder gets in addition to its demand while capacity is left.
const BASE_CONCURRENCY: f64 = 2.0;

/// Fraction of the concurrency limit divided equally among all holders while capacity is left.
const EVEN_CONCURRENCY_FRACTION: f64 = 0.25;

/// Standard deviations above its mean that the concurrency of a holder may reach.
const BURST_DEVIATIONS: f64 = 3.0;

/// Minimum fraction of a limit that an exact division must be expected to use.
const MIN_EXPECTED_USE: f64 = 0.9;

/// Standard deviations by which the expected concurrency stays below the limit.
const MARGIN_DEVIATIONS: f64 = 0.5;

/// Maximum sum of all shares, as a multiple of the limit.
const MAX_OVERCOMMIT: f64 = 32.0;

/// Steps of the binary search for the overcommit factor.
const FACTOR_SEARCH_STEPS: usize = 12;

/// Calls per second that every holder gets as headroom below `RELAXED_RATE_FRACTION`.
const RATE_HEADROOM: f64 = 0.2;

/// Demand of one holder in relation to all holders.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemandShare {
    /// Demand of this holder.
    pub(crate) own: f64,
    /// Demand of all holders.
    pub(crate) total: f64,
    /// Number of holders.
    pub(crate) holders: usize,
}

impl DemandShare {
    /// Returns this holder's fraction of the total demand.
    fn demand_fraction(&self) -> f64 {
        if self.total <= 0.0 {
            return 1.0 / self.holders.max(1) as f64;
        }
        self.own / self.total
    }

    /// Returns this holder's fraction of the unused limit.
    fn unused_fraction(&self) -> f64 {
        EQUAL_FRACTION / self.holders.max(1) as f64
            + (1.0 - EQUAL_FRACTION) * self.demand_fraction()
    }
}

/// Returns the share of the rate `limit` that a holder should get.
///
/// Near the limit, the shares sum to it. While demand is lower, each holder
/// gets additional headroom for random fluctuations; the limit is only
/// exceeded if all holders use it at the same time.
pub(crate) fn divide_rate(limit: f64, share: DemandShare) -> f64 {
    if share.total >= limit {
        return limit * share.demand_fraction();
    }
    let due = share.own + (limit - share.total) * share.unused_fraction();
    if share.total >= limit * RELAXED_RATE_FRACTION {
        return due;
    }
    (due + share.own.sqrt() + RATE_HEADROOM).min(limit)
}

/// Returns the concurrency share of every holder, in the order of `demands`.
///
/// Well below the limit, each share covers the random fluctuations of the
/// holder's demand. Near the limit, shares are whole numbers that sum to it,
/// divided by largest remainder. Many holders with little demand are expected to
/// use less than `MIN_EXPECTED_USE` of the limit that way; the shares are then
/// enlarged, so that the expected concurrency is slightly below the limit.
pub(crate) fn divide_concurrency(limit: u32, demands: &[f64]) -> Vec<f64> {
    let total: f64 = demands.iter().sum();
    let max_share = f64::from(limit);
    if total < max_share * RELAXED_CONCURRENCY_FRACTION {
        let base =
            BASE_CONCURRENCY + max_share * EVEN_CONCURRENCY_FRACTION / demands.len().max(1) as f64;
        let due = |own: &f64| (own + own.sqrt() * BURST_DEVIATIONS + base).min(max_share);
        return demands.iter().map(due).collect();
    }
    let exact = divide_by_largest_remainder(limit, demands, total);
    if total_carried_load(&exact, demands) >= max_share * MIN_EXPECTED_USE {
        return exact;
    }
    divide_by_expected_load(limit, demands, total)
}

/// Divides `limit` into whole numbers by the largest remainder method.
fn divide_by_largest_remainder(limit: u32, demands: &[f64], total: f64) -> Vec<f64> {
    let part = |own: &f64| f64::from(limit) * own / total;
    let due: Vec<f64> = demands.iter().map(part).collect();
    let mut shares: Vec<f64> = due.iter().map(|due| due.floor()).collect();
    let assigned: f64 = shares.iter().sum();
    let mut order: Vec<usize> = (0..due.len()).collect();
    order.sort_by(|&left, &right| due[right].fract().total_cmp(&due[left].fract()));
    let remaining = (f64::from(limit) - assigned).max(0.0) as usize;
    for &index in order.iter().take(remaining) {
        shares[index] += 1.0;
    }
    shares
}

/// Scales all demands so that the expected concurrency is slightly below `limit`.
fn divide_by_expected_load(limit: u32, demands: &[f64], total: f64) -> Vec<f64> {
    let max_share = f64::from(limit);
    let wanted_load = max_share - max_share.sqrt() * MARGIN_DEVIATIONS;
    let shares = |factor: f64| -> Vec<f64> {
        let due = |own: &f64| (own * factor).min(max_share);
        demands.iter().map(due).collect()
    };
    let mut low = max_share / total;
    let mut high = low * MAX_OVERCOMMIT;
    for _ in 0..FACTOR_SEARCH_STEPS {
        let middle = f64::midpoint(low, high);
        if total_carried_load(&shares(middle), demands) < wanted_load {
            low = middle;
        } else {
            high = middle;
        }
    }
    shares(low)
}

/// Returns the expected concurrency over all holders.
pub(crate) fn total_carried_load(shares: &[f64], demands: &[f64]) -> f64 {
    let pairs = shares.iter().zip(demands);
    pairs.map(|(share, own)| carried_load(*share, *own)).sum()
}

/// Returns the expected concurrency of a holder with `share` slots and an offered load of `demand`.
///
/// Uses the Erlang B formula, interpolated for fractional shares.
fn carried_load(share: f64, demand: f64) -> f64 {
    let mut blocked = 1.0;
    for calls in 1..=share as u32 {
        blocked = demand * blocked / (f64::from(calls) + demand * blocked);
    }
    let floor_load = demand * (1.0 - blocked);
    let next_blocked = demand * blocked / (share.floor() + 1.0 + demand * blocked);
    let ceil_load = demand * (1.0 - next_blocked);
    floor_load + (ceil_load - floor_load) * share.fract()
}
