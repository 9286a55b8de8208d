//! Counts crashes by request and stops the requests that cause them.

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

/// What starting a request returns.
///
/// Kinds: `PoisonRequest` (stopped everywhere) and `QueueFull` (not at this
/// target now; try another). Either way it has not run.
pub type Result<T> = model::Result<T>;

/// Times and bounds of the watch.
#[derive(Clone, Copy, Debug)]
pub struct PoisonSettings {
    /// How long a suspect or stopped request is remembered after its last crash.
    pub retention: Duration,
    /// How long two suspects are stopped that share both crashes.
    pub doubt_period: Duration,
    /// Most requests remembered.
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

/// What the watch wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PoisonOutput {
    /// Tell the daemons beside the other targets of the service.
    Broadcast(PoisonMessage),
    /// Answer the daemon that told of these suspects: they ran to their end here.
    ReplyCleared(Vec<RequestFingerprint>),
    /// A request was stopped; count and log it.
    Stopped(RequestFingerprint),
}

/// What the watch remembers, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoisonCounts {
    /// Requests in flight at one crash.
    pub suspects: usize,
    /// Requests that are stopped.
    pub stopped: usize,
}

#[derive(Clone, Debug)]
struct SuspectRow {
    crashes: CrashList,
    last: Instant,
    /// Another suspect shares both crashes, so one of them is innocent.
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

/// Watches one daemon's targets and knows the crashes that it was told of.
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
    /// A watch that suspects nobody.
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

    /// Whether a request may go on to any target; for proxies and homes.
    pub fn check(&self, fingerprint: RequestFingerprint) -> Result<()> {
        match self.rows.get(&fingerprint) {
            Some(row) if self.is_stopped(row) => Err(KindError::new(
                ErrorKind::PoisonRequest,
                format!("the request was in flight when {MAX_CRASHES} targets crashed"),
            )),
            _ => Ok(()),
        }
    }

    /// Starts a request at a target beside this daemon.
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

    /// A request ended at its target; `answered` if the target answered it.
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

    /// A request's connection to its target broke, so it is no longer in flight.
    ///
    /// Nothing is returned if the target may have crashed and should be looked
    /// at; otherwise a crash that is known explains it.
    pub fn on_broken(
        &mut self,
        target: &TargetName,
        fingerprint: RequestFingerprint,
    ) -> Option<Vec<PoisonOutput>> {
        match self
            .in_flight
            .record_broken(target, fingerprint, self.clock.now())
        {
            BreakCause::Open => None,
            BreakCause::Known => Some(Vec::new()),
            BreakCause::Recent(crash) => Some(self.record_crash(crash, vec![fingerprint])),
        }
    }

    /// A target crashed; what was in flight there, or lately broke, is suspected.
    pub fn on_target_crashed(&mut self, target: &TargetName) -> Vec<PoisonOutput> {
        let requests = self.in_flight.take_in_flight(target, self.clock.now());
        let crash = self.open_crash(target);
        self.record_crash(crash, requests)
    }

    /// As [`PoisonDetector::on_target_crashed`], found by looking after `fingerprint` broke;
    /// nothing if another look has found the crash before.
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

    /// A new run of a target is there; what lately broke at the last one is suspected.
    pub fn on_target_restarted(&mut self, target: &TargetName) -> Vec<PoisonOutput> {
        let broken = self.in_flight.take_broken(target, self.clock.now());
        let crash = self.open_crash(target);
        self.record_crash(crash, broken)
    }

    /// As [`PoisonDetector::on_target_restarted`], found by looking after `fingerprint` broke.
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

    /// Takes what another daemon tells, possibly again; says what to answer.
    pub fn on_message(&mut self, message: &PoisonMessage) -> Vec<PoisonOutput> {
        match message {
            PoisonMessage::Suspects(news) => self.on_report(news),
            PoisonMessage::Cleared(fingerprints) => {
                self.clear(fingerprints);
                Vec::new()
            }
        }
    }

    /// Takes what came with a call, a refusal or a message, possibly again.
    pub fn on_report(&mut self, news: &SuspectReport) -> Vec<PoisonOutput> {
        let mut innocent = Vec::new();
        let mut reached = SmallVec::<[RequestFingerprint; 4]>::new();
        let mut outputs = Vec::new();
        for record in news.records.iter().take(MAX_SUSPECTS) {
            if record.crashes.is_empty() || record.age >= self.settings.retention {
                continue;
            }
            if !record.is_confirmed() && self.in_flight.has_finished(record.fingerprint) {
                innocent.push(record.fingerprint);
            } else if self.merge(record) {
                outputs.push(PoisonOutput::Stopped(record.fingerprint));
                if record.crashes.len() < MAX_CRASHES {
                    reached.push(record.fingerprint);
                }
            }
        }
        let fingerprints = news.records.iter().map(|record| record.fingerprint);
        self.judge(&reached, fingerprints.take(MAX_SUSPECTS));
        self.clear(&innocent);
        if !innocent.is_empty() {
            outputs.push(PoisonOutput::ReplyCleared(innocent));
        }
        outputs
    }

    /// Takes the answer of a daemon where suspects ran to their end; says whom to tell.
    pub fn on_cleared_reply(
        &mut self,
        fingerprints: &[RequestFingerprint],
    ) -> Option<PoisonOutput> {
        let cleared = self.clear(fingerprints);
        let told = (!cleared.is_empty()).then_some(cleared);
        told.map(|fingerprints| PoisonOutput::Broadcast(PoisonMessage::Cleared(fingerprints)))
    }

