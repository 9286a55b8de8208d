//! Rows of the result table: a measured value, its bound and the all-to-all baseline.

use comfy_table::Table;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fleet::MESSAGE_OVERHEAD;
use crate::normal::STEADY_SPAN;
use crate::{CRASHES, FleetSize, LOSS};

/// Encoded size of a plain heartbeat: id, incarnation and sequence number, in bytes.
const HEARTBEAT_BYTES: u64 = 20;
/// Missed heartbeats after which the baseline considers a daemon dead.
const MISSED_HEARTBEATS: u64 = 4;

/// A row of the result table.
#[derive(Clone, Debug)]
pub(crate) struct Figure {
    pub(crate) scenario: &'static str,
    pub(crate) measure: &'static str,
    pub(crate) value: f64,
    pub(crate) unit: &'static str,
    pub(crate) bound: Option<f64>,
    pub(crate) baseline: Option<f64>,
}

pub(crate) fn figure(
    scenario: &'static str,
    measure: &'static str,
    value: f64,
    unit: &'static str,
) -> Figure {
    Figure {
        scenario,
        measure,
        value,
        unit,
        bound: None,
        baseline: None,
    }
}

impl Figure {
    pub(crate) fn at_most(mut self, bound: f64) -> Self {
        self.bound = Some(bound);
        self
    }

    pub(crate) fn against(mut self, baseline: f64) -> Self {
        self.baseline = Some(baseline);
        self
    }

    pub(crate) fn is_exceeded(&self) -> bool {
        self.bound.is_some_and(|bound| self.value > bound)
    }
}

/// The baseline, in which each daemon sends a heartbeat to every other daemon each second: bytes
/// per second of one daemon, false deaths in the whole fleet, and detection times in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AllToAll {
    pub(crate) bytes: f64,
    pub(crate) false_deaths: f64,
    pub(crate) detection_median: f64,
    pub(crate) detection_longest: f64,
}

pub(crate) fn all_to_all(size: FleetSize) -> AllToAll {
    let mut rng = SmallRng::seed_from_u64(9);
    let others = size.count as u64 - 1;
    let seconds = STEADY_SPAN.as_secs();
    let mut false_deaths = 0;
    for _ in 0..size.count as u64 * others {
        let mut missed = 0;
        for _ in 0..seconds {
            missed = if rng.random_bool(LOSS) { missed + 1 } else { 0 };
            false_deaths += u64::from(missed == MISSED_HEARTBEATS);
        }
    }
    let mut times: Vec<f64> = (0..CRASHES)
        .map(|_| MISSED_HEARTBEATS as f64 - rng.random::<f64>())
        .collect();
    times.sort_by(f64::total_cmp);
    AllToAll {
        bytes: (others * (HEARTBEAT_BYTES + MESSAGE_OVERHEAD)) as f64,
        false_deaths: false_deaths as f64,
        detection_median: times[CRASHES / 2],
        detection_longest: times[CRASHES - 1],
    }
}

pub(crate) fn table_of(figures: &[(FleetSize, Figure)]) -> Table {
    let mut table = Table::new();
    table.set_header([
        "daemons",
        "scenario",
        "measure",
        "value",
        "bound",
        "all to all",
        "",
    ]);
    for (size, figure) in figures {
        let number = |value: f64| format!("{value:.1} {}", figure.unit);
        table.add_row([
            size.count.to_string(),
            figure.scenario.to_owned(),
            figure.measure.to_owned(),
            number(figure.value),
            figure.bound.map(number).unwrap_or_default(),
            figure.baseline.map(number).unwrap_or_default(),
            if figure.is_exceeded() { "EXCEEDED" } else { "" }.to_owned(),
        ]);
    }
    table
}
