//! Choice of a target for each call.
//!
//! Candidates are sampled by the capacity that their calls have shown, and
//! the better of two samples by expected time is taken: a few
//! samples avoid that hundreds of proxies with the same stale view all run to
//! one target. Targets of the proxy's own failure domain come first while
//! they have room, then those of its region, then the rest. When more than
//! half of a service's targets look bad, the fault is more likely common to
//! all, and ejection is suspended.
//!
//! The cost of a pick does not depend on the number of targets, except when
//! few of them are willing; memory is a fixed size for each known target.
//! A finished call searches its target by position in a short vector.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{CallCount, DaemonId, DomainName, ErrorKind, KindError, ServiceName, SharedClock};
use rand::rngs::SmallRng;
use smallvec::SmallVec;

use crate::candidate::{Candidate, PickClaim};
use crate::service::{PickRule, ServiceTargets, Trust};
use crate::target::{CallOutcome, TargetState, TargetView};

/// Targets of one service that are kept; the rest is ignored.
pub const MAX_TARGETS: usize = 1024;

/// Service time assumed before any call has ended.
const FIRST_SERVICE_S: f32 = 0.02;

/// Where this proxy stands.
#[derive(Clone, Debug)]
pub struct PickerConfig {
    /// Its failure domain.
    pub domain: DomainName,
    /// Failure domains of its region; if empty, all belong to it.
    pub region: SmallVec<[DomainName; 4]>,
    /// How targets that have just started are brought up.
    pub slow_start: SlowStart,
}

/// How the share of a target that has just started grows to its full one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Time until the share is full.
    pub duration: Duration,
    /// Share at the start.
    pub initial_share: f32,
}

impl Default for SlowStart {
    /// For targets of which nothing is known: caches fill within some seconds.
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(10),
            initial_share: 0.1,
        }
    }
}

impl SlowStart {
    /// Share of a target that started `age` ago.
    pub(crate) fn share_at(&self, age: Duration) -> f32 {
        let ramp = age.as_secs_f32() / self.duration.as_secs_f32().max(f32::MIN_POSITIVE);
        ramp.clamp(self.initial_share, 1.0)
    }
}

impl PickerConfig {
    /// Distance of `domain`: own, of the region, other.
    fn distance(&self, domain: &DomainName) -> usize {
        if *domain == self.domain {
            return 0;
        }
        let near = self.region.is_empty() || self.region.contains(domain);
        if near { 1 } else { 2 }
    }
}

/// A call's claim on the target picked for it, until dropped.
///
/// [`TargetPicker::finish`] tells the picker how the call ended; a ticket that
/// is only dropped, as when the caller leaves, teaches it nothing.
#[derive(Debug)]
pub struct PickedTarget {
    /// The target.
    pub view: Arc<TargetView>,
    /// When it was picked.
    pub picked_at: Instant,
    service: ServiceName,
    candidate: u64,
    _claim: PickClaim,
}

/// Chooses targets for the calls of one proxy.
pub struct TargetPicker {
    config: PickerConfig,
    clock: SharedClock,
    random: SmallRng,
    services: HashMap<ServiceName, ServiceTargets>,
    next_id: u64,
}

impl fmt::Debug for TargetPicker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TargetPicker")
            .field("config", &self.config)
            .field("services", &self.services.len())
            .finish_non_exhaustive()
    }
}

impl TargetPicker {
    /// A picker that knows no target yet.
    pub fn new(config: PickerConfig, clock: SharedClock, random: SmallRng) -> Self {
        Self {
            config,
            clock,
            random,
            services: HashMap::new(),
            next_id: 0,
        }
    }

    /// Takes over the failure domains of this proxy's region, for targets set from now on.
    pub fn set_region(&mut self, domains: &[DomainName]) {
        self.config.region = domains.into();
    }

