//! State of one key at a daemon that admits its calls.
//!
//! Until the coordinator has answered, a key has a credit of a few calls and an
//! equal part of the plan's rate. A report is due when a key is new, when
//! demand differs significantly from the last report, when the share has
//! shrunk, and when the coordinator's report interval has passed.

use std::time::{Duration, Instant};

use model::{CallCount, CallRate, ErrorKind};

use crate::bucket::{BurstSize, TokenBucket};
use crate::demand::DemandMeter;
use crate::message::{
    DemandReport, GRANT_LIFETIME_INTERVALS, LimitKey, PlanLimit, ShareGrant, Thousandths,
};
use crate::refusal::LimitRefusal;

/// Credit of a new key until the coordinator answers, in seconds of the plan's rate.
const INITIAL_CREDIT_S: f64 = 0.05;

/// Maximum credit of a new key, in calls.
const MAX_INITIAL_CREDIT: f64 = 10.0;

/// Capacity of a key's bucket. With room for one call only, a bucket refuses calls that happen to
/// arrive close together: a third of all calls when demand is half of the share.
const BURST: BurstSize = BurstSize {
    seconds: 1.0,
    min_tokens: 4.0,
};

/// Minimum time between two reports of one key.
const MIN_REPORT_GAP: Duration = Duration::from_millis(100);

/// Divisor of the coordinator's interval that gives the minimum time between two reports.
const REPORT_GAP_DIVISOR: u32 = 8;

/// Interval at which a key without calls is checked for a due report.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which an unanswered report is repeated.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Relative change of demand that triggers a report.
const DEMAND_CHANGE: f64 = 0.3;

/// A share that shrank by this fraction and by this rate is confirmed to the coordinator.
const CONFIRMED_SHRINK_FRACTION: f64 = 0.2;
const CONFIRMED_SHRINK_RATE: f64 = 1.0;

/// Age below which a key reports at least this often, as its first reports cover few calls.
const SETTLING_TIME: Duration = Duration::from_secs(8);

/// Minimum factor on the report interval, the random spread above it, and its steps.
const MIN_INTERVAL_FACTOR: f64 = 0.7;
const INTERVAL_FACTOR_SPREAD: f64 = 0.3;
const INTERVAL_FACTOR_STEPS: u64 = 1024;

/// Time without calls after which the share is given up.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Time without calls after which the key is removed; above `IDLE_TIME`, as the share is given up
/// first.
const EXPIRY_TIME: Duration = Duration::from_secs(60);

/// Shortest and longest retry delay of a refusal by the rate limit.
const MIN_RATE_DELAY: Duration = Duration::from_millis(1);
const MAX_RATE_DELAY: Duration = Duration::from_secs(60);

/// Retry delay of a refusal by the concurrency limit.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_millis(100);

/// State of a key at this daemon.
#[derive(Debug)]
pub(crate) struct LocalKey {
    limit: PlanLimit,
    bucket: TokenBucket,
    demand: DemandMeter,
    in_flight: u32,
    /// Accumulated fraction of the concurrency share that is not used yet.
    fraction_credit: f64,
    grant: Option<HeldGrant>,
    last_report: Option<SentReport>,
    /// Whether calls have arrived since the last check, or a report was requested.
    needs_check: bool,
    next_check_at: Instant,
    created_at: Instant,
    last_call_at: Instant,
    /// Factor on the report interval; differs between daemons to spread their reports over time.
    interval_factor: f64,
}

/// The current share.
#[derive(Clone, Copy, Debug)]
struct HeldGrant {
    grant: ShareGrant,
    expires_at: Instant,
}

/// The last report that was sent.
#[derive(Clone, Copy, Debug)]
struct SentReport {
    rate: f64,
    concurrency: f64,
    sent_at: Instant,
    /// When the next report is due at the latest.
    due_at: Instant,
}

