//! Size of the configuration in snapshots and in the log.

use std::fmt::Write;
use std::time::SystemTime;

use model::LogOffset;
use plans::{
    ChangeMeta, ChangeRecord, ConfigLists, ConfigRecord, ConfigReplica, EntryEdit, EntryValue,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::figure::CountedFigure;

const SERVICES: usize = 35;
const PLANS: usize = 5;
/// Number of changes applied before the measurement, which fill the history window.
const CHANGES: usize = 520;

/// Measures a configuration with this many customers.
pub fn run(customers: usize) -> Vec<CountedFigure> {
    let mut replica = build_replica(customers);
    let initial_bytes = snapshot_len(&mut replica);
    let mut bytes = 0;
    for change in 1..=CHANGES {
        bytes += apply_change(&mut replica, change);
    }
    let full = snapshot_len(&mut replica);
    vec![
        CountedFigure::new(
            "operator's command",
            "record of one change",
            "B",
            bytes as f64 / CHANGES as f64,
        ),
        CountedFigure::new(
            "proxy",
            "snapshot without past",
            "kB",
            initial_bytes as f64 / 1e3,
        ),
        CountedFigure::new(
            "proxy",
            "snapshot with a full past",
            "kB",
            full as f64 / 1e3,
        ),
    ]
}

/// Builds a replica from one record with this many customers.
pub fn build_replica(customers: usize) -> ConfigReplica {
    let mut replica = ConfigReplica::new();
    let lists = build_lists(customers);
    let base = replica.state().base();
    let first = ChangeRecord::between(replica.state(), base, &lists, change_meta(0));
    let first = first.expect("the lists differ from an empty state");
    append(&mut replica, 0, &first);
    replica
}

/// Changes one entry and returns the size of the record.
fn apply_change(replica: &mut ConfigReplica, change: usize) -> usize {
    let entries = replica.state().lists().entries();
    let index = change * 7 % entries.len();
    let (entry, mut value) = entries
        .into_iter()
        .nth(index)
        .expect("the index is in range");
    match &mut value {
        EntryValue::Customer(customer) => {
            let plan = format!("plan-{}", change % PLANS);
            customer.plan = plan.parse().expect("a valid name");
        }
        EntryValue::Service(rule) => rule.timeout_ms = 100 + change as u32,
        EntryValue::Allowance(allowance) => allowance.rate_per_s = 1 + change as u32,
    }
    let edit = EntryEdit {
        entry,
        after: Some(value),
    };
    let record = ChangeRecord::new(replica.state().base(), vec![edit], change_meta(change));
    append(replica, change, &record)
}

fn append(replica: &mut ConfigReplica, offset: usize, record: &ChangeRecord) -> usize {
    let body = record
        .encode()
        .expect("the change is within its size limit");
    let bytes = body.len();
    let record = ConfigRecord {
        offset: LogOffset(offset as u64),
        at: SystemTime::UNIX_EPOCH,
        body: body.into(),
    };
    replica.fold(record).expect("the next record");
    bytes
}

fn snapshot_len(replica: &mut ConfigReplica) -> usize {
    replica
        .snapshot_bytes()
        .expect("the state is within its size limit")
        .len()
}

/// Returns 32 random hexadecimal digits, which are as incompressible as ids and digests.
fn random_digits(seed: usize) -> String {
    let mut rng = SmallRng::seed_from_u64(seed as u64);
    format!("{:032x}", rng.random::<u128>())
}

fn change_meta(change: usize) -> ChangeMeta {
    let id = random_digits(change);
    ChangeMeta {
        id: id.parse().expect("32 hexadecimal digits are an id"),
        author: "operator@host".parse().expect("a valid name"),
        note: "another plan for a customer".into(),
    }
}

/// Builds lists with this many customers, 35 services and five plans.
fn build_lists(customer_count: usize) -> ConfigLists {
    let mut customers = Vec::new();
    for index in 0..customer_count {
        let plan = index % PLANS;
        let key = random_digits(index) + &random_digits(customer_count + index);
        customers.push(format!(
            "\"customer-{index:04}\": {{ \"plan\": \"plan-{plan}\", \"key_sha256\": \"{key}\" }}"
        ));
    }
    let mut services = Vec::new();
    let mut allowances = Vec::new();
    for index in 0..SERVICES {
        let mut service = String::new();
        write!(
            service,
            "\"service-{index:02}\": {{ \"path\": \"/service-{index:02}\", \"timeout_ms\": 2000, \
             \"kind\": \"booking\", \"methods\": {{ \"GET\": {{ \"idempotent\": true }}, \
             \"POST\": {{ \"idempotent\": false }} }} }}"
        )
        .expect("writing to a string never fails");
        services.push(service);
        allowances.push(format!(
            "\"service-{index:02}\": {{ \"methods\": [\"GET\", \"POST\"], \"rate_per_s\": 50, \
             \"calls_at_once\": 20 }}"
        ));
    }
    let allowances = allowances.join(",");
    let plan = |index: usize| format!("\"plan-{index}\": {{ {allowances} }}");
    let plans: Vec<String> = (0..PLANS).map(plan).collect();
    let plans_text = format!("{{ \"customers\": {{ {} }} }}", customers.join(","));
    let allowances_text = format!(
        "{{ \"services\": {{ {} }}, \"plans\": {{ {} }} }}",
        services.join(","),
        plans.join(",")
    );
    ConfigLists::parse(&plans_text, &allowances_text).expect("the lists are valid")
}
