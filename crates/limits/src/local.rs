//! One key at the daemon that admits its calls.
//!
//! Until the keeper has answered, a key runs on a credit of a few calls and
//! on an equal part of the plan's rate. A report is due when a key is new,
//! when demand has moved away from the last report and the share is nearly
//! used up, and when the keeper's interval has passed.

use std::time::{Duration, Instant};

use model::{CallCount, CallRate, ErrorKind};

use crate::bucket::TokenBucket;
use crate::demand::DemandMeter;
use crate::message::{DemandReport, GRANT_INTERVALS, LimitKey, MilliRate, PlanLimit, ShareGrant};
use crate::refusal::LimitRefusal;

/// Time worth of the plan's rate that a new key may use before the keeper answers.
const CREDIT_S: f64 = 0.05;

/// Most calls of that credit.
const MAX_CREDIT: f64 = 10.0;

/// Least time between two reports of one key.
const REPORT_GAP: Duration = Duration::from_millis(100);

/// Time until an unanswered report is repeated.
const REPORT_RETRY: Duration = Duration::from_millis(500);

/// Part of the share above which a change of demand is reported at once.
const NEAR_SHARE: f64 = 0.7;

/// Relative change of demand that is worth a report.
const DEMAND_CHANGE: f64 = 0.25;

/// A share below this part of the one before is confirmed to the keeper.
const CONFIRM_PART: f64 = 0.9;

/// Time without calls after which the share is given back.
const IDLE_TIME: Duration = Duration::from_secs(5);

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
    grant: Option<HeldGrant>,
    reported: Option<SentReport>,
    last_call: Instant,
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
    pub(crate) fn new(limit: PlanLimit, members: usize, now: Instant) -> Self {
        let credit = (limit.rate.0 * CREDIT_S).clamp(1.0, MAX_CREDIT);
        Self {
            limit,
            bucket: TokenBucket::new(equal_part(limit, members), credit, now),
            demand: DemandMeter::new(now),
            in_flight: 0,
            grant: None,
            reported: None,
            last_call: now,
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
        self.lapse(members, now);
        self.demand.advance(self.in_flight, now);
        self.demand.on_call();
        if self.in_flight >= self.calls_allowed(members) {
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

    fn calls_allowed(&self, members: usize) -> u32 {
        if let Some(held) = &self.grant {
            return held.grant.calls.0.min(self.limit.calls.0);
        }
        let part = self.limit.calls.0 / members.max(1) as u32;
        part.max(1).min(self.limit.calls.0)
    }

    /// Puts a share into force; one that shrank is confirmed by an early report.
    pub(crate) fn on_grant(&mut self, grant: ShareGrant, now: Instant) {
        let rate = CallRate::from(grant.rate).0.min(self.limit.rate.0);
        let before = self.grant.map_or(0.0, |held| held.grant.rate.0.into());
        let shrunk = f64::from(grant.rate.0) < before * CONFIRM_PART;
        self.bucket.set_rate(CallRate(rate), now);
        self.grant = Some(HeldGrant {
            grant,
            until: now + grant.interval() * GRANT_INTERVALS,
        });
        if let Some(reported) = &mut self.reported {
            let wait = if shrunk { REPORT_GAP } else { grant.interval() };
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
            MilliRate::from(CallRate(value))
        };
        DemandReport {
            key,
            limit_rate: self.limit.rate.into(),
            limit_calls: self.limit.calls,
            rate: shown(self.demand.rate()),
            calls: shown(self.demand.calls()),
            held: self.grant.map_or(MilliRate(0), |held| held.grant.rate),
        }
    }

    fn is_due(&self, now: Instant) -> bool {
        let Some(reported) = &self.reported else {
            return true;
        };
        if now >= reported.due {
            return true;
        }
        now >= reported.at + REPORT_GAP && self.needs_more(reported)
    }

    /// Whether demand grew since the report and nearly uses the share up.
    fn needs_more(&self, reported: &SentReport) -> bool {
        let Some(held) = &self.grant else {
            return false;
        };
        let grown = |value: f64, before: f64| value > before * (1.0 + DEMAND_CHANGE);
        let rate = self.demand.rate();
        let calls = self.demand.calls();
        let share = CallRate::from(held.grant.rate).0;
        let rate_short = grown(rate, reported.rate) && rate > share * NEAR_SHARE;
        let allowed = f64::from(held.grant.calls.0);
        let calls_short = grown(calls, reported.calls) && calls > allowed * NEAR_SHARE;
        rate_short || calls_short
    }

    /// Makes a report due at once, as after a change of keeper.
    pub(crate) fn report_soon(&mut self) {
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
