//! Comparison of the counted figures of all roles with the budget.
//!
//! Every daemon is a distributor, a member and a keeper of limit shares; ten of
//! them are also key homes. A plain daemon is charged the maximum of any single
//! daemon in each role. A home is charged its own figures and the mean of the
//! other roles. The sum of the maxima of all roles is checked as well: homes,
//! readers and share keepers are selected by different hashes, so it is
//! unlikely but possible that one daemon reaches it.

use crate::figure::{FigureRow, rounded};
use crate::model::RunRows;

/// Maximum control traffic of a daemon, sent and received, in bytes per second.
const MAX_CONTROL_BYTES: f64 = 10_000.0;
/// Maximum memory of a daemon in kB.
const MAX_MEMORY_KB: f64 = 32_000.0;
/// Maximum time in ms until a change, or the loss of a VM, is known.
const MAX_CONVERGENCE_MS: f64 = 15_000.0;
/// Maximum number of log requests per second.
const MAX_LOG_REQUESTS: f64 = 300.0;
/// Maximum percentage of calls that wait for a permit; 99 of 100 calls may be delayed by at most
/// 1.1 ms.
const MAX_LATE_CALLS: f64 = 1.0;
/// Seconds in a day, and the number of configuration changes in it.
const DAY_S: f64 = 86_400.0;
const DAY_CHANGES: f64 = 250.0;

/// A line of the budget table: one part of a sum, or a sum or single figure with its limit.
#[derive(Clone, Debug)]
pub struct BudgetLine {
    /// Name of the budget.
    pub what: &'static str,
    /// Role that is charged, or `all`.
    pub role: &'static str,
    /// Figure that is charged, or `sum`.
    pub part: &'static str,
    /// Charged value.
    pub value: f64,
    /// Limit of the budget; `None` for a part of a sum.
    pub limit: Option<f64>,
    /// Unit of the value.
    pub unit: &'static str,
}

impl BudgetLine {
    /// Returns whether the value exceeds its limit.
    pub fn is_exceeded(&self) -> bool {
        self.limit.is_some_and(|limit| self.value > limit)
    }
}

/// Role and name of a figure that is part of a budget.
type FigureName = (&'static str, &'static str);

/// Role, name and value of a part.
type NamedCharge = (&'static str, &'static str, f64);

const PLAIN_PARTS: [FigureName; 3] = [
    ("distributor", "control at rest, most of one"),
    ("member", "control, sent and received"),
    ("share keeper", "control, most of one"),
];

const HOME_PARTS: [FigureName; 5] = [
    ("distributor", "control at rest, mean"),
    ("member", "control, sent and received"),
    ("share keeper", "control, mean"),
    ("key home", "permits fetched"),
    ("key home", "leases on the log"),
];

const WORST_CASE_PARTS: [FigureName; 5] = [
    ("distributor", "control at rest, most of one"),
    ("member", "control, sent and received"),
    ("share keeper", "control, most of one"),
    ("key home", "permits fetched"),
    ("key home", "leases on the log"),
];

const MEMORY_PARTS: [FigureName; 4] = [
    ("member", "table of members"),
    ("key home", "tables of keys"),
    ("key home", "stored answers"),
    ("proxy", "snapshot with a full past"),
];

const LOG_PARTS: [FigureName; 4] = [
    ("source reader", "reads of the log, all"),
    ("member", "requests to the log, all"),
    ("key home", "lease appends, all"),
    ("key home", "lease reads, all"),
];

const TIME_PARTS: [FigureName; 3] = [
    ("distributor", "a change in force on all"),
    ("operator's command", "a change shown as in force on all"),
    ("member", "a crash known by 99%"),
];

/// Returns the lines of all budgets; a sum follows its parts.
pub fn budget(runs: &[RunRows]) -> Vec<BudgetLine> {
    let rows: Vec<&FigureRow> = runs.iter().flat_map(|run| &run.rows).collect();
    let mut lines = Vec::new();
    let changes = ("distributor", "changes of a day", change_bytes(&rows));
    let control_budgets: [(&'static str, &[FigureName]); 3] = [
        ("control of a plain daemon", &PLAIN_PARTS),
        ("control of a home of keys", &HOME_PARTS),
        ("control, the most of each role", &WORST_CASE_PARTS),
    ];
    for (what, names) in control_budgets {
        let mut control = parts(&rows, names);
        control.push(changes);
        add_sum(&mut lines, what, "B/s", control, MAX_CONTROL_BYTES);
    }
    let memory = parts(&rows, &MEMORY_PARTS);
    add_sum(
        &mut lines,
        "counted memory of one daemon",
        "kB",
        memory,
        MAX_MEMORY_KB,
    );
    let mut log_requests = parts(&rows, &LOG_PARTS);
    log_requests.push((
        "operator's command",
        "changes of a day",
        DAY_CHANGES / DAY_S,
    ));
    add_sum(
        &mut lines,
        "requests to the log",
        "1/s",
        log_requests,
        MAX_LOG_REQUESTS,
    );
    for (role, part, value) in parts(&rows, &TIME_PARTS) {
        lines.push(limit_line(
            "time",
            (role, part),
            value,
            "ms",
            MAX_CONVERGENCE_MS,
        ));
    }
    let late_calls = parts(&rows, &[("key home", "calls that wait for a permit")]);
    for (role, part, value) in late_calls {
        lines.push(limit_line(
            "calls that wait",
            (role, part),
            value,
            "%",
            MAX_LATE_CALLS,
        ));
    }
    lines
}

/// Returns the bytes per second of one daemon for the changes of a day.
fn change_bytes(rows: &[&FigureRow]) -> f64 {
    let parts = parts(rows, &[("distributor", "bytes of one change")]);
    parts.iter().map(|part| part.2).sum::<f64>() * DAY_CHANGES / DAY_S
}

fn parts(rows: &[&FigureRow], names: &[FigureName]) -> Vec<NamedCharge> {
    let charge = |name: &FigureName| {
        let has_name = |row: &&&FigureRow| (row.role, row.what) == *name;
        let row = rows.iter().find(has_name);
        (
            name.0,
            name.1,
            row.expect("every part of a budget is measured").counted(),
        )
    };
    names.iter().map(charge).collect()
}

fn add_sum(
    lines: &mut Vec<BudgetLine>,
    what: &'static str,
    unit: &'static str,
    parts: Vec<NamedCharge>,
    limit: f64,
) {
    let sum = parts.iter().map(|part| part.2).sum();
    for (role, part, value) in parts {
        lines.push(BudgetLine {
            what,
            role,
            part,
            value: rounded(value),
            limit: None,
            unit,
        });
    }
    lines.push(limit_line(what, ("all", "sum"), sum, unit, limit));
}

fn limit_line(
    what: &'static str,
    (role, part): FigureName,
    value: f64,
    unit: &'static str,
    limit: f64,
) -> BudgetLine {
    BudgetLine {
        what,
        role,
        part,
        value: rounded(value),
        limit: Some(limit),
        unit,
    }
}