    /// The services with targets.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Replaces the targets of `service`, keeping what calls have shown about those that stay.
    ///
    /// No targets forgets the service.
    pub fn set_targets(&mut self, service: &ServiceName, views: &[TargetView]) {
        if views.is_empty() {
            self.services.remove(service);
            return;
        }
        let now = self.clock.now();
        let mut old = self.services.remove(service);
        let mut fresh = ServiceTargets::new(old.as_ref().map_or(FIRST_SERVICE_S, |old| old.mean_s));
        for view in views.iter().take(MAX_TARGETS) {
            let known = old.as_mut().and_then(|old| old.take(view));
            let view = Arc::new(view.clone());
            let distance = self.config.distance(&view.domain);
            let candidate = if let Some(mut known) = known {
                known.update(view);
                known
            } else {
                self.next_id += 1;
                Candidate::new(self.next_id, view, self.config.slow_start, now)
            };
            fresh.tiers[distance].push(fresh.candidates.len());
            fresh.candidates.push(candidate);
        }
        self.services.insert(service.clone(), fresh);
    }

    /// Chooses a target of `service`, none of `exclude`; `None` if no target is willing.
    pub fn pick(&mut self, service: &ServiceName, exclude: &[DaemonId]) -> Option<PickedTarget> {
        self.pick_by(service, exclude, &[Trust::Present, Trust::Any])
    }

    /// Chooses as [`TargetPicker::pick`] for a call that is not idempotent.
    ///
    /// Targets that failed lately are tried again with other calls first.
    pub fn pick_healthy_first(
        &mut self,
        service: &ServiceName,
        exclude: &[DaemonId],
    ) -> Option<PickedTarget> {
        let trusts = [Trust::Proven, Trust::Present, Trust::Any];
        self.pick_by(service, exclude, &trusts)
    }

    fn pick_by(
        &mut self,
        service: &ServiceName,
        exclude: &[DaemonId],
        trusts: &[Trust],
    ) -> Option<PickedTarget> {
        let now = self.clock.now();
        let targets = self.services.get_mut(service)?;
        let random = &mut self.random;
        let index = trusts.iter().find_map(|&trust| {
            let rule = PickRule {
                now,
                exclude,
                trust,
            };
            targets.choose(&rule, random)
        })?;
        let candidate = &mut targets.candidates[index];
        if candidate.health.begin_probation(now) {
            candidate.ramp_up(now);
        }
        Some(PickedTarget {
            view: Arc::clone(&candidate.view),
            picked_at: now,
            service: service.clone(),
            candidate: candidate.id,
            _claim: candidate.claim(),
        })
    }

    /// Why [`TargetPicker::pick`] finds no target: `QueueFull`, `Draining` or `TargetAbsent`.
    pub fn no_target_error(&self, service: &ServiceName) -> KindError {
        let now = self.clock.now();
        let known = self.services.get(service);
        let candidates = known.map_or(&[][..], |targets| &targets.candidates);
        let state = |wanted| candidates.iter().any(|known| known.view.state == wanted);
        let kind = if candidates.iter().any(|known| known.is_full(now)) {
            ErrorKind::QueueFull
        } else if state(TargetState::Draining) {
            ErrorKind::Draining
        } else {
            ErrorKind::TargetAbsent
        };
        let detail = format!("{service}: none of {} targets is willing", candidates.len());
        KindError::new(kind, detail)
    }

    /// Learns how the call ended; drop the ticket after it.
    pub fn finish(&mut self, ticket: &PickedTarget, outcome: &CallOutcome) {
        let now = self.clock.now();
        let Some(targets) = self.services.get_mut(&ticket.service) else {
            return;
        };
        targets.on_finished(ticket.candidate, outcome, now);
    }

    /// This proxy's calls in flight to the target of `daemon`.
    pub fn in_flight(&self, service: &ServiceName, daemon: DaemonId) -> CallCount {
        let own = self.services.get(service).and_then(|targets| {
            let mut candidates = targets.candidates.iter();
            candidates.find(|candidate| candidate.view.daemon == daemon)
        });
        CallCount(own.map_or(0, Candidate::own))
    }

    /// Targets of `service` that are ejected for their failures.
    pub fn ejected(&self, service: &ServiceName) -> Vec<DaemonId> {
        let now = self.clock.now();
        let Some(targets) = self.services.get(service) else {
            return Vec::new();
        };
        let ejected = targets
            .candidates
            .iter()
            .filter(|candidate| candidate.health.is_ejected(now));
        ejected.map(|candidate| candidate.view.daemon).collect()
    }
}
