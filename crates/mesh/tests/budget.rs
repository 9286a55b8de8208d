//! Repeats that one daemon's share allows, and what the fleet sends in any window.

mod support;

use std::time::{Duration, Instant};

use quetzal_mesh::{BudgetLimits, FleetRetryBudget};
use support::{ms, service};

/// Terms of a fleet of 194 daemons.
const LARGE_FLEET: BudgetLimits = BudgetLimits {
    ratio: 0.2,
    slack: 430.0,
    window: Duration::from_secs(10),
};

/// A daemon of the large fleet that has sent 8 requests a second for 20 s.
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
fn what_calm_seconds_earned_is_there_for_a_burst_of_lost_answers() {
    let (mut budget, now) = busy_daemon(Instant::now());
    let spent = (0..20)
        .filter(|_| budget.spend(&service("deals"), true, now))
        .count();
    assert!(
        spent >= 4,
        "{spent} repeats at the beginning of a burst; 16 are due in a window"
    );
}

#[test]
fn callers_leave_a_part_to_calls_of_running_requests() {
    let (mut budget, now) = busy_daemon(Instant::now());
    let deals = service("deals");
    while budget.spend(&deals, false, now) {}
    assert!(budget.spend(&deals, true, now), "nothing was kept");
}

#[test]
fn a_share_of_one_token_is_for_whoever_comes_first() {
    let mut budget = FleetRetryBudget::new(LARGE_FLEET, 194);
    assert!(budget.spend(&service("deals"), false, Instant::now()));
}

#[test]
fn calls_of_repeated_runs_leave_fewer_repeats_at_the_called_service() {
    let (mut budget, now) = busy_daemon(Instant::now());
    let deals = service("deals");
    for _ in 0..20 {
        budget.charge(&deals, now);
    }
    assert!(!budget.spend(&deals, true, now));
}

#[test]
fn a_smaller_share_takes_effect_at_once() {
    let terms = BudgetLimits {
        ratio: 0.0,
        slack: 100.0,
        ..LARGE_FLEET
    };
    let mut budget = FleetRetryBudget::new(terms, 1);
    let (deals, now) = (service("deals"), Instant::now());
    assert!(budget.spend(&deals, true, now));
    budget.resize(40);
    let left = (0..100).filter(|_| budget.spend(&deals, true, now)).count();
    assert!(left <= 3, "{left} repeats after the fleet grew");
}

/// One daemon's requests and repeats, by time.
#[derive(Default)]
struct Ledger {
    requests: Vec<Instant>,
    repeats: Vec<Instant>,
}

impl Ledger {
    fn count(times: &[Instant], from: Instant, until: Instant) -> f64 {
        let within = times.iter().filter(|at| (from..until).contains(at));
        within.count() as f64
    }

    /// Whether each window keeps the bound, with the requests of the window, of the one
    /// before or of the one half a window before.
    fn keeps(&self, terms: &BudgetLimits, slack: f64) -> bool {
        self.repeats.iter().all(|&last| {
            let until = last + ms(1);
            let spans = [0, 5, 10].map(Duration::from_secs);
            let requests = spans.map(|back| {
                let until = until.checked_sub(back).unwrap_or(until);
                let from = until.checked_sub(terms.window).unwrap_or(until);
                Self::count(&self.requests, from, until)
            });
            let most = requests.into_iter().fold(0.0, f64::max);
            let from = until.checked_sub(terms.window).unwrap_or(until);
            Self::count(&self.repeats, from, until) <= most * terms.ratio + slack
        })
    }
}

quickcheck::quickcheck! {
    /// Whatever mix of requests the daemons see, their repeats stay below the fleet's bound.
    fn repeats_of_all_daemons_keep_the_bound(asked: Vec<u8>) -> bool {
        let terms = BudgetLimits { slack: 64.0, ..LARGE_FLEET };
        let daemons = asked.len().max(1);
        let (service, now) = (service("deals"), Instant::now());
        let mut repeats = 0_u32;
        let mut requests = 0_u32;
        for count in &asked {
            let mut budget = FleetRetryBudget::new(terms, daemons);
            for _ in 0..*count {
                requests += 1;
                budget.earn(&service, now);
                while budget.spend(&service, true, now) {
                    repeats += 1;
                }
            }
        }
        // Beyond 64 daemons each keeps one token, or no failure could be repeated at all.
        let slack = terms.slack.max(daemons as f64);
        f64::from(repeats) <= f64::from(requests) * terms.ratio + slack
    }

    /// Whenever requests come and whenever they fail, each window keeps the bound.
    fn repeats_of_each_window_keep_the_bound(steps: Vec<(u16, u8, bool)>) -> bool {
        let terms = BudgetLimits { slack: 64.0, ..LARGE_FLEET };
        let mut budget = FleetRetryBudget::new(terms, 8);
        let service = service("deals");
        let mut ledger = Ledger::default();
        // A full window of times before the first request.
        let mut now = Instant::now() + terms.window * 3;
        for (gap, requests, failing) in steps {
            now += ms(u64::from(gap % 4000));
            for _ in 0..requests {
                now += ms(1);
                budget.earn(&service, now);
                ledger.requests.push(now);
                if failing && budget.spend(&service, true, now) {
                    ledger.repeats.push(now);
                }
            }
        }
        ledger.keeps(&terms, terms.slack / 8.0)
    }
}
