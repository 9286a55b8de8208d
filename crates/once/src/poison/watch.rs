//! Counts crashes by request and stops the requests that cause them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::{ErrorKind, KindError, SharedClock, TargetName};
use smallvec::SmallVec;

use super::flight::{BreakCause, FlightTable};
use super::{
    CrashId, CrashList, MAX_CRASHES, MAX_SUSPECTS, PoisonMessage, SuspectNews, SuspectRecord,
};
use crate::lease::HolderId;
use crate::print::RequestPrint;

/// What starting a request returns.
///
/// Kinds: `PoisonRequest` (stopped everywhere) and `QueueFull` (not at this
/// target now; try another). Either way it has not run.
pub type Result<T> = model::Result<T>;

/// Times and bounds of the watch.
#[derive(Clone, Copy, Debug)]
pub struct PoisonSettings {
    /// How long a suspect or stopped request is remembered after its last crash.
    pub memory: Duration,
    /// How long two suspects are stopped that share both crashes.
    pub doubt: Duration,
    /// Most requests remembered.
    pub max_requests: usize,
}

impl Default for PoisonSettings {
    fn default() -> Self {
        Self {
            memory: Duration::from_secs(600),
            doubt: Duration::from_secs(30),
            max_requests: 1024,
        }
    }
}

/// What the watch wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PoisonOutput {
    /// Tell the daemons beside the other targets of the service.
    Tell(PoisonMessage),
    /// Answer the daemon that told of these suspects: they ran to their end here.
    Innocent(Vec<RequestPrint>),
    /// A request was stopped; count and log it.
    Stopped(RequestPrint),
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
    fn is_convicted(&self) -> bool {
        self.crashes.len() >= MAX_CRASHES && !self.doubtful
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last)
    }
}

/// Watches one daemon's targets and knows the crashes that it was told of.
#[derive(Debug)]
pub struct PoisonWatch {
    me: HolderId,
    settings: PoisonSettings,
    clock: SharedClock,
    flights: FlightTable,
    rows: HashMap<RequestPrint, SuspectRow>,
    crash_number: u64,
}

impl PoisonWatch {
    /// A watch that suspects nobody.
    pub fn new(me: HolderId, settings: PoisonSettings, clock: SharedClock) -> Self {
        Self {
            me,
            settings,
            clock,
            flights: FlightTable::default(),
            rows: HashMap::new(),
            crash_number: 0,
        }
    }

    /// Whether a request may go on to any target; for proxies and homes.
    pub fn check(&self, print: RequestPrint) -> Result<()> {
        match self.rows.get(&print) {
            Some(row) if self.is_stopped(row) => Err(KindError::new(
                ErrorKind::PoisonRequest,
                format!("the request was in flight when {MAX_CRASHES} targets crashed"),
            )),
            _ => Ok(()),
        }
    }

    /// Starts a request at a target beside this daemon.
    pub fn start(&mut self, target: &TargetName, print: RequestPrint) -> Result<()> {
        self.check(print)?;
        if self.must_wait(target, print) {
            return Err(KindError::new(
                ErrorKind::QueueFull,
                "another suspect of the same crash runs at this target",
            ));
        }
        self.flights.start(target, print);
        Ok(())
    }

    /// A request ended at its target; `sound` if the target answered it.
    pub fn finish(
        &mut self,
        target: &TargetName,
        print: RequestPrint,
        sound: bool,
    ) -> Option<PoisonOutput> {
        self.flights.leave(target, print);
        if !sound {
            return None;
        }
        self.flights.note_finished(print);
        let row = self.rows.get(&print)?;
        if row.is_convicted() {
            return None;
        }
        self.rows.remove(&print);
        let cleared = PoisonMessage::Cleared(vec![print]);
        Some(PoisonOutput::Tell(cleared))
    }

    /// A request's connection to its target broke, so it is no longer in flight.
    ///
    /// Nothing is returned if the target may have crashed and should be looked
    /// at; otherwise a crash that is known explains it.
    pub fn on_broken(
        &mut self,
        target: &TargetName,
        print: RequestPrint,
    ) -> Option<Vec<PoisonOutput>> {
        match self.flights.note_broken(target, print, self.clock.now()) {
            BreakCause::Open => None,
            BreakCause::Known => Some(Vec::new()),
            BreakCause::Recent(crash) => Some(self.record_crash(crash, vec![print])),
        }
    }

    /// A target crashed; what was in flight there, or lately broke, is suspected.
    pub fn on_target_crashed(&mut self, target: &TargetName) -> Vec<PoisonOutput> {
        let flying = self.flights.take_flying(target, self.clock.now());
        let crash = self.open_crash(target);
        self.record_crash(crash, flying)
    }

