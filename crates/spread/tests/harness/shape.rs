//! Shape of a fleet and the places of its daemons.

use std::time::Duration;

use model::{ConfigVersion, DaemonId, DomainName, IncarnationNumber, RegionName};
use quetzal_spread::SpreadMember;

/// Number of a first run, as long on the wire as a time stamp in milliseconds.
const FIRST_RUN: u64 = 1_767_225_600_000;

/// One-way delays between daemons.
const SAME_DOMAIN: Duration = Duration::from_micros(500);
const SAME_REGION: Duration = Duration::from_micros(1500);
const OTHER_REGION: Duration = Duration::from_millis(30);

/// Shape and faults of a fleet.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// Daemons.
    pub daemons: usize,
    /// Failure domains.
    pub domains: usize,
    /// The first this many domains are in the first region.
    pub first_region_domains: usize,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that arrive twice.
    pub duplication: f64,
    /// Longest extra delay of a message; reorders what crosses.
    pub jitter: Duration,
    /// Time after which the others learn of a crash or return.
    pub detection_delay: Duration,
    /// Seed of everything random.
    pub seed: u64,
}

impl FleetShape {
    /// Daemons over the domains and regions of the target size.
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

/// One daemon's place in the fleet.
pub struct FleetSlot<A> {
    pub member: SpreadMember,
    pub region: usize,
    pub actor: Option<A>,
    pub isolated: bool,
    pub paused: bool,
    pub applied: ConfigVersion,
    pub applied_at: Duration,
    pub sent: u64,
    pub received: u64,
    pub reads: u64,
}

impl<A> FleetSlot<A> {
    /// The daemon number `place` of a fleet, not started.
    pub fn new(shape: &FleetShape, place: usize) -> Self {
        let domain = place % shape.domains;
        let region = usize::from(domain >= shape.first_region_domains);
        let domain_name: DomainName = format!("domain-{}", domain + 1).parse().expect("sound");
        let region_name: RegionName = format!("region-{}", region + 1).parse().expect("sound");
        Self {
            member: SpreadMember {
                id: DaemonId((place as u64 + 1) << 48),
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

    /// One-way delay of a message without jitter.
    pub fn delay_to(&self, other: &Self) -> Duration {
        if self.member.domain == other.member.domain {
            SAME_DOMAIN
        } else if self.region == other.region {
            SAME_REGION
        } else {
            OTHER_REGION
        }
    }
}
