//! Pool of permits at a home, which are prefetched and renewed by their use.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use model::{DaemonId, SharedClock};

use super::{DispatchPermit, MAX_GRANT, PermitGrant, PermitRequest};
use crate::lease::HolderId;

/// Maximum number of daemons whose permits are held at once.
const MAX_ISSUERS: usize = 1024;
/// Time without use after which an issuer may be dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time whose expected number of calls the held permits should cover.
const PREFETCH_TIME: Duration = Duration::from_secs(1);
/// Minimum number of permits to hold for a daemon in use; calls often come in pairs.
const MIN_DESIRED: u32 = 2;
/// Weight of the newest measurement in the average rate of use.
const RATE_WEIGHT: f64 = 0.5;
/// Fraction of the desired number, as a divisor, at which more permits are requested.
///
/// It is low because the answers to calls bring most permits.
const REFILL_DIVISOR: u32 = 8;
/// Fraction of a permit's lifetime, as a divisor, that is reserved for the transit of the call.
const TRANSIT_DIVISOR: u32 = 4;
/// Time without an answer after which permits are requested again.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct IssuerPool {
    permits: VecDeque<(DispatchPermit, Instant)>,
    lifetime: Duration,
    requested_at: Option<Instant>,
    taken_count: u32,
    rate: f64,
    rate_updated_at: Instant,
    last_used: Instant,
}

/// Permits of one home, by issuing daemon.
#[derive(Debug)]
pub struct PermitPool {
    me: HolderId,
    clock: SharedClock,
    issuers: HashMap<DaemonId, IssuerPool>,
}

impl PermitPool {
    /// Creates an empty pool for the home `me`.
    pub fn new(me: HolderId, clock: SharedClock) -> Self {
        Self {
            me,
            clock,
            issuers: HashMap::new(),
        }
    }

    /// Takes a usable permit of `issuer`; if there is none, request one and try again.
    pub fn take(&mut self, issuer: DaemonId) -> Option<DispatchPermit> {
        let now = self.clock.now();
        let pool = self.issuer_pool(issuer, now);
        pool.taken_count += 1;
        pool.last_used = now;
        pool.drop_expired(now);
        // The oldest usable permit, so that few expire unused.
        pool.permits.pop_front().map(|(permit, _)| permit)
    }

    /// Returns the request to send to `issuer` now, if the pool runs low.
    pub fn refill_request(&mut self, issuer: DaemonId) -> Option<PermitRequest> {
        let now = self.clock.now();
        let home = self.me;
        let pool = self.issuer_pool(issuer, now);
        pool.drop_expired(now);
        let pending = pool.requested_at.is_some_and(|requested_at| {
            now.saturating_duration_since(requested_at) < REQUEST_TIMEOUT
        });
        let held = pool.permits.len() as u32;
        let desired = pool.desired(now);
        if pending || held * REFILL_DIVISOR > desired {
            return None;
        }
        pool.requested_at = Some(now);
        Some(PermitRequest {
            home,
            issuer,
            count: (desired - held) as u8,
        })
    }

    /// Adds the permits of a grant whose request was sent at `requested_at`.
    pub fn on_grant(&mut self, grant: &PermitGrant, requested_at: Instant) {
        let now = self.clock.now();
        let lifetime = Duration::from_millis(grant.lifetime_ms.into());
        let pool = self.issuer_pool(grant.issuer.daemon, now);
        pool.requested_at = None;
        pool.lifetime = lifetime;
        for permit in grant.permits() {
            pool.add(permit, requested_at);
        }
    }

    /// Adds the next permit of the series after the call sent with `permit` at `sent` was answered.
    ///
    /// The permit was used no earlier than `sent`, so the next one was issued no earlier either.
    pub fn on_answered(&mut self, permit: DispatchPermit, sent: Instant) {
        let pool = self.issuers.get_mut(&permit.issuer.daemon);
        if let (Some(pool), Some(renewed)) = (pool, permit.next_in_series()) {
            pool.add(renewed, sent);
        }
    }

    /// Drops the permits of an issuer after a failed request or a restart of the issuer.
    pub fn on_failed(&mut self, issuer: DaemonId) {
        self.issuers.remove(&issuer);
    }

    /// Returns the number of permits held, of all issuers.
    pub fn held(&self) -> usize {
        self.issuers.values().map(|pool| pool.permits.len()).sum()
    }

    fn issuer_pool(&mut self, issuer: DaemonId, now: Instant) -> &mut IssuerPool {
        if self.issuers.len() >= MAX_ISSUERS && !self.issuers.contains_key(&issuer) {
            self.drop_idle(now);
        }
        self.issuers.entry(issuer).or_insert_with(|| IssuerPool {
            permits: VecDeque::new(),
            lifetime: Duration::ZERO,
            requested_at: None,
            taken_count: 0,
            rate: 0.0,
            rate_updated_at: now,
            last_used: now,
        })
    }

    /// Makes room by dropping the idle issuers, or else the least recently used one.
    fn drop_idle(&mut self, now: Instant) {
        self.issuers
            .retain(|_, pool| now.saturating_duration_since(pool.last_used) < IDLE_TIMEOUT);
        if self.issuers.len() < MAX_ISSUERS {
            return;
        }
        let oldest = self.issuers.iter().min_by_key(|(_, pool)| pool.last_used);
        if let Some(oldest) = oldest.map(|(issuer, _)| *issuer) {
            self.issuers.remove(&oldest);
        }
    }
}

impl IssuerPool {
    /// Adds a permit that was issued at `issued` or later.
    fn add(&mut self, permit: DispatchPermit, issued: Instant) {
        let usable_until = issued + self.lifetime * (TRANSIT_DIVISOR - 1) / TRANSIT_DIVISOR;
        self.permits.push_back((permit, usable_until));
        if self.permits.len() > usize::from(MAX_GRANT) * 2 {
            self.permits.pop_front();
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        self.permits.retain(|(_, usable_until)| now < *usable_until);
    }

    /// Returns the number of permits to hold: the expected use in [`PREFETCH_TIME`] and a margin.
    fn desired(&mut self, now: Instant) -> u32 {
        let span = now.saturating_duration_since(self.rate_updated_at);
        if span >= PREFETCH_TIME {
            let rate = f64::from(self.taken_count) / span.as_secs_f64();
            self.rate += (rate - self.rate) * RATE_WEIGHT;
            self.taken_count = 0;
            self.rate_updated_at = now;
        }
        let expected = self.rate * PREFETCH_TIME.as_secs_f64();
        // Arrivals vary: hold one standard deviation more than expected.
        let desired = (expected + expected.sqrt()).ceil();
        let desired = desired.max(f64::from(self.taken_count)) as u32;
        desired.clamp(MIN_DESIRED, MAX_GRANT.into())
    }
}
