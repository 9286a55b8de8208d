//! Handling of received messages in a [`MemberNode`].

use std::net::SocketAddr;
use std::sync::Arc;

use model::DaemonId;

use crate::digest::MemberStamp;
use crate::message::{MemberMessage, MemberUpdate, MessageBody, ProbeNumber};
use crate::node::MemberNode;
use crate::output::MemberOutput;
use crate::probe::ProbeKind;
use crate::sync::MAX_GOSSIPED_RECORDS;
use crate::table::{MemberEntry, MemberState, UpdateEffect};

impl MemberNode {
    /// Handles a message from another member.
    pub fn on_message(&mut self, from: DaemonId, message: MemberMessage) -> Vec<MemberOutput> {
        let mut outputs = Vec::new();
        if from == self.own.id {
            return outputs;
        }
        if self.is_stale(from, message.stamp) {
            self.counts.stale_messages += 1;
            self.notify_superseded(from, &message, &mut outputs);
            return outputs;
        }
        // Only small deliveries of an exchange are gossiped further; other members catch up with
        // larger ones through exchanges of their own.
        let synced = matches!(message.body, MessageBody::SyncRecords { .. });
        let is_small = message.updates.len() <= MAX_GOSSIPED_RECORDS;
        let now = self.clock.now();
        self.table.record_message(from, now);
        let mut urgent = false;
        for update in &message.updates {
            urgent |= self.on_update(update, synced, is_small || !synced, &mut outputs);
        }
        if urgent {
            self.gossip_urgently(now, &mut outputs);
        }
        let wants_record = message.wants_record;
        let address = message.address;
        let is_ping = matches!(message.body, MessageBody::Ping { .. });
        self.on_body(from, message, &mut outputs);
        if wants_record && !is_ping {
            let own = self.own_update();
            self.send_at(from, address, MessageBody::Gossip, vec![own], &mut outputs);
        }
        outputs
    }

    /// Tells an older incarnation of a member that a later one exists, so that it stops.
    fn notify_superseded(
        &mut self,
        from: DaemonId,
        message: &MemberMessage,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let is_ping = matches!(message.body, MessageBody::Ping { .. });
        let successor = self
            .table
            .get(from)
            .filter(|entry| is_ping && entry.stamp().incarnation > message.stamp.incarnation)
            .map(|entry| MemberUpdate::Alive(Arc::clone(&entry.record)));
        if let Some(update) = successor {
            let first = vec![update];
            self.send_at(from, message.address, MessageBody::Gossip, first, outputs);
        }
    }

    /// Whether a message comes from an incarnation that has ended.
    fn is_stale(&self, from: DaemonId, stamp: MemberStamp) -> bool {
        let Some(entry) = self.table.get(from) else {
            return false;
        };
        let known = entry.stamp().incarnation;
        let has_left = entry.state == MemberState::Left;
        stamp.incarnation < known || (has_left && stamp.incarnation == known)
    }

    fn on_body(&mut self, from: DaemonId, message: MemberMessage, outputs: &mut Vec<MemberOutput>) {
        let address = message.address;
        match message.body {
            MessageBody::Ping { probe, .. } => {
                self.on_ping(
                    from,
                    &message.stamp,
                    address,
                    probe,
                    message.wants_record,
                    outputs,
                );
            }
            MessageBody::Ack { probe, view } => self.on_ack(from, probe, view, outputs),
            MessageBody::PingRequest {
                probe,
                subject,
                address: subject_address,
            } => self.on_ping_request(from, probe, subject, subject_address, outputs),
            MessageBody::Gossip => {}
            MessageBody::SyncOffer { buckets } => {
                self.on_sync_offer(from, address, &buckets, outputs);
            }
            MessageBody::SyncSummary { summary } => {
                self.on_sync_summary(from, address, &summary, outputs);
            }
            MessageBody::SyncRecords { summary } => {
                self.on_sync_records(from, address, &message.updates, summary.as_ref(), outputs);
            }
        }
    }

    fn on_ping(
        &mut self,
        from: DaemonId,
        stamp: &MemberStamp,
        address: SocketAddr,
        probe: ProbeNumber,
        wants_record: bool,
        outputs: &mut Vec<MemberOutput>,
    ) {
        self.same_region.record_prober(from);
        self.other_regions.record_prober(from);
        let mut first = Vec::new();
        if wants_record {
            first.push(self.own_update());
        }
        let claim = self
            .table
            .get(from)
            .filter(|entry| entry.stamp() >= *stamp)
            .and_then(MemberEntry::failure_report);
        first.extend(claim);
        let view = self.view_hash();
        self.send_at(
            from,
            address,
            MessageBody::Ack { probe, view },
            first,
            outputs,
        );
    }

