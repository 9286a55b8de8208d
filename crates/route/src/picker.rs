//! Selection of a target for each call.
//!
//! Two candidates are sampled, weighted by their observed capacity, and the
//! one with the lower expected time is chosen. Sampling prevents hundreds of
//! proxies with the same stale view from all choosing the same target. Targets
//! in the proxy's own failure domain come first while they have spare
//! capacity, then those of its region, then the rest. When more than half of a
//! service's targets are failing, the cause is likely common to all, and
//! ejection is suspended.
//!
//! The cost of a pick does not depend on the number of targets, except when
//! few of them are available. Memory is constant per known target. Recording
//! the outcome of a call searches the service's targets linearly.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{
    CallCount, DaemonId, DomainName, ErrorKind, KindError, ServiceName, SharedClock, TargetVersion,
};
use rand::Rng;
use rand::rngs::SmallRng;
use smallvec::SmallVec;

use crate::candidate::{Candidate, InFlightGuard};
use crate::departure::DepartureLog;
use crate::rejection::{BusyShare, BusyTargets};
use crate::service::{CandidateFilter, HealthFilter, ServiceTargets};
use crate::target::{CallOutcome, TargetState, TargetView};
use crate::version::{VersionFilter, VersionSplit, rank_versions, version_filters};

/// Maximum number of targets per service; further ones are ignored.
pub const MAX_TARGETS: usize = 1024;

/// Service time in seconds that is assumed before any call has ended.
const INITIAL_SERVICE_S: f32 = 0.02;

/// Order of preference for calls that may run more than once.
const ANY_HEALTH: [HealthFilter; 2] = [HealthFilter::NotEjected, HealthFilter::Any];

/// Order of preference for calls that are not idempotent.
const HEALTHY_FIRST: [HealthFilter; 3] = [
    HealthFilter::Healthy,
    HealthFilter::NotEjected,
    HealthFilter::Any,
];

/// Location of this proxy and slow start of its targets.
#[derive(Clone, Debug)]
pub struct PickerConfig {
    /// Failure domain of this proxy.
    pub domain: DomainName,
    /// Failure domains of the proxy's region; if empty, all domains belong to it.
    pub region: SmallVec<[DomainName; 4]>,
    /// Slow start of targets that have just started.
    pub slow_start: SlowStart,
    /// How strongly near targets are preferred.
    pub locality: LocalityPreference,
}

/// How strongly targets of the own failure domain, and then of the own region, are preferred.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalityPreference {
    /// Utilization up to which a target counts as having spare capacity.
    pub spare_utilization: f32,
    /// Multiple of the mean service time up to which a near target with spare capacity is taken
    /// without considering farther ones.
    pub slow_factor: f32,
    /// Factor by which a target must be faster for each step of distance.
    pub distance_factor: f32,
}

impl Default for LocalityPreference {
    /// Returns a preference for deployments in which bytes between failure domains cost little.
    fn default() -> Self {
        Self {
            spare_utilization: 0.8,
            slow_factor: 2.0,
            distance_factor: 1.3,
        }
    }
}

/// Linear ramp of the traffic share of a target that has just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Time until the target gets its full share.
    pub duration: Duration,
    /// Smallest share during the ramp.
    pub initial_share: f32,
}

impl Default for SlowStart {
    /// Returns a ramp for targets of unknown warm-up time; caches typically fill within several
    /// seconds.
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(10),
            initial_share: 0.1,
        }
    }
}

impl SlowStart {
    /// Returns the share of a target that started `age` ago.
    pub(crate) fn share_at(&self, age: Duration) -> f32 {
        let progress = age.as_secs_f32() / self.duration.as_secs_f32().max(f32::MIN_POSITIVE);
        progress.clamp(self.initial_share, 1.0)
    }
}

impl PickerConfig {
    /// Returns the distance of `domain`: 0 for the own one, 1 within the region, 2 otherwise.
    fn distance(&self, domain: &DomainName) -> usize {
        if *domain == self.domain {
            return 0;
        }
        let near = self.region.is_empty() || self.region.contains(domain);
        if near { 1 } else { 2 }
    }
}

/// Target picked for a call, which counts as in flight until this is dropped.
///
/// [`TargetPicker::finish`] records how the call ended. If the value is only
/// dropped, for example because the caller cancelled, no outcome is recorded.
#[derive(Debug)]
pub struct PickedTarget {
    /// Description of the target.
    pub view: Arc<TargetView>,
    /// When the target was picked.
    pub picked_at: Instant,
    /// Whether the target may reject the call if it would have to wait: another target of the same
    /// failure domain is available, and such rejections have helped recently.
    pub may_reject: bool,
    service: ServiceName,
    candidate_id: u64,
    _in_flight: InFlightGuard,
}

