//! Rendering of the tables of `docs/CAPACITY.md` and their replacement in the page.

use comfy_table::{Table, presets};

use crate::budget::BudgetLine;
use crate::figure::{FigureRow, format_value, rounded};
use crate::model::RunRows;

/// Markers of the page around the counted tables.
const COUNTED_BEGIN: &str = "<!-- counted: begin -->";
const COUNTED_END: &str = "<!-- counted: end -->";

/// Markers of the page around the timed table, which no test compares.
const TIMED_BEGIN: &str = "<!-- timed: begin -->";
const TIMED_END: &str = "<!-- timed: end -->";

/// Renders the counted tables: each run with its sizes, then the budget.
pub fn render_tables(runs: &[RunRows], budget: &[BudgetLine]) -> String {
    let mut parts: Vec<String> = runs
        .iter()
        .map(|run| format!("By {}:\n\n{}\n", run.size_of, run_table(run)))
        .collect();
    parts.push(format!("Against the budget:\n\n{}\n", budget_table(budget)));
    parts.join("\n")
}

fn new_markdown_table() -> Table {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table
}

fn run_table(run: &RunRows) -> Table {
    let mut table = new_markdown_table();
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
    let fit = row.linear_fit();
    let mut cells = vec![
        row.role.to_owned(),
        row.what.to_owned(),
        row.unit.to_owned(),
    ];
    cells.extend(row.points.iter().map(|point| format_value(point.1)));
    cells.push(format_value(rounded(fit.intercept)));
    cells.push(format!("{:.3}", fit.slope));
    cells.push(format_value(row.predicted()));
    let counted = row.counted();
    let deviation = rounded((row.predicted() - counted) * 100.0 / counted);
    cells.push(if counted == 0.0 {
        "-".to_owned()
    } else {
        format!("{:.0}", deviation.round() + 0.0)
    });
    cells
}

fn budget_table(budget: &[BudgetLine]) -> Table {
    let mut table = new_markdown_table();
    table.set_header(["budget", "role", "part", "unit", "found", "most", ""]);
    for line in budget {
        let status = match line.limit {
            None => "",
            Some(_) if line.is_exceeded() => "EXCEEDED",
            Some(_) => "held",
        };
        table.add_row([
            line.what.to_owned(),
            line.role.to_owned(),
            line.part.to_owned(),
            line.unit.to_owned(),
            format_value(line.value),
            line.limit.map_or(String::new(), format_value),
            status.to_owned(),
        ]);
    }
    table
}

/// Returns the counted tables of a page; `None` without the markers.
pub fn counted_tables(page: &str) -> Option<&str> {
    let (_, rest) = page.split_once(COUNTED_BEGIN)?;
    let (tables, _) = rest.split_once(COUNTED_END)?;
    Some(tables.trim())
}

/// Returns the page with its counted and timed tables replaced.
pub fn replace_tables(page: &str, counted: &str, timed: &str) -> Option<String> {
    let page = replace_section(page, (COUNTED_BEGIN, COUNTED_END), counted)?;
    replace_section(&page, (TIMED_BEGIN, TIMED_END), timed)
}

fn replace_section(page: &str, (begin, end): (&str, &str), text: &str) -> Option<String> {
    let (before, rest) = page.split_once(begin)?;
    let (_, after) = rest.split_once(end)?;
    let text = text.trim();
    Some(format!("{before}{begin}\n\n{text}\n\n{end}{after}"))
}

/// Returns the trimmed cells of each line of the tables in `text`.
pub fn table_cells(text: &str) -> Vec<Vec<&str>> {
    let lines = text.lines().filter(|line| line.starts_with('|'));
    lines
        .map(|line| line.trim_matches('|').split('|').map(str::trim).collect())
        .collect()
}
