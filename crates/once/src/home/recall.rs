//! Answers of a home about keys whose range has passed to another home.
//!
//! A home that was paused or partitioned loses its ranges but keeps its keys.
//! The new home cannot decide about keys of earlier terms: it asks the other
//! homes and answers `KeyUnknown` if none of them knows. The home that held the
//! term remains the only owner of its keys: it has the answer, or can guarantee
//! that the call never runs.

use super::entry::{KeyEntry, KeyState, short_fingerprint};
use super::keys::{KeyHome, close_verdict};
use super::shard::{KeyShard, ShardAdmission, seconds};
use super::verdict::{CloseVerdict, KeyCall, KeyVerdict};
use crate::fingerprint::RequestFingerprint;
use crate::key::{CallKey, KeyDigest};
use crate::lease::LogStamp;

impl KeyHome {
    /// Returns what this home knows for certain about a caller's key; never [`KeyVerdict::Run`].
    ///
    /// A key that only this home could have run, and that it did not run, is
    /// withdrawn, so that the caller may use a new key.
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
            .find(|(_, shard)| owned_exclusively(shard, time))
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

    /// Closes a caller's key of an earlier term; `None` if this home knows nothing certain.
    pub fn recall_close(&mut self, key: &CallKey, digest: KeyDigest) -> Option<CloseVerdict> {
        let entry = self.range_entry(digest);
        let call = KeyCall {
            key: key.clone(),
            digest,
            // Closing concerns the key, whichever request it was sent with.
            fingerprint: RequestFingerprint(entry.map_or(0, |entry| entry.fingerprint.into())),
        };
        let verdict = self.recall(&call)?;
        Some(close_verdict(verdict, entry))
    }
}

/// Returns whether only this shard, whose term has ended, could run keys created at `time`.
fn owned_exclusively(shard: &KeyShard, time: LogStamp) -> bool {
    let ShardAdmission::Range(admission) = &shard.admission else {
        return false;
    };
    let remembered = seconds(time) >= shard.floor_s;
    shard.ended && shard.successor.is_none() && remembered && admission.term.owns(time)
}
