//! The quota of one organisation at one daemon: the rates asked for and admitted, the level of the
//! token bucket, and jumps of the demand that are not in the sums yet.

use std::time::Duration;

use model::OrganisationName;

use super::report::Rates;
use crate::organisation::{QuotaBounds, RequestQuota};

/// Time constant of the rates. A shorter one makes the sums of small organisations too noisy.
pub(super) const RATE_TIME_S: f64 = 0.3;
/// Time constant of the usual rate, with which a jump is compared.
pub(super) const USUAL_TIME_S: f64 = 5.0;
/// Time within which a deviation of the level is corrected. News is up to 1.4 s old, and a
/// correction much faster than that oscillates.
const CORRECTION_TIME_S: f64 = 1.0;
/// Time for which demand beyond the rate is assumed to go on when the level is judged.
const LOOKAHEAD_S: f64 = 1.0;
/// Level below which requests are refused, as a fraction of the burst.
pub(super) const THIN_FRACTION: f64 = 0.5;
/// The same in seconds of the rate, if that is less: a low level is enough reserve for what comes
/// at a low rate before the news of it.
const THIN_TIME_S: f64 = 1.5;
/// Level at which a limited organisation is kept, as a fraction of the one above.
const KEPT_FRACTION: f64 = 0.5;
/// Part of the permitted slack that counts as burst, so that chance alone does not limit a
/// small organisation.
const SLACK_FRACTION: f64 = 0.4;
/// Part of the quota's rate that a limited organisation gets; the rest is for chance.
const KEPT_RATE: f64 = 0.97;
/// Maximum debt in seconds of the rate; an older one lies outside any window.
const MAX_DEBT_S: f64 = 5.0;
/// Time from a local jump after which sums show whether the whole fleet jumped; until they are as
/// new as that, it is assumed.
const SURGE_SEEN_TIME: Duration = Duration::from_millis(500);
/// Age of the sums from which an assumed jump counts in full. In calm they are up to 1.1 s old.
const SURGE_CAUTION_AGE: Duration = Duration::from_millis(1200);
/// Credit of a daemon that no longer knows the sums, and the most that it saves up without the
/// burst, in seconds of its share. All daemons may get it at the same moment.
pub(super) const FIRST_CREDIT_S: f64 = 0.3;
const MAX_CREDIT_S: f64 = 0.5;
/// Longest step in which a level or credit fills; a longer one means that the daemon was frozen.
const MAX_FILL_STEP: Duration = Duration::from_secs(1);
/// Requests in excess of chance from which a jump is taken for one of the whole fleet, and from
/// which it is reported.
const SURGE_LEAST: f64 = 4.0;
pub(super) const REPORT_LEAST: f64 = 2.5;
/// Time constant with which an assumed debt is forgotten; the sums show the true one by then.
const SURGE_DEBT_TIME_S: f64 = 0.7;
/// Time constant of the demand before a rise, and factor by which a rise is continued.
const RISE_TIME_S: f64 = 1.0;
const RISE_FACTOR: f64 = 4.0;

/// More requests than usual at this daemon.
#[derive(Clone, Copy, Debug)]
pub(super) struct DemandSurge {
    pub(super) since: Duration,
    /// Rate asked for at this daemon before.
    pub(super) usual: f64,
}

/// Quota of one organisation as seen by one daemon.
#[derive(Clone, Debug)]
pub(super) struct QuotaState {
    pub(super) name: OrganisationName,
    pub(super) quota: RequestQuota,
    pub(super) updated_at: Duration,
    /// Rates at this daemon.
    pub(super) own: Rates,
    /// Rate asked for at this daemon over a longer time.
    pub(super) usual: f64,
    /// Rates at all other daemons, and that which was asked for over a longer time.
    pub(super) others: Rates,
    pub(super) usual_others: f64,
    /// Rate that all daemons together were asked for a moment ago.
    pub(super) earlier: f64,
    /// Whether the sums were known at some time.
    pub(super) has_seen_sums: bool,
    pub(super) surge: Option<DemandSurge>,
    /// Time that the sums describe.
    pub(super) view_from: Duration,
    /// Requests that the others probably admitted in a jump, beyond the sums.
    pub(super) surge_debt: f64,
    /// Level of the token bucket; negative if the fleet admitted too much.
    pub(super) level: f64,
    /// Part of a request that this daemon may admit while it does not know the sums.
    pub(super) credit: f64,
    pub(super) refused_at: Option<Duration>,
}

/// Limits of one organisation for the daemons that can reach each other.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scope {
    pub(super) rate: f64,
    pub(super) burst: f64,
}

impl Scope {
    pub(super) fn new(bounds: &QuotaBounds, quota: RequestQuota, part: f64) -> Self {
        Self {
            rate: (quota.rate.0 * part * KEPT_RATE).max(0.001),
            burst: (f64::from(quota.burst.0) + bounds.slack * SLACK_FRACTION) * part,
        }
    }
}

impl Scope {
    /// Returns the level below which requests are refused.
    pub(super) fn threshold(&self) -> f64 {
        (self.burst * THIN_FRACTION).min(self.rate * THIN_TIME_S)
    }
}

