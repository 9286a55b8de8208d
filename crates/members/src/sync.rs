//! Anti-entropy exchange between two members whose views differ.
//!
//! Gossip reaches nearly all members. The exchange delivers the updates that it
//! missed, and a daemon that starts or a region that was partitioned catches up
//! through it. Members are divided into hash buckets: an offer carries a hash of
//! each bucket, and only buckets that differ are compared member by member. A
//! daemon serves records at a bounded rate and leaves the rest to other daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::DaemonId;
use rand::Rng;
use rand::seq::SliceRandom;
use xxhash_rust::xxh3::xxh3_64;

use crate::digest::{MemberRecord, MemberStamp};
use crate::message::{
    BUCKET_COUNT, BULK_BYTES, MemberUpdate, MessageBody, ViewSummary, encoded_len, update_len,
};
use crate::node::MemberNode;
use crate::output::MemberOutput;
use crate::queue::TokenBucket;
use crate::table::{MemberEntry, MemberState, MemberTable, bucket_of, entry_hash};

/// Number of updates in one message of an exchange up to which they are gossiped further; of a
/// larger message, none are.
pub const MAX_GOSSIPED_RECORDS: usize = 8;
/// Mean time from an answered offer to the next exchange that the daemon may start.
pub const SYNC_INTERVAL: Duration = Duration::from_secs(10);
/// Mean time to the next exchange after one that delivered many records.
const CATCH_UP_INTERVAL: Duration = Duration::from_secs(2);
/// Mean time to the next exchange while the last offer is unanswered.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Bytes per second of records that one daemon serves.
const SERVE_RATE: u32 = 5_000;
/// Burst size of served records, in bytes.
const SERVE_BURST: u32 = 32_000;
/// Bytes that must be available to serve an offer; with fewer, the daemon leaves it to others.
const MIN_SERVE_BYTES: usize = 2_000;
/// Maximum number of members listed in one summary.
const MAX_SUMMARY_HASHES: usize = 2048;

/// Rate limits of the exchanges that a daemon starts and serves.
#[derive(Debug)]
pub struct SyncState {
    next_at: Instant,
    serve_bytes: TokenBucket,
}

impl SyncState {
    /// Creates the state of a daemon that may start an exchange at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            next_at: now,
            serve_bytes: TokenBucket::new(SERVE_RATE, SERVE_BURST, now),
        }
    }
}

impl MemberNode {
    /// Starts an exchange if the views differ and the minimum time since the last one has passed;
    /// equal views count as a transmission of the queued joins.
    pub(crate) fn compare_views(
        &mut self,
        from: DaemonId,
        view: u64,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let now = self.clock.now();
        if view == self.view_hash() {
            self.queue.count_joins_as_sent();
            return;
        }
        if now < self.sync.next_at {
            return;
        }
        self.sync.next_at = now + RETRY_INTERVAL.mul_f64(self.rng.random_range(0.5..1.5));
        self.counts.syncs += 1;
        let buckets = view_buckets(&self.own, &self.table).to_vec();
        self.send_to(
            from,
            MessageBody::SyncOffer { buckets },
            Vec::new(),
            outputs,
        );
    }

    /// Answers an offer with a summary of the buckets that differ.
    pub(crate) fn on_sync_offer(
        &mut self,
        from: DaemonId,
        address: SocketAddr,
        theirs: &[u32],
        outputs: &mut Vec<MemberOutput>,
    ) {
        let now = self.clock.now();
        if self.sync.serve_bytes.available(now) < MIN_SERVE_BYTES {
            return;
        }
        let ours = view_buckets(&self.own, &self.table);
        let differing = (0..BUCKET_COUNT)
            .filter(|bucket| theirs.get(*bucket) != Some(&ours[*bucket]))
            .fold(0, |bits, bucket| bits | 1 << bucket);
        if differing != 0 {
            let summary = self.summary(differing);
            self.sync.serve_bytes.consume(encoded_len(&summary));
            let body = MessageBody::SyncSummary { summary };
            self.send_at(from, address, body, Vec::new(), outputs);
        }
    }

    /// Sends the records that the summary lacks, and a summary in return.
    pub(crate) fn on_sync_summary(
        &mut self,
        from: DaemonId,
        address: SocketAddr,
        theirs: &ViewSummary,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let now = self.clock.now();
        self.sync.next_at = now + SYNC_INTERVAL.mul_f64(self.rng.random_range(0.8..1.2));
        let ours = self.summary(theirs.differing);
        if ours.count_missing(theirs) > MAX_GOSSIPED_RECORDS {
            self.schedule_catch_up();
        }
        let updates = self.updates_missing_in(theirs);
        self.serve(from, address, Some(ours), updates, outputs);
    }

    /// Handles delivered records, which are already applied, and sends those that the summary
    /// lacks, if there is one.
    pub(crate) fn on_sync_records(
        &mut self,
        from: DaemonId,
        address: SocketAddr,
        updates: &[MemberUpdate],
        theirs: Option<&ViewSummary>,
        outputs: &mut Vec<MemberOutput>,
    ) {
        if updates.len() > MAX_GOSSIPED_RECORDS {
            self.schedule_catch_up();
        }
        if let Some(theirs) = theirs {
            let updates = self.updates_missing_in(theirs);
            self.serve(from, address, None, updates, outputs);
        }
    }

