//! How long a caller has been waiting when its request arrives.
//!
//! A caller that was refused sends the request again with the time that it has
//! left, but its objective counts from the first try. Nothing in the second
//! try names the first one; yet it is the same request, and its caller waits
//! until the same moment. So the refusals of the last moments are remembered
//! by request and by the end of the caller's patience.
//!
//! What was refused elsewhere, or by the daemon's former run, is recognised
//! only where the caller has much less time left than callers of the route
//! begin with; they differ among one another.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use model::SharedClock;

use crate::config::RouteKey;

/// Refusals that are remembered; a few seconds' worth of a daemon that refuses hundreds a second.
const MAX_REFUSED: usize = 4096;
/// Least time between two looks for callers who are gone, since each looks at all.
const FORGET_INTERVAL: Duration = Duration::from_millis(100);
/// Difference of two accounts of the end of a caller's patience: the way of both tries.
const END_TOLERANCE: Duration = Duration::from_millis(25);
/// Time after which an account begins anew; the longest time of the one before counts too.
const ACCOUNT_TIME: Duration = Duration::from_secs(10);
/// Part of the longest time of a route that its callers begin with at least.
const LEAST_PART: f64 = 0.8;

/// What is told of a request on arrival.
#[derive(Clone, Copy, Debug)]
pub struct CallerRequest {
    /// Its route.
    pub route: RouteKey,
    /// Hash of what the caller asks for; its route is part of it.
    pub fingerprint: u64,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// Refusals of the last moments, and the times that callers of each route had left lately.
#[derive(Debug)]
pub struct WaitTracker {
    clock: SharedClock,
    /// When callers sent a request first that was refused, by request and by when they stop
    /// waiting.
    refused: BTreeMap<(u64, Instant), Instant>,
    routes: HashMap<RouteKey, RoutePatience>,
    forget_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct RoutePatience {
    longest: Duration,
    /// The same of the account before.
    before: Duration,
    began: Instant,
}

impl WaitTracker {
    /// Without observations.
    pub fn new(clock: SharedClock) -> Self {
        Self {
            forget_at: clock.now(),
            clock,
            refused: BTreeMap::new(),
            routes: HashMap::new(),
        }
    }

    /// Time that the caller of a request that arrives now has waited already.
    pub fn waited(&mut self, caller: &CallerRequest) -> Duration {
        let now = self.clock.now();
        let missing = self.missing(caller, now);
        let least = caller.deadline.checked_sub(END_TOLERANCE).unwrap_or(now);
        let most = caller.deadline + END_TOLERANCE;
        let mut known = self
            .refused
            .range((caller.fingerprint, least)..=(caller.fingerprint, most));
        let first = known.next().map(|(_, first)| *first);
        first.map_or(missing, |first| now.saturating_duration_since(first))
    }

    /// Remembers that a request was refused whose caller has waited for `spent`.
    pub fn record_refusal(&mut self, caller: &CallerRequest, spent: Duration) {
        let now = self.clock.now();
        if self.refused.len() >= MAX_REFUSED && now >= self.forget_at {
            self.forget_gone(now);
            self.forget_at = now + FORGET_INTERVAL;
        }
        if self.refused.len() < MAX_REFUSED {
            let first = now.checked_sub(spent).unwrap_or(now);
            self.refused
                .insert((caller.fingerprint, caller.deadline), first);
        }
    }

    /// Forgets routes without requests, and callers who have stopped waiting.
    pub fn evict_idle(&mut self) {
        let now = self.clock.now();
        self.forget_gone(now);
        self.routes
            .retain(|_, known| now.saturating_duration_since(known.began) < 2 * ACCOUNT_TIME);
    }

    /// Forgets callers who have stopped waiting.
    fn forget_gone(&mut self, now: Instant) {
        self.refused.retain(|(_, end), _| *end > now);
    }

    /// What a caller lacks of the least time that callers of its route begin with.
    fn missing(&mut self, caller: &CallerRequest, now: Instant) -> Duration {
        let known = self.routes.entry(caller.route).or_insert(RoutePatience {
            longest: Duration::ZERO,
            before: Duration::ZERO,
            began: now,
        });
        let age = now.saturating_duration_since(known.began);
        if age >= ACCOUNT_TIME {
            let quiet = age >= 2 * ACCOUNT_TIME;
            known.before = if quiet { Duration::ZERO } else { known.longest };
            known.longest = Duration::ZERO;
            known.began = now;
        }
        let remaining = caller.deadline.saturating_duration_since(now);
        known.longest = known.longest.max(remaining);
        let least = known.longest.max(known.before).mul_f64(LEAST_PART);
        least.saturating_sub(remaining)
    }
}
