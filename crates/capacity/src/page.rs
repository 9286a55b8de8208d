//! The tables of `docs/CAPACITY.md`, and where they stand in it.

use comfy_table::{Table, presets};

use crate::budget::BudgetLine;
use crate::figure::{FigureRow, rounded, shown};
use crate::model::RunRows;

/// Lines of the page around the counted tables.
const BEGIN: &str = "<!-- counted: begin -->";
const END: &str = "<!-- counted: end -->";

/// Lines of the page around the timed table, which no test compares.
const TIMED_BEGIN: &str = "<!-- timed: begin -->";
const TIMED_END: &str = "<!-- timed: end -->";

/// The counted tables: each run over its sizes, then the budget.
pub fn tables(runs: &[RunRows], budget: &[BudgetLine]) -> String {
    let mut parts: Vec<String> = runs
        .iter()
        .map(|run| format!("By {}:\n\n{}\n", run.size_of, run_table(run)))
        .collect();
    parts.push(format!("Against the budget:\n\n{}\n", budget_table(budget)));
    parts.join("\n")
}

fn markdown() -> Table {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table
}

fn run_table(run: &RunRows) -> Table {
    let mut table = markdown();
    let sizes = run.sizes.iter().map(ToString::to_string);
    let head = ["role", "figure", "unit"].map(str::to_owned).into_iter();
    let tail = ["base", "for each", "line", "off %"].map(str::to_owned);
    table.set_header(head.chain(sizes).chain(tail));
    for row in &run.rows {
        table.add_row(run_cells(row));
    }
    table
}

fn run_cells(row: &FigureRow) -> Vec<String> {
    let slope = row.slope();
    let mut cells = vec![
        row.role.to_owned(),
        row.what.to_owned(),
        row.unit.to_owned(),
    ];
    cells.extend(row.points.iter().map(|point| shown(point.1)));
    cells.push(shown(rounded(slope.base)));
    cells.push(format!("{:.3}", slope.rise));
    cells.push(shown(row.foretold()));
    let counted = row.counted();
    let off = rounded((row.foretold() - counted) * 100.0 / counted);
    cells.push(if counted == 0.0 {
        "-".to_owned()
    } else {
        format!("{:.0}", off.round() + 0.0)
    });
    cells
}

fn budget_table(budget: &[BudgetLine]) -> Table {
    let mut table = markdown();
    table.set_header(["budget", "role", "part", "unit", "found", "most", ""]);
    for line in budget {
        let mark = match line.most {
            None => "",
            Some(_) if line.is_exceeded() => "EXCEEDED",
            Some(_) => "held",
        };
        table.add_row([
            line.what.to_owned(),
            line.role.to_owned(),
            line.part.to_owned(),
            line.unit.to_owned(),
            shown(line.found),
            line.most.map_or(String::new(), shown),
            mark.to_owned(),
        ]);
    }
    table
}

/// The counted tables that a page holds; none without the marking lines.
pub fn held(page: &str) -> Option<&str> {
    let (_, rest) = page.split_once(BEGIN)?;
    let (tables, _) = rest.split_once(END)?;
    Some(tables.trim())
}

/// The page with these counted and timed tables in place of those that it holds.
pub fn rewritten(page: &str, counted: &str, timed: &str) -> Option<String> {
    let page = replaced(page, (BEGIN, END), counted)?;
    replaced(&page, (TIMED_BEGIN, TIMED_END), timed)
}

fn replaced(page: &str, (begin, end): (&str, &str), text: &str) -> Option<String> {
    let (before, rest) = page.split_once(begin)?;
    let (_, after) = rest.split_once(end)?;
    let text = text.trim();
    Some(format!("{before}{begin}\n\n{text}\n\n{end}{after}"))
}

/// The cells of the lines of every table in `text`, without blanks around them.
pub fn cells(text: &str) -> Vec<Vec<&str>> {
    let lines = text.lines().filter(|line| line.starts_with('|'));
    lines
        .map(|line| line.trim_matches('|').split('|').map(str::trim).collect())
        .collect()
}
