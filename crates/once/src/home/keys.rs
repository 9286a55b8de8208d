//! [`KeyHome`], which decides which calls run.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{ByteCount, ErrorKind, SharedClock};

use super::answer::AnswerStore;
use super::entry::{KeyEntry, KeyState, short_fingerprint};
use super::handover::StagedShard;
use super::shard::{IssuerAdmission, KeyShard, ShardAdmission, ShardId};
use super::untimed::UntimedKeys;
use super::verdict::{CloseVerdict, KeyCall, KeyRefusal, KeyVerdict, RunTicket};
use crate::fingerprint::RequestFingerprint;
use crate::key::{CallKey, IssuedKey, KeyDigest};
use crate::lease::{HolderId, KeyRange, TermEpoch, TermRef};
use crate::proof::RunProof;

/// Limits of a key home.
#[derive(Clone, Copy, Debug)]
pub struct HomeSettings {
    /// Time after its creation for which a caller's key is admitted and remembered.
    pub window: Duration,
    /// Time after its issue for which an issued key is admitted and remembered.
    pub issued_window: Duration,
    /// Maximum number of remembered keys; the default fills a power-of-two table to 7/8.
    pub max_keys: usize,
    /// Maximum memory of stored answers.
    pub answer_budget: ByteCount,
    /// Maximum size of an answer that is stored.
    pub largest_answer: ByteCount,
    /// Maximum drift of monotonic clocks, in parts per thousand.
    pub drift_permille: u32,
    /// Policy for keys without a timestamp.
    pub untimed_keys: UntimedKeys,
}

impl Default for HomeSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(240),
            issued_window: Duration::from_secs(1800),
            max_keys: 114_688,
            answer_budget: ByteCount(4 << 20),
            largest_answer: ByteCount(64 << 10),
            drift_permille: 5,
            untimed_keys: UntimedKeys::Refused,
        }
    }
}

/// Counts of a home, for metrics and `status`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HomeCounts {
    /// Number of remembered keys.
    pub keys: usize,
    /// Number of calls that were begun here and are not settled.
    pub running: usize,
    /// Memory of the stored answers.
    pub answers: ByteCount,
    /// Memory of the tables of keys.
    pub tables: ByteCount,
}

/// Decides which calls with an idempotency key run.
#[derive(Debug)]
pub struct KeyHome {
    pub(super) me: HolderId,
    pub(super) settings: HomeSettings,
    pub(super) clock: SharedClock,
    pub(super) started: Instant,
    pub(super) shards: BTreeMap<ShardId, KeyShard>,
    /// Current term of each range that this home holds.
    pub(super) current: BTreeMap<KeyRange, TermRef>,
    pub(super) staged: HashMap<ShardId, StagedShard>,
    pub(super) answers: AnswerStore,
    pub(super) key_count: usize,
    pub(super) next_sweep: Instant,
}

impl KeyHome {
    /// Creates a home that holds no range yet; it can issue keys at once.
    pub fn new(me: HolderId, settings: HomeSettings, clock: SharedClock) -> Self {
        let started = clock.now();
        let admission = ShardAdmission::Issuer(IssuerAdmission {
            since: started,
            uptime: Duration::ZERO,
            issued: 0,
        });
        Self {
            me,
            settings,
            clock,
            started,
            shards: BTreeMap::from([(ShardId::Issuer(me), KeyShard::new(admission, started))]),
            current: BTreeMap::new(),
            staged: HashMap::new(),
            answers: AnswerStore::new(settings.answer_budget, settings.largest_answer),
            key_count: 0,
            next_sweep: started,
        }
    }

    /// Issues a key that this home decides about; `None` once it hands its keys over.
    pub fn issue(&mut self) -> Option<IssuedKey> {
        let uptime = self.uptime();
        let shard = self.shards.get_mut(&ShardId::Issuer(self.me))?;
        let ShardAdmission::Issuer(admission) = &mut shard.admission else {
            return None;
        };
        if shard.successor.is_some() {
            return None;
        }
        let serial = admission.issued;
        admission.issued += 1;
        Some(IssuedKey {
            issuer: self.me,
            born_ms: uptime.as_millis() as u64,
            serial,
        })
    }

