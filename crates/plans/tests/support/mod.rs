//! A log that is a vector, operators' records, and lists to change.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::time::{Duration, SystemTime};

use model::{ChangeId, ConfigVersion, LogOffset};
use quetzal_plans::{
    ChangeMeta, ChangeRecord, ConfigLists, ConfigRecord, ConfigState, EntryEdit, EntryName,
    EntryValue, lists,
};
use sha2::{Digest, Sha256};

/// Format, digest and size before a snapshot's deflated state.
pub const SNAPSHOT_HEAD_BYTES: usize = 40;

/// A snapshot of any content whose digest is right, in the older, plain encoding.
pub fn plain_snapshot(content: &[u8]) -> Vec<u8> {
    [b"QZS1", Sha256::digest(content).as_slice(), content].concat()
}

/// The same, deflated, with a size as claimed.
pub fn deflated_snapshot(content: &[u8], size: usize) -> Vec<u8> {
    let deflated = miniz_oxide::deflate::compress_to_vec(content, 6);
    sized_snapshot(&deflated, size)
}

/// The same of any deflated bytes.
pub fn sized_snapshot(deflated: &[u8], size: usize) -> Vec<u8> {
    let body = [&(size as u32).to_le_bytes(), deflated].concat();
    [b"QZS2", Sha256::digest(&body).as_slice(), &body].concat()
}

/// The pair of `quetzal init`.
pub fn template_pair() -> ConfigLists {
    let (plans, allowances) = lists::template();
    ConfigLists::parse(&plans, &allowances).expect("the template is valid")
}

/// A change id that is the same in every run.
pub fn change_id(number: u64) -> ChangeId {
    let text = format!("0198c0de-0000-7000-8000-{number:012x}");
    ChangeId(text.parse().unwrap())
}

pub fn meta(number: u64, author: &str, note: &str) -> ChangeMeta {
    ChangeMeta {
        id: change_id(number),
        author: author.parse().unwrap(),
        note: note.into(),
    }
}

/// The config stream as the log service holds it.
#[derive(Clone, Debug, Default)]
pub struct LogStub {
    pub records: Vec<ConfigRecord>,
}

impl LogStub {
    /// Appends one record; each comes a second after the one before.
    pub fn append(&mut self, body: &[u8]) -> ConfigRecord {
        const START: Duration = Duration::from_secs(1_767_225_600);
        let offset = self.records.len() as u64;
        let record = ConfigRecord {
            offset: LogOffset(offset),
            at: SystemTime::UNIX_EPOCH + START + Duration::from_secs(offset),
            body: body.into(),
        };
        self.records.push(record.clone());
        record
    }

    /// The state after the first `count` records.
    pub fn state_after(&self, count: usize) -> ConfigState {
        let mut state = ConfigState::new();
        for record in &self.records[..count] {
            state.apply(record).unwrap();
        }
        state
    }

    pub fn state(&self) -> ConfigState {
        self.state_after(self.records.len())
    }
}

pub fn customer(name: &str) -> EntryName {
    EntryName::Customer(name.parse().unwrap())
}

pub fn service(name: &str) -> EntryName {
    EntryName::Service(name.parse().unwrap())
}

pub fn allowance(plan: &str, service: &str) -> EntryName {
    EntryName::Allowance {
        plan: plan.parse().unwrap(),
        service: service.parse().unwrap(),
    }
}

/// A customer's edit to hold `plan`; none removes the customer.
pub fn hold_plan(name: &str, plan: Option<&str>) -> EntryEdit {
    let after = plan.map(|plan| {
        let mut entry = template_pair().entry(&customer("agency-salma")).unwrap();
        if let EntryValue::Customer(customer) = &mut entry {
            customer.plan = plan.parse().unwrap();
        }
        entry
    });
    EntryEdit {
        entry: customer(name),
        after,
    }
}

/// An edit of the rate of a plan of the template.
pub fn set_rate(plan: &str, service: &str, rate: u32) -> EntryEdit {
    let entry = allowance(plan, service);
    let mut after = template_pair().entry(&entry);
    if let Some(EntryValue::Allowance(allowance)) = &mut after {
        allowance.rate_per_s = rate;
    }
    EntryEdit { entry, after }
}

/// The body of a change with these edits.
pub fn change(number: u64, author: &str, base: ConfigVersion, edits: Vec<EntryEdit>) -> Vec<u8> {
    let meta = meta(number, author, "");
    ChangeRecord::new(base, edits, meta).encode().unwrap()
}

/// The body of the change that brings the template in force.
pub fn first_change() -> Vec<u8> {
    let state = ConfigState::new();
    let meta = meta(0, "mona", "first lists");
    let change = ChangeRecord::between(&state, ConfigVersion::NONE, &template_pair(), meta);
    change.unwrap().encode().unwrap()
}

/// A log with the template in force.
pub fn template_log() -> LogStub {
    let mut log = LogStub::default();
    log.append(&first_change());
    log
}