    fn on_ack(
        &mut self,
        from: DaemonId,
        probe: ProbeNumber,
        view: u64,
        outputs: &mut Vec<MemberOutput>,
    ) {
        if let Some(relay) = self.probes.finish_relay(probe) {
            let body = MessageBody::Ack {
                probe: relay.probe,
                view: self.view_hash(),
            };
            self.send_to(relay.requester, body, Vec::new(), outputs);
            return;
        }
        let now = self.clock.now();
        let finished = self.probes.finish(probe);
        if finished.is_some_and(|finished| finished.kind == ProbeKind::SameRegion) {
            self.health.on_answer();
        }
        let answered = finished.or_else(|| self.probes.finish_late(probe));
        if let Some(answered) = answered.filter(|answered| answered.subject == from) {
            let round_trip = now.duration_since(answered.sent_at);
            self.slow_links
                .record_round_trip(from, round_trip, now, &self.table);
        }
        self.compare_views(from, view, outputs);
    }

    fn on_ping_request(
        &mut self,
        from: DaemonId,
        probe: ProbeNumber,
        subject: DaemonId,
        address: SocketAddr,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let now = self.clock.now();
        if subject == self.own.id {
            return;
        }
        let Some(relay) = self.probes.start_relay(from, probe, now) else {
            return;
        };
        let first = self
            .table
            .get(subject)
            .and_then(MemberEntry::failure_report);
        let body = MessageBody::Ping {
            probe: relay,
            view: self.view_hash(),
        };
        self.send_at(subject, address, body, first.into_iter().collect(), outputs);
    }

    /// Handles one update; `spread` says whether to gossip it further.
    ///
    /// Returns whether the update should be gossiped without waiting for the next tick.
    fn on_update(
        &mut self,
        update: &MemberUpdate,
        synced: bool,
        spread: bool,
        outputs: &mut Vec<MemberOutput>,
    ) -> bool {
        if update.id() == self.own.id {
            return self.on_own_update(update, outputs);
        }
        if !self.is_trusted(update, synced) {
            self.verify_claim(update);
            return false;
        }
        let effect = self.apply_update(update, spread, outputs);
        let is_new_suspicion = matches!(update, MemberUpdate::Suspect { .. })
            && matches!(effect, UpdateEffect::StateChanged { .. });
        if is_new_suspicion {
            self.confirm_suspect(update.id(), outputs);
        }
        let load_only =
            matches!(update, MemberUpdate::Heartbeat(_)) && effect == UpdateEffect::RecordChanged;
        spread && effect.is_new() && !load_only
    }

    /// Handles an update about this daemon: refutes claims that it is suspect or dead, and
    /// publishes a version above any later one that others hold.
    fn on_own_update(&mut self, update: &MemberUpdate, outputs: &mut Vec<MemberOutput>) -> bool {
        let stamp = update.stamp();
        let own = self.own.stamp;
        if stamp.incarnation > own.incarnation {
            outputs.push(MemberOutput::Superseded);
            return false;
        }
        if stamp.incarnation < own.incarnation || stamp.sequence < own.sequence {
            return false;
        }
        match update {
            MemberUpdate::Suspect { .. } | MemberUpdate::Dead { .. } => {
                self.counts.refutations += 1;
                self.publish_heartbeat(stamp.sequence);
            }
            MemberUpdate::Alive(_) | MemberUpdate::Heartbeat(_)
                if stamp.sequence > own.sequence =>
            {
                self.publish_change(|record| record.stamp.sequence = stamp.sequence);
            }
            MemberUpdate::Alive(_) | MemberUpdate::Heartbeat(_) | MemberUpdate::Left { .. } => {
                return false;
            }
        }
        true
    }

    /// Whether to apply an update without verifying it by a probe of this daemon.
    ///
    /// A suspect or dead claim is trusted if its reporter is in the subject's region or in this
    /// daemon's. Otherwise, in a partition between two regions, the claims that one makes about
    /// members of the other would spread in the other too. A claim that an anti-entropy exchange
    /// delivers about a member that is alive here is never trusted.
    fn is_trusted(&self, update: &MemberUpdate, synced: bool) -> bool {
        let (id, by) = match update {
            MemberUpdate::Suspect { id, by, .. } | MemberUpdate::Dead { id, by, .. } => (*id, *by),
            MemberUpdate::Alive(_) | MemberUpdate::Heartbeat(_) | MemberUpdate::Left { .. } => {
                return true;
            }
        };
        let Some(entry) = self.table.get(id) else {
            return true;
        };
        if synced && entry.state == MemberState::Alive {
            return false;
        }
        let own_region = &self.own.profile.region;
        let by_region = match self.table.region(by) {
            Some(region) => region,
            None if by == self.own.id => own_region,
            None => return false,
        };
        by_region == own_region || *by_region == entry.profile().region
    }

    /// Queues a probe that carries the claim to its subject, so that it can refute it.
    fn verify_claim(&mut self, update: &MemberUpdate) {
        let id = update.id();
        let can_refute = self
            .table
            .get(id)
            .is_some_and(|entry| entry.state.is_live() && entry.stamp() <= update.stamp());
        if can_refute {
            self.schedule.add_claim_check(id, update.clone());
        }
    }
}
