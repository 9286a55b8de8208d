//! What a daemon is told when it starts.

use std::net::SocketAddr;
use std::time::Duration;

use mesh::BudgetLimits;
use model::{DaemonName, DomainName, RegionName, ServiceName};

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxySettings {
    /// Name of the VM.
    pub vm: DaemonName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
    /// Failure domains of the region.
    pub domains: Vec<DomainName>,
    /// Service of the target beside the daemon; callers on this VM act for it.
    pub service: ServiceName,
    /// Where callers on this VM send requests.
    pub caller_address: SocketAddr,
    /// Where other daemons send requests and messages.
    pub peer_address: SocketAddr,
    /// Where other daemons reach `peer_address`; differs behind a relay.
    pub advertised_address: SocketAddr,
    /// Where the platform asks whether the daemon is ready.
    pub ready_address: SocketAddr,
    /// Where the target sends its reports.
    pub report_address: SocketAddr,
    /// Where counters and histograms are served.
    pub metrics_address: SocketAddr,
    /// Where the target beside the daemon listens.
    pub target_address: SocketAddr,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// Bytes a second that the VM's link carries.
    pub link_bytes_per_s: f64,
    /// Time between two reports of a target.
    pub report_interval: Duration,
    /// What the fleet may repeat at one service.
    pub budget: BudgetLimits,
    /// Time within which a configuration must be in force.
    pub config_apply_limit: Duration,
    /// Time from a request to stop until the process is killed.
    pub grace_period: Duration,
}
