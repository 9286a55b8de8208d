//! Exchange of summaries between two members whose views differ.
//!
//! Gossip reaches nearly everybody; this finds what it missed, and it is how
//! a daemon that starts, or a region that was cut off, catches up. Members
//! are spread over buckets; an offer carries a hash of each, and only the
//! buckets that differ are compared member by member. A daemon serves
//! records at a bounded rate and leaves the rest to others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::DaemonId;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::digest::{MemberRecord, MemberStamp};
use crate::message::{BUCKET_COUNT, BULK_BYTES, MemberUpdate, MessageBody, encoded_len};
use crate::node::{MemberNode, MemberOutput, accusation_of};
use crate::queue::ByteBucket;
use crate::table::{MemberState, MemberTable, bucket_of, entry_hash};

/// Records in one exchange that are few enough to pass on as news.
pub const FEW_RECORDS: usize = 8;
/// Least time between exchanges that one daemon begins.
pub const SYNC_INTERVAL: Duration = Duration::from_secs(10);
/// The same, while the last exchange brought many records.
const CATCH_UP_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes a second of records that one daemon serves.
const SERVE_RATE: u32 = 4_000;
/// Bytes of records served at once after a quiet time.
const SERVE_BURST: u32 = 32_000;
/// Bytes that may be served below which an offer is left to others.
const MIN_SERVED: usize = 2_000;
/// Bytes of one member in a summary.
const SUMMARY_BYTES: usize = 20;
/// Most members listed in one summary.
const MAX_SUMMARY: usize = BULK_BYTES / SUMMARY_BYTES;

/// When exchanges may begin and how much may be served.
#[derive(Debug)]
pub struct SyncState {
    next_at: Instant,
    served: ByteBucket,
}

impl SyncState {
    /// Ready to begin an exchange at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            next_at: now,
            served: ByteBucket::new(SERVE_RATE, SERVE_BURST, now),
        }
    }
}

impl MemberNode {
    /// Begins an exchange if the views differ and the last one is long enough ago.
    pub(crate) fn compare_views(
        &mut self,
        from: DaemonId,
        view: u64,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let now = self.clock.now();
        if now < self.sync.next_at || view == self.view_hash() {
            return;
        }
        self.sync.next_at = now + SYNC_INTERVAL.mul_f64(self.rng.random_range(0.8..1.2));
        self.counts.syncs += 1;
        let buckets = view_buckets(&self.own, &self.table).to_vec();
        let members = self.live_count() as u32;
        let body = MessageBody::SyncOffer { buckets, members };
        self.send_to(from, body, Vec::new(), outputs);
    }

    pub(crate) fn on_sync_offer(
        &mut self,
        from: DaemonId,
        address: SocketAddr,
        theirs: &[u32],
        members: u32,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let now = self.clock.now();
        if self.sync.served.available(now) < MIN_SERVED {
            return;
        }
        let ours = view_buckets(&self.own, &self.table);
        let differing = (0..BUCKET_COUNT)
            .filter(|bucket| theirs.get(*bucket) != Some(&ours[*bucket]))
            .fold(0, |bits, bucket| bits | 1 << bucket);
        if 2 * members as usize <= self.live_count() {
            // The peer has just started: it lacks nearly all of these.
            let updates = self.newer_records(differing, &BTreeMap::new());
            self.serve(from, address, Vec::new(), updates, outputs);
            return;
        }
        self.send_summary(from, address, differing, outputs);
    }

    fn send_summary(
        &mut self,
        to: DaemonId,
        address: SocketAddr,
        mut differing: u64,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let mut entries = Vec::new();
        let by_bucket = live_by_bucket(&self.own, &self.table);
        for (bucket, mut members) in by_bucket.into_iter().enumerate() {
            if differing >> bucket & 1 == 0 {
                continue;
            }
            if entries.len() + members.len() > MAX_SUMMARY {
                differing &= !(1 << bucket);
                continue;
            }
            entries.append(&mut members);
        }
        if differing == 0 {
            return;
        }
        self.sync.served.spend(entries.len() * SUMMARY_BYTES);
        let body = MessageBody::SyncSummary { differing, entries };
        self.send_at(to, address, body, Vec::new(), outputs);
    }

    pub(crate) fn on_sync_summary(
        &mut self,
        from: DaemonId,
        address: SocketAddr,
        differing: u64,
        entries: &[(DaemonId, MemberStamp)],
        outputs: &mut Vec<MemberOutput>,
    ) {
        let theirs: BTreeMap<DaemonId, MemberStamp> = entries.iter().copied().collect();
        let wants: Vec<DaemonId> = theirs
            .iter()
            .filter(|(id, stamp)| self.lacks(**id, **stamp))
            .map(|(id, _)| *id)
            .collect();
        let mut updates = self.newer_records(differing, &theirs);
        updates.extend(
            theirs
                .iter()
                .filter_map(|(id, stamp)| self.claim(*id, *stamp)),
        );
        if wants.len() > FEW_RECORDS {
            self.catch_up();
        }
        if wants.is_empty() && updates.is_empty() {
            return;
        }
        self.serve(from, address, wants, updates, outputs);
    }

