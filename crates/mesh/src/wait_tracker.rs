//! Estimates how long a caller has already been waiting when its request arrives.
//!
//! A caller that was refused sends the request again with the time it has left,
//! but its objective counts from the first attempt. A retry carries no
//! reference to the first attempt, but its route, path and deadline are the
//! same. Recent refusals are therefore remembered by request fingerprint and
//! deadline.
//!
//! A refusal by another daemon, or by this daemon before a restart, is unknown
//! here. Such a retry is recognized only if the caller has much less time left
//! than callers of its route usually start with, since their timeouts differ.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use model::SharedClock;

use crate::config::RouteKey;

/// Maximum number of remembered refusals; a few seconds' worth at hundreds of refusals a second.
const MAX_REFUSALS: usize = 4096;
/// Minimum time between two evictions of expired refusals, since each scans all of them.
const EVICTION_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum difference between the deadlines of two attempts of the same request, which is
/// due to the transit times of both.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(25);
/// Length of the periods over which the longest remaining time of a route is measured; the
/// previous period counts too.
const PERIOD: Duration = Duration::from_secs(10);
/// Minimum remaining time that all callers of a route are assumed to start with, as a fraction
/// of the longest seen.
const MIN_START_FRACTION: f64 = 0.8;

/// What is known about a request on arrival.
#[derive(Clone, Copy, Debug)]
pub struct CallerRequest {
    /// Route of the request.
    pub route: RouteKey,
    /// Hash of what a retry has in common with the first attempt, such as route and path.
    pub fingerprint: u64,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
}

/// Recent refusals, and the times that callers of each route recently had left.
#[derive(Debug)]
pub struct WaitTracker {
    clock: SharedClock,
    /// Times of the first attempts of refused requests, by fingerprint and deadline.
    refused: BTreeMap<(u64, Instant), Instant>,
    routes: HashMap<RouteKey, RouteTimes>,
    evict_at: Instant,
}

/// Longest remaining time seen on arrival of a route's requests.
#[derive(Clone, Copy, Debug)]
struct RouteTimes {
    longest: Duration,
    /// The same for the previous period.
    previous: Duration,
    period_start: Instant,
}

impl WaitTracker {
    /// Creates a tracker without observations.
    pub fn new(clock: SharedClock) -> Self {
        Self {
            evict_at: clock.now(),
            clock,
            refused: BTreeMap::new(),
            routes: HashMap::new(),
        }
    }

    /// Returns how long the caller of a request that arrives now has already waited.
    pub fn waited(&mut self, request: &CallerRequest) -> Duration {
        let now = self.clock.now();
        let shortfall = self.shortfall(request, now);
        let earliest = request
            .deadline
            .checked_sub(DEADLINE_TOLERANCE)
            .unwrap_or(now);
        let latest = request.deadline + DEADLINE_TOLERANCE;
        let mut known = self
            .refused
            .range((request.fingerprint, earliest)..=(request.fingerprint, latest));
        let first = known.next().map(|(_, first)| *first);
        first.map_or(shortfall, |first| now.saturating_duration_since(first))
    }

    /// Remembers the refusal of a request whose caller has waited for `waited`.
    pub fn record_refusal(&mut self, request: &CallerRequest, waited: Duration) {
        let now = self.clock.now();
        if self.refused.len() >= MAX_REFUSALS && now >= self.evict_at {
            self.evict_expired(now);
            self.evict_at = now + EVICTION_INTERVAL;
        }
        if self.refused.len() < MAX_REFUSALS {
            let first = now.checked_sub(waited).unwrap_or(now);
            self.refused
                .insert((request.fingerprint, request.deadline), first);
        }
    }

    /// Removes routes without requests and refusals whose callers have stopped waiting.
    pub fn evict_idle(&mut self) {
        let now = self.clock.now();
        self.evict_expired(now);
        self.routes
            .retain(|_, times| now.saturating_duration_since(times.period_start) < 2 * PERIOD);
    }

    /// Removes refusals whose callers have stopped waiting.
    fn evict_expired(&mut self, now: Instant) {
        self.refused.retain(|(_, deadline), _| *deadline > now);
    }

    /// Returns how much the time that the caller has left falls short of the minimum that
    /// callers of its route start with.
    fn shortfall(&mut self, request: &CallerRequest, now: Instant) -> Duration {
        let times = self.routes.entry(request.route).or_insert(RouteTimes {
            longest: Duration::ZERO,
            previous: Duration::ZERO,
            period_start: now,
        });
        let age = now.saturating_duration_since(times.period_start);
        if age >= PERIOD {
            let stale = age >= 2 * PERIOD;
            times.previous = if stale { Duration::ZERO } else { times.longest };
            times.longest = Duration::ZERO;
            times.period_start = now;
        }
        let remaining = request.deadline.saturating_duration_since(now);
        times.longest = times.longest.max(remaining);
        let expected = times
            .longest
            .max(times.previous)
            .mul_f64(MIN_START_FRACTION);
        expected.saturating_sub(remaining)
    }
}
