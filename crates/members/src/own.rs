//! What a [`MemberNode`] tells about itself: targets, drain, leave, refutations.

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

/// Members told at once when this daemon leaves.
const LEAVE_FANOUT: usize = 8;
/// Members told at once when another target is beside this daemon, or none.
const TARGET_FANOUT: usize = 12;

impl MemberNode {
    /// Replaces the targets beside this daemon, as its registry gives them.
    pub fn set_targets(&mut self, digests: Vec<TargetDigest>) {
        self.digests = digests;
        let now = self.clock.now();
        self.publish_targets(now);
    }

    /// Does the same when a target came or went, and tells some members without waiting for
    /// the next tick: until they hear it, they call a target that is not there or none.
    pub fn set_targets_now(&mut self, digests: Vec<TargetDigest>) -> Vec<MemberOutput> {
        let before = self.own.content;
        self.set_targets(digests);
        let mut outputs = Vec::new();
        if self.own.content == before {
            return outputs;
        }
        // Any of the table: the active sets of a daemon that has just started are empty.
        let live = self.table.live().map(|entry| entry.record.id);
        for id in live.choose_multiple(&mut self.rng, TARGET_FANOUT) {
            let own = self.own_update();
            self.send_to(id, MessageBody::Gossip, vec![own], &mut outputs);
        }
        outputs
    }

    /// Tells all members that this daemon takes no new calls.
    pub fn drain(&mut self) {
        self.renew(|record| record.draining = true);
    }

    /// Leaves for good; ticks go on until the daemon exits, to spread the news.
    pub fn leave(&mut self) -> Vec<MemberOutput> {
        self.left = true;
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

    /// Makes a new edition of the own record and spreads it.
    pub(crate) fn renew(&mut self, change: impl FnOnce(&mut MemberRecord)) {
        let record = Arc::make_mut(&mut self.own);
        change(record);
        record.stamp.sequence.0 += 1;
        record.content = record.stamp.sequence;
        let update = MemberUpdate::Alive(Arc::clone(&self.own));
        self.queue
            .push(update, UpdateKind::Change, self.table.live_count());
    }

    /// Makes an edition above `floor` with the same content, and spreads a heartbeat of it.
    pub(crate) fn refresh(&mut self, floor: SequenceNumber) {
        let record = Arc::make_mut(&mut self.own);
        let sequence = record.stamp.sequence.max(floor);
        record.stamp.sequence = SequenceNumber(sequence.0 + 1);
        let update = MemberUpdate::Heartbeat(self.own.heartbeat());
        self.queue
            .push(update, UpdateKind::Change, self.table.live_count());
    }

    /// Publishes the targets: changes of state at once, changes of load alone rarely.
    pub(crate) fn publish_targets(&mut self, now: Instant) {
        let same = self.own.targets.len() == self.digests.len()
            && self
                .own
                .targets
                .iter()
                .zip(&self.digests)
                .all(|(old, new)| old.equals_except_load(new));
        let load_moved = same
            && now >= self.load_at
            && self
                .own
                .targets
                .iter()
                .zip(&self.digests)
                .any(|(old, new)| old.load.0.abs_diff(new.load.0) >= MIN_LOAD_CHANGE);
        if same && !load_moved {
            return;
        }
        // Daemons that started together spread their first news of loads.
        let least = if same { 1.0 } else { 0.1 };
        let jitter = self.rng.random_range(least..1.5);
        self.load_at = now + LOAD_INTERVAL.mul_f64(jitter);
        let digests = self.digests.clone();
        if same {
            Arc::make_mut(&mut self.own).targets = digests;
            self.refresh(SequenceNumber(0));
        } else {
            self.renew(|record| record.targets = digests);
        }
    }
}
