//! Key shards: the keys of one range term or one issuer, and their admission.
//!
//! A shard never lets a key run twice: it runs a key only if the key is absent
//! and admitted, and it drops a key only when the key is no longer admitted. For
//! keys with a timestamp one low-water mark, the *floor*, decides both: keys
//! below it are dropped and no longer admitted. The floor only rises.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use derive_more::Display;
use model::{ByteCount, ErrorKind};
use serde::{Deserialize, Serialize};

use super::entry::{KeyEntry, KeyState};
use super::verdict::{KeyRefusal, RunOutcome};
use crate::key::{CallKey, CallerKey, IssuedKey, KeyDigest};
use crate::lease::{HolderId, LeaseTerm, LogStamp, TermRef};
use crate::proof::RunProof;

/// Ratio of capacity to content above which a table of keys shrinks.
const SHRINK_RATIO: usize = 4;
/// Number of milliseconds in a second.
const SECOND_MS: u64 = 1000;

/// Identity of a shard.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum ShardId {
    /// Callers' keys of a range in one term.
    Range(TermRef),
    /// Keys issued by one run of a daemon.
    #[display("issuer {_0}")]
    Issuer(HolderId),
}

/// Admission rule of a shard for absent keys.
#[derive(Clone, Copy, Debug)]
pub enum ShardAdmission {
    /// Rule for callers' keys of a range.
    Range(RangeAdmission),
    /// Rule for issued keys.
    Issuer(IssuerAdmission),
}

/// Admission rule for callers' keys.
#[derive(Clone, Copy, Debug)]
pub struct RangeAdmission {
    /// Term of the range, with its last known renewal.
    pub term: LeaseTerm,
    /// Time from which untimed keys run; before it, an earlier holder may have run them.
    pub untimed_from: Instant,
    /// Time until which the lease is certainly held.
    pub valid_until: Instant,
}

/// Admission rule for issued keys.
#[derive(Clone, Copy, Debug)]
pub struct IssuerAdmission {
    /// Reference time on the clock of this process.
    pub since: Instant,
    /// Uptime of the issuer at the reference time.
    pub uptime: Duration,
    /// Number of keys issued so far.
    pub issued: u64,
}

impl IssuerAdmission {
    /// Returns the issuer's uptime; for an issuer that has ended, what it would be at `now`.
    pub fn uptime_ms(&self, now: Instant) -> u64 {
        let uptime = self.uptime + now.saturating_duration_since(self.since);
        uptime.as_millis() as u64
    }
}

/// Keys of one range term or one issuer.
#[derive(Debug)]
pub struct KeyShard {
    /// Remembered keys.
    pub entries: HashMap<KeyDigest, KeyEntry>,
    /// Rule that admits absent keys.
    pub admission: ShardAdmission,
    /// Low-water mark in seconds: timed keys below it are neither admitted nor remembered.
    pub floor_s: u32,
    /// Run that takes the shard over; a shard with a successor begins no call.
    pub successor: Option<HolderId>,
    /// Run from which the shard was taken over.
    pub predecessor: Option<HolderId>,
    /// Time at which the shard was created here.
    pub opened: Instant,
    /// Whether the term has passed to another holder.
    pub ended: bool,
}

impl KeyShard {
    /// Creates an empty shard.
    pub fn new(admission: ShardAdmission, opened: Instant) -> Self {
        Self {
            entries: HashMap::new(),
            admission,
            floor_s: 0,
            successor: None,
            predecessor: None,
            opened,
            ended: false,
        }
    }

    /// Admits or refuses a call with an absent key; returns the time from which its age counts.
    pub fn admit(&self, key: &CallKey, now: Instant) -> Result<KeyTime, KeyRefusal> {
        if self.successor.is_some() {
            return Err(KeyRefusal::new(
                ErrorKind::Draining,
                RunProof::SendingNotRun,
                "the key's home is handing its keys over",
            ));
        }
        if self.ended {
            return Err(unavailable("the range has passed to another home"));
        }
        match (&self.admission, key) {
            (ShardAdmission::Range(admission), CallKey::Caller(key)) => {
                self.admit_caller(admission, key, now)
            }
            (ShardAdmission::Issuer(admission), CallKey::Issued(key)) => {
                self.admit_issued(admission, key, now)
            }
            _ => Err(unavailable("the key belongs to another home")),
        }
    }

    fn admit_caller(
        &self,
        admission: &RangeAdmission,
        key: &CallerKey,
        now: Instant,
    ) -> Result<KeyTime, KeyRefusal> {
        let Some(time) = key.time() else {
            return admit_untimed(admission, now);
        };
        let time_s = seconds(time);
        if time_s < self.floor_s {
            let behind = self.floor_s - time_s;
            return Err(unknown(&format!(
                "the key's timestamp lies {behind} s before the remembered period; the call \
                 may have run, or the clock that created the key is slow"
            )));
        }
        if admission.term.owns_after.is_some_and(|after| time <= after) {
            return Err(unknown("an earlier home may have run the call"));
        }
        if admission.term.owns(time) {
            return Ok(KeyTime {
                time_s,
                timed: true,
            });
        }
        if now >= admission.valid_until {
            return Err(unavailable("the home's lease may have expired"));
        }
        Err(KeyRefusal::new(
            ErrorKind::KeyEarly,
            RunProof::SendingNotRun,
            "the key's timestamp lies in the future",
        ))
    }

