//! Applying, sending and gossiping updates in a [`MemberNode`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use model::DaemonId;
use rand::Rng;

use crate::message::{MemberMessage, MemberUpdate, MessageBody, PIGGYBACK_BYTES};
use crate::node::MemberNode;
use crate::output::{MemberChange, MemberOutput};
use crate::queue::UpdateKind;
use crate::table::{MemberState, UpdateEffect};

/// Number of members that receive gossip in one round.
const GOSSIP_FANOUT: usize = 3;
/// Bytes per second of updates that one daemon sends.
pub(crate) const GOSSIP_RATE: u32 = 6_000;
/// Burst size of sent updates, in bytes.
pub(crate) const GOSSIP_BURST: u32 = 15_000;
/// Bytes per second of joins that one daemon sends; the anti-entropy exchange delivers the rest.
pub(crate) const JOIN_RATE: u32 = 1_000;
/// Burst size of sent joins, in bytes.
pub(crate) const JOIN_BURST: u32 = 12_000;
/// Rounds of gossip per second outside of ticks.
pub(crate) const URGENT_RATE: u32 = 4;
/// Burst size of gossip rounds outside of ticks.
pub(crate) const URGENT_BURST: u32 = 8;
/// Bytes charged for the framing of a gossip message, in addition to its updates.
const GOSSIP_OVERHEAD: usize = 100;
/// Bytes that must be available for a gossip message while the queue is congested.
const MIN_CONGESTED_BYTES: usize = 600;
/// Maximum bytes of updates in one gossip message.
const MAX_GOSSIP_BYTES: usize = 1_200;

impl MemberNode {
    /// Applies `update`; if it is new, queues it for gossip (if `spread`) and reports the change.
    pub(crate) fn apply_update(
        &mut self,
        update: &MemberUpdate,
        spread: bool,
        outputs: &mut Vec<MemberOutput>,
    ) -> UpdateEffect {
        let now = self.clock.now();
        let effect = self.table.apply(update, now);
        if !effect.is_new() {
            self.queue.on_duplicate(update);
            return effect;
        }
        if spread {
            let fleet_size = self.transmit_fleet_size(update, effect);
            self.queue
                .push(update.clone(), update_kind(effect), fleet_size);
        }
        if let Some(change) = self.member_change(update.id(), effect) {
            outputs.push(MemberOutput::Changed(change));
        }
        effect
    }

    /// Sends a message to a known member.
    pub(crate) fn send_to(
        &mut self,
        id: DaemonId,
        body: MessageBody,
        first: Vec<MemberUpdate>,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let Some(entry) = self.table.get(id) else {
            return;
        };
        let address = entry.profile().peer_address;
        self.send_at(id, address, body, first, outputs);
    }

    /// Sends a message to a daemon at `address`; the updates `first` precede queued ones.
    pub(crate) fn send_at(
        &mut self,
        to: DaemonId,
        address: SocketAddr,
        body: MessageBody,
        first: Vec<MemberUpdate>,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let now = self.clock.now();
        let available = if self.table.is_silent(to) {
            // A member that does not answer would not receive them.
            0
        } else {
            self.gossip_bytes.available(now).min(PIGGYBACK_BYTES)
        };
        let mut updates = first;
        updates.extend(self.take_updates(available));
        let message = self.message(self.table.get(to).is_none(), body, updates);
        outputs.push(MemberOutput::Send {
            to,
            address,
            message,
        });
    }

    /// Picks random members of the active set of the region, and occasionally of other regions.
    pub(crate) fn random_peers(&mut self, count: usize) -> Vec<DaemonId> {
        const CROSS_REGION_SHARE: f64 = 0.05;
        let mut peers = Vec::with_capacity(count);
        for _ in 0..count {
            let cross_region =
                self.same_region.members().is_empty() || self.rng.random_bool(CROSS_REGION_SHARE);
            let set = if cross_region && !self.other_regions.members().is_empty() {
                &self.other_regions
            } else {
                &self.same_region
            };
            let table = &self.table;
            let Some(id) = set.pick_where(|id| !table.is_silent(id), &mut self.rng) else {
                break;
            };
            if !peers.contains(&id) {
                peers.push(id);
            }
        }
        peers
    }

