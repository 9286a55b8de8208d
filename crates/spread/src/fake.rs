//! A small replica for tests, benches and embedders' own tests.
//!
//! A record is text, `key=value`; one without `=` is refused, and one that
//! begins with [`UNSUPPORTED_RULES_PREFIX`] stops the fold. `rebase NUMBER key=value` makes
//! that value the whole state at that position, if the position is higher. The
//! state keeps the last value of each key. A delta is taken for smaller than the
//! whole state while it has fewer entries.

use std::collections::{BTreeMap, VecDeque};

use feed::port::LogRecord;
use model::{ConfigVersion, ErrorKind, KindError, LogOffset};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::replica::{
    FoldReport, ReplicaHead, ReplicaPort, Result, SearchOutcome, UpdateBody, record_hash,
};

/// Begin of a record that this release cannot fold.
pub const UNSUPPORTED_RULES_PREFIX: &[u8] = b"rules 2:";

/// Begin of a rebase.
const REBASE: &str = "rebase ";

/// Entries that a delta may reach back over.
const MAX_HISTORY: usize = 256;

/// The whole state, as it travels.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct FakeState {
    next: LogOffset,
    position: ConfigVersion,
    /// Position and hash of the first record or the last rebase.
    origin: (ConfigVersion, u64),
    version: ConfigVersion,
    values: BTreeMap<Box<str>, Box<str>>,
}

/// What a record does, if it is not refused.
#[derive(Clone, Debug, Deserialize, Serialize)]
enum FakeChange {
    Set(Box<str>, Box<str>),
    Rebase(ConfigVersion, Box<str>, Box<str>),
}

/// One record of the past; `change` is none if it was refused.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct FakeEntry {
    offset: LogOffset,
    hash: u64,
    position: ConfigVersion,
    change: Option<FakeChange>,
}

#[derive(Debug, Deserialize, Serialize)]
enum FakeUpdate {
    Delta {
        base: ConfigVersion,
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
    hashes: BTreeMap<ConfigVersion, u64>,
    search: Option<Box<FakeReplica>>,
    /// The log's first records expired: only a rebase is a place to begin.
    lacks_start: bool,
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

    /// What the next record does; `None` if it is refused.
    fn judge(&self, text: &str) -> Option<FakeChange> {
        let Some(rest) = text.strip_prefix(REBASE) else {
            let (key, value) = text.split_once('=')?;
            return Some(FakeChange::Set(key.into(), value.into()));
        };
        let (number, change) = rest.split_once(' ')?;
        let (key, value) = change.split_once('=')?;
        let number = number.parse::<u64>().ok()?.checked_sub(1)?;
        let position = ConfigVersion::at(LogOffset(number));
        let rises = position > self.state.position;
        rises.then(|| FakeChange::Rebase(position, key.into(), value.into()))
    }

    fn entry(&self, record: &LogRecord) -> FakeEntry {
        let change = self.judge(&String::from_utf8_lossy(&record.body));
        let position = match change {
            Some(FakeChange::Rebase(position, ..)) => position,
            _ => ConfigVersion::at(LogOffset(self.state.position.number())),
        };
        FakeEntry {
            offset: record.offset,
            hash: record_hash(record),
            position,
            change,
        }
    }

    fn take(&mut self, entry: FakeEntry) {
        self.hashes.insert(self.state.position, self.hash());
        self.state.next = entry.offset.next();
        self.state.position = entry.position;
        if self.state.origin == Default::default() {
            self.state.origin = (entry.position, entry.hash);
        }
        match &entry.change {
            Some(FakeChange::Set(key, value)) => self.set(key, value),
            Some(FakeChange::Rebase(_, key, value)) => {
                self.state.origin = (entry.position, entry.hash);
                self.state.values.clear();
                self.values_hash = 0;
                self.history.clear();
                self.hashes.clear();
                self.set(key, value);
                return;
            }
            None => {}
        }
        self.history.push_back(entry);
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
            self.hashes.pop_first();
        }
    }

    fn set(&mut self, key: &str, value: &str) {
        self.state.version = self.state.position;
        let last = self.state.values.insert(key.into(), value.into());
        let gone = last.map_or(0, |last| entry_hash(key, &last));
        let gained = entry_hash(key, value);
        self.values_hash = self.values_hash.wrapping_sub(gone).wrapping_add(gained);
    }