    /// As [`PoisonWatch::on_target_crashed`], found by looking after `print` broke;
    /// nothing if another look has found the crash before.
    pub fn on_crash_found(
        &mut self,
        target: &TargetName,
        print: RequestPrint,
    ) -> Vec<PoisonOutput> {
        if !self.flights.is_broken(target, print) {
            return Vec::new();
        }
        self.on_target_crashed(target)
    }

    /// A new run of a target is there; what lately broke at the last one is suspected.
    pub fn on_target_restarted(&mut self, target: &TargetName) -> Vec<PoisonOutput> {
        let broken = self.flights.take_broken(target, self.clock.now());
        let crash = self.open_crash(target);
        self.record_crash(crash, broken)
    }

    /// As [`PoisonWatch::on_target_restarted`], found by looking after `print` broke.
    pub fn on_restart_found(
        &mut self,
        target: &TargetName,
        print: RequestPrint,
    ) -> Vec<PoisonOutput> {
        if !self.flights.is_broken(target, print) {
            return Vec::new();
        }
        self.on_target_restarted(target)
    }

    /// Takes what another daemon tells, possibly again; says what to answer.
    pub fn on_message(&mut self, message: &PoisonMessage) -> Vec<PoisonOutput> {
        match message {
            PoisonMessage::Suspects(news) => self.on_news(news),
            PoisonMessage::Cleared(prints) => {
                self.clear(prints);
                Vec::new()
            }
        }
    }

    /// Takes what came with a call, a refusal or a message, possibly again.
    pub fn on_news(&mut self, news: &SuspectNews) -> Vec<PoisonOutput> {
        let mut innocent = Vec::new();
        let mut reached = SmallVec::<[RequestPrint; 4]>::new();
        let mut outputs = Vec::new();
        for record in news.records.iter().take(MAX_SUSPECTS) {
            if record.crashes.is_empty() || record.age >= self.settings.memory {
                continue;
            }
            if !record.is_convicted() && self.flights.has_finished(record.print) {
                innocent.push(record.print);
            } else if self.merge(record) {
                outputs.push(PoisonOutput::Stopped(record.print));
                if record.crashes.len() < MAX_CRASHES {
                    reached.push(record.print);
                }
            }
        }
        let prints = news.records.iter().map(|record| record.print);
        self.judge(&reached, prints.take(MAX_SUSPECTS));
        self.clear(&innocent);
        if !innocent.is_empty() {
            outputs.push(PoisonOutput::Innocent(innocent));
        }
        outputs
    }

    /// Takes the answer of a daemon where suspects ran to their end; says whom to tell.
    pub fn on_innocent(&mut self, prints: &[RequestPrint]) -> Option<PoisonOutput> {
        let cleared = self.clear(prints);
        let told = (!cleared.is_empty()).then_some(cleared);
        told.map(|prints| PoisonOutput::Tell(PoisonMessage::Cleared(prints)))
    }

    /// Clears suspects that ran to their end; two crashes outweigh that.
    pub fn clear(&mut self, prints: &[RequestPrint]) -> Vec<RequestPrint> {
        let mut cleared = Vec::new();
        for print in prints.iter().take(MAX_SUSPECTS) {
            let row = self.rows.get(print);
            if row.is_some_and(|row| !row.is_convicted()) {
                self.rows.remove(print);
                cleared.push(*print);
            }
        }
        cleared
    }

    /// What is known of a request, with the other suspects of its crashes.
    pub fn news_of(&self, print: RequestPrint) -> SuspectNews {
        let Some(row) = self.rows.get(&print).filter(|row| !self.is_expired(row)) else {
            return SuspectNews::default();
        };
        let shares = |other: &SuspectRow| {
            let mut crashes = other.crashes.iter();
            crashes.any(|crash| row.crashes.contains(crash))
        };
        let others = self
            .rows
            .iter()
            .filter(|(other, found)| **other != print && !self.is_expired(found) && shares(found));
        let mut others: Vec<RequestPrint> = others.map(|(other, _)| *other).collect();
        others.sort_unstable();
        others.insert(0, print);
        self.news(&others)
    }

