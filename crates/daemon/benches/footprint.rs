//! What control costs a real daemon at several sizes of the fleet.
//!
//! Starts fleets of real `quetzald` processes on loopback, lets them rest,
//! and prints processor time, memory, control bytes and log requests for each
//! daemon. Then every daemon calls targets beside all others, and memory is
//! read again. Wall time, memory and shares of a core are reported, not judged.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use comfy_table::Table;
use fleet::Fleet;
use fleet::target::TestTarget;
use members::TargetAnnouncement;

/// Sizes of the fleets, if no others are named on the command line.
const SIZES: [usize; 3] = [10, 30, 90];
/// Time for the fleet to settle before the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Time measured.
const MEASURE_TIME: Duration = Duration::from_secs(20);
/// Calls of each daemon for each other daemon, which reach nine targets of ten.
const CALLS_FOR_EACH: usize = 3;
/// Daemons that are called through at once.
const CALLERS: usize = 6;
/// Time between two announcements of every target.
const ANNOUNCE_TIME: Duration = Duration::from_millis(800);
/// Clock ticks of the kernel in one second.
const TICKS_PER_S: f64 = 100.0;

#[derive(Clone, Copy, Default)]
struct Usage {
    cpu_s: f64,
    resident_mb: f64,
    private_mb: f64,
    called_mb: f64,
    most_called_mb: f64,
    control_bytes: f64,
    wire_bytes: f64,
    batches: f64,
    log_requests: f64,
    links: f64,
    opened: f64,
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
        "of it private",
        "after calls to all",
        "most of one",
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
            format!("{:.1}", usage.called_mb),
            format!("{:.1}", usage.most_called_mb),
            format!("{:.0}", usage.control_bytes),
            format!("{:.0}", usage.wire_bytes),
            format!("{:.1}", usage.batches),
            format!("{:.0}", usage.links),
            format!("{:.1}", usage.opened),
            format!("{:.1}", usage.log_requests),
        ]);
    }
    println!("{table}");
}

/// Mean usage of one daemon in one second; log requests are those of the fleet.
fn measure(size: usize) -> Usage {
    let domains = ["a", "b", "c", "d", "e"];
    let fleet = Fleet::start(size, &domains, "");
    // Each daemon has its share of the rate, and one is called through at a time.
    let allowances = fleet::ALLOWANCES.replace("\"rate_per_s\": 5000", "\"rate_per_s\": 1000000");
    fleet.publish(fleet::PLANS, &allowances);
    std::thread::sleep(SETTLE_TIME);
    let started = Instant::now();
    let before = total(&fleet);
    std::thread::sleep(MEASURE_TIME);
    let after = total(&fleet);
    let seconds = started.elapsed().as_secs_f64();
    let share = seconds * size as f64;
    let called = call_all(&fleet);
    Usage {
        cpu_s: (after.cpu_s - before.cpu_s) / share,
        resident_mb: after.resident_mb / size as f64,
        private_mb: after.private_mb / size as f64,
        called_mb: called.iter().sum::<f64>() / size as f64,
        most_called_mb: called.iter().copied().fold(0.0, f64::max),
        control_bytes: (after.control_bytes - before.control_bytes) / share,
        wire_bytes: (after.wire_bytes - before.wire_bytes) / share,
        links: after.links / size as f64,
        opened: (after.opened - before.opened) / share,
        batches: (after.batches - before.batches) / share,
        log_requests: (after.log_requests - before.log_requests) / seconds,
    }
}

/// Resident memory of each daemon in MB once each has called targets beside all.
fn call_all(fleet: &Fleet) -> Vec<f64> {
    let target = TestTarget::start("catalog-0", "catalog", &fleet.daemons[0], Duration::ZERO);
    let places: Vec<(SocketAddr, TargetAnnouncement)> = fleet
        .daemons
        .iter()
        .enumerate()
        .map(|(index, daemon)| (daemon.operators, target.announcement_as(index)))
        .collect();
    let (stop, next) = (AtomicBool::new(false), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while !stop.load(Ordering::SeqCst) {
                for (operator, announcement) in &places {
                    fleet::target::announce(*operator, announcement);
                }
                std::thread::sleep(ANNOUNCE_TIME);
            }
        });
        fleet.await_all("targets everywhere", |status| {
            let targets = status.members.iter().map(|member| member.targets.len());
            targets.sum::<usize>() == places.len()
        });
        let callers: Vec<_> = (0..CALLERS)
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

/// Calls through one daemon after the other; tells how many calls failed.
fn call_from_each(fleet: &Fleet, next: &AtomicUsize) -> usize {
    let mut failed = 0;
    loop {
        let index = next.fetch_add(1, Ordering::SeqCst);
        if index >= fleet.daemons.len() {
            return failed;
        }
        for _ in 0..CALLS_FOR_EACH * fleet.daemons.len() {
            let called = fleet.try_call(index, "GET", "/catalog/x", None, Vec::new());
            let sound = called.is_ok_and(|answer| answer.status().is_success());
            failed += usize::from(!sound);
        }
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
        sum.resident_mb += read_memory(process, "VmRSS:");
        sum.private_mb += read_memory(process, "RssAnon:");
        if let Some(status) = fleet.status(index) {
            let count = |name: &str| status.counters.get(name).copied().unwrap_or(0) as f64;
            sum.control_bytes += count("control-bytes");
            sum.batches += count("control-batches");
            sum.links += count("peer-links");
            sum.opened += count("peer-links-opened");
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

/// A row of the process's memory in MB.
fn read_memory(process: u32, row: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(row));
    let kilobytes: Option<f64> = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    kilobytes.unwrap_or(0.0) / 1024.0
}