    pub(crate) fn on_sync_records(
        &mut self,
        from: DaemonId,
        address: SocketAddr,
        updates: &[MemberUpdate],
        wants: &[DaemonId],
        outputs: &mut Vec<MemberOutput>,
    ) {
        if updates.len() > FEW_RECORDS {
            self.catch_up();
        }
        let records: Vec<MemberUpdate> = wants
            .iter()
            .filter_map(|id| self.live_record(*id))
            .map(MemberUpdate::Alive)
            .collect();
        if !records.is_empty() {
            self.serve(from, address, Vec::new(), records, outputs);
        }
    }

    /// Sends `updates` in messages of bounded size, as far as the rate allows.
    fn serve(
        &mut self,
        to: DaemonId,
        address: SocketAddr,
        wants: Vec<DaemonId>,
        updates: Vec<MemberUpdate>,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let now = self.clock.now();
        let mut room = self.sync.served.available(now);
        let mut wants = Some(wants);
        let mut batch = Vec::new();
        let mut batch_bytes = 0;
        for update in updates {
            let bytes = encoded_len(&update);
            if bytes > room {
                break;
            }
            if batch_bytes + bytes > BULK_BYTES {
                let full = std::mem::take(&mut batch);
                self.send_records(to, address, wants.take(), full, outputs);
                batch_bytes = 0;
            }
            room -= bytes;
            batch_bytes += bytes;
            self.sync.served.spend(bytes);
            batch.push(update);
        }
        if !batch.is_empty() || wants.as_ref().is_some_and(|wants| !wants.is_empty()) {
            self.send_records(to, address, wants.take(), batch, outputs);
        }
    }

    fn send_records(
        &self,
        to: DaemonId,
        address: SocketAddr,
        wants: Option<Vec<DaemonId>>,
        updates: Vec<MemberUpdate>,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let body = MessageBody::SyncRecords {
            wants: wants.unwrap_or_default(),
        };
        let message = self.message(self.table.get(to).is_none(), body, updates);
        outputs.push(MemberOutput::Send {
            to,
            address,
            message,
        });
    }

    fn catch_up(&mut self) {
        let soon = self.clock.now() + CATCH_UP_INTERVAL.mul_f64(self.rng.random_range(0.5..1.5));
        self.sync.next_at = self.sync.next_at.min(soon);
    }

    /// Live records in the buckets `differing` that a peer lacks or has an older edition of.
    fn newer_records(
        &self,
        differing: u64,
        theirs: &BTreeMap<DaemonId, MemberStamp>,
    ) -> Vec<MemberUpdate> {
        let live = self.table.live().map(|entry| &entry.record);
        live.chain(std::iter::once(&self.own))
            .filter(|record| differing >> bucket_of(record.id) & 1 == 1)
            .filter(|record| {
                theirs
                    .get(&record.id)
                    .is_none_or(|stamp| *stamp < record.stamp)
            })
            .map(|record| MemberUpdate::Alive(Arc::clone(record)))
            .collect()
    }

    /// What is held against a member that a peer lists as live.
    fn claim(&self, id: DaemonId, stamp: MemberStamp) -> Option<MemberUpdate> {
        let entry = self.table.get(id)?;
        match entry.state {
            MemberState::Dead if entry.stamp() >= stamp => accusation_of(entry),
            MemberState::Left if entry.stamp().incarnation >= stamp.incarnation => {
                Some(MemberUpdate::Left {
                    id,
                    stamp: entry.stamp(),
                })
            }
            _ => None,
        }
    }

    fn lacks(&self, id: DaemonId, stamp: MemberStamp) -> bool {
        if id == self.own.id {
            return false;
        }
        let Some(entry) = self.table.get(id) else {
            return true;
        };
        let ended =
            entry.state == MemberState::Left && entry.stamp().incarnation >= stamp.incarnation;
        entry.stamp() < stamp && !ended
    }

    fn live_record(&self, id: DaemonId) -> Option<Arc<MemberRecord>> {
        if id == self.own.id {
            return Some(Arc::clone(&self.own));
        }
        let entry = self.table.get(id)?;
        entry.state.is_live().then(|| Arc::clone(&entry.record))
    }
}

/// Hash of a view, the daemon itself included.
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

fn live_by_bucket(own: &MemberRecord, table: &MemberTable) -> Vec<Vec<(DaemonId, MemberStamp)>> {
    let mut by_bucket = vec![Vec::new(); BUCKET_COUNT];
    by_bucket[bucket_of(own.id)].push((own.id, own.stamp));
    for entry in table.live() {
        let id = entry.record.id;
        by_bucket[bucket_of(id)].push((id, entry.stamp()));
    }
    by_bucket
}
