//! The targets that this daemon's calls may go to.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use members::TargetView as KnownTarget;
use model::{CallCount, DaemonId, DomainName, RegionName, ServiceName, TargetName};
use route::{TargetLoad, TargetState, TargetView};

use crate::core::{DaemonCore, ServiceDaemons};

/// One run of a target: where it is and since when it says that it is ready.
type TargetRun = (DaemonId, TargetName, Option<SystemTime>);

/// When this daemon first heard of each target's run, by its own clock.
///
/// Another machine's wall clock would move the beginning of a slow start with
/// every publication.
#[derive(Debug, Default)]
pub struct TargetPublisher {
    heard: HashMap<TargetRun, Instant>,
}

impl TargetPublisher {
    /// Hands the targets that the membership knows to the picker.
    pub fn publish(&mut self, core: &DaemonCore, known: Vec<KnownTarget>) {
        self.note(core, &known);
        let region = domains_of(&known, &core.settings.region);
        let mut services: BTreeMap<ServiceName, Vec<TargetView>> = BTreeMap::new();
        for target in known {
            let service = target.digest.service.clone();
            let view = self.convert(core, target);
            services.entry(service).or_default().push(view);
        }
        core.services.store(Arc::new(daemons_of(&services)));
        let mut picker = core.picker();
        picker.set_region(&region);
        for service in picker.services() {
            services.entry(service.clone()).or_default();
        }
        for (service, views) in services {
            picker.set_targets(&service, &views);
        }
    }

    /// Keeps the moment of each run that is still known.
    fn note(&mut self, core: &DaemonCore, known: &[KnownTarget]) {
        let now = core.clock.now();
        let runs = known.iter().map(run_of);
        let heard = runs.map(|run| {
            let first = self.heard.get(&run).copied();
            let since = first.unwrap_or_else(|| first_since(core, &run, now));
            (run, since)
        });
        self.heard = heard.collect();
    }

    fn convert(&self, core: &DaemonCore, target: KnownTarget) -> TargetView {
        let since = self.heard.get(&run_of(&target)).copied();
        let digest = target.digest;
        let in_flight = digest.load.share() * digest.slots.0 as f32;
        TargetView {
            target: digest.target,
            daemon: target.daemon,
            domain: target.domain,
            slots: digest.slots,
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

/// A target that has been ready for long, by both wall clocks, needs no slow start.
fn first_since(core: &DaemonCore, run: &TargetRun, now: Instant) -> Instant {
    let ready_since = run.2.unwrap_or(SystemTime::UNIX_EPOCH);
    let ready_for = core.clock.wall().duration_since(ready_since);
    let since = now.checked_sub(ready_for.unwrap_or_default());
    since.unwrap_or(now)
}

fn daemons_of(services: &BTreeMap<ServiceName, Vec<TargetView>>) -> ServiceDaemons {
    let beside = |views: &Vec<TargetView>| {
        let mut daemons: Vec<DaemonId> = views.iter().map(|view| view.daemon).collect();
        daemons.sort_unstable();
        daemons.dedup();
        daemons
    };
    let books = services.iter();
    books
        .map(|(service, views)| (service.clone(), beside(views)))
        .collect()
}

fn domains_of(known: &[KnownTarget], region: &RegionName) -> Vec<DomainName> {
    let near = known.iter().filter(|target| target.region == *region);
    let mut domains: Vec<DomainName> = near.map(|target| target.domain.clone()).collect();
    domains.sort_unstable();
    domains.dedup();
    domains
}
