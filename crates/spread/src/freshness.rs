//! Proof that the configuration held is still the log's.
//!
//! A reader that asks the log and learns that nothing follows its head has a
//! proof, as old as the question. Proofs travel with answers between daemons;
//! each hop counts the age from its own question, so a proof never looks
//! younger than it is, whatever the network or a paused process does to it.
//!
//! Without a recent proof two cases differ. If readers of every known failure
//! domain tell that the log is down for them, no daemon can have moved on and
//! calls go on. Otherwise others may have moved, and this daemon counts as cut
//! off: it must refuse non-idempotent calls.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use derive_more::Display;
use model::{ConfigVersion, DomainName};

use crate::message::{AgeMillis, FreshnessEvidence};
use crate::settings::{OutageQuorum, SpreadSettings};

/// How far this daemon can answer for its configuration.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum FreshnessState {
    /// It holds none, or none known to be recent enough to start with: refuse all calls as not run.
    #[display("absent")]
    Absent,
    /// It was the log's a moment ago.
    #[display("current")]
    Current,
    /// The log is down for readers of all domains: go on.
    #[display("source down")]
    SourceDown,
    /// Others may have moved on: refuse non-idempotent calls, mark reads as stale.
    #[display("cut off")]
    CutOff,
}

/// What is known about the freshness of this daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FreshnessReport {
    /// What to do.
    pub state: FreshnessState,
    /// Age of the last proof.
    pub proof_age: Option<Duration>,
    /// Age of the last witness of an outage in all domains.
    pub outage_age: Option<Duration>,
}

/// What a daemon should do at any moment, given what it knew at one.
///
/// Whoever keeps a copy judges each call by the time of the call, so that a
/// process that was paused does not act on what was true before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FreshnessDeadlines {
    serving: bool,
    proven_until: Option<Instant>,
    outage_until: Option<Instant>,
}

impl FreshnessDeadlines {
    /// A daemon that holds no configuration.
    pub const ABSENT: Self = Self {
        serving: false,
        proven_until: None,
        outage_until: None,
    };

    /// What to do at `now`.
    pub fn state_at(&self, now: Instant) -> FreshnessState {
        let holds = |until: Option<Instant>| until.is_some_and(|until| now <= until);
        if !self.serving {
            FreshnessState::Absent
        } else if holds(self.proven_until) {
            FreshnessState::Current
        } else if holds(self.outage_until) {
            FreshnessState::SourceDown
        } else {
            FreshnessState::CutOff
        }
    }
}

/// Collects proofs and witnesses of outages.
#[derive(Debug, Default)]
pub struct FreshnessTracker {
    proven_at: Option<Instant>,
    outage_at: Option<Instant>,
    pending: Option<PendingProof>,
    domains: BTreeMap<DomainName, DomainWitness>,
}

/// A proof for a head that this daemon has not reached yet.
#[derive(Clone, Copy, Debug)]
struct PendingProof {
    position: ConfigVersion,
    proven_at: Instant,
}

/// What is known of one domain's readers.
#[derive(Clone, Copy, Debug)]
struct DomainWitness {
    seen_at: Instant,
    down_at: Option<Instant>,
}

impl FreshnessTracker {
    /// The log was proven at `proven_at` to end at `position`; this daemon is at `own`.
    pub fn add_proof(&mut self, position: ConfigVersion, proven_at: Instant, own: ConfigVersion) {
        if own >= position {
            self.proven_at = self.proven_at.max(Some(proven_at));
            return;
        }
        let newer = |pending: &PendingProof| pending.proven_at >= proven_at;
        if !self.pending.as_ref().is_some_and(newer) {
            self.pending = Some(PendingProof {
                position,
                proven_at,
            });
        }
    }

    /// This daemon reached `own`; a pending proof may hold now.
    pub fn advance(&mut self, own: ConfigVersion) {
        if let Some(pending) = self.pending
            && own >= pending.position
        {
            self.pending = None;
            self.add_proof(pending.position, pending.proven_at, own);
        }
    }

    /// Takes the view of a peer at `position`, asked at `asked_at`.
    pub fn record_evidence(
        &mut self,
        evidence: FreshnessEvidence,
        position: ConfigVersion,
        asked_at: Instant,
        own: ConfigVersion,
    ) {
        if let Some(proven_at) = moment(asked_at, evidence.proof_age) {
            self.add_proof(position, proven_at, own);
        }
        if let Some(outage_at) = moment(asked_at, evidence.outage_age) {
            self.outage_at = self.outage_at.max(Some(outage_at));
        }
    }

    /// A domain has live members.
    pub fn register_domain(&mut self, domain: &DomainName, now: Instant) {
        if let Some(witness) = self.domains.get_mut(domain) {
            witness.seen_at = now;
            return;
        }
        let witness = DomainWitness {
            seen_at: now,
            down_at: None,
        };
        self.domains.insert(domain.clone(), witness);
    }

    /// A reader of `domain` found the log down at `down_at`, or up if `None`.
    pub fn update_domain(&mut self, domain: &DomainName, down_at: Option<Instant>, now: Instant) {
        self.register_domain(domain, now);
        if let Some(witness) = self.domains.get_mut(domain) {
            witness.down_at = down_at;
        }
    }

    /// Derives the outage from what the domains' readers told; for readers.
    pub fn update_outage(&mut self, settings: &SpreadSettings, now: Instant) {
        let memory = settings.domain_retention;
        self.domains
            .retain(|_, witness| now.saturating_duration_since(witness.seen_at) < memory);
        let mut moments = self
            .domains
            .values()
            .map(|witness| witness.down_at)
            .collect::<Vec<_>>();
        moments.sort_unstable_by(|left, right| right.cmp(left));
        let needed = match settings.outage_quorum {
            OutageQuorum::Every => moments.len(),
            OutageQuorum::Majority => moments.len() / 2 + 1,
        };
        let witnessed = needed.checked_sub(1).and_then(|place| moments.get(place));
        if let Some(Some(outage_at)) = witnessed {
            self.outage_at = self.outage_at.max(Some(*outage_at));
        }
    }

    /// What this daemon can prove to others.
    pub fn evidence(&self, now: Instant) -> FreshnessEvidence {
        FreshnessEvidence {
            proof_age: age(self.proven_at, now).map(AgeMillis::from),
            outage_age: age(self.outage_at, now).map(AgeMillis::from),
        }
    }

    /// What a daemon that is `serving` should do at later moments.
    pub fn deadlines(&self, serving: bool, settings: &SpreadSettings) -> FreshnessDeadlines {
        FreshnessDeadlines {
            serving,
            proven_until: self.proven_at.map(|at| at + settings.cut_off_after),
            outage_until: self.outage_at.map(|at| at + settings.outage_max_age),
        }
    }

    /// What a daemon that is `serving` should do now.
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

/// The moment that lay `age` before `asked_at`.
fn moment(asked_at: Instant, age: Option<AgeMillis>) -> Option<Instant> {
    asked_at.checked_sub(Duration::from(age?))
}
