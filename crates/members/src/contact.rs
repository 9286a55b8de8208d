//! How a [`MemberNode`] contacts its first peers, which the log and the settings name.
//!
//! A daemon that restarts while the log is down knows no other member. The
//! members that knew its previous incarnation help: most daemons restart at the
//! same address, so for a while after a member has died or left, the others
//! probe its address.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use feed::port::{LogRecord, ReadReply};
use model::DaemonId;
use rand::Rng;

use crate::join::ENOUGH_MEMBERS;
use crate::message::MessageBody;
use crate::node::MemberNode;
use crate::output::MemberOutput;
use crate::record::{JoinRecord, StreamRecord};

/// Time between attempts to contact daemons named by the log or the settings.
const CONTACT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of daemons contacted in one attempt.
const CONTACT_COUNT: usize = 12;
/// Time between probes of the addresses of ended (dead or left) members.
const ENDED_PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Number of probes of one such address by the whole fleet in that time; more than one, since
/// some are lost.
const ENDED_PROBES_PER_INTERVAL: f64 = 2.0;
/// Time for which the address of an ended member is probed; a restart takes a few seconds.
const ENDED_PROBE_WINDOW: Duration = Duration::from_secs(20);

impl MemberNode {
    /// Handles records of the stream `members` that the daemon read for another purpose.
    pub fn on_log_records(&mut self, records: &[LogRecord]) {
        self.join.take_records(records);
    }

    /// Handles the answer to [`MemberOutput::ReadMembers`].
    pub fn on_read_answer(&mut self, answer: &ReadReply) -> Vec<MemberOutput> {
        let now = self.clock.now();
        let next = self.join.on_answer(answer, now, &mut self.rng);
        let mut outputs: Vec<MemberOutput> = next.map(MemberOutput::read).into_iter().collect();
        self.contact_candidates(now, &mut outputs);
        outputs
    }

    /// Handles a failed read.
    pub fn on_read_failed(&mut self) {
        let now = self.clock.now();
        self.join.on_read_failed(now, &mut self.rng);
    }

    /// Handles an append that failed or whose outcome is unknown.
    pub fn on_append_failed(&mut self) {
        let now = self.clock.now();
        self.join.on_append_failed(now, &mut self.rng);
    }

    /// Handles the loss of this daemon's acknowledged join record by the log.
    pub fn on_record_lost(&mut self) {
        let now = self.clock.now();
        self.join.schedule_append(now, &mut self.rng);
    }

    /// Requests the append and the read of the stream that are due.
    pub(crate) fn start_log_requests(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        if self.join.take_append(now, &mut self.rng) {
            outputs.push(MemberOutput::append(&self.join_record()));
        }
        let members = self.table.live_count();
        let read = self.join.take_read(members, now, &mut self.rng);
        outputs.extend(read.map(MemberOutput::read));
    }

    /// Contacts unknown daemons that the log or the settings name.
    pub(crate) fn contact_candidates(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        if now < self.next_contact_at {
            return;
        }
        let members = self.table.live_count();
        let output_count = outputs.len();
        if members < ENOUGH_MEMBERS {
            self.contact_seeds(outputs);
        }
        let table = &self.table;
        let unknown = |id: DaemonId| table.get(id).is_none();
        let picked: Vec<(DaemonId, SocketAddr)> = self
            .join
            .pick(CONTACT_COUNT, unknown, &mut self.rng)
            .into_iter()
            .map(|join| (join.id, join.peer_address))
            .collect();
        for (id, address) in picked {
            let body = self.contact_ping();
            let own = self.own_update();
            self.send_at(id, address, body, vec![own], outputs);
        }
        // Without a candidate there is no wait: daemons that the log names next are contacted at
        // once.
        if outputs.len() > output_count {
            self.next_contact_at = now + CONTACT_INTERVAL.mul_f64(self.rng.random_range(0.8..1.2));
        }
        if members >= ENOUGH_MEMBERS {
            self.join.clear_candidates();
        }
    }

    /// Probes the former address of an ended member in case it has restarted there, at random,
    /// so that all members together probe each address a few times per interval.
    pub(crate) fn probe_ended_addresses(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        if now < self.next_ended_probe_at {
            return;
        }
        self.next_ended_probe_at = now + ENDED_PROBE_INTERVAL;
        let ended: Vec<SocketAddr> = self
            .table
            .iter()
            .filter(|entry| !entry.state.is_live() && now - entry.since < ENDED_PROBE_WINDOW)
            .map(|entry| entry.profile().peer_address)
            .collect();
        if ended.is_empty() {
            return;
        }
        self.next_ended_probe_at += ENDED_PROBE_INTERVAL.mul_f64(self.rng.random_range(0.0..0.4));
        let probability = ENDED_PROBES_PER_INTERVAL * ended.len() as f64 / self.live_count() as f64;
        if self.rng.random_range(0.0..1.0) >= probability {
            return;
        }
        let address = ended[self.rng.random_range(0..ended.len())];
        let message = self.message(true, self.contact_ping(), vec![self.own_update()]);
        outputs.push(MemberOutput::Contact { address, message });
    }

    fn contact_seeds(&mut self, outputs: &mut Vec<MemberOutput>) {
        for index in 0..self.seeds.len() {
            let address = self.seeds[index];
            let known = self
                .table
                .live()
                .any(|entry| entry.profile().peer_address == address);
            if known || address == self.own.profile.peer_address {
                continue;
            }
            let message = self.message(true, self.contact_ping(), vec![self.own_update()]);
            outputs.push(MemberOutput::Contact { address, message });
        }
    }

    /// Returns a ping whose answer is handled but not waited for.
    fn contact_ping(&self) -> MessageBody {
        MessageBody::Ping {
            probe: 0,
            view: self.view_hash(),
        }
    }

    fn join_record(&self) -> StreamRecord {
        let profile = self.own.profile.clone();
        StreamRecord::Join(JoinRecord {
            id: self.own.id,
            incarnation: self.own.stamp.incarnation,
            name: profile.name,
            peer_address: profile.peer_address,
            caller_address: profile.caller_address,
            domain: profile.domain,
            region: profile.region,
            at: self.clock.wall(),
        })
    }
}
