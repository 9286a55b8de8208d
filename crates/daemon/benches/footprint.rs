//! Cost of control traffic for a daemon in fleets of several sizes.
//!
//! Starts fleets of `quetzald` processes on loopback and prints CPU time, memory, control bytes
//! and log requests per daemon while they are idle. Then calls targets beside all daemons
//! through every daemon and measures memory again. The figures are reported without limits.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use comfy_table::Table;
use fleet::Fleet;
use fleet::target::TestTarget;
use members::TargetAnnouncement;

/// Fleet sizes if the command line names none.
const DEFAULT_SIZES: [usize; 3] = [10, 30, 90];
/// Time that the fleet settles before the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Duration of the measurement.
const MEASURE_TIME: Duration = Duration::from_secs(20);
/// Number of calls through each daemon per target; enough to reach nine targets of ten.
const CALLS_PER_TARGET: usize = 3;
/// Number of daemons that are called through at the same time.
const CALLER_COUNT: usize = 6;
/// Interval at which every target is announced.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(800);
/// Clock ticks per second in the kernel's process statistics.
const TICKS_PER_S: f64 = 100.0;

#[derive(Clone, Copy, Default)]
struct Usage {
    cpu_s: f64,
    resident_mb: f64,
    private_mb: f64,
    after_calls_mb: f64,
    max_after_calls_mb: f64,
    control_bytes: f64,
    wire_bytes: f64,
    batches: f64,
    log_requests: f64,
    links: f64,
    opened_links: f64,
}

fn main() {
    let requested: Vec<usize> = std::env::args()
        .filter_map(|word| word.parse().ok())
        .collect();
    let sizes = if requested.is_empty() {
        DEFAULT_SIZES.to_vec()
    } else {
        requested
    };
    let mut table = Table::new();
    table.set_header([
        "daemons",
        "core %",
        "resident MB",
        "of it private",
        "resident MB after calls",
        "maximum after calls",
        "control B/s",
        "loopback B/s",
        "batches/s",
        "links out",
        "opened/s",
        "log requests/s of all",
    ]);
    for size in sizes {
        let usage = measure(size);
        table.add_row([
            size.to_string(),
            format!("{:.2}", usage.cpu_s * 100.0),
            format!("{:.1}", usage.resident_mb),
            format!("{:.1}", usage.private_mb),
            format!("{:.1}", usage.after_calls_mb),
            format!("{:.1}", usage.max_after_calls_mb),
            format!("{:.0}", usage.control_bytes),
            format!("{:.0}", usage.wire_bytes),
            format!("{:.1}", usage.batches),
            format!("{:.0}", usage.links),
            format!("{:.1}", usage.opened_links),
            format!("{:.1}", usage.log_requests),
        ]);
    }
    println!("{table}");
}

/// Returns the mean usage of one daemon: memory and links as last read, all else per second. Log
/// requests are those of the whole fleet.
fn measure(size: usize) -> Usage {
    let domains = ["a", "b", "c", "d", "e"];
    let fleet = Fleet::start(size, &domains, "");
    // Each daemon enforces its share of the customer's rate, and each caller uses one daemon at
    // a time, so the rate is raised.
    let allowances = fleet::ALLOWANCES.replace("\"rate_per_s\": 5000", "\"rate_per_s\": 1000000");
    fleet.publish(fleet::PLANS, &allowances);
    std::thread::sleep(SETTLE_TIME);
    let started = Instant::now();
    let before = total(&fleet);
    std::thread::sleep(MEASURE_TIME);
    let after = total(&fleet);
    let seconds = started.elapsed().as_secs_f64();
    let daemon_seconds = seconds * size as f64;
    let called = call_all(&fleet);
    Usage {
        cpu_s: (after.cpu_s - before.cpu_s) / daemon_seconds,
        resident_mb: after.resident_mb / size as f64,
        private_mb: after.private_mb / size as f64,
        after_calls_mb: called.iter().sum::<f64>() / size as f64,
        max_after_calls_mb: called.iter().copied().fold(0.0, f64::max),
        control_bytes: (after.control_bytes - before.control_bytes) / daemon_seconds,
        wire_bytes: (after.wire_bytes - before.wire_bytes) / daemon_seconds,
        links: after.links / size as f64,
        opened_links: (after.opened_links - before.opened_links) / daemon_seconds,
        batches: (after.batches - before.batches) / daemon_seconds,
        log_requests: (after.log_requests - before.log_requests) / seconds,
    }
}

