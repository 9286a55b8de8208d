//! Handover of shards to another home, in a planned shutdown or when ranges move.
//!
//! The old home seals a shard, which from then on begins no call, and sends it
//! in pages to its successor. The successor stages the pages and activates
//! the shard when it is entitled to: an issuer's shard as soon as it is
//! complete, a range's shard when the log grants it the term that follows the
//! sealed one. Calls that still run are settled by messages when they end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{ErrorKind, KindError};
use serde::{Deserialize, Serialize};

use super::answer::StoredAnswer;
use super::entry::{KeyEntry, KeyState};
use super::keys::KeyHome;
use super::shard::{IssuerAdmission, KeyShard, RangeAdmission, ShardAdmission, ShardId};
use crate::key::KeyDigest;
use crate::lease::{HolderId, KeyRange, LeaseTerm, LogStamp, TermRef};

/// Result of a handover step; errors have the kind `FrameInvalid`, `HomeFull` or `HomeUnavailable`.
pub type Result<T> = model::Result<T>;

/// Maximum number of keys on a page.
pub const MAX_PAGE_KEYS: usize = 512;
/// Size of the answers, in bytes, at which a page takes no further key.
pub const PAGE_ANSWER_BYTES: u64 = 128 << 10;
/// Maximum number of shards that are staged at once.
const MAX_STAGED_SHARDS: usize = 4 * KeyRange::COUNT;

/// Part of a shard on its way to its next home.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandoverPage {
    /// Shard that the page belongs to.
    #[serde(rename = "book")]
    pub shard: ShardId,
    /// Position among the pages of the shard.
    pub number: u32,
    /// Whether this is the last page.
    pub last: bool,
    /// Number of keys on all pages.
    pub total: u32,
    /// Low-water mark in seconds: timed keys below it are not admitted.
    pub floor_s: u32,
    /// Admission rule of the shard.
    #[serde(rename = "gate")]
    pub admission: HandedAdmission,
    /// Keys of this page.
    pub keys: Vec<HandedKey>,
}

/// Admission rule of a handed shard, without times of the sender's clock.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HandedAdmission {
    /// Rule of a range's shard.
    Range {
        /// Keys created up to this time belong to earlier holders.
        owns_after: Option<LogStamp>,
        /// Milliseconds until untimed keys are admitted.
        untimed_wait_ms: u64,
    },
    /// Rule of an issuer's shard.
    Issuer {
        /// Uptime of the issuer in milliseconds.
        uptime_ms: u64,
        /// Number of keys issued so far.
        issued: u64,
    },
}

/// A key of a handed shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandedKey {
    /// Digest of the key.
    pub digest: KeyDigest,
    /// Half of the request's fingerprint.
    #[serde(rename = "print")]
    pub fingerprint: u64,
    /// Timestamp of the key in seconds; for an untimed key, its age.
    pub time_s: u32,
    /// Whether the key carries a timestamp.
    pub timed: bool,
    /// State of the call.
    pub state: KeyState,
    /// HTTP status of the answer; 0 without one.
    pub status: u16,
    /// Answer to the call, if it is stored.
    pub answer: Option<Arc<StoredAnswer>>,
}

/// Answer of the successor to a page.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StageAnswer {
    /// The page with this number is expected next.
    Next(u32),
    /// The shard is complete.
    Whole,
}

/// A shard that is being received.
#[derive(Debug)]
pub(super) struct StagedShard {
    pub(super) from: HolderId,
    pub(super) shard: KeyShard,
    admission: HandedAdmission,
    first_page_at: Instant,
    pages: u32,
    complete: bool,
}

