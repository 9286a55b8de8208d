//! Requests in flight at the targets beside a daemon, and those that lately ran to their end.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use model::TargetName;

use super::CrashId;
use crate::fingerprint::RequestFingerprint;

/// Finished requests that are remembered as innocent.
const MAX_FINISHED: usize = 2048;

/// How long a request stays a possible cause after its connection broke: a
/// target that is restarted at once shows its crash only by its next heartbeat.
const BROKEN_MEMORY: Duration = Duration::from_secs(5);
/// Most broken requests that are remembered for a target.
const MAX_BROKEN: usize = 64;
/// Connections that break so soon after a crash belong to the same one.
const SAME_CRASH: Duration = Duration::from_millis(200);

/// What a broken connection may mean.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakCause {
    /// A crash that already counts this request among its suspects.
    Known,
    /// A crash that was just found without this request.
    Recent(CrashId),
    /// Perhaps a crash that nobody has found yet.
    Open,
}

/// What runs and ran beside a daemon.
#[derive(Debug, Default)]
pub struct InFlightTable {
    requests: HashMap<TargetName, HashMap<RequestFingerprint, u32>>,
    broken: HashMap<TargetName, VecDeque<(RequestFingerprint, Instant)>>,
    crashed: HashMap<TargetName, (CrashId, Instant)>,
    finished: HashSet<RequestFingerprint>,
    order: VecDeque<RequestFingerprint>,
}

impl InFlightTable {
    /// A request goes to a target.
    pub fn start(&mut self, target: &TargetName, fingerprint: RequestFingerprint) {
        if !self.requests.contains_key(target) {
            self.requests.insert(target.clone(), HashMap::new());
        }
        let requests = self.requests.get_mut(target);
        *requests
            .expect("just inserted")
            .entry(fingerprint)
            .or_default() += 1;
    }

    /// A request left its target, whether answered or not.
    pub fn end(&mut self, target: &TargetName, fingerprint: RequestFingerprint) {
        let Some(requests) = self.requests.get_mut(target) else {
            return;
        };
        if let Some(count) = requests.get_mut(&fingerprint) {
            *count -= 1;
            if *count == 0 {
                requests.remove(&fingerprint);
            }
        }
        if requests.is_empty() {
            self.requests.remove(target);
        }
    }

    /// Remembers that a request ran to its end.
    pub fn record_finished(&mut self, fingerprint: RequestFingerprint) {
        if !self.finished.insert(fingerprint) {
            return;
        }
        self.order.push_back(fingerprint);
        if self.order.len() > MAX_FINISHED
            && let Some(oldest) = self.order.pop_front()
        {
            self.finished.remove(&oldest);
        }
    }

    /// Whether a request lately ran to its end here.
    pub fn has_finished(&self, fingerprint: RequestFingerprint) -> bool {
        self.finished.contains(&fingerprint)
    }

    /// The requests in flight at a target, each once.
    pub fn requests(&self, target: &TargetName) -> impl Iterator<Item = RequestFingerprint> {
        self.requests
            .get(target)
            .into_iter()
            .flatten()
            .map(|(fingerprint, _)| *fingerprint)
    }

    /// A request's connection broke; it is no longer in flight.
    pub fn record_broken(
        &mut self,
        target: &TargetName,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) -> BreakCause {
        let requests = self.requests.get(target);
        let taken = requests.is_none_or(|requests| !requests.contains_key(&fingerprint));
        self.end(target, fingerprint);
        if taken {
            return BreakCause::Known;
        }
        if let Some((crash, at)) = self.crashed.get(target)
            && now.saturating_duration_since(*at) < SAME_CRASH
        {
            return BreakCause::Recent(*crash);
        }
        let broken = self.broken.entry(target.clone()).or_default();
        if broken.len() >= MAX_BROKEN {
            broken.pop_front();
        }
        broken.push_back((fingerprint, now));
        BreakCause::Open
    }

    /// Whether a broken request still has no crash that explains it.
    pub fn is_broken(&self, target: &TargetName, fingerprint: RequestFingerprint) -> bool {
        let mut broken = self.broken.get(target).into_iter().flatten();
        broken.any(|(found, _)| *found == fingerprint)
    }

    /// Takes all that is in flight at a target or lately broke there, when it crashed.
    pub fn take_in_flight(&mut self, target: &TargetName, now: Instant) -> Vec<RequestFingerprint> {
        let mut fingerprints = self.take_broken(target, now);
        let requests = self.requests.remove(target).unwrap_or_default();
        fingerprints.extend(requests.into_keys());
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints
    }

    /// Takes what lately broke at a target, when a new run of it is there.
    pub fn take_broken(&mut self, target: &TargetName, now: Instant) -> Vec<RequestFingerprint> {
        let broken = self.broken.remove(target).unwrap_or_default();
        let is_late = |at: Instant| now.saturating_duration_since(at) >= BROKEN_MEMORY;
        let lately = broken.into_iter().filter(|(_, at)| !is_late(*at));
        let mut fingerprints: Vec<RequestFingerprint> =
            lately.map(|(fingerprint, _)| fingerprint).collect();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints
    }

    /// Remembers when a target crashed.
    pub fn record_crash(&mut self, target: &TargetName, crash: CrashId, now: Instant) {
        self.crashed.insert(target.clone(), (crash, now));
    }

    /// Forgets what broke and crashed long ago.
    pub fn on_tick(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.crashed.retain(|_, (_, at)| age(*at) < SAME_CRASH);
        self.broken.retain(|_, broken| {
            broken.retain(|(_, at)| age(*at) < BROKEN_MEMORY);
            !broken.is_empty()
        });
    }
}
