//! [`PoisonDetector`], which counts crashes by request and stops the requests that cause them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::{ErrorKind, KindError, SharedClock, TargetName};
use smallvec::SmallVec;

use super::in_flight::{BreakCause, InFlightTable};
use super::{
    CrashId, CrashList, MAX_CRASHES, MAX_SUSPECTS, PoisonMessage, SuspectRecord, SuspectReport,
};
use crate::fingerprint::RequestFingerprint;
use crate::lease::HolderId;

/// Result of checking or starting a request.
///
/// Errors have the kind `PoisonRequest` (stopped at all targets) or `QueueFull`
/// (not at this target now; try another). In both cases the request did not run.
pub type Result<T> = model::Result<T>;

/// Timing and limits of the detector.
#[derive(Clone, Copy, Debug)]
pub struct PoisonSettings {
    /// Time for which a suspect or stopped request is remembered after its last crash.
    pub retention: Duration,
    /// Time for which two suspects that share both crashes are stopped.
    pub doubt_period: Duration,
    /// Maximum number of remembered requests.
    pub max_requests: usize,
}

impl Default for PoisonSettings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            doubt_period: Duration::from_secs(30),
            max_requests: 1024,
        }
    }
}

/// Action that the detector asks its owner to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PoisonOutput {
    /// Send the message to the daemons beside the other targets of the service.
    Broadcast(PoisonMessage),
    /// Reply to the daemon that reported these suspects that they completed here.
    ReplyCleared(Vec<RequestFingerprint>),
    /// Count and log a request that was stopped.
    Stopped(RequestFingerprint),
}

/// Counts of remembered requests, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoisonCounts {
    /// Number of suspects that are not stopped.
    pub suspects: usize,
    /// Number of stopped requests.
    pub stopped: usize,
}

#[derive(Clone, Debug)]
struct SuspectRow {
    crashes: CrashList,
    /// Time of the last of the crashes.
    last: Instant,
    /// Another suspect shares both crashes, so one of the two did not cause them.
    doubtful: bool,
}

impl SuspectRow {
    fn is_confirmed(&self) -> bool {
        self.crashes.len() >= MAX_CRASHES && !self.doubtful
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last)
    }
}

/// Detects poison requests by the crashes of one daemon's targets and the reports of other daemons.
#[derive(Debug)]
pub struct PoisonDetector {
    me: HolderId,
    settings: PoisonSettings,
    clock: SharedClock,
    in_flight: InFlightTable,
    rows: HashMap<RequestFingerprint, SuspectRow>,
    crash_number: u64,
}

impl PoisonDetector {
    /// Creates a detector without suspects.
    pub fn new(me: HolderId, settings: PoisonSettings, clock: SharedClock) -> Self {
        Self {
            me,
            settings,
            clock,
            in_flight: InFlightTable::default(),
            rows: HashMap::new(),
            crash_number: 0,
        }
    }

    /// Fails if a request is stopped; for proxies and homes.
    pub fn check(&self, fingerprint: RequestFingerprint) -> Result<()> {
        match self.rows.get(&fingerprint) {
            Some(row) if self.is_stopped(row) => Err(KindError::new(
                ErrorKind::PoisonRequest,
                format!("the request was in flight when {MAX_CRASHES} targets crashed"),
            )),
            _ => Ok(()),
        }
    }

    /// Records the start of a request at a target beside this daemon, or refuses it.
    pub fn start(&mut self, target: &TargetName, fingerprint: RequestFingerprint) -> Result<()> {
        self.check(fingerprint)?;
        if self.must_wait(target, fingerprint) {
            return Err(KindError::new(
                ErrorKind::QueueFull,
                "another suspect of the same crash runs at this target",
            ));
        }
        self.in_flight.start(target, fingerprint);
        Ok(())
    }

    /// Records the end of a request; `answered` tells whether the target answered it.
    pub fn finish(
        &mut self,
        target: &TargetName,
        fingerprint: RequestFingerprint,
        answered: bool,
    ) -> Option<PoisonOutput> {
        self.in_flight.end(target, fingerprint);
        if !answered {
            return None;
        }
        self.in_flight.record_finished(fingerprint);
        let row = self.rows.get(&fingerprint)?;
        if row.is_confirmed() {
            return None;
        }
        self.rows.remove(&fingerprint);
        let cleared = PoisonMessage::Cleared(vec![fingerprint]);
        Some(PoisonOutput::Broadcast(cleared))
    }