    /// Clears suspects that ran to their end; two crashes outweigh that.
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

    /// What is known of a request, with the other suspects of its crashes.
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
        self.news(&others)
    }

    /// Forgets what is older than the memory.
    pub fn on_tick(&mut self) {
        let now = self.clock.now();
        let retention = self.settings.retention;
        self.rows.retain(|_, row| row.age(now) < retention);
        self.in_flight.on_tick(now);
    }

    /// What is remembered.
    pub fn counts(&self) -> PoisonCounts {
        let live = self.rows.values().filter(|row| !self.is_expired(row));
        let stopped = live.clone().filter(|row| self.is_stopped(row)).count();
        PoisonCounts {
            suspects: live.count() - stopped,
            stopped,
        }
    }

    /// Forgets a request by hand; returns whether it was remembered.
    pub fn forget(&mut self, fingerprint: RequestFingerprint) -> bool {
        self.rows.remove(&fingerprint).is_some()
    }

    /// Whether another suspect of a crash of `fingerprint` is in flight at the target.
    fn must_wait(&self, target: &TargetName, fingerprint: RequestFingerprint) -> bool {
        let Some(row) = self
            .rows
            .get(&fingerprint)
            .filter(|row| !self.is_expired(row))
        else {
            return false;
        };
        self.in_flight.requests(target).any(|requests| {
            requests != fingerprint
                && self.rows.get(&requests).is_some_and(|other| {
                    other
                        .crashes
                        .iter()
                        .any(|crash| row.crashes.contains(crash))
                })
        })
    }

    /// Those in flight that may have caused a crash; earlier suspects first.
    fn pick_suspects(&self, requests: Vec<RequestFingerprint>) -> Box<[RequestFingerprint]> {
        let is_suspect = |fingerprint: &RequestFingerprint| self.rows.contains_key(fingerprint);
        let (known, fresh): (Vec<_>, Vec<_>) = requests
            .into_iter()
            .filter(|fingerprint| !self.in_flight.has_finished(*fingerprint))
            .partition(is_suspect);
        // One that was suspected before explains the crash alone, a stopped one even more.
        let is_confirmed = |fingerprint: &RequestFingerprint| self.rows[fingerprint].is_confirmed();
        let (stopped, known): (Vec<_>, Vec<_>) = known.into_iter().partition(is_confirmed);
        let mut groups = [stopped, known, fresh].into_iter();
        let chosen = groups.find(|group| !group.is_empty()).unwrap_or_default();
        chosen.into_iter().take(MAX_SUSPECTS).collect()
    }

    /// A new crash, which what breaks soon after belongs to.
    fn open_crash(&mut self, target: &TargetName) -> CrashId {
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
        let reached = self.suspect(crash, &suspects);
        self.judge(&reached, suspects.iter().copied());
        let mut outputs: Vec<PoisonOutput> =
            reached.into_iter().map(PoisonOutput::Stopped).collect();
        let told = PoisonMessage::Suspects(self.news(&suspects));
        outputs.push(PoisonOutput::Broadcast(told));
        outputs
    }

    /// Adds a crash to its suspects; returns those that it makes stop.
    fn suspect(
        &mut self,
        crash: CrashId,
        suspects: &[RequestFingerprint],
    ) -> Vec<RequestFingerprint> {
        let now = self.clock.now();
        let mut reached = Vec::new();
        for fingerprint in suspects {
            let row = self.open_row(*fingerprint, now);
            if row.is_confirmed() || row.crashes.contains(&crash) {
                continue;
            }
            row.last = now;
            if row.crashes.len() < MAX_CRASHES {
                row.crashes.push(crash);
            }
            if row.crashes.len() >= MAX_CRASHES {
                reached.push(*fingerprint);
            }
        }
        reached
    }

    /// Joins a record to what is known; returns whether it makes the request stop.
    fn merge(&mut self, record: &SuspectRecord) -> bool {
        let now = self.clock.now();
        let last = now.checked_sub(record.age).unwrap_or(now);
        let row = self.open_row(record.fingerprint, last);
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
            // Whoever saw both crashes has judged already.
            row.doubtful = record.doubtful;
            return before < MAX_CRASHES || !record.doubtful;
        }
        before < MAX_CRASHES && row.crashes.len() >= MAX_CRASHES
    }

    /// A request that a crash made stop is in doubt if another suspect of it is stopped too.
    fn judge(
        &mut self,
        reached: &[RequestFingerprint],
        suspects: impl Iterator<Item = RequestFingerprint>,
    ) {
        let is_stopped = |fingerprint: &RequestFingerprint| {
            let row = self.rows.get(fingerprint);
            row.is_some_and(|row| row.crashes.len() >= MAX_CRASHES)
        };
        let doubtful = suspects.filter(is_stopped).count() > 1;
        for fingerprint in reached {
            if let Some(row) = self.rows.get_mut(fingerprint) {
                row.doubtful = doubtful;
            }
        }
    }

    fn open_row(&mut self, fingerprint: RequestFingerprint, last: Instant) -> &mut SuspectRow {
        self.make_room(fingerprint);
        self.rows.entry(fingerprint).or_insert_with(|| SuspectRow {
            crashes: CrashList::new(),
            last,
            doubtful: false,
        })
    }

    fn news(&self, fingerprints: &[RequestFingerprint]) -> SuspectReport {
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

    fn make_room(&mut self, fingerprint: RequestFingerprint) {
        if self.rows.len() < self.settings.max_requests || self.rows.contains_key(&fingerprint) {
            return;
        }
        // Stopped requests are dangerous to forget; mere suspects go first.
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
