//! The targets that this daemon's calls may go to.

use std::collections::BTreeMap;
use std::time::SystemTime;

use model::{CallCount, DomainName, RegionName, ServiceName};
use route::{TargetLoad, TargetState, TargetView};

use crate::core::DaemonCore;

/// Hands the targets that the membership knows to the picker.
pub fn publish_targets(core: &DaemonCore, known: Vec<members::TargetView>) {
    let region = domains_of(&known, &core.settings.region);
    let mut services: BTreeMap<ServiceName, Vec<TargetView>> = BTreeMap::new();
    for view in known {
        let service = view.digest.service.clone();
        services
            .entry(service)
            .or_default()
            .push(convert(core, view));
    }
    let mut picker = core.picker();
    picker.set_region(&region);
    for known in picker.services() {
        services.entry(known.clone()).or_default();
    }
    for (service, views) in services {
        picker.set_targets(&service, &views);
    }
}

fn domains_of(known: &[members::TargetView], region: &RegionName) -> Vec<DomainName> {
    let near = known.iter().filter(|view| view.region == *region);
    let mut domains: Vec<DomainName> = near.map(|view| view.domain.clone()).collect();
    domains.sort_unstable();
    domains.dedup();
    domains
}

fn convert(core: &DaemonCore, view: members::TargetView) -> TargetView {
    let digest = view.digest;
    let ready_since = digest.ready_since.unwrap_or(SystemTime::UNIX_EPOCH);
    let ready_for = core.clock.wall().duration_since(ready_since);
    let now = core.clock.now();
    let since = now.checked_sub(ready_for.unwrap_or_default());
    let in_flight = digest.load.share() * digest.slots.0 as f32;
    TargetView {
        target: digest.target,
        daemon: view.daemon,
        domain: view.domain,
        slots: digest.slots,
        connections: digest.slots,
        state: TargetState::Ready,
        load: Some(TargetLoad {
            in_flight: CallCount(in_flight as u32),
            ..TargetLoad::default()
        }),
        since: since.unwrap_or(now),
    }
}
