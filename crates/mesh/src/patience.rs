//! How long a caller has been waiting when its request arrives.
//!
//! A caller that was refused sends the request again with the time that it has
//! left, but its objective counts from the first try. All callers of a route
//! begin with about the same time, so what is missing of the longest time seen
//! lately has been spent on earlier tries.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::SharedClock;

use crate::config::RouteKey;

/// Time after which an account begins anew; the longest time of the one before counts too.
const ACCOUNT_TIME: Duration = Duration::from_secs(10);
/// Part of the longest time, one in this many, that counts as none: callers differ a little.
const TOLERANCE_PART: u32 = 50;

/// The longest times that callers of each route had left lately.
#[derive(Debug)]
pub struct CallerPatience {
    clock: SharedClock,
    routes: HashMap<RouteKey, RoutePatience>,
}

#[derive(Clone, Copy, Debug)]
struct RoutePatience {
    longest: Duration,
    /// The same of the account before.
    before: Duration,
    began: Instant,
}

impl CallerPatience {
    /// Without observations.
    pub fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            routes: HashMap::new(),
        }
    }

    /// Time that a caller on `route` who still waits for `remaining` has waited already.
    pub fn spent(&mut self, route: RouteKey, remaining: Duration) -> Duration {
        let now = self.clock.now();
        let known = self.routes.entry(route).or_insert(RoutePatience {
            longest: remaining,
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
        known.longest = known.longest.max(remaining);
        let longest = known.longest.max(known.before);
        let spent = longest - remaining;
        if spent <= longest / TOLERANCE_PART {
            return Duration::ZERO;
        }
        spent
    }

    /// Forgets routes without requests.
    pub fn forget_idle(&mut self) {
        let now = self.clock.now();
        self.routes
            .retain(|_, known| now.saturating_duration_since(known.began) < 2 * ACCOUNT_TIME);
    }
}
