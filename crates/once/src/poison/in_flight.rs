//! Requests in flight at the targets beside a daemon, and requests that recently completed there.
//!
//! A request is *broken* if its connection to the target broke before an answer arrived.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use model::TargetName;

use super::CrashId;
use crate::fingerprint::RequestFingerprint;

/// Maximum number of completed requests that are remembered as harmless.
const MAX_FINISHED: usize = 2048;

/// Time for which a request stays a possible cause after its connection broke.
///
/// The crash of a target that is restarted at once shows only in its next heartbeat.
const BROKEN_RETENTION: Duration = Duration::from_secs(5);
/// Maximum number of broken requests that are remembered for a target.
const MAX_BROKEN: usize = 64;
/// Time after a crash within which broken connections are attributed to it.
const SAME_CRASH: Duration = Duration::from_millis(200);

/// Possible cause of a broken connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakCause {
    /// A crash whose suspects already include this request.
    Known,
    /// A crash that was just recorded without this request.
    Recent(CrashId),
    /// Possibly a crash that has not been detected yet.
    Unexplained,
}

/// Running, broken and completed requests of the targets beside a daemon.
#[derive(Debug, Default)]
pub struct InFlightTable {
    requests: HashMap<TargetName, HashMap<RequestFingerprint, u32>>,
    broken: HashMap<TargetName, VecDeque<(RequestFingerprint, Instant)>>,
    crashed: HashMap<TargetName, (CrashId, Instant)>,
    finished: HashSet<RequestFingerprint>,
    finished_order: VecDeque<RequestFingerprint>,
}

impl InFlightTable {
    /// Adds a request that is sent to a target.
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

    /// Removes a request from its target, whether it was answered or not.
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

    /// Remembers that a request completed.
    pub fn record_finished(&mut self, fingerprint: RequestFingerprint) {
        if !self.finished.insert(fingerprint) {
            return;
        }
        self.finished_order.push_back(fingerprint);
        if self.finished_order.len() > MAX_FINISHED
            && let Some(oldest) = self.finished_order.pop_front()
        {
            self.finished.remove(&oldest);
        }
    }

    /// Returns whether a request recently completed here.
    pub fn has_finished(&self, fingerprint: RequestFingerprint) -> bool {
        self.finished.contains(&fingerprint)
    }

    /// Returns the requests in flight at a target, each once.
    pub fn requests(&self, target: &TargetName) -> impl Iterator<Item = RequestFingerprint> {
        self.requests
            .get(target)
            .into_iter()
            .flatten()
            .map(|(fingerprint, _)| *fingerprint)
    }

    /// Removes a request whose connection broke and returns the possible cause.
    pub fn record_broken(
        &mut self,
        target: &TargetName,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) -> BreakCause {
        let requests = self.requests.get(target);
        let already_taken = requests.is_none_or(|requests| !requests.contains_key(&fingerprint));
        self.end(target, fingerprint);
        if already_taken {
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
        BreakCause::Unexplained
    }

    /// Returns whether the request broke at the target and no crash has explained that yet.
    pub fn is_broken(&self, target: &TargetName, fingerprint: RequestFingerprint) -> bool {
        let mut broken = self.broken.get(target).into_iter().flatten();
        broken.any(|(found, _)| *found == fingerprint)
    }

    /// Removes and returns the requests in flight at a crashed target or recently broken there.
    pub fn take_in_flight(&mut self, target: &TargetName, now: Instant) -> Vec<RequestFingerprint> {
        let mut fingerprints = self.take_broken(target, now);
        let requests = self.requests.remove(target).unwrap_or_default();
        fingerprints.extend(requests.into_keys());
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints
    }

    /// Removes and returns the requests that recently broke at a restarted target.
    pub fn take_broken(&mut self, target: &TargetName, now: Instant) -> Vec<RequestFingerprint> {
        let broken = self.broken.remove(target).unwrap_or_default();
        let is_old = |at: Instant| now.saturating_duration_since(at) >= BROKEN_RETENTION;
        let recent = broken.into_iter().filter(|(_, at)| !is_old(*at));
        let mut fingerprints: Vec<RequestFingerprint> =
            recent.map(|(fingerprint, _)| fingerprint).collect();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints
    }

    /// Remembers the latest crash of a target.
    pub fn record_crash(&mut self, target: &TargetName, crash: CrashId, now: Instant) {
        self.crashed.insert(target.clone(), (crash, now));
    }

    /// Drops old crashes and broken requests.
    pub fn on_tick(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.crashed.retain(|_, (_, at)| age(*at) < SAME_CRASH);
        self.broken.retain(|_, broken| {
            broken.retain(|(_, at)| age(*at) < BROKEN_RETENTION);
            !broken.is_empty()
        });
    }
}
