//! One row of the table: a fleet, an incident, what it took.

use std::time::Duration;

use crate::harness::actor::FleetActor;
use crate::harness::{Factory, Fleet, FleetShape, READ_BYTES};

/// Changes published for a row without an incident.
const CHANGES: usize = 5;

/// Time until a fleet has settled.
const SETTLE: Duration = Duration::from_secs(6);

/// Time for which idle traffic is measured.
const IDLE: Duration = Duration::from_secs(10);

/// Longest wait for a change to be in force everywhere.
const LIMIT: Duration = Duration::from_secs(30);

/// Customers in the state, so that a snapshot is large beside a delta.
const ENTRIES: usize = 2000;

/// What happens at the moment of a publish.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Incident {
    /// Nothing.
    None,
    /// A failure domain is lost.
    DomainLost,
    /// All readers of the log stop.
    ReadersKilled,
    /// All daemons stop and return within one second.
    HerdReturn,
}

impl Incident {
    pub const FAULTS: [Self; 3] = [Self::DomainLost, Self::ReadersKilled, Self::HerdReturn];
}

/// What a row shows.
#[derive(Debug)]
pub struct Measure {
    pub way: &'static str,
    pub size: usize,
    pub incident: Incident,
    pub times: Vec<Duration>,
    pub reached: usize,
    pub live: usize,
    pub mean_bytes: f64,
    pub max_bytes: f64,
    pub reads_per_second: f64,
    pub peak: u64,
    pub appends: u64,
    pub proof_age: Option<Duration>,
    pub micros_per_call: f64,
    pub calls_per_second: f64,
    pub takeover: Option<Duration>,
}

impl Measure {
    /// Time until the change was in force on this share of the daemons.
    pub fn millis(&self, share: f64) -> u128 {
        let place = (self.times.len() as f64 * share).ceil() as usize;
        let time = self.times.get(place.saturating_sub(1));
        time.map_or(0, Duration::as_millis)
    }

    pub fn cells(&self) -> Vec<String> {
        let incident = match self.takeover {
            Some(takeover) => format!("{:?} ({} ms)", self.incident, takeover.as_millis()),
            None => format!("{:?}", self.incident),
        };
        vec![
            self.size.to_string(),
            incident,
            self.way.to_owned(),
            self.millis(0.5).to_string(),
            self.millis(0.99).to_string(),
            self.millis(1.0).to_string(),
            format!("{}/{}", self.reached, self.live),
            format!("{:.0}", self.mean_bytes),
            format!("{:.0}", self.max_bytes),
            format!("{:.1}", self.reads_per_second),
            self.peak.to_string(),
            self.appends.to_string(),
            self.proof_age
                .map_or("-".to_owned(), |age| format!("{:.1}", age.as_secs_f64())),
            format!("{:.1}", self.micros_per_call),
            format!("{:.1}", self.calls_per_second),
        ]
    }
}

/// Measures one row.
pub fn measure<A: FleetActor>(
    way: &'static str,
    shape: &FleetShape,
    factory: Factory<A>,
    incident: Incident,
) -> Measure {
    let mut fleet = Fleet::new(shape.clone(), Duration::from_secs(1), factory);
    for entry in 0..ENTRIES {
        fleet.publish(&format!("customer-{entry}=plan-{}", entry % 9));
    }
    fleet.run_for(SETTLE);
    fleet.reset_counts();
    let proof_age = watch_proofs(&mut fleet);
    let mut idle = idle_measure(way, &fleet, incident);
    idle.proof_age = proof_age;
    if incident == Incident::HerdReturn {
        fleet.reset_counts();
    }
    let takeover = strike(&mut fleet, incident);
    let changes = if incident == Incident::None {
        CHANGES
    } else {
        1
    };
    let mut times = Vec::new();
    let mut lagging = 0;
    for change in 0..changes {
        let version = fleet.publish(&format!("customer-{change}=gold"));
        times.extend(fleet.converge(version, LIMIT));
        lagging += fleet.lagging(version);
        fleet.run_for(Duration::from_millis(700));
    }
    times.sort_unstable();
    let live = fleet.live() * changes;
    Measure {
        times,
        reached: live - lagging,
        live,
        peak: fleet.log.peak().max(idle.peak),
        appends: fleet.log.appends,
        takeover: takeover.map(|at| takeover_time(&fleet, at)),
        ..idle
    }
}