    /// Records that a request's connection to its target broke.
    ///
    /// Returns `None` if the target may have crashed and must be checked;
    /// otherwise a known crash explains the broken connection.
    pub fn on_broken(
        &mut self,
        target: &TargetName,
        fingerprint: RequestFingerprint,
    ) -> Option<Vec<PoisonOutput>> {
        match self
            .in_flight
            .record_broken(target, fingerprint, self.clock.now())
        {
            BreakCause::Unexplained => None,
            BreakCause::Known => Some(Vec::new()),
            BreakCause::Recent(crash) => Some(self.record_crash(crash, vec![fingerprint])),
        }
    }

    /// Records a crash and suspects the requests in flight at the target or recently broken there.
    pub fn on_target_crashed(&mut self, target: &TargetName) -> Vec<PoisonOutput> {
        let requests = self.in_flight.take_in_flight(target, self.clock.now());
        let crash = self.new_crash(target);
        self.record_crash(crash, requests)
    }

    /// Like [`PoisonDetector::on_target_crashed`], for a crash found by a check after `fingerprint`
    /// broke; does nothing if another check found the crash before.
    pub fn on_crash_found(
        &mut self,
        target: &TargetName,
        fingerprint: RequestFingerprint,
    ) -> Vec<PoisonOutput> {
        if !self.in_flight.is_broken(target, fingerprint) {
            return Vec::new();
        }
        self.on_target_crashed(target)
    }

    /// Records a restart and suspects the requests that recently broke at the target's previous run.
    pub fn on_target_restarted(&mut self, target: &TargetName) -> Vec<PoisonOutput> {
        let broken = self.in_flight.take_broken(target, self.clock.now());
        let crash = self.new_crash(target);
        self.record_crash(crash, broken)
    }

    /// Like [`PoisonDetector::on_target_restarted`], for a restart found by a check after
    /// `fingerprint` broke; does nothing if another check found it before.
    pub fn on_restart_found(
        &mut self,
        target: &TargetName,
        fingerprint: RequestFingerprint,
    ) -> Vec<PoisonOutput> {
        if !self.in_flight.is_broken(target, fingerprint) {
            return Vec::new();
        }
        self.on_target_restarted(target)
    }

    /// Processes a message of another daemon; a repeated message has no effect.
    pub fn on_message(&mut self, message: &PoisonMessage) -> Vec<PoisonOutput> {
        match message {
            PoisonMessage::Suspects(report) => self.on_report(report),
            PoisonMessage::Cleared(fingerprints) => {
                self.clear(fingerprints);
                Vec::new()
            }
        }
    }

    /// Processes a report from a call, a refusal or a message; a repeated report has no effect.
    pub fn on_report(&mut self, report: &SuspectReport) -> Vec<PoisonOutput> {
        let mut completed = Vec::new();
        let mut newly_stopped = SmallVec::<[RequestFingerprint; 4]>::new();
        let mut outputs = Vec::new();
        for record in report.records.iter().take(MAX_SUSPECTS) {
            if record.crashes.is_empty() || record.age >= self.settings.retention {
                continue;
            }
            if !record.is_confirmed() && self.in_flight.has_finished(record.fingerprint) {
                completed.push(record.fingerprint);
            } else if self.merge(record) {
                outputs.push(PoisonOutput::Stopped(record.fingerprint));
                if record.crashes.len() < MAX_CRASHES {
                    newly_stopped.push(record.fingerprint);
                }
            }
        }
        let fingerprints = report.records.iter().map(|record| record.fingerprint);
        self.set_doubtful(&newly_stopped, fingerprints.take(MAX_SUSPECTS));
        self.clear(&completed);
        if !completed.is_empty() {
            outputs.push(PoisonOutput::ReplyCleared(completed));
        }
        outputs
    }

    /// Processes the reply of a daemon where suspects completed; returns the message to broadcast.
    pub fn on_cleared_reply(
        &mut self,
        fingerprints: &[RequestFingerprint],
    ) -> Option<PoisonOutput> {
        let cleared = self.clear(fingerprints);
        let message = (!cleared.is_empty()).then_some(cleared);
        message.map(|fingerprints| PoisonOutput::Broadcast(PoisonMessage::Cleared(fingerprints)))
    }

    /// Clears suspects that completed, except confirmed ones; returns the cleared ones.
    pub fn clear(&mut self, fingerprints: &[RequestFingerprint]) -> Vec<RequestFingerprint> {
        let mut cleared = Vec::new();
        for fingerprint in fingerprints.iter().take(MAX_SUSPECTS) {
            let row = self.rows.get(fingerprint);
            if row.is_some_and(|row| !row.is_confirmed()) {
                self.rows.remove(fingerprint);
                cleared.push(*fingerprint);
            }
        }
        cleared
    }