/// Calls targets beside all daemons through each daemon; returns the resident memory of each
/// daemon in MB afterwards.
fn call_all(fleet: &Fleet) -> Vec<f64> {
    let target = TestTarget::start("catalog-0", "catalog", &fleet.daemons[0], Duration::ZERO);
    let announcements: Vec<(SocketAddr, TargetAnnouncement)> = fleet
        .daemons
        .iter()
        .enumerate()
        .map(|(index, daemon)| (daemon.operator_address, target.announcement_as(index)))
        .collect();
    let (stop, next) = (AtomicBool::new(false), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while !stop.load(Ordering::SeqCst) {
                for (operator, announcement) in &announcements {
                    fleet::target::announce(*operator, announcement);
                }
                std::thread::sleep(ANNOUNCE_INTERVAL);
            }
        });
        fleet.wait_for_all("targets everywhere", |status| {
            let targets = status.members.iter().map(|member| member.targets.len());
            targets.sum::<usize>() == announcements.len()
        });
        let callers: Vec<_> = (0..CALLER_COUNT)
            .map(|_| scope.spawn(|| call_from_each(fleet, &next)))
            .collect();
        let failed: usize = callers
            .into_iter()
            .map(|caller| caller.join().expect("a caller ends"))
            .sum();
        println!("{failed} calls failed");
        stop.store(true, Ordering::SeqCst);
    });
    let ids = fleet.daemons.iter().filter_map(fleet::DaemonProcess::id);
    ids.map(|process| read_memory(process, "VmRSS:")).collect()
}

/// Calls through one daemon after the other; returns the number of failed calls.
fn call_from_each(fleet: &Fleet, next: &AtomicUsize) -> usize {
    let mut failed = 0;
    loop {
        let index = next.fetch_add(1, Ordering::SeqCst);
        if index >= fleet.daemons.len() {
            return failed;
        }
        for _ in 0..CALLS_PER_TARGET * fleet.daemons.len() {
            let called = fleet.try_call(index, "GET", "/catalog/x", None, Vec::new());
            let succeeded = called.is_ok_and(|answer| answer.status().is_success());
            failed += usize::from(!succeeded);
        }
    }
}

fn total(fleet: &Fleet) -> Usage {
    let counts = fleet.memory_log.counts();
    let mut sum = Usage {
        log_requests: (counts.appends + counts.reads) as f64,
        wire_bytes: read_loopback(),
        ..Usage::default()
    };
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        let process = daemon.id().expect("the daemon runs");
        sum.cpu_s += read_cpu(process);
        sum.resident_mb += read_memory(process, "VmRSS:");
        sum.private_mb += read_memory(process, "RssAnon:");
        if let Some(status) = fleet.status(index) {
            let count = |name: &str| status.counters.get(name).copied().unwrap_or(0) as f64;
            sum.control_bytes += count("control-bytes");
            sum.batches += count("control-batches");
            sum.links += count("peer-links");
            sum.opened_links += count("peer-links-opened");
        }
    }
    sum
}

/// Returns the bytes that all processes of the machine received over loopback, including headers.
fn read_loopback() -> f64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("lo:"));
    let bytes: Option<f64> = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    bytes.unwrap_or(0.0)
}

/// Returns the CPU time of a process in seconds.
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
    // The user time and the system time, counted from the field after the name.
    (ticks(11) + ticks(12)) / TICKS_PER_S
}

/// Returns one row of the process's memory status in MB.
fn read_memory(process: u32, row: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(row));
    let kilobytes: Option<f64> = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    kilobytes.unwrap_or(0.0) / 1024.0
}
