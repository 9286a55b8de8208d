//! Settings of a daemon, fixed at its start.

use std::net::SocketAddr;
use std::time::Duration;

use mesh::{BudgetLimits, QuotaBounds, RolloutBounds};
use model::{ByteCount, DaemonName, DomainName, RegionName, ServiceName};

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxySettings {
    /// Name of the VM, which is also the name of the daemon.
    pub vm: DaemonName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Region of the VM.
    pub region: RegionName,
    /// Failure domains that belong to the region.
    pub domains: Vec<DomainName>,
    /// Service of the target beside the daemon. Requests of callers on this VM count as calls by
    /// this service.
    pub service: ServiceName,
    /// Listen address for requests of callers on this VM.
    pub caller_address: SocketAddr,
    /// Listen address for requests and messages of other daemons.
    pub peer_address: SocketAddr,
    /// Address at which other daemons reach `peer_address`; differs from it if a forwarder is in
    /// between.
    pub advertised_address: SocketAddr,
    /// Listen address for the platform's readiness checks.
    pub ready_address: SocketAddr,
    /// Listen address for the target's reports.
    pub report_address: SocketAddr,
    /// Listen address for scrapes of the metrics.
    pub metrics_address: SocketAddr,
    /// Address of the target beside the daemon.
    pub target_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Capacity of the VM's network link in bytes per second.
    pub link_bytes_per_s: f64,
    /// Memory that the process may use.
    pub memory: ByteCount,
    /// Number of file descriptors that the process may use.
    pub max_fds: usize,
    /// Maximum number of pipelined requests of a connection that are started before their turn.
    pub max_pipelined: usize,
    /// Interval between reports of a target.
    pub report_interval: Duration,
    /// Retry budget of the fleet for each service.
    pub budget: BudgetLimits,
    /// Time within which a new configuration must be in force.
    pub config_apply_limit: Duration,
    /// Time from the request to stop until the platform kills the process.
    pub grace_period: Duration,
    /// Time within which a key that was taken away must be refused everywhere; none if the
    /// deployment sets none.
    pub key_revocation: Option<Duration>,
    /// Bounds on the quotas of organisations; none if the deployment sets none.
    pub quota: Option<QuotaBounds>,
    /// Bounds on new versions of targets; without them rollouts are ignored.
    pub rollout: Option<RolloutBounds>,
}