impl QuotaState {
    pub(super) fn advance(
        &mut self,
        now: Duration,
        scope: &Scope,
        view_age: Option<Duration>,
        members: f64,
    ) {
        let step = now.saturating_sub(self.updated_at);
        let elapsed_s = step.as_secs_f64();
        let fill_s = if step > MAX_FILL_STEP { 0.0 } else { elapsed_s };
        self.level += (scope.rate - self.others.admitted) * fill_s;
        let unknown = self.others_admitted() - self.others.admitted;
        self.surge_debt *= (-elapsed_s / SURGE_DEBT_TIME_S).exp();
        self.surge_debt += unknown * fill_s;
        self.level = self.level.clamp(-scope.rate * MAX_DEBT_S, scope.burst);
        let share = scope.rate / members;
        if view_age.is_some() {
            // A debt of the fleet stays one when a daemon no longer knows the sums.
            let level = self.level - self.surge_debt;
            self.credit = (share * FIRST_CREDIT_S).min(level / members);
        } else {
            let most = share * MAX_CREDIT_S + scope.threshold() * KEPT_FRACTION / members;
            self.credit = (self.credit + share * fill_s).min(most);
        }
        let factor = (-elapsed_s / RATE_TIME_S).exp();
        self.own.asked *= factor;
        self.own.admitted *= factor;
        let usual_factor = (-elapsed_s / USUAL_TIME_S).exp();
        self.usual *= usual_factor;
        self.usual_others =
            self.others.asked + (self.usual_others - self.others.asked) * usual_factor;
        let rise_factor = (-elapsed_s / RISE_TIME_S).exp();
        let asked = self.own.asked + self.others.asked;
        if view_age.is_some() && !self.has_seen_sums {
            // Without a past, the first sums would look like a jump from zero.
            self.has_seen_sums = true;
            self.earlier = asked;
            self.usual_others = self.others.asked;
            self.usual = self.own.asked.max(self.others.asked / members);
        }
        self.earlier = asked + (self.earlier - asked) * rise_factor;
        self.updated_at = now;
        self.watch_surge(now, view_age);
    }

    /// Notices that more requests than usual arrive here.
    pub(super) fn watch_surge(&mut self, now: Duration, view_age: Option<Duration>) {
        let window_s = 2.0 * RATE_TIME_S;
        let (count, usual) = (self.own.asked * window_s, self.usual * window_s);
        self.view_from = now.saturating_sub(view_age.unwrap_or_default());
        if is_jump(self.own.asked, self.usual, SURGE_LEAST) {
            self.surge.get_or_insert(DemandSurge {
                since: now,
                usual: self.usual,
            });
        } else if count < 1.5 * usual {
            self.surge = None;
        }
    }

    /// Returns the factor by which the demand of the whole fleet probably grew, 1 if unknown.
    pub(super) fn surge_factor(&self) -> f64 {
        let is_new = |surge: &DemandSurge| self.view_from < surge.since + SURGE_SEEN_TIME;
        let Some(surge) = self.surge.filter(is_new) else {
            return 1.0;
        };
        let window_s = 2.0 * RATE_TIME_S;
        let count = self.own.asked * window_s;
        // Sums that stay this old mean that messages are lost; the lowest probable factor would then
        // let too much through for as long as they are used.
        let is_cut_off = self.updated_at > self.view_from + SURGE_CAUTION_AGE;
        let (margin, usual) = if is_cut_off {
            (0.0, surge.usual)
        } else {
            (1.5, self.usual)
        };
        let certain = count - margin * count.sqrt();
        (certain / (usual * window_s).max(0.2)).clamp(1.0, 10.0)
    }

    /// Returns the rates of the whole fleet.
    pub(super) fn demand(&self) -> Rates {
        let expected = self.usual_others * self.surge_factor();
        Rates {
            asked: self.own.asked + self.others.asked.max(expected),
            admitted: self.own.admitted + self.others_admitted(),
        }
    }

    /// Returns the rate that the other daemons admit. A jump that they see too is not in the sums
    /// yet.
    pub(super) fn others_admitted(&self) -> f64 {
        let factor = self.surge_factor();
        if factor <= 1.0 {
            return self.others.admitted;
        }
        let fraction = (self.own.admitted / self.own.asked.max(0.01)).min(1.0);
        (self.usual_others * factor * fraction).max(self.others.admitted)
    }

    pub(super) fn admitted_fraction(&self, scope: &Scope) -> f64 {
        let asked = self.demand().asked;
        let level = self.level - self.surge_debt;
        let chance = (asked / (2.0 * RATE_TIME_S)).sqrt();
        let expected = level - (asked - chance / 2.0 - scope.rate).max(0.0) * LOOKAHEAD_S;
        let threshold = scope.threshold();
        if expected >= threshold {
            return 1.0;
        }
        let rise = (asked - self.earlier - chance).max(0.0) * RISE_FACTOR;
        let correction = (level - threshold * KEPT_FRACTION) / CORRECTION_TIME_S;
        ((scope.rate + correction) / (asked + rise).max(0.01)).clamp(0.0, 1.0)
    }
}

/// Returns whether `rate` exceeds `before` by more than chance, where both are measured over twice
/// the time constant.
pub(super) fn is_jump(rate: f64, before: f64, least: f64) -> bool {
    let window_s = 2.0 * RATE_TIME_S;
    let usual = before * window_s;
    rate * window_s > 1.5 * usual + 3.0 * usual.sqrt() + least
}
