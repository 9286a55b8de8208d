//! Issue and redemption of permits at the daemon beside the target.

use std::cmp::Ordering;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use model::{ErrorKind, KindError, SharedClock};
use serde::{Deserialize, Serialize};

use super::{
    DispatchCredentials, DispatchPermit, MAX_GRANT, PermitGrant, PermitRequest, SERIES_LEN,
};
use crate::lease::{HolderId, KeyRange, LeaseView, TermEpoch, TermRef};

/// Result of redeeming a permit.
///
/// Errors have the kind `PermitInvalid` and prove that the call did not run.
pub type Result<T> = model::Result<T>;

/// Lifetimes and limits of permits.
#[derive(Clone, Copy, Debug)]
pub struct PermitSettings {
    /// Time for which a permit may be used.
    pub lifetime: Duration,
    /// Time after its last use for which a series is remembered.
    pub retention: Duration,
    /// Maximum number of remembered series.
    pub max_series: usize,
    /// Maximum number of unused permits granted to one home.
    pub max_unused: u32,
}

impl Default for PermitSettings {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(5),
            retention: Duration::from_secs(30),
            max_series: 16_384,
            max_unused: 256,
        }
    }
}

/// Result of revoking a permit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RevokeAnswer {
    /// No call used the permit and none will.
    NeverUsed,
    /// A call used the permit.
    Used,
    /// The permit is not remembered.
    Unknown,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PermitState {
    Unused,
    Used,
    Revoked,
}

/// A series of permits; all permits before the latest one have been used.
#[derive(Clone, Copy, Debug)]
struct IssuedSeries {
    home: HolderId,
    latest: u64,
    issued: Instant,
    state: PermitState,
}

impl IssuedSeries {
    /// Returns the state of permit `number`; `None` if it was never issued.
    fn state_of(&self, number: u64) -> Option<PermitState> {
        match number.cmp(&self.latest) {
            Ordering::Less => Some(PermitState::Used),
            Ordering::Equal => Some(self.state),
            Ordering::Greater => None,
        }
    }
}

/// Issues and redeems the permits of one daemon run.
#[derive(Debug)]
pub struct PermitIssuer {
    me: HolderId,
    settings: PermitSettings,
    clock: SharedClock,
    series: HashMap<u64, IssuedSeries>,
    /// Every series once, with the time from which its retention is counted.
    order: VecDeque<(u64, Instant)>,
    /// Permits granted within the last lifetime, oldest first.
    recent: VecDeque<DispatchPermit>,
    unused: HashMap<HolderId, u32>,
    /// Lowest accepted epoch of each range; calls begun under earlier terms are refused.
    fences: [TermEpoch; KeyRange::COUNT],
    next_series: u64,
}

impl PermitIssuer {
    /// Creates an issuer for the daemon run `me`.
    pub fn new(me: HolderId, settings: PermitSettings, clock: SharedClock) -> Self {
        Self {
            me,
            settings,
            clock,
            series: HashMap::new(),
            order: VecDeque::new(),
            recent: VecDeque::new(),
            unused: HashMap::new(),
            fences: [TermEpoch::NONE; KeyRange::COUNT],
            next_series: 0,
        }
    }

    /// Issues permits, fewer than requested if a limit is reached.
    pub fn grant(&mut self, request: &PermitRequest) -> PermitGrant {
        let now = self.clock.now();
        self.expire(now);
        self.forget(now);
        let room = self.settings.max_series - self.series.len();
        let unused = self.unused.entry(request.home).or_default();
        let allowed = self.settings.max_unused.saturating_sub(*unused);
        let count = u64::from(request.count.min(MAX_GRANT))
            .min(allowed.into())
            .min(room as u64);
        *unused += count as u32;
        let grant = PermitGrant {
            issuer: self.me,
            first: self.next_series * SERIES_LEN,
            count: count as u8,
            lifetime_ms: self.settings.lifetime.as_millis() as u32,
        };
        self.next_series += count;
        for permit in grant.permits() {
            let series = IssuedSeries {
                home: request.home,
                latest: permit.number,
                issued: now,
                state: PermitState::Unused,
            };
            self.series.insert(permit.series(), series);
            self.order.push_back((permit.series(), now));
            self.recent.push_back(permit);
        }
        grant
    }

    /// Raises the fences to the epochs of a view received from another daemon.
    pub fn observe(&mut self, view: &LeaseView) {
        for row in view.rows.iter() {
            let term = TermRef::new(row.range, row.epoch);
            self.raise_fence(term);
        }
    }