/// Runs idle; tells the highest age of a proof that a daemon ever had.
fn watch_proofs<A: FleetActor>(fleet: &mut Fleet<A>) -> Option<Duration> {
    let end = fleet.now() + IDLE;
    let mut worst = None;
    while fleet.now() < end {
        fleet.run_for(Duration::from_millis(500));
        let actors = fleet.slots.iter().filter_map(|slot| slot.actor.as_ref());
        worst = worst.max(actors.filter_map(FleetActor::proof_age).max());
    }
    worst
}

fn idle_measure<A: FleetActor>(way: &'static str, fleet: &Fleet<A>, incident: Incident) -> Measure {
    let seconds = IDLE.as_secs_f64();
    let bytes = fleet
        .slots
        .iter()
        .map(|slot| (slot.sent + slot.received + slot.reads * READ_BYTES) as f64 / seconds)
        .collect::<Vec<_>>();
    let size = fleet.slots.len();
    Measure {
        way,
        size,
        incident,
        times: Vec::new(),
        reached: 0,
        live: 0,
        mean_bytes: bytes.iter().sum::<f64>() / size as f64,
        max_bytes: bytes.iter().copied().fold(0.0, f64::max),
        reads_per_second: fleet.log.reads as f64 / seconds,
        peak: fleet.log.peak(),
        appends: fleet.log.appends,
        proof_age: None,
        micros_per_call: fleet.spent.as_secs_f64() * 1e6 / fleet.calls.max(1) as f64,
        calls_per_second: fleet.calls as f64 / seconds / size as f64,
        takeover: None,
    }
}

/// Brings the incident about; tells since when readers are missing.
fn strike<A: FleetActor>(fleet: &mut Fleet<A>, incident: Incident) -> Option<Duration> {
    let places = 0..fleet.slots.len();
    match incident {
        Incident::None => None,
        Incident::DomainLost => {
            let domains = fleet.shape.domains;
            for place in places.filter(|place| place % domains == 1) {
                fleet.kill(place);
            }
            None
        }
        Incident::ReadersKilled => {
            let reading = places
                .filter(|place| {
                    fleet.slots[*place]
                        .actor
                        .as_ref()
                        .is_some_and(FleetActor::reads)
                })
                .collect::<Vec<_>>();
            if reading.len() == fleet.slots.len() {
                return None;
            }
            for place in reading {
                fleet.kill(place);
            }
            Some(fleet.now())
        }
        Incident::HerdReturn => {
            for place in places.clone() {
                fleet.kill(place);
            }
            fleet.run_for(Duration::from_secs(1));
            expire_config(fleet);
            for place in places {
                fleet.start(place, Duration::from_secs(1));
            }
            fleet.announce_members();
            None
        }
    }
}

/// Lets the records expire that a snapshot in the log covers.
fn expire_config<A: FleetActor>(fleet: &mut Fleet<A>) {
    if !fleet.log.stream("snapshots").records.is_empty() {
        fleet.log.stream("config").expire(1);
    }
}

/// Time from `at` until each domain had the change.
fn takeover_time<A: FleetActor>(fleet: &Fleet<A>, at: Duration) -> Duration {
    let domains = fleet.shape.domains;
    (0..domains)
        .map(|domain| {
            let slots = fleet.slots.iter().skip(domain).step_by(domains);
            let first = slots
                .filter(|slot| slot.actor.is_some())
                .map(|slot| slot.applied_at)
                .min();
            first.unwrap_or_default().saturating_sub(at)
        })
        .max()
        .unwrap_or_default()
}
