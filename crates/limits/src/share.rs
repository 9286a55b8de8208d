//! How a limit is divided by observed demand.

/// Part of the unused rate that is divided equally; the rest follows demand.
const EQUAL_PART: f64 = 0.5;

/// Part of the calls at once above which they are divided exactly.
const RELAXED_PART: f64 = 0.7;

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

/// A holder's due part of `limit`; the parts of all holders sum to it.
pub(crate) fn divide_rate(limit: f64, share: DemandShare) -> f64 {
    if share.total >= limit {
        return limit * share.part();
    }
    share.own + (limit - share.total) * share.slack_part()
}

/// Due calls at once of every holder, in the order of `demands`.
///
/// Well below the limit each holder may hold at least one call, since most
/// hold none; near the limit whole numbers that sum to it go to the largest
/// parts first.
pub(crate) fn divide_calls(limit: u32, demands: &[f64]) -> Vec<u32> {
    let total: f64 = demands.iter().sum();
    let due = |&own: &f64| {
        let share = DemandShare {
            own,
            total,
            holders: demands.len(),
        };
        divide_rate(f64::from(limit), share)
    };
    if total < f64::from(limit) * RELAXED_PART {
        let round = |due: f64| (due.round() as u32).clamp(1, limit.max(1));
        return demands.iter().map(due).map(round).collect();
    }
    divide_exactly(limit, &demands.iter().map(due).collect::<Vec<_>>())
}

/// Whole numbers that sum to `limit`, by largest remainder.
fn divide_exactly(limit: u32, due: &[f64]) -> Vec<u32> {
    let mut shares: Vec<u32> = due.iter().map(|due| due.floor() as u32).collect();
    let given: u32 = shares.iter().sum();
    let mut order: Vec<usize> = (0..due.len()).collect();
    order.sort_by(|&left, &right| due[right].fract().total_cmp(&due[left].fract()));
    let left = limit.saturating_sub(given) as usize;
    for &index in order.iter().take(left) {
        shares[index] += 1;
    }
    shares
}
