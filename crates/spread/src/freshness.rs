//! Tracks whether the local configuration is proven to match the end of the log.
//!
//! A reader whose request to the log shows that nothing follows its head has a
//! proof of freshness, dated at the time of the request. Proofs are passed
//! between daemons in responses; each hop measures the age from its own request,
//! so a proof never looks younger than it is, even after network delays or a
//! paused process.
//!
//! Without a recent proof there are two cases. If readers of the failure domains
//! that [`OutageQuorum`] requires report that the log is down, calls continue: with
//! all domains required, no daemon can have a newer configuration. Otherwise other
//! daemons may have advanced, and this one is cut off: it must refuse non-idempotent
//! calls.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use derive_more::Display;
use model::{ConfigVersion, DomainName};

use crate::message::{AgeMillis, FreshnessEvidence};
use crate::settings::{OutageQuorum, SpreadSettings};

/// Freshness of this daemon's configuration, and how calls are treated.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum FreshnessState {
    /// No configuration, or none proven recent enough to start with: refuse all calls as not run.
    #[display("absent")]
    Absent,
    /// Recently proven to match the log.
    #[display("current")]
    Current,
    /// The log is down for readers of all required domains: continue to serve calls.
    #[display("source down")]
    SourceDown,
    /// Other daemons may have advanced: refuse non-idempotent calls, mark reads as stale.
    #[display("cut off")]
    CutOff,
}

/// Freshness of this daemon at one point in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FreshnessReport {
    /// Resulting state.
    pub state: FreshnessState,
    /// Age of the latest proof.
    pub proof_age: Option<Duration>,
    /// Age of the latest evidence of an outage in all required domains.
    pub outage_age: Option<Duration>,
}

/// Times up to which the known proofs hold.
///
/// A copy can be evaluated for each call at the time of the call, so a process
/// that was paused does not act on an outdated state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FreshnessDeadlines {
    serving: bool,
    proven_until: Option<Instant>,
    outage_until: Option<Instant>,
}

impl FreshnessDeadlines {
    /// Deadlines of a daemon that has no configuration.
    pub const ABSENT: Self = Self {
        serving: false,
        proven_until: None,
        outage_until: None,
    };

    /// Returns the state at `now`.
    pub fn state_at(&self, now: Instant) -> FreshnessState {
        let is_valid = |until: Option<Instant>| until.is_some_and(|until| now <= until);
        if !self.serving {
            FreshnessState::Absent
        } else if is_valid(self.proven_until) {
            FreshnessState::Current
        } else if is_valid(self.outage_until) {
            FreshnessState::SourceDown
        } else {
            FreshnessState::CutOff
        }
    }
}

/// Collects proofs of freshness and evidence of log outages.
#[derive(Debug, Default)]
pub struct FreshnessTracker {
    proven_at: Option<Instant>,
    outage_at: Option<Instant>,
    pending: Option<PendingProof>,
    domains: BTreeMap<DomainName, DomainStatus>,
}

/// Proof for a position that this daemon has not reached yet.
#[derive(Clone, Copy, Debug)]
struct PendingProof {
    position: ConfigVersion,
    proven_at: Instant,
}

/// Log status last reported by a domain's readers.
#[derive(Clone, Copy, Debug)]
struct DomainStatus {
    seen_at: Instant,
    down_at: Option<Instant>,
}

impl FreshnessTracker {
    /// Records that the log ended at `position` at `proven_at`, while this
    /// daemon is at the position `local`.
    pub fn add_proof(&mut self, position: ConfigVersion, proven_at: Instant, local: ConfigVersion) {
        if local >= position {
            self.proven_at = self.proven_at.max(Some(proven_at));
            return;
        }
        let is_as_recent = |pending: &PendingProof| pending.proven_at >= proven_at;
        if !self.pending.as_ref().is_some_and(is_as_recent) {
            self.pending = Some(PendingProof {
                position,
                proven_at,
            });
        }
    }

    /// Records that this daemon is at the position `local` now, which may complete a pending proof.
    pub fn advance(&mut self, local: ConfigVersion) {
        if let Some(pending) = self.pending
            && local >= pending.position
        {
            self.pending = None;
            self.add_proof(pending.position, pending.proven_at, local);
        }
    }