    pub(crate) fn message(
        &self,
        wants_record: bool,
        body: MessageBody,
        updates: Vec<MemberUpdate>,
    ) -> MemberMessage {
        MemberMessage {
            stamp: self.own.stamp,
            address: self.own.profile.peer_address,
            wants_record,
            body,
            updates,
        }
    }

    pub(crate) fn own_update(&self) -> MemberUpdate {
        MemberUpdate::Alive(Arc::clone(&self.own))
    }

    /// Returns the fleet size that determines the number of transmissions; 0 (the fewest) if only
    /// loads changed, since such an update may miss some members.
    fn transmit_fleet_size(&self, update: &MemberUpdate, effect: UpdateEffect) -> usize {
        let load_only =
            matches!(update, MemberUpdate::Heartbeat(_)) && effect == UpdateEffect::RecordChanged;
        if load_only {
            0
        } else {
            self.table.live_count()
        }
    }

    fn take_updates(&mut self, limit: usize) -> Vec<MemberUpdate> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let now = self.clock.now();
        let join_limit = self.join_bytes.available(now);
        let taken = self.queue.take(limit, join_limit);
        self.gossip_bytes.consume(taken.bytes);
        self.join_bytes.consume(taken.join_bytes);
        taken.updates
    }

    /// Whether only joins are queued and fewer than `min_bytes` of them may be sent.
    fn joins_must_wait(&mut self, min_bytes: usize, now: Instant) -> bool {
        self.join_bytes.available(now) < min_bytes && self.queue.has_only_joins()
    }

    fn member_change(&self, id: DaemonId, effect: UpdateEffect) -> Option<MemberChange> {
        let state = self.table.get(id)?.state;
        let before = match effect {
            UpdateEffect::Known | UpdateEffect::Confirmed => return None,
            UpdateEffect::RecordChanged => Some(MemberState::Alive),
            UpdateEffect::StateChanged { before } => before,
        };
        Some(MemberChange { id, before, state })
    }

    /// Gossips without waiting for the next tick, at a bounded rate.
    pub(crate) fn gossip_urgently(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        if !self.queue.is_congested() && self.urgent_rounds.available(now) > 0 {
            self.urgent_rounds.consume(1);
            self.gossip(now, outputs);
        }
    }

    /// Gossips to a few random members.
    pub(crate) fn gossip(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        let congested = self.queue.is_congested();
        // A few large messages waste less of the byte rate on framing than many small ones.
        let (fanout, min_bytes) = if congested {
            (1, MIN_CONGESTED_BYTES)
        } else {
            (GOSSIP_FANOUT, 0)
        };
        for id in self.random_peers(fanout) {
            let available = self.gossip_bytes.available(now).min(MAX_GOSSIP_BYTES);
            if available < min_bytes || self.joins_must_wait(min_bytes, now) {
                break;
            }
            let updates = self.take_updates(available);
            let Some(entry) = self.table.get(id) else {
                continue;
            };
            if updates.is_empty() {
                break;
            }
            let address = entry.profile().peer_address;
            self.gossip_bytes.consume(GOSSIP_OVERHEAD);
            let message = self.message(false, MessageBody::Gossip, updates);
            outputs.push(MemberOutput::Send {
                to: id,
                address,
                message,
            });
        }
    }
}

/// Returns the kind of an update: a join if its subject was unknown, dead or left before.
fn update_kind(effect: UpdateEffect) -> UpdateKind {
    match effect {
        UpdateEffect::StateChanged {
            before: None | Some(MemberState::Dead | MemberState::Left),
        } => UpdateKind::Join,
        _ => UpdateKind::Change,
    }
}