    /// Sends `updates` in messages of bounded size, as far as the rate limit allows.
    fn serve(
        &mut self,
        to: DaemonId,
        address: SocketAddr,
        mut summary: Option<ViewSummary>,
        mut updates: Vec<MemberUpdate>,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let now = self.clock.now();
        let mut available = self.sync.serve_bytes.available(now);
        // If the rate limit cuts the list, random order makes each daemon serve different updates.
        updates.shuffle(&mut self.rng);
        let mut batch = Vec::new();
        let mut batch_bytes = 0;
        for update in updates {
            let bytes = update_len(&update);
            if bytes > available {
                break;
            }
            if batch_bytes + bytes > BULK_BYTES {
                let full = std::mem::take(&mut batch);
                self.send_records(to, address, summary.take(), full, outputs);
                batch_bytes = 0;
            }
            available -= bytes;
            batch_bytes += bytes;
            self.sync.serve_bytes.consume(bytes);
            batch.push(update);
        }
        if !batch.is_empty() || summary.is_some() {
            self.send_records(to, address, summary, batch, outputs);
        }
    }

    fn send_records(
        &self,
        to: DaemonId,
        address: SocketAddr,
        summary: Option<ViewSummary>,
        updates: Vec<MemberUpdate>,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let body = MessageBody::SyncRecords { summary };
        let message = self.message(self.table.get(to).is_none(), body, updates);
        outputs.push(MemberOutput::Send {
            to,
            address,
            message,
        });
    }

    fn schedule_catch_up(&mut self) {
        let next_at = self.clock.now() + CATCH_UP_INTERVAL.mul_f64(self.rng.random_range(0.5..1.5));
        self.sync.next_at = self.sync.next_at.min(next_at);
    }

    /// Summarizes the live members in the buckets `differing`.
    fn summary(&self, differing: u64) -> ViewSummary {
        let mut hashes: Vec<u32> = self
            .live_records(differing)
            .map(|record| entry_hash(record.id, record.stamp))
            .take(MAX_SUMMARY_HASHES)
            .collect();
        hashes.sort_unstable();
        let dead = self
            .table
            .iter()
            .filter(|entry| entry.state == MemberState::Dead)
            .map(|entry| &entry.record)
            .filter(|record| differing >> bucket_of(record.id) & 1 == 1);
        let renewed = self
            .live_records(differing)
            .filter(|record| record.stamp != record.content_stamp());
        let mut contents: Vec<u32> = renewed
            .chain(dead)
            .map(|record| entry_hash(record.id, record.content_stamp()))
            .take(MAX_SUMMARY_HASHES)
            .collect();
        contents.sort_unstable();
        ViewSummary {
            differing,
            hashes,
            contents,
        }
    }

    /// Returns the updates that the sender of a summary lacks: records, and deaths and departures
    /// of members that it lists as live.
    fn updates_missing_in(&self, theirs: &ViewSummary) -> Vec<MemberUpdate> {
        let records = self
            .live_records(theirs.differing)
            .filter(|record| !theirs.contains(record.id, record.stamp))
            .map(|record| {
                if theirs.contains_content(record) {
                    MemberUpdate::Heartbeat(record.heartbeat())
                } else {
                    MemberUpdate::Alive(Arc::clone(record))
                }
            });
        let terminations = self
            .table
            .iter()
            .filter(|entry| theirs.contains(entry.record.id, entry.stamp()))
            .filter_map(termination_of);
        records.chain(terminations).collect()
    }

    fn live_records(&self, differing: u64) -> impl Iterator<Item = &Arc<MemberRecord>> {
        let live = self.table.live().map(|entry| &entry.record);
        live.chain(std::iter::once(&self.own))
            .filter(move |record| differing >> bucket_of(record.id) & 1 == 1)
    }
}

impl ViewSummary {
    fn contains(&self, id: DaemonId, stamp: MemberStamp) -> bool {
        self.hashes.binary_search(&entry_hash(id, stamp)).is_ok()
    }

    /// Whether a version with the content of `record` is listed.
    fn contains_content(&self, record: &MemberRecord) -> bool {
        let stamp = record.content_stamp();
        let hash = entry_hash(record.id, stamp);
        self.contains(record.id, stamp) || self.contents.binary_search(&hash).is_ok()
    }

    /// Returns how many hashes of `theirs` this summary lacks.
    fn count_missing(&self, theirs: &Self) -> usize {
        theirs
            .hashes
            .iter()
            .filter(|hash| self.hashes.binary_search(hash).is_err())
            .count()
    }
}

/// Returns the update that reports the death or departure of a member; `None` for a live one.
fn termination_of(entry: &MemberEntry) -> Option<MemberUpdate> {
    match entry.state {
        MemberState::Alive | MemberState::Suspect => None,
        MemberState::Dead => entry.failure_report(),
        MemberState::Left => Some(MemberUpdate::Left {
            id: entry.record.id,
            stamp: entry.stamp(),
        }),
    }
}

/// Returns the hash of a view, the local daemon included.
pub(crate) fn view_hash(own: &MemberRecord, table: &MemberTable) -> u64 {
    let mut bytes = [0; 4 * BUCKET_COUNT];
    for (chunk, bucket) in bytes.chunks_exact_mut(4).zip(view_buckets(own, table)) {
        chunk.copy_from_slice(&bucket.to_le_bytes());
    }
    xxh3_64(&bytes)
}

fn view_buckets(own: &MemberRecord, table: &MemberTable) -> [u32; BUCKET_COUNT] {
    let mut buckets = *table.buckets();
    buckets[bucket_of(own.id)] ^= entry_hash(own.id, own.stamp);
    buckets
}