    /// Returns the counts of the home; visits every key.
    pub fn counts(&self) -> HomeCounts {
        let entries = self
            .shards
            .values()
            .flat_map(|shard| shard.entries.values());
        HomeCounts {
            keys: self.key_count,
            running: entries
                .filter(|entry| entry.state == KeyState::Running)
                .count(),
            answers: self.answers.held(),
            tables: self.shards.values().map(KeyShard::memory).sum(),
        }
    }

    /// Decides about a call and records it as running if it may run.
    pub fn begin(&mut self, call: &KeyCall) -> KeyVerdict {
        let id = match self.shard_of(call) {
            Ok(id) => id,
            Err(refusal) => return KeyVerdict::Refused(refusal),
        };
        if let Some(entry) = self.entry_in(id, call) {
            return self.verdict_of(entry, call);
        }
        match self.admit(id, call) {
            Ok(()) => KeyVerdict::Run(RunTicket {
                shard: id,
                digest: call.digest,
            }),
            Err(refusal) => KeyVerdict::Refused(refusal),
        }
    }

    /// Closes a key permanently, so that a call that has not run never will.
    pub fn close(&mut self, key: &CallKey, digest: KeyDigest) -> CloseVerdict {
        let mut call = KeyCall {
            key: key.clone(),
            digest,
            fingerprint: RequestFingerprint(0),
        };
        let shard = self.shard_of(&call).ok();
        let entry = shard.and_then(|id| self.entry_in(id, &call));
        if let Some(entry) = entry {
            // Closing concerns the key, whichever request it was sent with.
            call.fingerprint = RequestFingerprint(entry.fingerprint.into());
        }
        match self.begin(&call) {
            KeyVerdict::Run(ticket) => {
                self.set_state(ticket, KeyState::Withdrawn);
                CloseVerdict::NeverRan
            }
            verdict => close_verdict(verdict, entry),
        }
    }

    pub(super) fn uptime(&self) -> Duration {
        self.clock.now().saturating_duration_since(self.started)
    }

    fn shard_of(&self, call: &KeyCall) -> Result<ShardId, KeyRefusal> {
        match &call.key {
            CallKey::Issued(key) => {
                let id = ShardId::Issuer(key.issuer);
                if self.shards.contains_key(&id) {
                    return Ok(id);
                }
                Err(self.refuse_other_issuer(key))
            }
            CallKey::Caller(_) => {
                let term = self.current.get(&call.digest.range());
                term.map(|term| ShardId::Range(*term)).ok_or_else(|| {
                    KeyRefusal::new(
                        ErrorKind::HomeUnavailable,
                        RunProof::SendingNotRun,
                        "this daemon is not the key's home",
                    )
                })
            }
        }
    }

    fn refuse_other_issuer(&self, key: &IssuedKey) -> KeyRefusal {
        let issuer = key.issuer;
        if issuer.daemon == self.me.daemon && issuer.incarnation < self.me.incarnation {
            return KeyRefusal::new(
                ErrorKind::KeyClosed,
                RunProof::MayHaveRun,
                "the issuer was restarted; the call never runs again",
            );
        }
        KeyRefusal::new(
            ErrorKind::HomeUnavailable,
            RunProof::SendingNotRun,
            "the key belongs to another home",
        )
    }

    fn admit(&mut self, id: ShardId, call: &KeyCall) -> Result<(), KeyRefusal> {
        let now = self.clock.now();
        let uptime_s = self.uptime().as_secs() as u32;
        let full = self.key_count >= self.settings.max_keys;
        let Some(shard) = self.shards.get_mut(&id) else {
            return Err(KeyRefusal::new(
                ErrorKind::HomeUnavailable,
                RunProof::SendingNotRun,
                "the key's shard has been dropped",
            ));
        };
        // Remembered keys were answered before this check, whatever the policy is.
        let policy_check = self.settings.untimed_keys.check(&call.key);
        policy_check.map_err(|error| KeyRefusal {
            error,
            // An earlier attempt may have reached a home whose policy lets such keys run.
            proof: RunProof::SendingNotRun,
        })?;
        let key_time = shard.admit(&call.key, now)?;
        if full {
            return Err(KeyRefusal::new(
                ErrorKind::HomeFull,
                RunProof::NotRun,
                "the home already remembers its maximum number of keys",
            ));
        }
        let entry = KeyEntry {
            fingerprint: short_fingerprint(call.fingerprint),
            time_s: if key_time.timed {
                key_time.time_s
            } else {
                uptime_s
            },
            status: 0,
            state: KeyState::Running,
            timed: key_time.timed,
        };
        shard.entries.insert(call.digest, entry);
        self.key_count += 1;
        Ok(())
    }