    /// Uses the permit of a call that is about to start and issues the next one of its series.
    ///
    /// Must be called right before the request goes to the target. An error
    /// proves that this dispatch did not run.
    pub fn redeem(&mut self, credentials: &DispatchCredentials) -> Result<()> {
        let now = self.clock.now();
        if let Some(term) = credentials.term {
            self.check_fence(term)?;
            self.raise_fence(term);
        }
        let Some(permit) = credentials.permit else {
            return model::ensure(
                credentials.term.is_none(),
                ErrorKind::PermitInvalid,
                "a call with a caller's own key needs a permit",
            );
        };
        let lifetime = self.settings.lifetime;
        let series = self.series_of(permit).ok_or_else(|| invalid("unknown"))?;
        if series.home != credentials.home {
            return Err(invalid("issued to another home"));
        }
        match series.state_of(permit.number) {
            Some(PermitState::Unused) => {}
            Some(_) => return Err(invalid("used or revoked")),
            None => return Err(invalid("unknown")),
        }
        let unexpired = now.saturating_duration_since(series.issued) < lifetime;
        match permit.next_in_series() {
            _ if !unexpired => series.state = PermitState::Revoked,
            Some(next) => (series.latest, series.issued) = (next.number, now),
            None => series.state = PermitState::Used,
        }
        self.release_quota(permit, credentials.home);
        model::ensure(
            unexpired,
            ErrorKind::PermitInvalid,
            "the permit has expired",
        )
    }

    /// Makes a permit unusable and returns whether it was used.
    pub fn revoke(&mut self, permit: DispatchPermit) -> RevokeAnswer {
        let Some(series) = self.series_of(permit) else {
            return RevokeAnswer::Unknown;
        };
        let home = series.home;
        match series.state_of(permit.number) {
            None => RevokeAnswer::Unknown,
            Some(PermitState::Used) => RevokeAnswer::Used,
            Some(PermitState::Revoked) => RevokeAnswer::NeverUsed,
            Some(PermitState::Unused) => {
                series.state = PermitState::Revoked;
                self.release_quota(permit, home);
                RevokeAnswer::NeverUsed
            }
        }
    }

    /// Returns the number of remembered series.
    pub fn series_count(&self) -> usize {
        self.series.len()
    }

    fn series_of(&mut self, permit: DispatchPermit) -> Option<&mut IssuedSeries> {
        if permit.issuer != self.me {
            return None;
        }
        self.series.get_mut(&permit.series())
    }

    fn check_fence(&self, term: TermRef) -> Result<()> {
        let fence = term.range.index().and_then(|index| self.fences.get(index));
        match fence {
            Some(fence) if term.epoch >= *fence => Ok(()),
            _ => Err(invalid("presented under an earlier term")),
        }
    }

    fn raise_fence(&mut self, term: TermRef) {
        let index = term.range.index();
        if let Some(fence) = index.and_then(|index| self.fences.get_mut(index)) {
            *fence = term.epoch.max(*fence);
        }
    }

    /// Removes a used or revoked permit from the home's quota.
    ///
    /// Only granted permits count; renewed ones are bounded by the number of calls.
    fn release_quota(&mut self, permit: DispatchPermit, home: HolderId) {
        let granted = permit.number.is_multiple_of(SERIES_LEN);
        if let Some(unused) = self.unused.get_mut(&home).filter(|_| granted) {
            *unused = unused.saturating_sub(1);
        }
    }

    /// Revokes granted permits past their lifetime, so that they no longer count against the quota.
    fn expire(&mut self, now: Instant) {
        while let Some(permit) = self.recent.front().copied() {
            let series = self.series.get_mut(&permit.series());
            let unused = series.filter(|series| {
                series.latest == permit.number && series.state == PermitState::Unused
            });
            if let Some(series) = unused {
                if now.saturating_duration_since(series.issued) < self.settings.lifetime {
                    break;
                }
                series.state = PermitState::Revoked;
                let home = series.home;
                self.release_quota(permit, home);
            }
            self.recent.pop_front();
        }
    }

    /// Drops series past their retention and homes without unused permits.
    fn forget(&mut self, now: Instant) {
        let retention = self.settings.retention;
        while let Some((number, since)) = self.order.front().copied() {
            if now.saturating_duration_since(since) < retention {
                break;
            }
            self.order.pop_front();
            let series = self.series.get(&number);
            let used_recently = series
                .is_some_and(|series| now.saturating_duration_since(series.issued) < retention);
            if used_recently {
                self.order.push_back((number, now));
            } else {
                self.series.remove(&number);
            }
        }
        self.unused.retain(|_, unused| *unused > 0);
    }
}

fn invalid(detail: &str) -> KindError {
    KindError::new(ErrorKind::PermitInvalid, format!("the permit is {detail}"))
}
