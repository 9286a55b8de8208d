//! What control costs a real daemon at several sizes of the fleet.
//!
//! Starts fleets of real `quetzald` processes on loopback, lets them rest,
//! and prints processor time, memory, control bytes and log requests for each
//! daemon. Wall time and shares of a core are reported, not judged.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::time::{Duration, Instant};

use comfy_table::Table;
use fleet::Fleet;

/// Sizes of the fleets, if no others are named on the command line.
const SIZES: [usize; 3] = [10, 30, 90];
/// Time for the fleet to settle before the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Time measured.
const MEASURE_TIME: Duration = Duration::from_secs(20);
/// Clock ticks of the kernel in one second.
const TICKS_PER_S: f64 = 100.0;

#[derive(Clone, Copy, Default)]
struct Usage {
    cpu_s: f64,
    resident_mb: f64,
    control_bytes: f64,
    wire_bytes: f64,
    batches: f64,
    log_requests: f64,
}

fn main() {
    let named: Vec<usize> = std::env::args()
        .filter_map(|word| word.parse().ok())
        .collect();
    let sizes = if named.is_empty() {
        SIZES.to_vec()
    } else {
        named
    };
    let mut table = Table::new();
    table.set_header([
        "daemons",
        "core %",
        "resident MB",
        "control B/s",
        "loopback B/s",
        "batches/s",
        "log requests/s of all",
    ]);
    for size in sizes {
        let usage = measure(size);
        table.add_row([
            size.to_string(),
            format!("{:.2}", usage.cpu_s * 100.0),
            format!("{:.1}", usage.resident_mb),
            format!("{:.0}", usage.control_bytes),
            format!("{:.0}", usage.wire_bytes),
            format!("{:.1}", usage.batches),
            format!("{:.1}", usage.log_requests),
        ]);
    }
    println!("{table}");
}

/// Mean usage of one daemon in one second; log requests are those of the fleet.
fn measure(size: usize) -> Usage {
    let domains = ["a", "b", "c", "d", "e"];
    let fleet = Fleet::start(size, &domains, "");
    fleet.publish(fleet::PLANS, fleet::ALLOWANCES);
    std::thread::sleep(SETTLE_TIME);
    let started = Instant::now();
    let before = total(&fleet);
    std::thread::sleep(MEASURE_TIME);
    let after = total(&fleet);
    let seconds = started.elapsed().as_secs_f64();
    let share = seconds * size as f64;
    Usage {
        cpu_s: (after.cpu_s - before.cpu_s) / share,
        resident_mb: after.resident_mb / size as f64,
        control_bytes: (after.control_bytes - before.control_bytes) / share,
        wire_bytes: (after.wire_bytes - before.wire_bytes) / share,
        batches: (after.batches - before.batches) / share,
        log_requests: (after.log_requests - before.log_requests) / seconds,
    }
}

fn total(fleet: &Fleet) -> Usage {
    let counts = fleet.memory.counts();
    let mut sum = Usage {
        log_requests: (counts.appends + counts.reads) as f64,
        wire_bytes: read_loopback(),
        ..Usage::default()
    };
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        let process = daemon.id().expect("the daemon runs");
        sum.cpu_s += read_cpu(process);
        sum.resident_mb += read_resident(process);
        if let Some(status) = fleet.status(index) {
            let count = |name: &str| status.counters.get(name).copied().unwrap_or(0) as f64;
            sum.control_bytes += count("control-bytes");
            sum.batches += count("control-batches");
        }
    }
    sum
}

/// Bytes sent over loopback by all processes of the machine, with every header.
fn read_loopback() -> f64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("lo:"));
    let bytes: Option<f64> = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    bytes.unwrap_or(0.0)
}

/// Processor seconds that the process has used.
fn read_cpu(process: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_PER_S
}

/// Resident memory in MB.
fn read_resident(process: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes: Option<f64> = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    kilobytes.unwrap_or(0.0) / 1024.0
}
