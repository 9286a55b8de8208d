//! Shape of a simulated fleet and the slots of its daemons.

use std::time::Duration;

use model::{ConfigVersion, DaemonId, DomainName, IncarnationNumber, RegionName};
use quetzal_spread::SpreadMember;

/// Incarnation number before the first start: a timestamp in milliseconds, as in a real
/// daemon, so that messages have realistic sizes.
const FIRST_RUN: u64 = 1_767_225_600_000;

/// One-way delay between daemons of one failure domain.
const SAME_DOMAIN_DELAY: Duration = Duration::from_micros(500);

/// One-way delay between failure domains of one region.
const SAME_REGION_DELAY: Duration = Duration::from_micros(1500);

/// One-way delay between regions.
const OTHER_REGION_DELAY: Duration = Duration::from_millis(30);

/// Size, topology and faults of a fleet.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Number of failure domains in the first region.
    pub first_region_domains: usize,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that are delivered twice.
    pub duplication: f64,
    /// Maximum additional delay of a message, which may reorder messages.
    pub jitter: Duration,
    /// Time after which the other daemons detect a crash.
    pub detection_delay: Duration,
    /// Seed of the random number generators.
    pub seed: u64,
}

impl FleetShape {
    /// Returns the shape of a fleet of this size: three or four domains in one region, or
    /// five domains in two regions for more than 14 daemons.
    pub fn sized(daemons: usize, seed: u64) -> Self {
        let (domains, first_region_domains) = match daemons {
            0..=12 => (3, 3),
            13..=14 => (4, 4),
            _ => (5, 3),
        };
        Self {
            daemons,
            domains,
            first_region_domains,
            loss: 0.01,
            duplication: 0.0,
            jitter: Duration::from_micros(500),
            detection_delay: Duration::from_secs(6),
            seed,
        }
    }
}

/// Slot of one daemon in the fleet.
pub struct FleetSlot<A> {
    pub member: SpreadMember,
    pub region: usize,
    pub actor: Option<A>,
    /// Whether the daemon reaches neither its peers nor the log, and learns of no members.
    pub isolated: bool,
    pub paused: bool,
    /// Version in force on the daemon.
    pub applied: ConfigVersion,
    /// Simulated time at which that version came into force.
    pub applied_at: Duration,
    /// Bytes sent to peers since the last reset.
    pub sent: u64,
    /// Bytes received from peers since the last reset.
    pub received: u64,
    /// Number of log reads since the last reset.
    pub reads: u64,
}

impl<A> FleetSlot<A> {
    /// Creates the slot of the daemon `index`, which is not started yet.
    pub fn new(shape: &FleetShape, index: usize) -> Self {
        let domain = index % shape.domains;
        let region = usize::from(domain >= shape.first_region_domains);
        let domain_name: DomainName = format!("domain-{}", domain + 1)
            .parse()
            .expect("valid name");
        let region_name: RegionName = format!("region-{}", region + 1)
            .parse()
            .expect("valid name");
        Self {
            member: SpreadMember {
                // As many bytes on the wire as a real ID, which is a 64-bit hash.
                id: DaemonId((index as u64 + 1) << 48),
                domain: domain_name,
                region: region_name,
                run: IncarnationNumber(FIRST_RUN),
            },
            region,
            actor: None,
            isolated: false,
            paused: false,
            applied: ConfigVersion::NONE,
            applied_at: Duration::ZERO,
            sent: 0,
            received: 0,
            reads: 0,
        }
    }

    /// Returns the one-way delay of a message without jitter.
    pub fn delay_to(&self, other: &Self) -> Duration {
        if self.member.domain == other.member.domain {
            SAME_DOMAIN_DELAY
        } else if self.region == other.region {
            SAME_REGION_DELAY
        } else {
            OTHER_REGION_DELAY
        }
    }
}
