//! A small replica for tests, benches and embedders' own tests.
//!
//! A record is the text `key=value`, and the state is the last value of each key.
//! A record without `=` is refused, and one that starts with
//! [`UNSUPPORTED_RULES_PREFIX`] stops the fold. `rebase NUMBER key=value` replaces the
//! whole state by this one value and moves it to the position `NUMBER`; it is refused
//! unless that is higher than the current position. An update is a delta while that
//! has fewer entries than the state, and otherwise the whole state.

use std::collections::{BTreeMap, VecDeque};

use feed::port::LogRecord;
use model::{ConfigVersion, ErrorKind, KindError, LogOffset};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::replica::{
    FoldReport, ReplicaHead, ReplicaPort, Result, SearchOutcome, UpdateBody, record_hash,
};

/// Prefix of a record that this release cannot fold.
pub const UNSUPPORTED_RULES_PREFIX: &[u8] = b"rules 2:";

/// Prefix of a rebase record.
const REBASE_PREFIX: &str = "rebase ";

/// Maximum number of past records that a delta may contain.
const MAX_HISTORY: usize = 256;

/// Whole state, as sent in updates and snapshots.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct FakeState {
    next: LogOffset,
    position: ConfigVersion,
    /// Position and hash of the first record or the last rebase.
    origin: (ConfigVersion, u64),
    version: ConfigVersion,
    values: BTreeMap<Box<str>, Box<str>>,
}

/// Effect of an accepted record.
#[derive(Clone, Debug, Deserialize, Serialize)]
enum FakeChange {
    Set(Box<str>, Box<str>),
    Rebase(ConfigVersion, Box<str>, Box<str>),
}

/// Past record; `change` is `None` if it was refused.
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

/// Replica that keeps the last value of each key.
#[derive(Clone, Debug, Default)]
pub struct FakeReplica {
    state: FakeState,
    /// Sum of the hashes of all values, kept up to date as they change.
    values_hash: u64,
    /// Records that a delta can contain, oldest first.
    history: VecDeque<FakeEntry>,
    /// State hash at each position that a delta can start from.
    hashes: BTreeMap<ConfigVersion, u64>,
    search: Option<Box<FakeReplica>>,
    /// Whether the log's first records expired, so that the fold can only start at a rebase.
    lacks_start: bool,
}

impl FakeReplica {
    /// Creates an empty replica.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the value of a key.
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

    /// Returns the effect of the next record; `None` if it is refused.
    fn parse_change(&self, text: &str) -> Option<FakeChange> {
        let Some(rest) = text.strip_prefix(REBASE_PREFIX) else {
            let (key, value) = text.split_once('=')?;
            return Some(FakeChange::Set(key.into(), value.into()));
        };
        let (number, change) = rest.split_once(' ')?;
        let (key, value) = change.split_once('=')?;
        let number = number.parse::<u64>().ok()?.checked_sub(1)?;
        let position = ConfigVersion::at(LogOffset(number));
        let is_higher = position > self.state.position;
        is_higher.then(|| FakeChange::Rebase(position, key.into(), value.into()))
    }

    fn entry(&self, record: &LogRecord) -> FakeEntry {
        let change = self.parse_change(&String::from_utf8_lossy(&record.body));
        let position = match change {
            Some(FakeChange::Rebase(position, ..)) => position,
            // Positions start at 1 and offsets at 0, so this is the next position.
            _ => ConfigVersion::at(LogOffset(self.state.position.number())),
        };
        FakeEntry {
            offset: record.offset,
            hash: record_hash(record),
            position,
            change,
        }
    }

    fn apply_entry(&mut self, entry: FakeEntry) {
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
        let previous = self.state.values.insert(key.into(), value.into());
        let removed = previous.map_or(0, |previous| entry_hash(key, &previous));
        let added = entry_hash(key, value);
        self.values_hash = self.values_hash.wrapping_sub(removed).wrapping_add(added);
    }

    /// Adopts a newer state of the same log, or one that was rebased past the current one.
    fn adopt_state(&mut self, state: FakeState) -> Result<bool> {
        if state.position <= self.state.position {
            return Ok(false);
        }
        let is_empty = self.state == FakeState::default();
        let same_origin = state.origin == self.state.origin;
        let follows = is_empty || same_origin || state.origin.0 > self.state.position;
        model::ensure(
            follows,
            ErrorKind::LogDiverged,
            "the state belongs to another log",
        )?;
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
            self.apply_entry(entry);
        }
        report
    }

    fn update_since(&self, base: &ReplicaHead) -> Option<UpdateBody> {
        if base.position >= self.state.position {
            return None;
        }
        let is_smaller = |entries: u64| entries < self.state.values.len() as u64;
        let use_delta = is_smaller(self.state.position.number() - base.position.number());
        let delta = self.delta_since(base).filter(|_| use_delta);
        let update = delta.unwrap_or_else(|| FakeUpdate::Whole(self.state.clone()));
        Some(UpdateBody(encode(&update)))
    }

    fn apply_update(&mut self, body: &UpdateBody) -> Result<bool> {
        match decode(&body.0)? {
            FakeUpdate::Whole(state) => self.adopt_state(state),
            FakeUpdate::Delta {
                base,
                base_hash,
                entries,
            } => {
                let base_matches = base == self.state.position && base_hash == self.hash();
                model::ensure(
                    base_matches,
                    ErrorKind::SnapshotInvalid,
                    "the delta has another base",
                )?;
                for entry in entries {
                    self.apply_entry(entry);
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
            if search.lacks_start && !record.body.starts_with(REBASE_PREFIX.as_bytes()) {
                search.state.next = record.offset.next();
                continue;
            }
            search.lacks_start = false;
            search.fold(std::slice::from_ref(record));
            let is_rebased = search.state.origin.0 > self.state.position;
            if is_rebased && self.adopt_state(search.state.clone()) == Ok(true) {
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
        self.adopt_state(decode(snapshot)?)
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
