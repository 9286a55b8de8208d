//! What a home still knows of keys whose range has passed to another home.
//!
//! A home that was paused or cut off loses its ranges but not its memory. The
//! new home cannot judge keys of earlier terms and answers `KeyUnknown`; before
//! that it asks the other homes. One that held the term owns the key for good:
//! it knows the first answer, or can promise that the call never runs.

use super::entry::{KeyEntry, KeyState, short_fingerprint};
use super::keys::{KeyHome, close_verdict};
use super::shard::{KeyShard, ShardAdmission, seconds};
use super::verdict::{CloseVerdict, KeyCall, KeyVerdict};
use crate::fingerprint::RequestFingerprint;
use crate::key::{CallKey, KeyDigest};
use crate::lease::LogStamp;

impl KeyHome {
    /// What this home knows for certain about a caller's key; never [`KeyVerdict::Run`].
    ///
    /// A key that it alone could have run and did not is withdrawn, so that the
    /// caller may go on with a fresh key.
    pub fn recall(&mut self, call: &KeyCall) -> Option<KeyVerdict> {
        let CallKey::Caller(key) = &call.key else {
            return None;
        };
        if let Some(entry) = self.range_entry(call.digest) {
            return Some(self.verdict_of(entry, call));
        }
        let time = key.time()?;
        let range = call.digest.range();
        let owner = self
            .range_shards(range)
            .find(|(_, shard)| owned_for_good(shard, time))
            .map(|(id, _)| *id)?;
        if self.key_count >= self.settings.max_keys {
            return None;
        }
        let entry = KeyEntry {
            fingerprint: short_fingerprint(call.fingerprint),
            time_s: seconds(time),
            status: 0,
            state: KeyState::Withdrawn,
            timed: true,
        };
        let shard = self.shards.get_mut(&owner)?;
        shard.entries.insert(call.digest, entry);
        self.key_count += 1;
        Some(self.verdict_of(entry, call))
    }

    /// Closes a caller's key of an earlier term, if this home can tell about it.
    pub fn recall_close(&mut self, key: &CallKey, digest: KeyDigest) -> Option<CloseVerdict> {
        let entry = self.range_entry(digest);
        let call = KeyCall {
            key: key.clone(),
            digest,
            // Closing asks about the key, whatever its request was.
            fingerprint: RequestFingerprint(entry.map_or(0, |entry| entry.fingerprint.into())),
        };
        let verdict = self.recall(&call)?;
        Some(close_verdict(verdict, entry))
    }
}

/// Whether the book, whose term has ended, was the only one that could run keys of `time`.
fn owned_for_good(shard: &KeyShard, time: LogStamp) -> bool {
    let ShardAdmission::Range(admission) = &shard.admission else {
        return false;
    };
    let kept = seconds(time) >= shard.floor_s;
    shard.ended && shard.successor.is_none() && kept && admission.term.owns(time)
}