/// Picks targets for the calls of one proxy.
pub struct TargetPicker {
    config: PickerConfig,
    clock: SharedClock,
    rng: SmallRng,
    services: HashMap<ServiceName, ServiceTargets>,
    departures: DepartureLog,
    splits: HashMap<ServiceName, VersionSplit>,
    /// Whether new versions get no calls while their rollout may not be known yet.
    holds_new_versions: bool,
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
    /// Creates a picker without targets.
    pub fn new(config: PickerConfig, clock: SharedClock, rng: SmallRng) -> Self {
        Self {
            config,
            clock,
            rng,
            services: HashMap::new(),
            departures: DepartureLog::default(),
            splits: HashMap::new(),
            holds_new_versions: false,
            next_id: 0,
        }
    }

    /// Sets the failure domains of this proxy's region, for targets that are set afterwards.
    pub fn set_region(&mut self, domains: &[DomainName]) {
        self.config.region = domains.into();
    }

    /// Makes targets of a new version wait for a few seconds after they appear beside older ones, so
    /// that a rollout of that version becomes known before they get calls.
    pub fn hold_new_versions(&mut self) {
        self.holds_new_versions = true;
    }

    /// Sets how the calls of `service` are divided between two versions of its targets; `None` treats
    /// all versions alike.
    pub fn set_split(&mut self, service: &ServiceName, split: Option<VersionSplit>) {
        match split {
            Some(split) => self.splits.insert(service.clone(), split),
            None => self.splits.remove(service),
        };
    }

    /// Returns the number of targets of `service` by whether they have `version`: those that have it
    /// and those of another version.
    pub fn count_versions(&self, service: &ServiceName, version: &TargetVersion) -> (u32, u32) {
        let targets = self.services.get(service);
        let candidates = targets.map_or(&[][..], |targets| &targets.candidates);
        let versions = candidates
            .iter()
            .filter(|known| known.view.state == TargetState::Ready)
            .filter_map(|known| known.view.version.as_ref());
        versions.fold((0, 0), |(same, other), known| {
            if known == version {
                (same + 1, other)
            } else {
                (same, other + 1)
            }
        })
    }

    /// Returns the services that have targets.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Replaces the targets of `service`, keeping the measurements of those that remain.
    ///
    /// Targets that have said that they leave are left out. If none remains, the service is removed.
    pub fn set_targets(&mut self, service: &ServiceName, views: &[TargetView]) {
        let departures = &self.departures;
        let mut staying = views
            .iter()
            .filter(|view| !departures.contains(view))
            .peekable();
        if staying.peek().is_none() {
            self.services.remove(service);
            return;
        }
        let now = self.clock.now();
        let mut old = self.services.remove(service);
        let mut updated = ServiceTargets::new(
            old.as_ref()
                .map_or(INITIAL_SERVICE_S, |old| old.mean_service_s),
            old.as_ref()
                .map_or_else(BusyShare::default, |old| old.busy_share),
        );
        for view in staying.take(MAX_TARGETS) {
            let known = old.as_mut().and_then(|old| old.take_matching(view));
            let view = Arc::new(view.clone());
            let distance = self.config.distance(&view.domain);
            let candidate = if let Some(mut known) = known {
                known.update(view);
                known
            } else {
                self.next_id += 1;
                Candidate::new(self.next_id, view, self.config.slow_start, now)
            };
            updated.tiers[distance].push(updated.candidates.len());
            updated.candidates.push(candidate);
        }
        rank_versions(&mut updated);
        self.services.insert(service.clone(), updated);
    }

    /// Picks a target of `service` that is not in `exclude`; `None` if none is available.
    pub fn pick(&mut self, service: &ServiceName, exclude: &[DaemonId]) -> Option<PickedTarget> {
        self.pick_filtered(service, exclude, &ANY_HEALTH)
    }

    /// Picks a target for a call that `busy` targets rejected; `last` if it will not be rejected
    /// again.
    ///
    /// Other targets of the same failure domain come first. At the end the call waits at the best of
    /// all, since what the rejections told is newer than what is known of the others. Without any
    /// target in the failure domain, the call goes where it would go anyway. `healthy_first` is as
    /// for [`TargetPicker::pick_healthy_first`].
    pub fn pick_after_busy(
        &mut self,
        service: &ServiceName,
        exclude: &[DaemonId],
        busy: &BusyTargets,
        last: bool,
        healthy_first: bool,
    ) -> Option<PickedTarget> {
        let order: &[HealthFilter] = if healthy_first {
            &HEALTHY_FIRST
        } else {
            &ANY_HEALTH
        };
        let latest = busy.latest.clone();
        let domain = latest.as_ref().map(|view| &view.domain);
        let without_busy: SmallVec<[DaemonId; 8]> =
            exclude.iter().chain(&busy.daemons).copied().collect();
        let other = self.choose(service, &without_busy, domain, &[HealthFilter::NotEjected]);
        let index = if let (Some(index), false) = (other, last) {
            Some(index)
        } else {
            self.best_of(service, exclude, &busy.daemons, other)
        };
        match index {
            Some(index) => Some(self.take(service, index, exclude)),
            None => self.pick_filtered(service, exclude, order),
        }
    }

