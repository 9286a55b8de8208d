//! How a [`MemberNode`] finds its first peers: the log and the settings.
//!
//! A daemon that starts while the log is down knows nobody. Its former run had
//! members, and most daemons start again where they ended, so those members
//! look there for a while.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use feed::port::{LogRecord, ReadAnswer};
use model::DaemonId;
use rand::Rng;

use crate::join::ENOUGH_MEMBERS;
use crate::message::MessageBody;
use crate::node::MemberNode;
use crate::output::MemberOutput;
use crate::record::{JoinRecord, StreamRecord};

/// Time between attempts to contact daemons named by the log or the settings.
const CONTACT_INTERVAL: Duration = Duration::from_secs(1);
/// Daemons contacted in one attempt.
const CONTACT_COUNT: usize = 12;
/// Time between looks at addresses of members that have ended.
const REVISIT_INTERVAL: Duration = Duration::from_millis(400);
/// Looks of the whole fleet at one such address in that time; a few, since some are lost.
const REVISITS: f64 = 2.0;
/// Time after an end in which its address is looked at; a restart takes a few seconds.
const REVISIT_TIME: Duration = Duration::from_secs(20);

impl MemberNode {
    /// Takes records of the stream `members` that the daemon read for other ends.
    pub fn on_log_records(&mut self, records: &[LogRecord]) {
        self.join.take_records(records);
    }

    /// Takes the answer to [`MemberOutput::ReadMembers`].
    pub fn on_read_answer(&mut self, answer: &ReadAnswer) -> Vec<MemberOutput> {
        let now = self.clock.now();
        let next = self.join.on_answer(answer, now, &mut self.rng);
        let mut outputs: Vec<MemberOutput> = next.map(MemberOutput::read).into_iter().collect();
        self.contact_candidates(now, &mut outputs);
        outputs
    }

    /// Notes that a read failed.
    pub fn on_read_failed(&mut self) {
        let now = self.clock.now();
        self.join.on_read_failed(now, &mut self.rng);
    }

    /// Notes that an append failed or that its outcome is unknown.
    pub fn on_append_failed(&mut self) {
        let now = self.clock.now();
        self.join.on_append_failed(now, &mut self.rng);
    }

    /// Notes that the log lost the own record, which it had acknowledged.
    pub fn on_record_lost(&mut self) {
        let now = self.clock.now();
        self.join.schedule_append(now, &mut self.rng);
    }

    pub(crate) fn use_log(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        if self.join.take_append(now, &mut self.rng) {
            outputs.push(MemberOutput::append(&self.join_record()));
        }
        let members = self.table.live_count();
        let read = self.join.take_read(members, now, &mut self.rng);
        outputs.extend(read.map(MemberOutput::read));
    }

    /// Contacts daemons that the log or the settings name and that are not yet known.
    pub(crate) fn contact_candidates(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        if now < self.contact_at {
            return;
        }
        let members = self.table.live_count();
        let before = outputs.len();
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
        // Nobody to contact yet: whom the log names next is contacted without a wait.
        if outputs.len() > before {
            self.contact_at = now + CONTACT_INTERVAL.mul_f64(self.rng.random_range(0.8..1.2));
        }
        if members >= ENOUGH_MEMBERS {
            self.join.clear_candidates();
        }
    }

    /// Looks whether a member that has ended runs again where it was; now and then, so that
    /// all members together look at each address a few times in an interval.
    pub(crate) fn revisit_ended(&mut self, now: Instant, outputs: &mut Vec<MemberOutput>) {
        if now < self.revisit_at {
            return;
        }
        self.revisit_at = now + REVISIT_INTERVAL;
        let ended: Vec<SocketAddr> = self
            .table
            .iter()
            .filter(|entry| !entry.state.is_live() && now - entry.since < REVISIT_TIME)
            .map(|entry| entry.profile().peer_address)
            .collect();
        if ended.is_empty() {
            return;
        }
        self.revisit_at += REVISIT_INTERVAL.mul_f64(self.rng.random_range(0.0..0.4));
        let due = REVISITS * ended.len() as f64 / self.live_count() as f64;
        if self.rng.random_range(0.0..1.0) >= due {
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

    /// A ping whose answer is welcome but not waited for.
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