impl KeyHome {
    /// Returns every shard that a leaving home hands over.
    pub fn shards_to_hand_over(&self) -> Vec<ShardId> {
        let live = self.shards.iter().filter(|(_, shard)| !shard.ended);
        let mut ids: Vec<ShardId> = live.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Seals a shard for `successor` and returns its pages; it never begins a call again.
    ///
    /// An issuer's shard goes to one successor only, because the successor
    /// activates it without asking the log.
    pub fn seal(&mut self, id: ShardId, successor: HolderId) -> Result<Vec<HandoverPage>> {
        let uptime_s = self.uptime().as_secs() as u32;
        let now = self.clock.now();
        let missing = || KindError::new(ErrorKind::HomeUnavailable, format!("{id} is not held"));
        let shard = self.shards.get_mut(&id).ok_or_else(missing)?;
        let sealed_for_other = shard
            .successor
            .is_some_and(|existing| existing != successor);
        if sealed_for_other && matches!(id, ShardId::Issuer(_)) {
            return Err(KindError::new(
                ErrorKind::HomeUnavailable,
                format!("{id} was handed to another home"),
            ));
        }
        shard.successor = Some(successor);
        let admission = handed_admission(&shard.admission, now);
        let handed = |(digest, entry): (&KeyDigest, &KeyEntry)| HandedKey {
            digest: *digest,
            fingerprint: entry.fingerprint,
            time_s: if entry.timed {
                entry.time_s
            } else {
                uptime_s.saturating_sub(entry.time_s)
            },
            timed: entry.timed,
            state: match entry.state {
                KeyState::Running => KeyState::RunningElsewhere,
                state => state,
            },
            status: entry.status,
            answer: self.answers.get(*digest).cloned(),
        };
        let mut keys: Vec<HandedKey> = shard.entries.iter().map(handed).collect();
        keys.sort_unstable_by_key(|key| key.digest);
        Ok(split_pages(id, shard.floor_s, &admission, keys))
    }

    /// Stages a page received from the daemon run `from`.
    pub fn stage(&mut self, from: HolderId, page: HandoverPage) -> Result<StageAnswer> {
        let now = self.clock.now();
        let id = page.shard;
        if matches!(id, ShardId::Issuer(_)) && self.shards.contains_key(&id) {
            return Ok(StageAnswer::Whole);
        }
        self.check_page(&page)?;
        let known = self.staged.get(&id);
        if known.is_some_and(|staged| staged.from == from && staged.complete) {
            return Ok(StageAnswer::Whole);
        }
        if page.number == 0 {
            self.staged.insert(id, StagedShard::new(from, &page, now));
        }
        let staged = self.staged.get_mut(&id);
        let Some(staged) = staged.filter(|staged| staged.from == from) else {
            return Ok(StageAnswer::Next(0));
        };
        if staged.pages != page.number {
            return Ok(StageAnswer::Next(staged.pages));
        }
        staged.pages += 1;
        let (last, total) = (page.last, page.total);
        self.add_keys(id, page.keys);
        self.finish_stage(id, last, total)
    }

    fn check_page(&self, page: &HandoverPage) -> Result<()> {
        let sized = page.keys.len() <= MAX_PAGE_KEYS;
        let matching = match (page.shard, &page.admission) {
            (ShardId::Range(term), HandedAdmission::Range { .. }) => term.range.index().is_some(),
            (ShardId::Issuer(_), HandedAdmission::Issuer { .. }) => true,
            _ => false,
        };
        model::ensure(
            sized && matching,
            ErrorKind::FrameInvalid,
            "malformed handover page",
        )?;
        let room = self.key_count + page.total as usize <= self.settings.max_keys;
        let first = page.number == 0;
        let shards = self.staged.len() < MAX_STAGED_SHARDS;
        model::ensure(
            !first || (room && shards),
            ErrorKind::HomeFull,
            "the home has no room for the keys that are handed over",
        )
    }

    fn add_keys(&mut self, id: ShardId, keys: Vec<HandedKey>) {
        let uptime_s = self.uptime().as_secs() as u32;
        let Some(staged) = self.staged.get_mut(&id) else {
            return;
        };
        for key in keys {
            let time_s = if key.timed {
                key.time_s
            } else {
                uptime_s.saturating_sub(key.time_s)
            };
            let entry = KeyEntry {
                fingerprint: key.fingerprint,
                time_s,
                status: key.status,
                state: key.state,
                timed: key.timed,
            };
            staged.shard.entries.insert(key.digest, entry);
            if let Some(answer) = key.answer {
                self.answers.put(key.digest, answer);
            }
        }
        self.count_keys();
    }

    fn finish_stage(&mut self, id: ShardId, last: bool, total: u32) -> Result<StageAnswer> {
        let Some(staged) = self.staged.get_mut(&id) else {
            return Ok(StageAnswer::Next(0));
        };
        if !last {
            return Ok(StageAnswer::Next(staged.pages));
        }
        if staged.shard.entries.len() != total as usize {
            self.staged.remove(&id);
            self.count_keys();
            return Err(KindError::new(
                ErrorKind::FrameInvalid,
                format!("{id}: keys are missing"),
            ));
        }
        staged.complete = true;
        if matches!(id, ShardId::Issuer(_))
            && let Some(staged) = self.staged.remove(&id)
        {
            self.shards.insert(id, staged.shard);
        }
        Ok(StageAnswer::Whole)
    }

    /// Activates the staged shard of the preceding term `term.prior`, if it is complete.
    pub(super) fn inherit_shard(
        &mut self,
        range: KeyRange,
        term: LeaseTerm,
        valid_until: Instant,
    ) -> Option<KeyShard> {
        let id = ShardId::Range(TermRef::new(range, term.prior));
        let staged = self.staged.remove(&id).filter(|staged| staged.complete)?;
        let HandedAdmission::Range {
            owns_after,
            untimed_wait_ms,
        } = staged.admission
        else {
            return None;
        };
        let mut shard = staged.shard;
        shard.admission = ShardAdmission::Range(RangeAdmission {
            // The shard contains the keys of the preceding term, so it owns their times as well.
            term: LeaseTerm { owns_after, ..term },
            untimed_from: staged.first_page_at + Duration::from_millis(untimed_wait_ms),
            valid_until,
        });
        Some(shard)
    }
}

impl StagedShard {
    fn new(from: HolderId, page: &HandoverPage, now: Instant) -> Self {
        // For a range's shard this is a placeholder, which `inherit_shard` replaces.
        let (uptime_ms, issued) = match page.admission {
            HandedAdmission::Issuer { uptime_ms, issued } => (uptime_ms, issued),
            HandedAdmission::Range { .. } => (0, 0),
        };
        let admission = IssuerAdmission {
            since: now,
            uptime: Duration::from_millis(uptime_ms),
            issued,
        };
        let mut shard = KeyShard::new(ShardAdmission::Issuer(admission), now);
        shard.floor_s = page.floor_s;
        shard.predecessor = Some(from);
        Self {
            from,
            shard,
            admission: page.admission.clone(),
            first_page_at: now,
            pages: 0,
            complete: false,
        }
    }
}

fn handed_admission(admission: &ShardAdmission, now: Instant) -> HandedAdmission {
    match admission {
        ShardAdmission::Range(admission) => {
            let wait = admission.untimed_from.saturating_duration_since(now);
            HandedAdmission::Range {
                owns_after: admission.term.owns_after,
                untimed_wait_ms: wait.as_millis() as u64 + 1,
            }
        }
        ShardAdmission::Issuer(admission) => HandedAdmission::Issuer {
            uptime_ms: admission.uptime_ms(now),
            issued: admission.issued,
        },
    }
}

fn split_pages(
    shard: ShardId,
    floor_s: u32,
    admission: &HandedAdmission,
    keys: Vec<HandedKey>,
) -> Vec<HandoverPage> {
    let total = keys.len() as u32;
    let page = |number| HandoverPage {
        shard,
        number,
        last: false,
        total,
        floor_s,
        admission: admission.clone(),
        keys: Vec::new(),
    };
    let mut pages = vec![page(0)];
    let mut answer_bytes = 0;
    for key in keys {
        let current = pages.last().expect("there is always a page");
        if current.keys.len() == MAX_PAGE_KEYS || answer_bytes >= PAGE_ANSWER_BYTES {
            pages.push(page(pages.len() as u32));
            answer_bytes = 0;
        }
        answer_bytes += key.answer.as_ref().map_or(0, |answer| answer.size().0);
        let current = pages.last_mut().expect("there is always a page");
        current.keys.push(key);
    }
    pages.last_mut().expect("there is always a page").last = true;
    pages
}