    fn admit_issued(
        &self,
        admission: &IssuerAdmission,
        key: &IssuedKey,
        now: Instant,
    ) -> Result<KeyTime, KeyRefusal> {
        if key.born_ms > admission.uptime_ms(now) || key.serial >= admission.issued {
            return Err(KeyRefusal::new(
                ErrorKind::RequestInvalid,
                RunProof::NotRun,
                "the key was never issued",
            ));
        }
        let time_s = (key.born_ms / SECOND_MS) as u32;
        if time_s < self.floor_s {
            return Err(unknown("the key has expired"));
        }
        Ok(KeyTime {
            time_s,
            timed: true,
        })
    }

    /// Records the outcome of a call that is in state `from`.
    ///
    /// Returns `None` if the call is in another state. A lost call may still
    /// get its outcome from the home that began it.
    pub fn settle(
        &mut self,
        digest: KeyDigest,
        outcome: &RunOutcome,
        from: KeyState,
    ) -> Option<SettleEffect> {
        let entry = self.entries.get_mut(&digest)?;
        let late = entry.state == KeyState::Lost && from == KeyState::RunningElsewhere;
        let (state, status) = match outcome {
            RunOutcome::Done(answer) => (KeyState::Done, answer.status),
            RunOutcome::DoneLarge { status } => (KeyState::Done, *status),
            RunOutcome::Lost => (KeyState::Lost, 0),
            RunOutcome::NotRun if entry.state == from => {
                self.entries.remove(&digest);
                return Some(SettleEffect::Removed);
            }
            RunOutcome::NotRun => return None,
        };
        if entry.state != from && !late {
            return None;
        }
        entry.state = state;
        entry.status = status;
        Some(SettleEffect::Kept)
    }

    /// Returns the memory of the table of keys.
    pub fn memory(&self) -> ByteCount {
        // `HashMap` uses a power of two of slots, fills them to 7/8 and adds a control byte each.
        let slots = (self.entries.capacity() * 8).div_ceil(7);
        let slot = size_of::<(KeyDigest, KeyEntry)>() + 1;
        ByteCount((slots * slot) as u64)
    }

    /// Raises the floor to `floor_s` and drops the settled keys below it.
    ///
    /// `untimed_floor` is the arrival time below which untimed keys are dropped.
    /// Returns whether any key was dropped.
    pub fn forget(&mut self, floor_s: u32, untimed_floor: u32) -> bool {
        self.floor_s = self.floor_s.max(floor_s);
        let floor_s = self.floor_s;
        let before = self.entries.len();
        self.entries.retain(|_, entry| {
            let floor = if entry.timed { floor_s } else { untimed_floor };
            entry.time_s >= floor || entry.state.is_running()
        });
        if self.entries.len() * SHRINK_RATIO < self.entries.capacity() {
            self.entries.shrink_to(self.entries.len() * 2);
        }
        self.entries.len() < before
    }

    /// Marks calls as lost that the predecessor began and did not settle; returns their number.
    pub fn mark_elsewhere_lost(&mut self) -> usize {
        let mut lost = 0;
        for entry in self.entries.values_mut() {
            if entry.state == KeyState::RunningElsewhere {
                entry.state = KeyState::Lost;
                lost += 1;
            }
        }
        lost
    }
}

/// Effect of an outcome on the entry of its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SettleEffect {
    /// The key is remembered with its outcome.
    Kept,
    /// The key is absent again, since the call did not run.
    Removed,
}

/// Time from which the age of a key counts.
#[derive(Clone, Copy, Debug)]
pub struct KeyTime {
    /// Time of a timed key in seconds; 0 for an untimed key, whose age counts from its arrival.
    pub time_s: u32,
    /// Whether the time is the key's own timestamp.
    pub timed: bool,
}

/// Converts a key's timestamp to seconds.
pub fn seconds(time: LogStamp) -> u32 {
    u32::try_from(time.0 / SECOND_MS).unwrap_or(u32::MAX)
}

/// Returns the floor that lies `window` before `time_ms`.
pub fn floor_before(time_ms: u64, window: Duration) -> u32 {
    let floor_ms = time_ms.saturating_sub(window.as_millis() as u64);
    u32::try_from(floor_ms / SECOND_MS).unwrap_or(u32::MAX)
}

fn admit_untimed(admission: &RangeAdmission, now: Instant) -> Result<KeyTime, KeyRefusal> {
    if now >= admission.valid_until {
        return Err(unavailable("the home's lease may have expired"));
    }
    if now < admission.untimed_from {
        return Err(unknown(
            "an earlier home may have run the call, and the key carries no timestamp",
        ));
    }
    Ok(KeyTime {
        time_s: 0,
        timed: false,
    })
}

fn unknown(detail: &str) -> KeyRefusal {
    KeyRefusal::new(ErrorKind::KeyUnknown, RunProof::MayHaveRun, detail)
}

fn unavailable(detail: &str) -> KeyRefusal {
    KeyRefusal::new(ErrorKind::HomeUnavailable, RunProof::SendingNotRun, detail)
}
