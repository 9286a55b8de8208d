//! The distributor and the source reader, as counted in a fleet of state machines.

use std::time::Duration;

use model::ConfigVersion;
use quetzal_spread::SpreadSettings;

use crate::figure::CountedFigure;
use crate::harness::actor::{FleetActor, Node, node_factory};
use crate::harness::{Fleet, FleetShape, FleetSlot, READ_BYTES};

const SEED: u64 = 61;
const SETTLE: Duration = Duration::from_secs(5);
const WATCH: Duration = Duration::from_secs(8);
/// Entries of the state before the measurement.
const ENTRIES: usize = 100;
/// Changes published, one after another.
const CHANGES: usize = 3;
/// Longest wait for a change.
const LIMIT: Duration = Duration::from_secs(30);
/// Time in which what belongs to a change has been sent.
const CHANGE_SPAN: Duration = Duration::from_secs(4);
/// Time between two looks at what a daemon shows.
const STEP: Duration = Duration::from_millis(20);

/// Figures of a fleet of `daemons`.
pub fn run(daemons: usize) -> Vec<CountedFigure> {
    let shape = FleetShape::sized(daemons, SEED);
    let mut fleet = Fleet::new(
        shape,
        Duration::from_secs(1),
        node_factory(SpreadSettings::default()),
    );
    for entry in 0..ENTRIES {
        fleet.publish(&format!("customer-{entry}=plan-{}", entry % 9));
    }
    fleet.run_for(SETTLE);
    fleet.reset_counts();
    fleet.run_for(WATCH);
    let idle = idle_figures(&fleet);
    let idle_bytes = bytes_of_all(&fleet) / fleet.time_since_reset().as_secs_f64();
    let changes = change_figures(&mut fleet, idle_bytes);
    idle.into_iter().chain(changes).collect()
}

fn idle_figures(fleet: &Fleet<Node>) -> Vec<CountedFigure> {
    let seconds = fleet.time_since_reset().as_secs_f64();
    let reading = |place: &usize| {
        fleet.slots[*place]
            .actor
            .as_ref()
            .is_some_and(Node::is_log_reader)
    };
    let places = 0..fleet.slots.len();
    let (readers, others): (Vec<_>, Vec<_>) = places.partition(reading);
    let most = |places: &[usize]| {
        let bytes = places.iter().map(|place| bytes_of(fleet, *place) / seconds);
        bytes.fold(0.0, f64::max)
    };
    let daemons = fleet.slots.len() as f64;
    let reads = fleet.log.reads as f64 / seconds;
    vec![
        CountedFigure::new(
            "distributor",
            "control at rest, mean",
            "B/s",
            bytes_of_all(fleet) / seconds / daemons,
        ),
        CountedFigure::new(
            "distributor",
            "control at rest, most of one",
            "B/s",
            most(&others),
        ),
        CountedFigure::new(
            "distributor",
            "messages at rest",
            "1/s",
            fleet.messages as f64 / seconds / daemons,
        ),
        CountedFigure::new(
            "source reader",
            "control at rest, most of one",
            "B/s",
            most(&readers),
        ),
        CountedFigure::new("source reader", "readers", "daemons", readers.len() as f64),
        CountedFigure::new("source reader", "reads of the log, all", "1/s", reads),
    ]
}

/// What changes cost beyond the fleet at rest, and how long they take.
fn change_figures(fleet: &mut Fleet<Node>, idle_bytes: f64) -> Vec<CountedFigure> {
    fleet.reset_counts();
    let mut slowest = Duration::ZERO;
    let mut shown = Duration::ZERO;
    for change in 0..CHANGES {
        let begun = fleet.now();
        let version = fleet.publish(&format!("customer-{change}=gold"));
        let times = fleet.converge(version, LIMIT);
        let missed = times.len() < fleet.live();
        let last = times.last().copied().unwrap_or(LIMIT);
        slowest = slowest.max(if missed { LIMIT } else { last });
        shown = shown.max(time_shown(fleet, version, begun));
        fleet.run_until(begun + CHANGE_SPAN);
    }
    let idle = idle_bytes * fleet.time_since_reset().as_secs_f64();
    let extra = (bytes_of_all(fleet) - idle).max(0.0);
    let per_change = extra / fleet.slots.len() as f64 / CHANGES as f64;
    vec![
        CountedFigure::new("distributor", "bytes of one change", "B", per_change),
        CountedFigure::new(
            "distributor",
            "a change in force on all",
            "ms",
            slowest.as_millis() as f64,
        ),
        CountedFigure::new(
            "operator's command",
            "a change shown as in force on all",
            "ms",
            shown.as_millis() as f64,
        ),
    ]
}

/// Time until a daemon that does not read the log shows the version as in force everywhere.
fn time_shown(fleet: &mut Fleet<Node>, version: ConfigVersion, begun: Duration) -> Duration {
    let is_other = |slot: &FleetSlot<Node>| {
        slot.actor
            .as_ref()
            .is_some_and(|node| !node.is_log_reader())
    };
    let Some(asked) = fleet.slots.iter().position(is_other) else {
        return LIMIT;
    };
    while fleet.now() < begun + CHANGE_SPAN {
        let node = fleet.slots[asked].actor.as_ref();
        if node.is_some_and(|node| node.shows_in_force(version)) {
            return fleet.now().saturating_sub(begun);
        }
        fleet.run_for(STEP);
    }
    LIMIT
}

fn bytes_of(fleet: &Fleet<Node>, place: usize) -> f64 {
    let slot = &fleet.slots[place];
    (slot.sent + slot.received + slot.reads * READ_BYTES) as f64
}

fn bytes_of_all(fleet: &Fleet<Node>) -> f64 {
    let places = 0..fleet.slots.len();
    places.map(|place| bytes_of(fleet, place)).sum()
}