    /// Picks a target for a call that is not idempotent.
    ///
    /// Unlike [`TargetPicker::pick`], it prefers targets without recent failures, so that
    /// targets with recent failures are tried by idempotent calls first.
    pub fn pick_healthy_first(
        &mut self,
        service: &ServiceName,
        exclude: &[DaemonId],
    ) -> Option<PickedTarget> {
        self.pick_filtered(service, exclude, &HEALTHY_FIRST)
    }

    fn pick_filtered(
        &mut self,
        service: &ServiceName,
        exclude: &[DaemonId],
        health_filters: &[HealthFilter],
    ) -> Option<PickedTarget> {
        let index = self.choose(service, exclude, None, health_filters)?;
        Some(self.take(service, index, exclude))
    }

    /// Returns the index of the target for the next call, from `domain` only if there is one.
    fn choose(
        &mut self,
        service: &ServiceName,
        exclude: &[DaemonId],
        domain: Option<&DomainName>,
        health_filters: &[HealthFilter],
    ) -> Option<usize> {
        let now = self.clock.now();
        let targets = self.services.get_mut(service)?;
        let split = self.splits.get(service);
        // Without a rollout the random numbers are drawn as if there were none.
        let draw = split.map_or(0.0, |_| self.rng.random());
        let versions = if self.holds_new_versions && targets.versions.len() > 1 {
            targets.versions.clone()
        } else {
            SmallVec::new()
        };
        let filters = version_filters(split, &versions, draw, now);
        let (rng, locality) = (&mut self.rng, self.config.locality);
        filters.into_iter().find_map(|version| {
            health_filters.iter().find_map(|&health| {
                let filter = CandidateFilter {
                    now,
                    exclude,
                    health,
                    domain,
                    version,
                };
                targets.choose(&filter, locality, rng)
            })
        })
    }

    /// Returns the index of the best target among those of `daemons` and the one at `other`.
    fn best_of(
        &self,
        service: &ServiceName,
        exclude: &[DaemonId],
        daemons: &[DaemonId],
        other: Option<usize>,
    ) -> Option<usize> {
        let now = self.clock.now();
        let targets = self.services.get(service)?;
        let split = self.splits.get(service);
        // The draw leaves the new version of an undecided rollout out.
        let version = *version_filters(split, &[], 1.0, now).first()?;
        let filter = CandidateFilter {
            now,
            exclude,
            health: HealthFilter::NotEjected,
            domain: None,
            version,
        };
        targets.best_of(daemons, other, &filter)
    }

    /// Counts a call to the target at `index` as in flight.
    fn take(&mut self, service: &ServiceName, index: usize, exclude: &[DaemonId]) -> PickedTarget {
        let now = self.clock.now();
        let targets = self
            .services
            .get_mut(service)
            .expect("the index was just found");
        let filter = CandidateFilter {
            now,
            exclude,
            health: HealthFilter::NotEjected,
            domain: None,
            version: VersionFilter::Any,
        };
        let may_reject = targets.busy_share.allows_rejection(self.rng.random())
            && targets.has_alternative(index, &filter);
        let candidate = &mut targets.candidates[index];
        if candidate.health.begin_probation(now) {
            candidate.restart_slow_start(now);
        }
        PickedTarget {
            view: Arc::clone(&candidate.view),
            picked_at: now,
            may_reject,
            service: service.clone(),
            candidate_id: candidate.id,
            _in_flight: candidate.track_call(),
        }
    }

    /// Returns why [`TargetPicker::pick`] finds no target.
    ///
    /// The kind is `QueueFull`, `Draining` or `TargetAbsent`.
    pub fn no_target_error(&self, service: &ServiceName) -> KindError {
        let now = self.clock.now();
        let known = self.services.get(service);
        let candidates = known.map_or(&[][..], |targets| &targets.candidates);
        let any_in_state = |wanted| candidates.iter().any(|known| known.view.state == wanted);
        let kind = if candidates.iter().any(|known| known.is_queue_full(now)) {
            ErrorKind::QueueFull
        } else if any_in_state(TargetState::Draining) {
            ErrorKind::Draining
        } else {
            ErrorKind::TargetAbsent
        };
        let detail = format!(
            "{service}: none of {} targets accepts calls",
            candidates.len()
        );
        KindError::new(kind, detail)
    }

    /// Records the outcome of a call; drop `picked` afterwards.
    pub fn finish(&mut self, picked: &PickedTarget, outcome: &CallOutcome) {
        let now = self.clock.now();
        if outcome.load.is_some_and(|load| load.leaving) {
            self.departures.record(&picked.view, now);
        }
        let Some(targets) = self.services.get_mut(&picked.service) else {
            return;
        };
        targets.on_finished(picked.candidate_id, outcome, now);
    }

    /// Returns the number of this proxy's calls in flight to the target of `daemon`.
    pub fn in_flight(&self, service: &ServiceName, daemon: DaemonId) -> CallCount {
        let candidate = self.services.get(service).and_then(|targets| {
            let mut candidates = targets.candidates.iter();
            candidates.find(|candidate| candidate.view.daemon == daemon)
        });
        CallCount(candidate.map_or(0, Candidate::in_flight))
    }

    /// Returns the daemons of the targets of `service` that are currently ejected.
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