    /// Returns a report about a request and the other suspects of its crashes.
    pub fn report_for(&self, fingerprint: RequestFingerprint) -> SuspectReport {
        let Some(row) = self
            .rows
            .get(&fingerprint)
            .filter(|row| !self.is_expired(row))
        else {
            return SuspectReport::default();
        };
        let shares = |other: &SuspectRow| {
            let mut crashes = other.crashes.iter();
            crashes.any(|crash| row.crashes.contains(crash))
        };
        let others = self.rows.iter().filter(|(other, found)| {
            **other != fingerprint && !self.is_expired(found) && shares(found)
        });
        let mut others: Vec<RequestFingerprint> = others.map(|(other, _)| *other).collect();
        others.sort_unstable();
        others.insert(0, fingerprint);
        self.report(&others)
    }

    /// Returns whether any request is remembered.
    pub fn has_suspects(&self) -> bool {
        !self.rows.is_empty()
    }

    /// Returns reports about all remembered requests, for a daemon that has just started.
    pub fn all_reports(&self) -> Vec<SuspectReport> {
        let live = self.rows.iter().filter(|(_, row)| !self.is_expired(row));
        let mut fingerprints: Vec<RequestFingerprint> =
            live.map(|(fingerprint, _)| *fingerprint).collect();
        fingerprints.sort_unstable();
        let chunks = fingerprints.chunks(MAX_SUSPECTS);
        chunks.map(|chunk| self.report(chunk)).collect()
    }

    /// Drops requests past their retention.
    pub fn on_tick(&mut self) {
        let now = self.clock.now();
        let retention = self.settings.retention;
        self.rows.retain(|_, row| row.age(now) < retention);
        self.in_flight.on_tick(now);
    }

    /// Returns the counts of remembered requests.
    pub fn counts(&self) -> PoisonCounts {
        let live = self.rows.values().filter(|row| !self.is_expired(row));
        let stopped = live.clone().filter(|row| self.is_stopped(row)).count();
        PoisonCounts {
            suspects: live.count() - stopped,
            stopped,
        }
    }

    /// Drops a request on an operator's demand; returns whether it was remembered.
    pub fn forget(&mut self, fingerprint: RequestFingerprint) -> bool {
        self.rows.remove(&fingerprint).is_some()
    }

    /// Returns whether another suspect of a crash of `fingerprint` is in flight at the target.
    fn must_wait(&self, target: &TargetName, fingerprint: RequestFingerprint) -> bool {
        let Some(row) = self
            .rows
            .get(&fingerprint)
            .filter(|row| !self.is_expired(row))
        else {
            return false;
        };
        self.in_flight.requests(target).any(|running| {
            running != fingerprint
                && self.rows.get(&running).is_some_and(|other| {
                    other
                        .crashes
                        .iter()
                        .any(|crash| row.crashes.contains(crash))
                })
        })
    }

    /// Selects the suspects of a crash among its requests; prefers earlier suspects.
    fn pick_suspects(&self, requests: Vec<RequestFingerprint>) -> Box<[RequestFingerprint]> {
        let is_suspect = |fingerprint: &RequestFingerprint| self.rows.contains_key(fingerprint);
        let (known, fresh): (Vec<_>, Vec<_>) = requests
            .into_iter()
            .filter(|fingerprint| !self.in_flight.has_finished(*fingerprint))
            .partition(is_suspect);
        // Confirmed requests explain the crash alone, or else requests that were suspected before.
        let is_confirmed = |fingerprint: &RequestFingerprint| self.rows[fingerprint].is_confirmed();
        let (confirmed, known): (Vec<_>, Vec<_>) = known.into_iter().partition(is_confirmed);
        let mut groups = [confirmed, known, fresh].into_iter();
        let chosen = groups.find(|group| !group.is_empty()).unwrap_or_default();
        chosen.into_iter().take(MAX_SUSPECTS).collect()
    }

    /// Assigns an id to a crash; connections that break soon after are attributed to it.
    fn new_crash(&mut self, target: &TargetName) -> CrashId {
        self.crash_number += 1;
        let crash = CrashId {
            reporter: self.me,
            number: self.crash_number,
        };
        self.in_flight.record_crash(target, crash, self.clock.now());
        crash
    }

