//! One key at the daemon that admits its calls.
//!
//! Until the keeper has answered, a key runs on a credit of a few calls and
//! on an equal part of the plan's rate. A report is due when a key is new,
//! when demand has moved away from the last report by more than chance, when
//! the share has shrunk, and when the keeper's interval has passed.

use std::time::{Duration, Instant};

use model::{CallCount, CallRate, ErrorKind};

use crate::bucket::TokenBucket;
use crate::demand::DemandMeter;
use crate::message::{
    DemandReport, GRANT_LIFETIME_INTERVALS, LimitKey, PlanLimit, ShareGrant, Thousandths,
};
use crate::refusal::LimitRefusal;

/// Time worth of the plan's rate that a new key may use before the keeper answers.
const CREDIT_S: f64 = 0.05;

/// Most calls of that credit.
const MAX_CREDIT: f64 = 10.0;

/// Least time between two reports of one key.
const MIN_REPORT_GAP: Duration = Duration::from_millis(100);

/// Part of the keeper's interval that lies at least between two reports: one in this many.
const GAP_PART: u32 = 8;

/// Time between two checks of a key without calls.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time until an unanswered report is repeated.
const REPORT_RETRY: Duration = Duration::from_millis(500);

/// Relative change of demand that is worth a report.
const DEMAND_CHANGE: f64 = 0.3;

/// A share that shrank by this part, and by this rate, is confirmed to the keeper.
const CONFIRM_PART: f64 = 0.2;
const CONFIRM_RATE: f64 = 1.0;

/// Age of a key at which its first reports, made from few calls, are corrected.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// Least factor on the interval of reports, the spread above it, and its steps.
const MIN_PACE: f64 = 0.7;
const PACE_SPREAD: f64 = 0.3;
const PACE_STEPS: u64 = 1024;

/// Time without calls after which the share is given back.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Time without calls after which the key is forgotten; longer than any share lives idle.
const FORGET_TIME: Duration = Duration::from_secs(60);

/// Wait that a refusal names while the share is not known.
const UNKNOWN_WAIT: Duration = Duration::from_millis(100);

/// A key's state at this daemon.
#[derive(Debug)]
pub(crate) struct LocalKey {
    limit: PlanLimit,
    bucket: TokenBucket,
    demand: DemandMeter,
    in_flight: u32,
    /// Sum of the fractions of calls at once not yet used.
    fraction: f64,
    grant: Option<HeldGrant>,
    reported: Option<SentReport>,
    /// Whether calls or shares came since the last check.
    touched: bool,
    check_at: Instant,
    born: Instant,
    last_call: Instant,
    /// Factor on the interval, different at each daemon, so that reports do not come at once.
    pace: f64,
}

/// The share in force.
#[derive(Clone, Copy, Debug)]
struct HeldGrant {
    grant: ShareGrant,
    until: Instant,
}

/// The last report.
#[derive(Clone, Copy, Debug)]
struct SentReport {
    rate: f64,
    calls: f64,
    at: Instant,
    due: Instant,
}

impl LocalKey {
    /// A key whose first call comes now, at a fleet of `members` daemons.
    ///
    /// The seed spreads reports of different daemons over time.
    pub(crate) fn new(limit: PlanLimit, members: usize, seed: u64, now: Instant) -> Self {
        let credit = (limit.rate.0 * CREDIT_S).clamp(1.0, MAX_CREDIT);
        Self {
            limit,
            bucket: TokenBucket::new(equal_part(limit, members), credit, now),
            demand: DemandMeter::new(now),
            in_flight: 0,
            fraction: 0.0,
            grant: None,
            reported: None,
            touched: true,
            check_at: now,
            born: now,
            last_call: now,
            pace: MIN_PACE + (seed % PACE_STEPS) as f64 / PACE_STEPS as f64 * PACE_SPREAD,
        }
    }

    /// Admits a call or refuses it.
    pub(crate) fn admit(
        &mut self,
        limit: PlanLimit,
        members: usize,
        now: Instant,
    ) -> Result<(), LimitRefusal> {
        self.limit = limit;
        self.last_call = now;
        self.touched = true;
        self.lapse(members, now);
        self.demand.advance(self.in_flight, now);
        self.demand.on_call();
        if !self.has_place(members) {
            self.demand.on_refused();
            return Err(LimitRefusal::new(
                ErrorKind::ConcurrencyExceeded,
                UNKNOWN_WAIT,
            ));
        }
        if !self.bucket.has_token(now) {
            let wait = Duration::from_secs_f64(self.bucket.wait_s().clamp(0.001, 60.0));
            return Err(LimitRefusal::new(ErrorKind::RateExceeded, wait));
        }
        self.bucket.take();
        self.in_flight += 1;
        Ok(())
    }

