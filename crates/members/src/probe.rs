//! Probes that wait for their answers.
//!
//! A probe is sent directly; without an answer in time, a few other members
//! are asked to probe too, so that one bad link between two daemons accuses
//! nobody. The direct answer still counts while the others try.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::DaemonId;

use crate::message::ProbeNumber;

/// Wait for a direct answer within the region.
pub const DIRECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Further wait for an answer through others within the region.
pub const INDIRECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Each of the two waits for a member of another region.
pub const CROSS_REGION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Members asked to probe in a daemon's stead.
pub const INDIRECT_PROBE_COUNT: usize = 3;
/// Most probes that wait, own and for others.
const MAX_WAITING: usize = 512;
/// How long the answer of a failed probe still tells its round trip.
const LATE_RETENTION: Duration = Duration::from_secs(10);
/// How long a probe made for another member is remembered.
const RELAY_RETENTION: Duration = Duration::from_secs(4);

/// Where a probe stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeStage {
    /// Only the direct ping is out.
    Direct,
    /// Others have been asked to help.
    Indirect,
}

/// Why a member is probed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeKind {
    /// A member of the same region.
    SameRegion,
    /// A member of another region; says nothing about the own link.
    OtherRegion,
    /// A dead member that may have come back; silence changes nothing.
    Dead,
}

/// One probe that waits.
#[derive(Clone, Copy, Debug)]
pub struct PendingProbe {
    /// Who is probed.
    pub subject: DaemonId,
    /// Why.
    pub kind: ProbeKind,
    /// When the direct ping was sent.
    pub sent_at: Instant,
    /// How far it got.
    pub stage: ProbeStage,
    /// When the stage ends.
    pub deadline: Instant,
}

/// A probe made for another member.
#[derive(Clone, Copy, Debug)]
pub struct RelayedProbe {
    /// Who asked.
    pub requester: DaemonId,
    /// The requester's number for it.
    pub probe: ProbeNumber,
    until: Instant,
}

/// All probes that wait.
#[derive(Debug, Default)]
pub struct ProbeTracker {
    waiting: BTreeMap<ProbeNumber, PendingProbe>,
    late: BTreeMap<ProbeNumber, PendingProbe>,
    relayed: BTreeMap<ProbeNumber, RelayedProbe>,
    last_number: ProbeNumber,
}

impl ProbeTracker {
    /// Notes a probe just sent and tells its number; none when too many wait.
    pub fn start(
        &mut self,
        subject: DaemonId,
        kind: ProbeKind,
        now: Instant,
        wait: Duration,
    ) -> Option<ProbeNumber> {
        if self.waiting.len() >= MAX_WAITING {
            return None;
        }
        let number = self.next_number();
        let probe = PendingProbe {
            subject,
            kind,
            sent_at: now,
            stage: ProbeStage::Direct,
            deadline: now + wait,
        };
        self.waiting.insert(number, probe);
        Some(number)
    }

    /// Notes a probe made for `requester` and tells its number; none when too many wait.
    pub fn start_relay(
        &mut self,
        requester: DaemonId,
        probe: ProbeNumber,
        now: Instant,
    ) -> Option<ProbeNumber> {
        if self.relayed.len() >= MAX_WAITING {
            return None;
        }
        let number = self.next_number();
        let until = now + RELAY_RETENTION;
        let relay = RelayedProbe {
            requester,
            probe,
            until,
        };
        self.relayed.insert(number, relay);
        Some(number)
    }

    /// Ends the probe that an ack answers.
    pub fn finish(&mut self, number: ProbeNumber) -> Option<PendingProbe> {
        self.waiting.remove(&number)
    }

    /// Ends the failed probe that a late ack answers.
    pub fn finish_late(&mut self, number: ProbeNumber) -> Option<PendingProbe> {
        self.late.remove(&number)
    }

    /// Ends the relayed probe that an ack answers.
    pub fn finish_relay(&mut self, number: ProbeNumber) -> Option<RelayedProbe> {
        self.relayed.remove(&number)
    }

    /// Whether a probe of `subject` waits.
    pub fn is_probing(&self, subject: DaemonId) -> bool {
        self.waiting.values().any(|probe| probe.subject == subject)
    }

    /// Moves probes past their deadline on by a stage; `wait_for` gives the next wait.
    ///
    /// Returns those to be tried through others and those that failed.
    pub fn expire(
        &mut self,
        now: Instant,
        wait_for: impl Fn(&PendingProbe) -> Duration,
    ) -> (Vec<(ProbeNumber, PendingProbe)>, Vec<PendingProbe>) {
        let mut stalled = Vec::new();
        let mut failed = Vec::new();
        let late = &mut self.late;
        self.waiting.retain(|number, probe| {
            if probe.deadline > now {
                return true;
            }
            if probe.stage == ProbeStage::Indirect {
                failed.push(*probe);
                late.insert(*number, *probe);
                return false;
            }
            probe.stage = ProbeStage::Indirect;
            probe.deadline = now + wait_for(probe);
            stalled.push((*number, *probe));
            true
        });
        late.retain(|_, probe| now.duration_since(probe.sent_at) < LATE_RETENTION);
        self.relayed.retain(|_, relay| relay.until > now);
        (stalled, failed)
    }

    fn next_number(&mut self) -> ProbeNumber {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }
}
