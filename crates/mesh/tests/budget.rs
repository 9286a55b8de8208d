//! Tests the retries that one daemon's share allows, and the sum over the fleet in any window.

mod support;

use std::time::{Duration, Instant};

use quetzal_mesh::{BudgetLimits, FleetRetryBudget};
use support::{ms, service};

/// Limits of a fleet of 194 daemons.
const LARGE_FLEET: BudgetLimits = BudgetLimits {
    ratio: 0.2,
    slack: 430.0,
    window: Duration::from_secs(10),
};

/// Returns the budget of a daemon of the large fleet that has sent 8 requests a second for
/// 20 s, and the time after that.
fn busy_daemon(start: Instant) -> (FleetRetryBudget, Instant) {
    let mut budget = FleetRetryBudget::new(LARGE_FLEET, 194);
    let mut now = start;
    for _ in 0..160 {
        now += ms(125);
        budget.earn(&service("deals"), now);
    }
    (budget, now)
}

#[test]
fn tokens_earned_before_a_burst_of_failures_are_available_for_it() {
    let (mut budget, now) = busy_daemon(Instant::now());
    let spent = (0..20)
        .filter(|_| budget.spend(&service("deals"), true, now))
        .count();
    assert!(
        spent >= 4,
        "{spent} retries at the start of a burst; a window allows 16"
    );
}

#[test]
fn part_of_the_share_is_reserved_for_nested_calls() {
    let (mut budget, now) = busy_daemon(Instant::now());
    let deals = service("deals");
    while budget.spend(&deals, false, now) {}
    assert!(budget.spend(&deals, true, now), "nothing was reserved");
}

#[test]
fn a_share_of_one_token_has_no_reserved_part() {
    let mut budget = FleetRetryBudget::new(LARGE_FLEET, 194);
    assert!(budget.spend(&service("deals"), false, Instant::now()));
}

#[test]
fn nested_calls_of_repeated_runs_reduce_the_share_at_the_called_service() {
    let (mut budget, now) = busy_daemon(Instant::now());
    let deals = service("deals");
    for _ in 0..20 {
        budget.charge(&deals, now);
    }
    assert!(!budget.spend(&deals, true, now));
}

#[test]
fn a_larger_fleet_reduces_the_share_at_once() {
    let limits = BudgetLimits {
        ratio: 0.0,
        slack: 100.0,
        ..LARGE_FLEET
    };
    let mut budget = FleetRetryBudget::new(limits, 1);
    let (deals, now) = (service("deals"), Instant::now());
    assert!(budget.spend(&deals, true, now));
    budget.resize(40);
    let retries = (0..100).filter(|_| budget.spend(&deals, true, now)).count();
    assert!(retries <= 3, "{retries} retries after the fleet grew");
}

/// Times of one daemon's requests and retries.
#[derive(Default)]
struct RetryLog {
    requests: Vec<Instant>,
    retries: Vec<Instant>,
}

impl RetryLog {
    fn count(times: &[Instant], from: Instant, until: Instant) -> f64 {
        let within = times.iter().filter(|at| (from..until).contains(at));
        within.count() as f64
    }

    /// Returns whether the retries of each window stay within the limits.
    ///
    /// The limit is computed from the requests of the window itself, of the previous window
    /// or of the one half a window before, whichever is largest.
    fn stays_within(&self, limits: &BudgetLimits, slack: f64) -> bool {
        self.retries.iter().all(|&last| {
            let until = last + ms(1);
            let spans = [0, 5, 10].map(Duration::from_secs);
            let requests = spans.map(|back| {
                let until = until.checked_sub(back).unwrap_or(until);
                let from = until.checked_sub(limits.window).unwrap_or(until);
                Self::count(&self.requests, from, until)
            });
            let most = requests.into_iter().fold(0.0, f64::max);
            let from = until.checked_sub(limits.window).unwrap_or(until);
            Self::count(&self.retries, from, until) <= most * limits.ratio + slack
        })
    }
}

quickcheck::quickcheck! {
    /// The retries of all daemons stay within the fleet's limits for any distribution of
    /// requests over the daemons.
    fn retries_of_all_daemons_stay_within_the_limits(request_counts: Vec<u8>) -> bool {
        let limits = BudgetLimits { slack: 64.0, ..LARGE_FLEET };
        let daemons = request_counts.len().max(1);
        let (service, now) = (service("deals"), Instant::now());
        let mut retries = 0_u32;
        let mut requests = 0_u32;
        for count in &request_counts {
            let mut budget = FleetRetryBudget::new(limits, daemons);
            for _ in 0..*count {
                requests += 1;
                budget.earn(&service, now);
                while budget.spend(&service, true, now) {
                    retries += 1;
                }
            }
        }
        // With more than 64 daemons, each still has one token, or it could not retry at all.
        let slack = limits.slack.max(daemons as f64);
        f64::from(retries) <= f64::from(requests) * limits.ratio + slack
    }

    /// The retries of each window stay within the limits, whenever requests arrive or fail.
    fn retries_of_each_window_stay_within_the_limits(steps: Vec<(u16, u8, bool)>) -> bool {
        let limits = BudgetLimits { slack: 64.0, ..LARGE_FLEET };
        let mut budget = FleetRetryBudget::new(limits, 8);
        let service = service("deals");
        let mut log = RetryLog::default();
        // Leaves full windows before the first request.
        let mut now = Instant::now() + limits.window * 3;
        for (gap, requests, failing) in steps {
            now += ms(u64::from(gap % 4000));
            for _ in 0..requests {
                now += ms(1);
                budget.earn(&service, now);
                log.requests.push(now);
                if failing && budget.spend(&service, true, now) {
                    log.retries.push(now);
                }
            }
        }
        log.stays_within(&limits, limits.slack / 8.0)
    }
}
