//! How a [`MemberNode`] learns, sends and passes news on.

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

/// Members told of news in one tick.
const GOSSIP_FANOUT: usize = 3;
/// Bytes a second of updates that one daemon passes on.
pub(crate) const GOSSIP_RATE: u32 = 6_000;
/// Bytes of updates passed on at once after a quiet time.
pub(crate) const GOSSIP_BURST: u32 = 15_000;
/// Bytes a second of joins that one daemon passes on; comparisons of views tell the rest.
pub(crate) const JOIN_RATE: u32 = 1_000;
/// Bytes of joins passed on at once after a quiet time.
pub(crate) const JOIN_BURST: u32 = 12_000;
/// Rounds of gossip a second between ticks.
pub(crate) const URGENT_RATE: u32 = 4;
/// Rounds of gossip at once between ticks.
pub(crate) const URGENT_BURST: u32 = 8;
/// Bytes of framing for which a message made for gossip counts besides its updates.
const GOSSIP_OVERHEAD: usize = 100;
/// Bytes for updates below which a message waits while many updates do.
const CROWDED_BYTES: usize = 600;
/// Bytes of updates in one message made for gossip.
const GOSSIP_BYTES: usize = 1_200;

impl MemberNode {
    /// Applies `update`, spreads it if it is news, and tells the daemon.
    pub(crate) fn learn(
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
            let fleet = self.spread_for(update, effect);
            self.queue.push(update.clone(), news_kind(effect), fleet);
        }
        if let Some(change) = self.change_for(update.id(), effect) {
            outputs.push(MemberOutput::Changed(change));
        }
        effect
    }

    /// Sends to a known member.
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

    /// Sends to a daemon at `address`; `first` go ahead of other updates.
    pub(crate) fn send_at(
        &mut self,
        to: DaemonId,
        address: SocketAddr,
        body: MessageBody,
        first: Vec<MemberUpdate>,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let now = self.clock.now();
        let room = if self.table.is_silent(to) {
            // What is sent to the dead reaches nobody.
            0
        } else {
            self.gossip_bytes.available(now).min(PIGGYBACK_BYTES)
        };
        let mut updates = first;
        updates.extend(self.take_updates(room));
        let message = self.message(self.table.get(to).is_none(), body, updates);
        outputs.push(MemberOutput::Send {
            to,
            address,
            message,
        });
    }

    /// Members of the active set of the region, and now and then of the other, in random order.
    pub(crate) fn random_peers(&mut self, count: usize) -> Vec<DaemonId> {
        const FAR_SHARE: f64 = 0.05;
        let mut peers = Vec::with_capacity(count);
        for _ in 0..count {
            let far = self.near.members().is_empty() || self.rng.random_bool(FAR_SHARE);
            let set = if far && !self.far.members().is_empty() {
                &self.far
            } else {
                &self.near
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

    /// How many members an update is to reach by gossip: loads alone may miss some.
    fn spread_for(&self, update: &MemberUpdate, effect: UpdateEffect) -> usize {
        let load_only =
            matches!(update, MemberUpdate::Heartbeat(_)) && effect == UpdateEffect::RecordChanged;
        if load_only {
            0
        } else {
            self.table.live_count()
        }
    }

    fn take_updates(&mut self, room: usize) -> Vec<MemberUpdate> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let now = self.clock.now();
        let join_room = self.join_bytes.available(now);
        let taken = self.queue.take(room, join_room);
        self.gossip_bytes.consume(taken.bytes);
        self.join_bytes.consume(taken.join_bytes);
        taken.updates
    }

    /// Whether only joins wait and less than `least` of their bytes may be sent.
    fn joins_must_wait(&mut self, least: usize, now: Instant) -> bool {
        self.join_bytes.available(now) < least && self.queue.has_only_joins()
    }

    fn change_for(&self, id: DaemonId, effect: UpdateEffect) -> Option<MemberChange> {
        let state = self.table.get(id)?.state;
        let before = match effect {
            UpdateEffect::Known | UpdateEffect::Confirmed => return None,
            UpdateEffect::RecordChanged => Some(MemberState::Alive),
            UpdateEffect::StateChanged { before } => before,
        };
        Some(MemberChange { id, before, state })
    }

    /// Passes news on without waiting for the next tick, a bounded number of times a second.
    pub(crate) fn gossip_urgently(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        if !self.queue.is_congested() && self.urgent_rounds.available(now) > 0 {
            self.urgent_rounds.consume(1);
            self.gossip(now, outputs);
        }
    }

    /// Passes news on to a few random members.
    pub(crate) fn gossip(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        let crowded = self.queue.is_congested();
        // Few large messages leave more of the rate to the updates than many small ones.
        let (fanout, least) = if crowded {
            (1, CROWDED_BYTES)
        } else {
            (GOSSIP_FANOUT, 0)
        };
        for id in self.random_peers(fanout) {
            let room = self.gossip_bytes.available(now).min(GOSSIP_BYTES);
            if room < least || self.joins_must_wait(least, now) {
                break;
            }
            let updates = self.take_updates(room);
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

/// Whether a member takes part that did not before.
fn news_kind(effect: UpdateEffect) -> UpdateKind {
    match effect {
        UpdateEffect::StateChanged {
            before: None | Some(MemberState::Dead | MemberState::Left),
        } => UpdateKind::Join,
        _ => UpdateKind::Change,
    }
}