    /// Takes a newer state of the same log, or one rebased past ours.
    fn take_state(&mut self, state: FakeState) -> Result<bool> {
        if state.position <= self.state.position {
            return Ok(false);
        }
        let empty = self.state == FakeState::default();
        let same = state.origin == self.state.origin;
        let follows = empty || same || state.origin.0 > self.state.position;
        model::ensure(follows, ErrorKind::LogDiverged, "a state of another log")?;
        *self = Self::of_state(state);
        Ok(true)
    }

    fn delta_since(&self, base: &ReplicaHead) -> Option<FakeUpdate> {
        let known = *self.hashes.get(&base.position)?;
        if known != base.state_hash {
            return None;
        }
        let entries = self.history.iter();
        Some(FakeUpdate::Delta {
            base: base.position,
            base_hash: known,
            entries: entries
                .filter(|entry| entry.position > base.position)
                .cloned()
                .collect(),
        })
    }
}

impl ReplicaPort for FakeReplica {
    fn next_offset(&self) -> LogOffset {
        self.state.next
    }

    fn position(&self) -> ConfigVersion {
        self.state.position
    }

    fn version(&self) -> ConfigVersion {
        self.state.version
    }

    fn hash(&self) -> u64 {
        let FakeState {
            position,
            origin,
            version,
            ..
        } = self.state;
        xxh3_64(&encode(&(position, origin, version, self.values_hash)))
    }

    fn fold(&mut self, records: &[LogRecord]) -> FoldReport {
        let mut report = FoldReport::default();
        for record in records {
            if record.body.starts_with(UNSUPPORTED_RULES_PREFIX) {
                break;
            }
            let entry = self.entry(record);
            match entry.change {
                Some(_) => report.accepted += 1,
                None => report.refused += 1,
            }
            self.take(entry);
        }
        report
    }

    fn update_since(&self, base: &ReplicaHead) -> Option<UpdateBody> {
        if base.position >= self.state.position {
            return None;
        }
        let fewer = |entries: u64| entries < self.state.values.len() as u64;
        let short = fewer(self.state.position.number() - base.position.number());
        let delta = self.delta_since(base).filter(|_| short);
        let update = delta.unwrap_or_else(|| FakeUpdate::Whole(self.state.clone()));
        Some(UpdateBody(encode(&update)))
    }

    fn apply_update(&mut self, body: &UpdateBody) -> Result<bool> {
        match decode(&body.0)? {
            FakeUpdate::Whole(state) => self.take_state(state),
            FakeUpdate::Delta {
                base,
                base_hash,
                entries,
            } => {
                let fits = base == self.state.position && base_hash == self.hash();
                model::ensure(fits, ErrorKind::SnapshotInvalid, "another base")?;
                for entry in entries {
                    self.take(entry);
                }
                Ok(true)
            }
        }
    }

    fn is_rebase(&self, body: &UpdateBody) -> bool {
        let update = decode::<FakeUpdate>(&body.0);
        matches!(update, Ok(FakeUpdate::Whole(state)) if state.origin.0 > self.state.position)
    }

    fn begin_rebase_search(&mut self, first: LogOffset) {
        let mut search = Self::new();
        search.state.next = first;
        search.lacks_start = first != LogOffset::default();
        self.search = Some(Box::new(search));
    }

    fn continue_rebase_search(&mut self, records: &[LogRecord]) -> SearchOutcome {
        let mut search = self.search.take().unwrap_or_default();
        for record in records {
            let next = search.state.next;
            if search.lacks_start && !record.body.starts_with(REBASE.as_bytes()) {
                search.state.next = record.offset.next();
                continue;
            }
            search.lacks_start = false;
            search.fold(std::slice::from_ref(record));
            let found = search.state.origin.0 > self.state.position;
            if found && self.take_state(search.state.clone()) == Ok(true) {
                return SearchOutcome::Found;
            }
            if search.state.next == next {
                break;
            }
        }
        let next = search.state.next;
        self.search = Some(search);
        SearchOutcome::Searching(next)
    }

    fn end_rebase_search(&mut self) {
        self.search = None;
    }

    fn snapshot(&self) -> Box<[u8]> {
        encode(&self.state)
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<bool> {
        self.take_state(decode(snapshot)?)
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
