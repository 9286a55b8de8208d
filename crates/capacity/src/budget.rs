//! The counted figures of all roles against the target's budget.
//!
//! Any daemon distributes, is a member and keeps shares of limits; ten of them
//! are homes of keys besides. A plain daemon is charged with the most that any
//! one was counted with in each role, a home with its own figures and the mean
//! of the others'. The sum of the most in every role is judged too: homes,
//! readers and keepers are chosen by different hashes, so hardly a daemon
//! comes to it, but one may.

use crate::figure::{FigureRow, rounded};
use crate::model::RunRows;

/// Control bytes a daemon may send and receive in a second.
const CONTROL_BYTES: f64 = 10_000.0;
/// Memory of a daemon, in kB.
const MEMORY_KB: f64 = 32_000.0;
/// Time for a change, and for news of a lost VM, in ms.
const CONVERGENCE_MS: f64 = 15_000.0;
/// Requests that the log takes in a second.
const LOG_REQUESTS: f64 = 300.0;
/// Of a hundred calls, one may take longer than the added 1.1 ms.
const LATE_CALLS: f64 = 1.0;
/// Seconds of a day, and changes in it.
const DAY_S: f64 = 86_400.0;
const DAY_CHANGES: f64 = 250.0;

/// A sum of figures and the most that it may be.
#[derive(Clone, Debug)]
pub struct BudgetLine {
    /// What is limited.
    pub what: &'static str,
    /// The role whose part is charged, or all.
    pub role: &'static str,
    /// The figure that is charged, or the sum.
    pub part: &'static str,
    /// The part.
    pub found: f64,
    /// The limit of the whole, on the line of the sum.
    pub most: Option<f64>,
    /// Its unit.
    pub unit: &'static str,
}

impl BudgetLine {
    /// Whether the sum is above its limit.
    pub fn is_exceeded(&self) -> bool {
        self.most.is_some_and(|most| self.found > most)
    }
}

/// A part of a budget: the role and what it is charged with.
type PartName = (&'static str, &'static str);

/// A part with its charge.
type PartCharge = (&'static str, &'static str, f64);

const PLAIN_PARTS: [PartName; 3] = [
    ("distributor", "control at rest, most of one"),
    ("member", "control, sent and received"),
    ("share keeper", "control, most of one"),
];

const HOME_PARTS: [PartName; 5] = [
    ("distributor", "control at rest, mean"),
    ("member", "control, sent and received"),
    ("share keeper", "control, mean"),
    ("key home", "permits fetched"),
    ("key home", "leases on the log"),
];

const WORST_PARTS: [PartName; 5] = [
    ("distributor", "control at rest, most of one"),
    ("member", "control, sent and received"),
    ("share keeper", "control, most of one"),
    ("key home", "permits fetched"),
    ("key home", "leases on the log"),
];

const MEMORY_PARTS: [PartName; 4] = [
    ("member", "table of members"),
    ("key home", "tables of keys"),
    ("key home", "stored answers"),
    ("proxy", "snapshot with a full past"),
];

const LOG_PARTS: [PartName; 4] = [
    ("source reader", "reads of the log, all"),
    ("member", "requests to the log, all"),
    ("key home", "lease appends, all"),
    ("key home", "lease reads, all"),
];

const TIMES: [PartName; 3] = [
    ("distributor", "a change in force on all"),
    ("operator's command", "a change shown as in force on all"),
    ("member", "a crash known by 99%"),
];

/// All budgets, each with its parts before its sum.
pub fn budget(runs: &[RunRows]) -> Vec<BudgetLine> {
    let rows: Vec<&FigureRow> = runs.iter().flat_map(|run| &run.rows).collect();
    let mut lines = Vec::new();
    let changes = ("distributor", "changes of a day", change_bytes(&rows));
    let kinds: [(&'static str, &[PartName]); 3] = [
        ("control of a plain daemon", &PLAIN_PARTS),
        ("control of a home of keys", &HOME_PARTS),
        ("control, the most of each role", &WORST_PARTS),
    ];
    for (what, names) in kinds {
        let mut control = parts(&rows, names);
        control.push(changes);
        add_sum(&mut lines, what, "B/s", control, CONTROL_BYTES);
    }
    let memory = parts(&rows, &MEMORY_PARTS);
    add_sum(
        &mut lines,
        "counted memory of one daemon",
        "kB",
        memory,
        MEMORY_KB,
    );
    let mut log = parts(&rows, &LOG_PARTS);
    log.push((
        "operator's command",
        "changes of a day",
        DAY_CHANGES / DAY_S,
    ));
    add_sum(&mut lines, "requests to the log", "1/s", log, LOG_REQUESTS);
    for (role, part, found) in parts(&rows, &TIMES) {
        lines.push(limit("time", (role, part), found, "ms", CONVERGENCE_MS));
    }
    let late = parts(&rows, &[("key home", "calls that wait for a permit")]);
    for (role, part, found) in late {
        lines.push(limit(
            "calls that wait",
            (role, part),
            found,
            "%",
            LATE_CALLS,
        ));
    }
    lines
}

/// Bytes a second for the changes of a day, by one daemon.
fn change_bytes(rows: &[&FigureRow]) -> f64 {
    let parts = parts(rows, &[("distributor", "bytes of one change")]);
    parts.iter().map(|part| part.2).sum::<f64>() * DAY_CHANGES / DAY_S
}

fn parts(rows: &[&FigureRow], names: &[PartName]) -> Vec<PartCharge> {
    let charge = |name: &PartName| {
        let same = |row: &&&FigureRow| (row.role, row.what) == *name;
        let row = rows.iter().find(same);
        (
            name.0,
            name.1,
            row.expect("every part of a budget is run").counted(),
        )
    };
    names.iter().map(charge).collect()
}

fn add_sum(
    lines: &mut Vec<BudgetLine>,
    what: &'static str,
    unit: &'static str,
    parts: Vec<PartCharge>,
    most: f64,
) {
    let sum = parts.iter().map(|part| part.2).sum();
    for (role, part, found) in parts {
        lines.push(BudgetLine {
            what,
            role,
            part,
            found: rounded(found),
            most: None,
            unit,
        });
    }
    lines.push(limit(what, ("all", "sum"), sum, unit, most));
}

fn limit(
    what: &'static str,
    (role, part): PartName,
    found: f64,
    unit: &'static str,
    most: f64,
) -> BudgetLine {
    BudgetLine {
        what,
        role,
        part,
        found: rounded(found),
        most: Some(most),
        unit,
    }
}
