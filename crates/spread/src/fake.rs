//! A small replica for tests, benches and embedders' own tests.
//!
//! A record is text, `key=value`; one without `=` is refused, and one that
//! begins with [`NEWER_RULES`] stops the fold. The state keeps
//! the last value of each key. A delta is taken for smaller than the whole
//! state while it has fewer entries.

use std::collections::{BTreeMap, VecDeque};

use feed::port::LogRecord;
use model::{ConfigVersion, ErrorKind, KindError, LogOffset};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::replica::{FoldReport, ReplicaHead, ReplicaPort, Result, UpdateBody};

/// Begin of a record that this release cannot fold.
pub const NEWER_RULES: &[u8] = b"rules 2:";

/// Entries that a delta may reach back over.
const MAX_HISTORY: usize = 256;

/// The whole state, as it travels.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct FakeState {
    next: LogOffset,
    version: ConfigVersion,
    values: BTreeMap<Box<str>, Box<str>>,
}

/// One record of the past; `change` is none if it was refused.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct FakeEntry {
    offset: LogOffset,
    change: Option<(Box<str>, Box<str>)>,
}

#[derive(Debug, Deserialize, Serialize)]
enum FakeUpdate {
    Delta {
        base: LogOffset,
        base_hash: u64,
        entries: Vec<FakeEntry>,
    },
    Whole(FakeState),
}

/// A replica that keeps the last value of each key.
#[derive(Clone, Debug, Default)]
pub struct FakeReplica {
    state: FakeState,
    values_hash: u64,
    history: VecDeque<FakeEntry>,
    hashes: BTreeMap<LogOffset, u64>,
}

impl FakeReplica {
    /// An empty replica.
    pub fn new() -> Self {
        Self::default()
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<&str> {
        self.state.values.get(key).map(AsRef::as_ref)
    }

    fn of_state(state: FakeState) -> Self {
        let entries = state.values.iter();
        let values_hash = entries
            .map(|(key, value)| entry_hash(key, value))
            .fold(0, u64::wrapping_add);
        Self {
            state,
            values_hash,
            ..Self::default()
        }
    }

    fn take(&mut self, entry: FakeEntry) {
        self.hashes.insert(self.state.next, self.hash());
        self.state.next = entry.offset.next();
        if let Some((key, value)) = &entry.change {
            self.state.version = ConfigVersion::at(entry.offset);
            let last = self.state.values.insert(key.clone(), value.clone());
            let gone = last.map_or(0, |last| entry_hash(key, &last));
            let gained = entry_hash(key, value);
            self.values_hash = self.values_hash.wrapping_sub(gone).wrapping_add(gained);
        }
        self.history.push_back(entry);
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
            self.hashes.pop_first();
        }
    }

    fn delta_since(&self, base: &ReplicaHead) -> Option<FakeUpdate> {
        let known = *self.hashes.get(&base.next)?;
        if known != base.state_hash {
            return None;
        }
        let entries = self.history.iter();
        Some(FakeUpdate::Delta {
            base: base.next,
            base_hash: known,
            entries: entries
                .filter(|entry| entry.offset >= base.next)
                .cloned()
                .collect(),
        })
    }
}

impl ReplicaPort for FakeReplica {
    fn next_offset(&self) -> LogOffset {
        self.state.next
    }

    fn version(&self) -> ConfigVersion {
        self.state.version
    }

    fn hash(&self) -> u64 {
        let FakeState { next, version, .. } = self.state;
        xxh3_64(&encode(&(next, version, self.values_hash)))
    }

    fn fold(&mut self, records: &[LogRecord]) -> FoldReport {
        let mut report = FoldReport::default();
        for record in records {
            if record.body.starts_with(NEWER_RULES) {
                break;
            }
            let text = String::from_utf8_lossy(&record.body);
            let change = text
                .split_once('=')
                .map(|(key, value)| (key.into(), value.into()));
            match change {
                Some(_) => report.accepted += 1,
                None => report.refused += 1,
            }
            self.take(FakeEntry {
                offset: record.offset,
                change,
            });
        }
        report
    }

    fn update_since(&self, base: &ReplicaHead) -> Option<UpdateBody> {
        if base.next >= self.state.next {
            return None;
        }
        let fewer = |entries: u64| entries < self.state.values.len() as u64;
        let short = fewer(self.state.next.0 - base.next.0);
        let delta = self.delta_since(base).filter(|_| short);
        let update = delta.unwrap_or_else(|| FakeUpdate::Whole(self.state.clone()));
        Some(UpdateBody(encode(&update)))
    }

    fn apply_update(&mut self, body: &UpdateBody) -> Result<bool> {
        match decode(&body.0)? {
            FakeUpdate::Whole(state) if state.next > self.state.next => {
                *self = Self::of_state(state);
                Ok(true)
            }
            FakeUpdate::Whole(_) => Ok(false),
            FakeUpdate::Delta {
                base,
                base_hash,
                entries,
            } => {
                let fits = base == self.state.next && base_hash == self.hash();
                model::ensure(fits, ErrorKind::SnapshotInvalid, "another base")?;
                for entry in entries {
                    self.take(entry);
                }
                Ok(true)
            }
        }
    }

    fn snapshot(&self) -> Box<[u8]> {
        encode(&self.state)
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<bool> {
        let state = decode::<FakeState>(snapshot)?;
        if state.next <= self.state.next {
            return Ok(false);
        }
        *self = Self::of_state(state);
        Ok(true)
    }
}

fn entry_hash(key: &str, value: &str) -> u64 {
    xxh3_64_with_seed(value.as_bytes(), xxh3_64(key.as_bytes()))
}

fn encode(value: &impl Serialize) -> Box<[u8]> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("plain data encodes")
        .into_boxed_slice()
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .map(|(value, _)| value)
        .map_err(|error| KindError::new(ErrorKind::SnapshotInvalid, error.to_string()))
}
