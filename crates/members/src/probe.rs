//! Probes that wait for their answers.
//!
//! A probe is first sent directly. If it times out, a few other members are
//! asked for indirect probes, so that one bad link between two daemons does not
//! raise a suspicion. A direct answer still counts during the indirect stage.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::DaemonId;

use crate::message::ProbeNumber;

/// Timeout of the direct stage within the region.
pub const DIRECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of the indirect stage within the region, after the direct stage.
pub const INDIRECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of each stage for a member of another region.
pub const CROSS_REGION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Number of members asked for an indirect probe.
pub const INDIRECT_PROBE_COUNT: usize = 3;
/// Maximum number of pending probes, and of relayed ones.
const MAX_PENDING: usize = 512;
/// Time for which a failed probe is kept, so that a late answer gives its round-trip time.
const LATE_RETENTION: Duration = Duration::from_secs(10);
/// Time for which a relayed probe is kept.
const RELAY_RETENTION: Duration = Duration::from_secs(4);

/// Stage of a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeStage {
    /// Only the direct ping has been sent.
    Direct,
    /// Other members have been asked for indirect probes.
    Indirect,
}

/// Relation of a probed member to the prober.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeKind {
    /// A member of the same region.
    SameRegion,
    /// A member of another region; a failure does not count against the local health.
    OtherRegion,
    /// A dead member that may have returned; a failure has no effect.
    Dead,
}

/// A probe that waits for its answer.
#[derive(Clone, Copy, Debug)]
pub struct PendingProbe {
    /// The probed member.
    pub subject: DaemonId,
    /// Relation of the subject to this daemon.
    pub kind: ProbeKind,
    /// When the direct ping was sent.
    pub sent_at: Instant,
    /// Current stage.
    pub stage: ProbeStage,
    /// When the stage ends.
    pub deadline: Instant,
}

/// An indirect probe on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub struct RelayedProbe {
    /// The member that requested it.
    pub requester: DaemonId,
    /// The requester's probe number.
    pub probe: ProbeNumber,
    expires_at: Instant,
}

/// All pending, failed and relayed probes.
#[derive(Debug, Default)]
pub struct ProbeTracker {
    pending: BTreeMap<ProbeNumber, PendingProbe>,
    failed: BTreeMap<ProbeNumber, PendingProbe>,
    relayed: BTreeMap<ProbeNumber, RelayedProbe>,
    last_number: ProbeNumber,
}

impl ProbeTracker {
    /// Registers a probe and returns its number; `None` if too many are pending.
    pub fn start(
        &mut self,
        subject: DaemonId,
        kind: ProbeKind,
        now: Instant,
        timeout: Duration,
    ) -> Option<ProbeNumber> {
        if self.pending.len() >= MAX_PENDING {
            return None;
        }
        let number = self.next_number();
        let probe = PendingProbe {
            subject,
            kind,
            sent_at: now,
            stage: ProbeStage::Direct,
            deadline: now + timeout,
        };
        self.pending.insert(number, probe);
        Some(number)
    }

    /// Registers a probe on behalf of `requester` and returns its number; `None` if too many
    /// are pending.
    pub fn start_relay(
        &mut self,
        requester: DaemonId,
        probe: ProbeNumber,
        now: Instant,
    ) -> Option<ProbeNumber> {
        if self.relayed.len() >= MAX_PENDING {
            return None;
        }
        let number = self.next_number();
        let expires_at = now + RELAY_RETENTION;
        let relay = RelayedProbe {
            requester,
            probe,
            expires_at,
        };
        self.relayed.insert(number, relay);
        Some(number)
    }

    /// Removes the pending probe that an ack answers.
    pub fn finish(&mut self, number: ProbeNumber) -> Option<PendingProbe> {
        self.pending.remove(&number)
    }

    /// Removes the failed probe that a late ack answers.
    pub fn finish_late(&mut self, number: ProbeNumber) -> Option<PendingProbe> {
        self.failed.remove(&number)
    }

    /// Removes the relayed probe that an ack answers.
    pub fn finish_relay(&mut self, number: ProbeNumber) -> Option<RelayedProbe> {
        self.relayed.remove(&number)
    }

    /// Whether a probe of `subject` is pending.
    pub fn is_probing(&self, subject: DaemonId) -> bool {
        self.pending.values().any(|probe| probe.subject == subject)
    }

    /// Advances probes past their deadline by a stage; `indirect_timeout` gives the timeout of the
    /// indirect stage.
    ///
    /// Returns the probes that enter the indirect stage and those that failed.
    pub fn expire(
        &mut self,
        now: Instant,
        indirect_timeout: impl Fn(&PendingProbe) -> Duration,
    ) -> (Vec<(ProbeNumber, PendingProbe)>, Vec<PendingProbe>) {
        let mut timed_out = Vec::new();
        let mut failed = Vec::new();
        let recently_failed = &mut self.failed;
        self.pending.retain(|number, probe| {
            if probe.deadline > now {
                return true;
            }
            if probe.stage == ProbeStage::Indirect {
                failed.push(*probe);
                recently_failed.insert(*number, *probe);
                return false;
            }
            probe.stage = ProbeStage::Indirect;
            probe.deadline = now + indirect_timeout(probe);
            timed_out.push((*number, *probe));
            true
        });
        recently_failed.retain(|_, probe| now.duration_since(probe.sent_at) < LATE_RETENTION);
        self.relayed.retain(|_, relay| relay.expires_at > now);
        (timed_out, failed)
    }

    fn next_number(&mut self) -> ProbeNumber {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }
}
