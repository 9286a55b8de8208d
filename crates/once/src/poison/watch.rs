//! Counts crashes by request and stops the requests that cause them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::{ErrorKind, KindError, SharedClock, TargetName};
use smallvec::SmallVec;

use super::flight::FlightTable;
use super::{CrashId, CrashReport, MAX_SUSPECTS, PoisonMessage, SuspectCleared};
use crate::lease::HolderId;
use crate::print::RequestPrint;

/// What starting a request returns.
///
/// Kinds: `PoisonRequest` (stopped everywhere) and `QueueFull` (not at this
/// target now; try another). Either way it has not run.
pub type Result<T> = model::Result<T>;

/// Crashes after which a request is stopped.
const MAX_CRASHES: usize = 2;

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
    /// Tell every other daemon.
    Tell(PoisonMessage),
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
    crashes: SmallVec<[CrashId; 2]>,
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

/// Watches one daemon's targets and knows the crashes of all others.
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
        let cleared = SuspectCleared { print };
        Some(PoisonOutput::Tell(PoisonMessage::Cleared(cleared)))
    }

    /// A target crashed; what was in flight there is suspected and no longer in flight.
    pub fn on_target_crashed(&mut self, target: &TargetName) -> Vec<PoisonOutput> {
        let flying = self.flights.take_flying(target);
        let suspects = self.pick_suspects(flying);
        if suspects.is_empty() {
            return Vec::new();
        }
        self.crash_number += 1;
        let report = CrashReport {
            crash: CrashId {
                reporter: self.me,
                number: self.crash_number,
            },
            suspects,
        };
        let mut outputs = self.take_report(&report);
        outputs.push(PoisonOutput::Tell(PoisonMessage::Crash(report)));
        outputs
    }

    /// Takes what another daemon tells, possibly again; says what to tell in turn.
    pub fn on_message(&mut self, message: &PoisonMessage) -> Vec<PoisonOutput> {
        match message {
            PoisonMessage::Crash(report) => {
                let mut outputs = self.take_report(report);
                outputs.extend(self.clear_finished(report));
                outputs
            }
            PoisonMessage::Cleared(cleared) => {
                let row = self.rows.get(&cleared.print);
                // Two crashes outweigh a request that ended well elsewhere.
                if row.is_some_and(|row| !row.is_convicted()) {
                    self.rows.remove(&cleared.print);
                }
                Vec::new()
            }
        }
    }

    /// Forgets what is older than the memory.
    pub fn on_tick(&mut self) {
        let now = self.clock.now();
        let memory = self.settings.memory;
        self.rows.retain(|_, row| row.age(now) < memory);
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
        // One that was suspected before explains the crash alone.
        let chosen = if known.is_empty() { fresh } else { known };
        chosen.into_iter().take(MAX_SUSPECTS).collect()
    }

    fn take_report(&mut self, report: &CrashReport) -> Vec<PoisonOutput> {
        let now = self.clock.now();
        let mut outputs = Vec::new();
        for print in report.suspects.iter().take(MAX_SUSPECTS) {
            self.make_room(*print);
            let row = self.rows.entry(*print).or_insert_with(|| SuspectRow {
                crashes: SmallVec::new(),
                last: now,
                doubtful: false,
            });
            if row.is_convicted() || row.crashes.contains(&report.crash) {
                continue;
            }
            row.last = now;
            row.crashes.push(report.crash);
            row.crashes.truncate(MAX_CRASHES);
            if row.crashes.len() >= MAX_CRASHES {
                row.doubtful = report.suspects.len() > 1;
                outputs.push(PoisonOutput::Stopped(*print));
            }
        }
        outputs
    }

    /// Clears suspects of a report that lately ran to their end here.
    fn clear_finished(&mut self, report: &CrashReport) -> Vec<PoisonOutput> {
        let mut outputs = Vec::new();
        for print in report.suspects.iter().copied() {
            let row = self.rows.get(&print);
            let suspected = row.is_some_and(|row| !row.is_convicted());
            if suspected && self.flights.has_finished(print) {
                self.rows.remove(&print);
                let cleared = SuspectCleared { print };
                outputs.push(PoisonOutput::Tell(PoisonMessage::Cleared(cleared)));
            }
        }
        outputs
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