impl LocalKey {
    /// Creates the state of a key at its first call, in a fleet of `members` daemons.
    ///
    /// The seed spreads the reports of different daemons over time.
    pub(crate) fn new(limit: PlanLimit, members: usize, seed: u64, now: Instant) -> Self {
        let credit = (limit.rate.0 * INITIAL_CREDIT_S).clamp(1.0, MAX_INITIAL_CREDIT);
        Self {
            limit,
            bucket: TokenBucket::new(equal_part(limit, members), BURST, credit, now),
            demand: DemandMeter::new(now),
            in_flight: 0,
            fraction_credit: 0.0,
            grant: None,
            last_report: None,
            needs_check: true,
            next_check_at: now,
            created_at: now,
            last_call_at: now,
            interval_factor: MIN_INTERVAL_FACTOR
                + (seed % INTERVAL_FACTOR_STEPS) as f64 / INTERVAL_FACTOR_STEPS as f64
                    * INTERVAL_FACTOR_SPREAD,
        }
    }

    /// Admits or refuses a call.
    pub(crate) fn admit(
        &mut self,
        limit: PlanLimit,
        members: usize,
        now: Instant,
    ) -> Result<(), LimitRefusal> {
        self.limit = limit;
        self.last_call_at = now;
        self.needs_check = true;
        self.expire_grant(members, now);
        self.demand.advance(self.in_flight, now);
        self.demand.on_call();
        if !self.has_capacity(members) {
            self.demand.on_refused();
            return Err(LimitRefusal::new(
                ErrorKind::ConcurrencyExceeded,
                CONCURRENCY_RETRY_AFTER,
            ));
        }
        if !self.bucket.has_token(now) {
            let delay = self
                .bucket
                .wait_from(now)
                .clamp(MIN_RATE_DELAY, MAX_RATE_DELAY);
            return Err(LimitRefusal::new(ErrorKind::RateExceeded, delay));
        }
        self.bucket.take_token();
        self.in_flight += 1;
        Ok(())
    }

