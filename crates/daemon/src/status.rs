//! Status report of a daemon about itself and the fleet, for operators.

use std::collections::BTreeMap;

use members::{MemberNode, MemberState, TargetState};
use model::{ConfigVersion, DaemonId, DomainName, IncarnationNumber, ServiceName, TargetName};
use serde::{Deserialize, Serialize};
use spread::SpreadNode;

use crate::core::DaemonCore;
use crate::replica::PlansReplica;

/// One daemon's view of itself and the fleet.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StatusReport {
    /// Id of the reporting daemon.
    pub daemon: DaemonId,
    /// Name of the daemon.
    pub name: Box<str>,
    /// Failure domain of the daemon.
    pub domain: DomainName,
    /// Incarnation of the daemon.
    pub incarnation: IncarnationNumber,
    /// Version of the configuration in force at this daemon.
    pub version: ConfigVersion,
    /// Freshness of the configuration: absent, current, source down or cut off.
    pub freshness: Box<str>,
    /// Age in milliseconds of the last proof that the configuration matches the log.
    pub proof_age_ms: Option<u64>,
    /// State of the log service, if this daemon reads the log.
    pub log: Option<Box<str>>,
    /// Address of the log service.
    pub log_url: Box<str>,
    /// Whether this daemon is draining.
    pub draining: bool,
    /// Configuration versions over the fleet, aggregated by the distributor.
    pub fleet: FleetReport,
    /// Daemons that are homes of idempotency keys.
    pub homes: Vec<Box<str>>,
    /// Each service, with its targets as this proxy sees them.
    pub services: Vec<ServiceReport>,
    /// The targets of this daemon.
    pub beside: Vec<LocalTargetReport>,
    /// All members.
    pub members: Vec<MemberReport>,
    /// Counters since the start.
    pub counters: BTreeMap<Box<str>, u64>,
}

/// Configuration versions over the fleet.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct FleetReport {
    /// Number of daemons that should report.
    pub members: u32,
    /// Number of daemons at each version, newest first.
    pub versions: Vec<VersionReport>,
    /// Failure domains that have members but no log reader that reports.
    pub silent_domains: Vec<DomainName>,
    /// The daemons that lag the most, the worst first; only a few are listed.
    pub laggards: Vec<LaggardReport>,
    /// Age of this report in milliseconds.
    pub age_ms: Option<u64>,
}

/// Number of daemons at one version.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VersionReport {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Number of daemons that have it in force.
    pub daemons: u32,
}

/// A daemon whose configuration lags.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LaggardReport {
    /// Id of the daemon.
    pub daemon: DaemonId,
    /// Name of the daemon, if known.
    pub name: Option<Box<str>>,
    /// Reason for the lag.
    pub reason: Box<str>,
    /// Version that the daemon has in force.
    pub version: ConfigVersion,
    /// Duration of the lag in milliseconds.
    pub age_ms: u64,
}

/// Targets of one service, as this proxy sees them.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServiceReport {
    /// Name of the service.
    pub service: ServiceName,
    /// Number of targets that accept calls.
    pub ready: u32,
    /// Level of load shedding at this proxy; 0 means none.
    pub shedding: f32,
    /// Daemons whose target gets no calls from this proxy because of its failures.
    pub ejected: Vec<Box<str>>,
}

/// Load of one target of this daemon.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LocalTargetReport {
    /// Name of the target.
    pub target: TargetName,
    /// Number of calls that the target runs.
    pub in_flight: u32,
    /// Number of calls that wait for a slot.
    pub queued: u32,
    /// Percentage of recent calls that failed.
    pub failing: u8,
}

/// One member of the cluster.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MemberReport {
    /// Id of the daemon.
    pub daemon: DaemonId,
    /// Name of the daemon.
    pub name: Box<str>,
    /// Failure domain of the daemon.
    pub domain: DomainName,
    /// State in the membership: alive, suspect, dead or left.
    pub state: Box<str>,
    /// Address for callers; the membership does not carry the operator address.
    pub caller_address: Box<str>,
    /// Whether it is draining.
    pub draining: bool,
    /// Targets of the daemon.
    pub targets: Vec<TargetReport>,
}

/// One target of a member.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TargetReport {
    /// Name of the target.
    pub target: TargetName,
    /// Service of the target.
    pub service: ServiceName,
    /// State of the target.
    pub state: TargetState,
}

impl FleetReport {
    /// Returns the number of daemons that have `version` or a later one in force.
    pub fn in_force(&self, version: ConfigVersion) -> u32 {
        let reached = self
            .versions
            .iter()
            .filter(|count| count.version >= version);
        reached.map(|count| count.daemons).sum()
    }

    /// Returns a line for each listed daemon that lags behind `version`.
    pub fn lagging_lines(&self, version: ConfigVersion) -> Vec<Box<str>> {
        let lagging = self.laggards.iter().filter(|lag| lag.version < version);
        lagging.map(LaggardReport::line).collect()
    }
}

