//! Cost of the distributor and the source reader in a simulated fleet.

use std::time::Duration;

use model::ConfigVersion;
use quetzal_spread::SpreadSettings;

use crate::figure::CountedFigure;
use crate::harness::actor::{FleetActor, Node, node_factory};
use crate::harness::{Fleet, FleetShape, FleetSlot, READ_BYTES};

const SEED: u64 = 61;
const SETTLE_TIME: Duration = Duration::from_secs(5);
const IDLE_TIME: Duration = Duration::from_secs(8);
/// Number of entries in the state before the measurement.
const ENTRIES: usize = 100;
/// Number of changes published in sequence.
const CHANGES: usize = 3;
/// Maximum time for a change to be applied by all daemons.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which all messages of a change have been sent.
const CHANGE_TIME: Duration = Duration::from_secs(4);
/// Interval between checks of the status shown by a daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Measures a fleet of `daemons`.
pub fn run(daemons: usize) -> Vec<CountedFigure> {
    let shape = FleetShape::sized(daemons, SEED);
    // The daemons start at random times within one second.
    let mut fleet = Fleet::new(
        shape,
        Duration::from_secs(1),
        node_factory(SpreadSettings::default()),
    );
    for entry in 0..ENTRIES {
        fleet.publish(&format!("customer-{entry}=plan-{}", entry % 9));
    }
    fleet.run_for(SETTLE_TIME);
    fleet.reset_counts();
    fleet.run_for(IDLE_TIME);
    let idle = idle_figures(&fleet);
    let idle_bytes = bytes_of_all(&fleet) / fleet.time_since_reset().as_secs_f64();
    let changes = change_figures(&mut fleet, idle_bytes);
    idle.into_iter().chain(changes).collect()
}

fn idle_figures(fleet: &Fleet<Node>) -> Vec<CountedFigure> {
    let seconds = fleet.time_since_reset().as_secs_f64();
    let is_reader = |index: &usize| {
        fleet.slots[*index]
            .actor
            .as_ref()
            .is_some_and(Node::is_log_reader)
    };
    let indices = 0..fleet.slots.len();
    let (readers, others): (Vec<_>, Vec<_>) = indices.partition(is_reader);
    let max_rate = |indices: &[usize]| {
        let bytes = indices
            .iter()
            .map(|index| bytes_of(fleet, *index) / seconds);
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
            max_rate(&others),
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
            max_rate(&readers),
        ),
        CountedFigure::new("source reader", "readers", "daemons", readers.len() as f64),
        CountedFigure::new("source reader", "reads of the log, all", "1/s", reads),
    ]
}

/// Measures the cost of changes above the idle traffic, and their duration.
fn change_figures(fleet: &mut Fleet<Node>, idle_bytes: f64) -> Vec<CountedFigure> {
    fleet.reset_counts();
    let mut slowest = Duration::ZERO;
    let mut shown = Duration::ZERO;
    for change in 0..CHANGES {
        let start = fleet.now();
        let version = fleet.publish(&format!("customer-{change}=gold"));
        let times = fleet.converge(version, CONVERGENCE_TIMEOUT);
        let timed_out = times.len() < fleet.live();
        let last_time = times.last().copied().unwrap_or(CONVERGENCE_TIMEOUT);
        slowest = slowest.max(if timed_out {
            CONVERGENCE_TIMEOUT
        } else {
            last_time
        });
        shown = shown.max(time_shown(fleet, version, start));
        fleet.run_until(start + CHANGE_TIME);
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

/// Returns the time until a daemon that does not read the log shows the version as in force
/// everywhere.
fn time_shown(fleet: &mut Fleet<Node>, version: ConfigVersion, start: Duration) -> Duration {
    let is_not_reader = |slot: &FleetSlot<Node>| {
        slot.actor
            .as_ref()
            .is_some_and(|node| !node.is_log_reader())
    };
    let Some(observer) = fleet.slots.iter().position(is_not_reader) else {
        return CONVERGENCE_TIMEOUT;
    };
    while fleet.now() < start + CHANGE_TIME {
        let node = fleet.slots[observer].actor.as_ref();
        if node.is_some_and(|node| node.shows_in_force(version)) {
            return fleet.now().saturating_sub(start);
        }
        fleet.run_for(POLL_INTERVAL);
    }
    CONVERGENCE_TIMEOUT
}

fn bytes_of(fleet: &Fleet<Node>, index: usize) -> f64 {
    let slot = &fleet.slots[index];
    (slot.sent + slot.received + slot.reads * READ_BYTES) as f64
}

fn bytes_of_all(fleet: &Fleet<Node>) -> f64 {
    let indices = 0..fleet.slots.len();
    indices.map(|index| bytes_of(fleet, index)).sum()
}