    /// Records the end of an admitted call.
    pub(crate) fn release(&mut self, duration: Duration, now: Instant) {
        self.demand.advance(self.in_flight, now);
        self.demand.on_finished(duration.as_secs_f64());
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Falls back to an equal part of the limit once the share has expired.
    fn expire_grant(&mut self, members: usize, now: Instant) {
        if self.grant.is_some_and(|held| held.expires_at <= now) {
            self.drop_grant(members, now);
        }
    }

    fn drop_grant(&mut self, members: usize, now: Instant) {
        self.grant = None;
        self.bucket.set_rate(equal_part(self.limit, members), now);
    }

    /// Returns whether one more call may run concurrently.
    ///
    /// When the integer part of the share is used up, the fraction of the share determines
    /// how many of the further calls are admitted.
    fn has_capacity(&mut self, members: usize) -> bool {
        let max_calls = f64::from(self.limit.concurrency.0);
        let equal_share = (max_calls / members.max(1) as f64).max(1.0);
        let share = self
            .grant
            .map_or(equal_share, |held| held.grant.calls.into());
        let share = share.min(max_calls);
        if self.in_flight < share as u32 {
            return true;
        }
        if self.in_flight > share as u32 {
            return false;
        }
        self.fraction_credit += share.fract();
        let admitted = self.fraction_credit >= 1.0;
        self.fraction_credit = self.fraction_credit.fract();
        admitted
    }

    /// Applies a new share; one that shrank is confirmed by an early report.
    pub(crate) fn on_grant(&mut self, grant: ShareGrant, now: Instant) {
        let rate = f64::from(grant.rate).min(self.limit.rate.0);
        let before = self.grant.map_or(0.0, |held| held.grant.rate.into());
        let shrunk =
            before - rate > (before * CONFIRMED_SHRINK_FRACTION).max(CONFIRMED_SHRINK_RATE);
        self.bucket.set_rate(CallRate(rate), now);
        self.grant = Some(HeldGrant {
            grant,
            expires_at: now + grant.interval() * GRANT_LIFETIME_INTERVALS,
        });
        if let Some(reported) = &mut self.last_report {
            let settled = now >= self.created_at + SETTLING_TIME;
            let delay = if shrunk {
                report_gap(grant)
            } else if settled {
                grant.interval().mul_f64(self.interval_factor)
            } else {
                grant.interval().min(SETTLING_TIME)
            };
            reported.due_at = reported.sent_at + delay;
        }
    }

    /// Returns the report that is due, if any.
    pub(crate) fn report(
        &mut self,
        key: LimitKey,
        members: usize,
        now: Instant,
    ) -> Option<DemandReport> {
        if !self.needs_check && now < self.next_check_at {
            return None;
        }
        self.needs_check = false;
        self.next_check_at = now + CHECK_INTERVAL;
        self.expire_grant(members, now);
        self.demand.advance(self.in_flight, now);
        let idle = self.is_idle(now);
        if idle && self.grant.is_none() {
            return None;
        }
        if !idle && !self.is_due(now) {
            return None;
        }
        let report = self.build_report(key, idle);
        if idle {
            self.drop_grant(members, now);
        }
        self.last_report = Some(SentReport {
            rate: self.demand.rate(),
            concurrency: self.demand.concurrency(),
            sent_at: now,
            due_at: now + REPORT_RETRY_DELAY,
        });
        Some(report)
    }

    fn build_report(&self, key: LimitKey, idle: bool) -> DemandReport {
        // Zero demand gives up the share, so a key in use reports at least 0.001.
        let encode = |value: f64| {
            let value = if idle { 0.0 } else { value.max(0.001) };
            Thousandths::from(value)
        };
        DemandReport {
            key,
            limit_rate: self.limit.rate.0.into(),
            limit_calls: self.limit.concurrency,
            rate: encode(self.demand.rate()),
            calls: encode(self.demand.concurrency()),
            held: self.grant.map_or(Thousandths(0), |held| held.grant.rate),
        }
    }

    fn is_due(&self, now: Instant) -> bool {
        let Some(reported) = &self.last_report else {
            return true;
        };
        if now >= reported.due_at {
            return true;
        }
        let gap = self
            .grant
            .map_or(MIN_REPORT_GAP, |held| report_gap(held.grant));
        now >= reported.sent_at + gap && self.has_changed(reported)
    }

    /// Returns whether demand has changed significantly since the report.
    fn has_changed(&self, reported: &SentReport) -> bool {
        let rate = self.demand.rate();
        let noise = DemandMeter::rate_noise(reported.rate);
        let rate_step = (reported.rate * DEMAND_CHANGE).max(noise);
        let noise = self.demand.concurrency_noise(reported.rate);
        let concurrency_step = (reported.concurrency * DEMAND_CHANGE).max(noise);
        let concurrency = self.demand.concurrency();
        (rate - reported.rate).abs() > rate_step
            || (concurrency - reported.concurrency).abs() > concurrency_step
    }

    /// Makes a report due immediately, for example after a change of coordinator.
    pub(crate) fn force_report(&mut self) {
        self.needs_check = true;
        self.last_report = None;
    }

    fn is_idle(&self, now: Instant) -> bool {
        self.in_flight == 0 && now >= self.last_call_at + IDLE_TIME
    }

    /// Returns whether the key can be removed.
    pub(crate) fn is_expired(&self, now: Instant) -> bool {
        self.in_flight == 0 && now >= self.last_call_at + EXPIRY_TIME
    }

    /// Returns the time of the last call.
    pub(crate) fn last_call_at(&self) -> Instant {
        self.last_call_at
    }

    /// Returns the number of calls in flight.
    pub(crate) fn in_flight(&self) -> CallCount {
        CallCount(self.in_flight)
    }
}

/// Returns an equal part of the plan's rate for each daemon.
fn equal_part(limit: PlanLimit, members: usize) -> CallRate {
    CallRate(limit.rate.0 / members.max(1) as f64)
}

/// Returns the minimum time between two reports under `grant`.
fn report_gap(grant: ShareGrant) -> Duration {
    (grant.interval() / REPORT_GAP_DIVISOR).max(MIN_REPORT_GAP)
}
