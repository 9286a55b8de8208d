//! The tables of `docs/CAPACITY.md`.
//!
//! Prints the counted tables, compares them with the page and the budget, and
//! exits with 1 when either parts. Times and heap memory are printed with
//! their date and not judged. `-- --write` rewrites the page.

use std::alloc::System;
use std::process::ExitCode;

use quetzal_capacity::budget::budget;
use quetzal_capacity::costs::timed_table;
use quetzal_capacity::model::measure;
use quetzal_capacity::page::{held, rewritten, tables};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CAPACITY.md");
/// All sizes, the target's included.
const ALL_SIZES: usize = 4;

#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Bytes of the heap in use.
fn heap_bytes() -> usize {
    let stats = HEAP.stats();
    stats
        .bytes_allocated
        .saturating_sub(stats.bytes_deallocated)
}

fn main() -> ExitCode {
    let runs = measure(ALL_SIZES);
    let lines = budget(&runs);
    let tables = tables(&runs, &lines);
    let timed = timed_table(heap_bytes);
    println!("{tables}\n{timed}");
    let mut broken = false;
    for line in lines.iter().filter(|line| line.is_exceeded()) {
        println!(
            "exceeded: {}, {}: {} {}",
            line.what, line.role, line.found, line.unit
        );
        broken = true;
    }
    let write = std::env::args().any(|word| word == "--write");
    broken |= !if write {
        write_page(&tables, &timed)
    } else {
        is_current(&tables)
    };
    ExitCode::from(u8::from(broken))
}

fn is_current(tables: &str) -> bool {
    let page = std::fs::read_to_string(PAGE).unwrap_or_default();
    let current = held(&page) == Some(tables.trim());
    if !current {
        println!(
            "docs/CAPACITY.md holds other tables; `cargo bench --bench capacity -- --write` rewrites it"
        );
    }
    current
}

fn write_page(tables: &str, timed: &str) -> bool {
    let page = std::fs::read_to_string(PAGE).unwrap_or_default();
    let text = rewritten(&page, tables, timed);
    let written = text.is_some_and(|text| std::fs::write(PAGE, text).is_ok());
    if !written {
        println!("docs/CAPACITY.md could not be rewritten");
    }
    written
}