    /// Counts the end of an admitted call.
    pub(crate) fn release(&mut self, duration: Duration, now: Instant) {
        self.demand.advance(self.in_flight, now);
        self.demand.on_ended(duration.as_secs_f64());
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Falls back to an equal part once the share has lapsed.
    fn lapse(&mut self, members: usize, now: Instant) {
        if self.grant.is_some_and(|held| held.until <= now) {
            self.drop_grant(members, now);
        }
    }

    fn drop_grant(&mut self, members: usize, now: Instant) {
        self.grant = None;
        self.bucket.set_rate(equal_part(self.limit, members), now);
    }

    /// Whether one more call may run at once.
    ///
    /// Of the calls that come when the whole part of the share is used up, as
    /// many are admitted as its fraction says.
    fn has_place(&mut self, members: usize) -> bool {
        let most = f64::from(self.limit.concurrency.0);
        let part = (most / members.max(1) as f64).max(1.0);
        let share = self.grant.map_or(part, |held| held.grant.calls.into());
        let share = share.min(most);
        if self.in_flight < share as u32 {
            return true;
        }
        if self.in_flight > share as u32 {
            return false;
        }
        self.fraction += share.fract();
        let admitted = self.fraction >= 1.0;
        self.fraction = self.fraction.fract();
        admitted
    }

    /// Puts a share into force; one that shrank is confirmed by an early report.
    pub(crate) fn on_grant(&mut self, grant: ShareGrant, now: Instant) {
        let rate = f64::from(grant.rate).min(self.limit.rate.0);
        let before = self.grant.map_or(0.0, |held| held.grant.rate.into());
        let shrunk = before - rate > (before * CONFIRM_PART).max(CONFIRM_RATE);
        self.bucket.set_rate(CallRate(rate), now);
        self.grant = Some(HeldGrant {
            grant,
            until: now + grant.interval() * GRANT_LIFETIME_INTERVALS,
        });
        if let Some(reported) = &mut self.reported {
            let settled = now >= self.born + SETTLE_TIME;
            let wait = if shrunk {
                report_gap(grant)
            } else if settled {
                grant.interval().mul_f64(self.pace)
            } else {
                grant.interval().min(SETTLE_TIME)
            };
            reported.due = reported.at + wait;
        }
    }

    /// The report that is due, if any.
    pub(crate) fn report(
        &mut self,
        key: LimitKey,
        members: usize,
        now: Instant,
    ) -> Option<DemandReport> {
        if !self.touched && now < self.check_at {
            return None;
        }
        self.touched = false;
        self.check_at = now + CHECK_INTERVAL;
        self.lapse(members, now);
        self.demand.advance(self.in_flight, now);
        let idle = self.is_idle(now);
        if idle && self.grant.is_none() {
            return None;
        }
        if !idle && !self.is_due(now) {
            return None;
        }
        let report = self.fill_report(key, idle);
        if idle {
            self.drop_grant(members, now);
        }
        self.reported = Some(SentReport {
            rate: self.demand.rate(),
            calls: self.demand.calls(),
            at: now,
            due: now + REPORT_RETRY,
        });
        Some(report)
    }

    fn fill_report(&self, key: LimitKey, idle: bool) -> DemandReport {
        let shown = |value: f64| {
            let value = if idle { 0.0 } else { value.max(0.001) };
            Thousandths::from(value)
        };
        DemandReport {
            key,
            limit_rate: self.limit.rate.0.into(),
            limit_calls: self.limit.concurrency,
            rate: shown(self.demand.rate()),
            calls: shown(self.demand.calls()),
            held: self.grant.map_or(Thousandths(0), |held| held.grant.rate),
        }
    }

    fn is_due(&self, now: Instant) -> bool {
        let Some(reported) = &self.reported else {
            return true;
        };
        if now >= reported.due {
            return true;
        }
        let gap = self
            .grant
            .map_or(MIN_REPORT_GAP, |held| report_gap(held.grant));
        now >= reported.at + gap && self.has_changed(reported)
    }

    /// Whether demand has changed since the report by more than chance.
    fn has_changed(&self, reported: &SentReport) -> bool {
        let rate = self.demand.rate();
        let noise = DemandMeter::rate_noise(reported.rate);
        let rate_step = (reported.rate * DEMAND_CHANGE).max(noise);
        let noise = self.demand.calls_noise(reported.rate);
        let calls_step = (reported.calls * DEMAND_CHANGE).max(noise);
        let calls = self.demand.calls();
        (rate - reported.rate).abs() > rate_step || (calls - reported.calls).abs() > calls_step
    }

    /// Makes a report due at once, as after a change of keeper.
    pub(crate) fn report_soon(&mut self) {
        self.touched = true;
        self.reported = None;
    }

    fn is_idle(&self, now: Instant) -> bool {
        self.in_flight == 0 && now >= self.last_call + IDLE_TIME
    }

    /// Whether the key can be forgotten.
    pub(crate) fn is_forgotten(&self, now: Instant) -> bool {
        self.in_flight == 0 && now >= self.last_call + FORGET_TIME
    }

    /// When the last call came.
    pub(crate) fn last_call(&self) -> Instant {
        self.last_call
    }

    /// Calls in flight.
    pub(crate) fn in_flight(&self) -> CallCount {
        CallCount(self.in_flight)
    }
}

/// An equal part of the plan's rate for each daemon.
fn equal_part(limit: PlanLimit, members: usize) -> CallRate {
    CallRate(limit.rate.0 / members.max(1) as f64)
}

/// Least time between two reports under `grant`.
fn report_gap(grant: ShareGrant) -> Duration {
    (grant.interval() / GAP_PART).max(MIN_REPORT_GAP)
}
