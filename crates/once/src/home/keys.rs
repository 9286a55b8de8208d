//! [`KeyHome`], which decides what runs.

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

/// Bounds of a key home.
#[derive(Clone, Copy, Debug)]
pub struct HomeSettings {
    /// How long a caller's key is admitted and remembered after its making.
    pub window: Duration,
    /// How long an issued key is admitted and remembered after its issue.
    pub issued_window: Duration,
    /// Most keys remembered; a full table of this size is one power of two.
    pub max_keys: usize,
    /// Memory for answers.
    pub answer_budget: ByteCount,
    /// Largest answer kept.
    pub largest_answer: ByteCount,
    /// Drift of monotonic clocks, in parts per thousand.
    pub drift_permille: u32,
    /// Whether keys without a time may run.
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

/// What a home holds, for metrics and `status`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HomeCounts {
    /// Keys remembered.
    pub keys: usize,
    /// Calls begun here and not settled.
    pub running: usize,
    /// Memory of the answers held.
    pub answers: ByteCount,
    /// Memory of the tables of keys.
    pub tables: ByteCount,
}

/// Decides which calls with a key run.
#[derive(Debug)]
pub struct KeyHome {
    pub(super) me: HolderId,
    pub(super) settings: HomeSettings,
    pub(super) clock: SharedClock,
    pub(super) started: Instant,
    pub(super) shards: BTreeMap<ShardId, KeyShard>,
    pub(super) current: BTreeMap<KeyRange, TermRef>,
    pub(super) staged: HashMap<ShardId, StagedShard>,
    pub(super) answers: AnswerStore,
    pub(super) key_count: usize,
    pub(super) next_sweep: Instant,
}

impl KeyHome {
    /// A home that holds no range yet and can issue keys at once.
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

    /// Issues a key that this home decides about; none once it is handing over.
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

    /// What the home holds; looks at every key.
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

    /// Decides about a call.
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

    /// Closes a key for good, so that a call that has not run never will.
    pub fn close(&mut self, key: &CallKey, digest: KeyDigest) -> CloseVerdict {
        let mut call = KeyCall {
            key: key.clone(),
            digest,
            fingerprint: RequestFingerprint(0),
        };
        let shard = self.shard_of(&call).ok();
        let entry = shard.and_then(|id| self.entry_in(id, &call));
        if let Some(entry) = entry {
            // Closing asks about the key, whatever its request was.
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
                Err(self.refuse_foreign(key))
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

    fn refuse_foreign(&self, key: &IssuedKey) -> KeyRefusal {
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
                "the book is gone",
            ));
        };
        // A key that is remembered has been answered by now, whatever the setting.
        let timed = self.settings.untimed_keys.check(&call.key);
        timed.map_err(|error| KeyRefusal {
            error,
            // An earlier sending may have come to a home that lets such keys run.
            proof: RunProof::SendingNotRun,
        })?;
        let born = shard.admit(&call.key, now)?;
        if full {
            return Err(KeyRefusal::new(
                ErrorKind::HomeFull,
                RunProof::NotRun,
                "the home remembers as many keys as it can",
            ));
        }
        let entry = KeyEntry {
            fingerprint: short_fingerprint(call.fingerprint),
            time_s: if born.timed { born.time_s } else { uptime_s },
            status: 0,
            state: KeyState::Running,
            timed: born.timed,
        };
        shard.entries.insert(call.digest, entry);
        self.key_count += 1;
        Ok(())
    }

    /// What is known about a key in its book or in earlier terms of its range.
    fn entry_in(&self, id: ShardId, call: &KeyCall) -> Option<KeyEntry> {
        match id {
            ShardId::Range(_) => self.range_entry(call.digest),
            ShardId::Issuer(_) => self.shards.get(&id)?.entries.get(&call.digest).copied(),
        }
    }

    /// The entry of a caller's key in any term of its range, the latest first.
    pub(super) fn range_entry(&self, digest: KeyDigest) -> Option<KeyEntry> {
        let mut shards = self.range_shards(digest.range()).rev();
        shards.find_map(|(_, shard)| shard.entries.get(&digest).copied())
    }

    /// The books of all terms of a range, the earliest first.
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
        // A key may be closed by somebody who does not know its request.
        if entry.state != KeyState::Withdrawn
            && entry.fingerprint != short_fingerprint(call.fingerprint)
        {
            return refused(
                ErrorKind::KeyReused,
                RunProof::SendingNotRun,
                "the key came with another request before",
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

/// What a verdict on a key that does not run says to whoever closes it.
pub(super) fn close_verdict(verdict: KeyVerdict, entry: Option<KeyEntry>) -> CloseVerdict {
    match verdict {
        // A call that began is settled by whoever runs it.
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
