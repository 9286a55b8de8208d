//! Size and time of changes, snapshots and deltas at the target scale.
//!
//! The bounds are derived from two targets: a daemon has 10 KB/s for control
//! traffic, and a change is in force within 15 s. A snapshot must therefore
//! fit into 15 s of that budget, and a change must take only a small part of it.

use std::fmt::Write;
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime};

use comfy_table::Table;
use model::{ChangeId, LogOffset};
use quetzal_plans::{
    ChangeMeta, ChangeRecord, ChangeVerdict, ConfigLists, ConfigRecord, ConfigReplica, ConfigState,
    EntryEdit, EntryName, EntryValue, RouteTable, StateSnapshot, StateUpdate,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sha2::{Digest, Sha256};

const SERVICES: usize = 35;
const CUSTOMERS: usize = 500;
const PLANS: usize = 5;
const CHANGES_PER_DAY: usize = 250;
const DAYS: usize = 4;
const CONTROL_BYTES_PER_S: usize = 10_000;
const CONVERGENCE_S: usize = 15;
/// Number of daemons to which one daemon forwards an update.
const FAN_OUT: usize = 4;

/// Runs `operation` the given number of times and returns its mean time.
fn mean_time<T>(runs: u32, mut operation: impl FnMut() -> T) -> Duration {
    let start = Instant::now();
    for _ in 0..runs {
        std::hint::black_box(operation());
    }
    start.elapsed() / runs
}

/// Returns lists with the given number of customers.
fn lists_of(customer_count: usize) -> ConfigLists {
    let mut customers = String::new();
    for index in 0..customer_count {
        let comma = if index == 0 { "" } else { "," };
        let plan = index % PLANS;
        // Digests are random bytes, which can't be compressed.
        let key = format!("{:x}", Sha256::digest(index.to_le_bytes()));
        write!(
            customers,
            "{comma}\"customer-{index:04}\": {{ \"plan\": \"plan-{plan}\", \"key_sha256\": \"{key}\" }}"
        )
        .expect("writing to a string never fails");
    }
    let services: Vec<String> = (0..SERVICES)
        .map(|index| {
            format!(
                "\"service-{index:02}\": {{ \"path\": \"/service-{index:02}\", \"timeout_ms\": 2000, \
                 \"kind\": \"booking\", \"methods\": {{ \"GET\": {{ \"idempotent\": true }}, \
                 \"POST\": {{ \"idempotent\": false }} }} }}"
            )
        })
        .collect();
    let allowances: Vec<String> = (0..SERVICES)
        .map(|index| {
            format!(
                "\"service-{index:02}\": {{ \"methods\": [\"GET\", \"POST\"], \"rate_per_s\": 50, \
                 \"calls_at_once\": 20 }}"
            )
        })
        .collect();
    let allowances = allowances.join(",");
    let plans: Vec<String> = (0..PLANS)
        .map(|index| format!("\"plan-{index}\": {{ {allowances} }}"))
        .collect();
    let plans_text = format!("{{ \"customers\": {{ {customers} }} }}");
    let allowances_text = format!(
        "{{ \"services\": {{ {} }}, \"plans\": {{ {} }} }}",
        services.join(","),
        plans.join(",")
    );
    ConfigLists::parse(&plans_text, &allowances_text).expect("the lists are valid")
}

/// Returns one to three edits, as operators typically make them in a change.
fn random_edits(lists: &ConfigLists, rng: &mut SmallRng) -> Vec<EntryEdit> {
    let entries: Vec<(EntryName, EntryValue)> = lists.entries().into_iter().collect();
    let mut edits: Vec<EntryEdit> = Vec::new();
    for _ in 0..rng.random_range(1..=3) {
        let (entry, mut value) = entries[rng.random_range(0..entries.len())].clone();
        match &mut value {
            EntryValue::Customer(customer) => {
                let plan = format!("plan-{}", rng.random_range(0..PLANS));
                customer.plan = plan.parse().expect("a valid name");
            }
            EntryValue::Service(spec) => spec.timeout_ms = rng.random_range(100..10_000),
            EntryValue::Allowance(allowance) => allowance.rate_per_s = rng.random_range(1..500),
        }
        let after = Some(value);
        if edits.iter().all(|edit| edit.entry != entry) {
            edits.push(EntryEdit { entry, after });
        }
    }
    edits
}

fn meta(rng: &mut SmallRng) -> ChangeMeta {
    ChangeMeta {
        id: random_id(rng),
        author: "mona@nilewave".parse().expect("a valid name"),
        note: "launch of the spring campaign".into(),
    }
}

fn random_id(rng: &mut SmallRng) -> ChangeId {
    let text = format!("{:032x}", rng.random::<u128>());
    text.parse().expect("32 hexadecimal digits are an id")
}

/// A log with several days of changes, the replica that folded it, and measurements.
struct FoldRun {
    records: Vec<ConfigRecord>,
    replica: ConfigReplica,
    fold_time: Duration,
    /// Snapshot size before the first day, then after each day, in bytes.
    day_sizes: Vec<usize>,
}

fn run_days(lists: &ConfigLists) -> FoldRun {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut run = FoldRun {
        records: Vec::new(),
        replica: ConfigReplica::new(),
        fold_time: Duration::ZERO,
        day_sizes: Vec::new(),
    };
    let base = run.replica.state().base();
    let first = ChangeRecord::between(run.replica.state(), base, lists, meta(&mut rng));
    append(&mut run, &first.expect("valid lists"));
    run.day_sizes
        .push(run.replica.snapshot_bytes().expect("a bounded state").len());
    for _ in 0..DAYS {
        for _ in 0..CHANGES_PER_DAY {
            let edits = random_edits(run.replica.state().lists(), &mut rng);
            let base = run.replica.state().base();
            append(&mut run, &ChangeRecord::new(base, edits, meta(&mut rng)));
        }
        run.day_sizes
            .push(run.replica.snapshot_bytes().expect("a bounded state").len());
    }
    run
}

fn append(run: &mut FoldRun, change: &ChangeRecord) {
    let record = ConfigRecord {
        offset: LogOffset(run.records.len() as u64),
        at: SystemTime::UNIX_EPOCH,
        body: change.encode().expect("a bounded change").into(),
    };
    run.records.push(record.clone());
    let start = Instant::now();
    let verdict = run.replica.fold(record).expect("the next record");
    run.fold_time += start.elapsed();
    assert!(matches!(verdict, ChangeVerdict::Accepted { .. }));
}

/// A measured value and its upper bound.
struct BoundRow {
    name: &'static str,
    measured: usize,
    max: usize,
}

fn main() -> ExitCode {
    let lists = lists_of(CUSTOMERS);
    let mut run = run_days(&lists);
    let changes = run.records.len() - 1;
    let change_bytes: usize = run.records[1..]
        .iter()
        .map(|record| record.body.len())
        .sum();
    let change_bytes = change_bytes / changes;
    let state = run.replica.state().clone();
    let snapshot = StateSnapshot::of(&state).encode().expect("a bounded state");

    print_costs(&run, &state, &snapshot, changes, change_bytes);
    let crossover = print_updates(&mut run);
    print_scaling();
    let (plans_text, allowances_text) = state.lists().render();
    let whole_bytes = plans_text.len() + allowances_text.len();

    let budget = CONTROL_BYTES_PER_S * CONVERGENCE_S;
    let bounds = [
        BoundRow {
            name: "snapshot bytes, within 15 s of the control budget",
            measured: snapshot.len(),
            max: budget,
        },
        BoundRow {
            name: "bytes of a forwarded change, within 1 s of the control budget",
            measured: change_bytes * FAN_OUT,
            max: CONTROL_BYTES_PER_S,
        },
        BoundRow {
            name: "bytes of a change, within 1/20 of the complete lists",
            measured: change_bytes,
            max: whole_bytes / 20,
        },
        BoundRow {
            name: "snapshot bytes after 4 days, within 21/20 of those after 3 (bounded history)",
            measured: run.day_sizes[4],
            max: run.day_sizes[3] + run.day_sizes[3] / 20,
        },
        BoundRow {
            name: "changes by which the largest lag that gets a delta falls short of 25",
            measured: 25_usize.saturating_sub(crossover),
            max: 0,
        },
    ];
    check_bounds(&bounds)
}

fn print_costs(
    run: &FoldRun,
    state: &ConfigState,
    snapshot: &[u8],
    changes: usize,
    change_bytes: usize,
) {
    let first = &run.records[0];
    let mut next = state.clone();
    let clone = mean_time(50, || state.clone());
    let build = mean_time(50, || RouteTable::build(state));
    let encode = mean_time(50, || StateSnapshot::of(state).encode());
    let decode = mean_time(50, || StateSnapshot::decode(snapshot));
    let first_fold = mean_time(10, || ConfigState::new().apply(first));
    let ignored = mean_time(1000, || next.apply(first));
    let mut table = Table::new();
    table.set_header(["part", "bytes", "time"]);
    let mut row = |name: &str, bytes: Option<usize>, time: Duration| {
        let bytes = bytes.map_or(String::new(), |bytes| bytes.to_string());
        table.add_row([name.to_owned(), bytes, format!("{time:.1?}")]);
    };
    let mean = run.fold_time / (changes as u32 + 1);
    row("fold one change (mean)", Some(change_bytes), mean);
    row("fold the first lists", Some(first.body.len()), first_fold);
    row("skip an already folded record", None, ignored);
    row("clone the state", None, clone);
    row("build the route table", None, build);
    row("encode a snapshot", Some(snapshot.len()), encode);
    row("decode and check a snapshot", Some(snapshot.len()), decode);
    let routes = RouteTable::build(state);
    let admit = |key| routes.admit("customer-0001", key, "POST", "/service-07/orders/18?page=2");
    row(
        "look up a call, with its key",
        None,
        mean_time(10_000, || admit("password").is_ok()),
    );
    let route = || routes.route("/service-07/orders/18?page=2").is_some();
    row("find a route", None, mean_time(10_000, route));
    for (day, bytes) in run.day_sizes.iter().enumerate() {
        let name = format!("snapshot after {} changes", day * CHANGES_PER_DAY);
        row(&name, Some(*bytes), Duration::ZERO);
    }
    println!("{SERVICES} services, {CUSTOMERS} customers, {PLANS} plans\n{table}");
}

/// Prints the updates sent to daemons by their lag; returns the largest lag that gets a delta.
fn print_updates(run: &mut FoldRun) -> usize {
    let mut table = Table::new();
    table.set_header(["changes behind", "delta bytes", "snapshot bytes", "sent"]);
    let mut crossover = 0;
    let total = run.records.len();
    for behind in [1, 2, 5, 10, 25, 50, 100, 200, 250, 400] {
        let mut base = ConfigState::new();
        for record in &run.records[..total - behind] {
            base.apply(record).expect("the next record");
        }
        let base = base.head();
        let delta = run.replica.delta_since(&base).map(|delta| delta.size());
        let snapshot = run.replica.snapshot_bytes().expect("a bounded state").len();
        let update = run.replica.update_for(&base).expect("a bounded state");
        let is_delta = matches!(update, Some(StateUpdate::Delta(_)));
        if is_delta {
            crossover = behind;
        }
        let delta = delta.map_or("not kept".to_owned(), |bytes| bytes.to_string());
        let sent = if is_delta { "delta" } else { "snapshot" };
        table.add_row([
            behind.to_string(),
            delta,
            snapshot.to_string(),
            sent.to_owned(),
        ]);
    }
    println!("{table}");
    crossover
}

/// Prints how size, time and memory grow with the number of customers.
fn print_scaling() {
    let mut table = Table::new();
    table.set_header([
        "customers",
        "snapshot bytes",
        "build table",
        "state and table in memory",
    ]);
    for customers in [100, 500, 1000, 2000] {
        let state = first_version(&lists_of(customers));
        let snapshot = StateSnapshot::of(&state).encode().expect("a bounded state");
        let build = mean_time(20, || RouteTable::build(&state));
        let memory = memory_of(|| (state.clone(), RouteTable::build(&state)));
        let memory = memory.map_or("unknown".to_owned(), |bytes| format!("{} KB", bytes / 1024));
        let build = format!("{build:.1?}");
        table.add_row([
            customers.to_string(),
            snapshot.len().to_string(),
            build,
            memory,
        ]);
    }
    println!("{SERVICES} services, {PLANS} plans, one version\n{table}");
}

fn first_version(lists: &ConfigLists) -> ConfigState {
    let mut state = ConfigState::new();
    let mut rng = SmallRng::seed_from_u64(7);
    let base = state.base();
    let change = ChangeRecord::between(&state, base, lists, meta(&mut rng));
    let body = change.and_then(|change| change.encode());
    let record = ConfigRecord {
        offset: LogOffset(0),
        at: SystemTime::UNIX_EPOCH,
        body: body.expect("a bounded change").into(),
    };
    let verdict = state.apply(&record).expect("the first record");
    assert!(matches!(verdict, ChangeVerdict::Accepted { .. }));
    state
}

/// Returns the mean resident memory of a value created by `make`, if the system reports it.
fn memory_of<T>(make: impl Fn() -> T) -> Option<usize> {
    const COPIES: usize = 40;
    let before = resident_bytes()?;
    let copies: Vec<T> = (0..COPIES).map(|_| make()).collect();
    let after = resident_bytes()?;
    drop(copies);
    Some(after.saturating_sub(before) / COPIES)
}

fn resident_bytes() -> Option<usize> {
    const PAGE_BYTES: usize = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: usize = text.split(' ').nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

fn check_bounds(bounds: &[BoundRow]) -> ExitCode {
    let mut table = Table::new();
    table.set_header(["bound", "found", "most", ""]);
    let mut all_held = true;
    for bound in bounds {
        let holds = bound.measured <= bound.max;
        all_held &= holds;
        let (measured, max) = (bound.measured.to_string(), bound.max.to_string());
        let status = if holds { "held" } else { "EXCEEDED" };
        table.add_row([bound.name.to_owned(), measured, max, status.to_owned()]);
    }
    println!("{table}");
    if all_held {
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
