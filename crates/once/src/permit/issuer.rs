//! Issues permits and redeems them, beside the target.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use model::{ErrorKind, KindError, SharedClock};
use serde::{Deserialize, Serialize};

use super::{DispatchPass, DispatchPermit, MAX_GRANT, PermitGrant, PermitRequest};
use crate::lease::{HolderId, KeyRange, LeaseView, TermEpoch, TermRef};

/// What redeeming returns; the kind is `PermitInvalid`, and the call has not run.
pub type Result<T> = model::Result<T>;

/// Times and bounds of permits.
#[derive(Clone, Copy, Debug)]
pub struct PermitSettings {
    /// How long a permit may be used.
    pub lifetime: Duration,
    /// How long it is remembered whether a permit was used.
    pub memory: Duration,
    /// Most permits remembered.
    pub max_permits: usize,
    /// Most unused permits of one home.
    pub max_unused: u32,
}

impl Default for PermitSettings {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(5),
            memory: Duration::from_secs(30),
            max_permits: 16_384,
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

#[derive(Clone, Copy, Debug)]
struct IssuedPermit {
    home: HolderId,
    issued: Instant,
    state: PermitState,
}

/// Issues and redeems the permits of one daemon.
#[derive(Debug)]
pub struct PermitIssuer {
    me: HolderId,
    settings: PermitSettings,
    clock: SharedClock,
    permits: HashMap<u64, IssuedPermit>,
    order: VecDeque<u64>,
    young: VecDeque<u64>,
    unused: HashMap<HolderId, u32>,
    fences: [TermEpoch; KeyRange::COUNT],
    next_number: u64,
}

impl PermitIssuer {
    /// An issuer for the daemon run `me`.
    pub fn new(me: HolderId, settings: PermitSettings, clock: SharedClock) -> Self {
        Self {
            me,
            settings,
            clock,
            permits: HashMap::new(),
            order: VecDeque::new(),
            young: VecDeque::new(),
            unused: HashMap::new(),
            fences: [TermEpoch::NONE; KeyRange::COUNT],
            next_number: 0,
        }
    }

    /// Issues permits, fewer than asked for where the bounds are reached.
    pub fn grant(&mut self, request: &PermitRequest) -> PermitGrant {
        let now = self.clock.now();
        self.expire(now);
        self.forget(now);
        let room = self.settings.max_permits - self.permits.len();
        let unused = self.unused.entry(request.home).or_default();
        let allowed = self.settings.max_unused.saturating_sub(*unused);
        let count = u64::from(request.count.min(MAX_GRANT))
            .min(allowed.into())
            .min(room as u64);
        *unused += count as u32;
        let first = self.next_number;
        self.next_number += count;
        for number in first..self.next_number {
            let permit = IssuedPermit {
                home: request.home,
                issued: now,
                state: PermitState::Unused,
            };
            self.permits.insert(number, permit);
            self.order.push_back(number);
            self.young.push_back(number);
        }
        PermitGrant {
            issuer: self.me,
            first,
            count: count as u8,
            lifetime_ms: self.settings.lifetime.as_millis() as u32,
        }
    }

    /// Raises the fences to the epochs of a view, as passed on by other daemons.
    pub fn observe(&mut self, view: &LeaseView) {
        for row in view.rows.iter() {
            let term = TermRef::new(row.range, row.epoch);
            self.raise_fence(term);
        }
    }

    /// Uses up the permit of a call that is about to start.
    ///
    /// Call this right before the request goes to the target. An error proves
    /// that this dispatch has not run.
    pub fn redeem(&mut self, pass: &DispatchPass) -> Result<()> {
        let now = self.clock.now();
        if let Some(term) = pass.term {
            self.check_fence(term)?;
            self.raise_fence(term);
        }
        let Some(permit) = pass.permit else {
            return model::ensure(
                pass.term.is_none(),
                ErrorKind::PermitInvalid,
                "a caller's key needs a permit",
            );
        };
        let lifetime = self.settings.lifetime;
        let permit = self.permit(permit).ok_or_else(|| invalid("unknown"))?;
        if permit.home != pass.home {
            return Err(invalid("another home's"));
        }
        if permit.state != PermitState::Unused {
            return Err(invalid("used or revoked"));
        }
        permit.state = PermitState::Used;
        let young = now.saturating_duration_since(permit.issued) < lifetime;
        if !young {
            permit.state = PermitState::Revoked;
        }
        self.count_used(pass.home);
        if !young {
            return Err(invalid("too old"));
        }
        Ok(())
    }

    /// Makes a permit unusable and tells whether it was used.
    pub fn revoke(&mut self, permit: DispatchPermit) -> RevokeAnswer {
        let Some(permit) = self.permit(permit) else {
            return RevokeAnswer::Unknown;
        };
        let home = permit.home;
        match permit.state {
            PermitState::Used => RevokeAnswer::Used,
            PermitState::Revoked => RevokeAnswer::NeverUsed,
            PermitState::Unused => {
                permit.state = PermitState::Revoked;
                self.count_used(home);
                RevokeAnswer::NeverUsed
            }
        }
    }

    /// Permits that are remembered.
    pub fn remembered(&self) -> usize {
        self.permits.len()
    }

    fn permit(&mut self, permit: DispatchPermit) -> Option<&mut IssuedPermit> {
        if permit.issuer != self.me {
            return None;
        }
        self.permits.get_mut(&permit.number)
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

    fn count_used(&mut self, home: HolderId) {
        if let Some(unused) = self.unused.get_mut(&home) {
            *unused = unused.saturating_sub(1);
        }
    }

    /// Revokes unused permits past their lifetime, so that they no longer count.
    fn expire(&mut self, now: Instant) {
        while let Some(number) = self.young.front().copied() {
            let permit = self.permits.get_mut(&number);
            let Some(permit) = permit else {
                self.young.pop_front();
                continue;
            };
            if now.saturating_duration_since(permit.issued) < self.settings.lifetime {
                break;
            }
            self.young.pop_front();
            if permit.state == PermitState::Unused {
                permit.state = PermitState::Revoked;
                let home = permit.home;
                self.count_used(home);
            }
        }
    }

    /// Forgets permits past their memory, and homes without unused ones.
    fn forget(&mut self, now: Instant) {
        while let Some(number) = self.order.front().copied() {
            let permit = self.permits.get(&number).copied();
            let kept = permit.filter(|permit| {
                now.saturating_duration_since(permit.issued) < self.settings.memory
            });
            if kept.is_some() {
                break;
            }
            self.order.pop_front();
            self.permits.remove(&number);
        }
        self.unused.retain(|_, unused| *unused > 0);
    }
}

fn invalid(detail: &str) -> KindError {
    KindError::new(ErrorKind::PermitInvalid, format!("the permit is {detail}"))
}