    fn record_crash(
        &mut self,
        crash: CrashId,
        requests: Vec<RequestFingerprint>,
    ) -> Vec<PoisonOutput> {
        let suspects = self.pick_suspects(requests);
        if suspects.is_empty() {
            return Vec::new();
        }
        let newly_stopped = self.add_crash(crash, &suspects);
        self.set_doubtful(&newly_stopped, suspects.iter().copied());
        let mut outputs: Vec<PoisonOutput> = newly_stopped
            .into_iter()
            .map(PoisonOutput::Stopped)
            .collect();
        let message = PoisonMessage::Suspects(self.report(&suspects));
        outputs.push(PoisonOutput::Broadcast(message));
        outputs
    }

    /// Adds a crash to its suspects; returns the requests that are stopped by it.
    fn add_crash(
        &mut self,
        crash: CrashId,
        suspects: &[RequestFingerprint],
    ) -> Vec<RequestFingerprint> {
        let now = self.clock.now();
        let mut newly_stopped = Vec::new();
        for fingerprint in suspects {
            let row = self.row_or_insert(*fingerprint, now);
            if row.is_confirmed() || row.crashes.contains(&crash) {
                continue;
            }
            row.last = now;
            if row.crashes.len() < MAX_CRASHES {
                row.crashes.push(crash);
            }
            if row.crashes.len() >= MAX_CRASHES {
                newly_stopped.push(*fingerprint);
            }
        }
        newly_stopped
    }

    /// Merges a received record; returns whether the request is stopped by it.
    fn merge(&mut self, record: &SuspectRecord) -> bool {
        let now = self.clock.now();
        let last = now.checked_sub(record.age).unwrap_or(now);
        let row = self.row_or_insert(record.fingerprint, last);
        let before = row.crashes.len();
        if row.is_confirmed() {
            return false;
        }
        let fresh = record
            .crashes
            .iter()
            .filter(|crash| !row.crashes.contains(crash));
        let fresh: CrashList = fresh.copied().collect();
        row.crashes.extend(fresh);
        row.crashes.truncate(MAX_CRASHES);
        row.last = row.last.max(last);
        if record.crashes.len() >= MAX_CRASHES {
            // The reporting daemon knew both crashes, so its value of `doubtful` is adopted.
            row.doubtful = record.doubtful;
            return before < MAX_CRASHES || !record.doubtful;
        }
        before < MAX_CRASHES && row.crashes.len() >= MAX_CRASHES
    }

    /// Marks newly stopped requests as doubtful if another suspect of the crash is stopped too.
    fn set_doubtful(
        &mut self,
        newly_stopped: &[RequestFingerprint],
        suspects: impl Iterator<Item = RequestFingerprint>,
    ) {
        let is_stopped = |fingerprint: &RequestFingerprint| {
            let row = self.rows.get(fingerprint);
            row.is_some_and(|row| row.crashes.len() >= MAX_CRASHES)
        };
        let doubtful = suspects.filter(is_stopped).count() > 1;
        for fingerprint in newly_stopped {
            if let Some(row) = self.rows.get_mut(fingerprint) {
                row.doubtful = doubtful;
            }
        }
    }

    fn row_or_insert(&mut self, fingerprint: RequestFingerprint, last: Instant) -> &mut SuspectRow {
        self.evict_for(fingerprint);
        self.rows.entry(fingerprint).or_insert_with(|| SuspectRow {
            crashes: CrashList::new(),
            last,
            doubtful: false,
        })
    }

    fn report(&self, fingerprints: &[RequestFingerprint]) -> SuspectReport {
        let now = self.clock.now();
        let record = |fingerprint: &RequestFingerprint| {
            let row = self.rows.get(fingerprint)?;
            Some(SuspectRecord {
                fingerprint: *fingerprint,
                crashes: row.crashes.clone(),
                doubtful: row.doubtful,
                age: row.age(now),
            })
        };
        let records = fingerprints.iter().take(MAX_SUSPECTS).filter_map(record);
        SuspectReport {
            records: records.collect(),
        }
    }

    fn evict_for(&mut self, fingerprint: RequestFingerprint) {
        if self.rows.len() < self.settings.max_requests || self.rows.contains_key(&fingerprint) {
            return;
        }
        // Evict unconfirmed suspects first: a confirmed request would crash targets again.
        let oldest = self
            .rows
            .iter()
            .min_by_key(|(_, row)| (row.is_confirmed(), row.last))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(oldest) = oldest {
            self.rows.remove(&oldest);
        }
    }

    fn is_stopped(&self, row: &SuspectRow) -> bool {
        let age = row.age(self.clock.now());
        let span = if row.doubtful {
            self.settings.doubt_period
        } else {
            self.settings.retention
        };
        row.crashes.len() >= MAX_CRASHES && age < span
    }

    fn is_expired(&self, row: &SuspectRow) -> bool {
        row.age(self.clock.now()) >= self.settings.retention
    }
}