    /// Returns the entry of a key in its shard or in earlier terms of its range.
    fn entry_in(&self, id: ShardId, call: &KeyCall) -> Option<KeyEntry> {
        match id {
            ShardId::Range(_) => self.range_entry(call.digest),
            ShardId::Issuer(_) => self.shards.get(&id)?.entries.get(&call.digest).copied(),
        }
    }

    /// Returns the entry of a caller's key in the latest term of its range that has one.
    pub(super) fn range_entry(&self, digest: KeyDigest) -> Option<KeyEntry> {
        let mut shards = self.range_shards(digest.range()).rev();
        shards.find_map(|(_, shard)| shard.entries.get(&digest).copied())
    }

    /// Returns the shards of all terms of a range, earliest first.
    pub(super) fn range_shards(
        &self,
        range: KeyRange,
    ) -> impl DoubleEndedIterator<Item = (&ShardId, &KeyShard)> {
        let first = ShardId::Range(TermRef::new(range, TermEpoch::NONE));
        let last = ShardId::Range(TermRef::new(range, TermEpoch(u64::MAX)));
        self.shards.range(first..=last)
    }

    pub(super) fn verdict_of(&self, entry: KeyEntry, call: &KeyCall) -> KeyVerdict {
        let refused =
            |kind, proof, detail: &str| KeyVerdict::Refused(KeyRefusal::new(kind, proof, detail));
        // A key may have been closed by someone who does not know its request.
        if entry.state != KeyState::Withdrawn
            && entry.fingerprint != short_fingerprint(call.fingerprint)
        {
            return refused(
                ErrorKind::KeyReused,
                RunProof::SendingNotRun,
                "the key was sent with a different request before",
            );
        }
        match entry.state {
            KeyState::Running | KeyState::RunningElsewhere => KeyVerdict::Running,
            KeyState::Done => match self.answers.get(call.digest) {
                Some(answer) => KeyVerdict::Finished(Arc::clone(answer)),
                None => refused(
                    ErrorKind::AnswerForgotten,
                    RunProof::Done,
                    &format!("the call ran once and was answered {}", entry.status),
                ),
            },
            KeyState::Lost => refused(
                ErrorKind::OutcomeUnknown,
                RunProof::MayHaveRun,
                "the target was lost; the call never runs again",
            ),
            KeyState::Withdrawn => refused(
                ErrorKind::KeyWithdrawn,
                RunProof::NotRun,
                "the key was closed before the call ran",
            ),
        }
    }

    fn set_state(&mut self, ticket: RunTicket, state: KeyState) {
        let shard = self.shards.get_mut(&ticket.shard);
        if let Some(entry) = shard.and_then(|shard| shard.entries.get_mut(&ticket.digest)) {
            entry.state = state;
        }
    }
}

/// Converts a decision about a key to the result of closing it.
pub(super) fn close_verdict(verdict: KeyVerdict, entry: Option<KeyEntry>) -> CloseVerdict {
    match verdict {
        // Closing does not end a running call: its outcome arrives when the ticket is settled.
        KeyVerdict::Run(_) | KeyVerdict::Running => CloseVerdict::Running,
        KeyVerdict::Finished(answer) => CloseVerdict::Ran(answer.status),
        KeyVerdict::Refused(refusal) => match refusal.error.kind {
            ErrorKind::KeyWithdrawn => CloseVerdict::NeverRan,
            ErrorKind::AnswerForgotten => CloseVerdict::Ran(entry.map_or(0, |entry| entry.status)),
            ErrorKind::OutcomeUnknown => CloseVerdict::MayHaveRun,
            _ => CloseVerdict::Refused(refusal),
        },
    }
}