    /// Forgets what is older than the memory.
    pub fn on_tick(&mut self) {
        let now = self.clock.now();
        let memory = self.settings.memory;
        self.rows.retain(|_, row| row.age(now) < memory);
        self.flights.on_tick(now);
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
    pub fn forget(&mut self, print: RequestPrint) -> bool {
        self.rows.remove(&print).is_some()
    }

    /// Whether another suspect of a crash of `print` is in flight at the target.
    fn must_wait(&self, target: &TargetName, print: RequestPrint) -> bool {
        let Some(row) = self.rows.get(&print).filter(|row| !self.is_expired(row)) else {
            return false;
        };
        self.flights.flying(target).any(|flying| {
            flying != print
                && self.rows.get(&flying).is_some_and(|other| {
                    other
                        .crashes
                        .iter()
                        .any(|crash| row.crashes.contains(crash))
                })
        })
    }

    /// Those in flight that may have caused a crash; earlier suspects first.
    fn pick_suspects(&self, flying: Vec<RequestPrint>) -> Box<[RequestPrint]> {
        let is_suspect = |print: &RequestPrint| self.rows.contains_key(print);
        let (known, fresh): (Vec<_>, Vec<_>) = flying
            .into_iter()
            .filter(|print| !self.flights.has_finished(*print))
            .partition(is_suspect);
        // One that was suspected before explains the crash alone, a stopped one even more.
        let is_convicted = |print: &RequestPrint| self.rows[print].is_convicted();
        let (stopped, known): (Vec<_>, Vec<_>) = known.into_iter().partition(is_convicted);
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
        self.flights.note_crash(target, crash, self.clock.now());
        crash
    }

    fn record_crash(&mut self, crash: CrashId, flying: Vec<RequestPrint>) -> Vec<PoisonOutput> {
        let suspects = self.pick_suspects(flying);
        if suspects.is_empty() {
            return Vec::new();
        }
        let reached = self.suspect(crash, &suspects);
        self.judge(&reached, suspects.iter().copied());
        let mut outputs: Vec<PoisonOutput> =
            reached.into_iter().map(PoisonOutput::Stopped).collect();
        let told = PoisonMessage::Suspects(self.news(&suspects));
        outputs.push(PoisonOutput::Tell(told));
        outputs
    }

    /// Adds a crash to its suspects; returns those that it makes stop.
    fn suspect(&mut self, crash: CrashId, suspects: &[RequestPrint]) -> Vec<RequestPrint> {
        let now = self.clock.now();
        let mut reached = Vec::new();
        for print in suspects {
            let row = self.open_row(*print, now);
            if row.is_convicted() || row.crashes.contains(&crash) {
                continue;
            }
            row.last = now;
            if row.crashes.len() < MAX_CRASHES {
                row.crashes.push(crash);
            }
            if row.crashes.len() >= MAX_CRASHES {
                reached.push(*print);
            }
        }
        reached
    }

    /// Joins a record to what is known; returns whether it makes the request stop.
    fn merge(&mut self, record: &SuspectRecord) -> bool {
        let now = self.clock.now();
        let last = now.checked_sub(record.age).unwrap_or(now);
        let row = self.open_row(record.print, last);
        let before = row.crashes.len();
        if row.is_convicted() {
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
    fn judge(&mut self, reached: &[RequestPrint], suspects: impl Iterator<Item = RequestPrint>) {
        let is_stopped = |print: &RequestPrint| {
            let row = self.rows.get(print);
            row.is_some_and(|row| row.crashes.len() >= MAX_CRASHES)
        };
        let doubtful = suspects.filter(is_stopped).count() > 1;
        for print in reached {
            if let Some(row) = self.rows.get_mut(print) {
                row.doubtful = doubtful;
            }
        }
    }

    fn open_row(&mut self, print: RequestPrint, last: Instant) -> &mut SuspectRow {
        self.make_room(print);
        self.rows.entry(print).or_insert_with(|| SuspectRow {
            crashes: CrashList::new(),
            last,
            doubtful: false,
        })
    }

    fn news(&self, prints: &[RequestPrint]) -> SuspectNews {
        let now = self.clock.now();
        let record = |print: &RequestPrint| {
            let row = self.rows.get(print)?;
            Some(SuspectRecord {
                print: *print,
                crashes: row.crashes.clone(),
                doubtful: row.doubtful,
                age: row.age(now),
            })
        };
        let records = prints.iter().take(MAX_SUSPECTS).filter_map(record);
        SuspectNews {
            records: records.collect(),
        }
    }

    fn make_room(&mut self, print: RequestPrint) {
        if self.rows.len() < self.settings.max_requests || self.rows.contains_key(&print) {
            return;
        }
        // Stopped requests are dangerous to forget; mere suspects go first.
        let oldest = self
            .rows
            .iter()
            .min_by_key(|(_, row)| (row.is_convicted(), row.last))
            .map(|(print, _)| *print);
        if let Some(oldest) = oldest {
            self.rows.remove(&oldest);
        }
    }

    fn is_stopped(&self, row: &SuspectRow) -> bool {
        let age = row.age(self.clock.now());
        let span = if row.doubtful {
            self.settings.doubt
        } else {
            self.settings.memory
        };
        row.crashes.len() >= MAX_CRASHES && age < span
    }

    fn is_expired(&self, row: &SuspectRow) -> bool {
        row.age(self.clock.now()) >= self.settings.memory
    }
}
