//! Measures the tables of `docs/CAPACITY.md`.
//!
//! Prints the counted tables, compares them with the page and the budget, and
//! exits with code 1 if they differ or exceed it. CPU times and heap memory are
//! printed with a timestamp but not checked. `-- --write` rewrites the page.

use std::alloc::System;
use std::process::ExitCode;

use quetzal_capacity::budget::budget;
use quetzal_capacity::costs::timed_table;
use quetzal_capacity::model::measure;
use quetzal_capacity::page::{counted_tables, render_tables, replace_tables};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CAPACITY.md");
/// Number of sizes, including full scale.
const ALL_SIZES: usize = 4;

#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Returns the number of heap bytes in use.
fn heap_bytes() -> usize {
    let stats = HEAP.stats();
    stats
        .bytes_allocated
        .saturating_sub(stats.bytes_deallocated)
}

fn main() -> ExitCode {
    let runs = measure(ALL_SIZES);
    let lines = budget(&runs);
    let tables = render_tables(&runs, &lines);
    let timed = timed_table(heap_bytes);
    println!("{tables}\n{timed}");
    let mut failed = false;
    for line in lines.iter().filter(|line| line.is_exceeded()) {
        println!(
            "exceeded: {}, {}: {} {}",
            line.what, line.role, line.value, line.unit
        );
        failed = true;
    }
    let write = std::env::args().any(|argument| argument == "--write");
    failed |= !if write {
        write_page(&tables, &timed)
    } else {
        is_current(&tables)
    };
    ExitCode::from(u8::from(failed))
}

fn is_current(tables: &str) -> bool {
    let page = std::fs::read_to_string(PAGE).unwrap_or_default();
    let current = counted_tables(&page) == Some(tables.trim());
    if !current {
        println!(
            "docs/CAPACITY.md is out of date; `cargo bench --bench capacity -- --write` rewrites it"
        );
    }
    current
}

fn write_page(tables: &str, timed: &str) -> bool {
    let page = std::fs::read_to_string(PAGE).unwrap_or_default();
    let text = replace_tables(&page, tables, timed);
    let written = text.is_some_and(|text| std::fs::write(PAGE, text).is_ok());
    if !written {
        println!("docs/CAPACITY.md could not be rewritten");
    }
    written
}
