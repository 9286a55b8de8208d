//! Compares `docs/CAPACITY.md` with the figures of the state machines.

use std::path::Path;

use quetzal_capacity::budget::budget;
use quetzal_capacity::figure::format_value;
use quetzal_capacity::model::{RUNS, RunRows, measure};
use quetzal_capacity::page::{counted_tables, render_tables, table_cells};
use quetzal_capacity::slope::LinearFit;

/// Number of sizes that run in reasonable time in a debug build; the bench runs all.
const SMALL_SIZES: usize = 2;
/// Number of cells of a line before the counts.
const NAME_CELLS: usize = 3;
/// The command that updates the page.
const UPDATE_HINT: &str = "run `cargo bench --bench capacity -- --write`";

fn read_page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CAPACITY.md");
    std::fs::read_to_string(path).expect("docs/CAPACITY.md exists")
}

fn find_line<'a>(lines: &[Vec<&'a str>], role: &str, what: &str) -> Vec<&'a str> {
    let has_name = |line: &&Vec<&str>| line[0] == role && line[1] == what;
    let line = lines.iter().find(has_name);
    line.unwrap_or_else(|| panic!("the page lacks {role}, {what}; {UPDATE_HINT}"))
        .clone()
}

/// Returns the runs with the counts of the page at all sizes.
fn with_page_counts(measured: &[RunRows], lines: &[Vec<&str>]) -> Vec<RunRows> {
    let mut runs = measured.to_vec();
    for (run, known) in runs.iter_mut().zip(RUNS) {
        run.sizes = known.sizes.to_vec();
        for row in &mut run.rows {
            let line = find_line(lines, row.role, row.what);
            let counts = line[NAME_CELLS..].iter().map(|cell| cell.parse().unwrap());
            row.points = known.sizes.into_iter().zip(counts).collect();
        }
    }
    runs
}

#[test]
fn page_matches_measured_figures() {
    let page = read_page();
    let page_tables =
        counted_tables(&page).expect("the page contains the markers of the counted tables");
    let lines = table_cells(page_tables);
    let measured = measure(SMALL_SIZES);
    for row in measured.iter().flat_map(|run| &run.rows) {
        let line = find_line(&lines, row.role, row.what);
        let counts: Vec<String> = row
            .points
            .iter()
            .map(|point| format_value(point.1))
            .collect();
        let page_counts = &line[NAME_CELLS..NAME_CELLS + SMALL_SIZES];
        assert_eq!(
            page_counts, counts,
            "{}, {}; {UPDATE_HINT}",
            row.role, row.what
        );
    }
    let runs = with_page_counts(&measured, &lines);
    let lines = budget(&runs);
    assert_eq!(
        page_tables,
        render_tables(&runs, &lines).trim(),
        "{UPDATE_HINT}"
    );
    assert!(
        !lines
            .iter()
            .any(quetzal_capacity::budget::BudgetLine::is_exceeded)
    );
}

#[test]
fn linear_fit_passes_through_points_on_a_line() {
    let fit = LinearFit::fit(&[(30.0, 70.0), (90.0, 190.0), (270.0, 550.0)]);
    assert!((fit.value_at(720.0) - 1450.0).abs() < 1e-6);
    let horizontal = LinearFit::fit(&[(30.0, 5.0)]);
    assert!((horizontal.value_at(720.0) - 5.0).abs() < 1e-9);
}

#[test]
fn exceeded_budget_is_reported() {
    let mut runs = measure(1);
    let row = runs.iter_mut().flat_map(|run| &mut run.rows);
    let mut row = row.filter(|row| row.what == "control, sent and received");
    row.next().expect("the member run has this figure").points = vec![(30, 9_000.0)];
    let lines = budget(&runs);
    let exceeded = lines.iter().filter(|line| line.is_exceeded());
    let exceeded: Vec<&str> = exceeded.map(|line| line.what).collect();
    assert!(
        exceeded.contains(&"control of a home of keys"),
        "{exceeded:?}"
    );
}