impl LaggardReport {
    fn line(&self) -> Box<str> {
        let id = self.daemon.to_string();
        let name = self.name.as_deref().unwrap_or(&id);
        let seconds = self.age_ms as f64 / 1e3;
        format!(
            "{name} at version {}: {} for {seconds:.1} s",
            self.version, self.reason
        )
        .into()
    }
}

impl StatusReport {
    /// Returns the report of a daemon.
    pub(crate) fn new(
        core: &DaemonCore,
        spread: &SpreadNode<PlansReplica>,
        members: &MemberNode,
    ) -> Self {
        let freshness = spread.freshness();
        let version = core.table.load().as_ref().map(|table| table.version());
        let mut members: Vec<MemberReport> = members.members().iter().map(report_member).collect();
        members.sort_unstable_by(|left, right| left.name.cmp(&right.name));
        Self {
            daemon: core.id,
            name: core.settings.name.as_str().into(),
            domain: core.settings.domain.clone(),
            incarnation: core.incarnation,
            version: version.unwrap_or_default(),
            freshness: freshness.state.to_string().into(),
            proof_age_ms: freshness.proof_age.map(|age| age.as_millis() as u64),
            log: spread
                .is_reading()
                .then(|| spread.log_state().to_string().into()),
            log_url: core.settings.log_url.clone(),
            draining: core.is_draining(),
            fleet: report_fleet(spread, &members),
            homes: report_homes(core, &members),
            services: report_services(core, &members),
            beside: report_local_targets(core),
            members,
            counters: report_counters(core),
        }
    }
}

fn name_of(id: DaemonId, members: &[MemberReport]) -> Box<str> {
    let found = members.iter().find(|member| member.daemon == id);
    found.map_or_else(|| id.to_string().into(), |member| member.name.clone())
}

fn report_counters(core: &DaemonCore) -> BTreeMap<Box<str>, u64> {
    let mut counts = core.counters.read();
    counts.insert("peer-links", core.pool.connection_count() as u64);
    counts.insert("peer-links-opened", core.pool.opened_connections());
    let named = counts.into_iter().map(|(name, count)| (name.into(), count));
    named.collect()
}

fn report_homes(core: &DaemonCore, members: &[MemberReport]) -> Vec<Box<str>> {
    let homes = core.homes.load();
    homes
        .iter()
        .map(|home| name_of(home.daemon, members))
        .collect()
}

fn report_services(core: &DaemonCore, members: &[MemberReport]) -> Vec<ServiceReport> {
    let accepting = members.iter().filter(|member| !member.draining);
    let targets = accepting.flat_map(|member| &member.targets);
    let mut ready: BTreeMap<&ServiceName, u32> = BTreeMap::new();
    for target in targets.filter(|target| target.state == TargetState::Ready) {
        *ready.entry(&target.service).or_default() += 1;
    }
    let picker = core.picker();
    let services = ready.into_iter().map(|(service, ready)| ServiceReport {
        service: service.clone(),
        ready,
        shedding: core.shedder().level(service),
        ejected: picker
            .ejected(service)
            .into_iter()
            .map(|daemon| name_of(daemon, members))
            .collect(),
    });
    services.collect()
}

fn report_local_targets(core: &DaemonCore) -> Vec<LocalTargetReport> {
    let loads = core.local_targets.loads().into_iter();
    let reports = loads.map(|(target, load)| LocalTargetReport {
        target,
        in_flight: load.in_flight.0,
        queued: load.queued.0,
        failing: load.failing,
    });
    reports.collect()
}

fn report_member(view: &members::MemberView) -> MemberReport {
    let state = match view.state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    };
    MemberReport {
        daemon: view.id,
        name: view.profile.name.as_str().into(),
        domain: view.profile.domain.clone(),
        state: state.into(),
        caller_address: view.profile.caller_address.to_string().into(),
        draining: view.draining,
        targets: view
            .targets
            .iter()
            .map(|digest| TargetReport {
                target: digest.target.clone(),
                service: digest.service.clone(),
                state: digest.state,
            })
            .collect(),
    }
}

fn report_fleet(spread: &SpreadNode<PlansReplica>, members: &[MemberReport]) -> FleetReport {
    let Some((summary, age)) = spread.fleet_summary() else {
        return FleetReport::default();
    };
    let name_of = |id: DaemonId| {
        let found = members.iter().find(|member| member.daemon == id);
        found.map(|member| member.name.clone())
    };
    FleetReport {
        members: summary.members,
        versions: summary
            .sum
            .versions
            .iter()
            .map(|count| VersionReport {
                version: count.version,
                daemons: count.daemons,
            })
            .collect(),
        silent_domains: summary.silent_domains.to_vec(),
        laggards: summary
            .sum
            .laggards
            .iter()
            .map(|lag| LaggardReport {
                daemon: lag.daemon,
                name: name_of(lag.daemon),
                reason: lag.reason.to_string().into(),
                version: lag.version,
                age_ms: lag.age.0.into(),
            })
            .collect(),
        age_ms: Some(age.as_millis() as u64),
    }
}
