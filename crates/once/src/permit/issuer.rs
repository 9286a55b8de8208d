//! Issues permits and redeems them, beside the target.

use std::cmp::Ordering;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use model::{ErrorKind, KindError, SharedClock};
use serde::{Deserialize, Serialize};

use super::{
    DispatchCredentials, DispatchPermit, MAX_GRANT, PermitGrant, PermitRequest, SERIES_LEN,
};
use crate::lease::{HolderId, KeyRange, LeaseView, TermEpoch, TermRef};

/// What redeeming returns; the kind is `PermitInvalid`, and the call has not run.
pub type Result<T> = model::Result<T>;

/// Times and bounds of permits.
#[derive(Clone, Copy, Debug)]
pub struct PermitSettings {
    /// How long a permit may be used.
    pub lifetime: Duration,
    /// How long after the last use of a series it is remembered what was used.
    pub retention: Duration,
    /// Most series remembered.
    pub max_series: usize,
    /// Most unused permits granted to one home.
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

/// What revoking a permit proves.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RevokeAnswer {
    /// No call used it and none will.
    NeverUsed,
    /// A call used it.
    Used,
    /// It is not remembered.
    Unknown,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PermitState {
    Unused,
    Used,
    Revoked,
}

/// A series: those of its permits before the latest were used.
#[derive(Clone, Copy, Debug)]
struct IssuedSeries {
    home: HolderId,
    latest: u64,
    issued: Instant,
    state: PermitState,
}

impl IssuedSeries {
    /// What became of its permit `number`; none if it was never issued.
    fn state_of(&self, number: u64) -> Option<PermitState> {
        match number.cmp(&self.latest) {
            Ordering::Less => Some(PermitState::Used),
            Ordering::Equal => Some(self.state),
            Ordering::Greater => None,
        }
    }
}

/// Issues and redeems the permits of one daemon.
#[derive(Debug)]
pub struct PermitIssuer {
    me: HolderId,
    settings: PermitSettings,
    clock: SharedClock,
    series: HashMap<u64, IssuedSeries>,
    /// Every series once, with the time from which its memory is counted.
    order: VecDeque<(u64, Instant)>,
    /// Granted permits of the last lifetime, in the order of their issue.
    young: VecDeque<DispatchPermit>,
    unused: HashMap<HolderId, u32>,
    fences: [TermEpoch; KeyRange::COUNT],
    next_series: u64,
}

impl PermitIssuer {
    /// An issuer for the daemon run `me`.
    pub fn new(me: HolderId, settings: PermitSettings, clock: SharedClock) -> Self {
        Self {
            me,
            settings,
            clock,
            series: HashMap::new(),
            order: VecDeque::new(),
            young: VecDeque::new(),
            unused: HashMap::new(),
            fences: [TermEpoch::NONE; KeyRange::COUNT],
            next_series: 0,
        }
    }

    /// Issues permits, fewer than asked for where the bounds are reached.
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
            self.young.push_back(permit);
        }
        grant
    }

    /// Raises the fences to the epochs of a view, as passed on by other daemons.
    pub fn observe(&mut self, view: &LeaseView) {
        for row in view.rows.iter() {
            let term = TermRef::new(row.range, row.epoch);
            self.raise_fence(term);
        }
    }

    /// Uses up the permit of a call that is about to start, and issues the next.
    ///
    /// Call this right before the request goes to the target. An error proves
    /// that this dispatch has not run.
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
                "a caller's key needs a permit",
            );
        };
        let lifetime = self.settings.lifetime;
        let series = self.series_of(permit).ok_or_else(|| invalid("unknown"))?;
        if series.home != credentials.home {
            return Err(invalid("another home's"));
        }
        match series.state_of(permit.number) {
            Some(PermitState::Unused) => {}
            Some(_) => return Err(invalid("used or revoked")),
            None => return Err(invalid("unknown")),
        }
        let young = now.saturating_duration_since(series.issued) < lifetime;
        match permit.next_in_series() {
            _ if !young => series.state = PermitState::Revoked,
            Some(next) => (series.latest, series.issued) = (next.number, now),
            None => series.state = PermitState::Used,
        }
        self.count_gone(permit, credentials.home);
        model::ensure(young, ErrorKind::PermitInvalid, "the permit is too old")
    }

    /// Makes a permit unusable and tells whether it was used.
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
                self.count_gone(permit, home);
                RevokeAnswer::NeverUsed
            }
        }
    }

    /// Series that are remembered.
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
            _ => Err(invalid("from an earlier term")),
        }
    }

    fn raise_fence(&mut self, term: TermRef) {
        let index = term.range.index();
        if let Some(fence) = index.and_then(|index| self.fences.get_mut(index)) {
            *fence = term.epoch.max(*fence);
        }
    }

    /// A permit is used or revoked; only granted ones count, renewed ones are as few as calls.
    fn count_gone(&mut self, permit: DispatchPermit, home: HolderId) {
        let granted = permit.number.is_multiple_of(SERIES_LEN);
        if let Some(unused) = self.unused.get_mut(&home).filter(|_| granted) {
            *unused = unused.saturating_sub(1);
        }
    }

    /// Revokes granted permits past their lifetime, so that they no longer count.
    fn expire(&mut self, now: Instant) {
        while let Some(permit) = self.young.front().copied() {
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
                self.count_gone(permit, home);
            }
            self.young.pop_front();
        }
    }

    /// Forgets series past their memory, and homes without unused permits.
    fn forget(&mut self, now: Instant) {
        let retention = self.settings.retention;
        while let Some((number, since)) = self.order.front().copied() {
            if now.saturating_duration_since(since) < retention {
                break;
            }
            self.order.pop_front();
            let series = self.series.get(&number);
            let used_since = series
                .is_some_and(|series| now.saturating_duration_since(series.issued) < retention);
            if used_since {
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
