//! The page holds what the state machines cost.

use std::path::Path;

use quetzal_capacity::budget::budget;
use quetzal_capacity::figure::shown;
use quetzal_capacity::model::{RUNS, RunRows, measure};
use quetzal_capacity::page::{cells, held, tables};
use quetzal_capacity::slope::CostSlope;

/// Sizes that run in a debug build in reasonable time; the bench runs all.
const SMALL_SIZES: usize = 2;
/// Cells of a line before the counts.
const NAMES: usize = 3;
/// The command that brings the page up to date.
const HINT: &str = "run `cargo bench --bench capacity -- --write`";

fn page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CAPACITY.md");
    std::fs::read_to_string(path).expect("the page exists")
}

fn find<'a>(lines: &[Vec<&'a str>], role: &str, what: &str) -> Vec<&'a str> {
    let same = |line: &&Vec<&str>| line[0] == role && line[1] == what;
    let line = lines.iter().find(same);
    line.unwrap_or_else(|| panic!("the page lacks {role}, {what}; {HINT}"))
        .clone()
}

/// The runs with the counts of the page at every size.
fn filled(measured: &[RunRows], lines: &[Vec<&str>]) -> Vec<RunRows> {
    let mut runs = measured.to_vec();
    for (run, known) in runs.iter_mut().zip(RUNS) {
        run.sizes = known.sizes.to_vec();
        for row in &mut run.rows {
            let line = find(lines, row.role, row.what);
            let counts = line[NAMES..].iter().map(|cell| cell.parse().unwrap());
            row.points = known.sizes.into_iter().zip(counts).collect();
        }
    }
    runs
}

#[test]
fn page_and_model_agree() {
    let page = page();
    let held = held(&page).expect("the page marks its counted tables");
    let lines = cells(held);
    let measured = measure(SMALL_SIZES);
    for row in measured.iter().flat_map(|run| &run.rows) {
        let line = find(&lines, row.role, row.what);
        let counts: Vec<String> = row.points.iter().map(|point| shown(point.1)).collect();
        let on_page = &line[NAMES..NAMES + SMALL_SIZES];
        assert_eq!(on_page, counts, "{}, {}; {HINT}", row.role, row.what);
    }
    let runs = filled(&measured, &lines);
    let lines = budget(&runs);
    assert_eq!(held, tables(&runs, &lines).trim(), "{HINT}");
    assert!(
        !lines
            .iter()
            .any(quetzal_capacity::budget::BudgetLine::is_exceeded)
    );
}

#[test]
fn line_goes_through_points() {
    let slope = CostSlope::through(&[(30.0, 70.0), (90.0, 190.0), (270.0, 550.0)]);
    assert!((slope.at(720.0) - 1450.0).abs() < 1e-6);
    let level = CostSlope::through(&[(30.0, 5.0)]);
    assert!((level.at(720.0) - 5.0).abs() < 1e-9);
}

#[test]
fn budget_shows_what_breaks_it() {
    let mut runs = measure(1);
    let row = runs.iter_mut().flat_map(|run| &mut run.rows);
    let mut row = row.filter(|row| row.what == "control, sent and received");
    row.next().expect("members are run").points = vec![(30, 9_000.0)];
    let lines = budget(&runs);
    let exceeded = lines.iter().filter(|line| line.is_exceeded());
    let exceeded: Vec<&str> = exceeded.map(|line| line.what).collect();
    assert!(
        exceeded.contains(&"control of a home of keys"),
        "{exceeded:?}"
    );
}
