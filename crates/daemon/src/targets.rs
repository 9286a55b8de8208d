//! Publishes the targets known to the membership for target selection.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use members::TargetView as KnownTarget;
use model::{CallCount, DaemonId, DomainName, RegionName, ServiceName, TargetName};
use route::{TargetLoad, TargetState, TargetView};

use crate::core::{DaemonCore, ServiceDaemons};

/// One run of a target: its daemon, its name and the time since which it reports to be ready.
type TargetRun = (DaemonId, TargetName, Option<SystemTime>);

/// Publishes targets and keeps the start of the slow start of each target's run.
///
/// The start is computed once, when this daemon first learns of the run. It depends on the wall
/// clock of another machine, so computing it again would shift it with every publication.
#[derive(Debug, Default)]
pub struct TargetPublisher {
    slow_starts: HashMap<TargetRun, Instant>,
}

impl TargetPublisher {
    /// Passes the targets that the membership knows to the target selection.
    pub fn publish(&mut self, core: &DaemonCore, known: Vec<KnownTarget>) {
        self.update_slow_starts(core, &known);
        let domains = domains_in_region(&known, &core.settings.region);
        let mut services: BTreeMap<ServiceName, Vec<TargetView>> = BTreeMap::new();
        for target in known {
            let service = target.digest.service.clone();
            let view = self.build_view(core, target);
            services.entry(service).or_default().push(view);
        }
        core.services.store(Arc::new(daemons_of(&services)));
        let mut picker = core.picker();
        picker.set_region(&domains);
        // An empty list removes a service that has no targets any more.
        for service in picker.services() {
            services.entry(service.clone()).or_default();
        }
        for (service, views) in services {
            picker.set_targets(&service, &views);
        }
    }

    /// Keeps the slow start of each run that is still known and adds those of new runs.
    fn update_slow_starts(&mut self, core: &DaemonCore, known: &[KnownTarget]) {
        let now = core.clock.now();
        let runs = known.iter().map(run_of);
        let slow_starts = runs.map(|run| {
            let kept = self.slow_starts.get(&run).copied();
            let since = kept.unwrap_or_else(|| slow_start_time(core, &run, now));
            (run, since)
        });
        self.slow_starts = slow_starts.collect();
    }

    fn build_view(&self, core: &DaemonCore, target: KnownTarget) -> TargetView {
        let since = self.slow_starts.get(&run_of(&target)).copied();
        let digest = target.digest;
        let in_flight = digest.load.share() * digest.slots.0 as f32;
        TargetView {
            target: digest.target,
            daemon: target.daemon,
            domain: target.domain,
            version: digest.version,
            slots: digest.slots,
            // A digest does not state the connections, so they are assumed to equal the slots.
            connections: digest.slots,
            state: TargetState::Ready,
            load: Some(TargetLoad {
                in_flight: CallCount(in_flight as u32),
                ..TargetLoad::default()
            }),
            mean_run_time: digest.execution_time.duration(),
            since: since.unwrap_or_else(|| core.clock.now()),
        }
    }
}

fn run_of(target: &KnownTarget) -> TargetRun {
    let digest = &target.digest;
    (target.daemon, digest.target.clone(), digest.ready_since)
}

/// Returns the start of a new run's slow start.
///
/// The start is moved back by the time since the target became ready, so that a target that
/// has long been ready has no slow start. That time is taken from two wall clocks: the
/// one of the target's daemon at that moment and this daemon's now.
fn slow_start_time(core: &DaemonCore, run: &TargetRun, now: Instant) -> Instant {
    let ready_since = run.2.unwrap_or(SystemTime::UNIX_EPOCH);
    let ready_for = core.clock.wall().duration_since(ready_since);
    let since = now.checked_sub(ready_for.unwrap_or_default());
    since.unwrap_or(now)
}

fn daemons_of(services: &BTreeMap<ServiceName, Vec<TargetView>>) -> ServiceDaemons {
    let daemon_ids = |views: &Vec<TargetView>| {
        let mut daemons: Vec<DaemonId> = views.iter().map(|view| view.daemon).collect();
        daemons.sort_unstable();
        daemons.dedup();
        daemons
    };
    let entries = services.iter();
    entries
        .map(|(service, views)| (service.clone(), daemon_ids(views)))
        .collect()
}

fn domains_in_region(known: &[KnownTarget], region: &RegionName) -> Vec<DomainName> {
    let in_region = known.iter().filter(|target| target.region == *region);
    let mut domains: Vec<DomainName> = in_region.map(|target| target.domain.clone()).collect();
    domains.sort_unstable();
    domains.dedup();
    domains
}
