//! In-memory log, record bodies and edits of the template, shared by the tests.

#![allow(dead_code, reason = "no test file uses all of it")]

use std::time::{Duration, SystemTime};

use model::{ChangeId, ConfigVersion, LogOffset};
use quetzal_plans::{
    ChangeMeta, ChangeRecord, ConfigLists, ConfigRecord, ConfigState, EntryEdit, EntryName,
    EntryValue, lists,
};
use sha2::{Digest, Sha256};

/// Size of the magic number, digest and uncompressed size before the compressed state.
pub const SNAPSHOT_HEADER_BYTES: usize = 40;

/// Encodes any content as a snapshot with a correct digest, in the uncompressed format.
pub fn plain_snapshot(content: &[u8]) -> Vec<u8> {
    [b"QZS1", Sha256::digest(content).as_slice(), content].concat()
}

/// Encodes any content as a compressed snapshot that declares `size`.
pub fn deflated_snapshot(content: &[u8], size: usize) -> Vec<u8> {
    let deflated = miniz_oxide::deflate::compress_to_vec(content, 6);
    sized_snapshot(&deflated, size)
}

/// Encodes any compressed bytes as a snapshot that declares `size`.
pub fn sized_snapshot(deflated: &[u8], size: usize) -> Vec<u8> {
    let body = [&(size as u32).to_le_bytes(), deflated].concat();
    [b"QZS2", Sha256::digest(&body).as_slice(), &body].concat()
}

/// Returns the lists written by `quetzal init`.
pub fn template_lists() -> ConfigLists {
    let (plans, allowances) = lists::template();
    ConfigLists::parse(&plans, &allowances).expect("the template is valid")
}

/// Returns a change id that is the same in every run.
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

/// In-memory config stream.
#[derive(Clone, Debug, Default)]
pub struct LogStub {
    pub records: Vec<ConfigRecord>,
}

impl LogStub {
    /// Appends a record, one second after the previous one.
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

    /// Returns the state after the first `count` records.
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

/// Returns an edit that sets the plan of a customer; `None` removes the customer.
pub fn set_plan(name: &str, plan: Option<&str>) -> EntryEdit {
    let after = plan.map(|plan| {
        let mut entry = template_lists().entry(&customer("agency-salma")).unwrap();
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

/// Returns an edit that sets the rate of an allowance of the template.
pub fn set_rate(plan: &str, service: &str, rate: u32) -> EntryEdit {
    let entry = allowance(plan, service);
    let mut after = template_lists().entry(&entry);
    if let Some(EntryValue::Allowance(allowance)) = &mut after {
        allowance.rate_per_s = rate;
    }
    EntryEdit { entry, after }
}

/// Encodes a change with the given edits.
pub fn change(number: u64, author: &str, base: ConfigVersion, edits: Vec<EntryEdit>) -> Vec<u8> {
    let meta = meta(number, author, "");
    ChangeRecord::new(base, edits, meta).encode().unwrap()
}

/// Encodes the change that publishes the template.
pub fn first_change() -> Vec<u8> {
    let state = ConfigState::new();
    let meta = meta(0, "mona", "first lists");
    let change = ChangeRecord::between(&state, ConfigVersion::NONE, &template_lists(), meta);
    change.unwrap().encode().unwrap()
}

/// Returns a log in which the template is published.
pub fn template_log() -> LogStub {
    let mut log = LogStub::default();
    log.append(&first_change());
    log
}
