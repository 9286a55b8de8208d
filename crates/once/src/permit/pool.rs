//! Permits held at the home, fetched ahead and renewed by their use.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use model::{DaemonId, SharedClock};

use super::{DispatchPermit, MAX_GRANT, PermitGrant, PermitRequest};
use crate::lease::HolderId;

/// Daemons whose permits are held at once.
const MAX_ISSUERS: usize = 1024;
/// An issuer without use for this long is dropped.
const IDLE_TIME: Duration = Duration::from_secs(30);
/// Permits are held for the use of this much time.
const AHEAD_TIME: Duration = Duration::from_secs(1);
/// Fewest permits to hold of a daemon in use; calls often come in pairs.
const MIN_AIM: u32 = 2;
/// Weight of the newest second in the average of use.
const NEW_WEIGHT: f64 = 0.5;
/// More are fetched once this part of the aim is left; answers bring most of them.
const ASK_PART: u32 = 8;
/// A permit is used only while this part of its lifetime is left for the way.
const WAY_PART: u32 = 4;
/// No answer to a request for this long: ask again.
const ASK_PAUSE: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct IssuerPool {
    permits: VecDeque<(DispatchPermit, Instant)>,
    lifetime: Duration,
    asked: Option<Instant>,
    taken: u32,
    rate: f64,
    counted: Instant,
    used: Instant,
}

/// The permits of one home.
#[derive(Debug)]
pub struct PermitPool {
    me: HolderId,
    clock: SharedClock,
    issuers: HashMap<DaemonId, IssuerPool>,
}

impl PermitPool {
    /// An empty purse of the home `me`.
    pub fn new(me: HolderId, clock: SharedClock) -> Self {
        Self {
            me,
            clock,
            issuers: HashMap::new(),
        }
    }

    /// A usable permit of `issuer`; without one, fetch and try again.
    pub fn take(&mut self, issuer: DaemonId) -> Option<DispatchPermit> {
        let now = self.clock.now();
        let pool = self.pool(issuer, now);
        pool.taken += 1;
        pool.used = now;
        pool.drop_old(now);
        // The oldest that is still good, so that few go to waste.
        pool.permits.pop_front().map(|(permit, _)| permit)
    }

    /// What to ask of `issuer` now, so that the next calls find permits.
    pub fn refill_request(&mut self, issuer: DaemonId) -> Option<PermitRequest> {
        let now = self.clock.now();
        let home = self.me;
        let pool = self.pool(issuer, now);
        pool.drop_old(now);
        let waiting = pool
            .asked
            .is_some_and(|asked| now.saturating_duration_since(asked) < ASK_PAUSE);
        let held = pool.permits.len() as u32;
        let aim = pool.aim(now);
        if waiting || held * ASK_PART > aim {
            return None;
        }
        pool.asked = Some(now);
        Some(PermitRequest {
            home,
            issuer,
            count: (aim - held) as u8,
        })
    }

    /// Takes a grant, answered to a request sent at `asked`.
    pub fn on_grant(&mut self, grant: &PermitGrant, asked: Instant) {
        let now = self.clock.now();
        let lifetime = Duration::from_millis(grant.lifetime_ms.into());
        let pool = self.pool(grant.issuer.daemon, now);
        pool.asked = None;
        pool.lifetime = lifetime;
        for permit in grant.permits() {
            pool.add(permit, asked);
        }
    }

    /// The target answered the call that was sent with `permit` at `sent`.
    ///
    /// The permit was used no earlier than it was sent, and the next was issued then.
    pub fn on_answered(&mut self, permit: DispatchPermit, sent: Instant) {
        let pool = self.issuers.get_mut(&permit.issuer.daemon);
        if let (Some(pool), Some(renewed)) = (pool, permit.next_in_series()) {
            pool.add(renewed, sent);
        }
    }

    /// A request failed or an issuer restarted: its permits are worth nothing.
    pub fn on_failed(&mut self, issuer: DaemonId) {
        self.issuers.remove(&issuer);
    }

    /// Permits held, of all issuers.
    pub fn held(&self) -> usize {
        self.issuers.values().map(|pool| pool.permits.len()).sum()
    }

    fn pool(&mut self, issuer: DaemonId, now: Instant) -> &mut IssuerPool {
        if self.issuers.len() >= MAX_ISSUERS && !self.issuers.contains_key(&issuer) {
            self.drop_idle(now);
        }
        self.issuers.entry(issuer).or_insert_with(|| IssuerPool {
            permits: VecDeque::new(),
            lifetime: Duration::ZERO,
            asked: None,
            taken: 0,
            rate: 0.0,
            counted: now,
            used: now,
        })
    }

    /// Makes room: drops the idle, or else the one that is longest unused.
    fn drop_idle(&mut self, now: Instant) {
        self.issuers
            .retain(|_, pool| now.saturating_duration_since(pool.used) < IDLE_TIME);
        if self.issuers.len() < MAX_ISSUERS {
            return;
        }
        let oldest = self.issuers.iter().min_by_key(|(_, pool)| pool.used);
        if let Some(oldest) = oldest.map(|(issuer, _)| *issuer) {
            self.issuers.remove(&oldest);
        }
    }
}

impl IssuerPool {
    /// Adds a permit that was issued at `issued` or later.
    fn add(&mut self, permit: DispatchPermit, issued: Instant) {
        let good_until = issued + self.lifetime * (WAY_PART - 1) / WAY_PART;
        self.permits.push_back((permit, good_until));
        if self.permits.len() > usize::from(MAX_GRANT) * 2 {
            self.permits.pop_front();
        }
    }

    fn drop_old(&mut self, now: Instant) {
        self.permits.retain(|(_, good_until)| now < *good_until);
    }

    /// Permits to hold: the use of [`AHEAD_TIME`], and a few.
    fn aim(&mut self, now: Instant) -> u32 {
        let span = now.saturating_duration_since(self.counted);
        if span >= AHEAD_TIME {
            let rate = f64::from(self.taken) / span.as_secs_f64();
            self.rate += (rate - self.rate) * NEW_WEIGHT;
            self.taken = 0;
            self.counted = now;
        }
        let expected = self.rate * AHEAD_TIME.as_secs_f64();
        // Calls come unevenly: one deviation more than expected.
        let aim = (expected + expected.sqrt()).ceil();
        let aim = aim.max(f64::from(self.taken)) as u32;
        aim.clamp(MIN_AIM, MAX_GRANT.into())
    }
}
