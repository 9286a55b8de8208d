//! The keys of one range term or one issuer, and which of them may be run.
//!
//! A book never lets a key run twice: it runs a key only if the key is absent
//! and admitted, and it forgets a key only when the key is no longer admitted.
//! For keys that carry a time both follow from one number, the floor, which
//! only rises.

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

/// A table this many times larger than its content shrinks.
const SPARSE: usize = 4;
/// Milliseconds in a second.
const SECOND_MS: u64 = 1000;

/// Whose keys a book holds.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum ShardId {
    /// Callers' keys of a range, in one term.
    Range(TermRef),
    /// Keys issued by one run of a daemon.
    #[display("issuer {_0}")]
    Issuer(HolderId),
}

/// Which absent keys a book admits.
#[derive(Clone, Copy, Debug)]
pub enum ShardAdmission {
    /// Keys of a range.
    Range(RangeAdmission),
    /// Keys of an issuer.
    Issuer(IssuerAdmission),
}

/// Admission of callers' keys.
#[derive(Clone, Copy, Debug)]
pub struct RangeAdmission {
    /// The term, as far as it is known to be renewed.
    pub term: LeaseTerm,
    /// Keys without a time run from here on; earlier ones may be a predecessor's.
    pub untimed_from: Instant,
    /// The lease is surely held until then.
    pub valid_until: Instant,
}

/// Admission of issued keys.
#[derive(Clone, Copy, Debug)]
pub struct IssuerAdmission {
    /// A moment on this process's clock.
    pub since: Instant,
    /// The issuer's uptime at that moment.
    pub uptime: Duration,
    /// Number of keys issued.
    pub issued: u64,
}

impl IssuerAdmission {
    /// The issuer's uptime, or what it would be by now.
    pub fn uptime_ms(&self, now: Instant) -> u64 {
        let uptime = self.uptime + now.saturating_duration_since(self.since);
        uptime.as_millis() as u64
    }
}

/// The keys of one range term or one issuer.
#[derive(Debug)]
pub struct KeyShard {
    /// The remembered keys.
    pub entries: HashMap<KeyDigest, KeyEntry>,
    /// Which absent keys are admitted.
    pub admission: ShardAdmission,
    /// Keys with an earlier time are neither admitted nor remembered.
    pub floor_s: u32,
    /// Who takes the book over; such a book begins no call.
    pub successor: Option<HolderId>,
    /// From whom the book was taken over.
    pub predecessor: Option<HolderId>,
    /// When the book came into use here.
    pub opened: Instant,
    /// Whether the term has passed to another holder.
    pub ended: bool,
}

impl KeyShard {
    /// An empty book.
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

    /// Whether an absent key may be begun now; the time to remember it by.
    pub fn admit(&self, key: &CallKey, now: Instant) -> Result<KeyTime, KeyRefusal> {
        if self.successor.is_some() {
            return Err(KeyRefusal::new(
                ErrorKind::Draining,
                RunProof::SendingNotRun,
                "the key's home hands its keys over",
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
                "the key's time lies {behind} s before what is remembered; the call may \
                 have run, or the clock that made the key is slow"
            )));
        }
        if admission.term.owns_after.is_some_and(|after| time <= after) {
            return Err(unknown("an earlier home may have run the key"));
        }
        if admission.term.owns(time) {
            return Ok(KeyTime {
                time_s,
                timed: true,
            });
        }
        if now >= admission.valid_until {
            return Err(unavailable("the home's lease has lapsed"));
        }
        Err(KeyRefusal::new(
            ErrorKind::KeyEarly,
            RunProof::SendingNotRun,
            "the key's time lies in the future",
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

    /// Records what came of a call that stands at `from`; `None` if it stands elsewhere.
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

    /// Memory of the table of keys.
    pub fn memory(&self) -> ByteCount {
        // A table of power-of-two size, filled to 7/8, with a control byte a slot.
        let slots = (self.entries.capacity() * 8).div_ceil(7);
        let slot = size_of::<(KeyDigest, KeyEntry)>() + 1;
        ByteCount((slots * slot) as u64)
    }

    /// Raises the floor by `window` behind the clock and forgets what lies below it.
    ///
    /// `untimed_floor` is the arrival below which keys without a time go.
    /// Returns whether anything was forgotten.
    pub fn forget(&mut self, floor_s: u32, untimed_floor: u32) -> bool {
        self.floor_s = self.floor_s.max(floor_s);
        let floor_s = self.floor_s;
        let before = self.entries.len();
        self.entries.retain(|_, entry| {
            let floor = if entry.timed { floor_s } else { untimed_floor };
            entry.time_s >= floor || entry.state.is_running()
        });
        if self.entries.len() * SPARSE < self.entries.capacity() {
            self.entries.shrink_to(self.entries.len() * 2);
        }
        self.entries.len() < before
    }

    /// Gives up on calls that the predecessor began and never settled.
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

/// What a settled call left in its book.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SettleEffect {
    /// The key is remembered with its outcome.
    Kept,
    /// The key is absent again.
    Removed,
}

/// The time by which a key is remembered.
#[derive(Clone, Copy, Debug)]
pub struct KeyTime {
    /// Seconds; for a key without a time, of its arrival.
    pub time_s: u32,
    /// Whether it is the key's own time.
    pub timed: bool,
}

/// Seconds of a key's time.
pub fn seconds(time: LogStamp) -> u32 {
    u32::try_from(time.0 / SECOND_MS).unwrap_or(u32::MAX)
}

/// The floor that lies `window` behind `time_ms`.
pub fn floor_before(time_ms: u64, window: Duration) -> u32 {
    let floor_ms = time_ms.saturating_sub(window.as_millis() as u64);
    u32::try_from(floor_ms / SECOND_MS).unwrap_or(u32::MAX)
}

fn admit_untimed(admission: &RangeAdmission, now: Instant) -> Result<KeyTime, KeyRefusal> {
    if now >= admission.valid_until {
        return Err(unavailable("the home's lease may have lapsed"));
    }
    if now < admission.untimed_from {
        return Err(unknown(
            "an earlier home may have run the key, which carries no time",
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
