//! Publication of a [`MemberNode`]'s own record: targets, draining, leaving and refutations.

use std::sync::Arc;
use std::time::Instant;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::digest::{LOAD_INTERVAL, MIN_LOAD_CHANGE, MemberRecord, SequenceNumber, TargetDigest};
use crate::message::{MemberUpdate, MessageBody};
use crate::node::MemberNode;
use crate::output::MemberOutput;
use crate::queue::UpdateKind;
use crate::record::{LeaveRecord, StreamRecord};

/// Number of members notified at once when this daemon leaves.
const LEAVE_FANOUT: usize = 8;
/// Number of members notified at once when the targets of this daemon change.
const TARGET_FANOUT: usize = 12;

impl MemberNode {
    /// Replaces the targets of this daemon by those of its registry.
    pub fn set_targets(&mut self, digests: Vec<TargetDigest>) {
        self.digests = digests;
        let now = self.clock.now();
        self.publish_targets(now);
    }

    /// Replaces the targets like [`Self::set_targets`] and, if more than their loads changed,
    /// notifies some members without waiting for the next tick: until they know, they call a
    /// target that is gone or have none to call.
    pub fn set_targets_now(&mut self, digests: Vec<TargetDigest>) -> Vec<MemberOutput> {
        let content_before = self.own.content;
        self.set_targets(digests);
        let mut outputs = Vec::new();
        if self.own.content == content_before {
            return outputs;
        }
        // Picks from the whole table: the active sets of a daemon that has just started are empty.
        let live = self.table.live().map(|entry| entry.record.id);
        for id in live.choose_multiple(&mut self.rng, TARGET_FANOUT) {
            let own = self.own_update();
            self.send_to(id, MessageBody::Gossip, vec![own], &mut outputs);
        }
        outputs
    }

    /// Publishes that this daemon takes no new calls.
    pub fn drain(&mut self) {
        self.publish_change(|record| record.draining = true);
    }

    /// Leaves the fleet; ticks must go on until the daemon exits, to spread the update.
    pub fn leave(&mut self) -> Vec<MemberOutput> {
        self.has_left = true;
        let update = MemberUpdate::Left {
            id: self.own.id,
            stamp: self.own.stamp,
        };
        self.queue
            .push(update.clone(), UpdateKind::Change, self.table.live_count());
        let record = StreamRecord::Leave(LeaveRecord {
            id: self.own.id,
            incarnation: self.own.stamp.incarnation,
            at: self.clock.wall(),
        });
        let mut outputs = vec![MemberOutput::append(&record)];
        for id in self.random_peers(LEAVE_FANOUT) {
            self.send_to(id, MessageBody::Gossip, vec![update.clone()], &mut outputs);
        }
        outputs
    }

    /// Publishes a new version of the own record.
    pub(crate) fn publish_change(&mut self, change: impl FnOnce(&mut MemberRecord)) {
        let record = Arc::make_mut(&mut self.own);
        change(record);
        record.stamp.sequence.0 += 1;
        record.content = record.stamp.sequence;
        let update = MemberUpdate::Alive(Arc::clone(&self.own));
        self.queue
            .push(update, UpdateKind::Change, self.table.live_count());
    }

    /// Publishes, as a heartbeat, a version above `floor` with the same content.
    pub(crate) fn publish_heartbeat(&mut self, floor: SequenceNumber) {
        let record = Arc::make_mut(&mut self.own);
        let sequence = record.stamp.sequence.max(floor);
        record.stamp.sequence = SequenceNumber(sequence.0 + 1);
        let update = MemberUpdate::Heartbeat(self.own.heartbeat());
        self.queue
            .push(update, UpdateKind::Change, self.table.live_count());
    }

    /// Publishes the targets: changes of load alone rarely, other changes at once.
    pub(crate) fn publish_targets(&mut self, now: Instant) {
        let same_targets = self.own.targets.len() == self.digests.len()
            && self
                .own
                .targets
                .iter()
                .zip(&self.digests)
                .all(|(old, new)| old.equals_except_load(new));
        let load_changed = same_targets
            && now >= self.next_load_at
            && self
                .own
                .targets
                .iter()
                .zip(&self.digests)
                .any(|(old, new)| old.load.0.abs_diff(new.load.0) >= MIN_LOAD_CHANGE);
        if same_targets && !load_changed {
            return;
        }
        // A wide jitter after a change of the targets spreads the first load updates of daemons
        // that started together.
        let min_factor = if same_targets { 1.0 } else { 0.1 };
        let jitter = self.rng.random_range(min_factor..1.5);
        self.next_load_at = now + LOAD_INTERVAL.mul_f64(jitter);
        let digests = self.digests.clone();
        if same_targets {
            Arc::make_mut(&mut self.own).targets = digests;
            self.publish_heartbeat(SequenceNumber(0));
        } else {
            self.publish_change(|record| record.targets = digests);
        }
    }
}