    /// Records the evidence of a peer at `position`, in response to a request sent at `asked_at`,
    /// while this daemon is at the position `local`.
    pub fn record_evidence(
        &mut self,
        evidence: FreshnessEvidence,
        position: ConfigVersion,
        asked_at: Instant,
        local: ConfigVersion,
    ) {
        if let Some(proven_at) = instant_before(asked_at, evidence.proof_age) {
            self.add_proof(position, proven_at, local);
        }
        if let Some(outage_at) = instant_before(asked_at, evidence.outage_age) {
            self.outage_at = self.outage_at.max(Some(outage_at));
        }
    }

    /// Records that a domain has live members, so that it counts for the outage quorum.
    pub fn register_domain(&mut self, domain: &DomainName, now: Instant) {
        if let Some(status) = self.domains.get_mut(domain) {
            status.seen_at = now;
            return;
        }
        let status = DomainStatus {
            seen_at: now,
            down_at: None,
        };
        self.domains.insert(domain.clone(), status);
    }

    /// Records that a reader of `domain` found the log down at `down_at`, or up if `None`.
    pub fn update_domain(&mut self, domain: &DomainName, down_at: Option<Instant>, now: Instant) {
        self.register_domain(domain, now);
        if let Some(status) = self.domains.get_mut(domain) {
            status.down_at = down_at;
        }
    }

    /// Detects an outage from the reports of the domains' readers.
    ///
    /// Only called on readers, which receive the reports of the other domains.
    pub fn update_outage(&mut self, settings: &SpreadSettings, now: Instant) {
        let retention = settings.domain_retention;
        self.domains
            .retain(|_, status| now.saturating_duration_since(status.seen_at) < retention);
        // When each domain found the log down: the latest first, and domains with the log
        // up last. The outage thus dates from the oldest report of the quorum.
        let mut moments = self
            .domains
            .values()
            .map(|status| status.down_at)
            .collect::<Vec<_>>();
        moments.sort_unstable_by(|left, right| right.cmp(left));
        let needed = match settings.outage_quorum {
            OutageQuorum::Every => moments.len(),
            OutageQuorum::Majority => moments.len() / 2 + 1,
        };
        let quorum_down_at = needed.checked_sub(1).and_then(|index| moments.get(index));
        if let Some(Some(outage_at)) = quorum_down_at {
            self.outage_at = self.outage_at.max(Some(*outage_at));
        }
    }

    /// Returns the evidence that this daemon can pass to its peers.
    pub fn evidence(&self, now: Instant) -> FreshnessEvidence {
        FreshnessEvidence {
            proof_age: age(self.proven_at, now).map(AgeMillis::from),
            outage_age: age(self.outage_at, now).map(AgeMillis::from),
        }
    }

    /// Returns the deadlines of the current proofs; `serving` tells whether this daemon
    /// serves a configuration.
    pub fn deadlines(&self, serving: bool, settings: &SpreadSettings) -> FreshnessDeadlines {
        FreshnessDeadlines {
            serving,
            proven_until: self.proven_at.map(|at| at + settings.cut_off_after),
            outage_until: self.outage_at.map(|at| at + settings.outage_max_age),
        }
    }

    /// Returns the freshness at `now`; `serving` tells whether this daemon serves a
    /// configuration.
    pub fn report(
        &self,
        serving: bool,
        settings: &SpreadSettings,
        now: Instant,
    ) -> FreshnessReport {
        let proof_age = age(self.proven_at, now);
        let outage_age = age(self.outage_at, now);
        let state = self.deadlines(serving, settings).state_at(now);
        FreshnessReport {
            state,
            proof_age,
            outage_age,
        }
    }
}

fn age(moment: Option<Instant>, now: Instant) -> Option<Duration> {
    moment.map(|moment| now.saturating_duration_since(moment))
}

/// Returns the time that lies `age` before `asked_at`.
fn instant_before(asked_at: Instant, age: Option<AgeMillis>) -> Option<Instant> {
    asked_at.checked_sub(Duration::from(age?))
}
