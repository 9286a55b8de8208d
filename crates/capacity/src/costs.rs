//! CPU time and heap memory, which depend on the machine and on libraries.
//!
//! They are printed with a timestamp and not compared with the page or the budget.

use std::hint::black_box;
use std::time::{Duration, Instant, SystemTime};

use comfy_table::{Table, presets};
use plans::{ConfigReplica, RouteTable};
use quetzal_spread::SpreadSettings;

use crate::call_costs::{
    gate_memory, gate_time, limit_memory, limit_time, pick_time, picker_memory,
};
use crate::harness::actor::node_factory;
use crate::harness::{Fleet, FleetShape};
use crate::plan_run::build_replica;
use crate::{home_run, member_run};

/// Number of timed calls per cell.
pub(crate) const CALLS: u32 = 20_000;

/// A cost measured at three sizes.
struct TimedRow {
    role: &'static str,
    what: &'static str,
    size_of: &'static str,
    sizes: [usize; 3],
    cells: [String; 3],
}

/// Returns the number of heap bytes in use.
pub type HeapGauge = fn() -> usize;

type CostFunction = fn(usize, HeapGauge) -> String;
type CostRow = (
    &'static str,
    &'static str,
    &'static str,
    [usize; 3],
    CostFunction,
);

const ROWS: [CostRow; 14] = [
    (
        "proxy",
        "look a call up",
        "customers",
        [50, 200, 500],
        lookup_time,
    ),
    (
        "proxy",
        "pick a target, learn",
        "targets",
        [70, 210, 720],
        pick_time,
    ),
    (
        "proxy",
        "state and table in memory",
        "customers",
        [50, 200, 500],
        plan_memory,
    ),
    (
        "proxy",
        "picker in memory",
        "targets",
        [70, 210, 720],
        picker_memory,
    ),
    (
        "proxy, share keeper",
        "admit by limits, release",
        "keys",
        [300, 1000, 3000],
        limit_time,
    ),
    (
        "admission control",
        "enter and leave",
        "slots",
        [5, 10, 40],
        gate_time,
    ),
    (
        "source reader",
        "build the table after a change",
        "customers",
        [50, 200, 500],
        build_time,
    ),
    (
        "distributor",
        "a tick or message, with coding",
        "daemons",
        [30, 90, 270],
        spread_time,
    ),
    (
        "member",
        "a second, with queues and the log",
        "daemons",
        [30, 90, 270],
        member_time,
    ),
    (
        "key home",
        "begin and settle a call",
        "calls a second",
        [50, 100, 300],
        home_time,
    ),
    (
        "proxy, share keeper",
        "gate in memory",
        "keys",
        [300, 1000, 3000],
        limit_memory,
    ),
    (
        "distributor",
        "node in memory",
        "daemons",
        [90, 270, 720],
        spread_memory,
    ),
    (
        "member",
        "node in memory",
        "daemons",
        [90, 270, 720],
        member_memory,
    ),
    (
        "admission control",
        "gate in memory, full",
        "slots",
        [5, 10, 40],
        gate_memory,
    ),
];

/// Measures all costs and renders them as a table with a timestamp.
pub fn timed_table(heap: HeapGauge) -> String {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(["role", "what", "by", "sizes", "small", "middle", "large"]);
    for (role, what, size_of, sizes, cost) in ROWS {
        let row = TimedRow {
            role,
            what,
            size_of,
            sizes,
            cells: sizes.map(|size| cost(size, heap)),
        };
        table.add_row(row.cells());
    }
    let now = humantime::format_rfc3339_seconds(SystemTime::now());
    format!("Measured {now}:\n\n{table}\n")
}

impl TimedRow {
    fn cells(&self) -> Vec<String> {
        let sizes = self.sizes.map(|size| size.to_string()).join(", ");
        let head = [self.role, self.what, self.size_of, &sizes];
        let head = head.map(str::to_owned).into_iter();
        head.chain(self.cells.iter().cloned()).collect()
    }
}

/// Returns the mean time of `calls` invocations of `work`.
pub(crate) fn mean_time<T>(calls: u32, mut work: impl FnMut(u32) -> T) -> String {
    let start = Instant::now();
    for call in 0..calls {
        black_box(work(call));
    }
    format_time(start.elapsed() / calls)
}

fn format_time(time: Duration) -> String {
    format!("{:.2} us", time.as_secs_f64() * 1e6)
}

/// Returns the heap memory of a value created by `make`.
pub(crate) fn memory_of<T>(heap: HeapGauge, make: impl Fn() -> T) -> String {
    let before = heap();
    let value = make();
    let bytes = heap().saturating_sub(before);
    drop(value);
    format_kilobytes(bytes)
}

pub(crate) fn format_kilobytes(bytes: usize) -> String {
    format!("{:.1} kB", bytes as f64 / 1e3)
}

fn build_table(replica: &ConfigReplica) -> RouteTable {
    RouteTable::build(replica.state())
}

fn lookup_time(customers: usize, _: HeapGauge) -> String {
    let table = build_table(&build_replica(customers));
    let admit = |call: u32| {
        let customer = format!("customer-{:04}", call as usize % customers);
        let path = "/service-07/orders/18?page=2";
        table.admit(&customer, "password", "POST", path).is_ok()
    };
    mean_time(CALLS, admit)
}

fn build_time(customers: usize, _: HeapGauge) -> String {
    let replica = build_replica(customers);
    mean_time(50, |_| build_table(&replica))
}

fn plan_memory(customers: usize, heap: HeapGauge) -> String {
    let replica = build_replica(customers);
    memory_of(heap, || (replica.state().clone(), build_table(&replica)))
}

fn spread_time(daemons: usize, _: HeapGauge) -> String {
    let shape = FleetShape::sized(daemons, 66);
    let start_spread = Duration::from_secs(1);
    let mut fleet = Fleet::new(shape, start_spread, node_factory(SpreadSettings::default()));
    fleet.run_for(Duration::from_secs(5));
    fleet.reset_counts();
    fleet.run_for(Duration::from_secs(10));
    let calls = u32::try_from(fleet.calls.max(1)).unwrap_or(u32::MAX);
    format_time((fleet.call_time + fleet.codec_time) / calls)
}

fn member_time(daemons: usize, _: HeapGauge) -> String {
    let seconds = member_run::RUN_TIME.as_secs() as u32;
    let start = Instant::now();
    black_box(member_run::run(daemons));
    format_time(start.elapsed() / seconds / daemons as u32)
}

fn home_time(rate: usize, _: HeapGauge) -> String {
    let calls = home_run::calls(rate) as u32;
    let start = Instant::now();
    black_box(home_run::run(rate));
    format_time(start.elapsed() / calls)
}

/// Returns the heap memory per daemon of a running fleet, including messages in transit.
fn spread_memory(daemons: usize, heap: HeapGauge) -> String {
    let shape = FleetShape::sized(daemons, 66);
    let before = heap();
    let start_spread = Duration::from_secs(1);
    let mut fleet = Fleet::new(shape, start_spread, node_factory(SpreadSettings::default()));
    fleet.run_for(Duration::from_secs(10));
    format_kilobytes(heap().saturating_sub(before) / daemons)
}

/// Returns the heap memory per member of a running fleet.
fn member_memory(daemons: usize, heap: HeapGauge) -> String {
    let before = heap();
    let fleet = member_run::warm(daemons);
    let bytes = heap().saturating_sub(before) / daemons;
    drop(fleet);
    format_kilobytes(bytes)
}
