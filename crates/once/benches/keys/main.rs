//! Cost of at-most-once execution at 3,000 calls a second over 720 daemons.
//!
//! Compares three approaches: keys that the system issues, callers' own keys
//! with leased homes, and claims appended to the log before each call. Counts
//! come from the state machines under a fake clock; processor time is printed
//! but not checked against a bound.

mod claims;
mod homes;
mod leases;
mod permits;
mod times;

use std::process::ExitCode;

use comfy_table::Table;
use model::{ByteCount, DomainName};
use quetzal_once::HolderId;
use quetzal_once::lease::pick_homes;

use crate::claims::claimed_approach;
use crate::homes::{issued_approach, leased_approach};
use crate::leases::{LeaseFigures, run_leases};
use crate::permits::{PermitFigures, PermitLoad, real_holder, run_permits};
use crate::times::print_times;

const DAEMONS: u64 = 720;
const DOMAINS: u64 = 5;
const CALLS_PER_S: f64 = 3000.0;
/// Number of targets of the called service.
const TARGETS: u64 = 100;

/// Maximum appends a second; the log service takes several hundred in total.
const MAX_APPENDS_PER_S: f64 = 20.0;
/// Maximum memory of a home, of the 32 MB that a daemon may use for all control state.
const MAX_HOME_BYTES: u64 = 9 << 20;
/// Maximum control traffic of a daemon in bytes a second.
const MAX_CONTROL_BYTES_PER_S: f64 = 10_000.0;
/// Maximum percentage of calls that wait for a permit; 99 of 100 calls may add at most 1.1 ms.
const MAX_PERMIT_MISSES: f64 = 1.0;

/// Cost of one approach, a row of the printed table.
struct ApproachRow {
    name: &'static str,
    appends_per_s: f64,
    log_bytes_per_s: f64,
    added_messages: f64,
    added_hops: f64,
    added_wait: &'static str,
    home_memory: ByteCount,
    bytes_per_key: f64,
}

fn main() -> ExitCode {
    let homes = homes();
    let leases = run_leases(&homes);
    let load = PermitLoad {
        rate: CALLS_PER_S / homes.len() as f64,
        targets: TARGETS,
        seed: 2,
    };
    let permits = run_permits(load);
    let approaches = [
        issued_approach(),
        leased_approach(&homes, &leases, &permits),
        claimed_approach(&homes),
    ];
    print_approaches(&approaches);
    println!(
        "leases: {} homes, {:.1} appends/s, {:.0} bytes/s read by each home, \
         {:.1} s from a home's death until its ranges are held again",
        homes.len(),
        leases.appends_per_s,
        leases.bytes_per_s,
        leases.takeover.as_secs_f64(),
    );
    println!(
        "permits: {:.2} messages a call, {:.0} bytes/s at a home, {:.2}% of calls wait for one",
        permits.messages_per_call, permits.bytes_per_s, permits.missed_percent,
    );
    print_times();
    check_bounds(&approaches, &leases, &permits)
}

fn check_bounds(
    approaches: &[ApproachRow; 3],
    leases: &LeaseFigures,
    permits: &PermitFigures,
) -> ExitCode {
    let [by_issue, by_lease, _] = approaches;
    let appends = by_issue.appends_per_s + by_lease.appends_per_s;
    let bounds = [
        ("appends a second", appends, MAX_APPENDS_PER_S),
        (
            "bytes of a home",
            by_lease.home_memory.0 as f64,
            MAX_HOME_BYTES as f64,
        ),
        (
            "control bytes a second",
            permits.bytes_per_s + leases.bytes_per_s,
            MAX_CONTROL_BYTES_PER_S,
        ),
        (
            "percent of calls that wait for a permit",
            permits.missed_percent,
            MAX_PERMIT_MISSES,
        ),
    ];
    let mut code = ExitCode::SUCCESS;
    for (name, value, bound) in bounds {
        if value > bound {
            println!("FAILED: {name}: {value:.1} is above {bound:.1}");
            code = ExitCode::FAILURE;
        }
    }
    code
}

fn print_approaches(approaches: &[ApproachRow]) {
    let mut table = Table::new();
    table.set_header([
        "approach",
        "log appends/s",
        "log bytes/s",
        "added messages/call",
        "added hops",
        "added wait",
        "home memory",
        "bytes/key",
    ]);
    for approach in approaches {
        table.add_row([
            approach.name.to_owned(),
            format!("{:.1}", approach.appends_per_s),
            format!("{:.0}", approach.log_bytes_per_s),
            format!("{:.2}", approach.added_messages),
            format!("{:.2}", approach.added_hops),
            approach.added_wait.to_owned(),
            format!("{:.2} MB", approach.home_memory.0 as f64 / 1e6),
            format!("{:.0}", approach.bytes_per_key),
        ]);
    }
    println!("{table}");
}

fn homes() -> Vec<HolderId> {
    let domain = |daemon: u64| -> DomainName {
        format!("fd-{}", daemon % DOMAINS)
            .parse()
            .expect("a valid name")
    };
    let members: Vec<(DomainName, HolderId)> = (0..DAEMONS)
        .map(|daemon| (domain(daemon), real_holder(daemon)))
        .collect();
    pick_homes(&members)
}
